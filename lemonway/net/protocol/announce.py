"""The announce service: one UDP datagram a report, no answer."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol


def encode_report(name: str, accepting: bool) -> bytes:
    return f"announce {name} {'true' if accepting else 'false'}".encode()


class AnnounceClient(DatagramProtocol):
    noisy = False
    transport: Any

    def __init__(self, reactor: Any, name: str, host: str, port: int) -> None:
        self.reactor, self.name, self.address = reactor, name, (host, port)
        self.refused = 0

    @property
    def interface(self) -> str:
        return "127.0.0.1" if self.address[0].startswith("127.") else ""

    def start(self) -> None:
        self.reactor.listenUDP(0, self, interface=self.interface)

    def readdress(self, host: str, port: int) -> None:
        """The next report goes there."""
        bound = self.interface
        self.address = (host, port)
        if self.transport is not None and self.interface != bound:
            self.transport.stopListening()
            self.start()

    def stop(self) -> None:
        if self.transport is not None:
            self.transport.stopListening()

    def announce(self, accepting: bool) -> None:
        if self.transport is not None:
            try:
                self.transport.write(encode_report(self.name, accepting), self.address)
            except OSError:  # the service is down: no entry lapses while it is
                self.refused += 1
