"""Links between replicating image nodes: MessagePack messages (msgspec) with a length prefix of 4 bytes.

A node connects to each of its peers and only sends on those connections; on the ones it accepted it only receives. So
each direction between two nodes is one connection with one bounded queue. A peer whose queue fills up is disconnected:
it takes no more memory than that, and catches up by anti-entropy after the link is restored. The first message on a
link names the protocol version, the sender, its incarnation, the group size, and the epoch and a hash of its list of
peers. The link is closed if the sender is not on this node's list, if the version or the group size differs, or if the
lists of one epoch differ."""

from __future__ import annotations

import logging
import random
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.python.failure import Failure
from xxhash import xxh3_64_intdigest

from ...epochs.messages import Message as EpochMessage
from ...replication.messages import VERSION, Hello, Message, encode
from ..transport.clock import EventLoop
from ..transport.connection import Connection
from .framing import FramedConnection, enable_dead_peer_detection, frame

log = logging.getLogger(__name__)

MAX_MESSAGE_BYTES = 256 * 1024
MAX_HELLO_BYTES = 4 * 1024  # of the first message on a link, whose sender is not known yet
HELLO_TIMEOUT_US = 2_000_000  # from the connect to the first message; a peer sends it at once
MIN_RECONNECT_DELAY_S, MAX_RECONNECT_DELAY_S = 0.05, 1.0  # exponential backoff, doubling

Receive = Callable[[str, int, Any, int], None]  # sender, its incarnation, message, its epoch of the list of peers

_decoder: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(Message | EpochMessage)
decode = _decoder.decode


def peers_hash(names: list[str]) -> int:
    return xxh3_64_intdigest("\x00".join(sorted(names)).encode())


class AcceptedConnection(FramedConnection):
    """A connection opened by a peer; this end only receives."""

    def __init__(self, mesh: Mesh) -> None:
        super().__init__(mesh.event_loop, MAX_MESSAGE_BYTES, 1024)
        self.max_message_bytes = MAX_HELLO_BYTES
        self.mesh = mesh
        self.peer, self.incarnation, self.epoch = "", 0, 0

    def on_connected(self) -> None:
        self.mesh.accepted[self] = None
        self.event_loop.call_after(HELLO_TIMEOUT_US, self.check_hello)
        super().on_connected()

    def check_hello(self) -> None:
        """Reset a connection that has not said whose it is: it would take a peer's place, and memory."""
        if not (self.peer or self.closing or self.lost):
            self.mesh.count("silent")
            self.abort()

    def on_disconnected(self) -> None:
        self.mesh.accepted.pop(self, None)

    def message_received(self, block: bytes) -> None:
        try:
            message = decode(block)
        except msgspec.DecodeError:
            self.frame_rejected()
            return
        if isinstance(message, Hello):
            self._handle_hello(message)
        elif self.peer:
            self.mesh.receive(self.peer, self.incarnation, message, self.epoch)
        else:
            self.frame_rejected()

    def _handle_hello(self, hello: Hello) -> None:
        mesh = self.mesh
        if (
            (hello.version, hello.group_size) != (VERSION, mesh.hello.group_size)
            or hello.name not in mesh.addresses
            or (hello.epoch == mesh.hello.epoch and hello.peers_hash != mesh.hello.peers_hash)
        ):
            mesh.count("strangers")
            # Logged once a name, and for at most 64 names.
            if hello.name not in mesh.rejected_peers and len(mesh.rejected_peers) < 64:
                mesh.rejected_peers.add(hello.name)
                log.warning(
                    "%s: rejected a connection from %s: its protocol version, group size or list of peers "
                    "differs from this node's; use the same file on all nodes",
                    mesh.label,
                    hello.name[:64],
                )
            self.close()
            return
        self.peer, self.incarnation, self.epoch = hello.name, hello.incarnation, hello.epoch
        self.max_message_bytes = MAX_MESSAGE_BYTES

    def frame_rejected(self) -> None:
        self.mesh.count("spoilt")
        self.close()


class DialledConnection(Connection):
    """A connection opened by this node; the peer only receives."""

    def __init__(self, link: Link) -> None:
        super().__init__(link.mesh.event_loop, 1024, link.mesh.queue_bytes)
        self.link = link

    def on_connected(self) -> None:
        enable_dead_peer_detection(self.transport)
        self.link.connected(self)

    def dataReceived(self, data: bytes) -> None:
        self.abort()  # the peer must not send on this connection

    def lineReceived(self, line: bytes) -> None:
        self.abort()

    def blockReceived(self, block: bytes) -> None:
        self.abort()

    def on_disconnected(self) -> None:
        self.link.disconnected()


class Link(ClientFactory):
    """The connection to one peer, opened again with backoff after each loss."""

    noisy = False

    def __init__(self, mesh: Mesh, name: str, host: str, port: int) -> None:
        self.mesh, self.name, self.host, self.port = mesh, name, host, port
        self.connection: DialledConnection | None = None
        self.reconnect_delay_s = MIN_RECONNECT_DELAY_S
        self.stopped = False
        self._timer: Any = None

    def dial(self) -> None:
        self._timer = None
        if not self.stopped:
            self.mesh.reactor.connectTCP(self.host, self.port, self, timeout=2)

    def buildProtocol(self, addr: Any) -> DialledConnection:
        return DialledConnection(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self._schedule_reconnect()

    def connected(self, connection: DialledConnection) -> None:
        if self.stopped:
            connection.abort()
            return
        self.connection, self.reconnect_delay_s = connection, MIN_RECONNECT_DELAY_S
        self.mesh.write(connection, self.mesh.encoded_hello)

    def disconnected(self) -> None:
        self.connection = None
        self.mesh.count("links_lost")
        self._schedule_reconnect()

    def _schedule_reconnect(self) -> None:
        if self.stopped or self._timer is not None:
            return
        self._timer = self.mesh.reactor.callLater(self.reconnect_delay_s * (0.5 + random.random()), self.dial)
        self.reconnect_delay_s = min(MAX_RECONNECT_DELAY_S, 2 * self.reconnect_delay_s)

    def stop(self) -> None:
        self.stopped = True
        if self._timer is not None:
            self._timer.cancel()
        if self.connection is not None:
            self.connection.abort()


class Mesh(ServerFactory):
    """All links of one node. ``addresses``: the listening address of each peer, by name. ``queue_bytes``: the bound of
    the write queue to one peer. ``receive`` is called with each message; see ``Receive``."""

    noisy = False

    def __init__(
        self,
        reactor: Any,
        event_loop: EventLoop,
        name: str,
        incarnation: int,
        size: int,
        addresses: dict[str, tuple[str, int]],
        queue_bytes: int,
        counters: Counter[str],
        epoch: int = 0,
        label: str = "replication",
        prefix: str = "repl",
    ) -> None:
        """``label``: the subsystem's name in the log; ``prefix``: of the counters."""
        self.label, self.prefix = label, prefix
        self.reactor, self.event_loop, self.counters, self.queue_bytes = reactor, event_loop, counters, queue_bytes
        self.addresses = addresses
        self.hello = Hello(VERSION, name, incarnation, size, peers_hash(list(addresses)), epoch)
        self.encoded_hello = encode(self.hello)
        self.links = {peer: Link(self, peer, *address) for peer, address in addresses.items() if peer != name}
        self.accepted: dict[AcceptedConnection, None] = {}
        self.rejected_peers: set[str] = set()
        self.receive: Receive = lambda peer, incarnation, message, epoch: None

    def count(self, what: str) -> None:
        """Increment the counter ``what`` under this mesh's prefix."""
        self.counters[f"{self.prefix}_{what}"] += 1

    def start(self) -> None:
        for link in self.links.values():
            link.dial()

    def update_peers(self, addresses: dict[str, tuple[str, int]], epoch: int) -> None:
        """Apply a new list of peers: connect to new peers and to new addresses of known ones, and send the new epoch on
        each link before any other message. Links to removed peers stay until ``retain_only``."""
        old = self.hello
        self.hello = Hello(VERSION, old.name, old.incarnation, old.group_size, peers_hash(list(addresses)), epoch)
        self.encoded_hello = encode(self.hello)
        for peer, address in addresses.items():
            if peer != old.name and self.addresses.get(peer) != address:
                if peer in self.links:
                    self.links[peer].stop()
                self.links[peer] = Link(self, peer, *address)
                self.links[peer].dial()
        self.addresses = self.addresses | addresses
        for link in self.links.values():
            if link.connection is not None and not link.connection.closing:
                self.write(link.connection, self.encoded_hello)

    def retain_only(self, peers: set[str]) -> None:
        """The change of the list is complete: close the links to all but ``peers``."""
        for name in [name for name in self.links if name not in peers]:
            self.links.pop(name).stop()
        self.addresses = {name: address for name, address in self.addresses.items() if name in peers}

    def stop(self) -> None:
        for link in self.links.values():
            link.stop()
        for connection in list(self.accepted):
            connection.abort()

    def buildProtocol(self, addr: Any) -> AcceptedConnection | None:
        if len(self.accepted) >= 2 * len(self.addresses) + 8:  # two for each peer: one may be stale while it reconnects
            self.count("connections_over")
            return None
        return AcceptedConnection(self)

    def send(self, peer: str, message: Message | EpochMessage) -> None:
        link = self.links.get(peer)
        connection = None if link is None else link.connection
        if connection is None or connection.closing:
            self.count("unsent")  # it is retransmitted later, or anti-entropy repairs the difference
            return
        self.write(connection, encode(message))

    def write(self, connection: DialledConnection, data: bytes) -> None:
        if len(data) > MAX_MESSAGE_BYTES:
            self.count("too_large")
            return
        framed = frame(data)
        if connection.outbound.room < len(framed):
            self.count("cut")
            log.info(
                "%s: peer %s reads too slowly; closing the link with %d bytes queued",
                self.label,
                connection.link.name,
                len(connection.outbound),
            )
            connection.abort()
            return
        connection.send(framed)
