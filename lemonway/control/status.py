"""Status of agents, relays and voters as shown to operators. Times in microseconds, digests in hexadecimal."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Report


@dataclass(frozen=True)
class AgentStatus:
    """Status of an image node's agent.

    ``unfit``: why the node can't apply the version in force; empty if it can. ``age_us``: time for which it has been
    unknown whether a later version is in force. ``refused``: why the last link to a relay was closed."""

    name: str
    number: int
    digest: str
    content: str
    resources: int
    bytes: int
    serving: bool
    why_not: str
    unfit: str
    lease_us: int
    age_us: int
    watch: str
    publisher: str
    refused: str


@dataclass(frozen=True)
class RelayStatus:
    """Status of a relay. ``refused``: why the last link to a voter was closed."""

    name: str
    number: int
    digest: str
    content: str
    resources: int
    bytes: int
    lease_us: int
    watch: str
    publisher: str
    refused: str
    links: int
    report: Report


@dataclass(frozen=True)
class RelayStanding:
    """Status of a relay, as known to one voter. ``heard_us``: time since its last message."""

    name: str
    number: int
    serving: bool
    heard_us: int
    report: Report | None


@dataclass(frozen=True)
class VoterStatus:
    """Status of a voter. ``nodes``: summary of the nodes of all relays."""

    name: str
    number: int
    digest: str
    content: str
    resources: int
    bytes: int
    decided: int
    contents: str
    serving: bool
    why_not: str
    lease_us: int
    waiting: int
    voters: dict[str, dict[str, object]]
    relays: tuple[RelayStanding, ...]
    nodes: Report


@dataclass(frozen=True)
class HistoryEntry:
    """One decided version number. ``operations`` and ``digest`` are set only for versions that are still in the log."""

    number: int
    committed: bool
    ident: str
    reason: str
    by: str
    at: int
    operations: int
    digest: str
