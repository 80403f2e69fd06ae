"""A relay: it subscribes to one voter and publishes to nodes.

No lease that it grants outlasts the lease that it holds itself."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from .lease import NEVER, Lease
from .messages import FromPublisher, FromSubscriber, PublisherOutput, RelayOutput, Report, SubscriberOutput
from .publisher import Publisher
from .replica import Replica, ReplicaView
from .status import RelayStatus
from .subscriber import Identity, ServingCondition, Subscriber
from .terms import PublishTerms, WatchTerms
from .versions import Version


class Relay(ReplicaView):
    """One relay. Each call returns outputs that the driver carries out in order; ``due``: time of the next ``tick``."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        voters: Sequence[str],
        watch: WatchTerms,
        publish: PublishTerms,
        now: int,
        draw: Callable[[], float],
        counters: Counter[str],
    ) -> None:
        """``incarnation``: larger than that of any earlier process of this name. Raises ``ValueError`` if
        ``voters`` is empty."""
        self.name = name
        self.replica = Replica(publish.max_table_bytes)
        self.lease = Lease()
        self.publisher = Publisher(self.replica, publish, self, counters, now)
        self.watch = Subscriber(
            Identity(name, incarnation, True), voters, watch, draw, self.replica, self.lease, self, counters
        )
        self._publisher_outputs: list[PublisherOutput] = []

    @property
    def due(self) -> int:
        """Time of the next ``tick``."""
        return min(self.watch.due, self.publisher.due)

    def status(self, now: int) -> RelayStatus:
        """Status as shown to operators."""
        watch, table = self.watch, self.table
        return RelayStatus(
            self.name,
            self.number,
            self.digest.hex(),
            f"{table.content:032x}",
            len(table),
            table.bytes,
            self.lease.remaining_us(now),
            watch.state.value,
            watch.publisher,
            watch.last_failure,
            len(self.publisher.roster),
            self.publisher.report(),
        )

    # upstream

    def start(self, now: int) -> list[RelayOutput]:
        """Start connecting to a voter."""
        return self._with_publisher_outputs(self.watch.start(now))

    def connected(self, now: int) -> list[RelayOutput]:
        """The link to the voter is established."""
        return self._with_publisher_outputs(self.watch.connected(now))

    def disconnected(self, now: int) -> list[RelayOutput]:
        """The link to the voter was lost, or could not be established."""
        return self._with_publisher_outputs(self.watch.disconnected(now))

    def receive_upstream(self, message: FromPublisher, now: int) -> list[RelayOutput]:
        """Handle a message from the voter."""
        return self._with_publisher_outputs(self.watch.receive(message, now))

    # downstream

    def subscriber_connected(self, link: int, now: int) -> list[RelayOutput]:
        """A subscriber has connected."""
        return [*self.publisher.subscriber_connected(link, now)]

    def subscriber_disconnected(self, link: int, now: int) -> list[RelayOutput]:
        """A subscriber's link was closed by the other side."""
        return [*self.publisher.subscriber_disconnected(link, now)]

    def receive(self, link: int, message: FromSubscriber, now: int) -> list[RelayOutput]:
        """Handle a message from a subscriber."""
        return [*self.publisher.receive(link, message, now)]

    def tick(self, now: int) -> list[RelayOutput]:
        """Do the work that is due."""
        return [*self._with_publisher_outputs(self.watch.tick(now)), *self.publisher.tick(now)]

    def _with_publisher_outputs(self, outputs: list[SubscriberOutput]) -> list[RelayOutput]:
        publisher_outputs, self._publisher_outputs = self._publisher_outputs, []
        return [*publisher_outputs, *outputs]

    # called by the subscriber side (``subscriber.WatchOwner``)

    def version_applied(self, version: Version) -> None:
        """A version was applied to the table."""
        self._publisher_outputs += self.publisher.publish(version)

    def table_replaced(self) -> None:
        """The whole table was replaced by a snapshot."""
        self._publisher_outputs += self.publisher.table_replaced()

    def condition(self, now: int) -> ServingCondition:
        """The status that the next heartbeat reports: serving while the lease is valid."""
        return ServingCondition(self.lease.is_valid(now))

    def report(self) -> Report | None:
        """Summarise the nodes that are connected here."""
        return self.publisher.report()

    # called by the publisher side (``publisher.Authority``)

    def ready(self) -> bool:
        """Whether it has a version, or a voter has ever granted it a lease."""
        return self.number > 0 or self.lease.expires_at_us != NEVER

    def lease_remaining_us(self, now: int) -> int:
        """Microseconds until its own lease expires; 0 without a lease."""
        return self.lease.remaining_us(now)

    def hears_majority(self, now: int) -> bool:
        """Whether the voter that it is connected to is in contact with a majority, as last reported."""
        return self.watch.publisher_hears_majority
