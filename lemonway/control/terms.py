"""Figures of the control roles. Times are whole microseconds, sizes bytes."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000


@dataclass(frozen=True)
class WatchTerms:
    """One watch, at the subscriber's end."""

    heartbeat_us: int = SECOND  # between heartbeats, each of which asks for a grant
    silent_us: int = 3 * SECOND  # a publisher that has said nothing for so long is left
    acknowledge_us: int = 50_000  # an acknowledgement waits so long for further versions
    connect_us: int = 2 * SECOND  # for a connection to be made
    backoff_us: int = 200_000  # the first pause before the next connection; doubles, with full jitter
    backoff_most_us: int = 5 * SECOND
    spread_us: int = SECOND  # the loss of a working link is followed by a pause drawn up to this
    lapsed_us: int = 5 * SECOND  # a publisher that had no lease to give for so long is left; grows where none has one
    stuck_us: int = 30 * SECOND  # a publisher that is ahead for so long, and sends nothing of it, is left
    lease_most_us: int = 60 * SECOND  # a longer grant is refused


@dataclass(frozen=True)
class PublishTerms:
    """Watches, at the publisher's end."""

    subscribers_most: int = 2_000
    silent_us: int = 6 * SECOND  # a subscriber that has said nothing for so long is dropped
    retry_us: int = 3 * SECOND  # a subscriber that is refused is asked not to come before
    snapshots_most: int = 32  # snapshots and long tails being sent at one time; further subscribers wait
    snapshot_rate: int = 64 << 20  # bytes of them a second, over all subscribers
    snapshot_linger_us: int = 10 * SECOND  # an encoded snapshot is kept so long for the next who needs it
    piece_bytes: int = 16 << 10  # a subscriber takes one in about half a millisecond
    pieces_ahead: int = 32  # pieces on their way to one subscriber that it has not acknowledged
    tail_bytes: int = 256 << 10  # versions that are sent at once; more of them are paced as a snapshot is
    unacknowledged_most: int = 8 << 20  # bytes of versions on their way to one subscriber; past it the link is dropped
    table_bytes_most: int = 512 << 20  # a table past this is refused
    log_versions_most: int = 4_096
    log_bytes_most: int = 16 << 20


@dataclass(frozen=True)
class AgentTerms:
    """An image node's part."""

    watch: WatchTerms = WatchTerms()
    serve_when_lost: bool = True  # else the node takes no work once its lease is over
    stale_most_us: int = 3_600 * SECOND  # with ``serve_when_lost``: for so long past its lease
    table_bytes_most: int = 48 << 20  # a table past this is refused


@dataclass(frozen=True)
class VoterTerms:
    """A voter's part; its lease on the epoch in force is what every grant is cut from."""

    lease_us: int = 9 * SECOND
    heartbeat_us: int = SECOND // 4
    watch: WatchTerms = WatchTerms()  # of another voter, while this one lacks contents
    queue_most: int = 256  # proposals that wait
    wait_most_us: int = 30 * SECOND  # a proposal that could not be put to the voters for so long is refused
    operations_most: int = 1_000  # of one change
    change_bytes_most: int = 64 << 10
    retries_most: int = 16  # times a change is proposed anew because another was committed before it
