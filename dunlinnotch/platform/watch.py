"""Read the settings file again when it changes, or on SIGHUP."""

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

#: Time between two looks at the file, in seconds.
_LOOK_S = 1.0

_log = logging.getLogger(__name__)


class SettingsWatch:
    """Watch a settings file.

    Parameters
    ----------
    path : Path
    on_change : callable
        Called with the settings each time they differ from before.
    look_s : float, default 1.0
    """

    def __init__(
        self,
        path: Path,
        on_change: Callable[[EntrySettings], None],
        *,
        look_s: float = _LOOK_S,
    ) -> None:
        self._path = path
        self._on_change = on_change
        self._look_s = look_s
        self._asked = asyncio.Event()
        self._text = self._read()

    async def run(self) -> None:
        """Look at the file now and then, and at once on SIGHUP."""
        asyncio.get_running_loop().add_signal_handler(signal.SIGHUP, self._asked.set)
        while True:
            try:
                async with asyncio.timeout(self._look_s):
                    await self._asked.wait()
            except TimeoutError:
                pass
            self._asked.clear()
            self._look()

    def _look(self) -> None:
        text = self._read()
        if not text or text == self._text:
            return
        self._text = text
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
        try:
            return self._path.read_bytes()
        except OSError:
            return b""
