"""No fault or pair of faults at any step of the script violates a guarantee."""

import pytest

from tests.matrix import FAULTS, PAIRS, format_table, list_cells, run_cell
from tests.world import STEPS

CELLS = list_cells()


def test_every_fault_and_pair_has_a_cell_at_every_step():
    assert len(CELLS) == (2 * len(FAULTS) + len(PAIRS)) * len(STEPS)


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_cell_has_no_violation(cell):
    violations, reached = run_cell(cell)
    assert violations == []
    assert reached


def test_cells_with_violations_are_red():
    assert "RED" in format_table({CELLS[0]: (["violation"], True)})


def test_the_table_does_not_depend_on_the_order_of_the_results():
    results = {cell: ([], True) for cell in CELLS}
    reversed_results = dict(reversed(results.items()))
    reordered_results = {cell: results[cell] for cell in sorted(CELLS, key=lambda c: str(c)[::-1])}
    assert (
        format_table(results) == format_table(reversed_results) == format_table(reordered_results)
    )
    pairs = {" and ".join(pair): pair for pair in PAIRS}
    titles = [
        line.split(" | ")[0].removeprefix("| ") for line in format_table(results).splitlines()
    ]
    pair_rows = [pairs[title] for title in titles if title in pairs]
    order = list(FAULTS)
    assert len(pair_rows) == len(PAIRS)
    assert pair_rows == sorted(pair_rows, key=lambda pair: [order.index(name) for name in pair])
