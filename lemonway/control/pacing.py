"""Rate-limited catch-up for subscribers that lack more than a few versions.

A subscriber is sent the tail of the log, or a snapshot where the log does not reach back far enough. The number of
concurrent transfers and their total rate in bytes per second are limited; subscribers are served round-robin, one piece
at a time, each within a window of unacknowledged pieces."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable

from .messages import Delta, FromPublisher
from .replica import Replica
from .roster import Roster
from .snapshot import Snapshot
from .subscription import Subscription, SubscriptionEvent, SubscriptionState
from .terms import SECOND, PublishTerms
from .versions import VersionLog, estimated_size_bytes

NEVER_DUE = 1 << 62  # value of ``due`` when nothing is scheduled
PACING_INTERVAL_US = 10_000  # between two steps of the pacer
MAX_BURST_US = 20_000  # the allowance accumulates at most the bytes of this period
MAX_CACHED_SNAPSHOTS = 2  # versions of the table that are cached as snapshots at a time


class SnapshotCache:
    """Caches encoded snapshots while a subscriber needs them, and the newest one for ``snapshot_cache_ttl_us``
    longer."""

    def __init__(self, replica: Replica, log: VersionLog, terms: PublishTerms, counters: Counter[str]) -> None:
        self.replica, self.log, self.terms, self.counters = replica, log, terms, counters
        self.entries: list[Snapshot] = []

    def get(self) -> Snapshot | None:
        """The newest snapshot, if the versions after it take at most half of the log; else a new one. ``None`` if a new
        one is needed and the cache is full."""
        if self.entries and self._can_continue_from(self.entries[-1]):
            return self.entries[-1]
        if len(self.entries) >= MAX_CACHED_SNAPSHOTS:
            return None
        self.entries.append(Snapshot(self.replica, self.terms.piece_bytes))
        self.counters["control_snapshots_made"] += 1
        return self.entries[-1]

    def _can_continue_from(self, snapshot: Snapshot) -> bool:
        if (snapshot.number, snapshot.digest) == (self.replica.number, self.replica.digest):
            return True
        size = self.log.bytes_after(snapshot.number)
        return size is not None and size <= self.terms.max_log_bytes // 2

    def release(self, needed: set[int], now: int) -> None:
        """Drop all snapshots but those whose ``id`` is in ``needed``, and the newest if it has not expired."""
        newest = self.entries[-1] if self.entries else None
        self.entries = [
            each for each in self.entries if id(each) in needed or (each is newest and now < self._expires_at_us(each))
        ]

    def _expires_at_us(self, snapshot: Snapshot) -> int:
        return snapshot.last_used_at_us + self.terms.snapshot_cache_ttl_us

    def due(self) -> int:
        """When the newest snapshot expires if no subscriber needs it."""
        return self._expires_at_us(self.entries[-1]) if self.entries else NEVER_DUE


class Pacer:
    """Holds the subscribers that are queued for a transfer, and those whose transfer is in progress."""

    def __init__(
        self,
        replica: Replica,
        log: VersionLog,
        terms: PublishTerms,
        roster: Roster,
        send: Callable[[Subscription, FromPublisher], None],
        counters: Counter[str],
        now: int,
    ) -> None:
        self.replica, self.log, self.terms, self.roster = replica, log, terms, roster
        self.send, self.counters = send, counters
        self.snapshots = SnapshotCache(replica, log, terms, counters)
        self._queue: deque[Subscription] = deque()  # in state QUEUED; may hold closed ones
        self._active: deque[Subscription] = deque()  # in state TAIL or SNAPSHOT; may hold closed ones
        self._allowance = 0  # bytes that may be sent now; negative after a large piece
        self._refilled_at_us = now

    def has_short_backlog(self, subscription: Subscription) -> bool:
        """Whether the log holds all versions that the subscriber lacks, and they are few enough to be sent at once."""
        size = self._tail_size(subscription)
        return size is not None and size <= self.terms.max_unpaced_tail_bytes

    def enqueue(self, subscription: Subscription) -> None:
        """Queue the subscriber for a transfer."""
        subscription.transition(SubscriptionEvent.BEHIND)
        subscription.snapshot = None
        self._queue.append(subscription)

    def step(self, now: int) -> None:
        """Start queued transfers, and send as much as the rate limit allows."""
        self._admit()
        self._refill_allowance(now)
        blocked = 0  # subscribers in a row whose window is full
        while self._active and self._allowance > 0 and blocked < len(self._active):
            subscription = self._active.popleft()
            if not self.roster.is_open(subscription):
                continue
            size = self._send_next(subscription, now)
            self._allowance -= size
            blocked = 0 if size else blocked + 1
            if subscription.state in (SubscriptionState.TAIL, SubscriptionState.SNAPSHOT):
                self._active.append(subscription)
        self._admit()
        self.snapshots.release({id(each.snapshot) for each in self._active if each.snapshot is not None}, now)

    def due(self, now: int) -> int:
        """Time of the next ``step``."""
        return now + PACING_INTERVAL_US if self._active or self._queue else self.snapshots.due()

    def _refill_allowance(self, now: int) -> None:
        rate = self.terms.transfer_bytes_per_s
        earned = rate * (now - self._refilled_at_us) // SECOND
        self._allowance = min(self._allowance + earned, rate * MAX_BURST_US // SECOND)
        self._refilled_at_us = now

    # starting transfers

    def _admit(self) -> None:
        while self._queue and len(self._active) < self.terms.max_concurrent_transfers:
            subscription = self._queue[0]
            if self.roster.is_open(subscription) and not self._begin_transfer(subscription):
                return
            self._queue.popleft()

    def _begin_transfer(self, subscription: Subscription) -> bool:
        """Start the transfer; false if it needs a snapshot and the cache is full."""
        if self._prefers_tail(subscription):
            subscription.transition(SubscriptionEvent.TAIL_BEGUN)
            self._active.append(subscription)
            return True
        snapshot = self.snapshots.get()
        if snapshot is None:
            return False
        subscription.transition(SubscriptionEvent.SNAPSHOT_BEGUN)
        subscription.snapshot, subscription.next_piece, subscription.pieces_acknowledged = snapshot, 0, 0
        self.counters["control_snapshots_begun"] += 1
        self.send(subscription, snapshot.begin)
        self._active.append(subscription)
        return True

    def _tail_size(self, subscription: Subscription) -> int | None:
        """Bytes of the versions that the subscriber lacks; ``None`` where the log does not hold them all."""
        if not self.log.holds_all_after(subscription.sent_number, subscription.digest):
            return None
        return self.log.bytes_after(subscription.sent_number)

    def _prefers_tail(self, subscription: Subscription) -> bool:
        if subscription.sent_number == self.replica.number:
            return True
        size = self._tail_size(subscription)
        return size is not None and size <= max(self.terms.max_unpaced_tail_bytes, self.replica.table.bytes)

    # sending

    def _send_next(self, subscription: Subscription, now: int) -> int:
        """Send one piece or one version; returns its size in bytes, 0 if the window is full or nothing is left."""
        if subscription.snapshot is not None:
            return self._send_piece(subscription, subscription.snapshot, now)
        return self._send_version(subscription)

    def _send_piece(self, subscription: Subscription, snapshot: Snapshot, now: int) -> int:
        snapshot.last_used_at_us = now
        if subscription.next_piece - subscription.pieces_acknowledged >= self.terms.max_unacknowledged_pieces:
            return 0
        piece = snapshot.piece(subscription.next_piece)
        subscription.next_piece += 1
        self.send(subscription, piece)
        if piece.last:
            subscription.sent_number, subscription.digest = snapshot.number, snapshot.digest
            subscription.window_start_number = snapshot.number
            subscription.snapshot = None
            subscription.transition(SubscriptionEvent.TAIL_BEGUN)
        return max(1, len(piece.resources))

    def _send_version(self, subscription: Subscription) -> int:
        if subscription.sent_number >= self.replica.number:
            subscription.transition(SubscriptionEvent.CURRENT)
            return 0
        version = self.log.successor(subscription.sent_number)
        if version is None:  # the log has been compacted since the transfer started
            self.enqueue(subscription)
            return 0
        if self._unacknowledged_bytes(subscription) > self.terms.max_unacknowledged_pieces * self.terms.piece_bytes:
            return 0
        subscription.sent_number, subscription.digest = version.number, version.digest
        self.send(subscription, Delta(version))
        return estimated_size_bytes(version)

    def _unacknowledged_bytes(self, subscription: Subscription) -> int:
        """Bytes of log versions that were sent to the subscriber and not acknowledged."""
        acknowledged = self.log.bytes_after(subscription.window_start_number)
        sent = self.log.bytes_after(subscription.sent_number)
        return 0 if acknowledged is None or sent is None else acknowledged - sent
