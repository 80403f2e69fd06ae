"""Runs several node processes that change their policy under faults drawn from a seed:
``python -m lemonway.kit.faults.policy_day --seed 3 --nodes 5``.

Every node is probed continuously for the request classes of the latest changes, so that the policy it serves is
observed from outside. Changes are proposed at any node, also at two concurrently, and at one that is killed right
after. Meanwhile nodes are killed and restarted with their old settings file, stopped and resumed, and links drop,
delay, stall, break and are partitioned, also in one direction only. Then the faults end, every node has to serve the
last committed change, and the history is checked (epochs.py)."""

from __future__ import annotations

import copy
import json
import random
import threading
import time
from collections import Counter
from pathlib import Path
from typing import Any

from ..policy import OVER, CallError, call
from ..stage import site_settings
from . import day
from .day_runner import DayOutcome, day_parser, end_faults, exited_nodes, play_seeds, running_fleet
from .epochs import PolicyHistory, Probe, Proposed, check
from .fleet import OUTCOMES, Fleet, Router

PROBE_INTERVAL_S = 0.04  # seconds between the probes of a node
PROBED_MARKS = 4  # nodes are probed for this many of the latest changes
POLICY_KEYS = {"lease_ms": 600, "pulse_ms": 40, "check_ms": 600, "retry_ms": 50, "resolve_ms": 250}
PROBE_SLACK_S = 0.15  # seconds that a probe may take on a busy machine


def settings_with(mark: str, patch: bool) -> dict[str, Any]:
    """The test harness's settings with the request class of one change; with ``patch``, only the keys that change."""
    full_settings = site_settings(kbPerKey=0.5)
    request_classes = [*full_settings["lanes"], {**copy.deepcopy(full_settings["lanes"][2]), "name": mark}]
    family_info = {"classCalls": [False] * len(request_classes), "classSkipWorth": [0.0] * len(request_classes)}
    if patch:
        return {"lanes": request_classes, "familyInfo": family_info}
    full_settings["lanes"] = request_classes
    full_settings["familyInfo"] |= family_info
    return full_settings


class Prober:
    """Probes every node for the request classes of the latest changes."""

    def __init__(self, fleet: Fleet, history: PolicyHistory) -> None:
        self.fleet, self.history = fleet, history
        self.marks = ["mark0"]
        self.pending: dict[str, dict[int, Probe]] = {name: {} for name in fleet.names}
        self.routers: dict[str, Router | None] = dict.fromkeys(fleet.names)
        self.last_served: dict[str, Probe] = {}  # node: its latest probe that was served
        self.enabled = True
        self.send_probes()

    def send_probes(self) -> None:
        if not self.enabled:
            return
        self.fleet.reactor.callLater(PROBE_INTERVAL_S, self.send_probes)
        for name, node in self.fleet.nodes.items():
            router = node.router
            if router is not self.routers[name]:
                self.routers[name] = router
                self.pending[name] = {}
            if router is None:
                continue
            self.collect_answers(name, router)
            if router.side is not None and len(self.pending[name]) < 64:
                for mark in self.marks[-PROBED_MARKS:]:
                    probe = Probe(name, mark, time.time())
                    self.pending[name][router.call(mark, b"p")] = probe
                    self.history.probes.append(probe)

    def collect_answers(self, name: str, router: Router) -> None:
        for tag, probe in list(self.pending[name].items()):
            if (answer := router.answers.pop(tag, None)) is not None:
                probe.word, probe.answered = OUTCOMES.get(answer[0], answer[0]), time.time()
                del self.pending[name][tag]
                if probe.word == "SERVED":
                    self.last_served[name] = probe

    def serving(self, name: str) -> str:
        """The mark that the node served within the last second, or an empty string."""
        probe = self.last_served.get(name)
        return probe.mark if probe is not None and time.time() - probe.answered < 1.0 else ""


class PolicyFleet(Fleet):
    """A fleet whose nodes share a policy, with a prober that records what each node serves."""

    def __init__(
        self,
        count: int,
        folder: Path,
        seed: int = 1,
        *,
        policy: dict[str, Any] | None = None,
        replication: dict[str, Any] | None = None,
    ) -> None:
        policy = {**POLICY_KEYS, **(policy or {})}
        super().__init__(
            count, folder, seed, policy=policy, settings=settings_with("mark0", patch=False), replication=replication
        )
        self.changes = PolicyHistory(policy["lease_ms"] / 1000 + PROBE_SLACK_S)
        self.prober = Prober(self, self.changes)
        self.threads: list[threading.Thread] = []

    def propose(self, name: str, mark: str | None = None, body: dict[str, Any] | None = None) -> Proposed:
        """Propose a change at a node, on a separate thread because the node may be paused."""
        if mark is None:
            mark = f"mark{len(self.changes.proposed) + 1}"
        self.prober.marks.append(mark)
        proposal = Proposed(mark, name, time.time())
        self.changes.proposed.append(proposal)
        self.note(f"propose {mark} at {name}")
        admin_address = f"127.0.0.1:{self.nodes[name].admin}"
        data = json.dumps({"settings": body or settings_with(mark, patch=True)}).encode()

        def request_proposal() -> None:
            try:
                reply = call(admin_address, "/policy/propose", data, timeout=3.0)
                proposal.ident, proposal.state, proposal.reason = reply["proposal"], reply["state"], reply["reason"]
            except CallError as error:
                proposal.reason = str(error)

        self.threads.append(threading.Thread(target=request_proposal, daemon=True))
        self.threads[-1].start()
        return proposal

    def wait_for_outcome(self, proposal: Proposed, patience: float = 15.0) -> str:
        self.wait_until(lambda: self.is_settled(proposal), patience, step=0.02)
        return proposal.state

    def is_settled(self, proposal: Proposed) -> bool:
        """Whether the proposal has an outcome, as its node reports now."""
        if not proposal.ident:
            return bool(proposal.reason)
        if proposal.state not in OVER and self.nodes[proposal.node].running and self.nodes[proposal.node].admin:
            try:
                reply = call(f"127.0.0.1:{self.nodes[proposal.node].admin}", "/policy", timeout=2.0)
            except CallError:
                return False
            if (row := reply["proposals"].get(proposal.ident)) is None:
                proposal.state, proposal.reason = "", "its node was restarted"
                return True
            proposal.state, proposal.reason = row["state"], row["reason"]
        return proposal.state in OVER

    def all_serve(self, mark: str, names: list[str] | None = None) -> bool:
        return all(self.prober.serving(name) == mark for name in names or self.names)

    def finish(self) -> list[str]:
        """After the faults: wait for the outcomes, read the decision logs, and return the violations of the history."""
        end_faults(self)
        for thread in self.threads:
            while thread.is_alive():
                self.run_reactor_once()
        for name in self.names:
            self.wait_until_ready(self.nodes[name])
        changes = self.changes
        for proposal in changes.proposed:
            try:
                self.wait_until(
                    lambda proposal=proposal: self.is_settled(proposal) or not proposal.ident,  # type: ignore[misc]
                    10.0,
                    step=0.05,
                )
            except AssertionError:
                pass  # ``check`` reports it
        statuses = [self.nodes[name].status("policy") for name in self.names]
        mark_of = {proposal.ident: proposal.mark for proposal in changes.proposed if proposal.ident}
        logs: dict[int, tuple[str, bool]] = {}
        for row in (row for node_status in statuses for row in node_status["history"]):
            decision = row["change"], row["committed"]
            if logs.setdefault(row["epoch"], decision) != decision:
                changes.conflicts.append(f"epoch {row['epoch']} is {decision} and {logs[row['epoch']]}")
        changes.committed = {n: mark_of.get(ident, self.infer_mark(ident)) for n, (ident, good) in logs.items() if good}
        changes.aborted = {n: ident for n, (ident, good) in logs.items() if not good}
        last_committed = max(changes.committed, default=0)
        expected_mark = changes.committed.get(last_committed, "mark0")
        if expected_mark not in self.prober.marks[-PROBED_MARKS:]:
            self.prober.marks.append(expected_mark)
        try:
            self.wait_until(lambda: self.all_serve(expected_mark), 6.0, step=0.02)
        except AssertionError:
            pass
        changes.last = {name: self.prober.serving(name) for name in self.names}
        self.prober.enabled = False
        return check(changes)

    def infer_mark(self, ident: str) -> str:
        """The mark of a proposal whose node was gone before it reported the proposal's id: the first change of that
        node without an id, preferably one that was served."""
        node, incarnation, sequence = ident.rsplit("-", 2)
        unnamed = [proposal.mark for proposal in self.changes.proposed if proposal.node == node and not proposal.ident]
        served = {probe.mark for probe in self.changes.probes if probe.word == "SERVED"}
        return next((mark for mark in unnamed if mark in served), unnamed[0] if unnamed else f"unknown {ident}")


def schedule(seed: int, names: list[str], seconds: float, faults: int, changes: int) -> list[tuple[float, str, Any]]:
    """The events (at, kind, arguments), sorted by time: the faults of ``day.schedule``, and changes."""
    rng = random.Random(f"policy-day/{seed}")
    events = [e for e in day.schedule(seed, names, seconds, faults, 4.0) if e[1] != "try"]
    for n in range(changes):
        at = (n + rng.random()) * seconds / changes
        variant = rng.choice(("plain", "plain", "plain", "twins", "dies"))
        if variant == "twins":
            events += [(at, "change", name) for name in rng.sample(names, 2)]
        else:
            events.append((at, "change", name := rng.choice(names)))
            if variant == "dies":
                events.append((at + rng.uniform(0.005, 0.05), "kill", (name, rng.uniform(0.3, 0.9))))
    return sorted(events, key=lambda e: (e[0], e[1], str(e[2])))


class Player(day.Player):
    """Runs a schedule with policy changes on a fleet in real time."""

    fleet: PolicyFleet

    def start_event(self, kind: str, arguments: Any) -> None:
        if kind != "change":
            super().start_event(kind, arguments)
        elif self.fleet.nodes[arguments].running and self.fleet.nodes[arguments].admin:
            self.fleet.propose(arguments)


def play(
    seed: int, nodes: int = 3, seconds: float = 8.0, faults: int = 6, changes: int = 6, folder: Path | None = None
) -> tuple[PolicyHistory, list[str]]:
    """Run one day; return its history and the violations."""
    with running_fleet(lambda directory: PolicyFleet(nodes, directory, seed), folder, "lemonway-policy-") as fleet:
        fleet.wait_until(lambda: fleet.all_serve("mark0"), step=0.02)
        player = Player(fleet)
        for at, kind, arguments in schedule(seed, fleet.names, seconds, faults, changes):
            fleet.reactor.callLater(at, player.start_event, kind, arguments)
        fleet.run_for(seconds + 1.0)
        fleet.wait_until(lambda: all(node.running for node in fleet.nodes.values()))
        return fleet.changes, fleet.finish() + exited_nodes(fleet)


def summary(history: PolicyHistory) -> str:
    """The day in one line."""
    states = Counter(proposal.state or "no word" for proposal in history.proposed)
    words = Counter(probe.word or "no answer" for probe in history.probes)
    return (
        f"{len(history.proposed)} changes: "
        + ", ".join(f"{state} {n}" for state, n in sorted(states.items()))
        + f"; {len(history.probes)} probes: "
        + ", ".join(f"{word} {n}" for word, n in sorted(words.items()))
    )


def main(argv: list[str] | None = None) -> int:
    """Run the days that the options name. Returns 1 if any violated a guarantee."""
    parser = day_parser("python -m lemonway.kit.faults.policy_day", __doc__, seconds=8.0, faults=6)
    parser.add_argument("--changes", type=int, default=6)
    args = parser.parse_args(argv)

    def play_one(seed: int) -> DayOutcome:
        history, violations = play(seed, args.nodes, args.seconds, args.faults, args.changes)
        return DayOutcome(summary(history), violations)

    return play_seeds(args, play_one)


if __name__ == "__main__":
    raise SystemExit(main())
