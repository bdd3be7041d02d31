import random

import pytest

from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.membership.steering import Steering
from dunlinnotch.coordination.settings.tree import SettingsHolder
from dunlinnotch.protocol.answers import parse_idempotency_key
from dunlinnotch.protocol.peers import LinkState, Sync
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import Change, Edit, SettingsTree
from tests import FakeClock, box_row


def answer(rows, *, tree=None, caller="branch-1", place="hall-a"):
    clock = FakeClock()
    own_row = box_row("own", state=RunState.DRAINING)
    members = Membership(own_row, holder=SettingsHolder(), clock=clock)
    members.apply(Sync("x", 1, 0, None, tuple(rows)), LinkState())
    steering = Steering(members, rng=random.Random(1))
    return steering.answer(tree or SettingsTree(), caller=caller, place=place)


def boxes(address_answer):
    return [entry.box for entry in address_answer.addresses]


ROWS = [box_row(f"box-{n}", place="hall-a" if n < 4 else "hall-b") for n in range(8)]


def test_the_callers_place_comes_first_and_the_second_address_is_in_another():
    places = [entry.place for entry in answer(ROWS).addresses]
    assert places == ["hall-a", "hall-b", "hall-a"]


def test_a_caller_keeps_its_first_box_when_another_box_is_removed():
    first = boxes(answer(ROWS))[0]
    others = [row for row in ROWS if row.name != first]
    assert boxes(answer([*others[1:], *[r for r in ROWS if r.name == first]]))[0] == first


@pytest.mark.parametrize(
    "change",
    [
        Change("box:box-0", "state", "draining"),
        Change("hall-a", "state", "stopped"),
        None,
    ],
)
def test_a_draining_box_or_one_of_a_stopped_place_is_not_offered(change):
    rows = [box_row("box-0", state=RunState.DRAINING if change is None else RunState.RUNNING)]
    tree = SettingsTree().apply(Edit("a", 0, "x", (change,), 1)) if change else None
    assert boxes(answer(rows, tree=tree)) == []


def test_overloaded_box_is_put_last():
    first = boxes(answer(ROWS))[0]
    loaded = [box_row(r.name, place=r.place, in_flight=100 * (r.name == first)) for r in ROWS]
    assert boxes(answer(loaded))[0] != first


def test_the_prefix_of_keys_names_the_box_its_incarnation_and_its_time():
    row = box_row("box-1", incarnation=77, tick=12.5)
    entry = answer([row]).addresses[0]
    key = parse_idempotency_key(entry.once_stem + "loan-1")
    assert (key.box, key.incarnation, key.issued_ms, key.suffix) == ("box-1", 77, 12500, "loan-1")


def test_answers_expire_at_different_times():
    lifetimes = {answer(ROWS, caller=f"c{n}").keep_s for n in range(5)}
    assert all(8.0 <= lifetime <= 10.0 for lifetime in lifetimes)
