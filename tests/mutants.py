"""Mutation tests: disable one mechanism at a time and check that a test detects it.

``python -m tests.mutants`` (``make mutants``) exits with 0 only if every mutant is
detected.  Arguments select the mutants whose names contain one of them.
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
from dunlinnotch.coordination.budgets.retries import RetryBudget
from dunlinnotch.coordination.budgets.shares import ProbeShare
from dunlinnotch.coordination.choosing.fresh_reports import FreshReportChooser
from dunlinnotch.coordination.choosing.latency_model import LatencyModel
from dunlinnotch.coordination.choosing.reach import TargetReach
from dunlinnotch.coordination.choosing.saturation import Saturation
from dunlinnotch.coordination.choosing.selector import TargetSelector
from dunlinnotch.coordination.membership import mesh
from dunlinnotch.coordination.membership.crash_gossip import CrashGossip
from dunlinnotch.coordination.membership.mesh import STALE_S, Mesh
from dunlinnotch.coordination.membership.pause_detector import PauseDetector
from dunlinnotch.coordination.membership.peer_selector import PeerSelector
from dunlinnotch.coordination.membership.rows import Membership
from dunlinnotch.coordination.requests import idempotency
from dunlinnotch.coordination.requests.assist import PeerAssistant
from dunlinnotch.coordination.requests.crash_guard import CrashGuard
from dunlinnotch.coordination.requests.drain import Drain
from dunlinnotch.coordination.requests.forward import Forwarder
from dunlinnotch.coordination.requests.router import Router
from dunlinnotch.coordination.settings import tree as settings
from dunlinnotch.coordination.settings.following import TableFollower
from dunlinnotch.coordination.settings.gate import WorkGate
from dunlinnotch.coordination.settings.store_tables import ActiveRoutes, TargetListing
from dunlinnotch.daemon import entry
from dunlinnotch.daemon.entry import EntryBox
from dunlinnotch.platform.dialect import WorkerDialect
from dunlinnotch.protocol.answers import IdempotencyKey, parse_idempotency_key
from dunlinnotch.protocol.attempt import Broken
from dunlinnotch.protocol.mesh import Heartbeat
from dunlinnotch.protocol.outcome import Outcome
from dunlinnotch.protocol.relay import Verdict
from dunlinnotch.standins.users.box import BoxProcess
from dunlinnotch.state.crashes import CrashRecord
from dunlinnotch.state.instances import InstanceList, ListedTarget
from dunlinnotch.state.ledger import Claim, ClaimStatus, IdempotencyLedger, KeyEntry
from dunlinnotch.state.table_replica import TableReplica
from dunlinnotch.state.targets import TargetRecord
from dunlinnotch.state.tree import SettingsTree
from dunlinnotch.transport.connection_pools import ConnectionPools
from dunlinnotch.transport.embedded_answers import EmbeddedAnswerFinder
from dunlinnotch.transport.sends import SendOwner, Sends
from dunlinnotch.transport.stream.link_pool import LinkPool
from dunlinnotch.transport.stream.target_link import IncomingAnswer, TargetLink
from tests.box_with_full_budgets import begin_full
from tests.matrix import list_cells, run_cell


@dataclass(frozen=True)
class Mutant:
    """A mechanism and what replaces it.

    Parameters
    ----------
    name : str
        What the mutated code does wrong.
    owner : object
        The class or module that has the attribute.
    attribute : str
    replacement : object
    tests : str, optional
        A test file that must fail; the fault matrix if left out.
    """

    name: str
    owner: object
    attribute: str
    replacement: object
    tests: str = ""


def _retry_after_any_failure(self, run, call_result, settings):
    return (
        not call_result.begun and call_result.outcome is not Outcome.ANSWERED and len(run.tried) < 3
    )


_failure_result = Router._failure_result


def _report_not_run(self, result, grant, pool):
    call_result = _failure_result(self, result, grant, pool)
    return (
        replace(call_result, outcome=Outcome.NOT_RUN) if isinstance(result, Broken) else call_result
    )


def _release_instead(self, target, conn):
    self.release(target, conn)


def _always_usable(self, idle):
    return True


_poll_settings = settings.SettingsFollower.poll


def _apply_lower_version(self):
    row = self._platform.read(settings.HEAD_KEY)
    version = settings._head_version(row)
    if version < self._holder.version:
        tree = self._holder.tree
        self._holder.tree = SettingsTree(version, tree.nodes, tree.changed, tree.edits[:version])
        self._holder._on_change(self._holder.tree)
    return _poll_settings(self)


def _drain_without_wait(self, *, max_answer_lifetime):
    _start_drain(self, max_answer_lifetime=0.0)


_start_drain = Drain.start


def _ignore_leaving(self, incarnation, *, leaving):
    self.leaving = False


def _ignore_expiry(self, lease_count):
    return self.lease is not None


def _always_free(self, key, row):
    return True


def _full_rate(target_settings):
    return target_settings.probe_rate


def _assume_not_run(self, call):
    return False


def _grant_every_claim(self, key, *, issued_at, window):
    return Claim(ClaimStatus.RUN, KeyEntry(key, self._clock()))


class _EqualsAnything:
    """Equal to everything."""

    def __eq__(self, other):
        return True

    def __hash__(self):
        return 0


def _accept_any_key(text):
    key = parse_idempotency_key(text)
    return (
        None
        if key is None
        else IdempotencyKey(_EqualsAnything(), _EqualsAnything(), key.issued_ms, key.suffix)
    )


def _unconfirmed_live_boxes(self, version):
    return tuple(r.name for r in self.live() if r.version < version)


def _never_refuse(self):
    return None


def _no_conflicts(self, edit):
    return ()


def _retry_any_request(self, run, kind, ending):
    return not run.reply.begun and run.sends < 3


def _ignore(*_: object) -> None:
    """Do nothing."""


def _complete_any(self: TargetLink, incoming: IncomingAnswer) -> None:
    """Complete an answer without a length at any end of its connection."""
    incoming.end()
    self._receiving = None
    self.is_mid_answer = False


def _own_any_answer(self, named):
    return SendOwner.CURRENT


def _own_unnamed_answers(self, named):
    return _owner(self, named) if named else SendOwner.CURRENT


_owner = Sends.owner


def _admit_any_send(self, key):
    return not self.exhausted


def _trust_any_503(self, head):
    verdict = _classify(self, head)
    return Verdict.NOT_RUN if head.status == 503 else verdict


_classify = WorkerDialect.classify


def _never_retire(self, listed):
    return False


def _delta_without_floor(self, version, epoch=0):
    self._tombstone_floor = 0
    return _delta_since(self, version, epoch)


_delta_since = TableReplica.delta_since


def _apply_any_epoch(self, delta, *, at):
    return _apply_delta(self, replace(delta, epoch=self.epoch), at=at)


_apply_delta = TableReplica.apply


def _persist_once(self):
    return None


def _never_renumber(self, heartbeat):
    return None


def _ready_while_stopping(self):
    return not self.pause_detector.catching_up and self.mesh.state != "starting"


def _apply_any_version(self, data, row_version):
    self.table = self._parse(data)
    self._on_change(self.table)


def _begin_full(self, target):
    now, rate = self._clock(), self.rate
    max_tokens = max(1.0, rate)
    tokens, at = self._buckets.get(target, (max_tokens, now))
    tokens = min(max_tokens, tokens + (now - at) * rate)
    self._buckets[target] = (tokens, now)
    return tokens


def _refuse_no_peer_request(self, peer_request):
    return None


def _believe_every_path(self, address, since):
    pass


async def _always_has_path(self, instance):
    return True


def _reaches_always(forwarding):
    return True


async def _retry_over_peers_without_budget(self, run, kind, peer):
    return await self._peer_path.attempt(run, kind, peer, may_send=lambda: True)


def _count_known_boxes(known, **_):
    return known


def _save_all(self):
    self._saved += self.share


def _always_spend(self, target=""):
    return True


def _never_read(self):
    return False


def _select_no_remote_peer(self, heartbeats, *, follows):
    return []


def _forward_without_age(self, by):
    return self


def _count_own_place_only(self, heartbeat):
    if heartbeat.place == self.place:
        self._box_counts[self.place] = self._known_counts[self.place] + 1


def _stale_from_start(self):
    return any(self.age(table) > STALE_S for table in self._tables.values())


def _never_cancel(self, call):
    return None


def _accept_any_target(self, queue, instance, max_ratios, now):
    return True


def _no_slowdown(self, service, utilisation):
    return 1.0


def _offer_no_target(self, queue, instance, probe_result):
    return False


def _follow_if_unreadable(self):
    return not self.reading


def _always_mass_disappearance(self, keys):
    return True


def _quarantine_nothing(self, tracked):
    return 0.0


def _send_no_crash_report(self, new):
    self._update_digest()


def _persist_nothing(self, request):
    self._to_store.discard(request)


def _count_every_crash(self):
    return len(self.targets)


def _never_catching_up(self):
    return False


def _order_by_sequence(self):
    return (0, self.sequence)


def _ignore_backoff(self, instance, until):
    pass


def _ignore_leaving_report(self, instance):
    return False


def _ignore_refusal(self, instance, status, now):
    pass


def _no_backoff_left(self, service, now):
    return 0.0


def _retry_without_limit(self, run, kind, ending):
    return not run.reply.begun and run.body.resendable and not run.may_have_run


def _send_longer_limit(self, request, *, remaining, instance):
    return _request_headers(self, request, remaining=remaining + 3.0, instance=instance)


_request_headers = WorkerDialect.request_headers

ENTRY, SHARES = "tests/test_entry.py", "tests/test_shares.py"
RETRIES = "tests/test_retries.py"
LAB_RESTARTS = (
    "tests/test_lab.py::test_a_scenario_with_a_past_violation_has_none"
    "[boxes-killed-while-targets-refuse]"
)
LAB_ANSWER_TWICE = (
    "tests/test_lab.py::test_a_scenario_with_a_past_violation_has_none[targets-that-answer-twice]"
)
LAB_CUT_OFF = (
    "tests/test_lab.py::test_a_scenario_with_a_past_violation_has_none[boxes-cut-off-from-targets]"
)
CUT_OFF = "tests/test_cut_off_box.py"
GAPS = "tests/test_gaps_filled_by_answers.py"
EARLY = "tests/test_early_answers.py"
DUPLICATES = "tests/test_duplicate_answers.py"
DUPLICATES_OF_OTHERS = "tests/test_duplicate_answers_of_others.py"
CRASHING, CRASH_GOSSIP = "tests/test_crashing.py", "tests/test_crash_gossip.py"
PEER_SELECTOR, SELECTOR = "tests/test_peer_selector.py", "tests/test_selector.py"
BACKOFF, LEAVING = "tests/test_backoff.py", "tests/test_leaving_targets.py"

MUTANTS = (
    Mutant(
        "retry a request that may run only once", Forwarder, "_may_retry", _retry_any_request, ENTRY
    ),
    Mutant("accept an answer to another request", Sends, "owner", _own_any_answer, DUPLICATES),
    Mutant(
        "take any body of the right length for whole",
        EmbeddedAnswerFinder,
        "is_doubtful",
        False,
        GAPS,
    ),
    Mutant(
        "pass on a body that holds an answer", EmbeddedAnswerFinder, "_check_head", _ignore, GAPS
    ),
    Mutant("ignore what follows a body", TargetLink, "_doubt_completed", _ignore, GAPS),
    Mutant(
        "complete an answer while its request is sent",
        TargetLink,
        "_complete_at_close",
        _complete_any,
        EARLY,
    ),
    Mutant(
        "take a refused probe for the refusal of a request",
        Sends,
        "owner",
        _own_unnamed_answers,
        DUPLICATES,
    ),
    Mutant("send a request twice on one connection", Sends, "admits", _admit_any_send, DUPLICATES),
    Mutant(
        "probe again on a connection of a target that sends copies",
        LinkPool,
        "_record_surplus",
        lambda self: None,
        DUPLICATES_OF_OTHERS,
    ),
    Mutant("trust any 503 as not run", WorkerDialect, "classify", _trust_any_503, ENTRY),
    Mutant("quarantine no request", CrashGuard, "quarantine_left", _quarantine_nothing, CRASHING),
    Mutant(
        "send no crash report to peers",
        CrashGossip,
        "_distribute",
        _send_no_crash_report,
        CRASH_GOSSIP,
    ),
    Mutant(
        "write no quarantine to the store",
        CrashGossip,
        "_store_record",
        _persist_nothing,
        CRASH_GOSSIP,
    ),
    Mutant(
        "count simultaneous crashes separately",
        CrashRecord,
        "consecutive_crashes",
        property(_count_every_crash),
        "tests/test_crashes.py",
    ),
    Mutant(
        "act at once after a pause",
        PauseDetector,
        "catching_up",
        property(_never_catching_up),
        "tests/test_pause_detector.py",
    ),
    Mutant(
        "compare rows of a target without its start",
        ListedTarget,
        "order",
        property(_order_by_sequence),
        "tests/test_instances.py",
    ),
    Mutant("ignore a requested back-off", InstanceList, "back_off", _ignore_backoff, BACKOFF),
    Mutant(
        "queue requests although all targets back off",
        InstanceList,
        "backoff_left",
        _no_backoff_left,
        BACKOFF,
    ),
    Mutant(
        "ignore that a target reports leaving",
        InstanceList,
        "retire",
        _ignore_leaving_report,
        LEAVING,
    ),
    Mutant(
        "ignore refusals of an idle target",
        FreshReportChooser,
        "record_refusal",
        _ignore_refusal,
        BACKOFF,
    ),
    Mutant(
        "retry without a limit of attempts", Forwarder, "_may_retry", _retry_without_limit, ENTRY
    ),
    Mutant(
        "send targets a time limit that is 3 s too long",
        WorkerDialect,
        "request_headers",
        _send_longer_limit,
        ENTRY,
    ),
    Mutant("never remove a leaving target", InstanceList, "_retire", _never_retire, ENTRY),
    Mutant(
        "send a delta where a snapshot is needed",
        TableReplica,
        "delta_since",
        _delta_without_floor,
        "tests/test_table_replica.py",
    ),
    Mutant(
        "apply older settings",
        ActiveRoutes,
        "_apply_document",
        _apply_any_version,
        "tests/test_store_tables.py",
    ),
    Mutant(
        "treat every missing row as a mass disappearance",
        TargetListing,
        "_is_mass_disappearance",
        _always_mass_disappearance,
        "tests/test_store_tables.py",
    ),
    Mutant("probe without a budget", ProbeShare, "try_spend", _always_spend, SHARES),
    Mutant("begin each life with full probe buckets", ProbeShare, "_tokens", _begin_full, SHARES),
    Mutant(
        "take the whole of shared limits before others are known",
        entry,
        "count_sharing_boxes",
        _count_known_boxes,
        ENTRY,
    ),
    Mutant("retry without a budget", RetryBudget, "try_spend", _always_spend, RETRIES),
    Mutant("begin each life with saved retries", RetryBudget, "__init__", begin_full, RETRIES),
    Mutant("save all unspent retries", RetryBudget, "record_first_attempt", _save_all, RETRIES),
    Mutant(
        "begin each life with saved retries (lab)",
        BoxProcess,
        "module",
        "tests.box_with_full_budgets",
        LAB_RESTARTS,
    ),
    Mutant(
        "pass no request to a peer (lab)",
        BoxProcess,
        "module",
        "tests.box_without_peers",
        LAB_CUT_OFF,
    ),
    Mutant(
        "send a request again on a connection that has carried it (lab)",
        BoxProcess,
        "module",
        "tests.box_that_sends_again",
        LAB_ANSWER_TWICE,
    ),
    Mutant(
        "trust an answer that names no request (lab)",
        BoxProcess,
        "module",
        "tests.box_that_trusts_unnamed_answers",
        LAB_ANSWER_TWICE,
    ),
    Mutant(
        "believe that there is a path",
        TargetReach,
        "record_unreached",
        _believe_every_path,
        CUT_OFF,
    ),
    Mutant(
        "send any request that comes from a peer",
        PeerAssistant,
        "_refusal",
        _refuse_no_peer_request,
        CUT_OFF,
    ),
    Mutant(
        "retry over peers without a budget",
        Forwarder,
        "_attempt_through",
        _retry_over_peers_without_budget,
        CUT_OFF,
    ),
    Mutant(
        "report targets that can't be reached as crashed",
        CrashGuard,
        "_has_path",
        _always_has_path,
        CUT_OFF,
    ),
    Mutant("offer boxes that are cut off", mesh, "_reaches_all", _reaches_always, CUT_OFF),
    Mutant("read the store on no box", Mesh, "is_reader", _never_read, "tests/test_mesh.py"),
    Mutant(
        "send no heartbeat to other places",
        PeerSelector,
        "remote",
        _select_no_remote_peer,
        PEER_SELECTOR,
    ),
    Mutant(
        "forward a heartbeat without its age",
        Heartbeat,
        "aged",
        _forward_without_age,
        PEER_SELECTOR,
    ),
    Mutant(
        "count only the boxes of its own place",
        Mesh,
        "_update_box_counts",
        _count_own_place_only,
        PEER_SELECTOR,
    ),
    Mutant(
        "read the store on all boxes at the start",
        Mesh,
        "stale",
        _stale_from_start,
        "tests/test_mesh.py",
    ),
    Mutant(
        "wait for a store poll that hangs",
        TableFollower,
        "_cancel_if_behind",
        _never_cancel,
        "tests/test_following.py",
    ),
    Mutant(
        "select a target that can't answer in time",
        TargetSelector,
        "_is_acceptable",
        _accept_any_target,
        ENTRY,
    ),
    Mutant("admit all requests to saturated targets", Saturation, "admission_share", 1.0, SELECTOR),
    Mutant(
        "offer no target to waiting requests", TargetSelector, "_offer", _offer_no_target, SELECTOR
    ),
    Mutant(
        "ignore that utilisation slows targets down",
        LatencyModel,
        "slowdown",
        _no_slowdown,
        "tests/test_latency_model.py",
    ),
    Mutant(
        "apply a delta of another store epoch",
        TableReplica,
        "apply",
        _apply_any_epoch,
        "tests/test_table_replica.py",
    ),
    Mutant(
        "write a quarantine to the store only once",
        CrashGossip,
        "_restore_lost",
        _persist_once,
        "tests/test_crash_gossip.py",
    ),
    Mutant(
        "never raise the incarnation of a start",
        Mesh,
        "_renumber_start",
        _never_renumber,
        "tests/test_mesh.py",
    ),
    Mutant(
        "report ready while stopping",
        EntryBox,
        "ready",
        property(_ready_while_stopping),
        ENTRY,
    ),
    Mutant(
        "follow the store on all boxes that can't read it",
        Mesh,
        "is_follower",
        _follow_if_unreadable,
        PEER_SELECTOR,
    ),
    Mutant("retry a loan after it was sent", Router, "_may_retry", _retry_after_any_failure),
    Mutant("report a broken attempt as not run", Router, "_failure_result", _report_not_run),
    Mutant(
        "reuse a connection that timed out",
        ConnectionPools,
        "discard",
        _release_instead,
        "tests/test_targets.py",
    ),
    Mutant(
        "reuse an idle connection that was closed",
        ConnectionPools,
        "_is_usable",
        _always_usable,
        "tests/test_targets.py",
    ),
    Mutant(
        "apply a lower settings version", settings.SettingsFollower, "poll", _apply_lower_version
    ),
    Mutant("drain without waiting for callers", Drain, "start", _drain_without_wait),
    Mutant("ignore leaving in a target record", TargetRecord, "record_state", _ignore_leaving),
    Mutant(
        "ignore the expiry of a probe lease", probe_leases.ProbeLeaseHolder, "held", _ignore_expiry
    ),
    Mutant(
        "acquire a probe lease before it expired",
        probe_leases.ProbeLeaseHolder,
        "_is_free",
        _always_free,
    ),
    Mutant("probe with the whole budget on each box", probes, "probes_per_second", _full_rate),
    Mutant("forget idempotency keys", IdempotencyLedger, "claim", _grant_every_claim),
    Mutant(
        "run a request with another box's key",
        idempotency,
        "parse_idempotency_key",
        _accept_any_key,
    ),
    Mutant(
        "report an earlier copy as not run",
        idempotency.IdempotencyGuard,
        "may_have_run",
        _assume_not_run,
    ),
    Mutant(
        "accept an edit without the silent boxes",
        Membership,
        "unconfirmed_boxes",
        _unconfirmed_live_boxes,
    ),
    Mutant(
        "serve while cut off",
        WorkGate,
        "refusal",
        _never_refuse,
        "tests/test_membership.py",
    ),
    Mutant(
        "overwrite a concurrent edit",
        SettingsTree,
        "conflicts",
        _no_conflicts,
        "tests/test_settings.py",
    ),
)


def find_failure(mutant):
    """Return the test file or the matrix cell that fails with the mutant; None if none does."""
    with mock.patch.object(mutant.owner, mutant.attribute, mutant.replacement):
        if mutant.tests:
            with contextlib.redirect_stdout(io.StringIO()):
                exit_code = pytest.main(["-x", "-p", "no:cacheprovider", mutant.tests])
            return mutant.tests if exit_code == pytest.ExitCode.TESTS_FAILED else None
        for cell in list_cells():
            violations, _ = run_cell(cell)
            if violations:
                return f"{cell}: {violations[0]}"
    return None


def main(words):
    """Run the selected mutants; return 1 if one is not detected."""
    logging.disable(logging.CRITICAL)
    unseen_count = 0
    selected = [m for m in MUTANTS if not words or any(word in m.name for word in words)]
    for mutant in selected:
        failure = find_failure(mutant)
        unseen_count += failure is None
        print(f"{'seen  ' if failure else 'UNSEEN'} {mutant.name}: {failure}", flush=True)
    return 1 if unseen_count else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
