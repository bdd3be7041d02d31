"""Settings are inherited along paths, validated, and survive export and encoding."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from dunlinnotch import _codec
from dunlinnotch.cli.settings import export_ini, import_changes
from dunlinnotch.errors import SettingsError
from dunlinnotch.state.tree import Change, Edit, SettingsTree


def build_tree(*changes: Change) -> SettingsTree:
    tree = SettingsTree()
    for number, change in enumerate(changes, 1):
        tree = tree.apply(Edit(f"e{number}", number - 1, "anna", (change,), number))
    return tree


@pytest.mark.parametrize(
    ("path", "weight"),
    [
        ("/", 8.0),
        ("hall-a", 4.0),
        ("hall-b", 8.0),
        ("hall-b/holdings", 2.0),
        ("hall-a/holdings", 1.0),
        ("hall-a/holdings/loan", 0.5),
        ("hall-b/holdings/loan", 0.5),
    ],
)
def test_deeper_nodes_and_named_places_override(path, weight):
    tree = build_tree(
        Change("/", "weight", "8"),
        Change("hall-a", "weight", "4"),
        Change("*/holdings", "weight", "2"),
        Change("hall-a/holdings", "weight", "1"),
        Change("*/holdings/loan", "weight", "0.5"),
    )
    assert tree.effective(path).weight == weight


def test_removed_value_is_inherited_again():
    tree = build_tree(Change("/", "rank", "3"), Change("hall-a", "rank", "1"))
    assert tree.source("hall-a", "rank") == "hall-a"
    tree = tree.apply(Edit("x", 2, "anna", (Change("hall-a", "rank", None),), 3))
    assert tree.effective("hall-a").rank == 3
    assert tree.source("hall-a", "rank") == "/"


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (Change("/", "wieght", "1"), "did you mean 'weight'"),
        (Change("/", "weight", "heavy"), "weight = 'heavy'"),
        (Change("/", "weight", "-1"), "ge 0"),
        (Change("a/b/c/d", "weight", "1"), "PLACE/SERVICE/KIND"),
        (Change("hall-a/holdings", "targets", "host:80"), "IP address"),
        (Change("hall-a", "state", "paused"), "running | draining | stopped"),
    ],
)
def test_bad_change_names_value_and_what_is_allowed(change, expected):
    with pytest.raises(SettingsError) as caught:
        change.check()
    assert expected in str(caught.value)


PATHS = st.sampled_from(["/", "hall-a", "*/holdings", "hall-a/holdings", "hall-b/ingest/search"])
VALUES = st.one_of(
    st.tuples(st.just("weight"), st.floats(0, 1000).map(str)),
    st.tuples(st.just("rank"), st.integers(0, 9).map(str)),
    st.tuples(st.just("targets"), st.just("10.0.0.1:80, 10.0.0.2:80")),
    st.tuples(st.just("repeatable"), st.sampled_from(["yes", "no"])),
)
CHANGES = st.lists(st.builds(lambda p, v: Change(p, v[0], v[1]), PATHS, VALUES), max_size=12)


@given(CHANGES, CHANGES)
def test_import_of_an_export_gives_the_same_tree(ours, theirs):
    wanted, other = build_tree(*ours), build_tree(*theirs)
    changes = tuple(import_changes(other, export_ini(wanted)))
    assert changes or other.nodes == wanted.nodes
    if changes:
        result = other.apply(Edit("i", other.version, "anna", changes, other.version + 1))
        assert result.nodes == wanted.nodes


@given(CHANGES)
def test_tree_survives_the_codec(changes):
    tree = build_tree(*changes)
    assert _codec.from_json(SettingsTree, _codec.to_json(tree)) == tree
    assert _codec.from_plain(SettingsTree, _codec.to_plain(tree)) == tree
