"""Numbered versions, each linked to its parent by a digest, and the bounded log of the latest versions."""

from __future__ import annotations

from collections import deque

import msgspec
from xxhash import xxh3_128_digest

from .resources import Operation

NO_DIGEST = bytes(16)  # digest of version 0, which precedes every committed version


class Proposed(msgspec.Struct, frozen=True, array_like=True):
    """The content of a proposal: operations on a parent version. The version number is that of the deciding epoch."""

    parent: int
    parent_digest: bytes
    operations: tuple[Operation, ...]


class Version(msgspec.Struct, frozen=True, array_like=True):
    """A committed change. ``by``: the voter that proposed it; ``at``: Unix milliseconds at that voter."""

    number: int
    parent: int
    parent_digest: bytes
    digest: bytes
    operations: tuple[Operation, ...]
    by: str
    at: int

    def has_valid_digest(self) -> bool:
        """Whether ``digest`` matches the number, the parent digest and the operations."""
        return self.digest == chain_digest(self.number, self.parent_digest, self.operations)


def chain_digest(number: int, parent_digest: bytes, operations: tuple[Operation, ...]) -> bytes:
    """Computes the digest of a version from its parent's digest, its number and its operations."""
    return xxh3_128_digest(parent_digest + number.to_bytes(8, "big") + msgspec.msgpack.encode(operations))


def version_of(proposed: Proposed, number: int, by: str, at: int) -> Version:
    """Builds the version for ``proposed`` that was committed under ``number``."""
    digest = chain_digest(number, proposed.parent_digest, proposed.operations)
    return Version(number, proposed.parent, proposed.parent_digest, digest, proposed.operations, by, at)


def estimated_size_bytes(version: Version) -> int:
    """Estimated size of a version in the log, in bytes."""
    return 200 + sum(100 + len(each.name) + len(getattr(each, "value", b"")) for each in version.operations)


class VersionLog:
    """The latest versions without gaps, bounded in number and bytes. Each lookup takes constant time."""

    def __init__(self, max_versions: int, max_bytes: int) -> None:
        self.max_versions, self.max_bytes = max_versions, max_bytes
        self.versions: deque[Version] = deque()
        self.bytes = 0
        self._total_appended_bytes = 0  # bytes of all versions ever appended
        self._successors: dict[int, Version] = {}  # keyed by the parent's number
        self._end_offsets: dict[int, int] = {}  # version number -> ``_total_appended_bytes`` just after it

    def append(self, version: Version) -> None:
        """Appends the successor of the last version, and drops the oldest versions past the bounds."""
        if not self.versions:
            self._end_offsets[version.parent] = self._total_appended_bytes
        size = estimated_size_bytes(version)
        self.versions.append(version)
        self.bytes += size
        self._total_appended_bytes += size
        self._successors[version.parent] = version
        self._end_offsets[version.number] = self._total_appended_bytes
        while len(self.versions) > 1 and (len(self.versions) > self.max_versions or self.bytes > self.max_bytes):
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        oldest = self.versions.popleft()
        self.bytes -= estimated_size_bytes(oldest)
        del self._successors[oldest.parent]
        del self._end_offsets[oldest.parent]

    def clear(self) -> None:
        """Removes all versions; called when the next one appended will not be the successor of the last."""
        self.versions.clear()
        self._successors.clear()
        self._end_offsets.clear()
        self.bytes = 0

    def successor(self, number: int) -> Version | None:
        """The version whose parent is ``number``, if the log holds it."""
        return self._successors.get(number)

    def holds_all_after(self, number: int, digest: bytes) -> bool:
        """Whether the log holds every version after the one with this number and digest."""
        next_version = self._successors.get(number)
        if next_version is not None:
            return next_version.parent_digest == digest
        return bool(self.versions) and (self.versions[-1].number, self.versions[-1].digest) == (number, digest)

    def bytes_after(self, number: int) -> int | None:
        """Bytes of the versions after ``number``; ``None`` if the log does not go back to it."""
        end_offset = self._end_offsets.get(number)
        return None if end_offset is None else self._total_appended_bytes - end_offset
