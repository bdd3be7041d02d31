"""An entry box that runs as a separate process on a loopback address."""

from __future__ import annotations

import asyncio
import os
import subprocess
import sys
from typing import TYPE_CHECKING, ClassVar

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.standins.users import own_address
from dunlinnotch.transport.stream.fetch import Fetcher

if TYPE_CHECKING:
    import signal
    from collections.abc import Callable
    from pathlib import Path

    from dunlinnotch.types import Address, Seconds

_READY_STATUS = 200
_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02
_REQUEST_TIMEOUT_S = 5.0
_CALLER_PORT, _READY_PORT, _CONTROL_PORT, _DIRECTORY_PORT = 8144, 8140, 8146, 8143
_METRICS_PORT = 9464


class BoxProcess:
    """An entry box in a process of its own, with its settings file and its log.

    Parameters
    ----------
    name, zone, ip : str
        ``ip`` is a loopback address that no other box uses.
    log : pathlib.Path
        File that receives the standard output and error of the process; the settings file
        is written beside it.

    Attributes
    ----------
    module : str
        Module that the process runs; the same for all boxes.
    source : pathlib.Path or None
        Directory of another version of the program; None for this one.
    process : subprocess.Popen or None
        None until the box has been started.
    caller_address, readiness_address, directory_address, metrics_address : str
        Addresses at which the box listens, as ``host:port``.
    """

    module: ClassVar = "dunlinnotch.platform"

    def __init__(self, name: str, zone: str, ip: str, log: Path) -> None:
        self.name = name
        self.zone = zone
        self.ip = ip
        self.log_file = log
        self.settings_file = log.with_suffix(".conf")
        self.source: Path | None = None
        self.process: subprocess.Popen[bytes] | None = None
        self.caller_address = f"{ip}:{_CALLER_PORT}"
        self.readiness_address = f"{ip}:{_READY_PORT}"
        self.directory_address = f"{ip}:{_DIRECTORY_PORT}"
        self.metrics_address = f"{ip}:{_METRICS_PORT}"

    def write_settings(self, store: Address, seeds: list[str], **changes: str) -> None:
        """Write the settings file in the format of the platform.

        Parameters
        ----------
        store : str
            Address of the store.
        seeds : list of str
            IP addresses of boxes to contact first.
        **changes : str
            Further fields, or other values of fields, by their full names.
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
        """Start the process unless it runs; its output is appended to the log file.

        Notes
        -----
        Two faults may each stop a box and start it again.  A second process would replace the
        first one here, which nobody would end then.
        """
        if self.running:
            return
        environment = {**os.environ, "DUNLINNOTCH_NODE_FILE": str(self.settings_file)}
        launcher = ["-m", own_address.__name__]
        if self.source is not None:
            # Another version may lack the launcher, and must not find modules beside it.
            launcher = ["-P", str(own_address.__file__)]
            environment["PYTHONPATH"] = str(self.source)
        with self.log_file.open("ab") as log:
            self.process = subprocess.Popen(
                [sys.executable, *launcher, self.ip, self.module],
                stdout=log,
                stderr=subprocess.STDOUT,
                env=environment,
            )

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self.process is not None and self.running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait until it has exited."""
        if self.process is not None:
            self.process.kill()
            self.process.wait()

    async def wait_exit(self) -> int:
        """Wait until the process has exited; return its exit status."""
        process = self.process
        assert process is not None
        await wait_until(lambda: process.poll() is not None, f"{self.name} has exited")
        return process.returncode

    async def wait_ready(self, *, status: int = _READY_STATUS) -> None:
        """Wait until the readiness endpoint answers with a status."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while await fetch_status(self.readiness_address, "/api/readiness") != status:
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def wait_not_ready(self) -> None:
        """Wait until the box is not ready or cannot be reached."""
        async with asyncio.timeout(_READY_TIMEOUT_S):
            while await fetch_status(self.readiness_address, "/api/readiness") == _READY_STATUS:
                await asyncio.sleep(_POLL_INTERVAL_S)

    async def metrics_text(self) -> str:
        """Return the metrics exposition, or an empty text if the box cannot be reached."""
        try:
            answer = await Fetcher(self.metrics_address).fetch(
                "GET", "/metrics", timeout=_REQUEST_TIMEOUT_S
            )
        except PlatformUnavailableError:
            return ""
        return answer.body.decode()

    def read_log(self) -> str:
        """Return the text of the log file."""
        return self.log_file.read_text(encoding="utf-8")


async def fetch_status(address: Address, path: str) -> int:
    """Return the status of the answer to a GET request; 0 if there was no answer."""
    try:
        return (await Fetcher(address).fetch("GET", path, timeout=_REQUEST_TIMEOUT_S)).status
    except PlatformUnavailableError:
        return 0


async def wait_until(
    condition: Callable[[], bool], what: str, *, timeout: Seconds = _READY_TIMEOUT_S
) -> None:
    """Wait until a condition holds.

    Parameters
    ----------
    condition : callable
    what : str
        The condition in words, for the error.
    timeout : float, default 20.0
        Maximum wait, in seconds.

    Raises
    ------
    TimeoutError
        If the condition does not hold in time.
    """
    try:
        async with asyncio.timeout(timeout):
            while not condition():
                await asyncio.sleep(_POLL_INTERVAL_S)
    except TimeoutError:
        msg = f"condition not met within {timeout:g} s: {what}"
        raise TimeoutError(msg) from None
