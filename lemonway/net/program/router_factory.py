"""Accepts the routers' connections within the node's limits, and sheds idle ones at the limit."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IReactorFDSet
from twisted.internet.protocol import ServerFactory

from ..protocol.resp import NameLookup, RouterConnection
from ..routing.core import Core
from ..transport.clock import EventLoop
from ..transport.port import LimitedPort
from .bounds import Bounds
from .config import Address

LISTEN_BACKLOG = 512  # connections that wait to be accepted


class RouterFactory(ServerFactory):
    """Makes the connections of the routers and sheds idle ones at the connection limit."""

    noisy = False

    def __init__(self, event_loop: EventLoop, core: Core, bounds: Bounds) -> None:
        self.event_loop, self.core, self.bounds = event_loop, core, bounds
        self.names = NameLookup.from_settings(core.settings)
        self.port: LimitedPort | None = None

    def room(self) -> int:
        """How many more connections may be accepted. Past ``connections``, idle ones are closed to make room for new
        ones; ``surplus`` covers the time that takes."""
        return self.bounds.connections + self.bounds.surplus - len(self.core.frontend_connections)

    def buildProtocol(self, addr: Any) -> RouterConnection | None:
        self.event_loop.begin_iteration()
        if len(self.core.frontend_connections) >= self.bounds.connections:
            if self.port is None and self.room() <= 0:  # an inherited socket accepts without this check
                self.core.counters["connections_over"] += 1
                return None
            self.shed()
        return RouterConnection(self.event_loop, self.core, self.names)

    def shed(self, limit: int = 1) -> bool:
        """Make room for new connections: clients that send nothing, or half a line, or stay after one request must not
        keep routers out. Resets those that only wait for the peer's FIN, and starts an orderly close of up to ``limit``
        idle ones, which takes a moment. Returns whether any was reset, so that there is room at once."""
        router_connections = [
            connection for connection in self.core.frontend_connections if isinstance(connection, RouterConnection)
        ]
        aborted = [connection for connection in router_connections if connection.awaits_only_peer_close()]
        for connection in aborted:
            connection.abort()
        candidates = sorted(
            (rank, n) for n, connection in enumerate(router_connections) if (rank := connection.eviction_key())
        )[:limit]
        for _, n in candidates:
            self.core.counters["connections_shed"] += 1
            router_connections[n].evict()
        return bool(aborted)


def open_router_port(factory: RouterFactory, address: Address, reactor: Any, counters: Any) -> Any:
    """Open the routers' port. The rehearsal kit's virtual reactor has no descriptors and makes its own port."""
    if not IReactorFDSet.providedBy(reactor):
        return reactor.listenTCP(address.port, factory, backlog=LISTEN_BACKLOG, interface=address.host)
    port = LimitedPort(address.port, factory, LISTEN_BACKLOG, address.host, reactor, counters)
    port.startListening()
    return port
