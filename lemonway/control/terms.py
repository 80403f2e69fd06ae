"""Limits and intervals of the control roles. Times are whole microseconds, sizes bytes."""

from __future__ import annotations

from dataclasses import dataclass

SECOND = 1_000_000


@dataclass(frozen=True)
class WatchTerms:
    """Parameters of a watch at the subscriber."""

    heartbeat_us: int = SECOND  # interval between heartbeats, each of which requests a grant
    publisher_silence_timeout_us: int = 3 * SECOND  # without a message for this long, the publisher is replaced
    acknowledge_delay_us: int = 50_000  # delay of an acknowledgement, to cover further versions
    connect_timeout_us: int = 2 * SECOND  # connect timeout
    initial_backoff_us: int = 200_000  # first reconnect delay; doubles on each failure, with full jitter
    max_backoff_us: int = 5 * SECOND
    reconnect_jitter_us: int = SECOND  # upper limit of the random delay after losing a working connection
    leaseless_timeout_us: int = 5 * SECOND  # a publisher with no lease for this long is replaced; grows if none has one
    stuck_timeout_us: int = 30 * SECOND  # a publisher that is ahead but sends no versions for this long is replaced
    max_lease_us: int = 60 * SECOND  # a longer grant is rejected as invalid


@dataclass(frozen=True)
class PublishTerms:
    """Parameters of watches at the publisher."""

    max_subscribers: int = 2_000
    subscriber_silence_timeout_us: int = 6 * SECOND  # without a message for this long, the subscriber is dropped
    refusal_retry_us: int = 3 * SECOND  # retry delay sent to a refused subscriber
    max_concurrent_transfers: int = 32  # concurrent transfers of snapshots and long tails; further subscribers queue
    transfer_bytes_per_s: int = 64 << 20  # transfer rate in bytes per second, over all subscribers
    snapshot_cache_ttl_us: int = 10 * SECOND  # an encoded snapshot is kept this long for reuse
    piece_bytes: int = 16 << 10  # a subscriber processes one in about half a millisecond
    max_unacknowledged_pieces: int = 32  # unacknowledged pieces in flight to one subscriber
    max_unpaced_tail_bytes: int = 256 << 10  # versions sent at once; a longer tail is paced like a snapshot
    max_unacknowledged_bytes: int = (
        8 << 20
    )  # version bytes in flight to one subscriber; past this its connection is dropped
    max_table_bytes: int = 512 << 20  # a larger table is refused
    max_log_versions: int = 4_096
    max_log_bytes: int = 16 << 20


@dataclass(frozen=True)
class AgentTerms:
    """Parameters of an image node."""

    watch: WatchTerms = WatchTerms()
    serve_when_lost: bool = True  # if false, the node takes no work once its lease has expired
    max_stale_us: int = 3_600 * SECOND  # with ``serve_when_lost``: longest time to serve past the lease
    max_table_bytes: int = 48 << 20  # a larger table is refused


@dataclass(frozen=True)
class VoterTerms:
    """Parameters of a voter. Every grant is a part of the voter's lease on the epoch in force."""

    lease_us: int = 9 * SECOND
    heartbeat_us: int = SECOND // 4
    watch: WatchTerms = WatchTerms()  # for watching another voter, while contents are incomplete
    max_queued_proposals: int = 256  # queued proposals
    max_queue_time_us: int = 30 * SECOND  # a proposal that has been queued for this long is refused
    max_operations: int = 1_000  # operations in one change
    max_change_bytes: int = 64 << 10
    max_retries: int = 16  # retries of a change after another one was committed first
