"""Tests that are known to fail: they run and are reported, but don't fail the run.

``KNOWN-RED.txt`` has one line for each: test, cause, issue, command and seed, separated
by ``|``.  Lines that begin with ``#`` are comments.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    from pathlib import Path

MAX_KNOWN_RED = 3
_FIELD_COUNT = 4


def read_known_red(path: Path) -> dict[str, str]:
    """Return the cause of each listed test, by test id.

    Parameters
    ----------
    path : pathlib.Path
        A file that does not exist lists no tests.

    Raises
    ------
    pytest.UsageError
        If a line does not have four fields, or the file lists too many tests.
    """
    if not path.exists():
        return {}
    known = {}
    for line in path.read_text(encoding="utf-8").splitlines():
        if not line.strip() or line.startswith("#"):
            continue
        fields = [field.strip() for field in line.split("|")]
        if len(fields) != _FIELD_COUNT or not all(fields):
            msg = f"{path.name}: {line!r}: needed are test | cause | issue | command and seed"
            raise pytest.UsageError(msg)
        known[fields[0]] = fields[1]
    if len(known) > MAX_KNOWN_RED:
        msg = f"{path.name}: {len(known)} tests listed; allowed are {MAX_KNOWN_RED}; mend some"
        raise pytest.UsageError(msg)
    return known


def mark_known_red(items: list[pytest.Item], known: dict[str, str]) -> None:
    """Mark the listed tests as expected to fail.

    Parameters
    ----------
    items : list of pytest.Item
    known : dict
        Cause of the failure by test id.

    Raises
    ------
    pytest.UsageError
        If a listed test does not exist although its file was collected.

    Notes
    -----
    A run of one file may select single tests, so that a missing test proves nothing there.
    """
    collected = {item.nodeid for item in items}
    files = {name.partition("::")[0] for name in collected}
    for name in known:
        if name not in collected and name.partition("::")[0] in files and len(files) > 1:
            msg = f"KNOWN-RED.txt: no test {name!r}; remove its line or correct its name"
            raise pytest.UsageError(msg)
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason=known[item.nodeid], strict=False))
