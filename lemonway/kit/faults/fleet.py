"""Runs several real nodes (``python -m lemonway``) as processes, each with a simulated worker pool and a router
connection, and the fault network between them. One reactor in this process drives the pools, routers and proxies."""

from __future__ import annotations

import json
import os
import re
import signal
import sys
import time
import urllib.request
from collections.abc import Callable
from hashlib import blake2b
from pathlib import Path
from typing import Any

from twisted.internet.error import ProcessExitedAlready
from twisted.internet.process import reapAllProcesses
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from ..clients import RouterClient, RouterSide
from ..pool import Plan, PoolSide, Run, StandInPool
from ..stage import StageTimeout, site_settings
from .history import Call, Event, History, Spawned
from .net import FaultNet

ROOT = Path(__file__).parents[3]
ROUTER_LISTENS = re.compile(r"(\w+) listens on \S+?:(\d+), pid")
REPLICATION_LISTENS = re.compile(r"replication listens on \S+?:(\d+)")
ADMIN_LISTENS = re.compile(r"admin listens on \S+?:(\d+)")
KEYED_CLASS, READ_CLASS = "cadastro", "busca"
READ_INTERVAL_S = 0.2  # seconds between requests without a key on a connection
CROSSING_S = 0.1  # a try sent within this time before its connection closed may not have reached the node
FINAL_READ_ROUNDS, FINAL_READ_BATCH = 6, 12
RETRIED_OUTCOMES = ("REFUSED", "CROSSED")  # outcomes of a final read after which it is retried


class RecordingPool(StandInPool):
    """A pool that gives each run a unique result, so that a result identifies its run."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        super().__init__(fleet.reactor, cores=6)
        self.fleet, self.name = fleet, name
        self.plans[KEYED_CLASS] = Plan(seconds=fleet.run_seconds)
        self.results: dict[str, str] = {}

    def _spawn(self, txn: str, handler: str, body: bytes) -> None:
        if handler == KEYED_CLASS and txn not in self.results:
            key = body.decode()
            self.results[txn] = f"{key}@{self.name}#{len(self.results)}"
            self.fleet.history.runs.append(
                Spawned(key, self.name, time.time(), self.fleet.arrived_at.get(txn, time.time()), self.results[txn])
            )
        super()._spawn(txn, handler, body)

    def _finish(self, run: Run, end: str) -> None:
        if run.txn in self.results:
            run.handler, run.body = self.results[run.txn], b""  # the pool builds the result from these
        super()._finish(run, end)

    def command(self, link: PoolSide, name: str, words: list[str], body: bytes) -> None:
        if name == "bind" and words == ["0"]:  # a new process: drop notices meant for the previous one
            self._notices.clear()
        super().command(link, name, words, body)


class Router(RouterClient):
    """A router's connection to a node that records when each answer arrived, and sends requests without a key all the
    time. A node closes idle connections; a try that was sent just before that counts as not sent, as a load balancer
    treats it."""

    def __init__(self, fleet: Fleet, port: int, node: str) -> None:
        self.calls: dict[int, Call] = {}
        self.fleet = fleet
        self.shut_down = False
        super().__init__(fleet.reactor, port, None, node)

    def buildProtocol(self, addr: Any) -> RouterSide:
        self.fleet.reactor.callLater(0, self.send_read)  # an unused connection is closed soonest
        return super().buildProtocol(addr)

    def clientConnectionLost(self, connector: Any, reason: Failure) -> None:
        if self.shut_down:
            return
        for call in self.calls.values():
            if not call.word and time.time() - call.sent < CROSSING_S:
                call.word = "CROSSED"
        connector.connect()

    def send_read(self) -> None:
        if self.side is not None and not self.shut_down:
            read = Call("", self.name, time.time(), time.time())
            self.calls[self.call(READ_CLASS, b"r")] = read
            self.fleet.history.reads.append(read)

    def retire(self) -> None:
        self.shut_down = True
        if self.side is not None:
            self.side.transport.abortConnection()

    def ask(self, key: str, age: float = 0.0) -> Call:
        now = time.time()
        sent_call = Call(key, self.name, now, int((now - age) * 1000) / 1000)
        txn = f"{self.fleet.next_txn():016x}"
        self.fleet.arrived_at[txn] = sent_call.door
        door = str(int(sent_call.door * 1000))
        self.calls[self.call(KEYED_CLASS, key.encode(), txn=txn, unique=idempotency_key_of(key), door=door)] = sent_call
        return sent_call

    def received(self, items: list[bytes]) -> None:
        super().received(items)
        call = self.calls.get(int(items[0]))
        if call is not None and not call.word:
            word, fields, body = self.answers[int(items[0])]
            call.answered, call.word = time.time(), OUTCOMES.get(word, word)
            call.body, call.later = body.decode().rstrip("|"), fields.get("later", "")


OUTCOMES = {"RESULT": "SERVED", "REJECT": "REFUSED", "ABORTED": "FAILED"}


def idempotency_key_of(key: str) -> str:
    return blake2b(key.encode(), digest_size=16).hexdigest()


class Process(ProcessProtocol):
    """A node's process; reads from its log the ports it listens on."""

    def __init__(self, node: FleetNode) -> None:
        self.node = node
        self.partial_line = b""
        self.lines: list[str] = []
        self.ended = False
        self.code: int | None = None

    def errReceived(self, data: bytes) -> None:
        *complete_lines, self.partial_line = (self.partial_line + data).split(b"\n")
        for line in complete_lines:
            text = line.decode("utf-8", "replace")
            self.lines.append(text)
            for pattern, attribute in (
                (ROUTER_LISTENS, "port"),
                (REPLICATION_LISTENS, "replication_port"),
                (ADMIN_LISTENS, "admin"),
            ):
                if match := pattern.search(text):
                    setattr(self.node, attribute, int(match.groups()[-1]))
                    if self.node.router is None and self.node.is_listening:
                        self.node.connect()

    outReceived = errReceived

    def processEnded(self, reason: Failure) -> None:
        self.ended, self.code = True, getattr(reason.value, "exitCode", None)


class FleetNode:
    """A node of the fleet: its process, worker pool, router connection and files, across restarts."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.pool = RecordingPool(fleet, name)
        self.pool_port = fleet.reactor.listenTCP(0, self.pool, interface="127.0.0.1")
        self.folder = fleet.folder / name
        self.folder.mkdir(parents=True)
        self.port: int = 0
        self.replication_port: int = 0
        self.admin: int = 0
        self.process: Process | None = None
        self.transport: Any = None
        self.router: Router | None = None
        self.start_count = 0
        self.paused = False

    def start(self) -> None:
        """Start a process with empty memory; any but the first has to catch up."""
        fleet = self.fleet
        self.port = self.replication_port = self.admin = 0
        self.write_replication_file(first=self.start_count == 0 and not fleet.epoch)
        (self.folder / "config.json").write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": "127.0.0.1:0",
                    "seed": "1",
                    "stop_ms": 3000,
                    "admin": "127.0.0.1:0",
                    "pool": f"127.0.0.1:{self.pool_port.getHost().port}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                    "settings": fleet.own_settings.get(self.name, fleet.settings),
                }
            )
        )
        policy_file = dict(fleet.policy or {})
        if policy_file.get("state"):  # each node has its own state file
            policy_file["state"] = str(self.folder / policy_file["state"])
        (self.folder / "policy.json").write_text(json.dumps(policy_file))
        self.start_count += 1
        self.process = Process(self)
        env = {k: v for k, v in os.environ.items() if not k.startswith("EDGE_")} | {
            "EDGE_CONFIG": str(self.folder / "config.json"),
            "PYTHONPATH": str(ROOT),
            "TMPDIR": str(self.folder),
        }
        self.transport = fleet.reactor.spawnProcess(
            self.process,
            sys.executable,
            [sys.executable, "-m", "lemonway"]
            + (["--replication", str(self.folder / "replication.json")] if fleet.replicated else [])
            + (["--policy", str(self.folder / "policy.json")] if fleet.policy is not None else []),
            env,
        )

    def write_replication_file(self, first: bool = False) -> None:
        fleet = self.fleet
        peers = {
            other: fleet.net.proxies[self.name, other].address if other != self.name else "127.0.0.1:1"
            for other in fleet.members
        }
        (self.folder / "replication.json").write_text(
            json.dumps(
                {
                    "peers": peers,
                    "epoch": fleet.epoch,
                    "before": fleet.previous_members,
                    "listen": "127.0.0.1:0",
                    "first_start": first,
                    **fleet.replication,
                }
            )
        )

    @property
    def is_listening(self) -> bool:
        return bool(self.port and self.admin and (self.replication_port or not self.fleet.replicated))

    @property
    def running(self) -> bool:
        return self.process is not None and not self.process.ended

    def signal(self, number: int) -> None:
        try:
            self.transport.signalProcess(number)
        except ProcessExitedAlready:
            return
        self.paused = number == signal.SIGSTOP or (self.paused and number != signal.SIGCONT)

    def connect(self) -> None:
        self.fleet.net.set_target(self.name, self.replication_port)
        self.router = Router(self.fleet, self.port, self.name)

    def status(self, of: str = "replication") -> dict[str, Any]:
        with urllib.request.urlopen(f"http://127.0.0.1:{self.admin}/{of}", timeout=5) as reply:
            reply_data: dict[str, Any] = json.load(reply)
            return reply_data

    def call_admin(self, path: str, post: bool = False) -> int:
        request = urllib.request.Request(f"http://127.0.0.1:{self.admin}{path}", method="POST" if post else "GET")
        try:
            with urllib.request.urlopen(request, timeout=5) as reply:
                return int(reply.status)
        except urllib.error.HTTPError as error:
            return error.code


class Fleet:
    """Several nodes and the network between them. ``replication``: keys that are added to or replaced in the nodes'
    replication file; ``window``: idempotency window of a key, in seconds."""

    def __init__(
        self,
        count: int,
        folder: Path,
        seed: int = 1,
        *,
        window: float = 24.336,
        run_seconds: float = 0.02,
        replication: dict[str, Any] | None = None,
        replicated: bool = True,
        joiners: int = 0,
        policy: dict[str, Any] | None = None,
        settings: dict[str, Any] | None = None,
    ) -> None:
        """``replicated`` False: the nodes replicate nothing, for comparison. ``joiners``: nodes that do not start with
        the others, for ``change_members``. ``policy``: the keys of the nodes' policy file; without it each node has its
        own policy."""
        from twisted.internet import reactor

        self.reactor: Any = reactor
        self.folder, self.run_seconds, self.replicated = folder, run_seconds, replicated
        self.names = [f"n{i}" for i in range(1, count + joiners + 1)]
        self.members, self.epoch, self.previous_members = self.names[:count], 0, list[str]()
        self.replication: dict[str, Any] = {"beat_ms": 50, "repair_ms": 100, "skew_ms": 100, **(replication or {})}
        self.policy, self.own_settings = policy, dict[str, dict[str, Any]]()
        self.settings = settings or site_settings(kbPerKey=0.5)  # small records: the nodes store many keys
        for request_class in self.settings["lanes"]:
            request_class["memorySpan"] = window * 1000
        self.history = History(window)
        self.arrived_at: dict[str, float] = {}
        self._txn = int(time.time()) << 24
        self.net = FaultNet(reactor, self.names, seed)
        self.nodes = {name: FleetNode(self, name) for name in self.names}
        self.reactor.callLater(READ_INTERVAL_S, self.send_reads)

    def next_txn(self) -> int:
        self._txn += 1
        return self._txn

    def send_reads(self) -> None:
        self.reactor.callLater(READ_INTERVAL_S, self.send_reads)
        for node in self.nodes.values():
            if node.router is not None:
                node.router.send_read()

    def note(self, description: str) -> None:
        self.history.events.append(Event(time.time(), description))

    def start(self) -> None:
        live = [self.nodes[name] for name in self.members]
        for node in live:
            node.start()
        for node in live:
            self.wait_until_ready(node)
        if self.replicated:
            self.wait_until(lambda: all(self.sees_all_peers(node) for node in live), step=0.05)

    def wait_until_ready(self, node: FleetNode) -> None:
        self.wait_until(lambda: bool(node.router) or not node.running)
        if not node.running:
            assert node.process is not None
            raise RuntimeError(f"{node.name} did not start: {node.process.lines[-3:]}")
        self.wait_until(lambda: node.router is not None and node.router.side is not None)
        self.wait_until(lambda: node.call_admin("/ready") == 200, step=0.05)

    def sees_all_peers(self, node: FleetNode) -> bool:
        return all(peer["alive"] for peer in node.status()["peers"].values())

    def ask(self, name: str, key: str) -> Call | None:
        """Send a try with an idempotency key to a node; None if no router is connected."""
        router = self.nodes[name].router
        if router is None or router.side is None:
            return None
        call = router.ask(key)
        self.history.calls.append(call)
        return call

    def kill(self, name: str) -> None:
        """Kill a node with SIGKILL and wait for the process to exit."""
        self.note(f"kill {name}")
        self.send_kill(name)
        self.wait_until(lambda: not self.nodes[name].running)

    def send_kill(self, name: str) -> None:
        node = self.nodes[name]
        self.history.memory_loss.append((name, time.time(), float("inf")))
        node.signal(signal.SIGKILL)
        self.net.set_target(name, None)
        if node.router is not None:
            node.router.retire()
        node.router = None

    def restart(self, name: str) -> None:
        self.note(f"restart {name}")
        node = self.nodes[name]
        node.start()

    def change_members(self, members: list[str]) -> None:
        """Change the list of peers: remaining nodes read it at SIGHUP, joining ones start with it. Nodes that are
        removed have to be stopped before."""
        self.note(f"new list {members}")
        remaining = [name for name in self.members if name in members]
        self.previous_members, self.members, self.epoch = self.members, members, self.epoch + 1
        for name in remaining:
            self.nodes[name].write_replication_file()
            self.nodes[name].signal(signal.SIGHUP)
        for name in members:
            if name not in remaining:
                self.history.memory_loss.append((name, time.time(), float("inf")))
                self.nodes[name].start()
        for name in members:
            self.wait_until_ready(self.nodes[name])

    def has_caught_up(self, node: FleetNode) -> bool:
        return bool(node.status()["whole"])

    def wait_until_caught_up(self, name: str) -> None:
        """Wait until a restarted node serves and has caught up, and record how long the catch-up took."""
        node = self.nodes[name]
        self.wait_until_ready(node)
        self.wait_until(lambda: self.has_caught_up(node), step=0.02)
        took = node.status()["catch_up_ms"]
        self.history.catch_ups.append(took / 1000)
        self.note(f"{name} caught up in {took} ms")
        index = next(
            n
            for n, (node_name, _, hi) in enumerate(self.history.memory_loss)
            if node_name == name and hi == float("inf")
        )
        self.history.memory_loss[index] = (name, self.history.memory_loss[index][1], time.time())

    def wait_until(self, until: Callable[[], bool], patience: float = 30.0, step: float = 0.0) -> None:
        deadline = time.monotonic() + patience
        while not until():
            if time.monotonic() > deadline:
                raise StageTimeout(f"condition not met within {patience:g} s")
            step_end = time.monotonic() + step
            self.run_reactor_once()
            while time.monotonic() < step_end:
                self.run_reactor_once()

    def run_for(self, seconds: float) -> None:
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            self.run_reactor_once()

    def run_reactor_once(self) -> None:
        self.reactor.iterate(0.005)
        reapAllProcesses()  # the reactor is not running, so it installs no SIGCHLD handler

    def wait_for_answers(self, patience: float = 10.0) -> None:
        """Wait until every try at a running node has an answer."""

        def open_calls() -> list[Call]:
            return [
                call
                for node in self.nodes.values()
                if node.router is not None and not node.paused
                for call in node.router.calls.values()
                if not call.word
            ]

        try:
            self.wait_until(lambda: not open_calls(), patience)
        except StageTimeout:
            raise StageTimeout(f"no answer to {open_calls()[:5]}") from None

    # after the faults

    def read_all_keys(self) -> None:
        """After the faults: wait until the copies are equal, then read every answered key from every node."""
        history = self.history
        live = [node for node in self.nodes.values() if node.running]
        try:
            self.wait_until(lambda: not self.unequal_copies(live), patience=8.0, step=0.1)
        except StageTimeout:
            history.unequal_copies = self.unequal_copies(live)
        from ...replication.placement import Placement

        placement = Placement(
            self.members if not self.previous_members else self.previous_members, self.replication.get("group", 3)
        )
        keys = sorted({call.key for call in history.calls})
        history.groups = {key: list(placement.group(idempotency_key_of(key))) for key in keys}
        day_calls, history.calls = history.calls, []
        unanswered = [
            (node.name, key)
            for key in sorted({call.key for call in day_calls if call.word == "SERVED"})
            for node in live
        ]
        # A node may refuse a try under load and give a retry delay; a try that crossed the close of its connection
        # counts as not sent. Both are retried.
        for _ in range(FINAL_READ_ROUNDS):
            questions, unanswered = unanswered, []
            for n in range(0, len(questions), FINAL_READ_BATCH):
                batch = [(question, self.ask(*question)) for question in questions[n : n + FINAL_READ_BATCH]]
                self.wait_for_answers()
                unanswered += [
                    question for question, call in batch if call is not None and call.word in RETRIED_OUTCOMES
                ]
            if not unanswered:
                break
            self.run_for(0.3)
        by_question = {(call.node, call.key): call for call in history.calls}  # the latest answer for each
        history.last, history.calls = list(by_question.values()), day_calls

    @staticmethod
    def unequal_copies(live: list[FleetNode]) -> list[str]:
        checksums = {node.name: node.status()["sums"] for node in live}
        return [
            f"{a} and {b}"
            for a in checksums
            for b in checksums
            if a < b and checksums[a].get(b, "0") != checksums[b].get(a, "0")
        ]

    def close(self) -> None:
        for node in self.nodes.values():
            if node.running:
                node.signal(signal.SIGKILL)
        self.wait_until(lambda: not any(node.running for node in self.nodes.values()))
        self.net.close()
        for node in self.nodes.values():
            node.pool.cut()
            node.pool_port.stopListening()
            if node.router is not None:
                node.router.retire()
        for _ in range(10):
            self.reactor.iterate(0)
        for call in self.reactor.getDelayedCalls():
            call.cancel()
