"""Storage of the control roles: a whole table of resources and the versions (numbered changes) after it in one file, a
voter's vote in another.

A version is appended as a record. Once the records after the table are larger than the table, the file is compacted:
rewritten from the whole table. Compaction writes one slice per event-loop iteration, from a copy of the table's
entries, and appends the versions decided meanwhile, so that a table of any size does not block the event loop."""

from __future__ import annotations

import contextlib
import logging
import os
import time
from collections import Counter
from collections.abc import Callable, Iterator
from typing import BinaryIO

from ...control.resources import Table
from ...control.store import StoredConfiguration, decode_store, encode_table, encode_version
from ...control.versions import Version
from ..transport.clock import EventLoop
from .policy import StateFile

log = logging.getLogger(__name__)

MIN_COMPACT_BYTES = 1 << 20  # a file with fewer bytes of appended records is not compacted
WRITE_SLICE_S = 0.0005  # longest write in one event-loop iteration
SLICE_PAUSE_US = 5_000  # between two slices of a compaction
FAULTS_SHOWN = 5  # failed writes that are logged; later ones are only counted


class TableFile:
    """The table in force on disk. ``durable``: each version is synced (fsync) before it counts, as a voter needs."""

    def __init__(
        self,
        path: str,
        event_loop: EventLoop,
        table: Callable[[], Table],
        counters: Counter[str],
        durable: bool = False,
    ) -> None:
        """``table`` returns the table in force."""
        self.path, self.event_loop, self.current_table, self.counters, self.durable = (
            path,
            event_loop,
            table,
            counters,
            durable,
        )
        self._file: BinaryIO | None = None
        self._appended_bytes = 0  # size of the version records after the whole table
        self._compaction: Compaction | None = None
        self._write_failed = False  # whether a write has failed since the last call of ``keep_version``

    def load(self) -> StoredConfiguration | None:
        """The content of the file; ``None`` if there is no file yet. Raises ``OSError`` or ``StoreError``."""
        try:
            with open(self.path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return None
        stored = decode_store(data)
        # Its last record may be incomplete, so nothing is appended to this file: the next version rewrites it.
        return stored

    def keep_version(self, version: Version) -> bool:
        """Append a version that is in force. Returns false if it could not be written."""
        self._write_failed = False
        record = encode_version(version)
        if self._file is not None:
            try:
                self._append(record)
            except OSError as error:
                self._close_damaged_file(error)
        if self._compaction is not None:
            self._compaction.later_records.append(record)
        elif self._file is None or self._appended_bytes > max(MIN_COMPACT_BYTES, self.current_table().bytes):
            self._write_failed = False  # the table written now includes the version that could not be appended
            self.keep_table(version.number, version.digest)
        return not self._write_failed

    def _close_damaged_file(self, error: OSError) -> None:
        """Stop appending to this file: its last record may be incomplete, and nothing may follow it."""
        if self._file is not None:
            self._file.close()
            self._file = None
        self._record_failure(error)

    def _append(self, record: bytes) -> None:
        assert self._file is not None
        self._file.write(record)
        self._file.flush()
        if self.durable:
            os.fsync(self._file.fileno())
        self._appended_bytes += len(record)

    def keep_table(self, number: int, digest: bytes) -> None:
        """Rewrite the file from the table in force, which has this number and digest."""
        if self._compaction is not None:
            self._compaction.abandon()
        self._compaction = Compaction(self, number, digest)
        self._compaction.run(to_end=self._file is None and self.durable)

    def on_compacted(self, file: BinaryIO) -> None:
        """A compaction is complete: versions are appended to ``file`` from now on."""
        if self._file is not None:
            self._file.close()
        self._file, self._appended_bytes, self._compaction = file, 0, None

    def on_compaction_failed(self, error: OSError) -> None:
        """A compaction has failed: the old file stays as it is."""
        self._compaction = None
        self._record_failure(error)

    def _record_failure(self, error: OSError) -> None:
        self._write_failed = True
        self.counters["control_not_kept"] += 1
        if self.counters["control_not_kept"] <= FAULTS_SHOWN:
            log.error("control: state: %s: %s", self.path, error)

    def close(self) -> None:
        """Finish a running compaction and close the file."""
        if self._compaction is not None:
            self._compaction.run(to_end=True)
        if self._file is not None:
            self._file.close()
            self._file = None


class Compaction:
    """Writes a whole table in slices to a temporary file, which replaces the old file at the end."""

    def __init__(self, target: TableFile, number: int, digest: bytes) -> None:
        self.target = target
        self.later_records: list[bytes] = []  # of the versions after this table
        self._records: Iterator[bytes] = encode_table(number, digest, target.current_table().copy())
        # Named by pid, since two processes of one node may exist during an upgrade.
        self._temporary_path = f"{target.path}.{os.getpid()}.new"
        self._file: BinaryIO | None = None
        self._finished = False

    def run(self, to_end: bool = False) -> None:
        """Write one slice, or with ``to_end`` all that remains."""
        if self._finished:
            return
        try:
            if self._file is None:
                self._file = open(self._temporary_path, "wb")
            if self._write(to_end):
                self._finish()
            else:
                self.target.event_loop.call_after(SLICE_PAUSE_US, self.run)
        except OSError as error:
            self._finished = True
            self._remove()
            self.target.on_compaction_failed(error)

    def abandon(self) -> None:
        """Stop and remove the temporary file: another table is to be written instead."""
        self._finished = True
        self._remove()

    def _remove(self) -> None:
        if self._file is not None:
            with contextlib.suppress(OSError):
                self._file.close()
            with contextlib.suppress(OSError):
                os.unlink(self._temporary_path)

    def _write(self, to_end: bool) -> bool:
        """Returns whether the whole table is written."""
        assert self._file is not None
        slice_end_s = time.monotonic() + WRITE_SLICE_S
        for record in self._records:
            self._file.write(record)
            if not to_end and time.monotonic() >= slice_end_s:
                return False
        return True

    def _finish(self) -> None:
        assert self._file is not None
        self._finished = True
        for record in self.later_records:
            self._file.write(record)
        self._file.flush()
        if self.target.durable:
            os.fsync(self._file.fileno())
        os.replace(self._temporary_path, self.target.path)
        if self.target.durable:
            sync_directory(os.path.dirname(self.target.path) or ".")
        self.target.on_compacted(self._file)


def sync_directory(directory: str) -> None:
    """Sync a directory, so that the rename of a file in it survives a power failure."""
    descriptor = os.open(directory, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


class NodeStore:
    """The store of a node: a table file and no vote."""

    def __init__(self, file: TableFile) -> None:
        self.file = file

    def keep_vote(self, memory: bytes) -> bool:
        """Does nothing, since nodes do not vote."""
        return True

    def keep_version(self, version: Version) -> bool:
        """Append a version. Always true: a node keeps working if its disk fails."""
        self.file.keep_version(version)
        return True

    def keep_table(self, number: int, digest: bytes) -> None:
        """Rewrite the file from the table in force."""
        self.file.keep_table(number, digest)


class VoterStore(NodeStore):
    """The store of a voter: a table file and the voter's vote in a second file."""

    def __init__(self, file: TableFile, vote: StateFile) -> None:
        super().__init__(file)
        self.vote = vote

    def keep_version(self, version: Version) -> bool:
        """Append a version. Returns whether it is stored; if not, no vote that depends on it may be sent."""
        return self.file.keep_version(version)

    def keep_vote(self, memory: bytes) -> bool:
        try:
            self.vote.write(memory)
        except OSError as error:
            counters = self.file.counters
            counters["control_vote_not_kept"] += 1
            if counters["control_vote_not_kept"] <= FAULTS_SHOWN:
                log.error(
                    "control: %s: %s; this voter does not vote until it has rejoined the group", self.vote.path, error
                )
            return False
        return True
