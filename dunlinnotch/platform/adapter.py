"""Build the adapter of a box on the users' platform."""

from __future__ import annotations

from dunlinnotch.daemon.entry import Adapter
from dunlinnotch.platform import documents
from dunlinnotch.platform.dialect import WorkerDialect, read_request
from dunlinnotch.platform.store import PlatformStore


def make_adapter(store_address: str) -> Adapter:
    """Return an adapter that uses the store at an address."""
    store = PlatformStore(store_address)
    return Adapter(
        source=store,
        settings_table=documents.OPERATOR_TABLE,
        settings_key=documents.OPERATOR_KEY,
        targets_table=documents.TARGETS_TABLE,
        read_settings=documents.read_document,
        read_target=documents.read_worker,
        targets=WorkerDialect(),
        read_request=read_request,
        rows=store,
        store_calls=lambda: store.calls,
        store_failures=lambda: store.failures,
    )
