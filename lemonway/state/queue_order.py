"""The order in which queued requests get cores, with the expected start of each: as last rebuilt, plus the arrivals
inserted since. It makes no decisions; the sort keys come with each request.

The order is kept because rebuilding it costs by the number of queued requests: with a thousand of them it is rebuilt in
sweeps only."""

from __future__ import annotations

from bisect import bisect
from collections.abc import Iterator

from .in_flight import Job


class QueueOrder:
    def __init__(self) -> None:
        self.valid = False  # whether the order covers the requests that are queued now
        self.by_value_rate = False
        self._keys: list[tuple[float, float, int]] = []
        self._rows: list[tuple[Job, float]] = []  # with the expected start in ms; some have left the queue
        self._next_start_ms = 0.0

    def __len__(self) -> int:
        return len(self._rows)

    def rebuild(self, by_value_rate: bool, jobs: list[Job], starts_at_ms: list[float], next_start_ms: float) -> None:
        """Replace the order by ``jobs``, first to last; ``next_start_ms`` is the start expected behind them."""
        self.valid, self.by_value_rate, self._next_start_ms = True, by_value_rate, next_start_ms
        self._rows = [row for row in zip(jobs, starts_at_ms, strict=True) if row[0].state == "queued"]
        self._keys = [self._key(job) for job, _ in self._rows]

    def insert(self, job: Job) -> tuple[int, float]:
        """Insert a request; returns its position from 0 and its expected start, that of the request now behind it."""
        key = self._key(job)
        position = bisect(self._keys, key)
        start_at_ms = self._rows[position][1] if position < len(self._rows) else self._next_start_ms
        self._keys.insert(position, key)
        self._rows.insert(position, (job, start_at_ms))
        return position, start_at_ms

    def first_queued(self, limit: int) -> Iterator[Job]:
        """The requests still queued among the first ``limit``; none if ``limit`` is 0 or less."""
        left_count = 0
        while left_count < len(self._rows) and self._rows[left_count][0].state != "queued":
            left_count += 1
        del self._rows[:left_count], self._keys[:left_count]
        return iter([job for job, _ in self._rows[: max(0, limit)] if job.state == "queued"])

    def _key(self, job: Job) -> tuple[float, float, int]:
        return (-job.value_rate if self.by_value_rate else 0.0, job.arrived_at_ms, job.id)
