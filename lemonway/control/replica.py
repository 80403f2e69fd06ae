"""What one machine has of the configuration: the last version's number and digest, and the table. It takes the version
that follows, and refuses every other one."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from .resources import ResourceError, Table, check
from .versions import NO_DIGEST, Version


class Verdict(Enum):
    """What a version is to a replica."""

    NEXT = "next"
    DOUBLED = "doubled"  # it, or a later one, is in force already
    GAP = "gap"  # versions between this one and what is in force are missing
    BAD = "bad"  # of another history, changed on its way, or not to be carried out here


class Judgement(NamedTuple):
    """A verdict and its reason."""

    verdict: Verdict
    reason: str = ""


NEXT = Judgement(Verdict.NEXT)


class Replica:
    """The configuration at one version."""

    __slots__ = ("number", "digest", "table", "bytes_most")

    def __init__(self, bytes_most: int) -> None:
        """``bytes_most``: a table past this size is refused."""
        self.number, self.digest, self.table, self.bytes_most = 0, NO_DIGEST, Table(), bytes_most

    def judge(self, version: Version) -> Judgement:
        """Whether ``version`` can be applied; costs the size of the version."""
        if version.number < self.number:
            return Judgement(Verdict.DOUBLED, f"version {version.number} is behind {self.number}")
        if version.number == self.number:
            return self._judge_same(version)
        if version.parent != self.number:
            return Judgement(Verdict.GAP, f"version {version.number} follows {version.parent}, not {self.number}")
        if version.parent_digest != self.digest:
            return Judgement(Verdict.BAD, f"version {version.number} follows another history of {version.parent}")
        return self._judge_content(version)

    def _judge_same(self, version: Version) -> Judgement:
        if version.digest != self.digest:
            return Judgement(Verdict.BAD, f"another version {version.number} than the one in force")
        return Judgement(Verdict.DOUBLED, f"version {version.number} is in force")

    def _judge_content(self, version: Version) -> Judgement:
        if not version.genuine():
            return Judgement(Verdict.BAD, f"version {version.number}: its digest is not that of its content")
        try:
            check(version.operations)
        except ResourceError as error:
            return Judgement(Verdict.BAD, f"version {version.number}: {error}")
        size = self.table.bytes + self.table.growth(version.operations)
        if size > self.bytes_most:
            reason = f"version {version.number}: a table of {size} bytes, {self.bytes_most} at most"
            return Judgement(Verdict.BAD, reason)
        return NEXT

    def apply(self, version: Version) -> None:
        """Take a version that ``judge`` has called the next."""
        self.table.apply(version.operations)
        self.number, self.digest = version.number, version.digest

    def replace(self, number: int, digest: bytes, table: Table) -> None:
        """Take a whole table."""
        self.number, self.digest, self.table = number, digest, table


class Replicated:
    """What every role tells of its replica."""

    replica: Replica

    @property
    def number(self) -> int:
        """The version in force here."""
        return self.replica.number

    @property
    def digest(self) -> bytes:
        """The digest of the version in force here."""
        return self.replica.digest

    @property
    def table(self) -> Table:
        """The resources in force here."""
        return self.replica.table
