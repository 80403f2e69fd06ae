"""What bounds a router's own sending: a budget for further tries, and throttling by what is turned away. Pure counts;
time is handed in.

Sources: retry budgets as in Finagle; client-side throttling as in Site Reliability Engineering (2016), chapter 21."""

from __future__ import annotations

from math import exp


class RetryBudget:
    """Further tries may be a ``share`` of first tries, with a few to begin with."""

    def __init__(self, share: float, spare: float = 10.0) -> None:
        self.share, self.most, self.left = share, max(spare, 1.0), spare

    def first(self) -> None:
        self.left = min(self.most, self.left + self.share)

    def take(self) -> bool:
        if self.left < 1.0:
            return False
        self.left -= 1.0
        return True


class Throttle:
    """Turns away, before sending, with the chance max(0, (asked - K x taken) / (asked + 1)); both counts fade over
    ``span`` microseconds."""

    def __init__(self, span: int = 10_000_000, k: float = 2.0) -> None:
        self.span, self.k = span, k
        self.asked = self.taken = 0.0
        self._at = 0

    def _fade(self, now: int) -> None:
        kept = exp(-(now - self._at) / self.span)
        self._at, self.asked, self.taken = now, self.asked * kept, self.taken * kept

    def chance(self, now: int) -> float:
        self._fade(now)
        return max(0.0, (self.asked - self.k * self.taken) / (self.asked + 1.0))

    def ask(self, now: int) -> None:
        self._fade(now)
        self.asked += 1.0

    def take(self, now: int) -> None:
        self._fade(now)
        self.taken += 1.0
