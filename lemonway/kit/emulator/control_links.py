"""Links between machines in virtual time, and the message faults of a faulty publisher. A link is an ordered stream in
each direction; it can be paused or slow, hang without notification, or be closed."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from ...control.messages import Delta, FromPublisher, SnapshotPiece
from ...control.resources import Put


class LinkState(Enum):
    """State of a link over both of its ends."""

    DIALLING = "dialling"
    OPEN = "open"
    HALF_CLOSED = "half"  # one end has closed it and the other has not been notified yet
    CLOSED = "closed"


@dataclass(eq=False)
class Link:
    """One subscriber's connection to one publisher."""

    number: int
    subscriber: str
    publisher: str
    state: LinkState = LinkState.DIALLING
    open_ends: set[str] = field(default_factory=set)  # machines whose end is open
    hung: bool = False  # loses all messages, and neither end is notified
    paused_until: int = 0  # nothing arrives before this time
    spacing_us: int = 0  # least time between two arrivals: a slow link or a slow reader
    last_arrivals: dict[str, int] = field(default_factory=dict)  # by receiver: arrival time of the last message

    def peer_of(self, name: str) -> str:
        """The machine at the other end from ``name``."""
        return self.publisher if name == self.subscriber else self.subscriber

    def close_end(self, name: str) -> None:
        """Closes the end of the machine ``name``."""
        self.open_ends.discard(name)
        self.state = LinkState.HALF_CLOSED if self.open_ends else LinkState.CLOSED

    def schedule_arrival(self, receiver: str, earliest: int) -> int:
        """Returns and records the arrival time of a message that would arrive at ``earliest`` on an idle link. Messages
        arrive in the order of sending."""
        self.last_arrivals[receiver] = max(
            earliest, self.paused_until, self.last_arrivals.get(receiver, 0) + self.spacing_us
        )
        return self.last_arrivals[receiver]


def corrupt_message(message: FromPublisher) -> FromPublisher:
    """The message with its content changed and its digest unchanged."""
    if isinstance(message, Delta):
        version = message.version
        operations = (*version.operations, Put("limit", "altered", b"1"))
        return Delta(msgspec.structs.replace(version, operations=operations))
    if isinstance(message, SnapshotPiece):
        resources: tuple[Put, ...] = msgspec.msgpack.decode(message.resources, type=tuple[Put, ...])
        changed = (*(corrupt_resource(each) for each in resources[:1]), *resources[1:])
        return SnapshotPiece(message.index, message.last, msgspec.msgpack.encode(changed))
    return message


def corrupt_resource(resource: Put) -> Put:
    """The resource with its value changed."""
    return Put(resource.kind, resource.name, b'"altered"')


class MessageFaults:
    """Applies random faults to the versions and snapshot pieces that publishers send: a message is dropped, duplicated,
    corrupted, or delayed until after the next one. ``fault_rate``: share of messages with a fault."""

    def __init__(self, rng: random.Random, fault_rate: float) -> None:
        self.rng, self.fault_rate = rng, fault_rate
        self._delayed: dict[int, FromPublisher] = {}

    def messages_to_send(self, link: int, message: FromPublisher) -> list[FromPublisher]:
        """The messages to send in place of ``message``."""
        if not isinstance(message, Delta | SnapshotPiece):
            return [message]
        delayed = self._delayed.pop(link, None)
        if delayed is not None:
            return [message, delayed]
        if not self.fault_rate or self.rng.random() >= self.fault_rate:
            return [message]
        fault = self.rng.choice(("drop", "double", "alter", "swap"))
        if fault == "swap":
            self._delayed[link] = message
            return []
        if fault == "double":
            return [message, message]
        return [corrupt_message(message)] if fault == "alter" else []
