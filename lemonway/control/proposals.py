"""A voter's queue of proposals: bounded in length and waiting time, and proposed to the voters one at a time.

A proposal is lost when another change is committed in its place; it is then retried on the latest version."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from ..epochs.member import Outcome
from .resources import Operation
from .terms import VoterTerms

MAX_REMEMBERED_OUTCOMES = 1_024
PENDING_STATES = ("queued", "checking", "deciding")  # states of outcomes that are not final


class QueueFull(Exception):
    """The proposal queue is full."""


@dataclass(slots=True)
class Proposal:
    """A change that an operator requested at this voter."""

    ident: str
    operations: tuple[Operation, ...]
    at: int  # Unix milliseconds
    since: int  # local clock when it was requested, in microseconds
    tries: int = 0  # how often it was retried


class Proposals:
    """The queue, the proposal being decided, and the outcomes of earlier ones. Times are microseconds."""

    def __init__(self, terms: VoterTerms) -> None:
        self.terms = terms
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self.current: Proposal | None = None
        self._queue: deque[Proposal] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, proposal: Proposal) -> None:
        """Appends a proposal to the queue. Raises ``QueueFull`` if the queue is at its limit."""
        if len(self._queue) >= self.terms.max_queued_proposals:
            raise QueueFull(f"{len(self._queue)} proposals are queued, {self.terms.max_queued_proposals} at most")
        self._queue.append(proposal)
        self.record_outcome(proposal, Outcome("queued"))

    def start_next(self) -> Proposal | None:
        """Removes the next proposal from the queue and makes it the current one; ``None`` if the queue is empty."""
        self.current = self._queue.popleft() if self._queue else None
        return self.current

    def expire(self, now: int) -> None:
        """Refuses queued proposals that were requested longer ago than ``max_queue_time_us``."""
        while self._queue and now >= self._queue[0].since + self.terms.max_queue_time_us:
            proposal = self._queue.popleft()
            self.record_outcome(
                proposal, Outcome("refused", 0, f"not decided within {self.terms.max_queue_time_us} us")
            )

    def update_current(self, outcome: Outcome) -> None:
        """Records the current proposal's outcome. Queues it again, at the front, if it lost and has retries left."""
        proposal = self.current
        assert proposal is not None
        if outcome.state == "lost" and proposal.tries < self.terms.max_retries:
            proposal.tries += 1
            self._queue.appendleft(proposal)
            self.record_outcome(proposal, Outcome("queued", 0, outcome.reason))
            self.current = None
            return
        self.record_outcome(proposal, outcome)
        if outcome.state not in PENDING_STATES:
            self.current = None

    def record_outcome(self, proposal: Proposal, outcome: Outcome) -> None:
        """Records an outcome and drops the oldest past the limit. Those are final, because the limit exceeds the number
        of pending proposals, which are the newest."""
        self.outcomes[proposal.ident] = outcome
        while len(self.outcomes) > MAX_REMEMBERED_OUTCOMES + self.terms.max_queued_proposals:
            self.outcomes.popitem(last=False)
