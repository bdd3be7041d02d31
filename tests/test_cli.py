"""The command-line tool against a running box, and checks of configuration files."""

import json
from types import SimpleNamespace

import pytest
from cleo.testers.application_tester import ApplicationTester

from dunlinnotch.cli import operations
from dunlinnotch.cli.__main__ import COMMANDS, application
from dunlinnotch.cli.common import Exit
from dunlinnotch.standins.platform import PlatformFaults
from dunlinnotch.state.schema import RunState

EDIT_COMMANDS = {"set", "unset", "import", "drain", "resume"}


@pytest.fixture
def tool(fleet):
    """A function that runs the tool against box-1 and returns exit status, output and errors."""
    box = fleet.boxes["box-1"].operator

    def run(command, *, at=box):
        if EDIT_COMMANDS & set(command.split()):
            command += " --wait 20"
        tester = ApplicationTester(application())
        status = tester.execute(f"{command} --box {at}")
        return status, tester.io.fetch_output(), tester.io.fetch_error()

    return run


@pytest.fixture
def tool_json(tool, capfd):
    def run(command):
        status, _, errors = tool(f"{command} --json")
        assert not errors
        return status, json.loads(capfd.readouterr().out)

    return run


def test_set_and_unset_print_old_and_new_value_and_get_returns_it(tool):
    status, out, _ = tool("settings set hall-z rank=3")
    assert status == Exit.OK
    assert "hall-z  rank: (inherited) -> 3" in out
    assert "in force on all boxes" in out
    assert tool("settings get hall-z rank")[1].strip() == "3"
    status, out, _ = tool("settings unset hall-z rank")
    assert "rank: 3 -> (inherited)" in out
    assert tool("settings get hall-z rank")[1].strip() == "5"


@pytest.mark.parametrize(
    ("command", "exit_status", "message"),
    [
        ("settings set hall-z rank=77", Exit.INVALID, "less than or equal to 9"),
        ("settings set hall-z rnak=7", Exit.INVALID, "did you mean 'rank'"),
        ("settings set hall-z rank", Exit.INVALID, "NAME=VALUE"),
        ("settings set hall-z rank=1 --base new", Exit.INVALID, "--base 'new'"),
        ("settings set a/b/c/d rank=1", Exit.INVALID, "PLACE/SERVICE/KIND"),
        ("settings set hall-a/holdings slots=7 --base 0", Exit.CONFLICT, "hall-a/holdings"),
    ],
)
def test_an_invalid_edit_is_reported(tool, command, exit_status, message):
    status, _, errors = tool(command)
    assert status == exit_status
    assert message in errors


def test_an_unreachable_box_or_store_gives_unavailable(tool, fleet):
    status, _, errors = tool("status", at="127.0.0.1:1")
    assert status == Exit.UNAVAILABLE
    assert "box-unreachable" in errors
    fleet.set_platform_faults(PlatformFaults(down=True))
    try:
        assert tool("settings set hall-z rank=3")[0] == Exit.UNAVAILABLE
    finally:
        fleet.set_platform_faults(PlatformFaults())


def test_an_edit_with_unknown_result_is_retried_by_its_id(tool, fleet):
    fleet.set_platform_faults(PlatformFaults(lose_answers=99, stale=True))
    status, _, errors = tool("settings set hall-z rank=4")
    assert status == Exit.UNKNOWN
    edit_id = errors.split("--id ")[1].split()[0]
    fleet.set_platform_faults(PlatformFaults())
    status, out, _ = tool(f"settings set hall-z rank=4 --id {edit_id}")
    assert status == Exit.OK
    assert "accepted" in out


def test_import_makes_the_tree_equal_to_an_exported_file(tool, tmp_path):
    _, exported, _ = tool("settings export")
    file = tmp_path / "tree.ini"
    file.write_text(exported)
    assert "nothing to change" in tool(f"settings import {file}")[1]
    file.write_text(exported + "\n[hall-y]\nrank = 2\n")
    assert "hall-y" in tool(f"settings import {file} --dry-run")[1]
    assert tool(f"settings import {file}")[0] == Exit.OK
    file.write_text(exported)
    assert tool(f"settings import {file}")[0] == Exit.OK
    file.write_text("no section")
    assert tool(f"settings import {file}")[0] == Exit.INVALID


def test_reading_commands_print_json(tool_json):
    assert tool_json("status")[1]["box"] == "box-1"
    assert tool_json("settings show")[1]["version"] >= 1
    assert tool_json("settings history")[1][-1]["author"]
    assert tool_json("settings get hall-a/holdings slots")[1]["name"] == "slots"
    assert {row["name"] for row in tool_json("box list")[1]} >= {"box-1", "box-2"}
    assert tool_json("explain hall-a/holdings")[1][0]["name"] == "state"


def test_explain_prints_the_source_and_the_targets(tool, fleet):
    _, out, _ = tool("explain hall-a/holdings/lookup")
    assert "*/holdings/lookup" in out
    assert fleet.targets[0].address in out


def test_a_drained_target_is_not_listed_and_can_be_resumed(tool, fleet):
    address = fleet.targets[0].address
    assert tool(f"target drain {address}")[0] == Exit.OK
    _, out, _ = tool("explain hall-a/holdings")
    assert address not in out.split("target ")[-1]
    assert tool(f"target resume {address}")[0] == Exit.OK


def test_place_stop_follows_until_the_boxes_of_the_place_are_drained(monkeypatch):
    def row(name, state, in_flight, place="hall-a"):
        return SimpleNamespace(name=name, place=place, state=state, in_flight=in_flight)

    other_place = row("far", RunState.RUNNING, 9, place="hall-b")
    polls = [
        [row("b", RunState.RUNNING, 3), row("a", RunState.DRAINING, 1), other_place],
        [row("b", RunState.DRAINING, 0), row("a", RunState.DRAINING, 1), other_place],
        [row("b", RunState.DRAINING, 0), row("a", RunState.DRAINING, 0), other_place],
    ]
    client = SimpleNamespace(status=lambda: SimpleNamespace(rows=polls.pop(0)))
    monkeypatch.setattr(operations, "_POLL_INTERVAL_S", 0.0)
    monkeypatch.setattr(operations.PlaceStop, "client", lambda self: client)
    monkeypatch.setattr(operations.PlaceStop, "edit", lambda self, changes: Exit.OK)
    tester = ApplicationTester(application())
    assert tester.execute("place stop hall-a --follow") == Exit.OK
    assert tester.io.fetch_output().splitlines() == [
        "a draining with 1 calls in flight, b running with 3 calls in flight",
        "a draining with 1 calls in flight",
        "nothing left to wait for: 2 boxes drained",
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[box]\nname = a\n", "[box] place: missing"),
        ("[boxes]\n", "Did you mean 'box'?"),
        ("[limits]\nhead_mss = 3\n", "Did you mean 'head_ms'?"),
        ("[limits]\nhead_ms = soon\n", "head_ms = 'soon'"),
        ("[box]\ncaller = example.org:80\n", "IP address"),
        ("nonsense", "no section headers"),
    ],
)
def test_check_reports_an_invalid_file(tmp_path, text, message):
    file = tmp_path / "box.ini"
    file.write_text(text)
    tester = ApplicationTester(application())
    assert tester.execute(f"check {file}") == Exit.INVALID
    assert message in tester.io.fetch_error()


def test_check_accepts_a_valid_file(fleet):
    tester = ApplicationTester(application())
    assert tester.execute(f"check {fleet.boxes['box-1'].settings}") == Exit.OK


def test_the_help_of_every_command_has_an_example():
    for command in COMMANDS:
        assert "Example:" in command.help, command.name


def test_log_level_accepts_only_known_levels(tool):
    assert tool("log-level DEBUG")[0] == Exit.OK
    assert tool("log-level INFO")[0] == Exit.OK
    status, _, errors = tool("log-level LOUD")
    assert status == Exit.INVALID
    assert "DEBUG, INFO, WARNING, ERROR" in errors
