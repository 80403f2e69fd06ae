"""Runs the command ``lemonway`` and says on standard output, once a second, how many bytes the process has read from
its stream sockets and written to them so far. Nothing else of it is changed."""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from twisted.internet import tcp

EVERY = 1.0  # seconds


class Bytes(msgspec.Struct, frozen=True):
    """Since the start of the process."""

    read: int
    written: int


class Meter:
    """Counts in the reactor's own connections, which all links are on."""

    def __init__(self) -> None:
        self.read = self.written = 0

    def attach(self) -> None:
        received, write = tcp.Connection._dataReceived, tcp.Connection.writeSomeData

        def counted_received(connection: Any, data: bytes) -> Any:
            self.read += len(data)
            return received(connection, data)

        def counted_write(connection: Any, data: bytes) -> Any:
            written = write(connection, data)
            if isinstance(written, int):
                self.written += written
            return written

        connection: Any = tcp.Connection
        connection._dataReceived, connection.writeSomeData = counted_received, counted_write

    def tell(self, reactor: Any) -> None:
        sys.stdout.write(msgspec.json.encode(Bytes(self.read, self.written)).decode() + "\n")
        sys.stdout.flush()
        reactor.callLater(EVERY, self.tell, reactor)


def main() -> None:
    from twisted.internet import reactor

    from ..cli import main as command

    meter = Meter()
    meter.attach()
    loop: Any = reactor
    loop.callWhenRunning(meter.tell, loop)
    command()


if __name__ == "__main__":
    main()
