"""HTTP interface for operators: status, settings, targets and log level of a box."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING
from urllib.parse import parse_qs, urlsplit

from dunlinnotch import _codec
from dunlinnotch._logs import event
from dunlinnotch.errors import DunlinnotchError, SettingsError
from dunlinnotch.protocol.operator import (
    EditRequest,
    EffectiveValue,
    Failure,
    Status,
    TargetSnapshot,
)
from dunlinnotch.state.heads import Header
from dunlinnotch.state.schema import FIELD_NAMES
from dunlinnotch.state.tree import check_path
from dunlinnotch.transport.server import HeadRefusal

if TYPE_CHECKING:
    from collections.abc import Callable

    from dunlinnotch.coordination.core import BoxCore
    from dunlinnotch.protocol.outcome import Reason
    from dunlinnotch.transport.exchange import Exchange
    from dunlinnotch.transport.peers import PeerLinks

_JSON = Header("Content-Type", "application/json")
_MAX_BODY_BYTES = 4 * 1024 * 1024

_log = logging.getLogger(__name__)


class OperatorPort:
    """Serve requests of operators.

    Parameters
    ----------
    core : BoxCore
    links : PeerLinks
    peer_bytes : callable
        Returns the number of bytes sent to peers since the start.
    """

    def __init__(self, core: BoxCore, links: PeerLinks, *, peer_bytes: Callable[[], int]) -> None:
        self._core = core
        self._links = links
        self._peer_bytes = peer_bytes
        self._routes = {
            ("GET", "/status"): self._status,
            ("GET", "/settings"): self._settings,
            ("POST", "/settings/edit"): self._edit,
            ("GET", "/explain"): self._explain,
            ("GET", "/targets"): self._targets,
            ("POST", "/log-level"): self._log_level,
        }

    def __call__(self, exchange: Exchange) -> None:
        """Serve one request."""
        url = urlsplit(exchange.path)
        route = self._routes.get((exchange.method, url.path))
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if route is None:
            allowed = ", ".join(f"{method} {path}" for method, path in self._routes)
            self._send(
                exchange,
                404,
                Failure("path-unknown", f"{exchange.method} {url.path}; allowed: {allowed}"),
            )
            return
        try:
            self._send(exchange, 200, route(query, _read(exchange)))
        except DunlinnotchError as error:
            self._send(exchange, 400, Failure(error.code, str(error)))

    def refuse_head(self, reason: Reason, detail: str) -> HeadRefusal:
        """Return the answer to an invalid request head."""
        return HeadRefusal(400, [_JSON], _codec.to_json(Failure(reason.value, detail)))

    @staticmethod
    def _send(exchange: Exchange, status: int, value: object) -> None:
        exchange.reply(status, [_JSON], _codec.to_json(value))

    def _status(self, _query: dict[str, str], _body: bytes) -> Status:
        core = self._core
        refusal = core.gate.refusal()
        return Status(
            box=core.name,
            version=core.holder.version,
            in_flight=core.gate.in_flight,
            table_age_s=core.membership.table_age(),
            refusing=None if refusal is None else refusal.detail,
            drain=core.drain.status(),
            links=tuple(self._links.peer_names()),
            peer_bytes=self._peer_bytes(),
            rows=tuple(core.membership.rows()),
        )

    def _settings(self, _query: dict[str, str], _body: bytes) -> object:
        return self._core.holder.tree

    def _edit(self, _query: dict[str, str], body: bytes) -> object:
        request = _codec.from_json(EditRequest, body)
        result = self._core.editor.edit(request.edit, timeout=request.wait_s)
        self._links.sync_now()
        return result

    def _explain(self, query: dict[str, str], _body: bytes) -> object:
        path = query.get("path", "/")
        check_path(path)
        tree = self._core.holder.tree
        effective = tree.effective(path).model_dump(mode="json")
        return tuple(
            EffectiveValue(name, _text(effective[name]), tree.source(path, name))
            for name in FIELD_NAMES
        )

    def _targets(self, query: dict[str, str], _body: bytes) -> object:
        pool = self._core.directory.pool(query.get("service", ""))
        scores = [] if pool is None else pool.scores()
        return tuple(
            TargetSnapshot(
                target.address,
                target.place,
                round(score, 3),
                target.own_in_flight,
                round(target.others_in_flight, 2),
                round(target.report_shortfall, 3),
                target.leaving,
                target.ejected,
            )
            for target, score in scores
        )

    def _log_level(self, query: dict[str, str], _body: bytes) -> object:
        level = query.get("level", "").upper()
        if level not in ("DEBUG", "INFO", "WARNING", "ERROR"):
            msg = f"level {level!r}; allowed: DEBUG, INFO, WARNING, ERROR"
            raise SettingsError(msg)
        logging.getLogger().setLevel(level)
        event(_log, "log-level", level=logging.WARNING, new=level)
        return Failure("ok", level)


def _text(value: object) -> str:
    return ", ".join(map(str, value)) if isinstance(value, list) else str(value)


def _read(exchange: Exchange) -> bytes:
    """Return the body of a request, truncated after the part that exceeds the limit."""
    data = bytearray()
    for part in exchange.body():
        data += part
        if len(data) > _MAX_BODY_BYTES:
            break
    return bytes(data)
