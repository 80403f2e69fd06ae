"""The subscriber side of a watch: selects a publisher, reports the local version, applies the versions that follow, and
holds the lease grants. Each node, each relay, and each voter that lacks committed versions runs one. Times are whole
microseconds of the local clock."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Sequence
from enum import Enum
from typing import NamedTuple, Protocol

from .lease import NEVER, Lease
from .messages import (
    PROTOCOL,
    Acknowledge,
    ClosePublisherLink,
    Delta,
    Dial,
    FromPublisher,
    Grant,
    Heartbeat,
    Refuse,
    Report,
    SendToPublisher,
    SnapshotBegin,
    SnapshotPiece,
    SubscriberOutput,
    Watch,
)
from .replica import Replica, Verdict
from .selection import Attempt, Selection, doubled
from .snapshot import Assembly, SnapshotError
from .terms import WatchTerms
from .versions import Version

log = logging.getLogger(__name__)

FAR_FUTURE_US = 1 << 62  # later than any time that is reached
MAX_RETRY_US = 60_000_000  # upper limit of the retry delay that a publisher may request
MAX_LEASELESS_DOUBLINGS = 3  # doublings of the timeout for publishers that grant no lease


class WatchState(Enum):
    """Connection state of a watch."""

    IDLE = "idle"  # not started, or stopped
    WAITING = "waiting"  # for the time of the next connection attempt
    DIALLING = "dialling"
    WATCHING = "watching"
    FETCHING = "fetching"  # watching, while a snapshot is being received


class WatchEvent(Enum):
    """Event that changes the state of a watch."""

    START = "start"
    DIAL = "dial"
    CONNECT = "connect"
    SNAPSHOT_BEGIN = "snapshot begin"
    SNAPSHOT_END = "snapshot end"
    LEAVE = "leave"  # the connection failed, was lost, or is closed by the subscriber
    STOP = "stop"


TRANSITIONS = {
    (WatchState.IDLE, WatchEvent.START): WatchState.WAITING,
    (WatchState.WAITING, WatchEvent.DIAL): WatchState.DIALLING,
    (WatchState.DIALLING, WatchEvent.CONNECT): WatchState.WATCHING,
    (WatchState.WATCHING, WatchEvent.SNAPSHOT_BEGIN): WatchState.FETCHING,
    (WatchState.FETCHING, WatchEvent.SNAPSHOT_END): WatchState.WATCHING,
    (WatchState.DIALLING, WatchEvent.LEAVE): WatchState.WAITING,
    (WatchState.WATCHING, WatchEvent.LEAVE): WatchState.WAITING,
    (WatchState.FETCHING, WatchEvent.LEAVE): WatchState.WAITING,
    (WatchState.WAITING, WatchEvent.STOP): WatchState.IDLE,
    (WatchState.DIALLING, WatchEvent.STOP): WatchState.IDLE,
    (WatchState.WATCHING, WatchEvent.STOP): WatchState.IDLE,
    (WatchState.FETCHING, WatchEvent.STOP): WatchState.IDLE,
}
CONNECTED_STATES = (WatchState.WATCHING, WatchState.FETCHING)


class Identity(NamedTuple):
    """Identity of the subscriber. ``relay``: it publishes to other subscribers, as relays and voters do."""

    name: str
    incarnation: int
    relay: bool


class ServingCondition(NamedTuple):
    """Condition that a heartbeat reports. ``incompatibility``: why the version in force cannot be applied;
    empty if it can."""

    serving: bool
    incompatibility: str = ""


class WatchOwner(Protocol):
    """The role that owns the watch and is notified of changes."""

    def version_applied(self, version: Version) -> None:
        """Called after the version was applied to the replica."""

    def table_replaced(self) -> None:
        """Called after the replica's table was replaced by a snapshot."""

    def condition(self, now: int) -> ServingCondition:
        """Condition for the next heartbeat."""

    def report(self) -> Report | None:
        """Report on the owner's own subscribers; ``None`` if it sends none."""


class Subscriber:
    """State machine of a watch. Each call returns outputs for the driver; ``due`` is the time of the next ``tick``."""

    def __init__(
        self,
        identity: Identity,
        publishers: Sequence[str],
        terms: WatchTerms,
        draw: Callable[[], float],
        replica: Replica,
        lease: Lease,
        owner: WatchOwner,
        counters: Counter[str],
    ) -> None:
        self.identity, self.terms, self.replica, self.lease = identity, terms, replica, lease
        self.owner, self.counters = owner, counters
        self.selection = Selection(identity.name, publishers, terms, draw)
        self.state = WatchState.IDLE
        self.publisher = ""  # the one that is dialled or watched
        self.publisher_hears_majority = False  # by its last grant: in contact with a majority of voters
        self.last_failure = ""  # why the last connection ended
        self.due = FAR_FUTURE_US
        self._assembly: Assembly | None = None
        self._attempt = Attempt("", FAR_FUTURE_US)
        self._dialled_at_us = self._connected_at_us = self._last_message_at_us = self._last_lease_at_us = NEVER
        self._behind_since_us = FAR_FUTURE_US  # time of the first grant ahead of the replica since it last progressed
        self._last_heartbeat_at_us = NEVER  # timestamp of the last heartbeat on this connection
        self._accepted_grants = 0  # number of grants accepted on this connection
        self._heartbeat_due_us = self._acknowledge_due_us = FAR_FUTURE_US
        self._last_report: Report | None = None
        self._outputs: list[SubscriberOutput] = []

    # calls from the driver

    def start(self, now: int) -> list[SubscriberOutput]:
        """Starts the watch."""
        self._transition(WatchEvent.START)
        self._attempt = self.selection.first_attempt(now)
        return self._finish_call(now)

    def stop(self, reason: str) -> list[SubscriberOutput]:
        """Stops the watch and closes its connection."""
        if self.state is WatchState.IDLE:
            return []
        self._request_disconnect(reason)
        self._transition(WatchEvent.STOP)
        self._assembly = None
        self.due = FAR_FUTURE_US
        return self._take_outputs()

    def set_publishers(self, publishers: Sequence[str], now: int) -> list[SubscriberOutput]:
        """Replaces the list of publishers; keeps the current connection if its publisher is still listed."""
        self.selection.set_publishers(publishers)
        if self.state is WatchState.IDLE or self.publisher in publishers and self.state is not WatchState.WAITING:
            return []
        if self.state is not WatchState.WAITING:
            self._request_disconnect("publisher is no longer on the list")
            self._transition(WatchEvent.LEAVE)
        self._attempt = self.selection.first_attempt(now)
        return self._finish_call(now)

    def connected(self, now: int) -> list[SubscriberOutput]:
        """Handles the establishment of the dialled connection."""
        if self.state is not WatchState.DIALLING:
            self.counters["control_late_links"] += 1
            return []
        self._transition(WatchEvent.CONNECT)
        self._connected_at_us = self._last_message_at_us = self._last_lease_at_us = now
        self._behind_since_us = FAR_FUTURE_US
        self._accepted_grants = 0
        self._last_report = None
        identity, replica = self.identity, self.replica
        self._send(Watch(PROTOCOL, identity.name, identity.incarnation, identity.relay, replica.number, replica.digest))
        self._heartbeat(now)
        return self._finish_call(now)

    def disconnected(self, now: int) -> list[SubscriberOutput]:
        """Handles the loss of the connection, or a failed dial."""
        if self.state in CONNECTED_STATES:
            self.counters["control_links_lost"] += 1
            self._leave_publisher(now, "connection lost")
        elif self.state is WatchState.DIALLING:
            self.counters["control_dials_failed"] += 1
            self._leave_publisher(now, "connection failed")
        return self._finish_call(now)

    def receive(self, message: FromPublisher, now: int) -> list[SubscriberOutput]:
        """Handles a message from the publisher."""
        if self.state not in CONNECTED_STATES:
            self.counters["control_late_messages"] += 1
            return []
        self._last_message_at_us = now
        if isinstance(message, Grant):
            self._on_grant(message, now)
        elif isinstance(message, Delta):
            self._on_delta(message.version, now)
        elif isinstance(message, SnapshotPiece):
            self._on_snapshot_piece(message, now)
        elif isinstance(message, SnapshotBegin):
            self._on_snapshot_begin(message, now)
        elif isinstance(message, Refuse):
            self._on_refuse(message, now)
        else:
            self._reject_publisher(now, "control_strange", f"unexpected {type(message).__name__} from a publisher")
        return self._finish_call(now)

    def tick(self, now: int) -> list[SubscriberOutput]:
        """Runs the timers that are due."""
        if now < self.due:
            return []
        if self.state in CONNECTED_STATES:
            self._tick_connected(now)
        elif self.state is WatchState.DIALLING and now >= self._dialled_at_us + self.terms.connect_timeout_us:
            self.counters["control_dials_failed"] += 1
            self._request_disconnect("connection timed out")
            self._leave_publisher(now, "connection timed out")
        return self._finish_call(now)

    # connections

    def _transition(self, event: WatchEvent) -> None:
        self.state = TRANSITIONS[self.state, event]

    def _leave_publisher(self, now: int, reason: str, attempt: Attempt | None = None) -> None:
        """Ends the current connection's state and schedules ``attempt``, or the selection's choice if there is none."""
        self._transition(WatchEvent.LEAVE)
        self._assembly = None
        self.last_failure, self.publisher_hears_majority = f"{self.publisher}: {reason}", False
        if attempt is not None:
            self._attempt = attempt
        elif self._accepted_grants:
            self._attempt = self.selection.after_loss(self.publisher, now)
        else:
            self._attempt = self.selection.after_failure(self.publisher, now)
        self._accepted_grants = 0

    def _request_disconnect(self, reason: str) -> None:
        if self.state is not WatchState.WAITING:
            self._outputs.append(ClosePublisherLink(reason))

    def _reject_publisher(self, now: int, counter: str, reason: str) -> None:
        """Counts and logs an invalid message, then switches to the next publisher."""
        self.counters[counter] += 1
        log.warning(
            "control: %s: %s; keeping version %d and trying another publisher",
            self.publisher,
            reason,
            self.replica.number,
        )
        self._abandon_publisher(now, reason)

    def _abandon_publisher(self, now: int, reason: str) -> None:
        """Closes the connection and schedules an attempt to the next publisher."""
        self._request_disconnect(reason)
        self._leave_publisher(now, reason, self.selection.after_failure(self.publisher, now))

    def _dial(self, now: int) -> None:
        self._transition(WatchEvent.DIAL)
        self.publisher = self._attempt.publisher
        self._dialled_at_us = now
        self._outputs.append(Dial(self.publisher))

    # timers

    def _tick_connected(self, now: int) -> None:
        if now >= self._last_message_at_us + self.terms.publisher_silence_timeout_us:
            self.counters["control_silent_publishers"] += 1
            reason = f"no message received for {now - self._last_message_at_us} us"
            self._request_disconnect(reason)
            self._leave_publisher(now, reason)
        elif now >= self._last_lease_at_us + self._leaseless_timeout_us():
            self.counters["control_lapsed_publishers"] += 1
            self._abandon_publisher(now, "publisher has no lease to grant")
        elif now >= self._behind_since_us + self.terms.stuck_timeout_us:
            self.counters["control_stuck_publishers"] += 1
            self._abandon_publisher(now, "publisher has later versions but does not send them")
        elif now >= self._heartbeat_due_us:
            self._heartbeat(now)
        elif now >= self._acknowledge_due_us:
            self._acknowledge()

    def _leaseless_timeout_us(self) -> int:
        """How long to stay with a publisher that grants no lease; doubles with each round over all publishers that led
        to no lease, up to ``MAX_LEASELESS_DOUBLINGS`` times."""
        base_us = self.terms.leaseless_timeout_us
        return doubled(
            base_us, min(self.selection.failed_rounds(), MAX_LEASELESS_DOUBLINGS), base_us << MAX_LEASELESS_DOUBLINGS
        )

    def _finish_call(self, now: int) -> list[SubscriberOutput]:
        """Dials if an attempt is due, updates ``due``, and returns the collected outputs."""
        if self.state is WatchState.WAITING and now >= self._attempt.dial_at_us:
            self._dial(now)
        if self.state is WatchState.WAITING:
            self.due = self._attempt.dial_at_us
        elif self.state is WatchState.DIALLING:
            self.due = self._dialled_at_us + self.terms.connect_timeout_us
        elif self.state in CONNECTED_STATES:
            # The other timeouts of a connection are checked at these times, at the latest at the next heartbeat.
            self.due = min(
                self._heartbeat_due_us,
                self._acknowledge_due_us,
                self._last_message_at_us + self.terms.publisher_silence_timeout_us,
            )
        return self._take_outputs()

    def _take_outputs(self) -> list[SubscriberOutput]:
        outputs, self._outputs = self._outputs, []
        return outputs

    # outgoing messages

    def _send(self, message: Watch | Heartbeat | Acknowledge | Report) -> None:
        self._outputs.append(SendToPublisher(message))

    def _heartbeat(self, now: int) -> None:
        condition = self.owner.condition(now)
        self._last_heartbeat_at_us = now
        self._heartbeat_due_us = now + self.terms.heartbeat_us
        self._acknowledge_due_us = FAR_FUTURE_US  # the heartbeat acknowledges the version too
        self._send(Heartbeat(now, self.replica.number, condition.serving, condition.incompatibility))
        report = self.owner.report()
        if report is not None and report != self._last_report:
            self._last_report = report
            self._send(report)

    def _acknowledge(self) -> None:
        self._acknowledge_due_us = FAR_FUTURE_US
        self._send(Acknowledge(self.replica.number, self._assembly.pieces if self._assembly is not None else 0))

    # incoming messages

    def _on_grant(self, grant: Grant, now: int) -> None:
        if not self._connected_at_us <= grant.stamp <= self._last_heartbeat_at_us:
            self._reject_publisher(now, "control_strange", f"grant for timestamp {grant.stamp}, which was not sent")
            return
        if not 0 <= grant.remaining_us <= self.terms.max_lease_us or grant.number < 0:
            self._reject_publisher(
                now, "control_strange", f"grant of {grant.remaining_us} us on version {grant.number}"
            )
            return
        self.publisher_hears_majority = grant.hears_majority
        if not grant.remaining_us:
            self.counters["control_grants_empty"] += 1
            return
        if grant.stamp + grant.remaining_us > now:  # an expired grant does not count as a lease
            self._last_lease_at_us = now
        if self.lease.accept_grant(grant, self.replica.number):
            self._accepted_grants += 1
            self._behind_since_us = FAR_FUTURE_US
            self.selection.succeeded(self.publisher)
        else:
            self.counters["control_grants_ahead"] += 1
            self._behind_since_us = min(self._behind_since_us, now)

    def _on_delta(self, version: Version, now: int) -> None:
        if self.state is not WatchState.WATCHING:
            self._reject_publisher(
                now, "control_strange", f"version {version.number} received during a snapshot transfer"
            )
            return
        verdict, reason = self.replica.check_version(version)
        if verdict is Verdict.NEXT:
            self.replica.apply(version)
            self.counters["control_versions"] += 1
            self._schedule_acknowledgement(now)
            self.owner.version_applied(version)
        elif verdict is Verdict.DUPLICATE:
            self.counters["control_doubled"] += 1
        elif verdict is Verdict.GAP:
            self._reconnect_after_gap(now, reason)
        else:
            self._reject_publisher(now, "control_bad_versions", reason)

    def _reconnect_after_gap(self, now: int, reason: str) -> None:
        self.counters["control_gaps"] += 1
        log.warning(
            "control: %s: %s; restarting the watch from version %d", self.publisher, reason, self.replica.number
        )
        self._request_disconnect(reason)
        self._leave_publisher(now, reason, self.selection.after_gap(self.publisher, now))

    def _schedule_acknowledgement(self, now: int) -> None:
        """Records progress and schedules a delayed acknowledgement, unless one is scheduled already."""
        self._behind_since_us = FAR_FUTURE_US
        if self._acknowledge_due_us == FAR_FUTURE_US:
            self._acknowledge_due_us = now + self.terms.acknowledge_delay_us

    def _on_snapshot_begin(self, begin: SnapshotBegin, now: int) -> None:
        if self.state is not WatchState.WATCHING or begin.number <= self.replica.number:
            self._reject_publisher(
                now,
                "control_strange",
                f"unexpected snapshot of version {begin.number} at version {self.replica.number}",
            )
            return
        try:
            self._assembly = Assembly(begin, self.replica.max_table_bytes)
        except SnapshotError as error:
            self._reject_publisher(now, "control_bad_snapshots", f"snapshot of version {begin.number}: {error}")
            return
        self._transition(WatchEvent.SNAPSHOT_BEGIN)

    def _on_snapshot_piece(self, piece: SnapshotPiece, now: int) -> None:
        assembly = self._assembly
        if assembly is None:
            self._reject_publisher(now, "control_strange", f"snapshot piece {piece.index} without a snapshot")
            return
        begin = assembly.begin
        try:
            complete = assembly.add(piece)
        except SnapshotError as error:
            self._reject_publisher(now, "control_bad_snapshots", f"snapshot of version {begin.number}: {error}")
            return
        if complete:
            self._assembly = None
            self._transition(WatchEvent.SNAPSHOT_END)
            self.replica.replace(begin.number, begin.digest, assembly.table)
            self.counters["control_snapshots"] += 1
            self._schedule_acknowledgement(now)
            self.owner.table_replaced()
        else:
            self._behind_since_us = FAR_FUTURE_US
            self._acknowledge()  # the publisher sends at most one window of pieces past the acknowledged ones

    def _on_refuse(self, refuse: Refuse, now: int) -> None:
        self.counters["control_refused"] += 1
        retry_us = min(max(0, refuse.retry_after_us), MAX_RETRY_US)
        self._request_disconnect(refuse.reason)
        self._leave_publisher(now, refuse.reason, self.selection.after_refusal(self.publisher, retry_us, now))
