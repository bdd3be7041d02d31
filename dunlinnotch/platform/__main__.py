"""Run one entry box on the users' platform: ``python3 -m dunlinnotch.platform``."""

from __future__ import annotations

import sys

# TLS is not used; without the ssl module, asyncio loads much faster.
sys.modules.setdefault("ssl", None)  # type: ignore[arg-type]

from dunlinnotch._clocks import elapsed  # noqa: E402

#: When the process began; the imports below take a part of a second.
_STARTED_AT = elapsed()

import asyncio  # noqa: E402
import os  # noqa: E402
import random  # noqa: E402
from pathlib import Path  # noqa: E402

from dunlinnotch._logs import BoundedStream, configure_stream  # noqa: E402
from dunlinnotch.daemon.entry import EntryBox, EntrySettings, run_until_stopped  # noqa: E402
from dunlinnotch.daemon.loop import ElapsedTimeLoop  # noqa: E402
from dunlinnotch.errors import ConfigError  # noqa: E402
from dunlinnotch.platform import settings_file  # noqa: E402
from dunlinnotch.platform.adapter import make_adapter  # noqa: E402
from dunlinnotch.platform.endpoints import Endpoints  # noqa: E402
from dunlinnotch.platform.watch import SettingsWatch  # noqa: E402
from dunlinnotch.transport.stream.server import StreamServer  # noqa: E402

_EXIT_CONFIG = 2


def main() -> int:
    """Run the box until it stops; return the exit status."""
    stream = BoundedStream(sys.stdout.fileno())
    configure_stream(stream, level=os.environ.get("DUNLINNOTCH_LOG_LEVEL", "INFO"))
    try:
        path = Path(os.environ.get(settings_file.VARIABLE, ""))
        node_file = settings_file.read_file(path)
        settings = settings_file.entry_settings(node_file)
        endpoint_settings = settings_file.EndpointSettings(node_file)
    except ConfigError as error:
        sys.stderr.write(f"{error.code}: {error}\n")
        return _EXIT_CONFIG
    with asyncio.Runner(loop_factory=ElapsedTimeLoop) as runner:
        runner.run(_run(settings, endpoint_settings, stream, path))
    return 0


async def _run(
    settings: EntrySettings,
    endpoint_settings: settings_file.EndpointSettings,
    stream: BoundedStream,
    path: Path,
) -> None:
    adapter = make_adapter(endpoint_settings.store)
    box = EntryBox(
        settings,
        adapter,
        rng=random.Random(),
        dropped_lines=lambda: stream.dropped,
        started_at=_STARTED_AT,
    )
    endpoints = Endpoints(box, max_ttl=endpoint_settings.max_ttl)
    for address, handler in (
        (endpoint_settings.readiness, endpoints.readiness),
        (endpoint_settings.directory, endpoints.directory),
        (endpoint_settings.control, endpoints.control),
        (endpoint_settings.metrics, endpoints.control),
    ):
        server = StreamServer(handler)
        await server.listen(address)
        box.add_server(server)
    watch = SettingsWatch(path, box.reload)
    watch_task = asyncio.create_task(watch.run())
    try:
        await run_until_stopped(box)
    finally:
        watch_task.cancel()


if __name__ == "__main__":
    sys.exit(main())
