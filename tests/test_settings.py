from dataclasses import replace

import pytest

from dunlinnotch.coordination.settings.tree import SettingsEditor, SettingsFollower, SettingsHolder
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.outcome import EditStatus
from dunlinnotch.standins.platform import PlatformFaults
from tests import EditMaker, FakeClock, FakePlatform

make = EditMaker()


class Side:
    """One box's part in the settings, on a shared platform."""

    def __init__(self, platform):
        self.holder = SettingsHolder()
        self.follower = SettingsFollower(platform, self.holder, clock=FakeClock())
        self.missing = ()
        self.editor = SettingsEditor(
            platform,
            self.holder,
            self.follower,
            missing=lambda _version: self.missing,
            wait=lambda _version, _timeout: True,
        )

    def edit(self, edit):
        return self.editor.edit(edit, timeout=0.0)


@pytest.fixture
def platform():
    return FakePlatform()


def test_edit_is_accepted_and_read_by_another_box(platform):
    ours, theirs = Side(platform), Side(platform)
    result = ours.edit(make("/", "rank", "3", base=0, key="a"))
    assert (result.status, result.version) == (EditStatus.ACCEPTED, 1)
    assert theirs.follower.poll()
    assert theirs.holder.tree.effective("/").rank == 3


def test_operators_racing_on_one_node_conflict_and_on_two_are_merged(platform):
    ours, theirs = Side(platform), Side(platform)
    assert ours.edit(make("hall-a", "rank", "1", base=0, key="a")).status is EditStatus.ACCEPTED
    same = theirs.edit(make("hall-a", "rank", "2", base=0, key="b"))
    assert (same.status, same.conflicts) == (EditStatus.CONFLICT, ("hall-a",))
    other = theirs.edit(make("hall-b", "rank", "2", base=0, key="c"))
    assert (other.status, other.version) == (EditStatus.ACCEPTED, 2)
    assert theirs.holder.tree.effective("hall-a").rank == 1


def test_lost_answer_is_settled_by_reading_back_and_never_doubled(platform):
    side = Side(platform)
    platform.set_faults(PlatformFaults(lose_answers=1))
    result = side.edit(make("/", "rank", "3", base=0, key="a"))
    assert (result.status, result.version) == (EditStatus.ACCEPTED, 1)
    again = side.edit(make("/", "rank", "3", base=0, key="a"))
    assert (again.status, again.version) == (EditStatus.ACCEPTED, 1)


def test_unavailable_and_unknown_are_told_apart(platform):
    side = Side(platform)
    platform.set_faults(PlatformFaults(down=True))
    assert side.edit(make("/", "rank", "3", base=0, key="a")).status is EditStatus.UNAVAILABLE
    platform.set_faults(PlatformFaults(lose_answers=99, stale=True))
    assert side.edit(make("/", "rank", "3", base=0, key="b")).status is EditStatus.UNKNOWN
    platform.set_faults(PlatformFaults())
    settled = side.edit(make("/", "rank", "3", base=0, key="b"))
    assert (settled.status, settled.version) == (EditStatus.ACCEPTED, 1)


def test_stale_reads_never_move_a_box_back(platform):
    side = Side(platform)
    side.edit(make("/", "rank", "1", base=0, key="a"))
    platform.set_faults(PlatformFaults(stale=True))
    writer = Side(FakePlatform(platform.store))
    writer.follower.poll()
    side.edit(make("/", "rank", "2", base=1, key="b"))
    side.follower.poll()
    assert side.holder.version >= 1
    assert side.holder.tree.effective("/").rank in (1, 2)


def test_unconfirmed_boxes_make_an_edit_pending(platform):
    side = Side(platform)
    side.missing = ("box-9",)
    result = side.edit(make("/", "rank", "3", base=0, key="a"))
    assert (result.status, result.missing) == (EditStatus.PENDING, ("box-9",))


def test_bad_edit_is_refused_before_it_is_written(platform):
    side = Side(platform)
    result = side.edit(make("/", "rank", "99", base=0, key="a"))
    assert result.status is EditStatus.INVALID
    assert platform.store.rows == {}


def test_snapshot_saves_a_new_box_the_old_edits(platform):
    side = Side(platform)
    for number in range(70):
        side.edit(make("/", "rank", str(number % 10), base=number, key=f"e{number}"))
    fresh = Side(platform)
    before = platform.store.reads
    fresh.follower.poll()
    assert fresh.holder.version == 70
    assert platform.store.reads - before == 2


@pytest.mark.parametrize("value", ["nonsense", '{"version": "x"}', "{}"])
@pytest.mark.parametrize("key", ["settings/head", "settings/edit/000000000002"])
def test_row_that_can_not_be_read_is_told_and_leaves_the_tree_as_it_is(platform, key, value):
    side, reader = Side(platform), Side(platform)
    side.edit(make("/", "rank", "1", base=0, key="a"))
    reader.follower.poll()
    side.edit(make("/", "rank", "2", base=1, key="b"))
    platform.store.rows[key] = replace(platform.store.rows[key], value=value)
    with pytest.raises(PlatformUnavailableError):
        reader.follower.poll()
    assert reader.holder.version == 1
    assert reader.edit(make("/", "rank", "3", base=1, key="c")).status is EditStatus.UNAVAILABLE


def test_edit_that_this_release_does_not_know_is_told(platform):
    side, reader = Side(platform), Side(platform)
    side.edit(make("/", "rank", "1", base=0, key="a"))
    row = platform.store.rows["settings/edit/000000000001"]
    odd = replace(row, value=row.value.replace('"rank"', '"rank-of-tomorrow"'))
    platform.store.rows[row.key] = odd
    with pytest.raises(PlatformUnavailableError):
        reader.follower.poll()
