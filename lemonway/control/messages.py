"""What the two ends of a watch say to each other. A subscriber (a node, a relay, a voter that is behind) dials a
publisher (a relay, a voter). Times are microseconds; a stamp is of the monotonic clock of the one who said it first,
and only that one reads it again."""

from __future__ import annotations

import msgspec

from .versions import Version

PROTOCOL = 1
WORST_MOST = 8  # nodes that a report names


class Watch(msgspec.Struct, frozen=True, array_like=True, tag="watch"):
    """A subscriber's first message: who it is, in which life (a later process of the name has a larger one), and what
    it has. ``relay``: it publishes to others and reports about them."""

    protocol: int
    name: str
    life: int
    relay: bool
    number: int
    digest: bytes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Asks for a grant; says what the subscriber has, whether it takes work, and why it can't take that version."""

    stamp: int
    number: int
    serving: bool
    unfit: str


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """All versions up to ``number`` are in force at the subscriber; ``pieces`` of the snapshot under way are there."""

    number: int
    pieces: int


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """One node as its relay knows it."""

    name: str
    number: int
    unfit: str


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A relay on its nodes: how many watch, how many take work, the lowest version in force among them, how many are
    behind the relay, how many can't take what is in force, and some of the worst."""

    nodes: int
    serving: int
    lowest: int
    behind: int
    unfit: int
    worst: tuple[Standing, ...]


class Delta(msgspec.Struct, frozen=True, array_like=True, tag="delta"):
    """The next version."""

    version: Version


class SnapshotBegin(msgspec.Struct, frozen=True, array_like=True, tag="snap"):
    """A whole table follows in pieces; the subscriber keeps its own until the last is there and agrees."""

    number: int
    digest: bytes
    content: bytes  # ``Table.content`` in 16 bytes, big-endian
    resources: int
    size: int  # ``Table.bytes``


class SnapshotPiece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """One piece; they come in order. ``resources``: msgpack of ``tuple[Put, ...]``, encoded once for all who get it."""

    at: int
    last: bool
    resources: bytes


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """The answer to a heartbeat: ``number`` was in force, and a lease on it lasts for ``remaining`` from ``stamp`` on;
    0: there is none. ``voters``: whether the publisher hears from the voters."""

    stamp: int
    number: int
    remaining: int
    voters: bool


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag="refuse"):
    """The publisher takes no such watch, for ``reason``; the link is closed after this. ``retry``: not here before so
    long."""

    reason: str
    retry: int


FromSubscriber = Watch | Heartbeat | Acknowledge | Report
FromPublisher = Delta | SnapshotBegin | SnapshotPiece | Grant | Refuse
Message = FromSubscriber | FromPublisher


class Dial(msgspec.Struct, frozen=True):
    """Output: connect to this publisher; the answer is ``connected`` or ``disconnected``."""

    publisher: str


class HangUp(msgspec.Struct, frozen=True):
    """Output: close the link to the publisher; ``disconnected`` is not called for it."""

    reason: str


class Say(msgspec.Struct, frozen=True):
    """Output: to the publisher."""

    message: FromSubscriber


class Send(msgspec.Struct, frozen=True):
    """Output: to the subscriber on ``link`` (the driver's number). One message object may go to many links in a row:
    drivers encode it once."""

    link: int
    message: FromPublisher


class Drop(msgspec.Struct, frozen=True):
    """Output: close ``link`` once what was sent on it is out; ``lost`` is not called for it."""

    link: int
    reason: str


class SendVoter(msgspec.Struct, frozen=True):
    """Output of a voter: an epochs message to another voter."""

    to: str
    message: object


class KeepVote(msgspec.Struct, frozen=True):
    """Output of a voter: has to be on disk before any ``SendVoter`` that follows is carried out. Where it can't be
    kept, ``Voter.not_kept`` is called, and no ``SendVoter`` of the same outputs is carried out."""

    memory: bytes


class KeepVersion(msgspec.Struct, frozen=True):
    """Output: the version is in force here; a driver with a disk appends it to its store. A voter's has to be on disk
    before any ``KeepVote`` that follows."""

    version: Version


class KeepTable(msgspec.Struct, frozen=True):
    """Output: the whole table was replaced by a snapshot; a driver with a disk begins its store anew from the table in
    force, which may be a later one by the time it is written."""

    number: int
    digest: bytes


KeepOutput = KeepVersion | KeepTable
SubscriberOutput = Dial | HangUp | Say
PublisherOutput = Send | Drop
AgentOutput = SubscriberOutput | KeepOutput
RelayOutput = SubscriberOutput | PublisherOutput
VoterOutput = SendVoter | KeepVote | SubscriberOutput | KeepOutput | PublisherOutput
