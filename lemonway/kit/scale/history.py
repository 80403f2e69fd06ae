"""History of the versions applied by each node: consistency checks and propagation times. Sans-I/O.

Records are stored in columns because a full run applies millions of versions."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any

import numpy as np

MAX_VIOLATIONS = 50
NEVER_APPLIED = np.iinfo(np.int64).max
COLUMN_NAMES = ("life", "number", "digest", "at")


def short_digest(digest: bytes) -> int:
    """Return the first eight bytes of a digest as a signed integer, the form stored in the columns."""
    return int.from_bytes(digest[:8], "big", signed=True)


@dataclass
class Incarnation:
    """One process or agent of a node, from its start to its end (microseconds; ``None`` while it runs)."""

    node: str
    started_us: int
    ended_us: int | None = None


@dataclass
class AppliedRecords:
    """Time at which each incarnation put each version in force. ``life`` is an index into ``incarnations``, ``at`` a
    time in microseconds."""

    incarnations: list[Incarnation] = field(default_factory=list)
    life: array[int] = field(default_factory=lambda: array("q"))
    number: array[int] = field(default_factory=lambda: array("q"))
    digest: array[int] = field(default_factory=lambda: array("q"))
    at: array[int] = field(default_factory=lambda: array("q"))

    def begin(self, node: str, at: int) -> int:
        """Add an incarnation and return its index."""
        self.incarnations.append(Incarnation(node, at))
        return len(self.incarnations) - 1

    def end(self, incarnation: int, at: int) -> None:
        self.incarnations[incarnation].ended_us = at

    def record(self, incarnation: int, number: int, digest: bytes, at: int) -> None:
        self.life.append(incarnation)
        self.number.append(number)
        self.digest.append(short_digest(digest))
        self.at.append(at)

    def with_digests(self, decided: Iterable[DecidedVersion]) -> AppliedRecords:
        """Return these records with digests taken from the decided versions, 0 for a number that was never decided."""
        digests = {version.number: short_digest(version.digest) for version in decided}
        known = array("q", (digests.get(number, 0) for number in self.number))
        return AppliedRecords(self.incarnations, self.life, self.number, known, self.at)

    def columns(self) -> dict[str, Any]:
        """Return the records as arrays; ``lives`` holds (node, began, ended) with -1 for a running incarnation."""
        found = {name: np.array(getattr(self, name), dtype=np.int64) for name in COLUMN_NAMES}
        incarnations = [
            (incarnation.node, incarnation.started_us, -1 if incarnation.ended_us is None else incarnation.ended_us)
            for incarnation in self.incarnations
        ]
        return {**found, "lives": np.array(incarnations, dtype=[("node", "U64"), ("began", "i8"), ("ended", "i8")])}

    def extend(self, columns: Mapping[str, Any]) -> None:
        """Append the records of another process in the form returned by ``columns``."""
        first = len(self.incarnations)
        for node, started_us, ended_us in columns["lives"]:
            self.incarnations.append(Incarnation(str(node), int(started_us), None if ended_us < 0 else int(ended_us)))
        self.life.frombytes((columns["life"] + first).astype(np.int64).tobytes())
        for name in ("number", "digest", "at"):
            getattr(self, name).frombytes(columns[name].astype(np.int64).tobytes())


@dataclass(frozen=True)
class DecidedVersion:
    """A version decided by the voters. The times are those of the operator, ``None`` if the operator did not see the
    proposal or its outcome."""

    number: int
    digest: bytes
    proposed_at_us: int | None = None
    committed_at_us: int | None = None


@dataclass(frozen=True)
class FinalState:
    """Version and table of a node or control process at the end of a run."""

    name: str
    number: int
    digest: str
    content: str

    @property
    def state(self) -> tuple[int, str, str]:
        return self.number, self.digest, self.content

    def __str__(self) -> str:
        return f"{self.name} has version {self.number} {self.digest[:16]} with table {self.content[:16]}"


@dataclass(frozen=True)
class Propagation:
    """Time of one change from its proposal until the last of ``nodes`` nodes applied it; ``None`` if one never did."""

    number: int
    proposed_at_us: int
    duration_us: int | None
    nodes: int
    last_node: str  # node that applied it last or never


def violations(applied: AppliedRecords, decided: Iterable[DecidedVersion], finals: Sequence[FinalState]) -> list[str]:
    """Return a description of each violation, ``MAX_VIOLATIONS`` at most."""
    by_number = {version.number: version for version in decided}
    columns = applied.columns()
    found = (
        _check_increasing(applied, columns) + _check_decided(applied, columns, by_number) + _check_final_states(finals)
    )
    if len(found) > MAX_VIOLATIONS:
        found[MAX_VIOLATIONS:] = [f"and {len(found) - MAX_VIOLATIONS} more"]
    return found


def _check_increasing(applied: AppliedRecords, columns: Mapping[str, Any]) -> list[str]:
    """Check that versions increase within each incarnation."""
    order = np.argsort(columns["life"], kind="stable")  # keeps the order of records within an incarnation
    incarnation, number = columns["life"][order], columns["number"][order]
    same = incarnation[1:] == incarnation[:-1]
    decreased = np.flatnonzero(same & (number[1:] <= number[:-1]))
    return [
        f"{applied.incarnations[incarnation[row]].node}: version {number[row + 1]} was in force after {number[row]}"
        for row in decreased
    ]


def _check_decided(
    applied: AppliedRecords, columns: Mapping[str, Any], by_number: Mapping[int, DecidedVersion]
) -> list[str]:
    """Check that every applied version was decided."""
    pairs, first_rows = np.unique(np.stack([columns["number"], columns["digest"]]), axis=1, return_index=True)
    found = []
    for (number, digest), row in zip(pairs.T.tolist(), first_rows.tolist(), strict=True):
        version = by_number.get(number)
        if number and (version is None or short_digest(version.digest) != digest):
            node = applied.incarnations[columns["life"][row]].node
            found.append(f"{node}: version {number} ({digest & (1 << 64) - 1:016x}) was in force but never decided")
    return found


def _check_final_states(finals: Sequence[FinalState]) -> list[str]:
    """Check that all nodes and control processes end with the same version and table."""
    if not finals:
        return []
    first = finals[0]
    return [f"at the end {each}, but {first}" for each in finals[1:] if each.state != first.state]


def propagation_times(applied: AppliedRecords, decided: Iterable[DecidedVersion]) -> list[Propagation]:
    """Return the propagation time of each change to all incarnations that had a version in force when it was proposed,
    except those that ended before they applied it. A later version counts as having applied an earlier one."""
    versions = sorted((v for v in decided if v.proposed_at_us is not None), key=lambda v: v.number)
    if not versions or not applied.incarnations:
        return []
    numbers = np.array([v.number for v in versions])
    proposed_at_us = np.array([v.proposed_at_us for v in versions])
    last_applied_at = np.zeros(len(versions), dtype=np.int64)
    last_incarnation = np.full(len(versions), -1)
    count = np.zeros(len(versions), dtype=np.int64)
    for index, (applied_numbers, at) in enumerate(_by_incarnation(applied)):
        if not len(applied_numbers):
            continue
        first_index = np.searchsorted(applied_numbers, numbers)
        applied_at = np.where(
            first_index < len(applied_numbers), at[np.minimum(first_index, len(applied_numbers) - 1)], NEVER_APPLIED
        )
        counted = (at[0] <= proposed_at_us) & ~(
            (applied_at == NEVER_APPLIED) & (applied.incarnations[index].ended_us is not None)
        )
        count += counted
        later = counted & (applied_at > last_applied_at)
        last_applied_at[later], last_incarnation[later] = applied_at[later], index
    return [
        Propagation(
            v.number,
            int(v.proposed_at_us or 0),
            None if last_applied_at[n] == NEVER_APPLIED else int(last_applied_at[n] - proposed_at_us[n]),
            int(count[n]),
            applied.incarnations[last_incarnation[n]].node,
        )
        for n, v in enumerate(versions)
        if last_incarnation[n] >= 0
    ]


def _by_incarnation(applied: AppliedRecords) -> list[tuple[Any, Any]]:
    """Return the version numbers and times of each incarnation, in the order in which they were recorded."""
    columns = applied.columns()
    order = np.argsort(columns["life"], kind="stable")
    edges = np.searchsorted(columns["life"][order], np.arange(len(applied.incarnations) + 1))
    number, at = columns["number"][order], columns["at"][order]
    return [(number[lower:upper], at[lower:upper]) for lower, upper in zip(edges[:-1], edges[1:], strict=True)]


def catch_up_times(applied: AppliedRecords, since: int) -> list[int]:
    """Return the microseconds from the start of each incarnation since ``since`` until its first version."""
    return [
        int(at[0]) - incarnation.started_us
        for incarnation, (_, at) in zip(applied.incarnations, _by_incarnation(applied), strict=True)
        if incarnation.started_us >= since and len(at)
    ]


def missing_changes(propagations: Iterable[Propagation]) -> list[str]:
    """Return a violation for each change that a node never applied although it kept running."""
    return [
        f"{each.last_node} lived on and never had version {each.number}"
        for each in propagations
        if each.duration_us is None
    ]
