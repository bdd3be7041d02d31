"""Read the platform's times and versions, which are written as text."""

from __future__ import annotations

import re

from dunlinnotch.errors import SettingsError

_TIME = re.compile(r"(\d{1,18}(?:\.\d{1,18})?)(ms|s)", re.ASCII)
_VERSION = re.compile(r"r(\d{1,18})", re.ASCII)
_MS = 1000.0


def seconds(value: object, where: str) -> float:
    """Return the seconds in a text such as ``1500ms`` or ``2.5s``.

    Raises
    ------
    SettingsError
    """
    match = _TIME.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        msg = f"{where} = {value!r:.60}: allowed is a number with its unit, as in 1500ms or 2.5s"
        raise SettingsError(msg)
    number = float(match.group(1))
    return number / _MS if match.group(2) == "ms" else number


def as_text(value: float) -> str:
    """Return seconds as the platform writes them."""
    return f"{round(value * _MS)}ms"


def version(value: object, where: str) -> int:
    """Return the number of a version such as ``r12``.

    Raises
    ------
    SettingsError
    """
    match = _VERSION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        msg = f"{where} = {value!r:.60}: allowed is r with a number, as in r12"
        raise SettingsError(msg)
    return int(match.group(1))
