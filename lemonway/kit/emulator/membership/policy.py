"""Fleet-wide policy changes in an emulated fleet: the shipped epochs and their driver on each node's core, the links
between nodes, and a history of which policy each node served (``promise``). Links delay messages and lose them only
during a partition."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ....epochs import change as changes
from ....epochs.member import EpochMember, EpochOptions, ProposalInProgress
from ....epochs.messages import Change
from ....interface import Settings
from ....net.program.config import ConfigError, read_checked_settings
from ....net.routing import governed
from ....net.routing.governed import PolicyEpochDriver
from ....settings import merge_settings
from ..promise import History, check
from ..scenario import Policy
from ..settings import settings_json
from ..virtual import Loop, Uniform

if TYPE_CHECKING:
    from ..node import EmulatedIncarnation


class Member(PolicyEpochDriver):
    """One node process as a member of the fleet policy. Every check of its lease is recorded in the history."""

    def __init__(self, fleet: FleetPolicy, life: EmulatedIncarnation, number: int) -> None:
        self.fleet, self.life, self.number = fleet, life, number
        # All machines share the event loop's clock here; the tests of the epochs cover clocks that differ.
        epochs = EpochMember(
            life.name, number, lambda: fleet.lists, fleet.terms(number == 1), fleet.loop.now, self.fits, fleet.counters
        )
        super().__init__(life.core, epochs, self, self._take)

    def send(self, peer: str, message: Any) -> None:
        self.fleet.send(self, peer, message)

    def _settings(self, data: bytes) -> tuple[Settings, list[int]]:
        raw = changes.apply_merge_patch(self.fleet.raw, changes.parse_change(data))
        return merge_settings(self.core.settings, read_checked_settings(raw))

    def fits(self, data: bytes) -> str:
        try:
            self.core.validate_settings(*self._settings(data))
        except (ConfigError, ValueError) as error:
            return str(error)
        return ""

    def _take(self, change: Change) -> str:
        self.core.update_settings(*self._settings(change.settings))
        return ""

    def _log_readiness(self, not_serving: bool) -> None:
        """Does not log: the report counts the changes, and 200 nodes would fill a log."""

    def _update_readiness(self) -> None:
        super()._update_readiness()
        self.fleet.history.record(
            self.fleet.loop.now, self.life.name, self.epochs, not self.core.readiness.lease_expired
        )


class FleetPolicy:
    def __init__(self, loop: Loop, names: Sequence[str], policy: Policy, settings: Settings, uniform: Uniform) -> None:
        self.loop, self.policy, self.uniform = loop, policy, uniform
        self.lists = (tuple(names),)
        self.raw = settings_json(settings)
        self.members: dict[str, Member] = {}
        self.counters: Counter[str] = Counter()
        self.history = History(tick_us=governed.TICK_INTERVAL_US)
        self.partitions: list[tuple[int, frozenset[str]]] = []  # end time and the nodes of one side
        self.violations: list[str] | None = None

    def terms(self, fresh: bool) -> EpochOptions:
        policy = self.policy
        return EpochOptions(
            lease_us=int(policy.lease_ms * 1000),
            heartbeat_us=int(policy.pulse_ms * 1000),
            check_us=int(policy.check_ms * 1000),
            first_start=fresh,
        )

    def join(self, life: EmulatedIncarnation, number: int) -> None:
        member = self.members[life.name] = Member(self, life, number)
        self.history.lease_us = max(self.history.lease_us, member.epochs.lease_us)
        life.event_loop.begin_iteration()
        member.start()

    def on_ended(self, life: EmulatedIncarnation) -> None:
        member = self.members.get(life.name)
        if member is not None and member.life is life:
            del self.members[life.name]
            self.history.record_not_serving(self.loop.now, life.name)

    def send(self, sender: Member, receiver: str, message: Any) -> None:
        now, name = self.loop.now, sender.life.name
        self.partitions = [row for row in self.partitions if row[0] > now]
        if any((name in side) != (receiver in side) for _, side in self.partitions):
            self.counters["policy_cut"] += 1
            return
        low, high = self.policy.delay_ms
        self.loop.after(
            int(self.uniform.between(low, high) * 1000), self._deliver, name, sender.number, receiver, message
        )

    def _deliver(self, name: str, number: int, receiver: str, message: Any) -> None:
        member = self.members.get(receiver)
        if member is not None and not member.life.dead:
            member.life.event_loop.begin_iteration()
            member.receive(name, number, message)

    def partition(self, names: Sequence[str], length: int) -> None:
        self.partitions.append((self.loop.now + length, frozenset(names)))

    def propose(self, name: str, settings: str) -> str:
        """Proposes settings at a node. Returns its reply, or an empty string if the node is not available."""
        member = self.members.get(name)
        if member is None or member.life.dead or member.life.draining or member.core.readiness.lease_expired:
            return ""
        member.life.event_loop.begin_iteration()
        try:
            ident = member.propose(settings.encode())
        except ProposalInProgress as error:
            return str(error)
        self.history.proposed[ident] = self.loop.now, name, "plain"
        return f"{ident}, {member.epochs.outcomes[ident].state}"

    def check(self) -> list[str]:
        """The violations of the consistency rules (``promise``) in this run; the result is cached."""
        if self.violations is None:
            history = self.history
            for name, member in self.members.items():
                history.final_states[name] = not member.core.readiness.lease_expired, member.epochs.committed.number
                history.surviving_proposals.update(member.epochs.outcomes)
            self.violations = check(history)
        return self.violations

    def figures(self) -> dict[str, Any]:
        """For the report: each change, and how long until every node served it or a later one."""
        rows = []
        for ident, (at, name, _) in self.history.proposed.items():
            decided = next(((n, when) for n, (when, c) in self.history.decisions.items() if c.change_id == ident), None)
            row: dict[str, Any] = {
                "change": ident,
                "node": name,
                "outcome": self.history.outcomes.get(ident),
                "epoch": None,
                "decided_ms": None,
                "everywhere_ms": None,
            }
            if decided is not None:
                row["epoch"], row["decided_ms"] = decided[0], round((decided[1] - at) / 1000, 1)
                row["everywhere_ms"] = self._completion_ms(decided[0], at)
            rows.append(row)
        lapses = sum(row.number == -1 for row in self.history.served)
        return {
            "changes": rows,
            "stopped_serving": lapses,
            "lease_ms": self.history.lease_us / 1000,
            "counters": dict(sorted(self.counters.items())),
            "broken": self.check(),
        }

    def _completion_ms(self, number: int, since_us: int) -> float | None:
        """Milliseconds until no node served an older epoch; None if some still do."""
        served_by_node: dict[str, int] = {}
        last_change_us = since_us
        for row in self.history.served:
            previous = served_by_node.get(row.node, -1)
            if 0 <= previous < number and (row.number >= number or row.number == -1):
                last_change_us = max(last_change_us, row.at)
            served_by_node[row.node] = row.number
        return (
            None
            if any(0 <= n < number for n in served_by_node.values())
            else round((last_change_us - since_us) / 1000, 1)
        )
