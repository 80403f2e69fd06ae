"""The base class of every stream connection: a LineReceiver with an inbound and an outbound ring buffer, and a state
table for its lifecycle.

A close is orderly: buffered output is sent, then the FIN; further input is read to its end and discarded, and only
then is the socket closed. Closing a socket with unread input would reset the connection, and the peer would lose the
answers that it has not read yet."""

from __future__ import annotations

from enum import Enum
from typing import Any

from twisted.internet import interfaces
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure
from zope.interface import implementer

from .clock import EventLoop
from .ring import RingBuffer

MAX_READ_BYTES = 16 * 1024  # bytes read from one connection per event-loop iteration, so that none starves another


class Phase(Enum):
    """The lifecycle state of a connection."""

    OPEN = "open"
    HALF_CLOSED = "half"  # the peer has sent its FIN; pending answers are still sent
    CLOSING = "closing"  # buffered output is sent, then the FIN
    FIN_SENT = "shut"  # the FIN is sent: further input is read to its end and discarded
    FINISHING = "finishing"  # the peer has sent its FIN and this side closes once buffered output is sent
    RESET = "reset"  # reset; the reactor reports the loss in its next iteration
    LOST = "lost"


class Event(Enum):
    CLOSE = "close"  # this side starts an orderly close
    ABORT = "abort"  # this side resets the connection
    FLUSHED = "flushed"  # the outbound buffer has been handed to the transport
    FIN = "fin"  # this side's FIN has been sent
    EOF = "eof"  # the peer's FIN has arrived
    CLOSE_TIMEOUT = "close_timeout"  # the close has taken longer than CLOSE_TIMEOUT_US
    DISCONNECTED = "disconnected"  # the transport reported the connection as lost


# Module-level names: in Python 3.11 access to an enum member through its class costs a call.
OPEN, HALF_CLOSED, CLOSING, FIN_SENT, FINISHING, RESET, LOST = Phase
CLOSE, ABORT, FLUSHED, FIN, EOF, CLOSE_TIMEOUT, DISCONNECTED = Event

# The next phase by phase and event. EOF while UP leads to HALF if an answer is pending (``owes``), else to FINISHING.
TRANSITIONS: dict[Phase, dict[Event, Phase]] = {
    OPEN: {
        CLOSE: CLOSING,
        ABORT: RESET,
        FLUSHED: OPEN,
        FIN: OPEN,
        EOF: HALF_CLOSED,
        CLOSE_TIMEOUT: OPEN,
        DISCONNECTED: LOST,
    },
    HALF_CLOSED: {
        CLOSE: FINISHING,
        ABORT: RESET,
        FLUSHED: HALF_CLOSED,
        FIN: HALF_CLOSED,
        EOF: HALF_CLOSED,
        CLOSE_TIMEOUT: HALF_CLOSED,
        DISCONNECTED: LOST,
    },
    CLOSING: {
        CLOSE: CLOSING,
        ABORT: RESET,
        FLUSHED: CLOSING,
        FIN: FIN_SENT,
        EOF: FINISHING,
        CLOSE_TIMEOUT: RESET,
        DISCONNECTED: LOST,
    },
    FIN_SENT: {
        CLOSE: FIN_SENT,
        ABORT: RESET,
        FLUSHED: FIN_SENT,
        FIN: FIN_SENT,
        EOF: FINISHING,
        CLOSE_TIMEOUT: RESET,
        DISCONNECTED: LOST,
    },
    FINISHING: {
        CLOSE: FINISHING,
        ABORT: RESET,
        FLUSHED: FINISHING,
        FIN: FINISHING,
        EOF: FINISHING,
        CLOSE_TIMEOUT: RESET,
        DISCONNECTED: LOST,
    },
    RESET: {
        CLOSE: RESET,
        ABORT: RESET,
        FLUSHED: RESET,
        FIN: RESET,
        EOF: RESET,
        CLOSE_TIMEOUT: RESET,
        DISCONNECTED: LOST,
    },
    LOST: {CLOSE: LOST, ABORT: LOST, FLUSHED: LOST, FIN: LOST, EOF: LOST, CLOSE_TIMEOUT: LOST, DISCONNECTED: LOST},
}
UNUSABLE_PHASES = frozenset((CLOSING, FIN_SENT, FINISHING, RESET))  # not usable for new requests
OUTPUT_CLOSED_PHASES = frozenset((FIN_SENT, FINISHING, RESET, LOST))  # new output is discarded


@implementer(interfaces.IPushProducer)
class _FlowControl:
    """The transport's flow control: while the transport's own buffer is full, output stays in the outbound ring."""

    def __init__(self, owner: Connection) -> None:
        self.owner = owner

    def pauseProducing(self) -> None:
        self.owner.transport_full = True

    def resumeProducing(self) -> None:
        self.owner.transport_full = False
        self.owner.event_loop.schedule_flush(self.owner)

    def stopProducing(self) -> None:
        self.owner.transport_full = True


@implementer(interfaces.IHalfCloseableProtocol)
class Connection(LineReceiver):
    """Reads lines and blocks of a known length from its inbound ring; writes go to the outbound ring and are flushed
    once per event-loop iteration. LineReceiver's own buffer stays empty: ``dataReceived`` is replaced, while the
    callbacks (``lineReceived``, ``lineLengthExceeded``, line and raw mode, pausing) are used as they are."""

    delimiter = b"\r\n"
    MAX_LENGTH = 1024
    transport: Any  # Twisted declares it with zope interfaces, which mypy reads only with their plugin

    def __init__(self, event_loop: EventLoop, inbound: int, outbound: int) -> None:
        """``inbound`` and ``outbound``: the limits of the two buffers in bytes."""
        self.event_loop = event_loop
        self.inbound, self.outbound = RingBuffer(inbound), RingBuffer(outbound)
        self.phase = OPEN
        # Derived from the phase and stored as plain fields, since each request reads them.
        self.closing = self.lost = self.output_closed = False
        self.discards_input = False  # input is discarded
        self.transport_full = self._pumping = False
        self._block_size = self._discard_remaining = 0

    # reading

    def connectionMade(self) -> None:
        self.event_loop.begin_iteration()
        self.transport.bufferSize = MAX_READ_BYTES
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(_FlowControl(self), True)
        self.on_connected()

    def dataReceived(self, data: bytes) -> None:
        self.event_loop.begin_iteration()
        if self.discards_input:
            return
        if not self.inbound.write(data):  # the peer has sent more than the buffer may hold
            self.reject_input()
            return
        self.pump()
        self.inbound.trim()

    @property
    def mid_message(self) -> bool:
        """Whether part of a message has arrived, or a message is being skipped."""
        return bool(len(self.inbound) or self._discard_remaining) or not self.line_mode

    def expect(self, count: int) -> None:
        """Pass the next ``count`` bytes to ``blockReceived``; lines are read again after them."""
        self._block_size = count
        self.line_mode = False

    def discard(self, count: int) -> None:
        """Skip the next ``count`` bytes of input."""
        self._discard_remaining = count

    def pump(self) -> None:
        """Dispatch every complete line and block in the inbound ring, unless reading is paused."""
        if self._pumping:
            return
        self._pumping = True
        ring = self.inbound
        try:
            while not (self.discards_input or self.paused):
                if self._discard_remaining:
                    self._discard_remaining -= ring.skip(self._discard_remaining)
                    if self._discard_remaining:
                        break
                elif self.line_mode:
                    line = ring.read_line(b"\r\n", self.MAX_LENGTH + 2)
                    if line is None:
                        if len(ring) > self.MAX_LENGTH:
                            self.lineLengthExceeded(b"")
                        break
                    self.lineReceived(line)
                elif len(ring) < self._block_size:
                    break
                else:
                    self.line_mode = True
                    self.blockReceived(ring.read(self._block_size))
        finally:
            self._pumping = False

    def lineLengthExceeded(self, line: bytes) -> None:
        self.reject_input()

    def lineReceived(self, line: bytes) -> None:
        raise NotImplementedError

    def blockReceived(self, block: bytes) -> None:
        raise NotImplementedError

    def reject_input(self) -> None:
        """Handle input after which message boundaries are unknown and no more can be read: reset by default."""
        self.abort()

    # writing

    def send(self, data: bytes) -> None:
        if self.output_closed:
            return
        if not self.outbound.write(data):  # bounds the memory used for a peer that never reads
            self.abort()
            return
        if self.closing:  # the FIN may be sent in this reactor iteration, before buffered output is flushed
            self.flush()
        else:
            self.event_loop.schedule_flush(self)

    def flush(self) -> None:
        if not (self.lost or self.transport_full) and len(self.outbound) and self.transport is not None:
            self.transport.write(self.outbound.read(len(self.outbound)))
            self.outbound.trim()
        if self.closing and not len(self.outbound):
            self.handle_event(FLUSHED)

    # lifecycle

    def handle_event(self, event: Event) -> None:
        """Move to the next phase by the table, and run the actions of that phase."""
        before = self.phase
        phase = TRANSITIONS[before][event]
        if phase is HALF_CLOSED and not self.has_pending_answer():
            phase = FINISHING
        if phase is before:
            if event is FLUSHED and self.transport is not None:
                self.transport.unregisterProducer()
                if phase is CLOSING:
                    self.transport.loseWriteConnection()
                elif phase is FINISHING:
                    self.transport.loseConnection()
            return
        self.phase = phase
        self.closing, self.lost, self.output_closed = (
            phase in UNUSABLE_PHASES,
            phase is LOST,
            phase in OUTPUT_CLOSED_PHASES,
        )
        self.discards_input = (
            self.discards_input or self.output_closed or (self.closing and not self.reads_while_closing)
        )
        if phase is LOST:
            self.on_disconnected()
        elif phase is HALF_CLOSED:
            self.half_closed()
        elif phase is RESET:
            if self.transport is not None:
                self.transport.abortConnection()
        elif before is FIN_SENT:  # both sides have sent their FIN, and no output is left
            self.transport.loseConnection()
        elif phase is not FIN_SENT:
            if before is not CLOSING:
                self.event_loop.start_close_timeout(self)
            self.event_loop.schedule_flush(self)

    def on_close_timeout(self) -> None:
        self.handle_event(CLOSE_TIMEOUT)

    def close(self) -> None:
        """Start an orderly close: buffered output is sent and the peer's remaining input is read."""
        if not (self.closing or self.lost):
            self.handle_event(CLOSE)

    def abort(self) -> None:
        """Reset the connection: nothing more is sent."""
        self.handle_event(ABORT)

    def readConnectionLost(self) -> None:
        """The peer has sent its FIN; it may still read."""
        if not self.output_closed:
            self.event_loop.begin_iteration()
        self.handle_event(EOF)

    def writeConnectionLost(self) -> None:
        """This side's FIN has been sent."""
        self.handle_event(FIN)

    # hooks for subclasses

    def on_connected(self) -> None:
        """The connection is established."""

    def on_disconnected(self) -> None:
        """The connection is lost; called once."""

    reads_while_closing = False  # whether input is still processed and answered until this side's FIN is sent

    def has_pending_answer(self) -> bool:
        """Whether an answer is pending for a peer that has half-closed the connection."""
        return False

    def half_closed(self) -> None:
        """The peer has half-closed the connection while an answer is pending."""

    def connectionLost(self, reason: Failure | None = None) -> None:
        self.event_loop.begin_iteration()
        self.handle_event(DISCONNECTED)
