"""Keeps a life on each machine: starts it, and starts it again, cold and under the same name, after it went."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..requests import Try
from ..routing.router import Router
from ..virtual import Loop

FALL_DOWN = 5_000_000  # microseconds that a node which fell over stays away
SWAP = 500_000  # between the end of a replaced process and the start of the one that takes its place


class Living(Protocol):
    """A life, as the keeper and the network need it."""

    name: str
    dead: bool
    accepting: bool
    leaving: bool

    def start(self) -> None: ...

    def arrive(self, router: Router, t: Try, delay: int) -> None: ...

    def check(self, router: Router, tag: int, delay: int) -> None: ...

    def drain(self, stop_us: int) -> None: ...

    def die(self, how: str) -> None: ...


@dataclass
class Happening:
    """Something that went wrong, or on, for the report."""

    at: int
    what: str


class Keeper:
    """``make`` builds a life by its machine's name: warm when the day begins, cold later."""

    def __init__(self, loop: Loop, make: Callable[[str, bool], Living]) -> None:
        self.loop, self.make = loop, make
        self.lives: dict[str, Living] = {}
        self.away: dict[str, int] = {}  # a node that is down: when it starts again, -1 = by its successor's turn
        self.replacing: set[str] = set()
        self.happened: list[Happening] = []
        self.counters: Counter[str] = Counter()

    def note(self, what: str) -> None:
        self.happened.append(Happening(self.loop.now, what))

    def start(self, name: str, cold: bool) -> None:
        self.away.pop(name, None)
        self.replacing.discard(name)
        life = self.lives[name] = self.make(name, cold)
        self.counters["cold_starts" if cold else "warm_starts"] += 1
        life.start()

    def crash(self, names: Sequence[str], down: int) -> int:
        """Kill these nodes outright, with their pools; each is back, cold, after ``down``. Gives how many were up."""
        hit = 0
        for name in names:
            life = self.lives.get(name)
            if life is not None and not life.dead:
                hit += 1
                self.counters["crashes"] += 1
                self.away[name] = self.loop.now + down
                self.replacing.discard(name)
                life.die("killed")
                self.loop.after(down, self._again, name, self.away[name])
        return hit

    def _again(self, name: str, when: int) -> None:
        if self.away.get(name) == when:
            self.start(name, True)

    def ended(self, life: Living, how: str) -> None:
        """A life is over by itself. Whoever killed it sees to what follows."""
        if how == "fell":
            self.counters["falls"] += 1
            self.note(f"{life.name} fell over")
            self.away[life.name] = self.loop.now + FALL_DOWN
            self.loop.after(FALL_DOWN, self._again, life.name, self.away[life.name])
        elif how in ("left", "stopped") and life.name in self.replacing:
            self.away[life.name] = self.loop.now + SWAP
            self.loop.after(SWAP, self._again, life.name, self.away[life.name])

    def replace(self, name: str, stop_us: int) -> bool:
        """Drain a node; its successor starts, cold, once it is gone. One that is down comes back new anyway."""
        life = self.lives.get(name)
        if life is None or life.dead or life.leaving:
            return False
        self.counters["replaced"] += 1
        self.replacing.add(name)
        life.drain(stop_us)
        return True

    def roll(self, names: Sequence[str], at_once: int, every: int, stop_us: int) -> None:
        """A rolling deploy: so many at a time, the next ones ``every`` microseconds."""
        names = list(names)
        for number, at in enumerate(range(0, len(names), at_once)):
            self.loop.after(number * every, self._batch, names[at : at + at_once], stop_us)

    def _batch(self, names: Sequence[str], stop_us: int) -> None:
        for name in names:
            self.replace(name, stop_us)


class Network:
    """Between routers and lives: a delay each way, and a refusal where nobody listens."""

    def __init__(self, loop: Loop, keeper: Keeper, delays: dict[int, int]) -> None:
        """``delays`` by router number, microseconds one way."""
        self.loop, self.keeper, self.delays = loop, keeper, delays

    def send(self, router: Router, t: Try) -> None:
        self.loop.after(self.delays[router.number], self._deliver, router, t)

    def _deliver(self, router: Router, t: Try) -> None:
        life, delay = self.keeper.lives.get(t.node), self.delays[router.number]
        if life is None or not life.accepting:
            t.note(self.loop.now, "connection refused")
            self.loop.after(delay, router.refused, t)
        else:  # also if its router has stopped waiting: that gives no sign
            life.arrive(router, t, delay)

    def check(self, router: Router, name: str, tag: int) -> None:
        self.loop.after(self.delays[router.number], self._check, router, name, tag)

    def _check(self, router: Router, name: str, tag: int) -> None:
        life, delay = self.keeper.lives.get(name), self.delays[router.number]
        if life is None or not life.accepting:
            self.loop.after(delay, router.checked, name, False, None)
        else:
            life.check(router, tag, delay)
