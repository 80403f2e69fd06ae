"""The publisher's state of one subscriber."""

from __future__ import annotations

from enum import Enum

from .messages import Report
from .snapshot import Snapshot


class SubscriptionState(Enum):
    """State of a subscription."""

    OPENED = "opened"  # connected; no message received yet
    LIVE = "live"  # receives each version as it is published
    QUEUED = "queued"  # waits for a transfer of the versions that it lacks
    TAIL = "tail"  # is being sent the versions that it lacks, from the log
    SNAPSHOT = "snapshot"  # is being sent a snapshot of the table


class SubscriptionEvent(Enum):
    """Event that changes the state of a subscription."""

    CURRENT = "current"  # lacks nothing, or few enough versions to send at once
    BEHIND = "behind"  # lacks more versions than are sent at once
    TAIL_BEGUN = "tail begun"
    SNAPSHOT_BEGUN = "snapshot begun"


_State, _Event = SubscriptionState, SubscriptionEvent
TRANSITIONS = {
    (_State.OPENED, _Event.CURRENT): _State.LIVE,
    (_State.OPENED, _Event.BEHIND): _State.QUEUED,
    (_State.LIVE, _Event.BEHIND): _State.QUEUED,
    (_State.QUEUED, _Event.CURRENT): _State.LIVE,
    (_State.QUEUED, _Event.TAIL_BEGUN): _State.TAIL,
    (_State.QUEUED, _Event.SNAPSHOT_BEGUN): _State.SNAPSHOT,
    (_State.TAIL, _Event.CURRENT): _State.LIVE,
    (_State.TAIL, _Event.BEHIND): _State.QUEUED,
    (_State.SNAPSHOT, _Event.CURRENT): _State.LIVE,
    (_State.SNAPSHOT, _Event.BEHIND): _State.QUEUED,
    (_State.SNAPSHOT, _Event.TAIL_BEGUN): _State.TAIL,
}


class Subscription:
    """A subscriber's connection, its identity, and the progress of its versions. Times are microseconds."""

    __slots__ = (
        "link",
        "state",
        "name",
        "incarnation",
        "is_relay",
        "sent_number",
        "digest",
        "acknowledged_number",
        "window_start_number",
        "last_message_at_us",
        "serving",
        "incompatibility",
        "report",
        "snapshot",
        "next_piece",
        "pieces_acknowledged",
    )

    def __init__(self, link: int, now: int) -> None:
        self.link, self.last_message_at_us = link, now
        self.state = SubscriptionState.OPENED
        self.name, self.incarnation, self.is_relay = "", 0, False
        self.sent_number = 0  # the last version that it has or was sent
        self.digest = b""  # of the version that it reported first, or of the last snapshot or paced version sent
        self.acknowledged_number = 0  # the last version that it reported as applied
        # ``acknowledged_number``, or the snapshot sent if later; versions after it are unacknowledged
        self.window_start_number = 0
        self.serving, self.incompatibility = False, ""
        self.report: Report | None = None
        self.snapshot: Snapshot | None = None
        self.next_piece = self.pieces_acknowledged = 0

    def transition(self, event: SubscriptionEvent) -> None:
        """Applies the event to the state. Raises ``KeyError`` if there is no such transition."""
        self.state = TRANSITIONS[self.state, event]
