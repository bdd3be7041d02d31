"""Counters and latency histograms of an entry box in the Prometheus text format.

Each line holds one value: ``name{label="value"} number``.
"""

from __future__ import annotations

from bisect import bisect_left
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.coordination.requests.run import Ending
    from dunlinnotch.types import Seconds

#: Upper bounds of the buckets of the latency histograms, in seconds.
BUCKETS = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.2, 2.0, 5.0)


class TextMetricInfo(NamedTuple):
    """Name, type, labels and description of one metric."""

    name: str
    type: str
    labels: str
    meaning: str


#: All metrics; ``docs/METRICS.md`` is generated from this table.
TEXT_METRICS = (
    TextMetricInfo("requests_total", "counter", "kind, outcome, reason", "Requests completed."),
    TextMetricInfo("sends_total", "counter", "", "Requests sent to targets, retries included."),
    TextMetricInfo("request_seconds", "histogram", "kind", "From request head to end, in seconds."),
    TextMetricInfo("probes_total", "counter", "", "Probes sent to targets."),
    TextMetricInfo("probes_denied_total", "counter", "", "Probes not sent for lack of budget."),
    TextMetricInfo("retries_total", "counter", "", "Retries sent to targets."),
    TextMetricInfo("retries_denied_total", "counter", "", "Retries not sent for lack of budget."),
    TextMetricInfo("connections_opened_total", "counter", "", "Connections opened to targets."),
    TextMetricInfo("surplus_answers_total", "counter", "", "Answers that nothing waited for."),
    TextMetricInfo("entries_unreadable_total", "counter", "", "Store rows that failed to parse."),
    TextMetricInfo("rests_asked_total", "counter", "", "Back-off requests of targets."),
    TextMetricInfo("targets_ended_total", "counter", "", "Targets that crashed during a request."),
    TextMetricInfo("requests_barred", "gauge", "", "Requests quarantined for crashing targets."),
    TextMetricInfo("store_calls_total", "counter", "", "Calls to the platform's store."),
    TextMetricInfo("store_failures_total", "counter", "", "Calls to the store that got no answer."),
    TextMetricInfo("settings_version", "gauge", "", "Active settings version; 0 if none."),
    TextMetricInfo("table_age_seconds", "gauge", "table", "Time since a table was last current."),
    TextMetricInfo("boxes_live", "gauge", "", "Live boxes, this one included."),
    TextMetricInfo("peer_requests_sent_total", "counter", "", "Requests passed to peers."),
    TextMetricInfo("peer_requests_served_total", "counter", "", "Requests served for peers."),
    TextMetricInfo("peer_connections_opened_total", "counter", "", "Connections opened to peers."),
    TextMetricInfo("targets_unreached", "gauge", "", "Targets to which no connection opens."),
    TextMetricInfo("boxes_sharing", "gauge", "", "Boxes by which shared limits are divided."),
    TextMetricInfo("in_flight", "gauge", "", "Requests being served."),
    TextMetricInfo("word_bytes_total", "counter", "", "Bytes of datagrams sent to peers."),
    TextMetricInfo("messages_unsent_total", "counter", "", "Messages to peers left out."),
    TextMetricInfo("log_lines_dropped_total", "counter", "", "Log lines dropped."),
)


class _Histogram:
    def __init__(self) -> None:
        self.counts = [0] * (len(BUCKETS) + 1)
        self.sum = 0.0

    def add(self, value: Seconds) -> None:
        self.counts[bisect_left(BUCKETS, value)] += 1
        self.sum += value


class TextMetrics:
    """Collect the metrics of an entry box and render them as text.

    Parameters
    ----------
    gauges : callable
        Returns the values of all metrics that are not counted here, by name with labels.
    """

    def __init__(self, gauges: Callable[[], dict[str, float]]) -> None:
        self._gauges = gauges
        self._requests: dict[tuple[str, str, str], int] = {}
        self._times: dict[str, _Histogram] = {}
        self._sends = 0

    def request_ended(self, kind: str, ending: Ending, took: Seconds, sends: int) -> None:
        """Count a completed request.

        Parameters
        ----------
        kind : str
            Name of the route.
        ending : Ending
        took : float
            Duration in seconds.
        sends : int
            Number of times the request was sent to a target.
        """
        reason = "" if ending.reason is None else ending.reason.value
        key = (kind, ending.outcome.value, reason)
        self._requests[key] = self._requests.get(key, 0) + 1
        self._sends += sends
        self._times.setdefault(kind, _Histogram()).add(took)

    def text(self) -> str:
        """Return all metrics as text."""
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
    for bound, count in zip((*BUCKETS, float("inf")), histogram.counts, strict=True):
        total += count
        label = "+Inf" if bound == float("inf") else f"{bound:g}"
        lines.append(f'dunlinnotch_request_seconds_bucket{{kind="{kind}",le="{label}"}} {total}')
    lines.append(f'dunlinnotch_request_seconds_sum{{kind="{kind}"}} {histogram.sum:.6f}')
    lines.append(f'dunlinnotch_request_seconds_count{{kind="{kind}"}} {total}')
    return lines
