"""Exceptions with stable codes, for misuse and bad input at a boundary.

What may happen to a call or to an edit in normal service is a value
(see :mod:`dunlinnotch.protocol.outcome`), never an exception.
"""

from __future__ import annotations

from typing import ClassVar


class DunlinnotchError(Exception):
    """Base of all exceptions raised by this package.

    Attributes
    ----------
    code : str
        Stable identifier, the same in logs, in exit messages and in
        ``docs/OPERATIONS.md``.
    """

    code: ClassVar[str] = "internal"


class SettingsError(DunlinnotchError):
    """A setting has an unknown name, a wrong type or a value out of range."""

    code = "settings-invalid"


class ConfigError(DunlinnotchError):
    """The daemon's own INI file can't be used."""

    code = "config-invalid"


class ProtocolError(DunlinnotchError):
    """A message between our own processes does not have the agreed shape."""

    code = "protocol-invalid"


class PlatformUnavailableError(DunlinnotchError):
    """The platform's table service or object store gave no usable answer.

    Whether a write took effect is not known to the one who sees this.
    """

    code = "platform-unavailable"


class InvariantError(DunlinnotchError):
    """An internal invariant is broken; the process must stop."""

    code = "invariant-broken"


class BoxUnreachableError(DunlinnotchError):
    """None of the boxes named could be reached."""

    code = "box-unreachable"


class RequestRefusedError(DunlinnotchError):
    """A box refused an operator's request."""

    code = "request-refused"
