"""A load balancer for servers whose load shifts in milliseconds.

The names below are the coordination parts that others can embed.  They open
no sockets and start no threads; clock and random generator are passed in.
See ``docs/EMBEDDING.md``.
"""

from __future__ import annotations

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
