"""Runs a live rehearsal: starts its parts, sends them each other's addresses and the start time, and merges their
results. Nothing that it starts outlives it: each process gets a parent-death signal, and each part's process group is
killed at the end, even after an error."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import signal
import sys
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..emulator.audit import RULES
from ..emulator.day import TAIL, Result, World
from ..emulator.node import Totals
from ..emulator.recovery.supervisor import RecordedEvent
from ..emulator.scenario import Scenario
from ..emulator.virtual import START_US
from .part import ROLES
from .placement import assign_cores, subnet_address, too_large_reason
from .watch import Bounds

log = logging.getLogger(__name__)

ROOT = Path(__file__).parents[3]
LAUNCH = Path(__file__).with_name("launch.py")
STARTUP_TIMEOUT_S = 60.0  # until all parts and nodes must be up
START_DELAY_S = 0.7  # from the last part being up to the start of the scenario
RESULT_TIMEOUT_S = 30.0  # for each part's result
MAX_MESSAGE_BYTES = 1 << 27  # longest message of a part
STDERR_BYTES_KEPT = 4000  # last part of a part's standard error that is kept


class KitError(Exception):
    """The rehearsal could not be run; the message is one line that names the cause."""


@dataclass
class ReportedBreach:
    """A breach as reported by a part, already rendered as text."""

    rule: str
    text: list[str]

    def lines(self, zero: int) -> list[str]:
        return self.text


@dataclass
class MergedAudit:
    """The parts' audits merged, with the interface of ``emulator.audit.Audit`` that a report needs."""

    breaches: list[ReportedBreach] = field(default_factory=list)
    answers_checked: int = 0

    def count_by_rule(self) -> dict[str, int]:
        counts = dict.fromkeys((*RULES, "crash"), 0)
        for breach in self.breaches:
            counts[breach.rule] += 1
        return counts


@dataclass
class Outcome:
    """The outcome of a live rehearsal. ``void`` lists why there is no figure, each with the second it was noticed."""

    result: Result
    void: list[dict[str, Any]]
    rows: list[dict[str, Any]]
    lag_histograms: dict[str, str]  # by part: an encoded histogram in microseconds
    counter_differences: list[str]  # node counters that differ from what was observed
    node_summary: dict[str, Any]


class PartProcess:
    def __init__(self, role: str) -> None:
        self.role = role
        self.process: asyncio.subprocess.Process
        self.messages: asyncio.Queue[dict[str, Any]] = asyncio.Queue()
        self.stderr = b""
        self.result: dict[str, Any] | None = None

    async def start(self, cpus: list[int]) -> None:
        limits = {"parent": os.getpid(), "cpus": cpus}
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(LAUNCH),
            json.dumps(limits),
            sys.executable,
            "-m",
            "lemonway.kit.live.part",
            self.role,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=MAX_MESSAGE_BYTES,
            env={**os.environ, "PYTHONPATH": str(ROOT)},
        )

    def send_order(self, message: dict[str, Any]) -> None:
        assert self.process.stdin is not None
        with suppress(ConnectionError, RuntimeError):  # the process has ended, which its reader reports
            self.process.stdin.write(json.dumps(message).encode() + b"\n")

    async def read_messages(self, handle: Callable[[PartProcess, dict[str, Any]], None]) -> None:
        assert self.process.stdout is not None
        while line := await self.process.stdout.readline():
            handle(self, json.loads(line))

    async def read_errors(self) -> None:
        assert self.process.stderr is not None
        while data := await self.process.stderr.read(65536):
            self.stderr = (self.stderr + data)[-STDERR_BYTES_KEPT:]

    def kill(self) -> None:
        with suppress(ProcessLookupError, PermissionError):
            os.killpg(self.process.pid, signal.SIGKILL)


class Supervisor:
    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        bounds: Bounds,
        progress: Callable[[float], None],
        log: str | None,
    ) -> None:
        self.scenario, self.seed, self.bounds, self.progress, self.log = scenario, seed, bounds, progress, log
        self.world = World(scenario, seed)
        self.requests = self.world.requests()
        self.parts = {role: PartProcess(role) for role in ROLES}
        self.void: list[dict[str, Any]] = []
        self.over = asyncio.Event()
        self.started = False
        self.failure: str | None = None
        self._events: dict[str, asyncio.Event] = {}
        self._received: dict[str, Any] = {}
        self._tasks: list[asyncio.Task[None]] = []

    async def play(self) -> Outcome:
        with tempfile.TemporaryDirectory(prefix="lemonway-live-") as folder:
            try:
                return await self._play(Path(folder))
            finally:
                for part in self.parts.values():
                    if hasattr(part, "process"):
                        part.kill()
                for task in self._tasks:
                    task.cancel()
                for part in self.parts.values():
                    if hasattr(part, "process"):
                        await part.process.wait()

    async def _play(self, folder: Path) -> Outcome:
        assignment = assign_cores(sorted(os.sched_getaffinity(0)))
        zero = time.monotonic_ns() // 1000
        job = {
            "scenario": self.scenario.model_dump(mode="json"),
            "seed": self.seed,
            "bounds": self.bounds.model_dump(),
            "zero": zero,
            "host": subnet_address(os.getpid()),
            "folder": str(folder),
            "node_cpus": assignment.nodes,
            "log": self.log,
        }
        for role, part in self.parts.items():
            await part.start(assignment.parts.get(role, assignment.nodes))
            part.send_order(job)
            self._tasks += [asyncio.create_task(self._follow(part)), asyncio.create_task(part.read_errors())]
        ready = await self._wait_for_all("ready", STARTUP_TIMEOUT_S)
        log.info("all parts are ready at %s", job["host"])
        announce, acervo = ready["announce"], ready["acervo"]
        self.parts["acervo"].send_order({"do": "prepare"})
        self.parts["announce"].send_order({"do": "prepare"})
        self.parts["machines"].send_order(
            {"do": "prepare", "reports": announce["reports"], "catalogue": acervo["catalogue"]}
        )
        self.parts["routers"].send_order(
            {"do": "prepare", "ingress": ready["machines"]["ingress"], "feed": announce["feed"]}
        )
        await self._wait_for_all("up", STARTUP_TIMEOUT_S)
        log.info("%d nodes are up", self.scenario.fleet.nodes)
        at = START_US + time.monotonic_ns() // 1000 - zero + int(START_DELAY_S * 1e6)
        for part in self.parts.values():
            part.send_order({"do": "begin", "at": at})
        log.info("the rehearsal starts in %.1f s and lasts %g s", START_DELAY_S, self.scenario.seconds)
        last = self.scenario.seconds + (max(self.world.deadlines) + TAIL) / 1e6
        await self._wait_for_event(self.over, last + RESULT_TIMEOUT_S, "the rehearsal to end")
        log.info("the rehearsal is over" if not self.void else "the rehearsal is void")
        for role in ("routers", "machines", "acervo", "announce"):
            self.parts[role].send_order({"do": "finish", "void": bool(self.void)})
            await self._wait_for_message(role, "result", RESULT_TIMEOUT_S)
        return self._assemble_outcome()

    # messages from the parts

    async def _follow(self, part: PartProcess) -> None:
        await part.read_messages(self._handle_message)
        code = await part.process.wait()
        await asyncio.sleep(0.1)  # lets the last output on standard error arrive
        if self.failure is None and part.result is None:
            last = part.stderr.decode("utf-8", "replace").strip().splitlines()
            how = f"signal {-code}" if code < 0 else f"exit code {code}"
            self._fail(f"the part '{part.role}' ended during the rehearsal ({how})" + (f": {last[-1]}" if last else ""))

    def _handle_message(self, part: PartProcess, message: dict[str, Any]) -> None:
        for kind, value in message.items():
            if kind == "fault":
                self._fail(f"the part '{part.role}': {value}")
            elif kind == "void":
                self.void.append(value)
                self.over.set()
            elif kind == "progress":
                if not self.started:
                    self.started = True
                    log.info("the rehearsal has started")
                self.progress(value)
            elif kind == "over":
                self.over.set()
            else:
                if kind == "result":
                    part.result = value
                self._received[f"{part.role}/{kind}"] = value
                self._event(part.role, kind).set()

    def _fail(self, why: str) -> None:
        self.failure = self.failure or why
        self.over.set()
        for event in self._events.values():
            event.set()

    def _event(self, role: str, kind: str) -> asyncio.Event:
        event = self._events.setdefault(f"{role}/{kind}", asyncio.Event())
        if self.failure is not None:
            event.set()
        return event

    async def _wait_for_message(self, role: str, kind: str, timeout_s: float) -> Any:
        await self._wait_for_event(self._event(role, kind), timeout_s, f"the part '{role}' ({kind})")
        return self._received[f"{role}/{kind}"]

    async def _wait_for_all(self, kind: str, timeout_s: float) -> dict[str, Any]:
        return {role: await self._wait_for_message(role, kind, timeout_s) for role in self.parts}

    async def _wait_for_event(self, event: asyncio.Event, timeout_s: float, awaited: str) -> None:
        try:
            await asyncio.wait_for(event.wait(), timeout_s)
        except TimeoutError:
            raise KitError(f"timed out after {timeout_s:.0f} s waiting for {awaited}") from None
        if self.failure is not None:
            raise KitError(self.failure)

    # result

    def _assemble_outcome(self) -> Outcome:
        results = {role: part.result or {} for role, part in self.parts.items()}
        machines, acervo, routers = results["machines"], results["acervo"], results["routers"]
        world = self.world
        by_number = {r.number: r for r in self.requests}
        ended: dict[int, int] = {}
        for number, tries, served_at, outcome, at in routers["requests"]:
            r = by_number[number]
            r.try_count, r.served_at_us, r.outcome = tries, served_at, outcome
            if at >= 0:
                ended[number] = at
        world.totals[:] = [Totals(**machines["total"]), Totals(**acervo["total"])]
        result = world.result(self.requests, ended)
        merged_audit = MergedAudit(
            [ReportedBreach(b["rule"], b["lines"]) for part in (machines, acervo) for b in part["breaches"]],
            machines["checked"] + acervo["checked"],
        )
        result.audit = merged_audit  # type: ignore[assignment]
        result.router_counters, result.duplicate_outcomes = Counter(routers["routers"]), Counter(routers["doubles"])
        result.node_counters, result.backend_counters = Counter(machines["counters"]), Counter(acervo["counters"])
        result.supervisor = Counter(machines["keeper"])
        result.recorded_events = [RecordedEvent(at, what) for at, what in machines["happened"]]
        result.most_concurrency = max(machines["concurrency"], acervo["concurrency"])
        result.most_memory = max(machines["memory"], acervo["memory"])
        rows = [row for part in results.values() for row in part["rows"]]
        return Outcome(
            result,
            sorted(self.void, key=lambda v: v["second"]),
            rows,
            {role: part["lag_hdr"] for role, part in results.items()},
            machines["faults"],
            {
                "reconciled": machines["reconciled"],
                "unreadable": machines["unreadable"],
                "starts_ms": machines["starts_ms"],
                "bad_reports": results["announce"]["bad_reports"],
                "strange_calls": acervo["strange_calls"],
            },
        )


def play_live(
    scenario: Scenario,
    seed: int,
    bounds: Bounds,
    progress: Callable[[float], None] = lambda share: None,
    log: str | None = None,
    force: bool = False,
) -> Outcome:
    """Run one scenario live. ``log`` is a file for the nodes' logs; ``force`` runs a scenario that is too large for
    this machine. Raises ``KitError`` if it can't be run."""
    supervisor = Supervisor(scenario, seed, bounds, progress, log)
    rate = len(supervisor.requests) / scenario.seconds
    why = too_large_reason(scenario.fleet.nodes, rate, len(os.sched_getaffinity(0)), bounds)
    if why is not None and not force:
        raise KitError(f"scenario too large for this machine: {why} (--force runs it anyway)")
    return asyncio.run(_until_signal(supervisor))


async def _until_signal(supervisor: Supervisor) -> Outcome:
    """Run the rehearsal; SIGTERM ends it as Ctrl-C does."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await supervisor.play()
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    finally:
        loop.remove_signal_handler(signal.SIGTERM)
