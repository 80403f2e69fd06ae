"""A stand-in that answers every request at once, on the routers' protocol: what the generator and the loopback take by
themselves. Prints its port: ``python -m benchmarks.slopes.echo``."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import Protocol, ServerFactory

from lemonway.net.protocol.resp import encode, parse_whole_frame


class Echo(Protocol):
    """Reads whole frames and writes a result for each."""

    transport: Any

    def __init__(self) -> None:
        self._data = b""

    def dataReceived(self, data: bytes) -> None:
        self._data += data
        while self._data:
            items, end = parse_whole_frame(self._data, 0)
            if items is None:
                return
            self._data = self._data[end:]
            self.transport.write(encode(items[1], b"RESULT", b"", b"x"))


def main() -> None:
    """Listen until the process is ended."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    factory = ServerFactory()
    factory.noisy = False
    factory.buildProtocol = lambda addr: Echo()  # type: ignore[method-assign]
    print(reactor.listenTCP(0, factory, interface="127.0.0.1").getHost().port, flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
