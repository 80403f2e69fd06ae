"""Stand-ins of the review cases: worker pool, router and node processes, all on loopback addresses.

Only the standard library is used. Each case runs one asyncio loop, and everything that it starts ends with it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import time
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

CLASSES: list[dict[str, Any]] = [
    {"name": "miniatura", "worth": 1, "aim": 5400.0, "deadline": 16000.0, "memorySpan": 5000.0, "effect": "safe"},
    {"name": "visualizador", "worth": 2, "aim": 2700.0, "deadline": 6800.0, "memorySpan": 5000.0, "effect": "safe"},
    {"name": "busca", "worth": 2, "aim": 4100.0, "deadline": 14000.0, "memorySpan": 5000.0, "effect": "safe"},
    {"name": "cadastro", "worth": 5, "aim": 3200.0, "deadline": 8100.0, "memorySpan": 24336.0, "effect": "keyed"},
]


def now_ms() -> int:
    return int(time.time() * 1000)


_given_ports: set[int] = set()


def free_port() -> int:
    """A free port below the range from which the system takes the ports of outgoing connections, so that it stays free
    until the process that is told of it listens."""
    while True:
        port = random.randrange(12_000, 32_000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            if port not in _given_ports:
                _given_ports.add(port)
                return port


def settings(classes: list[dict[str, Any]]) -> dict[str, Any]:
    """The settings of a small deployment with the figures of recife-principal."""
    return {
        "lanes": [{"lateValue": 0.0, **each} for each in classes],
        "tenants": [
            {"name": "museu-grande", "share": 0.6, "quotaRps": 82.0},
            {"name": "casa-memoria", "share": 0.4, "quotaRps": 69.0},
        ],
        "familyInfo": {
            "cores": 6,
            "memoryKb": 69876.0,
            "runFactor": 16.0,
            "kbPerKey": 201.1,
            "halt": "drop",
            "say": "min_rank",
            "heeded": 1000.0,
            "callerIdle": 15000.0,
            "classCalls": [False] * len(classes),
            "classSkipWorth": [0.0] * len(classes),
            "below": "off",
            "deepChecks": True,
            "upstreams": 3,
            "registryFollows": True,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        },
        "rules": {
            "graceToAnswer": 60.0,
            "stopSendingWithin": 2500.0,
            "fallMultiple": 6.0,
            "overloadFor": 2000.0,
            "cold": 16000.0,
            "coldFrom": 0.23,
        },
        "ceilings": {"maxRetryAfter": 1000.0, "retryAfter": True},
        "fleetSize": 1,
        "tick": 5.0,
        "worthBy": "work",
    }


class CaseError(Exception):
    """The case could not run as planned, which says nothing about the rule."""


class Record:
    """``record.txt``: what was sent, answered and run, a line each with the milliseconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")  # noqa: SIM115 (open for the whole case)
        self.started = time.monotonic()

    def note(self, text: str) -> None:
        self.file.write(f"{(time.monotonic() - self.started) * 1000:9.1f} ms  {text}\n")
        self.file.flush()


class Pool:
    """A worker pool by the protocol page. Each run takes ``work_s``, makes no call, and ends well."""

    def __init__(self, record: Record, name: str, work_s: float = 0.01) -> None:
        self.record, self.name, self.work_s = record, name, work_s
        self.runs: list[tuple[float, str, str, bytes]] = []  # when (Unix s), id, class and body of each run
        self.notices: list[bytes] = []
        self.writer: asyncio.StreamWriter | None = None
        self.tasks: dict[str, asyncio.Task[None]] = {}  # by id: runs under way
        self.port = 0
        self.server: asyncio.Server

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def node_restarted(self) -> None:
        """Notices are numbered again from 1 for each process of the node."""
        self.notices.clear()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "bind":
                    self.writer = writer
                    writer.write(b"bound old 60000\r\n" + b"".join(self.notices[int(words[1]) :]))
                elif words[0] == "spawn":
                    self.spawn(words[1], words[2], (await reader.readexactly(int(words[3]) + 2))[:-2])
                elif words[0] == "suspend" and words[1] in self.tasks:
                    self.tasks.pop(words[1]).cancel()
                    self.notify(f"finished {words[1]} cut 1.000", b"")
                elif words[0] == "supply":
                    await reader.readexactly(int(words[2]) + 2)
                elif words[0] == "poll":
                    writer.write(b"polled %b 0.1000 1 0.0500 10\r\n" % words[1].encode())
                elif words[0] == "verify":
                    writer.write(b"verified %b good\r\n" % words[1].encode())

    def spawn(self, ident: str, class_name: str, body: bytes) -> None:
        if ident in self.tasks:
            return  # it runs already
        self.runs.append((time.time(), ident, class_name, body))
        self.record.note(f"{self.name}: run of {ident} {class_name} {body!r}")
        self.tasks[ident] = asyncio.create_task(self.run(len(self.runs), ident))

    async def run(self, number: int, ident: str) -> None:
        await asyncio.sleep(self.work_s)
        del self.tasks[ident]
        result = f"{self.name} run {number} of {ident}".encode()
        self.notify(f"finished {ident} good {self.work_s * 1000:.3f}", result)

    def notify(self, text: str, block: bytes) -> None:
        kind, rest = text.split(" ", 1)
        self.notices.append(
            b"%b %d %b %d\r\n%b\r\n" % (kind.encode(), len(self.notices) + 1, rest.encode(), len(block), block)
        )
        if self.writer is not None and not self.writer.is_closing():
            self.writer.write(self.notices[-1])


class Answer:
    """A router's view of one answer."""

    def __init__(self, word: str, fields: str, body: bytes) -> None:
        self.word, self.fields, self.body = word, fields, body

    def __repr__(self) -> str:
        return f"{self.word} [{self.fields}] {self.body!r}"


class Router:
    """One connection of a router. ``call`` sends a request and waits for its answer."""

    def __init__(self, record: Record, name: str) -> None:
        self.record, self.name = record, name
        self.tag = 0
        self.open: dict[int, asyncio.Future[Answer]] = {}
        self.writer: asyncio.StreamWriter
        self.task: asyncio.Task[None]

    async def connect(self, port: int) -> None:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        self.task = asyncio.create_task(self.read(reader))

    async def read(self, reader: asyncio.StreamReader) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while header := await reader.readline():
                items = []
                for _ in range(int(header[1:])):
                    size = int((await reader.readline())[1:])
                    items.append((await reader.readexactly(size + 2))[:-2])
                future = self.open.pop(int(items[0]), None)
                if future is not None and not future.done():
                    fields = items[2].decode() if len(items) > 2 else ""
                    future.set_result(Answer(items[1].decode(), fields, items[3] if len(items) > 3 else b""))
        for future in self.open.values():
            if not future.done():
                future.set_result(Answer("connection ended", "", b""))

    async def request(self, *words: bytes) -> Answer:
        self.tag += 1
        items = [words[0], b"%d" % self.tag, *words[1:]]
        future = self.open[self.tag] = asyncio.get_running_loop().create_future()
        self.writer.write(b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(i), i) for i in items))
        try:
            return await asyncio.wait_for(future, 20)
        except TimeoutError:
            return Answer("no answer", "", b"")

    async def call(self, class_name: str, txn: str, body: bytes, unique: str = "") -> Answer:
        fields = f"txn={txn},door={now_ms()},lb=1,team=museu-grande,cpu=10.00,ram=20.0,standing=0.9000"
        fields += f",unique={unique}" if unique else ""
        self.record.note(f"{self.name} -> CALL {class_name} {fields} {body!r}")
        answer = await self.request(b"CALL", class_name.encode(), fields.encode(), body)
        self.record.note(f"{self.name} <- {txn}: {answer}")
        return answer

    def close(self) -> None:
        self.writer.close()


class Node:
    """One process of a node, started with the deploy file's ``run`` command."""

    def __init__(self, record: Record, name: str, folder: Path, config: dict[str, Any]) -> None:
        self.record, self.name, self.folder = record, name, folder
        self.config_path = folder / f"{name}.json"
        self.log_path = folder / f"{name}.log"
        self.write(config)
        self.process: asyncio.subprocess.Process

    def write(self, config: dict[str, Any]) -> None:
        temporary = self.config_path.with_suffix(".new")
        temporary.write_text(json.dumps(config), encoding="utf-8")
        os.replace(temporary, self.config_path)

    async def start(
        self,
        listen: int,
        options: tuple[str, ...] = (),
        environment: dict[str, str] | None = None,
        pass_fds: tuple[int, ...] = (),
    ) -> None:
        log = open(self.log_path, "ab")  # noqa: SIM115 (the process keeps it)
        command = "exec .venv/bin/python -m lemonway " + " ".join(options)
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh",
            "-c",
            command,
            cwd=ROOT,
            env={
                **os.environ,
                "EDGE_CONFIG": str(self.config_path),
                "EDGE_NAME": self.name,
                "EDGE_LISTEN": f"127.0.0.1:{listen}",
                "TMPDIR": str(self.folder),
                **(environment or {}),
            },
            stdout=log,
            stderr=log,
            pass_fds=pass_fds,
        )
        log.close()
        self.record.note(f"{self.name}: process {self.process.pid} started")

    def signal(self, number: signal.Signals) -> None:
        self.record.note(f"{self.name}: {number.name} to process {self.process.pid}")
        self.process.send_signal(number)

    async def end(self) -> None:
        """Ends the process, and notes the end of its log."""
        with contextlib.suppress(OSError):
            for line in self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()[-12:]:
                self.record.note(f"{self.name} log: {line}")
        if self.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()


async def until(condition: Callable[[], Awaitable[bool]], what: str, seconds: float = 20.0) -> None:
    """Waits until ``condition`` holds. Raises ``CaseError`` if it does not in time."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        with contextlib.suppress(OSError):
            if await condition():
                return
        await asyncio.sleep(0.05)
    raise CaseError(f"{what}: not within {seconds} s")


async def node_ready(record: Record, port: int) -> bool:
    """Whether a health check on a connection of its own is answered as good."""
    checks = Router(record, "health check")
    await checks.connect(port)
    answer = await checks.request(b"CHECK", b"probe=0")
    checks.close()
    return answer.word == "READY"


async def http(port: int, path: str, method: str = "GET", body: bytes = b"") -> tuple[int, bytes]:
    """One call to an admin address."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(
        b"%b %b HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b" % (method.encode(), path.encode(), len(body), body)
    )
    try:
        answer = await asyncio.wait_for(reader.read(), 3)
    except TimeoutError:
        return 0, b""
    finally:
        writer.close()
    head, _, content = answer.partition(b"\r\n\r\n")
    return int(head.split()[1]) if head else 0, content


def run_case(case: Callable[[Record, bool], Awaitable[list[str]]], folder: Path, seconds: float = 110.0) -> None:
    """Runs a case and exits with its verdict. ``case`` gets whether the disruption happens (not with ``TROUBLE=0``) and
    returns what broke the rule."""
    record = Record(folder)
    trouble = os.environ.get("TROUBLE") != "0"
    record.note(f"the case {'with' if trouble else 'without'} its disruption")

    async def bounded() -> list[str]:
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        loop.add_signal_handler(signal.SIGTERM, task.cancel)  # so that the processes are ended then, too
        return await asyncio.wait_for(case(record, trouble), seconds)

    try:
        broken = asyncio.run(bounded())
    except (
        Exception,
        asyncio.CancelledError,
    ) as error:  # whatever kept the case from its end, it is no verdict about the rule
        record.note(f"the case could not run: {type(error).__name__}: {error}")
        print(f"could not run: {type(error).__name__}: {error}")
        sys.exit(COULD_NOT_RUN)
    for each in broken:
        record.note(f"BROKEN: {each}")
        print(f"broken: {each}")
    record.note("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    sys.exit(BROKEN if broken else HELD)
