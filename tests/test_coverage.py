"""The page of what is judged names what the code has, and leaves no promise out."""

from __future__ import annotations

import re

import pytest

from dunlinnotch.lab.checker import Guarantee
from dunlinnotch.lab.generate import generate_scenario
from dunlinnotch.lab.scenario import FaultKind
from tests.mutants import MUTANTS
from tools.pages import DOCS

PACKAGE = DOCS.parent / "dunlinnotch"
#: Seeds after which each kind of trouble has been drawn at least once.
_SEEDS = 200


def rows():
    """Return the rows of the page's table."""
    found = []
    for line in (DOCS / "COVERAGE.md").read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 5 and cells[0] != "asked" and set(cells[0]) != {"-"}:
            found.append(cells)
    return found


ROWS = rows()


def named(cell):
    """Return the names that a cell has between backticks."""
    return re.findall(r"`([^`]+)`", cell)


def test_each_promise_of_the_referee_has_a_row():
    assert {name for row in ROWS for name in named(row[3])} == {p.value for p in Guarantee}


def test_each_row_that_is_judged_is_played():
    assert [row[0] for row in ROWS if named(row[3]) and row[2] == "-"] == []


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0][:40])
def test_a_row_names_files_troubles_and_mutants_that_are_there(row):
    files = [name for name in named(row[1]) if name.endswith(".py")]
    assert files
    for name in files:
        assert (PACKAGE / name).exists() or (PACKAGE.parent / name).exists(), name
    assert set(named(row[2])) <= {kind.value for kind in FaultKind}
    assert row[4] == "-" or row[4] in {mutant.name for mutant in MUTANTS}


def test_each_trouble_is_drawn():
    drawn = {trouble.kind for seed in range(_SEEDS) for trouble in generate_scenario(seed).troubles}
    assert drawn == set(FaultKind)
