"""Records the requests to several node processes and what they did, and checks the guarantees of idempotency keys. No
I/O."""

from __future__ import annotations

from dataclasses import asdict, dataclass, field
from typing import Any


@dataclass
class Call:
    """A try with an idempotency key, and its answer. Times in seconds of one clock; ``door`` is the arrival time,
    ``word`` the outcome (empty without an answer), ``later`` the retry delay of a refusal."""

    key: str
    node: str
    sent: float
    door: float
    answered: float = -1.0
    word: str = ""
    body: str = ""
    later: str = ""


@dataclass
class Spawned:
    """A node started a run of a try on its worker pool. ``door`` is the arrival time of the try."""

    key: str
    node: str
    at: float
    door: float
    result: str


@dataclass
class Event:
    """A fault or another event of the test, for the written history."""

    at: float
    what: str


@dataclass
class History:
    """All that is recorded of a day."""

    window: float  # seconds
    calls: list[Call] = field(default_factory=list)
    runs: list[Spawned] = field(default_factory=list)
    events: list[Event] = field(default_factory=list)
    reads: list[Call] = field(default_factory=list)  # requests without a key
    memory_loss: list[tuple[str, float, float]] = field(default_factory=list)  # (node, from, to): without full memory
    groups: dict[str, list[str]] = field(default_factory=dict)
    last: list[Call] = field(default_factory=list)  # final reads of every answered key from every node
    catch_ups: list[float] = field(default_factory=list)  # seconds
    unequal_copies: list[str] = field(default_factory=list)

    def rows(self) -> list[dict[str, Any]]:
        """The calls, runs and events as JSON objects, sorted by time."""
        rows = [{"kind": "call", "at": c.sent, **asdict(c)} for c in self.calls + self.last]
        rows += [{"kind": "run", **asdict(r)} for r in self.runs]
        rows += [{"kind": "event", **asdict(e)} for e in self.events]
        return sorted(rows, key=lambda row: float(row["at"]))

    def quorum_kept_memory(self, key: str, since: float) -> bool:
        """Whether a quorum of the key's group had full memory at each moment from ``since`` on."""
        group = self.groups[key]
        intervals = [(lo, hi) for node, lo, hi in self.memory_loss if node in group and hi >= since]
        max_missing = len(group) - (len(group) // 2 + 1)
        return all(
            sum(lo <= moment <= hi for lo, hi in intervals) <= max_missing
            for moment in {since, *(lo for lo, _ in intervals if lo > since)}
        )


def check(history: History, catch_up_bound: float) -> list[str]:
    """The violations, one line each."""
    violations = []
    runs: dict[str, list[Spawned]] = {}
    for run in sorted(history.runs, key=lambda r: r.at):
        runs.setdefault(run.key, []).append(run)
    for key, key_runs in runs.items():
        violations += [
            f"{key}: run on {b.node} at {b.at:.3f} inside the window of the run on {a.node} at {a.at:.3f}"
            for a, b in zip(key_runs, key_runs[1:], strict=False)
            if b.door <= a.door + history.window
        ]
    answered: dict[str, Call] = {}
    arrived_at = {run.result: run.door for run in history.runs}
    for call in sorted(history.calls, key=lambda c: c.answered):
        if call.word != "SERVED":
            continue
        if call.body not in {r.result for r in runs.get(call.key, ())}:
            violations.append(f"{call.key}: {call.node} served {call.body!r}, which no run gave")
        first = answered.setdefault(call.key, call)
        if call.body != first.body and call.door <= arrived_at.get(first.body, first.door) + history.window:
            violations.append(f"{call.key}: {call.node} served {call.body!r}, {first.node} before it {first.body!r}")
    for call in history.calls + history.last:
        if not call.word and not any(node == call.node and lo >= call.sent for node, lo, _ in history.memory_loss):
            violations.append(f"{call.key}: a try at {call.node} at {call.sent:.3f} got no answer")
    for call in history.last:
        first_answer = answered.get(call.key)
        if (
            first_answer is not None
            and call.door > arrived_at.get(first_answer.body, first_answer.door) + history.window
        ):
            continue  # in a new window the key may run again
        if (
            first_answer is not None
            and (call.word, call.body) != ("SERVED", first_answer.body)
            and history.quorum_kept_memory(call.key, first_answer.answered)
        ):
            violations.append(
                f"{call.key}: {first_answer.node} answered {first_answer.body!r} at {first_answer.answered:.3f}, but "
                f"at the end {call.node} says {call.word or 'nothing'} {call.body!r}"
            )
    violations += [f"caught up only after {took:.2f} s" for took in history.catch_ups if took > catch_up_bound]
    violations += [f"copies differ after the faults: {pair}" for pair in history.unequal_copies]
    return violations
