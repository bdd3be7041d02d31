"""Metrics sent to a statsd server."""

from __future__ import annotations

from enum import Enum
from typing import TYPE_CHECKING, NamedTuple

import statsd

from dunlinnotch._addresses import split_address
from dunlinnotch.protocol.attempt import Answered, Broken, NotSent, Refused

if TYPE_CHECKING:
    from dunlinnotch.protocol.attempt import AttemptResult
    from dunlinnotch.protocol.http import Call
    from dunlinnotch.protocol.outcome import CallResult
    from dunlinnotch.types import Address, Clock, Seconds


class MetricInfo(NamedTuple):
    """Name, type, unit and description of one metric."""

    name: str
    type: str
    unit: str
    meaning: str


class Metric(Enum):
    """All metrics; ``docs/METRICS.md`` is generated from this table."""

    CALLS = MetricInfo("calls.{outcome}", "counter", "calls", "Calls ended, by outcome.")
    REFUSED = MetricInfo("refused.{reason}", "counter", "calls", "Calls not answered, by reason.")
    CALL_TIME = MetricInfo("call.time", "timer", "ms", "From request head to end of answer.")
    QUEUE_TIME = MetricInfo("call.queue", "timer", "ms", "Time spent waiting for a target.")
    ADDED_TIME = MetricInfo(
        "call.added", "timer", "ms", "Call time without the wait and the time at targets."
    )
    CHOICES = MetricInfo("choice.{why}", "counter", "choices", "Targets chosen, by reason.")
    ATTEMPTS = MetricInfo("attempts.{end}", "counter", "attempts", "Attempts at targets, by end.")
    RETRIES = MetricInfo("retries", "counter", "attempts", "Attempts after the first one.")
    PROBES = MetricInfo("probes.{end}", "counter", "probes", "Probes sent, by end.")
    PROBE_TIME = MetricInfo("probe.time", "timer", "ms", "Duration of a probe.")
    PROBES_ALLOWED = MetricInfo(
        "probes.allowed", "gauge", "1/s", "Probe rate allowed to this box by the budget."
    )
    IN_FLIGHT = MetricInfo("in_flight", "gauge", "calls", "Calls accepted and not completed.")
    VERSION = MetricInfo("settings.version", "gauge", "version", "Active settings version.")
    TABLE_AGE = MetricInfo("settings.age", "gauge", "s", "Time since the table was last read.")
    PEERS = MetricInfo("peers", "gauge", "boxes", "Live boxes, this one included.")
    PEER_BYTES = MetricInfo("peer.sent", "counter", "bytes", "Sent on links opened by this box.")
    DRAINING = MetricInfo("draining", "gauge", "0 or 1", "Whether this box is draining.")


_END_LABELS = {Answered: "answered", Refused: "refused", Broken: "broken", NotSent: "not_sent"}


class Metrics:
    """Send metrics to a statsd server, or do nothing if none is set.

    Parameters
    ----------
    server : str or None
        Address of the statsd server.
    prefix : str
        Prefix of all metric names.
    clock : callable
        Returns monotonic seconds.
    """

    def __init__(self, server: Address | None, *, prefix: str, clock: Clock) -> None:
        self._clock = clock
        self._client = None
        if server is not None:
            address = split_address(server)
            self._client = statsd.StatsClient(address.host, address.port, prefix=prefix)

    def count(self, metric: Metric, amount: int = 1, **parts: str) -> None:
        """Add to a counter; ``parts`` fill the placeholders of its name."""
        if self._client is not None:
            self._client.incr(metric.value.name.format(**parts), amount)

    def gauge(self, metric: Metric, value: float) -> None:
        """Set a gauge."""
        if self._client is not None:
            self._client.gauge(metric.value.name, value)

    def timing(self, metric: Metric, seconds: Seconds) -> None:
        """Send a duration."""
        if self._client is not None:
            self._client.timing(metric.value.name, seconds * 1000)

    def attempt_ended(self, result: AttemptResult, *, why: str, retry: bool) -> None:
        """Count the end of an attempt and the reason for the choice of its target."""
        self.count(Metric.CHOICES, why=why.replace("-", "_"))
        self.count(Metric.ATTEMPTS, end=_END_LABELS[type(result)])
        if retry:
            self.count(Metric.RETRIES)

    def call_ended(
        self, call: Call, result: CallResult, *, waited: Seconds, at_targets: Seconds
    ) -> None:
        """Record the end of a call.

        Parameters
        ----------
        call : Call
        result : CallResult
        waited : float
            Seconds spent waiting for a target.
        at_targets : float
            Seconds spent at targets.
        """
        if self._client is None:
            return
        self.count(Metric.CALLS, outcome=result.outcome.replace("-", "_"))
        if result.reason is not None:
            self.count(Metric.REFUSED, reason=result.reason.replace("-", "_"))
        took = self._clock() - call.arrived
        self.timing(Metric.CALL_TIME, took)
        self.timing(Metric.ADDED_TIME, max(0.0, took - waited - at_targets))
        self.timing(Metric.QUEUE_TIME, waited)
