"""Watches, at the publisher's end: a relay's of its nodes, a voter's of relays and of voters that lack contents.

Each subscriber is sent every version that follows what it has. One that lacks little gets it at once; one that lacks
more waits its turn for the tail of the log, or for a snapshot where the log does not reach back: so many at one time,
so many bytes a second over all of them, and no more ahead of its acknowledgements than a window. Whatever can't be is
counted and costs the link that said it."""

from __future__ import annotations

import logging
from collections import Counter, deque
from collections.abc import Sequence
from typing import Protocol

from .messages import (
    PROTOCOL,
    WORST_MOST,
    Acknowledge,
    Delta,
    Drop,
    FromPublisher,
    FromSubscriber,
    Grant,
    Heartbeat,
    PublisherOutput,
    Refuse,
    Report,
    Send,
    Watch,
)
from .replica import Replica
from .resources import NAME_MOST
from .roster import Roster
from .snapshot import Snapshot
from .subscription import Subscription, SubscriptionEvent, SubscriptionState
from .terms import SECOND, PublishTerms
from .versions import NO_DIGEST, Version, VersionLog, weight

log = logging.getLogger(__name__)

FAR = 1 << 62  # a moment that never comes
PACE_US = 10_000  # between steps of what is paced
BURST_US = 20_000  # unused allowance of bytes is kept for so long
SNAPSHOTS_MOST = 2  # versions of the table that are held encoded at one time
TEXT_MOST = 1_000  # characters of a reason that a subscriber gives
FAULTS_LOGGED = 20  # refused messages that are logged one by one


class Authority(Protocol):
    """What the publisher's grants are cut from."""

    def ready(self) -> bool:
        """Whether there is anything to publish; before that, subscribers are refused."""

    def remaining(self, now: int) -> int:
        """For how long the publisher's own lease lasts; 0 without one."""

    def voters(self, now: int) -> bool:
        """Whether it hears from the voters."""


class Publisher:
    """The subscribers and what each of them is sent. ``due``: when ``tick`` is wanted next."""

    def __init__(self, replica: Replica, terms: PublishTerms, authority: Authority, counters: Counter[str],
                 now: int) -> None:
        self.replica, self.terms, self.authority, self.counters = replica, terms, authority, counters
        self.log = VersionLog(terms.log_versions_most, terms.log_bytes_most)
        self.roster = Roster()
        self.due = FAR
        self._queue: deque[Subscription] = deque()  # QUEUED, and some that are gone
        self._paced: deque[Subscription] = deque()  # TAIL and SNAPSHOT, and some that are gone
        self._snapshots: list[Snapshot] = []
        self._allowance = 0  # bytes that may be sent at once; below 0 after a large piece
        self._allowed_at = now
        self._out: list[PublisherOutput] = []

    # the driver's calls

    def accepted(self, link: int, now: int) -> list[PublisherOutput]:
        """A subscriber has connected."""
        if len(self.roster) >= self.terms.subscribers_most:
            self.counters["control_full"] += 1
            return [Send(link, Refuse("as many subscribers as there may be", self.terms.retry_us)), Drop(link, "full")]
        self.roster.open(link, now)
        self.due = min(self.due, now + self.terms.silent_us)
        return []

    def lost(self, link: int, now: int) -> list[PublisherOutput]:
        """The link is gone."""
        self.roster.close(link)
        return []

    def receive(self, link: int, message: FromSubscriber, now: int) -> list[PublisherOutput]:
        """A message on the link."""
        subscription = self.roster.links.get(link)
        if subscription is None:
            self.counters["control_late_messages"] += 1
            return []
        self.roster.heard(subscription, now)
        if isinstance(message, Watch):
            self._on_watch(subscription, message, now)
        elif subscription.state is SubscriptionState.OPENED:
            self._strange(subscription, f"a {type(message).__name__} before the watch")
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(subscription, message, now)
        elif isinstance(message, Acknowledge):
            self._on_acknowledge(subscription, message, now)
        elif isinstance(message, Report):
            self._on_report(subscription, message)
        else:
            self._strange(subscription, f"a {type(message).__name__} from a subscriber")
        return self._take()

    def tick(self, now: int) -> list[PublisherOutput]:
        """Drop who is silent, and send what is paced."""
        if now < self.due:
            return []
        while (oldest := self.roster.oldest()) is not None and now >= oldest.heard_at + self.terms.silent_us:
            self.counters["control_silent_subscribers"] += 1
            self._drop(oldest, f"nothing was heard for {now - oldest.heard_at} us")
        self._pace(now)
        self._release(now)
        self.due = self._next(now)
        return self._take()

    # the owner's calls

    def restore(self, versions: Sequence[Version]) -> None:
        """The log of a former life, whose last version is in force here."""
        for version in versions:
            self.log.append(version)

    def publish(self, version: Version) -> list[PublisherOutput]:
        """The version was applied to the replica: send it to all who have what it follows."""
        self.log.append(version)
        delta = Delta(version)
        met: list[Subscription] = []
        slow: list[Subscription] = []
        for subscription in self.roster:
            if subscription.state is not SubscriptionState.LIVE:
                continue
            if subscription.sent != version.parent:
                met.append(subscription)
            elif self._unacknowledged(subscription) > self.terms.unacknowledged_most:
                slow.append(subscription)
            else:
                subscription.sent = version.number
                self._out.append(Send(subscription.link, delta))
        for subscription in met:
            self._meet(subscription, version)
        for subscription in slow:
            self.counters["control_slow_subscribers"] += 1
            self._drop(subscription, "too many versions are on their way to it")
        return self._take()

    def replaced(self) -> list[PublisherOutput]:
        """The replica's table was replaced by a later one: nobody has what follows."""
        self.log.clear()
        for subscription in [each for each in self.roster if each.state is SubscriptionState.LIVE]:
            if subscription.sent < self.replica.number:
                self._enqueue(subscription)
            elif subscription.sent == self.replica.number and subscription.digest != self.replica.digest:
                self._other_history(subscription, subscription.sent)
        return self._take()

    def report(self) -> Report:
        """On the nodes that watch here."""
        return self.roster.report(self.replica.number)

    # subscribers

    def _on_watch(self, subscription: Subscription, watch: Watch, now: int) -> None:
        if subscription.state is not SubscriptionState.OPENED:
            self._strange(subscription, "a second watch on one link")
        elif watch.protocol != PROTOCOL:
            self._refuse(subscription, f"protocol {watch.protocol}, {PROTOCOL} is spoken here")
        elif not 0 < len(watch.name) <= NAME_MOST or len(watch.digest) != len(NO_DIGEST) or watch.number < 0:
            self._strange(subscription, "a watch without a name, a number or a digest")
        elif not self.authority.ready():
            self._refuse(subscription, "nothing to publish yet")
        elif self._replace(subscription, watch):
            self._begin(subscription, watch, now)

    def _replace(self, subscription: Subscription, watch: Watch) -> bool:
        """A newer life of a name, or a newer link of the same life, takes the older one's place."""
        older = self.roster.names.get(watch.name)
        if older is None:
            return True
        if older.life > watch.life:
            self.counters["control_older_lives"] += 1
            self._drop(subscription, f"a later process of {watch.name} watches")
            return False
        self.counters["control_replaced"] += 1
        self._drop(older, f"{watch.name} watches on another link")
        return True

    def _begin(self, subscription: Subscription, watch: Watch, now: int) -> None:
        subscription.name, subscription.life, subscription.relay = watch.name, watch.life, watch.relay
        subscription.sent = subscription.acknowledged = subscription.window_from = watch.number
        subscription.digest = watch.digest
        self.roster.name(subscription)
        replica = self.replica
        if watch.number > replica.number:  # it waits until the versions here have come so far
            subscription.move(SubscriptionEvent.CURRENT)
        elif watch.number == replica.number:
            if watch.digest != replica.digest:
                self._other_history(subscription, watch.number)
            else:
                subscription.move(SubscriptionEvent.CURRENT)
        elif self.log.reaches(watch.number, watch.digest) and self._is_short(watch.number):
            self._send_tail(subscription)
            subscription.move(SubscriptionEvent.CURRENT)
        else:
            self._enqueue(subscription)
            self.due = now

    def _is_short(self, number: int) -> bool:
        size = self.log.bytes_after(number)
        return size is not None and size <= self.terms.tail_bytes

    def _send_tail(self, subscription: Subscription) -> None:
        while (version := self.log.successor(subscription.sent)) is not None:
            subscription.sent = version.number
            self._send(subscription, Delta(version))

    def _meet(self, subscription: Subscription, version: Version) -> None:
        """A subscriber is ahead: once the versions here have come so far, they have to meet the one that it has."""
        passed = subscription.sent < version.number
        if passed or (subscription.sent == version.number and subscription.digest != version.digest):
            self._other_history(subscription, subscription.sent)

    def _other_history(self, subscription: Subscription, number: int) -> None:
        self.counters["control_other_histories"] += 1
        self._refuse(subscription, f"its version {number} is of another history")

    def _on_heartbeat(self, subscription: Subscription, heartbeat: Heartbeat, now: int) -> None:
        if heartbeat.number < subscription.acknowledged or len(heartbeat.unfit) > TEXT_MOST:
            self._strange(subscription, f"back to {heartbeat.number} from {subscription.acknowledged}")
            return
        self.roster.acknowledge(subscription, heartbeat.number)
        self.roster.condition(subscription, heartbeat.serving, heartbeat.unfit)
        authority = self.authority
        self._send(subscription, Grant(heartbeat.stamp, self.replica.number, authority.remaining(now),
                                       authority.voters(now)))

    def _on_acknowledge(self, subscription: Subscription, message: Acknowledge, now: int) -> None:
        if message.number < subscription.acknowledged or not 0 <= message.pieces <= subscription.piece:
            self._strange(subscription, f"acknowledges {message.number} and {message.pieces} pieces")
            return
        self.roster.acknowledge(subscription, message.number)
        if subscription.state is SubscriptionState.SNAPSHOT:
            subscription.pieces_acknowledged = max(subscription.pieces_acknowledged, message.pieces)
        if subscription.state in (SubscriptionState.SNAPSHOT, SubscriptionState.TAIL):
            self.due = min(self.due, now + PACE_US)

    def _on_report(self, subscription: Subscription, report: Report) -> None:
        if not subscription.relay or len(report.worst) > WORST_MOST:
            self._strange(subscription, "a report of one that is no relay, or that names too many")
            return
        subscription.report = report

    # ends of links

    def _send(self, subscription: Subscription, message: FromPublisher) -> None:
        self._out.append(Send(subscription.link, message))

    def _drop(self, subscription: Subscription, reason: str) -> None:
        if self.roster.close(subscription.link) is not None:
            self._out.append(Drop(subscription.link, reason))

    def _refuse(self, subscription: Subscription, reason: str) -> None:
        self.counters["control_refusals"] += 1
        self._send(subscription, Refuse(reason, self.terms.retry_us))
        self._drop(subscription, reason)

    def _strange(self, subscription: Subscription, reason: str) -> None:
        self.counters["control_strange"] += 1
        if self.counters["control_strange"] <= FAULTS_LOGGED:
            log.warning("control: subscriber %s: %s; its link is closed", subscription.name or "without a name", reason)
        self._drop(subscription, reason)

    def _here(self, subscription: Subscription) -> bool:
        return self.roster.links.get(subscription.link) is subscription

    # what is paced

    def _enqueue(self, subscription: Subscription) -> None:
        subscription.move(SubscriptionEvent.BEHIND)
        subscription.snapshot = None
        self._queue.append(subscription)
        self.due = min(self.due, self._allowed_at)

    def _unacknowledged(self, subscription: Subscription) -> int:
        """Bytes of versions that are on their way to it."""
        size = self.log.bytes_after(subscription.window_from)
        return self.terms.log_bytes_most if size is None else size

    def _pace(self, now: int) -> None:
        """Admit who waits, and send as many bytes as are allowed by now, one piece to each in turn."""
        self._admit(now)
        rate, passed = self.terms.snapshot_rate, now - self._allowed_at
        self._allowance = min(self._allowance + rate * passed // SECOND, rate * BURST_US // SECOND)
        self._allowed_at = now
        blocked = 0
        while self._paced and self._allowance > 0 and blocked < len(self._paced):
            subscription = self._paced.popleft()
            if not self._here(subscription):
                continue
            size = self._step(subscription, now)
            self._allowance -= size
            blocked = 0 if size else blocked + 1
            if subscription.state in (SubscriptionState.TAIL, SubscriptionState.SNAPSHOT):
                self._paced.append(subscription)
        self._admit(now)

    def _admit(self, now: int) -> None:
        while self._queue and len(self._paced) < self.terms.snapshots_most:
            subscription = self._queue[0]
            if self._here(subscription) and not self._admit_one(subscription, now):
                return
            self._queue.popleft()

    def _admit_one(self, subscription: Subscription, now: int) -> bool:
        """Begin to send what it lacks; not while too many versions of the table are held already."""
        if self._prefers_tail(subscription):
            subscription.move(SubscriptionEvent.TAIL_BEGUN)
            self._paced.append(subscription)
            return True
        snapshot = self._snapshot()
        if snapshot is None:
            return False
        subscription.move(SubscriptionEvent.SNAPSHOT_BEGUN)
        subscription.snapshot, subscription.piece, subscription.pieces_acknowledged = snapshot, 0, 0
        self.counters["control_snapshots_begun"] += 1
        self._send(subscription, snapshot.begin)
        self._paced.append(subscription)
        return True

    def _prefers_tail(self, subscription: Subscription) -> bool:
        if subscription.sent == self.replica.number:
            return True
        size = self.log.bytes_after(subscription.sent)
        if size is None or not self.log.reaches(subscription.sent, subscription.digest):
            return False
        return size <= max(self.terms.tail_bytes, self.replica.table.bytes)

    def _snapshot(self) -> Snapshot | None:
        """The one that is held, if the log goes on from it for a good while yet; else a new one."""
        if self._snapshots:
            newest = self._snapshots[-1]
            size = self.log.bytes_after(newest.number)
            current = (newest.number, newest.digest) == (self.replica.number, self.replica.digest)
            if current or (size is not None and size <= self.terms.log_bytes_most // 2):
                return newest
        if len(self._snapshots) >= SNAPSHOTS_MOST:
            return None
        self._snapshots.append(Snapshot(self.replica, self.terms.piece_bytes))
        self.counters["control_snapshots_made"] += 1
        return self._snapshots[-1]

    def _step(self, subscription: Subscription, now: int) -> int:
        """Send one piece, or one version; gives its bytes, 0 where the window is full or nothing is left."""
        if subscription.state is SubscriptionState.TAIL:
            return self._step_tail(subscription)
        snapshot = subscription.snapshot
        assert snapshot is not None
        snapshot.used_at = now
        if subscription.piece - subscription.pieces_acknowledged >= self.terms.pieces_ahead:
            return 0
        piece = snapshot.piece(subscription.piece)
        subscription.piece += 1
        self._send(subscription, piece)
        if piece.last:
            subscription.sent, subscription.digest = snapshot.number, snapshot.digest
            subscription.window_from = snapshot.number
            subscription.snapshot = None
            subscription.move(SubscriptionEvent.TAIL_BEGUN)
        return max(1, len(piece.resources))

    def _step_tail(self, subscription: Subscription) -> int:
        if subscription.sent >= self.replica.number:
            subscription.move(SubscriptionEvent.CURRENT)
            return 0
        version = self.log.successor(subscription.sent)
        if version is None:  # the log was compacted meanwhile
            self._enqueue(subscription)
            return 0
        if self._ahead(subscription) > self.terms.pieces_ahead * self.terms.piece_bytes:
            return 0
        subscription.sent, subscription.digest = version.number, version.digest
        self._send(subscription, Delta(version))
        return weight(version)

    def _ahead(self, subscription: Subscription) -> int:
        """Bytes of its tail that were sent and not acknowledged."""
        acknowledged = self.log.bytes_after(subscription.window_from)
        sent = self.log.bytes_after(subscription.sent)
        return 0 if acknowledged is None or sent is None else acknowledged - sent

    def _release(self, now: int) -> None:
        """Forget encoded snapshots that nobody has needed for a while."""
        needed = {id(each.snapshot) for each in self._paced if each.snapshot is not None}
        newest = self._snapshots[-1] if self._snapshots else None
        self._snapshots = [each for each in self._snapshots if id(each) in needed or (
            each is newest and now < each.used_at + self.terms.snapshot_linger_us)]

    def _next(self, now: int) -> int:
        oldest = self.roster.oldest()
        due = FAR if oldest is None else oldest.heard_at + self.terms.silent_us
        if self._paced or self._queue:
            return min(due, now + PACE_US)
        if self._snapshots:
            return min(due, self._snapshots[-1].used_at + self.terms.snapshot_linger_us)
        return due

    def _take(self) -> list[PublisherOutput]:
        out, self._out = self._out, []
        return out
