"""Runs the ``lemonway`` command and reports on standard output, once a second, how many bytes the process has read from
and written to its stream sockets. The command is otherwise unchanged."""

from __future__ import annotations

import sys
from typing import Any

import msgspec
from twisted.internet import tcp

REPORT_INTERVAL = 1.0  # seconds


class ByteCounts(msgspec.Struct, frozen=True):
    """Since the start of the process."""

    read: int
    written: int


class ConnectionMeter:
    """Counts bytes in Twisted's TCP connection class, which all connections of the process use."""

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

    def report(self, reactor: Any) -> None:
        sys.stdout.write(msgspec.json.encode(ByteCounts(self.read, self.written)).decode() + "\n")
        sys.stdout.flush()
        reactor.callLater(REPORT_INTERVAL, self.report, reactor)


def main() -> None:
    from twisted.internet import reactor

    from ..cli import main as command

    meter = ConnectionMeter()
    meter.attach()
    loop: Any = reactor
    loop.callWhenRunning(meter.report, loop)
    command()


if __name__ == "__main__":
    main()
