"""The ``machines`` part: the first tier's machines, each with modelled cores, a worker pool, an ingress proxy and a
separate node process. It supervises the nodes (start, kill, drain, replace) and injects the scenario's faults."""

from __future__ import annotations

import signal
from pathlib import Path
from typing import IO, Any

from ..emulator.audit import Audit
from ..emulator.day import World
from ..emulator.node import EmulatedIncarnation
from ..emulator.virtual import START_US
from .backend import AlternatingPort
from .ingress import IngressConnection
from .life import LiveIncarnation, PoolPorts
from .part import Control, Part, PartError
from .reconcile import differences
from .watch import Row, Usage, usage_of

AUDIT_SLACK_US = 50_000  # added to each time limit on sockets (PROTOCOL, the rules on sockets)
NODE_PORT, INGRESS_PORT = 8443, 8442
START_WAIVER_US = 2_000_000  # core waits of a new process are ignored; startup times are reported apart
STARTUP_TIMEOUT_US = 30_000_000  # until all nodes must be up (DEPLOY)
IDLE_TIMEOUT_US = 8_000_000  # after the scenario, until nothing is in flight
COUNTERS_TIMEOUT_US = 3_000_000  # for the nodes to print their counters


class IngressFactory:
    """Accepts router connections to one machine and attaches them to its current incarnation."""

    def __init__(self, world: MachinesWorld, name: str) -> None:
        self.world, self.name = world, name

    def buildProtocol(self, addr: object) -> IngressConnection | None:
        incarnation = self.world.running_incarnation(self.name)
        return IngressConnection(incarnation) if isinstance(incarnation, LiveIncarnation) else None


class MachinesWorld(World):
    """Models the scenario's whole fleet, but only the first tier's nodes are started by this process."""

    def __init__(self, part: MachinesPart) -> None:
        super().__init__(part.scenario, part.seed, loop=part.loop)
        self.part, self.reactor, self.real_loop = part, part.reactor, part.loop
        self.audits[0] = Audit(self.settings[0], AUDIT_SLACK_US)
        self.requests_by_number = {r.number: r for r in self.requests()}
        self.folder = Path(part.job["folder"])
        self.node_cpus: list[int] = part.job["node_cpus"]
        self.log: IO[str] | None = None
        self.scenario_started = False
        self.announce_addresses: list[str] = []
        self.backend_addresses: dict[str, list[str]] = {}
        self.pools = {name: PoolPorts(self, name) for name in self.tiers[0]}
        self.pool_ports = {name: AlternatingPort(part, self.pools[name]) for name in self.tiers[0]}
        self.address_indices = dict.fromkeys(self.tiers[0], 0)  # which of its peers' two addresses a node uses
        self.ingress_ports: dict[str, Any] = dict.fromkeys(self.tiers[0])  # listening port, or None while closed
        self.counter_differences: list[str] = []  # node counters that differ from what was observed
        self.reconciled = self.unreadable = 0
        self.startup_times_us: list[int] = []

    def _incarnation_class(self, name: str) -> tuple[type[EmulatedIncarnation], Any]:
        return LiveIncarnation, self

    def _ended(self, incarnation: EmulatedIncarnation, how: str) -> None:
        self.supervisor.on_ended(incarnation, how)

    # addresses

    def address(self, name: str) -> tuple[str, int]:
        """The address that a node listens on. Each node and its ingress proxy have a loopback address of their own, so
        that no other socket can take their ports while they are closed."""
        number = self.tiers[0].index(name) + 1
        first = self.part.host.rsplit(".", 1)[0]
        head, third = first.rsplit(".", 1)
        return f"{head}.{(int(third) + number // 250) % 256}.{number % 250 + 2}", NODE_PORT

    def backend_address(self, name: str) -> str | None:
        addresses = self.backend_addresses.get(name)
        return addresses[self.address_indices[name]] if addresses else None

    def announce_address(self, name: str) -> str:
        """The announce service's address in this node's configuration."""
        return self.announce_addresses[self.address_indices[name]]

    # ingress proxies

    def open_ingress(self, incarnation: LiveIncarnation) -> None:
        """The incarnation is up: accept router connections."""
        self.startup_times_us.append(incarnation.startup_us)
        if not incarnation.dead and self.ingress_ports[incarnation.name] is None:
            host, _ = self.address(incarnation.name)
            self.ingress_ports[incarnation.name] = self.part.listen(
                IngressFactory(self, incarnation.name), host, INGRESS_PORT
            )
        self.part.on_incarnation_up()

    def close_ingress(self, incarnation: LiveIncarnation) -> None:
        self._close_ingress(incarnation.name)

    def _close_ingress(self, name: str) -> None:
        port, self.ingress_ports[name] = self.ingress_ports[name], None
        if port is not None:
            port.stopListening()

    # counters

    def counters_received(self, incarnation: LiveIncarnation) -> None:
        if self.part.awaiting_counters:
            self.check_counters(incarnation)
            self.part.awaiting_counters.discard(incarnation.name)
            self.part.finish_if_complete()

    def check_counters(self, incarnation: LiveIncarnation) -> None:
        """Compare the final counters with what was observed; there are none if the process was killed."""
        reported = incarnation.process.counters
        if reported is None:
            self.unreadable += 1
            return
        incarnation.process.counters = None
        self.reconciled += 1
        self.counter_differences += differences(
            incarnation.name, incarnation.observed, reported, incarnation.disturbances
        )
        self.tier_counters[0].update(reported)

    def start_failed(self, why: str) -> None:
        raise PartError(why)

    # faults

    def reload(self, name: str) -> None:
        incarnation = self.running_incarnation(name)
        self.pool_ports[name].switch()
        self.address_indices[name] = 1 - self.address_indices[name]
        if isinstance(incarnation, LiveIncarnation):
            incarnation.reload()

    def pause(self, name: str, length: int) -> None:
        incarnation = self.running_incarnation(name)
        if isinstance(incarnation, LiveIncarnation):
            incarnation.pause(length)

    def set_backend_state(self, state: str) -> None:
        """Does nothing: the backend runs in another process."""

    def running_incarnations(self) -> list[LiveIncarnation]:
        return [
            incarnation
            for incarnation in self.supervisor.incarnations.values()
            if isinstance(incarnation, LiveIncarnation) and not incarnation.dead
        ]


class MachinesPart(Part):
    role = "machines"

    def __init__(self, job: dict[str, Any], reactor: Any, control: Control) -> None:
        super().__init__(job, reactor, control)
        self.world = MachinesWorld(self)
        if job.get("log"):
            self.world.log = open(job["log"], "a", encoding="utf-8")  # noqa: SIM115 - open until the process ends
        self.awaiting_counters: set[str] = set()
        self.usage_by_pid: dict[int, Usage] = {}
        self._up = self._finished = self._aborted = False
        self._idle_deadline = 0

    def open_ports(self) -> None:
        self.send_message(
            ready={"ingress": {name: [self.world.address(name)[0], INGRESS_PORT] for name in self.world.tiers[0]}}
        )

    def prepare(self, message: dict[str, Any]) -> None:
        self.world.announce_addresses, self.world.backend_addresses = message["reports"], message["catalogue"]
        for name in self.world.tiers[0]:
            self.world.supervisor.start(name, False)
        self.loop.after(STARTUP_TIMEOUT_US, self._check_startup)

    def on_incarnation_up(self) -> None:
        if not self._up and all(incarnation.startup_us >= 0 for incarnation in self.world.running_incarnations()):
            self._up = True
            self.send_message(up=True)

    def _check_startup(self) -> None:
        if not self._up:
            missing = [
                incarnation.name for incarnation in self.world.running_incarnations() if incarnation.startup_us < 0
            ]
            raise PartError(f"nodes not up after {STARTUP_TIMEOUT_US // 1_000_000} s: {', '.join(missing)}")

    def schedule_scenario(self, at: int) -> None:
        self.world.scenario_started = True
        self.world.schedule_faults(self.start_offset_us)
        self.loop.at(at, self._record_usage)

    def _record_usage(self) -> None:
        for incarnation in self.world.running_incarnations():
            if incarnation.pid is not None:
                self.usage_by_pid[incarnation.pid] = usage_of(incarnation.pid) or Usage()

    # monitoring

    def poll(self) -> None:
        now = self.loop.real_now()
        for incarnation in self.world.running_incarnations():
            blocked_since_us = min(
                (connection.blocked_since for connection in incarnation.connections if connection.blocked_since),
                default=0,
            )
            if blocked_since_us:
                incarnation.blocked_ms = max(incarnation.blocked_ms, (now - blocked_since_us) / 1000)

    def watched_rows(self, second: int) -> list[Row]:
        rows = []
        for incarnation in self.world.running_incarnations():
            pid = incarnation.pid
            usage = usage_of(pid) if pid is not None else None
            if pid is None or usage is None:
                continue
            previous = self.usage_by_pid.get(pid, Usage())
            rows.append(
                Row(
                    incarnation.name,
                    second,
                    cpu=usage.cpu - previous.cpu,
                    wait=usage.wait - previous.wait,
                    blocked_ms=incarnation.blocked_ms,
                    node=True,
                    waived=self.loop.now < max(incarnation.waived_until_us, incarnation.started + START_WAIVER_US),
                )
            )
            self.usage_by_pid[pid], incarnation.blocked_ms = usage, 0.0
        return rows

    # shutdown

    def finish(self, message: dict[str, Any]) -> None:
        self.loop.catch_up()
        self._aborted = bool(message.get("void"))
        self._idle_deadline = self.loop.now + (0 if self._aborted else IDLE_TIMEOUT_US)
        self._wait_until_idle()

    def _wait_until_idle(self) -> None:
        busy = any(
            incarnation.unanswered or incarnation.pool.runs or incarnation.draining
            for incarnation in self.world.running_incarnations()
        )
        if busy and self.loop.now < self._idle_deadline:
            self.loop.after(50_000, self._wait_until_idle)
            return
        self.loop.after(100_000, self._request_counters)  # lets the last messages in transit arrive

    def _request_counters(self) -> None:
        remaining = [incarnation for incarnation in self.world.running_incarnations() if not incarnation.draining]
        self.awaiting_counters = {incarnation.name for incarnation in remaining}
        for incarnation in remaining:
            incarnation.signal(signal.SIGUSR1)
        self.loop.after(COUNTERS_TIMEOUT_US, self.finish_if_complete, True)
        self.finish_if_complete()

    def finish_if_complete(self, timed_out: bool = False) -> None:
        if self._finished or (self.awaiting_counters and not timed_out):
            return
        self._finished = True
        world, names = self.world, set(self.world.tiers[0])
        world.unreadable += len(self.awaiting_counters)
        audit = world.audits[0]
        audit.close([b for b in world.records if b.node in names], self.loop.now)
        at = START_US + self.start_offset_us
        result = {
            "breaches": [{"rule": b.rule, "lines": b.lines(at)} for b in audit.breaches],
            "checked": audit.answers_checked,
            "counters": dict(world.tier_counters[0]),
            "total": vars(world.totals[0]),
            "faults": [] if self._aborted else world.counter_differences,  # messages are in transit at an abort
            "reconciled": world.reconciled,
            "unreadable": world.unreadable,
            "happened": [[h.at - self.start_offset_us, h.description] for h in world.supervisor.recorded_events],
            "keeper": dict(world.supervisor.counters),
            "starts_ms": [us // 1000 for us in world.startup_times_us],
            "concurrency": max(world.machines[n].peak_concurrency for n in names),
            "memory": max(world.machines[n].peak_memory for n in names),
        }
        for incarnation in world.running_incarnations():
            incarnation.dead = True  # an exit from here on is not a crash
            incarnation.signal(signal.SIGKILL)
        self.send_result(result)


part_class = MachinesPart
