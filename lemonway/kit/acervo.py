"""A stand-in ``acervo``: the next tier, as the node's catalogue address shows it."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ServerFactory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

REPLIES = {
    "ok": b"HTTP/1.1 200 OK\r\n",
    "declined": b"HTTP/1.1 503 Service Unavailable\r\nX-Declined: 1\r\n",
    "failed": b"HTTP/1.1 500 Internal Server Error\r\n",
    "late": b"HTTP/1.1 504 Gateway Timeout\r\n",
    "over": b"HTTP/1.1 409 Conflict\r\nX-Declined: 1\r\n",
}

NOISE = bytes(range(128, 256)) * 2
EXTRAS = {
    "interim": (b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n", b""),
    "twice": (b"", b""),
    "noisy": (b"", NOISE),
}
SPOILT = {
    "noise": NOISE + b"\r\n",
    "endless": b"HTTP/1.1 100 Continue\r\n\r\n" * 500,
    "huge": b"HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\n" + b"x" * 65536,
}
WORDS = ("break", "silent", *REPLIES, *EXTRAS, *SPOILT)


class AcervoSide(LineReceiver):
    transport: Any

    def __init__(self, acervo: StandInAcervo) -> None:
        self.acervo = acervo
        self._head: list[bytes] = []
        self._body, self._size = b"", 0

    def connectionMade(self) -> None:
        self.acervo.sides[self] = None

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.acervo.sides.pop(self, None)

    def lineReceived(self, line: bytes) -> None:
        if line:
            self._head.append(line)
            return
        headers = dict(part.split(b": ", 1) for part in self._head[1:])
        self._size, self._body = int(headers[b"Content-Length"]), b""
        self._txn = headers[b"X-On-Behalf"].decode()
        self.acervo.patiences.append(int(headers[b"X-Patience"]))
        self.setRawMode()
        self.rawDataReceived(b"")

    def rawDataReceived(self, data: bytes) -> None:
        self._body += data
        if len(self._body) >= self._size:
            body, rest = self._body[: self._size], self._body[self._size :]
            self._head = []
            self.acervo.called(self, self._txn, body)
            self.setLineMode(rest)


class StandInAcervo(ServerFactory):
    """Answers calls with what a case has put in ``script``, then with ``ok`` for good. A reply can also be
    ``break`` (reset the connection unanswered), ``silent``, good with more than belongs to it (``interim`` before,
    a second copy or noise after: ``twice``, ``noisy``), or spoilt (``noise``, ``endless``, ``huge``)."""

    noisy = False

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.script: deque[str] = deque()
        self.seconds = 0.0
        self.awaited: Callable[[str, bytes], bool] = lambda txn, body: True  # whether a run waits for the call
        self.calls: list[tuple[str, bytes]] = []
        self.echoes = False  # a good reply is the call's own body: a test can tell whose it is
        self.declined: list[tuple[str, bytes]] = []  # calls that no run waited for
        self.patiences: list[int] = []
        self.sides: dict[AcervoSide, None] = {}  # the connections that are open
        self.forgotten: set[AcervoSide] = set()

    @property
    def open(self) -> int:
        return len(self.sides)

    def buildProtocol(self, addr: Any) -> AcervoSide:
        return AcervoSide(self)

    def forget(self) -> None:
        """Reset each connection that is open now at its next call, which never runs."""
        self.forgotten = set(self.sides)

    def called(self, side: AcervoSide, txn: str, body: bytes) -> None:
        if side in self.forgotten:
            side.transport.abortConnection()
            return
        if not self.awaited(txn, body):
            self.declined.append((txn, body))
            self.reply(side, "over", b"")
            return
        self.calls.append((txn, body))
        word = self.script.popleft() if self.script else "ok"
        if word == "break":
            side.transport.abortConnection()
        elif word != "silent":
            entry = body if self.echoes else b"entry for " + txn.encode()
            self.reactor.callLater(self.seconds, self.reply, side, word, entry)

    def reply(self, side: AcervoSide, word: str, entry: bytes) -> None:
        if word in SPOILT:
            side.transport.write(SPOILT[word])
            return
        good = word in EXTRAS
        body = entry if good or word == "ok" else b""
        reply = REPLIES["ok" if good else word] + b"Content-Length: %d\r\n\r\n" % len(body) + body
        before, after = EXTRAS.get(word, (b"", b""))
        side.transport.write(before + reply + (reply if word == "twice" else after))
