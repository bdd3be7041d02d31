"""Read the settings file that the platform provides to each process."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dunlinnotch.daemon.entry import EntrySettings
from dunlinnotch.errors import ConfigError, SettingsError
from dunlinnotch.platform.units import seconds

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

#: Environment variable that holds the path of the settings file.
VARIABLE = "DUNLINNOTCH_NODE_FILE"

#: Port on which each box serves its metrics; ``deploy/system.toml`` has the same value.
METRICS_PORT = 9464

_ADDRESS = re.compile(r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")
_PORT_RANGE = re.compile(r"^\d{1,5},\d{1,5}$")


class NodeFile:
    """The fields of a settings file, accessed by their full names.

    Parameters
    ----------
    text : str
        Lines of the form ``a.b=value``; unknown fields are ignored.

    Raises
    ------
    ConfigError
        If a line has another form.

    Notes
    -----
    Each method raises :class:`~dunlinnotch.errors.ConfigError` if the field is invalid, or
    missing although it is required; the error names the field, its value and those allowed.
    """

    def __init__(self, text: str) -> None:
        self._fields: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            name, separator, value = line.partition("=")
            if not separator:
                msg = f"line {number}, {line[:60]!r}: allowed are lines of the form a.b=value"
                raise ConfigError(msg)
            self._fields[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Return the value of a required field."""
        value = self._fields.get(name, "")
        if not value:
            msg = f"{name} = {value!r}: a value is needed"
            raise ConfigError(msg)
        return value

    def address(self, name: str) -> str:
        """Return a required address, an IPv4 address with a port."""
        return _checked_address(name, self.text(name))

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return a list of addresses, which is empty if the field is."""
        parts = self._fields.get(name, "").split(",")
        return tuple(_checked_address(name, part.strip()) for part in parts if part.strip())

    def number(self, name: str, default: float, *, minimum: float = 0.0) -> float:
        """Return a number, or the default if the field is empty."""
        return self._read(name, default, float, f"a number of {minimum:g} or more", minimum)

    def time(self, name: str, default: float) -> float:
        """Return a time in seconds, or the default if the field is empty."""

        def read(value: str) -> float:
            return seconds(value, name)

        return self._read(name, default, read, "a time such as 1500ms or 2.5s", 0.0)

    def ports(self, name: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        value = self.text(name)
        if _PORT_RANGE.match(value):
            first, _, last = value.partition(",")
            if 0 < int(first) <= int(last) < 65536:
                return int(first), int(last)
        msg = f"{name} = {value!r}: allowed are two ports, the lower first, as in 7660,7675"
        raise ConfigError(msg)

    def _read(
        self,
        name: str,
        default: float,
        read: Callable[[str], float],
        allowed: str,
        minimum: float,
    ) -> float:
        value = self._fields.get(name, "")
        if not value:
            return default
        try:
            number = read(value)
        except (ValueError, SettingsError):
            number = minimum - 1
        if not minimum <= number < float("inf"):
            msg = f"{name} = {value!r}: allowed is {allowed}"
            raise ConfigError(msg)
        return number


class EndpointSettings:
    """Addresses of the endpoints of a box and of the store, and the directory's maximum TTL.

    Parameters
    ----------
    file : NodeFile

    Attributes
    ----------
    max_ttl : float
        Maximum time for which clients may cache an answer of the directory, in seconds.

    Raises
    ------
    ConfigError
        If a field is missing or invalid.
    """

    def __init__(self, file: NodeFile) -> None:
        self.readiness = file.address("network.bind.readiness")
        self.directory = file.address("network.bind.directory")
        self.control = file.address("network.bind.control")
        self.metrics = f"{file.text('self.ip')}:{METRICS_PORT}"
        self.store = file.address("platform.platform.address")
        self.max_ttl = file.time("terms.bounds.ttl_max", 5.0)


def read_file(path: Path) -> NodeFile:
    """Read a settings file.

    Raises
    ------
    ConfigError
        If the file can't be read, or a line has no equals sign.
    """
    try:
        return NodeFile(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeError) as error:
        msg = f"{path}: {error}"
        raise ConfigError(msg) from None


def entry_settings(file: NodeFile) -> EntrySettings:
    """Return the settings of the box from a settings file.

    Raises
    ------
    ConfigError
        Names the field with its value and the allowed values.
    """
    port, last_port = file.ports("network.internal-port-range")
    seeds = file.addresses("network.seeds")
    return EntrySettings(
        name=file.text("self.node-name"),
        place=file.text("self.zone"),
        caller=file.address("network.bind.front"),
        peer=f"{file.text('self.ip')}:{port}",
        # All machines use the same ports, so the peer port of a seed is that of this box.
        seeds=tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in seeds),
        grace=file.time("terms.bounds.grace", 6.0),
        drain=file.time("terms.bounds.drain", 2.0),
        target_heartbeat=file.time("platform.heartbeat", 1.5),
        probes_per_s=file.number("terms.bounds.probes-per-s", 60.0),
        retry_ratio=file.number("terms.bounds.budget-ratio", 0.2),
        retry_slack=file.number("terms.bounds.budget-slack", 64.0),
        forward_port=port + 1 if port < last_port else 0,
    )


def _checked_address(name: str, value: str) -> str:
    if not _ADDRESS.match(value) or not 0 < int(value.rpartition(":")[2]) < 65536:
        msg = f"{name} = {value!r}: allowed is an IPv4 address with a port, as in 10.1.0.35:8144"
        raise ConfigError(msg)
    return value
