"""The proposer of single-decree Paxos, with one register per key: has claims of this node decided.

The key's home node starts with a fast round, number 0, that needs no promises: no ballot is lower, and only the home
may use it, once per key and incarnation, after it has caught up. So the home node claims a key in one round trip."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from ..quorum import has_current_majority
from .context import ReplicaContext
from .messages import (
    NO_BALLOT,
    Accept,
    Accepted,
    Ballot,
    Chosen,
    Claim,
    Incarnations,
    Nack,
    NoQuorum,
    Prepare,
    Promise,
    RunOutcome,
    Withdraw,
)
from .placement import Group
from .registers import Register, RegisterTable

RESEND_US = 40_000  # first retransmission interval; it doubles with each retransmission
MAX_RESEND_US = 1_000_000  # upper bound of the interval


@dataclass(slots=True)
class Proposal:
    """A claim of this node that is not decided yet."""

    own_claim: Claim
    ballot: Ballot
    group: Group
    deadline_us: int
    phase: int = 1  # 1: collecting promises; 2: collecting accepts
    value: Claim | None = None  # proposed in phase 2: ``own_claim``, or the claim that the promises require
    last_message: Prepare | Accept | None = None
    promises: dict[str, tuple[int, Promise]] = field(default_factory=dict)
    accepts: dict[str, tuple[int, Incarnations]] = field(default_factory=dict)
    highest_round: int = 0  # the highest round reported in a ``Nack``
    retry_at_us: int = 0  # when the next round starts after a ``Nack``; 0: no ``Nack`` in this round
    resend_at_us: int = 0
    resend_interval_us: int = RESEND_US

    def answered_by(self) -> dict[str, int]:
        """The members that have answered in this phase, with their incarnations."""
        if self.phase == 1:
            return {member: incarnation for member, (incarnation, _) in self.promises.items()}
        return {member: incarnation for member, (incarnation, _) in self.accepts.items()}


class Proposer:
    """Runs the proposals of this node.

    ``claim_us``: how long a claim may take before ``NoQuorum``. ``retry_us``: base delay before the round that follows
    a ``Nack``. ``may_vote`` returns whether this node has caught up with a key's groups. ``learn`` is called with each
    chosen claim."""

    def __init__(
        self,
        context: ReplicaContext,
        table: RegisterTable,
        *,
        may_vote: Callable[[str], bool],
        learn: Callable[[str, Claim, RunOutcome | None, int], bool],
        claim_us: int,
        retry_us: int,
    ) -> None:
        self.context, self.table, self.may_vote, self.learn = context, table, may_vote, learn
        self.claim_us, self.retry_us = claim_us, retry_us
        self.proposals: dict[str, Proposal] = {}
        self._random = random.Random(f"{context.name}/{context.incarnation}")

    def start(self, key: str, own_claim: Claim, register: Register, now_us: int) -> None:
        """Propose ``own_claim``, in the fast round if this node may use it."""
        context = self.context
        fast = self._may_use_fast_round(key, register)
        highest_round = max(register.promised[0], register.accepted[0], 0)
        ballot = (0 if fast else highest_round + 1, context.name, context.incarnation)
        proposal = self.proposals[key] = Proposal(own_claim, ballot, register.group, now_us + self.claim_us)
        if fast:
            register.fast_used = True
            proposal.phase, proposal.value = 2, own_claim
            context.counters["claims_fast"] += 1
            self._send_all(key, proposal, Accept(key, ballot, own_claim), now_us)
        else:
            context.counters["claims_slow"] += 1
            self._send_all(key, proposal, Prepare(key, ballot), now_us)

    def on_promise(self, sender: str, incarnation: int, msg: Promise, now_us: int) -> None:
        """Record a promise; a majority of them starts phase 2."""
        proposal = self.proposals.get(msg.key)
        if proposal is None or proposal.phase != 1 or msg.ballot != proposal.ballot:
            return
        self.context.record_incarnations(msg.incarnations)
        proposal.promises[sender] = (incarnation, msg)
        answers = {
            member: (incarnation, promise.incarnations) for member, (incarnation, promise) in proposal.promises.items()
        }
        if not has_current_majority(answers, self.context.placement.groups(msg.key), self.context.incarnations):
            return
        proposal.value = self._value_to_propose(proposal, now_us)
        proposal.phase = 2
        self._send_all(msg.key, proposal, Accept(msg.key, proposal.ballot, proposal.value), now_us)

    def on_accepted(self, sender: str, incarnation: int, msg: Accepted, now_us: int) -> None:
        """Record a vote; with a majority of them the claim is chosen and the group is notified."""
        proposal = self.proposals.get(msg.key)
        if proposal is None or proposal.phase != 2 or msg.ballot != proposal.ballot:
            return
        context = self.context
        context.record_incarnations(msg.incarnations)
        proposal.accepts[sender] = (incarnation, msg.incarnations)
        if not has_current_majority(proposal.accepts, context.placement.groups(msg.key), context.incarnations):
            return
        value = proposal.value or proposal.own_claim
        chosen = Chosen(msg.key, value, None)
        for member in dict.fromkeys((*proposal.group, value.node)):  # a set would make the order differ between runs
            if member != context.name:
                context.send(member, chosen, now_us)
        self.learn(msg.key, value, None, now_us)  # removes the proposal and reports the decision

    def on_nack(self, msg: Nack, now_us: int) -> None:
        """An acceptor has promised a higher ballot: schedule a higher round after a delay."""
        proposal = self.proposals.get(msg.key)
        if proposal is None or msg.ballot != proposal.ballot:
            return
        if not proposal.retry_at_us:
            self.context.counters["nacked"] += 1
            # Random and growing with each round: two proposers that preempt each other could otherwise go on forever.
            proposal.retry_at_us = now_us + int(
                self.retry_us * (0.5 + self._random.random() * (1 + proposal.ballot[0]))
            )
        proposal.highest_round = max(proposal.highest_round, msg.promised[0])

    def tick(self, now_us: int) -> None:
        """Handle timeouts, due rounds and retransmissions."""
        for key, proposal in list(self.proposals.items()):
            if now_us >= proposal.deadline_us:
                self._abandon(key, proposal, now_us)
            elif proposal.retry_at_us and now_us >= proposal.retry_at_us:
                self._next_round(key, proposal, now_us)
            elif now_us >= proposal.resend_at_us and proposal.last_message is not None:
                incarnations = self.context.incarnations
                answered = {
                    member
                    for member, incarnation in proposal.answered_by().items()
                    if incarnation >= incarnations.get(member, 0)
                }
                self._send_all(key, proposal, proposal.last_message, now_us, skip=answered)

    def _may_use_fast_round(self, key: str, register: Register) -> bool:
        return (
            register.group[0] == self.context.name
            and not register.fast_used
            and register.promised == NO_BALLOT
            and len(self.context.placement.groups(key)) == 1
            and self.may_vote(key)
        )

    def _value_to_propose(self, proposal: Proposal, now_us: int) -> Claim:
        """The claim with the highest ballot that any member of the majority has accepted, else this node's own.

        Claims whose windows have ended are ignored."""
        highest = max(
            (
                promise
                for _, promise in proposal.promises.values()
                if promise.value is not None and promise.value.window_end_us + self.table.keep_us >= now_us
            ),
            key=lambda promise: promise.accepted,
            default=None,
        )
        return proposal.own_claim if highest is None or highest.value is None else highest.value

    def _send_all(
        self, key: str, proposal: Proposal, message: Prepare | Accept, now_us: int, skip: set[str] | None = None
    ) -> None:
        """Send ``message`` to the group except ``skip``, and schedule its retransmission."""
        if proposal.last_message is message:
            proposal.resend_interval_us = min(MAX_RESEND_US, 2 * proposal.resend_interval_us)
        else:
            proposal.last_message, proposal.resend_interval_us = message, RESEND_US
        proposal.resend_at_us = now_us + proposal.resend_interval_us
        for member in proposal.group:
            if self.proposals.get(key) is not proposal or proposal.last_message is not message:
                return  # this node's own answer, delivered at once, has advanced the proposal
            if skip is None or member not in skip:
                self.context.send(member, message, now_us)

    def _next_round(self, key: str, proposal: Proposal, now_us: int) -> None:
        register = self.table.get(key)
        highest_round = max(proposal.ballot[0], proposal.highest_round, 0 if register is None else register.promised[0])
        ballot = (highest_round + 1, self.context.name, self.context.incarnation)
        proposal.ballot, proposal.phase, proposal.retry_at_us = ballot, 1, 0
        proposal.promises.clear()
        proposal.accepts.clear()
        self._send_all(key, proposal, Prepare(key, proposal.ballot), now_us)

    def _abandon(self, key: str, proposal: Proposal, now_us: int) -> None:
        """Abandon the claim: this node will never run it, so acceptors may discard it."""
        del self.proposals[key]
        self.context.counters["no_quorum"] += 1
        for member in proposal.group:
            self.context.send(member, Withdraw(key, proposal.ballot), now_us)
        self.context.out.append(NoQuorum(key))
