"""Experiment scenarios: their data model, and reading one from a TOML file."""

from __future__ import annotations

import tomllib
from enum import StrEnum
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from dunlinnotch.errors import ConfigError

if TYPE_CHECKING:
    from pathlib import Path

#: Limits the number of processes that one experiment starts.
MAX_BOXES = 30
_NAME_PATTERN = r"^[A-Za-z][A-Za-z0-9-]{0,40}$"


class FaultKind(StrEnum):
    """A fault that is injected, or a planned operation that is carried out.

    ``x`` and ``for_s`` below are fields of `FaultPlan`.
    """

    #: Callers send ``x`` times the usual number of requests.
    BURST = "burst"
    #: Targets take ``x`` times as long as usual for a request.
    TARGET_SLOW = "target-slow"
    #: Targets terminate without announcing it; replacements start at other addresses.
    TARGET_CRASH = "target-crash"
    #: Links to targets forward no bytes.
    TARGET_SILENT = "target-silent"
    #: Connections to targets are reset.
    TARGET_RESET = "target-reset"
    #: Targets close the connection instead of answering a share ``x`` of the requests they run.
    ANSWER_LOST = "answer-lost"
    #: Targets truncate a share ``x`` of their answers.
    ANSWER_CUT = "answer-cut"
    #: Targets truncate a share ``x`` of their answers, which they send once more before they
    #: close the connection.
    ANSWER_FILLED = "answer-filled"
    #: Targets send a share ``x`` of their answers twice.
    ANSWER_TWICE = "answer-twice"
    #: Targets send a share ``x`` of all their answers a second time, some ms to some hundred ms
    #: later, those to health checks included. Meanwhile they refuse some requests and health
    #: checks and fail some requests, so that requests come to them again.
    DUPLICATE_ANSWERS = "duplicate-answers"
    #: Health checks of healthy targets fail.
    HEALTH_LIES = "health-lies"
    #: Targets refuse a share ``x`` of their requests although they have capacity.
    TARGET_REFUSES = "target-refuses"
    #: The same, and each refusal requests back-off.
    TARGET_RESTS = "target-rests"
    #: Targets announce that they are leaving only in their answers: their rows are removed from
    #: the store, and they continue to serve.
    TARGET_LEAVES = "target-leaves"
    #: Targets announce that they are leaving, stop, and are replaced.
    RELEASE = "release"
    #: Boxes are killed and restarted.
    BOX_KILL = "box-kill"
    #: Boxes are killed and restarted every ``x`` seconds, each time others.
    BOX_RESTARTS = "box-restarts"
    #: Box processes are suspended (SIGSTOP) and resumed.
    BOX_FREEZE = "box-freeze"
    #: Boxes are told to stop (SIGTERM) and restarted, one after the other.
    BOX_STOP = "box-stop"
    #: Boxes lose the path to all targets, while callers, the store and other boxes reach them:
    #: nothing passes (``x`` below 1), connections are reset (below 2), or new ones alone are.
    BOX_CUT_OFF = "box-cut-off"
    #: The store refuses every call.
    STORE_DOWN = "store-down"
    #: Links from boxes to the store forward no bytes.
    STORE_SILENT = "store-silent"
    #: Connections from boxes to the store are reset.
    STORE_RESET = "store-reset"
    #: The store delays each answer by ``x`` seconds.
    STORE_SLOW = "store-slow"
    #: The store drops its history of changes, so boxes must read full tables.
    STORE_FORGETS = "store-forgets"
    #: The store is unavailable, is restored from a backup that is ``x`` seconds old, and the
    #: operator and the targets then repeat the writes that were lost.
    STORE_BACK = "store-back"
    #: A caller sends ``x`` requests a second that crash every target that runs them.
    DEADLY_REQUEST = "deadly-request"
    #: A caller sends ``x`` slow requests a second and disconnects before the answer.
    CALLER_LEAVES = "caller-leaves"
    #: Request kinds are routed to another service.
    SETTINGS_MOVE = "settings-move"
    #: Ten versions of the settings are written within a second.
    SETTINGS_STORM = "settings-storm"


#: Planned operations, refusals and callers' behaviour: the balancer must keep its guarantees
#: through them, so they excuse no violation.
PLANNED_FAULTS = frozenset(
    {
        FaultKind.BURST,
        FaultKind.RELEASE,
        FaultKind.TARGET_REFUSES,
        FaultKind.TARGET_RESTS,
        FaultKind.TARGET_LEAVES,
        FaultKind.DEADLY_REQUEST,
        FaultKind.CALLER_LEAVES,
        FaultKind.BOX_STOP,
        FaultKind.SETTINGS_MOVE,
        FaultKind.SETTINGS_STORM,
    }
)


class _FrozenModel(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class ServicePlan(_FrozenModel):
    """One service and its targets."""

    name: str = Field(pattern=_NAME_PATTERN)
    targets: int = Field(ge=1, le=200, description="Number of targets.")
    slots: int = Field(3, ge=1, le=1000, description="Requests that a target runs concurrently.")
    queue: int = Field(6, ge=0, le=10000, description="Requests that may queue at a target.")
    hangs: bool = Field(False, description="Never answer requests beyond the queue.")


class KindPlan(_FrozenModel):
    """One kind of request."""

    name: str = Field(pattern=_NAME_PATTERN)
    service: str = Field(pattern=_NAME_PATTERN)
    also: str | None = Field(None, description="Service that settings-move routes it to.")
    repeatable: bool
    per_s: float = Field(gt=0, le=2000, description="Requests a second from all callers.")
    work_ms: float = Field(20, ge=0, le=60000, description="Processing time at an idle target.")
    target_latency_ms: float = Field(200, ge=1, le=60000)
    deadline_ms: float = Field(2000, ge=10, le=120000)
    rank: int = Field(1, ge=0, le=9, description="Priority; 0 is the highest.")
    retries: int = Field(2, ge=0, le=10, description="Retries by the caller.")
    attempts: int = Field(3, ge=1, le=9, description="Targets that one attempt may be sent to.")


class FaultPlan(_FrozenModel):
    """One fault of a scenario."""

    kind: FaultKind
    at: float = Field(ge=0, description="Start, in seconds after the traffic starts.")
    for_s: float = Field(2.0, ge=0, le=120)
    share: float = Field(0.3, gt=0, le=1, description="Share of the boxes or targets affected.")
    x: float = Field(2.0, ge=0, le=100, description="Strength; its meaning depends on the kind.")


class Bounds(_FrozenModel):
    """Limits that the guarantees are checked against; times in seconds."""

    contact: float = Field(3.0, gt=0)
    drain: float = Field(2.0, gt=0)
    apply: float = Field(2.0, gt=0, description="Until a settings change is active.")
    grace: float = Field(6.0, gt=0, description="From the stop signal to the exit of a box.")
    recovery: float = Field(8.0, gt=0)
    probes_per_s: float = Field(60.0, gt=0, description="Probes of one target by all boxes.")
    repeat_ratio: float = Field(0.2, ge=0, description="Retries per request of a service.")
    repeat_slack: float = Field(60.0, ge=0, description="Retries allowed beyond the ratio.")
    repeat_window: float = Field(10.0, gt=0)


class Scenario(_FrozenModel):
    """One experiment: boxes, services, request kinds and faults."""

    name: str = Field("day", pattern=_NAME_PATTERN)
    seed: int = Field(1, ge=0)
    length_s: float = Field(15.0, gt=0, le=600)
    boxes: int = Field(6, ge=1, le=MAX_BOXES)
    places: tuple[str, ...] = Field(("hall-a", "hall-b", "hall-c"), min_length=1)
    services: tuple[ServicePlan, ...] = Field(min_length=1)
    kinds: tuple[KindPlan, ...] = Field(min_length=1)
    troubles: tuple[FaultPlan, ...] = ()
    bounds: Bounds = Bounds()

    @model_validator(mode="after")
    def _check_references(self) -> Scenario:
        service_names = [service.name for service in self.services]
        for kind in self.kinds:
            for name in (kind.service, kind.also):
                if name is not None and name not in service_names:
                    msg = (
                        f"kind {kind.name!r}: unknown service {name!r}; "
                        f"defined are {', '.join(service_names)}"
                    )
                    raise ValueError(msg)
        late_faults = [t.kind.value for t in self.troubles if t.at >= self.length_s]
        if late_faults:
            msg = (
                f"troubles must start before length_s = {self.length_s:g}; "
                f"starting later: {', '.join(late_faults)}"
            )
            raise ValueError(msg)
        return self


def read_scenario(path: Path) -> Scenario:
    """Read a scenario from a TOML file and validate it.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    Scenario

    Raises
    ------
    ConfigError
        If the file cannot be read or is invalid. The message names each invalid field, the
        value received and the values allowed.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
        return Scenario.model_validate(document)
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as error:
        msg = f"{path}: {error}"
        raise ConfigError(msg) from None
    except ValidationError as error:
        lines = [_format_error(e["loc"], e["msg"], e["input"]) for e in error.errors()]
        raise ConfigError("\n".join(f"{path}: {line}" for line in lines)) from None


def _format_error(loc: tuple[int | str, ...], message: str, received: object) -> str:
    field_path = ".".join(str(part) for part in loc) or "scenario"
    if message == "Field required":
        return f"{field_path}: missing"
    if not loc:
        return message
    return f"{field_path} = {received!r:.60}: {message}"
