"""The subscribers of one publisher by link and by name, and the counts of its report, kept at the cost of one step a
message."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterator
from itertools import islice

from .messages import WORST_MOST, Report, Standing
from .subscription import Subscription


class Roster:
    """Who watches here."""

    def __init__(self) -> None:
        self.links: OrderedDict[int, Subscription] = OrderedDict()  # the one that was heard last comes last
        self.names: dict[str, Subscription] = {}
        self._numbers: Counter[int] = Counter()  # nodes by the last version in force there
        self._serving = 0
        self._unfit: dict[str, Subscription] = {}
        self._nodes: dict[str, Subscription] = {}

    def __len__(self) -> int:
        return len(self.links)

    def __iter__(self) -> Iterator[Subscription]:
        return iter(self.links.values())

    def holds(self, subscription: Subscription) -> bool:
        """Whether its link is there yet."""
        return self.links.get(subscription.link) is subscription

    def open(self, link: int, now: int) -> None:
        """A link on which nothing was said yet."""
        self.links[link] = Subscription(link, now)

    def heard(self, subscription: Subscription, now: int) -> None:
        """It has said something."""
        subscription.heard_at = now
        self.links.move_to_end(subscription.link)

    def oldest(self) -> Subscription | None:
        """The one that was heard longest ago."""
        return next(iter(self.links.values()), None)

    def name(self, subscription: Subscription) -> None:
        """It has said its name."""
        self.names[subscription.name] = subscription
        if not subscription.relay:
            self._nodes[subscription.name] = subscription
            self._numbers[subscription.acknowledged] += 1

    def close(self, link: int) -> Subscription | None:
        """Forget the link and what was said on it."""
        subscription = self.links.pop(link, None)
        if subscription is None or self.names.get(subscription.name) is not subscription:
            return subscription
        del self.names[subscription.name]
        if not subscription.relay:
            del self._nodes[subscription.name]
            self._unfit.pop(subscription.name, None)
            self._serving -= subscription.serving
            self._forget_number(subscription.acknowledged)
        return subscription

    def _forget_number(self, number: int) -> None:
        self._numbers[number] -= 1
        if not self._numbers[number]:
            del self._numbers[number]

    def acknowledge(self, subscription: Subscription, number: int) -> None:
        """All up to ``number`` is in force there."""
        if number == subscription.acknowledged:
            return
        if not subscription.relay:
            self._forget_number(subscription.acknowledged)
            self._numbers[number] += 1
        subscription.acknowledged = number
        subscription.window_from = max(subscription.window_from, number)

    def condition(self, subscription: Subscription, serving: bool, unfit: str) -> None:
        """Whether it takes work, and why it can't take what is in force."""
        if not subscription.relay:
            self._serving += serving - subscription.serving
            if unfit:
                self._unfit[subscription.name] = subscription
            elif subscription.unfit:
                self._unfit.pop(subscription.name, None)
        subscription.serving, subscription.unfit = serving, unfit

    def report(self, number: int) -> Report:
        """On the nodes, where ``number`` is in force here."""
        nodes = len(self._nodes)
        behind = sum(count for at, count in self._numbers.items() if at < number)
        lowest = min(self._numbers, default=number)
        return Report(nodes, self._serving, lowest, behind, len(self._unfit), self._worst(number, behind))

    def _worst(self, number: int, behind: int) -> tuple[Standing, ...]:
        worst = list(islice(self._unfit.values(), WORST_MOST))
        if behind and len(worst) < WORST_MOST:
            late = (each for each in self._nodes.values() if each.acknowledged < number and not each.unfit)
            worst += islice(late, WORST_MOST - len(worst))
        return tuple(Standing(each.name, each.acknowledged, each.unfit) for each in worst)

    def relays(self) -> list[Subscription]:
        """Those that publish to others."""
        return [each for each in self.names.values() if each.relay]
