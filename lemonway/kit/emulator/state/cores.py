"""Cores with processor sharing, and their current speed. Work is in milliseconds on one standard core.

All tasks progress at the same rate, so one number is enough: the work done so far for a task that was there from the
start. A task finishes when that number reaches its value at the task's start plus the task's work. The heap of these
finish marks needs no reordering when the speed changes (the virtual time of fair queueing, Parekh and Gallager 1993).
"""

from __future__ import annotations

from collections.abc import Callable
from heapq import heappop, heappush
from math import exp

from ..virtual import Loop

BUSY_WINDOW_US = 500_000.0  # time constant of the moving average of busy cores
WARMUP_STEP_US = 100_000  # between speed updates while a machine warms up
WORK_TOLERANCE_MS = 1e-9  # standard milliseconds; less remaining work counts as none


class Warmth:
    """A machine's share of its full speed. It rises linearly from ``initial_share`` to 1 over ``warmup_us``
    microseconds, or as work is done until ``warmup_work_ms`` standard milliseconds, whichever is faster; 0 = by time
    only."""

    __slots__ = ("initial_share", "warmup_us", "warmup_work_ms", "started_at_us", "warm")

    def __init__(self, initial_share: float, warmup_us: int, warmup_work_ms: float = 0.0) -> None:
        self.initial_share, self.warmup_us, self.warmup_work_ms = initial_share, warmup_us, warmup_work_ms
        self.started_at_us, self.warm = 0, True

    def start_cold(self, now_us: int) -> None:
        self.started_at_us, self.warm = now_us, self.initial_share >= 1.0 or self.warmup_us <= 0

    def speed_share(self, now_us: int, work_done_ms: float) -> float:
        if self.warm:
            return 1.0
        progress = (now_us - self.started_at_us) / self.warmup_us
        if self.warmup_work_ms > 0:
            progress = max(progress, work_done_ms / self.warmup_work_ms)
        if progress >= 1.0:
            self.warm = True
            return 1.0
        return self.initial_share + (1.0 - self.initial_share) * progress


class Task:
    """Work on the cores. ``is_request``: whether it counts towards the concurrency that the overload rule limits."""

    __slots__ = ("finish_mark", "work_ms", "ended", "on_done", "is_request")

    def __init__(self, finish_mark: float, work_ms: float, on_done: Callable[[], None], is_request: bool) -> None:
        self.finish_mark, self.work_ms, self.on_done, self.is_request, self.ended = (
            finish_mark,
            work_ms,
            on_done,
            is_request,
            False,
        )


class Cores:
    """``speed`` is that of one core. Above ``thrash_at`` tasks per core, the total speed falls by the factor
    1 / (1 + ``thrash`` x excess)."""

    def __init__(
        self,
        loop: Loop,
        count: int,
        speed: float,
        thrash: float,
        thrash_at: float,
        warmth: Warmth,
    ) -> None:
        self.loop, self.count, self.speed, self.thrash, self.thrash_at = loop, count, speed, thrash, thrash_at
        self.warmth = warmth
        self.factor = 1.0  # of the speed; below 1 under a fault
        self.tasks = self.concurrency = 0  # tasks on the cores, and how many of them are running requests
        self.total_work_ms = 0.0  # total for all tasks
        self.concurrency_us = 0.0  # integral of ``concurrency`` over time
        self._task_progress_ms = 0.0  # work done for a task present from the start
        self._task_rate = 0.0  # standard milliseconds per microsecond, for each task
        self._updated_at_us = loop.now
        self._busy_now, self._busy_mean = 0.0, 0.0
        self._heap: list[tuple[float, int, Task]] = []
        self._order = 0
        self._next_check_us = -1  # when ``_finish_due`` is called next; -1 = not scheduled

    def speed_share(self) -> float:
        """The share of full speed that the machine has reached while warming up; faults and thrashing are left out."""
        return self.warmth.speed_share(self.loop.now, self.total_work_ms)

    def reset(self, cold: bool) -> None:
        """Restarts the machine: discards all tasks."""
        self._advance()
        for _, _, task in self._heap:
            task.ended = True
        self._heap.clear()
        self.tasks = self.concurrency = 0
        self.total_work_ms, self._busy_mean = 0.0, 0.0
        if cold:
            self.warmth.start_cold(self.loop.now)
        self._recalculate()

    def set_speed_factor(self, factor: float) -> None:
        self._advance()
        self.factor = factor
        self._recalculate()

    def add(self, work_ms: float, on_done: Callable[[], None], is_request: bool = True) -> Task:
        self._advance()
        task = Task(self._task_progress_ms + max(work_ms, 1e-6), work_ms, on_done, is_request)
        self._order += 1
        heappush(self._heap, (task.finish_mark, self._order, task))
        self.tasks += 1
        self.concurrency += is_request
        self._recalculate()
        return task

    def remove(self, task: Task) -> float:
        """Removes a task. Returns the work done for it; a finished task counts in full."""
        if task.ended:
            return task.work_ms
        self._advance()
        task.ended = True
        self.tasks -= 1
        self.concurrency -= task.is_request
        self._recalculate()
        return max(0.0, task.work_ms - max(0.0, task.finish_mark - self._task_progress_ms))

    def busy(self) -> float:
        """The share of busy cores, averaged over about the last half second."""
        self._advance()
        return self._busy_mean

    def concurrency_total_us(self) -> float:
        self._advance()
        return self.concurrency_us

    def _advance(self) -> None:
        elapsed_us = self.loop.now - self._updated_at_us
        if elapsed_us <= 0:
            return
        self._updated_at_us = self.loop.now
        decay = exp(-elapsed_us / BUSY_WINDOW_US)
        self._busy_mean = decay * self._busy_mean + (1.0 - decay) * self._busy_now
        if self.tasks:
            step = self._task_rate * elapsed_us
            self._task_progress_ms += step
            self.total_work_ms += step * self.tasks
            self.concurrency_us += self.concurrency * elapsed_us

    def _recalculate(self) -> None:
        """Recalculates the rate and the next finish time after the number of tasks or the speed changed."""
        tasks, cores = self.tasks, self.count
        if not tasks:
            self._busy_now = self._task_rate = 0.0
            return
        excess = tasks / cores - self.thrash_at
        rate = self.speed * self.factor * self.warmth.speed_share(self.loop.now, self.total_work_ms) / 1000.0
        if excess > 0:
            rate /= 1.0 + self.thrash * excess
        if tasks > cores:
            rate *= cores / tasks
            self._busy_now = 1.0
        else:
            self._busy_now = tasks / cores
        self._task_rate = rate
        heap = self._heap
        while heap[0][2].ended:
            heappop(heap)
        wait_us = int(max(0.0, heap[0][0] - self._task_progress_ms - WORK_TOLERANCE_MS) / rate) + 1
        if not self.warmth.warm and wait_us > WARMUP_STEP_US:
            wait_us = WARMUP_STEP_US
        check_at_us = self.loop.now + wait_us
        if self._next_check_us < 0 or check_at_us < self._next_check_us:
            self._next_check_us = check_at_us
            self.loop.at(check_at_us, self._finish_due, check_at_us)

    def _finish_due(self, check_at_us: int) -> None:
        if check_at_us != self._next_check_us:  # superseded by an earlier check
            return
        self._next_check_us = -1
        self._advance()
        finished: list[Task] = []
        heap = self._heap
        while heap and (heap[0][2].ended or heap[0][0] <= self._task_progress_ms + WORK_TOLERANCE_MS):
            task = heappop(heap)[2]
            if not task.ended:
                task.ended = True
                self.tasks -= 1
                self.concurrency -= task.is_request
                finished.append(task)
        self._recalculate()
        for task in finished:
            task.on_done()
