"""Break each mechanism in turn and show that its proof goes red.

``python -m tests.mutants`` (``make mutants``) exits 0 only if no break goes
unseen; words given after it choose the mutants whose names hold one of them.
"""

from __future__ import annotations

import contextlib
import io
import logging
import sys
from dataclasses import dataclass, replace
from unittest import mock

import pytest

from dunlinnotch.coordination.budgets import probe_leases, probes
from dunlinnotch.coordination.budgets.shares import ProbeShare, RetryShare
from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.coordination.choosing.saturation import Saturation
from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.coordination.membership.crash_gossip import CrashGossip
from dunlinnotch.coordination.membership.mesh import STALE_S, Mesh
from dunlinnotch.coordination.membership.pause_detector import PauseDetector
from dunlinnotch.coordination.membership.peer_selector import PeerSelector
from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.requests import idempotency
from dunlinnotch.coordination.requests.crash_guard import CrashGuard
from dunlinnotch.coordination.requests.drain import Drain
from dunlinnotch.coordination.requests.forward import Forwarder
from dunlinnotch.coordination.requests.router import Router
from dunlinnotch.coordination.settings import tree as settings
from dunlinnotch.coordination.settings.following import TableFollower
from dunlinnotch.coordination.settings.gate import WorkGate
from dunlinnotch.coordination.settings.store_tables import ActiveRoutes, TargetListing
from dunlinnotch.daemon.entry import EntryBox
from dunlinnotch.platform.dialect import WorkerDialect
from dunlinnotch.protocol.answers import IdempotencyKey, parse_idempotency_key
from dunlinnotch.protocol.attempt import Broken
from dunlinnotch.protocol.mesh import Heartbeat
from dunlinnotch.protocol.outcome import Outcome
from dunlinnotch.protocol.relay import Verdict
from dunlinnotch.state.crashes import CrashRecord
from dunlinnotch.state.instances import InstanceList, ListedTarget
from dunlinnotch.state.ledger import Claim, ClaimStatus, IdempotencyLedger, KeyEntry
from dunlinnotch.state.table_replica import TableReplica
from dunlinnotch.state.targets import TargetRecord
from dunlinnotch.state.tree import SettingsTree
from dunlinnotch.transport.targets import ConnectionPools
from tests.matrix import list_cells, run_cell


@dataclass(frozen=True)
class Mutant:
    """One mechanism broken.

    Parameters
    ----------
    name : str
    owner : object
    attribute : str
    broken : object
    tests : str, optional
        A test file that should see it; the fault matrix if left out.
    """

    name: str
    owner: object
    attribute: str
    broken: object
    tests: str = ""


def _retry_anything(self, run, ended, settings):
    return not ended.begun and ended.outcome is not Outcome.ANSWERED and len(run.tried) < 3


_failure_result = Router._failure_result


def _say_not_run(self, result, grant, pool):
    ended = _failure_result(self, result, grant, pool)
    return replace(ended, outcome=Outcome.NOT_RUN) if isinstance(result, Broken) else ended


def _discard_keeps(self, target, conn):
    self.release(target, conn)


def _always_usable(self, idle):
    return True


_poll = settings.SettingsFollower.poll


def _follow_blindly(self):
    row = self._platform.read(settings.HEAD_KEY)
    version = settings._head_version(row)
    if version < self._holder.version:
        tree = self._holder.tree
        self._holder.tree = SettingsTree(version, tree.nodes, tree.changed, tree.edits[:version])
        self._holder._on_change(self._holder.tree)
    return _poll(self)


def _drain_at_once(self, *, max_answer_lifetime):
    _start(self, max_answer_lifetime=0.0)


_start = Drain.start


def _never_leaving(self, incarnation, *, leaving):
    self.leaving = False


def _held_for_ever(self, lease_count):
    return self.lease is not None


def _always_free(self, key, row):
    return True


def _whole_budget(found):
    return found.probe_rate


def _never_ran_before(self, call):
    return False


def _claim_always(self, key, *, issued_at, window):
    return Claim(ClaimStatus.RUN, KeyEntry(key, self._clock()))


class _Any:
    """Equal to everything."""

    def __eq__(self, other):
        return True

    def __hash__(self):
        return 0


def _anybodys_key(text):
    key = parse_idempotency_key(text)
    return None if key is None else IdempotencyKey(_Any(), _Any(), key.issued_ms, key.suffix)


def _own_word_only(self, version):
    return tuple(r.name for r in self.live() if r.version < version)


def _serve_cut_off(self):
    return None


def _no_conflict(self, edit):
    return ()


def _repeat_anything(self, run, kind, ended):
    return not run.reply.begun and run.sends < 3


def _anybodys_answer(self, head, request):
    return Verdict.MATCHING


def _no_promise_checked(self, head, request):
    verdict = _classify(self, head, request)
    return Verdict.NOT_RUN if head.status == 503 else verdict


_classify = WorkerDialect.classify


def _leave_nothing(self, listed):
    return False


def _since_without_floor(self, version, epoch=0):
    self._tombstone_floor = 0
    return _since(self, version, epoch)


_since = TableReplica.delta_since


def _any_epoch(self, delta, *, at):
    return _take_delta(self, replace(delta, epoch=self.epoch), at=at)


_take_delta = TableReplica.apply


def _keep_once(self):
    return None


def _never_renumber(self, word):
    return None


def _ready_while_stopping(self):
    return not self.pause_detector.catching_up and self.mesh.state != "starting"


def _any_version(self, data, row_version):
    self.table = self._parse(data)
    self._on_change(self.table)


def _spend_freely(self, target=""):
    return True


def _nobody_reads(self):
    return False


def _tell_nobody_far(self, words, *, follows):
    return []


def _told_on_as_new(self, by):
    return self


def _count_own_place(self, heartbeat):
    if heartbeat.place == self.place:
        self._box_counts[self.place] = self._known_counts[self.place] + 1


def _impatient(self):
    return any(self.age(table) > STALE_S for table in self._tables.values())


def _never_behind(self, call):
    return None


def _accept_anything(self, queue, instance, max_ratios, now):
    return True


def _learn_nothing(self, service, utilisation):
    return 1.0


def _offer_nothing(self, queue, instance, probe_result):
    return False


def _all_are_first(self):
    return not self.reading


def _keep_lapsed(self, keys):
    return True


def _bar_nothing(self, tracked):
    return 0.0


def _tell_no_peer(self, new):
    self._update_digest()


def _keep_nothing(self, request):
    self._to_keep.discard(request)


def _all_at_once_count(self):
    return len(self.targets)


def _never_catch_up(self):
    return False


def _forget_starts(self):
    return (0, self.sequence)


def _grant_no_rest(self, instance, until):
    pass


def _hear_no_leaving(self, instance):
    return False


def _blame_nobody(self, instance, said, now):
    pass


def _rest_is_no_reason(self, service, now):
    return 0.0


def _any_number_of_tries(self, run, kind, ended):
    return not run.reply.begun and run.body.resendable and not run.may_have_run


def _more_time(self, request, *, remaining, instance):
    return _REQUEST_HEADERS(self, request, remaining=remaining + 3.0, instance=instance)


_REQUEST_HEADERS = WorkerDialect.request_headers

ENTRY, SHARES = "tests/test_entry.py", "tests/test_shares.py"
CRASHING, CRASH_GOSSIP = "tests/test_crashing.py", "tests/test_crash_gossip.py"
PEER_SELECTOR, SELECTOR = "tests/test_peer_selector.py", "tests/test_selector.py"
BACKOFF, LEAVING = "tests/test_backoff.py", "tests/test_leaving_targets.py"

MUTANTS = (
    Mutant("repeat what may run once", Forwarder, "_may_retry", _repeat_anything, ENTRY),
    Mutant("take any answer for one's own", WorkerDialect, "classify", _anybodys_answer, ENTRY),
    Mutant("promise for a bare 503", WorkerDialect, "classify", _no_promise_checked, ENTRY),
    Mutant("bar no request", CrashGuard, "quarantine_left", _bar_nothing, CRASHING),
    Mutant("tell no peer what ended targets", CrashGossip, "_changed", _tell_no_peer, CRASH_GOSSIP),
    Mutant("keep no bar in the store", CrashGossip, "_keep", _keep_nothing, CRASH_GOSSIP),
    Mutant(
        "count targets that ended at once",
        CrashRecord,
        "consecutive_crashes",
        property(_all_at_once_count),
        "tests/test_crashes.py",
    ),
    Mutant(
        "act at once on waking",
        PauseDetector,
        "catching_up",
        property(_never_catch_up),
        "tests/test_pause_detector.py",
    ),
    Mutant(
        "take starts for one",
        ListedTarget,
        "order",
        property(_forget_starts),
        "tests/test_instances.py",
    ),
    Mutant("grant no rest", InstanceList, "back_off", _grant_no_rest, BACKOFF),
    Mutant(
        "let all wait though all back off",
        InstanceList,
        "backoff_left",
        _rest_is_no_reason,
        BACKOFF,
    ),
    Mutant("hear no target say it leaves", InstanceList, "retire", _hear_no_leaving, LEAVING),
    Mutant(
        "eject no target that refuses",
        FreshReportChooser,
        "record_refusal",
        _blame_nobody,
        BACKOFF,
    ),
    Mutant("try any number of targets", Forwarder, "_may_retry", _any_number_of_tries, ENTRY),
    Mutant("give targets three seconds more", WorkerDialect, "request_headers", _more_time, ENTRY),
    Mutant("let no target leave", InstanceList, "_retire", _leave_nothing, ENTRY),
    Mutant(
        "tell a peer only what one saw",
        TableReplica,
        "delta_since",
        _since_without_floor,
        "tests/test_table_replica.py",
    ),
    Mutant(
        "go back to older settings",
        ActiveRoutes,
        "_apply_document",
        _any_version,
        "tests/test_store_tables.py",
    ),
    Mutant(
        "keep a row that vanished alone",
        TargetListing,
        "_is_mass_disappearance",
        _keep_lapsed,
        "tests/test_store_tables.py",
    ),
    Mutant("probe without a budget", ProbeShare, "try_spend", _spend_freely, SHARES),
    Mutant("repeat without a budget", RetryShare, "try_spend", _spend_freely, SHARES),
    Mutant("leave the store to others", Mesh, "is_reader", _nobody_reads, "tests/test_mesh.py"),
    Mutant("tell no other place", PeerSelector, "remote", _tell_nobody_far, PEER_SELECTOR),
    Mutant("take a word told on for a new one", Heartbeat, "aged", _told_on_as_new, PEER_SELECTOR),
    Mutant(
        "count the boxes of the own place",
        Mesh,
        "_update_box_counts",
        _count_own_place,
        PEER_SELECTOR,
    ),
    Mutant("all read the store at the start", Mesh, "stale", _impatient, "tests/test_mesh.py"),
    Mutant(
        "trust a call that hangs",
        TableFollower,
        "_cancel_if_behind",
        _never_behind,
        "tests/test_following.py",
    ),
    Mutant(
        "send what can't end in time", TargetSelector, "_is_acceptable", _accept_anything, ENTRY
    ),
    Mutant("send to targets found full", Saturation, "admission_share", 1.0, SELECTOR),
    Mutant(
        "offer no target to waiting requests", TargetSelector, "_offer", _offer_nothing, SELECTOR
    ),
    Mutant(
        "learn nothing of utilisation",
        LatencyModel,
        "slowdown",
        _learn_nothing,
        "tests/test_latency_model.py",
    ),
    Mutant(
        "read on through a store that went back",
        TableReplica,
        "apply",
        _any_epoch,
        "tests/test_table_replica.py",
    ),
    Mutant(
        "keep a bar in the store only once",
        CrashGossip,
        "_keep_again",
        _keep_once,
        "tests/test_crash_gossip.py",
    ),
    Mutant(
        "hold to the number of a start",
        Mesh,
        "_renumber_start",
        _never_renumber,
        "tests/test_mesh.py",
    ),
    Mutant(
        "say ready while stopping",
        EntryBox,
        "ready",
        property(_ready_while_stopping),
        ENTRY,
    ),
    Mutant("all follow what nobody can read", Mesh, "is_follower", _all_are_first, PEER_SELECTOR),
    Mutant("retry a loan after it was sent", Router, "_may_retry", _retry_anything),
    Mutant("say not run of a broken attempt", Router, "_failure_result", _say_not_run),
    Mutant(
        "reuse a connection that timed out",
        ConnectionPools,
        "discard",
        _discard_keeps,
        "tests/test_targets.py",
    ),
    Mutant(
        "reuse an idle connection that was closed",
        ConnectionPools,
        "_is_usable",
        _always_usable,
        "tests/test_targets.py",
    ),
    Mutant("accept a lower version", settings.SettingsFollower, "poll", _follow_blindly),
    Mutant("drain without waiting for callers", Drain, "start", _drain_at_once),
    Mutant("ignore that a target leaves", TargetRecord, "record_state", _never_leaving),
    Mutant("skip the expiry of a lease", probe_leases.ProbeLeaseHolder, "held", _held_for_ever),
    Mutant(
        "take a lease before it expired", probe_leases.ProbeLeaseHolder, "_is_free", _always_free
    ),
    Mutant("ignore the share of the budget", probes, "probes_per_second", _whole_budget),
    Mutant("forget once-keys", IdempotencyLedger, "claim", _claim_always),
    Mutant(
        "run a key of another box",
        idempotency,
        "parse_idempotency_key",
        _anybodys_key,
    ),
    Mutant(
        "say not run of an earlier copy",
        idempotency.IdempotencyGuard,
        "may_have_run",
        _never_ran_before,
    ),
    Mutant("accept without the silent boxes", Membership, "unconfirmed_boxes", _own_word_only),
    Mutant(
        "serve while cut off",
        WorkGate,
        "refusal",
        _serve_cut_off,
        "tests/test_membership.py",
    ),
    Mutant(
        "overwrite a racing edit", SettingsTree, "conflicts", _no_conflict, "tests/test_settings.py"
    ),
)


def seen(mutant):
    """Return what saw the mutant, or None."""
    with mock.patch.object(mutant.owner, mutant.attribute, mutant.broken):
        if mutant.tests:
            with contextlib.redirect_stdout(io.StringIO()):
                code = pytest.main(["-x", "-p", "no:cacheprovider", mutant.tests])
            return mutant.tests if code == pytest.ExitCode.TESTS_FAILED else None
        for cell in list_cells():
            violations, _ = run_cell(cell)
            if violations:
                return f"{cell}: {violations[0]}"
    return None


def main(words):
    """Try each mutant; return 1 if one went unseen."""
    logging.disable(logging.CRITICAL)
    unseen = 0
    chosen = [m for m in MUTANTS if not words or any(word in m.name for word in words)]
    for mutant in chosen:
        by = seen(mutant)
        unseen += by is None
        print(f"{'seen  ' if by else 'UNSEEN'} {mutant.name}: {by}", flush=True)
    return 1 if unseen else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
