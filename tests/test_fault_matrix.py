import pytest

from tests.matrix import FAULTS, PAIRS, cells, run, table
from tests.world import STEPS

CELLS = cells()


def test_every_fault_meets_every_step():
    assert len(CELLS) == (2 * len(FAULTS) + len(PAIRS)) * len(STEPS)


@pytest.mark.parametrize("cell", CELLS, ids=str)
def test_cell(cell):
    wrong, reached = run(cell)
    assert wrong == []
    assert reached


def test_table_shows_red_cells():
    assert "RED" in table({CELLS[0]: (["wrong"], True)})


def test_the_table_is_the_same_whatever_the_order_of_the_results():
    results = {cell: ([], True) for cell in CELLS}
    backwards = dict(reversed(results.items()))
    shuffled = {cell: results[cell] for cell in sorted(CELLS, key=lambda c: str(c)[::-1])}
    assert table(results) == table(backwards) == table(shuffled)
    pairs = {" and ".join(pair): pair for pair in PAIRS}
    titles = [line.split(" | ")[0].removeprefix("| ") for line in table(results).splitlines()]
    rows = [pairs[title] for title in titles if title in pairs]
    order = list(FAULTS)
    assert len(rows) == len(PAIRS)
    assert rows == sorted(rows, key=lambda pair: [order.index(name) for name in pair])
