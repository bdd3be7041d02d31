"""Commands that run test scenarios against a simulated platform and compare the results."""

from __future__ import annotations

import asyncio
import secrets
import signal
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING, Any, ClassVar

from cleo.helpers import argument, option

from dunlinnotch.cli.common import Exit, FileCommand
from dunlinnotch.errors import ConfigError
from dunlinnotch.lab.generate import generate_scenario
from dunlinnotch.lab.plot import plot
from dunlinnotch.lab.report import (
    MAX_SEND_DELAY_S,
    ScenarioResult,
    format_comparison,
    format_result,
    load_result,
)
from dunlinnotch.lab.run import run_scenario
from dunlinnotch.lab.scenario import FaultKind, Scenario, read_scenario

if TYPE_CHECKING:
    from collections.abc import Coroutine

_MAX_SOAK_SCENARIOS = 500
WITH_FAULT = option(
    "with", None, "A fault that each generated scenario has, as box-restarts", flag=False
)
#: Exit status that a shell reports for a process ended by SIGTERM.
_SIGTERM_STATUS = 128 + signal.SIGTERM


async def _cancel_on_sigterm(work: Coroutine[None, None, ScenarioResult]) -> ScenarioResult:
    """Await ``work``; on SIGTERM cancel it, so that it stops the processes that it started."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await work


class LabCommand(FileCommand):
    """A command that runs scenarios."""

    def run_with_progress(self, scenario: Scenario, logs: Path) -> ScenarioResult:
        """Run a scenario and print its progress to standard error.

        Parameters
        ----------
        scenario : Scenario
        logs : Path
            Directory for the boxes' logs; created if missing.

        Raises
        ------
        SystemExit
            If the tool received SIGTERM.
        """
        logs.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(
                _cancel_on_sigterm(run_scenario(scenario, logs, progress=self.line_error))
            )
        except asyncio.CancelledError:
            raise SystemExit(_SIGTERM_STATUS) from None

    def int_option(self, name: str, default: int, *, max_value: int) -> int:
        """Return the value of an option that is a whole number.

        Parameters
        ----------
        name : str
        default : int
            Returned if the option is not given.
        max_value : int

        Raises
        ------
        ConfigError
            If the value is not a whole number from 0 to ``max_value``.
        """
        value = self.option(name)
        if value is None:
            return default
        if not str(value).isdigit() or int(value) > max_value:
            msg = f"--{name} {value}: allowed is a whole number from 0 to {max_value}"
            raise ConfigError(msg)
        return int(value)

    def fault_option(self, name: str) -> FaultKind | None:
        """Return the kind of fault that an option names; None if it is not given.

        Raises
        ------
        ConfigError
            If there is no such kind.
        """
        value = self.option(name)
        if value is None:
            return None
        try:
            return FaultKind(value)
        except ValueError:
            msg = f"--{name} {value}: allowed are {', '.join(FaultKind)}"
            raise ConfigError(msg) from None


class LabRun(LabCommand):
    """Run one scenario."""

    name = "lab run"
    description = (
        "Run a scenario of faults with real boxes and simulated store, targets and callers"
    )
    help = "Example: <info>dunlinnotch lab run day.toml --logs logs --save result.json</info>"
    arguments: ClassVar[list[Any]] = [
        argument("day", "TOML file of the scenario (default: generated from --seed)", optional=True)
    ]
    options: ClassVar[list[Any]] = [
        option("seed", None, "Seed from which the scenario is generated (default: 1)", flag=False),
        WITH_FAULT,
        option("logs", None, "Directory for the boxes' logs (default: not kept)", flag=False),
        option("save", None, "File for the result, for lab compare and lab plot", flag=False),
    ]

    def act(self) -> Exit:
        """Run the scenario; return FAILED if a guarantee was violated."""
        file = self.argument("day")
        seed = self.int_option("seed", 1, max_value=2**63)
        scenario = (
            generate_scenario(seed, with_fault=self.fault_option("with"))
            if file is None
            else read_scenario(Path(file))
        )
        with tempfile.TemporaryDirectory() as directory:
            result = self.run_with_progress(scenario, Path(self.option("logs") or directory))
        self.line(format_result(result))
        if self.option("save"):
            result.save(Path(self.option("save")))
        return Exit.FAILED if result.findings else Exit.OK


class LabSoak(LabCommand):
    """Run scenarios generated from successive seeds."""

    name = "lab soak"
    description = "Run generated scenarios; keep the logs of those that violated a guarantee"
    help = "Example: <info>dunlinnotch lab soak --days 20 --keep soak</info>"
    options: ClassVar[list[Any]] = [
        option("days", None, "Number of scenarios (default: 10)", flag=False),
        option("seed", None, "First seed (default: random)", flag=False),
        option("keep", None, "Directory for logs and results (default: soak)", flag=False),
        WITH_FAULT,
    ]

    def act(self) -> Exit:
        """Run the scenarios; return FAILED if any violated a guarantee."""
        count = self.int_option("days", 10, max_value=_MAX_SOAK_SCENARIOS)
        first_seed = self.int_option("seed", secrets.randbelow(2**31), max_value=2**63)
        keep = Path(self.option("keep") or "soak")
        with_fault = self.fault_option("with")
        failed_seeds = []
        for seed in range(first_seed, first_seed + count):
            scenario = generate_scenario(seed, with_fault=with_fault)
            faults = ", ".join(f"{f.kind.value} at {f.at:g} s" for f in scenario.troubles)
            with tempfile.TemporaryDirectory() as directory:
                result = self.run_with_progress(scenario, Path(directory))
                delay = (
                    f", requests sent up to {result.tool_late:.1f} s late"
                    if result.tool_late > MAX_SEND_DELAY_S
                    else ""
                )
                violations = len(result.findings)
                self.line(f"{scenario.name}: {violations} violations{delay} ({faults})")
                if result.findings:
                    failed_seeds.append(seed)
                    self._save_failure(result, Path(directory), keep / scenario.name)
        self.line(
            f"{count} scenarios from seed {first_seed}; violations at: {failed_seeds or 'none'}"
        )
        return Exit.FAILED if failed_seeds else Exit.OK

    def _save_failure(self, result: ScenarioResult, logs: Path, destination: Path) -> None:
        destination.mkdir(parents=True, exist_ok=True)
        result.save(destination / "result.json")
        for log in logs.glob("*.log"):
            (destination / log.name).write_bytes(log.read_bytes())
        for violation in result.findings:
            self.line(f"  {violation}")
        self.line(f"  logs and result are in {destination}")


class LabCompare(LabCommand):
    """Compare two saved results."""

    name = "lab compare"
    description = "Compare two saved results side by side"
    help = "Example: <info>dunlinnotch lab compare before.json after.json</info>"
    arguments: ClassVar[list[Any]] = [
        argument("first", "Result saved by lab run"),
        argument("second", "Result saved by lab run"),
    ]

    def act(self) -> Exit:
        """Print the comparison."""
        first, second = (load_result(Path(self.argument(n))) for n in ("first", "second"))
        self.line(format_comparison(first, second))
        return Exit.OK


class LabPlot(LabCommand):
    """Plot a saved result."""

    name = "lab plot"
    description = "Plot requests per second and p99 latency over the time of a scenario"
    help = "Example: <info>dunlinnotch lab plot before.json before.png</info>"
    arguments: ClassVar[list[Any]] = [
        argument("result", "Result saved by lab run"),
        argument("image", "Image file to write; its suffix selects the format"),
    ]

    def act(self) -> Exit:
        """Write the image."""
        plot(load_result(Path(self.argument("result"))), Path(self.argument("image")))
        return Exit.OK
