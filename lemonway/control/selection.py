"""Choice of the publisher that a subscriber connects to next, and of the time.

Rendezvous hashing spreads the subscribers evenly and gives each a stable order of preference. Full jitter keeps
subscribers that lost the same publisher from reconnecting at the same time."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from .terms import WatchTerms

MAX_DOUBLINGS = 16  # bounds the shift; all configured delays have reached their maximum by then


def rendezvous_order(name: str, publishers: Sequence[str]) -> list[str]:
    """The publishers in the order of preference of the subscriber ``name``."""
    return sorted(set(publishers), key=lambda each: (-xxh3_64_intdigest(f"{name}\0{each}".encode()), each))


def doubled(base: int, times: int, maximum: int) -> int:
    """``base`` doubled ``times`` times, limited to ``maximum``."""
    return min(maximum, base << min(times, MAX_DOUBLINGS))


@dataclass(frozen=True, slots=True)
class Attempt:
    """A connection attempt: the publisher, and the time (in microseconds) at which to connect to it."""

    publisher: str
    dial_at_us: int


@dataclass(slots=True)
class PublisherRecord:
    """The connection history of one publisher."""

    failures: int = 0  # consecutive
    not_before_us: int = 0  # time before which it should not be dialled


class Selection:
    """Orders the publishers and computes the delays between attempts."""

    def __init__(self, name: str, publishers: Sequence[str], terms: WatchTerms, draw: Callable[[], float]) -> None:
        self.name, self.terms, self.draw = name, terms, draw
        self.failures = 0  # consecutive attempts, over all publishers, that led to no lease
        self.order: list[str] = []
        self._records: dict[str, PublisherRecord] = {}
        self.set_publishers(publishers)

    def set_publishers(self, publishers: Sequence[str]) -> None:
        """Replace the list of publishers. Raises ``ValueError`` if it is empty."""
        if not publishers:
            raise ValueError("the list of publishers is empty")
        self.order = rendezvous_order(self.name, publishers)
        self._records = {name: self._records.get(name) or PublisherRecord() for name in self.order}

    def first_attempt(self, now: int) -> Attempt:
        """The first attempt, without a delay."""
        return self._pick(now)

    def succeeded(self, publisher: str) -> None:
        """The publisher granted a lease."""
        self.failures = 0
        if publisher in self._records:
            self._records[publisher].failures = 0

    def after_loss(self, publisher: str, now: int) -> Attempt:
        """The next attempt after the loss of a link on which a lease was granted."""
        self._avoid(publisher, now)
        return self._pick(now + int(self.draw() * self.terms.reconnect_jitter_us))

    def after_failure(self, publisher: str, now: int) -> Attempt:
        """The next attempt after one that led to no lease."""
        self._avoid(publisher, now)
        return self._pick(now + self._backoff())

    def after_gap(self, publisher: str, now: int) -> Attempt:
        """The next attempt after a gap in the received versions: the same publisher, unless attempts have failed."""
        if self.failures:
            return self.after_failure(publisher, now)
        return Attempt(publisher, now + self._backoff())

    def after_refusal(self, publisher: str, retry_us: int, now: int) -> Attempt:
        """The next attempt after a publisher has refused the watch for ``retry_us`` microseconds."""
        self._avoid(publisher, now)
        if publisher in self._records:
            record = self._records[publisher]
            record.not_before_us = max(record.not_before_us, now + retry_us)
        return self._pick(now + self._backoff())

    def failed_rounds(self) -> int:
        """How many complete rounds over all publishers have failed since the last success."""
        return self.failures // len(self.order)

    def _backoff(self) -> int:
        """A delay with full jitter: uniform between 0 and a bound that doubles with each failure."""
        backoff = int(self.draw() * doubled(self.terms.initial_backoff_us, self.failures, self.terms.max_backoff_us))
        self.failures += 1
        return backoff

    def _avoid(self, publisher: str, now: int) -> None:
        record = self._records.get(publisher)
        if record is not None:
            record.not_before_us = now + doubled(
                self.terms.reconnect_jitter_us, record.failures, self.terms.max_backoff_us
            )
            record.failures += 1

    def _pick(self, earliest_us: int) -> Attempt:
        """The most preferred publisher available at ``earliest_us``; else the next to become so, with jitter."""
        for publisher in self.order:
            if self._records[publisher].not_before_us <= earliest_us:
                return Attempt(publisher, earliest_us)
        soonest = min(self.order, key=lambda publisher: self._records[publisher].not_before_us)
        available_at_us = self._records[soonest].not_before_us + int(self.draw() * self.terms.initial_backoff_us)
        return Attempt(soonest, available_at_us)
