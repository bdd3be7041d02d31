"""Tables followed through stores and peers only move forward and lose nothing."""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dunlinnotch.state.followed import FollowedTable, TableDelta, TableRow

KEYS = st.sampled_from("abcde")


class Following(RuleBasedStateMachine):
    """A store, and boxes that learn of it late, twice, out of order and from each other."""

    def __init__(self):
        super().__init__()
        self.version = 0
        self.store: dict[str, TableRow] = {}
        self.history: list[TableRow] = []
        self.states = {0: {}}
        self.late: list[TableDelta] = []
        self.seen: list[dict[str, bytes]] = [{}, {}, {}]
        self.boxes = [FollowedTable("t", self._watcher(n)) for n in range(3)]

    def _watcher(self, number):
        def watch(rows):
            for row in rows:
                if row.value is None:
                    self.seen[number].pop(row.key, None)
                else:
                    self.seen[number][row.key] = row.value

        return watch

    @rule(key=KEYS, gone=st.booleans())
    def write(self, key, gone):
        self.version += 1
        row = TableRow(key, self.version, None if gone else f"{self.version}".encode())
        if gone:
            self.store.pop(key, None)
        else:
            self.store[key] = row
        self.history.append(row)
        self.states[self.version] = {k: r.value for k, r in self.store.items()}

    def _feed(self, after):
        rows = tuple(row for row in self.history if row.version > after)
        return TableDelta("t", self.version, False, rows)

    def _whole(self):
        return TableDelta("t", self.version, True, tuple(self.store.values()))

    @rule(box=st.integers(0, 2), whole=st.booleans(), keep=st.booleans())
    def read(self, box, whole, keep):
        table = self.boxes[box]
        delta = self._whole() if whole or not table.known else self._feed(table.version)
        if keep:
            self.late.append(delta)
        else:
            table.take(delta, at=float(self.version))

    @rule(box=st.integers(0, 2), data=st.data())
    def late_answer(self, box, data):
        """An answer that was long on its way: only a whole one fits a box that moved on."""
        whole = [delta for delta in self.late if delta.whole]
        if whole:
            self.boxes[box].take(data.draw(st.sampled_from(whole)), at=0.0)

    @rule(asker=st.integers(0, 2), teller=st.integers(0, 2))
    def fetch(self, asker, teller):
        if self.boxes[teller].known and asker != teller:
            version = self.boxes[asker].version if self.boxes[asker].known else 0
            self.boxes[asker].take(self.boxes[teller].since(version), at=0.0)

    @invariant()
    def each_box_knows_exactly_what_stood_at_its_version(self):
        for number, table in enumerate(self.boxes):
            if table.known:
                rows = {row.key: row.value for row in table.rows}
                assert rows == self.states[table.version]
                assert self.seen[number] == rows


TestFollowing = Following.TestCase
TestFollowing.settings = settings(max_examples=500, stateful_step_count=40, derandomize=True)


def test_what_went_is_told_until_it_is_forgotten(monkeypatch):
    monkeypatch.setattr("dunlinnotch.state.followed.GONE_KEPT", 2)
    table = FollowedTable("t", lambda _: None)
    rows = tuple(TableRow(f"k{n}", n, b"x") for n in range(1, 6))
    table.take(TableDelta("t", 5, True, rows), at=1.0)
    gone = tuple(TableRow(f"k{n}", n + 5, None) for n in range(1, 5))
    table.take(TableDelta("t", 9, False, gone), at=2.0)
    assert not table.since(8).whole
    assert [row.key for row in table.since(8).rows] == ["k4"]
    assert table.since(5).whole
    assert [row.key for row in table.since(5).rows] == ["k5"]


def test_what_went_before_a_whole_reading_is_not_passed_over():
    """Found by the state machine: a box that read the table whole never heard of some rows.

    Asked by a peer that still holds such a row, it must tell all it has
    rather than what it saw change.
    """
    old, new = FollowedTable("t", lambda _: None), FollowedTable("t", lambda _: None)
    old.take(TableDelta("t", 1, True, (TableRow("b", 1, b"x"),)), at=1.0)
    new.take(TableDelta("t", 2, True, ()), at=2.0)
    assert old.take(new.since(1), at=2.0)
    assert old.rows == []


def test_an_old_delta_changes_nothing_and_proves_nothing_fresh():
    table = FollowedTable("t", lambda _: None)
    table.take(TableDelta("t", 5, True, (TableRow("a", 5, b"new"),)), at=1.0)
    assert not table.take(TableDelta("t", 4, True, (TableRow("a", 4, b"old"),)), at=9.0)
    assert table.rows == [TableRow("a", 5, b"new")]
    assert table.verified_at == 1.0
