"""Encoding of typed messages as msgpack or JSON, and validated decoding.

:class:`pydantic.TypeAdapter` validates against the annotations of the dataclass, so each
message is defined only once.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgpack
from pydantic import TypeAdapter, ValidationError

from dunlinnotch.errors import ProtocolError

T = TypeVar("T")


_adapters: dict[Any, TypeAdapter[Any]] = {}


def _adapter(cls: Any) -> TypeAdapter[Any]:  # noqa: ANN401 - any type may be decoded
    adapter = _adapters.get(cls)
    if adapter is None:
        adapter = _adapters[cls] = TypeAdapter(cls)
    return adapter


def to_plain(value: object) -> Any:  # noqa: ANN401 - plain data of any shape
    """Return ``value`` as lists, dicts, strings and numbers."""
    return _adapter(type(value)).dump_python(value, mode="json")


def from_plain(cls: type[T], plain: object) -> T:
    """Decode an instance of ``cls`` from plain data with aliases or field names.

    Raises
    ------
    ProtocolError
        If the data is invalid; names the first invalid field and its value.
    """
    try:
        decoded: T = _adapter(cls).validate_python(plain, by_alias=True, by_name=True)
    except ValidationError as error:
        raise _protocol_error(cls, error) from None
    return decoded


def pack(value: object) -> bytes:
    """Return ``value`` as one msgpack object, with aliases for field names."""
    plain = _adapter(type(value)).dump_python(value, mode="json", by_alias=True)
    packed: bytes = msgpack.packb(plain)
    return packed


def to_json(value: object) -> bytes:
    """Return ``value`` as JSON text in UTF-8."""
    return _adapter(type(value)).dump_json(value)


def from_json(cls: type[T], data: bytes) -> T:
    """Decode an instance of ``cls`` from JSON text.

    Raises
    ------
    ProtocolError
        If the text is not JSON or invalid; names the first invalid field and its value.
    """
    try:
        decoded: T = _adapter(cls).validate_json(data, by_alias=True, by_name=True)
    except ValidationError as error:
        raise _protocol_error(cls, error) from None
    return decoded


def _protocol_error(cls: type[T], error: ValidationError) -> ProtocolError:
    first = error.errors()[0]
    path = ".".join(str(part) for part in first["loc"])
    msg = f"{cls.__name__}.{path}: {first['msg']}; received {first['input']!r:.80}"
    return ProtocolError(msg)
