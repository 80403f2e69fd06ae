"""A stand-in worker pool: the pool's side of its protocol, with runs that end when a case says so."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

KEPT = 4000  # notices that are kept for a link that comes back


@dataclass
class Plan:
    """What runs of a class do."""

    calls: int = 0
    end: str = "good"
    seconds: float = 0.0
    held: bool = False  # the run ends only after ``release``


@dataclass
class Run:
    txn: str
    handler: str
    body: bytes
    calls_left: int
    state: str = "queued"  # queued, working, blocked, over
    timer: Any = None
    call: bytes = b""  # the body of the call that it makes last
    replies: list[bytes] = field(default_factory=list)


class PoolSide(LineReceiver):
    """The pool's end of a link."""

    transport: Any

    MAX_LENGTH = 4096

    def __init__(self, pool: StandInPool) -> None:
        self.pool = pool
        self._block: tuple[str, list[str], int] | None = None
        self._got = b""

    def lineReceived(self, line: bytes) -> None:
        words = line.decode("latin-1").split(" ")
        if words[0] in ("spawn", "supply"):
            self._block, self._got = (words[0], words[1:], int(words[-1])), b""
            self.setRawMode()
        else:
            self.pool.command(self, words[0], words[1:], b"")

    def rawDataReceived(self, data: bytes) -> None:
        self._got += data
        if self._block is not None and len(self._got) >= self._block[2] + 2:
            name, words, size = self._block
            self._block, body, rest = None, self._got[:size], self._got[size + 2 :]
            self.pool.command(self, name, words, body)
            self.setLineMode(rest)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.pool.link is self:
            self.pool.link = None


class StandInPool(ServerFactory):
    """``cores`` runs work at a time, the others wait in order. A result is the class and the body of its request,
    and the replies to its calls, so that a test can tell whose result came back."""

    noisy = False

    def __init__(self, reactor: Any, cores: int = 6, up: bool = True) -> None:
        self.reactor, self.cores, self.up = reactor, cores, up
        self.plans: dict[str, Plan] = {}
        self.state = "old"
        self.age_ms = 60_000
        self.cpu = 0.2
        self.link: PoolSide | None = None
        self.binds: list[int] = []
        self.runs: dict[str, Run] = {}
        self.spawned: list[str] = []  # in order, repeats of a spawn included
        self.suspended: list[str] = []
        self.supplied: list[str] = []  # in order, replies that no run waited for included
        self.verify_end = "good"
        self.silent = False  # takes commands in and says nothing
        self.strangers: set[bytes] = set()  # bodies of requests that never came to this machine
        self.deaf = False  # loses the commands that come; over with the next link
        self._queue: deque[Run] = deque()
        self._notices: deque[tuple[int, bytes]] = deque(maxlen=KEPT)
        self._serial = 0

    def buildProtocol(self, addr: Any) -> PoolSide:
        return PoolSide(self)

    def come_up(self) -> None:
        """The process starts after the node: only now is ``bind`` answered."""
        self.up = True
        if self.link is not None and self.binds:
            self._bound(self.link, self.binds[-1])

    def cut(self) -> None:
        if self.link is not None:
            self.link.transport.abortConnection()
            self.link = None

    def release(self, handler: str) -> None:
        """Let the held runs of a class go on, and those that start later."""
        self.plans[handler].held = False
        for run in [r for r in self.runs.values() if r.handler == handler and r.state == "working"]:
            self._work(run)

    def awaits(self, txn: str, call: bytes) -> bool:
        """Whether the request's run waits for this call."""
        run = self.runs.get(txn)
        return run is not None and run.state == "blocked" and run.call == call

    # the protocol

    def command(self, link: PoolSide, name: str, words: list[str], body: bytes) -> None:
        if name == "bind":
            self.link, self.deaf = link, False
            self.binds.append(int(words[0]))
            if self.up:
                self._bound(link, int(words[0]))
        elif self.deaf:
            return
        elif name == "spawn":
            self._spawn(words[0], words[1], body)
        elif name == "suspend":
            self.suspended.append(words[0])
            run = self.runs.get(words[0])
            if run is not None and run.state != "over":
                self._finish(run, "cut")
        elif name == "supply":
            self._supply(words[0], body)
        elif name == "poll" and not self.silent:
            working = sum(r.state == "working" for r in self.runs.values())
            link.sendLine(f"polled {words[0]} {self.cpu} {working} 0.1 8".encode())
        elif name == "verify" and not self.silent:
            link.sendLine(f"verified {words[0]} {self.verify_end}".encode())
        elif name not in ("poll", "verify"):
            link.transport.loseConnection()  # as the pool does with what is no command

    def _bound(self, link: PoolSide, after: int) -> None:
        link.sendLine(f"bound {self.state} {self.age_ms}".encode())
        for serial, notice in self._notices:
            if serial > after:
                link.transport.write(notice)

    def _spawn(self, txn: str, handler: str, body: bytes) -> None:
        if body in self.strangers:
            if self.link is not None:
                self.link.sendLine(f"unknown spawn {txn}".encode())
            return
        self.spawned.append(txn)
        run = self.runs.get(txn)
        if run is not None and run.state != "over":
            return
        plan = self.plans.setdefault(handler, Plan())
        run = self.runs[txn] = Run(txn, handler, body, plan.calls)
        self._queue.append(run)
        self._fill()

    def _fill(self) -> None:
        while self._queue and sum(r.state == "working" for r in self.runs.values()) < self.cores:
            run = self._queue.popleft()
            if run.state == "queued":
                self._work(run)

    def _work(self, run: Run) -> None:
        plan = self.plans[run.handler]
        run.state = "working"
        if not plan.held and run.timer is None:
            run.timer = self.reactor.callLater(plan.seconds, self._step, run)

    def _step(self, run: Run) -> None:
        run.timer = None
        if run.state != "working":
            return
        if run.calls_left:
            run.calls_left -= 1
            run.state = "blocked"
            made = self.plans[run.handler].calls - run.calls_left
            body = run.call = b"call %d for %b" % (made, run.txn.encode())
            self._say(b"blocked %d " + run.txn.encode() + b" %d\r\n" % len(body) + body + b"\r\n")
            self._fill()
        else:
            self._finish(run, self.plans[run.handler].end)

    def _supply(self, txn: str, body: bytes) -> None:
        self.supplied.append(txn)
        run = self.runs.get(txn)
        if run is None or run.state != "blocked":
            if self.link is not None:
                self.link.sendLine(f"unknown supply {txn}".encode())
            return
        run.replies.append(body)
        self._work(run)

    def _finish(self, run: Run, end: str) -> None:
        run.state = "over"
        if run.timer is not None:
            run.timer.cancel()
            run.timer = None
        result = b"|".join([run.handler.encode(), run.body, *run.replies]) if end == "good" else b""
        self._say(b"finished %d " + f"{run.txn} {end} 12.5 {len(result)}".encode() + b"\r\n" + result + b"\r\n")
        self._fill()

    def _say(self, form: bytes) -> None:
        self._serial += 1
        notice = form.replace(b"%d", b"%d" % self._serial, 1)
        self._notices.append((self._serial, notice))
        if self.link is not None and not self.silent:
            self.link.transport.write(notice)
