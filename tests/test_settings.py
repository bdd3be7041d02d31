"""Settings on a shared table: edits, conflicts, lost answers and unreadable rows."""

from dataclasses import replace

import pytest

from dunlinnotch.coordination.settings.tree import SettingsEditor, SettingsFollower, SettingsHolder
from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.protocol.outcome import EditStatus
from dunlinnotch.standins.platform import PlatformFaults
from tests import EditMaker, FakeClock, FakePlatform

make_edit = EditMaker()


class BoxSettings:
    """The settings of one box, on a shared platform."""

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


def test_an_accepted_edit_is_read_by_another_box(platform):
    first, second = BoxSettings(platform), BoxSettings(platform)
    result = first.edit(make_edit("/", "rank", "3", base=0, key="a"))
    assert (result.status, result.version) == (EditStatus.ACCEPTED, 1)
    assert second.follower.poll()
    assert second.holder.tree.effective("/").rank == 3


def test_racing_edits_conflict_on_one_node_and_merge_on_two(platform):
    first, second = BoxSettings(platform), BoxSettings(platform)
    assert (
        first.edit(make_edit("hall-a", "rank", "1", base=0, key="a")).status is EditStatus.ACCEPTED
    )
    same = second.edit(make_edit("hall-a", "rank", "2", base=0, key="b"))
    assert (same.status, same.conflicts) == (EditStatus.CONFLICT, ("hall-a",))
    other = second.edit(make_edit("hall-b", "rank", "2", base=0, key="c"))
    assert (other.status, other.version) == (EditStatus.ACCEPTED, 2)
    assert second.holder.tree.effective("hall-a").rank == 1


def test_an_edit_with_a_lost_answer_is_read_back_and_made_once(platform):
    box = BoxSettings(platform)
    platform.set_faults(PlatformFaults(lose_answers=1))
    result = box.edit(make_edit("/", "rank", "3", base=0, key="a"))
    assert (result.status, result.version) == (EditStatus.ACCEPTED, 1)
    again = box.edit(make_edit("/", "rank", "3", base=0, key="a"))
    assert (again.status, again.version) == (EditStatus.ACCEPTED, 1)


def test_edits_that_were_not_sent_are_unavailable_and_unconfirmed_ones_unknown(platform):
    box = BoxSettings(platform)
    platform.set_faults(PlatformFaults(down=True))
    assert box.edit(make_edit("/", "rank", "3", base=0, key="a")).status is EditStatus.UNAVAILABLE
    platform.set_faults(PlatformFaults(lose_answers=99, stale=True))
    assert box.edit(make_edit("/", "rank", "3", base=0, key="b")).status is EditStatus.UNKNOWN
    platform.set_faults(PlatformFaults())
    result = box.edit(make_edit("/", "rank", "3", base=0, key="b"))
    assert (result.status, result.version) == (EditStatus.ACCEPTED, 1)


def test_stale_reads_do_not_lower_the_version(platform):
    box = BoxSettings(platform)
    box.edit(make_edit("/", "rank", "1", base=0, key="a"))
    platform.set_faults(PlatformFaults(stale=True))
    writer = BoxSettings(FakePlatform(platform.store))
    writer.follower.poll()
    box.edit(make_edit("/", "rank", "2", base=1, key="b"))
    box.follower.poll()
    assert box.holder.version >= 1
    assert box.holder.tree.effective("/").rank in (1, 2)


def test_an_edit_is_pending_while_boxes_have_not_confirmed_it(platform):
    box = BoxSettings(platform)
    box.missing = ("box-9",)
    result = box.edit(make_edit("/", "rank", "3", base=0, key="a"))
    assert (result.status, result.missing) == (EditStatus.PENDING, ("box-9",))


def test_an_invalid_edit_is_rejected_before_it_is_written(platform):
    box = BoxSettings(platform)
    result = box.edit(make_edit("/", "rank", "99", base=0, key="a"))
    assert result.status is EditStatus.INVALID
    assert platform.store.rows == {}


def test_a_new_box_reads_the_snapshot_instead_of_old_edits(platform):
    box = BoxSettings(platform)
    for number in range(70):
        box.edit(make_edit("/", "rank", str(number % 10), base=number, key=f"e{number}"))
    fresh = BoxSettings(platform)
    before = platform.store.reads
    fresh.follower.poll()
    assert fresh.holder.version == 70
    assert platform.store.reads - before == 2


@pytest.mark.parametrize("value", ["nonsense", '{"version": "x"}', "{}"])
@pytest.mark.parametrize("key", ["settings/head", "settings/edit/000000000002"])
def test_an_unreadable_row_raises_and_leaves_the_tree_unchanged(platform, key, value):
    box, reader = BoxSettings(platform), BoxSettings(platform)
    box.edit(make_edit("/", "rank", "1", base=0, key="a"))
    reader.follower.poll()
    box.edit(make_edit("/", "rank", "2", base=1, key="b"))
    platform.store.rows[key] = replace(platform.store.rows[key], value=value)
    with pytest.raises(PlatformUnavailableError):
        reader.follower.poll()
    assert reader.holder.version == 1
    assert (
        reader.edit(make_edit("/", "rank", "3", base=1, key="c")).status is EditStatus.UNAVAILABLE
    )


def test_an_edit_with_an_unknown_setting_raises(platform):
    box, reader = BoxSettings(platform), BoxSettings(platform)
    box.edit(make_edit("/", "rank", "1", base=0, key="a"))
    row = platform.store.rows["settings/edit/000000000001"]
    unknown_setting = replace(row, value=row.value.replace('"rank"', '"rank-of-tomorrow"'))
    platform.store.rows[row.key] = unknown_setting
    with pytest.raises(PlatformUnavailableError):
        reader.follower.poll()
