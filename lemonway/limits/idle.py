"""How long a node keeps idle connections of its callers, by the arrival rate and the time that requests wait unread.

Times are in milliseconds on the admission policy's clock, the rate is in arrivals per millisecond. The result is the
simulator protocol's ``keepalive`` action: a time in milliseconds, sent only when it changes."""

from __future__ import annotations

from ..interface import Action, KeepAlive

UNREAD_LEARNING_WEIGHT = 0.15  # of the newest arrival in the mean unread time: about the last dozen arrivals count
KEPT_IDLE_SHARE = 0.25  # part of the callers' own idle time for which connections are kept, if callers return in it
MIN_TTL_MS = 10.0  # the shortest time that the protocol allows, which means "close at once"
OVERLOAD_UNREAD_SHARE = 0.15  # unread time, as a share of the shortest target, from which reading is overloaded
RATE_WINDOW_MS = 5000.0  # of the mean arrival rate: a few dozen arrivals even at a few per second


class IdleConnectionTimeout:
    """Keeps idle connections only while the mean caller returns within the time kept, so that rare callers don't fill
    the connection table. While requests wait unread for too long, it keeps all: new connections cause that overload,
    and a full table turns new callers away before reading from them. Drawback: a few busy callers among many idle
    ones have to reconnect."""

    __slots__ = (
        "caller_idle_ms",
        "caller_count",
        "target_latency_ms",
        "unread_ms",
        "arrivals_per_ms",
        "rate_at_ms",
        "overload_until_ms",
        "sent_ttl_ms",
    )

    def __init__(self, caller_idle_ms: float, caller_count: int, target_latency_ms: float) -> None:
        """``caller_idle_ms``: time after which callers close idle connections (0: not known); ``caller_count``: number
        of callers that send to this node; ``target_latency_ms``: the shortest target latency of a request class."""
        self.caller_idle_ms, self.caller_count, self.target_latency_ms = caller_idle_ms, caller_count, target_latency_ms
        self.unread_ms = self.arrivals_per_ms = self.rate_at_ms = 0.0
        self.overload_until_ms = self.sent_ttl_ms = -1.0

    def on_arrival(self, now_ms: float, age_ms: float) -> None:
        """Records the arrival of a request, which reached the machine ``age_ms`` before."""
        self.unread_ms += UNREAD_LEARNING_WEIGHT * (age_ms - self.unread_ms)
        self.arrivals_per_ms += (
            1.0 / RATE_WINDOW_MS - min(1.0, (now_ms - self.rate_at_ms) / RATE_WINDOW_MS) * self.arrivals_per_ms
        )
        self.rate_at_ms = now_ms

    def update(self, now_ms: float, actions: list[Action]) -> None:
        """Appends a ``KeepAlive`` action if the time to keep idle connections changes."""
        kept_ms = max(MIN_TTL_MS, self.caller_idle_ms * KEPT_IDLE_SHARE)
        if self.unread_ms > OVERLOAD_UNREAD_SHARE * self.target_latency_ms:
            self.overload_until_ms = now_ms + self.caller_idle_ms
        ttl_ms = kept_ms if self.arrivals_per_ms * kept_ms > self.caller_count else MIN_TTL_MS
        ttl_ms = max(kept_ms, self.caller_idle_ms) if now_ms < self.overload_until_ms else ttl_ms
        if self.caller_idle_ms > 0 and ttl_ms != self.sent_ttl_ms:
            self.sent_ttl_ms = ttl_ms
            actions.append(KeepAlive(ttl_ms))
