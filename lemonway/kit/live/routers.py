"""The ``routers`` part: clients with a schedule drawn in advance, and the emulator's routers on real connections to the
machines. The load is open-loop: each request is sent at its scheduled time, from which its latency counts."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol, connectionDone
from twisted.python.failure import Failure

from ...interface import Settings
from ...net.ports import Answer
from ..clients import RouterSide
from ..emulator.clients import Clients
from ..emulator.day import TAIL, World
from ..emulator.membership import AnnounceService
from ..emulator.requests import Try
from ..emulator.routing.router import Router
from ..emulator.virtual import START_US
from ..emulator.wire.peers import NodeConnection, WireLink
from .clock import RealLoop
from .part import ConnectFactory, Control, Part

SECOND = 1_000_000


class LiveCaller(NodeConnection):
    """A connection to a machine. Queued frames are sent as soon as it is established."""

    _side: RouterSide | None = None

    @property
    def side(self) -> RouterSide | None:
        return self._side

    @side.setter
    def side(self, side: RouterSide | None) -> None:
        self._side = side
        if side is not None:
            side.transport.setTcpNoDelay(True)
            self.link.incarnation.loop.catch_up()  # type: ignore[attr-defined]
            self.link.connected()  # type: ignore[attr-defined]
            self.flush()

    def send(self, frame: bytes) -> None:
        self.unsent_frames.append(frame)
        self.flush()

    def received(self, items: list[bytes]) -> None:
        self.link.incarnation.loop.catch_up()  # type: ignore[attr-defined]
        super().received(items)


class LiveLink(WireLink):
    """A router's connections to one machine, whichever incarnation of the node runs on it."""

    connection_type = LiveCaller

    def __init__(self, remote: Any, router: Router, delay: int) -> None:
        super().__init__(remote, router, delay)
        self.tries: dict[int, Try] = {}  # open tries by tag
        self.stale = False  # a connection failed or closed, so the router's data may be of an earlier process

    def call(self, attempt: Try) -> None:
        self.tries[attempt.number] = attempt
        super().call(attempt)

    def connected(self) -> None:
        if self.stale:
            self.stale = False
            self.router.on_restarted(self.incarnation.name)

    def refused(self, caller: NodeConnection, opened: dict[int, Try]) -> None:
        self.stale = True
        if caller is self.check_connection:
            self.incarnation.loop.after(self.delay, self.router.on_check_result, self.incarnation.name, False, None)
        super().refused(caller, opened)

    def ended(self, caller: NodeConnection) -> None:
        self.incarnation.loop.catch_up()  # type: ignore[attr-defined]
        self.stale = True
        if caller is self.check_connection:
            self.check_connection = None
        super().ended(caller)


class RemoteMachine:
    """A machine as routers see it: an address. ``wire.peers.WireLink`` uses it in place of a local incarnation."""

    dead = False

    def __init__(self, name: str, address: tuple[str, int], loop: RealLoop, settings: Settings) -> None:
        self.name, self.address, self.loop, self.settings = name, address, loop, settings
        self.tenant_names = [tenant.name for tenant in settings.tenants]
        self.plumbing = self

    def connect(self, where: object, caller: NodeConnection, owner: object) -> None:
        host, port = self.address
        self.loop.reactor.connectTCP(host, port, ConnectFactory(caller, self.loop), timeout=5)

    def heard(self, link: LiveLink, tag: int, answer: Answer) -> None:
        attempt = link.tries.pop(tag, None)
        if attempt is not None:
            self.loop.after(link.delay, link.router.on_answer, attempt, answer)

    def refused(self, link: LiveLink, attempt: Try) -> None:
        link.tries.pop(attempt.number, None)
        self.loop.after(link.delay, link.router.on_refused, attempt)

    def broken(self, link: LiveLink, attempt: Try) -> None:
        link.tries.pop(attempt.number, None)
        self.loop.after(link.delay, link.router.on_broken, attempt)


class SocketNetwork:
    """Like ``recovery.supervisor.Network``, over real sockets."""

    def __init__(self, part: RoutersPart) -> None:
        self.part = part
        self.links: dict[tuple[int, str], LiveLink] = {}

    def link(self, router: Router, name: str) -> LiveLink:
        machine_link = self.links.get((router.number, name))
        if machine_link is None:
            delay = self.part.world.delays[router.number]
            machine_link = self.links[router.number, name] = LiveLink(self.part.remote_machines[name], router, delay)
        return machine_link

    def send(self, router: Router, attempt: Try) -> None:
        self.part.loop.after(self.part.world.delays[router.number], self.link(router, attempt.node).call, attempt)

    def check(self, router: Router, name: str, tag: int) -> None:
        self.part.loop.after(self.part.world.delays[router.number], self.link(router, name).check, tag, False)


class ListSubscriber(Protocol):
    """Receives the list of nodes from the announce service."""

    def __init__(self, part: RoutersPart) -> None:
        self.part = part
        self._rest = b""

    def dataReceived(self, data: bytes) -> None:
        self.part.loop.catch_up()
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            name, _, state = line.decode().rpartition(" ")
            self.part.on_list_change(name, state == "true")

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if not self.part.control.exit_code:
            self.part.control.report_failure("the announce service closed the list connection")


class ListSubscriberFactory:
    def __init__(self, part: RoutersPart) -> None:
        self.part = part

    def buildProtocol(self, addr: object) -> ListSubscriber:
        return ListSubscriber(self.part)

    def clientConnectionFailed(self, connector: object, reason: Failure) -> None:
        self.part.control.report_failure(
            f"connection to the announce service's list failed: {reason.getErrorMessage()}"
        )


class RoutersPart(Part):
    role = "routers"

    def __init__(self, job: dict[str, Any], reactor: Any, control: Control) -> None:
        super().__init__(job, reactor, control)
        self.world = World(self.scenario, self.seed, loop=self.loop)
        self.service: AnnounceService = self.world.services[0]
        self.service.up = False  # its entries come from the announce service's list
        self.requests = self.world.requests()
        self.world.number = len(self.requests)
        self.remote_machines: dict[str, RemoteMachine] = {}
        self.unlisted: set[str] = set(self.world.tiers[0])
        self.finished_at: dict[int, int] = {}
        self.clients: Clients | None = None
        self._up = False

    def prepare(self, message: dict[str, Any]) -> None:
        self.remote_machines = {
            name: RemoteMachine(name, (host, port), self.loop, self.world.settings[0])
            for name, (host, port) in message["ingress"].items()
        }
        socket_network = SocketNetwork(self)
        for router in self.world.routers:
            router.network = socket_network
        host, port = message["feed"]
        self.reactor.connectTCP(host, port, ConnectFactory(ListSubscriberFactory(self), self.loop), timeout=5)

    def on_list_change(self, name: str, listed: bool) -> None:
        """Apply a change of the list. The scenario starts once all nodes are on it; later changes reach each router
        after its own lag."""
        if not self._up:
            if listed:
                self.unlisted.discard(name)
                self.service.seed(name)
            if not self.unlisted:
                self._up = True
                self.send_message(up=True)
        elif self.service.entries[name].listed is not listed:
            self.service.set(name, listed)

    def schedule_scenario(self, at: int) -> None:
        for request in self.requests:
            request.sent_at_us += self.start_offset_us
            request.client_deadline_us += self.start_offset_us
        self.clients = Clients(self.loop, self.requests, self.world.routers)
        self.clients.on_finished = lambda request: self.finished_at.__setitem__(request.number, self.loop.now)
        self.clients.start()
        scenario_end = at + int(self.scenario.seconds * SECOND)
        self.loop.at(at, self._report_progress, at, scenario_end, scenario_end + max(self.world.deadlines) + TAIL)

    def _report_progress(self, at: int, scenario_end: int, end: int) -> None:
        clients, now = self.clients, self.loop.now
        assert clients is not None
        if (now >= scenario_end and not clients.pending) or now >= end:
            self.send_message(over=True)
            return
        self.send_message(progress=round(min(1.0, (now - at) / (scenario_end - at)), 4))
        self.loop.after(SECOND // 4, self._report_progress, at, scenario_end, end)

    def finish(self, message: dict[str, Any]) -> None:
        counters: dict[str, int] = {}
        for router in self.world.routers:
            for name, value in router.counters.items():
                counters[name] = counters.get(name, 0) + value
        start_offset_us = self.start_offset_us
        self.send_result(
            {
                "requests": [
                    [
                        r.number,
                        r.try_count,
                        r.served_at_us - start_offset_us if r.served_at_us >= 0 else -1,
                        r.outcome,
                        self.finished_at[r.number] - start_offset_us if r.number in self.finished_at else -1,
                    ]
                    for r in self.requests
                ],
                "routers": counters,
                "doubles": dict(self.clients.duplicate_outcomes) if self.clients else {},
                "start": START_US,
            }
        )


part_class = RoutersPart
