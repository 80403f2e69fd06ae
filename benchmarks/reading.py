"""The cost of reading: from the bytes of a connection to the request as the core takes it, in CPU time. Run as a
program it times the checkout that is on its path and prints JSON: ``python reading.py``. It uses nothing of the project
but the front, so that an older checkout can be timed with it."""

from __future__ import annotations

import json
import sys
import time
from collections import Counter
from typing import Any

BATCH, ROUNDS = 1984, 5


class Transport:
    """Takes what is written and keeps nothing."""

    bufferSize = 0
    disconnecting = False

    def write(self, data: bytes) -> None: ...

    def setTcpNoDelay(self, enabled: bool) -> None: ...

    def registerProducer(self, producer: Any, streaming: bool) -> None: ...

    def unregisterProducer(self) -> None: ...

    def pauseProducing(self) -> None: ...

    def resumeProducing(self) -> None: ...


class Reactor:
    def callLater(self, delay: float, call: Any, *args: Any) -> Any:
        self.end = call
        return self

    def active(self) -> bool:
        return False


class Desk:
    """The core as the front sees it: answers nothing."""

    def __init__(self, settings: Any) -> None:
        self.settings, self.counters, self.idle_ttl_us = settings, Counter[str](), 10**9
        self.frontend_connections: dict[Any, None] = {}
        self.draining, self.healthy, self.taken = False, True, 0

    def submit(self, inc: Any) -> int:
        self.taken += 1
        self.last = inc
        return self.taken

    def abandon(self, ident: int) -> None: ...

    def check(self, front: Any, tag: int, deep: bool) -> None: ...


def frame(*items: bytes) -> bytes:
    return b"*%d\r\n" % len(items) + b"".join(b"$%d\r\n%b\r\n" % (len(item), item) for item in items)


def request(tag: int, body: int, keyed: bool) -> bytes:
    fields = f"txn={tag:016x},door=1764576000123,lb=4,team=museu-grande,cpu=250.50,ram=24.500,standing=0.6250," + (
        f"unique={tag:032x}" if keyed else f"item={tag:016x}"
    )
    return frame(b"CALL", b"%d" % tag, b"cadastro" if keyed else b"busca", fields.encode(), b"x" * body)


def measure(body: int, keyed: bool, together: int, piece: int) -> float:
    """Microseconds of CPU a request: ``together`` requests come in one stretch, cut into pieces of ``piece`` bytes
    (0: as they are)."""
    from lemonway.kit.stage import site_settings
    from lemonway.net.protocol.resp import NameLookup, RouterConnection
    from lemonway.net.transport.clock import Clock, EventLoop
    from lemonway.settings import flatten, read_settings

    settings = read_settings(flatten(site_settings()))
    reactor, desk = Reactor(), Desk(settings)
    event_loop = EventLoop(reactor, Clock())
    names, best = NameLookup.from_settings(settings), float("inf")
    stretches = []
    for first in range(1, BATCH + 1, together):
        data = b"".join(request(tag, body, keyed) for tag in range(first, first + together))
        size = piece or len(data)
        stretches.append([data[at : at + size] for at in range(0, len(data), size)])
    for _ in range(ROUNDS):
        desk.taken = 0
        connection = RouterConnection(event_loop, desk, names)
        connection.transport = Transport()
        connection.connectionMade()
        begun = time.process_time_ns()
        for stretch in stretches:
            for data in stretch:
                connection.dataReceived(data)
                reactor.end()
            connection.open_requests.clear()
        spent = time.process_time_ns() - begun
        if desk.taken != BATCH:
            raise RuntimeError(f"{desk.taken} of {BATCH} requests were read")
        best = min(best, spent / 1000 / BATCH)
    return best


CASES = {
    "200 B, one at a time": (200, False, 1, 0),
    "200 B, 32 together": (200, False, 32, 0),
    "cadastro 2 KiB, one at a time": (2048, True, 1, 0),
    "cadastro 2 KiB, 32 together in 1,460 B": (2048, True, 32, 1460),
    "200 B, 32 together in 7 B": (200, False, 32, 7),
    "200 B, one in 1 B": (200, False, 1, 1),
    "200 B, 32 together in 1 B": (200, False, 32, 1),
}


if __name__ == "__main__":
    json.dump({name: measure(*case) for name, case in CASES.items()}, sys.stdout)
