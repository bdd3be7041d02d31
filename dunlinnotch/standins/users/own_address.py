"""Run a module as a process whose connections come from its own loopback address.

``python -m dunlinnotch.standins.users.own_address 127.0.1.5 MODULE``.  On machines of their
own, boxes differ by their addresses; on one machine all connections come from the same one,
and a stand-in of a network could not cut the paths of a single box.
"""

from __future__ import annotations

import runpy
import sys

# As in the program itself: without the ssl module, asyncio loads much faster.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from asyncio import base_events  # noqa: E402
from typing import Any  # noqa: E402


def bind_connections(ip: str) -> None:
    """Let all connections that event loops of this process open come from an address."""
    create_connection = base_events.BaseEventLoop.create_connection

    async def from_own_address(self: Any, *args: Any, **options: Any) -> Any:  # noqa: ANN401
        options.setdefault("local_addr", (ip, 0))
        return await create_connection(self, *args, **options)

    base_events.BaseEventLoop.create_connection = from_own_address  # type: ignore[method-assign]


if __name__ == "__main__":
    bind_connections(sys.argv[1])
    runpy.run_module(sys.argv[2], run_name="__main__", alter_sys=True)
