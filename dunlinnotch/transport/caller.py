"""A client for callers: ask for addresses, keep the answer, connect there."""

from __future__ import annotations

import threading
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import urllib3

from dunlinnotch import _codec
from dunlinnotch.errors import BoxUnreachableError
from dunlinnotch.protocol import http
from dunlinnotch.protocol.answers import ADDRESSES_PATH, AddressAnswer, AddressEntry
from dunlinnotch.protocol.outcome import Outcome, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from urllib3 import BaseHTTPResponse

    from dunlinnotch.types import Address, Clock, Seconds

_OK = 200
_ASK_S = 2.0
#: Time beyond a call's deadline before the caller stops listening, in seconds.
_SLACK_S = 1.0


@dataclass(frozen=True, slots=True)
class CallerResult:
    """What a caller learnt of its request.

    Parameters
    ----------
    outcome : Outcome
    status : int
        0 if no whole answer came.
    data : bytes
    reason : str
    box, target : str
    retry_after : float or None
        Seconds after which to come back, if the request was refused.
    """

    outcome: Outcome
    status: int
    data: bytes
    reason: str = ""
    box: str = ""
    target: Address = ""
    retry_after: Seconds | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Parameters
    ----------
    service, kind : str
    method, path : str
    body : bytes or None
    headers : mapping of str to str, optional
    deadline_s : float, default 10.0
    at_most_once : bool, default False
        Whether the request may not be repeated, so that it needs a once-key.
    """

    service: str
    kind: str
    method: str = "GET"
    path: str = "/"
    body: bytes | None = None
    headers: Mapping[str, str] | None = None
    deadline_s: Seconds = 10.0
    at_most_once: bool = False


class CallerClient:
    """Send requests by way of the boxes.

    Parameters
    ----------
    boxes : iterable of str
        Caller addresses known from the start; any that lives will do.
    caller : str
        A stable name of the caller.
    place : str, default ""
    clock : callable

    Notes
    -----
    Thread-safe.  A request that was refused as not run goes on to the next
    address; one whose end is unknown is asked for again only where it was
    sent, by its once-key.
    """

    def __init__(
        self,
        boxes: Iterable[Address],
        *,
        caller: str,
        place: str = "",
        clock: Clock = time.monotonic,
    ) -> None:
        self._boxes = tuple(boxes)
        self._query = urlencode({"caller": caller, "place": place})
        self._clock = clock
        self._http = urllib3.PoolManager(retries=False, maxsize=64)
        self._lock = threading.Lock()
        self._answer: AddressAnswer | None = None
        self._keep_until: Seconds = 0.0

    def addresses(self) -> AddressAnswer:
        """Return the answer kept, or ask for a new one.

        Raises
        ------
        BoxUnreachableError
            If no box that is known answers.
        """
        with self._lock:
            if self._answer is not None and self._clock() < self._keep_until:
                return self._answer
            asked = self._clock()
            answer = self._ask()
            self._answer = answer
            self._keep_until = asked + answer.keep_s
            return answer

    def invalidate_addresses(self) -> None:
        """Have the next request ask for addresses anew."""
        self._keep_until = 0.0

    def call(self, request: Request) -> CallerResult:
        """Send one request, at each address kept until one does not refuse it."""
        result = CallerResult(Outcome.NOT_RUN, 0, b"", "no-address")
        for entry in self.addresses().addresses:
            key = entry.once_stem + uuid.uuid4().hex if request.at_most_once else None
            result = self.send(request, entry, key)
            if result.outcome is not Outcome.NOT_RUN:
                return result
            if result.reason == Reason.ONCE_KEY_ELSEWHERE:
                self.invalidate_addresses()
        self.invalidate_addresses()
        return result

    def send(self, request: Request, entry: AddressEntry, key: str | None) -> CallerResult:
        """Send one request to one box, once."""
        headers = {
            **(request.headers or {}),
            http.SERVICE: request.service,
            http.KIND: request.kind,
            http.DEADLINE_MS: str(max(1, int(request.deadline_s * 1000))),
        }
        if key is not None:
            headers[http.ONCE_KEY] = key
        try:
            response = self._http.request(
                request.method,
                f"http://{entry.address}{request.path}",
                body=request.body,
                headers=headers,
                timeout=request.deadline_s + _SLACK_S,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return CallerResult(Outcome.NOT_RUN, 0, b"", str(error), entry.box)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return CallerResult(Outcome.UNKNOWN, 0, b"", str(error), entry.box)
        return _read(response, entry)

    def _ask(self) -> AddressAnswer:
        failures = []
        for address in self._known():
            try:
                response = self._http.request(
                    "GET", f"http://{address}{ADDRESSES_PATH}?{self._query}", timeout=_ASK_S
                )
            except (urllib3.exceptions.HTTPError, OSError) as error:
                failures.append(f"{address}: {error}")
                continue
            if response.status == _OK:
                answer = _codec.from_json(AddressAnswer, response.data)
                if answer.addresses:
                    return answer
            failures.append(f"{address}: no addresses (status {response.status})")
        msg = f"no box gave addresses ({'; '.join(failures)})"
        raise BoxUnreachableError(msg)

    def _known(self) -> Sequence[Address]:
        kept = [] if self._answer is None else [e.address for e in self._answer.addresses]
        return list(dict.fromkeys([*kept, *self._boxes]))


def _read(response: BaseHTTPResponse, entry: AddressEntry) -> CallerResult:
    stated = response.headers.get(http.OUTCOME)
    retry_after = response.headers.get("Retry-After")
    return CallerResult(
        outcome=Outcome(stated) if stated in set(Outcome) else Outcome.UNKNOWN,
        status=response.status,
        data=response.data,
        reason=response.headers.get(http.REASON, ""),
        box=entry.box,
        target=response.headers.get(http.TARGET, ""),
        retry_after=float(retry_after) if retry_after else None,
    )
