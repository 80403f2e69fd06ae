"""Base of the fault simulations: an event queue in virtual time, network partitions and paused nodes.

One simulated run is called a day. Subclasses define the nodes and handle the events. Times are whole microseconds of
the simulation's clock."""

from __future__ import annotations

import heapq
import random
from abc import ABC, abstractmethod
from collections.abc import Iterable
from typing import Any, NamedTuple

MS = 1000  # microseconds

DeferredEvent = tuple[str, tuple[Any, ...]]  # kind and arguments of an event that a paused node has not handled yet


class Event(NamedTuple):
    """A scheduled fault or request; ``what`` holds the arguments of the handler of its kind."""

    at: int
    kind: str
    what: tuple[Any, ...]


class Partition(NamedTuple):
    """For a time, messages between ``side`` and all other nodes are lost; ``one_way``: only those sent by ``side``."""

    begin: int
    end: int
    side: frozenset[str]
    one_way: bool

    def drops(self, sender: str, receiver: str, now: int) -> bool:
        """Whether a message sent at ``now`` is lost to this partition."""
        if not self.begin <= now < self.end:
            return False
        outbound = sender in self.side and receiver not in self.side
        inbound = receiver in self.side and sender not in self.side
        return outbound or (inbound and not self.one_way)


def sort_events(events: Iterable[tuple[int, str, tuple[Any, ...]]]) -> list[Event]:
    """The events sorted by time; events of the same time are sorted by kind and arguments, so the order is fixed."""
    return [Event(*event) for event in sorted(events, key=lambda event: (event[0], event[1], str(event[2])))]


class FaultDay(ABC):
    """A simulated run of the nodes ``names``. ``rng`` draws the network's behaviour; ``offsets`` holds how far each
    node's clock is from the simulation's."""

    def __init__(self, names: list[str], rng: random.Random, offsets: dict[str, int]) -> None:
        self.names, self.rng, self.offsets = names, rng, offsets
        self.incarnations = dict.fromkeys(names, 1)
        self.up = dict.fromkeys(names, True)
        self.paused: dict[str, list[DeferredEvent]] = {}  # paused node: its deferred events
        self.partitions: list[Partition] = []
        self.now = 0
        self._queue: list[tuple[int, int, str, tuple[Any, ...]]] = []
        self._pushed = 0

    def begin(self, events: Iterable[Event], tick: int) -> None:
        """Queue the scheduled events and each node's first tick."""
        for event in events:
            self.push(*event)
        for name in self.names:
            self.push(self.rng.randrange(tick), "tick", (name,))

    def push(self, at: int, kind: str, arguments: tuple[Any, ...]) -> None:
        """Queue an event; events of the same time are handled in the order in which they were queued."""
        self._pushed += 1
        heapq.heappush(self._queue, (at, self._pushed, kind, arguments))

    def clock(self, name: str) -> int:
        """The time on a node's own clock."""
        return self.now + self.offsets[name]

    def start_partition(self, side: Iterable[str], length: int, one_way: bool) -> None:
        """Partition ``side`` from the other nodes for ``length`` microseconds from now."""
        self.partitions.append(Partition(self.now, self.now + length, frozenset(side), one_way))

    def is_partitioned(self, sender: str, receiver: str) -> bool:
        """Whether a message sent now is lost to a partition."""
        return any(partition.drops(sender, receiver, self.now) for partition in self.partitions)

    def run_until(self, end: int) -> None:
        """Handle all events that are due at or before ``end``."""
        while self._queue:
            at, _, kind, arguments = heapq.heappop(self._queue)
            if at > end:
                break
            self.now = at
            if kind == "stop":
                self.pause(*arguments)
            elif kind == "go":
                for each in self.paused.pop(arguments[0], []):  # a resumed node handles its deferred events at once
                    self.handle(*each)
            elif (name := self.target_node(kind, arguments)) in self.paused:
                self.defer(name, kind, arguments)
            else:
                self.handle(kind, arguments)

    def pause(self, name: str, length: int) -> None:
        """Pause a node for ``length`` microseconds."""
        self.paused.setdefault(name, [])
        self.push(self.now + length, "go", (name,))

    def defer(self, name: str, kind: str, arguments: tuple[Any, ...]) -> None:
        """Keep an event for a paused node until it resumes."""
        self.paused[name].append((kind, arguments))

    @abstractmethod
    def target_node(self, kind: str, arguments: tuple[Any, ...]) -> str:
        """The node that handles this event and defers it while paused, or an empty string."""

    @abstractmethod
    def handle(self, kind: str, arguments: tuple[Any, ...]) -> None:
        """Handle an event."""
