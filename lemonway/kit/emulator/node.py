"""One incarnation of a node: the shipped core and admission policy between an emulated machine, its worker pool and its
callers. Everything reaches the core through the interfaces of ``net.ports`` and is reported to the audit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

from ...interface import Outcome, Settings, SuspensionMode
from ...net.ports import Answer, Incoming
from ...net.program.bounds import Bounds
from ...net.routing.core import Core
from ...net.transport.clock import Clock, EventLoop
from .audit import Audit, IncarnationRecord
from .membership import AnnounceService
from .requests import Request, Try
from .routing.router import Router
from .state.machine import Machine
from .state.pool import Pool
from .virtual import Loop

DRAINED_CHECK_INTERVAL_US = 300_000  # between checks of a draining node whether everything is answered
WARM_POOL_AGE_US = 60_000_000  # uptime of a pool that is warm when the day begins
MEMORY_MB, SOCKETS = 192, 1024  # memory and descriptor limits of a node process (DEPLOY)
HANDSHAKE_WORK_MS = 1.0  # work of accepting a connection, milliseconds on a standard core

CoreFactory = Callable[[Settings, int, EventLoop, int, int], Core]


@dataclass
class Totals:
    """Work done on one tier, in milliseconds on a standard core, and the number of its runs and tries."""

    run: float = 0.0
    read: float = 0.0
    runs: int = 0
    tries: int = 0


class RouterLink:
    """A router's connections to one incarnation, as the core sees them (``net.ports.FrontendConnection``).

    ``delay`` is the one-way network delay, microseconds."""

    def __init__(self, incarnation: EmulatedIncarnation, router: Router, delay: int) -> None:
        self.incarnation, self.router, self.delay = incarnation, router, delay

    def answer(self, tag: int, answer: Answer) -> None:
        self.incarnation.answered(self, tag, answer)

    def answer_check(self, tag: int, healthy: bool, feedback: float | None) -> None:
        self.incarnation.loop.after(self.delay, self.router.on_check_result, self.incarnation.name, healthy, feedback)

    def drain(self) -> None:
        self.incarnation.loop.after(self.delay, self.router.on_drained, self.incarnation.name)

    def close_when_idle(self) -> None:
        """Does nothing: direct calls have no connection to close."""


class Calls:
    """The client of the next tier (``net.ports.Backend``), which uses a router on the node's own machine. ``state`` is
    ok, decline (rejects every call), refuse (refuses connections) or silent (never replies)."""

    def __init__(self, incarnation: EmulatedIncarnation, router: Router, number: Callable[[], int]) -> None:
        self.incarnation, self.router, self.number = incarnation, router, number
        self.state = "ok"
        self.open: dict[int, int] = {}  # the core's number of a run: the number of its call
        self.outcome_by_state: dict[str, Outcome] = {"decline": Outcome.TURNED_AWAY, "refuse": Outcome.UNREACHABLE}

    def parent(self, txn: str, body: bytes) -> Request | None:
        """The request whose run makes this call, or None if there is none."""
        attempt = self.incarnation.tries_by_txn.get(txn)
        return None if attempt is None else attempt.request

    def is_awaited(self, txn: str, body: bytes) -> bool:
        """Whether the request's run is waiting for exactly this call."""
        run = self.incarnation.pool.runs.get(txn)
        return run is not None and run.state == "blocked" and body.rsplit(b"#", 1)[1] == b"%d" % run.calls

    def call(self, ident: int, txn: str, timeout_us: int, body: bytes, once: bool) -> None:
        incarnation, parent = self.incarnation, self.parent(txn, body)
        if parent is None:
            raise KeyError(txn)  # only a request that has arrived can make calls
        call_index = int(body.rsplit(b"#", 1)[1])
        number = self.number()
        key = (
            blake2b(f"{parent.idempotency_key}#{call_index}".encode(), digest_size=16).hexdigest()
            if parent.keyed
            else ""
        )
        until = incarnation.loop.now + timeout_us
        request = Request(
            number,
            parent.class_index,
            parent.tenant,
            incarnation.loop.now,
            until,
            parent.call_work[call_index],
            0,
            0,
            parent.memory_kb,
            parent.rank,
            parent.item_id,
            key,
            body,
            parent.keyed,
            router=self.router.number,
        )
        self.open[ident] = number
        if not self.is_awaited(txn, body):
            incarnation.loop.after(500, self._not_awaited, ident, number)
        elif self.state in self.outcome_by_state:
            incarnation.loop.after(500, self._ended, ident, number, self.outcome_by_state[self.state], b"")
        elif self.state == "silent":
            incarnation.loop.at(until, self._ended, ident, number, Outcome.TIMED_OUT, b"")
        else:
            self.router.submit(request, until, lambda _, reported, result: self._done(ident, number, reported, result))

    def _done(self, ident: int, number: int, reported: str, body: bytes) -> None:
        outcome = {
            "served": Outcome.OK,
            "refused": Outcome.TURNED_AWAY,
            "unsent": Outcome.TURNED_AWAY,
            "throttled": Outcome.TURNED_AWAY,
            "late": Outcome.TIMED_OUT,
        }.get(reported, Outcome.ERROR)
        # Not in the event-loop iteration that made the call: the core must learn of the end of a call from the loop.
        self.incarnation.loop.after(0, self._ended, ident, number, outcome, body)

    def _ended(self, ident: int, number: int, outcome: Outcome, body: bytes) -> None:
        if self.open.get(ident) == number and not self.incarnation.dead:
            del self.open[ident]
            self.incarnation.event_loop.begin_iteration()
            self.incarnation.core.call_ended(ident, outcome, body)

    def _not_awaited(self, ident: int, number: int) -> None:
        if self.open.get(ident) == number and not self.incarnation.dead:
            del self.open[ident]
            self.incarnation.event_loop.begin_iteration()
            self.incarnation.core.call_not_awaited(ident)

    def cancel(self, ident: int) -> None:
        self.open.pop(ident, None)


class Announcer:
    """Reports to the announce service whether the node accepts requests."""

    def __init__(self, incarnation: EmulatedIncarnation, service: AnnounceService) -> None:
        self.incarnation, self.service = incarnation, service

    def announce(self, accepting: bool) -> None:
        if not self.incarnation.dead:
            self.service.report(self.incarnation.name, accepting)


class EmulatedIncarnation:
    """One node process, from its start to its end. ``ended`` is called once when the process has ended, with the
    reason: killed, stopped, left (exited by itself) or fell (overload)."""

    def __init__(
        self,
        loop: Loop,
        machine: Machine,
        settings: Settings,
        seed: int,
        cold: bool,
        bounds: Bounds,
        audit: Audit,
        totals: Totals,
        reading: float,
        service: AnnounceService,
        ended: Callable[[EmulatedIncarnation, str], None],
        number: Callable[[], int],
        stop_ms: float,
        make_core: CoreFactory = Core,
        extra: Any = None,
    ) -> None:
        """``reading``: work of reading a request, milliseconds on a standard core; ``extra``: the routers to the next
        tier by node name; subclasses that model more of the node take other values."""
        self.loop, self.machine, self.name, self.settings = loop, machine, machine.name, settings
        self.audit, self.totals, self.read_work_ms, self.ended = audit, totals, reading, ended
        self.service, self.next_number, self.stop_ms, self.make_core = service, number, stop_ms, make_core
        self.bounds = bounds
        self.record = IncarnationRecord(self.name, loop.now)
        self.dead = self.draining = False
        self.accepting = True
        self.tries_by_txn: dict[str, Try] = {}
        self.unanswered: dict[int, Try] = {}  # arrived and not answered, by tag
        self.links: dict[int, RouterLink] = {}
        self.by_tag: dict[int, Try] = {}
        self.event_loop: EventLoop
        self.core: Core
        self.calls: Calls | None = None
        machine.start(cold)
        machine.on_failure = self._fell
        machine.key_count = lambda: len(self.core.idempotency_table)
        pool_started_at_us = loop.now if cold else loop.now - WARM_POOL_AGE_US
        self.pool = Pool(
            loop,
            machine.cores,
            self.tries_by_txn.get,
            self,
            machine.gauges,
            pool_started_at_us,
            cold,
            settings.suspension_mode is SuspensionMode.PAUSE,
        )
        self._build(seed, cold, extra)

    def _build(self, seed: int, cold: bool, extra: Any) -> None:
        """Build the node: here only its core, called directly through the interfaces of ``net.ports``."""
        self.event_loop = EventLoop(self.loop, Clock(self.loop.monotonic_ns, self.loop.unix_ns))
        self.core = self.make_core(
            self.settings, seed, self.event_loop, self.bounds.requests, self.bounds.idempotency_bytes
        )
        self.pool.events, self.pool.begin = self.core, self.event_loop.begin_iteration
        self.core.pool = self.pool
        self.core.announcer = Announcer(self, self.service)
        router = extra.get(self.name) if extra else None
        if router is not None:
            self.calls = self.core.backend = Calls(self, router, self.next_number)

    def start(self) -> None:
        self.event_loop.begin_iteration()
        self.core.start()
        self.pool.link()

    # requests

    def arrive(self, router: Router, attempt: Try, delay: int) -> None:
        """Accept a request whose last byte has arrived. ``delay`` is that of the router's network, microseconds."""
        cost = self.read_work_ms
        link = self.links.get(router.number)
        if link is None:
            link = self._open(router, delay)
            cost += HANDSHAKE_WORK_MS
        attempt.arrived_at_us = self.loop.now
        attempt.note(attempt.arrived_at_us, "came")
        self.tries_by_txn[attempt.txn] = self.by_tag[attempt.number] = self.unanswered[attempt.number] = attempt
        self.totals.tries += 1
        self.machine.read(cost, lambda: self._read(link, attempt, cost))

    def _read(self, link: RouterLink, attempt: Try, cost: float) -> None:
        if self.dead:
            return
        self.totals.read += cost
        self.audit.read(self.record, attempt, self.loop.now)
        request = attempt.request
        attempt.queued_kb = request.memory_kb
        self.machine.reserve_queued(request.memory_kb)
        if self.dead:
            return
        self._submit(link, attempt)

    def _submit(self, link: RouterLink, attempt: Try) -> None:
        """Submit a request that has been read to the node."""
        request = attempt.request
        self.event_loop.begin_iteration()
        attempt.core_id = self.core.submit(
            Incoming(
                link,
                attempt.number,
                attempt.txn,
                request.class_index,
                request.tenant,
                attempt.arrived_at_us,
                attempt.body,
                link.router.number,
                request.hint,
                request.memory_kb,
                request.rank,
                request.idempotency_key,
                request.item_id,
            )
        )

    def answered(self, link: RouterLink, tag: int, answer: Answer) -> None:
        attempt = self.by_tag[tag]
        self.audit.answered(self.record, attempt, answer.verdict, answer.body, self.loop.now)
        self._release_try(attempt)
        self.loop.after(link.delay, link.router.on_answer, attempt, answer)

    def _release_try(self, attempt: Try) -> None:
        """Stop tracking a try that is answered or abandoned, and free its memory."""
        self.unanswered.pop(attempt.number, None)
        if attempt.queued_kb:
            self.machine.reserve_queued(-attempt.queued_kb)
            attempt.queued_kb = 0.0

    def check(self, router: Router, tag: int, delay: int) -> None:
        self._check(self.links.get(router.number) or self._open(router, delay), tag)

    def _check(self, link: RouterLink, tag: int) -> None:
        self.event_loop.begin_iteration()
        self.core.check(link, tag, False)

    def _open(self, router: Router, delay: int) -> RouterLink:
        """Open a router's first connection to this incarnation."""
        link = self.links[router.number] = self._link(router, delay)
        router.on_restarted(self.name)
        return link

    def _link(self, router: Router, delay: int) -> RouterLink:
        link = RouterLink(self, router, delay)
        self.core.frontend_connections[link] = None
        if self.core.draining:
            link.drain()
        return link

    # notifications of the pool (``state.pool.PoolObserver``), whose work items are always tries of this node

    def on_run_started(self, attempt: Try) -> None:
        self.totals.runs += 1
        self.audit.run_started(self.record, attempt, self.loop.now)
        if attempt.queued_kb:
            self.machine.reserve_queued(-attempt.queued_kb)
            attempt.queued_kb = 0.0
        attempt.running_kb = attempt.request.memory_kb
        self.machine.reserve_running(attempt.running_kb)

    def on_run_ended(self, attempt: Try, succeeded: bool, spent: float, result: bytes) -> None:
        self.audit.run_ended(self.record, attempt, succeeded, result, self.loop.now)
        self.totals.run += spent
        attempt.request.work_done_ms += spent
        self.machine.reserve_running(-attempt.running_kb)
        attempt.running_kb = 0.0

    # shutdown

    def drain(self, stop_us: int) -> None:
        """Shut down as ``net.program.node.Node`` does on SIGTERM; SIGKILL follows after ``stop_us``."""
        if self.dead or self.draining:
            return
        self.draining = True
        self.record.drained_at_us = self.loop.now
        self._drain(stop_us)
        self.loop.after(stop_us, self.end, "stopped")

    def _drain(self, stop_us: int) -> None:
        self.event_loop.begin_iteration()
        self.core.drain(stop_us / 1000)
        self.loop.after(min(int(self.settings.drain_grace_ms * 1000), stop_us), self._close_listener)

    def _close_listener(self) -> None:
        if not self.dead:
            self.accepting = False
            self._exit_if_drained()

    def _exit_if_drained(self) -> None:
        if self.dead:
            return
        if self.core.idle and not self.unanswered:
            self.end("left")
        else:
            self.loop.after(DRAINED_CHECK_INTERVAL_US, self._exit_if_drained)

    def _fell(self, reason: str) -> None:
        if not self.dead:
            self.audit.overloaded(self.record, self.loop.now, reason)
            self.end("fell")

    def end(self, reason: str) -> None:
        if self.dead:
            return
        self.dead, self.accepting = True, False
        self.event_loop.stop()
        self.pool.kill()
        self.machine.stop()
        self.audit.stopped(self.record, self.loop.now, reason)
        for link in self.links.values():
            for attempt in [attempt for attempt in self.unanswered.values() if attempt.router == link.router.number]:
                attempt.note(self.loop.now, f"its node {reason}")
                self.loop.after(link.delay, link.router.on_broken, attempt)
        self.unanswered.clear()
        self._release_resources()
        self.ended(self, reason)

    def _release_resources(self) -> None:
        """Release what the process shares with others; nothing here, subclasses override it."""

    # faults

    def drop_pool_commands(self) -> None:
        """Drop every command to the pool until the link is re-established."""
        self.pool.loses_commands = True

    def break_link(self) -> None:
        self.pool.break_link()

    def restore_link(self) -> None:
        self.pool.link()

    def reload(self) -> None:
        """SIGHUP with new addresses for the links. Does nothing here: direct calls have no addresses."""

    def reset_links(self) -> None:
        """Have each router reset its connections. The requests open there get no answer, which breaks no rule."""
        for link in list(self.links.values()):
            self.reset(link)

    def reset(self, link: RouterLink) -> None:
        self.event_loop.begin_iteration()
        for attempt in [
            attempt
            for attempt in self.unanswered.values()
            if attempt.router == link.router.number and attempt.read_at_us >= 0
        ]:
            attempt.connection_lost = True
            attempt.note(self.loop.now, "its connection was reset")
            self._release_try(attempt)
            self.core.abandon(attempt.core_id)
            self.loop.after(link.delay, link.router.on_broken, attempt)
