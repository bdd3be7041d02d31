"""Counters and latency histograms of an entry box, told as text on request.

The text is the exposition format that most collectors read: one figure a
line, ``name{label="value"} number``.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.coordination.requests.run import Ending
    from dunlinnotch.types import Seconds

#: Upper ends of the histograms' buckets, in seconds.
BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)


class TextMetricInfo(NamedTuple):
    """Name, type, labels and meaning of one figure."""

    name: str
    type: str
    labels: str
    meaning: str


#: All figures; ``docs/METRICS.md`` is generated from this table.
TEXT_METRICS = (
    TextMetricInfo("requests_total", "counter", "kind, outcome, reason", "Requests ended."),
    TextMetricInfo("sends_total", "counter", "", "Targets that requests were sent to."),
    TextMetricInfo("request_seconds", "histogram", "kind", "From the head to the end."),
    TextMetricInfo("probes_total", "counter", "", "Probes sent to targets."),
    TextMetricInfo("probes_denied_total", "counter", "", "Probes for which no budget was left."),
    TextMetricInfo("connections_opened_total", "counter", "", "Connections opened to targets."),
    TextMetricInfo("entries_unreadable_total", "counter", "", "Rows that could not be read."),
    TextMetricInfo("rests_asked_total", "counter", "", "Times that a target asked for rest."),
    TextMetricInfo("targets_ended_total", "counter", "", "Targets that ended under a request."),
    TextMetricInfo("requests_barred", "gauge", "", "Requests sent to no target: they end them."),
    TextMetricInfo("store_calls_total", "counter", "", "Calls made to the platform's store."),
    TextMetricInfo("store_failures_total", "counter", "", "Calls to the store without an answer."),
    TextMetricInfo("settings_version", "gauge", "", "Settings version in force; 0 before any."),
    TextMetricInfo("table_age_seconds", "gauge", "table", "Since a table was known to be all."),
    TextMetricInfo("boxes_live", "gauge", "", "Boxes heard lately, this one included."),
    TextMetricInfo("in_flight", "gauge", "", "Requests being served."),
    TextMetricInfo("word_bytes_total", "counter", "", "Bytes of words sent to peers."),
    TextMetricInfo("log_lines_dropped_total", "counter", "", "Log lines left out."),
)


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS) + 1)
        self.sum = 0.0

    def add(self, value: Seconds) -> None:
        self.counts[bisect_left(BUCKETS, value)] += 1
        self.sum += value


class TextMetrics:
    """Count, and tell the counts.

    Parameters
    ----------
    gauges : callable
        Returns figures that are read rather than counted: name with labels to value.
    """

    def __init__(self, gauges: Callable[[], dict[str, float]]) -> None:
        self._gauges = gauges
        self._requests: dict[tuple[str, str, str], int] = {}
        self._times: dict[str, _Histogram] = {}
        self._sends = 0

    def request_ended(self, kind: str, ending: Ending, took: Seconds, sends: int) -> None:
        """Count the end of a request."""
        reason = "" if ending.reason is None else ending.reason.value
        key = (kind, ending.outcome.value, reason)
        self._requests[key] = self._requests.get(key, 0) + 1
        self._sends += sends
        self._times.setdefault(kind, _Histogram()).add(took)

    def text(self) -> str:
        """Return all figures as text."""
        lines = []
        for (kind, outcome, reason), count in sorted(self._requests.items()):
            labels = f'kind="{kind}",outcome="{outcome}",reason="{reason}"'
            lines.append(f"dunlinnotch_requests_total{{{labels}}} {count}")
        lines.append(f"dunlinnotch_sends_total {self._sends}")
        for kind, histogram in sorted(self._times.items()):
            lines += _histogram_lines(kind, histogram)
        lines += [f"dunlinnotch_{name} {value:g}" for name, value in self._gauges().items()]
        return "\n".join(lines) + "\n"


def _histogram_lines(kind: str, histogram: _Histogram) -> list[str]:
    lines = []
    total = 0
    for end, count in zip((*BUCKETS, float("inf")), histogram.counts, strict=True):
        total += count
        shown = "+Inf" if end == float("inf") else f"{end:g}"
        lines.append(f'dunlinnotch_request_seconds_bucket{{kind="{kind}",le="{shown}"}} {total}')
    lines.append(f'dunlinnotch_request_seconds_sum{{kind="{kind}"}} {histogram.sum:.6f}')
    lines.append(f'dunlinnotch_request_seconds_count{{kind="{kind}"}} {total}')
    return lines
