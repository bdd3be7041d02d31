"""Reload the settings file when it changes or on SIGHUP."""

from __future__ import annotations

import asyncio
import logging
import signal
from typing import TYPE_CHECKING

from dunlinnotch._logs import event
from dunlinnotch.errors import ConfigError
from dunlinnotch.platform.settings_file import entry_settings, read_file

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

    from dunlinnotch.daemon.entry import EntrySettings

#: Interval at which the file is checked for changes, in seconds.
_POLL_INTERVAL_S = 1.0

_log = logging.getLogger(__name__)


class SettingsWatch:
    """Watch a settings file and report changed settings.

    Parameters
    ----------
    path : Path
    on_change : callable
        Called with the new settings after each change of the file.
    poll_interval_s : float, default 1.0
        Seconds between two checks of the file.
    """

    def __init__(
        self,
        path: Path,
        on_change: Callable[[EntrySettings], None],
        *,
        poll_interval_s: float = _POLL_INTERVAL_S,
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._poll_interval_s = poll_interval_s
        self._reload_requested = asyncio.Event()
        self._content = self._read()

    async def run(self) -> None:
        """Check the file at intervals, and at once on SIGHUP."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        while True:
            try:
                async with asyncio.timeout(self._poll_interval_s):
                    await self._reload_requested.wait()
            except TimeoutError:
                pass
            self._reload_requested.clear()
            self._check()

    def _check(self) -> None:
        content = self._read()
        if not content or content == self._content:
            return
        self._content = content
        try:
            settings = entry_settings(read_file(self._path))
        except ConfigError as error:
            event(
                _log,
                "reload-refused",
                level=logging.ERROR,
                code=error.code,
                detail=str(error),
            )
            return
        self._on_change(settings)

    def _read(self) -> bytes:
        """Return the content of the file, or nothing if it can't be read."""
        try:
            return self._path.read_bytes()
        except OSError:
            return b""
