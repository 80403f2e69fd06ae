"""The ingress proxy of a machine: routers connect here, and each of their connections has one to the node behind it.
What comes is read on the machine's cores before the node has it, gets its arrival time, and is told to the machine's
life; so is each answer. It must not judge what passes."""

from __future__ import annotations

import re
import socket
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure

from ..clients import RouterClient, RouterSide
from ..emulator.requests import Try
from .clock import RealLoop
from .part import Dial

ARRIVAL_FIELD = re.compile(rb"door=\d+")
CROSSING = 50_000  # microseconds within which a request may cross the close of its connection (PROTOCOL)
SEND_BUFFER = 16 * 1024  # bytes of a connection's own to the node: past these, a node that does not read shows


class ProxiedLife(Protocol):
    """The life behind an ingress proxy."""

    loop: RealLoop
    dead: bool
    address: tuple[str, int]
    sides: dict[IngressConnection, None]

    def came(self, side: IngressConnection, tag: int, items: list[bytes]) -> None:
        """A request has come; its items as the router wrote them."""

    def answered_by(self, t: Try, items: list[bytes]) -> None:
        """The node has answered a try."""

    def checked_by(self) -> None:
        """The node has answered a health check."""

    def shut(self) -> None:
        """The node refuses connections."""

    def stray(self, items: list[bytes], t: Try | None) -> None:
        """The node has answered what nobody asked, or once more."""

    def unread(self, why: str, opened: list[Try]) -> None:
        """The node's side of a connection ended, or can't be read, with these open on it."""


class NodeSide(RouterSide):
    """The connection to the node."""

    def dataReceived(self, data: bytes) -> None:
        ingress: IngressConnection = self.client  # type: ignore[assignment]
        ingress.life.loop.catch_up()
        try:
            super().dataReceived(data)
        except (ValueError, IndexError) as error:
            ingress.broken(f"an answer that can't be read: {error}")


class IngressConnection(RouterSide):
    """A router's connection; also the client (``RouterSide.client``) of the one to the node, of which it sees answers
    by ``received``. ``side`` is that connection, None until it is up."""

    def __init__(self, life: ProxiedLife) -> None:
        super().__init__(self)  # type: ignore[arg-type]
        self.life = life
        self.node: NodeSide | None = None
        self.open: dict[int, Try] = {}  # written to the node and not answered, by tag
        self.reading: dict[int, Try] = {}  # still being read
        self.over: dict[int, Try] = {}
        self.waiting: list[bytes] = []
        self.ended = False
        self.blocked_since = 0

    # the router's side

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.life.loop.catch_up()
        self.life.sides[self] = None
        if self.life.dead:
            self.transport.abortConnection()
            return
        host, port = self.life.address
        self.life.loop.reactor.connectTCP(host, port, Dial(self, self.life.loop), timeout=5)

    def dataReceived(self, data: bytes) -> None:
        self.life.loop.catch_up()
        super().dataReceived(data)

    def whole(self, items: list[bytes]) -> None:
        """What a router asks."""
        if self.ended:
            return
        if items[0] == b"CALL":
            self.life.came(self, int(items[1]), items)
        else:
            self.write(RouterClient.frame(*items))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        """The router has closed, or reset, its connection: no answer is owed here."""
        self.life.loop.catch_up()
        for t in [*self.open.values(), *self.reading.values()]:
            t.forgiven = True
        self.close(abort=not reason.check(type(connectionDone.value)))

    # towards the node

    def pass_on(self, tag: int, t: Try, items: list[bytes], arrival_ms: int) -> bool:
        """Write a request that has been read to the node. False if there is no node to write to any more."""
        self.reading.pop(tag, None)
        if self.ended or t.forgiven:
            return False
        self.open[tag] = t
        t.written = self.life.loop.now
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
        """Nobody listens: nothing that came on this connection was ever written."""
        for t in [*self.open.values(), *self.reading.values()]:
            t.forgiven = True
        self.life.shut()
        self.close(abort=True)

    @property
    def side(self) -> NodeSide | None:
        return self.node

    @side.setter
    def side(self, side: NodeSide | None) -> None:
        self.node = side
        if side is None:
            return
        if self.ended or self.life.dead:
            side.transport.abortConnection()
            return
        shrink(side.transport)
        side.transport.registerProducer(Choke(self), True)
        waiting, self.waiting = b"".join(self.waiting), []
        for t in self.open.values():
            t.written = self.life.loop.now
        if waiting:
            side.transport.write(waiting)

    @property
    def closed(self) -> bool:
        return self.ended

    @closed.setter
    def closed(self, value: bool) -> None:
        """The node's side has ended."""
        self.life.loop.catch_up()
        if not self.ended:
            self.broken("its connection ended without an answer")

    # what the node says

    def received(self, items: list[bytes]) -> None:
        tag, word = int(items[0]), items[1]
        if self.ended:
            return
        if tag and word not in (b"READY", b"UNREADY"):
            t = self.open.pop(tag, None)
            if t is None:
                self.life.stray(items, self.over.get(tag))
                return
            self.over[tag] = t
            self.life.answered_by(t, items)
        elif tag:
            self.life.checked_by()
        self.transport.write(RouterClient.frame(*items))

    def broken(self, why: str) -> None:
        """A request that crossed the close is sent again by its router: it is not lost."""
        edge = self.life.loop.now - CROSSING
        opened = [t for t in self.open.values() if not t.forgiven and t.written <= edge]
        for t in [*self.open.values(), *self.reading.values()]:
            if t not in opened:
                t.forgiven = True
        if opened:
            self.life.unread(why, opened)
        self.close(abort=False)

    def close(self, abort: bool) -> None:
        """End both connections."""
        if self.ended:
            return
        self.ended = True
        for end in (self, self.node):
            transport = end.transport if end is not None else None
            if transport is not None:
                transport.abortConnection() if abort else transport.loseConnection()
        self.life.sides.pop(self, None)


class Choke:
    """Told by the transport when the node does not take what is written."""

    def __init__(self, ingress: IngressConnection) -> None:
        self.ingress = ingress

    def pauseProducing(self) -> None:
        self.ingress.blocked_since = self.ingress.life.loop.real()

    def resumeProducing(self) -> None:
        self.ingress.blocked_since = 0

    def stopProducing(self) -> None:
        """The connection is over."""


def shrink(transport: Any) -> None:
    """Make a connection's own buffers small, so that a peer that does not read is noticed."""
    transport.setTcpNoDelay(True)
    transport.getHandle().setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER)
    transport.bufferSize = SEND_BUFFER
