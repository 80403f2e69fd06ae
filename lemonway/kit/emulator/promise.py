"""Records which policy epochs each node of a simulated fleet knew and served during a day (one run of the simulation),
and checks them against docs/design/policy-change.md. Times are microseconds of the simulation's clock. No I/O."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ...epochs.member import EpochMember
from ...epochs.messages import Change


@dataclass
class Served:
    """A node began to serve another epoch ``number``, whose change is ``ident``; -1: it stopped serving."""

    at: int
    node: str
    number: int
    ident: str


@dataclass
class History:
    """All that is recorded of a day."""

    served: list[Served] = field(default_factory=list)  # in order of time
    decisions: dict[int, tuple[int, Change]] = field(default_factory=dict)  # number: when first known, decision
    conflicts: list[str] = field(default_factory=list)
    proposed: dict[str, tuple[int, str, str]] = field(default_factory=dict)  # change id: time, proposer, kind
    outcomes: dict[str, str] = field(default_factory=dict)
    # Change id: us from the proposal until each live node served it or a later one.
    switch_time_us: dict[str, int] = field(default_factory=dict)
    final_states: dict[str, tuple[bool, int]] = field(
        default_factory=dict
    )  # node: whether it serves at the end, its epoch
    majority_lost_memory: bool = False  # at the same time, so committed changes may be lost
    surviving_proposals: set[str] = field(default_factory=set)  # proposals whose proposer kept running until the end
    serving_number: dict[str, int] = field(default_factory=dict)  # node: epoch number it serves; -1: none
    lease_us: int = 0
    tick_us: int = 0
    counters: Counter[str] = field(default_factory=Counter)

    def record(self, now: int, name: str, node: EpochMember, serving: bool) -> None:
        """Record what a node knows and serves at ``now``."""
        for number, change in ((n, c) for n, c in node.history.items() if n not in self.decisions):
            self.decisions[number] = now, change
        newest = node.history.get(node.epoch)
        if newest is not None and self.decisions[node.epoch][1] != newest:
            self.conflicts.append(f"epoch {node.epoch}: {newest} at {name}, {self.decisions[node.epoch][1]} before")
        for ident, outcome in node.outcomes.items():
            self.outcomes[ident] = outcome.state
        number = node.committed.number if serving else -1
        if number != self.serving_number.get(name, -1):
            self.serving_number[name] = number
            self.served.append(Served(now, name, number, node.committed.change_id))

    def record_not_serving(self, now: int, name: str) -> None:
        """Record that a node is down or paused and serves nothing."""
        if self.serving_number.get(name, -1) != -1:
            self.serving_number[name] = -1
            self.served.append(Served(now, name, -1, ""))


def check(history: History) -> list[str]:
    """The violations, one line each."""
    if history.majority_lost_memory:  # then the nodes only have to return to the same epoch
        if all(row == (False, 0) for row in history.final_states.values()):
            history.counters["waits_for_an_operator"] += 1
            return []  # no node knows an epoch: an operator has to confirm that there was none (first_start)
        return (
            []
            if len(set(history.final_states.values())) == 1 and all(row[0] for row in history.final_states.values())
            else [f"a majority had lost its memory, and at the end the nodes are {history.final_states}"]
        )
    violations = list(history.conflicts)
    committed = sorted((number, at) for number, (at, change) in history.decisions.items() if change.commit)
    by_number = {number: change for number, (_, change) in history.decisions.items()}
    current: dict[str, tuple[int, int]] = {}  # node: epoch number it serves, and since when
    highest: dict[str, int] = {}  # node: newest epoch number it has served
    # A last row far in the future ends the serving of each node.
    rows = [*history.served, *(Served(1 << 62, name, -1, "") for name in {s.node for s in history.served})]
    for row in rows:
        previous, _ = current.get(row.node, (-1, 0))
        if previous >= 0:
            for number, at in committed:
                if number > previous and row.at < 1 << 61 and row.at > at + history.lease_us + 2 * history.tick_us:
                    violations.append(f"{row.node} served epoch {previous} until {row.at}, {number} was known at {at}")
                    break
        current[row.node] = row.number, row.at
        if row.number > 0 and (
            row.number not in by_number
            or not by_number[row.number].commit
            or by_number[row.number].change_id != row.ident
        ):
            violations.append(
                f"{row.node} served {row.ident} as epoch {row.number}, which is {by_number.get(row.number)}"
            )
        if 0 <= row.number < highest.get(row.node, 0):
            violations.append(f"{row.node} went back to epoch {row.number} from {highest[row.node]}")
        highest[row.node] = max(highest.get(row.node, 0), row.number)
    last_committed = max((number for number, _ in committed), default=0)
    for name, (serving, number) in sorted(history.final_states.items()):
        if not serving or number != last_committed:
            violations.append(
                f"{name} is {'serving' if serving else 'not serving'} epoch {number} at the end, not {last_committed}"
            )
    decided = {change.change_id: change.commit for change in by_number.values()}
    for ident, state in history.outcomes.items():
        reported = {"committed": True, "aborted": False}.get(state)
        if state in ("checking", "deciding") and ident in history.surviving_proposals:
            violations.append(f"{ident} is still {state} at the end")
        elif reported is True and decided.get(ident) is not True:
            violations.append(f"{ident} was told to be committed, and is {decided.get(ident)}")
        elif reported is False and decided.get(ident) is True:
            violations.append(f"{ident} was told to be aborted, and is committed")
        elif state == "lost" and decided.get(ident) is True:
            violations.append(f"{ident} was told to have lost, and is committed")
    return violations
