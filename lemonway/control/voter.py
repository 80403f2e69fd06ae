"""A voter of the control group: agrees on versions with the other voters (``epochs``), stores the table, the version
log and its vote, and publishes versions to relays.

While a voter lacks the contents of a committed version, it watches another voter, grants no leases and does not vote.
Every committed version is therefore stored in full at a majority of the voters. Times are whole microseconds of the
local clock unless stated otherwise."""

from __future__ import annotations

import logging
from collections import Counter
from collections.abc import Callable, Mapping, Sequence
from enum import Enum

import msgspec

from ..epochs.member import EpochMember, EpochOptions, Outcome
from ..epochs.messages import ApplyChange, Change, Message, Output, SaveState
from ..epochs.register import has_majority
from .lease import Lease
from .messages import (
    MAX_WORST_NODES,
    FromPublisher,
    FromSubscriber,
    PersistTable,
    PersistVersion,
    PersistVote,
    Report,
    SendToVoter,
    VoterOutput,
)
from .proposals import Proposal, Proposals
from .publisher import Publisher
from .replica import Replica, ReplicaView, Verdict
from .resources import Operation, ResourceError, Table, check_operations
from .status import HistoryEntry, RelayStanding, VoterStatus
from .store import StoredConfiguration
from .subscriber import FAR_FUTURE_US, Identity, ServingCondition, Subscriber, WatchState
from .terms import PublishTerms, VoterTerms
from .versions import Proposed, Version, version_of

log = logging.getLogger(__name__)

BUSY_TICK_US = 5_000  # interval of epoch ticks while a decision is pending or the voter rejoins
IDLE_TICK_US = 25_000
UNLIMITED_BYTES = 1 << 62  # a committed version is applied whatever its size; the limit is enforced when it is proposed

_proposed_decoder: msgspec.msgpack.Decoder[Proposed] = msgspec.msgpack.Decoder(Proposed)


class VoteError(Exception):
    """A vote that took effect could not be written to disk."""


ValidateOperations = Callable[[Sequence[Operation], Table], str]


class Contents(Enum):
    """Whether this voter has the contents of every version that it knows to be committed."""

    COMPLETE = "complete"
    INCOMPLETE = "lacking"  # watches another voter to fetch them


def decode_proposed(settings: bytes) -> Proposed:
    """Decodes the content of a change. Raises ``ValueError`` if it is malformed or has invalid operations."""
    try:
        proposed = _proposed_decoder.decode(settings)
    except msgspec.DecodeError as error:
        raise ValueError(f"not an encoded configuration change: {error}") from None
    check_operations(proposed.operations)
    return proposed


class Voter(ReplicaView):
    """One voter. Calls return outputs for the driver to execute in order; ``due`` is the time of the next ``tick``."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        voters: Sequence[str],
        terms: VoterTerms,
        publish: PublishTerms,
        now: int,
        draw: Callable[[], float],
        validate: ValidateOperations,
        counters: Counter[str],
        vote: bytes | None = None,
        stored: StoredConfiguration | None = None,
        first_start: bool = False,
    ) -> None:
        """Arguments:

        - ``incarnation``: larger than that of any earlier process of this name.
        - ``draw``: returns a random number from 0 to 1, for jitter.
        - ``validate``: returns why no node could apply the operations to the table, or an empty string.
        - ``vote``, ``stored``: the vote and the table read from disk.
        - ``first_start``: these voters have never committed anything.

        Raises ``ValueError`` if the vote belongs to another voter or ``name`` is not in ``voters``."""
        if name not in voters:
            raise ValueError(f"{name} is not one of the voters {', '.join(voters)}")
        self.name, self.incarnation, self.terms, self.counters = name, incarnation, terms, counters
        self.publish_terms, self.validate = publish, validate
        self.voter_lists = (tuple(sorted(voters)),)
        self.contents = Contents.COMPLETE
        self.due = now
        self.replica = Replica(UNLIMITED_BYTES)
        self.publisher = Publisher(self.replica, publish, self, counters, now)
        self.proposals = Proposals(terms)
        self._last_proposal_sequence = 0
        self._epochs_due_us = now
        self._outputs: list[VoterOutput] = []
        if stored is not None:
            self.replica.replace(stored.number, stored.digest, stored.table)
            self.publisher.restore(stored.versions)
        others = [each for each in self.voter_lists[0] if each != name]
        self.watch = (
            Subscriber(
                Identity(name, incarnation, True), others, terms.watch, draw, self.replica, Lease(), self, counters
            )
            if others
            else None
        )
        self.epochs = EpochMember(
            name,
            incarnation,
            lambda: self.voter_lists,
            EpochOptions(
                lease_us=terms.lease_us,
                heartbeat_us=terms.heartbeat_us,
                first_start=first_start,
                recover_together=False,
                has_disk=True,
            ),
            now,
            self._rejection_reason,
            counters,
            vote,
        )
        if vote is None and not first_start:  # a single voter can't ask another one what was committed
            self.epochs.memory_intact = False
        self._apply_committed(self.epochs.committed)

    @property
    def outcomes(self) -> Mapping[str, Outcome]:
        """Outcomes of the proposals made at this voter. States: ``queued``, ``checking``, ``deciding``, ``committed``,
        ``aborted``, ``refused``, or ``lost`` (superseded by other changes until no retries remained)."""
        return self.proposals.outcomes

    # messages between voters

    def receive_voter(self, sender: str, incarnation: int, message: Message, now: int) -> list[VoterOutput]:
        """Handles an epoch message from another voter."""
        self._handle_epoch_outputs(self.epochs.receive(sender, incarnation, message, now))
        return self._finish_call(now)

    def vote_write_failed(self) -> None:
        """Handles a failed write of the vote to disk.

        The driver must skip each ``SendToVoter`` of the same outputs and execute the rest. Each later call requests the
        write again, so this voter sends nothing to the others until a write succeeds. Raises ``VoteError`` if there is
        no other voter: the decision is already made but not on disk, so the process must exit without executing the
        remaining outputs."""
        self.counters["control_votes_not_kept"] += 1
        if self.watch is None:
            raise VoteError("the vote of a single voter could not be written to disk")
        self.epochs.retry_save()

    # downstream connections (subscribers)

    def subscriber_connected(self, link: int, now: int) -> list[VoterOutput]:
        """Handles a new connection from a subscriber."""
        self._outputs += self.publisher.subscriber_connected(link, now)
        return self._finish_call(now)

    def subscriber_disconnected(self, link: int, now: int) -> list[VoterOutput]:
        """Handles the loss of a subscriber's connection."""
        self._outputs += self.publisher.subscriber_disconnected(link, now)
        return self._finish_call(now)

    def receive(self, link: int, message: FromSubscriber, now: int) -> list[VoterOutput]:
        """Handles a message from a subscriber."""
        self._outputs += self.publisher.receive(link, message, now)
        return self._finish_call(now)

    # upstream connection, while contents are incomplete

    def connected(self, now: int) -> list[VoterOutput]:
        """Handles the establishment of the dialled connection."""
        if self.watch is not None:
            self._outputs += self.watch.connected(now)
        return self._finish_call(now)

    def disconnected(self, now: int) -> list[VoterOutput]:
        """Handles the loss of the connection to the other voter, or a failed dial."""
        if self.watch is not None:
            self._outputs += self.watch.disconnected(now)
        return self._finish_call(now)

    def receive_upstream(self, message: FromPublisher, now: int) -> list[VoterOutput]:
        """Handles a message from the watched voter."""
        if self.watch is not None:
            out = self.watch.receive(message, now)
            self._outputs += out
        return self._finish_call(now)

    # operator requests and status

    def propose(self, operations: Sequence[Operation], proposed_at_ms: int, now: int) -> tuple[str, list[VoterOutput]]:
        """Queues a change and returns its identifier, the key of its entry in ``outcomes``. ``proposed_at_ms``: Unix
        milliseconds. Raises ``ResourceError`` for invalid or oversized operations and ``QueueFull`` for a full
        queue."""
        change_operations = tuple(operations)
        self._check_size(change_operations)
        check_operations(change_operations)
        self._last_proposal_sequence += 1
        proposal = Proposal(
            f"{self.name}.{self.incarnation}.{self._last_proposal_sequence}", change_operations, proposed_at_ms, now
        )
        self.proposals.add(proposal)
        return proposal.ident, self._finish_call(now)

    def abort(self, aborted_at_ms: int, now: int) -> tuple[str, list[VoterOutput]]:
        """Aborts the current proposal, or one that another voter left undecided. ``aborted_at_ms``: Unix milliseconds.
        Returns a description of the action; the description is empty if there is nothing to abort."""
        description, out = self.epochs.abort(aborted_at_ms, now)
        self._handle_epoch_outputs(out)
        return description, self._finish_call(now)

    def history(self) -> list[HistoryEntry]:
        """Decided changes that are still in memory, oldest first."""
        entries = {
            each.number: HistoryEntry(
                each.number, True, "", "", each.by, each.at, len(each.operations), each.digest.hex()
            )
            for each in self.publisher.log.versions
        }
        for change in self.epochs.history.values():
            logged = entries.get(change.number)
            entries[change.number] = HistoryEntry(
                change.number,
                change.commit,
                change.change_id,
                change.reason,
                change.proposed_by,
                change.proposed_at_ms,
                0 if logged is None else logged.operations,
                "" if logged is None else logged.digest,
            )
        return [entries[number] for number in sorted(entries)]

    def status(self, now: int) -> VoterStatus:
        """Status report for operators."""
        relays = tuple(
            RelayStanding(each.name, each.acknowledged_number, each.serving, now - each.last_message_at_us, each.report)
            for each in self.publisher.roster.relays()
        )
        return VoterStatus(
            self.name,
            self.number,
            self.digest.hex(),
            f"{self.table.content:032x}",
            len(self.table),
            self.table.bytes,
            self.epochs.epoch,
            self.contents.value,
            self.lease_remaining_us(now) > 0,
            self.not_serving_reason(now),
            self.lease_remaining_us(now),
            len(self.proposals),
            self.epochs.node_statuses(now),
            relays,
            self._node_report(relays),
        )

    def not_serving_reason(self, now: int) -> str:
        """Why this voter grants no leases; empty if it does."""
        if self.contents is Contents.INCOMPLETE:
            return (
                f"version {self.epochs.committed.number} is committed, but contents before it are still being fetched"
            )
        return self.epochs.not_serving_reason(now)

    def _node_report(self, relays: Sequence[RelayStanding]) -> Report:
        """Aggregated report on all nodes connected to the relays or to this voter."""
        reports = [each.report for each in relays if each.report is not None] + [self.publisher.report()]
        return Report(
            sum(each.nodes for each in reports),
            sum(each.serving for each in reports),
            min((each.lowest for each in reports if each.nodes), default=self.number),
            sum(each.behind for each in reports),
            sum(each.unfit for each in reports),
            tuple(worst for each in reports for worst in each.worst)[:MAX_WORST_NODES],
        )

    # timers

    def tick(self, now: int) -> list[VoterOutput]:
        """Runs the timers that are due."""
        if now >= self._epochs_due_us:
            self._handle_epoch_outputs(self.epochs.tick(now))
            self._epochs_due_us = now + (BUSY_TICK_US if self._needs_fast_tick() else IDLE_TICK_US)
        if self.watch is not None:
            self._outputs += self.watch.tick(now)
        self._outputs += self.publisher.tick(now)
        return self._finish_call(now)

    def _needs_fast_tick(self) -> bool:
        epochs = self.epochs
        return (
            bool(epochs.round or epochs.proposal or epochs.undecided_since_us or len(self.proposals))
            or not epochs.memory_intact
        )

    def _finish_call(self, now: int) -> list[VoterOutput]:
        """Advances proposals and the watch, updates ``due``, and returns the collected outputs."""
        self._advance_proposals(now)
        if self.contents is Contents.INCOMPLETE:
            self._apply_committed(self.epochs.committed)
        self._update_watch(now)
        if self._needs_fast_tick():
            self._epochs_due_us = min(self._epochs_due_us, now + BUSY_TICK_US)
        watch_due = FAR_FUTURE_US if self.watch is None else self.watch.due
        self.due = min(self._epochs_due_us, self.publisher.due, watch_due)
        out, self._outputs = self._outputs, []
        return out

    def _update_watch(self, now: int) -> None:
        """Starts the watch on another voter when contents are incomplete, and stops it when they are complete."""
        if self.watch is None:
            return
        idle = self.watch.state is WatchState.IDLE
        if self.contents is Contents.INCOMPLETE and idle:
            self._outputs += self.watch.start(now)
        elif self.contents is Contents.COMPLETE and not idle:
            self._outputs += self.watch.stop("contents are complete")

    # committed changes

    def _handle_epoch_outputs(self, out: list[Output]) -> None:
        for item in out:
            if isinstance(item, ApplyChange):
                self._apply_committed(item.change)
            elif isinstance(item, SaveState):
                self._outputs.append(PersistVote(item.data))
            else:
                self._outputs.append(SendToVoter(item.to, item.message))

    def _apply_committed(self, change: Change) -> None:
        """Applies a committed change if every earlier version is here; otherwise suspends voting."""
        incomplete = change.number > self.replica.number and not self._try_apply(change)
        self.contents = Contents.INCOMPLETE if incomplete else Contents.COMPLETE
        self.epochs.may_vote = not incomplete

    def _try_apply(self, change: Change) -> bool:
        """Applies the change or discards it as void. Returns whether no earlier version is missing here."""
        try:
            proposed = decode_proposed(change.settings)
        except ValueError as error:
            self._log_void_change(change, str(error))
            return True
        if self.replica.number < proposed.parent < change.number:
            return False
        version = version_of(proposed, change.number, change.proposed_by, change.proposed_at_ms)
        judgement = self.replica.check_version(version)
        if judgement.verdict is Verdict.NEXT:
            self.replica.apply(version)
            self.version_applied(version)
        else:
            self._log_void_change(change, judgement.reason)
        return True

    def _log_void_change(self, change: Change, reason: str) -> None:
        """Counts and logs a change that can't be applied: it can't be decoded, is invalid, or doesn't follow the last
        version. It is void at every voter and is not published."""
        self.counters["control_void_versions"] += 1
        log.error("control: version %d, proposed at %s, is void: %s", change.number, change.proposed_by, reason)

    # proposals

    def _check_size(self, operations: tuple[Operation, ...]) -> None:
        if not 0 < len(operations) <= self.terms.max_operations:
            raise ResourceError(f"operations: {len(operations)}, must be 1 to {self.terms.max_operations}")
        size = len(msgspec.msgpack.encode(operations))
        if size > self.terms.max_change_bytes:
            raise ResourceError(f"operations: {size} bytes, {self.terms.max_change_bytes} at most")

    def _advance_proposals(self, now: int) -> None:
        """Updates the current proposal, and proposes the next queued one to the voters once it is finished."""
        proposals = self.proposals
        proposals.expire(now)
        while True:
            if proposals.current is not None:
                proposals.update_current(self.epochs.outcomes[proposals.current.ident])
            if proposals.current is not None or not len(proposals) or not self._may_propose(now):
                return
            self._propose_next(now)

    def _may_propose(self, now: int) -> bool:
        """Whether contents are complete and no other change is being decided. ``EpochMember`` finishes a change that
        another voter left undecided."""
        epochs = self.epochs
        return (
            self.contents is Contents.COMPLETE
            and epochs.proposal is None
            and epochs.register.value is None
            and not epochs.undecided_since_us
        )

    def _propose_next(self, now: int) -> None:
        proposal = self.proposals.start_next()
        assert proposal is not None
        proposed = Proposed(self.replica.number, self.replica.digest, proposal.operations)
        _, out = self.epochs.propose(msgspec.msgpack.encode(proposed), proposal.at, now, proposal.ident)
        self._handle_epoch_outputs(out)

    def _rejection_reason(self, settings: bytes) -> str:
        """Why this voter rejects the change; empty if it accepts it. A change whose parent is not the last version here
        can't be checked against the table; whether it follows the last version is checked once it is committed."""
        try:
            proposed = decode_proposed(settings)
            self._check_size(proposed.operations)
        except ValueError as error:
            return str(error)
        if (proposed.parent, proposed.parent_digest) != (self.replica.number, self.replica.digest):
            return ""
        size = self.table.bytes + self.table.growth(proposed.operations)
        if size > self.publish_terms.max_table_bytes:
            return f"a table of {size} bytes, {self.publish_terms.max_table_bytes} at most"
        return self.validate(proposed.operations, self.table)

    # implements WatchOwner, for the watch

    def version_applied(self, version: Version) -> None:
        """Stores and publishes a version that was applied to the table."""
        self._outputs.append(PersistVersion(version))
        self._outputs += self.publisher.publish(version)

    def table_replaced(self) -> None:
        """Stores a table that was replaced by a snapshot, and informs subscribers."""
        self._outputs.append(PersistTable(self.number, self.digest))
        self._outputs += self.publisher.table_replaced()

    def condition(self, now: int) -> ServingCondition:
        """Condition for the next heartbeat; a voter never reports itself as serving."""
        return ServingCondition(False)

    def report(self) -> Report | None:
        """``None``: the watched voter needs no report from another voter."""
        return None

    # implements Authority, for the publisher

    def ready(self) -> bool:
        """Whether there is a complete committed state to publish."""
        return self.contents is Contents.COMPLETE and (self.number > 0 or self.epochs.memory_intact)

    def lease_remaining_us(self, now: int) -> int:
        """Remaining time of the lease on the version in force, in microseconds; 0 without a lease."""
        if self.contents is Contents.INCOMPLETE or not self.epochs.serving(now):
            return 0
        return self.epochs.lease_expires_at_us - now

    def hears_majority(self, now: int) -> bool:
        """Whether a majority of the voters, counting this one, has recently sent messages."""
        return has_majority({self.name, *self.epochs.live_peers}, self.voter_lists)
