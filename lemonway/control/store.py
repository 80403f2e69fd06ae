"""The form of a machine's configuration on disk: records, each with its length and checksum. The table comes first, in
chunks, then each version as it came. No I/O here: the driver writes a new file from ``encode_table``, appends
``encode_version`` for each version, and begins anew from time to time.

A version that the table holds already is passed over: a driver may write the table at any moment, and append what its
outputs still ask for. A record that was cut off at the end is what a crash leaves, and is dropped. Anything else that
does not agree is not what was written, and is not read."""

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
RECORD_MOST = 16 << 20
PIECE_BYTES = 32 << 10  # a piece is encoded without a pause: a few tenths of a millisecond
CONTENT_BYTES = 16
UNBOUNDED = 1 << 62  # a table that was taken is not refused by its size when it is read again

_decoder: msgspec.msgpack.Decoder[tuple[str, msgspec.Raw]] = msgspec.msgpack.Decoder(tuple[str, msgspec.Raw])


class StoreError(ValueError):
    """A file that was spoilt, or is none of these; the text says where and why."""


@dataclass(frozen=True)
class Stored:
    """What a file held: the last version, its table, and the versions that were appended, for the log. ``length``: of
    the whole records in bytes; the driver cuts the file to it before it appends."""

    number: int
    digest: bytes
    table: Table
    versions: tuple[Version, ...] = ()
    length: int = 0


def _record(kind: str, content: msgspec.Struct) -> bytes:
    body = msgspec.msgpack.encode((kind, content))
    return len(body).to_bytes(LENGTH_BYTES, "big") + xxh3_64_intdigest(body).to_bytes(CHECKSUM_BYTES, "big") + body


def encode_table(number: int, digest: bytes, table: Table) -> Iterator[bytes]:
    """A new file's first chunks. The table must not change before the last is drawn."""
    content = table.content.to_bytes(CONTENT_BYTES, "big")
    yield MAGIC + _record("begin", SnapshotBegin(number, digest, content, len(table), table.bytes))
    for at, (encoded, last) in enumerate(encode_pieces(table, PIECE_BYTES)):
        yield _record("piece", SnapshotPiece(at, last, encoded))


def encode_version(version: Version) -> bytes:
    """What is appended for a version."""
    return _record("version", version)


def read(data: bytes) -> Stored:
    """What the file held. Raises ``StoreError``."""
    if not data.startswith(MAGIC):
        raise StoreError("not a file of the control's configuration")
    reader = _Reader()
    length = len(MAGIC)
    for at, body in _bodies(data):
        try:
            reader.take(body)
        except (msgspec.DecodeError, SnapshotError, StoreError) as error:
            raise StoreError(f"byte {at}: {error}") from None
        length = at + HEADER_BYTES + len(body)
    return reader.stored(length)


def _bodies(data: bytes) -> Iterator[tuple[int, bytes]]:
    """The records' bodies and where they begin; the last one is left out if it is cut off."""
    at = len(MAGIC)
    while at + HEADER_BYTES <= len(data):
        length = int.from_bytes(data[at : at + LENGTH_BYTES], "big")
        checksum = int.from_bytes(data[at + LENGTH_BYTES : at + HEADER_BYTES], "big")
        begin = at + HEADER_BYTES
        if length > RECORD_MOST:
            raise StoreError(f"byte {at}: a record of {length} bytes, {RECORD_MOST} at most")
        if begin + length > len(data):
            return
        body = data[begin : begin + length]
        if xxh3_64_intdigest(body) != checksum:
            if begin + length == len(data):
                return  # the last one: its pages were not all written
            raise StoreError(f"byte {at}: a record does not agree with its checksum")
        yield at, body
        at = begin + length


class _Reader:
    """Puts the records together again."""

    def __init__(self) -> None:
        self._assembly: Assembly | None = None
        self._replica: Replica | None = None
        self._versions: list[Version] = []

    def take(self, body: bytes) -> None:
        """One record. Raises ``StoreError``, ``SnapshotError`` and ``msgspec.DecodeError``."""
        kind, content = _decoder.decode(body)
        if kind == "version":
            self._take_version(msgspec.msgpack.decode(content, type=Version))
        elif kind == "piece":
            self._take_piece(msgspec.msgpack.decode(content, type=SnapshotPiece))
        elif kind == "begin" and self._assembly is None:
            self._assembly = Assembly(msgspec.msgpack.decode(content, type=SnapshotBegin), UNBOUNDED)
        else:
            raise StoreError(f"a record {kind!r} is not due here")

    def _take_piece(self, piece: SnapshotPiece) -> None:
        if self._assembly is None or self._replica is not None:
            raise StoreError("a piece of no table")
        if self._assembly.add(piece):
            begin = self._assembly.begin
            self._replica = Replica(UNBOUNDED)
            self._replica.replace(begin.number, begin.digest, self._assembly.table)

    def _take_version(self, version: Version) -> None:
        if self._replica is None:
            raise StoreError("a version before the table")
        judgement = self._replica.judge(version)
        if judgement.verdict is Verdict.NEXT:
            self._replica.apply(version)
            self._versions.append(version)
        elif judgement.verdict is not Verdict.DOUBLED:
            raise StoreError(judgement.reason)

    def stored(self, length: int) -> Stored:
        """All of it. Raises ``StoreError`` where the table was cut off."""
        if self._replica is None:
            raise StoreError("the table is cut off")
        return Stored(self._replica.number, self._replica.digest, self._replica.table, tuple(self._versions), length)
