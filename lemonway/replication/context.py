"""State shared by the parts of one replica: its identity, the known incarnations of peers, and the output list."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from .messages import Incarnations, Message, Out, Send
from .placement import Group, Membership


@dataclass(slots=True)
class ReplicaContext:
    """``name``, ``incarnation``: this node. ``incarnations``: the newest known incarnation of each peer. ``out``:
    messages and decisions for the driver. ``deliver`` is called with a message that this node sends to itself, and the
    time."""

    name: str
    incarnation: int
    placement: Membership
    incarnations: dict[str, int]
    counters: Counter[str]
    out: list[Out]
    deliver: Callable[[Message, int], None]

    def send(self, to: str, message: Message, now_us: int) -> None:
        """Queue ``message`` for ``to``; one to this node itself is delivered before the call returns."""
        if to == self.name:
            self.deliver(message, now_us)
        else:
            self.out.append(Send(to, message))

    def incarnations_of(self, group: Group) -> Incarnations:
        """The incarnations of the group's members as this node knows them."""
        return {
            member: self.incarnation if member == self.name else self.incarnations.get(member, 0) for member in group
        }

    def record_incarnations(self, incarnations: Incarnations) -> None:
        """Record newer incarnations that another node reports."""
        for member, incarnation in incarnations.items():
            if member != self.name and incarnation > self.incarnations.get(member, 0):
                self.incarnations[member] = incarnation
