"""Helpers shared by the tests."""

from __future__ import annotations

from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from dunlinnotch.errors import PlatformUnavailableError
from dunlinnotch.standins.platform import PlatformFaults, Store
from dunlinnotch.state.boxes import BoxRow
from dunlinnotch.state.schema import RunState
from dunlinnotch.state.tree import Change, Edit

if TYPE_CHECKING:
    from dunlinnotch.protocol.platform import ListedBox, Row, Transaction, TransactResult


class FakeClock:
    """A clock moved by hand."""

    def __init__(self, now: float = 1000.0) -> None:
        self.now = now

    def __call__(self) -> float:
        return self.now

    def advance(self, seconds: float) -> None:
        self.now += seconds


class FakePlatform:
    """A platform client that calls the stand-in's store directly instead of over a socket."""

    def __init__(self, store: Store | None = None) -> None:
        self.store = store or Store()

    def set_faults(self, faults: PlatformFaults) -> None:
        self.store.set_faults(faults)

    def _raise_if_down(self) -> None:
        if self.store.faults.down:
            raise PlatformUnavailableError("platform is down")

    def read(self, key: str) -> Row | None:
        self._raise_if_down()
        return self.store.read(key)

    def scan(self, prefix: str, *, after: str, limit: int) -> list[Row]:
        self._raise_if_down()
        return self.store.scan(prefix, after, limit)

    def transact(self, transaction: Transaction) -> TransactResult:
        self._raise_if_down()
        result = self.store.transact(transaction)
        if self.store.consume_lost_answer():
            raise PlatformUnavailableError("answer lost")
        return result

    def get_object(self, name: str) -> bytes | None:
        self._raise_if_down()
        return self.store.objects.get(name)

    def put_object(self, name: str, data: bytes) -> None:
        self._raise_if_down()
        self.store.objects[name] = data

    def list_boxes(self) -> list[ListedBox]:
        self._raise_if_down()
        return list(self.store.listed_boxes)


@dataclass(frozen=True)
class EditMaker:
    """Creates edits of one setting by one author.

    Parameters
    ----------
    author : str, default "anna"
    """

    author: str = "anna"

    def __call__(self, path: str, name: str, value: str | None, *, base: int, key: str) -> Edit:
        return Edit(key, base, self.author, (Change(path, name, value),))


def box_row(name: str, **changes: object) -> BoxRow:
    """Return the row of a running box; ``changes`` replace single fields."""
    row = BoxRow(
        name=name,
        incarnation=1,
        seq=1,
        place="hall-a",
        address="127.0.0.1:7001",
        peer="127.0.0.1:7002",
        state=RunState.RUNNING,
        version=0,
        in_flight=0,
        tick=0.0,
    )
    return replace(row, **changes)
