"""The link to the worker pool. Commands go to the pool and notices come back: lines of words separated by spaces, some
followed by a block of bytes."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from ...interface import Outcome
from ..ports import PoolEvents
from ..transport.clock import EventLoop
from ..transport.connection import Connection

MAX_BLOCK_BYTES = 16 * 1024  # results are at most 4 KiB, calls smaller
INBOUND_BUFFER_BYTES = 64 * 1024
RECONNECT_DELAY_US = 20_000  # between attempts to connect

RUN_OUTCOMES = {b"good": Outcome.OK, b"bad": Outcome.ERROR, b"cut": Outcome.CANCELLED, b"gone": Outcome.MOOT}
_INTEGER = re.compile(rb"[0-9]{1,15}\Z")
_DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,12})?\Z")


class PoolError(Exception):
    """A line that is not a valid notice."""


@dataclass(slots=True)
class Notice:
    """A parsed line from the pool."""

    kind: bytes
    sequence: int = 0  # 0 = the notice is not numbered
    name: str = ""  # transaction id, token or command
    detail: bytes = b""  # how a run ended, the pool's state, or the transaction id of an unknown command
    time_ms: float = 0.0  # duration of the run, or age of the pool
    block_size: int = -1  # size of the block that follows; -1 = none
    gauges: tuple[float, ...] = ()


def _parse_integer(word: bytes) -> int:
    if not _INTEGER.match(word):
        raise PoolError(f"{word[:20]!r} is not a whole number")
    return int(word)


def _parse_decimal(word: bytes) -> float:
    if not _DECIMAL.match(word):
        raise PoolError(f"{word[:20]!r} is not a decimal number")
    return float(word)


def parse_notice(line: bytes) -> Notice:
    words = line.split(b" ")
    kind, count = words[0], len(words)
    try:
        if kind == b"finished" and count == 6 and words[3] in RUN_OUTCOMES:
            size = _parse_integer(words[5])
            return Notice(kind, _parse_integer(words[1]), words[2].decode(), words[3], _parse_decimal(words[4]), size)
        if kind == b"blocked" and count == 4:
            return Notice(kind, _parse_integer(words[1]), words[2].decode(), block_size=_parse_integer(words[3]))
        if kind == b"polled" and count >= 2:
            return Notice(kind, name=words[1].decode(), gauges=tuple(map(_parse_decimal, words[2:])))
        if kind == b"bound" and count == 3 and words[1] in (b"new", b"old"):
            return Notice(kind, detail=words[1], time_ms=_parse_decimal(words[2]))
        if kind == b"verified" and count == 3:
            return Notice(kind, name=words[1].decode(), detail=words[2])
        if kind == b"unknown" and count >= 2:
            return Notice(kind, name=words[1].decode(), detail=words[2] if count > 2 else b"")
        if kind == b"chatter" and count >= 2:
            return Notice(kind, _parse_integer(words[1]))
    except UnicodeDecodeError:
        pass
    raise PoolError(f"invalid notice: {line[:60]!r}")


class PoolConnection(Connection):
    """One TCP connection of the link. Notices already read on an earlier connection are skipped by sequence number."""

    def __init__(self, event_loop: EventLoop, link: PoolLink, address: tuple[str, int]) -> None:
        super().__init__(event_loop, INBOUND_BUFFER_BYTES, link.outbound_bytes)
        self.link, self.address = link, address
        self.notice: Notice | None = None
        self.bound = False

    def reject_input(self) -> None:
        """The input can't be parsed any further: reconnect, and have the pool resend from the last valid notice."""
        self.link.events.counters["bad_notices"] += 1
        self.abort()

    def on_connected(self) -> None:
        self.send(b"bind %d\r\n" % self.link.last_sequence)

    def lineReceived(self, line: bytes) -> None:
        try:
            notice = parse_notice(line)
            if notice.block_size > MAX_BLOCK_BYTES:
                raise PoolError(f"block of {notice.block_size} bytes is too long")
        except PoolError:
            self.reject_input()
            return
        if notice.block_size >= 0:
            self.notice = notice
            self.expect(notice.block_size + 2)
        else:
            self.link.handle_notice(self, notice, b"")

    def blockReceived(self, block: bytes) -> None:
        notice, self.notice = self.notice, None
        if notice is None or block[-2:] != b"\r\n":
            self.reject_input()
            return
        self.link.handle_notice(self, notice, block[:-2])

    def on_disconnected(self) -> None:
        self.link.connection_lost(self)


class PoolLink(ClientFactory):
    """Keeps a connection to the pool open, and passes each notice to the core once."""

    noisy = False

    def __init__(self, event_loop: EventLoop, events: PoolEvents, host: str, port: int, outbound_bytes: int) -> None:
        """``outbound_bytes``: limit for the commands that wait for a stalled pool; beyond it the link reconnects."""
        self.event_loop, self.events, self.host, self.port, self.outbound_bytes = (
            event_loop,
            events,
            host,
            port,
            outbound_bytes,
        )
        self.last_sequence = 0  # sequence number of the last notice read
        self.current: PoolConnection | None = None
        self.bound_before = self.stopped = False
        self.connector: Any = None  # Twisted connector of the attempt in progress

    def start(self) -> None:
        """Connects, unless an attempt is in progress or the current connection is to the configured address."""
        already_connected = self.current is not None and self.current.address == (self.host, self.port)
        if not (self.stopped or already_connected) and self.connector is None:
            self.connector = self.event_loop.reactor.connectTCP(self.host, self.port, self, timeout=None)

    def stop(self) -> None:
        self.stopped = True
        if self.connector is not None:
            self.connector.stopConnecting()
        if self.current is not None:
            self.current.abort()

    def readdress(self, host: str, port: int) -> None:
        """Moves to another address of the same pool. The current connection is used until the new one is established,
        so there is no gap."""
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        if self.connector is not None:
            self.connector.stopConnecting()  # its failure schedules the next attempt
        elif self.current is not None:
            self.start()

    def buildProtocol(self, addr: Any) -> PoolConnection:
        self.connector = None
        # A change of address cancels the attempt in progress, so this connection is to the configured address.
        previous, self.current = self.current, PoolConnection(self.event_loop, self, (self.host, self.port))
        if previous is not None:
            if previous.bound:
                self.events.link_lost()
            previous.close()  # an orderly close: commands already written may still arrive
        return self.current

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.event_loop.begin_iteration()
        self.connector = None
        self.event_loop.call_after(RECONNECT_DELAY_US, self.start)

    def clientConnectionLost(self, connector: Any, reason: Failure = connectionDone) -> None:
        """Nothing to do: the connection reports its loss itself, to ``connection_lost``."""

    def connection_lost(self, connection: PoolConnection) -> None:
        if connection is self.current:
            self.current = None
            if connection.bound:
                self.events.link_lost()
            self.event_loop.call_after(RECONNECT_DELAY_US, self.start)

    def handle_notice(self, connection: PoolConnection, notice: Notice, body: bytes) -> None:
        if connection is not self.current:
            return
        if notice.sequence:
            if notice.sequence <= self.last_sequence:  # already read on an earlier connection
                return
            self.last_sequence = notice.sequence
        kind, events = notice.kind, self.events
        if kind == b"finished":
            events.finished(notice.name, RUN_OUTCOMES[notice.detail], notice.time_ms, body)
        elif kind == b"blocked":
            events.blocked(notice.name, body)
        elif kind == b"polled":
            if notice.name == "resync":
                events.link_restored()
            else:
                events.polled(notice.name, notice.gauges)
        elif kind == b"bound":
            connection.bound = True
            events.bound(notice.detail == b"new", int(notice.time_ms * 1000))
            if self.bound_before:
                # The pool sends the notices from the time without a connection before its ``polled resync``, which
                # therefore shows that all of them have been read.
                connection.send(b"poll resync\r\n")
            self.bound_before = True
        elif kind == b"verified":
            events.verified(notice.name, notice.detail == b"good")
        elif kind == b"unknown":
            events.command_unknown(notice.name, notice.detail.decode("ascii", "replace"))

    # commands of the core; those lost while no connection is bound are resent by ``PoolEvents.link_restored``

    def _send(self, line: bytes) -> bool:
        if self.current is None or not self.current.bound or self.current.output_closed:
            return False
        self.current.send(line)
        return True

    def spawn(self, txn: str, handler: str, body: bytes) -> bool:
        return self._send(b"spawn %b %b %d\r\n%b\r\n" % (txn.encode(), handler.encode(), len(body), body))

    def suspend(self, txn: str) -> None:
        self._send(b"suspend %b\r\n" % txn.encode())

    def supply(self, txn: str, body: bytes) -> bool:
        return self._send(b"supply %b %d\r\n%b\r\n" % (txn.encode(), len(body), body))

    def poll(self, token: str) -> None:
        self._send(b"poll %b\r\n" % token.encode())

    def verify(self, token: str) -> None:
        self._send(b"verify %b\r\n" % token.encode())
