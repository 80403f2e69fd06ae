"""The configuration client of an image node.

It subscribes to one relay, keeps the table, and decides whether the node may accept requests."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from .lease import NEVER, Lease
from .messages import AgentOutput, FromPublisher, PersistTable, PersistVersion, Report, SubscriberOutput
from .replica import Replica, ReplicaView
from .resources import Table
from .status import AgentStatus
from .store import StoredConfiguration
from .subscriber import Identity, ServingCondition, Subscriber
from .terms import AgentTerms
from .versions import Version

ApplyCallback = Callable[[Version | None, Table], str]
NO_OUTPUTS: list[AgentOutput] = []  # shared result of calls before ``due``; must not be modified


class Agent(ReplicaView):
    """The configuration client of one node. Each call returns outputs that the driver carries out in order.

    ``apply(version, table)`` is called when a version is in force (its operations are in ``table`` already), and with
    ``None`` as version when the whole table was replaced. It returns why the node can't apply the configuration, or an
    empty string. After an error the node accepts no requests until a later version is applied without one."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        relays: Sequence[str],
        terms: AgentTerms,
        now: int,
        draw: Callable[[], float],
        apply: ApplyCallback,
        counters: Counter[str],
        stored: StoredConfiguration | None = None,
    ) -> None:
        """``incarnation``: larger than that of any earlier process of this name. ``draw``: returns uniform
        random numbers in [0, 1). ``stored``: the last good version, from the node's disk. Raises ``ValueError`` if
        ``relays`` is empty."""
        self.name, self.terms, self.counters = name, terms, counters
        self.replica = Replica(terms.max_table_bytes)
        self.lease = Lease()
        self.incompatibility = ""  # why the node can't apply the version in force; empty if it can
        self._apply = apply
        self._stored_at_us = NEVER  # start time, if the agent started with a stored version
        self._persist_outputs: list[AgentOutput] = []
        self.watch = Subscriber(
            Identity(name, incarnation, False), relays, terms.watch, draw, self.replica, self.lease, self, counters
        )
        if stored is not None:
            self._stored_at_us = now
            self.replica.replace(stored.number, stored.digest, stored.table)
            self.incompatibility = apply(None, stored.table)

    # lease

    @property
    def lease_expires_at_us(self) -> int:
        """When the lease expires or has expired; ``NEVER`` if there was none yet."""
        return self.lease.expires_at_us

    @property
    def due(self) -> int:
        """Time of the next ``tick``."""
        return self.watch.due

    def serving(self, now: int) -> bool:
        """Whether the node may accept requests: it can apply the version in force, and its lease is valid or, with
        ``serve_when_lost``, its ``unconfirmed_for_us`` is below ``max_stale_us``."""
        if self.incompatibility:
            return False
        if now < self.lease.expires_at_us:
            return True
        return (
            self.terms.serve_when_lost
            and self._unconfirmed_since_us() != NEVER
            and self.unconfirmed_for_us(now) < self.terms.max_stale_us
        )

    def unconfirmed_for_us(self, now: int) -> int:
        """Microseconds for which it has been unknown whether a later version is in force.

        0 while the lease is valid, else the time since it expired, or since the start if this process has held no
        lease and started with a stored version."""
        since_us = self._unconfirmed_since_us()
        return 0 if since_us == NEVER else max(0, now - since_us)

    def _unconfirmed_since_us(self) -> int:
        return max(self.lease.expires_at_us, self._stored_at_us)

    def not_serving_reason(self, now: int) -> str:
        """Why the node accepts no requests; empty if it does."""
        if self.serving(now):
            return ""
        if self.incompatibility:
            return f"version {self.number} cannot be applied on this node: {self.incompatibility}"
        if self._unconfirmed_since_us() == NEVER:
            return "no relay has given a lease yet, and there is no stored version"
        if not self.terms.serve_when_lost:
            return f"the lease on version {self.number} expired {self.unconfirmed_for_us(now)} us ago"
        return (
            f"version {self.number} has had no lease for {self.unconfirmed_for_us(now)} us, "
            f"limit {self.terms.max_stale_us} us"
        )

    def status(self, now: int) -> AgentStatus:
        """Status as shown to operators."""
        watch, table = self.watch, self.table
        return AgentStatus(
            self.name,
            self.number,
            self.digest.hex(),
            f"{table.content:032x}",
            len(table),
            table.bytes,
            self.serving(now),
            self.not_serving_reason(now),
            self.incompatibility,
            self.lease.remaining_us(now),
            self.unconfirmed_for_us(now),
            watch.state.value,
            watch.publisher,
            watch.last_failure,
        )

    # called by the driver

    def start(self, now: int) -> list[AgentOutput]:
        """Start connecting to a relay."""
        return self._with_persist_outputs(self.watch.start(now))

    def set_relays(self, relays: Sequence[str], now: int) -> list[AgentOutput]:
        """Replace the list of relays. Raises ``ValueError`` if it is empty."""
        return self._with_persist_outputs(self.watch.set_publishers(relays, now))

    def connected(self, now: int) -> list[AgentOutput]:
        """The link to the relay is established."""
        return self._with_persist_outputs(self.watch.connected(now))

    def disconnected(self, now: int) -> list[AgentOutput]:
        """The link to the relay was lost, or could not be established."""
        return self._with_persist_outputs(self.watch.disconnected(now))

    def receive(self, message: FromPublisher, now: int) -> list[AgentOutput]:
        """Handle a message from the relay."""
        return self._with_persist_outputs(self.watch.receive(message, now))

    def tick(self, now: int) -> list[AgentOutput]:
        """Do the work that is due; cheap to call before ``due``."""
        if now < self.watch.due:
            return NO_OUTPUTS
        return self._with_persist_outputs(self.watch.tick(now))

    def _with_persist_outputs(self, outputs: list[SubscriberOutput]) -> list[AgentOutput]:
        if not self._persist_outputs:
            return [*outputs]
        persist_outputs, self._persist_outputs = self._persist_outputs, []
        return persist_outputs + [*outputs]

    # called by the subscriber side (``subscriber.WatchOwner``)

    def version_applied(self, version: Version) -> None:
        """A version was applied to the table: pass it to the node, and persist it."""
        self._set_incompatibility(self._apply(version, self.table))
        self._persist_outputs.append(PersistVersion(version))

    def table_replaced(self) -> None:
        """The whole table was replaced by a snapshot: pass it to the node, and persist it."""
        self._set_incompatibility(self._apply(None, self.table))
        self._persist_outputs.append(PersistTable(self.number, self.digest))

    def _set_incompatibility(self, unfit: str) -> None:
        if unfit:
            self.counters["control_unfit"] += 1
        self.incompatibility = unfit

    def condition(self, now: int) -> ServingCondition:
        """The status that the next heartbeat reports."""
        return ServingCondition(self.serving(now), self.incompatibility)

    def report(self) -> Report | None:
        """No report: a node has no subscribers."""
        return None
