"""Read the operator's document and the rows in which workers record themselves."""

from __future__ import annotations

import json
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

    Raises
    ------
    SettingsError
    """
    plain = _object(data, key)
    info, status = plain.get("info"), plain.get("status")
    if not isinstance(info, dict) or not isinstance(status, dict):
        msg = f"{key}: info and status are needed"
        raise SettingsError(msg)
    state = status.get("state")
    if state not in _STATES:
        msg = f"{key}: status.state = {state!r}; allowed: {', '.join(_STATES)}"
        raise SettingsError(msg)
    return ListedTarget(
        instance=key,
        service=_text(info, "service", f"{key}: info."),
        place=str(info.get("zone", "")),
        address=_text(plain, "address", f"{key}: "),
        slots=_whole(info, "capacity", f"{key}: info."),
        leaving=state == "draining",
        sequence=_whole(status, "sequence", f"{key}: status."),
        cold_s=seconds(status.get("warmup-left", "0ms"), f"{key}: status.warmup-left"),
    )


def _read_route(plain: Any, where: str) -> RequestKind:  # noqa: ANN401 - checked here
    if not isinstance(plain, dict):
        msg = f"{where} = {plain!r}: a table is needed"
        raise SettingsError(msg)
    at = f"{where}."
    route_type = plain.get("route-type")
    if route_type not in _ROUTE_TYPES:
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
        repeatable=route_type == "safe",
        upload=route_type == "upload",
        timeout=seconds(plain.get("timeout"), f"{at}timeout"),
        target_latency=seconds(plain.get("target-latency"), f"{at}target-latency"),
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
        if isinstance(weight, bool) or not isinstance(weight, int | float) or weight < 0:
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
        probe_path=str(plain.get("health-path") or ""),
        connections=int(plain.get("max-connections") or _DEFAULT_CONNECTIONS),
    )


def _read_limits(plain: dict[str, Any]) -> CallerLimits:
    usual = CallerLimits()
    return CallerLimits(
        head_bytes=int(plain.get("max-header-bytes") or usual.head_bytes),
        body_bytes=int(plain.get("max-body-bytes") or usual.body_bytes),
        head_s=_time_or(plain, "header-timeout", usual.head_s),
        idle_s=_time_or(plain, "idle-timeout", usual.idle_s),
    )


def _time_or(plain: dict[str, Any], name: str, default: float) -> float:
    value = plain.get(name)
    return default if value is None else seconds(value, f"limits.{name}")


def _object(data: bytes, where: str) -> dict[str, Any]:
    try:
        plain = json.loads(data)
    except ValueError as error:
        msg = f"{where}: no JSON: {error}"
        raise SettingsError(msg) from None
    if not isinstance(plain, dict):
        msg = f"{where}: a table is needed; received {type(plain).__name__}"
        raise SettingsError(msg)
    return plain


def _list(plain: dict[str, Any], name: str, at: str) -> list[Any]:
    value = plain.get(name)
    if not isinstance(value, list):
        msg = f"{at}{name} = {value!r:.60}: a list is needed"
        raise SettingsError(msg)
    return value


def _text(plain: dict[str, Any], name: str, at: str) -> str:
    value = plain.get(name)
    if not isinstance(value, str) or not value:
        msg = f"{at}{name} = {value!r}: a text is needed"
        raise SettingsError(msg)
    return value


def _whole(plain: dict[str, Any], name: str, at: str) -> int:
    value = plain.get(name)
    if isinstance(value, bool) or not isinstance(value, int) or value < 0:
        msg = f"{at}{name} = {value!r}: a whole number of 0 or more is needed"
        raise SettingsError(msg)
    return value
