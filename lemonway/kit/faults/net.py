"""The network between node processes: a TCP proxy for each direction of each pair of nodes, which drops, delays,
stalls or blocks messages. It parses only the length before each message, so that a message is dropped or delayed as a
whole."""

from __future__ import annotations

import random
import struct
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, ServerFactory, connectionDone
from twisted.python.failure import Failure

Link = tuple[str, str]  # sender, receiver

MAX_QUEUED_BYTES = 8 << 20  # bytes queued for one connection above which the proxy stops reading


@dataclass
class Rules:
    """The faults on one link."""

    drop: float = 0.0
    delay: tuple[float, float] = (0.0, 0.0)  # seconds, uniformly distributed; the order of messages is kept
    blocked: bool = False  # messages are dropped and new connections refused
    stalled: bool = False  # messages are queued while the connection stays open
    dropped_kinds: frozenset[bytes] = frozenset()  # drops messages with one of these words in their first 24 bytes
    counts: dict[str, int] = field(default_factory=dict)

    def count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


class ReceiverSide(Protocol):
    """The proxy's connection to the receiver."""

    transport: Any

    def __init__(self, connection: SenderSide) -> None:
        self.connection = connection

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.connection.receiver_connected(self)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.connection.receiver = None
        self.connection.close()


class ReceiverConnector(ClientFactory):
    """Connects a sender's connection to the receiver."""

    noisy = False

    def __init__(self, connection: SenderSide) -> None:
        self.connection = connection

    def buildProtocol(self, addr: Any) -> ReceiverSide:
        return ReceiverSide(self.connection)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connection.close()


class SenderSide(Protocol):
    """The proxy's connection from the sender."""

    transport: Any

    def __init__(self, proxy: Proxy) -> None:
        self.proxy, self.rules = proxy, proxy.rules
        self.receiver: ReceiverSide | None = None
        self.buffer = b""
        self.queue: list[bytes] = []  # messages waiting for the receiver's connection or the end of a stall
        self.expects_greeting = True
        self.free_at = 0.0
        self.closed = False

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        self.proxy.connections[self] = None
        if self.rules.blocked or self.proxy.target is None:
            self.rules.count("refused")
            self.close()
            return
        self.proxy.net.reactor.connectTCP("127.0.0.1", self.proxy.target, ReceiverConnector(self), timeout=5)

    def receiver_connected(self, receiver: ReceiverSide) -> None:
        self.receiver = receiver
        if self.closed:
            receiver.transport.abortConnection()
        else:
            self.flush()

    def dataReceived(self, data: bytes) -> None:
        self.buffer += data
        while len(self.buffer) >= 4:
            size = 4 + struct.unpack(">I", self.buffer[:4])[0]
            if len(self.buffer) < size:
                break
            message, self.buffer = self.buffer[:size], self.buffer[size:]
            self.handle_message(message)
        if sum(map(len, self.queue)) > MAX_QUEUED_BYTES:
            self.transport.pauseProducing()

    def handle_message(self, data: bytes) -> None:
        net, rules = self.proxy.net, self.rules
        is_greeting, self.expects_greeting = self.expects_greeting, False
        if (
            rules.blocked
            or any(kind in data[:24] for kind in rules.dropped_kinds)
            or (not is_greeting and net.random.random() < rules.drop)
        ):
            rules.count("dropped")
            return
        rules.count("passed")
        delay_s = net.random.uniform(*rules.delay)
        if delay_s <= 0 and self.free_at <= net.reactor.seconds():
            self.pass_on(data)
            return
        self.free_at = max(self.free_at, net.reactor.seconds() + delay_s)
        net.reactor.callLater(max(0.0, self.free_at - net.reactor.seconds()), self.pass_on, data)

    def pass_on(self, data: bytes) -> None:
        if self.rules.stalled or self.receiver is None or self.queue:
            self.queue.append(data)
        elif not self.rules.blocked:
            self.receiver.transport.write(data)

    def flush(self) -> None:
        if self.rules.stalled or self.receiver is None or self.closed:
            return
        queue, self.queue = self.queue, []
        self.receiver.transport.write(b"".join(queue))
        self.transport.resumeProducing()

    def close(self) -> None:
        if not self.closed:
            self.closed = True
            self.proxy.connections.pop(self, None)
            if self.transport is not None:
                self.transport.abortConnection()
            if self.receiver is not None:
                self.receiver.transport.abortConnection()

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.close()


class Proxy(ServerFactory):
    """Listens for the sender of one link and forwards to the receiver."""

    noisy = False

    def __init__(self, net: FaultNet, link: Link) -> None:
        self.net, self.link, self.rules = net, link, Rules()
        self.target: int | None = None  # the receiver's port while it is up
        self.connections: dict[SenderSide, None] = {}
        self.port: Any = net.reactor.listenTCP(0, self, interface="127.0.0.1")

    def buildProtocol(self, addr: Any) -> SenderSide:
        return SenderSide(self)

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port.getHost().port}"


class FaultNet:
    """The proxies of all links. Each method takes effect immediately, also on open connections."""

    def __init__(self, reactor: Any, names: list[str], seed: int) -> None:
        self.reactor, self.names, self.random = reactor, names, random.Random(f"faults/{seed}")
        self.proxies = {(a, b): Proxy(self, (a, b)) for a in names for b in names if a != b}

    def set_target(self, name: str, port: int | None) -> None:
        """Set the port on which ``name`` listens; None while it is down."""
        for (_, to), proxy in self.proxies.items():
            if to == name:
                proxy.target = port

    def set_loss(self, drop: float, delay: tuple[float, float]) -> None:
        for proxy in self.proxies.values():
            proxy.rules.drop, proxy.rules.delay = drop, delay

    def isolate(self, side: set[str], one_way: bool = False) -> list[Link]:
        """Block all messages from ``side`` to other nodes, and the other way unless ``one_way``. Returns the links that
        this newly blocked."""
        links = [
            (a, b)
            for (a, b), proxy in self.proxies.items()
            if not proxy.rules.blocked
            and ((a in side and b not in side) or (not one_way and b in side and a not in side))
        ]
        for link in links:
            self.proxies[link].rules.blocked = True
        return links

    def heal(self, links: list[Link]) -> None:
        for link in links:
            self.proxies[link].rules.blocked = False

    def drop_kinds(self, senders: set[str], kinds: set[bytes]) -> None:
        """Drop messages of these kinds (the words that name them in the messages) from these senders from now on."""
        for (a, _), proxy in self.proxies.items():
            if a in senders:
                proxy.rules.dropped_kinds = frozenset(kinds)

    def stall(self, link: Link, on: bool) -> None:
        proxy = self.proxies[link]
        proxy.rules.stalled = on
        if not on:
            for connection in list(proxy.connections):
                connection.flush()

    def disconnect(self, link: Link) -> None:
        """Close the connections of a link; the sender may reconnect at once."""
        for connection in list(self.proxies[link].connections):
            connection.close()

    def clear_faults(self) -> None:
        """Remove all faults."""
        for link, proxy in self.proxies.items():
            proxy.rules.drop, proxy.rules.delay, proxy.rules.blocked = 0.0, (0.0, 0.0), False
            proxy.rules.dropped_kinds = frozenset()
            self.stall(link, False)

    def close(self) -> None:
        for proxy in self.proxies.values():
            proxy.port.stopListening()
            for connection in list(proxy.connections):
                connection.close()
