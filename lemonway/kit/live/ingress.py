"""The ingress proxy of a machine: each router connection is paired with a connection to the node behind the proxy.

A request first costs reading time on the machine's modelled cores, then gets its arrival time and goes to the node.
Requests and answers are reported to the machine's incarnation; the proxy itself does not judge them."""

from __future__ import annotations

import re
import socket
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..clients import RouterClient, RouterSide
from ..emulator.requests import Try
from .clock import RealLoop
from .part import ConnectFactory

ARRIVAL_FIELD = re.compile(rb"door=\d+")
CLOSE_CROSSING_US = 50_000  # how long before a close a request may have been written and still cross it (PROTOCOL)
SEND_BUFFER_BYTES = 16 * 1024  # small, so that a node that stops reading is noticed soon


class ProxiedIncarnation(Protocol):
    """The node incarnation behind an ingress proxy."""

    loop: RealLoop
    dead: bool
    address: tuple[str, int]
    connections: dict[IngressConnection, None]

    def on_request(self, connection: IngressConnection, tag: int, items: list[bytes]) -> None:
        """A request has arrived; ``items`` are as the router sent them."""

    def on_answer(self, attempt: Try, items: list[bytes]) -> None:
        """The node has answered a try."""

    def on_health_check(self) -> None:
        """The node has answered a health check."""

    def on_connection_refused(self) -> None:
        """The node refuses connections."""

    def on_unexpected_answer(self, items: list[bytes], attempt: Try | None) -> None:
        """The node has answered an unknown tag, or has answered a try a second time."""

    def on_connection_failed(self, why: str, unanswered: list[Try]) -> None:
        """The connection to the node ended or sent invalid data while these tries were open on it."""


class NodeSide(RouterSide):
    """The connection to the node."""

    def dataReceived(self, data: bytes) -> None:
        ingress: IngressConnection = self.client  # type: ignore[assignment]
        ingress.incarnation.loop.catch_up()
        try:
            super().dataReceived(data)
        except (ValueError, IndexError) as error:
            ingress.fail(f"invalid answer: {error}")


class IngressConnection(RouterSide):
    """A router's connection. It is also the client (``RouterSide.client``) of the connection to the node, whose answers
    it gets through ``received``. ``side`` is the connection to the node, None until it is established."""

    def __init__(self, incarnation: ProxiedIncarnation) -> None:
        super().__init__(self)  # type: ignore[arg-type]
        self.incarnation = incarnation
        self.node: NodeSide | None = None
        self.open: dict[int, Try] = {}  # by tag: written to the node, not yet answered
        self.reading: dict[int, Try] = {}  # by tag: still being read on the machine's cores
        self.answered: dict[int, Try] = {}
        self.waiting: list[bytes] = []
        self.finished = False
        self.blocked_since = 0

    # router side

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.incarnation.loop.catch_up()
        self.incarnation.connections[self] = None
        if self.incarnation.dead:
            self.transport.abortConnection()
            return
        host, port = self.incarnation.address
        self.incarnation.loop.reactor.connectTCP(host, port, ConnectFactory(self, self.incarnation.loop), timeout=5)

    def dataReceived(self, data: bytes) -> None:
        self.incarnation.loop.catch_up()
        super().dataReceived(data)

    def whole(self, items: list[bytes]) -> None:
        """Handle a complete message from the router."""
        if self.finished:
            return
        if items[0] == b"CALL":
            self.incarnation.on_request(self, int(items[1]), items)
        else:
            self.write(RouterClient.frame(*items))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The router closed or reset its connection, so no more answers are due on it."""
        self.incarnation.loop.catch_up()
        for attempt in [*self.open.values(), *self.reading.values()]:
            attempt.connection_lost = True
        self.close(abort=not reason.check(type(connectionDone.value)))

    # node side

    def forward(self, tag: int, attempt: Try, items: list[bytes], arrival_ms: int) -> bool:
        """Write a request that has been read to the node. Returns False if the connection has ended meanwhile."""
        self.reading.pop(tag, None)
        if self.finished or attempt.connection_lost:
            return False
        self.open[tag] = attempt
        attempt.written_at_us = self.incarnation.loop.now
        fields = ARRIVAL_FIELD.sub(b"door=%d" % arrival_ms, items[3], count=1)
        self.write(RouterClient.frame(items[0], items[1], items[2], fields, *items[4:]))
        return True

    def write(self, data: bytes) -> None:
        if self.node is None:
            self.waiting.append(data)
        else:
            self.node.transport.write(data)

    def buildProtocol(self, addr: Any) -> NodeSide:
        return NodeSide(self)  # type: ignore[arg-type]

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        """The node refused the connection, so none of its requests was ever written."""
        for attempt in [*self.open.values(), *self.reading.values()]:
            attempt.connection_lost = True
        self.incarnation.on_connection_refused()
        self.close(abort=True)

    @property
    def side(self) -> NodeSide | None:
        return self.node

    @side.setter
    def side(self, side: NodeSide | None) -> None:
        self.node = side
        if side is None:
            return
        if self.finished or self.incarnation.dead:
            side.transport.abortConnection()
            return
        shrink_buffers(side.transport)
        side.transport.registerProducer(BackpressureProducer(self), True)
        waiting, self.waiting = b"".join(self.waiting), []
        for attempt in self.open.values():
            attempt.written_at_us = self.incarnation.loop.now
        if waiting:
            side.transport.write(waiting)

    @property
    def closed(self) -> bool:
        return self.finished

    @closed.setter
    def closed(self, value: bool) -> None:
        """The connection to the node has ended."""
        self.incarnation.loop.catch_up()
        if not self.finished:
            self.fail("its connection ended without an answer")

    # messages from the node

    def received(self, items: list[bytes]) -> None:
        tag, status = int(items[0]), items[1]
        if self.finished:
            return
        if tag and status not in (b"READY", b"UNREADY"):
            attempt = self.open.pop(tag, None)
            if attempt is None:
                self.incarnation.on_unexpected_answer(items, self.answered.get(tag))
                return
            self.answered[tag] = attempt
            self.incarnation.on_answer(attempt, items)
        elif tag:
            self.incarnation.on_health_check()
        self.transport.write(RouterClient.frame(*items))

    def fail(self, why: str) -> None:
        """Close after the node's connection failed. Requests written within ``CLOSE_CROSSING_US`` may have crossed the
        close: their router sends them again, so they are not reported as lost."""
        written_before = self.incarnation.loop.now - CLOSE_CROSSING_US
        unanswered = [
            attempt
            for attempt in self.open.values()
            if not attempt.connection_lost and attempt.written_at_us <= written_before
        ]
        for attempt in [*self.open.values(), *self.reading.values()]:
            if attempt not in unanswered:
                attempt.connection_lost = True
        if unanswered:
            self.incarnation.on_connection_failed(why, unanswered)
        self.close(abort=False)

    def close(self, abort: bool) -> None:
        """Close or abort both connections."""
        if self.finished:
            return
        self.finished = True
        for endpoint in (self, self.node):
            transport = endpoint.transport if endpoint is not None else None
            if transport is not None:
                transport.abortConnection() if abort else transport.loseConnection()
        self.incarnation.connections.pop(self, None)


class BackpressureProducer:
    """Records since when the node has not been reading, as signalled by the transport's flow control."""

    def __init__(self, ingress: IngressConnection) -> None:
        self.ingress = ingress

    def pauseProducing(self) -> None:
        self.ingress.blocked_since = self.ingress.incarnation.loop.real_now()

    def resumeProducing(self) -> None:
        self.ingress.blocked_since = 0

    def stopProducing(self) -> None:
        """The transport is closed; there is nothing to stop."""


def shrink_buffers(transport: Any) -> None:
    """Make a connection's send buffers small, so that a peer that does not read is noticed."""
    transport.setTcpNoDelay(True)
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
    transport.bufferSize = SEND_BUFFER_BYTES
