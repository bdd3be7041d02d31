"""What a target says of itself, with an answer or when it is probed."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds


@dataclass(frozen=True, slots=True)
class TargetReport:
    """What a target says of its load.

    Parameters
    ----------
    running, waiting, slots : int
        Requests that it works on, requests that wait there, and how many it
        works on at once.
    latency_ratio : float, default 1.0
        How long work takes there now; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    latency_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """All that a target says of itself beside one answer.

    Parameters
    ----------
    report : TargetReport, optional
        Its load, if it tells any.
    backoff : float, default 0.0
        Seconds for which it wants nothing more from this box.
    leaving : bool, default False
        Whether it is about to end and wants no new work.
    """

    report: TargetReport | None = None
    backoff: Seconds = 0.0
    leaving: bool = False
