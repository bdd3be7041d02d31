"""What rows of the list of targets do to the targets that may get work."""

from __future__ import annotations

from dunlinnotch.coordination.settings.beliefs import LAPSE_S, RoutesInForce, TargetsListed
from dunlinnotch.errors import SettingsError
from dunlinnotch.state.instances import InstanceList, ListedTarget
from dunlinnotch.state.routes import CallerLimits, RouteTable
from dunlinnotch.state.table_replica import TableDelta, TableRow


class Clock:
    """A clock that the test moves."""

    now = 10.0

    def __call__(self):
        return self.now


def read(key, value):
    return ListedTarget(key, "s", "hall-a", f"10.0.0.{key}:80", 3, False, int(value), 0.0)


def listed(count):
    clock = Clock()
    instances = InstanceList()
    targets = TargetsListed(read, instances, clock=clock)
    targets.take([TableRow(str(n), n, b"1") for n in range(1, count + 1)])
    return clock, instances, targets


def names(instances):
    return sorted(i.name for i in instances.all())


def test_one_row_that_vanishes_is_a_target_that_left():
    """hunt-5fe2-7 and mix 801366767635 of ikenga-gate: DRAIN.

    The store turned some boxes away; a target that left meanwhile was kept
    for seconds as one whose row had lapsed.
    """
    _, instances, targets = listed(6)
    targets.take([TableRow("3", 9, None)])
    assert names(instances) == ["1", "2", "4", "5", "6"]


def test_many_rows_that_vanish_at_once_are_kept_for_a_while_and_come_back():
    clock, instances, targets = listed(6)
    targets.take([TableRow(str(n), 9, None) for n in range(1, 6)])
    assert len(names(instances)) == 6
    assert [i.name for i in instances.all() if i.missing_since is None] == ["6"]
    targets.take([TableRow("1", 10, b"2")])
    clock.now += LAPSE_S + 0.1
    targets.expire()
    assert names(instances) == ["1", "6"]


def test_rows_that_lapsed_are_gone_when_they_are_not_back_after_two_seconds():
    clock, instances, targets = listed(6)
    targets.take([TableRow(str(n), 9, None) for n in range(1, 6)])
    clock.now += 2.0
    targets.expire()
    assert len(names(instances)) == 6
    clock.now += 0.5
    targets.expire()
    assert names(instances) == ["6"]


def test_a_target_whose_row_the_store_lost_stays_until_it_is_written_again():
    """It may be written as it was, and also after it was let go."""
    clock, instances, targets = listed(6)
    lost = [TableRow("1", 9, None, lost=True), TableRow("2", 9, None, lost=True)]
    targets.take(lost)
    assert len(names(instances)) == 6
    targets.take([TableRow("1", 10, b"1")])
    assert [i.name for i in instances.all() if i.missing_since is not None] == ["2"]
    clock.now += LAPSE_S + 0.1
    targets.expire()
    assert names(instances) == ["1", "3", "4", "5", "6"]
    targets.take([TableRow("2", 11, b"1")])
    assert len(names(instances)) == 6


def test_a_target_that_left_stays_out_though_a_copy_lists_it():
    _, instances, targets = listed(6)
    targets.take([TableRow("1", 9, None)])
    targets.take([TableRow("1", 4, b"1")])
    assert "1" not in names(instances)


def table(version):
    return RouteTable(version, (), {}, CallerLimits())


def test_settings_never_go_back_and_a_bad_document_changes_nothing():
    put = []

    def parse(data):
        if data == b"bad":
            raise SettingsError("bad")
        return table(int(data))

    routes = RoutesInForce(parse, key="config", on_change=lambda t: put.append(t.version))
    for number, value in enumerate([b"3", b"bad", b"2", b"3", b"7", b"5"]):
        routes.take([TableRow("config", number, value), TableRow("other", number, b"9")])
    routes.take([TableRow("config", 99, None)])
    assert put == [3, 7]
    assert routes.table.version == 7


def test_a_peer_is_told_the_settings_in_force_where_the_store_holds_older_ones():
    routes = RoutesInForce(lambda data: table(int(data)), key="config", on_change=lambda _: None)
    other = TableRow("other", 2, b"x")
    old = TableDelta("op", 5, True, (TableRow("config", 3, b"21"), other), 5, 2)
    assert routes.told(old) == old
    routes.take([TableRow("config", 40, b"24")])
    assert set(routes.told(old).rows) == {TableRow("config", 3, b"24"), other}
    lacking = TableDelta("op", 5, True, (), 5, 2)
    assert routes.told(lacking).rows == (TableRow("config", 5, b"24"),)
    change = TableDelta("op", 6, False, (other,), 6, 2)
    assert routes.told(change) == change


# -- rows of other writers, and starts under one name


def read_start(key, value):
    if value.startswith(b"bad"):
        raise SettingsError("a bad row")
    born, sequence = map(int, value.split())
    return ListedTarget(key, "s", "hall-a", "10.0.0.1:80", 3, False, sequence, 0.0, born)


def started(*rows):
    instances = InstanceList()
    targets = TargetsListed(read_start, instances, clock=Clock())
    targets.take([TableRow(key, n, value) for n, (key, value) in enumerate(rows)])
    return instances, targets


def test_a_row_that_turns_unreadable_takes_its_target_out_of_use_until_it_is_mended(caplog):
    instances, targets = started(("a", b"7 1"), ("b", b"7 1"))
    with caplog.at_level("INFO"):
        targets.take(
            [TableRow("a", 9, b"bad"), TableRow("c", 10, b"bad"), TableRow("d", 11, b"8 1")]
        )
    assert names(instances) == ["b", "d"]
    assert targets.unreadable == 2
    lines = [r.fields for r in caplog.records if r.message == "target-unreadable"]
    assert [(line["key"], line["was_used"]) for line in lines] == [("a", True), ("c", False)]
    targets.take([TableRow("a", 12, b"7 1")])
    assert names(instances) == ["a", "b", "d"]


def test_a_row_that_does_not_tell_its_start_names_no_target_where_others_do():
    instances, targets = started(("a", b"0 1"), ("b", b"7 1"))
    assert names(instances) == ["b"]
    targets.take([TableRow("c", 9, b"0 1")])
    assert names(instances) == ["b"]
    assert targets.unreadable == 2


def test_one_foreign_row_that_tells_a_start_takes_no_other_target_out_of_use():
    instances, targets = started(*((name, b"0 1") for name in "abcde"))
    targets.take([TableRow("foreign", 9, b"7 1")])
    targets.take([TableRow("a", 10, b"0 2"), TableRow("f", 11, b"0 1")])
    assert names(instances) == ["a", "b", "c", "d", "e", "f", "foreign"]
    assert targets.unreadable == 0


def test_where_nobody_tells_starts_all_rows_count():
    instances, targets = started(("a", b"0 1"), ("b", b"0 4"))
    assert names(instances) == ["a", "b"]
    assert targets.unreadable == 0


def test_a_new_start_is_logged_as_a_new_target(caplog):
    _, targets = started(("a", b"7 5"))
    with caplog.at_level("INFO"):
        targets.take([TableRow("a", 9, b"7 6")])
        targets.take([TableRow("a", 10, b"8 0")])
    lines = [r.fields for r in caplog.records if r.message == "target-listed"]
    assert [(line["born"], line["new"]) for line in lines] == [(7, False), (8, True)]
