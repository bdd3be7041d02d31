"""A client of the operator ports of boxes."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar
from urllib.parse import urlencode

import urllib3

from dunlinnotch import _codec
from dunlinnotch.errors import BoxUnreachableError, RequestRefusedError
from dunlinnotch.protocol.operator import (
    EditRequest,
    EffectiveValue,
    Failure,
    Status,
    TargetSnapshot,
)
from dunlinnotch.protocol.outcome import EditResult
from dunlinnotch.state.tree import SettingsTree

if TYPE_CHECKING:
    from collections.abc import Sequence

    from dunlinnotch.types import Address, Seconds

T = TypeVar("T")

_OK = 200
#: Request timeout in seconds, in addition to the time that an edit waits at the box.
_TIMEOUT_S = 10.0


class OperatorClient:
    """Send operator requests to the first box that can be reached.

    Parameters
    ----------
    boxes : sequence of str
        Operator addresses, in the order in which they are tried.

    Notes
    -----
    Each request raises :class:`BoxUnreachableError` if no box answers, and
    :class:`RequestRefusedError` if a box refuses it.
    """

    def __init__(self, boxes: Sequence[Address]) -> None:
        self._boxes = tuple(boxes)
        self._http = urllib3.PoolManager(retries=False)

    def status(self) -> Status:
        """Return the status of the box."""
        return self._request(Status, "GET", "/status")

    def tree(self) -> SettingsTree:
        """Return the active settings tree of the box."""
        return self._request(SettingsTree, "GET", "/settings")

    def explain(self, path: str) -> list[EffectiveValue]:
        """Return each effective value at ``path`` with its source."""
        return self._request(list[EffectiveValue], "GET", f"/explain?{urlencode({'path': path})}")

    def targets(self, service: str) -> list[TargetSnapshot]:
        """Return the box's current view of each target of a service."""
        return self._request(
            list[TargetSnapshot], "GET", f"/targets?{urlencode({'service': service})}"
        )

    def set_log_level(self, level: str) -> None:
        """Set the minimum level of the messages that the box logs."""
        self._request(Failure, "POST", f"/log-level?{urlencode({'level': level})}")

    def edit(self, request: EditRequest) -> EditResult:
        """Make an edit; its id makes it safe to retry at another box."""
        body = _codec.to_json(request)
        return self._request(EditResult, "POST", "/settings/edit", body, wait=request.wait_s)

    def _request(
        self, cls: type[T], method: str, path: str, body: bytes | None = None, wait: Seconds = 0.0
    ) -> T:
        failures = []
        for box in self._boxes:
            try:
                response = self._http.request(
                    method, f"http://{box}{path}", body=body, timeout=wait + _TIMEOUT_S
                )
            except (urllib3.exceptions.HTTPError, OSError) as error:
                failures.append(f"{box}: {error}")
                continue
            if response.status != _OK:
                failure = _codec.from_json(Failure, response.data)
                msg = f"box {box}: {failure.code}: {failure.detail}"
                raise RequestRefusedError(msg)
            return _codec.from_json(cls, response.data)
        msg = f"no box answered: {'; '.join(failures) or 'no address given; use --box'}"
        raise BoxUnreachableError(msg)
