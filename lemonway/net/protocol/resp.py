"""The RESP frontend for routers: requests and answers are RESP arrays of bulk strings."""

from __future__ import annotations

import errno
import re
import socket
from dataclasses import dataclass
from enum import Enum
from math import isfinite

from ...interface import Effect, Settings
from ..ports import Answer, Incoming, RequestHandler, Verdict
from ..transport.clock import Clock, EventLoop
from ..transport.connection import MAX_READ_BYTES, Connection, Phase

MAX_BODY_BYTES = 2048
MAX_STRING_BYTES = 1024  # of any bulk string other than the body
MAX_SKIPPED_BYTES = 64 * 1024  # an over-long string up to this size is discarded; a longer one closes the connection
MAX_FRAME_ITEMS = 8
MAX_OPEN_REQUESTS = 32  # per connection; further requests are refused
TAG_LIMIT = 2**53  # exclusive
INBOUND_BUFFER_BYTES = 24 * 1024  # one read plus the start of a frame
OUTBOUND_BUFFER_BYTES = 160 * 1024  # 32 results of 4 KiB with their fields, plus the refusals of a burst
FIRST_FRAME_TIMEOUT_US = 1_500_000  # a connection without a whole frame is closed after this time
PARTIAL_FRAME_TIMEOUT_US = 1_500_000  # for the rest of a frame to arrive; routers write whole frames
BROKEN_TIMEOUT_US = 1_500_000  # an unreadable connection waits this long for the answers to its open requests
# From DRAIN to the close of an idle connection: covers requests that crossed the DRAIN (50 ms) and their transit time.
CLOSE_DELAY_US = 100_000
RESET_CHECK_DELAY_US = 20_000  # a peer that closed both halves has reset the connection on DRAIN within this time
ERROR_READ_GRACE_US = 100_000  # time a peer has to read its error answers before its connection may be evicted
EVICTION_MIN_PARTIAL_AGE_US = 250_000  # a partial frame must be this old before its connection may be evicted
EVICTION_MIN_AGE_US = 150_000  # a younger connection is not evicted: its first request may be in transit
EVICTION_MIN_IDLE_US = 250_000  # a connection used more recently is not evicted
MAX_ARRIVAL_UNIX_MS = 2**43  # more than two centuries after 1970
TIMEOUT_LIMIT_MS = 1e8  # exclusive; a router's timeout for one try may exceed a day

_TXN = re.compile(rb"[0-9a-f]{16}\Z")
_IDEMPOTENCY_KEY = re.compile(rb"[0-9a-f]{32}\Z")
_NUMBER = re.compile(rb"[0-9]{1,16}\Z")
_DECIMAL = re.compile(rb"[0-9]{1,9}(\.[0-9]{1,9})?\Z")


class RespError(Exception):
    """The input is not a frame; the position of the next one is unknown, so the rest can't be read either."""


class FieldError(Exception):
    """A complete frame with an unknown verb or an invalid item or field."""


class RespReader:
    """Assembles frames from lines and blocks.

    After each line, ``block_bytes`` is the size of the block to pass next, and ``skip_bytes`` the number of bytes to
    discard; if both are 0, the next input is a line. Both sizes include the final CRLF. ``overlong`` tells whether a
    string of the current frame exceeded its limit and was replaced by an empty one."""

    __slots__ = ("items", "items_left", "block_bytes", "skip_bytes", "overlong")

    def __init__(self) -> None:
        self.items: list[bytes] = []
        self.items_left = self.block_bytes = self.skip_bytes = 0
        self.overlong = False

    def feed_line(self, line: bytes) -> list[bytes] | None:
        """Returns the frame that this line completes, or None."""
        type_byte, count = line[:1], line[1:]
        self.block_bytes = self.skip_bytes = 0
        if not _NUMBER.match(count):
            raise RespError(f"invalid length {count[:20]!r}")
        size = int(count)
        if self.items_left == 0:
            if type_byte != b"*" or not 1 <= size <= MAX_FRAME_ITEMS:
                raise RespError(f"expected an array header: {line[:20]!r}")
            self.items, self.items_left, self.overlong = [], size, False
            return None
        if type_byte != b"$":
            raise RespError(f"expected a bulk string header: {line[:20]!r}")
        if size > MAX_SKIPPED_BYTES:
            raise RespError(f"bulk string of {size} bytes is too long")
        if size > (MAX_BODY_BYTES if len(self.items) == 4 else MAX_STRING_BYTES):
            self.skip_bytes, self.overlong = size + 2, True
            return self._add(b"")
        self.block_bytes = size + 2
        return None

    def feed_block(self, block: bytes) -> list[bytes] | None:
        """Returns the frame that this bulk string completes, or None."""
        if block[-2:] != b"\r\n":
            raise RespError("bulk string is not terminated by CRLF")
        return self._add(block[:-2])

    def _add(self, item: bytes) -> list[bytes] | None:
        self.items.append(item)
        self.items_left -= 1
        return self.items if self.items_left == 0 else None


MAX_FAST_PATH_ITEMS = 5  # a longer frame could leave no room in the inbound buffer for one more read
_ARRAY_HEADERS = {b"*%d\r\n" % count: count for count in range(1, MAX_FAST_PATH_ITEMS + 1)}
NEEDS_LINE_READER = -1  # returned by ``parse_whole_frame`` in place of a length


def parse_whole_frame(data: bytes, offset: int) -> tuple[list[bytes] | None, int]:
    """Parses the frame that begins at ``offset`` if all of it is in ``data``.

    Returns the frame and the offset of its end. If the frame is incomplete, returns None and the least length of
    ``data`` at which another attempt can get further. Returns None and ``NEEDS_LINE_READER`` for a frame that only
    ``RespReader`` handles: an unusual, over-long or malformed one.
    """
    count = _ARRAY_HEADERS.get(data[offset : offset + 4])
    if count is None:
        return None, NEEDS_LINE_READER if len(data) >= offset + 4 else offset + 4
    offset += 4
    items: list[bytes] = []
    available = len(data)
    for index in range(count):
        end = data.find(b"\r\n", offset, offset + 8)
        if end < 0:
            return None, NEEDS_LINE_READER if available >= offset + 8 else available + 1
        digits = data[offset + 1 : end]
        if data[offset] != 36 or not digits.isdigit():  # 36: "$"
            return None, NEEDS_LINE_READER
        size = int(digits)
        if size > (MAX_BODY_BYTES if index == 4 else MAX_STRING_BYTES):
            return None, NEEDS_LINE_READER
        offset = end + 4 + size
        if available < offset:
            return None, offset
        if data[offset - 2 : offset] != b"\r\n":
            return None, NEEDS_LINE_READER
        items.append(data[end + 2 : offset - 2])
    return items, offset


@dataclass(frozen=True)
class NameLookup:
    """Lookup tables from the names on the wire to the indexes of request classes and tenants."""

    class_indexes: dict[bytes, int]
    tenant_indexes: dict[bytes, int]
    keyed_classes: frozenset[int]

    @classmethod
    def from_settings(
        cls, settings: Settings, active_classes: list[int] | None = None, tenant_indexes: dict[bytes, int] | None = None
    ) -> NameLookup:
        """``active_classes``: indexes of the classes in use (default: all); ``tenant_indexes``: the tenants' indexes
        where they differ from the order in the settings."""
        return cls(
            {
                settings.request_classes[index].name.encode(): index
                for index in (range(len(settings.request_classes)) if active_classes is None else active_classes)
            },
            {tenant.name.encode(): index for index, tenant in enumerate(settings.tenants)}
            if tenant_indexes is None
            else tenant_indexes,
            frozenset(
                index
                for index, request_class in enumerate(settings.request_classes)
                if request_class.effect is Effect.KEYED
            ),
        )


def read_fields(raw: bytes) -> dict[bytes, bytes]:
    """Parses ``name=value`` pairs separated by commas."""
    fields: dict[bytes, bytes] = {}
    for pair in raw.split(b",") if raw else ():
        name, eq, value = pair.partition(b"=")
        if not eq or not name or name in fields:
            raise FieldError(f"invalid or repeated field {pair[:40]!r}")
        fields[name] = value
    return fields


def _decimal(fields: dict[bytes, bytes], name: bytes, default: float, limit: float) -> float:
    """A field's value, which must be at least 0 and less than ``limit``."""
    raw = fields.get(name)
    if raw is None:
        return default
    value = float(raw) if _DECIMAL.match(raw) else -1.0
    if not (0 <= value < limit and isfinite(value)):
        raise FieldError(f"{name.decode()} is invalid or out of range: {raw[:20]!r}")
    return value


def read_call(items: list[bytes], names: NameLookup, clock: Clock, connection: RouterConnection) -> Incoming:
    """Converts a CALL frame to the form that the core takes. ``door``, a Unix time in milliseconds, is converted to
    the process's monotonic clock.

    Raises FieldError for an invalid item or field."""
    if not 4 <= len(items) <= 5:
        raise FieldError(f"CALL has {len(items)} items")
    class_index = names.class_indexes.get(items[2])
    if class_index is None:
        raise FieldError(f"unknown request class {items[2][:40]!r}")
    fields = read_fields(items[3])
    txn, arrived_at, caller = fields.get(b"txn", b""), fields.get(b"door", b""), fields.get(b"lb", b"0")
    if not _TXN.match(txn):
        raise FieldError(f"txn is invalid: {txn[:40]!r}")
    if not _NUMBER.match(arrived_at) or int(arrived_at) > MAX_ARRIVAL_UNIX_MS:
        raise FieldError(f"door is invalid: {arrived_at[:40]!r}")
    if not _NUMBER.match(caller) or int(caller) >= 2**32:
        raise FieldError(f"lb is invalid: {caller[:40]!r}")
    tenant = 0
    if b"team" in fields:
        tenant = names.tenant_indexes.get(fields[b"team"], -1)
        if tenant < 0:
            raise FieldError(f"team is unknown: {fields[b'team'][:40]!r}")
    idempotency_key = fields.get(b"unique", b"")
    if (idempotency_key or class_index in names.keyed_classes) and not _IDEMPOTENCY_KEY.match(idempotency_key):
        if class_index in names.keyed_classes:
            raise FieldError(f"unique is invalid: {idempotency_key[:40]!r}")
        idempotency_key = b""
    item_id = fields.get(b"item", b"")
    if item_id and not _TXN.match(item_id):
        raise FieldError(f"item is invalid: {item_id[:40]!r}")
    retry = fields.get(b"second", b"0")
    if retry not in (b"0", b"1"):
        raise FieldError(f"second is invalid: {retry[:20]!r}")
    # The time that the router waits for this try, counted from ``door``. It sets the request's deadline if it ends
    # before the class's deadline. With a limit of 0 the caller has stopped waiting, and the core answers at once.
    timeout_ms = _decimal(fields, b"limit", -1.0, TIMEOUT_LIMIT_MS) if b"limit" in fields else -1.0
    return Incoming(
        connection,
        int(items[1]),
        txn.decode(),
        class_index,
        tenant,
        clock.from_unix_ms(int(arrived_at)),
        items[4] if len(items) == 5 else b"",
        int(caller),
        _decimal(fields, b"cpu", 0.0, 1e7) or None,
        _decimal(fields, b"ram", 0.0, 1e6),
        _decimal(fields, b"standing", 0.0, 1.0),
        idempotency_key.decode() if idempotency_key else "",
        int(item_id, 16) if item_id else 0,
        max(1, round(timeout_ms * 1000)) if timeout_ms >= 0 else 0,
        retry == b"1",
    )


def encode(*items: bytes) -> bytes:
    """A frame: an array of bulk strings."""
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


_VERDICT_WORDS = {Verdict.SERVED: b"RESULT", Verdict.REFUSED: b"REJECT", Verdict.FAILED: b"ABORTED"}


def _feedback_fields(feedback: float | None) -> list[bytes]:
    return [] if feedback is None else [b"feedback=%.4f" % feedback]


def encode_answer(tag: int, answer: Answer) -> bytes:
    fields = _feedback_fields(answer.feedback)
    if answer.verdict is Verdict.REFUSED:
        if answer.retry_after_ms:
            fields.append(b"later=%d" % answer.retry_after_ms)
        if answer.final:
            fields.append(b"giveup=1")
    items = [b"%d" % tag, _VERDICT_WORDS[answer.verdict], b",".join(fields)]
    if answer.body:
        items.append(answer.body)
    return encode(*items)


class IntakeState(Enum):
    """Whether a connection still accepts requests. ``Phase`` is the state of the connection itself."""

    ACCEPTING = "accepting"
    # DRAIN is sent because the node is shutting down. Requests that cross it or arrive within the grace are accepted.
    DRAINING = "draining"
    # DRAIN is sent. The connection closes once no answer is owed and no frame has arrived for CLOSE_DELAY_US.
    CLOSING_WHEN_IDLE = "closing_when_idle"
    # The input can't be parsed any further. The connection closes once its open requests are answered, or after
    # BROKEN_TIMEOUT_US.
    BROKEN = "broken"


class IntakeEvent(Enum):
    """An event that changes ``IntakeState``."""

    DRAIN = "drain"  # the node is shutting down
    CLOSE_WHEN_IDLE = "close_when_idle"  # this connection is to be closed
    PROTOCOL_ERROR = "protocol_error"  # the input can't be parsed any further


INTAKE_TRANSITIONS: dict[IntakeState, dict[IntakeEvent, IntakeState]] = {
    IntakeState.ACCEPTING: {
        IntakeEvent.DRAIN: IntakeState.DRAINING,
        IntakeEvent.CLOSE_WHEN_IDLE: IntakeState.CLOSING_WHEN_IDLE,
        IntakeEvent.PROTOCOL_ERROR: IntakeState.BROKEN,
    },
    IntakeState.DRAINING: {
        IntakeEvent.DRAIN: IntakeState.DRAINING,
        IntakeEvent.CLOSE_WHEN_IDLE: IntakeState.CLOSING_WHEN_IDLE,
        IntakeEvent.PROTOCOL_ERROR: IntakeState.BROKEN,
    },
    IntakeState.CLOSING_WHEN_IDLE: {
        IntakeEvent.DRAIN: IntakeState.CLOSING_WHEN_IDLE,
        IntakeEvent.CLOSE_WHEN_IDLE: IntakeState.CLOSING_WHEN_IDLE,
        IntakeEvent.PROTOCOL_ERROR: IntakeState.BROKEN,
    },
    IntakeState.BROKEN: {
        IntakeEvent.DRAIN: IntakeState.BROKEN,
        IntakeEvent.CLOSE_WHEN_IDLE: IntakeState.BROKEN,
        IntakeEvent.PROTOCOL_ERROR: IntakeState.BROKEN,
    },
}


class RouterConnection(Connection):
    """One connection from a router: receives requests and sends one answer to each."""

    MAX_LENGTH = 32  # bytes of a line: lines hold only the length of an array or bulk string
    reads_while_closing = (
        True  # until this side's FIN is sent, a request that arrives during the close is answered as never run
    )

    def __init__(self, event_loop: EventLoop, handler: RequestHandler, names: NameLookup) -> None:
        super().__init__(event_loop, INBOUND_BUFFER_BYTES, OUTBOUND_BUFFER_BYTES)
        self.handler, self.names = handler, names
        self.reader = RespReader()
        self.open_requests: dict[int, int] = {}  # tag: request id of the core (0 while it is being submitted)
        self.pending_checks = 0
        self.intake = IntakeState.ACCEPTING
        self.intake_changed_at_us = 0
        self.closes_when_done = False  # whether to check for a close after each answer; derived from intake and phase
        self.partial_since_us = 0  # arrival of the first byte of an incomplete frame; 0 = there is none
        self.no_frame_yet = True
        self.last_used_us = event_loop.clock.now_us
        self._needed_bytes = 0  # bytes that the ring must hold before its first frame is parsed again

    def on_connected(self) -> None:
        self.handler.counters["connections"] += 1
        self.handler.frontend_connections[self] = None
        self.last_used_us = self.event_loop.clock.now_us

    def on_disconnected(self) -> None:
        self.handler.frontend_connections.pop(self, None)
        open_requests, self.open_requests = self.open_requests, {}
        for request_id in open_requests.values():
            self.handler.abandon(request_id)

    def has_pending_answer(self) -> bool:
        return bool(self.open_requests or self.pending_checks)

    def readConnectionLost(self) -> None:
        if self.partial_since_us and not self.discards_input:
            self.fail_partial_frame()  # the rest will not arrive; if the tag has been read, the request needs an answer
        super().readConnectionLost()

    def half_closed(self) -> None:
        """The router has sent its FIN. It may have closed only its sending side or the whole connection, which look
        the same here. DRAIN is sent: it applies in both cases, and a peer that has closed the whole connection
        resets it on receipt, which shows that nobody waits for the open requests."""
        self.handler.counters["half_closed"] += 1
        self.closes_when_done = True
        self.change_intake(IntakeEvent.CLOSE_WHEN_IDLE)
        self.event_loop.call_after(RESET_CHECK_DELAY_US, self.check_reset)

    def check_reset(self) -> None:
        """Aborts if the peer has reset the connection. The reactor stops reading the socket after the peer's FIN, so a
        reset shows only in the socket's error status."""
        if self.phase is Phase.HALF_CLOSED and self.transport is not None and self._peer_has_reset():
            self.handler.counters["half_closed_gone"] += 1
            self.abort()

    def _peer_has_reset(self) -> bool:
        """Whether the socket reports a reset, which input that is still unread precedes."""
        handle = getattr(self.transport, "getHandle", None)  # the rehearsal kit's pipes have no sockets
        return handle is not None and handle().getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) in (
            errno.EPIPE,
            errno.ECONNRESET,
        )

    def change_intake(self, event: IntakeEvent) -> None:
        """Applies a transition of ``INTAKE_TRANSITIONS`` and its effects."""
        previous, self.intake = self.intake, INTAKE_TRANSITIONS[self.intake][event]
        if self.intake is previous:
            return
        self.intake_changed_at_us, self.closes_when_done = self.event_loop.clock.now_us, True
        if self.intake is IntakeState.BROKEN:
            self.discards_input = True  # input is read and discarded: closing with unread bytes resets the last answers
        elif previous is IntakeState.ACCEPTING:
            self.send(encode(b"0", b"DRAIN"))
        if self.intake is IntakeState.CLOSING_WHEN_IDLE:
            self.event_loop.call_after(CLOSE_DELAY_US, self.close_if_done)

    def dataReceived(self, data: bytes) -> None:
        if self.discards_input or self.reader.items_left or self._discard_remaining or not self.line_mode:
            self._needed_bytes = 0
            super().dataReceived(data)  # RespReader is in the middle of a frame
        else:
            self.event_loop.begin_iteration()
            self._read_whole_frames(data)
        if not (self.mid_message or self.reader.items_left):
            self.partial_since_us = 0
        elif not self.partial_since_us:
            self.partial_since_us = self.event_loop.clock.now_us

    def _read_whole_frames(self, data: bytes) -> None:
        """Parses whole frames directly from ``data``, or from the ring if that holds the beginning of a frame. An
        incomplete frame waits in the ring; a frame that ``parse_whole_frame`` does not handle is read line by line."""
        ring, offset = self.inbound, 0
        buffered = len(ring)
        if buffered:
            if not ring.write(data):
                self.reject_input()
                return
            if buffered + len(data) < self._needed_bytes:
                return
            data = ring.peek(buffered + len(data))
        needed_length = len(data) + 1
        if needed_length > MAX_READ_BYTES and self._peer_has_reset():
            # More is unread, and its sender has left: nobody waits for requests that would be read from now on.
            self.handler.counters["unread_gone"] += 1
            self.abort()
            return
        while offset < len(data) and not self.discards_input:
            frame, needed_length = parse_whole_frame(data, offset)
            if frame is None:
                break
            offset, self.reader.overlong = needed_length, False
            self.handle_frame(frame)
        self._needed_bytes = needed_length - offset
        if buffered:
            ring.skip(offset)
        elif offset < len(data) and not self.discards_input and not ring.write(data[offset:] if offset else data):
            self.reject_input()  # the peer has sent more than the buffer holds
            return
        if needed_length == NEEDS_LINE_READER:
            self._needed_bytes = 0
            self.pump()
        ring.trim()

    def lineReceived(self, line: bytes) -> None:
        try:
            frame = self.reader.feed_line(line)
        except RespError:
            self.reject_input()
            return
        if self.reader.block_bytes:
            self.expect(self.reader.block_bytes)
        elif self.reader.skip_bytes:
            self.discard(self.reader.skip_bytes)
        if frame:
            self.handle_frame(frame)

    def blockReceived(self, block: bytes) -> None:
        try:
            frame = self.reader.feed_block(block)
        except RespError:
            self.reject_input()
            return
        if frame:
            self.handle_frame(frame)

    def handle_frame(self, items: list[bytes]) -> None:
        """Handles a complete frame. An invalid one is answered with ABORTED if it has a usable tag; otherwise only
        this connection is closed."""
        self.last_used_us, self.no_frame_yet, self.partial_since_us = self.event_loop.clock.now_us, False, 0
        tag = self.parse_tag(items)
        if items[0] == b"CANCEL" and tag > 0:
            self.cancel(tag)  # has no answer of its own: the request may have been answered already
            return
        if tag < 0 or tag in self.open_requests:
            self.reject_input()
            return
        try:
            if self.reader.overlong:
                raise FieldError("bulk string is too long")
            if items[0] == b"CHECK":
                self.check(tag, items)
                return
            if items[0] != b"CALL":
                raise FieldError(f"unknown verb {items[0][:20]!r}")
            incoming = read_call(items, self.names, self.event_loop.clock, self)
        except FieldError:
            self.handler.counters["bad_frames"] += 1
            self.handler.counters["failed_unread"] += 1
            self.send(encode_answer(tag, Answer(Verdict.FAILED)))
            return
        if self.closing:  # refused before the FIN: the result of a run could not be sent any more
            self.handler.counters["refused_closing"] += 1
            self.send(encode_answer(tag, Answer(Verdict.REFUSED)))
            return
        if len(self.open_requests) >= MAX_OPEN_REQUESTS:
            # Refused at once: leaving it unread would only delay the refusal.
            self.handler.counters["refused_unread"] += 1
            self.send(encode_answer(tag, Answer(Verdict.REFUSED)))
            return
        self.open_requests[tag] = 0
        request_id = self.handler.submit(incoming)
        if request_id and tag in self.open_requests:
            self.open_requests[tag] = request_id

    @staticmethod
    def parse_tag(items: list[bytes]) -> int:
        """The frame's tag, or -1 if it has no valid one."""
        if len(items) > 1 and _NUMBER.match(items[1]) and 0 < int(items[1]) < TAG_LIMIT:
            return int(items[1])
        return -1

    def cancel(self, tag: int) -> None:
        """The router has stopped waiting for this request, so no answer is owed. A CANCEL that crossed the answer is
        only counted."""
        request_id = self.open_requests.pop(tag, None)
        if request_id is None:
            self.handler.counters["cancels_after_answer"] += 1
            return
        self.handler.counters["cancels"] += 1
        self.handler.abandon(request_id)
        self.close_if_done()

    def check(self, tag: int, items: list[bytes]) -> None:
        fields = read_fields(items[2]) if len(items) > 2 else {}
        self.pending_checks += 1
        self.handler.check(self, tag, fields.get(b"probe") == b"1")

    def reject_input(self) -> None:
        """The input can't be parsed any further. Open requests are still answered, then the connection closes."""
        if self.intake is IntakeState.BROKEN or self.closing:
            self.discards_input = True
            return
        self.handler.counters["bad_frames"] += 1
        tag = self.parse_tag(self.reader.items) if self.reader.items_left else -1
        if tag > 0 and tag not in self.open_requests and self.reader.items[0] in (b"CALL", b"CHECK"):
            self.handler.counters["failed_unread"] += 1
            self.send(encode_answer(tag, Answer(Verdict.FAILED)))
        self.change_intake(IntakeEvent.PROTOCOL_ERROR)
        self.close_if_done()

    def close_if_done(self) -> None:
        """Closes the connection if its state asks for that and no answer is owed. Called after answers and timeouts."""
        if self.closing or self.lost or self.has_pending_answer():
            return
        if self.intake is IntakeState.BROKEN or self.phase is Phase.HALF_CLOSED:
            self.close()
        elif self.intake is IntakeState.CLOSING_WHEN_IDLE and not self.reader.items_left and not self.mid_message:
            remaining_us = (
                max(self.intake_changed_at_us, self.last_used_us) + CLOSE_DELAY_US - self.event_loop.clock.now_us
            )
            if remaining_us <= 0:
                self.close()
            else:
                self.event_loop.call_after(remaining_us, self.close_if_done)

    # called by the core

    def answer(self, tag: int, answer: Answer) -> None:
        if self.open_requests.pop(tag, None) is None:
            return
        self.last_used_us = self.event_loop.clock.now_us
        self.send(encode_answer(tag, answer))
        if self.closes_when_done:
            self.close_if_done()

    def answer_check(self, tag: int, ready: bool, feedback: float | None) -> None:
        if not self.pending_checks:  # already discarded by fail_open_requests
            return
        self.pending_checks -= 1
        self.send(encode(b"%d" % tag, b"READY" if ready else b"UNREADY", *_feedback_fields(feedback)))
        if self.closes_when_done:
            self.close_if_done()

    def drain(self) -> None:
        self.change_intake(IntakeEvent.DRAIN)

    def close_when_idle(self) -> None:
        """Close once no answer is owed and the connection is idle."""
        self.change_intake(IntakeEvent.CLOSE_WHEN_IDLE)

    def sweep(self, idle_before_us: int) -> None:
        """Applies the timeouts: closes a connection that has been idle since before ``idle_before_us``, has never
        carried a frame or has stopped in the middle of one, and ends the waits of broken and half-closed ones."""
        now = self.event_loop.clock.now_us
        if self.closing:
            return
        if self.intake is IntakeState.BROKEN:
            if self.intake_changed_at_us < now - BROKEN_TIMEOUT_US:
                self.fail_open_requests()
        elif self.phase is Phase.HALF_CLOSED:
            self.check_reset()
        elif self.partial_since_us:
            if self.partial_since_us < now - PARTIAL_FRAME_TIMEOUT_US:
                self.fail_partial_frame()
        elif self.intake is IntakeState.CLOSING_WHEN_IDLE:
            self.close_if_done()
        elif not self.has_pending_answer() and self.last_used_us < (
            now - FIRST_FRAME_TIMEOUT_US if self.no_frame_yet else idle_before_us
        ):
            self.handler.counters["closed_idle"] += 1
            if self.no_frame_yet:
                self.close()  # without DRAIN: a router opens a connection only when it has a request to send
            else:
                self.close_when_idle()

    def fail_partial_frame(self) -> None:
        """Gives up on a frame whose rest has not arrived."""
        self.handler.counters["half_frames"] += 1
        self._needed_bytes = 0
        self.pump()  # reads the complete lines and blocks: if they include the tag, the request needs an answer
        self.reject_input()

    def fail_open_requests(self) -> None:
        """Answers all open requests with ABORTED and closes, once BROKEN_TIMEOUT_US after a protocol error is over."""
        open_requests, self.open_requests, self.pending_checks = self.open_requests, {}, 0
        for tag, request_id in open_requests.items():
            self.handler.abandon(request_id)
            self.send(encode_answer(tag, Answer(Verdict.FAILED)))
        self.close()

    def eviction_key(self) -> tuple[bool, int] | None:
        """Sort key for evicting connections in favour of new ones, or None if this one must not be evicted.

        Connections that never carried a whole frame or stopped in the middle of one sort first, then the others; each
        group is ordered by least recent use. A connection must not be evicted while it owes an answer, has unsent
        output or was used too recently."""
        if self.has_pending_answer() or self.closing or len(self.outbound):
            return None
        now = self.event_loop.clock.now_us
        if self.partial_since_us:
            return (False, self.partial_since_us) if self.partial_since_us < now - EVICTION_MIN_PARTIAL_AGE_US else None
        min_idle_us = EVICTION_MIN_AGE_US if self.no_frame_yet else EVICTION_MIN_IDLE_US
        return (not self.no_frame_yet, self.last_used_us) if self.last_used_us < now - min_idle_us else None

    def awaits_only_peer_close(self) -> bool:
        """Whether only the peer's FIN is outstanding, and the peer has had time to read the last answers."""
        if self.phase is not Phase.FIN_SENT:
            return False
        now = self.event_loop.clock.now_us
        if self.intake is IntakeState.BROKEN:
            return self.intake_changed_at_us < now - ERROR_READ_GRACE_US
        return self.no_frame_yet or self.last_used_us < now - EVICTION_MIN_IDLE_US

    def evict(self) -> None:
        """Closes this connection in favour of a new one."""
        if self.partial_since_us:
            self.fail_partial_frame()
        else:
            self.drain()
            self.close()
