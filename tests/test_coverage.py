"""docs/COVERAGE.md has a row for each guarantee, and names only what exists in the code."""

from __future__ import annotations

import re

import pytest

from dunlinnotch.lab.checker import Guarantee
from dunlinnotch.lab.generate import generate_scenario
from dunlinnotch.lab.scenario import FaultKind
from tests.mutants import MUTANTS
from tools.pages import DOCS

PACKAGE = DOCS.parent / "dunlinnotch"
#: Enough seeds for each kind of fault to be generated at least once.
_SEED_COUNT = 200


def read_rows():
    """Return the rows of the table in docs/COVERAGE.md."""
    table_rows = []
    for line in (DOCS / "COVERAGE.md").read_text(encoding="utf-8").splitlines():
        cells = [cell.strip() for cell in line.strip("|").split("|")]
        if len(cells) == 5 and cells[0] != "asked" and set(cells[0]) != {"-"}:
            table_rows.append(cells)
    return table_rows


ROWS = read_rows()


def quoted_names(cell):
    """Return the names in backticks in a cell."""
    return re.findall(r"`([^`]+)`", cell)


def test_each_guarantee_has_a_row():
    assert {name for row in ROWS for name in quoted_names(row[3])} == {
        guarantee.value for guarantee in Guarantee
    }


def test_each_row_with_a_guarantee_names_a_fault():
    assert [row[0] for row in ROWS if quoted_names(row[3]) and row[2] == "-"] == []


@pytest.mark.parametrize("row", ROWS, ids=lambda row: row[0][:40])
def test_a_row_names_existing_files_faults_and_mutants(row):
    files = [name for name in quoted_names(row[1]) if name.endswith(".py")]
    assert files
    for name in files:
        assert (PACKAGE / name).exists() or (PACKAGE.parent / name).exists(), name
    assert set(quoted_names(row[2])) <= {kind.value for kind in FaultKind}
    assert row[4] == "-" or row[4] in {mutant.name for mutant in MUTANTS}


def test_each_fault_is_generated():
    kinds = {
        fault.kind for seed in range(_SEED_COUNT) for fault in generate_scenario(seed).troubles
    }
    assert kinds == set(FaultKind)
