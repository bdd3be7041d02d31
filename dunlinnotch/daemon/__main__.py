"""Start the daemon: ``dunlinnotchd --settings box.ini``."""

from __future__ import annotations

import argparse
import gc
import sys
from pathlib import Path

from dunlinnotch import _logs
from dunlinnotch._signals import EndSignals
from dunlinnotch.config import read_config
from dunlinnotch.daemon.box import Box
from dunlinnotch.errors import ConfigError

#: Exit status if the INI file is invalid or can't be read.
EXIT_CONFIG = 2


def main() -> int:
    """Run the daemon; return its exit status."""
    parser = argparse.ArgumentParser(prog="dunlinnotchd", description="Run one box.")
    parser.add_argument("--settings", required=True, type=Path, help="INI file of this box")
    arguments = parser.parse_args()
    try:
        config = read_config(arguments.settings)
    except ConfigError as error:
        print(error, file=sys.stderr)  # noqa: T201
        return EXIT_CONFIG
    _logs.configure(level=config.logs.level, decisions_per_s=config.logs.decisions_per_s)
    box = Box(config)
    EndSignals().each(box.stop)
    gc.collect()
    gc.freeze()
    box.run()
    return 0


if __name__ == "__main__":
    sys.exit(main())
