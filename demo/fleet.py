"""Start platform, targets and boxes as plain processes, and end just these.

All listen on one loopback address drawn for the run, so that neither another
run nor an outgoing connection can take a port between its choice and its use.
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

_READY_S = 20.0
_LOOK_S = 0.02


def wait_until(condition: Callable[[], T], *, what: str, timeout: float = _READY_S) -> T:
    """Return the first true value of ``condition``.

    Raises
    ------
    TimeoutError
        Names what was waited for.
    """
    until = time.monotonic() + timeout
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(_LOOK_S)
    msg = f"not within {timeout} s: {what}"
    raise TimeoutError(msg)


def _exit_by_signal(number: int, _: object) -> None:
    """End the process as an error would, so that what it started is ended too."""
    raise SystemExit(128 + number)


@dataclass(slots=True)
class Process:
    """One process of the fleet."""

    name: str
    popen: subprocess.Popen[bytes]
    log: Path

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to this process alone."""
        if self.popen.poll() is None:
            os.kill(self.popen.pid, number)

    def kill(self) -> None:
        """Kill the process and reap it."""
        self.send_signal(signal.SIGKILL)
        self.popen.wait()


@dataclass(slots=True)
class TargetProcess:
    """A target with its ports."""

    process: Process
    address: str
    faults: str


@dataclass(slots=True)
class BoxProcess:
    """A box with its ports."""

    process: Process
    name: str
    place: str
    caller: str
    peer: str
    operator: str
    settings: Path


@dataclass(slots=True)
class Fleet:
    """A running system.

    Parameters
    ----------
    directory : Path
        For settings and logs.
    """

    directory: Path
    boxes: dict[str, BoxProcess] = field(default_factory=dict)
    targets: list[TargetProcess] = field(default_factory=list)
    platform: str = ""
    platform_faults: str = ""
    processes: list[Process] = field(default_factory=list)
    statsd: str = ""
    given: set[str] = field(default_factory=set)
    _before: Any = None
    http: urllib3.PoolManager = field(
        default_factory=lambda: urllib3.PoolManager(retries=False, timeout=10.0)
    )
    host: str = field(
        default_factory=lambda: f"127.{random.randint(1, 250)}.{random.randint(1, 250)}.1"
    )

    def __enter__(self) -> Fleet:
        # Without this, a time limit that ends the tool leaves its processes running.
        if threading.current_thread() is threading.main_thread():
            self._before = signal.signal(signal.SIGTERM, _exit_by_signal)
        return self

    def __exit__(self, *_: object) -> None:
        for process in self.processes:
            process.kill()
        if self._before is not None:
            signal.signal(signal.SIGTERM, self._before)

    def free_addresses(self, count: int) -> list[str]:
        """Return addresses with ports from the kernel, none of them given out before."""
        found: list[str] = []
        while len(found) < count:
            with socket.create_server((self.host, 0)) as sock:
                address = f"{self.host}:{sock.getsockname()[1]}"
            if address not in self.given:
                self.given.add(address)
                found.append(address)
        return found

    def start(self, name: str, *arguments: str) -> Process:
        """Start a Python module of the package."""
        log = self.directory / f"{name}.log"
        with log.open("ab") as out:
            popen = subprocess.Popen(
                [sys.executable, "-m", *arguments], stdout=out, stderr=out, stdin=subprocess.DEVNULL
            )
        process = Process(name, popen, log)
        self.processes.append(process)
        return process

    def start_platform(self) -> None:
        """Start the platform's stand-in."""
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
        """Start targets; return their addresses."""
        started = []
        for _ in range(count):
            address, faults = self.free_addresses(2)
            process = self.start(
                f"target-{len(self.targets) + 1}",
                "dunlinnotch.standins.target",
                *("--listen", address, "--faults", faults),
                *("--slots", str(slots), "--work-ms", str(work_ms)),
            )
            self.targets.append(TargetProcess(process, address, faults))
            started.append(self.targets[-1])
        for target in started:
            self._wait_listening(target.process, target.faults)
        return [target.address for target in started]

    def start_boxes(self, places: dict[str, str], *, extra: str = "") -> None:
        """Start boxes, given as name and place, and list them at the platform."""
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
        """Start the process of a box that is not running."""
        box = self.boxes[name]
        box.process = self.start(name, "dunlinnotch.daemon", "--settings", str(box.settings))
        if wait:
            self._wait_listening(box.process, box.operator)

    def list_boxes(self, boxes: Iterable[BoxProcess]) -> None:
        """Set the platform's list."""
        listed = tuple(ListedBox(box.name, box.peer) for box in boxes)
        self.post(self.platform_faults, "/boxes", listed)

    def set_platform_faults(self, faults: PlatformFaults) -> None:
        """Put faults in force at the platform."""
        self.post(self.platform_faults, "/faults", faults)

    def set_target_faults(self, index: int, faults: TargetFaults) -> None:
        """Put faults in force at a target."""
        self.post(self.targets[index].faults, "/faults", faults)

    def target_report(self, index: int) -> TargetReport:
        """Return what a target has done."""
        response = self.http.request("GET", f"http://{self.targets[index].faults}/report")
        return _codec.from_json(TargetReport, response.data)

    def post(self, address: str, path: str, value: object) -> bytes:
        """Send JSON to a fault port."""
        body = _codec.to_json(value)
        return self.http.request("POST", f"http://{address}{path}", body=body).data

    def operator(self, name: str) -> OperatorClient:
        """Return a client of one box's operator port."""
        return OperatorClient([self.boxes[name].operator])

    def edit(self, name: str, *changes: Change, wait_s: float = 20.0) -> EditResult:
        """Make an edit by way of one box."""
        client = self.operator(name)
        edit = Edit(uuid.uuid4().hex, client.tree().version, "demo", changes)
        return client.edit(EditRequest(edit, wait_s))

    def wait_for_membership(self, count: int) -> None:
        """Wait until each box knows ``count`` boxes."""
        for name in self.boxes:
            wait_until(partial(self._knows, name, count), what=f"{name} knows {count} boxes")

    def _knows(self, name: str, count: int) -> bool:
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
                msg = f"{process.name} ended: {process.log.read_text(encoding='utf-8')[-2000:]}"
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
    """Return the changes that put a service into a place."""
    path = f"{place}/{service}"
    values = {"targets": ", ".join(targets), **{n: str(v) for n, v in settings.items()}}
    return tuple(Change(path, name, value) for name, value in values.items())


def kind_changes(service: str, kind: str, **settings: object) -> tuple[Change, ...]:
    """Return the changes that define a request kind in every place."""
    path = f"*/{service}/{kind}"
    return tuple(Change(path, name, str(value)) for name, value in settings.items())
