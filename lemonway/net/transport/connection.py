"""The base of every stream connection: a LineReceiver between two rings."""

from __future__ import annotations

from typing import Any

from twisted.internet import interfaces
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from .clock import Turns
from .ring import RingBuffer

READ_MOST = 16 * 1024  # bytes taken from one connection a turn, so that no connection starves another


@implementer(interfaces.IPushProducer)
class _Outlet:
    """Told by the transport when its own buffer is full: the outbound ring then keeps what is written."""

    def __init__(self, owner: Connection) -> None:
        self.owner = owner

    def pauseProducing(self) -> None:
        self.owner.choked = True

    def resumeProducing(self) -> None:
        self.owner.choked = False
        self.owner.turns.wrote(self.owner)

    def stopProducing(self) -> None:
        self.owner.choked = True


class Connection(LineReceiver):
    """Reads lines and blocks of a known length out of its inbound ring; writes go to the outbound ring and leave
    once a turn. LineReceiver's own buffer stays empty: its ``dataReceived`` is replaced, its callbacks
    (``lineReceived``, ``lineLengthExceeded``, line and raw mode, pausing) are kept."""

    delimiter = b"\r\n"
    MAX_LENGTH = 1024
    transport: Any  # Twisted says so with interfaces that only its own plugin for mypy can read

    def __init__(self, turns: Turns, inbound: int, outbound: int) -> None:
        self.turns = turns
        self.inbound, self.outbound = RingBuffer(inbound), RingBuffer(outbound)
        self.choked = self.closing = self.lost = self._pumping = False
        self.closing_since = 0
        self._wanted = self._unwanted = 0

    # reading

    def connectionMade(self) -> None:
        self.turns.begin()
        self.transport.bufferSize = READ_MOST
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(_Outlet(self), True)
        self.opened()

    def dataReceived(self, data: bytes) -> None:
        self.turns.begin()
        if self.closing:
            return
        if not self.inbound.write(data):  # guards against a peer that outruns every bound
            self.refuse_more()
            return
        self.pump()
        self.inbound.trim()

    @property
    def partway(self) -> bool:
        """Whether part of a message has come, or a message that is being read past."""
        return bool(len(self.inbound) or self._unwanted) or not self.line_mode

    def expect(self, count: int) -> None:
        """The next ``count`` bytes come to ``blockReceived``; lines are read again after them."""
        self._wanted = count
        self.line_mode = False

    def discard(self, count: int) -> None:
        """Drop the next ``count`` bytes unread."""
        self._unwanted = count

    def pump(self) -> None:
        """Hand on every whole line and block in the ring, as long as reading is not paused."""
        if self._pumping:
            return
        self._pumping = True
        ring = self.inbound
        try:
            while not (self.closing or self.paused):
                if self._unwanted:
                    self._unwanted -= ring.skip(self._unwanted)
                    if self._unwanted:
                        break
                elif self.line_mode:
                    line = ring.read_line(b"\r\n", self.MAX_LENGTH + 2)
                    if line is None:
                        if len(ring) > self.MAX_LENGTH:
                            self.lineLengthExceeded(b"")
                        break
                    self.lineReceived(line)
                elif len(ring) < self._wanted:
                    break
                else:
                    self.line_mode = True
                    self.blockReceived(ring.read(self._wanted))
        finally:
            self._pumping = False

    def hold_reading(self) -> None:
        if not self.paused:
            self.paused = True
            self.transport.pauseProducing()

    def resumeProducing(self) -> None:
        self.paused = False
        self.pump()
        if not self.paused and not self.lost and self.transport is not None:
            self.transport.resumeProducing()

    def lineLengthExceeded(self, line: bytes) -> None:
        self.refuse_more()

    def lineReceived(self, line: bytes) -> None:
        raise NotImplementedError

    def blockReceived(self, block: bytes) -> None:
        raise NotImplementedError

    def refuse_more(self) -> None:
        """What came breaks the protocol beyond repair."""
        self.close()

    # writing

    def send(self, data: bytes) -> None:
        if self.lost or self.closing:
            return
        if not self.outbound.write(data):  # a peer that never reads may not fill the memory
            self.abort()
            return
        self.turns.wrote(self)

    def flush(self) -> None:
        if not self.lost and not self.choked and len(self.outbound) and self.transport is not None:
            self.transport.write(self.outbound.read(len(self.outbound)))
            self.outbound.trim()
        if self.closing and not self.lost and not len(self.outbound) and self.transport is not None:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def close(self) -> None:
        """Close once what was written is out."""
        if not self.closing and not self.lost:
            self.closing, self.closing_since = True, self.turns.clock.now
            self.turns.wrote(self)

    def abort(self) -> None:
        if not self.closing:
            self.closing, self.closing_since = True, self.turns.clock.now
        if not self.lost and self.transport is not None:
            self.transport.abortConnection()

    # for the connection classes

    def opened(self) -> None:
        """The connection is up."""

    def ended(self) -> None:
        """The connection is gone; called once."""

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.turns.begin()
        if not self.lost:
            self.lost = True
            self.ended()
