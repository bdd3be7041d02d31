"""Load and status that a target reports with an answer or to a probe."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.types import Seconds


@dataclass(frozen=True, slots=True)
class TargetReport:
    """Load that a target reports.

    Parameters
    ----------
    running, waiting, slots : int
        Requests in progress, requests queued, and the limit of requests in progress.
    latency_ratio : float, default 1.0
        Current latency relative to the usual latency; 1 is as usual.
    """

    running: int
    waiting: int
    slots: int
    latency_ratio: float = 1.0


@dataclass(frozen=True, slots=True)
class TargetStatus:
    """Status that a target reports with an answer or to a probe.

    Parameters
    ----------
    report : TargetReport, optional
        Its load, if reported.
    backoff : float, default 0.0
        Back-off that the target requests, in seconds; the box sends it no requests then.
    leaving : bool, default False
        Whether it is about to shut down and accepts no new requests.
    """

    report: TargetReport | None = None
    backoff: Seconds = 0.0
    leaving: bool = False
