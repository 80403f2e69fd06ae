"""How long a node keeps its callers' idle connections, from the rate of arrivals and how long they lie unread.

Times are milliseconds on the decision module's clock; the rate is arrivals a millisecond. The choice is the wire's
``keepalive`` (WIRE, actions): a number of milliseconds, sent only when it changes."""

from __future__ import annotations

from ..interface import Action, KeepAlive

LEARN = 0.15  # weight of the newest arrival in the time that requests lie unread: about the last dozen count
SHARE = 0.25  # share of the callers' idle time that unused connections are kept, if callers return in it
LEAST = 10.0  # ms, the shortest time to keep one that the wire allows: "close it at once"
LAG = 0.15  # share of the shortest aim that requests lie unread from which reading itself is drowned
RATE_SPAN = 5000.0  # ms over which the rate of arrivals is learned: a few dozen even at a few a second


class Idle:
    """Keep idle connections only while the mean caller returns within the time kept: guards against a table full
    of rare callers. Drowned in unread requests it keeps all: opening anew is what drowns it, a full table turns
    strangers back unseen. Harm: busy callers among many idle ones open anew."""

    __slots__ = ("caller_idle", "callers", "aim", "lag", "rate", "rate_at", "storm", "kept")

    def __init__(self, caller_idle: float, callers: int, aim: float) -> None:
        """``caller_idle``: ms after which callers close idle connections (0: not told); ``callers``: how many send
        here; ``aim``: the shortest aim of a class, in ms."""
        self.caller_idle, self.callers, self.aim = caller_idle, callers, aim
        self.lag = self.rate = self.rate_at = 0.0
        self.storm = self.kept = -1.0

    def arrived(self, now: float, age: float) -> None:
        """A request came, ``age`` ms after it reached the machine."""
        self.lag += LEARN * (age - self.lag)
        self.rate += 1.0 / RATE_SPAN - min(1.0, (now - self.rate_at) / RATE_SPAN) * self.rate
        self.rate_at = now

    def renew(self, now: float, out: list[Action]) -> None:
        """Say the time to keep idle connections where it is to change."""
        keep = max(LEAST, self.caller_idle * SHARE)
        if self.lag > LAG * self.aim:
            self.storm = now + self.caller_idle
        ttl = keep if self.rate * keep > self.callers else LEAST
        ttl = max(keep, self.caller_idle) if now < self.storm else ttl
        if self.caller_idle > 0 and ttl != self.kept:
            self.kept = ttl
            out.append(KeepAlive(ttl))
