"""The link to the worker pool: lines of words, some followed by a block."""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from ...interface import Outcome
from ..ports import PoolEvents
from ..transport.clock import Turns
from ..transport.connection import Connection

BLOCK_MOST = 16 * 1024  # results are at most 4 KiB, calls a fraction of that
INBOUND = 64 * 1024
RETRY = 20_000  # between tries to link

ENDS = {b"good": Outcome.OK, b"bad": Outcome.ERROR, b"cut": Outcome.CANCELLED, b"gone": Outcome.MOOT}
_WHOLE = re.compile(rb"[0-9]{1,15}\Z")
_DECIMAL = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,12})?\Z")


class PoolError(Exception):
    """A line that is no notice."""


@dataclass(slots=True)
class Notice:
    kind: bytes
    serial: int = 0  # its number, where it has one
    name: str = ""  # id, token or command
    word: bytes = b""  # END, STATE, or the id of an unknown command
    ms: float = 0.0
    length: int = -1  # of the block that follows; -1 = none follows
    values: tuple[float, ...] = ()


def _whole(word: bytes) -> int:
    if not _WHOLE.match(word):
        raise PoolError(f"{word[:20]!r} is no whole number")
    return int(word)


def _number(word: bytes) -> float:
    if not _DECIMAL.match(word):
        raise PoolError(f"{word[:20]!r} is no number")
    return float(word)


def parse_notice(line: bytes) -> Notice:
    words = line.split(b" ")
    kind, count = words[0], len(words)
    try:
        if kind == b"finished" and count == 6 and words[3] in ENDS:
            size = _whole(words[5])
            return Notice(kind, _whole(words[1]), words[2].decode(), words[3], _number(words[4]), size)
        if kind == b"blocked" and count == 4:
            return Notice(kind, _whole(words[1]), words[2].decode(), length=_whole(words[3]))
        if kind == b"polled" and count >= 2:
            return Notice(kind, name=words[1].decode(), values=tuple(map(_number, words[2:])))
        if kind == b"bound" and count == 3 and words[1] in (b"new", b"old"):
            return Notice(kind, word=words[1], ms=_number(words[2]))
        if kind == b"verified" and count == 3:
            return Notice(kind, name=words[1].decode(), word=words[2])
        if kind == b"unknown" and count >= 2:
            return Notice(kind, name=words[1].decode(), word=words[2] if count > 2 else b"")
        if kind == b"chatter" and count >= 2:
            return Notice(kind, _whole(words[1]))
    except UnicodeDecodeError:
        pass
    raise PoolError(f"no notice: {line[:60]!r}")


class PoolConnection(Connection):
    """One life of the link. Notices that were read on an earlier life are passed over by their number."""

    def __init__(self, turns: Turns, link: PoolLink, address: tuple[str, int]) -> None:
        super().__init__(turns, INBOUND, link.most)
        self.link, self.address = link, address
        self.notice: Notice | None = None
        self.bound = False

    def refuse_more(self) -> None:
        """Its framing can't be trusted any more: bind again and have it repeated."""
        self.link.events.counters["bad_notices"] += 1
        self.abort()

    def opened(self) -> None:
        self.send(b"bind %d\r\n" % self.link.read)

    def lineReceived(self, line: bytes) -> None:
        try:
            notice = parse_notice(line)
            if notice.length > BLOCK_MOST:
                raise PoolError(f"block of {notice.length} bytes")
        except PoolError:
            self.refuse_more()
            return
        if notice.length >= 0:
            self.notice = notice
            self.expect(notice.length + 2)
        else:
            self.link.heard(self, notice, b"")

    def blockReceived(self, block: bytes) -> None:
        notice, self.notice = self.notice, None
        if notice is None or block[-2:] != b"\r\n":
            self.refuse_more()
            return
        self.link.heard(self, notice, block[:-2])

    def ended(self) -> None:
        self.link.down(self)


class PoolLink(ClientFactory):
    """Keeps a link open, and says each notice to the core once."""

    noisy = False

    def __init__(self, turns: Turns, events: PoolEvents, host: str, port: int, most: int) -> None:
        """``most`` bytes of commands wait for a pool that stands still; past them the link is made anew."""
        self.turns, self.events, self.host, self.port, self.most = turns, events, host, port, most
        self.read = 0  # the number of the last notice read
        self.current: PoolConnection | None = None
        self.ever = self.stopped = False
        self.connector: Any = None  # of the connection being made

    def start(self) -> None:
        """Dial, unless a dial is out or the link in use goes to the address in force."""
        in_place = self.current is not None and self.current.address == (self.host, self.port)
        if not (self.stopped or in_place) and self.connector is None:
            self.connector = self.turns.reactor.connectTCP(self.host, self.port, self, timeout=None)

    def stop(self) -> None:
        self.stopped = True
        if self.connector is not None:
            self.connector.stopConnecting()
        if self.current is not None:
            self.current.abort()

    def readdress(self, host: str, port: int) -> None:
        """Link to another address. The link in use carries on until the new one is up: the pool behind both is the
        same, so no time goes by without one."""
        if (host, port) == (self.host, self.port):
            return
        self.host, self.port = host, port
        if self.connector is not None:
            self.connector.stopConnecting()  # its failure brings on the next try
        elif self.current is not None:
            self.start()

    def buildProtocol(self, addr: Any) -> PoolConnection:
        self.connector = None
        # A dial is stopped as the address changes, so what comes up goes to the one in force.
        old, self.current = self.current, PoolConnection(self.turns, self, (self.host, self.port))
        if old is not None:
            if old.bound:
                self.events.link_lost()
            old.close()  # what was written on it may still arrive
        return self.current

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.turns.begin()
        self.connector = None
        self.turns.after(RETRY, self.start)

    def clientConnectionLost(self, connector: Any, reason: Failure = connectionDone) -> None:
        """The connection itself says so, in ``down``."""

    def down(self, connection: PoolConnection) -> None:
        if connection is self.current:
            self.current = None
            if connection.bound:
                self.events.link_lost()
            self.turns.after(RETRY, self.start)

    def heard(self, connection: PoolConnection, notice: Notice, body: bytes) -> None:
        if connection is not self.current:
            return
        if notice.serial:
            if notice.serial <= self.read:  # told on an earlier link already
                return
            self.read = notice.serial
        kind, events = notice.kind, self.events
        if kind == b"finished":
            events.finished(notice.name, ENDS[notice.word], notice.ms, body)
        elif kind == b"blocked":
            events.blocked(notice.name, body)
        elif kind == b"polled":
            if notice.name == "resync":
                events.relinked()
            else:
                events.polled(notice.name, notice.values)
        elif kind == b"bound":
            connection.bound = True
            events.bound(notice.word == b"new", int(notice.ms * 1000))
            if self.ever:
                # The notices of the time without a link come before the answer to this.
                connection.send(b"poll resync\r\n")
            self.ever = True
        elif kind == b"verified":
            events.verified(notice.name, notice.word == b"good")
        elif kind == b"unknown":
            events.unknown(notice.name, notice.word.decode("ascii", "replace"))

    # the core's commands; those sent while no link is bound are said again by ``relinked``

    def _send(self, line: bytes) -> bool:
        if self.current is None or not self.current.bound or self.current.mute:
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
