"""Messages between replicas, and the decisions that a replica reports to its driver. Times are Unix microseconds.

The sender and its incarnation are known from the connection (``Hello``) and not repeated in each message.

Every answer that counts towards a majority carries ``incarnations``: those of the group's members as the sender knows
them. A majority counts only if no member of it knows a newer incarnation of another, because a restarted replica has
forgotten the answers of its earlier incarnations (quorum.py, ``has_current_majority``)."""

from __future__ import annotations

import msgspec

VERSION = 1  # of this protocol

Ballot = tuple[int, str, int]  # (round, proposer, its incarnation): compared as a tuple
Incarnations = dict[str, int]  # by node name
NO_BALLOT: Ballot = (-1, "", 0)

# Values of ``RunOutcome.kind``: the run failed; succeeded; never took place; succeeded with a result too large to
# replicate.
RUN_FAILED, RUN_SUCCEEDED, VOID, RESULT_TOO_LARGE = 0, 1, 2, 3


class Claim(msgspec.Struct, frozen=True, array_like=True):
    """The right of ``node`` to run a key.

    ``incarnation``: the node's incarnation, new with each start, so that a restarted node does not take a claim of an
    earlier incarnation for its own. ``digest``: of the request body. ``arrived_at_us``: arrival time of the try (Unix
    us). ``window_end_us``: end of the window in which no other try of the key may run (Unix us)."""

    node: str
    incarnation: int
    digest: bytes
    arrived_at_us: int
    window_end_us: int


class RunOutcome(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a chosen claim. ``kind``: ``RUN_FAILED``, ``RUN_SUCCEEDED``, ``VOID``, ``RESULT_TOO_LARGE``;
    ``body``: result if ``RUN_SUCCEEDED``."""

    kind: int
    body: bytes = b""


class Hello(msgspec.Struct, frozen=True, array_like=True, tag="hello"):
    """The first message on a connection. ``group_size`` and ``peers_hash`` have to agree: they decide key placement."""

    version: int
    name: str
    incarnation: int
    group_size: int
    peers_hash: int  # a hash of the list of peers
    epoch: int  # the number of changes of that list


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="beat"):
    """Periodic heartbeat with the node's status. ``status_version`` orders the changes of ``drained`` of one node."""

    status_version: tuple[int, int]  # (incarnation, number of the change within that incarnation)
    ready: bool
    drained: bool
    caught_up: bool


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="prep"):
    """Phase 1 of Paxos: asks an acceptor to promise the ballot."""

    key: str
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="prom"):
    """Answer to ``Prepare``, with the claim and ballot that the acceptor has accepted so far."""

    key: str
    ballot: Ballot
    accepted: Ballot
    value: Claim | None
    incarnations: Incarnations


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="acc"):
    """Phase 2 of Paxos: asks an acceptor to accept the claim."""

    key: str
    ballot: Ballot
    value: Claim


class Withdraw(msgspec.Struct, frozen=True, array_like=True, tag="with"):
    """The sender has abandoned its claim and will not run it: an acceptor discards it if accepted up to this ballot."""

    key: str
    ballot: Ballot


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="accd"):
    """Answer to ``Accept``: the claim is accepted."""

    key: str
    ballot: Ballot
    incarnations: Incarnations


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="nack"):
    """The acceptor rejects ``ballot`` because it has promised the higher ballot ``promised``."""

    key: str
    ballot: Ballot
    promised: Ballot


class Chosen(msgspec.Struct, frozen=True, array_like=True, tag="chos"):
    """The chosen claim and its outcome if known. ``durable``: a majority is known to store the outcome."""

    key: str
    value: Claim
    outcome: RunOutcome | None
    durable: bool = False


class Result(msgspec.Struct, frozen=True, array_like=True, tag="res"):
    """Asks the key's group to store an outcome. Sent by the node that ran the key, or by one that will answer a
    try of the key with it."""

    key: str
    value: Claim
    outcome: RunOutcome


class ResultAck(msgspec.Struct, frozen=True, array_like=True, tag="kept"):
    """Answer to ``Result``: the outcome is stored."""

    key: str
    incarnations: Incarnations


class Fetch(msgspec.Struct, frozen=True, array_like=True, tag="fetch"):
    """Asks for the chosen claim and its outcome. Answered with ``Chosen``, or not at all if no claim is chosen."""

    key: str


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The complete register of a key in one replica."""

    key: str
    window_end_us: int
    promised: Ballot
    accepted: Ballot
    value: Claim | None
    chosen: Claim | None
    outcome: RunOutcome | None
    durable: bool


class Recover(msgspec.Struct, frozen=True, array_like=True, tag="rec"):
    """Asks for a snapshot of all keys that both nodes replicate. Sent after a start with empty memory."""

    request_id: int


class SnapshotPart(msgspec.Struct, frozen=True, array_like=True, tag="cop"):
    """Part number ``part`` of the answer to the ``Recover`` with the same ``request_id``.

    ``caught_up``: whether the sender has caught up itself. The last part also has the peers that the sender has
    recovered from, the incarnations that it knows (answers that the receiver gave before its restart relied on what it
    knew of them), and the drain state that it knows of the receiver."""

    request_id: int
    part: int
    entries: tuple[Entry, ...]
    last: bool
    caught_up: bool
    recovered_from: tuple[str, ...]
    incarnations: tuple[tuple[str, int], ...]
    drain_state: tuple[int, int, bool] | None  # (incarnation, number of the change within it, whether drained)


class Digests(msgspec.Struct, frozen=True, array_like=True, tag="dig"):
    """One checksum per range of the keys that both nodes replicate, over chosen claims and outcomes."""

    range_checksums: tuple[int, ...]


class Listing(msgspec.Struct, frozen=True, array_like=True, tag="list"):
    """The keys of a range whose checksums differ, each with its own checksum."""

    range_index: int
    key_checksums: tuple[tuple[str, int], ...]


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="pull"):
    """Asks for the chosen claims and outcomes of these keys."""

    keys: tuple[str, ...]


class Repair(msgspec.Struct, frozen=True, array_like=True, tag="fix"):
    """Chosen claims and outcomes that the receiver lacks."""

    chosen_claims: tuple[Chosen, ...]


Message = (
    Hello
    | Heartbeat
    | Prepare
    | Promise
    | Accept
    | Withdraw
    | Accepted
    | Nack
    | Chosen
    | Result
    | ResultAck
    | Fetch
    | Recover
    | SnapshotPart
    | Digests
    | Listing
    | Pull
    | Repair
)

_decoder: msgspec.msgpack.Decoder[Message] = msgspec.msgpack.Decoder(Message)
encode = msgspec.msgpack.Encoder().encode


def decode(data: bytes) -> Message:
    """Decode one message. Raises ``msgspec.DecodeError`` or its subclass ``ValidationError`` for invalid data."""
    return _decoder.decode(data)


class Send(msgspec.Struct, frozen=True):
    """A message that the driver has to send to the peer ``to``."""

    to: str
    message: Message


# decisions reported to the driver


class Won(msgspec.Struct, frozen=True):
    """This node's claim is chosen: it may run the key once and has to ``publish`` the outcome."""

    key: str
    value: Claim


class Lost(msgspec.Struct, frozen=True):
    """Another claim is chosen: this node must not run the key. If ``outcome`` is None, a ``Learned`` may follow."""

    key: str
    value: Claim
    outcome: RunOutcome | None


class Learned(msgspec.Struct, frozen=True):
    """The outcome of the claim that was chosen instead of this node's."""

    key: str
    value: Claim
    outcome: RunOutcome


class NoQuorum(msgspec.Struct, frozen=True):
    """No majority of the key's group answered in time: the try is refused and the key not run by this node."""

    key: str


class Durable(msgspec.Struct, frozen=True):
    """A majority of the key's group stores the outcome that this node published: the caller may be answered."""

    key: str


class Restored(msgspec.Struct, frozen=True):
    """The drain state of this node before its restart, as peers report it. ``held``: an operator had drained it."""

    drained: bool


Decision = Won | Lost | Learned | NoQuorum | Durable | Restored
Out = Send | Decision
