"""What agents, relays and voters tell operators. Times in microseconds, digests in hexadecimal."""

from __future__ import annotations

from dataclasses import dataclass

from .messages import Report


@dataclass(frozen=True)
class AgentStatus:
    """An image node's part."""

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
    """A relay."""

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
    """A relay, as this voter knows it."""

    name: str
    number: int
    serving: bool
    heard_us: int
    report: Report | None


@dataclass(frozen=True)
class VoterStatus:
    """A voter. ``nodes``: over all relays."""

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
    """One number that was decided. ``operations`` and ``digest`` only of versions that the log holds yet."""

    number: int
    committed: bool
    ident: str
    reason: str
    by: str
    at: int
    operations: int
    digest: str
