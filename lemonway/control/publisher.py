"""The publisher's side of the watch protocol: a relay serves its nodes, a voter serves relays and other voters that
have to catch up.

Each subscriber is sent every version that follows its own. A short backlog is sent at once; a longer one is queued and
sent at a limited rate (``pacing``). A message that violates the protocol is counted, and its link is closed."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Sequence
from typing import Protocol

from .messages import (
    MAX_WORST_NODES,
    PROTOCOL,
    Acknowledge,
    CloseSubscriberLink,
    Delta,
    FromPublisher,
    FromSubscriber,
    Grant,
    Heartbeat,
    PublisherOutput,
    Refuse,
    Report,
    SendToSubscriber,
    Watch,
)
from .pacing import NEVER_DUE, PACING_INTERVAL_US, Pacer
from .replica import Replica
from .resources import MAX_NAME_CHARS
from .roster import Roster
from .subscription import Subscription, SubscriptionEvent, SubscriptionState
from .terms import PublishTerms
from .versions import NO_DIGEST, Version, VersionLog

log = logging.getLogger(__name__)

IMMEDIATELY = 0  # a time in the past, as value of ``due``
MAX_REASON_CHARS = 1_000  # of the reason in a heartbeat
MAX_LOGGED_VIOLATIONS = 20  # protocol violations that are logged; later ones are only counted


class Authority(Protocol):
    """The source of the leases that the publisher grants."""

    def ready(self) -> bool:
        """Whether there is a version to publish; subscribers are refused until then."""

    def lease_remaining_us(self, now: int) -> int:
        """Microseconds until the publisher's own lease expires; 0 without a lease."""

    def hears_majority(self, now: int) -> bool:
        """Whether the publisher is in contact with a majority of the voters."""


class Publisher:
    """Tracks the subscribers and sends each of them the versions that it lacks. ``due``: time of the next ``tick``."""

    def __init__(
        self, replica: Replica, terms: PublishTerms, authority: Authority, counters: Counter[str], now: int
    ) -> None:
        self.replica, self.terms, self.authority, self.counters = replica, terms, authority, counters
        self.log = VersionLog(terms.max_log_versions, terms.max_log_bytes)
        self.roster = Roster()
        self.due = NEVER_DUE
        self.pacer = Pacer(replica, self.log, terms, self.roster, self._send, counters, now)
        self._outputs: list[PublisherOutput] = []

    # called by the driver

    def subscriber_connected(self, link: int, now: int) -> list[PublisherOutput]:
        """A subscriber has connected; it is refused if the limit of subscribers is reached."""
        if len(self.roster) >= self.terms.max_subscribers:
            self.counters["control_full"] += 1
            return [
                SendToSubscriber(link, Refuse("as many subscribers as the limit allows", self.terms.refusal_retry_us)),
                CloseSubscriberLink(link, "full"),
            ]
        self.roster.open(link, now)
        self.due = min(self.due, now + self.terms.subscriber_silence_timeout_us)
        return []

    def subscriber_disconnected(self, link: int, now: int) -> list[PublisherOutput]:
        """The link was closed by the other side."""
        self.roster.close(link)
        return []

    def receive(self, link: int, message: FromSubscriber, now: int) -> list[PublisherOutput]:
        """Handle a message that was received on the link."""
        subscription = self.roster.links.get(link)
        if subscription is None:
            self.counters["control_late_messages"] += 1
            return []
        self.roster.record_message(subscription, now)
        if isinstance(message, Watch):
            self._on_watch(subscription, message)
        elif subscription.state is SubscriptionState.OPENED:
            self._reject_message(subscription, f"a {type(message).__name__} message before the watch message")
        elif isinstance(message, Heartbeat):
            self._on_heartbeat(subscription, message, now)
        elif isinstance(message, Acknowledge):
            self._on_acknowledge(subscription, message, now)
        elif isinstance(message, Report):
            self._on_report(subscription, message)
        else:
            self._reject_message(subscription, f"unexpected {type(message).__name__} message from a subscriber")
        return self._take_outputs()

    def tick(self, now: int) -> list[PublisherOutput]:
        """Close links that have timed out, and send queued versions and snapshots."""
        if now < self.due:
            return []
        while (
            least_recent := self.roster.least_recent()
        ) is not None and now >= least_recent.last_message_at_us + self.terms.subscriber_silence_timeout_us:
            self.counters["control_silent_subscribers"] += 1
            self._close_link(least_recent, f"no message for {now - least_recent.last_message_at_us} us")
        self.pacer.step(now)
        least_recent = self.roster.least_recent()
        silent_at_us = (
            NEVER_DUE
            if least_recent is None
            else least_recent.last_message_at_us + self.terms.subscriber_silence_timeout_us
        )
        self.due = min(silent_at_us, self.pacer.due(now))
        return self._take_outputs()

    # called by the relay or voter

    def restore(self, versions: Sequence[Version]) -> None:
        """Fill the log with the versions from an earlier process's store; the last one is in force here."""
        for version in versions:
            self.log.append(version)

    def publish(self, version: Version) -> list[PublisherOutput]:
        """Send a version that was applied to the replica to all subscribers that have its parent."""
        self.log.append(version)
        delta = Delta(version)
        ahead_subscribers: list[Subscription] = []
        slow_subscribers: list[Subscription] = []
        for subscription in self.roster:
            if subscription.state is not SubscriptionState.LIVE:
                continue
            if subscription.sent_number != version.parent:
                ahead_subscribers.append(subscription)
            elif self._unacknowledged_bytes(subscription) > self.terms.max_unacknowledged_bytes:
                slow_subscribers.append(subscription)
            else:
                subscription.sent_number = version.number
                self._outputs.append(SendToSubscriber(subscription.link, delta))
        for subscription in ahead_subscribers:
            self._check_diverged(subscription, version)
        for subscription in slow_subscribers:
            self.counters["control_slow_subscribers"] += 1
            self._close_link(subscription, "too many bytes of versions are unacknowledged")
        return self._take_outputs()

    def table_replaced(self) -> list[PublisherOutput]:
        """Handle the replacement of the replica's table by a later snapshot.

        Clears the log, which no longer continues to the version in force, and queues the subscribers behind it."""
        self.log.clear()
        for subscription in [each for each in self.roster if each.state is SubscriptionState.LIVE]:
            if subscription.sent_number < self.replica.number:
                self._enqueue(subscription)
            elif subscription.sent_number == self.replica.number and subscription.digest != self.replica.digest:
                self._refuse_diverged(subscription, subscription.sent_number)
        return self._take_outputs()

    def report(self) -> Report:
        """Summarise the nodes that are connected here."""
        return self.roster.report(self.replica.number)

    # handlers of messages

    def _on_watch(self, subscription: Subscription, watch: Watch) -> None:
        if subscription.state is not SubscriptionState.OPENED:
            self._reject_message(subscription, "a second watch message on the same link")
        elif watch.protocol != PROTOCOL:
            self._refuse(subscription, f"protocol {watch.protocol} is not supported, expected {PROTOCOL}")
        elif not 0 < len(watch.name) <= MAX_NAME_CHARS or len(watch.digest) != len(NO_DIGEST) or watch.number < 0:
            self._reject_message(subscription, "a watch message with an invalid name, number or digest")
        elif not self.authority.ready():
            self._refuse(subscription, "nothing to publish yet")
        elif self._replace_older_link(subscription, watch):
            self._begin_watch(subscription, watch)

    def _replace_older_link(self, subscription: Subscription, watch: Watch) -> bool:
        """Close an older link of the same name, if there is one.

        If that link belongs to a later incarnation, closes the new one instead and returns false."""
        older = self.roster.names.get(watch.name)
        if older is None:
            return True
        if older.incarnation > watch.incarnation:
            self.counters["control_older_lives"] += 1
            self._close_link(subscription, f"a later process of {watch.name} is connected")
            return False
        self.counters["control_replaced"] += 1
        self._close_link(older, f"{watch.name} has connected on another link")
        return True

    def _begin_watch(self, subscription: Subscription, watch: Watch) -> None:
        subscription.name, subscription.incarnation, subscription.is_relay = (
            watch.name,
            watch.incarnation,
            watch.is_relay,
        )
        subscription.sent_number = subscription.acknowledged_number = subscription.window_start_number = watch.number
        subscription.digest = watch.digest
        self.roster.index_name(subscription)
        replica = self.replica
        if watch.number > replica.number:  # nothing to send until the versions here have caught up
            subscription.transition(SubscriptionEvent.CURRENT)
        elif watch.number == replica.number:
            if watch.digest != replica.digest:
                self._refuse_diverged(subscription, watch.number)
            else:
                subscription.transition(SubscriptionEvent.CURRENT)
        elif self.pacer.has_short_backlog(subscription):
            self._send_tail(subscription)
            subscription.transition(SubscriptionEvent.CURRENT)
        else:
            self._enqueue(subscription)

    def _enqueue(self, subscription: Subscription) -> None:
        self.pacer.enqueue(subscription)
        self.due = IMMEDIATELY

    def _send_tail(self, subscription: Subscription) -> None:
        while (version := self.log.successor(subscription.sent_number)) is not None:
            subscription.sent_number = version.number
            self._send(subscription, Delta(version))

    def _check_diverged(self, subscription: Subscription, version: Version) -> None:
        """Refuse a subscriber that was ahead, if the publisher has caught up and does not have the same version.

        It has either another version of that number or none."""
        passed = subscription.sent_number < version.number
        if passed or (subscription.sent_number == version.number and subscription.digest != version.digest):
            self._refuse_diverged(subscription, subscription.sent_number)

    def _refuse_diverged(self, subscription: Subscription, number: int) -> None:
        self.counters["control_other_histories"] += 1
        self._refuse(subscription, f"its version {number} belongs to another history")

    def _on_heartbeat(self, subscription: Subscription, heartbeat: Heartbeat, now: int) -> None:
        if heartbeat.number < subscription.acknowledged_number or len(heartbeat.incompatibility) > MAX_REASON_CHARS:
            self._reject_message(
                subscription,
                f"invalid heartbeat for version {heartbeat.number} after {subscription.acknowledged_number}",
            )
            return
        self.roster.acknowledge(subscription, heartbeat.number)
        self.roster.record_condition(subscription, heartbeat.serving, heartbeat.incompatibility)
        authority = self.authority
        self._send(
            subscription,
            Grant(
                heartbeat.stamp, self.replica.number, authority.lease_remaining_us(now), authority.hears_majority(now)
            ),
        )

    def _on_acknowledge(self, subscription: Subscription, message: Acknowledge, now: int) -> None:
        if message.number < subscription.acknowledged_number or not 0 <= message.pieces <= subscription.next_piece:
            self._reject_message(
                subscription, f"invalid acknowledgement of version {message.number} and {message.pieces} pieces"
            )
            return
        self.roster.acknowledge(subscription, message.number)
        if subscription.state is SubscriptionState.SNAPSHOT:
            subscription.pieces_acknowledged = max(subscription.pieces_acknowledged, message.pieces)
        if subscription.state in (SubscriptionState.SNAPSHOT, SubscriptionState.TAIL):
            self.due = min(self.due, now + PACING_INTERVAL_US)

    def _on_report(self, subscription: Subscription, report: Report) -> None:
        if not subscription.is_relay or len(report.worst) > MAX_WORST_NODES:
            self._reject_message(
                subscription, "a report from a subscriber that is no relay, or with too many nodes listed"
            )
            return
        subscription.report = report

    # sending and closing

    def _send(self, subscription: Subscription, message: FromPublisher) -> None:
        self._outputs.append(SendToSubscriber(subscription.link, message))

    def _close_link(self, subscription: Subscription, reason: str) -> None:
        if self.roster.close(subscription.link) is not None:
            self._outputs.append(CloseSubscriberLink(subscription.link, reason))

    def _refuse(self, subscription: Subscription, reason: str) -> None:
        self.counters["control_refusals"] += 1
        self._send(subscription, Refuse(reason, self.terms.refusal_retry_us))
        self._close_link(subscription, reason)

    def _reject_message(self, subscription: Subscription, reason: str) -> None:
        self.counters["control_strange"] += 1
        if self.counters["control_strange"] <= MAX_LOGGED_VIOLATIONS:
            log.warning("control: subscriber %s: %s; closing its link", subscription.name or "(unnamed)", reason)
        self._close_link(subscription, reason)

    def _unacknowledged_bytes(self, subscription: Subscription) -> int:
        """Bytes of versions that were sent to the subscriber and not acknowledged."""
        size = self.log.bytes_after(subscription.window_start_number)
        return self.terms.max_log_bytes if size is None else size

    def _take_outputs(self) -> list[PublisherOutput]:
        outputs, self._outputs = self._outputs, []
        return outputs
