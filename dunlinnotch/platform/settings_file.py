"""Read the settings file that the platform gives to each process."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from dunlinnotch.daemon.entry import EntrySettings
from dunlinnotch.errors import ConfigError, SettingsError
from dunlinnotch.platform.units import seconds

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

#: Names the settings file in the environment.
VARIABLE = "DUNLINNOTCH_NODE_FILE"

#: Where each box tells its figures; ``deploy/system.toml`` names it too.
FIGURES_PORT = 9464

_ADDRESS = re.compile(r"^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$")
_PORTS = re.compile(r"^\d{1,5},\d{1,5}$")


class NodeFile:
    """The fields of a settings file, read by their full names.

    Parameters
    ----------
    text : str
        Lines ``a.b=value``; unknown fields are left alone.
    """

    def __init__(self, text: str) -> None:
        self._fields: dict[str, str] = {}
        for number, line in enumerate(text.splitlines(), start=1):
            if not line.strip() or line.lstrip().startswith("#"):
                continue
            name, found, value = line.partition("=")
            if not found:
                msg = f"line {number}, {line[:60]!r}: allowed are lines of the form a.b=value"
                raise ConfigError(msg)
            self._fields[name.strip()] = value.strip()

    def text(self, name: str) -> str:
        """Return a field that must be there."""
        value = self._fields.get(name, "")
        if not value:
            msg = f"{name} = {value!r}: a value is needed"
            raise ConfigError(msg)
        return value

    def address(self, name: str) -> str:
        """Return an address."""
        return _checked_address(name, self.text(name))

    def addresses(self, name: str) -> tuple[str, ...]:
        """Return a list of addresses; empty if the field is."""
        parts = self._fields.get(name, "").split(",")
        return tuple(_checked_address(name, part.strip()) for part in parts if part.strip())

    def number(self, name: str, default: float, *, least: float = 0.0) -> float:
        """Return a number, or its default where the field is empty."""
        return self._read(name, default, float, f"a number of {least:g} or more", least)

    def time(self, name: str, default: float) -> float:
        """Return a time in seconds, or its default where the field is empty."""

        def read(value: str) -> float:
            return seconds(value, name)

        return self._read(name, default, read, "a time such as 1500ms or 2.5s", 0.0)

    def ports(self, name: str) -> tuple[int, int]:
        """Return the first and the last port of a range."""
        value = self.text(name)
        if _PORTS.match(value):
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
        least: float,
    ) -> float:
        value = self._fields.get(name, "")
        if not value:
            return default
        try:
            number = read(value)
        except (ValueError, SettingsError):
            number = least - 1
        if not least <= number < float("inf"):
            msg = f"{name} = {value!r}: allowed is {allowed}"
            raise ConfigError(msg)
        return number


class EndpointSettings:
    """Addresses at which the platform and callers ask this box.

    Parameters
    ----------
    file : NodeFile
    """

    def __init__(self, file: NodeFile) -> None:
        self.readiness = file.address("network.bind.readiness")
        self.directory = file.address("network.bind.directory")
        self.control = file.address("network.bind.control")
        self.figures = f"{file.text('self.ip')}:{FIGURES_PORT}"
        self.store = file.address("platform.platform.address")
        self.longest_ttl = file.time("terms.bounds.ttl_max", 5.0)


def read_file(path: Path) -> NodeFile:
    """Read a settings file.

    Raises
    ------
    ConfigError
    """
    try:
        return NodeFile(path.read_text(encoding="utf-8"))
    except (OSError, UnicodeError) as error:
        msg = f"{path}: {error}"
        raise ConfigError(msg) from None


def entry_settings(file: NodeFile) -> EntrySettings:
    """Return what the product needs of a settings file."""
    port = file.ports("network.internal-port-range")[0]
    seeds = file.addresses("network.seeds")
    return EntrySettings(
        name=file.text("self.node-name"),
        place=file.text("self.zone"),
        caller=file.address("network.bind.front"),
        peer=f"{file.text('self.ip')}:{port}",
        # Ports are alike on all machines, so a seed's peer port is this one's.
        seeds=tuple(f"{seed.rpartition(':')[0]}:{port}" for seed in seeds),
        grace=file.time("terms.bounds.grace", 6.0),
        probes_per_s=file.number("terms.bounds.probes-per-s", 60.0),
        retry_ratio=file.number("terms.bounds.budget-ratio", 0.2),
        retry_slack=file.number("terms.bounds.budget-slack", 64.0),
        retry_window=file.time("terms.bounds.budget-window", 10.0),
    )


def _checked_address(name: str, value: str) -> str:
    if not _ADDRESS.match(value) or not 0 < int(value.rpartition(":")[2]) < 65536:
        msg = f"{name} = {value!r}: allowed is an IP number with a port, as in 10.1.0.35:8144"
        raise ConfigError(msg)
    return value
