"""Links of the control plane: a subscriber connects to a publisher, and both send MessagePack messages on the one
connection.

A message that cannot be decoded, is too long, or is of a type that only the other side may send is counted and closes
its own link only. The write queue of a link is bounded: a reader too slow for it is disconnected and reconnects by
itself. A link is small (two ring buffers of a kilobyte that grow on demand), so that one process can hold thousands.

Events are reported to the owner of a link through ``PublisherEvents`` or ``SubscriberEvents``, in the event-loop
iteration in which they happen."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Mapping
from typing import Any, Protocol

import msgspec
from twisted.internet.protocol import ClientFactory, ServerFactory
from twisted.python.failure import Failure

from ...control.messages import FromPublisher, FromSubscriber
from ..transport.clock import EventLoop
from .framing import FramedConnection, enable_dead_peer_detection, frame

log = logging.getLogger(__name__)

MAX_SUBSCRIBER_MESSAGE_BYTES = 16 * 1024  # of one message from a subscriber; reports are the longest
MAX_PUBLISHER_MESSAGE_BYTES = 256 * 1024  # of one message from a publisher; versions and snapshot pieces are long
MAX_SUBSCRIBER_QUEUE_BYTES = 64 * 1024  # queued to be written to one publisher
MAX_PUBLISHER_QUEUE_BYTES = 8 << 20  # queued to be written to one subscriber
MAX_LINKS = 4_096  # open at once on one publisher
CONNECT_TIMEOUT_S = 10.0  # a safeguard: the subscriber cancels an attempt earlier, after ``connect_timeout_us``

Address = tuple[str, int]

_encoder = msgspec.msgpack.Encoder()
_from_subscriber: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(FromSubscriber)
_from_publisher: msgspec.msgpack.Decoder[Any] = msgspec.msgpack.Decoder(FromPublisher)


class PublisherEvents(Protocol):
    """Receives the events of a publisher's links. A link is identified by a number that is never reused."""

    def link_accepted(self, link: int) -> None: ...

    def link_lost(self, link: int) -> None: ...

    def link_received(self, link: int, message: FromSubscriber) -> None: ...


class SubscriberEvents(Protocol):
    """Receives the events of a subscriber's single link."""

    def link_connected(self) -> None: ...

    def link_disconnected(self) -> None: ...

    def on_publisher_message(self, message: FromPublisher) -> None: ...


class SubscriberLink(FramedConnection):
    """The publisher's end of a link."""

    def __init__(self, server: WatchServer, number: int) -> None:
        super().__init__(server.event_loop, MAX_SUBSCRIBER_MESSAGE_BYTES, server.queue_bytes)
        self.server, self.number = server, number

    def on_connected(self) -> None:
        super().on_connected()
        enable_dead_peer_detection(self.transport)
        self.server.links[self.number] = self
        self.server.events.link_accepted(self.number)

    def on_disconnected(self) -> None:
        self.server.connections -= 1
        self._report_lost()

    def _report_lost(self) -> None:
        if self.server.links.pop(self.number, None) is not None:
            self.server.events.link_lost(self.number)

    def message_received(self, message: bytes) -> None:
        try:
            decoded = _from_subscriber.decode(message)
        except msgspec.DecodeError:
            self.frame_rejected()
            return
        if self.number in self.server.links:
            self.server.events.link_received(self.number, decoded)

    def frame_rejected(self) -> None:
        self.server.counters["control_messages_rejected"] += 1
        self._report_lost()
        self.close()


class WatchServer(ServerFactory):
    """Factory of all links of one publisher. ``events`` has to be set before it listens."""

    noisy = False
    events: PublisherEvents

    def __init__(
        self,
        event_loop: EventLoop,
        counters: Counter[str],
        queue_bytes: int = MAX_PUBLISHER_QUEUE_BYTES,
        max_links: int = MAX_LINKS,
    ) -> None:
        self.event_loop, self.counters = event_loop, counters
        self.queue_bytes, self.max_links = queue_bytes, max_links
        self.links: dict[int, SubscriberLink] = {}  # those that are reported to the publisher as open
        self.connections = 0  # open connections, those being closed included
        self._last_number = 0
        self._encoded: tuple[FromPublisher | None, bytes] = (None, b"")

    def buildProtocol(self, addr: Any) -> SubscriberLink | None:
        if self.connections >= self.max_links:
            self.counters["control_links_over"] += 1
            return None
        self.connections += 1
        self._last_number += 1
        return SubscriberLink(self, self._last_number)

    def send(self, link: int, message: FromPublisher) -> None:
        """Queue a message; the link is reset if the subscriber reads too slowly. One that is sent on many links in
        succession is encoded once."""
        connection = self.links.get(link)
        if connection is None or connection.closing:
            return
        if self._encoded[0] is not message:
            self._encoded = (message, frame(_encoder.encode(message)))
        framed = self._encoded[1]
        if connection.outbound.room < len(framed):
            self.counters["control_links_cut"] += 1
            log.info(
                "control: subscriber on link %d reads too slowly; closing the link with %d bytes queued",
                link,
                len(connection.outbound),
            )
            connection.abort()
            return
        connection.send(framed)

    def drop(self, link: int) -> None:
        """Close a link after the queued messages are written; ``link_lost`` is not reported."""
        connection = self.links.pop(link, None)
        if connection is not None:
            connection.close()

    def queued_bytes(self, link: int) -> int:
        """Bytes queued to be written on ``link``."""
        connection = self.links.get(link)
        return 0 if connection is None else len(connection.outbound)

    def stop(self) -> None:
        """Reset all links; their loss is not reported."""
        links, self.links = self.links, {}
        for connection in links.values():
            connection.abort()


class PublisherLink(FramedConnection):
    """The subscriber's end of a link."""

    def __init__(self, attempt: _Attempt) -> None:
        super().__init__(attempt.client.event_loop, MAX_PUBLISHER_MESSAGE_BYTES, MAX_SUBSCRIBER_QUEUE_BYTES)
        self.attempt = attempt

    def on_connected(self) -> None:
        super().on_connected()
        enable_dead_peer_detection(self.transport)
        self.attempt.opened(self)

    def on_disconnected(self) -> None:
        self.attempt.disconnected()

    def message_received(self, message: bytes) -> None:
        try:
            decoded = _from_publisher.decode(message)
        except msgspec.DecodeError:
            self.frame_rejected()
            return
        if self.attempt.current:
            self.attempt.client.events.on_publisher_message(decoded)

    def frame_rejected(self) -> None:
        self.attempt.client.counters["control_messages_rejected"] += 1
        self.abort()


class _Attempt(ClientFactory):
    """One attempt to connect to one publisher, and the resulting connection."""

    noisy = False

    def __init__(self, client: WatchClient) -> None:
        self.client = client
        self.link: PublisherLink | None = None
        self.connector: Any = None

    @property
    def current(self) -> bool:
        return self.client.attempt is self

    def buildProtocol(self, addr: Any) -> PublisherLink:
        return PublisherLink(self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.client.event_loop.begin_iteration()
        self.disconnected()

    def opened(self, link: PublisherLink) -> None:
        if not self.current:
            link.abort()
            return
        self.link = link
        self.client.events.link_connected()

    def disconnected(self) -> None:
        if self.current:
            self.client.attempt = None
            self.client.events.link_disconnected()

    def cancel(self) -> None:
        if self.link is not None:
            self.link.close()
        elif self.connector is not None:
            self.connector.disconnect()


class WatchClient:
    """The single link of a subscriber. ``events`` has to be set before the first ``dial``."""

    events: SubscriberEvents

    def __init__(
        self, reactor: Any, event_loop: EventLoop, addresses: Mapping[str, Address], counters: Counter[str]
    ) -> None:
        """``addresses``: the listening address of each publisher, by name."""
        self.reactor, self.event_loop, self.addresses, self.counters = reactor, event_loop, addresses, counters
        self.attempt: _Attempt | None = None

    def dial(self, publisher: str) -> None:
        """Connect; ``link_connected`` or ``link_disconnected`` is reported later."""
        self.disconnect()
        attempt = self.attempt = _Attempt(self)
        address = self.addresses.get(publisher)
        if address is None:  # the list of publishers was replaced in the meantime
            self.event_loop.call_after(0, attempt.disconnected)
            return
        attempt.connector = self.reactor.connectTCP(*address, attempt, timeout=CONNECT_TIMEOUT_S)

    def disconnect(self) -> None:
        """Close the link or cancel the connection attempt; ``link_disconnected`` is not reported."""
        attempt, self.attempt = self.attempt, None
        if attempt is not None:
            attempt.cancel()

    def send(self, message: FromSubscriber) -> None:
        """Queue a message to the publisher; the link is reset if the publisher reads too slowly."""
        link = None if self.attempt is None else self.attempt.link
        if link is None or link.closing:
            return
        framed = frame(_encoder.encode(message))
        if link.outbound.room < len(framed):
            self.counters["control_links_cut"] += 1
            link.abort()
            return
        link.send(framed)
