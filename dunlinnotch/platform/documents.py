"""Parse the settings document of the operator and the rows that describe workers."""

from __future__ import annotations

import json
from typing import Any

from dunlinnotch._addresses import is_ipv4_address
from dunlinnotch.errors import SettingsError
from dunlinnotch.platform.units import seconds, version
from dunlinnotch.state.instances import ListedTarget
from dunlinnotch.state.routes import (
    CallerLimits,
    RequestKind,
    RouteTable,
    ServiceInfo,
    ServiceShare,
)

OPERATOR_TABLE, OPERATOR_KEY = "op", "config"
TARGETS_TABLE = "servers"

_ROUTE_TYPES = ("safe", "unsafe", "upload")
_STATES = ("ready", "draining")
_DEFAULT_CONNECTIONS = 256
#: Largest integer that every JSON parser represents exactly; no count here is larger.
_MAX_INTEGER = 2**53
#: Limit that rejects implausible numbers of slots: targets have up to some hundred.
_MAX_SLOTS = 100_000
#: Limit that rejects implausible durations.
_MAX_SECONDS = 86_400.0


def read_document(data: bytes) -> RouteTable:
    """Parse the settings document of the operator.

    Raises
    ------
    SettingsError
        Names the first invalid field.
    """
    fields = _parse_object(data, "the document")
    services = {}
    for number, service in enumerate(_read_list(fields, "services", "")):
        info = _read_service(service, f"services.{number}")
        services[info.name] = info
    routes = _read_list(fields, "routes", "")
    kinds = tuple(_read_route(route, f"routes.{n}") for n, route in enumerate(routes))
    for kind in kinds:
        for share in kind.shares:
            if share.service not in services:
                msg = f"route {kind.name}: service = {share.service!r}; allowed: {sorted(services)}"
                raise SettingsError(msg)
    return RouteTable(
        version(fields.get("version"), "version"),
        kinds,
        services,
        _read_limits(fields.get("limits") or {}),
    )


def read_worker(key: str, data: bytes) -> ListedTarget:
    """Parse the row of a worker.

    Parameters
    ----------
    key : str
        Id of the worker.  In rows with ``born``, a worker keeps its id when it starts again.
    data : bytes
        JSON.  Rows may be written by anybody, so every field is checked.

    Raises
    ------
    SettingsError
        Names the first invalid field.
    """
    if not _fits_head(key):
        msg = f"key = {key!r:.60}: it must be printable Latin-1 text, as a header is to hold it"
        raise SettingsError(msg)
    fields = _parse_object(data, key)
    info, status = fields.get("info"), fields.get("status")
    if not isinstance(info, dict) or not isinstance(status, dict):
        msg = f"{key}: info = {info!r:.60}, status = {status!r:.60}: both must be JSON objects"
        raise SettingsError(msg)
    state = status.get("state")
    if not isinstance(state, str) or state not in _STATES:
        msg = f"{key}: status.state = {state!r}; allowed: {', '.join(_STATES)}"
        raise SettingsError(msg)
    return ListedTarget(
        instance=key,
        service=_read_text(info, "service", f"{key}: info."),
        place=_read_text(info, "zone", f"{key}: info."),
        address=_read_address(fields, "address", f"{key}: "),
        slots=_read_integer(info, "capacity", f"{key}: info.", minimum=1, maximum=_MAX_SLOTS),
        leaving=state == "draining",
        sequence=_read_integer(status, "sequence", f"{key}: status."),
        slow_start_s=_read_duration(status, "warmup-left", f"{key}: status.", default=0.0),
        born=_read_integer(fields, "born", f"{key}: ", minimum=1) if "born" in fields else 0,
    )


def _read_route(fields: Any, path: str) -> RequestKind:  # noqa: ANN401 - checked here
    if not isinstance(fields, dict):
        msg = f"{path} = {fields!r}: a JSON object is needed"
        raise SettingsError(msg)
    parent = f"{path}."
    route_type = fields.get("route-type")
    if not isinstance(route_type, str) or route_type not in _ROUTE_TYPES:
        msg = f"{parent}route-type = {route_type!r}; allowed: {', '.join(_ROUTE_TYPES)}"
        raise SettingsError(msg)
    prefix = _read_text(fields, "path-prefix", parent)
    if not prefix.startswith("/"):
        msg = f"{parent}path-prefix = {prefix!r}: it must begin with a slash"
        raise SettingsError(msg)
    return RequestKind(
        name=_read_text(fields, "name", parent),
        host=_read_text(fields, "host", parent).lower(),
        prefix=prefix,
        idempotent=route_type == "safe",
        upload=route_type == "upload",
        timeout=_read_duration(fields, "timeout", parent),
        target_latency=_read_duration(fields, "target-latency", parent),
        attempts=max(1, _read_integer(fields, "max-attempts", parent)),
        rank=_read_integer(fields, "priority", parent),
        shares=_read_shares(fields, parent),
    )


def _read_shares(fields: dict[str, Any], parent: str) -> tuple[ServiceShare, ...]:
    split = fields.get("traffic-split")
    if not split:
        return (ServiceShare(_read_text(fields, "service", parent), 1.0),)
    shares = []
    for number, part in enumerate(_read_list(fields, "traffic-split", parent)):
        path = f"{parent}traffic-split.{number}."
        weight = part.get("weight") if isinstance(part, dict) else None
        if isinstance(weight, bool) or not isinstance(weight, int | float):
            weight = -1
        if not 0 <= weight <= _MAX_INTEGER:
            msg = f"{path}weight = {weight!r}: allowed is a number of 0 or more"
            raise SettingsError(msg)
        shares.append(ServiceShare(_read_text(part, "service", path), float(weight)))
    if not sum(share.weight for share in shares):
        msg = f"{parent}traffic-split: at least one weight must be above 0"
        raise SettingsError(msg)
    return tuple(shares)


def _read_service(fields: Any, path: str) -> ServiceInfo:  # noqa: ANN401 - checked here
    if not isinstance(fields, dict):
        msg = f"{path} = {fields!r}: a JSON object is needed"
        raise SettingsError(msg)
    return ServiceInfo(
        name=_read_text(fields, "name", f"{path}."),
        probe_path=_read_probe_path(fields, path) if fields.get("health-path") else "",
        connections=_read_integer_or(fields, "max-connections", f"{path}.", _DEFAULT_CONNECTIONS),
    )


def _read_probe_path(fields: dict[str, Any], path: str) -> str:
    probe_path = _read_text(fields, "health-path", f"{path}.")
    if " " in probe_path or not _fits_head(probe_path):
        msg = (
            f"{path}.health-path = {probe_path!r:.60}: needed is printable Latin-1 text without "
            "spaces, as in /health"
        )
        raise SettingsError(msg)
    return probe_path


def _read_limits(fields: Any) -> CallerLimits:  # noqa: ANN401 - checked here
    if not isinstance(fields, dict):
        msg = f"limits = {fields!r:.60}: a JSON object is needed"
        raise SettingsError(msg)
    default = CallerLimits()
    return CallerLimits(
        head_bytes=_read_integer_or(fields, "max-header-bytes", "limits.", default.head_bytes),
        body_bytes=_read_integer_or(fields, "max-body-bytes", "limits.", default.body_bytes),
        head_s=_read_duration(fields, "header-timeout", "limits.", default=default.head_s),
        idle_s=_read_duration(fields, "idle-timeout", "limits.", default=default.idle_s),
    )


def _read_duration(
    fields: dict[str, Any], name: str, parent: str, *, default: float | None = None
) -> float:
    """Return a duration in seconds; if the field is missing, the default if there is one."""
    value = fields.get(name)
    if value is None and default is not None:
        return default
    duration = seconds(value, f"{parent}{name}")
    if duration > _MAX_SECONDS:
        msg = f"{parent}{name} = {value!r:.60}: the maximum is {_MAX_SECONDS:g} s"
        raise SettingsError(msg)
    return duration


def _read_integer_or(fields: dict[str, Any], name: str, parent: str, default: int) -> int:
    return _read_integer(fields, name, parent) if fields.get(name) else default


def _read_address(fields: dict[str, Any], name: str, parent: str) -> str:
    value = _read_text(fields, name, parent)
    if not is_ipv4_address(value):
        msg = f"{parent}{name} = {value!r:.60}: needed is an IPv4 address with port, as 10.0.0.1:80"
        raise SettingsError(msg)
    return value


def _parse_object(data: bytes, path: str) -> dict[str, Any]:
    try:
        fields = json.loads(data, parse_constant=_reject_constant)
    except (ValueError, RecursionError) as error:
        msg = f"{path}: invalid JSON: {error}"
        raise SettingsError(msg) from None
    if not isinstance(fields, dict):
        msg = f"{path}: a JSON object is needed; received {type(fields).__name__}"
        raise SettingsError(msg)
    return fields


def _reject_constant(name: str) -> float:
    msg = f"{name} is not allowed in JSON"
    raise ValueError(msg)


def _read_list(fields: dict[str, Any], name: str, parent: str) -> list[Any]:
    value = fields.get(name)
    if not isinstance(value, list):
        msg = f"{parent}{name} = {value!r:.60}: a list is needed"
        raise SettingsError(msg)
    return value


def _read_text(fields: dict[str, Any], name: str, parent: str) -> str:
    value = fields.get(name)
    if not isinstance(value, str) or not value or not _is_encodable(value):
        msg = f"{parent}{name} = {value!r:.60}: a non-empty string that UTF-8 can hold is needed"
        raise SettingsError(msg)
    return value


def _fits_head(text: str) -> bool:
    """Return whether the head of a request can hold a text without a change to other lines."""
    return text.isprintable() and _is_encodable(text, "latin-1")


def _is_encodable(text: str, encoding: str = "utf-8") -> bool:
    """Return whether an encoding can hold a text; JSON can also hold half a surrogate pair."""
    try:
        text.encode(encoding)
    except UnicodeEncodeError:
        return False
    return True


def _read_integer(
    fields: dict[str, Any], name: str, parent: str, *, minimum: int = 0, maximum: int = _MAX_INTEGER
) -> int:
    value = fields.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or not minimum <= value <= maximum:
        msg = f"{parent}{name} = {value!r:.60}: an integer from {minimum} to {maximum} is needed"
        raise SettingsError(msg)
    return value
