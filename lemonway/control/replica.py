"""One machine's copy of the configuration: the number and digest of the version in force, and the table.

Only the direct successor of the version in force can be applied."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .resources import ResourceError, Table, check_operations
from .versions import NO_DIGEST, Version


class Verdict(Enum):
    """How a version relates to a replica."""

    NEXT = "next"
    DUPLICATE = "doubled"  # this version or a later one is already in force
    GAP = "gap"  # versions between the one in force and this one are missing
    INVALID = "bad"  # of another history (it or its parent has another digest here), corrupted, or not applicable


class VersionCheck(NamedTuple):
    """A verdict and its reason."""

    verdict: Verdict
    reason: str = ""


NEXT = VersionCheck(Verdict.NEXT)


class Replica:
    """The configuration at one version."""

    __slots__ = ("number", "digest", "table", "max_table_bytes")

    def __init__(self, max_table_bytes: int) -> None:
        """``max_table_bytes``: versions that make the table larger than this are rejected."""
        self.number, self.digest, self.table, self.max_table_bytes = 0, NO_DIGEST, Table(), max_table_bytes

    def check_version(self, version: Version) -> VersionCheck:
        """Whether ``version`` can be applied. Takes time proportional to the size of the version."""
        if version.number < self.number:
            return VersionCheck(Verdict.DUPLICATE, f"version {version.number} is behind {self.number}")
        if version.number == self.number:
            return self._judge_same(version)
        if version.parent != self.number:
            return VersionCheck(Verdict.GAP, f"version {version.number} follows {version.parent}, not {self.number}")
        if version.parent_digest != self.digest:
            return VersionCheck(
                Verdict.INVALID, f"version {version.number} follows another history of {version.parent}"
            )
        return self._judge_content(version)

    def _judge_same(self, version: Version) -> VersionCheck:
        if version.digest != self.digest:
            return VersionCheck(Verdict.INVALID, f"another version {version.number} is in force")
        return VersionCheck(Verdict.DUPLICATE, f"version {version.number} is already in force")

    def _judge_content(self, version: Version) -> VersionCheck:
        if not version.has_valid_digest():
            return VersionCheck(Verdict.INVALID, f"version {version.number}: its digest is not that of its content")
        try:
            check_operations(version.operations)
        except ResourceError as error:
            return VersionCheck(Verdict.INVALID, f"version {version.number}: {error}")
        size = self.table.bytes + self.table.growth(version.operations)
        if size > self.max_table_bytes:
            reason = f"version {version.number}: the table would take {size} bytes, {self.max_table_bytes} at most"
            return VersionCheck(Verdict.INVALID, reason)
        return NEXT

    def apply(self, version: Version) -> None:
        """Apply a version for which ``check_version`` returned ``Verdict.NEXT``."""
        self.table.apply(version.operations)
        self.number, self.digest = version.number, version.digest

    def replace(self, number: int, digest: bytes, table: Table) -> None:
        """Replace the whole table."""
        self.number, self.digest, self.table = number, digest, table


class ReplicaView:
    """Read access to the replica, a base of the roles that have one (``Voter``, ``Relay``, ``Agent``)."""

    replica: Replica

    @property
    def number(self) -> int:
        """The number of the version in force here."""
        return self.replica.number

    @property
    def digest(self) -> bytes:
        """The digest of the version in force here."""
        return self.replica.digest

    @property
    def table(self) -> Table:
        """The resources in force here."""
        return self.replica.table
