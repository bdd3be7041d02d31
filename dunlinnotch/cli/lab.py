"""Commands that play days of experiments on stand-ins of the users' platform."""

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
from dunlinnotch.lab.scenario import Scenario, read_scenario

if TYPE_CHECKING:
    from collections.abc import Coroutine

_SOAK_MOST = 500
#: Exit status of a process that a signal ended, as shells tell it.
_TERMINATED = 128 + signal.SIGTERM


async def _until_terminated(work: Coroutine[None, None, ScenarioResult]) -> ScenarioResult:
    """Await work; the signal that ends the tool ends what the work started first."""
    task = asyncio.current_task()
    assert task is not None
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await work


class LabCommand(FileCommand):
    """A command that plays days."""

    def play(self, day: Scenario, logs: Path) -> ScenarioResult:
        """Play one day and show how far it is."""
        logs.mkdir(parents=True, exist_ok=True)
        try:
            return asyncio.run(_until_terminated(run_scenario(day, logs, progress=self.line_error)))
        except asyncio.CancelledError:
            raise SystemExit(_TERMINATED) from None

    def whole(self, name: str, default: int, *, most: int) -> int:
        """Return an option that is a whole number.

        Raises
        ------
        ConfigError
        """
        value = self.option(name)
        if value is None:
            return default
        if not str(value).isdigit() or int(value) > most:
            msg = f"--{name} {value}: allowed is a whole number from 0 to {most}"
            raise ConfigError(msg)
        return int(value)


class LabRun(LabCommand):
    """Play one day."""

    name = "lab run"
    description = "Play a day: real boxes, stand-ins of store, targets and callers, troubles"
    help = "Example: <info>dunlinnotch lab run day.toml --logs logs --save result.json</info>"
    arguments: ClassVar[list[Any]] = [
        argument("day", "TOML file of the day; left out: the day of --seed", optional=True)
    ]
    options: ClassVar[list[Any]] = [
        option("seed", None, "Draw the day by this seed", flag=False),
        option("logs", None, "Folder for the boxes' logs (default: thrown away)", flag=False),
        option("save", None, "File for the result, for lab compare", flag=False),
    ]

    def act(self) -> Exit:
        """Play the day; return FAILED if a promise was broken."""
        file = self.argument("day")
        seed = self.whole("seed", 1, most=2**63)
        day = generate_scenario(seed) if file is None else read_scenario(Path(file))
        with tempfile.TemporaryDirectory() as folder:
            result = self.play(day, Path(self.option("logs") or folder))
        self.line(format_result(result))
        if self.option("save"):
            result.save(Path(self.option("save")))
        return Exit.FAILED if result.findings else Exit.OK


class LabSoak(LabCommand):
    """Play days of fresh seeds."""

    name = "lab soak"
    description = "Play drawn days one after the other; keep the logs of those that broke a promise"
    help = "Example: <info>dunlinnotch lab soak --days 20 --keep soak</info>"
    options: ClassVar[list[Any]] = [
        option("days", None, "How many days (default: 10)", flag=False),
        option("seed", None, "First seed (default: drawn anew)", flag=False),
        option("keep", None, "Folder for logs and results (default: soak)", flag=False),
    ]

    def act(self) -> Exit:
        """Play the days; return FAILED if any broke a promise."""
        days = self.whole("days", 10, most=_SOAK_MOST)
        first = self.whole("seed", secrets.randbelow(2**31), most=2**63)
        keep = Path(self.option("keep") or "soak")
        broken = []
        for seed in range(first, first + days):
            day = generate_scenario(seed)
            kinds = ", ".join(f"{t.kind.value} at {t.at:g} s" for t in day.troubles)
            with tempfile.TemporaryDirectory() as folder:
                result = self.play(day, Path(folder))
                late = (
                    f", tool late by {result.tool_late:.1f} s"
                    if result.tool_late > MAX_SEND_DELAY_S
                    else ""
                )
                found = len(result.findings)
                self.line(f"{day.name}: {found} broken promises{late} ({kinds})")
                if result.findings:
                    broken.append(seed)
                    self._keep(result, Path(folder), keep / day.name)
        self.line(f"{days} days from seed {first}; broke a promise: {broken or 'none'}")
        return Exit.FAILED if broken else Exit.OK

    def _keep(self, result: ScenarioResult, logs: Path, where: Path) -> None:
        where.mkdir(parents=True, exist_ok=True)
        result.save(where / "result.json")
        for log in logs.glob("*.log"):
            (where / log.name).write_bytes(log.read_bytes())
        for finding in result.findings:
            self.line(f"  {finding}")
        self.line(f"  logs and result are in {where}")


class LabCompare(LabCommand):
    """Compare two results."""

    name = "lab compare"
    description = "Set two saved results side by side"
    help = "Example: <info>dunlinnotch lab compare before.json after.json</info>"
    arguments: ClassVar[list[Any]] = [
        argument("first", "Result of a day"),
        argument("second", "Result of a day"),
    ]

    def act(self) -> Exit:
        """Print the comparison."""
        first, second = (load_result(Path(self.argument(n))) for n in ("first", "second"))
        self.line(format_comparison(first, second))
        return Exit.OK


class LabPlot(LabCommand):
    """Draw a result."""

    name = "lab plot"
    description = "Draw requests a second and p99 over the time of a day"
    help = "Example: <info>dunlinnotch lab plot before.json before.png</info>"
    arguments: ClassVar[list[Any]] = [
        argument("result", "Result of a day, as saved by lab run"),
        argument("image", "File to write; its ending names the format"),
    ]

    def act(self) -> Exit:
        """Write the image."""
        plot(load_result(Path(self.argument("result"))), Path(self.argument("image")))
        return Exit.OK
