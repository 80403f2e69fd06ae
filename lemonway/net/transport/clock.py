"""Clock, timers and batching of work per event-loop iteration. Times are whole microseconds of the monotonic clock."""

from __future__ import annotations

import logging
import time
from collections import deque
from collections.abc import Callable, Iterator, Sized
from heapq import heapify, heappop, heappush
from typing import Any, Protocol

log = logging.getLogger(__name__)

TimerCallback = Callable[[], None]


CLOSE_TIMEOUT_US = 1_000_000  # for which a closing connection waits for its output to drain and for the peer's FIN


class Flushable(Protocol):
    def flush(self) -> None: ...


class ClosingConnection(Protocol):
    """A connection that is being closed and is reset if that takes too long."""

    lost: bool

    def on_close_timeout(self) -> None: ...


class Clock:
    """``now`` (us) is read once per event-loop iteration; ``align`` measures the offset to the Unix clock again.

    ``monotonic`` and ``unix`` return the time in nanoseconds. They default to the system's clocks; the rehearsal kit
    passes its own to run a node in virtual time."""

    __slots__ = ("now_us", "_unix_offset_us", "_monotonic_ns", "_unix_ns")

    def __init__(
        self,
        monotonic: Callable[[], int] = time.monotonic_ns,
        unix: Callable[[], int] = time.time_ns,
    ) -> None:
        self._monotonic_ns, self._unix_ns = monotonic, unix
        self.now_us = self._unix_offset_us = 0
        self.update()
        self.sync_unix_offset()

    def update(self) -> int:
        self.now_us = self._monotonic_ns() // 1000
        return self.now_us

    def sync_unix_offset(self) -> None:
        self._unix_offset_us = self._unix_ns() // 1000 - self._monotonic_ns() // 1000

    def from_unix_ms(self, unix_ms: int) -> int:
        """Convert a Unix time in milliseconds to microseconds of this clock."""
        return unix_ms * 1000 - self._unix_offset_us

    def to_unix_us(self, at_us: int) -> int:
        return at_us + self._unix_offset_us

    def to_unix_ms(self, at_us: int) -> int:
        return (at_us + self._unix_offset_us) // 1000


class ActiveIds(Sized, Protocol):
    """The ids whose deadlines still matter."""

    def __contains__(self, ident: object, /) -> bool: ...


class Deadlines:
    """A heap of deadlines by id. Most ids end long before their deadline; their entries are pruned once they outnumber
    the ids in ``active_ids`` by far, so memory grows with the work in flight and not with the longest timeout."""

    __slots__ = ("_heap", "_active")

    def __init__(self, active_ids: ActiveIds) -> None:
        self._heap: list[tuple[int, int]] = []
        self._active = active_ids

    def __len__(self) -> int:
        return len(self._heap)

    def add(self, due_us: int, ident: int) -> None:
        if len(self._heap) > 64 + 4 * len(self._active):
            self._heap = [entry for entry in self._heap if entry[1] in self._active]
            heapify(self._heap)
        heappush(self._heap, (due_us, ident))

    @property
    def next_due_us(self) -> int | None:
        return self._heap[0][0] if self._heap else None

    def pop_due(self, now_us: int) -> Iterator[int]:
        """Remove and yield the ids whose deadline has passed."""
        while self._heap and self._heap[0][0] <= now_us:
            yield heappop(self._heap)[1]


class EventLoop:
    """Batches the work of one event-loop iteration: connections read their input, then due timers run, then the core
    makes one step, then buffered output is flushed. All timers share one heap and one delayed call of the reactor."""

    def __init__(self, reactor: Any, clock: Clock) -> None:
        self.reactor, self.clock = reactor, clock
        self.step: Callable[[], bool] = lambda: False  # the core's step; True requests another iteration
        self._iterating = False
        self._last_sequence = 0
        self._heap: list[tuple[int, int, TimerCallback]] = []
        self._closing: deque[tuple[int, ClosingConnection]] = deque()
        self._timer: Any = None
        self._timer_at_us = 0
        self._unflushed: dict[Flushable, None] = {}
        self.exception_count = 0

    def begin_iteration(self) -> None:
        """Called by each reactor callback: the first call of an iteration reads the clock and schedules its end."""
        if not self._iterating:
            self._iterating = True
            self.clock.update()
            self.reactor.callLater(0, self._end_iteration)

    def call_at(self, when_us: int, callback: TimerCallback) -> None:
        """Run ``callback`` in the first iteration at or after ``when_us``. A timer can't be cancelled: the callback
        must check whether it still applies."""
        self._last_sequence += 1
        heappush(self._heap, (when_us, self._last_sequence, callback))
        if not self._iterating:
            self._schedule_timer()

    def call_after(self, delay_us: int, callback: TimerCallback) -> None:
        self.call_at(self.clock.now_us + delay_us, callback)

    def start_close_timeout(self, closing_connection: ClosingConnection) -> None:
        """Report the timeout to a connection that has not closed after ``CLOSE_TIMEOUT_US``. All connections have the
        same timeout and most close earlier, so one timer serves a queue of them and fires a few times a second at
        most."""
        self._closing.append((self.clock.now_us + CLOSE_TIMEOUT_US, closing_connection))
        if len(self._closing) == 1:
            self.call_after(CLOSE_TIMEOUT_US, self._check_closing)

    def _check_closing(self) -> None:
        queue, now = self._closing, self.clock.now_us
        while queue and (queue[0][1].lost or queue[0][0] <= now):
            closing_connection = queue.popleft()[1]
            if not closing_connection.lost:
                self._call_safely(closing_connection.on_close_timeout)
        if queue:
            self.call_at(max(queue[0][0], now + CLOSE_TIMEOUT_US // 4), self._check_closing)

    def stop(self) -> None:
        """Cancel every timer; no further step is made."""
        self._heap.clear()
        self._closing.clear()
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self.step = lambda: False

    def schedule_flush(self, connection: Flushable) -> None:
        """Flush ``connection`` at the end of this iteration."""
        self._unflushed[connection] = None
        self.begin_iteration()

    def _end_iteration(self) -> None:
        heap, now, again = self._heap, self.clock.now_us, False
        while heap and heap[0][0] <= now:
            self._call_safely(heappop(heap)[2])
        again = self._call_safely(self.step) is True
        unflushed, self._unflushed = self._unflushed, {}
        for connection in unflushed:
            self._call_safely(connection.flush)
        self._iterating = False
        if again or self._unflushed:
            self.begin_iteration()
        self._schedule_timer()

    def _call_safely(self, callback: Callable[[], Any]) -> Any:
        """Call ``callback`` and log its exception: one that escaped would skip the other callbacks and leave the
        iteration unfinished, which would stop the node for good."""
        try:
            return callback()
        except Exception:
            self.exception_count += 1
            log.exception("unhandled exception in an event-loop iteration")
            return None

    def _schedule_timer(self) -> None:
        if not self._heap:
            return
        at_us = self._heap[0][0]
        if self._timer is not None and self._timer.active():
            if at_us == self._timer_at_us:
                return
            self._timer.cancel()
        # The earliest timer changes a few times a second, not with each request: one delayed call is enough.
        delay_s = max(0, at_us - self.clock.now_us) / 1e6
        self._timer_at_us, self._timer = at_us, self.reactor.callLater(delay_s, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        if not self._iterating:
            self.begin_iteration()
