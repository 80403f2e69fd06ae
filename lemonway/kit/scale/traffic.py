"""Open-loop requests to the real nodes of a scale run, and the worker pools behind them. The latency of a request
counts from its scheduled send time, so that a late generator cannot hide a slow node."""

from __future__ import annotations

import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from hdrh.histogram import HdrHistogram
from twisted.python.failure import Failure

from ..clients import RouterClient, RouterSide
from ..live.watch import LAG_HISTOGRAM_RANGE
from ..pool import Plan, PoolSide, Run, StandInPool
from ..tally import Tally
from .orders import (
    Answers,
    BeginPhase,
    Finish,
    Listening,
    Order,
    Ready,
    SecondReport,
    TrafficDone,
    TrafficJob,
    WorkerMessage,
)
from .plan import Phase
from .worker import LoopLagMonitor

CLASS = "busca"
CORES = 6
BODY = b"x" * 200
RECONNECT_DELAY = 0.25  # seconds
MAX_EARLY_SECONDS = 0.0002  # by which a request may be sent early; its latency still counts from its scheduled time


@dataclass
class PhaseAnswers:
    """Answers of one node in one phase; histograms in microseconds."""

    answer_counts: Counter[str] = field(default_factory=Counter)
    latency: HdrHistogram = field(default_factory=lambda: HdrHistogram(*LAG_HISTOGRAM_RANGE))
    send_delay: HdrHistogram = field(default_factory=lambda: HdrHistogram(*LAG_HISTOGRAM_RANGE))

    def answers(self) -> Answers:
        return Answers(dict(self.answer_counts), self.latency.encode().decode(), self.send_delay.encode().decode())


def _record(histogram: HdrHistogram, seconds: float) -> None:
    histogram.record_value(min(LAG_HISTOGRAM_RANGE[1], max(1, int(seconds * 1e6))))


class DiscardingTally(Tally):
    """Stores nothing: state that grows with every request would make garbage collection pauses longer and longer."""

    def ask(self, front: str, number: int, what: str) -> None:
        """Answers are counted by phase."""

    def answer(self, front: str, number: int, word: str) -> None:
        """Answers are counted by phase."""


class NoDelayRouterSide(RouterSide):
    """Sends each request immediately (TCP_NODELAY)."""

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        super().connectionMade()


class NoDelayPool(StandInPool):
    """Answers immediately (TCP_NODELAY) and drops finished runs, which would make each poll more expensive."""

    def buildProtocol(self, addr: Any) -> PoolSide:
        side = super().buildProtocol(addr)
        side.connectionMade = lambda: side.transport.setTcpNoDelay(True)  # type: ignore[method-assign]
        return side

    def _finish(self, run: Run, end: str) -> None:
        super()._finish(run, end)
        self.runs.pop(run.txn, None)
        self.spawned.clear()


class Router(RouterClient):
    """One connection to a node; records the scheduled send time of each request."""

    def __init__(self, target: Target, port: int) -> None:
        self.target = target
        self.disabled = False
        self.scheduled: dict[int, tuple[float, Phase]] = {}
        super().__init__(target.reactor, port, DiscardingTally(), target.name)

    def buildProtocol(self, addr: Any) -> RouterSide:
        return NoDelayRouterSide(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._schedule_reconnect(connector)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        for _, phase in self.scheduled.values():
            self.target.phase_answers(phase).answer_counts["LOST"] += 1
        self.scheduled.clear()
        self._schedule_reconnect(connector)

    def _schedule_reconnect(self, connector: Any) -> None:
        if not self.disabled:
            self.target.reactor.callLater(RECONNECT_DELAY, self._reconnect, connector)

    def _reconnect(self, connector: Any) -> None:
        if not self.disabled:
            connector.connect()

    def disable(self) -> None:
        self.disabled = True
        if self.side is not None:
            self.side.transport.abortConnection()

    def ask(self, scheduled: float, phase: Phase, txn: str) -> None:
        self.scheduled[self.call(CLASS, BODY, txn=txn, team="museu-grande")] = (scheduled, phase)

    def received(self, items: list[bytes]) -> None:
        scheduled, phase = self.scheduled.pop(int(items[0]), (0.0, Phase.QUIET))
        if not scheduled:
            return
        now = time.monotonic()
        phase_answers = self.target.phase_answers(phase)
        phase_answers.answer_counts[items[1].decode()] += 1
        if items[1] == b"RESULT":
            _record(phase_answers.latency, now - scheduled)


class Target:
    """A real node with its worker pool, its router and its request schedule."""

    def __init__(self, name: str, number: int, job: TrafficJob, reactor: Any) -> None:
        self.name, self.number, self.reactor = name, number, reactor
        self.rng = random.Random(f"{job.seed}/{name}")
        self.rate = job.rate
        self.pool = NoDelayPool(reactor, CORES)
        self.pool.plans[CLASS] = Plan()
        self.pool_port: int = reactor.listenTCP(0, self.pool, interface="127.0.0.1").getHost().port
        self.router: Router | None = None
        self.phase = Phase.QUIET
        self.measured = False
        self.by_phase: dict[Phase, PhaseAnswers] = {}
        self.next_at = 0.0
        self.request_count = 0

    def phase_answers(self, phase: Phase) -> PhaseAnswers:
        return self.by_phase.setdefault(phase, PhaseAnswers())

    def set_port(self, port: int) -> None:
        if self.router is not None:
            self.router.disable()
        self.pool.runs.clear()
        self.router = Router(self, port) if port else None

    def start(self) -> None:
        self.next_at = time.monotonic() + self.rng.expovariate(self.rate)
        self._schedule_next()

    def _schedule_next(self) -> None:
        self.reactor.callLater(max(0.0, self.next_at - time.monotonic()), self._send_due)

    def _send_due(self) -> None:
        while self.next_at <= (now := time.monotonic()) + MAX_EARLY_SECONDS:
            self._send(self.next_at, now)
            self.next_at += self.rng.expovariate(self.rate)
        self._schedule_next()

    def _send(self, scheduled: float, now: float) -> None:
        self.request_count += 1
        router = self.router
        phase_answers = self.phase_answers(self.phase)
        if router is None or router.side is None:
            phase_answers.answer_counts["NOT SENT"] += 1
            return
        _record(phase_answers.send_delay, now - scheduled)
        router.ask(scheduled, self.phase, f"{self.number:04x}{self.request_count:012x}")


class TrafficWorker:
    """Worker with the worker pools and routers of all real nodes."""

    def __init__(
        self, job: TrafficJob, reactor: Any, send_message: Callable[[WorkerMessage], None], lag_monitor: LoopLagMonitor
    ) -> None:
        self.send_message, self.lag_monitor = send_message, lag_monitor
        self.targets = {name: Target(name, number, job, reactor) for number, name in enumerate(job.nodes)}
        self.started = False
        send_message(Ready({name: target.pool_port for name, target in self.targets.items()}))

    def handle_order(self, order: Order) -> None:
        if isinstance(order, Listening):
            self.targets[order.node].set_port(order.port)
        elif isinstance(order, BeginPhase):
            self._begin_phase(order.phase)
        elif isinstance(order, Finish):
            self.send_message(self._done())

    def _begin_phase(self, phase: Phase) -> None:
        for target in self.targets.values():
            target.phase = phase
            if not self.started:
                target.start()
        self.started = True

    def complete_report(self, watched: SecondReport) -> SecondReport:
        return watched

    def _done(self) -> TrafficDone:
        answers = {
            f"{phase.value}/{target.name}": phase_answers.answers()
            for target in self.targets.values()
            for phase, phase_answers in target.by_phase.items()
        }
        return TrafficDone(answers, self.lag_monitor.watch.total_histogram.encode().decode())
