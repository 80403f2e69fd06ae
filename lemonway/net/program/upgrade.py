"""Tracks which processes of this node serve its inherited listening socket: one marker file each in ``$TMPDIR``.

During an upgrade the platform starts a second process beside the running one, both on the same listening socket, and
then sends SIGTERM to the older (DAYS, a new version under load). The older process must know whether another process
goes on serving, in which case it stops accepting at once and leaves the announce list to that one, or whether the node
shuts down. ``$TMPDIR`` is all that the two processes share, and it is not emptied between starts.

A process holds a lock on its marker, which the kernel releases when the process ends in whatever way: a pid alone could
be that of a process not reaped yet, or be in use again. It removes its marker when it is told to leave, so that a
process that only finishes its requests is never taken for one that serves. A marker's file name ends in the pid.
Processes of earlier versions of this program hold no lock, and leave their markers until they end."""

from __future__ import annotations

import fcntl
import os
from collections.abc import Iterator

MARKER_PREFIX = "lemonway-node-"
LOCKED = "locked"  # second line of a marker whose process holds a lock on it


class ProcessMarker:
    """The marker of one process, and the search for those of others."""

    def __init__(self, name: str, folder: str, pid: int) -> None:
        self.folder, self.pid = folder, pid
        self.marker_prefix = f"{MARKER_PREFIX}{name}."
        self.path = os.path.join(folder, f"{self.marker_prefix}{pid}")
        self.registered_at_ns = 0  # modification time of the marker; 0: never registered
        self._descriptor: int | None = None  # holds the lock

    @property
    def registered(self) -> bool:
        return self._descriptor is not None

    def register(self) -> None:
        """Write this process's marker. If the folder is not writable, the older process shuts down as if it had no
        successor, which is correct but without a handover."""
        temporary_path = os.path.join(self.folder, f".{os.path.basename(self.path)}")
        try:
            descriptor = os.open(temporary_path, os.O_RDWR | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC, 0o600)
        except OSError:
            return
        try:
            os.write(descriptor, f"{self.pid}\n{LOCKED}\n".encode())
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
            os.replace(temporary_path, self.path)  # the marker is locked from the moment it can be found
            self.registered_at_ns = os.fstat(descriptor).st_mtime_ns
            self._descriptor = descriptor
        except OSError:
            os.close(descriptor)

    def unregister(self) -> None:
        """Remove this process's marker: it no longer serves, or is about to leave."""
        if self._descriptor is None:
            return
        _unlink(self.path)
        os.close(self._descriptor)
        self._descriptor = None

    def has_successor(self) -> bool:
        """Whether another process of this node serves on, so that this one may hand over to it."""
        return self.successor_pid() is not None

    def successor_pid(self) -> int | None:
        """The pid of another process of this node that serves and was not told to leave; ``None`` if there is none.
        Removes the markers of processes that have ended."""
        return next((pid for pid, path in self._other_markers() if self._serves(pid, path)), None)

    def _other_markers(self) -> Iterator[tuple[int, str]]:
        try:
            names = os.listdir(self.folder)
        except OSError:
            return
        for name in names:
            pid = name.removeprefix(self.marker_prefix)
            if name.startswith(self.marker_prefix) and pid.isdigit() and int(pid) != self.pid:
                yield int(pid), os.path.join(self.folder, name)

    def _serves(self, pid: int, path: str) -> bool:
        """Whether the process of this marker serves. Removes the marker of a process that has ended."""
        try:
            descriptor = os.open(path, os.O_RDONLY | os.O_CLOEXEC)
        except OSError:  # removed in the meantime
            return False
        try:
            if LOCKED in os.read(descriptor, 64).decode("ascii", "replace").split():
                alive = serves = _is_locked(descriptor)
            else:  # of an earlier version: one that started before this process is its predecessor, which leaves
                alive = process_exists(pid)
                serves = alive and os.fstat(descriptor).st_mtime_ns > self.registered_at_ns
        except OSError:
            return False
        finally:
            os.close(descriptor)
        if not alive:
            _unlink(path)
        return serves


def _is_locked(descriptor: int) -> bool:
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)  # released when the descriptor is closed
    except BlockingIOError:
        return True
    return False


def _unlink(path: str) -> None:
    try:
        os.unlink(path)
    except OSError:
        pass


def process_exists(pid: int) -> bool:
    """Whether a process with this pid exists; also true if it has ended and was not reaped, or the pid is reused."""
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    except PermissionError:  # it exists and belongs to another user
        return True
    return True
