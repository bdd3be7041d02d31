"""Tables followed through stores and peers only move forward and lose nothing.

Versions are those of an epoch: a store that comes back from a copy gives them out again.
"""

from __future__ import annotations

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from dunlinnotch.state.table_replica import TableDelta, TableReplica, TableRow

KEYS = st.sampled_from("abcde")


class Following(RuleBasedStateMachine):
    """A store, and boxes that learn of it late, twice, out of order and from each other."""

    def __init__(self):
        super().__init__()
        self.epoch = 1
        self.version = 0
        self.moment = 0
        self.store: dict[str, TableRow] = {}
        self.history: list[TableRow] = []
        self.copies = [(0, {}, [])]
        self.states = {(1, 0): {}}
        self.at = {0: (1, 0)}
        self.late: list[TableDelta] = []
        self.words: list[tuple[int, int, int, float]] = []
        self.seen: list[dict[str, bytes]] = [{}, {}, {}]
        self.boxes = [TableReplica("t", self._watcher(n)) for n in range(3)]

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
        self._moved_on()

    @rule()
    def write_another_table(self):
        """The store counts versions over all its tables."""
        self.version += 1
        self._moved_on()

    def _moved_on(self):
        self.moment += 1
        self.at[self.moment] = (self.epoch, self.version)
        self.states[self.at[self.moment]] = {k: r.value for k, r in self.store.items()}

    @rule()
    def copy(self):
        self.copies.append((self.version, dict(self.store), list(self.history)))

    @rule(data=st.data())
    def come_back_from_copy(self, data):
        version, store, history = data.draw(st.sampled_from(self.copies))
        self.copies = [copy for copy in self.copies if copy[0] <= version]
        self.version, self.store, self.history = version, dict(store), list(history)
        self.epoch += 1
        for earlier in range(version):
            self.states.setdefault(
                (self.epoch, earlier), self.states.get((self.epoch - 1, earlier))
            )
        self._moved_on()

    def _feed(self, after):
        rows = tuple(row for row in self.history if row.version > after)
        return TableDelta("t", self.version, False, rows, epoch=self.epoch)

    def _whole(self):
        return TableDelta("t", self.version, True, tuple(self.store.values()), epoch=self.epoch)

    @rule(box=st.integers(0, 2), whole=st.booleans(), keep=st.booleans())
    def read(self, box, whole, keep):
        """Read the store; it has no changes after a version that it lacks."""
        table = self.boxes[box]
        whole = whole or not table.loaded or table.version > self.version
        delta = self._whole() if whole else self._feed(table.version)
        if keep:
            self.late.append(delta)
        else:
            table.apply(delta, at=float(self.moment))

    @rule(box=st.integers(0, 2), data=st.data())
    def late_answer(self, box, data):
        """An answer that was long on its way: only a whole one fits a box that moved on."""
        whole = [delta for delta in self.late if delta.is_snapshot]
        if whole:
            self.boxes[box].apply(data.draw(st.sampled_from(whole)), at=0.0)

    @rule(asker=st.integers(0, 2), teller=st.integers(0, 2))
    def fetch(self, asker, teller):
        if self.boxes[teller].loaded and asker != teller:
            version = self.boxes[asker].version if self.boxes[asker].loaded else 0
            known = self.boxes[teller]
            delta = known.delta_since(version, self.boxes[asker].epoch)
            self.boxes[asker].apply(delta, at=known.verified_at)

    @rule(teller=st.integers(0, 2))
    def speak(self, teller):
        table = self.boxes[teller]
        if table.loaded:
            self.words.append((table.changed, table.version, table.epoch, table.verified_at))

    @rule(box=st.integers(0, 2), data=st.data())
    def hear(self, box, data):
        """A word that may have been long on its way."""
        if self.words:
            changed, version, epoch, at = data.draw(st.sampled_from(self.words))
            table = self.boxes[box]
            same = table.confirm(changed, version, at=at, epoch=epoch)
            assert same or not table.loaded or (table.epoch, table.version) < (epoch, changed)

    @invariant()
    def no_row_changed_between_changed_and_version(self):
        for table in self.boxes:
            if table.loaded:
                assert table.changed <= table.version
                spans = range(table.changed, table.version + 1)
                now = self.states[table.epoch, table.version]
                assert all(self.states[table.epoch, v] == now for v in spans)

    @invariant()
    def what_is_known_is_what_the_store_held_when_it_was_verified(self):
        for table in self.boxes:
            if table.loaded:
                then = self.at[int(table.verified_at)]
                if then >= (table.epoch, table.version):
                    assert self.states[table.epoch, table.version] == self.states[then]

    @invariant()
    def each_box_knows_exactly_what_stood_at_its_version(self):
        for number, table in enumerate(self.boxes):
            if table.loaded:
                rows = {row.key: row.value for row in table.rows}
                assert rows == self.states[table.epoch, table.version]
                assert self.seen[number] == rows


TestFollowing = Following.TestCase
TestFollowing.settings = settings(max_examples=500, stateful_step_count=40, derandomize=True)


def test_what_went_is_told_until_it_is_forgotten(monkeypatch):
    monkeypatch.setattr("dunlinnotch.state.table_replica.MAX_TOMBSTONES", 2)
    table = TableReplica("t", lambda _: None)
    rows = tuple(TableRow(f"k{n}", n, b"x") for n in range(1, 6))
    table.apply(TableDelta("t", 5, True, rows), at=1.0)
    gone = tuple(TableRow(f"k{n}", n + 5, None) for n in range(1, 5))
    table.apply(TableDelta("t", 9, False, gone), at=2.0)
    assert not table.delta_since(8).is_snapshot
    assert [row.key for row in table.delta_since(8).rows] == ["k4"]
    assert table.delta_since(5).is_snapshot
    assert [row.key for row in table.delta_since(5).rows] == ["k5"]


def test_what_went_before_a_whole_reading_is_not_passed_over():
    """Found by the state machine: a box that read the table whole never heard of some rows.

    Asked by a peer that still holds such a row, it must tell all it has
    rather than what it saw change.
    """
    old, new = TableReplica("t", lambda _: None), TableReplica("t", lambda _: None)
    old.apply(TableDelta("t", 1, True, (TableRow("b", 1, b"x"),)), at=1.0)
    new.apply(TableDelta("t", 2, True, ()), at=2.0)
    assert old.apply(new.delta_since(1), at=2.0)
    assert old.rows == []


def test_an_old_delta_changes_nothing_and_proves_nothing_fresh():
    table = TableReplica("t", lambda _: None)
    table.apply(TableDelta("t", 5, True, (TableRow("a", 5, b"new"),)), at=1.0)
    assert not table.apply(TableDelta("t", 4, True, (TableRow("a", 4, b"old"),)), at=9.0)
    assert table.rows == [TableRow("a", 5, b"new")]
    assert table.verified_at == 1.0


def test_a_version_that_only_moves_on_needs_no_fetch():
    """ikenga-gate-grown trouble-1 --seed 531803079277: DRAIN.

    Versions count over all tables, so each change of one table made every box
    fetch an empty change of the other, and readers took calls that rightly
    waited for hung ones.
    """
    first, second = TableReplica("t", lambda _: None), TableReplica("t", lambda _: None)
    row = TableRow("a", 5, b"x")
    for table in (first, second):
        table.apply(TableDelta("t", 5, True, (row,)), at=1.0)
    first.apply(TableDelta("t", 9, False, ()), at=4.0)
    assert (first.version, first.changed) == (9, 5)
    assert second.confirm(first.changed, first.version, at=4.0)
    assert (second.version, second.changed, second.verified_at) == (9, 5, 4.0)
    first.apply(TableDelta("t", 12, False, (TableRow("a", 11, b"y"),)), at=5.0)
    assert not second.confirm(first.changed, first.version, at=5.0)
    assert second.verified_at == 4.0


def test_a_later_era_is_taken_over_whole_or_not_at_all():
    told = []
    table = TableReplica("t", told.extend)
    rows = (TableRow("a", 3, b"a"), TableRow("b", 9, b"b"))
    table.apply(TableDelta("t", 9, True, rows, epoch=1), at=1.0)
    told.clear()
    change = TableDelta("t", 12, False, (TableRow("c", 12, b"c"),), epoch=2)
    assert not table.apply(change, at=2.0)
    assert (table.epoch, table.version, table.verified_at) == (1, 9, 1.0)
    assert table.apply(TableDelta("t", 5, True, (TableRow("a", 3, b"a"),), epoch=2), at=3.0)
    assert (table.epoch, table.version, table.verified_at) == (2, 5, 3.0)
    assert told == [TableRow("b", 5, None, lost=True)]
    assert not table.apply(TableDelta("t", 20, True, rows, epoch=1), at=4.0)
    assert table.rows == [TableRow("a", 3, b"a")]


def test_a_peer_of_an_earlier_era_is_told_all():
    table = TableReplica("t", lambda _: None)
    table.apply(TableDelta("t", 5, True, (TableRow("a", 3, b"a"),), epoch=2), at=1.0)
    table.apply(TableDelta("t", 6, False, (TableRow("b", 6, b"b"),), epoch=2), at=1.0)
    assert not table.delta_since(5, epoch=2).is_snapshot
    told = table.delta_since(40, epoch=1)
    assert told.is_snapshot
    assert (told.epoch, len(told.rows)) == (2, 2)
