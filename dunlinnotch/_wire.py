"""The mark of dataclasses that travel; apart from the codec, so that it costs no import."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


def wire(cls: type[T]) -> type[T]:
    """Mark a dataclass whose annotations are evaluated when it is decoded."""
    return cls
