"""Draw what a day came to over its time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.errors import ConfigError

if TYPE_CHECKING:
    from pathlib import Path

    from dunlinnotch.lab.report import ScenarioResult

_SIZE_IN = (9.0, 5.0)
_DOTS_PER_INCH = 110


def plot(result: ScenarioResult, file: Path) -> None:
    """Draw requests asked and served a second, and their p99, into an image file.

    Parameters
    ----------
    result : DayResult
    file : Path
        Its ending names the format, as in ``day.png``.

    Raises
    ------
    ConfigError
        If the plotting library is not installed, or the file can't be written.
    """
    try:
        from matplotlib.figure import Figure  # noqa: PLC0415 - an optional extra
    except ImportError:
        msg = "plots need an optional library: pip install 'dunlinnotch[plot]'"
        raise ConfigError(msg) from None
    figure = Figure(figsize=_SIZE_IN, layout="constrained")
    rate, times = figure.subplots(2, 1, sharex=True)
    seconds = range(len(result.asked_by_second))
    rate.step(seconds, result.asked_by_second, where="post", label="asked")
    rate.step(seconds, result.served_by_second, where="post", label="served")
    rate.set_ylabel("requests a second")
    rate.set_title(f"{result.name}, seed {result.seed}")
    rate.legend()
    times.step(seconds, result.p99_by_second, where="post")
    times.set_ylabel("p99, ms")
    times.set_xlabel("second of the day")
    try:
        figure.savefig(file, dpi=_DOTS_PER_INCH)
    except (OSError, ValueError) as error:
        msg = f"{file}: {error}"
        raise ConfigError(msg) from None
