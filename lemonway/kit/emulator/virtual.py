"""Virtual time: one loop for a whole fleet, with as much of a reactor as the node's turns ask for, and named random
streams. It must not know what is played on it.

Weighed: Twisted's ``task.Clock`` sorts a list of all its calls at each ``callLater``, and the timers of a whole fleet
would be in it; SimPy runs generators, where the node has callbacks. A heap of (time, order) is what is left, and the
order makes two events of one microsecond come in the order they were asked for."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from hashlib import blake2b
from heapq import heappop, heappush
from typing import Any

import numpy as np

START = 1_000_000_000  # microseconds on the monotonic clock when a day begins
UNIX_START = 1_764_576_000_000_000  # the same moment on the Unix clock


class Alarm:
    """A call that the loop will make, as ``IDelayedCall`` has it."""

    __slots__ = ("call", "args", "when")

    def __init__(self, when: int, call: Callable[..., Any], args: tuple[Any, ...]) -> None:
        self.when, self.call, self.args = when, call, args

    def active(self) -> bool:
        return self.call is not _nothing

    def cancel(self) -> None:
        self.call, self.args = _nothing, ()

    def getTime(self) -> float:
        return self.when / 1e6


def _nothing() -> None:
    return None


class Loop:
    """Events in order of time, then of asking. ``now`` is in microseconds."""

    def __init__(self) -> None:
        self.now = START
        self.events = 0  # made so far
        self._heap: list[tuple[int, int, Callable[..., Any], tuple[Any, ...]]] = []
        self._order = 0
        # What is to come next, ahead of the heap: the end of a turn, asked for by the event that began it.
        self._soon: deque[Alarm] = deque()

    def at(self, when: int, call: Callable[..., Any], *args: Any) -> None:
        """Have ``call(*args)`` made at ``when``, or now if that is past. It can't be recalled."""
        self._order += 1
        heappush(self._heap, (when if when > self.now else self.now, self._order, call, args))

    def after(self, delay: int, call: Callable[..., Any], *args: Any) -> None:
        self._order += 1
        heappush(self._heap, (self.now + delay, self._order, call, args))

    def run(self, until: int, rest: Callable[[int], bool] | None = None, every: int = 1_000_000) -> None:
        """Make every call up to ``until``. ``rest`` is told the time after each ``every`` microseconds of it, and ends
        the run by giving True."""
        heap, soon, mark = self._heap, self._soon, self.now + every
        while heap and heap[0][0] <= until:
            when, _, call, args = heappop(heap)
            if when >= mark and rest is not None:
                if rest(when):
                    return
                mark = when - (when - mark) % every + every
            self.now = when
            self.events += 1
            call(*args)
            while soon:
                self._ring(soon.popleft())
        self.now = until

    # as a reactor

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Alarm:
        if delay <= 0:
            alarm = Alarm(self.now, call, args)
            self._soon.append(alarm)
            return alarm
        alarm = Alarm(self.now + round(delay * 1e6), call, args)
        self._order += 1
        entry: tuple[int, int, Callable[..., Any], tuple[Any, ...]] = (alarm.when, self._order, self._ring, (alarm,))
        heappush(self._heap, entry)
        return alarm

    @staticmethod
    def _ring(alarm: Alarm) -> None:
        call, args = alarm.call, alarm.args
        alarm.cancel()
        call(*args)

    # as a source of time for ``transport.clock.Clock``

    def monotonic_ns(self) -> int:
        return self.now * 1000

    def unix_ns(self) -> int:
        return (self.now - START + UNIX_START) * 1000


class Streams:
    """Random streams by name. Each is spawned from the one seed by the digest of its name, so that what one component
    draws never depends on which others there are, nor on the order in which they were made."""

    def __init__(self, seed: int) -> None:
        self.seed = seed

    def sequence(self, name: str) -> np.random.SeedSequence:
        digest = blake2b(name.encode(), digest_size=16).digest()
        words = tuple(int.from_bytes(digest[at : at + 4], "little") for at in range(0, 16, 4))
        return np.random.SeedSequence(self.seed, spawn_key=words)

    def __getitem__(self, name: str) -> np.random.Generator:
        return np.random.Generator(np.random.PCG64(self.sequence(name)))

    def number(self, name: str) -> int:
        """A seed of 64 bits for a component that has a generator of its own."""
        return int(self.sequence(name).generate_state(1, np.uint64)[0])


class Uniform:
    """Single draws from a generator, taken from it in blocks: one at a time costs twice as much."""

    __slots__ = ("_generator", "_block", "_at")

    BLOCK = 256

    def __init__(self, generator: np.random.Generator) -> None:
        self._generator = generator
        self._block: list[float] = []
        self._at = 0

    def __call__(self) -> float:
        """From 0 to under 1."""
        if self._at == len(self._block):
            self._block, self._at = self._generator.random(self.BLOCK).tolist(), 0
        self._at += 1
        return self._block[self._at - 1]

    def below(self, count: int) -> int:
        return int(self() * count)

    def between(self, low: float, high: float) -> float:
        return low + (high - low) * self()
