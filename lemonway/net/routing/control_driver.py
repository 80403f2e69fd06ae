"""Runs the control roles (node agent, relay, voter) in the event loop: passes them received messages and the time,
executes their outputs in order, and calls them again when they are due. Links and storage are passed in as ports."""

from __future__ import annotations

import logging
from collections.abc import Callable, Iterable
from typing import Any, Protocol

from ...control import messages
from ...control.messages import AgentOutput, FromPublisher, FromSubscriber, RelayOutput, VoterOutput
from ...control.versions import Version
from ...control.voter import VoteError
from ..transport.clock import EventLoop

log = logging.getLogger(__name__)

MIN_WAKE_DELAY_US = 1_000  # lets the event loop run between calls of a role that is due at once again
NEVER = 1 << 62  # microseconds: no wake-up is scheduled

Output = AgentOutput | RelayOutput | VoterOutput


class Upstream(Protocol):
    """The link from a subscriber to its publisher."""

    def dial(self, publisher: str) -> None: ...

    def disconnect(self) -> None: ...

    def send(self, message: FromSubscriber) -> None: ...


class Downstream(Protocol):
    """The links from the subscribers of a relay or voter, each with a number."""

    def send(self, link: int, message: FromPublisher) -> None: ...

    def drop(self, link: int) -> None: ...


class Voters(Protocol):
    """The links to the other voters."""

    def send(self, peer: str, message: Any) -> None: ...


class Store(Protocol):
    """Stores the state of a role that has to survive a restart."""

    def keep_vote(self, memory: bytes) -> bool:
        """Returns whether the vote is on disk; it must not be sent before."""

    def keep_version(self, version: Version) -> bool:
        """Returns whether votes that depend on this version may be sent."""

    def keep_table(self, number: int, digest: bytes) -> None: ...


class NoStore:
    """The store of a role without a disk."""

    def keep_vote(self, memory: bytes) -> bool:
        return True

    def keep_version(self, version: Version) -> bool:
        return True

    def keep_table(self, number: int, digest: bytes) -> None:
        """Stores nothing."""


class WakeTimer:
    """The next wake-up of a role. Timers of the event loop cannot be cancelled: one that an earlier wake-up has
    replaced expires without effect."""

    def __init__(self, event_loop: EventLoop, due: Callable[[], int], on_due: Callable[[], None]) -> None:
        self.event_loop, self.due, self.on_due = event_loop, due, on_due
        self.stopped = False
        self._scheduled_for_us = NEVER

    def arm(self) -> None:
        """Schedules a wake-up for the time when the role is due, unless an earlier one is pending."""
        due = max(self.due(), self.event_loop.clock.now_us + MIN_WAKE_DELAY_US)
        if due < self._scheduled_for_us and not self.stopped:
            self._scheduled_for_us = due
            self.event_loop.call_at(due, self._fire)

    def _fire(self) -> None:
        if self.event_loop.clock.now_us >= self._scheduled_for_us and not self.stopped:
            self._scheduled_for_us = NEVER
            self.on_due()


class RoleDriver:
    """Common part of all roles: executes outputs in order and schedules wake-ups."""

    def __init__(
        self,
        event_loop: EventLoop,
        role: Any,
        upstream: Upstream | None = None,
        downstream: Downstream | None = None,
        voters: Voters | None = None,
        store: Store | None = None,
        after_outputs: Callable[[], None] = lambda: None,
        on_fatal: Callable[[str], None] = lambda reason: None,
    ) -> None:
        """``after_outputs`` is called each time that outputs of the role were executed; ``on_fatal`` once, with the
        reason, if the role cannot continue: the process has to exit."""
        self.event_loop, self.role, self.after_outputs, self.on_fatal = event_loop, role, after_outputs, on_fatal
        self.upstream, self.downstream, self.voters = upstream, downstream, voters
        self.store: Store = store or NoStore()
        self.wake_timer = WakeTimer(event_loop, lambda: int(role.due), self._tick)
        self._persisted = True  # whether all that the present batch of outputs has asked to store so far is on disk
        self._failed = False  # the role cannot continue: no further output is executed
        self._handlers: dict[type, Callable[[Any], None]] = {
            messages.Dial: self._dial,
            messages.ClosePublisherLink: self._hang_up,
            messages.SendToPublisher: self._say,
            messages.SendToSubscriber: self._send,
            messages.CloseSubscriberLink: self._drop,
            messages.SendToVoter: self._send_voter,
            messages.PersistVote: self._keep_vote,
            messages.PersistVersion: self._keep_version,
            messages.PersistTable: self._keep_table,
        }

    @property
    def now(self) -> int:
        return self.event_loop.clock.now_us

    def apply_outputs(self, outputs: Iterable[Output]) -> None:
        """Executes the outputs of the role, in order."""
        self._persisted = True
        for output in outputs:
            if self._failed:
                return
            self._handlers[type(output)](output)
        self.wake_timer.arm()
        self.after_outputs()

    def stop(self) -> None:
        """Stops the wake-ups."""
        self.wake_timer.stopped = True

    def _tick(self) -> None:
        self.apply_outputs(self.role.tick(self.now))

    def _dial(self, output: messages.Dial) -> None:
        if self.upstream is not None:
            self.upstream.dial(output.publisher)

    def _hang_up(self, output: messages.ClosePublisherLink) -> None:
        log.info("control: link to the publisher closed: %s", output.reason)
        if self.upstream is not None:
            self.upstream.disconnect()

    def _say(self, output: messages.SendToPublisher) -> None:
        if self.upstream is not None:
            self.upstream.send(output.message)

    def _send(self, output: messages.SendToSubscriber) -> None:
        if self.downstream is not None:
            self.downstream.send(output.link, output.message)

    def _drop(self, output: messages.CloseSubscriberLink) -> None:
        log.info("control: link %d closed: %s", output.link, output.reason)
        if self.downstream is not None:
            self.downstream.drop(output.link)

    def _send_voter(self, output: messages.SendToVoter) -> None:
        if self.voters is not None and self._persisted:  # a vote that is not on disk would be forgotten in a restart
            self.voters.send(output.to, output.message)

    def _keep_vote(self, output: messages.PersistVote) -> None:
        if not self.store.keep_vote(output.encoded_state):
            self._on_not_persisted()

    def _keep_version(self, output: messages.PersistVersion) -> None:
        if not self.store.keep_version(output.version):
            self._on_not_persisted()

    def _on_not_persisted(self) -> None:
        """Handles a failed write of state that votes depend on: later messages of this batch are not sent to the
        other voters. The only voter of a group cannot continue."""
        self._persisted = False
        try:
            self.role.vote_write_failed()
        except VoteError as error:
            self._failed = True
            self.stop()
            self.on_fatal(str(error))

    def _keep_table(self, output: messages.PersistTable) -> None:
        self.store.keep_table(output.number, output.digest)


class AgentDriver(RoleDriver):
    """Drives a node agent, and receives the events of its link."""

    def start(self) -> None:
        self.apply_outputs(self.role.start(self.now))

    def link_connected(self) -> None:
        self.apply_outputs(self.role.connected(self.now))

    def link_disconnected(self) -> None:
        self.apply_outputs(self.role.disconnected(self.now))

    def on_publisher_message(self, message: FromPublisher) -> None:
        self.apply_outputs(self.role.receive(message, self.now))


class PublisherDriver(RoleDriver):
    """Drives a relay or a voter, and receives the events of its subscribers' links and of its link to a publisher."""

    def link_accepted(self, link: int) -> None:
        self.apply_outputs(self.role.subscriber_connected(link, self.now))

    def link_lost(self, link: int) -> None:
        self.apply_outputs(self.role.subscriber_disconnected(link, self.now))

    def link_received(self, link: int, message: FromSubscriber) -> None:
        self.apply_outputs(self.role.receive(link, message, self.now))

    def link_connected(self) -> None:
        self.apply_outputs(self.role.connected(self.now))

    def link_disconnected(self) -> None:
        self.apply_outputs(self.role.disconnected(self.now))

    def on_publisher_message(self, message: FromPublisher) -> None:
        self.apply_outputs(self.role.receive_upstream(message, self.now))

    def on_voter_message(self, sender: str, incarnation: int, message: Any, epoch: int) -> None:
        self.apply_outputs(self.role.receive_voter(sender, incarnation, message, self.now))
