"""Transfer of a whole table in pieces.

A snapshot is encoded once for all subscribers. The receiver assembles it separately from the table in force."""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from .messages import SnapshotBegin, SnapshotPiece
from .replica import Replica
from .resources import Put, ResourceError, Table, check_operations

CONTENT_BYTES = 16
_decoder: msgspec.msgpack.Decoder[tuple[Put, ...]] = msgspec.msgpack.Decoder(tuple[Put, ...])
_encode = msgspec.msgpack.Encoder().encode


class SnapshotError(ValueError):
    """A snapshot that is invalid or too large; the message says why."""


def encode_pieces(table: Table, piece_bytes: int) -> Iterator[tuple[bytes, bool]]:
    """The table's resources encoded in pieces of about ``piece_bytes``, each with whether it is the last."""
    piece: list[Put] = []
    size = 0
    for resource in table.resources():
        if size >= piece_bytes:
            yield _encode(piece), False
            piece, size = [], 0
        piece.append(resource)
        size += len(resource.name) + len(resource.value)
    yield _encode(piece), True


class Snapshot:
    """One version of a table, for any number of subscribers. Each piece is encoded when it is first needed."""

    def __init__(self, replica: Replica, piece_bytes: int) -> None:
        table = replica.table.copy()
        self.number, self.digest = replica.number, replica.digest
        self.begin = SnapshotBegin(
            self.number, self.digest, table.content.to_bytes(CONTENT_BYTES, "big"), len(table), table.bytes
        )
        self.last_used_at_us = 0  # when a subscriber last needed it
        self._pieces: list[SnapshotPiece] = []
        self._unencoded_pieces = encode_pieces(table, piece_bytes)

    def piece(self, index: int) -> SnapshotPiece:
        """The piece at ``index``, which must be at most one past the pieces requested before."""
        if index == len(self._pieces):
            encoded, last = next(self._unencoded_pieces)
            self._pieces.append(SnapshotPiece(index, last, encoded))
        return self._pieces[index]


class Assembly:
    """Assembles a snapshot that is being received."""

    def __init__(self, begin: SnapshotBegin, max_table_bytes: int) -> None:
        """Raises ``SnapshotError`` if the announced size exceeds ``max_table_bytes``."""
        if begin.size > max_table_bytes:
            raise SnapshotError(f"the table takes {begin.size} bytes, {max_table_bytes} at most")
        self.begin, self.max_table_bytes = begin, max_table_bytes
        self.table = Table()
        self.pieces = 0

    def add(self, piece: SnapshotPiece) -> bool:
        """Add the next piece; returns whether the table is complete. Raises ``SnapshotError``."""
        if piece.index != self.pieces:
            raise SnapshotError(f"received piece {piece.index}, expected piece {self.pieces}")
        self.pieces += 1
        try:
            resources = _decoder.decode(piece.resources)
            check_operations(resources)
        except (msgspec.DecodeError, ResourceError) as error:
            raise SnapshotError(f"piece {piece.index}: {error}") from None
        self.table.apply(resources)
        if self.table.bytes > self.max_table_bytes or len(self.table) > self.begin.resources:
            raise SnapshotError(f"{len(self.table)} resources in {self.table.bytes} bytes, more than announced")
        if piece.last:
            self._verify()
        return piece.last

    def _verify(self) -> None:
        content = self.table.content.to_bytes(CONTENT_BYTES, "big")
        if (len(self.table), content) != (self.begin.resources, self.begin.content):
            raise SnapshotError("the number of resources or the digest of the content differs from the announced one")
