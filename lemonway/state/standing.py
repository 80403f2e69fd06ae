"""The order in which held requests stand for cores, and from when each may expect one, as it was last made and as
arrivals have taken their places in it since. It decides nothing: the order's keys come with each request.

Kept because making the order costs as much as there are held: with a thousand of them that is done at sweeps only."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator

from .inhand import Job


class Standing:
    def __init__(self) -> None:
        self.good = False  # whether it was made at all, for those that are held now
        self.by_rate = False
        self._keys: list[tuple[float, float, int]] = []
        self._rows: list[tuple[Job, float]] = []  # with the start expected; some are held no more
        self._last = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def renew(self, by_rate: bool, jobs: list[Job], starts: list[float], last: float) -> None:
        """A new order, the first first. ``last``: when a core is expected for one who comes after all of them."""
        self.good, self.by_rate, self._last = True, by_rate, last
        self._rows = [row for row in zip(jobs, starts, strict=True) if row[0].state == "held"]
        self._keys = [self._key(j) for j, _ in self._rows]

    def insert(self, j: Job) -> tuple[int, float]:
        """Its place, counted from 0, and its start: that of whom it goes before."""
        key = self._key(j)
        at = bisect(self._keys, key)
        start = self._rows[at][1] if at < len(self._rows) else self._last
        self._keys.insert(at, key)
        self._rows.insert(at, (j, start))
        return at, start

    def first(self, most: int) -> Iterator[Job]:
        """Those still held among so many; none where that is not above 0."""
        gone = 0
        while gone < len(self._rows) and self._rows[gone][0].state != "held":
            gone += 1
        del self._rows[:gone], self._keys[:gone]
        return iter([j for j, _ in self._rows[: max(0, most)] if j.state == "held"])

    def _key(self, j: Job) -> tuple[float, float, int]:
        return (-j.rate if self.by_rate else 0.0, j.came, j.id)
