"""Start the platform stand-in, targets and boxes as processes, and stop exactly these.

All processes listen on one loopback address that is chosen at random for each
run.  This prevents another run or an outgoing connection from taking a port
between its allocation and its use.
"""

from __future__ import annotations

import os
import random
import signal
import socket
import subprocess
import sys
import threading
import time
import uuid
from dataclasses import dataclass, field
from functools import partial
from typing import TYPE_CHECKING, Any, TypeVar

import urllib3

from dunlinnotch import _codec
from dunlinnotch.protocol.operator import EditRequest
from dunlinnotch.protocol.platform import ListedBox
from dunlinnotch.standins.target import TargetFaults, TargetReport
from dunlinnotch.state.tree import Change, Edit
from dunlinnotch.transport.operator import OperatorClient

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from pathlib import Path

    from dunlinnotch.protocol.outcome import EditResult
    from dunlinnotch.standins.platform import PlatformFaults

T = TypeVar("T")

_READY_TIMEOUT_S = 20.0
_POLL_INTERVAL_S = 0.02


def wait_until(condition: Callable[[], T], *, what: str, timeout: float = _READY_TIMEOUT_S) -> T:
    """Poll ``condition`` and return its first true value.

    Parameters
    ----------
    condition : callable
    what : str
        Description of the condition, for the error message.
    timeout : float
        In seconds.

    Raises
    ------
    TimeoutError
        If the condition did not become true in time.
    """
    deadline = time.monotonic() + timeout
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(_POLL_INTERVAL_S)
    msg = f"timed out after {timeout} s waiting for: {what}"
    raise TimeoutError(msg)


def _exit_by_signal(number: int, _: object) -> None:
    """Raise SystemExit, so that the context manager stops the child processes."""
    raise SystemExit(128 + number)


@dataclass(slots=True)
class Process:
    """A child process and its log file."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()


@dataclass(slots=True)
class TargetProcess:
    """A target process with the addresses that it listens on.

    Parameters
    ----------
    process : Process
    address : str
        For requests.
    faults : str
        For setting faults and reading the report.
    """

    process: Process
    address: str
    faults: str


@dataclass(slots=True)
class BoxProcess:
    """A box process with the addresses that it listens on.

    Parameters
    ----------
    process : Process
    name, place : str
    caller, peer, operator : str
        Addresses for callers, other boxes and operators.
    settings : Path
        The INI file.
    """

    process: Process
    name: str
    place: str
    caller: str
    peer: str
    operator: str
    settings: Path


@dataclass(slots=True)
class Fleet:
    """A system of processes; use it as a context manager, which kills them at exit.

    Parameters
    ----------
    directory : Path
        For settings files and logs.

    Attributes
    ----------
    boxes : dict
        Boxes by name.
    targets : list of TargetProcess
    platform, platform_faults : str
        Addresses of the platform stand-in: for boxes, and for setting faults.
    processes : list of Process
        All processes started.
    statsd : str
        Address of a statsd server that boxes send metrics to; empty for none.
    allocated : set of str
        Addresses returned by :meth:`free_addresses`.
    http : urllib3.PoolManager
    host : str
        Loopback address of all listeners.
    """

    directory: Path
    boxes: dict[str, BoxProcess] = field(default_factory=dict)
    targets: list[TargetProcess] = field(default_factory=list)
    platform: str = ""
    platform_faults: str = ""
    processes: list[Process] = field(default_factory=list)
    statsd: str = ""
    allocated: set[str] = field(default_factory=set)
    _previous_handler: Any = None
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, timeout=10.0)
    )
    host: str = field(
        default_factory=lambda: f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.1"
    )

    def __enter__(self) -> Fleet:
        # The default action of SIGTERM would leave the child processes running.
        if threading.current_thread() is threading.main_thread():
            self._previous_handler = signal.signal(signal.SIGTERM, _exit_by_signal)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.kill()
        if self._previous_handler is not None:
            signal.signal(signal.SIGTERM, self._previous_handler)

    def free_addresses(self, count: int) -> list[str]:
        """Return addresses with free ports; none has been returned before."""
        addresses: list[str] = []
        while len(addresses) < count:
            with socket.create_server((self.host, 0)) as sock:
                address = f"{self.host}:{sock.getsockname()[1]}"
            if address not in self.allocated:
                self.allocated.add(address)
                addresses.append(address)
        return addresses

    def start(self, name: str, *arguments: str) -> Process:
        """Run a Python module as a process.

        Parameters
        ----------
        name : str
            Names the process and its log file.
        *arguments : str
            The module and its command-line arguments.
        """
        log = self.directory / f"{name}.log"
        with log.open("ab") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )
        process = Process(name, popen, log)
        self.processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the platform stand-in and wait until it listens."""
        self.platform, self.platform_faults = self.free_addresses(2)
        process = self.start(
            "platform",
            "dunlinnotch.standins.platform",
            "--listen",
            self.platform,
            "--faults",
            self.platform_faults,
        )
        self._wait_listening(process, self.platform_faults)

    def start_targets(self, count: int, *, slots: int = 6, work_ms: float = 6.0) -> list[str]:
        """Start targets and wait until they listen.

        Parameters
        ----------
        count : int
        slots : int, default 6
            Requests that a target processes at once.
        work_ms : float, default 6.0
            Mean processing time of a request, in milliseconds.

        Returns
        -------
        list of str
            The addresses of the targets.
        """
        new_targets = []
        for _ in range(count):
            address, faults = self.free_addresses(2)
            process = self.start(
                f"target-{len(self.targets) + 1}",
                "dunlinnotch.standins.target",
                *("--listen", address, "--faults", faults),
                *("--slots", str(slots), "--work-ms", str(work_ms)),
            )
            self.targets.append(TargetProcess(process, address, faults))
            new_targets.append(self.targets[-1])
        for target in new_targets:
            self._wait_listening(target.process, target.faults)
        return [target.address for target in new_targets]

    def start_boxes(self, places: dict[str, str], *, extra: str = "") -> None:
        """Register boxes with the platform, start them and wait until they listen.

        Parameters
        ----------
        places : dict
            The place of each box, by name.
        extra : str, default ""
            Lines appended to the INI file of each box.
        """
        for name, place in places.items():
            caller, peer, operator = self.free_addresses(3)
            settings = self.directory / f"{name}.ini"
            box = BoxProcess(None, name, place, caller, peer, operator, settings)  # type: ignore[arg-type]
            self.boxes[name] = box
        for name in places:
            self._write_settings(self.boxes[name], extra)
        self.list_boxes(self.boxes.values())
        for name in places:
            self.restart_box(name, wait=False)
        for name in places:
            self._wait_listening(self.boxes[name].process, self.boxes[name].operator)

    def restart_box(self, name: str, *, wait: bool = True) -> None:
        """Start the process of a box that is not running.

        Parameters
        ----------
        name : str
        wait : bool, default True
            Wait until it listens.
        """
        box = self.boxes[name]
        box.process = self.start(name, "dunlinnotch.daemon", "--settings", str(box.settings))
        if wait:
            self._wait_listening(box.process, box.operator)

    def list_boxes(self, boxes: Iterable[BoxProcess]) -> None:
        """Set the list of boxes at the platform stand-in."""
        listed_boxes = tuple(ListedBox(box.name, box.peer) for box in boxes)
        self.post(self.platform_faults, "/boxes", listed_boxes)

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Set the faults of the platform stand-in."""
        self.post(self.platform_faults, "/faults", faults)

    def set_target_faults(self, index: int, faults: TargetFaults) -> None:
        """Set the faults of a target, given by its index in ``targets``."""
        self.post(self.targets[index].faults, "/faults", faults)

    def target_report(self, index: int) -> TargetReport:
        """Return the report of a target, given by its index in ``targets``."""
        response = self.http.request("GET", f"http://{self.targets[index].faults}/report")
        return _codec.from_json(TargetReport, response.data)

    def post(self, address: str, path: str, value: object) -> bytes:
        """Send a value as JSON and return the body of the answer."""
        body = _codec.to_json(value)
        return self.http.request("POST", f"http://{address}{path}", body=body).data

    def operator(self, name: str) -> OperatorClient:
        """Return a client for the operator address of a box."""
        return OperatorClient([self.boxes[name].operator])

    def edit(self, name: str, *changes: Change, wait_s: float = 20.0) -> EditResult:
        """Apply an edit to the settings tree through a box.

        Parameters
        ----------
        name : str
            The box.
        *changes : Change
        wait_s : float, default 20.0
            Maximum time to wait until all boxes have applied the edit, in seconds.
        """
        client = self.operator(name)
        edit = Edit(uuid.uuid4().hex, client.tree().version, "demo", changes)
        return client.edit(EditRequest(edit, wait_s))

    def wait_for_membership(self, count: int) -> None:
        """Wait until each box knows ``count`` boxes."""
        for name in self.boxes:
            wait_until(partial(self._knows_boxes, name, count), what=f"{name} knows {count} boxes")

    def _knows_boxes(self, name: str, count: int) -> bool:
        return len(self.operator(name).status().rows) >= count

    def _write_settings(self, box: BoxProcess, extra: str) -> None:
        seeds = ", ".join(b.peer for b in self.boxes.values() if b is not box)
        statsd = f"[metrics]\nstatsd = {self.statsd}\n" if self.statsd else ""
        box.settings.write_text(
            f"[box]\nname = {box.name}\nplace = {box.place}\ncaller = {box.caller}\n"
            f"peer = {box.peer}\noperator = {box.operator}\n"
            f"[platform]\naddress = {self.platform}\n"
            f"[peers]\nseeds = {seeds}\n{statsd}{extra}",
            encoding="utf-8",
        )

    def _wait_listening(self, process: Process, address: str) -> None:
        host, _, port = address.rpartition(":")

        def listening() -> bool:
            if process.popen.poll() is not None:
                msg = (
                    f"{process.name} exited before it listened at {address}: "
                    f"{process.log.read_text(encoding='utf-8')[-2000:]}"
                )
                raise RuntimeError(msg)
            try:
                socket.create_connection((host, int(port)), 1.0).close()
            except OSError:
                return False
            return True

        wait_until(listening, what=f"{process.name} listens at {address}")


def place_changes(
    place: str, service: str, targets: Iterable[str], **settings: object
) -> tuple[Change, ...]:
    """Return the changes that configure a service in a place.

    Parameters
    ----------
    place, service : str
    targets : iterable of str
        Addresses.
    **settings : object
        Settings of the node by name.
    """
    path = f"{place}/{service}"
    values = {"targets": ", ".join(targets), **{n: str(v) for n, v in settings.items()}}
    return tuple(Change(path, name, value) for name, value in values.items())


def kind_changes(service: str, kind: str, **settings: object) -> tuple[Change, ...]:
    """Return the changes that configure a request kind in every place."""
    path = f"*/{service}/{kind}"
    return tuple(Change(path, name, str(value)) for name, value in settings.items())
