"""Records the requests to replicas and what they did during a day, and checks the guarantees of idempotency keys:

* no key runs twice within its window, whichever node is asked;
* every later answer for a key gives the result of the first, and no result is lost while a quorum of the key's group
  keeps its memory;
* all copies are equal once the faults have ended.

Times are microseconds of the simulation's clock. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ...quorum import majority_size
from .replica_faults import Mix


@dataclass
class Run:
    """A run of a key by a node. ``arrived_at``: the arrival time of its try, by the node's clock."""

    key: str
    node: str
    incarnation: int
    at: int
    arrived_at: int
    body: bytes
    answered_at: int = -1


@dataclass
class History:
    """All that is recorded of a day."""

    runs: list[Run] = field(default_factory=list)
    served: list[tuple[int, str, bytes]] = field(default_factory=list)  # (at, key, body): answers to duplicates
    refused: int = 0
    try_count: int = 0
    # final reads after the faults: (key, node, outcome, body)
    last: list[tuple[str, str, str, bytes]] = field(default_factory=list)
    memory_loss: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # node: intervals without full memory
    catch_ups: list[int] = field(default_factory=list)
    unequal_copies: list[str] = field(default_factory=list)
    groups: dict[str, tuple[str, ...]] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)
    end: int = 0


def answered(history: History) -> dict[str, tuple[int, bytes]]:
    """For each key whose result was answered, to its own try or a duplicate: time and body of the first answer."""
    answers: dict[str, tuple[int, bytes]] = {}
    for at, key, body in sorted(
        [(run.answered_at, run.key, run.body) for run in history.runs if run.answered_at >= 0] + history.served
    ):
        answers.setdefault(key, (at, body))
    return answers


def quorum_kept_memory(history: History, key: str, since: int) -> bool:
    """Whether a quorum of the key's group had full memory at each moment from ``since`` on."""
    group = history.groups[key]
    intervals = [(lo, hi) for member in group for lo, hi in history.memory_loss.get(member, []) if hi >= since]
    for moment in {since, *(lo for lo, _ in intervals)}:
        if sum(lo <= moment <= hi for lo, hi in intervals) > len(group) - majority_size(group):
            return False
    return True


def check(history: History, mix: Mix) -> list[str]:
    """The violations, one line each."""
    runs: dict[str, list[Run]] = {}
    for run in history.runs:
        runs.setdefault(run.key, []).append(run)
    violations = _second_runs(runs, mix) + _foreign_results(history, runs)
    if mix.window > mix.length:
        violations += _lost_results(history)
        violations += [f"copies differ: {pair}" for pair in history.unequal_copies]
    return violations


def _second_runs(runs: dict[str, list[Run]], mix: Mix) -> list[str]:
    violations = []
    for key, key_runs in runs.items():
        key_runs.sort(key=lambda run: run.at)
        violations += [
            f"{key}: run at {b.at} us by {b.node}/{b.incarnation} inside the window of the run at {a.at} by "
            f"{a.node}/{a.incarnation}"
            for a, b in zip(key_runs, key_runs[1:], strict=False)
            if b.arrived_at <= a.arrived_at + mix.window
        ]
    return violations


def _foreign_results(history: History, runs: dict[str, list[Run]]) -> list[str]:
    bodies = {key: {run.body for run in key_runs} for key, key_runs in runs.items()}
    return [
        f"{key}: served {body!r}, which no run gave"
        for _, key, body in history.served
        if body not in bodies.get(key, ())
    ]


def _lost_results(history: History) -> list[str]:
    answers = answered(history)
    return [
        f"{key}: answered at {answers[key][0]} us, but {node} at the end has {what} {body!r}"
        for key, node, what, body in history.last
        if (what, body) != ("served", answers[key][1]) and quorum_kept_memory(history, key, answers[key][0])
    ]
