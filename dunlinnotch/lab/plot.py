"""Plot the result of a scenario over time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from dunlinnotch.errors import ConfigError

if TYPE_CHECKING:
    from pathlib import Path

    from dunlinnotch.lab.report import ScenarioResult

_SIZE_INCHES = (9.0, 5.0)
_DOTS_PER_INCH = 110


def plot(result: ScenarioResult, file: Path) -> None:
    """Plot requests sent and served per second, and their p99 latency, to an image file.

    Parameters
    ----------
    result : ScenarioResult
    file : pathlib.Path
        The suffix selects the format, such as ``result.png``.

    Raises
    ------
    ConfigError
        If matplotlib is not installed, or the file cannot be written.
    """
    try:
        from matplotlib.figure import Figure  # noqa: PLC0415 - an optional extra
    except ImportError:
        msg = "plots need matplotlib, which is not installed: pip install 'dunlinnotch[plot]'"
        raise ConfigError(msg) from None
    figure = Figure(figsize=_SIZE_INCHES, layout="constrained")
    rate_axes, latency_axes = figure.subplots(2, 1, sharex=True)
    seconds = range(len(result.asked_by_second))
    rate_axes.step(seconds, result.asked_by_second, where="post", label="sent")
    rate_axes.step(seconds, result.served_by_second, where="post", label="served")
    rate_axes.set_ylabel("requests per second")
    rate_axes.set_title(f"{result.name}, seed {result.seed}")
    rate_axes.legend()
    latency_axes.step(seconds, result.p99_by_second, where="post")
    latency_axes.set_ylabel("p99 latency, ms")
    latency_axes.set_xlabel("time, s")
    try:
        figure.savefig(file, dpi=_DOTS_PER_INCH)
    except (OSError, ValueError) as error:
        msg = f"{file}: {error}"
        raise ConfigError(msg) from None
