"""The emulator's event loop in real time, driven by a Twisted reactor. It is independent of the models that run on it.

An event runs with its scheduled time as ``now``, however late it is dispatched: a run ends on time in the model, and
only output to sockets is late. The delay is passed to ``report_lag``, since a rehearsal whose driver fell behind says
nothing about the program under test."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop
from typing import Any

from ..emulator.virtual import START_US, DelayedCall, Loop

MAX_BATCH_US = 20_000  # longest batch of events before the reactor polls its sockets again
EARLY_TOLERANCE_US = 200  # how early an event may run, since reactor timers are no finer


class RealLoop(Loop):
    """An event loop whose ``now`` follows the monotonic clock.

    ``zero`` is the monotonic time, in microseconds, that corresponds to ``START_US``; processes that share it have the
    same time. Code that handles socket input must call ``catch_up`` first."""

    def __init__(self, reactor: Any, zero: int, on_error: Callable[[BaseException], None]) -> None:
        """``on_error`` receives any exception of a model; the results after it can't be trusted."""
        super().__init__()
        self.reactor, self.zero, self.on_error = reactor, zero, on_error
        self.report_lag: Callable[[int], None] = lambda late: None
        self.now = self.real_now()
        self._timer: Any = None
        self._timer_at = 0
        self._catching_up = False

    def real_now(self) -> int:
        return time.monotonic_ns() // 1000 - self.zero + START_US

    @staticmethod
    def unix_now() -> int:
        """The system's Unix time in nanoseconds; ``unix_ns`` is the models' Unix time."""
        return time.time_ns()

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        super().at(when, call, *args)
        self._schedule_wakeup()

    def after(self, delay: int, call: Callable[..., Any], *args: Any) -> None:
        super().after(delay, call, *args)
        self._schedule_wakeup()

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:
        alarm = super().callLater(delay, call, *args)
        self._schedule_wakeup()
        return alarm

    def run(self, until: int, rest: Callable[[int], bool] | None = None, every: int = 1_000_000) -> None:
        raise NotImplementedError("RealLoop is driven by its reactor")

    def catch_up(self) -> None:
        """Run all due events, each at its scheduled time, then set ``now`` to the real time. Stops early after
        ``MAX_BATCH_US``, so that sockets are polled; the remaining events run at the next wakeup."""
        if self._catching_up:
            return
        self._catching_up = True
        heap, started_at = self._heap, self.real_now()
        try:
            self._run_ready_calls()
            while heap and heap[0][0] <= self.real_now() + EARLY_TOLERANCE_US:
                when, _, call, args = heappop(heap)
                self.now = max(self.now, when)
                self.report_lag(max(0, self.real_now() - when))
                self.events += 1
                call(*args)
                self._run_ready_calls()
                if self.real_now() - started_at > MAX_BATCH_US:
                    break
            else:
                self.now = max(self.now, self.real_now())
        except Exception as error:
            self.on_error(error)
        finally:
            self._catching_up = False
        self._schedule_wakeup()

    def _run_ready_calls(self) -> None:
        while self._immediate_calls:
            self._run_delayed(self._immediate_calls.popleft())

    def _wake(self) -> None:
        self._timer = None
        self.catch_up()

    def _schedule_wakeup(self) -> None:
        if self._catching_up or not (self._heap or self._immediate_calls):
            return
        when = self.now if self._immediate_calls else self._heap[0][0]
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self.reactor.callLater(max(0.0, (when - self.real_now()) / 1e6), self._wake)
