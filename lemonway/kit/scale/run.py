"""Executes a scale run: starts its processes, carries out the schedule, and always kills every process it started, each
by its process ID."""

from __future__ import annotations

import asyncio
import os
import signal
import tempfile
import time
from collections.abc import Awaitable, Callable, Coroutine
from pathlib import Path
from typing import Any

from .accounts import RunRecords
from .assemble import build_result
from .control_group import ControlGroup, ControlProcess
from .http import AdminCallError
from .nodes import START_TIMEOUT_S, Nodes
from .observer import Observer, RunStopped
from .plan import (
    Inject,
    KillAllControl,
    KillControl,
    KillZone,
    Phase,
    PhaseBegins,
    Propose,
    RestartNode,
    Sizes,
    Step,
    StopControl,
    schedule,
)
from .processes import SPARE_DESCRIPTORS, ChildProcess, Ports, raise_descriptor_limit
from .proposals import Operators
from .summary import Result

CONVERGENCE_TIMEOUT_S = 30.0  # from the end of the schedule until all nodes must have converged
MIN_CORES_FOR_SPLIT = 6  # from this number on, real nodes and their traffic get dedicated cores
CORES_FOR_REAL = 2


class ScaleRun:
    """One run. ``progress`` is called with progress messages."""

    def __init__(self, sizes: Sizes, folder: Path, progress: Callable[[str], None]) -> None:
        self.sizes, self.progress = sizes, progress
        cpus = sorted(os.sched_getaffinity(0))
        reserved_cores = CORES_FOR_REAL if len(cpus) >= MIN_CORES_FOR_SPLIT else 0
        real_cpus, other_cpus = (cpus[-reserved_cores:], cpus[:-reserved_cores]) if reserved_cores else ([], [])
        self.group = ControlGroup(sizes.relays, folder, Ports(), other_cpus)
        self.operators = Operators(self.group, sizes)
        self.observer = Observer(self.group)
        self.nodes = Nodes(
            sizes, folder, self.group.relay_addresses, real_cpus, other_cpus, self.observer.on_worker_second
        )
        self.events: list[tuple[float, str]] = []
        self.started_at = 0.0
        self._main: asyncio.Future[None] | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._task_error: BaseException | None = None

    @property
    def children(self) -> list[ChildProcess]:
        return [*(process.child for process in self.group.control_processes), *self.nodes.children]

    # lifecycle

    async def execute(self) -> Result:
        """Execute the run and return its result. Raises ``ProcessError`` if it could not be completed."""
        self.recorded = RunRecords(self.observer.accounts)
        try:
            raise_descriptor_limit(self.sizes.nodes_per_process + self.sizes.relays + SPARE_DESCRIPTORS)
            self._start_task(self.observer.watch(lambda: self.children, self.nodes))
            await self._run_until_error(self._execute())
        except RunStopped:
            self.progress("stopping the run: a resource limit was exceeded")
        finally:
            await self._stop_all()
        return build_result(self.sizes, self.recorded, self.observer.watchdog)

    async def _run_until_error(self, work: Coroutine[Any, Any, None]) -> None:
        """Await ``work``, but raise immediately if a background task fails."""
        self._main = asyncio.ensure_future(work)
        try:
            await self._main
        except asyncio.CancelledError:
            if self._task_error is None:
                raise
            raise self._task_error from None

    async def _execute(self) -> None:
        self.progress("starting the control processes")
        await self.group.start_all(first=True)
        await self.group.wait_until_serving(START_TIMEOUT_S)
        last = await self.operators.propose_initial_table()
        await self.observer.collect_decided()
        self.progress(f"initial table committed as version {last}; starting the nodes")
        await self.nodes.start()
        await self.nodes.wait_for_version(last)
        self._start_task(self.operators.poll_voters())
        self._start_task(self.observer.collect_history())
        await self._schedule()
        self.progress("waiting for all nodes to converge")
        await self._wait_for_convergence()
        await self._finish()

    # the schedule

    async def _schedule(self) -> None:
        self.started_at = time.monotonic()
        for step in schedule(self.sizes):
            await asyncio.sleep(max(0.0, self.started_at + step.at - time.monotonic()))
            self.observer.watchdog.check_driver(time.monotonic() - self.started_at - step.at)
            self._carry_out(step)
        await asyncio.sleep(max(0.0, self.started_at + self.sizes.seconds - time.monotonic()))

    def _carry_out(self, step: Step) -> None:
        if isinstance(step, PhaseBegins):
            self._begin_phase(step.phase)
        elif isinstance(step, Propose):
            self._start_task(self.operators.propose(step.change))
        elif isinstance(step, Inject):
            self._record_event(f"hollow {step.node}: a version {step.injection.value}")
            self.nodes.inject(step.node, step.injection)
        elif isinstance(step, RestartNode):
            self.nodes.restart(step.node)
        elif isinstance(step, KillZone):
            self._record_event(f"zone {step.zone} killed and returned")
            self._start_task(self.nodes.restart_zone(step.zone))
        elif isinstance(step, KillControl):
            self._start_task(self._kill_control([self.group.with_role(step.role)[step.index]], step.seconds))
        elif isinstance(step, StopControl):
            self._start_task(self._stop_control(self.group.with_role(step.role)[step.index], step.seconds))
        elif isinstance(step, KillAllControl):
            self._start_task(self._kill_control(self.group.control_processes, step.seconds))

    def _begin_phase(self, phase: Phase) -> None:
        self.progress(f"{time.monotonic() - self.started_at:.0f} s: {phase.value}")
        self.observer.begin(phase, self.children)
        self.nodes.begin_phase(phase)
        if phase is Phase.BURST:
            self._start_task(self.observer.count_subscribers())

    async def _kill_control(self, control_processes: list[ControlProcess], seconds: float) -> None:
        self._record_event(f"killed: {', '.join(process.name for process in control_processes)}")
        for process in control_processes:
            await self.group.kill(process)
        await asyncio.sleep(seconds)
        for process in control_processes:
            await self.group.start(process)
        self._record_event(f"started again: {', '.join(process.name for process in control_processes)}")

    async def _stop_control(self, process: ControlProcess, seconds: float) -> None:
        self._record_event(f"stopped: {process.name}")
        self.group.suspend(process)
        await asyncio.sleep(seconds)
        self.group.resume(process)
        self._record_event(f"goes on: {process.name}")

    def _record_event(self, what: str) -> None:
        self.events.append((time.monotonic() - self.started_at, what))

    # completion

    async def _wait_for_convergence(self) -> None:
        """Wait until no proposal is open and all nodes have the latest version. A timeout is not an error here: the
        checks of the history report it."""
        end = time.monotonic() + CONVERGENCE_TIMEOUT_S
        while time.monotonic() < end:
            await asyncio.sleep(0.5)
            try:
                last = max(final.number for final in await self.group.finals())
            except AdminCallError:
                continue
            if self.operators.idle and self.nodes.all_have(last):
                return

    async def _finish(self) -> None:
        observer, nodes, operators = self.observer, self.nodes, self.operators
        observer.begin(None, self.children)
        await nodes.finish()
        await observer.collect_decided()
        decided = operators.with_operator_times(observer.decided)
        self.recorded = RunRecords(
            observer.accounts,
            nodes.applied(decided),
            decided,
            await self.group.finals() + await nodes.finals(),
            nodes.hollow_done,
            nodes.traffic_done,
            [node.name for node in nodes.without_control],
            [node.name for node in nodes.with_control],
            observer.subscriber_counts,
            observer.min_serving,
            observer.max_stopped,
            self.events,
            dict(operators.outcome_counts),
            dict(operators.not_committed_reasons),
        )

    def _start_task(self, work: Awaitable[None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        if not task.cancelled() and (error := task.exception()) is not None and self._task_error is None:
            self._task_error = error
            if self._main is not None:
                self._main.cancel()

    async def _stop_all(self) -> None:
        """Cancel all tasks and kill all processes."""
        for task in list(self._tasks):
            task.cancel()
        for child in self.children:
            await child.kill()


def execute(sizes: Sizes, progress: Callable[[str], None]) -> Result:
    """Execute a run. Raises ``ProcessError``, and ``KeyboardInterrupt`` on SIGINT or SIGTERM."""
    with tempfile.TemporaryDirectory(prefix="lemonway-scale-") as folder:
        return asyncio.run(_run_until_signal(sizes, Path(folder), progress))


async def _run_until_signal(sizes: Sizes, folder: Path, progress: Callable[[str], None]) -> Result:
    """Execute a run and handle SIGTERM like SIGINT."""
    task = asyncio.current_task()
    assert task is not None
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, task.cancel)
    try:
        return await ScaleRun(sizes, folder, progress).execute()
    except asyncio.CancelledError:
        raise KeyboardInterrupt from None
    finally:
        loop.remove_signal_handler(signal.SIGTERM)
