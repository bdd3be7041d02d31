"""Parse and format durations and versions, which the platform writes as text."""

from __future__ import annotations

import re

from dunlinnotch.errors import SettingsError

_DURATION = re.compile(r"(\d{1,18}(?:\.\d{1,18})?)(ms|s)", re.ASCII)
_VERSION = re.compile(r"r(\d{1,18})", re.ASCII)
_MS_PER_S = 1000.0


def seconds(value: object, where: str) -> float:
    """Parse a duration such as ``1500ms`` or ``2.5s``.

    Parameters
    ----------
    value : object
    where : str
        Name of the field, for the error.

    Returns
    -------
    float
        Seconds.

    Raises
    ------
    SettingsError
        If ``value`` is no such text.
    """
    match = _DURATION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        msg = f"{where} = {value!r:.60}: allowed is a number with its unit, as in 1500ms or 2.5s"
        raise SettingsError(msg)
    number = float(match.group(1))
    return number / _MS_PER_S if match.group(2) == "ms" else number


def as_text(value: float) -> str:
    """Format a duration in seconds as the platform writes it."""
    return f"{round(value * _MS_PER_S)}ms"


def version(value: object, where: str) -> int:
    """Parse a version such as ``r12`` and return its number.

    Parameters
    ----------
    value : object
    where : str
        Name of the field, for the error.

    Raises
    ------
    SettingsError
        If ``value`` is no such text.
    """
    match = _VERSION.fullmatch(value) if isinstance(value, str) else None
    if match is None:
        msg = f"{where} = {value!r:.60}: allowed is r with a number, as in r12"
        raise SettingsError(msg)
    return int(match.group(1))
