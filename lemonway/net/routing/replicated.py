"""Runs requests with an idempotency key on a node that shares its keys with other nodes: the node claims a key before
it runs the request, and a majority of the key's replica group stores the result of a successful run before the caller
gets it (docs/design/replication.md).

The core consults this module at three points: before admission, whether a duplicate can be answered at once
(``find_answer``); when the admission policy admits a keyed try, whether it may run (``may_run``); and when a run ended,
whether its answer has to wait (``run_ended``). Everything else is driven by the outputs of the replica. The module does
no I/O: messages are sent through ``Peers``."""

from __future__ import annotations

import logging
from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh3_64_intdigest

from ... import interface as api
from ...interface import Outcome
from ...replication.messages import (
    RESULT_TOO_LARGE,
    RUN_FAILED,
    RUN_SUCCEEDED,
    VOID,
    Claim,
    Durable,
    Learned,
    Lost,
    Message,
    NoQuorum,
    Out,
    Restored,
    RunOutcome,
    Send,
    Won,
)
from ...replication.replica import Replica
from ..ports import Answer, Incoming, Peers, Verdict
from .idempotency import body_digest

if TYPE_CHECKING:
    from .core import Core, Record

log = logging.getLogger(__name__)

TICK_INTERVAL_US = 10_000  # between calls of the replica's timers
ANSWER_MARGIN_US = 20_000  # a request that still waits for other nodes is answered this long before its deadline
RETRY_DELAY_MS = 250.0  # retry-after of a refused try; the setting max_retry_after_ms caps it


@dataclass(slots=True)
class PendingTry:
    """An admitted try that waits for the decision on its claim, or for the result of another node's claim."""

    record: Record
    own_claim: Claim
    policy_notified: bool = False  # the admission policy got ``Finished`` for it, and has freed its slot
    waiting_since_us: int = 0  # start of the wait for another claim's result; 0: not waiting


@dataclass(slots=True)
class PendingResult:
    """A result that is not yet stored by a majority."""

    record: Record
    body: bytes


class ReplicatedKeys:
    """Decides which keyed tries run on this node, and answers the others.

    ``max_result_bytes``: a larger result is not replicated, only the fact that it ran. ``answer_unreplicated``: send a
    result shortly before its deadline even if no majority stores it; duplicates may then fail to get it."""

    def __init__(
        self, core: Core, replica: Replica, peers: Peers, max_result_bytes: int, answer_unreplicated: bool
    ) -> None:
        self.core, self.replica, self.peers = core, replica, peers
        self.max_result_bytes, self.answer_unreplicated = max_result_bytes, answer_unreplicated
        self.counters = core.counters
        self.claiming: dict[str, list[PendingTry]] = {}  # by key: tries whose claim is undecided
        self.awaiting_result: dict[str, list[PendingTry]] = {}  # by key: tries that wait for another claim's result
        self.awaited_claims: dict[str, Claim] = {}  # by key: the claim that ``awaiting_result`` waits for
        self.granted_runs: dict[int, tuple[str, Record]] = {}  # by try: its key; the try may run, or is running
        self.pending_results: dict[str, PendingResult] = {}  # by key: results not yet stored by a majority
        core.keyed_run_control = self

    def start(self) -> None:
        self.core.event_loop.call_after(0, self._tick)

    @property
    def now_unix_us(self) -> int:
        return self.core.clock.to_unix_us(self.core.clock.now_us)

    def _key_of(self, incoming: Incoming) -> str:
        # The same for all tries of a request, even if its request class was renamed between them.
        return incoming.idempotency_key

    # called by the core

    def find_answer(self, incoming: Incoming) -> Answer | None:
        """Returns the answer to a try whose key ran on another node, if this node knows the durable result."""
        found = self.replica.claims.find_chosen(self._key_of(incoming))
        if found is None:
            return None
        claim, ended = found
        if claim.digest != body_digest(incoming.body):
            self.counters["bad_keys"] += 1
            return Answer(Verdict.FAILED)
        if ended is None or ended.kind == VOID:
            return None
        self.counters["replays_remote"] += 1
        return self._answer_for(ended)

    def ran_in_other_process(self, incoming: Incoming) -> bool:
        # A run of the key elsewhere is on another node: a refusal is allowed, and required while its result is unknown.
        return False

    def knows_key(self, incoming: Incoming) -> bool:
        return self.replica.claims.find_chosen(self._key_of(incoming)) is not None

    def will_answer(self, record: Record) -> bool:
        return False  # a try waits for another node's run only after its admission

    def may_run(self, record: Record) -> bool:
        """Returns whether the try may run now. If not, its key is claimed, and the try runs or is answered later."""
        if record.ident in self.granted_runs:
            return True
        incoming, key = record.incoming, self._key_of(record.incoming)
        for pending_try in self.claiming.get(key, ()):
            if pending_try.record is record:  # suspended and admitted again while its claim is undecided
                pending_try.policy_notified = False
                return False
        request_class = record.request_class
        clock = self.core.clock
        arrived_at_unix_us = clock.to_unix_us(incoming.arrived_at_us)
        # Covers the idempotency window of every try that may run under this claim, including those that arrive
        # before it is decided.
        expires_at_unix_us = (
            self.now_unix_us
            + self.replica.settings.claim_us
            + int((request_class.idempotency_window_ms + self.core.settings.tick_ms) * 1000)
        )
        own_claim = Claim(
            self.replica.name,
            self.replica.incarnation,
            body_digest(incoming.body),
            arrived_at_unix_us,
            expires_at_unix_us,
        )
        claim_in_progress = key in self.claiming
        self.claiming.setdefault(key, []).append(PendingTry(record, own_claim))
        if not claim_in_progress:
            self.counters["claims"] += 1
            self.apply_outputs(self.replica.claim(key, own_claim, self.now_unix_us))
        return False

    def run_ended(self, record: Record, outcome: Outcome, body: bytes) -> bool:
        """Handles the end of a run. Returns whether ``Core.answer_run`` is called for its answer later."""
        key, _ = self.granted_runs.pop(record.ident, ("", None))
        if not key:
            return False
        if outcome is Outcome.MOOT:
            self.apply_outputs(self.replica.publish(key, RunOutcome(VOID), self.now_unix_us))
            return False
        if outcome is not Outcome.OK:
            self.apply_outputs(self.replica.publish(key, RunOutcome(RUN_FAILED), self.now_unix_us))
            return False
        self.pending_results[key] = PendingResult(record, body)
        result = RunOutcome(RUN_SUCCEEDED, body) if len(body) <= self.max_result_bytes else RunOutcome(RESULT_TOO_LARGE)
        self.apply_outputs(self.replica.publish(key, result, self.now_unix_us))
        return True

    def run_suspended(self, record: Record) -> None:
        """The admission policy suspends a try that has not started: it has not run, and must not start now."""
        for tries in self.claiming.values():
            for pending_try in tries:
                if pending_try.record is record and not pending_try.policy_notified:
                    pending_try.policy_notified = True
                    self.core.notify_policy(api.Finished(record.ident, 0.0, Outcome.CANCELLED))

    def set_drained(self, drained: bool) -> None:
        self.replica.set_drained(drained)

    # messages and outputs of the replica

    def receive(self, sender: str, incarnation: int, message: Message, epoch: int) -> None:
        self.apply_outputs(self.replica.receive(sender, incarnation, message, self.now_unix_us, epoch))

    def apply_outputs(self, outputs: list[Out]) -> None:
        for item in outputs:
            if isinstance(item, Send):
                self.peers.send(item.to, item.message)
            elif isinstance(item, Won):
                self._on_won(item)
            elif isinstance(item, Lost):
                self._on_lost(item.key, item.value, item.outcome)
            elif isinstance(item, Learned):
                self._on_lost(item.key, item.value, item.outcome)
            elif isinstance(item, NoQuorum):
                for pending_try in self._pop_pending(item.key):
                    self.counters["refused_no_quorum"] += 1
                    self._refuse(pending_try)
            elif isinstance(item, Durable):
                self._on_durable(item.key)
            elif isinstance(item, Restored):
                log.info(
                    "replication: peers report that this node was %s", "drained" if item.drained else "not drained"
                )
                if item.drained:
                    self.core.readiness.begin_drain()
                else:
                    self.core.readiness.end_drain()
                self.core.report()

    def _pop_pending(self, key: str) -> list[PendingTry]:
        self.awaited_claims.pop(key, None)
        return self.claiming.pop(key, []) + self.awaiting_result.pop(key, [])

    def _on_won(self, item: Won) -> None:
        """Runs the first try that still waits for an answer; the others wait for its result."""
        tries, runner = self._pop_pending(item.key), None
        for pending_try in tries:
            if pending_try.own_claim.digest != item.value.digest:
                self._fail_conflict(pending_try)
            elif pending_try.record.answered or pending_try.record.ident not in self.core.records:
                self._release_slot(pending_try)
            elif runner is None and pending_try.waiting_since_us:  # its slot was released: it can no longer run
                self._refuse(pending_try)
            elif runner is None:
                runner = pending_try
                self.granted_runs[pending_try.record.ident] = (item.key, pending_try.record)
            else:
                self._await_result(item.key, item.value, pending_try)
        if runner is None:  # no caller is left
            self.apply_outputs(self.replica.publish(item.key, RunOutcome(VOID), self.now_unix_us))
        elif not runner.policy_notified:
            self.core.start_claimed_run(runner.record)
        # Otherwise it was suspended meanwhile: it keeps its claim, and runs when it is admitted again.

    def _on_lost(self, key: str, claim: Claim, ended: RunOutcome | None) -> None:
        for pending_try in self._pop_pending(key):
            if pending_try.record.answered:
                self._release_slot(pending_try)
            elif pending_try.own_claim.digest != claim.digest:
                self._fail_conflict(pending_try)
            elif ended is not None and ended.kind == VOID:
                self.counters["refused_void"] += 1
                self._refuse(pending_try)  # the key never ran, and no try of it will within its idempotency window
            elif ended is not None:
                self.counters["replays_remote"] += 1
                self._answer(pending_try, self._answer_for(ended))
            elif not self.core.draining:
                self._await_result(key, claim, pending_try)
            else:
                self.counters["refused_claimed"] += 1
                self._refuse(pending_try)

    def _await_result(self, key: str, claim: Claim, pending_try: PendingTry) -> None:
        """Waits for the result of another claim that was chosen: from its node, or from the key's replica group."""
        self._release_slot(pending_try)
        pending_try.waiting_since_us = self.core.clock.now_us
        newly_awaited = key not in self.awaiting_result
        self.awaiting_result.setdefault(key, []).append(pending_try)
        self.awaited_claims[key] = claim
        if newly_awaited:
            self.apply_outputs(self.replica.watch(key, self.now_unix_us))

    def _on_durable(self, key: str) -> None:
        pending_result = self.pending_results.pop(key, None)
        if pending_result is not None:
            self.core.answer_run(pending_result.record, pending_result.body)

    # answers

    @staticmethod
    def _answer_for(ended: RunOutcome) -> Answer:
        return Answer(Verdict.SERVED, body=ended.body) if ended.kind == RUN_SUCCEEDED else Answer(Verdict.FAILED)

    def _release_slot(self, pending_try: PendingTry) -> None:
        """Frees the try's slot in the admission policy: it does not run on this node."""
        if not pending_try.policy_notified:
            pending_try.policy_notified = True
            self.core.notify_policy(api.Finished(pending_try.record.ident, 0.0, Outcome.MOOT))

    def _answer(self, pending_try: PendingTry, answer: Answer) -> None:
        self._release_slot(pending_try)
        self.core.answer_without_run(pending_try.record, answer)

    def _fail_conflict(self, pending_try: PendingTry) -> None:
        self.counters["bad_keys"] += 1
        self._answer(pending_try, Answer(Verdict.FAILED))

    def _refuse(self, pending_try: PendingTry) -> None:
        settings = self.core.settings
        delay_ms = min(RETRY_DELAY_MS, settings.max_retry_after_ms or RETRY_DELAY_MS) if settings.retry_after else 0.0
        late = pending_try.record.deadline_us - self.core.clock.now_us <= 2000 * settings.tick_ms
        self._answer(pending_try, Answer(Verdict.REFUSED, retry_after_ms=int(delay_ms), late=late))

    # timers

    def _tick(self) -> None:
        self.core.event_loop.call_after(TICK_INTERVAL_US, self._tick)
        self.replica.set_ready(self.core.healthy)
        self.apply_outputs(self.replica.tick(self.now_unix_us))
        now_us = self.core.clock.now_us
        for key in list(self.awaiting_result):
            claim = self.awaited_claims[key]
            # If the claim's node is down, the replica group is queried for a limited time. A result that was lost
            # with the node stays unknown, and the key is not run again within its idempotency window.
            owner_gone = not self.replica.may_be_running(claim)
            timeout_us = self.replica.settings.claim_us
            still_waiting: list[PendingTry] = []
            for pending_try in self.awaiting_result[key]:
                if pending_try.record.answered:
                    continue
                if (
                    self.core.draining
                    or pending_try.record.deadline_us - now_us <= ANSWER_MARGIN_US
                    or (owner_gone and now_us - pending_try.waiting_since_us >= timeout_us)
                ):
                    self.counters["refused_claimed"] += 1
                    self._refuse(pending_try)
                else:
                    still_waiting.append(pending_try)
            if still_waiting:
                self.awaiting_result[key] = still_waiting
            else:
                del self.awaiting_result[key], self.awaited_claims[key]
                self.replica.claims.unwatch(key)
        for key, pending_result in list(self.pending_results.items()):
            if pending_result.record.deadline_us - now_us <= ANSWER_MARGIN_US or (
                self.core.draining and self.core.stop_at_us - now_us <= ANSWER_MARGIN_US
            ):
                del self.pending_results[key]
                if self.answer_unreplicated:
                    self.counters["answered_thin"] += 1
                    self.core.answer_run(pending_result.record, pending_result.body)
                else:
                    self.counters["failed_no_quorum"] += 1
                    self.core.answer_run(pending_result.record, None)
        for ident in [i for i in self.granted_runs if i not in self.core.records]:
            key, record = self.granted_runs.pop(ident)
            if not record.spawn_number:  # never started; otherwise it may have run, and its claim stays in force
                self.apply_outputs(self.replica.publish(key, RunOutcome(VOID), self.now_unix_us))

    def status(self) -> dict[str, object]:
        """The replication status that the admin address serves."""
        replica = self.replica
        return {
            "name": replica.name,
            "life": replica.incarnation,
            "whole": replica.catchup.caught_up,
            "catch_up_ms": replica.catchup.recovery_time_us // 1000 if replica.catchup.recovery_time_us >= 0 else None,
            "epoch": replica.placement.epoch,
            "changing": replica.placement.previous is not None,
            "outdated": replica.outdated,
            "held": replica.drained,
            "registers": len(replica.claims.registers),
            "result_bytes": replica.claims.result_bytes,
            "sums": {  # by peer: a hash of the checksums of the key ranges shared with it
                peer: f"{xxh3_64_intdigest(repr(sums).encode()):x}" if any(sums) else "0"
                for peer, sums in sorted(replica.claims.range_checksums.items())
            },
            "peers": replica.peer_status(),
            "counters": dict(sorted(replica.counters.items())),
        }
