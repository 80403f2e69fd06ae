"""The emulator's loop in real time: the same models, driven by a reactor. It must not know what is played on it.

An event has the time at which it was to happen as its ``now``, however late the process came to it: a run ends in the
model when it should, and only what leaves by a socket is late. How late is told to ``lag``, since a rehearsal whose
driver fell behind says nothing about the program under test."""

from __future__ import annotations

import time
from collections.abc import Callable
from heapq import heappop
from typing import Any

from ..emulator.virtual import START, Alarm, Loop

TURN = 20_000  # microseconds of work after which sockets are looked at again
AHEAD = 200  # microseconds by which an event may be made too early: a reactor's timers are no finer


class RealLoop(Loop):
    """``zero`` is the microsecond of the monotonic clock at which the loop shows ``START``; processes that share it
    show the same time. Whoever brings something from a socket calls ``catch_up`` first."""

    def __init__(self, reactor: Any, zero: int, failed: Callable[[BaseException], None]) -> None:
        """``failed`` is told what a model raised: nothing that follows could be trusted."""
        super().__init__()
        self.reactor, self.zero, self.failed = reactor, zero, failed
        self.lag: Callable[[int], None] = lambda late: None
        self.now = self.real()
        self._timer: Any = None
        self._timer_at = 0
        self._inside = False

    def real(self) -> int:
        return time.monotonic_ns() // 1000 - self.zero + START

    @staticmethod
    def unix_now() -> int:
        """The system's Unix clock, nanoseconds; ``unix_ns`` is that of the models."""
        return time.time_ns()

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        super().at(when, call, *args)
        self._arm()

    def after(self, delay: int, call: Callable[..., Any], *args: Any) -> None:
        super().after(delay, call, *args)
        self._arm()

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Alarm:
        alarm = super().callLater(delay, call, *args)
        self._arm()
        return alarm

    def run(self, until: int, rest: Callable[[int], bool] | None = None, every: int = 1_000_000) -> None:
        raise NotImplementedError("a reactor drives this loop")

    def catch_up(self) -> None:
        """Make every call that has fallen due, each at its own time; from then on ``now`` is the real time."""
        if self._inside:
            return
        self._inside = True
        heap, begun = self._heap, self.real()
        try:
            self._flush()
            while heap and heap[0][0] <= self.real() + AHEAD:
                when, _, call, args = heappop(heap)
                self.now = max(self.now, when)
                self.lag(max(0, self.real() - when))
                self.events += 1
                call(*args)
                self._flush()
                if self.real() - begun > TURN:
                    break
            else:
                self.now = max(self.now, self.real())
        except Exception as error:
            self.failed(error)
        finally:
            self._inside = False
        self._arm()

    def _flush(self) -> None:
        while self._soon:
            self._ring(self._soon.popleft())

    def _wake(self) -> None:
        self._timer = None
        self.catch_up()

    def _arm(self) -> None:
        if self._inside or not (self._heap or self._soon):
            return
        when = self.now if self._soon else self._heap[0][0]
        if self._timer is not None:
            if self._timer_at <= when:
                return
            self._timer.cancel()
        self._timer_at = when
        self._timer = self.reactor.callLater(max(0.0, (when - self.real()) / 1e6), self._wake)
