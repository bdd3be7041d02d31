"""Days of experiments: checked files, drawn days, links, reports, and one day played."""

from __future__ import annotations

import asyncio
import signal
import subprocess
import sys
import time
from dataclasses import replace
from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from dunlinnotch.cli.__main__ import application
from dunlinnotch.cli.common import Exit
from dunlinnotch.errors import ConfigError
from dunlinnotch.lab.checker import TIMED_GUARANTEES
from dunlinnotch.lab.generate import generate_scenario
from dunlinnotch.lab.link import FaultyLink, LinkState
from dunlinnotch.lab.plot import plot
from dunlinnotch.lab.report import (
    KindResult,
    ScenarioResult,
    format_comparison,
    format_result,
    load_result,
)
from dunlinnotch.lab.run import run_scenario
from dunlinnotch.lab.scenario import (
    Bounds,
    FaultKind,
    FaultPlan,
    KindPlan,
    Scenario,
    ServicePlan,
    read_scenario,
)

DAYS = Path(__file__).parent / "days"

GOOD = """
name = "calm"
length_s = 2
boxes = 2

[[services]]
name = "records"
targets = 2

[[kinds]]
name = "lookup"
service = "records"
repeatable = true
per_s = 20
"""


def test_a_day_is_read_from_its_file(tmp_path):
    file = tmp_path / "day.toml"
    file.write_text(GOOD, encoding="utf-8")
    day = read_scenario(file)
    assert (day.name, day.boxes, day.kinds[0].service) == ("calm", 2, "records")


@pytest.mark.parametrize(
    ("change", "said"),
    [
        (("boxes = 2", "boxes = 31"), "boxes = 31: Input should be less than or equal to 30"),
        (
            ('service = "records"', 'service = "record"'),
            "unknown service 'record'; defined are records",
        ),
        (("per_s = 20", "per_s = 0"), "kinds.0.per_s = 0"),
        (("per_s = 20", "per_second = 20"), "kinds.0.per_s: missing"),
        (("length_s = 2", "length = 2"), "length = 2"),
        (("boxes = 2", "boxes = "), "Invalid value"),
        (
            ("length_s = 2", 'length_s = 2\ntroubles = [{ kind = "burst", at = 3 }]'),
            "must start before length_s = 2; starting later: burst",
        ),
        (
            ("length_s = 2", 'troubles = [{ kind = "flood", at = 1 }]'),
            "troubles.0.kind = 'flood'",
        ),
    ],
)
def test_a_day_that_can_t_be_played_says_why(tmp_path, change, said):
    file = tmp_path / "day.toml"
    file.write_text(GOOD.replace(*change), encoding="utf-8")
    with pytest.raises(ConfigError) as raised:
        read_scenario(file)
    assert said in str(raised.value)


def test_the_same_seed_draws_the_same_day_and_all_troubles_come_up():
    assert generate_scenario(7) == generate_scenario(7)
    assert generate_scenario(7) != generate_scenario(8)
    drawn = {trouble.kind for seed in range(60) for trouble in generate_scenario(seed).troubles}
    assert drawn == set(FaultKind)


def echo_through(test):
    """Run a test with a link to a server that sends back what it gets."""

    async def serve(reader, writer):
        while data := await reader.read(100):
            writer.write(data)
        writer.close()

    async def bounded():
        async with asyncio.timeout(20):
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            link = FaultyLink(f"127.0.0.1:{port}")
            host, _, own = (await link.start()).rpartition(":")
            try:
                await test(link, lambda: asyncio.open_connection(host, int(own)))
            finally:
                await link.close()
                server.close()

    asyncio.run(bounded())


def test_a_link_passes_bytes_to_their_end():
    async def test(_link, connect):
        reader, writer = await connect()
        writer.write(b"x" * 200_000)
        writer.write_eof()
        assert len(await reader.read(-1)) == 200_000

    echo_through(test)


def test_a_silent_link_keeps_bytes_back_and_a_reset_one_breaks():
    async def test(link, connect):
        reader, writer = await connect()
        writer.write(b"a")
        assert await reader.readexactly(1) == b"a"
        link.set_state(LinkState.SILENT)
        writer.write(b"b")
        waiting = asyncio.ensure_future(reader.readexactly(1))
        _, late_writer = await connect()
        done, _ = await asyncio.wait([waiting], timeout=0.05)
        assert not done
        link.set_state(LinkState.PASS)
        assert await waiting == b"b"
        link.set_state(LinkState.RESET)
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            await reader.readexactly(1)
        again, _ = await connect()
        with pytest.raises((OSError, asyncio.IncompleteReadError)):
            await again.readexactly(1)
        late_writer.close()

    echo_through(test)


def result(**changes):
    kind = KindResult("lookup", asked=10, in_time=8, late=1, failed=1, p50=5.0, p99=20.0)
    plain = ScenarioResult(
        "one", 1, [kind], ["drain: t1: late"], 100, 20, 12, 0.0, [9], [10], [20.0]
    )
    return replace(plain, **changes)


def test_results_are_shown_saved_and_compared(tmp_path):
    file = tmp_path / "one.json"
    result().save(file)
    assert load_result(file) == result()
    assert "violations: 1\n  drain: t1: late" in format_result(result())
    assert "the tool sent" not in format_result(result(tool_late=0.1))
    assert "the tool sent requests up to 2.0 s late" in format_result(result(tool_late=2.0))
    better = KindResult("lookup", asked=10, in_time=10, p50=4.0, p99=10.0)
    text = format_comparison(result(), result(name="two", kinds=[better], findings=[], probes=50))
    assert "0.80" in text
    assert "+0.20" in text
    assert "-50" in text


def test_a_plot_without_its_library_says_what_to_install(tmp_path, monkeypatch):
    monkeypatch.setitem(sys.modules, "matplotlib.figure", None)
    with pytest.raises(ConfigError, match=r"dunlinnotch\[plot\]"):
        plot(result(), tmp_path / "one.png")


def test_a_file_that_is_no_result_is_refused(tmp_path):
    file = tmp_path / "one.json"
    file.write_text("{}", encoding="utf-8")
    with pytest.raises(ConfigError, match="not a result saved by lab run"):
        load_result(file)


@pytest.mark.parametrize(
    ("command", "words", "said"),
    [
        ("lab run", "none.toml", "none.toml"),
        ("lab run", "--seed x", "--seed x: allowed is a whole number"),
        ("lab soak", "--days 501", "--days 501: allowed is a whole number from 0 to 500"),
        ("lab compare", "a.json b.json", "a.json: not a result saved by lab run"),
    ],
)
def test_bad_input_to_the_tool_is_an_exit_status(command, words, said):
    tester = CommandTester(application().find(command))
    assert tester.execute(words) == Exit.INVALID
    assert said in tester.io.fetch_error()


def broken(seen):
    """Return the findings that no busy machine can cause."""
    timed = tuple(f"{promise.value}: " for promise in TIMED_GUARANTEES)
    return [finding for finding in seen.findings if not finding.startswith(timed)]


def day(*troubles, **changes):
    plan = Scenario(
        length_s=3.0,
        boxes=2,
        places=("hall-a",),
        services=(ServicePlan(name="records", targets=3), ServicePlan(name="uploads", targets=2)),
        kinds=(
            KindPlan(name="lookup", service="records", also="uploads", repeatable=True, per_s=20),
            KindPlan(name="payment", service="records", repeatable=False, per_s=10),
        ),
        troubles=troubles,
    )
    return plan.model_copy(update=changes)


def test_a_day_with_a_kill_and_a_move_keeps_the_promises(tmp_path):
    """Real boxes, callers and targets; no figure of time is checked here."""
    plan = day(
        FaultPlan(kind=FaultKind.BOX_KILL, at=0.5, for_s=0.2, share=0.5),
        FaultPlan(kind=FaultKind.SETTINGS_MOVE, at=0.2, for_s=1.0),
        FaultPlan(kind=FaultKind.ANSWER_LOST, at=0.0, for_s=2.0, x=0.2, share=0.5),
    )
    told = []
    seen = asyncio.run(run_scenario(plan, tmp_path, progress=told.append))
    assert broken(seen) == []
    asked = sum(kind.asked for kind in seen.kinds)
    served = sum(kind.in_time + kind.late for kind in seen.kinds)
    assert asked > 30
    assert served > asked / 2
    assert seen.attempts >= asked
    assert told
    assert (tmp_path / "box-1.log").stat().st_size > 0


def test_a_target_that_crashes_amid_a_release_ends_once(tmp_path):
    plan = day(
        FaultPlan(kind=FaultKind.RELEASE, at=0.1, share=1.0),
        FaultPlan(kind=FaultKind.TARGET_CRASH, at=0.2, for_s=0.0, share=1.0),
        bounds=Bounds(drain=0.2),
    )
    assert broken(asyncio.run(run_scenario(plan, tmp_path))) == []


@pytest.mark.parametrize("file", sorted(DAYS.glob("*.toml")), ids=lambda file: file.stem)
def test_a_day_that_once_broke_a_promise_keeps_it(file, tmp_path):
    assert broken(asyncio.run(run_scenario(read_scenario(file), tmp_path))) == []


def processes_with(text):
    """Return the ids of processes whose environment or command line holds a text."""
    found = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            told = (process / "environ").read_bytes() + (process / "cmdline").read_bytes()
        except OSError:
            continue
        if text.encode() in told:
            found.append(int(process.name))
    return found


def wait_for(condition, *, within=60.0):
    """Wait until a condition holds."""
    until = time.monotonic() + within
    while not condition():
        assert time.monotonic() < until
        time.sleep(0.02)


def test_a_day_that_a_signal_ends_leaves_no_box_running(tmp_path):
    file = tmp_path / "day.toml"
    file.write_text(GOOD.replace("length_s = 2", "length_s = 100"), encoding="utf-8")
    logs = tmp_path / "logs"
    command = [sys.executable, "-m", "dunlinnotch.cli", "lab", "run", str(file)]
    tool = subprocess.Popen([*command, "--logs", str(logs)], stderr=subprocess.DEVNULL)
    settings = str(logs / "box-1.conf")
    wait_for(lambda: processes_with(settings))
    tool.send_signal(signal.SIGTERM)
    assert tool.wait(timeout=60) == 128 + signal.SIGTERM
    assert processes_with(str(logs / "box-")) == []


def test_a_benchmark_that_a_signal_ends_leaves_nothing_running():
    script = (
        "import tempfile, time; from pathlib import Path; from demo.fleet import Fleet\n"
        "with tempfile.TemporaryDirectory() as folder, Fleet(Path(folder)) as fleet:\n"
        "    fleet.start_platform()\n"
        "    print(fleet.platform_faults, flush=True)\n"
        "    time.sleep(100)\n"
    )
    tool = subprocess.Popen([sys.executable, "-c", script], stdout=subprocess.PIPE, text=True)
    faults = tool.stdout.readline().strip()
    assert processes_with(faults)
    tool.send_signal(signal.SIGTERM)
    assert tool.wait(timeout=60) == 128 + signal.SIGTERM
    tool.stdout.close()
    assert processes_with(faults) == []
