"""Supervises the node on each machine: starts it, and restarts it cold under the same name after it ended."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from ..requests import Try
from ..routing.router import Router
from ..virtual import Loop

OVERLOAD_DOWNTIME_US = 5_000_000  # before a node that failed under overload is restarted
REPLACEMENT_DELAY_US = 500_000  # between the end of a drained process and the start of its replacement


class NodeIncarnation(Protocol):
    """A node process between start and end, as the supervisor and the network use it."""

    name: str
    dead: bool
    accepting: bool
    draining: bool

    def start(self) -> None: ...

    def arrive(self, router: Router, attempt: Try, delay: int) -> None: ...

    def check(self, router: Router, tag: int, delay: int) -> None: ...

    def drain(self, stop_us: int) -> None: ...

    def end(self, how: str) -> None: ...


@dataclass
class RecordedEvent:
    """A fault or other noteworthy event, for the report."""

    at: int
    description: str


class Supervisor:
    """``make`` builds a node process for the machine of the given name. Its second argument says whether the start is
    cold: nodes are warm when the run begins and cold after a restart."""

    def __init__(self, loop: Loop, make: Callable[[str, bool], NodeIncarnation]) -> None:
        self.loop, self.make = loop, make
        self.incarnations: dict[str, NodeIncarnation] = {}
        self.restart_at_us: dict[str, int] = {}  # restart times of nodes that are down
        self.replacing: set[str] = set()
        self.recorded_events: list[RecordedEvent] = []
        self.counters: Counter[str] = Counter()

    def record_event(self, what: str) -> None:
        self.recorded_events.append(RecordedEvent(self.loop.now, what))

    def start(self, name: str, cold: bool) -> None:
        self.restart_at_us.pop(name, None)
        self.replacing.discard(name)
        incarnation = self.incarnations[name] = self.make(name, cold)
        self.counters["cold_starts" if cold else "warm_starts"] += 1
        incarnation.start()

    def crash(self, names: Sequence[str], downtime_us: int) -> int:
        """Kills these nodes and their pools; each restarts cold after ``downtime_us``. Returns how many were up."""
        crashed_count = 0
        for name in names:
            incarnation = self.incarnations.get(name)
            if incarnation is not None and not incarnation.dead:
                crashed_count += 1
                self.counters["crashes"] += 1
                self.restart_at_us[name] = self.loop.now + downtime_us
                self.replacing.discard(name)
                incarnation.end("killed")
                self.loop.after(downtime_us, self._restart, name, self.restart_at_us[name])
        return crashed_count

    def _restart(self, name: str, restart_time_us: int) -> None:
        if self.restart_at_us.get(name) == restart_time_us:
            self.start(name, True)

    def on_ended(self, incarnation: NodeIncarnation, how: str) -> None:
        """Handles the end of a node process. After a kill, ``crash`` has already scheduled the restart."""
        if how == "fell":
            self.counters["falls"] += 1
            self.record_event(f"{incarnation.name} fell over")
            self.restart_at_us[incarnation.name] = self.loop.now + OVERLOAD_DOWNTIME_US
            self.loop.after(OVERLOAD_DOWNTIME_US, self._restart, incarnation.name, self.restart_at_us[incarnation.name])
        elif how in ("left", "stopped") and incarnation.name in self.replacing:
            self.restart_at_us[incarnation.name] = self.loop.now + REPLACEMENT_DELAY_US
            self.loop.after(REPLACEMENT_DELAY_US, self._restart, incarnation.name, self.restart_at_us[incarnation.name])

    def replace(self, name: str, stop_us: int) -> bool:
        """Drains a node; its replacement starts cold once it has ended. A node that is down restarts anew anyway."""
        incarnation = self.incarnations.get(name)
        if incarnation is None or incarnation.dead or incarnation.draining:
            return False
        self.counters["replaced"] += 1
        self.replacing.add(name)
        incarnation.drain(stop_us)
        return True

    def roll(self, names: Sequence[str], at_once: int, interval_us: int, stop_us: int) -> None:
        """Rolling deploy: replaces ``at_once`` nodes every ``interval_us`` microseconds."""
        names = list(names)
        for number, at in enumerate(range(0, len(names), at_once)):
            self.loop.after(number * interval_us, self._replace_batch, names[at : at + at_once], stop_us)

    def _replace_batch(self, names: Sequence[str], stop_us: int) -> None:
        for name in names:
            self.replace(name, stop_us)


class Network:
    """The network between routers and nodes: a delay each way, and connections refused where no node listens."""

    def __init__(self, loop: Loop, supervisor: Supervisor, delays: dict[int, int]) -> None:
        """``delays``: one-way delay in microseconds by router number."""
        self.loop, self.supervisor, self.delays = loop, supervisor, delays

    def send(self, router: Router, attempt: Try) -> None:
        self.loop.after(self.delays[router.number], self._deliver, router, attempt)

    def _deliver(self, router: Router, attempt: Try) -> None:
        incarnation, delay = self.supervisor.incarnations.get(attempt.node), self.delays[router.number]
        if incarnation is None or not incarnation.accepting:
            attempt.note(self.loop.now, "connection refused")
            self.loop.after(delay, router.on_refused, attempt)
        else:  # delivered even if the router has timed out, since it does not cancel the try
            incarnation.arrive(router, attempt, delay)

    def check(self, router: Router, name: str, tag: int) -> None:
        self.loop.after(self.delays[router.number], self._check, router, name, tag)

    def _check(self, router: Router, name: str, tag: int) -> None:
        incarnation, delay = self.supervisor.incarnations.get(name), self.delays[router.number]
        if incarnation is None or not incarnation.accepting:
            self.loop.after(delay, router.on_check_result, name, False, None)
        else:
            incarnation.check(router, tag, delay)
