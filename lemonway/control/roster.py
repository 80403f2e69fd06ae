"""The subscribers of one publisher by link and by name, and the counts that its ``Report`` message contains.

The counts are updated in constant time per message."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from itertools import islice

from .messages import MAX_WORST_NODES, Report, Standing
from .subscription import Subscription


class Roster:
    """Index of the subscribers, and counts of the nodes among them, which are kept up to date."""

    def __init__(self) -> None:
        self.links: OrderedDict[int, Subscription] = OrderedDict()  # ordered by time of the last message, oldest first
        self.names: dict[str, Subscription] = {}
        self._nodes_by_version: Counter[int] = Counter()  # count of nodes by acknowledged version
        self._serving_count = 0
        self._incompatible_nodes: dict[str, Subscription] = {}
        self._nodes: dict[str, Subscription] = {}

    def __len__(self) -> int:
        return len(self.links)

    def __iter__(self) -> Iterator[Subscription]:
        return iter(self.links.values())

    def is_open(self, subscription: Subscription) -> bool:
        """Whether the subscription's link is still open."""
        return self.links.get(subscription.link) is subscription

    def open(self, link: int, now: int) -> None:
        """Add a link on which no message has arrived yet."""
        self.links[link] = Subscription(link, now)

    def record_message(self, subscription: Subscription, now: int) -> None:
        """Record that a message has arrived from the subscriber."""
        subscription.last_message_at_us = now
        self.links.move_to_end(subscription.link)

    def least_recent(self) -> Subscription | None:
        """The subscription whose last message is the oldest."""
        return next(iter(self.links.values()), None)

    def index_name(self, subscription: Subscription) -> None:
        """Index the subscription by the name from its watch message."""
        self.names[subscription.name] = subscription
        if not subscription.is_relay:
            self._nodes[subscription.name] = subscription
            self._nodes_by_version[subscription.acknowledged_number] += 1

    def close(self, link: int) -> Subscription | None:
        """Remove the link and its subscription; returns the subscription, if there was one."""
        subscription = self.links.pop(link, None)
        if subscription is None or self.names.get(subscription.name) is not subscription:
            return subscription
        del self.names[subscription.name]
        if not subscription.is_relay:
            del self._nodes[subscription.name]
            self._incompatible_nodes.pop(subscription.name, None)
            self._serving_count -= subscription.serving
            self._remove_acknowledged(subscription.acknowledged_number)
        return subscription

    def _remove_acknowledged(self, number: int) -> None:
        self._nodes_by_version[number] -= 1
        if not self._nodes_by_version[number]:
            del self._nodes_by_version[number]

    def acknowledge(self, subscription: Subscription, number: int) -> None:
        """Record that all versions up to ``number`` are in force at the subscriber."""
        if number == subscription.acknowledged_number:
            return
        if not subscription.is_relay:
            self._remove_acknowledged(subscription.acknowledged_number)
            self._nodes_by_version[number] += 1
        subscription.acknowledged_number = number
        subscription.window_start_number = max(subscription.window_start_number, number)

    def record_condition(self, subscription: Subscription, serving: bool, unfit: str) -> None:
        """Record whether the subscriber accepts requests, and why it can't apply its version (empty if it can)."""
        if not subscription.is_relay:
            self._serving_count += serving - subscription.serving
            if unfit:
                self._incompatible_nodes[subscription.name] = subscription
            elif subscription.incompatibility:
                self._incompatible_nodes.pop(subscription.name, None)
        subscription.serving, subscription.incompatibility = serving, unfit

    def report(self, number: int) -> Report:
        """Summarise the nodes; those with a version below ``number`` count as behind."""
        nodes = len(self._nodes)
        behind = sum(count for version_number, count in self._nodes_by_version.items() if version_number < number)
        lowest = min(self._nodes_by_version, default=number)
        return Report(
            nodes, self._serving_count, lowest, behind, len(self._incompatible_nodes), self._worst_nodes(number, behind)
        )

    def _worst_nodes(self, number: int, behind: int) -> tuple[Standing, ...]:
        worst = list(islice(self._incompatible_nodes.values(), MAX_WORST_NODES))
        if behind and len(worst) < MAX_WORST_NODES:
            outdated = (
                each for each in self._nodes.values() if each.acknowledged_number < number and not each.incompatibility
            )
            worst += islice(outdated, MAX_WORST_NODES - len(worst))
        return tuple(Standing(each.name, each.acknowledged_number, each.incompatibility) for each in worst)

    def relays(self) -> list[Subscription]:
        """The subscribers that publish to others."""
        return [each for each in self.names.values() if each.is_relay]
