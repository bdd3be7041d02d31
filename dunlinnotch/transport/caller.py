"""A client library for callers: look up box addresses, cache them and send requests there."""

from __future__ import annotations

import threading
import time
import uuid
from dataclasses import dataclass
from typing import TYPE_CHECKING
from urllib.parse import urlencode

import urllib3

from dunlinnotch import _codec
from dunlinnotch.errors import BoxUnreachableError
from dunlinnotch.protocol import http
from dunlinnotch.protocol.answers import ADDRESSES_PATH, AddressAnswer, AddressEntry
from dunlinnotch.protocol.outcome import Outcome, Reason

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from urllib3 import BaseHTTPResponse

    from dunlinnotch.types import Address, Clock, Seconds

_OK = 200
#: Timeout of an address lookup, in seconds.
_LOOKUP_TIMEOUT_S = 2.0
#: Time to wait for an answer beyond the deadline of the request, in seconds.
_DEADLINE_MARGIN_S = 1.0


@dataclass(frozen=True, slots=True)
class CallerResult:
    """The result of a request as its caller sees it.

    Parameters
    ----------
    outcome : Outcome
    status : int
        HTTP status; 0 if no complete answer was received.
    data : bytes
        Body of the answer.
    reason : str
        Reason code of a refusal, or the error of a failed request.
    box, target : str
        The box that the request was sent to, and the target that answered.
    retry_after : float or None
        Seconds after which to retry, if the answer states them.
    """

    outcome: Outcome
    status: int
    data: bytes
    reason: str = ""
    box: str = ""
    target: Address = ""
    retry_after: Seconds | None = None


@dataclass(frozen=True, slots=True)
class Request:
    """One request of a caller.

    Parameters
    ----------
    service, kind : str
    method, path : str
    body : bytes or None
    headers : mapping of str to str, optional
    deadline_s : float, default 10.0
        Seconds from sending to the deadline of the request.
    at_most_once : bool, default False
        Whether the request is not idempotent and must be sent with an idempotency key.
    """

    service: str
    kind: str
    method: str = "GET"
    path: str = "/"
    body: bytes | None = None
    headers: Mapping[str, str] | None = None
    deadline_s: Seconds = 10.0
    at_most_once: bool = False


class CallerClient:
    """Send requests through the boxes.

    Parameters
    ----------
    boxes : iterable of str
        Caller addresses for the first lookup; one that can be reached is enough.
    caller : str
        A stable name of the caller.
    place : str, default ""
    clock : callable

    Notes
    -----
    Thread-safe.  A request with the outcome "not run" is sent to the next
    address.  One with an unknown outcome is not sent elsewhere, since it may
    have run; it may be sent again only to the same box, with the same
    idempotency key.
    """

    def __init__(
        self,
        boxes: Iterable[Address],
        *,
        caller: str,
        place: str = "",
        clock: Clock = time.monotonic,
    ) -> None:
        self._boxes = tuple(boxes)
        self._query = urlencode({"caller": caller, "place": place})
        self._clock = clock
        self._http = urllib3.PoolManager(retries=False, maxsize=64)
        self._lock = threading.Lock()
        self._cached_answer: AddressAnswer | None = None
        self._expires_at: Seconds = 0.0

    def addresses(self) -> AddressAnswer:
        """Return the addresses to use, from the cache or by a new lookup.

        Raises
        ------
        BoxUnreachableError
            If no known box returns addresses.
        """
        with self._lock:
            if self._cached_answer is not None and self._clock() < self._expires_at:
                return self._cached_answer
            requested_at = self._clock()
            answer = self._look_up()
            self._cached_answer = answer
            self._expires_at = requested_at + answer.keep_s
            return answer

    def invalidate_addresses(self) -> None:
        """Expire the cached addresses, so that the next request looks them up."""
        self._expires_at = 0.0

    def call(self, request: Request) -> CallerResult:
        """Send a request to each cached address in turn until its outcome is not "not run"."""
        result = CallerResult(Outcome.NOT_RUN, 0, b"", "no-address")
        for entry in self.addresses().addresses:
            key = entry.once_stem + uuid.uuid4().hex if request.at_most_once else None
            result = self.send(request, entry, key)
            if result.outcome is not Outcome.NOT_RUN:
                return result
            if result.reason == Reason.ONCE_KEY_ELSEWHERE:
                self.invalidate_addresses()
        self.invalidate_addresses()
        return result

    def send(self, request: Request, entry: AddressEntry, key: str | None) -> CallerResult:
        """Make one attempt to send a request to one box.

        Parameters
        ----------
        request : Request
        entry : AddressEntry
        key : str or None
            Idempotency key, if the request needs one.
        """
        headers = {
            **(request.headers or {}),
            http.SERVICE: request.service,
            http.KIND: request.kind,
            http.DEADLINE_MS: str(max(1, int(request.deadline_s * 1000))),
        }
        if key is not None:
            headers[http.ONCE_KEY] = key
        try:
            response = self._http.request(
                request.method,
                f"http://{entry.address}{request.path}",
                body=request.body,
                headers=headers,
                timeout=request.deadline_s + _DEADLINE_MARGIN_S,
            )
        except urllib3.exceptions.NewConnectionError as error:
            return CallerResult(Outcome.NOT_RUN, 0, b"", str(error), entry.box)
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return CallerResult(Outcome.UNKNOWN, 0, b"", str(error), entry.box)
        return _read_result(response, entry)

    def _look_up(self) -> AddressAnswer:
        failures = []
        for address in self._lookup_addresses():
            try:
                response = self._http.request(
                    "GET",
                    f"http://{address}{ADDRESSES_PATH}?{self._query}",
                    timeout=_LOOKUP_TIMEOUT_S,
                )
            except (urllib3.exceptions.HTTPError, OSError) as error:
                failures.append(f"{address}: {error}")
                continue
            if response.status == _OK:
                answer = _codec.from_json(AddressAnswer, response.data)
                if answer.addresses:
                    return answer
            failures.append(f"{address}: no addresses in the answer (status {response.status})")
        msg = f"no box returned addresses: {'; '.join(failures)}"
        raise BoxUnreachableError(msg)

    def _lookup_addresses(self) -> Sequence[Address]:
        cached = (
            []
            if self._cached_answer is None
            else [e.address for e in self._cached_answer.addresses]
        )
        return list(dict.fromkeys([*cached, *self._boxes]))


def _read_result(response: BaseHTTPResponse, entry: AddressEntry) -> CallerResult:
    outcome = response.headers.get(http.OUTCOME)
    retry_after = response.headers.get("Retry-After")
    return CallerResult(
        outcome=Outcome(outcome) if outcome in set(Outcome) else Outcome.UNKNOWN,
        status=response.status,
        data=response.data,
        reason=response.headers.get(http.REASON, ""),
        box=entry.box,
        target=response.headers.get(http.TARGET, ""),
        retry_after=float(retry_after) if retry_after else None,
    )
