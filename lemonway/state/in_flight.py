"""The requests in flight by state, with their number per state, the memory that they reserve and their deadlines. It
makes no decisions and is independent of why a request changes its state.

All totals are updated where a request changes, so that a lookup costs the same with ten requests in flight and with a
thousand. Times are milliseconds of the caller's clock, memory is kilobytes."""

from __future__ import annotations

from collections.abc import Iterator
from heapq import heapify, heappop, heappush

from ..interface import Arrival, Effect, RequestClass

# Heap entries beyond three per request in flight at which the entries of ended requests are removed.
PRUNE_SLACK_ENTRIES = 64


class Job:
    """A request in flight, from when it is read to its end. Its run is to be stopped at ``stop_at_ms``, which is never
    after ``deadline_at_ms``. Only ``InFlight`` changes ``state``."""

    __slots__ = (
        "id",
        "class_index",
        "request_class",
        "tenant",
        "arrived_at_ms",
        "deadline_at_ms",
        "target_at_ms",
        "stop_at_ms",
        "expected_work_ms",
        "size_kb",
        "retry",
        "state",
        "resumed_at_ms",
        "run_ms",
        "answered",
        "keyed",
        "has_work_hint",
        "has_run",
        "value_rate",
        "pausing",
        "next_call_at_ms",
        "call_backoff_ms",
        "timed_out_call_ms",
        "call_requested_at_ms",
        "call_count",
        "sequence",
    )

    def __init__(
        self,
        event: Arrival,
        request_class: RequestClass,
        arrived_at_ms: float,
        deadline_at_ms: float,
        target_at_ms: float,
        stop_at_ms: float,
        expected_work_ms: float,
    ) -> None:
        self.id, self.class_index, self.request_class, self.tenant, self.retry = (
            event.id,
            event.class_index,
            request_class,
            event.tenant,
            event.retry,
        )
        (
            self.arrived_at_ms,
            self.deadline_at_ms,
            self.target_at_ms,
            self.stop_at_ms,
            self.expected_work_ms,
            self.size_kb,
        ) = arrived_at_ms, deadline_at_ms, target_at_ms, stop_at_ms, expected_work_ms, event.size_kb
        self.state = "queued"  # or running, paused, stalled (needs a call), calling, replaying, over
        self.resumed_at_ms = self.run_ms = self.value_rate = self.next_call_at_ms = self.call_backoff_ms = (
            self.timed_out_call_ms
        ) = 0.0
        self.call_requested_at_ms, self.call_count = 0.0, 0  # time it needed its last call; calls so far
        self.answered = self.has_run = self.pausing = False
        self.keyed, self.has_work_hint = request_class.effect is Effect.KEYED, event.work_ms is not None
        self.sequence = 0  # position in the order of arrival


class InFlight:
    """All requests in flight. A request reserves its size in memory, and ``run_factor`` times as much once started."""

    def __init__(self, run_factor: float) -> None:
        self.jobs: dict[int, Job] = {}
        self.queued: dict[int, Job] = {}
        self.running: dict[int, Job] = {}
        self.paused: dict[int, Job] = {}
        self.stalled: dict[int, Job] = {}
        self.calling: dict[int, Job] = {}
        self.replaying: dict[int, Job] = {}
        self.reserved_kb = 0.0
        self._by_state = {
            "queued": self.queued,
            "running": self.running,
            "paused": self.paused,
            "stalled": self.stalled,
            "calling": self.calling,
            "replaying": self.replaying,
        }
        self._memory_factors = {
            state: 1.0 if state in ("queued", "replaying") else run_factor for state in self._by_state
        }
        self._last_sequence = 0
        self._deadlines: list[tuple[float, int, int]] = []  # time, sequence, id; also of ended requests

    def __len__(self) -> int:
        return len(self.jobs)

    def __contains__(self, ident: object) -> bool:
        return ident in self.jobs

    def __iter__(self) -> Iterator[Job]:
        return iter(self.jobs.values())

    def __getitem__(self, ident: int) -> Job:
        return self.jobs[ident]

    def get(self, ident: int) -> Job | None:
        return self.jobs.get(ident)

    @property
    def started_count(self) -> int:
        """Requests that have a core or need it again: running, or stalled before a call."""
        return len(self.running) + len(self.stalled)

    def add(self, job: Job) -> None:
        """Add a new request; raises ValueError for an id that is in flight already."""
        if job.id in self.jobs:
            raise ValueError(f"request {job.id} arrived twice")
        self._last_sequence += 1
        job.sequence = self._last_sequence
        self.jobs[job.id] = self._by_state[job.state][job.id] = job
        self.reserved_kb += job.size_kb * self._memory_factors[job.state]
        heappush(self._deadlines, (job.deadline_at_ms, job.sequence, job.id))
        self._prune_deadlines()

    def move(self, job: Job, state: str) -> None:
        if state != job.state:
            del self._by_state[job.state][job.id]
            self._by_state[state][job.id] = job
            self.reserved_kb += job.size_kb * (self._memory_factors[state] - self._memory_factors[job.state])
            job.state = state
            if state == "running" and job.stop_at_ms < job.deadline_at_ms:
                heappush(self._deadlines, (job.stop_at_ms, job.sequence, job.id))
                self._prune_deadlines()

    def remove(self, job: Job) -> None:
        del self.jobs[job.id], self._by_state[job.state][job.id]
        factor, job.state = self._memory_factors[job.state], "over"
        self.reserved_kb = self.reserved_kb - job.size_kb * factor if self.jobs else 0.0  # no rounding error stays
        self._prune_deadlines()

    def pop_due(self, until_ms: float) -> list[Job]:
        """Requests whose deadline or stop time is at most ``until_ms``, in order of arrival. The caller has to handle
        them: a request is returned again only if it starts to run again."""
        found: dict[int, Job] = {}
        while self._deadlines and self._deadlines[0][0] <= until_ms:
            _, sequence, ident = heappop(self._deadlines)
            job = self.jobs.get(ident)
            if job is not None and job.sequence == sequence:
                found[sequence] = job
        return [found[sequence] for sequence in sorted(found)]

    def _prune_deadlines(self) -> None:
        """Bounds the heap under a stream of requests that are refused at once and have distant deadlines."""
        if len(self._deadlines) > PRUNE_SLACK_ENTRIES + 3 * len(self.jobs):
            live_jobs = self.jobs.values()
            self._deadlines = [(job.deadline_at_ms, job.sequence, job.id) for job in live_jobs]
            self._deadlines += [
                (job.stop_at_ms, job.sequence, job.id)
                for job in live_jobs
                if job.state == "running" and job.stop_at_ms < job.deadline_at_ms
            ]
            heapify(self._deadlines)
