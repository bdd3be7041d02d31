"""The list of tests that are known to fail is validated and limited in length."""

import pytest

from tests.known_red import read_known_red


def parse_known_red(tmp_path, text):
    path = tmp_path / "KNOWN-RED.txt"
    path.write_text(text, encoding="utf-8")
    return read_known_red(path)


def test_a_line_names_test_cause_issue_and_command(tmp_path):
    text = "# failing\n\ntests/test_a.py::test_b | a cause | 7 | pytest tests/test_a.py, seed 1\n"
    assert parse_known_red(tmp_path, text) == {"tests/test_a.py::test_b": "a cause"}


def test_a_missing_file_lists_no_tests(tmp_path):
    assert read_known_red(tmp_path / "none") == {}


@pytest.mark.parametrize("line", ["tests/a.py::b | cause | 7", "a | | 7 | c", "a | b | c | d | e"])
def test_a_line_without_four_fields_is_refused(tmp_path, line):
    with pytest.raises(pytest.UsageError, match="needed are test"):
        parse_known_red(tmp_path, line)


def test_more_than_three_tests_are_refused(tmp_path):
    with pytest.raises(pytest.UsageError, match="allowed are 3"):
        parse_known_red(tmp_path, "".join(f"t{n} | cause | 7 | command\n" for n in range(4)))
