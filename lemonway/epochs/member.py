"""One node's part in the fleet's epochs: its log of decisions, its vote, its lease, and the changes it proposes.

The driver passes in messages with their sender and its incarnation, calls ``tick`` every few milliseconds, carries out
the outputs that each call returns, and checks ``serving`` before it accepts work. ``now_us`` is in whole microseconds
of this machine's monotonic clock."""

from __future__ import annotations

import logging
from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

import msgspec

from .lease import NEVER, majority_stamp
from .messages import (
    INITIAL_CHANGE,
    NO_BALLOT,
    SAVED_STATE_VERSION,
    Accept,
    Accepted,
    ApplyChange,
    Change,
    CheckReply,
    CheckSettings,
    Heartbeat,
    Incarnations,
    Log,
    Message,
    Nack,
    Output,
    Prepare,
    Promise,
    Pull,
    Rejoin,
    RejoinReply,
    SavedState,
    SaveState,
    Send,
)
from .register import Groups, Register, Round, can_recover, has_majority

log = logging.getLogger(__name__)

HEARTBEATS_PER_SECOND = 100  # at most, over all peers: the interval of heartbeats to each grows with their number
HEARTBEAT_LOSS_LIMIT = 4  # heartbeat intervals without a message after which a peer counts as down
RECENT_CHANGES = 16  # newest decisions that are sent with the log, also to a peer that has most of them
HISTORY_SIZE = 64  # decisions that are kept, and sent to a peer that lacks them
MAX_OUTCOMES = 64  # proposals of this node whose outcome is kept
MAX_PROPOSAL_TRIES = 5  # epoch numbers that a proposal tries, when aborts of others take them first
UNKNOWN_REASON = (
    "it may be in force: more was decided while this node was cut off than any node keeps; look, then propose it again"
)
RESOLVE_STEP_US = 50_000  # between the times at which two nodes would finish a proposal whose proposer is down


@dataclass(frozen=True)
class EpochOptions:
    """Options of one node. Times are in microseconds."""

    lease_us: int = 1_000_000
    heartbeat_us: int = 100_000  # least interval of heartbeats to each peer
    check_us: int = 1_000_000  # time limit for live nodes to report whether they can apply a change
    retry_us: int = 100_000  # interval of retransmissions while a reply is missing
    resolve_us: int = 500_000  # after which other nodes finish a value that is accepted but not decided
    first_start: bool = False  # first start of the fleet: nothing can have been decided before
    recover_together: bool = (
        True  # if a majority has lost its memory, all nodes together resume from the last epoch any knows
    )
    has_disk: bool = False  # the driver writes ``SaveState.data`` to disk, so that a restart loses no vote


@dataclass(slots=True)
class Peer:
    """The state that another node has reported in its present incarnation."""

    incarnation: int = 0
    seen_at_us: int = NEVER
    last_stamp_us: int = 0  # stamp of its last heartbeat, which is returned to it
    echoed_stamp_us: int = NEVER  # the last stamp of this node that it returned
    epoch: int = 0
    has_accepted: bool = False
    serving: bool = False
    memory_intact: bool = False
    pulled_at_us: int = NEVER


@dataclass(slots=True)
class Proposal:
    """A change that this node proposes."""

    change: Change
    started_at_us: int
    awaiting: set[str] = field(default_factory=set)  # live nodes that have not replied to the check yet
    compatible: set[str] = field(default_factory=set)  # nodes that can apply it
    checking: bool = True
    resend_at_us: int = 0
    tries: int = 0  # further epoch numbers tried, after an abort of another proposal took the first
    abort_requested: bool = False  # by an operator


@dataclass(frozen=True)
class Outcome:
    """The state of a proposal: ``checking``, ``deciding``, ``committed``, ``aborted``, ``lost`` to another change,
    ``refused`` before it reached the log, or ``unknown``: it may be committed, and no node still tells what was decided
    on its number. A change in that state must not be proposed again by itself."""

    state: str
    number: int = 0
    reason: str = ""


class ProposalInProgress(Exception):
    """Raised if a proposal of this node is in progress already."""


class EpochMember:
    """One member of the fleet. Its calls return the outputs that the driver carries out in order."""

    def __init__(
        self,
        name: str,
        incarnation: int,
        groups: Callable[[], Groups],
        options: EpochOptions,
        now_us: int,
        check_settings: Callable[[bytes], str],
        counters: Counter[str],
        memory: bytes | None = None,
    ) -> None:
        """``groups``: the lists of node names in force now, which include this node. ``check_settings``: returns why
        this node can't apply the given settings, or an empty string. ``memory``: the last ``SaveState.data`` of the
        node's former incarnation. Raises ``ValueError`` if it belongs to another node or version."""
        self.name, self.incarnation, self.groups, self.options = name, incarnation, groups, options
        self.check_settings, self.counters = check_settings, counters
        self.peers: dict[str, Peer] = {}
        self.incarnations: Incarnations = {name: incarnation}
        self.epoch = 0  # all numbers up to this one are decided
        self.committed = INITIAL_CHANGE
        self.history: OrderedDict[int, Change] = OrderedDict()
        self.register = Register(1)
        self.memory_intact = (
            False  # whether this node may vote: it has forgotten none of its votes, or has learned them again
        )
        self.round: Round | None = None
        self.highest_round = 0  # the highest round of any ballot seen
        self.proposal: Proposal | None = None
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self.rejoin_replies: dict[str, RejoinReply] = {}  # replies to ``Rejoin`` from present incarnations, by node
        self.live_peers: set[str] = set()
        self.undecided_since_us = 0  # us: since when a value is known to be accepted and not decided; 0: none
        self.lease_expires_at_us = NEVER
        self.incompatibility = ""  # why this node can't apply the change in force
        self.may_vote = True  # set by the driver: false while it lacks the content of a decided change
        self._outputs: list[Output] = []
        self._last_saved: tuple[object, ...] = ()
        self._last_sequence = 0
        self._heartbeat_at_us = self._rejoin_at_us = now_us
        self._sync_peers()
        if options.first_start or not self.peers:
            self.memory_intact = True
        if memory is not None:
            self._restore(memory, now_us)

    def _restore(self, data: bytes, now_us: int) -> None:
        try:
            saved: SavedState = msgspec.msgpack.decode(data, type=SavedState)
        except msgspec.DecodeError as error:
            raise ValueError(f"not the saved epoch state of a node: {error}") from None
        if (saved.version, saved.name) != (SAVED_STATE_VERSION, self.name):
            raise ValueError(
                f"saved state is of node {saved.name}, version {saved.version}; "
                f"expected {self.name}, version {SAVED_STATE_VERSION}"
            )
        self._on_log(saved.log, now_us)
        self.register = Register(self.epoch + 1, saved.promised, saved.accepted, saved.value)
        self.highest_round = max(self.highest_round, saved.promised[0])
        self.memory_intact = True
        self._last_saved = self._durable_state()

    def _durable_state(self) -> tuple[object, ...]:
        register = self.register
        return self.epoch, register.promised, register.accepted

    # peers

    def _sync_peers(self) -> None:
        """Updates the peers and the intervals to the list of nodes."""
        names = {name for group in self.groups() for name in group} - {self.name}
        if names != self.peers.keys():
            self.peers = {name: self.peers.get(name) or Peer(self.incarnations.get(name, 0)) for name in sorted(names)}
        self.heartbeat_us = max(self.options.heartbeat_us, len(self.peers) * 1_000_000 // HEARTBEATS_PER_SECOND)
        self.peer_timeout_us = HEARTBEAT_LOSS_LIMIT * self.heartbeat_us
        self.lease_us = max(self.options.lease_us, self.peer_timeout_us)
        # Longer than the peer timeout, so that a node that has just failed counts as down before the check is overdue.
        self.check_us = max(self.options.check_us, self.peer_timeout_us + self.heartbeat_us)

    def _learn_incarnation(self, name: str, incarnation: int) -> None:
        """Records a newer incarnation of a node, and drops what the former one reported."""
        if name in self.peers and incarnation > self.incarnations.get(name, 0):
            self.incarnations[name] = incarnation
            if self.peers[name].incarnation < incarnation:
                self.peers[name] = Peer(incarnation)
            self.rejoin_replies.pop(name, None)

    def _broadcast(self, message: Message) -> None:
        self._outputs.extend(Send(peer, message) for peer in self.peers)

    def _send(self, to: str, message: Message) -> None:
        self._outputs.append(Send(to, message))

    # calls of the driver

    def serving(self, now_us: int) -> bool:
        """Whether this node knows which change is in force, and may accept work under it."""
        return now_us < self.lease_expires_at_us and not self.incompatibility

    def not_serving_reason(self, now_us: int) -> str:
        """Returns why this node accepts no work, or an empty string. Shown to operators."""
        if self.incompatibility:
            return f"epoch {self.committed.number} does not fit this node: {self.incompatibility}"
        if now_us < self.lease_expires_at_us:
            return ""
        if not self.memory_intact:
            return "this node has lost its memory, and has not learned its former votes from enough other nodes"
        if any(peer.epoch > self.epoch for peer in self.peers.values()):
            return "a later epoch is decided and is being fetched"
        if self.undecided_since_us:
            return f"epoch {self.epoch + 1} is being decided"
        responsive = sum(now_us - peer.echoed_stamp_us < self.lease_us for peer in self.peers.values())
        return f"{responsive} of {len(self.peers)} other nodes have answered within the lease: no majority"

    def propose(self, settings: bytes, proposed_at_ms: int, now_us: int, ident: str = "") -> tuple[str, list[Output]]:
        """Proposes a change to the fleet. Returns its ID, under which ``outcomes`` holds its state, and the outputs. A
        given ``ident`` must not be that of a change that can still be decided. ``proposed_at_ms`` is in Unix
        milliseconds. Raises ``ProposalInProgress`` if a proposal of this node is in progress."""
        if self.proposal is not None:
            raise ProposalInProgress(f"a proposal of this node is in progress: {self.proposal.change.change_id}")
        self._last_sequence += 1
        ident = ident or f"{self.name}-{self.incarnation}-{self._last_sequence}"
        reason = self.check_settings(settings)
        if not reason and not has_majority({self.name, *self.live_peers}, self.groups()):
            reason = "no majority of the nodes is reachable"
        elif reason:
            reason = f"{self.name}: {reason}"
        if reason:
            self._record_outcome(ident, Outcome("refused", 0, reason))
            return ident, []
        self.counters["policy_proposals"] += 1
        change = Change(self.epoch + 1, ident, True, settings, "", self.name, proposed_at_ms)
        self.proposal = Proposal(
            change, now_us, set(self.live_peers), {self.name}, resend_at_us=now_us + self.options.retry_us
        )
        self._record_outcome(ident, Outcome("checking", change.number))
        for peer in sorted(self.live_peers):
            self._send(peer, CheckSettings(ident, settings))
        self._advance_check(now_us)
        return ident, self._take_outputs()

    def abort(self, proposed_at_ms: int, now_us: int) -> tuple[str, list[Output]]:
        """Aborts the proposal of this node, or a change that another node left undecided. Returns a description of the
        action, empty if there is nothing to abort, and the outputs."""
        reason = f"aborted by an operator at {self.name}"
        if self.proposal is not None:
            proposal = self.proposal
            proposal.abort_requested = True
            self._decide(self._as_aborted(proposal.change, reason), now_us)
            return f"{proposal.change.change_id} is being aborted", self._take_outputs()
        if self.undecided_since_us:
            self._abort_undecided(reason, proposed_at_ms, now_us)
            return (
                f"epoch {self.epoch + 1} is being decided: it is aborted unless it is committed already",
                self._take_outputs(),
            )
        return "", []

    def receive(self, sender: str, incarnation: int, message: Message, now_us: int) -> list[Output]:
        peer = self.peers.get(sender)
        if peer is None or incarnation < self.incarnations.get(sender, 0):
            self.counters["policy_stale"] += 1
            return []
        self._learn_incarnation(sender, incarnation)
        peer = self.peers[sender]
        peer.incarnation, first_contact = incarnation, peer.seen_at_us == NEVER
        peer.seen_at_us = now_us
        if isinstance(message, Heartbeat):
            self._on_heartbeat(sender, peer, message, first_contact, now_us)
        elif isinstance(message, Log):
            self._on_log(message, now_us)
        elif isinstance(message, Pull):
            if message.known_epoch < self.epoch:
                self._send(sender, self._log(message.known_epoch))
        elif isinstance(message, Rejoin):
            register = self.register
            self._send(
                sender,
                RejoinReply(
                    incarnation,
                    message.stamp_us,
                    self.memory_intact,
                    self._log(known_epoch=0),
                    register.promised,
                    register.accepted,
                    register.value,
                    dict(self.incarnations),
                ),
            )
        elif isinstance(message, RejoinReply):
            self._on_rejoin_reply(sender, peer, message, now_us)
        elif isinstance(message, CheckSettings):
            self._send(sender, CheckReply(message.change_id, self.check_settings(message.settings)))
        elif isinstance(message, CheckReply):
            self._on_check_reply(sender, message, now_us)
        elif isinstance(message, Prepare):
            self._answer_ballot(
                sender, message.number, lambda: self.register.prepare(message.ballot, dict(self.incarnations)), now_us
            )
        elif isinstance(message, Accept):
            self._answer_ballot(
                sender,
                message.number,
                lambda: self.register.accept(message.ballot, message.value, dict(self.incarnations)),
                now_us,
            )
        else:
            self._on_ballot_reply(sender, incarnation, message, now_us)
        return self._take_outputs()

    def tick(self, now_us: int) -> list[Output]:
        self._sync_peers()
        alive = {name for name, peer in self.peers.items() if now_us - peer.seen_at_us <= self.peer_timeout_us}
        self.live_peers = alive
        if not self.memory_intact and now_us >= self._rejoin_at_us:
            self._rejoin_at_us = now_us + self.options.retry_us
            for name in self.peers:
                if name not in self.rejoin_replies or not self.rejoin_replies[name].memory_intact:
                    self._send(name, Rejoin(now_us))
        if self.register.value is not None and not self.undecided_since_us:
            self.undecided_since_us = now_us
        self._renew_lease(now_us)
        if now_us >= self._heartbeat_at_us:
            self._heartbeat_at_us = now_us + self.heartbeat_us
            for name in self.peers:
                self._send_heartbeat(name, now_us)
        self._advance_check(now_us)
        self._drive_ballot(now_us)
        return self._take_outputs()

    # heartbeats and the lease

    def _send_heartbeat(self, to: str, now_us: int) -> None:
        peer = self.peers[to]
        self._send(
            to,
            Heartbeat(
                now_us,
                peer.incarnation,
                peer.last_stamp_us,
                self.epoch,
                self.register.value is not None,
                self.serving(now_us),
                self.memory_intact,
            ),
        )

    def _on_heartbeat(self, sender: str, peer: Peer, message: Heartbeat, first_contact: bool, now_us: int) -> None:
        peer.last_stamp_us, peer.serving = message.stamp_us, message.serving
        if message.receiver_incarnation == self.incarnation:
            peer.echoed_stamp_us = message.echoed_stamp_us
        peer.epoch, peer.has_accepted, peer.memory_intact = message.epoch, message.has_accepted, message.memory_intact
        if self.options.first_start and peer.epoch > 0 == self.epoch and self.register.promised == NO_BALLOT:
            self.memory_intact = (
                False  # the fleet has run before: the votes of the former incarnation have to be learned first
            )
        self._follow_epoch(sender, peer, now_us)
        if first_contact:  # the peer has just started: it gets its first echo without waiting for the next heartbeat
            self._send_heartbeat(sender, now_us)

    def _follow_epoch(self, sender: str, peer: Peer, now_us: int) -> None:
        if peer.epoch > self.epoch:
            if now_us - peer.pulled_at_us >= self.options.retry_us:
                peer.pulled_at_us = now_us
                self._send(sender, Pull(self.epoch))
        elif peer.has_accepted and peer.epoch == self.epoch and not self.undecided_since_us:
            self.undecided_since_us = now_us

    def _renew_lease(self, now_us: int) -> None:
        """Renews the lease. The stamp of a peer doesn't count if the peer has lost its memory, knows a later epoch or
        has accepted a value for one."""
        stamps = {
            name: peer.echoed_stamp_us
            for name, peer in self.peers.items()
            if peer.memory_intact and (peer.epoch < self.epoch or (peer.epoch == self.epoch and not peer.has_accepted))
        }
        if self.memory_intact and self.register.value is None:
            stamps[self.name] = now_us
        reached_us = majority_stamp(stamps, self.groups())
        self.lease_expires_at_us = NEVER if reached_us == NEVER else reached_us + self.lease_us

    # the log

    def _log(self, known_epoch: int) -> Log:
        """The log for a node that knows the decisions up to ``known_epoch``: with every later decision that is kept
        here, since the node may have proposed any of them, and at least the newest ones."""
        first = min(known_epoch, self.epoch - RECENT_CHANGES) + 1
        recent = tuple(change for change in self.history.values() if change.number >= first)
        return Log(self.epoch, self.committed, recent)

    def _on_log(self, message: Log, now_us: int) -> None:
        if message.last_decided <= self.epoch:
            return
        self.epoch = message.last_decided
        for change in (*message.recent_changes, message.committed):
            if change.number and change.number not in self.history:
                self.history[change.number] = change.without_settings()
        self.register = Register(self.epoch + 1)
        self.undecided_since_us = 0
        if self.round is not None and self.round.number <= self.epoch:
            self.round = None
        if message.committed.number > self.committed.number:
            self.committed, self.incompatibility = message.committed, ""
            self._outputs.append(ApplyChange(message.committed))
        self._update_proposal(now_us)
        while len(self.history) > HISTORY_SIZE:
            del self.history[min(self.history)]

    def _update_proposal(self, now_us: int) -> None:
        """Updates this node's proposal after numbers were decided. Only the decision on the proposal's own number tells
        what became of it: that later changes are committed does not mean that it was not."""
        proposal = self.proposal
        if proposal is None or proposal.change.number > self.epoch:
            return
        ident = proposal.change.change_id
        decision = self.history.get(proposal.change.number)
        if decision is None and not proposal.checking:  # a ballot was begun, and may have ended while others decided on
            self.counters["policy_outcomes_unknown"] += 1
            self._finish_proposal(Outcome("unknown", proposal.change.number, UNKNOWN_REASON))
            return
        own_decision = decision if decision is not None and decision.change_id == ident else None
        other_commit = next(
            (
                change
                for change in self.history.values()
                if change.commit and change.number >= proposal.change.number and change.change_id != ident
            ),
            None,
        )
        if own_decision is not None:
            self._finish_proposal(
                Outcome("committed" if own_decision.commit else "aborted", own_decision.number, own_decision.reason)
            )
        elif other_commit is not None or self.committed.number >= proposal.change.number:
            winner = other_commit or self.committed
            self._finish_proposal(
                Outcome(
                    "lost",
                    winner.number,
                    f"epoch {winner.number} is {winner.change_id}, proposed at {winner.proposed_by}",
                )
            )
        elif proposal.abort_requested:
            self._finish_proposal(Outcome("aborted", 0, "aborted by an operator"))
        elif proposal.tries >= MAX_PROPOSAL_TRIES:
            self._finish_proposal(
                Outcome("aborted", 0, f"other proposals were aborted {MAX_PROPOSAL_TRIES} times ahead of it")
            )
        else:
            proposal.tries += 1
            previous = proposal.change
            proposal.change = Change(
                self.epoch + 1, ident, True, previous.settings, "", previous.proposed_by, previous.proposed_at_ms
            )
            if not proposal.checking:
                self._decide(proposal.change, now_us)

    def _finish_proposal(self, outcome: Outcome) -> None:
        assert self.proposal is not None
        self._record_outcome(self.proposal.change.change_id, outcome)
        self.proposal = None

    def _record_outcome(self, ident: str, outcome: Outcome) -> None:
        self.outcomes[ident] = outcome
        if len(self.outcomes) > MAX_OUTCOMES:
            self.outcomes.popitem(last=False)

    # a node that has lost its memory

    def _on_rejoin_reply(self, sender: str, peer: Peer, message: RejoinReply, now_us: int) -> None:
        if message.receiver_incarnation != self.incarnation:
            return
        for name, incarnation in message.incarnations.items():
            self._learn_incarnation(name, incarnation)
        if peer.incarnation < self.incarnations[sender]:
            return
        peer = self.peers[sender]
        peer.echoed_stamp_us = max(peer.echoed_stamp_us, message.echoed_stamp_us)
        peer.epoch, peer.has_accepted, peer.memory_intact = (
            message.log.last_decided,
            message.value is not None,
            message.memory_intact,
        )
        if not self.memory_intact:
            self.rejoin_replies[sender] = message
            self._on_log(message.log, now_us)
            self._recover()
        self._follow_epoch(sender, peer, now_us)

    def _recover(self) -> None:
        """Lets this node vote again once enough nodes have replied to ``Rejoin``. If a majority has lost its memory at
        the same time, that never happens; then, with ``together``, once all nodes have replied in their present
        incarnations, they resume from the last epoch that any of them knows, if there is one."""
        intact = [name for name, state in self.rejoin_replies.items() if state.memory_intact]
        if not can_recover(intact, self.groups(), self.name):
            if (
                not self.options.recover_together
                or self.rejoin_replies.keys() != self.peers.keys()
                or not (intact or self.epoch)
            ):
                return
            self.counters["policy_rejoined_together"] += 1
            log.error(
                "policy: a majority of the nodes has lost its memory: resuming from epoch %d, the last that any "
                "node knows; a change committed shortly before the loss may be gone",
                self.epoch,
            )
        for state in self.rejoin_replies.values():
            if state.log.last_decided == self.epoch:
                self.register.merge(state.promised, state.accepted, state.value)
        self.memory_intact = True
        self.rejoin_replies = {}
        self.counters["policy_rejoined"] += 1

    # proposal, first step: every live node reports whether it can apply the change

    def _on_check_reply(self, sender: str, message: CheckReply, now_us: int) -> None:
        proposal = self.proposal
        if proposal is None or message.change_id != proposal.change.change_id or not proposal.checking:
            return
        proposal.awaiting.discard(sender)
        if message.reason:
            self._decide(self._as_aborted(proposal.change, f"{sender}: {message.reason}"), now_us)
            return
        proposal.compatible.add(sender)
        self._advance_check(now_us)

    def _advance_check(self, now_us: int) -> None:
        """Starts the ballot once all live nodes can apply the change, or aborts the change if a reply is overdue."""
        proposal = self.proposal
        if proposal is None or not proposal.checking:
            return
        unasked = (
            self.live_peers - proposal.awaiting - proposal.compatible
        )  # nodes that have joined since are asked too
        proposal.awaiting = (proposal.awaiting & self.live_peers) | unasked
        for name in sorted(unasked):
            self._send(name, CheckSettings(proposal.change.change_id, proposal.change.settings))
        if not proposal.awaiting:
            if has_majority(proposal.compatible, self.groups()):
                self._decide(proposal.change, now_us)
            else:
                self._finish_proposal(Outcome("refused", 0, "no majority of the nodes is reachable"))
        elif now_us - proposal.started_at_us >= self.check_us:
            overdue = ", ".join(sorted(proposal.awaiting))
            self._decide(
                self._as_aborted(
                    proposal.change, f"{overdue}: did not report in time whether the change can be applied"
                ),
                now_us,
            )
        elif now_us >= proposal.resend_at_us:
            proposal.resend_at_us = now_us + self.options.retry_us
            for name in sorted(proposal.awaiting):
                self._send(name, CheckSettings(proposal.change.change_id, proposal.change.settings))

    @staticmethod
    def _as_aborted(change: Change, reason: str) -> Change:
        return Change(change.number, change.change_id, False, b"", reason, change.proposed_by, change.proposed_at_ms)

    # proposal, second step: a majority decides once

    def _decide(self, proposed_value: Change, now_us: int) -> None:
        """Starts a ballot for the next number, with ``proposed_value`` unless another value was accepted before."""
        if self.proposal is not None and proposed_value.change_id == self.proposal.change.change_id:
            self.proposal.checking = False
            self._record_outcome(
                proposed_value.change_id, Outcome("deciding", proposed_value.number, proposed_value.reason)
            )
        proposed_value = Change(
            self.epoch + 1,
            proposed_value.change_id,
            proposed_value.commit,
            proposed_value.settings,
            proposed_value.reason,
            proposed_value.proposed_by,
            proposed_value.proposed_at_ms,
        )
        self._start_ballot(proposed_value, now_us)

    def _start_ballot(self, proposed_value: Change, now_us: int) -> None:
        self.highest_round += 1
        ballot = (self.highest_round, self.name, self.incarnation)
        round_ = self.round = Round(proposed_value.number, ballot, proposed_value)
        round_.resend_at_us = now_us + self.options.retry_us
        self._broadcast(Prepare(round_.number, ballot))
        self._vote_locally(now_us)

    def _vote_locally(self, now_us: int) -> None:
        """Answers this node's own ballot."""
        round_ = self.round
        if round_ is None or not (self.memory_intact and self.may_vote) or round_.number != self.register.number:
            return
        incarnations = dict(self.incarnations)
        answer: Promise | Accepted | Nack
        if round_.value is None:
            answer = self.register.prepare(round_.ballot, incarnations)
        else:
            answer = self.register.accept(round_.ballot, round_.value, incarnations)
        self._on_ballot_reply(self.name, self.incarnation, answer, now_us)

    def _answer_ballot(
        self, sender: str, number: int, vote: Callable[[], Promise | Accepted | Nack], now_us: int
    ) -> None:
        if number <= self.epoch:
            self._send(sender, self._log(number - 1))
        elif number > self.epoch + 1:
            self._send(sender, Pull(self.epoch))
        elif self.memory_intact and self.may_vote:
            answer = vote()
            self.highest_round = max(self.highest_round, self.register.promised[0])
            self._send(sender, answer)
        else:
            self.counters["policy_abstained"] += 1

    def _on_ballot_reply(self, sender: str, incarnation: int, message: Promise | Accepted | Nack, now_us: int) -> None:
        round_ = self.round
        if isinstance(message, Nack):
            self.highest_round = max(self.highest_round, message.promised[0])
            if round_ is not None and message.ballot == round_.ballot and not round_.retry_at_us:
                # Two concurrent proposers could reject each other's ballots forever: they wait for different times.
                round_.retry_at_us = now_us + self.options.retry_us * (1 + self._rank() % 8) // 2
            return
        for name, known in message.incarnations.items():
            self._learn_incarnation(name, known)
        if round_ is None or message.number != round_.number:
            return
        if isinstance(message, Promise):
            if round_.on_promise(sender, incarnation, message, self.groups()):
                assert round_.value is not None
                round_.resend_at_us = now_us + self.options.retry_us
                self._broadcast(Accept(round_.number, round_.ballot, round_.value))
                self._vote_locally(now_us)
        elif round_.on_accepted(sender, incarnation, message, self.groups()):
            assert round_.value is not None
            value = round_.value
            self.round = None
            self.counters["policy_decided"] += 1
            committed = value if value.commit else self.committed
            recent = (*self._log(self.epoch).recent_changes, value.without_settings())
            self._on_log(Log(value.number, committed, recent), now_us)
            for name, peer in self.peers.items():
                self._send(name, self._log(peer.epoch))

    def _rank(self) -> int:
        """Returns this node's index among the live nodes by name, by which they delay their ballots differently."""
        return sorted({self.name, *self.live_peers}).index(self.name)

    def _drive_ballot(self, now_us: int) -> None:
        """Resends the current ballot to nodes that have not answered, retries one that a higher ballot rejected, and
        finishes a value that another node left undecided after ``resolve_us``."""
        round_ = self.round
        if round_ is not None:
            if round_.retry_at_us and now_us >= round_.retry_at_us:
                self._start_ballot(round_.proposed_value, now_us)
            elif not round_.retry_at_us and now_us >= round_.resend_at_us:
                round_.resend_at_us = now_us + self.options.retry_us
                answered = set(round_.current_answers())
                message = (
                    Prepare(round_.number, round_.ballot)
                    if round_.value is None
                    else Accept(round_.number, round_.ballot, round_.value)
                )
                self._outputs.extend(Send(peer, message) for peer in self.peers if peer not in answered)
                if self.name not in answered:
                    self._vote_locally(now_us)
        elif (
            self.undecided_since_us
            and now_us - self.undecided_since_us >= self.options.resolve_us + self._rank() * RESOLVE_STEP_US
        ):
            self._abort_undecided("the node that proposed it is down", 0, now_us)

    def _abort_undecided(self, reason: str, proposed_at_ms: int, now_us: int) -> None:
        self.counters["policy_resolved"] += 1
        self._last_sequence += 1
        self._start_ballot(
            Change(
                self.epoch + 1,
                f"{self.name}-{self.incarnation}-{self._last_sequence}",
                False,
                b"",
                reason,
                self.name,
                proposed_at_ms,
            ),
            now_us,
        )

    # for operators

    def node_statuses(self, now_us: int) -> dict[str, dict[str, object]]:
        """Returns the status of each node as this one knows it."""
        rows: dict[str, dict[str, object]] = {
            self.name: {
                "epoch": self.epoch,
                "alive": True,
                "serving": self.serving(now_us),
                "whole": self.memory_intact,
                "behind": 0,
            }
        }
        highest_epoch = max([self.epoch, *(peer.epoch for peer in self.peers.values())])
        for name, peer in self.peers.items():
            rows[name] = {
                "epoch": peer.epoch,
                "alive": name in self.live_peers,
                "serving": peer.serving and name in self.live_peers,
                "whole": peer.memory_intact,
                "behind": highest_epoch - peer.epoch,
            }
        rows[self.name]["behind"] = highest_epoch - self.epoch
        return dict(sorted(rows.items()))

    def _take_outputs(self) -> list[Output]:
        out, self._outputs = self._outputs, []
        if (
            self.options.has_disk
            and self.memory_intact
            and self._last_saved != (durable_state := self._durable_state())
        ):
            self._last_saved = durable_state
            register = self.register
            memory = SavedState(
                SAVED_STATE_VERSION,
                self.name,
                self._log(known_epoch=0),
                register.promised,
                register.accepted,
                register.value,
            )
            out.insert(0, SaveState(msgspec.msgpack.encode(memory)))
        return out

    def on_save_failed(self) -> None:
        """The driver failed to save the state: this node's votes don't count until it has rejoined, not even in
        its own ballots."""
        self.memory_intact, self.rejoin_replies, self._last_saved = False, {}, ()
        if self.round is not None:
            self.round.answers.pop(self.name, None)

    def retry_save(self) -> None:
        """The driver failed to save the state, and has sent nothing that followed it: no vote is lost, and each call
        requests the save again until it succeeds."""
        self._last_saved = ()
