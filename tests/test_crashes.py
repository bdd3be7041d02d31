"""Crash records converge at all boxes, in whatever order they are merged."""

from __future__ import annotations

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from benchmarks._boxes import Clock
from dunlinnotch.errors import ProtocolError
from dunlinnotch.protocol.crashes import (
    as_ages,
    from_ages,
    pack_crashes,
    read_crashes,
    unpack_crashes,
)
from dunlinnotch.protocol.mesh import pack_messages, unpack_messages
from dunlinnotch.state.crashes import (
    MAX_CONCLUSIVE_RECORDS,
    MAX_QUARANTINE_S,
    MAX_TARGETS_PER_REQUEST,
    MIN_QUARANTINE_S,
    QUARANTINE_THRESHOLD,
    RETENTION_S,
    CrashLog,
    CrashRecord,
    ServingSpan,
)


def targets(count, first=0, *, at=10.0):
    """Return targets that crashed one after the other, the last one at ``at``."""
    spans = [
        ServingSpan(at - 0.1 * back - 0.05, at - 0.1 * back) for back in reversed(range(count))
    ]
    return {f"t{first + number}": span for number, span in enumerate(spans)}


def test_a_request_is_quarantined_at_the_threshold_and_released_later():
    clock = Clock()
    log = CrashLog(clock=clock)
    log.record_crashes("r", targets(QUARANTINE_THRESHOLD - 1))
    assert log.quarantine_left("r") == 0
    log.record_crashes("r", targets(1))
    assert log.quarantine_left("r") == 0
    clock.now += 5
    log.record_crashes("r", targets(1, QUARANTINE_THRESHOLD, at=clock.now))
    assert log.quarantine_left("r") == MIN_QUARANTINE_S
    assert log.quarantined == 1
    assert log.quarantine_left("another") == 0
    clock.now += MIN_QUARANTINE_S
    assert log.quarantine_left("r") == 0


def test_each_further_crash_doubles_the_quarantine_up_to_the_maximum():
    clock = Clock()
    log = CrashLog(clock=clock)
    quarantines = []
    for number in range(2 * MAX_TARGETS_PER_REQUEST):
        log.record_crashes("r", targets(1, number, at=clock.now))
        quarantines.append(log.quarantine_left("r"))
        clock.now += 1
    assert quarantines[: QUARANTINE_THRESHOLD + 2] == [
        0,
        0,
        MIN_QUARANTINE_S,
        2 * MIN_QUARANTINE_S,
        4 * MIN_QUARANTINE_S,
    ]
    assert set(quarantines[QUARANTINE_THRESHOLD + 2 :]) == {MAX_QUARANTINE_S}


def test_targets_that_crash_at_the_same_time_count_as_one():
    """A power loss ends many targets, and a popular request is in progress at all of them."""
    clock = Clock()
    log = CrashLog(clock=clock)
    at_once = {f"t{n}": ServingSpan(9.0 + n / 100, 10.0) for n in range(2 * QUARANTINE_THRESHOLD)}
    log.record_crashes("popular", at_once)
    assert log.find("popular").consecutive_crashes == 1
    log.record_crashes("popular", {"next": ServingSpan(10.001, 10.2)})
    assert log.find("popular").consecutive_crashes == 2
    assert log.quarantine_left("popular") == 0


def test_an_answer_discards_the_crashes_before_it():
    clock = Clock()
    log = CrashLog(clock=clock)
    assert log.record_answer("r") is None
    log.record_crashes("r", targets(2))
    log.record_answer("r")
    log.record_crashes("r", targets(2, 2))
    assert log.quarantine_left("r") == 0
    clock.now += 1
    log.record_crashes("r", targets(1, 4, at=clock.now))
    assert log.quarantine_left("r") == MIN_QUARANTINE_S


def test_an_answer_counts_also_if_it_arrives_before_the_crashes_it_discards():
    clock = Clock()
    first, second = CrashLog(clock=clock), CrashLog(clock=clock)
    seen = first.record_crashes("r", targets(QUARANTINE_THRESHOLD))
    before = CrashRecord("r", targets=dict(seen.targets))
    answered = first.record_answer("r")
    second.merge(answered)
    assert second.merge(before) is None
    assert second.quarantine_left("r") == 0
    assert first.digest == second.digest


def test_the_number_of_records_is_bounded():
    clock = Clock()
    log = CrashLog(clock=clock)
    log.record_crashes("worst", targets(QUARANTINE_THRESHOLD))
    for number in range(5 * MAX_CONCLUSIVE_RECORDS):
        clock.now += 0.01
        log.record_crashes(f"r{number}", targets(1))
    assert len(log) <= 4 * MAX_CONCLUSIVE_RECORDS
    assert log.quarantine_left("worst") > 0
    log.record_crashes("worst", targets(3 * MAX_TARGETS_PER_REQUEST, at=clock.now))
    assert len(log.find("worst").targets) == MAX_TARGETS_PER_REQUEST


def test_boxes_above_the_limit_drop_the_same_records_and_agree():
    """If each box dropped its oldest records, its peers would send them again for ever."""
    clock = Clock()
    first, second = CrashLog(clock=clock), CrashLog(clock=clock)
    for number in range(2 * MAX_CONCLUSIVE_RECORDS):
        first.record_crashes(f"a{number}", targets(QUARANTINE_THRESHOLD))
        second.record_crashes(f"b{number}", targets(QUARANTINE_THRESHOLD))
    for _ in range(3):
        clock.now += 2
        for sender, receiver in ((first, second), (second, first)):
            for record in sender.conclusive:
                receiver.merge(from_ages(as_ages(record, clock.now), clock.now))
    clock.now += 2
    for log in (first, second):
        log.record_crashes("last", targets(1))
    assert first.digest == second.digest
    assert len(first.conclusive) == MAX_CONCLUSIVE_RECORDS
    updates = [first.merge(from_ages(as_ages(e, clock.now), clock.now)) for e in second.conclusive]
    assert updates == [None] * MAX_CONCLUSIVE_RECORDS


def test_an_expired_record_is_not_merged():
    clock = Clock()
    log = CrashLog(clock=clock)
    assert log.merge(CrashRecord("r", targets=targets(1, at=clock.now - RETENTION_S))) is None
    assert log.digest == 0


def test_a_record_survives_a_datagram_with_ages_for_times():
    clock = Clock()
    log = CrashLog(clock=clock)
    seen = log.record_crashes("r", targets(2))
    clock.now += 1.5
    message = as_ages(seen, clock.now)
    assert message.targets == {"t0": (1650, 1600), "t1": (1550, 1500)}
    (data,) = pack_messages([message, message])
    assert unpack_messages(data) == [message, message]
    assert from_ages(message, 100.0).targets == {"t0": (98.35, 98.4), "t1": (98.45, 98.5)}
    assert unpack_crashes(pack_crashes(message)) == message


def test_times_in_the_future_become_the_present():
    message = read_crashes(["ended-1", "r", 0, 0, {"t": [-4000, -5000]}])
    assert from_ages(message, 100.0).targets == {"t": (100.0, 100.0)}


@pytest.mark.parametrize(
    "fields",
    [
        None,
        [],
        ["ended-1", "r", 0, 0],
        ["ended-1", 5, 0, 0, {}],
        ["ended-1", "r", -1, 0, {}],
        ["ended-1", "r", 0, "0", {}],
        ["ended-1", "r", 0, 0, []],
        ["ended-1", "r", 0, 0, {"t": 1}],
        ["ended-1", "r", 0, 0, {"t": [1]}],
        ["ended-1", "r", 0, 0, {"t": [1, "2"]}],
        ["ended-1", "r", 0, 0, {5: [2, 1]}],
    ],
)
def test_a_report_of_another_shape_is_refused(fields):
    with pytest.raises(ProtocolError):
        read_crashes(fields)


@given(st.binary(max_size=60))
def test_random_bytes_are_refused_or_read_as_a_report(data):
    try:
        seen = unpack_crashes(data)
    except ProtocolError:
        return
    assert isinstance(seen.request, str)


class Boxes(RuleBasedStateMachine):
    """Boxes record crashes and answers, and send them to each other in any order."""

    @initialize(seed=st.integers(0, 100))
    def begin(self, seed):
        self.rng = random.Random(seed)
        self.clock = Clock()
        self.logs = [CrashLog(clock=self.clock) for _ in range(3)]
        self.sent = []

    @rule(box=st.integers(0, 2), request=st.sampled_from("rs"), number=st.integers(0, 9))
    def crash(self, box, request, number):
        self._send(self.logs[box].record_crashes(request, targets(1, number, at=self.clock.now)))

    @rule(box=st.integers(0, 2), request=st.sampled_from("rs"))
    def answer(self, box, request):
        self._send(self.logs[box].record_answer(request))

    @rule(box=st.integers(0, 2), which=st.integers(0, 1000))
    def receive(self, box, which):
        if self.sent:
            message, at = self.sent[which % len(self.sent)]
            # The message was in transit meanwhile, so the ages in it are too low.
            self.logs[box].merge(from_ages(message, max(at, self.clock.now - 1)))

    @rule(seconds=st.floats(0, 5))
    def wait(self, seconds):
        self.clock.now += seconds

    def _send(self, record):
        if record is not None:
            self.sent.append((as_ages(record, self.clock.now), self.clock.now))

    @invariant()
    def boxes_with_equal_digests_quarantine_alike(self):
        if not hasattr(self, "logs"):
            return
        for log in self.logs:
            if log.digest == self.logs[0].digest:
                for request in "rs":
                    quarantined = log.quarantine_left(request) > 0
                    assert quarantined == (self.logs[0].quarantine_left(request) > 0)

    def teardown(self):
        """Boxes that receive all messages end up with equal records."""
        if not hasattr(self, "logs"):
            return
        for log in self.logs:
            everything = [from_ages(m, at) for m, at in self.sent]
            self.rng.shuffle(everything)
            for record in everything:
                log.merge(record)
        assert len({log.digest for log in self.logs}) == 1


TestBoxes = Boxes.TestCase
