"""The routing core: turns requests into events of the admission policy, and its actions into answers, runs and calls.

It is independent of wire formats. Front ends submit requests with ``submit`` and receive one answer to each. The worker
pool and the backend client report events by calling the methods under "Notices from ..." below. Times are in
microseconds of the monotonic clock unless a name ends in ``_ms``."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from math import ceil
from typing import Any

from ... import interface as api
from ...admission_policy import Policy
from ...interface import Effect, Outcome, RequestClass, Settings
from ..ports import Announcer, Answer, Backend, FrontendConnection, Incoming, KeyedRunControl, Verdict, WorkerPool
from ..transport.clock import Deadlines, EventLoop
from . import call_phase
from .call_phase import TRANSITIONS as NEXT_CALL_PHASE
from .call_phase import CallPhase
from .former_keys import FormerKeyedClasses, as_keyed
from .idempotency import IdempotencyTable
from .readiness import Readiness

log = logging.getLogger(__name__)

MAINTENANCE_INTERVAL_US = 25_000  # between deadline checks, also when the policy requests no wake-up
# The core itself answers a request this long after its deadline; the protocol rules allow 60 ms plus 50 ms.
ANSWER_GUARD_US = 30_000
POLL_TIMEOUT_US = 20_000  # a wake-up does not wait longer than this for the pool's answer to its poll
MAX_PENDING_CHECKS = 64  # deep health checks in flight; further ones are answered from the stored state
MAX_PENDING_POLLS = 64  # unanswered polls that are remembered
GAUGES_STALE_AFTER_US = 250_000  # older gauges are not passed to the admission policy
ANNOUNCE_INTERVAL_US = 250_000  # a node's entry expires 3 s after its last report, and one report in four may be lost
STOP_MARGIN_MS = 250  # all requests are answered this long before the process is killed
MAX_LOGGED_FAULTS = 20  # policy exceptions that are logged, with a traceback; later ones are only counted
# Retry delay given with refusals while the lease is expired, limited by the maximum in the settings.
LEASE_RETRY_AFTER_MS = 1000.0
LOST_RUN_TIMEOUT_US = 60_000_000  # a run whose end was never reported is removed this long after its request's deadline


@dataclass(slots=True, eq=False)
class Record:
    """A request in flight, from its arrival until it is answered and its run has ended."""

    ident: int
    incoming: Incoming
    deadline_us: int
    request_class: RequestClass  # its class at arrival; settings loaded later do not change it
    original_try: int = 0  # id of the try that this one duplicates; 0 = none
    answered: bool = False
    running: bool = False  # spawned, and its end not yet reported
    suspended: bool = False
    call_phase: CallPhase = call_phase.NONE
    call_body: bytes | None = None  # body of the run's current call, while it may still have to be sent or repeated
    call_sent_at_us: int = -1  # when the current call was last sent
    reply: bytes | None = None  # reply to the current call, until it is written to a link to the pool
    # Sequence numbers of the last commands of each kind sent to the pool for this request; 0 = none was sent.
    spawn_number: int = 0
    supply_number: int = 0
    suspend_number: int = 0
    spawn_written: bool = False  # whether the last spawn was written to a link; if not, it never arrived


class Core:
    def __init__(
        self, settings: Settings, seed: int, event_loop: EventLoop, max_requests: int, max_idempotency_bytes: int
    ) -> None:
        """``max_requests`` limits requests in flight, ``max_idempotency_bytes`` the keys and results stored."""
        self.max_requests, self.max_idempotency_bytes = max_requests, max_idempotency_bytes
        self.settings, self.seed, self.event_loop, self.clock = settings, seed, event_loop, event_loop.clock
        self.active_classes = list(range(len(settings.request_classes)))  # indexes of the request classes in force
        self.pool: WorkerPool
        self.announcer: Announcer
        self.backend: Backend | None = None
        self.policy: Policy | None = None
        self.records: dict[int, Record] = {}
        self.by_txn: dict[str, Record] = {}
        self.idempotency_table = IdempotencyTable(self.clock)
        self.former_keyed_classes = FormerKeyedClasses(self.clock)
        self.frontend_connections: dict[FrontendConnection, None] = {}
        self.counters: Counter[str] = Counter()
        # Counts for the admin address: by name, then by class index. Lists rather than a Counter of pairs, so that an
        # answer costs no additional call or allocation (limits in benchmarks/ceilings.json).
        self.counts_by_class: dict[str, list[int]] = {
            count_name: [0] * len(settings.request_classes)
            for count_name in ("served", "refused", "failed", "attempts")
        }
        self.readiness = Readiness()
        self.keyed_run_control: KeyedRunControl | None = None  # where keys are shared (replicated.py, process_keys.py)
        self.stop_at_us = 0  # while draining: the time by which all requests are answered
        self.uses_stored_health, self.draining, self.pool_linked = False, False, False
        self.feedback: float | None = None
        self.idle_ttl_us = int(settings.caller_idle_ms * 1000)
        self._last_ident = 0
        self._commands_sent = 0  # number of commands sent to the pool
        self._commands_acknowledged = 0  # commands up to this number arrived: a later poll was answered
        self._commands_before_link = 0  # commands up to this number were sent before the link was bound
        # Unanswered polls: (poll number, number of the last command sent before it).
        self._pending_polls: deque[tuple[int, int]] = deque(maxlen=MAX_PENDING_POLLS)
        # Confirmed calls: request id -> number of the poll whose answer shows that all older notices have been read
        # (0 = no poll has been sent).
        self._confirmed_calls: dict[int, int] = {}
        self._inbox: list[Record | api.Event] = []
        self._deadlines = Deadlines(self.records)
        self._waiting_duplicates: dict[int, list[Record]] = {}  # id of a try -> duplicates waiting for it
        self._gauges: tuple[float, ...] = ()
        self._gauges_at_us = 0
        self._pending_wake: int | None = None  # token of the wake-up that waits for gauges
        self._wake_poll = 0  # number of the poll sent for that wake-up
        self._polls_sent = self._maintenance_runs = 0
        self._pending_checks: dict[str, tuple[FrontendConnection, int]] = {}
        self._action_handlers: dict[type, Callable[[Any], None]] = {
            api.Admit: self._admit,
            api.Refuse: self._refuse,
            api.Fail: self._fail,
            api.Suspend: self._suspend,
            api.Call: self._call,
            api.SkipCall: self._fail,
            api.Retain: self._retain,
            api.Forget: self._forget,
            api.Replay: self._replay,
            api.SetHealth: self._set_health,
            api.Advertise: self._advertise,
            api.KeepAlive: self._keep_alive,
            api.Wake: self._wake,
            api.Log: self._log,
        }
        event_loop.step = self.step

    def start(self) -> None:
        self.event_loop.call_after(MAINTENANCE_INTERVAL_US, self._run_maintenance)
        self.event_loop.call_after(0, self._announce_periodically)

    # Requests from front ends

    def submit(self, incoming: Incoming) -> int:
        """Accept a request. Return its id, or 0 if it was answered immediately."""
        self.counters["requests"] += 1
        request_class = self.settings.request_classes[incoming.class_index]
        if incoming.idempotency_key and request_class.effect is not Effect.KEYED:
            request_class = self._class_owed_to(incoming, request_class)
        keyed = request_class.effect is Effect.KEYED
        if incoming.txn in self.by_txn:
            self.counters["bad_txn"] += 1
            self._send(incoming, Answer(Verdict.FAILED))
            return 0
        # A duplicate of a request that has run adds no idempotency entry, so the byte limit does not apply to it.
        has_run = keyed and bool(self.idempotency_table.executed_try(incoming.idempotency_key))
        if len(self.records) >= self.max_requests or (
            keyed and not has_run and self.idempotency_table.size_bytes >= self.max_idempotency_bytes
        ):
            self.counters["table_full"] += 1
            self._turn_away(incoming, keyed, Answer(Verdict.REFUSED))
            return 0
        now = self.clock.now_us
        incoming.arrived_at_us = min(incoming.arrived_at_us, now)
        if keyed and self.idempotency_table.conflicts(incoming.idempotency_key, incoming.arrived_at_us, incoming.body):
            # The key belongs to another request (the bodies differ): its result must not go to this caller.
            self.counters["bad_keys"] += 1
            self._send(incoming, Answer(Verdict.FAILED))
            return 0
        if (
            keyed
            and self.keyed_run_control is not None
            and not has_run
            and (known_answer := self.keyed_run_control.find_answer(incoming)) is not None
        ):
            self._send(incoming, known_answer)
            return 0
        if self.draining and self.policy is None and not has_run:
            # Terminated before the pool was bound: this process makes no decisions and starts no runs.
            self.counters["refused_unbound"] += 1
            self._turn_away(incoming, keyed, Answer(Verdict.REFUSED))
            return 0
        if self.readiness.lease_expired and not has_run:
            # The lease has expired: the policy in force is unknown, and an outdated one must not decide.
            self.counters["refused_lapsed"] += 1
            self._turn_away(incoming, keyed, self._lease_expired_answer())
            return 0
        deadline_us = incoming.arrived_at_us + int(request_class.deadline_ms * 1000)
        if incoming.timeout_us:
            deadline_us = min(deadline_us, incoming.arrived_at_us + incoming.timeout_us)
        self._last_ident += 1
        record = Record(self._last_ident, incoming, max(deadline_us, now), request_class)
        if keyed:
            record.original_try = self.idempotency_table.register(
                incoming.idempotency_key, incoming.arrived_at_us, record.ident, incoming.body
            )
        self.records[record.ident] = self.by_txn[incoming.txn] = record
        self._deadlines.add(record.deadline_us + ANSWER_GUARD_US, record.ident)
        if not keyed or self.keyed_run_control is None or has_run or not self.keyed_run_control.will_answer(record):
            self._inbox.append(record)
        return record.ident

    def _turn_away(self, incoming: Incoming, keyed: bool, refusal: Answer) -> None:
        """Answer a try that is not accepted. One whose key has run, here or in another process of this node, fails:
        it must not be refused."""
        has_run = keyed and (
            bool(self.idempotency_table.executed_try(incoming.idempotency_key))
            or (self.keyed_run_control is not None and self.keyed_run_control.ran_in_other_process(incoming))
        )
        self._send(incoming, Answer(Verdict.FAILED) if has_run else refusal)

    def _class_owed_to(self, incoming: Incoming, request_class: RequestClass) -> RequestClass:
        """The class to apply to a try that has an idempotency key though its class is not keyed now. The request may
        have arrived, and run, while its class was keyed: then a further try must not run it again."""
        arrived_at_us = min(incoming.arrived_at_us, self.clock.now_us)
        window_ms = self.former_keyed_classes.owed_window_ms(incoming.class_index, arrived_at_us)
        if window_ms is None:
            key_is_known = self.idempotency_table.has_live(incoming.idempotency_key, arrived_at_us) or (
                self.keyed_run_control is not None and self.keyed_run_control.knows_key(incoming)
            )
            if not key_is_known:
                self.counters["keys_ignored"] += 1
                return request_class
            window_ms = 0.0  # its entry or claim has an end of its own
        self.counters["keys_still_owed"] += 1
        return as_keyed(request_class, window_ms)

    def abandon(self, ident: int) -> None:
        """The caller no longer waits: no answer is sent; idempotency entries stay."""
        record = self.records.get(ident)
        if record is None or record.answered:
            return
        self.counters["given_up"] += 1
        record.answered = True
        self._inbox.append(api.Abandoned(ident))
        self._remove_if_finished(record)

    def check(self, frontend: FrontendConnection, tag: int, deep: bool) -> None:
        self.counters["checks"] += 1
        if (
            deep
            and not self.uses_stored_health
            and self.policy_healthy
            and self.pool_linked
            and len(self._pending_checks) < MAX_PENDING_CHECKS
        ):
            token = f"c{self.counters['checks']}"
            self._pending_checks[token] = (frontend, tag)
            self.pool.verify(token)
            self.event_loop.call_after(1_000_000, lambda: self.verified(token, False))
            return
        frontend.answer_check(tag, self.healthy, self.feedback)

    @property
    def policy_healthy(self) -> bool:
        """Health as reported by the admission policy."""
        return self.readiness.policy_healthy

    @policy_healthy.setter
    def policy_healthy(self, value: bool) -> None:
        self.readiness.policy_healthy = value
        self.readiness.refresh()

    @property
    def healthy(self) -> bool:
        return self.readiness.accepts_work

    @property
    def in_flight(self) -> int:
        """Number of requests accepted and not yet answered."""
        return sum(not r.answered for r in self.records.values())

    # Notices from the worker pool

    def bound(self, fresh: bool, age_us: int) -> None:
        """The pool has started, ``age_us`` ago, cold (``fresh``) or warm. The admission policy starts at that time."""
        self.pool_linked, self._commands_before_link = True, self._commands_sent
        if self.policy is None and not self.draining:
            self.policy = Policy(replace(self.settings, fresh_start=fresh), self.seed)
            # Classes were removed before the pool was bound.
            if len(self.active_classes) < len(self.settings.request_classes):
                self.policy.update_settings(self.policy.settings, self.active_classes)
            self.readiness.serving = True
            self.readiness.refresh()
            self._apply(self.policy.step((self.clock.now_us - age_us) / 1000, []))
            self.announcer.announce(self.healthy)

    def link_lost(self) -> None:
        self.pool_linked = False
        self._pending_polls.clear()
        self.counters["links_lost"] += 1

    def link_restored(self) -> None:
        """Resend the commands that may not have arrived; all notices from the time without a link have been read.

        A command that was not written to a link did not arrive. For a written one this is unknown. Resending a
        ``spawn`` would start the run a second time if it ends just now, so only runs that are safe to repeat are
        spawned again; the others are left to end or to reach their deadline. A reply that was written is never
        resent, because it could reach the run's next call."""
        uncertain = range(self._commands_acknowledged + 1, self._commands_before_link + 1)
        for record in [r for r in self.records.values() if r.running]:
            # Outside phase NONE, a notice has shown that the spawn arrived.
            if record.spawn_number in uncertain and record.call_phase is call_phase.NONE:
                if record.spawn_written and record.request_class.effect is not Effect.SAFE:
                    self.counters["left_in_doubt"] += 1
                else:
                    self.counters["said_again"] += 1
                    self._spawn(record)
            if record.call_phase is call_phase.REPLIED:
                if record.reply is not None:
                    self.counters["said_again"] += 1
                    self._supply(record)
                elif record.supply_number in uncertain:
                    self._handle_uncertain_reply(record)
            if record.suspended and record.suspend_number in uncertain:
                self.counters["said_again"] += 1
                self._suspend_run(record)
        for ident in self._confirmed_calls:
            self._confirmed_calls[ident] = self._poll()
        for token in self._pending_checks:
            self.pool.verify(token)

    def _handle_uncertain_reply(self, record: Record) -> None:
        """The link broke before this reply was acknowledged. Repeat the call, since the backend knows whether the run
        still waits; do nothing if repeating could have an effect twice, or if the request has been answered."""
        if record.answered or record.request_class.effect is not Effect.SAFE:
            self.counters["left_in_doubt"] += 1
            record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.UNCERTAIN_ONCE]
        else:
            self.counters["calls_repeated"] += 1
            record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.UNCERTAIN_REPEATABLE]
            self._inbox.append(api.CallNeeded(record.ident))

    def _spawn(self, record: Record) -> None:
        self._commands_sent = record.spawn_number = self._commands_sent + 1
        record.spawn_written = self.pool.spawn(
            record.incoming.txn, self.settings.request_classes[record.incoming.class_index].name, record.incoming.body
        )

    def _supply(self, record: Record) -> None:
        self._commands_sent = record.supply_number = self._commands_sent + 1
        if record.reply is not None and self.pool.supply(record.incoming.txn, record.reply):
            record.reply = None
            if record.request_class.effect is not Effect.SAFE:
                record.call_body = None  # it is never repeated

    def _suspend_run(self, record: Record) -> None:
        record.suspended = True
        self._commands_sent = record.suspend_number = self._commands_sent + 1
        self.pool.suspend(record.incoming.txn)

    def _poll(self) -> int:
        self._polls_sent += 1
        self._pending_polls.append((self._polls_sent, self._commands_sent))
        self.pool.poll(str(self._polls_sent))
        return self._polls_sent

    def _poll_for_acknowledgement(self) -> None:
        """Poll the pool to have recent commands acknowledged, with at most one such poll in flight. The fewer commands
        are unacknowledged when the link breaks, the fewer are sent twice."""
        if self.pool_linked and not self._pending_polls and self._commands_sent > self._commands_acknowledged:
            self._poll()

    def finished(self, txn: str, outcome: Outcome, duration_ms: float, body: bytes) -> None:
        record = self.by_txn.get(txn)
        if record is None or not record.running:
            self.counters["late_ends"] += 1
            return
        self.counters[f"runs_{outcome.name.lower()}"] += 1
        record.running = False
        if record.call_phase is not call_phase.NONE:
            self._cancel_call(record)
            record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.RUN_ENDED]
            record.call_body = record.reply = None
        is_suspension = record.suspended and not record.answered and outcome is Outcome.CANCELLED
        record.suspended = False
        if (
            not is_suspension
            and self.keyed_run_control is not None
            and self.keyed_run_control.run_ended(record, outcome, body)
        ):
            pass  # answered by ``answer_run`` once other nodes store the result
        elif not is_suspension:
            if outcome is Outcome.MOOT:
                self.idempotency_table.release_unstarted(record.ident)
            elif record.request_class.effect is Effect.KEYED:
                self.idempotency_table.record_result(record.ident, outcome is Outcome.OK, body)
            self._answer_duplicates(record.ident, outcome is Outcome.OK, body)
            # ``_answer`` drops a result that arrives after the answer.
            self._answer(record, Answer(Verdict.SERVED if outcome is Outcome.OK else Verdict.FAILED, body=body))
            self._remove_if_finished(record)
        self._inbox.append(api.Finished(record.ident, duration_ms, outcome))

    # Called by the control of keyed runs (replicated.py, process_keys.py)

    def notify_policy(self, event: api.Event) -> None:
        """Add an event to the next step of the admission policy."""
        self._inbox.append(event)

    def start_claimed_run(self, record: Record) -> None:
        """Start the run of a try whose key this node has claimed."""
        self._admit(api.Admit(record.ident))

    def answer_without_run(self, record: Record, answer: Answer) -> None:
        """Answer a try that does not run in this process, and its duplicates on this node."""
        self._answer_duplicates(record.ident, answer.verdict is Verdict.SERVED, answer.body)
        self._answer(record, answer)
        self._remove_if_finished(record)

    def answer_run(self, record: Record, body: bytes | None) -> None:
        """Answer a finished run with its result, or fail it if ``body`` is None: no majority stores the result."""
        succeeded, body = body is not None, body or b""
        self.idempotency_table.record_result(record.ident, succeeded, body)
        self._answer_duplicates(record.ident, succeeded, body)
        self._answer(record, Answer(Verdict.SERVED if succeeded else Verdict.FAILED, body=body))
        self._remove_if_finished(record)

    def blocked(self, txn: str, body: bytes) -> None:
        record = self.by_txn.get(txn)
        if record is None or not record.running:
            return
        previous_phase = record.call_phase
        record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.BLOCKED]
        if record.call_phase is not call_phase.NEEDED or previous_phase is call_phase.NEEDED:
            return  # a repeated notice of a known call
        if previous_phase is call_phase.RETRY_NEEDED or previous_phase is call_phase.RETRY_SENT:
            self._end_resent_call(record, previous_phase)
        record.call_body, record.reply = body, None
        if record.answered:  # the run is stopped; its call is not needed
            self._suspend_run(record)
        self._inbox.append(api.CallNeeded(record.ident))

    def _end_resent_call(self, record: Record, before: CallPhase) -> None:
        """The run makes its next call, so it has received the uncertain reply; the repeated call is not needed."""
        elapsed_us = 0
        if before is call_phase.RETRY_SENT:
            elapsed_us = self.clock.now_us - record.call_sent_at_us
            if self.backend is not None:
                self.backend.cancel(record.ident)
        self._inbox.append(api.CallEnded(record.ident, Outcome.OK, elapsed_us / 1000))

    def polled(self, token: str, gauges: tuple[float, ...]) -> None:
        self._gauges, self._gauges_at_us = gauges, self.clock.now_us
        number = int(token) if token.isdecimal() else 0
        while self._pending_polls and self._pending_polls[0][0] < number:
            self._pending_polls.popleft()
        # A link preserves order, so all commands sent before the poll have arrived.
        if self._pending_polls and self._pending_polls[0][0] == number:
            self._commands_acknowledged = self._pending_polls.popleft()[1]
            if number >= self._wake_poll:
                self._deliver_wake(self._pending_wake)
        if self._confirmed_calls:
            self._supply_confirmed(number)

    def _supply_confirmed(self, number: int) -> None:
        """Poll ``number`` was answered, so runs whose calls were confirmed before it still wait for the replies."""
        for ident in [
            ident for ident, confirming_poll in self._confirmed_calls.items() if 0 < confirming_poll <= number
        ]:
            del self._confirmed_calls[ident]
            record = self.records.get(ident)
            if record is not None and record.call_phase is call_phase.CONFIRMED:
                record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.NOTICES_READ]
                self._supply(record)

    def verified(self, token: str, good: bool) -> None:
        if check := self._pending_checks.pop(token, None):
            check[0].answer_check(check[1], good and self.healthy, self.feedback)

    def command_unknown(self, command: str, txn: str) -> None:
        """The pool did not execute a command. A spawn that it rejected ends as a run that never started."""
        self.counters[f"unknown_{command}"] += 1
        if command == "spawn":
            self.finished(txn, Outcome.MOOT, 0.0, b"")

    # Notices from the backend client

    def call_ended(self, ident: int, outcome: Outcome, body: bytes) -> None:
        record = self.records.get(ident)
        if record is None or record.call_phase not in call_phase.SENT_PHASES:
            return
        self.counters[f"calls_{outcome.name.lower()}"] += 1
        if outcome is Outcome.OK:
            record.reply = body
            record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.REPLY]
            if record.call_phase is call_phase.REPLIED:
                self._supply(record)
            else:
                self._confirmed_calls[ident] = self._poll() if self.pool_linked else 0
        else:
            record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.NO_REPLY]
        self._inbox.append(api.CallEnded(ident, outcome, (self.clock.now_us - record.call_sent_at_us) / 1000))

    def call_not_awaited(self, ident: int) -> None:
        """The backend declined the call, since no run waits for it. A run whose reply was uncertain has received it."""
        record = self.records.get(ident)
        if record is None or record.call_phase is not call_phase.RETRY_SENT:
            self.call_ended(ident, Outcome.TURNED_AWAY, b"")
            return
        self.counters["replies_found"] += 1
        record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.NOT_AWAITED]
        self._inbox.append(api.CallEnded(ident, Outcome.OK, (self.clock.now_us - record.call_sent_at_us) / 1000))

    # Called by the program

    def drain(self, stop_ms: float, handover: bool = False) -> None:
        """Finish all requests within ``stop_ms``. With ``handover``, another process of this node keeps serving the
        same listening socket, and only that one reports to the announce service."""
        if self.draining:
            return
        self.draining = self.readiness.terminating = True
        self.stop_at_us = self.clock.now_us + int(max(0.0, stop_ms - STOP_MARGIN_MS) * 1000)
        self.readiness.handover = handover
        self.readiness.refresh()
        if not handover:
            self.announcer.announce(False)
        for frontend in list(self.frontend_connections):
            frontend.drain()
        if self.policy is None:
            # The pool is not bound yet, so nothing has run: refuse at once, so that callers can try other nodes.
            for record in [r for r in self.records.values() if not r.answered]:
                self.counters["refused_unbound"] += 1
                self._answer(record, Answer(Verdict.REFUSED if self._may_refuse(record) else Verdict.FAILED))
                self._remove_if_finished(record)
            self._inbox.clear()
            return
        # The policy answers all requests before the stop time that it is given. The margin allows for a last periodic
        # check of the policy just before that time and for a slow final write.
        self._inbox.append(api.Drain(max(0.0, stop_ms - STOP_MARGIN_MS)))

    def end_handover(self) -> None:
        """While this process finishes its requests, no other one serves any more: it reports that the node leaves."""
        self.readiness.handover = False
        self.readiness.refresh()
        self.report()

    def update_settings(self, settings: Settings, active_classes: list[int]) -> None:
        """Apply new settings (``settings.merge_settings``). Requests in flight keep their class and deadline."""
        self.former_keyed_classes.settings_replaced(self.settings)
        self.settings, self.active_classes = settings, active_classes
        # A key that ran is kept for the longer of the two windows, since duplicates may arrive within either.
        self.idempotency_table.extend_windows(
            {
                index: int((request_class.idempotency_window_ms + settings.tick_ms) * 1000)
                for index, request_class in enumerate(settings.request_classes)
                if request_class.effect is Effect.KEYED
            }
        )
        for counts in self.counts_by_class.values():
            counts.extend([0] * (len(settings.request_classes) - len(counts)))
        if self.policy is not None:
            self.policy.update_settings(replace(settings, fresh_start=self.policy.settings.fresh_start), active_classes)

    def validate_settings(self, settings: Settings, active_classes: list[int]) -> None:
        """Build an admission policy with these settings, so that invalid ones raise; the core itself is unchanged.
        Tenants are left out: the cost of their tables grows with their number, and they cannot be invalid here."""
        Policy(replace(self.settings, tenants=[]), self.seed).update_settings(
            replace(settings, tenants=[]), active_classes
        )

    def tenants_changed(self) -> None:
        """Have the admission policy extend its tables: tenants in ``settings`` were changed or added."""
        if self.policy is not None:
            self.policy.update_settings(self.policy.settings, self.active_classes)

    def begin_drain(self) -> None:
        """Start an operator's drain: health checks and reports say not ready; requests that still arrive are served."""
        if self.readiness.begin_drain():
            self.counters["drains"] += 1
            if self.keyed_run_control is not None:
                self.keyed_run_control.set_drained(True)
            self.report()

    def end_drain(self) -> None:
        """End an operator's drain: the node is ready again from the next health check on."""
        if self.readiness.end_drain():
            self.counters["undrains"] += 1
            if self.keyed_run_control is not None:
                self.keyed_run_control.set_drained(False)
            self.report()

    # Lease on the policy in force

    def set_lease_expired(self, expired: bool) -> None:
        """Set whether the lease has expired, so that the policy in force is unknown. While it has, new requests are
        refused, and so are all that have not started to run: admitting them could follow an outdated policy."""
        if expired == self.readiness.lease_expired:
            return
        self.readiness.lease_expired = expired
        self.readiness.refresh()
        self.counters["lapses"] += expired
        if expired:
            for record in [r for r in self.records.values() if not (r.answered or r.running)]:
                if self._may_refuse(record):
                    self.counters["refused_lapsed"] += 1
                    self._answer(record, self._lease_expired_answer())
                    self._inbox.append(api.Abandoned(record.ident))
                    self._remove_if_finished(record)
        self.report()

    def _may_refuse(self, record: Record) -> bool:
        """Whether a refusal is correct: a request with effects must not have started on this node, in any process."""
        effect = record.request_class.effect
        if record.spawn_number and effect is not Effect.SAFE:
            return False
        return effect is not Effect.KEYED or not (
            self.idempotency_table.executed_try(record.incoming.idempotency_key)
            or (
                self.keyed_run_control is not None
                and (
                    self.keyed_run_control.will_answer(record)
                    or self.keyed_run_control.ran_in_other_process(record.incoming)
                )
            )
        )

    def _lease_expired_answer(self) -> Answer:
        delay_ms = (
            min(LEASE_RETRY_AFTER_MS, self.settings.max_retry_after_ms or LEASE_RETRY_AFTER_MS)
            if self.settings.retry_after
            else 0.0
        )
        return Answer(Verdict.REFUSED, retry_after_ms=int(delay_ms))

    @property
    def idle(self) -> bool:
        return not any(not r.answered for r in self.records.values())

    # Event-loop iterations

    def step(self) -> bool:
        """Handle expired deadlines, then run one step of the admission policy with all events received.

        Return whether another iteration is needed."""
        now = self.clock.now_us
        for ident in self._deadlines.pop_due(now):
            record = self.records.get(ident)
            if record is not None and not record.answered:
                # The policy did not answer in time: the pool is not bound yet, or the policy failed.
                self.counters["answered_by_guard"] += 1
                self._answer(record, Answer(Verdict.FAILED, late=True))
                self._inbox.append(api.Abandoned(record.ident))
                self._remove_if_finished(record)
        if self.policy is None or not self._inbox:
            self._poll_for_acknowledgement()
            return False
        inbox, self._inbox = self._inbox, []
        events = [self._arrival(item) if isinstance(item, Record) else item for item in inbox]
        try:
            actions = self.policy.step(now / 1000, events)
        except Exception:  # a policy fault must not stop the node; requests it lost are answered at ANSWER_GUARD_US
            self.counters["brain_faults"] += 1
            if self.counters["brain_faults"] <= MAX_LOGGED_FAULTS:
                log.exception("admission policy failed on %d events", len(events))
            # The lost events may include the policy's own wake-up, without which it would run no more periodic checks.
            self.event_loop.call_after(MAINTENANCE_INTERVAL_US, lambda: self._inbox.append(api.Woken(1, self.gauges)))
            return False
        self._apply(actions)
        self._poll_for_acknowledgement()
        return bool(self._inbox)

    def _apply(self, actions: list[api.Action]) -> None:
        for policy_action in actions:
            try:
                self._action_handlers[type(policy_action)](policy_action)
            except Exception:  # the remaining actions of the step are still applied
                self.counters["action_faults"] += 1
                log.exception("policy action %s failed", policy_action)

    def _arrival(self, record: Record) -> api.Arrival:
        incoming = record.incoming
        remaining_ms = max(0.001, (record.deadline_us - self.clock.now_us) / 1000) if incoming.timeout_us else None
        arrival = api.Arrival(
            record.ident,
            incoming.class_index,
            incoming.tenant,
            incoming.item_id,
            remaining_ms,
            incoming.work_ms,
            incoming.memory_kb,
            incoming.rank,
            retry=incoming.retry,
            caller=incoming.caller,
            age_ms=(self.clock.now_us - incoming.arrived_at_us) / 1000,
            duplicate_of=record.original_try,
            write=record.request_class.effect is not Effect.SAFE,
        )
        if record.request_class is not self.settings.request_classes[incoming.class_index]:
            arrival.request_class = record.request_class
        return arrival

    def _run_maintenance(self) -> None:
        self.event_loop.call_after(MAINTENANCE_INTERVAL_US, self._run_maintenance)
        if self._maintenance_runs % 40 == 0:  # about once a second
            self.idempotency_table.purge_expired()
            # Deadlines before this time: the end of the run is no longer expected.
            lost_before_us = self.clock.now_us - LOST_RUN_TIMEOUT_US
            for record in [r for r in self.records.values() if r.answered and r.deadline_us < lost_before_us]:
                self._inbox.append(api.Finished(record.ident, 0.0, Outcome.CANCELLED))
                record.running = False
                self._remove_if_finished(record)
        self._maintenance_runs += 1

    def _announce_periodically(self) -> None:
        self.clock.sync_unix_offset()
        self.event_loop.call_after(ANNOUNCE_INTERVAL_US, self._announce_periodically)
        self.report()

    def report(self) -> None:
        if self.policy is not None and self.readiness.announces:
            self.announcer.announce(self.healthy)

    # Actions of the admission policy

    def _admit(self, action: api.Admit) -> None:
        record = self.records.get(action.id)
        if record is None or record.answered:
            self._inbox.append(api.Finished(action.id, 0.0, Outcome.MOOT))
            return
        if record.running:
            return
        request_class, incoming = record.request_class, record.incoming
        if request_class.effect is Effect.KEYED:
            if self.idempotency_table.executed_try(incoming.idempotency_key) not in (0, record.ident):
                # Another try of the key has run; a key runs only once, whatever the policy decides.
                self.counters["second_runs_stopped"] += 1
                self._replay(api.Replay(action.id))
                return
            if self.keyed_run_control is not None and not self.keyed_run_control.may_run(record):
                return  # it runs as soon as its key is claimed
            window_ms = max(
                request_class.idempotency_window_ms,
                self.settings.request_classes[incoming.class_index].idempotency_window_ms,
            )  # the class as it was at arrival and as it is after a SIGHUP
            expires_at_us = incoming.arrived_at_us + int((window_ms + self.settings.tick_ms) * 1000)
            self.idempotency_table.record_start(
                incoming.idempotency_key,
                record.ident,
                expires_at_us,
                incoming.body,
                incoming.class_index,
                incoming.arrived_at_us,
            )
        record.running = True
        self.counters["spawned"] += 1
        self.counts_by_class["attempts"][incoming.class_index] += 1
        self._spawn(record)

    def _refuse(self, action: api.Refuse) -> None:
        if record := self.records.get(action.id):
            if self.keyed_run_control is not None and self.keyed_run_control.will_answer(record):
                return  # its key has run in another process of this node: it must not be refused
            # Within two ticks of the deadline, a refusal counts as caused by it.
            late = record.deadline_us - self.clock.now_us <= 2000 * self.settings.tick_ms
            self._answer(
                record,
                Answer(
                    Verdict.REFUSED,
                    retry_after_ms=ceil(action.retry_after_ms),
                    final=action.final,
                    late=late,
                ),
            )
            self._remove_if_finished(record)

    def _fail(self, action: api.Fail | api.SkipCall) -> None:
        if record := self.records.get(action.id):
            late = record.deadline_us - self.clock.now_us <= 2000 * self.settings.tick_ms
            self._answer(record, Answer(Verdict.FAILED, late=late))
            self._remove_if_finished(record)

    def _suspend(self, action: api.Suspend) -> None:
        record = self.records.get(action.id)
        if record is not None and record.running:
            self.counters["suspended"] += 1
            self._cancel_call(record)
            self._suspend_run(record)
        elif record is not None and self.keyed_run_control is not None:
            self.keyed_run_control.run_suspended(record)

    def _call(self, action: api.Call) -> None:
        record = self.records.get(action.id)
        if record is None or record.call_body is None or record.call_phase not in call_phase.SENDABLE:
            return
        record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.SENT]
        record.call_sent_at_us = self.clock.now_us
        self.counters["calls"] += 1
        if self.backend is None:
            self.call_ended(action.id, Outcome.UNREACHABLE, b"")
        else:
            self.backend.call(
                action.id,
                record.incoming.txn,
                int(action.timeout_ms * 1000),
                record.call_body,
                record.request_class.effect is not Effect.SAFE,
            )

    def _retain(self, action: api.Retain) -> None:
        record = self.records.get(action.id)
        # A record with another effect arrived before reloaded settings made its class keyed; it is not retained.
        if record is not None and record.request_class.effect is Effect.KEYED:
            incoming = record.incoming
            self.idempotency_table.retain(incoming.idempotency_key, action.id, int(action.ttl_ms * 1000), incoming.body)

    def _forget(self, action: api.Forget) -> None:
        self.idempotency_table.forget(action.id)

    def _replay(self, action: api.Replay) -> None:
        if not (record := self.records.get(action.id)):
            return
        self.counters["replays"] += 1
        executed_try = self.idempotency_table.executed_try(record.incoming.idempotency_key) or record.original_try
        result = self.idempotency_table.result(executed_try)
        if result is not None:
            self._serve_replay(record, *result)
        elif executed_try in self.records and executed_try != record.ident:
            self._waiting_duplicates.setdefault(executed_try, []).append(record)
        else:
            self._serve_replay(record, False, b"")

    def _set_health(self, action: api.SetHealth) -> None:
        # Sets the fields directly, not through the ``policy_healthy`` property: many policy steps include this action,
        # and another call would be measurable.
        ready, self.uses_stored_health = self.readiness, action.stored
        if action.healthy != ready.policy_healthy:
            ready.policy_healthy = action.healthy
            ready.refresh()
            self.report()

    def _advertise(self, action: api.Advertise) -> None:
        self.feedback = action.value

    def _keep_alive(self, action: api.KeepAlive) -> None:
        self.idle_ttl_us = int(action.ttl_ms * 1000) or int(self.settings.caller_idle_ms * 1000)

    def _wake(self, action: api.Wake) -> None:
        self.event_loop.call_at(int(action.at_ms * 1000), lambda: self._poll_before_wake(action.token))

    def _log(self, action: api.Log) -> None:
        log.info("%s", action.text)

    # Wake-ups, delivered with current gauges

    def _poll_before_wake(self, token: int) -> None:
        self._pending_wake = token
        if not self.pool_linked:
            self._deliver_wake(token)
            return
        poll_number = self._wake_poll = self._poll()
        self.event_loop.call_after(
            POLL_TIMEOUT_US, lambda: self._deliver_wake(token if poll_number == self._wake_poll else None)
        )

    def _deliver_wake(self, token: int | None) -> None:
        """Deliver a wake-up once, on the pool's answer to its poll or on the timeout."""
        if token is not None and self._pending_wake == token:
            self._pending_wake = None
            self._inbox.append(api.Woken(token, self.gauges))

    @property
    def gauges(self) -> tuple[float, ...]:
        """The last gauges of the pool, or none if they are stale; the policy then relies on its own runs."""
        return self._gauges if self._gauges_at_us >= self.clock.now_us - GAUGES_STALE_AFTER_US else ()

    # Answers

    def _answer(self, record: Record, answer: Answer) -> None:
        if record.answered:
            return
        record.answered = True
        self._send(record.incoming, answer)
        if record.running and record.call_phase in call_phase.WAITING_FOR_REPLY:
            # The run of an answered request is stopped at its call, which frees its core and memory.
            self._cancel_call(record)
            self._suspend_run(record)

    def _send(self, incoming: Incoming, answer: Answer) -> None:
        self.counters[answer.verdict.value] += 1
        self.counts_by_class[answer.verdict.value][incoming.class_index] += 1
        answer.feedback = self.feedback
        incoming.connection.answer(incoming.tag, answer)

    def _remove_if_finished(self, record: Record) -> None:
        """Remove the record of a request that is answered and has no run."""
        if record.answered and not record.running and record.ident in self.records:
            del self.records[record.ident]
            del self.by_txn[record.incoming.txn]
            self._answer_duplicates(record.ident, False, b"")

    def _answer_duplicates(self, ident: int, good: bool, body: bytes) -> None:
        for duplicate in self._waiting_duplicates.pop(ident, ()):
            self._serve_replay(duplicate, good, body)

    def _serve_replay(self, record: Record, good: bool, body: bytes) -> None:
        if not record.answered:
            self._answer(record, Answer(Verdict.SERVED if good else Verdict.FAILED, body=body))
            self._inbox.append(api.Finished(record.ident, 0.0, Outcome.OK if good else Outcome.ERROR))
            self._remove_if_finished(record)

    def _cancel_call(self, record: Record) -> None:
        if record.call_phase in call_phase.SENT_PHASES and self.backend is not None:
            self.backend.cancel(record.ident)
        record.call_phase = NEXT_CALL_PHASE[record.call_phase][call_phase.CANCEL]
