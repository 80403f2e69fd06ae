"""Observes a scale run from outside its processes: resource usage by phase, limits of the run, and decided versions."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress

from .accounts import ProcessSample, UsageRecords
from .control_group import ControlGroup
from .history import DecidedVersion
from .http import AdminCallError
from .nodes import Nodes
from .orders import SecondReport
from .plan import Phase
from .processes import ChildProcess, ProcessError
from .summary import Watchdog
from .workers import WorkerProcess

CHECK_INTERVAL = 1.0  # seconds between checks of the processes
HISTORY_INTERVAL = 15.0  # seconds; voters retain more changes than are made in that time


class RunStopped(Exception):
    """The run must stop immediately; the watchdog has the reason."""


class Observer:
    """Collects the measurements of one run."""

    def __init__(self, group: ControlGroup) -> None:
        self.group = group
        self.watchdog = Watchdog()
        self.accounts = UsageRecords()
        self.decided: dict[int, DecidedVersion] = {}
        self.subscriber_counts: dict[str, int] = {}  # by control process
        self.min_serving: dict[Phase, int] = {}
        self.max_stopped: dict[Phase, int] = {}  # hollow nodes that stopped serving
        self.phase: Phase | None = None

    # phases

    def begin(self, phase: Phase | None, children: list[ChildProcess]) -> None:
        """End the current phase and begin another; ``None`` after the last one."""
        samples = self._sample(children)
        if self.phase is not None:
            self.accounts.ends[self.phase] = samples
        self.phase = phase
        if phase is not None:
            self.accounts.begins[phase] = samples

    def _sample(self, children: list[ChildProcess]) -> dict[str, ProcessSample]:
        at = time.monotonic()
        byte_totals = {
            process.name: process.byte_counts.read + process.byte_counts.written
            for process in self.group.control_processes
        }
        return {
            child.name: ProcessSample(child.pid, at, usage, byte_totals.get(child.name, 0))
            for child in children
            if (usage := child.usage()) is not None
        }

    # periodic tasks

    async def watch(self, children: Callable[[], list[ChildProcess]], nodes: Nodes) -> None:
        """Check the memory and process limits, and that all processes run. Raises ``RunStopped`` or
        ``ProcessError``."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL)
            usages = [usage for child in children() if (usage := child.usage()) is not None]
            self.watchdog.check_resources(sum(usage.memory_mb for usage in usages), len(usages) + 1)
            if self.watchdog.must_stop:
                raise RunStopped
            for child in children():
                if end_reason := child.unexpected_end:
                    raise ProcessError(end_reason)
            if self.phase is not None:
                self._count_serving(self.phase, nodes)

    def _count_serving(self, phase: Phase, nodes: Nodes) -> None:
        self.min_serving[phase] = min(nodes.serving, self.min_serving.get(phase, nodes.serving))
        self.max_stopped[phase] = max(nodes.stopped_serving, self.max_stopped.get(phase, 0))

    def on_worker_second(self, worker: WorkerProcess, second: SecondReport) -> None:
        """Check the report that a worker sends every second."""
        if self.phase is not None:
            self.watchdog.check_worker(worker.job.name, second.lag_p99_ms, second.cpu, worker.traffic)

    async def collect_history(self) -> None:
        """Collect decided versions periodically: voters drop old ones, and the checks need all of them."""
        while True:
            await asyncio.sleep(HISTORY_INTERVAL)
            with suppress(AdminCallError):
                await self.collect_decided()

    async def collect_decided(self) -> None:
        """Collect the versions that voters retain. Raises ``ProcessError`` if two voters disagree."""
        for number, version in (await self.group.decided()).items():
            if self.decided.setdefault(number, version) != version:
                raise ProcessError(f"version {number} was decided with two different digests")

    async def count_subscribers(self) -> None:
        """Record the number of subscribers of each control process."""
        for process in self.group.control_processes:
            with suppress(AdminCallError):
                self.subscriber_counts[process.name] = int((await process.status())["watchers"])
