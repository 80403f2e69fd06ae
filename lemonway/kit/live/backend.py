"""The ``acervo`` part: the backend tier in one process. Its nodes are emulated (shipped core and policy) in real time,
behind one HTTP proxy port for each first-tier node."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from typing import Any

from ..emulator.day import World
from ..emulator.requests import Request
from ..emulator.routing.router import Router
from ..emulator.virtual import START_US, Uniform
from ..emulator.wire.peers import Proxy
from .clock import RealLoop
from .part import Control, Part

OLD_CONNECTION_GRACE_US = 1_500_000  # how long existing connections stay open after a reload (LATER)


class FirstTierNode:
    """The attributes of a first-tier node (``node.EmulatedIncarnation``) that its proxy needs."""

    dead = False

    def __init__(self, name: str, loop: RealLoop) -> None:
        self.name, self.loop = name, loop


class LiveProxy(Proxy):
    """Finds the request behind a call by its number N in the call's body, which the pool writes as ``request N#K`` (K:
    the index of the call in its run). Whether the calling run is still active is not known in this process."""

    def __init__(
        self,
        caller: Any,
        router: Router,
        number: Callable[[], int],
        uniform: Uniform,
        spoil: float,
        extra: float,
        requests: Mapping[int, Request],
    ) -> None:
        super().__init__(caller, router, number, uniform, spoil, extra)
        self.requests = requests
        self.real_loop: RealLoop = caller.loop
        self.unknown_call_count = 0

    def parent(self, txn: str, body: bytes) -> Request | None:
        return self.requests.get(request_number(body))

    def is_awaited(self, txn: str, body: bytes) -> bool:
        """Always true: the pools are in other processes, so an abandoned call can't be told from an awaited one."""
        return True

    def called(self, side: Any, txn: str, body: bytes) -> None:
        self.real_loop.catch_up()
        if self.parent(txn, body) is None:
            self.unknown_call_count += 1
        super().called(side, txn, body)


def request_number(body: bytes) -> int:
    """The request number in the body of a request or of one of its calls; 0 if there is none."""
    fields = body.partition(b"#")[0].split(b" ")
    return int(fields[1]) if len(fields) == 2 and fields[0] == b"request" and fields[1].isdigit() else 0


class AlternatingPort:
    """Two addresses for one factory, of which one is active at a time; both listen until the first ``switch``."""

    def __init__(self, part: Part, factory: Any) -> None:
        self.part, self.factory, self.active = part, factory, 0
        first = [part.listen(factory) for _ in (0, 1)]
        self.port_numbers: list[int] = [port.getHost().port for port in first]
        self.listening: list[Any] = first

    @property
    def addresses(self) -> list[str]:
        return [f"{self.part.host}:{number}" for number in self.port_numbers]

    def switch(self) -> None:
        """Start listening on the other address; the previous one is closed 10 ms later."""
        previous = self.active
        self.active = 1 - previous
        if self.listening[self.active] is None:
            self.listening[self.active] = self.part.listen(self.factory, port=self.port_numbers[self.active])
        self.part.loop.after(10_000, self._close, previous)

    def _close(self, index: int) -> None:
        if index != self.active and self.listening[index] is not None:
            self.listening[index].stopListening()
            self.listening[index] = None


class BackendWorld(World):
    """Models the scenario's whole fleet, but only the backend tier's nodes are started in this process."""

    ports: dict[str, AlternatingPort]
    callers: dict[str, LiveProxy]

    def set_backend_state(self, state: str) -> None:
        for proxy in self.callers.values():
            proxy.state = state

    def reload(self, name: str) -> None:
        if port := self.ports.get(name):
            port.switch()
            for side in list(self.callers[name].sides):
                self.loop.after(OLD_CONNECTION_GRACE_US, self._abort_connection, self.callers[name], side)

    @staticmethod
    def _abort_connection(proxy: LiveProxy, side: Any) -> None:
        if side in proxy.sides:
            side.transport.abortConnection()

    def pause(self, name: str, length: int) -> None:
        """Does nothing: only first-tier nodes are processes that can be paused."""


class BackendPart(Part):
    role = "acervo"

    def __init__(self, job: dict[str, Any], reactor: Any, control: Control) -> None:
        super().__init__(job, reactor, control)
        self.world = BackendWorld(self.scenario, self.seed, loop=self.loop)
        requests = {r.number: r for r in self.world.requests()}
        self.world.number = 1_000_000_000  # the numbers of calls and tries here start far above the first tier's
        wire = self.scenario.wire
        self.world.callers = {
            name: LiveProxy(
                FirstTierNode(name, self.loop),
                router,
                self.world.next_number,
                Uniform(self.world.streams[f"live/{name}"]),
                wire.spoil,
                wire.extra,
                requests,
            )
            for name, router in self.world.proxies.items()
        }

    def open_ports(self) -> None:
        self.world.ports = {name: AlternatingPort(self, proxy) for name, proxy in self.world.callers.items()}
        self.send_message(ready={"catalogue": {name: port.addresses for name, port in self.world.ports.items()}})

    def prepare(self, order: dict[str, Any]) -> None:
        for name in self.world.tiers[1]:
            self.world.services[1].seed(name)
            self.world.supervisor.start(name, False)
        self.send_message(up=True)

    def schedule_scenario(self, at: int) -> None:
        self.world.schedule_faults(self.start_offset_us)

    def finish(self, order: dict[str, Any]) -> None:
        world, names = self.world, self.world.tiers[1]
        for name in names:
            if life := world.running_incarnation(name):
                world.collect_counters(life)
        world.audits[1].close([b for b in world.records if b.node in set(names)], self.loop.now)
        audit = world.audits[1]
        self.send_result(
            {
                "breaches": [
                    {"rule": b.rule, "lines": b.lines(START_US + self.start_offset_us)} for b in audit.breaches
                ],
                "checked": audit.answers_checked,
                "counters": dict(world.tier_counters[1]),
                "total": vars(world.totals[1]),
                "strange_calls": sum(proxy.unknown_call_count for proxy in world.callers.values()),
                "concurrency": max((world.machines[n].peak_concurrency for n in names), default=0.0),
                "memory": max((world.machines[n].peak_memory for n in names), default=0.0),
            }
        )


part_class = BackendPart
