"""Relay the answer of a target, or of a peer that sent the request, to the caller."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from dunlinnotch.coordination.requests.run import Ending
from dunlinnotch.protocol.outcome import Outcome

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.coordination.requests.run import Run
    from dunlinnotch.protocol.relay import RelayAnswer
    from dunlinnotch.state.heads import AnswerHead

#: Answers up to this size are read completely before their head is relayed, so that an
#: answer that breaks off can still be retried or replaced by an error.
_MAX_BUFFERED_ANSWER_BYTES = 64 * 1024


async def relay_answer(
    run: Run, answer: RelayAnswer, *, replace_by: Callable[[AnswerHead], Ending | None]
) -> Ending:
    """Relay an answer; one that breaks off never ends cleanly for the caller.

    Parameters
    ----------
    run : Run
    answer : RelayAnswer
        Closed in any case.
    replace_by : callable
        Called when the head, and the body unless it is large, has been received.  Returns the
        ending to use instead of the answer, or None to relay it.

    Raises
    ------
    BodyCutError
        If the answer ends early.
    """
    head = answer.head
    attempt = run.attempts[-1]
    try:
        buffered_body = await answer.read_complete(_MAX_BUFFERED_ANSWER_BYTES)
        replacement = replace_by(head)
        if replacement is not None:
            return replacement
        if buffered_body is not None:
            run.reply.reply(head.status, head.headers, buffered_body, head.phrase)
        else:
            run.reply.begin(head.status, head.headers, length=head.length, phrase=head.phrase)
            async for part in answer.parts():
                await run.reply.send(part)
            run.reply.finish()
        return Ending(Outcome.ANSWERED, head.status)
    finally:
        attempt.took = asyncio.get_running_loop().time() - attempt.began
        answer.close()
