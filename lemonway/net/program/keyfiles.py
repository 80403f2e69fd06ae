"""Idempotency keys claimed by the processes of one node during an upgrade: one file per key in a directory of
``$TMPDIR``.

A claim is exclusive because ``link`` fails if the name exists, and atomic because the linked file was written under
another name before. The owner replaces the file when its run has ended. A file whose window has expired is removed by
its owner, by a later claim of the key, or by any process that sweeps the directory (the owner may have been killed).
Other processes remove it under a lock on the directory, so that they can't remove a claim made in the meantime."""

from __future__ import annotations

import fcntl
import logging
import os
import struct
import time
from hashlib import blake2b

from ..ports import OtherProcessRun
from .upgrade import process_exists

log = logging.getLogger(__name__)

HEADER = struct.Struct(">16sqIB")  # digest of the body, window end (Unix us), pid, state of the run
RUNNING, FAILED, SUCCEEDED, SUCCEEDED_TOO_LARGE = range(4)
MAX_RESULT_BYTES = 64 * 1024  # bytes; a larger result is not stored for the other process
EXPIRY_SLACK_US = 10_000_000  # a file outlives its window by this, for tries that arrived in time and are read late
MIN_STALE_AGE_S = 120.0  # a file unchanged for so long may be removed by any process; no usual window is as long
FAULTS_SHOWN = 3


class KeyFiles:
    """The claims in ``folder``, which is created if it is missing. ``pid`` identifies this process in its claims."""

    def __init__(self, folder: str, pid: int, longest_window_s: float = 0.0) -> None:
        """``longest_window_s``: files of other processes are not considered stale within it."""
        self.folder, self.pid, self.stale_age_s = (
            folder,
            pid,
            max(MIN_STALE_AGE_S, longest_window_s + EXPIRY_SLACK_US / 1e6),
        )
        self.own: dict[str, tuple[bytes, int]] = {}  # this process's claims by key: digest and window end (Unix us)
        self.fault_count = 0

    def open(self) -> None:
        try:
            os.makedirs(self.folder, mode=0o700, exist_ok=True)
        except OSError as error:
            self._record_fault("created", error)

    def _path(self, key: str) -> str:
        return os.path.join(self.folder, blake2b(key.encode(), digest_size=16).hexdigest())

    def claim(self, key: str, digest: bytes, expires_at_us: int, arrived_at_us: int) -> bool:
        """Claim ``key`` for a try that arrived at ``arrived_at_us``; returns whether this process may run it. Times
        are Unix microseconds. Returns true also if the directory can't be written: the node then works as if it were
        one process, which it is except for a few seconds during an upgrade."""
        path, temporary_path = self._path(key), os.path.join(self.folder, f".{self.pid}")
        try:
            self._write(temporary_path, HEADER.pack(digest, expires_at_us, self.pid, RUNNING))
            try:
                os.link(temporary_path, path)
            except FileExistsError:
                if not self._remove_if_expired(path, arrived_at_us):
                    return False
                try:
                    os.link(temporary_path, path)
                except FileExistsError:  # another process claimed the key first
                    return False
            finally:
                os.unlink(temporary_path)
        except OSError as error:
            self._record_fault("claimed", error)
            return True
        self.own[key] = digest, expires_at_us
        return True

    def record_result(self, key: str, success: bool, body: bytes) -> None:
        """Record how this process's run of ``key`` ended."""
        if key not in self.own:
            return
        digest, expires_at_us = self.own[key]
        state = FAILED if not success else SUCCEEDED if len(body) <= MAX_RESULT_BYTES else SUCCEEDED_TOO_LARGE
        temporary_path = os.path.join(self.folder, f".{self.pid}")
        try:
            self._write(
                temporary_path,
                HEADER.pack(digest, expires_at_us, self.pid, state) + (body if state == SUCCEEDED else b""),
            )
            os.replace(temporary_path, self._path(key))
        except OSError as error:
            self._record_fault("updated", error)

    def release(self, key: str) -> None:
        """Remove this process's claim of ``key``, which was not run or has expired."""
        if self.own.pop(key, None) is not None:
            self._unlink(self._path(key))

    def lookup(self, key: str) -> OtherProcessRun | None:
        """The claim of another process of this node; ``None`` if there is none or it is this process's own. A claim
        with this process's pid that it has not made is that of an earlier process, which has ended."""
        if key in self.own:
            return None
        record = self._read(self._path(key))
        if record is None:
            return None
        digest, expires_at_us, pid, state, body = record
        succeeded: bool | None = None if state == RUNNING else state == SUCCEEDED
        if succeeded is None and (pid == self.pid or not process_exists(pid)):  # own pid: of a killed process before
            latest = self._read(self._path(key))  # the process may have written its result just before it ended
            succeeded, body = (
                (latest[3] == SUCCEEDED, latest[4]) if latest is not None and latest[3] != RUNNING else (False, b"")
            )
        return OtherProcessRun(digest, expires_at_us, succeeded, body)

    def purge(self, now: int) -> None:
        """Remove this process's claims whose window and slack have passed. ``now``: Unix microseconds."""
        for key, (_, expires_at_us) in list(self.own.items()):
            if expires_at_us + EXPIRY_SLACK_US < now:
                self.release(key)

    def sweep(self) -> None:
        """Remove the expired claims of processes that were killed."""
        oldest_s = time.time() - self.stale_age_s
        try:
            with os.scandir(self.folder) as entries:
                stale_paths = [entry.path for entry in entries if entry.stat(follow_symlinks=False).st_mtime < oldest_s]
        except OSError:
            return
        for path in stale_paths:
            self._remove_if_expired(path, int(time.time() * 1e6))

    @staticmethod
    def _write(path: str, data: bytes) -> None:
        file = os.open(path, os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        try:
            if os.write(file, data) != len(data):
                raise OSError(28, "short write", path)
        finally:
            os.close(file)

    @staticmethod
    def _read(path: str) -> tuple[bytes, int, int, int, bytes] | None:
        try:
            file = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return None
        try:
            data = os.read(file, HEADER.size + MAX_RESULT_BYTES)
        except OSError:
            return None
        finally:
            os.close(file)
        if len(data) < HEADER.size:
            return None
        digest, expires_at_us, pid, state = HEADER.unpack_from(data)
        return digest, expires_at_us, pid, state, data[HEADER.size :]

    def _remove_if_expired(self, path: str, as_of_us: int) -> bool:
        """Remove the claim at ``path`` if its window had expired at ``as_of_us`` (Unix microseconds). Returns whether
        it is removed; false also while another process holds the lock to remove a claim."""
        try:
            folder = os.open(self.folder, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:
            return False
        try:
            fcntl.flock(folder, fcntl.LOCK_EX | fcntl.LOCK_NB)
            record = self._read(path)
            if record is not None and record[1] >= as_of_us:
                return False
            self._unlink(path)
            return True
        except OSError:
            return False
        finally:
            os.close(folder)

    @staticmethod
    def _unlink(path: str) -> None:
        try:
            os.unlink(path)
        except OSError:
            pass

    def _record_fault(self, action: str, error: OSError) -> None:
        self.fault_count += 1
        if self.fault_count <= FAULTS_SHOWN:
            log.error(
                "TMPDIR: %s: a key file could not be %s: %s; keyed tries are not shared with a new version of the "
                "program",
                self.folder,
                action,
                error.strerror,
            )
