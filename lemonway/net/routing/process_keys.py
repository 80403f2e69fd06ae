"""Idempotency keys shared by the processes of one node.

During an upgrade two processes of a node serve the same listening socket. The protocol rules treat them as one node, so
a key that one of them runs is neither run nor refused by the other.

The core uses this module through the same interface as keys shared among nodes (replicated.py). The claims and results
of the other process come through ``KeyClaimStore``; this module accesses no files. A try whose key runs in the other
process waits outside the admission policy until the result is available. It fails at its deadline, when this process
has to finish, or when the other process has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from ... import interface as api
from ...interface import Effect, Outcome
from ..ports import Answer, Incoming, KeyClaimStore, OtherProcessRun, Verdict
from .idempotency import body_digest

if TYPE_CHECKING:
    from .core import Core, Record

POLL_INTERVAL_US = 10_000  # between checks for the results that tries wait for
ANSWER_MARGIN_US = 20_000  # a waiting try fails this long before its deadline
PURGE_INTERVAL_US = 1_000_000
PURGES_PER_SWEEP = 10  # every so many purges the files of killed processes are removed


class ProcessKeys:
    def __init__(self, core: Core, store: KeyClaimStore) -> None:
        self.core, self.store, self.counters = core, store, core.counters
        self.claimed: dict[int, str] = {}  # id of a try that may run, or runs, in this process -> its key
        self.waiting: dict[int, Record] = {}  # by id: tries whose key the other process runs
        self._poll_scheduled = False
        self._purges = 0
        core.keyed_run_control = self

    def start(self) -> None:
        self.core.event_loop.call_after(PURGE_INTERVAL_US, self._purge)

    def _find_other_run(self, incoming: Incoming) -> OtherProcessRun | None:
        """The other process's run of this try's key, if the try arrived within the idempotency window of that run."""
        found = self.store.lookup(incoming.idempotency_key)
        if found is None or self.core.clock.to_unix_us(incoming.arrived_at_us) > found.expires_at_us:
            return None
        return found

    # KeyedRunControl, called by the core

    def find_answer(self, incoming: Incoming) -> Answer | None:
        found = self._find_other_run(incoming)
        return None if found is None else self._answer_to(incoming, found)

    def ran_in_other_process(self, incoming: Incoming) -> bool:
        return self._find_other_run(incoming) is not None

    def knows_key(self, incoming: Incoming) -> bool:
        return self._find_other_run(incoming) is not None

    def will_answer(self, record: Record) -> bool:
        """Whether the try's key runs in the other process; this module then answers the try."""
        if record.request_class.effect is not Effect.KEYED or record.ident in self.claimed:
            return False
        found = self._find_other_run(record.incoming)
        if found is None:
            return False
        if record.ident not in self.waiting:
            self.counters["upgrade_held"] += 1
            self.waiting[record.ident] = record
            if not self._poll_scheduled:
                self._poll_scheduled = True
                self.core.event_loop.call_after(POLL_INTERVAL_US, self._poll_results)
        return True

    def may_run(self, record: Record) -> bool:
        if record.ident in self.claimed:
            return True
        incoming, clock = record.incoming, self.core.clock
        request_class = record.request_class
        arrival_unix_us = clock.to_unix_us(incoming.arrived_at_us)
        window_end_us = arrival_unix_us + int((request_class.idempotency_window_ms + self.core.settings.tick_ms) * 1000)
        # The claim goes by the arrival time, not the current time: a try that arrived within the window of another
        # process's claim must not run after the end of that window either.
        if self.store.claim(
            incoming.idempotency_key,
            body_digest(incoming.body),
            max(window_end_us, clock.to_unix_us(clock.now_us)),
            arrival_unix_us,
        ):
            self.claimed[record.ident] = incoming.idempotency_key
            return True
        self.core.notify_policy(api.Finished(record.ident, 0.0, Outcome.MOOT))  # it does not run in this process
        if not self.will_answer(record):  # the claim file was removed during the check, so the outcome is unknown
            self.core.answer_without_run(record, Answer(Verdict.FAILED))
        return False

    def run_ended(self, record: Record, outcome: Outcome, body: bytes) -> bool:
        key = self.claimed.pop(record.ident, "")
        if key and outcome is Outcome.MOOT:
            self.store.release(key)
        elif key:
            self.store.record_result(key, outcome is Outcome.OK, body)
        return False

    def run_suspended(self, record: Record) -> None:
        """Nothing to do: no waiting try occupies a core in the admission policy."""

    def set_drained(self, drained: bool) -> None:
        """Nothing to do: an operator's drain applies to each process separately."""

    # results of the other process

    def _answer_to(self, incoming: Incoming, found: OtherProcessRun) -> Answer | None:
        if found.digest != body_digest(incoming.body):
            self.counters["bad_keys"] += 1
            return Answer(Verdict.FAILED)
        if found.succeeded is None:
            return None
        self.counters["upgrade_replays"] += 1
        return Answer(Verdict.SERVED if found.succeeded else Verdict.FAILED, body=found.body)

    def _poll_results(self) -> None:
        core, now = self.core, self.core.clock.now_us
        for ident, record in list(self.waiting.items()):
            if record.answered or ident not in core.records:
                del self.waiting[ident]
                continue
            found = self.store.lookup(record.incoming.idempotency_key)
            answer = Answer(Verdict.FAILED) if found is None else self._answer_to(record.incoming, found)
            if answer is None and (
                record.deadline_us - now <= ANSWER_MARGIN_US
                or (core.draining and core.stop_at_us - now <= ANSWER_MARGIN_US)
            ):
                answer = Answer(Verdict.FAILED, late=True)
            if answer is not None:
                del self.waiting[ident]
                core.answer_without_run(record, answer)
        self._poll_scheduled = bool(self.waiting)
        if self._poll_scheduled:
            core.event_loop.call_after(POLL_INTERVAL_US, self._poll_results)

    def _purge(self) -> None:
        core = self.core
        core.event_loop.call_after(PURGE_INTERVAL_US, self._purge)
        self.store.purge(core.clock.to_unix_us(core.clock.now_us))
        self._purges += 1
        if self._purges % PURGES_PER_SWEEP == 0:
            self.store.sweep()
            for ident in [i for i in self.claimed if i not in core.records]:
                del self.claimed[ident]  # the end of the run was never reported, so its claim remains

    def status(self) -> dict[str, Any]:
        return {"held": len(self.waiting), "claimed": len(self.claimed)}
