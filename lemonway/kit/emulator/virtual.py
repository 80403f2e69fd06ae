"""Virtual time and random numbers of a simulation: one event loop for a whole fleet, with the part of Twisted's reactor
interface that the node's event loop uses, and named random streams. It must not depend on what is simulated.

Twisted's ``task.Clock`` sorts the list of all its calls at each ``callLater``, which would hold the timers of a whole
fleet; SimPy runs generators, where the node has callbacks. This loop therefore has a heap of
(time, order): two events of the same microsecond happen in the order in which they were scheduled."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from heapq import heappop, heappush
from typing import Any

import numpy as np

START_US = 1_000_000_000  # microseconds on the monotonic clock when a simulated day begins
UNIX_START = 1_764_576_000_000_000  # the same moment on the Unix clock


class DelayedCall:
    """A scheduled call of the loop, with the methods of Twisted's ``IDelayedCall``."""

    __slots__ = ("call", "args", "when")

    def __init__(self, when: int, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when, self.call, self.args = when, call, args

    def active(self) -> bool:
        return self.call is not _do_nothing

    def cancel(self) -> None:
        self.call, self.args = _do_nothing, ()

    def getTime(self) -> float:
        return self.when / 1e6


def _do_nothing() -> None:
    return None


class Loop:
    """Runs events in order of time, then of scheduling. ``now`` is in microseconds."""

    def __init__(self) -> None:
        self.now = START_US
        self.events = 0  # number run so far
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._order = 0
        # Calls scheduled without a delay, made before the next event of the heap. A node ends the event-loop iteration
        # that the current event began with them.
        self._immediate_calls: deque[DelayedCall] = deque()

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule ``call(*args)`` at ``when``, or now if that is past. It can't be cancelled."""
        self._order += 1
        heappush(self._heap, (when if when > self.now else self.now, self._order, call, args))

    def after(self, delay: int, call: Callable[..., Any], *args: Any) -> None:
        """Schedule ``call(*args)`` in ``delay`` microseconds. It can't be cancelled."""
        self._order += 1
        heappush(self._heap, (self.now + delay, self._order, call, args))

    def run(self, until: int, rest: Callable[[int], bool] | None = None, every: int = 1_000_000) -> None:
        """Run every event up to ``until``. ``rest`` is called with the time after each ``every`` microseconds, and ends
        the run by returning True."""
        heap, soon, next_check = self._heap, self._immediate_calls, self.now + every
        while heap and heap[0][0] <= until:
            when, _, call, args = heappop(heap)
            if when >= next_check and rest is not None:
                if rest(when):
                    return
                next_check = when - (when - next_check) % every + every
            self.now = when
            self.events += 1
            call(*args)
            while soon:
                self._run_delayed(soon.popleft())
        self.now = until

    # Twisted reactor interface

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:
        if delay <= 0:
            alarm = DelayedCall(self.now, call, args)
            self._immediate_calls.append(alarm)
            return alarm
        alarm = DelayedCall(self.now + round(delay * 1e6), call, args)
        self._order += 1
        entry: tuple[int, int, Callable[..., Any], tuple[Any, ...]] = (
            alarm.when,
            self._order,
            self._run_delayed,
            (alarm,),
        )
        heappush(self._heap, entry)
        return alarm

    @staticmethod
    def _run_delayed(alarm: DelayedCall) -> None:
        call, args = alarm.call, alarm.args
        alarm.cancel()
        call(*args)

    # time source of ``transport.clock.Clock``

    def monotonic_ns(self) -> int:
        return self.now * 1000

    def unix_ns(self) -> int:
        return (self.now - START_US + UNIX_START) * 1000


class Streams:
    """Random streams by name. Each is derived from the seed and a digest of its name, so that the draws of one
    component depend neither on which others exist nor on the order in which they were created."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def sequence(self, name: str) -> np.random.SeedSequence:
        """The seed sequence of the named stream."""
        digest = blake2b(name.encode(), digest_size=16).digest()
        key = tuple(int.from_bytes(digest[offset : offset + 4], "little") for offset in range(0, 16, 4))
        return np.random.SeedSequence(self.seed, spawn_key=key)

    def __getitem__(self, name: str) -> np.random.Generator:
        return np.random.Generator(np.random.PCG64(self.sequence(name)))

    def number(self, name: str) -> int:
        """A 64-bit seed for a component that has its own generator."""
        return int(self.sequence(name).generate_state(1, np.uint64)[0])


class Uniform:
    """Uniform draws from a generator, fetched in blocks: fetching them one at a time costs twice as much."""

    __slots__ = ("_generator", "_block", "_index")

    BLOCK = 256

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._block: list[float] = []
        self._index = 0

    def __call__(self) -> float:
        """Draw from [0, 1)."""
        if self._index == len(self._block):
            self._block, self._index = self._generator.random(self.BLOCK).tolist(), 0
        self._index += 1
        return self._block[self._index - 1]

    def below(self, count: int) -> int:
        """Draw an integer from 0 to ``count`` - 1."""
        return int(self() * count)

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self()
