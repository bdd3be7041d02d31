"""Entry point of the command-line tool ``dunlinnotch``."""

from __future__ import annotations

import sys

from cleo.application import Application

from dunlinnotch.cli import lab, operations, settings, trace

COMMANDS = (
    settings.SettingsShow,
    settings.SettingsGet,
    settings.SettingsSet,
    settings.SettingsUnset,
    settings.SettingsExport,
    settings.SettingsImport,
    settings.SettingsHistory,
    settings.Explain,
    operations.BoxList,
    operations.BoxDrain,
    operations.BoxResume,
    operations.PlaceStop,
    operations.PlaceStart,
    operations.TargetDrain,
    operations.TargetResume,
    operations.ShowStatus,
    operations.LogLevel,
    operations.CheckFile,
    lab.LabRun,
    lab.LabSoak,
    lab.LabCompare,
    lab.LabPlot,
    trace.TraceRequest,
    trace.TraceBox,
    trace.TraceSummary,
)


def application() -> Application:
    """Return the application with all commands."""
    app = Application("dunlinnotch", "0.1.0")
    for command in COMMANDS:
        app.add(command())
    return app


def main() -> int:
    """Run the tool; return its exit status."""
    return int(application().run())


if __name__ == "__main__":
    sys.exit(main())
