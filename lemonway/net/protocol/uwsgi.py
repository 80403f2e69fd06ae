"""The uwsgi frontend: one uwsgi request per connection, answered in HTTP."""

from __future__ import annotations

import hashlib
import secrets
from collections.abc import Container, Mapping
from dataclasses import dataclass
from typing import Any

from twisted.internet.protocol import ServerFactory

from ...interface import Effect, Settings
from ..ports import Answer, Incoming, RequestHandler, Verdict
from ..transport.clock import EventLoop
from ..transport.connection import Connection

MAX_VARS_BYTES = 16 * 1024  # all variables of a request together
MAX_BODY_SETTING_BYTES = 16 * 1024  # the largest ``max_body`` that a site may configure
INBOUND_BUFFER_BYTES = MAX_VARS_BYTES + MAX_BODY_SETTING_BYTES + 32 * 1024  # the expected input plus one read
OUTBOUND_BUFFER_BYTES = 128 * 1024
PING_MODIFIER1, PONG_MODIFIER2 = 100, 1  # of a health check and of its answer
MAX_IDEMPOTENCY_KEY_CHARS = 256
# The variables that this frontend reads. A client may send thousands of others, which would take many times their size
# on the wire if each connection kept them until its answer.
USED_VARIABLES = frozenset(
    (
        "REQUEST_METHOD",
        "PATH_INFO",
        "REQUEST_URI",
        "QUERY_STRING",
        "HTTP_HOST",
        "SERVER_NAME",
        "CONTENT_LENGTH",
        "HTTP_TRANSFER_ENCODING",
        "HTTP_IDEMPOTENCY_KEY",
    )
)

REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    413: b"Content Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}


class UwsgiError(Exception):
    """A malformed packet or an invalid variable."""


class BodyTooLarge(UwsgiError):
    """A body over the site's ``max_body``."""


@dataclass(frozen=True)
class Location:
    """Which request class the requests under a path belong to."""

    path: str
    class_index: int
    exact: bool = False
    timeout_us: int = 0  # for which the caller waits; 0 = the class's deadline
    content_type: str = "application/octet-stream"


@dataclass(frozen=True)
class Site:
    """The settings of the uwsgi frontend, as read from ``deploy/uwsgi.toml``."""

    host: str
    port: int
    locations: tuple[Location, ...]
    tenants: Mapping[str, int]
    default_tenant: int | None = None
    max_connections: int = 256
    max_body_bytes: int = 2048
    read_timeout_us: int = 5_000_000  # from the connect to the end of the request
    memory_kb: float = 40.0  # memory to reserve for a request: a uwsgi client does not state it

    def find_location(self, path: str) -> Location | None:
        """The location for a path by the rules of nginx: an exact match wins, then the longest prefix."""
        best: Location | None = None
        for location in self.locations:
            if location.exact and location.path == path:
                return location
            if not location.exact and path.startswith(location.path):
                if best is None or len(location.path) > len(best.path):
                    best = location
        return best

    def tenant_for_host(self, host: str) -> int | None:
        """The tenant's index for a host name, which may include a port; None if the host is unknown."""
        name = host.strip().lower().rstrip(".")
        if not name.startswith("[") and ":" in name:
            name = name.rpartition(":")[0].rstrip(".")
        return self.tenants.get(name, self.default_tenant)


def parse_header(header: bytes) -> tuple[int, int, int]:
    """Modifier 1, the size of the variables (little-endian) and modifier 2."""
    return header[0], int.from_bytes(header[1:3], "little"), header[3]


def parse_vars(block: bytes, used: Container[str] | None = None) -> dict[str, str]:
    """The variables of a packet: names and values, each behind its size in two little-endian bytes. ``used``: the names
    to return (default: all)."""
    parsed: dict[str, str] = {}
    offset, end = 0, len(block)
    text = block.decode("latin-1")  # decoded once: latin-1 maps each byte to one character, so offsets hold in both
    name: str | None = None
    while offset < end:
        if offset + 2 > end:
            raise UwsgiError("size field is truncated")
        start = offset + 2
        offset = start + block[offset] + (block[offset + 1] << 8)
        if offset > end:
            raise UwsgiError("variable is truncated")
        if name is None:
            name = text[start:offset]
        elif name:
            if used is None or name in used:
                parsed[name] = text[start:offset]
            name = None
        else:
            raise UwsgiError("variable has an empty name")
    if name is not None:
        raise UwsgiError(f"{name[:40]} has no value")
    return parsed


def body_length(variables: Mapping[str, str], max_bytes: int) -> int:
    """The body's size in bytes, 0 without one. Raises BodyTooLarge over ``max_bytes``, and UwsgiError for an invalid
    length or a transfer encoding, with which the size is not known in advance."""
    raw = variables.get("CONTENT_LENGTH", "").strip()
    if variables.get("HTTP_TRANSFER_ENCODING"):
        raise UwsgiError("HTTP_TRANSFER_ENCODING is not supported; a body needs CONTENT_LENGTH")
    if not raw:
        return 0
    if not (raw.isascii() and raw.isdigit()) or len(raw) > 18:
        raise UwsgiError(f"CONTENT_LENGTH is invalid: {raw[:20]!r}")
    if int(raw) > max_bytes:
        raise BodyTooLarge(raw)
    return int(raw)


def http_status(answer: Answer) -> int:
    if answer.verdict is Verdict.SERVED:
        return 200
    if answer.late:
        return 504
    return 503 if answer.verdict is Verdict.REFUSED else 502


def encode_response(
    status: int,
    body: bytes = b"",
    retry_after_ms: int = 0,
    content_type: str = "text/plain",
    head_only: bool = False,
) -> bytes:
    """An HTTP response. ``head_only``: without the body, as the answer to a HEAD request."""
    lines = [
        b"HTTP/1.1 %d %b" % (status, REASON_PHRASES[status]),
        b"Content-Type: " + content_type.encode("latin-1"),
        b"Content-Length: %d" % len(body),
        b"Connection: close",
    ]
    if status == 503 and retry_after_ms > 0:
        lines.append(b"Retry-After: %d" % -(-retry_after_ms // 1000))  # whole seconds, rounded up
    return b"\r\n".join(lines) + b"\r\n\r\n" + (b"" if head_only else body)


class UwsgiConnection(Connection):
    """Reads one packet and its body, submits the request, writes the response and closes."""

    def __init__(self, event_loop: EventLoop, server: UwsgiServerFactory) -> None:
        super().__init__(event_loop, INBOUND_BUFFER_BYTES, OUTBOUND_BUFFER_BYTES)
        self.server, self.handler = server, server.handler
        self.state = "head"  # head, vars and body while reading; open once submitted; over once answered
        self.opened_at_us = event_loop.clock.now_us
        self.request_id = 0
        self.variables: dict[str, str] = {}
        self.location: Location | None = None
        self.tenant = 0

    def on_connected(self) -> None:
        self.opened_at_us = self.event_loop.clock.now_us
        self.server.connections[self] = None
        self.handler.frontend_connections[self] = None
        self.handler.counters["uwsgi_connections"] += 1
        self.expect(4)

    def on_disconnected(self) -> None:
        self.server.connections.pop(self, None)
        self.handler.frontend_connections.pop(self, None)
        if self.state == "open" and self.request_id:
            # A client that disconnects has abandoned its request, which needs no answer. Its idempotency entry stays.
            self.handler.abandon(self.request_id)
        self.state = "over"

    def lineReceived(self, line: bytes) -> None:
        """Ignored: the protocol has no lines, and nothing is read after the request."""

    def dataReceived(self, data: bytes) -> None:
        if self.state in ("open", "over"):  # input after the request is discarded
            self.event_loop.begin_iteration()
            return
        super().dataReceived(data)

    def blockReceived(self, block: bytes) -> None:
        if self.state == "head":
            modifier, size, _ = parse_header(block)
            if modifier == PING_MODIFIER1:
                if self.handler.healthy:  # as in uWSGI, an unhealthy node does not answer a ping
                    self.send(bytes((PING_MODIFIER1, 0, 0, PONG_MODIFIER2)))
                self.finish()
            elif modifier != 0 or not 0 < size <= MAX_VARS_BYTES:
                self.respond(400)
            else:
                self.state = "vars"
                self.expect(size)
        elif self.state == "vars":
            self.take_vars(block)
        elif self.state == "body":
            self.submit(block)

    def take_vars(self, block: bytes) -> None:
        try:
            variables = self.variables = parse_vars(block, USED_VARIABLES)
            size = body_length(variables, self.server.site.max_body_bytes)
            path = variables.get("PATH_INFO") or variables.get("REQUEST_URI", "").partition("?")[0]
            if not path.startswith("/") or not variables.get("REQUEST_METHOD"):
                raise UwsgiError("path or method is missing or invalid")
        except BodyTooLarge:
            self.respond(413)
            return
        except UwsgiError:
            self.respond(400)
            return
        self.location = self.server.site.find_location(path)
        tenant = self.server.site.tenant_for_host(variables.get("HTTP_HOST") or variables.get("SERVER_NAME", ""))
        if self.location is None or tenant is None:
            self.respond(404)
            return
        self.tenant = tenant
        if size:
            self.state = "body"
            self.expect(size)
        else:
            query = variables.get("QUERY_STRING", "")
            # A request without a body passes its path and query to the worker pool as the body.
            self.submit((path + ("?" + query if query else "")).encode("latin-1"))

    def submit(self, body: bytes) -> None:
        location, handler = self.location, self.handler
        if location is None or len(body) > self.server.site.max_body_bytes:
            self.respond(413)
            return
        idempotency_key = ""
        is_keyed = handler.settings.request_classes[location.class_index].effect is Effect.KEYED
        if is_keyed or "HTTP_IDEMPOTENCY_KEY" in self.variables:
            idempotency_key = self.read_idempotency_key(location.class_index)
        if is_keyed and not idempotency_key:  # without a key a duplicate could run twice
            self.respond(400)
            return
        self.state = "open"
        handler.counters["uwsgi_requests"] += 1
        request_id = handler.submit(
            Incoming(
                self,
                0,
                self.server.next_txn(),
                location.class_index,
                self.tenant,
                self.event_loop.clock.now_us,
                body,
                memory_kb=self.server.site.memory_kb,
                rank=self.server.class_ranks[location.class_index],
                idempotency_key=idempotency_key,
                timeout_us=location.timeout_us,
            )
        )
        self.request_id = request_id

    def read_idempotency_key(self, class_index: int) -> str:
        """The key of this request among all requests of the node; empty if its header is missing or too long."""
        key = self.variables.get("HTTP_IDEMPOTENCY_KEY", "").strip()
        if not 0 < len(key) <= MAX_IDEMPOTENCY_KEY_CHARS:
            return ""
        return hashlib.sha256(f"{self.tenant} {class_index} {key}".encode()).hexdigest()[:32]

    def respond(self, status: int) -> None:
        self.handler.counters[f"uwsgi_{status}"] += 1
        self.send(encode_response(status, REASON_PHRASES[status] + b"\n", head_only=self.is_head_request))
        self.finish()

    @property
    def is_head_request(self) -> bool:
        return self.variables.get("REQUEST_METHOD") == "HEAD"

    def finish(self) -> None:
        """Closes the connection after the response."""
        self.state = "over"
        self.close()

    def reject_input(self) -> None:
        if self.state in ("head", "vars", "body"):
            self.respond(400)

    def answer(self, tag: int, answer: Answer) -> None:
        if self.state != "open":
            return
        status = http_status(answer)
        self.handler.counters[f"uwsgi_{status}"] += 1
        served = status == 200 and self.location is not None
        body = answer.body if served else REASON_PHRASES[status] + b"\n"
        media_type = self.location.content_type if served and self.location is not None else "text/plain"
        self.send(encode_response(status, body, answer.retry_after_ms, media_type, self.is_head_request))
        self.finish()

    def answer_check(self, tag: int, ready: bool, feedback: float | None) -> None:
        """Not used: health checks are pings, which are answered at once."""

    def drain(self) -> None:
        """Nothing to announce: a connection carries a single request, so the client sends no more on it."""

    def close_when_idle(self) -> None:
        """Nothing to do: the connection closes once its request is answered or the read timeout is over."""

    def sweep(self) -> None:
        """Aborts if the request is incomplete at the read timeout: the client sends too slowly or has gone silent."""
        now = self.event_loop.clock.now_us
        if self.state in ("head", "vars", "body") and self.opened_at_us + self.server.site.read_timeout_us <= now:
            self.handler.counters["uwsgi_slow"] += 1
            self.abort()


class UwsgiServerFactory(ServerFactory):
    """Accepts the connections of uwsgi clients."""

    noisy = False

    def __init__(self, event_loop: EventLoop, handler: RequestHandler, site: Site, max_total_connections: int) -> None:
        """``max_total_connections``: limit for the open connections of all frontends together."""
        self.event_loop, self.handler, self.site, self.max_total_connections = (
            event_loop,
            handler,
            site,
            max_total_connections,
        )
        self.connections: dict[UwsgiConnection, None] = {}
        self.class_ranks = band_ranks(handler.settings)
        self._txn = secrets.randbits(64)

    def buildProtocol(self, addr: Any) -> UwsgiConnection | None:
        self.event_loop.begin_iteration()
        if (
            len(self.connections) >= self.site.max_connections
            or len(self.handler.frontend_connections) >= self.max_total_connections
        ):
            # Nothing has been read from the connection, so the client may safely retry on another node.
            self.handler.counters["uwsgi_over"] += 1
            return None
        return UwsgiConnection(self.event_loop, self)

    def next_txn(self) -> str:
        self._txn = (self._txn + 1) % 2**64
        return f"{self._txn:016x}"

    def sweep(self) -> None:
        for connection in list(self.connections):
            connection.sweep()


def band_ranks(settings: Settings) -> list[float]:
    """Each class's rank, since a uwsgi client states none: the range 0 to 1 is divided into equal bands in order of
    the classes' value, and a class gets the middle of its band."""
    order = sorted(range(len(settings.request_classes)), key=lambda n: (settings.request_classes[n].value, n))
    return [(order.index(n) + 0.5) / len(order) for n in range(len(order))]
