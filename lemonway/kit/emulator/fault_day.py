"""What days of nodes under faults have in common, in virtual time: the queue of events, links that are cut, nodes that
stand still, and how a schedule that breaks a promise is shortened. What a node is and does is left to the day.

Times are whole microseconds of the day's clock."""

from __future__ import annotations

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any, NamedTuple

MS = 1000

Waiting = tuple[str, tuple[Any, ...]]  # the kind and the arguments of what waits for a node


class Event(NamedTuple):
    """Something that happens to a day from outside; ``what`` are the arguments of its kind's handler."""

    at: int
    kind: str
    what: tuple[Any, ...]


class Cut(NamedTuple):
    """Links between the nodes of ``side`` and all others carry nothing for a while; ``one_way``: only from ``side``."""

    begin: int
    end: int
    side: frozenset[str]
    one_way: bool

    def severs(self, sender: str, receiver: str, now: int) -> bool:
        """Whether a message that is sent now is lost."""
        if not self.begin <= now < self.end:
            return False
        outward = sender in self.side and receiver not in self.side
        inward = receiver in self.side and sender not in self.side
        return outward or (inward and not self.one_way)


def in_order(events: Iterable[tuple[int, str, tuple[Any, ...]]]) -> list[Event]:
    """The schedule in order of time; what happens in one moment stands in a fixed order."""
    return [Event(*event) for event in sorted(events, key=lambda event: (event[0], event[1], str(event[2])))]


class FaultDay(ABC):
    """``names``: the nodes. ``rng`` draws what the network does. ``offsets``: how far each node's clock lies from the
    day's."""

    def __init__(self, names: list[str], rng: random.Random, offsets: dict[str, int]) -> None:
        self.names, self.rng, self.offsets = names, rng, offsets
        self.lives = dict.fromkeys(names, 1)
        self.up = dict.fromkeys(names, True)
        self.stopped: dict[str, list[Waiting]] = {}  # a node that stands still: what came to it meanwhile
        self.cuts: list[Cut] = []
        self.now = 0
        self._queue: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self._pushed = 0

    def begin(self, events: Iterable[Event], tick: int) -> None:
        """Put the schedule and each node's first tick on the queue."""
        for event in events:
            self.push(*event)
        for name in self.names:
            self.push(self.rng.randrange(tick), "tick", (name,))

    def push(self, at: int, kind: str, what: tuple[Any, ...]) -> None:
        """Let something happen at a moment; things of one moment happen in the order in which they were pushed."""
        self._pushed += 1
        heapq.heappush(self._queue, (at, self._pushed, kind, what))

    def clock(self, name: str) -> int:
        """The time on a node's own clock."""
        return self.now + self.offsets[name]

    def cut_off(self, side: Iterable[str], length: int, one_way: bool) -> None:
        """Cut the links between ``side`` and the others from now on."""
        self.cuts.append(Cut(self.now, self.now + length, frozenset(side), one_way))

    def is_cut(self, sender: str, receiver: str) -> bool:
        """Whether a cut takes a message that is sent now."""
        return any(cut.severs(sender, receiver, self.now) for cut in self.cuts)

    def run_until(self, end: int) -> None:
        """Let everything happen that is due by then."""
        while self._queue:
            at, _, kind, what = heapq.heappop(self._queue)
            if at > end:
                break
            self.now = at
            if kind == "stop":
                self.stop(*what)
            elif kind == "go":
                for each in self.stopped.pop(what[0], []):  # it finds at once what came meanwhile
                    self.happen(*each)
            elif (name := self.waits_for(kind, what)) in self.stopped:
                self.hold_back(name, kind, what)
            else:
                self.happen(kind, what)

    def stop(self, name: str, length: int) -> None:
        """The node stands still for a while."""
        self.stopped.setdefault(name, [])
        self.push(self.now + length, "go", (name,))

    def hold_back(self, name: str, kind: str, what: tuple[Any, ...]) -> None:
        """Something comes to a node that stands still."""
        self.stopped[name].append((kind, what))

    @abstractmethod
    def waits_for(self, kind: str, what: tuple[Any, ...]) -> str:
        """The node that has to go on for this to happen, or an empty string."""

    @abstractmethod
    def happen(self, kind: str, what: tuple[Any, ...]) -> None:
        """Let it happen."""
