"""Head of an HTTP answer."""

from __future__ import annotations

from dataclasses import dataclass
from typing import NamedTuple


class Header(NamedTuple):
    """One header line."""

    name: str
    value: str


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status and end-to-end headers of an answer.

    Parameters
    ----------
    status : int
    phrase : str
    headers : tuple of Header
    length : int or None
        Bytes in the body; None if unknown before its end.
    """

    status: int
    phrase: str
    headers: tuple[Header, ...]
    length: int | None
