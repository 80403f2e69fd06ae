"""File format of a machine's configuration: records, each with its length and checksum.

The file starts with the whole table in pieces, followed by one record for each later version. This module does no I/O:
the driver writes a new file from ``encode_table``, appends ``encode_version`` for each version, and rewrites the file
from time to time.

Versions that the table already includes are skipped when reading, because a driver may write the table at any time and
then append versions from ``PersistVersion`` outputs that it received before. A truncated last record is left behind by
a crash and is dropped. Any other mismatch means that the file is corrupt, and it is rejected."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
from xxhash import xxh3_64_intdigest

from .messages import SnapshotBegin, SnapshotPiece
from .replica import Replica, Verdict
from .resources import Table
from .snapshot import Assembly, SnapshotError, encode_pieces
from .versions import Version

MAGIC = b"lemonway control 1\n"
LENGTH_BYTES = 4
CHECKSUM_BYTES = 8
HEADER_BYTES = LENGTH_BYTES + CHECKSUM_BYTES
MAX_RECORD_BYTES = 16 << 20
PIECE_BYTES = 32 << 10  # encoding a piece blocks for a few tenths of a millisecond
CONTENT_BYTES = 16  # of ``Table.content``, the digest of the table's entries
UNBOUNDED = 1 << 62  # a table that was accepted before is not checked for its size when it is read

_decoder: msgspec.msgpack.Decoder[tuple[str, msgspec.Raw]] = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class StoreError(ValueError):
    """A file that is corrupt or not of this format; the message says where and why."""


@dataclass(frozen=True)
class StoredConfiguration:
    """Content of a file: the last version, its table, and the appended versions, for the ``VersionLog``.

    ``length``: bytes up to the end of the last complete record; the driver truncates the file to it before it
    appends."""

    number: int
    digest: bytes
    table: Table
    versions: tuple[Version, ...] = ()
    length: int = 0


def _record(kind: str, content: msgspec.Struct) -> bytes:
    body = msgspec.msgpack.encode((kind, content))
    return len(body).to_bytes(LENGTH_BYTES, "big") + xxh3_64_intdigest(body).to_bytes(CHECKSUM_BYTES, "big") + body


def encode_table(number: int, digest: bytes, table: Table) -> Iterator[bytes]:
    """The records that start a new file. The table must not change while the iterator is in use."""
    content = table.content.to_bytes(CONTENT_BYTES, "big")
    yield MAGIC + _record("begin", SnapshotBegin(number, digest, content, len(table), table.bytes))
    for index, (encoded, last) in enumerate(encode_pieces(table, PIECE_BYTES)):
        yield _record("piece", SnapshotPiece(index, last, encoded))


def encode_version(version: Version) -> bytes:
    """The record to append for a version."""
    return _record("version", version)


def decode_store(data: bytes) -> StoredConfiguration:
    """Decode the content of a file. Raises ``StoreError``."""
    if not data.startswith(MAGIC):
        raise StoreError("not a lemonway configuration store")
    reader = _StoreReader()
    length = len(MAGIC)
    for offset, body in _records(data):
        try:
            reader.take(body)
        except (msgspec.DecodeError, SnapshotError, StoreError) as error:
            raise StoreError(f"byte {offset}: {error}") from None
        length = offset + HEADER_BYTES + len(body)
    return reader.stored(length)


def _records(data: bytes) -> Iterator[tuple[int, bytes]]:
    """Offset and body of each record; a truncated last record is left out."""
    offset = len(MAGIC)
    while offset + HEADER_BYTES <= len(data):
        length = int.from_bytes(data[offset : offset + LENGTH_BYTES], "big")
        checksum = int.from_bytes(data[offset + LENGTH_BYTES : offset + HEADER_BYTES], "big")
        body_start = offset + HEADER_BYTES
        if length > MAX_RECORD_BYTES:
            raise StoreError(f"byte {offset}: a record of {length} bytes, {MAX_RECORD_BYTES} at most")
        if body_start + length > len(data):
            return
        body = data[body_start : body_start + length]
        if xxh3_64_intdigest(body) != checksum:
            if body_start + length == len(data):
                return  # the last record: a crash left some of its pages unwritten
            raise StoreError(f"byte {offset}: checksum mismatch")
        yield offset, body
        offset = body_start + length


class _StoreReader:
    """Rebuilds the table and the versions from the records."""

    def __init__(self) -> None:
        self._assembly: Assembly | None = None
        self._replica: Replica | None = None
        self._versions: list[Version] = []

    def take(self, body: bytes) -> None:
        """Process one record. Raises ``StoreError``, ``SnapshotError`` or ``msgspec.DecodeError``."""
        kind, content = _decoder.decode(body)
        if kind == "version":
            self._take_version(msgspec.msgpack.decode(content, type=Version))
        elif kind == "piece":
            self._take_piece(msgspec.msgpack.decode(content, type=SnapshotPiece))
        elif kind == "begin" and self._assembly is None:
            self._assembly = Assembly(msgspec.msgpack.decode(content, type=SnapshotBegin), UNBOUNDED)
        else:
            raise StoreError(f"unexpected record of kind {kind!r}")

    def _take_piece(self, piece: SnapshotPiece) -> None:
        if self._assembly is None or self._replica is not None:
            raise StoreError("a piece without the beginning of a table, or after its end")
        if self._assembly.add(piece):
            begin = self._assembly.begin
            self._replica = Replica(UNBOUNDED)
            self._replica.replace(begin.number, begin.digest, self._assembly.table)

    def _take_version(self, version: Version) -> None:
        if self._replica is None:
            raise StoreError("a version before the end of the table")
        judgement = self._replica.check_version(version)
        if judgement.verdict is Verdict.NEXT:
            self._replica.apply(version)
            self._versions.append(version)
        elif judgement.verdict is not Verdict.DUPLICATE:
            raise StoreError(judgement.reason)

    def stored(self, length: int) -> StoredConfiguration:
        """The result of all records. Raises ``StoreError`` if the table is incomplete."""
        if self._replica is None:
            raise StoreError("the table is incomplete")
        return StoredConfiguration(
            self._replica.number, self._replica.digest, self._replica.table, tuple(self._versions), length
        )
