"""Messages between nodes about epochs, and the outputs of a node's ``Epochs`` to its driver.

Times are microseconds of the monotonic clock of the node that made the stamp and reads it again: a stamp travels to a
peer and is returned, and clocks of two nodes are never compared. The sender and its incarnation are known from the
connection."""

from __future__ import annotations

import msgspec

Ballot = tuple[int, str, int]  # (round, proposer, incarnation of the proposer): compared as a tuple
Incarnations = dict[str, int]  # newest incarnation known, by node
NO_BALLOT: Ballot = (-1, "", 0)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """The decision on one epoch. ``commit``: ``settings`` take effect (of a fleet: JSON, a merge patch on each node's
    own settings; of a control group: ``versions.Proposed``); otherwise the change is aborted for ``reason``.
    ``proposed_by`` is the proposing node, and ``proposed_at_ms`` the time of the proposal in Unix milliseconds on that
    node's clock."""

    number: int
    change_id: str
    commit: bool
    settings: bytes
    reason: str
    proposed_by: str
    proposed_at_ms: int

    def without_settings(self) -> Change:
        """Returns a copy without the settings, for the history."""
        return Change(self.number, self.change_id, self.commit, b"", self.reason, self.proposed_by, self.proposed_at_ms)


INITIAL_CHANGE = Change(0, "", True, b"{}", "", "", 0)  # before the first change: each node uses its own file


class Heartbeat(msgspec.Struct, frozen=True, array_like=True, tag="pulse"):
    """A heartbeat to one peer. ``echoed_stamp_us`` returns the last ``stamp_us`` that the peer sent in its incarnation
    ``receiver_incarnation``: the sender's state in this message is from a later time. ``has_accepted``: the sender has
    accepted a value for the epoch after ``epoch``. ``memory_intact``: it has forgotten none of its votes."""

    stamp_us: int
    receiver_incarnation: int
    echoed_stamp_us: int
    epoch: int
    has_accepted: bool
    serving: bool
    memory_intact: bool


class Log(msgspec.Struct, frozen=True, array_like=True, tag="elog"):
    """All epochs up to ``last_decided`` are decided; ``committed`` is the change in force, and ``recent_changes`` are
    the last decisions, without settings: those that the receiver lacks, as far as the sender keeps them."""

    last_decided: int
    committed: Change
    recent_changes: tuple[Change, ...]


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="epull"):
    """Requests the decisions after ``known_epoch``. Answered with ``Log``, or not at all if there are none."""

    known_epoch: int


class Rejoin(msgspec.Struct, frozen=True, array_like=True, tag="ejoin"):
    """A restarted node requests what it may have promised and accepted in its former incarnation."""

    stamp_us: int


class RejoinReply(msgspec.Struct, frozen=True, array_like=True, tag="estate"):
    """The reply to ``Rejoin``, which counts as a heartbeat too. If ``memory_intact`` is false, the sender has lost its
    memory as well, and the reply holds only what it has learned since."""

    receiver_incarnation: int
    echoed_stamp_us: int
    memory_intact: bool
    log: Log
    promised: Ballot
    accepted: Ballot
    value: Change | None
    incarnations: Incarnations


class CheckSettings(msgspec.Struct, frozen=True, array_like=True, tag="echk"):
    """Asks whether the receiver can apply these settings."""

    change_id: str
    settings: bytes


class CheckReply(msgspec.Struct, frozen=True, array_like=True, tag="efit"):
    """The reply to ``CheckSettings``. ``reason`` is empty if the sender can apply the settings."""

    change_id: str
    reason: str


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="eprep"):
    """Phase 1 of Paxos: asks for a promise of the ballot for epoch ``number``."""

    number: int
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="eprom"):
    """The reply to ``Prepare``, with the ballot and value that the sender has accepted so far."""

    number: int
    ballot: Ballot
    accepted: Ballot
    value: Change | None
    incarnations: Incarnations


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="eacc"):
    """Phase 2 of Paxos: asks to accept ``value`` for epoch ``number``."""

    number: int
    ballot: Ballot
    value: Change


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="eaccd"):
    """The reply to ``Accept``: the value is accepted."""

    number: int
    ballot: Ballot
    incarnations: Incarnations


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="enack"):
    """Rejects ``ballot``, because the sender has promised the higher ballot ``promised``."""

    number: int
    ballot: Ballot
    promised: Ballot


Message = (
    Heartbeat
    | Log
    | Pull
    | Rejoin
    | RejoinReply
    | CheckSettings
    | CheckReply
    | Prepare
    | Promise
    | Accept
    | Accepted
    | Nack
)


class Send(msgspec.Struct, frozen=True):
    """The driver sends ``message`` to the node ``to``."""

    to: str
    message: Message


class ApplyChange(msgspec.Struct, frozen=True):
    """``change`` is in force from now on: the driver applies its settings before its next admission decision."""

    change: Change


class SaveState(msgspec.Struct, frozen=True):
    """The driver writes ``data`` to disk before it sends anything that follows, if the node has a disk."""

    data: bytes


class SavedState(msgspec.Struct, frozen=True, array_like=True):
    """The state of a node that has to survive a restart: its log and its vote."""

    version: int
    name: str
    log: Log
    promised: Ballot
    accepted: Ballot
    value: Change | None


SAVED_STATE_VERSION = 1
Output = Send | ApplyChange | SaveState
