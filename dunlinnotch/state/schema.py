"""The schema of the settings tree: each setting's type, unit, default and range.

Values are kept in the tree as text, as an operator typed them, and are
checked by :mod:`pydantic` when they are set.
"""

from __future__ import annotations

import difflib
import re
from enum import StrEnum
from typing import Annotated, Any

from pydantic import AfterValidator, BaseModel, BeforeValidator, ConfigDict, Field, ValidationError
from pydantic_core import PydanticUndefined

from dunlinnotch.errors import SettingsError

_ADDRESS = re.compile(r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$|^\[[0-9a-fA-F:]+\]:\d{1,5}$")


class RunState(StrEnum):
    """Whether new work may go to a place, a box or a target."""

    RUNNING = "running"
    DRAINING = "draining"
    STOPPED = "stopped"


def split_list(value: object) -> object:
    """Split a comma-separated text; pass anything else through."""
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def check_address(address: str) -> str:
    """Return ``address`` if it is a numeric ``host:port``.

    Raises
    ------
    ValueError
        For anything else.
    """
    if not _ADDRESS.match(address) or not 0 < int(address.rsplit(":", 1)[1]) < 65536:
        msg = f"{address!r} is not an IP number with a port, such as 10.0.0.7:8080"
        raise ValueError(msg)
    return address


NumericAddress = Annotated[str, AfterValidator(check_address)]
AddressList = Annotated[tuple[NumericAddress, ...], BeforeValidator(split_list)]


def _unit(unit: str) -> dict[str, Any]:
    return {"unit": unit}


class Settings(BaseModel):
    """All settings in force at one node of the tree, defaults filled in.

    Notes
    -----
    The field's description, unit, default and range are the source of
    ``docs/SETTINGS.md``.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    state: RunState = Field(
        RunState.RUNNING, description="Whether new work may go to this place, box or target."
    )
    weight: float = Field(
        1.0, ge=0, le=1000, description="Share of a service's calls that this place takes."
    )
    targets: AddressList = Field((), description="Addresses of the service's targets here.")
    slots: int = Field(
        6,
        ge=1,
        le=1024,
        description="Calls one target runs at once.",
        json_schema_extra=_unit("calls"),
    )
    connections: int = Field(
        250,
        ge=1,
        le=65535,
        description="Connections one target accepts, from all boxes together.",
        json_schema_extra=_unit("connections"),
    )
    subset: int = Field(
        10, ge=1, le=1000, description="Targets of a service one box works with in each place."
    )
    boxes_max: int = Field(
        18,
        ge=1,
        le=10000,
        description="Most boxes that may run at once; budgets are divided by it.",
        json_schema_extra=_unit("boxes"),
    )
    target_queue: float = Field(
        1.0,
        ge=0,
        le=100,
        description="Calls let wait at a target beyond its slots before the box queues.",
        json_schema_extra=_unit("calls"),
    )
    probe_rate: float = Field(
        2.0,
        ge=0,
        le=1000,
        description="Most probes one target gets from all boxes together.",
        json_schema_extra=_unit("1/s"),
    )
    probe_share: float = Field(
        0.01, ge=0, le=1, description="Most of one target's slot time that probes may take."
    )
    probe_cost_ms: float = Field(
        6.0,
        gt=0,
        le=10000,
        description="Time one probe takes of a slot.",
        json_schema_extra=_unit("ms"),
    )
    eject_after: int = Field(
        3, ge=1, le=1000, description="Errors in a row after which a target gets only trial calls."
    )
    eject_share: float = Field(
        0.4, ge=0, le=1, description="Most of a service's targets that may be set aside at once."
    )
    trial_s: float = Field(
        0.5,
        gt=0,
        le=600,
        description="Time between trial calls to a target set aside.",
        json_schema_extra=_unit("s"),
    )
    warm_up_s: float = Field(
        5.0,
        ge=0,
        le=3600,
        description="Time over which a cold target's share grows to the full one.",
        json_schema_extra=_unit("s"),
    )
    repeatable: bool = Field(
        False, description="Whether a call of this kind may run more than once without harm."
    )
    rank: int = Field(
        5, ge=0, le=9, description="Order in which queued calls go; 0 goes first, strictly."
    )
    share: float = Field(
        1.0, gt=0, le=1000, description="Weight of this kind among kinds of the same rank."
    )
    deadline_ms: float = Field(
        10000.0,
        gt=0,
        le=3600000,
        description="Time for a call that states none.",
        json_schema_extra=_unit("ms"),
    )
    queue_ms: float = Field(
        250.0,
        ge=0,
        le=600000,
        description="Longest wait for a slot before a call is refused as not run.",
        json_schema_extra=_unit("ms"),
    )
    attempts: int = Field(
        3, ge=1, le=10, description="Targets tried for one call, the first one included."
    )
    retry_share: float = Field(
        0.1, ge=0, le=1, description="Retries allowed as a share of first attempts."
    )
    once_window_s: float = Field(
        600.0,
        ge=1,
        le=86400,
        description="Time for which a once-key is valid and remembered.",
        json_schema_extra=_unit("s"),
    )
    keep_s: float = Field(
        10.0,
        ge=0.1,
        le=3600,
        description="Time for which a caller keeps an address answer.",
        json_schema_extra=_unit("s"),
    )
    cut_off_s: float = Field(
        10.0,
        ge=1,
        le=3600,
        description="A box that hears neither table nor peer this long takes no new work.",
        json_schema_extra=_unit("s"),
    )


FIELD_NAMES = tuple(Settings.model_fields)


def check_name(name: str) -> None:
    """Check that ``name`` is a known setting.

    Raises
    ------
    SettingsError
        Names the nearest known setting.
    """
    if name in Settings.model_fields:
        return
    near = difflib.get_close_matches(name, FIELD_NAMES, n=1)
    hint = f"; did you mean {near[0]!r}?" if near else ""
    msg = f"unknown setting {name!r}{hint} Known: {', '.join(FIELD_NAMES)}"
    raise SettingsError(msg)


def check_value(name: str, text: str) -> None:
    """Check that ``text`` is an allowed value of the setting ``name``.

    Raises
    ------
    SettingsError
        Names the setting, the value received and the values allowed.
    """
    check_name(name)
    try:
        Settings.model_validate({name: text})
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        msg = f"{name} = {text!r}: {reason}; allowed: {allowed(name)}"
        raise SettingsError(msg) from None


def allowed(name: str) -> str:
    """Return a sentence on the values that ``name`` may take, with unit."""
    field = Settings.model_fields[name]
    bounds = [
        f"{type(m).__name__.lower()} {next(iter(vars_of(m)))}" for m in field.metadata if vars_of(m)
    ]
    kind = field.annotation
    if isinstance(kind, type) and issubclass(kind, StrEnum):
        return " | ".join(kind)
    named = getattr(kind, "__name__", "list of addresses")
    named = "list of addresses" if named == "tuple" else named
    return ", ".join([named, *bounds, *([u] if (u := unit_of(name)) else [])])


def vars_of(constraint: object) -> list[object]:
    """Return the bound held by an ``annotated_types`` constraint, if any."""
    return [
        getattr(constraint, key) for key in ("ge", "gt", "le", "lt") if hasattr(constraint, key)
    ]


def unit_of(name: str) -> str:
    """Return the unit of the setting ``name``, or an empty text."""
    extra = Settings.model_fields[name].json_schema_extra
    return str(extra["unit"]) if isinstance(extra, dict) and "unit" in extra else ""


def default_of(name: str) -> object:
    """Return the default of the setting ``name``."""
    value = Settings.model_fields[name].default
    return None if value is PydanticUndefined else value
