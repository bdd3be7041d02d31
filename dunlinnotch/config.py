"""Settings of a daemon, read from an INI file and validated by pydantic."""

from __future__ import annotations

import configparser
import difflib
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dunlinnotch.errors import ConfigError
from dunlinnotch.state.schema import AddressList, NumericAddress

if TYPE_CHECKING:
    from pathlib import Path

#: Minimum of row intervals in ``suspect_ms``, so that one lost row makes no box suspect.
#: Minimum of timeouts in a lease, so that one slow answer does not let it expire.
_MIN_ROW_INTERVALS, _MIN_RENEWALS = 2, 3

_NAME = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class BoxSection(_Section):
    """Name, place and addresses of this box."""

    name: str = Field(pattern=_NAME, description="Name of the box, unique in the system.")
    place: str = Field(pattern=_NAME, description="Data hall of the box.")
    caller: NumericAddress = Field(description="Address for callers; port 0 is not allowed.")
    peer: NumericAddress = Field(description="Address for other boxes.")
    operator: NumericAddress = Field(description="Address for the operators' tool.")


class PlatformSection(_Section):
    """Access to the platform's service."""

    address: NumericAddress = Field(description="Table service, object store and list of boxes.")
    timeout_ms: float = Field(1000, ge=10, le=60000, description="Timeout of a request, ms.")
    poll_ms: float = Field(
        500, ge=50, le=60000, description="Interval between reads of the table by a reader, ms."
    )
    lease_s: float = Field(300, ge=5, le=86400, description="Duration of a probe lease, s.")
    readers: int = Field(
        3, ge=1, le=100, description="Boxes of each place that read the table at poll_ms."
    )


class PeersSection(_Section):
    """Links to other boxes."""

    seeds: AddressList = Field((), description="Peers to connect to while none is known.")
    links: int = Field(3, ge=1, le=64, description="Maximum number of links that this box opens.")
    heartbeat_ms: float = Field(
        250, ge=20, le=10000, description="Interval between sync rounds, ms."
    )
    row_ms: float = Field(
        2000, ge=50, le=60000, description="Interval between new rows of this box, ms."
    )
    suspect_ms: float = Field(
        6000,
        ge=100,
        le=600000,
        description="Silence after which a box is not offered to callers, ms.",
    )
    forget_ms: float = Field(
        30000,
        ge=1000,
        le=86400000,
        description="Silence after which an unlisted box is dropped, ms.",
    )


class LimitsSection(_Section):
    """Limits that protect the box from overload."""

    connections: int = Field(
        1000, ge=1, le=20000, description="Maximum number of callers' connections."
    )
    head_ms: float = Field(
        5000, ge=100, le=60000, description="Timeout for receiving a request's head, ms."
    )
    idle_ms: float = Field(
        60000, ge=100, le=3600000, description="Timeout of an idle connection, ms."
    )
    drain_margin_ms: float = Field(
        1000, ge=0, le=60000, description="Time added to the longest answer in a drain, ms."
    )


class MetricsSection(_Section):
    """Destination and names of metrics."""

    statsd: NumericAddress | None = Field(
        None, description="Address of the statsd server; unused if left out."
    )
    prefix: str = Field("dunlinnotch", description="Prefix of the metrics' names.")


class LogsSection(_Section):
    """Level and rate of log lines."""

    level: str = Field("INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$", description="Minimum level.")
    decisions_per_s: int = Field(
        1000,
        ge=0,
        le=100000,
        description="Maximum of decision lines per second; others are counted.",
    )


class Config(_Section):
    """All settings of a daemon's INI file."""

    box: BoxSection
    platform: PlatformSection
    peers: PeersSection = PeersSection()
    limits: LimitsSection = LimitsSection()
    metrics: MetricsSection = MetricsSection()
    logs: LogsSection = LogsSection()


def read_config(path: Path) -> Config:
    """Read and check an INI file.

    Raises
    ------
    ConfigError
        If the file can't be read or is invalid; names the section, the key, the value
        received, those allowed and the nearest known name.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        parser.read_string(path.read_text(encoding="utf-8"), source=str(path))
    except (OSError, UnicodeError, configparser.Error) as error:
        msg = f"{path}: {error}"
        raise ConfigError(msg) from None
    sections = {name: dict(parser[name]) for name in parser.sections()}
    try:
        return Config.model_validate(sections)
    except ValidationError as error:
        msg = "\n".join(
            f"{path}: {_explain(e['loc'], e['msg'], e['input'])}" for e in error.errors()
        )
        raise ConfigError(msg) from None


def contradictions(config: Config) -> list[str]:
    """Return the contradictions between settings that are each valid by themselves.

    Parameters
    ----------
    config : Config

    Returns
    -------
    list of str
        Each message names the section, the keys, their values and the fix; empty if there
        is no contradiction.
    """
    peers, platform = config.peers, config.platform
    messages = []
    if peers.heartbeat_ms > peers.row_ms:
        messages.append(
            f"[peers] heartbeat_ms = {peers.heartbeat_ms:g} but row_ms = {peers.row_ms:g}: rows "
            "wait for the next sync round; set heartbeat_ms to row_ms or less"
        )
    if peers.suspect_ms < _MIN_ROW_INTERVALS * peers.row_ms:
        messages.append(
            f"[peers] suspect_ms = {peers.suspect_ms:g} but row_ms = {peers.row_ms:g}: one lost "
            "row makes a box suspect; "
            f"set suspect_ms to {_MIN_ROW_INTERVALS * peers.row_ms:g} or more"
        )
    if peers.forget_ms <= peers.suspect_ms:
        messages.append(
            f"[peers] forget_ms = {peers.forget_ms:g} but suspect_ms = {peers.suspect_ms:g}: a "
            "box is dropped before it is suspect; set forget_ms above suspect_ms"
        )
    lease_ms = platform.lease_s * 1000
    if platform.timeout_ms * _MIN_RENEWALS >= lease_ms:
        messages.append(
            f"[platform] timeout_ms = {platform.timeout_ms:g} but lease_s = "
            f"{platform.lease_s:g}: a lease may expire while it is being renewed; set timeout_ms "
            f"below {lease_ms / _MIN_RENEWALS:g} ms"
        )
    return messages


def _explain(loc: tuple[int | str, ...], message: str, received: object) -> str:
    section = str(loc[0])
    if len(loc) == 1:
        return f"[{section}]: {_unknown(section, list(Config.model_fields), message)}"
    key = str(loc[1])
    model = Config.model_fields[section].annotation
    known = model.model_fields if isinstance(model, type) and issubclass(model, BaseModel) else {}
    if key not in known:
        return f"[{section}] {key}: {_unknown(key, list(known), message)}"
    if message == "Field required":
        return f"[{section}] {key}: missing. {known[key].description}"
    return f"[{section}] {key} = {received!r}: {message}. {known[key].description}"


def _unknown(name: str, known: list[str], message: str) -> str:
    if name in known:
        return message
    near = difflib.get_close_matches(name, known, n=1)
    hint = f" Did you mean {near[0]!r}?" if near else ""
    return f"unknown name.{hint} Allowed: {', '.join(known)}"
