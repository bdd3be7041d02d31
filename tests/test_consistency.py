"""Contradictions between settings that are each valid are reported before use."""

from __future__ import annotations

import pytest
from cleo.testers.command_tester import CommandTester

from dunlinnotch.cli.__main__ import application
from dunlinnotch.cli.common import Exit
from dunlinnotch.cli.settings import read_tree
from dunlinnotch.config import contradictions as config_contradictions
from dunlinnotch.config import read_config
from dunlinnotch.state.consistency import contradictions

TREE = """
[/]
keep_s = 10
[hall-a/holdings]
targets = 10.1.0.5:8080
connections = 250
boxes_max = 18
[hall-a/holdings/lookup]
repeatable = yes
attempts = 2
"""

BOX = """
[box]
name = box-1
place = hall-a
caller = 10.0.0.1:7001
peer = 10.0.0.1:7002
operator = 10.0.0.1:7003
[platform]
address = 10.9.0.1:80
{platform}
[peers]
{peers}
"""


def tree(tmp_path, text=TREE):
    file = tmp_path / "tree.ini"
    file.write_text(text, encoding="utf-8")
    return file


def box(tmp_path, *, platform="", peers=""):
    file = tmp_path / "box.ini"
    file.write_text(BOX.format(platform=platform, peers=peers), encoding="utf-8")
    return file


def check(arguments):
    tester = CommandTester(application().find("check"))
    return tester.execute(arguments), tester.io.fetch_output(), tester.io.fetch_error()


def test_consistent_settings_are_accepted(tmp_path):
    assert contradictions(read_tree(tree(tmp_path))) == []
    assert config_contradictions(read_config(box(tmp_path))) == []
    status, out, error = check(f"{box(tmp_path)} --tree {tree(tmp_path)}")
    assert (status, error) == (Exit.OK, "")
    assert "box box-1 in hall-a: settings are usable" in out


@pytest.mark.parametrize(
    ("change", "expected"),
    [
        (
            ("connections = 250", "connections = 10"),
            "hall-a/holdings: connections = 10 but boxes_max = 18",
        ),
        (
            ("boxes_max = 18", "boxes_max = 240"),
            "a box may probe a target once in 120 s; allow 8.0 probes per second or more, or none",
        ),
        (("boxes_max = 18", "boxes_max = 18\nprobe_cost_ms = 200"), "once in 60 s"),
        (
            ("attempts = 2", "queue_ms = 500\ndeadline_ms = 400"),
            "hall-a/holdings/lookup: queue_ms = 500 but deadline_ms = 400",
        ),
        (("attempts = 2", "attempts = 2\nretry_share = 0"), "attempts = 2 but retry_share = 0"),
        (("keep_s = 10", "keep_s = 700"), "/: keep_s = 700 but once_window_s = 600"),
    ],
)
def test_a_contradiction_in_a_tree_is_reported(tmp_path, change, expected):
    file = tree(tmp_path, TREE.replace(*change))
    (message,) = contradictions(read_tree(file))
    assert expected in message
    status, _, error = check(f"--tree {file}")
    assert status == Exit.INVALID
    assert "contradiction: " in error


@pytest.mark.parametrize(
    ("sections", "expected"),
    [
        ({"peers": "heartbeat_ms = 3000"}, "heartbeat_ms = 3000 but row_ms = 2000"),
        ({"peers": "suspect_ms = 3000"}, "4000 or more"),
        ({"peers": "forget_ms = 6000"}, "forget_ms = 6000 but suspect_ms = 6000"),
        ({"platform": "timeout_ms = 2000\nlease_s = 6"}, "below 2000 ms"),
    ],
)
def test_a_contradiction_in_a_box_file_is_reported(tmp_path, sections, expected):
    file = box(tmp_path, **sections)
    (message,) = config_contradictions(read_config(file))
    assert expected in message
    status, _, error = check(str(file))
    assert status == Exit.INVALID
    assert expected.split()[0] in error


@pytest.mark.parametrize(
    ("arguments", "expected"),
    [
        ("", "nothing to check"),
        ("none.ini", "config-invalid"),
        ("--tree none.ini", "settings-invalid"),
    ],
)
def test_files_that_can_not_be_checked_are_reported(arguments, expected):
    status, _, error = check(arguments)
    assert status == Exit.INVALID
    assert expected in error


def test_a_tree_with_an_unknown_setting_is_refused(tmp_path):
    file = tree(tmp_path, TREE.replace("connections", "conections"))
    status, _, error = check(f"--tree {file}")
    assert status == Exit.INVALID
    assert "did you mean 'connections'" in error
