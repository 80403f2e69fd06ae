"""The lease that a subscriber holds through the grants of its publisher.

A grant answers a heartbeat and echoes its stamp, a reading of the subscriber's own clock. The publisher computes the
remaining time of its own lease after it has read the heartbeat, and the subscriber counts that time from the stamp.
Its lease therefore never outlasts the publisher's, and readings of two clocks are never compared."""

from __future__ import annotations

from .messages import Grant

NEVER = -(1 << 62)  # a time before all others


class Lease:
    """While valid, the subscriber knows that its version was in force less than one lease duration ago."""

    __slots__ = ("expires_at_us", "number")

    def __init__(self) -> None:
        self.expires_at_us = NEVER
        self.number = 0  # the highest version number in the accepted grants

    def accept_grant(self, grant: Grant, applied_number: int) -> bool:
        """Accept the grant, from its stamp on, if ``applied_number``, the version in force here, is not behind it."""
        if grant.remaining_us <= 0 or applied_number < grant.number:
            return False
        self.expires_at_us = max(self.expires_at_us, grant.stamp + grant.remaining_us)
        self.number = max(self.number, grant.number)
        return True

    def is_valid(self, now: int) -> bool:
        """Whether the lease is valid."""
        return now < self.expires_at_us

    def remaining_us(self, now: int) -> int:
        """Microseconds until the lease expires; 0 once it has expired."""
        return max(0, self.expires_at_us - now)
