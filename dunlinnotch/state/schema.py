"""Schema of the settings tree: type, unit, default and range of each setting.

The tree holds values as the text that an operator typed; :mod:`pydantic` validates them
when they are set.
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
    """Return the items of a comma-separated string; any other value unchanged."""
    if not isinstance(value, str):
        return value
    return tuple(part.strip() for part in value.split(",") if part.strip())


def check_address(address: str) -> str:
    """Return ``address`` if it is a numeric ``host:port``.

    Raises
    ------
    ValueError
        If it is not.
    """
    if not _ADDRESS.match(address) or not 0 < int(address.rsplit(":", 1)[1]) < 65536:
        msg = (
            f"{address!r} is not an IP address with a port, such as 10.0.0.7:8080 or [fd00::7]:8080"
        )
        raise ValueError(msg)
    return address


NumericAddress = Annotated[str, AfterValidator(check_address)]
AddressList = Annotated[tuple[NumericAddress, ...], BeforeValidator(split_list)]


def _unit(unit: str) -> dict[str, Any]:
    return {"unit": unit}


class Settings(BaseModel):
    """All effective settings of one node of the tree, with defaults.

    Notes
    -----
    ``docs/SETTINGS.md`` is generated from the fields.
    """

    model_config = ConfigDict(frozen=True, extra="forbid")

    state: RunState = Field(
        RunState.RUNNING, description="Whether new work may go to this place, box or target."
    )
    weight: float = Field(
        1.0,
        ge=0,
        le=1000,
        description="Weight of this place in the split of a service's calls over places.",
    )
    targets: AddressList = Field((), description="Addresses of the service's targets here.")
    slots: int = Field(
        6,
        ge=1,
        le=1024,
        description="Calls that one target runs at once.",
        json_schema_extra=_unit("calls"),
    )
    connections: int = Field(
        250,
        ge=1,
        le=65535,
        description="Connections that one target accepts from all boxes together.",
        json_schema_extra=_unit("connections"),
    )
    subset: int = Field(
        10, ge=1, le=1000, description="Targets of a service that one box uses in each place."
    )
    boxes_max: int = Field(
        18,
        ge=1,
        le=10000,
        description="Maximum number of running boxes; budgets are divided by it.",
        json_schema_extra=_unit("boxes"),
    )
    target_queue: float = Field(
        1.0,
        ge=0,
        le=100,
        description="Calls that may wait at a target beyond its slots before the box queues calls.",
        json_schema_extra=_unit("calls"),
    )
    probe_rate: float = Field(
        2.0,
        ge=0,
        le=1000,
        description="Maximum rate of probes to one target by all boxes.",
        json_schema_extra=_unit("1/s"),
    )
    probe_share: float = Field(
        0.01, ge=0, le=1, description="Maximum share of a target's slot time for probes."
    )
    probe_cost_ms: float = Field(
        6.0,
        gt=0,
        le=10000,
        description="Slot time that one probe uses.",
        json_schema_extra=_unit("ms"),
    )
    eject_after: int = Field(
        3, ge=1, le=1000, description="Consecutive errors after which a target is ejected."
    )
    eject_share: float = Field(
        0.4, ge=0, le=1, description="Maximum share of a service's targets ejected at once."
    )
    trial_s: float = Field(
        0.5,
        gt=0,
        le=600,
        description="Interval between trial calls to an ejected target.",
        json_schema_extra=_unit("s"),
    )
    warm_up_s: float = Field(
        5.0,
        ge=0,
        le=3600,
        description="Duration of the slow start of a target that is warming up.",
        json_schema_extra=_unit("s"),
    )
    repeatable: bool = Field(
        False, description="Whether a call of this kind is safe to retry after it may have run."
    )
    rank: int = Field(
        5, ge=0, le=9, description="Strict priority of queued calls; 0 is the highest."
    )
    share: float = Field(
        1.0, gt=0, le=1000, description="Weight of this kind among kinds of the same rank."
    )
    deadline_ms: float = Field(
        10000.0,
        gt=0,
        le=3600000,
        description="Deadline of a call that states none.",
        json_schema_extra=_unit("ms"),
    )
    queue_ms: float = Field(
        250.0,
        ge=0,
        le=600000,
        description="Maximum wait for a slot, after which a call is refused as not run.",
        json_schema_extra=_unit("ms"),
    )
    attempts: int = Field(
        3, ge=1, le=10, description="Maximum attempts for one call, the first one included."
    )
    retry_share: float = Field(
        0.1, ge=0, le=1, description="Retries allowed as a share of first attempts."
    )
    once_window_s: float = Field(
        600.0,
        ge=1,
        le=86400,
        description="Time for which an idempotency key is valid and remembered.",
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
        description="Time without contact to table and peers after which a box refuses new work.",
        json_schema_extra=_unit("s"),
    )


FIELD_NAMES = tuple(Settings.model_fields)


def check_name(name: str) -> None:
    """Check that ``name`` is a known setting.

    Raises
    ------
    SettingsError
        If it is not; names the nearest known setting and all known ones.
    """
    if name in Settings.model_fields:
        return
    nearest = difflib.get_close_matches(name, FIELD_NAMES, n=1)
    hint = f"; did you mean {nearest[0]!r}?" if nearest else "."
    msg = f"unknown setting {name!r}{hint} Known: {', '.join(FIELD_NAMES)}"
    raise SettingsError(msg)


def check_value(name: str, text: str) -> None:
    """Check that ``text`` is an allowed value of the setting ``name``.

    Raises
    ------
    SettingsError
        If it is not; names the setting, the value received and the values allowed.
    """
    check_name(name)
    try:
        Settings.model_validate({name: text})
    except ValidationError as error:
        reason = error.errors()[0]["msg"]
        msg = f"{name} = {text!r}: {reason}; allowed: {allowed(name)}"
        raise SettingsError(msg) from None


def allowed(name: str) -> str:
    """Return a description of the values allowed for the setting ``name``, with unit."""
    field = Settings.model_fields[name]
    bounds = [
        f"{type(m).__name__.lower()} {next(iter(bounds_of(m)))}"
        for m in field.metadata
        if bounds_of(m)
    ]
    annotation = field.annotation
    if isinstance(annotation, type) and issubclass(annotation, StrEnum):
        return " | ".join(annotation)
    type_name = getattr(annotation, "__name__", "list of addresses")
    type_name = "list of addresses" if type_name == "tuple" else type_name
    return ", ".join([type_name, *bounds, *([u] if (u := unit_of(name)) else [])])


def bounds_of(constraint: object) -> list[object]:
    """Return the bound held by an ``annotated_types`` constraint, if any."""
    return [
        getattr(constraint, key) for key in ("ge", "gt", "le", "lt") if hasattr(constraint, key)
    ]


def unit_of(name: str) -> str:
    """Return the unit of the setting ``name``, or an empty string."""
    extra = Settings.model_fields[name].json_schema_extra
    return str(extra["unit"]) if isinstance(extra, dict) and "unit" in extra else ""


def default_of(name: str) -> object:
    """Return the default of the setting ``name``."""
    value = Settings.model_fields[name].default
    return None if value is PydanticUndefined else value
