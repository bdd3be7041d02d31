"""A load balancer for servers whose load shifts in milliseconds.

The names exported here form the API for embedding.  They open no sockets and start no
threads; clock and random generator are passed in.  See ``docs/EMBEDDING.md``.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.coordination.budgets.probes import ProbeBudget
    from dunlinnotch.coordination.budgets.retries import RetryBudget
    from dunlinnotch.coordination.choosing.least_load import Choice, Chooser, place_shares
    from dunlinnotch.coordination.choosing.limits import Ticket, WaitQueue
    from dunlinnotch.coordination.choosing.pool import ServicePool
    from dunlinnotch.coordination.choosing.subset import assign_subsets
    from dunlinnotch.coordination.membership.rows import Membership
    from dunlinnotch.coordination.membership.steering import Steering
    from dunlinnotch.coordination.requests.drain import Drain
    from dunlinnotch.coordination.requests.idempotency import IdempotencyGuard
    from dunlinnotch.coordination.settings.tree import (
        SettingsEditor,
        SettingsFollower,
        SettingsHolder,
    )
    from dunlinnotch.protocol.outcome import CallResult, EditResult, EditStatus, Outcome, Reason
    from dunlinnotch.state.ledger import IdempotencyLedger
    from dunlinnotch.state.targets import TargetRecord
    from dunlinnotch.state.tree import Change, Edit, SettingsTree

__all__ = [
    "CallResult",
    "Change",
    "Choice",
    "Chooser",
    "Drain",
    "Edit",
    "EditResult",
    "EditStatus",
    "IdempotencyGuard",
    "IdempotencyLedger",
    "Membership",
    "Outcome",
    "ProbeBudget",
    "Reason",
    "RetryBudget",
    "ServicePool",
    "SettingsEditor",
    "SettingsFollower",
    "SettingsHolder",
    "SettingsTree",
    "Steering",
    "TargetRecord",
    "Ticket",
    "WaitQueue",
    "assign_subsets",
    "place_shares",
]

_MODULES = {
    "CallResult": "dunlinnotch.protocol.outcome",
    "Change": "dunlinnotch.state.tree",
    "Choice": "dunlinnotch.coordination.choosing.least_load",
    "Chooser": "dunlinnotch.coordination.choosing.least_load",
    "Drain": "dunlinnotch.coordination.requests.drain",
    "Edit": "dunlinnotch.state.tree",
    "EditResult": "dunlinnotch.protocol.outcome",
    "EditStatus": "dunlinnotch.protocol.outcome",
    "IdempotencyGuard": "dunlinnotch.coordination.requests.idempotency",
    "IdempotencyLedger": "dunlinnotch.state.ledger",
    "Membership": "dunlinnotch.coordination.membership.rows",
    "Outcome": "dunlinnotch.protocol.outcome",
    "ProbeBudget": "dunlinnotch.coordination.budgets.probes",
    "Reason": "dunlinnotch.protocol.outcome",
    "RetryBudget": "dunlinnotch.coordination.budgets.retries",
    "ServicePool": "dunlinnotch.coordination.choosing.pool",
    "SettingsEditor": "dunlinnotch.coordination.settings.tree",
    "SettingsFollower": "dunlinnotch.coordination.settings.tree",
    "SettingsHolder": "dunlinnotch.coordination.settings.tree",
    "SettingsTree": "dunlinnotch.state.tree",
    "Steering": "dunlinnotch.coordination.membership.steering",
    "TargetRecord": "dunlinnotch.state.targets",
    "Ticket": "dunlinnotch.coordination.choosing.limits",
    "WaitQueue": "dunlinnotch.coordination.choosing.limits",
    "assign_subsets": "dunlinnotch.coordination.choosing.subset",
    "place_shares": "dunlinnotch.coordination.choosing.least_load",
}


def __getattr__(name: str) -> object:
    """Import a public name on its first use, so that daemons import only what they need."""
    module = _MODULES.get(name)
    if module is None:
        msg = f"module {__name__!r} has no attribute {name!r}; it has: {', '.join(__all__)}"
        raise AttributeError(msg)
    return getattr(importlib.import_module(module), name)
