"""The lease that a subscriber holds by the grants of its publisher.

A grant answers a heartbeat and gives back its stamp, which is of the subscriber's own clock. The publisher cuts what
remains of its own lease after it has read the heartbeat, so the subscriber, who counts from the stamp, never holds its
lease for longer than the publisher holds the one it was cut from. No two clocks are compared."""

from __future__ import annotations

from .messages import Grant

NEVER = -(1 << 62)


class Lease:
    """Until when this subscriber knows that what it has was in force less than one lease ago."""

    __slots__ = ("until", "number")

    def __init__(self) -> None:
        self.until = NEVER
        self.number = 0  # what was in force by the last grant held

    def hold(self, grant: Grant, held: int) -> bool:
        """Hold the grant from its stamp on, if ``held``, the number that is in force here, is not behind it."""
        if grant.remaining <= 0 or held < grant.number:
            return False
        self.until = max(self.until, grant.stamp + grant.remaining)
        self.number = max(self.number, grant.number)
        return True

    def holds(self, now: int) -> bool:
        """Whether the lease lasts."""
        return now < self.until

    def remaining(self, now: int) -> int:
        """For how long it lasts yet; 0 once it is over."""
        return max(0, self.until - now)
