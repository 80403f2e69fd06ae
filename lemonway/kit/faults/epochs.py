"""Records which policy each node served at which time, as observed by clients, and checks the guarantees of a policy
change. No I/O.

Policy change n adds a request class of its own, ``mark<n>``, and removes the previous one. A node serves epoch n at the
times at which it serves a request of that class; what the node reports about itself is not used."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass
class Probe:
    """A request for the request class ``mark`` of one change. Times in seconds; ``word`` is the outcome, empty without
    an answer."""

    node: str
    mark: str
    sent: float
    answered: float = -1.0
    word: str = ""


@dataclass
class Proposed:
    """A proposed change, and the outcome that its proposer reported."""

    mark: str
    node: str
    at: float
    ident: str = ""
    state: str = ""  # the last reported state; empty: the node could not be asked
    reason: str = ""
    switched: float = -1.0  # seconds from the proposal until every live node served it; -1: not measured


@dataclass
class PolicyHistory:
    """All that is recorded of a day (one test run)."""

    bound: float  # seconds after which no node may serve an older epoch: the lease, and the time of a probe
    probes: list[Probe] = field(default_factory=list)
    proposed: list[Proposed] = field(default_factory=list)
    committed: dict[int, str] = field(default_factory=dict)  # number: mark, from the decision logs at the end
    aborted: dict[int, str] = field(default_factory=dict)  # number: proposal id
    conflicts: list[str] = field(default_factory=list)  # differences between the decision logs of nodes
    last: dict[str, str] = field(default_factory=dict)  # node: the mark that it serves after the faults


def check(history: PolicyHistory) -> list[str]:
    """The violations, one line each."""
    violations = list(history.conflicts)
    number_of = {mark: number for number, mark in history.committed.items()} | {"mark0": 0}
    served = sorted((p for p in history.probes if p.word == "SERVED"), key=lambda p: p.answered)
    known: dict[int, float] = {}  # committed epoch: when it was first served
    for probe in served:
        number = number_of.get(probe.mark)
        if number is None:
            violations.append(f"{probe.node} served {probe.mark} at {probe.answered:.3f}, which was never committed")
        else:
            known.setdefault(number, probe.answered)
    highest: dict[str, tuple[int, float]] = {}  # node: newest epoch it has served, and when it first did
    for probe in served:
        number = number_of.get(probe.mark)
        if number is None:
            continue
        newer = [n for n, at in known.items() if n > number and probe.sent > at + history.bound]
        if newer:
            violations.append(
                f"{probe.node} served epoch {number} to a request of {probe.sent:.3f}; epoch {newer[0]} was "
                f"in force elsewhere at {known[newer[0]]:.3f}"
            )
        previous, since = highest.get(probe.node, (0, 0.0))
        if number < previous and probe.sent > since:
            violations.append(
                f"{probe.node} went back to epoch {number} at {probe.sent:.3f}, from {previous} at {since:.3f}"
            )
        if number > previous:
            highest[probe.node] = number, probe.answered
    last_committed = max(history.committed, default=0)
    expected_mark = history.committed.get(last_committed, "mark0")
    violations += [
        f"{node} serves {mark or 'nothing'} at the end, not {expected_mark}"
        for node, mark in sorted(history.last.items())
        if mark != expected_mark
    ]
    for change in history.proposed:
        if change.state == "committed" and change.mark not in number_of:
            violations.append(f"{change.mark}: {change.node} was told that it is committed, and it is not")
        elif change.state in ("aborted", "lost", "refused") and change.mark in number_of:
            violations.append(f"{change.mark}: {change.node} was told that it is {change.state}, and it is committed")
        elif change.state in ("checking", "deciding") and change.node in history.last:
            violations.append(f"{change.mark}: still {change.state} at {change.node} at the end")
    return violations
