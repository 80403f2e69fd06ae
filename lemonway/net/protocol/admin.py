"""HTTP/1.1 server of the admin address, for the platform's checks and on-call staff: one request per connection.

Serves ``GET /ready``, ``GET /metrics``, ``POST /drain`` and ``POST /undrain``. HTTP is parsed by ``twisted.web``; this
module adds the limits and the handlers. A 2xx status means yes or done, 4xx and 5xx mean no or failed. Every response
closes its connection. A request that is incomplete after ``REQUEST_TIMEOUT_S`` gets a 408, a body over
``MAX_BODY_BYTES`` (``MAX_BODY_BYTES_EXTRA_ROUTES`` with routes of other modules) or of unknown length a 413, a
malformed request Twisted's 400; each affects its own connection only. At most ``MAX_CONNECTIONS`` connections are open
at once: when a further one arrives, the oldest without a complete request is closed, so that clients that keep
connections open without a request cannot delay a response, due within 1 s."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.python.failure import Failure
from twisted.web import http, resource, server

REQUEST_TIMEOUT_S = 0.8  # until a request has to be complete; the response to any request is due within 1 s
MAX_BODY_BYTES = 4096  # drain and undrain need no body
MAX_BODY_BYTES_EXTRA_ROUTES = 96 * 1024  # with routes of other modules: a policy change is sent in one body
MAX_CONNECTIONS = 32  # connections at once; the clients are the platform's checks and a few people
GAUGES = ("in_flight", "policy_epoch", "control_version", "control_age_s")
METRIC_PREFIX = "edge_edge"  # of every metric name


# Path -> (method, handler); the handler takes the request body and returns the status code and the response body.
Routes = dict[bytes, tuple[bytes, Callable[[bytes], tuple[int, bytes]]]]


class AdminTarget(Protocol):
    """The node or control machine that the admin address reports on and drains."""

    @property
    def healthy(self) -> bool: ...

    def begin_drain(self) -> None: ...

    def end_drain(self) -> None: ...


def _label(value: str) -> str:
    """Escape a label value for the Prometheus text format (backslash, quote and newline)."""
    return value.replace("\\", "\\\\").replace('"', '\\"').replace("\n", "\\n")


def exposition(by_class: dict[str, dict[str, int]], unlabelled: dict[str, int]) -> bytes:
    """Format metrics in the Prometheus text format, version 0.0.4. ``by_class`` maps a metric to its count per request
    class, ``unlabelled`` a metric to its value. Names get ``METRIC_PREFIX`` and, for counters, no ``_total`` suffix."""
    lines: list[str] = []
    for metric, counts in by_class.items():
        lines.append(f"# TYPE {METRIC_PREFIX}_{metric} counter")
        lines.extend(f'{METRIC_PREFIX}_{metric}{{class="{_label(name)}"}} {count}' for name, count in counts.items())
    for metric, value in unlabelled.items():
        lines.append(f"# TYPE {METRIC_PREFIX}_{metric} {'gauge' if metric in GAUGES else 'counter'}")
        lines.append(f"{METRIC_PREFIX}_{metric} {value}")
    return ("\n".join(lines) + "\n").encode()


class _AdminResource(resource.Resource):
    """Dispatches each request to the handler of its path."""

    isLeaf = True

    def __init__(
        self, target: AdminTarget, metrics_text: Callable[[], bytes], counters: Any, extra_routes: Routes
    ) -> None:
        super().__init__()  # type: ignore[no-untyped-call]
        self.target, self.metrics_text, self.counters = target, metrics_text, counters
        self.routes: Routes = {
            b"/ready": (b"GET", self._ready),
            b"/metrics": (b"GET", self._metrics),
            b"/drain": (b"POST", self._drain),
            b"/undrain": (b"POST", self._undrain),
            **extra_routes,
        }

    def render(self, request: Any) -> bytes:
        request.setHeader(b"connection", b"close")
        request.channel.persistent = False  # one request per connection: closed after this response
        request.setHeader(b"content-type", b"text/plain; charset=utf-8")
        self.counters["admin_calls"] += 1
        route = self.routes.get(request.path)
        if route is None:
            request.setResponseCode(http.NOT_FOUND)
            self.counters["admin_not_found"] += 1
            return b"no such call: GET /ready, GET /metrics, POST /drain, POST /undrain\n"
        method, handler = route
        if request.method != method and not (method == b"GET" and request.method == b"HEAD"):
            request.setResponseCode(http.NOT_ALLOWED)
            request.setHeader(b"allow", method)
            self.counters["admin_bad_method"] += 1
            return method + b" only\n"
        code, text = handler(request.content.read())
        request.setResponseCode(code)
        return text

    def _ready(self, body: bytes) -> tuple[int, bytes]:
        return (200, b"yes\n") if self.target.healthy else (503, b"no\n")

    def _metrics(self, body: bytes) -> tuple[int, bytes]:
        return 200, self.metrics_text()

    def _drain(self, body: bytes) -> tuple[int, bytes]:
        self.target.begin_drain()
        return 200, b"done\n"

    def _undrain(self, body: bytes) -> tuple[int, bytes]:
        self.target.end_drain()
        return 200, b"done\n"


class _Channel(http.HTTPChannel):
    """One connection. It removes itself from ``factory_channels``, the factory's open channels, when it is lost."""

    counters: Any
    factory_channels: dict[Any, None]
    max_body_bytes = MAX_BODY_BYTES
    rejected = False

    def allHeadersReceived(self) -> None:
        """Reject a body that is too long or of unknown length before any of it is stored."""
        if self.length is None or self.length > self.max_body_bytes:
            self.counters["admin_too_large"] += 1
            self._reject(b"413 Content Too Large")
            return
        super().allHeadersReceived()  # type: ignore[no-untyped-call]

    def dataReceived(self, data: bytes) -> None:
        if not self.rejected:
            super().dataReceived(data)  # type: ignore[no-untyped-call]

    def timeoutConnection(self) -> None:
        """The request is incomplete after ``REQUEST_TIMEOUT_S``: respond with a 408 and close this connection."""
        self.counters["admin_timeouts"] += 1
        if not self._handlingRequest:
            self._reject(b"408 Request Timeout")
        else:
            super().timeoutConnection()  # type: ignore[no-untyped-call]

    def _reject(self, status: bytes) -> None:
        # Follows Twisted's own response to a bad request: send the status line, then close this connection.
        self.rejected = True
        transport: Any = self.transport
        transport.write(b"HTTP/1.1 " + status + b"\r\nconnection: close\r\ncontent-length: 0\r\n\r\n")
        self.loseConnection()  # type: ignore[no-untyped-call]

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.factory_channels.pop(self, None)
        super().connectionLost(reason)  # type: ignore[no-untyped-call]


class AdminSite(server.Site):
    """Factory of the admin connections. ``counters`` is the counter table of the node or control machine;
    ``extra_routes``: handlers of other modules."""

    noisy = False
    protocol = _Channel  # type: ignore[assignment]  # the plain HTTP/1.1 channel: no other protocol is offered

    def __init__(
        self,
        target: AdminTarget,
        metrics_text: Callable[[], bytes],
        counters: Any,
        extra_routes: Routes | None = None,
    ) -> None:
        super().__init__(  # type: ignore[no-untyped-call]
            _AdminResource(target, metrics_text, counters, extra_routes or {}), timeout=REQUEST_TIMEOUT_S
        )
        self.counters, self.max_body_bytes = counters, MAX_BODY_BYTES_EXTRA_ROUTES if extra_routes else MAX_BODY_BYTES
        self.open_channels: dict[Any, None] = {}  # in the order opened

    def log(self, request: Any) -> None:
        """Write no access log: the platform sends ten requests a second."""

    def buildProtocol(self, addr: Any) -> Any:
        if len(self.open_channels) >= MAX_CONNECTIONS:
            # The oldest connection without a complete request is closed to accept the new one, whose response is due
            # within 1 s. If each has a complete request that is being handled, the new one is closed unread.
            incomplete = next((c for c in self.open_channels if not c._handlingRequest), None)
            self.counters["admin_over"] += 1
            if incomplete is None:
                return None
            del self.open_channels[incomplete]
            incomplete.transport.abortConnection()
        channel = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        channel.counters, channel.factory_channels, channel.max_body_bytes = (
            self.counters,
            self.open_channels,
            self.max_body_bytes,
        )
        self.open_channels[channel] = None
        return channel
