"""The daemon's own settings, read from an INI file and checked by pydantic."""

from __future__ import annotations

import configparser
import difflib
from typing import TYPE_CHECKING

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from dunlinnotch.errors import ConfigError
from dunlinnotch.state.schema import AddressList, NumericAddress

if TYPE_CHECKING:
    from pathlib import Path

#: A row lost must not make a box suspect, nor a slow answer cost a lease.
_ROWS_MISSED, _RENEWALS = 2, 3

_NAME = r"^[A-Za-z0-9][A-Za-z0-9_.-]{0,63}$"


class _Section(BaseModel):
    model_config = ConfigDict(frozen=True, extra="forbid")


class BoxSection(_Section):
    """Who and where this box is."""

    name: str = Field(pattern=_NAME, description="Name of the box, unique in the system.")
    place: str = Field(pattern=_NAME, description="Data hall of the box.")
    caller: NumericAddress = Field(description="Address for callers; port 0 is not allowed.")
    peer: NumericAddress = Field(description="Address for other boxes.")
    operator: NumericAddress = Field(description="Address for the operators' tool.")


class PlatformSection(_Section):
    """Where the platform's service is."""

    address: NumericAddress = Field(description="Table service, object store and list of boxes.")
    timeout_ms: float = Field(1000, ge=10, le=60000, description="Longest wait for an answer, ms.")
    poll_ms: float = Field(
        500, ge=50, le=60000, description="Time between reads of the table by a reader, ms."
    )
    lease_s: float = Field(
        300, ge=5, le=86400, description="Length of the lease of a probe seat, s."
    )
    readers: int = Field(
        3, ge=1, le=100, description="Boxes of each place that read the table at poll_ms."
    )


class PeersSection(_Section):
    """How this box keeps in touch with others."""

    seeds: AddressList = Field((), description="Peers tried while none is known.")
    links: int = Field(3, ge=1, le=64, description="Most links that this box opens.")
    heartbeat_ms: float = Field(250, ge=20, le=10000, description="Time between two turns, ms.")
    row_ms: float = Field(2000, ge=50, le=60000, description="Time between two rows, ms.")
    suspect_ms: float = Field(
        6000, ge=100, le=600000, description="Silence after which a box is not offered, ms."
    )
    forget_ms: float = Field(
        30000,
        ge=1000,
        le=86400000,
        description="Silence after which an unlisted box is dropped, ms.",
    )


class LimitsSection(_Section):
    """Bounds that protect the box itself."""

    connections: int = Field(1000, ge=1, le=20000, description="Callers' connections at once.")
    head_ms: float = Field(5000, ge=100, le=60000, description="Time for a whole head, ms.")
    idle_ms: float = Field(60000, ge=100, le=3600000, description="Idle keep-alive time, ms.")
    drain_margin_ms: float = Field(
        1000, ge=0, le=60000, description="Time added to the longest answer in a drain, ms."
    )


class MetricsSection(_Section):
    """Where metrics go."""

    statsd: NumericAddress | None = Field(None, description="statsd server; none if left out.")
    prefix: str = Field("dunlinnotch", description="First part of each metric's name.")


class LogsSection(_Section):
    """What is logged."""

    level: str = Field("INFO", pattern="^(DEBUG|INFO|WARNING|ERROR)$", description="Least level.")
    decisions_per_s: int = Field(
        1000, ge=0, le=100000, description="Most decision lines in a second; the rest are counted."
    )


class Config(_Section):
    """All of a daemon's own settings."""

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
        Names the section, the key, the value received, what is allowed and
        the nearest known name.
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
    """Return the settings that are each allowed, yet don't add up.

    Parameters
    ----------
    config : Config

    Returns
    -------
    list of str
        Each names section, keys, values and what would do; empty if all adds up.
    """
    peers, platform = config.peers, config.platform
    found = []
    if peers.heartbeat_ms > peers.row_ms:
        found.append(
            f"[peers] heartbeat_ms = {peers.heartbeat_ms:g} but row_ms = {peers.row_ms:g}: rows "
            "wait for a turn; heartbeat_ms of row_ms or less would do"
        )
    if peers.suspect_ms < _ROWS_MISSED * peers.row_ms:
        found.append(
            f"[peers] suspect_ms = {peers.suspect_ms:g} but row_ms = {peers.row_ms:g}: one lost "
            f"row makes a box suspect; {_ROWS_MISSED * peers.row_ms:g} or more would do"
        )
    if peers.forget_ms <= peers.suspect_ms:
        found.append(
            f"[peers] forget_ms = {peers.forget_ms:g} but suspect_ms = {peers.suspect_ms:g}: a "
            "box is forgotten before it is suspect; more than suspect_ms would do"
        )
    lease_ms = platform.lease_s * 1000
    if platform.timeout_ms * _RENEWALS >= lease_ms:
        found.append(
            f"[platform] timeout_ms = {platform.timeout_ms:g} but lease_s = "
            f"{platform.lease_s:g}: a lease lapses while it is renewed; less than "
            f"{lease_ms / _RENEWALS:g} ms would do"
        )
    return found


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
