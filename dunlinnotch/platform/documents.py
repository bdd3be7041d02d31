"""Read the operator's document and the rows in which workers record themselves."""

from __future__ import annotations

import json
from ipaddress import IPv4Address
from typing import Any

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
#: Whole numbers above this are no counts of anything here: JSON readers keep them exactly.
_WHOLE_MOST = 2**53
_PORT_MOST = 65_535
#: Slots above this are a mistake: a target has a few to some hundred.
_SLOTS_MOST = 100_000
#: Seconds above this are a mistake, in bounds and in times of a target.
_SECONDS_MOST = 86_400.0


def read_document(data: bytes) -> RouteTable:
    """Return the route table in an operator's document.

    Raises
    ------
    SettingsError
        Names the first field that does not fit.
    """
    plain = _object(data, "the document")
    services = {}
    for number, service in enumerate(_list(plain, "services", "")):
        info = _read_service(service, f"services.{number}")
        services[info.name] = info
    routes = _list(plain, "routes", "")
    kinds = tuple(_read_route(route, f"routes.{n}") for n, route in enumerate(routes))
    for kind in kinds:
        for share in kind.shares:
            if share.service not in services:
                msg = f"route {kind.name}: service = {share.service!r}; known: {sorted(services)}"
                raise SettingsError(msg)
    return RouteTable(
        version(plain.get("version"), "version"),
        kinds,
        services,
        _read_limits(plain.get("limits") or {}),
    )


def read_worker(key: str, data: bytes) -> ListedTarget:
    """Return what a worker's row says.

    Parameters
    ----------
    key : str
        The worker's id, the same for each of its starts where rows tell ``born``.
    data : bytes
        Others may write rows too, so nothing is taken for granted.

    Raises
    ------
    SettingsError
        Names the first field that does not fit.
    """
    plain = _object(data, key)
    info, status = plain.get("info"), plain.get("status")
    if not isinstance(info, dict) or not isinstance(status, dict):
        msg = f"{key}: info and status are needed"
        raise SettingsError(msg)
    state = status.get("state")
    if not isinstance(state, str) or state not in _STATES:
        msg = f"{key}: status.state = {state!r}; allowed: {', '.join(_STATES)}"
        raise SettingsError(msg)
    return ListedTarget(
        instance=key,
        service=_text(info, "service", f"{key}: info."),
        place=_text(info, "zone", f"{key}: info."),
        address=_address(plain, "address", f"{key}: "),
        slots=_whole(info, "capacity", f"{key}: info.", least=1, most=_SLOTS_MOST),
        leaving=state == "draining",
        sequence=_whole(status, "sequence", f"{key}: status."),
        slow_start_s=_time(status, "warmup-left", f"{key}: status.", usual=0.0),
        born=_whole(plain, "born", f"{key}: ", least=1) if "born" in plain else 0,
    )


def _read_route(plain: Any, where: str) -> RequestKind:  # noqa: ANN401 - checked here
    if not isinstance(plain, dict):
        msg = f"{where} = {plain!r}: a table is needed"
        raise SettingsError(msg)
    at = f"{where}."
    route_type = plain.get("route-type")
    if not isinstance(route_type, str) or route_type not in _ROUTE_TYPES:
        msg = f"{at}route-type = {route_type!r}; allowed: {', '.join(_ROUTE_TYPES)}"
        raise SettingsError(msg)
    prefix = _text(plain, "path-prefix", at)
    if not prefix.startswith("/"):
        msg = f"{at}path-prefix = {prefix!r}: it begins with a slash"
        raise SettingsError(msg)
    return RequestKind(
        name=_text(plain, "name", at),
        host=_text(plain, "host", at).lower(),
        prefix=prefix,
        idempotent=route_type == "safe",
        upload=route_type == "upload",
        timeout=_time(plain, "timeout", at),
        target_latency=_time(plain, "target-latency", at),
        attempts=max(1, _whole(plain, "max-attempts", at)),
        rank=_whole(plain, "priority", at),
        shares=_read_shares(plain, at),
    )


def _read_shares(plain: dict[str, Any], at: str) -> tuple[ServiceShare, ...]:
    split = plain.get("traffic-split")
    if not split:
        return (ServiceShare(_text(plain, "service", at), 1.0),)
    shares = []
    for number, part in enumerate(_list(plain, "traffic-split", at)):
        where = f"{at}traffic-split.{number}."
        weight = part.get("weight") if isinstance(part, dict) else None
        if isinstance(weight, bool) or not isinstance(weight, int | float):
            weight = -1
        if not 0 <= weight <= _WHOLE_MOST:
            msg = f"{where}weight = {weight!r}: allowed is a number of 0 or more"
            raise SettingsError(msg)
        shares.append(ServiceShare(_text(part, "service", where), float(weight)))
    if not sum(share.weight for share in shares):
        msg = f"{at}traffic-split: some weight must be above 0"
        raise SettingsError(msg)
    return tuple(shares)


def _read_service(plain: Any, where: str) -> ServiceInfo:  # noqa: ANN401 - checked here
    if not isinstance(plain, dict):
        msg = f"{where} = {plain!r}: a table is needed"
        raise SettingsError(msg)
    return ServiceInfo(
        name=_text(plain, "name", f"{where}."),
        probe_path=_text(plain, "health-path", f"{where}.") if plain.get("health-path") else "",
        connections=_whole_or(plain, "max-connections", f"{where}.", _DEFAULT_CONNECTIONS),
    )


def _read_limits(plain: Any) -> CallerLimits:  # noqa: ANN401 - checked here
    if not isinstance(plain, dict):
        msg = f"limits = {plain!r:.60}: a table is needed"
        raise SettingsError(msg)
    usual = CallerLimits()
    return CallerLimits(
        head_bytes=_whole_or(plain, "max-header-bytes", "limits.", usual.head_bytes),
        body_bytes=_whole_or(plain, "max-body-bytes", "limits.", usual.body_bytes),
        head_s=_time(plain, "header-timeout", "limits.", usual=usual.head_s),
        idle_s=_time(plain, "idle-timeout", "limits.", usual=usual.idle_s),
    )


def _time(plain: dict[str, Any], name: str, at: str, *, usual: float | None = None) -> float:
    """Return a time in seconds; the usual one, if there is one, where none is given."""
    value = plain.get(name)
    if value is None and usual is not None:
        return usual
    found = seconds(value, f"{at}{name}")
    if found > _SECONDS_MOST:
        msg = f"{at}{name} = {value!r:.60}: allowed are up to {_SECONDS_MOST:g} s"
        raise SettingsError(msg)
    return found


def _whole_or(plain: dict[str, Any], name: str, at: str, usual: int) -> int:
    return _whole(plain, name, at) if plain.get(name) else usual


def _address(plain: dict[str, Any], name: str, at: str) -> str:
    value = _text(plain, name, at)
    host, _, port = value.rpartition(":")
    try:
        IPv4Address(host)
        whole = port.isascii() and port.isdigit() and 0 < int(port) <= _PORT_MOST
    except ValueError:
        whole = False
    if not whole:
        msg = f"{at}{name} = {value!r:.60}: an IP number and a port are needed, as in 10.0.0.1:80"
        raise SettingsError(msg)
    return value


def _object(data: bytes, where: str) -> dict[str, Any]:
    try:
        plain = json.loads(data, parse_constant=_no_number)
    except (ValueError, RecursionError) as error:
        msg = f"{where}: no JSON: {error}"
        raise SettingsError(msg) from None
    if not isinstance(plain, dict):
        msg = f"{where}: a table is needed; received {type(plain).__name__}"
        raise SettingsError(msg)
    return plain


def _no_number(name: str) -> float:
    msg = f"{name} is no number"
    raise ValueError(msg)


def _list(plain: dict[str, Any], name: str, at: str) -> list[Any]:
    value = plain.get(name)
    if not isinstance(value, list):
        msg = f"{at}{name} = {value!r:.60}: a list is needed"
        raise SettingsError(msg)
    return value


def _text(plain: dict[str, Any], name: str, at: str) -> str:
    value = plain.get(name)
    if not isinstance(value, str) or not value:
        msg = f"{at}{name} = {value!r:.60}: a text is needed"
        raise SettingsError(msg)
    return value


def _whole(
    plain: dict[str, Any], name: str, at: str, *, least: int = 0, most: int = _WHOLE_MOST
) -> int:
    value = plain.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or not least <= value <= most:
        msg = f"{at}{name} = {value!r:.60}: a whole number from {least} to {most} is needed"
        raise SettingsError(msg)
    return value
