"""Client of the backend: HTTP/1.1 over TCP, at most one call in flight on a connection.

Times are microseconds of the event loop's monotonic clock, unless a name says otherwise."""

from __future__ import annotations

import re
from collections import deque
from typing import Any

from twisted.internet.protocol import ClientFactory, connectionDone
from twisted.python.failure import Failure

from ...interface import Outcome
from ...limits.ramp import Ramp
from ..ports import CallEvents
from ..transport.clock import Deadlines, EventLoop
from ..transport.connection import Connection

MAX_REPLY_BYTES = 64 * 1024
MAX_HEAD_LINES = 128  # of one reply, the interim replies before it included
INBOUND_BUFFER_BYTES = 96 * 1024
OUTBOUND_BUFFER_BYTES = 96 * 1024
MAX_IDLE_US = 5_000_000  # the backend closes idle connections after 10 s: one that is close to that is not reused
# A backend may have dropped the state of a connection that was idle for longer than this (seen from 135 ms on): such a
# connection carries no call that may be made only once.
MAX_IDLE_SINGLE_ATTEMPT_US = 100_000
SETTLE_US = 20_000  # a connection must stay silent so long after a reply: excess bytes would be read as the next reply
CONNECT_TIMEOUT_S = 1.0  # the proxy is local, and calls that wait for a connection never ran
HTTP_CONFLICT = 409  # with X-Declined: the call was declined since no run waits for its reply
TIMEOUT_MARGIN_US = 50_000  # past the stated timeout before the connection of an unanswered call is closed

_STATUS = re.compile(rb"HTTP/1\.([01]) ([1-5][0-9][0-9])( |\Z)")
_LENGTH = re.compile(rb"[0-9]{1,9}\Z")


class ReplyError(Exception):
    """The received bytes are not a valid HTTP reply."""


class ReplyReader:
    """Parses the head of a reply line by line. The attributes are valid once ``feed_line`` has returned True."""

    __slots__ = ("status", "content_length", "declined", "keep_alive", "_has_length", "_line_count")

    def __init__(self) -> None:
        self.status, self.content_length, self.declined, self.keep_alive = 0, 0, False, True
        self._has_length, self._line_count = False, 0

    def feed_line(self, line: bytes) -> bool:
        """Parse one line, given without its CRLF. Returns True at the end of the head; raises ``ReplyError``."""
        self._line_count += 1
        if self._line_count > MAX_HEAD_LINES:
            raise ReplyError("too many lines in the reply head")
        if not self.status:
            if not (match := _STATUS.match(line)):
                raise ReplyError(f"invalid status line {line[:40]!r}")
            self.status, self.keep_alive = int(match[2]), match[1] == b"1"
            return False
        if not line:
            if 100 <= self.status < 200:  # an interim reply: the final one follows
                self.status = 0
                return False
            if not self._has_length and self.status not in (204, 304):
                raise ReplyError("Content-Length is missing")
            return True
        name, colon, value = line.partition(b":")
        if not colon:
            raise ReplyError(f"invalid header line {line[:40]!r}")
        name, value = name.strip().lower(), value.strip()
        if name == b"content-length":
            if (
                not _LENGTH.match(value)
                or int(value) > MAX_REPLY_BYTES
                or (self._has_length and int(value) != self.content_length)
            ):
                raise ReplyError(f"invalid, conflicting or too large Content-Length {value[:20]!r}")
            self.content_length, self._has_length = int(value), True
        elif name == b"x-declined":
            self.declined = value == b"1"
        elif name == b"connection":
            self.keep_alive = value.lower() != b"close" and (self.keep_alive or value.lower() == b"keep-alive")
        elif name == b"transfer-encoding" and value.lower() != b"identity":
            raise ReplyError("Transfer-Encoding is not supported")
        return False


def outcome_of(status: int, declined: bool) -> Outcome:
    """Map a reply to a call outcome. Only a reply marked as declined proves that the call never ran."""
    if declined:
        return Outcome.TURNED_AWAY
    if 200 <= status < 300:
        return Outcome.OK
    return Outcome.TIMED_OUT if status == 504 else Outcome.ERROR


class Call:
    """One call. ``deadline_us``: when its timeout ends; ``single_attempt``: it must not be made a second time."""

    __slots__ = ("ident", "txn", "deadline_us", "body", "single_attempt", "finished")

    def __init__(self, ident: int, txn: str, deadline_us: int, body: bytes, single_attempt: bool) -> None:
        self.ident, self.txn, self.deadline_us, self.body = ident, txn, deadline_us, body
        self.single_attempt, self.finished = single_attempt, False


class BackendConnection(Connection):
    """One keep-alive connection. ``call`` is the call in flight, if any."""

    def __init__(self, event_loop: EventLoop, client: BackendClient, endpoint: Endpoint) -> None:
        super().__init__(event_loop, INBOUND_BUFFER_BYTES, OUTBOUND_BUFFER_BYTES)
        self.client, self.endpoint = client, endpoint
        self.call: Call | None = None
        self.reader = ReplyReader()
        # Time of the last use, and time from which the connection may be reused.
        self.last_used_us = self.reusable_at_us = event_loop.clock.now_us

    def on_connected(self) -> None:
        self.client.connection_opened(self)

    def start(self, call: Call, host: bytes, path: bytes) -> None:
        self.call, self.reader = call, ReplyReader()
        timeout_ms = max(1, (call.deadline_us - self.event_loop.clock.now_us) // 1000)
        self.send(
            b"POST %b HTTP/1.1\r\nHost: %b\r\nX-On-Behalf: %b\r\nX-Patience: %d\r\nContent-Length: %d\r\n\r\n%b"
            % (path, host, call.txn.encode(), timeout_ms, len(call.body), call.body)
        )

    def dataReceived(self, data: bytes) -> None:
        if self.call is None and not self.closing:  # no call is in flight: the bytes must not be read as a later reply
            self.event_loop.begin_iteration()
            self.abort_unsolicited()
            return
        super().dataReceived(data)

    def abort_unsolicited(self) -> None:
        """Reset the connection, since bytes were received that answer no call."""
        self.client.events.counters["stray_bytes"] += 1
        self.abort()

    def reject_input(self) -> None:
        self.client.events.counters["bad_replies"] += 1
        self.abort()

    def lineReceived(self, line: bytes) -> None:
        try:
            if not self.reader.feed_line(line):
                return
        except ReplyError:
            self.reject_input()
            return
        if self.reader.content_length:
            self.expect(self.reader.content_length)
        else:
            self.reply_complete(b"")

    def blockReceived(self, block: bytes) -> None:
        self.reply_complete(block)

    def reply_complete(self, body: bytes) -> None:
        call, self.call = self.call, None
        self.last_used_us = self.event_loop.clock.now_us
        self.reusable_at_us = self.last_used_us + SETTLE_US
        if len(self.inbound):  # the reply is valid; the bytes after it answer no call
            self.abort_unsolicited()
        elif not self.reader.keep_alive:
            self.close()
        if call is not None:
            status, declined = self.reader.status, self.reader.declined
            awaited = not (declined and status == HTTP_CONFLICT)
            self.client.reply_received(self, call, outcome_of(status, declined), body, awaited)

    def on_disconnected(self) -> None:
        call, self.call = self.call, None
        self.client.connection_lost(self, call)


class Endpoint(ClientFactory):
    """One address of the backend. Once ``closed``, a connection that is still being opened is closed when it is up."""

    noisy = False

    def __init__(self, client: BackendClient, host: str, port: int) -> None:
        self.client, self.host, self.port = client, host, port
        self.host_header = f"{host}:{port}".encode()
        self.connecting_count = 0
        self.closed = False

    def connect(self) -> None:
        self.connecting_count += 1
        self.client.event_loop.reactor.connectTCP(self.host, self.port, self, timeout=CONNECT_TIMEOUT_S)

    def buildProtocol(self, addr: Any) -> BackendConnection:
        return BackendConnection(self.client.event_loop, self.client, self)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.connecting_count -= 1
        self.client.connect_failed(self)

    def clientConnectionLost(self, connector: Any, reason: Failure = connectionDone) -> None:
        """The connection reports its own loss with ``BackendClient.connection_lost``."""


class BackendClient:
    """The calls in flight or queued, and the connections that they use. A failed connection attempt proves that a call
    never ran; a connection that is lost during a call leaves that open."""

    def __init__(
        self,
        event_loop: EventLoop,
        events: CallEvents,
        host: str,
        port: int,
        max_connections: int,
        path: str = "/fetch",
        ramp: Ramp | None = None,
    ) -> None:
        """``ramp``: paces calls while the backend may be cold; its state outlives connections and addresses."""
        self.event_loop, self.events, self.path, self.max_connections = (
            event_loop,
            events,
            path.encode(),
            max_connections,
        )
        self.endpoint = Endpoint(self, host, port)
        self.idle_connections: list[BackendConnection] = []
        self.calls: dict[int, Call] = {}
        self.deadlines = Deadlines(self.calls)
        self.expiry_timer_at: int | None = None  # when ``expire_calls`` runs next
        self.busy_connections: dict[int, BackendConnection] = {}  # by the identifier of the call in flight
        self.queue: deque[Call] = deque()
        self.connection_count = 0  # connections, those being opened included
        self.settle_timer_set = False  # queued calls wait until a connection has been silent for ``SETTLE_US``
        self.ramp = ramp
        self.pace_timer_at: int | None = None  # when the ramp permits the next call

    def call(self, ident: int, txn: str, timeout_us: int, body: bytes, single_attempt: bool) -> None:
        """Queue a call. ``single_attempt``: it must not be repeated if its connection is lost."""
        if self.endpoint.closed:
            self.events.call_ended(ident, Outcome.UNREACHABLE, b"")
            return
        call = Call(ident, txn, self.event_loop.clock.now_us + timeout_us, body, single_attempt)
        self.calls[ident] = call
        self.deadlines.add(call.deadline_us + TIMEOUT_MARGIN_US, ident)
        self._schedule_expiry()
        self.queue.append(call)
        self.dispatch()

    def dispatch(self) -> None:
        """Send queued calls on idle connections, and open connections for those that may be sent but have none."""
        waiting, self.queue = self.queue, deque()
        now, ramp = self.event_loop.clock.now_us, self.ramp
        while waiting:
            call = waiting.popleft()
            if call.finished:
                continue
            if ramp is not None and (ramp.paced or now - ramp.last_sent_at_us > ramp.tier.warming_us):
                due = ramp.next_send_time(now)
                if due > now:
                    waiting.appendleft(call)
                    self._dispatch_at(due)
                    break
            if connection := self.take_idle_connection(call.single_attempt):
                self.busy_connections[call.ident] = connection
                connection.start(call, connection.endpoint.host_header, self.path)
                if ramp is None:
                    continue
                if ramp.paced:
                    ramp.on_call_sent(now, len(waiting) + len(self.queue))
                else:
                    ramp.last_sent_at_us = now
            else:
                self.queue.append(call)
                if ramp is not None and ramp.paced:
                    break  # paced calls go one at a time: the next must not be sent before this one
        sendable_count = len(self.queue)
        if waiting:
            self.queue.extend(waiting)
        while self.endpoint.connecting_count < sendable_count and self.connection_count < self.max_connections:
            self.connection_count += 1
            self.endpoint.connect()
        if self.endpoint.connecting_count < sendable_count and self.idle_connections and not self.settle_timer_set:
            self.settle_timer_set = True
            self.event_loop.call_after(SETTLE_US, self.settle_timer_fired)
            # A settled connection was idle too long for the queued calls: it is closed to make room for a new one.
            if self.idle_connections[0].reusable_at_us <= self.event_loop.clock.now_us:
                self.idle_connections.pop(0).close()

    def settle_timer_fired(self) -> None:
        self.settle_timer_set = False
        self.dispatch()

    def _dispatch_at(self, due: int) -> None:
        if self.pace_timer_at is None or due < self.pace_timer_at:
            self.pace_timer_at = due
            self.event_loop.call_at(due, self._pace_timer_fired)

    def _pace_timer_fired(self) -> None:
        if self.pace_timer_at is not None and self.pace_timer_at <= self.event_loop.clock.now_us:
            self.pace_timer_at = None
            self.dispatch()

    def _record_outcome(self, good: bool) -> None:
        """Tell the ramp how a sent call or a connection attempt ended."""
        ramp = self.ramp
        if ramp is None:
            return
        if good and not ramp.paced:
            ramp.consecutive_failures = 0
        else:
            ramp.on_call_ended(self.event_loop.clock.now_us, good)

    def take_idle_connection(self, single_attempt: bool) -> BackendConnection | None:
        """The most recently used idle connection that has been silent long enough, if there is one."""
        now, idle = self.event_loop.clock.now_us, self.idle_connections
        for index in range(len(idle) - 1, -1, -1):
            connection = idle[index]
            if connection.closing or connection.lost:
                del idle[index]
            elif connection.last_used_us < now - MAX_IDLE_US:
                del idle[index]
                connection.close()
            elif connection.reusable_at_us <= now:
                if single_attempt and connection.last_used_us < now - MAX_IDLE_SINGLE_ATTEMPT_US:
                    return None  # the remaining ones have been idle for even longer
                del idle[index]
                return connection
        return None

    def readdress(self, host: str, port: int) -> None:
        """Send new calls to this address. Calls in flight finish at the old one: sent again they might run twice."""
        if self.endpoint.closed or (host, port) != (self.endpoint.host, self.endpoint.port):
            self.close_endpoint()
            self.endpoint = Endpoint(self, host, port)
            self.dispatch()

    def close_endpoint(self) -> None:
        """Close the idle connections to the current address now, and each busy one when its call is over."""
        self.endpoint.closed = True
        idle, self.idle_connections = self.idle_connections, []
        for connection in idle:
            connection.close()

    def clear_address(self) -> None:
        """No backend is configured until ``readdress`` sets one: queued calls end as unreachable, since they never
        ran. Calls in flight finish where they are and stay registered; a later call of the same request cancels
        them."""
        self.close_endpoint()
        waiting, self.queue = self.queue, deque()
        for call in waiting:
            self.finish_call(call, Outcome.UNREACHABLE, b"")

    def connection_opened(self, connection: BackendConnection) -> None:
        connection.endpoint.connecting_count -= 1
        connection.last_used_us = connection.reusable_at_us = self.event_loop.clock.now_us
        if connection.endpoint.closed:
            connection.close()
            return
        self.idle_connections.append(connection)
        self.dispatch()

    def connect_failed(self, endpoint: Endpoint) -> None:
        """A connection attempt failed: the call queued the longest ends as unreachable, since it never ran. A failure
        at an address that is no longer used says nothing about the current one."""
        self.event_loop.begin_iteration()
        self.connection_count -= 1
        while self.queue and not endpoint.closed:
            call = self.queue.popleft()
            if not call.finished:
                self.finish_call(call, Outcome.UNREACHABLE, b"")
                break
        if not endpoint.closed:
            self._record_outcome(False)
        self.dispatch()

    def reply_received(
        self,
        connection: BackendConnection,
        call: Call,
        outcome: Outcome,
        body: bytes,
        awaited: bool,
    ) -> None:
        if connection.endpoint.closed:
            connection.close()
        elif not connection.closing:
            self.idle_connections.append(connection)
        if self.ramp is not None:
            self._record_outcome(outcome is Outcome.OK)
        self.finish_call(call, outcome, body, awaited)
        self.dispatch()

    def connection_lost(self, connection: BackendConnection, call: Call | None) -> None:
        self.connection_count -= 1
        if connection in self.idle_connections:
            self.idle_connections.remove(connection)
        if call is not None:
            self._record_outcome(False)
            self.finish_call(call, Outcome.CUT_OFF, b"")
        self.dispatch()

    def finish_call(self, call: Call, outcome: Outcome, body: bytes, awaited: bool = True) -> None:
        if call.finished:
            return
        call.finished = True
        self.calls.pop(call.ident, None)
        self.busy_connections.pop(call.ident, None)
        if awaited:
            self.events.call_ended(call.ident, outcome, body)
        else:
            self.events.call_not_awaited(call.ident)

    def _schedule_expiry(self) -> None:
        first = self.deadlines.next_due_us
        if first is not None and (self.expiry_timer_at is None or first < self.expiry_timer_at):
            self.expiry_timer_at = first
            self.event_loop.call_at(first, self.expire_calls)

    def expire_calls(self) -> None:
        self.expiry_timer_at, now = None, self.event_loop.clock.now_us
        for ident in self.deadlines.pop_due(now):
            call = self.calls.get(ident)  # a later call of the same request may have this identifier by now
            if call is not None and call.deadline_us + TIMEOUT_MARGIN_US <= now:
                sent = ident in self.busy_connections
                if sent:
                    self._record_outcome(False)
                self.cancel_call(call)
                # A call that was never sent on a connection never ran.
                self.events.call_ended(ident, Outcome.TIMED_OUT if sent else Outcome.UNREACHABLE, b"")
        self._schedule_expiry()

    def cancel(self, ident: int) -> None:
        if call := self.calls.get(ident):
            self.cancel_call(call)

    def cancel_call(self, call: Call) -> None:
        """Cancel a call; if it was sent, reset its connection, which tells the backend that nobody waits for it."""
        call.finished = True
        self.calls.pop(call.ident, None)
        if connection := self.busy_connections.pop(call.ident, None):
            connection.call = None
            connection.abort()

    def stop(self) -> None:
        for connection in [*self.idle_connections, *self.busy_connections.values()]:
            connection.abort()

    def close_idle(self) -> None:
        used_before = self.event_loop.clock.now_us - MAX_IDLE_US
        for connection in [c for c in self.idle_connections if c.last_used_us < used_before]:
            self.idle_connections.remove(connection)
            connection.close()
