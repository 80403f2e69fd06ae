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
    """The last versions without a gap between them, bounded in number and bytes."""

    def __init__(self, versions_most: int, bytes_most: int) -> None:
        self.versions_most, self.bytes_most = versions_most, bytes_most
        self.versions: deque[Version] = deque()
        self.bytes = 0

    def append(self, version: Version) -> None:
        """Add the version that follows the last one."""
        self.versions.append(version)
        self.bytes += weight(version)
        while len(self.versions) > 1 and (len(self.versions) > self.versions_most or self.bytes > self.bytes_most):
            self.bytes -= weight(self.versions.popleft())

    def clear(self) -> None:
        """Forget all: what follows does not continue it."""
        self.versions.clear()
        self.bytes = 0

    def after(self, number: int, digest: bytes) -> list[Version] | None:
        """The versions that follow (``number``, ``digest``); none where it is the last. ``None`` where the log does
        not reach back so far, or holds another history."""
        if not self.versions:
            return None
        if (self.versions[-1].number, self.versions[-1].digest) == (number, digest):
            return []
        # Subscribers are mostly few versions behind: look from the end.
        tail: list[Version] = []
        for version in reversed(self.versions):
            tail.append(version)
            if (version.parent, version.parent_digest) == (number, digest):
                return tail[::-1]
            if version.parent < number:
                return None
        return None
