"""What the parts of one replica share: who this node is, what it knows of its peers, and where its messages go."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from .messages import Lives, Message, Out, Send
from .placement import Group, Membership


@dataclass(slots=True)
class ReplicaContext:
    """``name``, ``life``: this node and its incarnation. ``lives``: the newest life of each peer that it knows of.
    ``out``: what the driver has to carry out. ``deliver`` takes a message that this node sends to itself, and now."""

    name: str
    life: int
    placement: Membership
    lives: dict[str, int]
    counters: Counter[str]
    out: list[Out]
    deliver: Callable[[Message, int], None]

    def send(self, to: str, message: Message, now: int) -> None:
        """Send ``message``; to this node itself it is delivered before the call returns."""
        if to == self.name:
            self.deliver(message, now)
        else:
            self.out.append(Send(to, message))

    def lives_of(self, group: Group) -> Lives:
        """The lives of the group's members as this node knows them."""
        return {member: self.life if member == self.name else self.lives.get(member, 0) for member in group}

    def note_lives(self, lives: Lives) -> None:
        """Take in what another node knows of lives."""
        for member, life in lives.items():
            if member != self.name and life > self.lives.get(member, 0):
                self.lives[member] = life
