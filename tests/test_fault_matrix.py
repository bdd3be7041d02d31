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
