"""A load balancer for servers whose load shifts in milliseconds.

The names below are the coordination parts that others can embed.  They open
no sockets and start no threads; clock and random generator are passed in.
See ``docs/EMBEDDING.md``.
"""

from __future__ import annotations

import importlib
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from dunlinnotch.coordination.choice import Choice, Chooser, place_shares
    from dunlinnotch.coordination.drain import Drain
    from dunlinnotch.coordination.limits import Ticket, WaitQueue
    from dunlinnotch.coordination.membership import Membership
    from dunlinnotch.coordination.once import OnceGuard
    from dunlinnotch.coordination.pool import ServicePool
    from dunlinnotch.coordination.probes import ProbeBudget
    from dunlinnotch.coordination.retries import RetryBudget
    from dunlinnotch.coordination.settings import SettingsEditor, SettingsFollower, SettingsHolder
    from dunlinnotch.coordination.steering import Steering
    from dunlinnotch.coordination.subset import assign_subsets
    from dunlinnotch.protocol.outcome import CallResult, EditResult, EditStatus, Outcome, Reason
    from dunlinnotch.state.ledger import OnceLedger
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
    "Membership",
    "OnceGuard",
    "OnceLedger",
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
    "Choice": "dunlinnotch.coordination.choice",
    "Chooser": "dunlinnotch.coordination.choice",
    "Drain": "dunlinnotch.coordination.drain",
    "Edit": "dunlinnotch.state.tree",
    "EditResult": "dunlinnotch.protocol.outcome",
    "EditStatus": "dunlinnotch.protocol.outcome",
    "Membership": "dunlinnotch.coordination.membership",
    "OnceGuard": "dunlinnotch.coordination.once",
    "OnceLedger": "dunlinnotch.state.ledger",
    "Outcome": "dunlinnotch.protocol.outcome",
    "ProbeBudget": "dunlinnotch.coordination.probes",
    "Reason": "dunlinnotch.protocol.outcome",
    "RetryBudget": "dunlinnotch.coordination.retries",
    "ServicePool": "dunlinnotch.coordination.pool",
    "SettingsEditor": "dunlinnotch.coordination.settings",
    "SettingsFollower": "dunlinnotch.coordination.settings",
    "SettingsHolder": "dunlinnotch.coordination.settings",
    "SettingsTree": "dunlinnotch.state.tree",
    "Steering": "dunlinnotch.coordination.steering",
    "TargetRecord": "dunlinnotch.state.targets",
    "Ticket": "dunlinnotch.coordination.limits",
    "WaitQueue": "dunlinnotch.coordination.limits",
    "assign_subsets": "dunlinnotch.coordination.subset",
    "place_shares": "dunlinnotch.coordination.choice",
}


def __getattr__(name: str) -> object:
    """Import a public name when it is first used, so that daemons import only what they run."""
    module = _MODULES.get(name)
    if module is None:
        msg = f"module {__name__!r} has no attribute {name!r}; it has: {', '.join(__all__)}"
        raise AttributeError(msg)
    return getattr(importlib.import_module(module), name)
