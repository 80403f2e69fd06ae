"""Nodes of a scale run: worker processes with hollow nodes, real nodes, and the worker that sends their requests."""

from __future__ import annotations

import asyncio
import re
import time
from collections.abc import Callable, Iterable, Sequence
from pathlib import Path

import numpy as np

from .assemble import EMPTY_WORKER
from .control_group import final_state
from .history import AppliedRecords, DecidedVersion, FinalState
from .http import call_admin
from .orders import (
    BeginPhase,
    Finish,
    HollowDone,
    HollowJob,
    InjectFault,
    Listening,
    Order,
    Restart,
    SecondReport,
    TrafficDone,
    TrafficJob,
)
from .plan import Injection, Phase, Sizes, zone_of
from .processes import ChildProcess, ProcessError
from .real_nodes import RealNode
from .workers import WorkerProcess

START_TIMEOUT_S = 60.0  # for all processes to become ready
FINISH_TIMEOUT_S = 60.0  # for the workers to write their records
NODES_WITHOUT_CONTROL = 2  # real nodes that run without control, the baseline
IN_FORCE_LINE = re.compile(r"control: version (\d+) is in force here")


def now_us() -> int:
    """Return the time of the system-wide monotonic clock in microseconds."""
    return time.monotonic_ns() // 1000


class Nodes:
    """All nodes of a run. ``real_cpus``: cores of the real nodes and their traffic; ``other_cpus``: cores of the hollow
    nodes."""

    def __init__(
        self,
        sizes: Sizes,
        folder: Path,
        relays: dict[str, str],
        real_cpus: Sequence[int],
        other_cpus: Sequence[int],
        on_second: Callable[[WorkerProcess, SecondReport], None],
    ) -> None:
        """``relays``: addresses by name; ``on_second`` is called with each report of each worker."""
        self.sizes, self.folder, self.relays = sizes, folder, relays
        self.real_cpus, self.other_cpus = real_cpus, other_cpus
        self.hollow = [WorkerProcess(job, on_second) for job in self._hollow_jobs()]
        self.traffic = WorkerProcess(
            TrafficJob("traffic", self._real_names(), sizes.requests_per_second, sizes.seed, str(folder)), on_second
        )
        self.real: list[RealNode] = []
        self.real_applied = AppliedRecords()
        self._real_incarnations: dict[str, int] = {}

    def _real_names(self) -> list[str]:
        real = self.sizes.real
        without_control = min(NODES_WITHOUT_CONTROL, real)
        return [f"real-{n + 1}" for n in range(real)] + [f"bare-{n + 1}" for n in range(without_control)]

    def _hollow_jobs(self) -> list[HollowJob]:
        sizes, count = self.sizes, self.sizes.hollow_processes
        parts = [list(range(number, sizes.hollow, count)) for number in range(count)]
        jobs = {f"hollow-{number + 1}": nodes for number, nodes in enumerate(parts)} | {EMPTY_WORKER: []}
        return [HollowJob(name, nodes, self.relays, sizes.seed, str(self.folder)) for name, nodes in jobs.items()]

    @property
    def workers(self) -> list[WorkerProcess]:
        return [*self.hollow, self.traffic]

    @property
    def children(self) -> list[ChildProcess]:
        return [*(worker.child for worker in self.workers), *(node.child for node in self.real)]

    @property
    def with_control(self) -> list[RealNode]:
        return [node for node in self.real if not node.without_control]

    @property
    def without_control(self) -> list[RealNode]:
        return [node for node in self.real if node.without_control]

    # startup

    async def start(self) -> None:
        """Start all nodes. Raises ``ProcessError`` if a process fails to start."""
        for worker in self.workers:
            await worker.start(self.real_cpus if worker.traffic else self.other_cpus)
        for worker in self.workers:
            await worker.wait_until_ready(START_TIMEOUT_S)
        assert self.traffic.ready is not None
        control = {"relays": self.relays}
        for number, name in enumerate(self._real_names()):
            node = RealNode(
                name,
                number,
                self.traffic.ready.pools[name],
                self.folder,
                control if name.startswith("real") else None,
                self.real_cpus,
                self._on_listening,
                self._on_log_line,
            )
            self.real.append(node)
            await self._start_real(node)

    async def _start_real(self, node: RealNode) -> None:
        if not node.without_control:
            self._real_incarnations[node.name] = self.real_applied.begin(node.name, now_us())
        await node.start()

    def _on_listening(self, name: str, port: int) -> None:
        self.traffic.send_order(Listening(name, port))

    def _on_log_line(self, name: str, line: str) -> None:
        if found := IN_FORCE_LINE.search(line):
            self.real_applied.record(self._real_incarnations[name], int(found[1]), b"", now_us())

    async def wait_for_version(self, version: int) -> None:
        """Wait until all nodes have this version. Raises ``ProcessError`` on timeout."""
        end = time.monotonic() + START_TIMEOUT_S
        while not (self.all_have(version) and all(node.port for node in self.real)):
            if time.monotonic() > end:
                reports = [worker.latest for worker in self.hollow]
                raise ProcessError(f"nodes without version {version} after {START_TIMEOUT_S:.0f} s: {reports}")
            await asyncio.sleep(0.2)

    def all_have(self, version: int) -> bool:
        """Return whether all hollow nodes are connected, ready to serve, and have this version."""
        latest = [worker.latest for worker in self.hollow if worker.job.name != EMPTY_WORKER]
        return all(
            each.nodes and each.connected == each.serving == each.nodes and each.lowest >= version for each in latest
        )

    @property
    def serving(self) -> int:
        """Number of hollow nodes that are ready to serve."""
        return sum(worker.latest.serving for worker in self.hollow)

    @property
    def stopped_serving(self) -> int:
        """Number of hollow nodes that were ready to serve in their current incarnation and no longer are."""
        return sum(worker.latest.stopped for worker in self.hollow)

    # phases and faults

    def begin_phase(self, phase: Phase) -> None:
        self._send_to_all(BeginPhase(phase))

    def restart(self, node: int) -> None:
        self._worker_of(node).send_order(Restart([node]))

    def inject(self, node: int, what: Injection) -> None:
        self._worker_of(node).send_order(InjectFault(node, what))

    async def restart_zone(self, zone: int) -> None:
        """Kill all nodes of a zone and restart them immediately."""
        for worker in self.hollow:
            assert isinstance(worker.job, HollowJob)
            if nodes := [node for node in worker.job.nodes if zone_of(node) == zone]:
                worker.send_order(Restart(nodes))
        for node in [node for node in self.with_control if zone_of(node.number) == zone]:
            self.real_applied.end(self._real_incarnations[node.name], now_us())
            await node.kill()
            await self._start_real(node)

    def _worker_of(self, node: int) -> WorkerProcess:
        return self.hollow[node % self.sizes.hollow_processes]

    def _send_to_all(self, order: Order) -> None:
        for worker in self.workers:
            worker.send_order(order)

    # results

    async def finish(self) -> None:
        """Let the workers write their records. Raises ``ProcessError`` if one fails or times out."""
        self._send_to_all(Finish())
        for worker in self.workers:
            await worker.wait_until_done(FINISH_TIMEOUT_S)

    @property
    def hollow_done(self) -> dict[str, HollowDone]:
        return {worker.job.name: worker.done for worker in self.hollow if isinstance(worker.done, HollowDone)}

    @property
    def traffic_done(self) -> TrafficDone | None:
        return self.traffic.done if isinstance(self.traffic.done, TrafficDone) else None

    async def finals(self) -> list[FinalState]:
        """Return the final state of each node."""
        found = []
        for node in self.with_control:
            _, status = await call_admin(node.admin_port, "GET", "/control")
            found.append(final_state(status))
        for done in self.hollow_done.values():
            found += [FinalState(each.node, each.number, each.digest, each.content) for each in done.ended]
        return found

    def applied(self, decided: Iterable[DecidedVersion]) -> AppliedRecords:
        """Return the merged records of all nodes."""
        merged = AppliedRecords()
        for done in self.hollow_done.values():
            with np.load(done.records) as columns:
                merged.extend(columns)
        merged.extend(self.real_applied.with_digests(decided).columns())
        return merged
