"""One incarnation of a node as a separate process: ``python -m lemonway`` under resource limits.

It connects the process with its machine's ingress proxy, its worker pool's link and the audit. The models are those of
``node.EmulatedIncarnation``; this module drives them with sockets and signals."""

from __future__ import annotations

import json
import os
import signal
import sys
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import IO, Any, Protocol

from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from ...net.ports import Verdict
from ...net.transport.clock import Clock, EventLoop
from ..emulator.audit import Breach
from ..emulator.node import HANDSHAKE_WORK_MS, MEMORY_MB, SOCKETS, EmulatedIncarnation
from ..emulator.requests import Request, Try
from ..emulator.scenario import Scenario
from ..emulator.virtual import Streams, Uniform
from ..emulator.wire.peers import VERDICTS, PoolEnd
from ..pool import PoolSide
from .backend import AlternatingPort, request_number
from .clock import RealLoop
from .config import node_json
from .ingress import IngressConnection
from .reconcile import parse_counters

ROOT = Path(__file__).parents[3]
LAUNCH = Path(__file__).with_name("launch.py")
STDERR_LINES_KEPT = 40  # last lines of a node's log
OUTPUT_DRAIN_US = 20_000  # from a process's end until all of its output has been read
RELOAD_DELAY_US = 20_000  # from the change of addresses to SIGHUP


class MachineHost(Protocol):
    """The ``machines`` process as its incarnations and their ports use it."""

    reactor: Any
    scenario: Scenario
    streams: Streams
    incarnation_counts: Counter[str]
    requests_by_number: dict[int, Request]
    folder: Path
    node_cpus: list[int]
    log: IO[str] | None  # receives the nodes' logs
    scenario_started: bool
    pools: dict[str, PoolPorts]
    pool_ports: dict[str, AlternatingPort]

    def address(self, name: str) -> tuple[str, int]:
        """The address that a node listens on."""

    def announce_address(self, name: str) -> str:
        """The announce service's address in this node's configuration."""

    def backend_address(self, name: str) -> str | None:
        """The backend's address in this node's configuration, or None if it has no backend."""

    def running_incarnation(self, name: str) -> EmulatedIncarnation | None:
        """The current incarnation on a machine."""

    def open_ingress(self, incarnation: LiveIncarnation) -> None:
        """The incarnation is up: accept router connections."""

    def close_ingress(self, incarnation: LiveIncarnation) -> None:
        """The incarnation has stopped listening: accept no more router connections."""

    def start_failed(self, why: str) -> None:
        """The incarnation ended before it was up."""

    def counters_received(self, incarnation: LiveIncarnation) -> None:
        """The incarnation has printed its counters."""

    def check_counters(self, incarnation: LiveIncarnation) -> None:
        """Compare the final counters with what was observed; there are none if the process was killed."""


class LivePool(PoolEnd):
    """The worker pool's end of a link over a real socket."""

    def __init__(self, incarnation: LiveIncarnation, uniform: Uniform, repeat: float, chatter: float) -> None:
        super().__init__(incarnation.pool, uniform, repeat, chatter)
        self.incarnation = incarnation

    def buildProtocol(self, addr: object) -> PoolSide:
        self.incarnation.loop.catch_up()
        return super().buildProtocol(addr)

    def command(self, side: PoolSide, name: str, words: list[str], body: bytes) -> None:
        self.incarnation.loop.catch_up()
        if not self.incarnation.dead:
            super().command(side, name, words, body)
            if name == "bind" and self.incarnation.startup_us < 0:
                self.incarnation.startup_us = self.incarnation.loop.now - self.incarnation.started
                self.incarnation.host.open_ingress(self.incarnation)

    def link_lost(self) -> None:
        """Break the link in the middle of a notice."""
        link, self.link = self.link, None
        if link is not None and link.transport is not None:
            link.transport.write(b"finished %d 00ff" % (self.pool.last_delivered_serial + 1))
            link.transport.loseConnection()


class NodeProcess(ProcessProtocol):
    """Reads a node process's log and counters and reports its exit."""

    def __init__(self, incarnation: LiveIncarnation) -> None:
        self.incarnation = incarnation
        self.lines: list[str] = []
        self.counters: dict[str, int] | None = None
        self._rest = b""

    def errReceived(self, data: bytes) -> None:
        *whole, self._rest = (self._rest + data).split(b"\n")
        for line in whole:
            text = line.decode("utf-8", "replace")
            counters_found = parse_counters(text)
            if counters_found is not None:
                self.counters = counters_found
                self.incarnation.loop.catch_up()
                self.incarnation.counters_received()
            else:
                self.lines = [*self.lines[1 - STDERR_LINES_KEPT :], text]
                if self.incarnation.host.log is not None:
                    print(f"{self.incarnation.name}: {text}", file=self.incarnation.host.log, flush=True)

    outReceived = errReceived

    def processEnded(self, reason: Failure) -> None:
        self.incarnation.loop.catch_up()
        exit_code = getattr(reason.value, "exitCode", None)
        signal_number = getattr(reason.value, "signal", None)
        # The exit may be noticed before the last answers have been read.
        self.incarnation.loop.after(
            OUTPUT_DRAIN_US,
            self.incarnation.on_exit,
            f"signal {signal_number}" if signal_number else f"exit code {exit_code}",
        )


class LiveIncarnation(EmulatedIncarnation):
    """An incarnation that runs as a real process; the ``extra`` of ``_build`` is its ``MachineHost``."""

    loop: RealLoop

    def _build(self, seed: int, cold: bool, extra: Any) -> None:
        self.host: MachineHost = extra
        self.seed, self.cold = seed, cold
        self.address = self.host.address(self.name)
        self.machine.key_count = lambda: 0  # a real node keeps key records in its own memory (PROTOCOL)
        self.event_loop = EventLoop(self.loop, Clock(self.loop.monotonic_ns, self.loop.unix_ns))
        self.connections: dict[IngressConnection, None] = {}
        self.callers: set[int] = set()
        self.observed: Counter[str] = Counter()
        self.disturbances: set[str] = set()
        self.waived_until_us = 0
        self.blocked_ms = 0.0  # longest time without reading, since the last row
        wire = self.host.scenario.wire
        number = self.host.incarnation_counts[self.name]
        self.uniform = Uniform(self.host.streams[f"live/{self.name}/{number}"])
        self.pool_end = LivePool(self, self.uniform, wire.repeat, wire.chatter)
        if wire.spoil or wire.extra:
            self.disturbances.add("spoilt")
        self.process = NodeProcess(self)
        self.transport: Any = None
        self.started = 0
        self.startup_us = -1  # from process start to its first pool link; -1 until then

    # process

    def start(self) -> None:
        host = self.host
        host.pools[self.name].refuse(False)
        folder = host.folder / self.name
        folder.mkdir(exist_ok=True)
        self.file = folder / "config.json"
        self._write_config()
        limits = {"parent": os.getpid(), "files": SOCKETS, "memory_mb": MEMORY_MB, "cpus": host.node_cpus}
        args = [sys.executable, str(LAUNCH), json.dumps(limits), sys.executable, "-m", "lemonway"]
        env = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")} | {
            "EDGE_CONFIG": str(self.file),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(folder),
        }
        self.started = self.loop.now
        self.transport = host.reactor.spawnProcess(self.process, args[0], args, env, path=None)

    @property
    def pid(self) -> int | None:
        return self.transport.pid if self.transport is not None else None

    def _write_config(self) -> None:
        host, port = self.address
        raw = node_json(
            self.name,
            f"{host}:{port}",
            self.host.pools[self.name].address,
            self.host.announce_address(self.name),
            self.host.backend_address(self.name),
            self.seed,
            self.stop_ms,
            SOCKETS,
            MEMORY_MB,
            self.settings,
        )
        new_file = self.file.with_suffix(".new")
        new_file.write_text(json.dumps(raw))
        new_file.replace(self.file)

    def signal(self, number: int) -> None:
        if self.transport is not None and self.transport.pid is not None:
            with suppress(ProcessExitedAlready):
                self.transport.signalProcess(number)

    def on_exit(self, how: str) -> None:
        """The process has exited and its output has been read."""
        if not self.dead and self.draining and (how == "exit code 0" or self.startup_us < 0):
            self.end("left")  # SIGTERM may arrive before its handler is set
        elif not self.dead:
            last = self.process.lines[-1] if self.process.lines else "no output"
            if not self.host.scenario_started or self.startup_us < 0:
                self.host.start_failed(f"{self.name} ended during startup ({how}): {last}")
            self.audit.breaches.append(
                Breach("crash", self.name, self.loop.now, f"exited unexpectedly ({how}): {last}")
            )
            self.end("crashed")
        self.host.check_counters(self)

    def counters_received(self) -> None:
        """The process has printed its counters."""
        self.host.counters_received(self)

    # requests, from the ingress proxy

    def on_request(self, connection: IngressConnection, tag: int, items: list[bytes]) -> None:
        fields = dict(pair.split(b"=", 1) for pair in items[3].split(b","))
        request = self.host.requests_by_number[request_number(items[4] if len(items) > 4 else b"")]
        now, router = self.loop.now, int(fields[b"lb"])
        txn = fields[b"txn"].decode()
        attempt = Try(
            int(txn, 16), txn, request, self.name, now, router, request.body, request.work, request.wait, request.calls
        )
        cost = self.read_work_ms
        if router not in self.callers:
            self.callers.add(router)
            cost += HANDSHAKE_WORK_MS
        attempt.arrived_at_us = now
        attempt.arrived_unix_ms = self.loop.unix_now() // 1_000_000
        attempt.note(now, "came")
        self.tries_by_txn[attempt.txn] = self.unanswered[attempt.number] = attempt
        connection.reading[tag] = attempt
        self.totals.tries += 1
        link: Any = _PendingRead(connection, tag, items)
        self.machine.read(cost, lambda: self._read(link, attempt, cost))

    def _submit(self, link: Any, attempt: Try) -> None:
        if link.connection.forward(link.tag, attempt, link.items, attempt.arrived_unix_ms):
            self.observed["requests"] += 1
        else:  # the connection has ended meanwhile
            attempt.connection_lost = True
            self._release_try(attempt)

    def on_health_check(self) -> None:
        self.observed["checks"] += 1

    def on_connection_refused(self) -> None:
        """The node has stopped listening."""
        self.accepting = False
        self.host.close_ingress(self)

    def on_answer(self, attempt: Try, items: list[bytes]) -> None:
        verdict = VERDICTS.get(items[1].decode("latin-1"), Verdict.FAILED)
        self.observed[verdict.value] += 1
        self.audit.answered(self.record, attempt, verdict, items[3] if len(items) > 3 else b"", self.loop.now)
        self._release_try(attempt)

    def on_unexpected_answer(self, items: list[bytes], attempt: Try | None) -> None:
        what = f"answered {items[1].decode('latin-1')!r} under tag {items[0].decode('latin-1')}"
        what += " a second time" if attempt else ", which matches no request"
        self.audit.add_breach("duplicate", self.record, self.loop.now, what, attempt)

    def on_connection_failed(self, why: str, unanswered: list[Try]) -> None:
        if self.dead:
            return
        for attempt in unanswered:
            self.audit.add_breach("lost", self.record, self.loop.now, why, attempt)
            attempt.connection_lost = True
            self._release_try(attempt)

    # runs, from the worker pool

    def on_run_started(self, attempt: Try) -> None:
        self.observed["runs"] += 1
        super().on_run_started(attempt)

    def on_run_ended(self, attempt: Try, good: bool, spent: float, result: bytes) -> None:
        self.observed["good runs"] += good
        super().on_run_ended(attempt, good, spent, result)

    # shutdown

    def _drain(self, stop_us: int) -> None:
        self.signal(signal.SIGTERM)

    def _release_resources(self) -> None:
        self.signal(signal.SIGKILL)
        self.host.close_ingress(self)
        for connection in list(self.connections):
            connection.close(abort=True)
        link, self.pool_end.link = self.pool_end.link, None
        if link is not None:
            link.transport.abortConnection()

    # faults

    def drop_pool_commands(self) -> None:
        self.disturbances.add("moved")
        self.pool.loses_commands = True

    def break_link(self) -> None:
        self.disturbances.add("moved")
        self.host.pools[self.name].refuse(True)
        self.pool.break_link()

    def restore_link(self) -> None:
        self.host.pools[self.name].refuse(False)

    def reset_links(self) -> None:
        self.disturbances.add("reset")
        for connection in list(self.connections):
            for attempt in [*connection.open.values(), *connection.reading.values()]:
                attempt.connection_lost = True
                attempt.note(self.loop.now, "its connection was reset")
                self._release_try(attempt)
            connection.close(abort=True)

    def reload(self) -> None:
        self.disturbances.add("moved")
        self._write_config()
        self.loop.after(RELOAD_DELAY_US, self._send_sighup, self.process)

    def _send_sighup(self, process: NodeProcess) -> None:
        if not self.dead and self.startup_us >= 0:
            self.signal(signal.SIGHUP)

    def pause(self, length: int) -> None:
        """Stop the process with SIGSTOP for ``length`` microseconds. That time does not count against its deadlines
        (PROTOCOL, machine pause)."""
        if self.dead or self.draining:
            return
        self.disturbances.add("paused")
        self.signal(signal.SIGSTOP)
        self.waived_until_us = self.loop.now + length + 1_000_000
        for attempt in self.unanswered.values():
            if attempt.due_at_us >= 0:
                attempt.due_at_us += length
                attempt.note(self.loop.now, f"its node is paused for {length / 1000:.0f} ms")
        self.loop.after(length, self.signal, signal.SIGCONT)


class _PendingRead:
    """Where a request that is being read came from; takes the place of the emulator's ``RouterLink`` in
    ``EmulatedIncarnation``."""

    def __init__(self, connection: IngressConnection, tag: int, items: list[bytes]) -> None:
        self.connection, self.tag, self.items = connection, tag, items


class PoolPorts:
    """The worker pool's two addresses on one machine, of which one is active. Links go to the machine's current
    incarnation."""

    noisy = False

    def __init__(self, host: MachineHost, name: str) -> None:
        self.host, self.name, self.refusing = host, name, False

    def refuse(self, refusing: bool) -> None:
        self.refusing = refusing

    @property
    def address(self) -> str:
        port = self.host.pool_ports[self.name]
        return port.addresses[port.active]

    def buildProtocol(self, addr: object) -> Any:
        incarnation = self.host.running_incarnation(self.name)
        if incarnation is None or self.refusing or not isinstance(incarnation, LiveIncarnation):
            return None
        return incarnation.pool_end.buildProtocol(addr)
