"""Stand-ins and the harness that the cases of this review share. Standard library only, loopback addresses only."""

from __future__ import annotations

import asyncio
import json
import os
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parents[2]
LIMIT_S = 110.0  # a script ends by itself before this
OPEN: list[asyncio.StreamWriter] = []  # connections that are closed at the end of the case


class CannotRun(Exception):
    """The case could not be set up; it says nothing about the rule."""


def trouble() -> bool:
    """Whether the disruption is played."""
    return os.environ.get("TROUBLE", "1") != "0"


def unix_ms() -> int:
    return time.time_ns() // 1_000_000


GIVEN: set[int] = set()  # ports that this process has chosen


def free_port() -> int:
    """A port below the usual range of outgoing connections, one of which could take it before its listener does."""
    for _ in range(1000):
        port = random.randint(10_000, 32_000)
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in GIVEN:
            GIVEN.add(port)
            return port
    raise CannotRun("no free port")


class Record:
    """Everything that is sent, answered and run, in ``record.txt`` of the case's folder."""

    def __init__(self, folder: Path) -> None:
        self.file = open(folder / "record.txt", "w", encoding="utf-8")
        self.started = time.monotonic()

    def __call__(self, text: str) -> None:
        self.file.write(f"{(time.monotonic() - self.started) * 1000:9.1f} ms  {text}\n")
        self.file.flush()


# The worker pool


class Pool:
    """A worker pool by the protocol page. ``run`` plays one run and returns how it ended and its result."""

    def __init__(self, name: str, record: Record, run: Callable[[Pool, str, str, bytes], Awaitable[tuple[str, bytes]]]):
        self.name, self.record, self.play = name, record, run
        self.port = 0
        self.writer: asyncio.StreamWriter | None = None
        self.notices: list[bytes] = []
        self.running: dict[str, asyncio.Task[None]] = {}
        self.replies: dict[str, asyncio.Future[bytes]] = {}
        self.spawned: list[tuple[int, str, str, bytes]] = []  # Unix ms, id, class, body
        self.ended: dict[str, tuple[str, bytes]] = {}
        self.started_at = time.monotonic()
        self.server: asyncio.Server | None = None

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self) -> str:
        return f"127.0.0.1:{self.port}"

    def restart(self) -> None:
        """The machine's new life after its node and pool were killed together: notices count from 1 again."""
        for task in self.running.values():
            task.cancel()
        self.running, self.replies, self.notices = {}, {}, []
        if self.writer is not None:
            self.writer.close()
            self.writer = None
        self.started_at = time.monotonic()

    def write(self, data: bytes) -> None:
        if self.writer is not None:
            self.writer.write(data)

    def notice(self, kind: str, rest: str, block: bytes) -> None:
        number = len(self.notices) + 1
        data = f"{kind} {number} {rest} {len(block)}\r\n".encode() + block + b"\r\n"
        self.notices.append(data)
        self.write(data)

    async def call(self, ident: str, body: bytes) -> bytes:
        """The run waits for a call with this body; returns the reply that it is given."""
        reply = self.replies[ident] = asyncio.get_running_loop().create_future()
        self.notice("blocked", ident, body)
        return await reply

    async def _run(self, ident: str, kind: str, body: bytes) -> None:
        began = time.monotonic()
        try:
            end, result = await self.play(self, ident, kind, body)
        except asyncio.CancelledError:
            end, result = "cut", b""
        self.running.pop(ident, None)
        self.replies.pop(ident, None)
        self.ended[ident] = end, result
        self.record(f"{self.name}: run {ident} ended {end} {result!r}")
        self.notice("finished", f"{ident} {end} {(time.monotonic() - began) * 1000:.3f}", result)

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self.writer is not None:
            self.writer.close()
        self.writer = writer
        OPEN.append(writer)
        try:
            while line := (await reader.readline()).rstrip(b"\r\n"):
                words = line.decode().split(" ")
                block = b""
                if words[0] in ("spawn", "supply"):
                    block = (await reader.readexactly(int(words[-1]) + 2))[:-2]
                if self.writer is writer:
                    self.command(words, block)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def command(self, words: list[str], block: bytes) -> None:
        if words[0] == "bind":
            self.write(f"bound old {(time.monotonic() - self.started_at) * 1000:.0f}\r\n".encode())
            for data in self.notices[int(words[1]) :]:
                self.write(data)
        elif words[0] == "spawn":
            self.record(f"{self.name}: spawn {words[1]} {words[2]} {block!r}")
            if words[1] not in self.running:
                self.spawned.append((unix_ms(), words[1], words[2], block))
                self.running[words[1]] = asyncio.ensure_future(self._run(words[1], words[2], block))
        elif words[0] == "supply":
            waiting = self.replies.get(words[1])
            if waiting is not None and not waiting.done():
                waiting.set_result(block)
        elif words[0] == "suspend":
            self.record(f"{self.name}: suspend {words[1]}")
            if task := self.running.get(words[1]):
                task.cancel()
        elif words[0] == "poll":
            busy = min(1.0, len(self.running) / 6)
            self.write(f"polled {words[1]} {busy:.3f} {len(self.running)} 0.100 4\r\n".encode())
        elif words[0] == "verify":
            self.write(f"verified {words[1]} good\r\n".encode())


# Routers


class Router:
    """One connection of a router."""

    def __init__(self, record: Record, name: str = "router") -> None:
        self.record, self.name = record, name
        self.answers: dict[int, tuple[str, str, bytes]] = {}
        self.answer_count: dict[int, int] = {}
        self.answered_at: dict[int, int] = {}
        self.drained = self.ended = False
        self.last_tag = 0
        self.changed = asyncio.Event()
        self.writer: asyncio.StreamWriter | None = None

    async def connect(self, port: int) -> Router:
        reader, self.writer = await asyncio.open_connection("127.0.0.1", port)
        OPEN.append(self.writer)
        self.task = asyncio.ensure_future(self.read(reader))
        return self

    async def read(self, reader: asyncio.StreamReader) -> None:
        try:
            while True:
                header = await reader.readline()
                if not header:
                    break
                items = []
                for _ in range(int(header[1:])):
                    size = int((await reader.readline())[1:])
                    items.append((await reader.readexactly(size + 2))[:-2])
                self.take(items)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        self.ended = True
        self.record(f"{self.name}: the connection ended")
        self.changed.set()

    def take(self, items: list[bytes]) -> None:
        tag, word = int(items[0]), items[1].decode()
        if word == "DRAIN":
            self.drained = True
            self.record(f"{self.name}: DRAIN")
        else:
            fields = items[2].decode() if len(items) > 2 else ""
            body = items[3] if len(items) > 3 else b""
            self.answers[tag] = word, fields, body
            self.answer_count[tag] = self.answer_count.get(tag, 0) + 1
            self.answered_at[tag] = unix_ms()
            self.record(f"{self.name}: answer to {tag}: {word} {fields} {body!r}")
        self.changed.set()

    def send(self, *items: bytes) -> None:
        assert self.writer is not None
        self.writer.write(b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(i), i) for i in items))

    def ask(self, kind: str, body: bytes, unique: str = "", team: str = "museu-grande", cpu: float = 20.0) -> int:
        """Send a request; returns its tag."""
        self.last_tag += 1
        tag, txn = self.last_tag, os.urandom(8).hex()
        fields = f"txn={txn},door={unix_ms()},lb=1,team={team},cpu={cpu:.2f},ram=20.0,standing=0.6000"
        if unique:
            fields += f",unique={unique}"
        self.record(f"{self.name}: CALL {tag} {kind} {fields} {body!r}")
        self.send(b"CALL", b"%d" % tag, kind.encode(), fields.encode(), body)
        return tag

    async def check(self) -> str:
        self.last_tag += 1
        tag = self.last_tag
        self.send(b"CHECK", b"%d" % tag, b"probe=0")
        answer = await self.answer(tag, 1.0)
        return answer[0] if answer else "none"

    async def answer(self, tag: int, seconds: float) -> tuple[str, str, bytes] | None:
        until = time.monotonic() + seconds
        while tag not in self.answers and not self.ended and (left := until - time.monotonic()) > 0:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except TimeoutError:
                break
        return self.answers.get(tag)

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()


class Announce(asyncio.DatagramProtocol):
    """The announce service: what each node reported last."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.reports: list[tuple[int, str, str]] = []
        self.last: dict[str, str] = {}
        self.port = 0

    async def start(self) -> Announce:
        transport, _ = await asyncio.get_running_loop().create_datagram_endpoint(
            lambda: self, local_addr=("127.0.0.1", 0)
        )
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data: bytes, addr: Any) -> None:
        words = data.decode().split()
        self.reports.append((unix_ms(), words[1], words[2]))
        if self.last.get(words[1]) != words[2]:
            self.last[words[1]] = words[2]
            self.record(f"announce service: {words[1]} {words[2]}")


# The platform


async def http(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, bytes]:
    """One call to a second address."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
    except ConnectionError:
        return 0, b""
    writer.write(f"{method} {path} HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
    try:
        data = await asyncio.wait_for(reader.read(), 2)
    except (TimeoutError, ConnectionError):
        data = b""
    writer.close()
    head, _, rest = data.partition(b"\r\n\r\n")
    return int(head.split(b" ")[1]) if head else 0, rest


class Node:
    """One process started with ``run`` of the deploy file."""

    def __init__(self, stage: Stage, label: str, config: dict[str, Any], options: str, env: dict[str, str], tmp: Path):
        self.stage, self.label, self.config, self.options, self.env, self.tmp = stage, label, config, options, env, tmp
        self.path = stage.folder / f"{label}.json"
        self.admin = free_port()
        self.process: asyncio.subprocess.Process | None = None

    def write_config(self, config: dict[str, Any]) -> None:
        """Replace the configuration file in one step."""
        self.config = config
        fresh = self.path.with_suffix(".new")
        fresh.write_text(json.dumps(config))
        os.replace(fresh, self.path)

    async def start(self, pass_fds: tuple[int, ...] = ()) -> None:
        self.write_config(self.config)
        self.tmp.mkdir(exist_ok=True)
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
        env = {
            **{k: v for k, v in os.environ.items() if not k.startswith("EDGE_")},
            "EDGE_CONFIG": str(self.path),
            "EDGE_NAME": self.config["name"],
            "EDGE_LISTEN": self.config["listen"],
            "EDGE_ADMIN": f"127.0.0.1:{self.admin}",
            "TMPDIR": str(self.tmp),
            "PYTHONDONTWRITEBYTECODE": "1",
            **self.env,
        }
        self.stage.record(f"platform: start {self.label}")
        with open(self.stage.folder / f"{self.label}.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", f"{run} {self.options}", cwd=ROOT, env=env, stdout=log, stderr=log, pass_fds=pass_fds
            )

    async def ready(self, seconds: float = 30.0) -> None:
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            if self.process is None or self.process.returncode is not None:
                break
            if (await http(self.admin, "GET", "/ready"))[0] == 200:
                self.stage.record(f"platform: {self.label} is ready")
                return
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.label} is not ready: {self.log()[-600:]}")

    def signal(self, number: signal.Signals) -> None:
        if self.process is not None and self.process.returncode is None:
            self.stage.record(f"platform: {number.name} to {self.label}")
            self.process.send_signal(number)

    async def kill(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    async def end_within(self, seconds: float) -> None:
        """SIGKILL after this time, unless it has ended by itself."""
        assert self.process is not None
        try:
            await asyncio.wait_for(self.process.wait(), seconds)
            self.stage.record(f"platform: {self.label} ended by itself, status {self.process.returncode}")
        except TimeoutError:
            await self.kill()

    def log(self) -> str:
        path = self.stage.folder / f"{self.label}.log"
        return path.read_text(errors="replace") if path.exists() else ""

    async def figures(self) -> dict[str, float]:
        status, body = await http(self.admin, "GET", "/metrics")
        rows = [line.rsplit(" ", 1) for line in body.decode().splitlines() if line and not line.startswith("#")]
        return {name: float(value) for name, value in rows} if status == 200 else {}


class Stage:
    """The temporary folder, the record, and all processes of one case."""

    def __init__(self, case: Path) -> None:
        self.record = Record(case)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.nodes: list[Node] = []
        self.others: list[asyncio.subprocess.Process] = []

    def node(self, label: str, config: dict[str, Any], options: str = "", env: dict[str, str] | None = None,
             tmp: str = "") -> Node:  # fmt: skip
        node = Node(self, label, config, options, env or {}, self.folder / (tmp or f"tmp-{label}"))
        self.nodes.append(node)
        return node

    async def command(self, label: str, command: str) -> None:
        """Start another of the project's programs."""
        self.record(f"platform: start {label}: {command}")
        with open(self.folder / f"{label}.log", "ab") as log:
            env = {**os.environ, "TMPDIR": str(self.folder), "PYTHONDONTWRITEBYTECODE": "1"}
            self.others.append(
                await asyncio.create_subprocess_exec(
                    "/bin/sh", "-c", command, cwd=ROOT, env=env, stdout=log, stderr=log
                )
            )

    async def close(self) -> None:
        for node in self.nodes:
            await node.kill()
        for process in self.others:
            if process.returncode is None:
                process.kill()
            await process.wait()
        for writer in OPEN:
            writer.close()
        await asyncio.sleep(0.05)
        shutil.rmtree(self.folder, ignore_errors=True)


def lane(name: str, effect: str, aim: float, deadline: float, window: float, worth: float) -> dict[str, Any]:
    return {
        "name": name, "effect": effect, "aim": aim, "deadline": deadline, "memorySpan": window, "worth": worth,
        "lateValue": 0.0,
    }  # fmt: skip


def settings(lanes: list[dict[str, Any]], calls: bool = False) -> dict[str, Any]:
    """Settings of a small deployment, with the figures of the operators' site."""
    return {
        "lanes": lanes,
        "tenants": [
            {"name": "museu-grande", "share": 0.6, "quotaRps": 82.0},
            {"name": "casa-memoria", "share": 0.4, "quotaRps": 69.0},
        ],
        "familyInfo": {
            "cores": 6, "memoryKb": 69876.0, "runFactor": 16.0, "kbPerKey": 201.1, "halt": "drop", "say": "min_rank",
            "heeded": 1000.0, "callerIdle": 15000.0, "classCalls": [calls] * len(lanes),
            "classSkipWorth": [0.0] * len(lanes), "below": "next_hop" if calls else "off", "deepChecks": False,
            "upstreams": 3, "registryFollows": True, "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
        },
        "rules": {
            "graceToAnswer": 60.0, "stopSendingWithin": 2500.0, "fallMultiple": 6.0, "overloadFor": 2000.0,
            "cold": 16000.0, "coldFrom": 0.23,
        },
        "ceilings": {"maxRetryAfter": 1000.0, "retryAfter": True},
        "fleetSize": 3, "tick": 5.0, "worthBy": "work",
    }  # fmt: skip


def config(name: str, listen: int, pool: Pool, chosen: dict[str, Any], announce: int = 0, catalog: int = 0,
           stop_ms: int = 3200) -> dict[str, Any]:  # fmt: skip
    written: dict[str, Any] = {
        "name": name, "listen": f"127.0.0.1:{listen}", "pool": pool.address, "seed": os.urandom(8).hex(),
        "stop_ms": stop_ms, "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 512}, "settings": chosen,
    }  # fmt: skip
    if announce:
        written["announce"] = f"127.0.0.1:{announce}"
    if catalog:
        written["catalog"] = f"127.0.0.1:{catalog}"
    return written


def play(case: Path, body: Callable[[Stage], Awaitable[list[str]]]) -> int:
    """Run one case. ``body`` returns each break of the rule in one line. Returns the script's exit status."""

    async def bounded() -> int:
        stage = Stage(case)
        try:
            broken = await asyncio.wait_for(body(stage), LIMIT_S)
        except (CannotRun, TimeoutError) as error:
            stage.record(f"the case could not run: {error!r}")
            print(f"could not run: {error!r}")
            return 2
        except Exception as error:
            stage.record(f"the case could not run: {error!r}")
            raise
        finally:
            await stage.close()
        for line in broken:
            stage.record(f"BROKEN: {line}")
            print(f"broken: {line}")
        print("the rule was broken" if broken else "the rule held")
        stage.record("the rule was broken" if broken else "the rule held")
        return 1 if broken else 0

    try:
        return asyncio.run(bounded())
    except Exception as error:
        print(f"could not run: {error!r}", file=sys.stderr)
        return 2
