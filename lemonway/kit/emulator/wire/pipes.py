"""In-memory byte pipes in virtual time, and the part of Twisted's reactor interface that a node uses. Connections may
split and coalesce writes, lose data in transit when they are cut, and are refused where no one listens. Nothing here
depends on a protocol."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from twisted.internet.error import ConnectionDone, ConnectionLost, ConnectionRefusedError
from twisted.python.failure import Failure

from ..virtual import DelayedCall, Loop, Uniform

COALESCE_DELAY_US = 400  # for which a write waits to be sent together with later ones

DONE, LOST, REFUSED = Failure(ConnectionDone()), Failure(ConnectionLost()), Failure(ConnectionRefusedError())


@dataclass(frozen=True)
class PipeBehaviour:
    """How pipes treat writes: the one-way delay, and the shares of writes that are split and coalesced."""

    delay_us: int = 60
    split_share: float = 0.0
    coalesce_share: float = 0.0


class Endpoint:
    """One end of a connection; the transport of its protocol."""

    def __init__(self, plumbing: PipeNetwork, protocol: Any, owner: object) -> None:
        self.plumbing, self.protocol, self.owner = plumbing, protocol, owner
        self.loop = plumbing.loop
        self.peer: Endpoint
        self.connected, self.disconnecting = True, False
        self.bufferSize = 65536
        self._reading = True
        self._unread: list[bytes] = []  # received while its protocol had paused reading
        self._coalesced: list[bytes] = []  # writes waiting to be sent together
        self._next_send_at = 0  # later data is not delivered before this time, which keeps the order
        self.generation = 0  # incremented at a cut, which discards data in transit

    # Twisted transport interface

    def write(self, data: bytes) -> None:
        if not self.connected or self.disconnecting or not data:
            return
        behaviour, uniform = self.plumbing.behaviour, self.plumbing.uniform
        if self._coalesced:
            self._coalesced.append(data)
        elif behaviour.coalesce_share and uniform() < behaviour.coalesce_share:
            self._coalesced.append(data)
            self.loop.after(COALESCE_DELAY_US, self._send_coalesced)
        else:
            self._send(data)

    def writeSequence(self, data: list[bytes]) -> None:
        self.write(b"".join(data))

    def _send_coalesced(self) -> None:
        data, self._coalesced = b"".join(self._coalesced), []
        if data and self.connected:
            self._send(data)

    def _send(self, data: bytes) -> None:
        behaviour, uniform = self.plumbing.behaviour, self.plumbing.uniform
        segments = [data]
        if behaviour.split_share and len(data) > 1 and uniform() < behaviour.split_share:
            split_at = 1 + uniform.below(len(data) - 1)
            segments = [data[:split_at], data[split_at:]]
        for segment in segments:
            deliver_at = max(self.loop.now + behaviour.delay_us, self._next_send_at)
            self._next_send_at = deliver_at + (1 + uniform.below(2 * behaviour.delay_us) if len(segments) > 1 else 0)
            self.loop.at(deliver_at, self.peer._receive, segment, self.peer.generation)

    def loseConnection(self, *_: object) -> None:
        """Closes the connection once all written data has arrived."""
        if self.connected and not self.disconnecting:
            self._send_coalesced()
            self.disconnecting = True
            self.loop.at(max(self.loop.now + self.plumbing.behaviour.delay_us, self._next_send_at), self._close)

    def loseWriteConnection(self) -> None:
        """Closes the connection: the emulated peers close theirs at once when the other side half-closes."""
        self.loseConnection()

    def _close(self) -> None:
        if self.connected:
            self._disconnect(DONE)
            self.peer._disconnect(DONE)

    def abortConnection(self) -> None:
        if self.connected:
            self.loop.after(0, self._disconnect, LOST)
            self.loop.after(self.plumbing.behaviour.delay_us, self.peer._disconnect, LOST)

    def registerProducer(self, producer: object, streaming: bool) -> None:
        """Does nothing: pipes have no flow control and never pause a producer."""

    def unregisterProducer(self) -> None:
        """See ``registerProducer``."""

    def pauseProducing(self) -> None:
        self._reading = False

    def resumeProducing(self) -> None:
        self._reading = True
        unread, self._unread = self._unread, []
        for index, data in enumerate(unread):
            if not self._reading:
                self._unread = unread[index:] + self._unread
                return
            self._hand(data)

    def setTcpNoDelay(self, enabled: bool) -> None:
        """Does nothing: pipes have no Nagle delay."""

    # incoming data

    def _receive(self, data: bytes, generation: int) -> None:
        if generation == self.generation and self.connected:
            if self._reading:
                self._hand(data)
            else:
                self._unread.append(data)

    def _hand(self, data: bytes) -> None:
        if self.connected and self.protocol is not None:
            self.protocol.dataReceived(data)

    def _disconnect(self, reason: Failure) -> None:
        if not self.connected:
            return
        self.connected = False
        self.generation += 1
        self.plumbing.endpoints[self.owner].pop(self, None)
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connectionLost(reason)

    def cut(self) -> None:
        """Breaks the connection. Data in transit to the peer is lost; data that arrived before has been delivered, even
        if it is only part of a message."""
        self.peer.generation += 1
        self.generation += 1
        self._disconnect(LOST)
        self.loop.after(self.plumbing.behaviour.delay_us, self.peer._disconnect, LOST)

    def detach(self) -> None:
        """Detaches the end from its protocol, whose process has ended: the protocol gets no more calls."""
        self.protocol = None
        self.connected = False
        self.generation += 1


class Listener:
    """A listening port, as in Twisted's ``IListeningPort``."""

    def __init__(
        self,
        plumbing: PipeNetwork,
        host_port: tuple[str, int],
        factory: Any,
        owner: object,
        on_closed: Callable[[], None],
    ) -> None:
        self.plumbing, self.host_port, self.factory, self.owner, self.on_closed = (
            plumbing,
            host_port,
            factory,
            owner,
            on_closed,
        )
        self.refusing = False

    def stopListening(self) -> None:
        if self.plumbing.listeners.get(self.host_port) is self:
            del self.plumbing.listeners[self.host_port]
            self.on_closed()


class Connector:
    """A connection attempt, as in Twisted's ``IConnector``."""

    def __init__(self, factory: Any) -> None:
        self.factory, self.pending = factory, True

    def stopConnecting(self) -> None:
        if self.pending:
            self.pending = False
            self.factory.clientConnectionFailed(self, DONE)


class PipeNetwork:
    """All listeners and connections of an emulated run."""

    def __init__(self, loop: Loop, behaviour: PipeBehaviour, uniform: Uniform) -> None:
        self.loop, self.behaviour, self.uniform = loop, behaviour, uniform
        self.listeners: dict[tuple[str, int], Listener] = {}
        self.endpoints: dict[object, dict[Endpoint, None]] = {}
        self.connection_count = 0

    def listen(
        self, host_port: tuple[str, int], factory: Any, owner: object, on_closed: Callable[[], None] = lambda: None
    ) -> Listener:
        listener = self.listeners[host_port] = Listener(self, host_port, factory, owner, on_closed)
        return listener

    def connect(self, host_port: tuple[str, int], factory: Any, owner: object) -> Connector:
        connector = Connector(factory)
        self.loop.after(2 * self.behaviour.delay_us, self._connect, host_port, connector, owner)
        return connector

    def _connect(self, host_port: tuple[str, int], connector: Connector, owner: object) -> None:
        if not connector.pending or owner not in self.endpoints:
            return
        connector.pending = False
        listener = self.listeners.get(host_port)
        if listener is None or listener.refusing:
            connector.factory.clientConnectionFailed(connector, REFUSED)
            return
        self.connection_count += 1
        client_end = Endpoint(self, None, owner)
        server_end = Endpoint(self, None, listener.owner)
        client_end.peer, server_end.peer = server_end, client_end
        self.endpoints[owner][client_end] = None
        self.endpoints[listener.owner][server_end] = None
        server_end.protocol = listener.factory.buildProtocol(None)
        client_end.protocol = connector.factory.buildProtocol(None)
        if server_end.protocol is not None:
            server_end.protocol.makeConnection(server_end)
        client_end.protocol.makeConnection(client_end)
        if server_end.protocol is None:  # accepted and closed at once
            self.loop.after(self.behaviour.delay_us, client_end._disconnect, DONE)
            server_end.detach()

    def add_owner(self, owner: object) -> None:
        self.endpoints[owner] = {}

    def remove_owner(self, owner: object) -> None:
        """Removes a process that has ended, with its sockets: its peers lose their connections, it gets no calls."""
        for end in list(self.endpoints.pop(owner, {})):
            self.loop.after(self.behaviour.delay_us, end.peer._disconnect, LOST)
            end.detach()
        for listener in [each for each in self.listeners.values() if each.owner is owner]:
            del self.listeners[listener.host_port]


class NodeReactor:
    """One node's reactor: Twisted's reactor interface on the emulator's event loop and pipes."""

    def __init__(
        self,
        plumbing: PipeNetwork,
        owner: object,
        on_datagram: Callable[[bytes], None],
        on_stopped: Callable[[], None],
        on_closed: Callable[[], None],
    ) -> None:
        self.plumbing, self.owner, self.on_datagram, self.on_stopped, self.on_closed = (
            plumbing,
            owner,
            on_datagram,
            on_stopped,
            on_closed,
        )
        plumbing.add_owner(owner)

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> DelayedCall:
        return self.plumbing.loop.callLater(delay, call, *args)

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = None) -> Connector:
        return self.plumbing.connect((host, port), factory, self.owner)

    def listenTCP(self, port: int, factory: Any, backlog: int = 50, interface: str = "") -> Listener:
        return self.plumbing.listen((interface, port), factory, self.owner, self.on_closed)

    def listenUDP(self, port: int, protocol: Any, interface: str = "") -> Datagrams:
        datagrams = Datagrams(self)
        protocol.makeConnection(datagrams)
        return datagrams

    def stop(self) -> None:
        self.on_stopped()


class Datagrams:
    def __init__(self, reactor: NodeReactor) -> None:
        self.reactor = reactor

    def write(self, datagram: bytes, address: tuple[str, int]) -> None:
        self.reactor.on_datagram(datagram)

    def stopListening(self) -> None:
        """Does nothing: no socket is open."""
