"""The decision on one epoch number: a write-once register, decided by single-decree Paxos among all listed nodes.

Both roles are here, each without a clock: ``Register`` is one node's acceptor, and ``Round`` one node's attempt as
proposer to have the number decided. A node that has lost its memory has forgotten its votes, and may not vote until it
has heard from enough others to intersect every majority it can have been part of; and a majority counts only if none of
its members knows a newer incarnation of another (Michael et al., *Recovering shared objects without stable storage*,
DISC 2017). Key claims follow the same rules."""

from __future__ import annotations

from ..quorum import can_recover, has_majority
from .messages import NO_BALLOT, Accepted, Ballot, Change, Incarnations, Nack, Promise

Groups = tuple[tuple[str, ...], ...]  # the list of nodes in force, and during a change of the list the previous one too

__all__ = ["Groups", "Register", "Round", "can_recover", "has_majority"]


class Register:
    """The acceptor of one number: this node's promise and vote."""

    __slots__ = ("number", "promised", "accepted", "value")

    def __init__(
        self, number: int, promised: Ballot = NO_BALLOT, accepted: Ballot = NO_BALLOT, value: Change | None = None
    ) -> None:
        self.number, self.promised, self.accepted, self.value = number, promised, accepted, value

    def clone(self) -> Register:
        return Register(self.number, self.promised, self.accepted, self.value)

    def prepare(self, ballot: Ballot, incarnations: Incarnations) -> Promise | Nack:
        if ballot < self.promised:
            return Nack(self.number, ballot, self.promised)
        self.promised = ballot
        return Promise(self.number, ballot, self.accepted, self.value, incarnations)

    def accept(self, ballot: Ballot, value: Change, incarnations: Incarnations) -> Accepted | Nack:
        if ballot < self.promised:
            return Nack(self.number, ballot, self.promised)
        self.promised = self.accepted = ballot
        self.value = value
        return Accepted(self.number, ballot, incarnations)

    def merge(self, promised: Ballot, accepted: Ballot, value: Change | None) -> None:
        """Merges the promise and vote that another node reports into this register, whose node has lost its memory."""
        self.promised = max(self.promised, promised)
        if accepted > self.accepted:
            self.accepted, self.value = accepted, value


class Round:
    """One ballot of one node for one number. The prepare phase collects promises of a majority, the accept phase its
    votes for one value."""

    __slots__ = (
        "number",
        "ballot",
        "proposed_value",
        "value",
        "answers",
        "newest_incarnations",
        "retry_at_us",
        "resend_at_us",
    )

    def __init__(self, number: int, ballot: Ballot, proposed_value: Change) -> None:
        """``proposed_value`` is proposed if no promise reports a value that may be decided already."""
        self.number, self.ballot, self.proposed_value = number, ballot, proposed_value
        self.value: Change | None = None  # set once the accept phase has begun
        # By node: incarnation, accepted ballot and value.
        self.answers: dict[str, tuple[int, Ballot, Change | None]] = {}
        self.newest_incarnations: Incarnations = {}  # newest incarnation known, by node
        self.retry_at_us = 0  # us: time of the next try after a rejection by a higher ballot; 0: none
        self.resend_at_us = 0

    def clone(self) -> Round:
        copy = Round(self.number, self.ballot, self.proposed_value)
        copy.value, copy.answers, copy.newest_incarnations = (
            self.value,
            dict(self.answers),
            dict(self.newest_incarnations),
        )
        copy.retry_at_us, copy.resend_at_us = self.retry_at_us, self.resend_at_us
        return copy

    def current_answers(self) -> list[str]:
        """Returns the nodes that have answered and of which no other answer knows a newer incarnation. Same rule as
        ``quorum.has_current_majority``, which compares every answer with every other; here a whole fleet answers."""
        return [
            name
            for name, (incarnation, _, _) in self.answers.items()
            if incarnation >= self.newest_incarnations.get(name, 0)
        ]

    def _record_answer(
        self, sender: str, incarnation: int, incarnations: Incarnations, accepted: Ballot, value: Change | None
    ) -> None:
        self.answers[sender] = incarnation, accepted, value
        for name, known in {**incarnations, sender: incarnation}.items():
            if known > self.newest_incarnations.get(name, 0):
                self.newest_incarnations[name] = known

    def on_promise(self, sender: str, incarnation: int, message: Promise, groups: Groups) -> bool:
        """Whether the accept phase begins with this answer: ``value`` is then to be accepted."""
        if message.ballot != self.ballot or self.value is not None:
            return False
        self._record_answer(sender, incarnation, message.incarnations, message.accepted, message.value)
        current = self.current_answers()
        if not has_majority(current, groups):
            return False
        _, accepted_value = max(
            ((self.answers[name][1], self.answers[name][2]) for name in current), key=lambda answer: answer[0]
        )
        self.value = self.proposed_value if accepted_value is None else accepted_value
        self.answers, self.newest_incarnations = {}, {}
        return True

    def on_accepted(self, sender: str, incarnation: int, message: Accepted, groups: Groups) -> bool:
        """Whether ``value`` is decided with this answer."""
        if message.ballot != self.ballot or self.value is None:
            return False
        self._record_answer(sender, incarnation, message.incarnations, NO_BALLOT, None)
        return has_majority(self.current_answers(), groups)
