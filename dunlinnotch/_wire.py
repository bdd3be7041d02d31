"""Decorator of dataclasses for messages, separate so that it does not import the codec."""

from __future__ import annotations

from typing import TypeVar

T = TypeVar("T")


def wire(cls: type[T]) -> type[T]:
    """Mark a dataclass that is sent in messages.

    Notes
    -----
    The codec evaluates the annotations at run time, so their imports must not be under
    ``TYPE_CHECKING``.
    """
    return cls
