"""Messages of the watch protocol, and the outputs of the control roles.

A subscriber (a node, a relay, or a voter that has to catch up) connects to a publisher (a relay or a voter). Times are
in microseconds. A stamp is a reading of the subscriber's monotonic clock; the publisher echoes it without interpreting
it."""

from __future__ import annotations

import msgspec

from .versions import Version

PROTOCOL = 1
MAX_WORST_NODES = 8  # nodes listed in a report


class Watch(msgspec.Struct, frozen=True, array_like=True, tag="watch"):
    """A subscriber's first message: its name and incarnation, and the version that it has.

    ``incarnation``: the incarnation, larger for each later process of the same name. ``is_relay``: whether the
    subscriber publishes to others and reports on them. ``number``, ``digest``: the version in force at the
    subscriber."""

    protocol: int
    name: str
    incarnation: int
    is_relay: bool
    number: int
    digest: bytes


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Requests a grant, and reports the subscriber's version and whether it accepts requests.

    ``incompatibility``: why the subscriber can't apply that version; empty if it can."""

    stamp: int
    number: int
    serving: bool
    incompatibility: str


class Acknowledge(msgspec.Struct, frozen=True, array_like=True, tag="ack"):
    """The subscriber has applied all versions up to ``number``, and received ``pieces`` pieces of the current
    snapshot."""

    number: int
    pieces: int


class Standing(msgspec.Struct, frozen=True, array_like=True):
    """One node as known to its relay: its version, and why the node can't apply it (``unfit``; empty if it can)."""

    name: str
    number: int
    unfit: str


class Report(msgspec.Struct, frozen=True, array_like=True, tag="report"):
    """A relay's summary of its nodes.

    ``nodes``: connected nodes. ``serving``: those that accept requests. ``lowest``: the lowest version in force among
    them. ``behind``: nodes with an older version than the relay. ``unfit``: nodes that can't apply their version.
    ``worst``: up to ``MAX_WORST_NODES`` nodes that are unfit or behind."""

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
    """Starts the transfer of a whole table in pieces. The subscriber uses its own table until the last piece has
    arrived and the digest matches."""

    number: int
    digest: bytes
    content: bytes  # ``Table.content`` in 16 bytes, big-endian
    resources: int
    size: int  # ``Table.bytes``


class SnapshotPiece(msgspec.Struct, frozen=True, array_like=True, tag="piece"):
    """One piece of a snapshot; pieces are sent in order, and ``index`` is the position.

    ``resources``: msgpack of ``tuple[Put, ...]``, encoded once for all subscribers."""

    index: int
    last: bool
    resources: bytes


class Grant(msgspec.Struct, frozen=True, array_like=True, tag="grant"):
    """The response to a heartbeat: ``number`` was in force, and a lease on it lasts ``remaining_us`` microseconds from
    ``stamp`` on (0: no lease). ``hears_majority``: whether the publisher is in contact with a majority of the
    voters."""

    stamp: int
    number: int
    remaining_us: int
    hears_majority: bool


class Refuse(msgspec.Struct, frozen=True, array_like=True, tag="refuse"):
    """The publisher rejects the watch, for ``reason``, and closes the link. ``retry_after_us``: microseconds for which
    the subscriber should not connect to this publisher again."""

    reason: str
    retry_after_us: int


FromSubscriber = Watch | Heartbeat | Acknowledge | Report
FromPublisher = Delta | SnapshotBegin | SnapshotPiece | Grant | Refuse
Message = FromSubscriber | FromPublisher


class Dial(msgspec.Struct, frozen=True):
    """Output: connect to this publisher. The driver then calls ``connected`` or ``disconnected``."""

    publisher: str


class ClosePublisherLink(msgspec.Struct, frozen=True):
    """Output: close the link to the publisher. The driver does not call ``disconnected`` for it."""

    reason: str


class SendToPublisher(msgspec.Struct, frozen=True):
    """Output: send a message to the publisher."""

    message: FromSubscriber


class SendToSubscriber(msgspec.Struct, frozen=True):
    """Output: send a message to the subscriber on ``link`` (a number assigned by the driver).

    The same message object may go to many links in a row, so that drivers can encode it once."""

    link: int
    message: FromPublisher


class CloseSubscriberLink(msgspec.Struct, frozen=True):
    """Output: close ``link`` once its send buffer is flushed. The driver does not call ``subscriber_disconnected``
    for it."""

    link: int
    reason: str


class SendToVoter(msgspec.Struct, frozen=True):
    """Output of a voter: send a message of the ``epochs`` protocol to another voter."""

    to: str
    message: object


class PersistVote(msgspec.Struct, frozen=True):
    """Output of a voter: persist its vote before any ``SendToVoter`` that follows is carried out.

    If the write fails, the driver calls ``Voter.vote_write_failed`` and carries out no ``SendToVoter`` of the same
    outputs."""

    encoded_state: bytes


class PersistVersion(msgspec.Struct, frozen=True):
    """Output: the version is in force here; a driver with persistent storage appends it to its store.

    A voter's version has to be on disk before any ``PersistVote`` that follows."""

    version: Version


class PersistTable(msgspec.Struct, frozen=True):
    """Output: the whole table was replaced by a snapshot; a driver with persistent storage rewrites its store from the
    table in force, which may be a later one by the time it is written."""

    number: int
    digest: bytes


PersistOutput = PersistVersion | PersistTable
SubscriberOutput = Dial | ClosePublisherLink | SendToPublisher
PublisherOutput = SendToSubscriber | CloseSubscriberLink
AgentOutput = SubscriberOutput | PersistOutput
RelayOutput = SubscriberOutput | PublisherOutput
VoterOutput = SendToVoter | PersistVote | SubscriberOutput | PersistOutput | PublisherOutput
