"""Numbered versions, each chained to the one before it, and the bounded log of the last of them."""

from __future__ import annotations

from collections import deque

import msgspec
from xxhash import xxh3_128_digest

from .resources import Operation

NO_DIGEST = bytes(16)  # of number 0: nothing was ever decided


class Proposed(msgspec.Struct, frozen=True, array_like=True):
    """What voters decide on: operations upon one parent. The number is that of the epoch that decides it."""

    parent: int
    parent_digest: bytes
    operations: tuple[Operation, ...]


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A decided change. ``at``: Unix milliseconds at the voter ``by`` which it was proposed."""

    number: int
    parent: int
    parent_digest: bytes
    digest: bytes
    operations: tuple[Operation, ...]
    by: str
    at: int

    def genuine(self) -> bool:
        """Whether the digest is that of what the version says."""
        return self.digest == chain_digest(self.number, self.parent_digest, self.operations)


def chain_digest(number: int, parent_digest: bytes, operations: tuple[Operation, ...]) -> bytes:
    """The digest of a version: of its parent's, its number and its operations."""
    return xxh3_128_digest(parent_digest + number.to_bytes(8, "big") + msgspec.msgpack.encode(operations))


def version_of(proposed: Proposed, number: int, by: str, at: int) -> Version:
    """The version that ``proposed`` is once it is decided under ``number``."""
    digest = chain_digest(number, proposed.parent_digest, proposed.operations)
    return Version(number, proposed.parent, proposed.parent_digest, digest, proposed.operations, by, at)


def weight(version: Version) -> int:
    """Bytes that a version takes in the log, roughly."""
    return 200 + sum(100 + len(each.name) + len(getattr(each, "value", b"")) for each in version.operations)


class VersionLog:
    """The last versions without a gap between them, bounded in number and bytes. Each look-up costs one step."""

    def __init__(self, versions_most: int, bytes_most: int) -> None:
        self.versions_most, self.bytes_most = versions_most, bytes_most
        self.versions: deque[Version] = deque()
        self.bytes = 0
        self._written = 0  # bytes of all versions ever appended
        self._successors: dict[int, Version] = {}  # by the parent's number
        self._ends: dict[int, int] = {}  # number: ``_written`` when it was the last

    def append(self, version: Version) -> None:
        """Add the version that follows the last one."""
        if not self.versions:
            self._ends[version.parent] = self._written
        size = weight(version)
        self.versions.append(version)
        self.bytes += size
        self._written += size
        self._successors[version.parent] = version
        self._ends[version.number] = self._written
        while len(self.versions) > 1 and (len(self.versions) > self.versions_most or self.bytes > self.bytes_most):
            self._compact()

    def _compact(self) -> None:
        oldest = self.versions.popleft()
        self.bytes -= weight(oldest)
        del self._successors[oldest.parent]
        del self._ends[oldest.parent]

    def clear(self) -> None:
        """Forget all: what follows does not continue it."""
        self.versions.clear()
        self._successors.clear()
        self._ends.clear()
        self.bytes = 0

    def successor(self, number: int) -> Version | None:
        """The version whose parent is ``number``."""
        return self._successors.get(number)

    def reaches(self, number: int, digest: bytes) -> bool:
        """Whether everything that follows (``number``, ``digest``) is here."""
        following = self._successors.get(number)
        if following is not None:
            return following.parent_digest == digest
        return bool(self.versions) and (self.versions[-1].number, self.versions[-1].digest) == (number, digest)

    def bytes_after(self, number: int) -> int | None:
        """Bytes of the versions that follow ``number``; ``None`` where the log does not reach back to it."""
        end = self._ends.get(number)
        return None if end is None else self._written - end
