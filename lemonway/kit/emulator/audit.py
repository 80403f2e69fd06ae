"""Checks every try of a day against the four safety rules, from outside the node: lost, duplicate, drain, fall-over
(WIRE, 'Four things never to do'; PROTOCOL, 'The rules on sockets').

The audit is told which requests arrived, were read, ran and were answered. It must not read the state of the core."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from ...interface import Settings
from ...net.ports import Verdict
from .requests import Try
from .state.pool import result_of

RULES = ("lost", "duplicate", "drain", "fall-over")


@dataclass
class Breach:
    """One violation of a rule. ``at_us`` is a time of the loop; ``attempt`` is the try concerned, if there is one."""

    rule: str
    node: str
    at_us: int
    reason: str
    attempt: Try | None = None

    def lines(self, zero: int) -> list[str]:
        """The violation and the log of its try as text lines; times are relative to ``zero``, in microseconds."""
        head = f"{self.rule}: {self.node} at {(self.at_us - zero) / 1e6:.3f} s: {self.reason}"
        if self.attempt is None:
            return [head]
        request = self.attempt.request
        details = [
            f"  request {request.number}, try {self.attempt.txn}, class {request.class_index}, "
            f"tenant {request.tenant}, key {request.idempotency_key or '-'}, "
            f"sent {(self.attempt.sent_at_us - zero) / 1e6:.6f} s by router {self.attempt.router}"
        ]
        return [head, *details, *(f"    {(at - zero) / 1e6:12.6f} s  {what}" for at, what in self.attempt.log)]


@dataclass
class IncarnationRecord:
    """What one node process did. ``drained_at_us`` and ``ended_at_us`` are -1 while that has not happened."""

    node: str
    started_at_us: int
    tries: list[Try] = field(default_factory=list)
    last_run: dict[str, Try] = field(default_factory=dict)  # by idempotency key: the try that ran last
    results: dict[str, bytes] = field(default_factory=dict)  # by idempotency key: the result of a completed run
    completed_txns: set[str] = field(default_factory=set)  # ids of the tries whose run returned a result
    drained_at_us: int = -1
    ended_at_us: int = -1
    end_reason: str = ""  # killed, stopped, left (exited by itself) or fell (overload)


class Audit:
    """Records what happened to each try and collects the rule violations."""

    def __init__(self, settings: Settings, slack: int = 0) -> None:
        """``slack``: microseconds added to each time limit; 50 ms on sockets (PROTOCOL, the rules on sockets)."""
        self.settings = settings
        self.answer_grace_us = int(settings.answer_grace_ms * 1000) + slack
        self.deadlines_us = [int(request_class.deadline_ms * 1000) for request_class in settings.request_classes]
        self.idempotency_windows_us = [
            int(request_class.idempotency_window_ms * 1000) for request_class in settings.request_classes
        ]
        self.class_names = [request_class.name.encode() for request_class in settings.request_classes]
        self.drain_grace_us = int(settings.drain_grace_ms * 1000) + slack
        self.breaches: list[Breach] = []
        self.answers_checked = 0

    def add_breach(
        self, rule: str, record: IncarnationRecord, at: int, reason: str, attempt: Try | None = None
    ) -> None:
        self.breaches.append(Breach(rule, record.node, at, reason, attempt))

    def read(self, record: IncarnationRecord, attempt: Try, now: int) -> None:
        attempt.read_at_us = now
        attempt.due_at_us = max(attempt.arrived_at_us + self.deadlines_us[attempt.request.class_index], now)
        attempt.note(now, "read")
        record.tries.append(attempt)

    def run_started(self, record: IncarnationRecord, attempt: Try, now: int) -> None:
        attempt.run_count += 1
        attempt.note(now, "run")
        if record.drained_at_us >= 0 and attempt.arrived_at_us > record.drained_at_us + self.drain_grace_us:
            late = (attempt.arrived_at_us - record.drained_at_us) / 1e6
            self.add_breach(
                "drain", record, now, f"run although it arrived {late:.3f} s after the drain notice", attempt
            )
        request = attempt.request
        if not request.keyed:
            return
        if attempt.answered_at_us >= 0 and attempt.verdict == Verdict.REFUSED.value:
            self.add_breach("duplicate", record, now, "run after its refusal", attempt)
        previous = record.last_run.get(request.idempotency_key)
        if (
            previous is not None
            and attempt.arrived_at_us <= previous.arrived_at_us + self.idempotency_windows_us[request.class_index]
        ):
            what = "the same try" if previous is attempt else f"try {previous.txn}"
            self.add_breach("duplicate", record, now, f"run twice within its window: {what} ran before", attempt)
        record.last_run[request.idempotency_key] = attempt

    def run_ended(self, record: IncarnationRecord, attempt: Try, succeeded: bool, result: bytes, now: int) -> None:
        attempt.note(now, "run over" if succeeded else "run ended without a result")
        if succeeded:
            record.completed_txns.add(attempt.txn)
            if attempt.request.keyed:
                record.results[attempt.request.idempotency_key] = result

    def answered(self, record: IncarnationRecord, attempt: Try, verdict: Verdict, body: bytes, now: int) -> None:
        attempt.note(now, f"answered {verdict.value}")
        self.answers_checked += 1
        if attempt.answered_at_us >= 0:
            self.add_breach(
                "duplicate", record, now, f"answered twice: {attempt.verdict}, then {verdict.value}", attempt
            )
            return
        attempt.answered_at_us, attempt.verdict = now, verdict.value
        if now > attempt.due_at_us + self.answer_grace_us:
            self.add_breach(
                "lost", record, now, f"answered {(now - attempt.due_at_us) / 1e6:.3f} s past its due time", attempt
            )
        request = attempt.request
        if verdict is Verdict.REFUSED and request.keyed:
            last_run = record.last_run.get(request.idempotency_key)
            if last_run is not None and (
                last_run is attempt
                or attempt.arrived_at_us <= last_run.arrived_at_us + self.idempotency_windows_us[request.class_index]
            ):
                self.add_breach("duplicate", record, now, "refused after a run of its key", attempt)
        if verdict is Verdict.SERVED:
            completed = (
                request.idempotency_key in record.results if request.keyed else attempt.txn in record.completed_txns
            )
            if not completed or body != result_of(self.class_names[request.class_index].decode(), attempt):
                self.add_breach("lost", record, now, "served with something that no run made for it", attempt)

    def stopped(self, record: IncarnationRecord, now: int, end_reason: str) -> None:
        """Record the end of the process. Tries left unanswered by a crash break no rule unless they were due before."""
        record.ended_at_us, record.end_reason = now, end_reason
        for attempt in record.tries:
            if attempt.answered_at_us >= 0 or attempt.connection_lost:
                continue
            if attempt.due_at_us + self.answer_grace_us < now:
                self.add_breach("lost", record, now, "no answer by its due time", attempt)
            elif end_reason in ("stopped", "left"):
                self.add_breach("drain", record, now, "read, and not answered before the process was stopped", attempt)

    def overloaded(self, record: IncarnationRecord, now: int, reason: str) -> None:
        self.add_breach("fall-over", record, now, reason)

    def close(self, records: Iterable[IncarnationRecord], now: int) -> None:
        """Check at the end of the day that every try that has fallen due was answered."""
        for record in records:
            if record.ended_at_us >= 0:
                continue
            for attempt in record.tries:
                if (
                    attempt.answered_at_us < 0
                    and not attempt.connection_lost
                    and attempt.due_at_us + self.answer_grace_us < now
                ):
                    self.add_breach("lost", record, now, "no answer by its due time", attempt)

    def count_by_rule(self) -> dict[str, int]:
        """The number of violations by rule."""
        counts = dict.fromkeys(RULES, 0)
        for breach in self.breaches:
            counts[breach.rule] += 1
        return counts
