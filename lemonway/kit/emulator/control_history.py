"""Checks the configuration versions and leases of the machines of one day against the invariants of
docs/design/control.md. Times are microseconds of simulation time. No I/O.

Each machine is observed at each of its events and also at a fixed interval, so that violations that arise from the
passage of time alone are detected."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from ...control.agent import Agent
from ...control.relay import Relay
from ...control.resources import Table
from ...control.versions import NO_DIGEST, Version
from ...control.voter import Voter

MAX_VIOLATIONS = 20  # recorded per day; further ones are only counted


@dataclass(frozen=True)
class DecidedVersion:
    """A decided version, with the time at which a voter first had it."""

    known_at_us: int
    digest: bytes
    content: int


@dataclass
class History:
    """History of one day. ``lease_us``: how long a lease on an old version may last after a later version is known,
    including the allowance for clock drift."""

    lease_us: int
    violations: list[str] = field(default_factory=list)
    counters: Counter[str] = field(default_factory=Counter)
    decided: dict[int, DecidedVersion] = field(default_factory=lambda: {0: DecidedVersion(0, NO_DIGEST, 0)})
    last_decided: int = 0  # highest number in ``decided``
    proposed_at_us: dict[str, int] = field(default_factory=dict)  # by identifier of the proposal
    # by identifier of the proposal; without those of processes that have ended
    outcomes: dict[str, str] = field(default_factory=dict)
    in_force_delays_us: list[int] = field(default_factory=list)  # from the decision to the last live node
    _superseded_at_us: dict[int, int] = field(default_factory=dict)  # by number: when a later version was first known
    _reference_table: Table = field(default_factory=Table)
    _highest_numbers: dict[str, int] = field(default_factory=dict)  # by machine and incarnation: highest observed
    # by number: nodes that were live when it was decided and do not have it yet
    _pending_nodes: dict[int, set[str]] = field(default_factory=dict)

    def add_violation(self, text: str) -> None:
        """Counts a violation of an invariant, and records it up to ``MAX_VIOLATIONS``."""
        self.counters["broken"] += 1
        if len(self.violations) < MAX_VIOLATIONS:
            self.violations.append(text)

    # decided versions

    def record_decided(self, now: int, voter: str, version: Version, live_nodes: set[str]) -> None:
        """Records a decided version that a voter has applied. ``live_nodes``: nodes that are running now."""
        known = self.decided.get(version.number)
        if known is not None:
            if known.digest != version.digest:
                self.add_violation(f"{voter} has another version {version.number} than the one decided before")
            return
        if version.parent != self.last_decided or version.parent_digest != self.decided[self.last_decided].digest:
            self.add_violation(
                f"{voter}: version {version.number} follows {version.parent}, and {self.last_decided} was the last"
            )
            return
        self._reference_table.apply(version.operations)
        self._supersede(now)
        self.last_decided = version.number
        self.decided[version.number] = DecidedVersion(now, version.digest, self._reference_table.content)
        self._pending_nodes[version.number] = set(live_nodes)

    def _supersede(self, now: int) -> None:
        self._superseded_at_us.setdefault(self.last_decided, now)

    # observation of machines

    def observe_voter(self, now: int, name: str, incarnation: int, voter: Voter, clock: int) -> None:
        """Checks the state of a voter. ``clock``: its own monotonic clock."""
        self._observe(name, incarnation, voter.number, voter.digest, voter.table)
        if voter.epochs.committed.number > self.last_decided:
            self._supersede(now)
        if voter.lease_remaining_us(clock):
            self._check_lease(now, name, voter.number, "grants")

    def observe_relay(self, now: int, name: str, incarnation: int, relay: Relay, clock: int) -> None:
        """Checks the state of a relay. ``clock``: its own monotonic clock."""
        self._observe(name, incarnation, relay.number, relay.digest, relay.table)
        if relay.lease_remaining_us(clock):
            self._check_lease(now, name, relay.number, "grants")

    def observe_node(self, now: int, name: str, incarnation: int, agent: Agent, clock: int) -> None:
        """Checks the state of a node. ``clock``: its own monotonic clock."""
        self._observe(name, incarnation, agent.number, agent.digest, agent.table)
        serving = agent.serving(clock)
        if clock < agent.lease_expires_at_us:
            self._check_lease(now, name, agent.number, "holds a lease on")
        elif serving and not agent.terms.serve_when_lost:
            self.add_violation(f"{name} serves version {agent.number} without a lease")
        if serving and agent.unconfirmed_for_us(clock) >= agent.terms.max_stale_us:
            self.add_violation(
                f"{name} serves version {agent.number} at the age of {agent.unconfirmed_for_us(clock)} us"
            )
        pending = self._pending_nodes.get(agent.number)
        if pending is not None and name in pending:
            self._record_in_force(now, name, agent.number)

    def _observe(self, name: str, incarnation: int, number: int, digest: bytes, table: Table) -> None:
        known = self.decided.get(number)
        if known is None:
            self.add_violation(f"{name} has version {number}, which was not decided")
        elif known.digest != digest:
            self.add_violation(f"{name} has another version {number} than the one that was decided")
        elif known.content != table.content:
            self.add_violation(f"{name} has another content than that of version {number}")
        key = f"{name}/{incarnation}"
        if number < self._highest_numbers.get(key, 0):
            self.add_violation(f"{name} went back to version {number} from {self._highest_numbers[key]}")
        self._highest_numbers[key] = number

    def _check_lease(self, now: int, name: str, number: int, action: str) -> None:
        superseded_at = self._superseded_at_us.get(number)
        if superseded_at is not None and now > superseded_at + self.lease_us:
            self.add_violation(f"{name} {action} version {number} {now - superseded_at} us after a later one was known")

    # time until a version is in force

    def _record_in_force(self, now: int, name: str, number: int) -> None:
        for each in [each for each in self._pending_nodes if each <= number]:
            self._pending_nodes[each].discard(name)
            if not self._pending_nodes[each]:
                del self._pending_nodes[each]
                self.in_force_delays_us.append(now - self.decided[each].known_at_us)

    def node_down(self, name: str) -> None:
        """Stops waiting for a machine that has crashed or stalled."""
        for each in self._pending_nodes.values():
            each.discard(name)

    # final state

    def check_end(
        self, voters: dict[str, Voter], relays: dict[str, Relay], nodes: dict[str, Agent], clocks: dict[str, int]
    ) -> None:
        """Checks the state some time after the faults have ended: all machines have the last version, every node serves
        with a lease, and every proposal has an outcome that agrees with the decisions."""
        expected = self.decided[self.last_decided]
        roles: dict[str, Voter | Relay | Agent] = {**voters, **relays, **nodes}
        for name, role in roles.items():
            if (role.number, role.digest, role.table.content) != (self.last_decided, expected.digest, expected.content):
                self.add_violation(f"{name} has version {role.number} at the end, not {self.last_decided}")
        for name, agent in nodes.items():
            if clocks[name] >= agent.lease_expires_at_us or agent.incompatibility:
                self.add_violation(f"{name} does not serve at the end: {agent.status(clocks[name])}")
        for voter in voters.values():
            self.outcomes.update((ident, outcome.state) for ident, outcome in voter.outcomes.items())
            self._check_outcomes(voter)

    def _check_outcomes(self, voter: Voter) -> None:
        commits = Counter(entry.ident for entry in voter.history() if entry.committed and entry.ident)
        for ident, count in commits.items():
            if count > 1:
                self.add_violation(f"{ident} was proposed once and committed {count} times")
        decided = {entry.ident: entry.committed for entry in voter.history() if entry.ident}
        for ident, state in self.outcomes.items():
            if state in ("queued", "checking", "deciding"):
                self.add_violation(f"{ident} is still {state} at the end")
            elif state == "committed" and decided.get(ident) is False:
                self.add_violation(f"{ident} was told to be committed, and was aborted")
            elif state != "committed" and decided.get(ident):
                self.add_violation(f"{ident} was told to be {state}, and is committed")
