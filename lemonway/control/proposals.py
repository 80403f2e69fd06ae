"""A voter's queue of proposals: bounded in number and in time, put to the voters one after the other. One that was lost
to another voter's change is put to them again, on the version that is the last by then."""

from __future__ import annotations

from collections import OrderedDict, deque
from dataclasses import dataclass

from ..epochs.member import Outcome
from .resources import Operation
from .terms import VoterTerms

OUTCOMES_MOST = 1_024  # outcomes that are remembered
OPEN = ("queued", "checking", "deciding")  # states of an outcome that is not the last


class Full(Exception):
    """As many proposals wait as there may be."""


@dataclass(slots=True)
class Proposal:
    """A change that an operator asked for at this voter."""

    ident: str
    operations: tuple[Operation, ...]
    at: int  # Unix milliseconds
    since: int  # when it was asked for
    tries: int = 0


class Proposals:
    """The queue, the proposal that the voters decide on now, and what became of the earlier ones."""

    def __init__(self, terms: VoterTerms) -> None:
        self.terms = terms
        self.outcomes: OrderedDict[str, Outcome] = OrderedDict()
        self.current: Proposal | None = None
        self._queue: deque[Proposal] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def add(self, proposal: Proposal) -> None:
        """Wait for its turn. Raises ``Full``."""
        if len(self._queue) >= self.terms.queue_most:
            raise Full(f"{len(self._queue)} proposals wait, {self.terms.queue_most} at most")
        self._queue.append(proposal)
        self.tell(proposal, Outcome("queued"))

    def take(self) -> Proposal | None:
        """The next one is the current one from now on."""
        self.current = self._queue.popleft() if self._queue else None
        return self.current

    def expire(self, now: int) -> None:
        """Refuse those that have waited too long."""
        while self._queue and now >= self._queue[0].since + self.terms.wait_most_us:
            proposal = self._queue.popleft()
            self.tell(proposal, Outcome("refused", 0, f"could not be decided within {self.terms.wait_most_us} us"))

    def progress(self, outcome: Outcome) -> None:
        """How the current one stands with the voters."""
        proposal = self.current
        assert proposal is not None
        if outcome.state == "lost" and proposal.tries < self.terms.retries_most:
            proposal.tries += 1
            self._queue.appendleft(proposal)
            self.tell(proposal, Outcome("queued", 0, outcome.reason))
            self.current = None
            return
        self.tell(proposal, outcome)
        if outcome.state not in OPEN:
            self.current = None

    def tell(self, proposal: Proposal, outcome: Outcome) -> None:
        """Remember its outcome; old ones that are final are forgotten."""
        self.outcomes[proposal.ident] = outcome
        while len(self.outcomes) > OUTCOMES_MOST + self.terms.queue_most:
            self.outcomes.popitem(last=False)
