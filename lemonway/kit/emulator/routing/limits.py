"""Limits on a router's own sending: a retry budget, and client-side throttling by the share of refused requests. Both
are plain counters; the caller passes the time.

Sources: retry budgets as in Finagle; client-side throttling as in Site Reliability Engineering (2016), chapter 21."""

from __future__ import annotations

from math import exp


class RetryBudget:
    """Token bucket for retries: each first try adds ``retry_share`` tokens, each retry takes one. It starts with
    ``initial_tokens``, which is also its capacity, except that the capacity is at least one."""

    def __init__(self, retry_share: float, initial_tokens: float = 10.0) -> None:
        self.retry_share, self.max_tokens, self.tokens = retry_share, max(initial_tokens, 1.0), initial_tokens

    def add_first_try(self) -> None:
        self.tokens = min(self.max_tokens, self.tokens + self.retry_share)

    def take_retry(self) -> bool:
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


class Throttle:
    """Rejects requests before sending with the probability max(0, (requests - K x accepts) / (requests + 1)). Both
    counts decay exponentially with the time constant ``decay_us`` (microseconds)."""

    def __init__(self, decay_us: int = 10_000_000, k: float = 2.0) -> None:
        self.decay_us, self.k = decay_us, k
        self.requests = self.accepts = 0.0
        self._updated_at_us = 0

    def _decay(self, now_us: int) -> None:
        factor = exp(-(now_us - self._updated_at_us) / self.decay_us)
        self._updated_at_us, self.requests, self.accepts = now_us, self.requests * factor, self.accepts * factor

    def reject_probability(self, now_us: int) -> float:
        self._decay(now_us)
        return max(0.0, (self.requests - self.k * self.accepts) / (self.requests + 1.0))

    def record_request(self, now_us: int) -> None:
        self._decay(now_us)
        self.requests += 1.0

    def record_accept(self, now_us: int) -> None:
        self._decay(now_us)
        self.accepts += 1.0
