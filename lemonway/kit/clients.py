"""Stand-in clients: a router that speaks RESP and a web server that speaks uwsgi. Each answer goes to a tally."""

from __future__ import annotations

import time
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python.failure import Failure

from .tally import Tally


class RouterSide(LineReceiver):
    """Reads answers: arrays of bulk strings. Whoever reads something else of that form takes ``whole``."""

    transport: Any

    def __init__(self, client: RouterClient) -> None:
        self.client = client
        self._left = self._size = 0
        self._items: list[bytes] = []
        self._got = b""

    def connectionMade(self) -> None:
        self.client.side = self

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.client.side, self.client.closed = None, True

    def lineReceived(self, line: bytes) -> None:
        if line[:1] == b"*":
            self._left, self._items = int(line[1:]), []
        else:
            self._size, self._got = int(line[1:]), b""
            self.setRawMode()

    def rawDataReceived(self, data: bytes) -> None:
        self._got += data
        if len(self._got) < self._size + 2:
            return
        item, rest = self._got[: self._size], self._got[self._size + 2 :]
        self._items.append(item)
        self._left -= 1
        if self._left == 0:
            self.whole(self._items)
        self.setLineMode(rest)

    def whole(self, items: list[bytes]) -> None:
        self.client.received(items)


class RouterClient(ClientFactory):
    """A router's connection. Answers are kept as (word, fields, body) by tag."""

    noisy = False

    def __init__(self, reactor: Any, port: int, tally: Tally | None = None, name: str = "resp") -> None:
        self.tally, self.name = tally or Tally(), name
        self.side: RouterSide | None = None
        self.closed = self.drained = False
        self.answers: dict[int, tuple[str, dict[str, str], bytes]] = {}
        self.order: list[int] = []
        self.tag = 0
        reactor.connectTCP("127.0.0.1", port, self, timeout=None)

    def buildProtocol(self, addr: Any) -> RouterSide:
        return RouterSide(self)

    def write(self, data: bytes) -> None:
        assert self.side is not None
        self.side.transport.write(data)

    @staticmethod
    def frame(*items: bytes) -> bytes:
        return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(i), i) for i in items)

    def call(self, handler: str, body: bytes = b"", age_ms: int = 0, **fields: str) -> int:
        """Send a request; gives its tag. ``fields`` replace or add to those that every request has."""
        self.tag += 1
        tag = self.tag
        said = {
            "txn": f"{id(self) & 0xffffffff:08x}{tag:08x}",
            "door": str(int(time.time() * 1000) - age_ms),
            "lb": "1",
            "ram": "30.0",
            "standing": "0.5000",
            **fields,
        }
        self.tally.ask(self.name, tag, handler)
        text = ",".join(f"{name}={value}" for name, value in said.items()).encode()
        self.write(self.frame(b"CALL", b"%d" % tag, handler.encode(), text, body))
        return tag

    def cancel(self, tag: int) -> None:
        """Wait no more for the request of this tag."""
        self.tally.give_up(self.name, tag)
        self.write(self.frame(b"CANCEL", b"%d" % tag))

    def check(self, deep: bool) -> int:
        self.tag += 1
        self.tally.ask(self.name, self.tag, "check")
        self.write(self.frame(b"CHECK", b"%d" % self.tag, b"probe=%d" % deep))
        return self.tag

    def received(self, items: list[bytes]) -> None:
        tag, word = int(items[0]), items[1].decode()
        if tag == 0:
            self.drained = word == "DRAIN"
            return
        text = items[2].decode() if len(items) > 2 else ""
        fields = dict(pair.split("=", 1) for pair in text.split(",")) if text else {}
        self.answers[tag] = (word, fields, items[3] if len(items) > 3 else b"")
        self.order.append(tag)
        self.tally.answer(self.name, tag, word)


def packet(variables: dict[str, str], body: bytes = b"") -> bytes:
    """A uwsgi packet and the body after it."""
    block = b""
    for name, value in variables.items():
        for word in (name.encode("latin-1"), value.encode("latin-1")):
            block += len(word).to_bytes(2, "little") + word
    return b"\0" + len(block).to_bytes(2, "little") + b"\0" + block + body


def request_vars(path: str, body: bytes = b"", **more: str) -> dict[str, str]:
    """The variables nginx sends for a request."""
    path, _, query = path.partition("?")
    out = {
        "REQUEST_METHOD": "POST" if body else "GET",
        "PATH_INFO": path,
        "QUERY_STRING": query,
        "CONTENT_LENGTH": str(len(body)) if body else "",
        "HTTP_HOST": "grande.museus.example",
        **more,
    }
    return out


class UwsgiSide(Protocol):
    transport: Any

    def __init__(self, client: UwsgiClient, number: int, raw: bytes) -> None:
        self.client, self.number, self.raw, self.got = client, number, raw, b""

    def connectionMade(self) -> None:
        self.client.sides[self.number] = self
        self.transport.write(self.raw)

    def dataReceived(self, data: bytes) -> None:
        self.got += data

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.client.ended(self)


class _OneShot(ClientFactory):
    noisy = False

    def __init__(self, client: UwsgiClient, number: int, raw: bytes) -> None:
        self.client, self.number, self.raw = client, number, raw

    def buildProtocol(self, addr: Any) -> UwsgiSide:
        return UwsgiSide(self.client, self.number, self.raw)


class UwsgiClient:
    """Sends each request on a connection of its own, as a web server does."""

    def __init__(self, reactor: Any, port: int, tally: Tally | None = None, name: str = "uwsgi") -> None:
        self.reactor, self.port, self.tally, self.name = reactor, port, tally or Tally(), name
        self.sides: dict[int, UwsgiSide] = {}
        self.answers: dict[int, tuple[int, dict[str, str], bytes]] = {}  # status, headers, body
        self.raw: dict[int, bytes] = {}
        self.closed: set[int] = set()
        self._number = 0

    def get(self, path: str, body: bytes = b"", **more: str) -> int:
        return self.send(packet(request_vars(path, body, **more), body), path.strip("/").partition("/")[0])

    def send(self, raw: bytes, what: str = "raw") -> int:
        self._number += 1
        number = self._number
        self.tally.ask(self.name, number, what)
        self.reactor.connectTCP("127.0.0.1", self.port, _OneShot(self, number, raw), timeout=None)
        return number

    def hang_up(self, number: int) -> None:
        self.sides[number].transport.loseConnection()

    def ended(self, side: UwsgiSide) -> None:
        self.closed.add(side.number)
        self.raw[side.number] = side.got
        rest = side.got
        while rest.startswith(b"HTTP/1.1 "):  # each whole response counts: a second one would show
            head, _, rest = rest.partition(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")
            headers = {n.lower(): v for n, v in (line.split(": ", 1) for line in lines[1:])}
            status, size = int(lines[0].split()[1]), int(headers["content-length"])
            self.answers[side.number] = (status, headers, rest[:size])
            rest = rest[size:]
            self.tally.answer(self.name, side.number, str(status))
