"""Child processes of a scale run: they are killed when the run dies, and their usage is read from ``/proc``."""

from __future__ import annotations

import asyncio
import json
import os
import resource
import signal
import socket
import sys
from collections.abc import Callable, Sequence
from contextlib import suppress
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parents[3]
LAUNCHER = Path(__file__).parents[1] / "live" / "launch.py"
MAX_LOG_LINES = 40  # last lines of a log that are retained
MAX_LINE_BYTES = 1 << 27
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PORT_RANGE = range(20_000, 32_000)  # below the ephemeral ports of outgoing connections
SPARE_DESCRIPTORS = 200  # needed by a process besides its node connections


class ProcessError(Exception):
    """A process of the run failed; the message is a single line."""


@dataclass(frozen=True)
class Usage:
    """Resource usage of a process: CPU time since its start, and resident memory."""

    cpu_s: float
    memory_mb: float


def usage_of(pid: int) -> Usage | None:
    """Return the usage of a process, ``None`` if it has ended."""
    try:
        stat = Path(f"/proc/{pid}/stat").read_text(encoding="ascii", errors="replace")
    except OSError:
        return None
    fields = stat.rpartition(")")[2].split()
    if fields[0] in "ZX":
        return None
    return Usage((int(fields[11]) + int(fields[12])) / TICKS_PER_SECOND, int(fields[21]) * PAGE_BYTES / (1 << 20))


def raise_descriptor_limit(wanted: int) -> None:
    """Raise the soft limit of open files, which child processes inherit, to ``wanted``. Raises ``ProcessError`` if that
    exceeds the hard limit."""
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if hard != resource.RLIM_INFINITY and wanted > hard:
        raise ProcessError(
            f"a process needs {wanted} file descriptors but the hard limit is {hard}: use fewer nodes per process"
        )
    if soft < wanted:
        resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, hard))


class Ports:
    """Allocates ports for processes that must keep their address across restarts."""

    def __init__(self) -> None:
        self._next = iter(PORT_RANGE[os.getpid() % 100 * 100 :])

    def allocate(self) -> int:
        for port in self._next:
            with socket.socket() as listener:
                listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    listener.bind(("127.0.0.1", port))
                except OSError:
                    continue
            return port
        raise ProcessError("no free port")


class ChildProcess:
    """A child process and its log. ``on_log_line`` is called with each line of standard error, ``on_output_line`` with
    each line of standard output."""

    def __init__(
        self,
        name: str,
        on_log_line: Callable[[str], None] | None = None,
        on_output_line: Callable[[bytes], None] | None = None,
    ) -> None:
        self.name = name
        self.on_log_line, self.on_output_line = (
            on_log_line or (lambda line: None),
            on_output_line or (lambda line: None),
        )
        self.lines: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self.end_expected = False
        self._tasks: list[asyncio.Task[None]] = []

    async def start(
        self,
        arguments: Sequence[str],
        cpus: Sequence[int] = (),
        environment: dict[str, str] | None = None,
    ) -> None:
        limits = {"parent": os.getpid(), "cpus": list(cpus)}
        env = {key: value for key, value in os.environ.items() if not key.startswith("EDGE_")}
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(LAUNCHER),
            json.dumps(limits),
            sys.executable,
            *arguments,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
            start_new_session=True,
            limit=MAX_LINE_BYTES,
            env=env | {"PYTHONPATH": str(ROOT)} | (environment or {}),
        )
        # Set together: until the new process exists, the end of the old one must count as expected.
        self.process, self.end_expected = process, False
        self._tasks = [
            asyncio.create_task(self._read_log(self.process)),
            asyncio.create_task(self._read_output(self.process)),
        ]

    async def _read_log(self, process: asyncio.subprocess.Process) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            text = line.decode("utf-8", "replace").rstrip()
            self.lines = [*self.lines[1 - MAX_LOG_LINES :], text]
            self.on_log_line(text)

    async def _read_output(self, process: asyncio.subprocess.Process) -> None:
        assert process.stdout is not None
        while line := await process.stdout.readline():
            self.on_output_line(line)

    def write(self, line: bytes) -> None:
        if self.process is not None and self.process.stdin is not None:
            with suppress(ConnectionError, RuntimeError):  # the process ended: ``unexpected_end`` reports it
                self.process.stdin.write(line + b"\n")

    @property
    def pid(self) -> int:
        return self.process.pid if self.process is not None else 0

    @property
    def running(self) -> bool:
        return self.process is not None and self.process.returncode is None

    @property
    def unexpected_end(self) -> str:
        """Description of how the process ended if it was not killed by the run, else an empty string."""
        if self.end_expected or self.process is None or self.process.returncode is None:
            return ""
        last_line = self.lines[-1] if self.lines else "no log output"
        return f"{self.name} exited unexpectedly (code {self.process.returncode}): {last_line}"

    def signal(self, number: int) -> None:
        if self.running and self.process is not None:
            with suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """Send SIGKILL to the process group and wait for the process to end."""
        self.end_expected = True
        if self.process is None:
            return
        if self.running:
            with suppress(ProcessLookupError, PermissionError):
                os.killpg(self.process.pid, signal.SIGKILL)
        await self.process.wait()
        for task in self._tasks:
            task.cancel()

    def usage(self) -> Usage | None:
        return usage_of(self.pid) if self.running else None
