"""A day of an experiment, read from TOML and checked."""

from __future__ import annotations

import tomllib
from enum import StrEnum
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from dunlinnotch.errors import ConfigError

if TYPE_CHECKING:
    from pathlib import Path

#: An experiment starts no more processes than this.
BOXES_MOST = 30
_NAME = r"^[A-Za-z][A-Za-z0-9-]{0,40}$"


class FaultKind(StrEnum):
    """What goes wrong, or is done on purpose."""

    #: Callers send ``x`` times as much.
    BURST = "burst"
    #: Targets take ``x`` times as long.
    TARGET_SLOW = "target-slow"
    #: Targets end without a word; others start at other addresses afterwards.
    TARGET_CRASH = "target-crash"
    #: Links to targets say nothing.
    TARGET_SILENT = "target-silent"
    #: Links to targets are reset.
    TARGET_RESET = "target-reset"
    #: Targets run a share ``x`` of their requests and break off the answers.
    ANSWER_LOST = "answer-lost"
    #: Targets cut a share ``x`` of their answers short.
    ANSWER_CUT = "answer-cut"
    #: Targets send a share ``x`` of their answers twice.
    ANSWER_TWICE = "answer-twice"
    #: Health checks say no though the targets are well.
    HEALTH_LIES = "health-lies"
    #: Targets turn a share ``x`` of their requests away though they have room.
    TARGET_REFUSES = "target-refuses"
    #: The same, and they ask for rest with that.
    TARGET_RESTS = "target-rests"
    #: Targets say in their answers only that they leave; their rows go, and they serve on.
    TARGET_LEAVES = "target-leaves"
    #: Targets announce that they leave, end, and others take their place.
    RELEASE = "release"
    #: Boxes are killed and started again afterwards.
    BOX_KILL = "box-kill"
    #: Boxes are stopped by the scheduler and go on afterwards.
    BOX_FREEZE = "box-freeze"
    #: Boxes are asked to stop and are started again, one after the other.
    BOX_STOP = "box-stop"
    #: The store refuses every call.
    STORE_DOWN = "store-down"
    #: Links from boxes to the store say nothing.
    STORE_SILENT = "store-silent"
    #: Links from boxes to the store are reset.
    STORE_RESET = "store-reset"
    #: The store takes ``x`` seconds more.
    STORE_SLOW = "store-slow"
    #: The store forgets its history.
    STORE_FORGETS = "store-forgets"
    #: The store is away, comes back from a copy of ``x`` seconds before, and what operator
    #: and targets wrote since is written again.
    STORE_BACK = "store-back"
    #: A caller sends, ``x`` times a second, a request that ends each target that runs it.
    DEADLY_REQUEST = "deadly-request"
    #: A caller sends, ``x`` times a second, a request of long work and leaves amid it.
    CALLER_LEAVES = "caller-leaves"
    #: A request kind moves to another service.
    SETTINGS_MOVE = "settings-move"
    #: Ten versions of the settings follow each other within a second.
    SETTINGS_STORM = "settings-storm"


#: Troubles that excuse nothing: planned work, and what callers send.
PLANNED = frozenset(
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


class _Part(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class ServicePlan(_Part):
    """Targets of one service."""

    name: str = Field(pattern=_NAME)
    targets: int = Field(ge=1, le=200, description="How many there are.")
    slots: int = Field(3, ge=1, le=1000, description="Requests that each works on at once.")
    queue: int = Field(6, ge=0, le=10000, description="Requests that may wait at each.")
    hangs: bool = Field(False, description="Whether it never answers what it can't queue.")


class KindPlan(_Part):
    """One kind of request."""

    name: str = Field(pattern=_NAME)
    service: str = Field(pattern=_NAME)
    also: str | None = Field(None, description="Service that settings-move moves it to.")
    repeatable: bool
    per_s: float = Field(gt=0, le=2000, description="Requests a second, all callers together.")
    work_ms: float = Field(20, ge=0, le=60000, description="Time at an idle target.")
    target_latency_ms: float = Field(200, ge=1, le=60000)
    deadline_ms: float = Field(2000, ge=10, le=120000)
    rank: int = Field(1, ge=0, le=9, description="0 goes first.")
    retries: int = Field(2, ge=0, le=10, description="Times that a caller asks again.")
    attempts: int = Field(3, ge=1, le=9, description="Targets that one attempt may go to.")


class FaultPlan(_Part):
    """Something that happens."""

    kind: FaultKind
    at: float = Field(ge=0, description="Seconds from the start of traffic.")
    for_s: float = Field(2.0, ge=0, le=120)
    share: float = Field(0.3, gt=0, le=1, description="Part of the boxes or targets.")
    x: float = Field(2.0, ge=0, le=100, description="How strong it is.")


class Bounds(_Part):
    """Times within which promises hold, in seconds."""

    contact: float = Field(3.0, gt=0)
    drain: float = Field(2.0, gt=0)
    apply: float = Field(2.0, gt=0, description="A change of the settings is in force.")
    grace: float = Field(6.0, gt=0, description="From the stop signal to the end of a box.")
    recovery: float = Field(8.0, gt=0)
    probes_per_s: float = Field(60.0, gt=0, description="Probes of one target, all boxes.")
    repeat_ratio: float = Field(0.2, ge=0, description="Repeats for each request of a service.")
    repeat_slack: float = Field(60.0, ge=0, description="Repeats beyond that share.")
    repeat_window: float = Field(10.0, gt=0)


class Scenario(_Part):
    """One experiment."""

    name: str = Field("day", pattern=_NAME)
    seed: int = Field(1, ge=0)
    length_s: float = Field(15.0, gt=0, le=600)
    boxes: int = Field(6, ge=1, le=BOXES_MOST)
    places: tuple[str, ...] = Field(("hall-a", "hall-b", "hall-c"), min_length=1)
    services: tuple[ServicePlan, ...] = Field(min_length=1)
    kinds: tuple[KindPlan, ...] = Field(min_length=1)
    troubles: tuple[FaultPlan, ...] = ()
    bounds: Bounds = Bounds()

    @model_validator(mode="after")
    def _names_agree(self) -> Scenario:
        known = [service.name for service in self.services]
        for kind in self.kinds:
            for name in (kind.service, kind.also):
                if name is not None and name not in known:
                    msg = f"kind {kind.name!r}: service {name!r} is none of {', '.join(known)}"
                    raise ValueError(msg)
        late = [t.kind.value for t in self.troubles if t.at >= self.length_s]
        if late:
            msg = f"troubles after the end of the day ({self.length_s:g} s): {', '.join(late)}"
            raise ValueError(msg)
        return self


def read_scenario(path: Path) -> Scenario:
    """Read and check the file of a day.

    Raises
    ------
    ConfigError
        Names the field, the value received and what is allowed.
    """
    try:
        plain = tomllib.loads(path.read_text(encoding="utf-8"))
        return Scenario.model_validate(plain)
    except (OSError, UnicodeError, tomllib.TOMLDecodeError) as error:
        msg = f"{path}: {error}"
        raise ConfigError(msg) from None
    except ValidationError as error:
        lines = [_explain(e["loc"], e["msg"], e["input"]) for e in error.errors()]
        raise ConfigError("\n".join(f"{path}: {line}" for line in lines)) from None


def _explain(loc: tuple[int | str, ...], message: str, received: object) -> str:
    where = ".".join(str(part) for part in loc) or "the day"
    if message == "Field required":
        return f"{where}: missing"
    if not loc:
        return message
    return f"{where} = {received!r:.60}: {message}"
