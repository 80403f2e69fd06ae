"""Many image nodes without request traffic in one process. Each has its own agent, table and connection to a relay and
runs the same code as a real node. They share one event loop and its iterations. Nothing is stored on disk."""

from __future__ import annotations

import gc
import random
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import numpy as np

from ...control.agent import Agent
from ...control.messages import FromPublisher
from ...control.resources import Table
from ...control.store import StoredConfiguration
from ...control.terms import AgentTerms
from ...control.versions import Version
from ...net.protocol.control import Address, WatchClient
from ...net.routing.control_driver import AgentDriver
from ...net.transport.clock import Clock, EventLoop
from .history import AppliedRecords
from .injection import Injector
from .orders import (
    BeginPhase,
    Finish,
    HollowDone,
    HollowFinalState,
    HollowJob,
    InjectFault,
    LinkTotals,
    Order,
    Ready,
    Restart,
    SecondReport,
    WorkerMessage,
)
from .plan import Injection, Phase
from .worker import LoopLagMonitor

START_SPREAD = 4.0  # seconds over which the nodes of a process start


def name_of(node: int) -> str:
    """Return the name of the hollow node with this index."""
    return f"hollow-{node:05}"


class LinkMeter:
    """Counts bytes and messages of all relay connections of the process since the start of the phase. Wraps the reactor
    to intercept ``connectTCP``."""

    def __init__(self, reactor: Any, names: dict[Address, str]) -> None:
        self.reactor, self.names = reactor, names
        self.begin()

    def begin(self) -> None:
        self.bytes_in = self.bytes_out = self.messages_in = self.messages_out = 0
        self.by_relay: Counter[str] = Counter()

    def link_totals(self) -> LinkTotals:
        return LinkTotals(self.bytes_in, self.bytes_out, self.messages_in, self.messages_out, dict(self.by_relay))

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = None) -> Any:
        build, relay = factory.buildProtocol, self.names[host, port]

        def build_metered(address: Any) -> Any:
            protocol = build(address)
            if protocol is not None:
                self._attach(protocol, relay)
            return protocol

        factory.buildProtocol = build_metered
        return self.reactor.connectTCP(host, port, factory, timeout=timeout)

    def _attach(self, protocol: Any, relay: str) -> None:
        received, send = protocol.dataReceived, protocol.send

        def counted_received(data: bytes) -> None:
            self.bytes_in += len(data)
            self.by_relay[relay] += len(data)
            received(data)

        def counted_send(data: bytes) -> None:
            self.bytes_out += len(data)
            self.messages_out += 1
            self.by_relay[relay] += len(data)
            send(data)

        protocol.dataReceived, protocol.send = counted_received, counted_send


class LinkEventFilter:
    """Forwards connection events of one incarnation to its driver. Injects message faults, and drops events once that
    incarnation has ended."""

    def __init__(self, node: HollowNode, driver: AgentDriver) -> None:
        self.node, self.driver = node, driver

    @property
    def current(self) -> bool:
        return self.node.running and self.node.driver is self.driver

    def link_connected(self) -> None:
        if self.current:
            self.driver.link_connected()

    def link_disconnected(self) -> None:
        if self.current:
            self.driver.link_disconnected()

    def on_publisher_message(self, message: FromPublisher) -> None:
        if not self.current:
            return
        self.node.hollow.meter.messages_in += 1
        for each in self.node.injector(message):
            self.driver.on_publisher_message(each)


class HollowNode:
    """One hollow node across its restarts."""

    def __init__(self, index: int, hollow: HollowWorker) -> None:
        self.name, self.hollow = name_of(index), hollow
        self.injector = Injector()
        self.incarnation_count = 0
        self.running = False
        self.has_served = False  # the current incarnation has been ready to serve
        self.agent: Agent
        self.client: WatchClient
        self.driver: AgentDriver | None = None
        self._incarnation = -1
        self._agent_created = False

    def start(self, stored: StoredConfiguration | None = None) -> None:
        """Start a new incarnation; ``stored`` is the only state it takes over."""
        hollow = self.hollow
        self.incarnation_count += 1
        self.running = True
        self.has_served = False
        self._incarnation = hollow.applied.begin(self.name, hollow.now_us())
        self.client = WatchClient(hollow.meter, hollow.event_loop, hollow.addresses, hollow.counters)
        rng = random.Random(f"{hollow.job.seed}/{self.name}/{self.incarnation_count}").random
        incarnation = time.time_ns() // 1000

        def apply(version: Version | None, table: Table) -> str:
            return self._applied(version, stored)

        self.agent = Agent(
            self.name,
            incarnation,
            list(hollow.job.relays),
            AgentTerms(),
            hollow.now_us(),
            rng,
            apply,
            hollow.counters,
            stored,
        )
        self._agent_created = True
        self.driver = AgentDriver(hollow.event_loop, self.agent, self.client)
        self.client.events = LinkEventFilter(self, self.driver)
        self.driver.start()

    def kill(self) -> None:
        """Simulate the death of the process: the connection is reset without a message."""
        if not self.running:
            return
        self.running = False
        self._agent_created = False
        self.hollow.applied.end(self._incarnation, self.hollow.now_us())
        if self.driver is not None:
            self.driver.stop()
        attempt, self.client.attempt = self.client.attempt, None
        if attempt is not None and attempt.link is not None:
            attempt.link.abort()
        elif attempt is not None:
            attempt.cancel()

    def _applied(self, version: Version | None, stored: StoredConfiguration | None) -> str:
        """Record a version put in force, or (``None``) a whole table: the stored one while the agent is constructed."""
        state: Version | StoredConfiguration | Agent
        if version is not None:
            state = version
        elif stored is not None and not self._agent_created:
            state = stored
        else:
            state = self.agent
        self.hollow.applied.record(self._incarnation, state.number, state.digest, self.hollow.now_us())
        return ""

    def has_stopped_serving(self) -> bool:
        """Return whether the current incarnation was ready to serve and no longer is."""
        serving = self.agent.serving(self.hollow.now_us())
        self.has_served = self.has_served or serving
        return self.has_served and not serving

    def stored(self) -> StoredConfiguration:
        """Return the state that a real node would have on disk now."""
        return StoredConfiguration(self.agent.number, self.agent.digest, self.agent.table.copy())

    def final_state(self) -> HollowFinalState:
        agent = self.agent
        return HollowFinalState(
            self.name,
            agent.number,
            agent.digest.hex(),
            f"{agent.table.content:032x}",
            len(agent.table),
            agent.serving(self.hollow.now_us()),
        )


class HollowWorker:
    """Worker that runs hollow nodes."""

    def __init__(
        self, job: HollowJob, reactor: Any, send_message: Callable[[WorkerMessage], None], lag_monitor: LoopLagMonitor
    ) -> None:
        self.job, self.reactor, self.send_message, self.lag_monitor = job, reactor, send_message, lag_monitor
        self.event_loop = EventLoop(reactor, Clock())
        self.counters: Counter[str] = Counter()
        self.injected_counts: Counter[str] = Counter()
        self.applied = AppliedRecords()
        self.addresses: dict[str, Address] = {name: _address(at) for name, at in job.relays.items()}
        self.meter = LinkMeter(reactor, {at: name for name, at in self.addresses.items()})
        self.phases: dict[Phase, LinkTotals] = {}
        self.phase: Phase | None = None
        self.initial_state: StoredConfiguration | None = None  # state of a node when the first phase began
        self.nodes = {index: HollowNode(index, self) for index in job.nodes}
        rng = random.Random(f"{job.seed}/{job.name}")
        for node in self.nodes.values():
            reactor.callLater(rng.uniform(0.0, START_SPREAD), self._start, node)
        send_message(Ready({}))

    def now_us(self) -> int:
        """Return the time of the system-wide monotonic clock in microseconds."""
        return time.monotonic_ns() // 1000

    def _start(self, node: HollowNode, stored: StoredConfiguration | None = None) -> None:
        self.event_loop.begin_iteration()
        node.start(stored)

    def handle_order(self, order: Order) -> None:
        if isinstance(order, BeginPhase):
            self._begin_phase(order.phase)
        elif isinstance(order, Restart):
            self._restart(order.nodes)
        elif isinstance(order, InjectFault):
            self._inject(self.nodes[order.node], order.what)
        elif isinstance(order, Finish):
            self.send_message(self._done())

    def _begin_phase(self, phase: Phase | None) -> None:
        if self.phase is not None:
            self.phases[self.phase] = self.meter.link_totals()
        if self.initial_state is None and self.nodes:
            self.initial_state = next(iter(self.nodes.values())).stored()
            self._freeze_collector()
        self.phase = phase
        self.meter.begin()

    @staticmethod
    def _freeze_collector() -> None:
        """Exclude existing objects from garbage collection: a collection would traverse the tables of all nodes in the
        process and pause it for longer than a single node is ever paused."""
        gc.collect()
        gc.freeze()

    def _restart(self, nodes: list[int]) -> None:
        self.event_loop.begin_iteration()
        for index in nodes:
            self.nodes[index].kill()
        for index in nodes:
            self.nodes[index].start()

    def _inject(self, node: HollowNode, what: Injection) -> None:
        self.injected_counts[what.value] += 1
        if what is not Injection.FAR_BEHIND:
            node.injector.arm(what)
            return
        assert self.initial_state is not None
        node.kill()
        self._start(
            node,
            StoredConfiguration(self.initial_state.number, self.initial_state.digest, self.initial_state.table.copy()),
        )

    def complete_report(self, watched: SecondReport) -> SecondReport:
        now_us, nodes = self.now_us(), [node for node in self.nodes.values() if node.running]
        return SecondReport(
            watched.lag_ms,
            watched.lag_p99_ms,
            watched.cpu,
            len(self.nodes),
            sum(node.client.attempt is not None and node.client.attempt.link is not None for node in nodes),
            sum(node.agent.serving(now_us) for node in nodes),
            sum(node.has_stopped_serving() for node in nodes),
            min((node.agent.number for node in nodes), default=0),
        )

    def _done(self) -> HollowDone:
        self._begin_phase(None)
        path = Path(self.job.folder, f"{self.job.name}.npz")
        np.savez(path, **self.applied.columns())
        return HollowDone(
            str(path),
            {phase.value: link_totals for phase, link_totals in self.phases.items()},
            dict(self.counters),
            [node.final_state() for node in self.nodes.values()],
            dict(self.injected_counts),
            self.lag_monitor.watch.total_histogram.encode().decode(),
        )


def _address(text: str) -> Address:
    host, _, port = text.rpartition(":")
    return host, int(port)
