"""Which publisher a subscriber dials next, and when: rendezvous hashing spreads the subscribers evenly, and each keeps
to its own order; full jitter keeps those who lost the same publisher from coming back at one moment."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from .terms import WatchTerms

DOUBLINGS_MOST = 16  # past this the pause is at its most in any terms


def rendezvous_order(name: str, publishers: Sequence[str]) -> list[str]:
    """The publishers in the order in which ``name`` prefers them."""
    return sorted(set(publishers), key=lambda each: (-xxh3_64_intdigest(f"{name}\0{each}".encode()), each))


def doubled(base: int, times: int, most: int) -> int:
    """``base`` doubled so many times, ``most`` at most."""
    return min(most, base << min(times, DOUBLINGS_MOST))


@dataclass(frozen=True, slots=True)
class Attempt:
    """A publisher, and the moment at which to dial it."""

    publisher: str
    at: int


@dataclass(slots=True)
class Record:
    """What is known of one publisher."""

    failures: int = 0  # in a row
    not_before: int = 0


class Selection:
    """The order of the publishers, and the pauses between attempts."""

    def __init__(self, name: str, publishers: Sequence[str], terms: WatchTerms, draw: Callable[[], float]) -> None:
        self.name, self.terms, self.draw = name, terms, draw
        self.failures = 0  # attempts in a row, over all publishers, of which none gave a lease
        self.order: list[str] = []
        self._records: dict[str, Record] = {}
        self.use(publishers)

    def use(self, publishers: Sequence[str]) -> None:
        """Take another list. Raises ``ValueError`` for an empty one."""
        if not publishers:
            raise ValueError("no publisher is named")
        self.order = rendezvous_order(self.name, publishers)
        self._records = {name: self._records.get(name) or Record() for name in self.order}

    def first(self, now: int) -> Attempt:
        """The attempt at the start: without a pause."""
        return self._pick(now)

    def succeeded(self, publisher: str) -> None:
        """The publisher gave a lease."""
        self.failures = 0
        if publisher in self._records:
            self._records[publisher].failures = 0

    def after_loss(self, publisher: str, now: int) -> Attempt:
        """The next attempt after a link that worked was lost."""
        self._avoid(publisher, now)
        return self._pick(now + int(self.draw() * self.terms.spread_us))

    def after_failure(self, publisher: str, now: int) -> Attempt:
        """The next attempt after one that gave nothing."""
        self._avoid(publisher, now)
        return self._pick(now + self._pause())

    def after_gap(self, publisher: str, now: int) -> Attempt:
        """The same publisher once more, from what is there; another one if that has not helped."""
        if self.failures:
            return self.after_failure(publisher, now)
        return Attempt(publisher, now + self._pause())

    def after_refusal(self, publisher: str, retry: int, now: int) -> Attempt:
        """The next attempt after a publisher has asked not to be dialled for ``retry``."""
        self._avoid(publisher, now)
        if publisher in self._records:
            record = self._records[publisher]
            record.not_before = max(record.not_before, now + retry)
        return self._pick(now + self._pause())

    def rounds(self) -> int:
        """How often all publishers have failed in a row."""
        return self.failures // len(self.order)

    def _pause(self) -> int:
        """Full jitter: anything up to a bound that doubles with each failure."""
        pause = int(self.draw() * doubled(self.terms.backoff_us, self.failures, self.terms.backoff_most_us))
        self.failures += 1
        return pause

    def _avoid(self, publisher: str, now: int) -> None:
        record = self._records.get(publisher)
        if record is not None:
            record.not_before = now + doubled(self.terms.spread_us, record.failures, self.terms.backoff_most_us)
            record.failures += 1

    def _pick(self, at: int) -> Attempt:
        """The first in order that may be dialled at ``at``; else the one that may be soonest, with jitter."""
        for publisher in self.order:
            if self._records[publisher].not_before <= at:
                return Attempt(publisher, at)
        soonest = min(self.order, key=lambda publisher: self._records[publisher].not_before)
        wait = self._records[soonest].not_before + int(self.draw() * self.terms.backoff_us)
        return Attempt(soonest, wait)
