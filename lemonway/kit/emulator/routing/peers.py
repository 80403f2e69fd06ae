"""One router's view of one node: its own outstanding requests, their latency, the feedback received, and failures.
Times are microseconds of the event loop and are passed in by the caller."""

from __future__ import annotations

from dataclasses import dataclass, field

LATENCY_WEIGHT = 0.1  # weight of the newest response in the moving average of latency
EJECTION_FAILURES = 5  # consecutive failures that eject a peer (Envoy's outlier detection: consecutive 5xx)
BASE_EJECTION_US = 5_000_000  # times the number of ejections in a row, up to MAX_EJECTION_FACTOR
MAX_EJECTION_FACTOR = 8
UNHEALTHY_CHECKS = 2  # consecutive failed health checks that exclude a peer


@dataclass(slots=True)
class Peer:
    name: str
    position: int  # in the router's list of nodes
    weight: float = 1.0
    outstanding: int = 0
    latency_ms: float = 0.0  # moving average; 0 = not known yet
    min_rank: float = 0.0  # lowest priority rank that the node asks for
    min_rank_until: int = 0
    backoff_until: int = 0
    draining_until: int = 0
    consecutive_failures: int = 0
    ejections: int = 0
    ejected_until: int = 0
    failed_checks: int = 0
    current_weight: float = 0.0  # of smooth weighted round robin
    maybe_excluded: bool = False  # whether ``accepts`` has to be evaluated
    sent: int = 0
    answered: dict[str, int] = field(default_factory=dict)

    def on_feedback(self, now: int, min_rank: float | None, retry_after_ms: int, feedback_ttl_us: int) -> None:
        """Stores the feedback of an answer; ``min_rank`` is valid for ``feedback_ttl_us`` microseconds."""
        if min_rank is not None:
            self.min_rank, self.min_rank_until = min_rank, now + feedback_ttl_us
            self.maybe_excluded = True
        if retry_after_ms:
            self.backoff_until = max(self.backoff_until, now + retry_after_ms * 1000)
            self.maybe_excluded = True

    def on_drain(self, until: int) -> None:
        self.draining_until, self.maybe_excluded = until, True

    def on_restart(self) -> None:
        """A new process runs under this name: discards the feedback of the previous one."""
        self.draining_until = self.backoff_until = self.min_rank_until = 0

    def on_success(self, elapsed_ms: float) -> None:
        self.consecutive_failures = self.ejections = 0
        self.latency_ms += LATENCY_WEIGHT * (elapsed_ms - self.latency_ms) if self.latency_ms else elapsed_ms

    def on_failure(self, now: int) -> None:
        """Counts a failure (a refusal is none); consecutive failures eject the peer, each time for longer."""
        self.consecutive_failures += 1
        if self.consecutive_failures >= EJECTION_FAILURES:
            self.consecutive_failures = 0
            self.ejections = min(MAX_EJECTION_FACTOR, self.ejections + 1)
            self.ejected_until = now + BASE_EJECTION_US * self.ejections
            self.maybe_excluded = True

    def on_check(self, healthy: bool) -> None:
        self.failed_checks = 0 if healthy else self.failed_checks + 1
        self.maybe_excluded = self.maybe_excluded or not healthy

    def accepts(self, now: int, rank: float, follows_feedback: bool, ejects: bool, checks: bool) -> bool:
        """Whether a router with these features may send a request of this rank to the peer. The answer is always yes
        while ``maybe_excluded`` is false, so callers skip the call: that holds for most peers of a large fleet."""
        self.maybe_excluded = (
            self.failed_checks > 0
            or (self.min_rank > 0 and self.min_rank_until > now)
            or max(self.draining_until, self.backoff_until, self.ejected_until) > now
        )
        if self.draining_until > now:
            return False
        if follows_feedback and (self.backoff_until > now or (rank < self.min_rank and self.min_rank_until > now)):
            return False
        if ejects and self.ejected_until > now:
            return False
        return not (checks and self.failed_checks >= UNHEALTHY_CHECKS)
