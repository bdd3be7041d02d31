"""Encode typed messages as msgpack or JSON, and check them on the way in.

Shapes are checked by :class:`pydantic.TypeAdapter` against the dataclass's
own annotations, so a message has one definition only.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgpack
from pydantic import TypeAdapter, ValidationError

from dunlinnotch.errors import ProtocolError

T = TypeVar("T")


_adapters: dict[Any, TypeAdapter[Any]] = {}


def _adapter(cls: Any) -> TypeAdapter[Any]:  # noqa: ANN401 - any type may be decoded
    found = _adapters.get(cls)
    if found is None:
        found = _adapters[cls] = TypeAdapter(cls)
    return found


def to_plain(value: object) -> Any:  # noqa: ANN401 - plain data of any shape
    """Return ``value`` as plain lists, dicts, texts and numbers."""
    return _adapter(type(value)).dump_python(value, mode="json")


def from_plain(cls: type[T], plain: object) -> T:
    """Return the ``cls`` held in plain data, under short or full names.

    Raises
    ------
    ProtocolError
        Names the first field that does not fit.
    """
    try:
        found: T = _adapter(cls).validate_python(plain, by_alias=True, by_name=True)
    except ValidationError as error:
        raise _unfit(cls, error) from None
    return found


def pack(value: object) -> bytes:
    """Return ``value`` as one msgpack object, fields under their short names."""
    plain = _adapter(type(value)).dump_python(value, mode="json", by_alias=True)
    packed: bytes = msgpack.packb(plain)
    return packed


def to_json(value: object) -> bytes:
    """Return ``value`` as JSON text in UTF-8."""
    return _adapter(type(value)).dump_json(value)


def from_json(cls: type[T], data: bytes) -> T:
    """Return the ``cls`` held in JSON text.

    Raises
    ------
    ProtocolError
        If the text is not JSON or does not fit.
    """
    try:
        found: T = _adapter(cls).validate_json(data, by_alias=True, by_name=True)
    except ValidationError as error:
        raise _unfit(cls, error) from None
    return found


def _unfit(cls: type[T], error: ValidationError) -> ProtocolError:
    first = error.errors()[0]
    where = ".".join(str(part) for part in first["loc"])
    msg = f"{cls.__name__}.{where}: {first['msg']}; received {first['input']!r:.80}"
    return ProtocolError(msg)
