"""Routers' connections of one real node by number: memory, descriptors and processor time, idle and active, and a wave
in which all dial at the same moment. The node is a process of its own, its pool and the routers are in this one."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

from benchmarks.processes import Pack
from lemonway.kit.clients import RouterClient
from lemonway.kit.pool import StandInPool
from lemonway.net.program.bounds import bounds_of

from .meters import ProcessReading, read_process
from .model import CALLERS, NODES, Budget, Probe, Series, series

SIZES, QUICK_SIZES = (50, 200, 400, 700), (5, 10, 20, 40)
OVER_SIZES = (800, 1_200, 1_600, 2_400)
SOCKETS, MEMORY_MB = 1_024, 192.0  # of a node, by its deployment
SETTLE_SECONDS, WATCH_SECONDS, QUICK_WATCH_SECONDS = 0.8, 2.0, 0.5
REQUESTS_A_SECOND = 1.0  # on each active connection: 19.4 of a caller, over a subset of 20 nodes
KEEP_ALIVE_SECONDS = 0.05  # between calls of one more caller: at a trickle a node closes what is idle at once
WAVE_PATIENCE = 5.0
SUBSET = 20  # nodes that a caller uses, by the second reading


def connection_bound() -> int:
    """Routers' connections that a node takes in, by its own bounds."""
    return bounds_of(SOCKETS, MEMORY_MB).connections


def forget_ended(pool: StandInPool) -> None:
    """The stand-in keeps every run and looks through all of them: without this it would slow down by itself."""
    for txn in [txn for txn, run in pool.runs.items() if run.state == "over"]:
        del pool.runs[txn]


@dataclass
class Caller:
    """Calls over one connection, at most one open."""

    client: RouterClient
    asked: int = 0
    answered: bool = True

    def call(self) -> None:
        """Send a request if the last one has its answer."""
        if self.client.side is None:
            return
        self.answered = not self.asked or self.asked in self.client.answers
        if self.answered:
            self.client.answers.clear()
            self.asked = self.client.call("busca", b"x", cpu="1.0")

    @property
    def waits(self) -> bool:
        return self.asked not in self.client.answers


class OneNode:
    """A real node with its pool and callers."""

    def __init__(self) -> None:
        self.pack = Pack(1, sockets=SOCKETS)
        self.node = self.pack.nodes[0]
        self.pack.start([self.node], 1, [])
        self.port = int(self.node.listen.rpartition(":")[2])

    def reading(self) -> ProcessReading:
        """The node's process as the system counts it."""
        assert self.node.process is not None
        return read_process(self.node.process.pid)

    def open(self, count: int) -> list[Caller]:
        """Dial so many connections; all are up."""
        callers: list[Caller] = []
        for begun in range(0, count, 50):  # less than the listening queue at a time
            callers += [Caller(RouterClient(self.pack.reactor, self.port)) for _ in range(min(50, count - begun))]
            self.await_links(callers)
        return callers

    def await_links(self, callers: list[Caller]) -> None:
        """Until every connection is up."""
        self.pack.spin(lambda: all(caller.client.side is not None for caller in callers))

    def run(self, seconds: float, work: Callable[[float], None]) -> None:
        """Turn the loop for a while; ``work`` is told the seconds gone."""
        begun = time.monotonic()
        while (gone := time.monotonic() - begun) < seconds:
            work(gone)
            self.pack.reactor.iterate(0.002)
            forget_ended(self.node.pool)

    def close(self) -> None:
        self.pack.close()


@contextmanager
def one_node() -> Iterator[OneNode]:
    """A node that is closed at the end."""
    node = OneNode()
    try:
        yield node
    finally:
        node.close()


@dataclass(frozen=True)
class Held:
    """What so many connections cost the node."""

    resident_kb: int
    descriptors: int
    core_percent: float


def watch(size: int, active: bool, seconds: float) -> Held:
    """Open ``size`` connections, each used once, and watch the node while they rest or each carries its requests."""
    with one_node() as node:
        callers = node.open(size)
        steady = node.open(1)[0]
        due = [0.0]

        def trickle(gone: float) -> None:
            if gone >= due[0]:
                due[0] = gone + KEEP_ALIVE_SECONDS
                steady.call()

        for caller in callers:
            caller.call()
        node.run(SETTLE_SECONDS, trickle)
        before, begun = node.reading(), time.monotonic()
        sent = [0]

        def load(gone: float) -> None:
            trickle(gone)
            wanted = int(gone * size * REQUESTS_A_SECOND) if active else 0
            while sent[0] < wanted:
                callers[sent[0] % size].call()
                sent[0] += 1

        due[0] = 0.0
        node.run(seconds, load)
        after = node.reading()
        busy = (after.processor_us - before.processor_us) / (time.monotonic() - begun) / 1e6
        return Held(after.resident_kb, after.descriptors, busy * 100)


@dataclass(frozen=True)
class Wave:
    """All dial at once, each with a request: how many were answered, until when, and what it cost."""

    answered: int
    seconds: float
    processor_ms: float


def wave(size: int) -> Wave:
    """Play one wave."""
    with one_node() as node:
        before, begun = node.reading(), time.monotonic()
        callers = [Caller(RouterClient(node.pack.reactor, node.port)) for _ in range(size)]
        last = 0.0
        answered = 0
        while answered < size and time.monotonic() < begun + WAVE_PATIENCE:
            node.pack.reactor.iterate(0.002)
            forget_ended(node.node.pool)
            for caller in callers:
                if not caller.asked:
                    caller.call()
            done = sum(not caller.waits for caller in callers if caller.asked)
            if done > answered:
                answered, last = done, time.monotonic() - begun
        used = node.reading().processor_us - before.processor_us
        for caller in callers:
            if caller.client.side is not None:
                caller.client.side.transport.abortConnection()
        return Wave(answered, last, used / 1000)


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    sizes = QUICK_SIZES if quick else SIZES
    seconds = QUICK_WATCH_SECONDS if quick else WATCH_SECONDS
    idle = {size: watch(size, False, seconds) for size in sizes}
    active = {size: watch(size, True, seconds) for size in sizes}
    waves = {size: wave(size) for size in sizes}
    unit, subset = "connections", CALLERS * SUBSET // NODES
    held = {size: float(found.descriptors) for size, found in idle.items()}
    bound = connection_bound()
    found = [
        series(
            "connections a node takes in, callers in full mesh",
            "connections",
            unit,
            {size: float(size) for size in sizes},
            CALLERS,
            Budget(bound, f"{bound} by its descriptors"),
            True,
        ),
        series(
            f"connections a node takes in, callers with {SUBSET} nodes each",
            "connections",
            unit,
            {size: float(size) for size in sizes},
            subset,
            Budget(bound, f"{bound} by its descriptors"),
            True,
        ),
        series(
            "descriptors, idle connections",
            "descriptors",
            unit,
            held,
            subset,
            Budget(SOCKETS, "descriptors of a node"),
            True,
        ),
        series(
            "memory, idle connections",
            "MB",
            unit,
            {size: found.resident_kb / 1000 for size, found in idle.items()},
            subset,
            Budget(MEMORY_MB, "memory of a node"),
        ),
        series(
            "processor time, idle connections",
            "% of a core",
            unit,
            {size: found.core_percent for size, found in idle.items()},
            subset,
        ),
        series(
            "memory, a request a second on each",
            "MB",
            unit,
            {size: found.resident_kb / 1000 for size, found in active.items()},
            subset,
            Budget(MEMORY_MB, "memory of a node"),
        ),
        series(
            "processor time, a request a second on each",
            "% of a core",
            unit,
            {size: found.core_percent for size, found in active.items()},
            subset,
            Budget(100.0, "a core"),
        ),
        series(
            "a wave: until the last has its answer",
            "s",
            unit,
            {size: found.seconds for size, found in waves.items()},
            subset,
        ),
        series(
            "a wave: processor time of the node",
            "ms",
            unit,
            {size: found.processor_ms for size, found in waves.items()},
            subset,
        ),
    ]
    if not quick:
        over = {size: wave(size).answered / size * 100 for size in OVER_SIZES}
        found.append(series(f"a wave past the table: answered within {WAVE_PATIENCE:g} s", "% of callers", unit, over))
    return found


PROBE = Probe("connections", "routers' connections of a real node by number", run)
