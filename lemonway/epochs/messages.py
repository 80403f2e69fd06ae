"""What nodes say to each other about epochs. Times are microseconds of the monotonic clock of the one who reads them
again: a stamp travels to a peer and comes back, and no two clocks are ever compared. Who speaks, and in which life, is
known from the link."""

from __future__ import annotations

import msgspec

Ballot = tuple[int, str, int]  # (round, proposer, its life): compared as a tuple
Lives = dict[str, int]  # by node
NO_BALLOT: Ballot = (-1, "", 0)


class Change(msgspec.Struct, frozen=True, array_like=True):
    """How an epoch was decided. ``commit``: ``settings`` take hold (a fleet's: JSON, a merge patch on each node's own;
    a control group's: ``versions.Proposed``); else nothing does, for ``reason``. ``at``: Unix milliseconds at the node
    ``by`` which it was proposed."""

    number: int
    ident: str
    commit: bool
    settings: bytes
    reason: str
    by: str
    at: int

    def bare(self) -> Change:
        """Without the settings, for the history."""
        return Change(self.number, self.ident, self.commit, b"", self.reason, self.by, self.at)


NOTHING = Change(0, "", True, b"{}", "", "", 0)  # before the first change: each node's own file


class Pulse(msgspec.Struct, frozen=True, array_like=True, tag="pulse"):
    """A sign of life, for one peer. ``echo`` gives back the last ``at`` that the peer said in its life ``to``: what
    this says of the speaker held after it. ``opened``: it has accepted a value for the epoch after ``epoch``."""

    at: int
    to: int
    echo: int
    epoch: int
    opened: bool
    serving: bool
    whole: bool


class Log(msgspec.Struct, frozen=True, array_like=True, tag="elog"):
    """All is decided up to ``last``; ``committed`` is what holds; ``recent`` the last decisions, without settings."""

    last: int
    committed: Change
    recent: tuple[Change, ...]


class Pull(msgspec.Struct, frozen=True, array_like=True, tag="epull"):
    """What is decided past ``have``? Answered with ``Log``, or not at all."""

    have: int


class Rejoin(msgspec.Struct, frozen=True, array_like=True, tag="ejoin"):
    """A node in a new life asks for what it may have promised and accepted in its former one."""

    at: int


class State(msgspec.Struct, frozen=True, array_like=True, tag="estate"):
    """The answer to ``Rejoin``; counts as a sign of life too. Of one that is not ``whole`` either, it is only what it
    has heard meanwhile."""

    to: int
    echo: int
    whole: bool
    log: Log
    promised: Ballot
    accepted: Ballot
    value: Change | None
    lives: Lives


class Check(msgspec.Struct, frozen=True, array_like=True, tag="echk"):
    """Could this node take these settings?"""

    ident: str
    settings: bytes


class Fit(msgspec.Struct, frozen=True, array_like=True, tag="efit"):
    """``reason`` is empty if it could."""

    ident: str
    reason: str


class Prepare(msgspec.Struct, frozen=True, array_like=True, tag="eprep"):
    number: int
    ballot: Ballot


class Promise(msgspec.Struct, frozen=True, array_like=True, tag="eprom"):
    number: int
    ballot: Ballot
    accepted: Ballot
    value: Change | None
    lives: Lives


class Accept(msgspec.Struct, frozen=True, array_like=True, tag="eacc"):
    number: int
    ballot: Ballot
    value: Change


class Accepted(msgspec.Struct, frozen=True, array_like=True, tag="eaccd"):
    number: int
    ballot: Ballot
    lives: Lives


class Nack(msgspec.Struct, frozen=True, array_like=True, tag="enack"):
    number: int
    ballot: Ballot
    promised: Ballot


Message = Pulse | Log | Pull | Rejoin | State | Check | Fit | Prepare | Promise | Accept | Accepted | Nack


class Send(msgspec.Struct, frozen=True):
    to: str
    message: Message


class Switch(msgspec.Struct, frozen=True):
    """``change`` holds from now on: the driver takes its settings before it decides anything more."""

    change: Change


class Keep(msgspec.Struct, frozen=True):
    """``memory`` has to outlast this process before anything that follows is sent, where the node has a disk."""

    memory: bytes


class Memory(msgspec.Struct, frozen=True, array_like=True):
    """What a node may not forget: its log and its vote."""

    version: int
    name: str
    log: Log
    promised: Ballot
    accepted: Ballot
    value: Change | None


VERSION = 1
Out = Send | Switch | Keep
