"""An entry box as a process on a loopback address, with its settings file."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from typing import TYPE_CHECKING

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.transport.stream.fetch import Fetcher

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable
    from pathlib import Path

    from dunlinnotch.types import Address, Seconds

_READY = 200
_READY_S = 20.0
_LOOK_S = 0.02
_CALL_S = 5.0
_CALLER_PORT, _READY_PORT, _CONTROL_PORT, _DIRECTORY_PORT = 8144, 8140, 8146, 8143
_FIGURES_PORT = 9464


class BoxProcess:
    """One box process.

    Parameters
    ----------
    name, zone, ip : str
        ``ip`` is a loopback number of its own.
    log : Path
        Gets its standard output.
    """

    def __init__(self, name: str, zone: str, ip: str, log: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.log_file = log
        self.settings_file = log.with_suffix(".conf")
        self.process: subprocess.Popen[bytes] | None = None
        self.caller_address = f"{ip}:{_CALLER_PORT}"
        self.readiness_address = f"{ip}:{_READY_PORT}"
        self.directory_address = f"{ip}:{_DIRECTORY_PORT}"
        self.metrics_address = f"{ip}:{_FIGURES_PORT}"

    def write_settings(self, store: Address, seeds: list[str], **changes: str) -> None:
        """Write the settings file as the platform does.

        Parameters
        ----------
        store : str
            Where the box reaches the store.
        seeds : list of str
            IP numbers.
        **changes : str
            Fields by their full names.
        """
        fields = {
            "self.node-name": self.name,
            "self.zone": self.zone,
            "self.ip": self.ip,
            "network.bind.front": self.caller_address,
            "network.bind.readiness": self.readiness_address,
            "network.bind.control": f"{self.ip}:{_CONTROL_PORT}",
            "network.bind.directory": self.directory_address,
            "network.internal-port-range": "7660,7675",
            "network.seeds": ",".join(f"{seed}:{_CONTROL_PORT}" for seed in seeds),
            "platform.platform.address": store,
            "terms.bounds.grace": "2s",
            "terms.bounds.probes-per-s": "6000",
            **changes,
        }
        text = "".join(f"{name}={value}\n" for name, value in fields.items())
        self.settings_file.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process."""
        environment = {**os.environ, "DUNLINNOTCH_NODE_FILE": str(self.settings_file)}
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", "dunlinnotch.platform"],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_exit(self) -> int:
        """Wait for the end of the process; return its status."""
        process = self.process
        assert process is not None
        await wait_until(lambda: process.poll() is not None, f"{self.name} has ended")
        return process.returncode

    async def wait_ready(self, *, status: int = _READY) -> None:
        """Wait until the readiness of the box has a status."""
        async with asyncio.timeout(_READY_S):
            while await fetch_status(self.readiness_address, "/api/readiness") != status:
                await asyncio.sleep(_LOOK_S)

    async def wait_not_ready(self) -> None:
        """Wait until the box is not ready, or not there."""
        async with asyncio.timeout(_READY_S):
            while await fetch_status(self.readiness_address, "/api/readiness") == _READY:
                await asyncio.sleep(_LOOK_S)

    async def metrics_text(self) -> str:
        """Return what the metrics address tells; empty if nothing."""
        try:
            answer = await Fetcher(self.metrics_address).fetch("GET", "/metrics", timeout=_CALL_S)
        except PlatformUnavailableError:
            return ""
        return answer.body.decode()

    def read_log(self) -> str:
        """Return what the process has logged."""
        return self.log_file.read_text(encoding="utf-8")


async def fetch_status(address: Address, path: str) -> int:
    """Return the status of one answer; 0 if there was none."""
    try:
        return (await Fetcher(address).fetch("GET", path, timeout=_CALL_S)).status
    except PlatformUnavailableError:
        return 0


async def wait_until(
    condition: Callable[[], bool], what: str, *, within: Seconds = _READY_S
) -> None:
    """Wait until a condition holds.

    Raises
    ------
    TimeoutError
        Names what was waited for.
    """
    try:
        async with asyncio.timeout(within):
            while not condition():
                await asyncio.sleep(_LOOK_S)
    except TimeoutError:
        msg = f"not within {within:g} s: {what}"
        raise TimeoutError(msg) from None
