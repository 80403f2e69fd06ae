"""Client of the announce service: each report is one UDP datagram without an answer."""

from __future__ import annotations

from typing import Any

from twisted.internet.error import CannotListenError
from twisted.internet.protocol import DatagramProtocol


def encode_report(name: str, accepting: bool) -> bytes:
    return f"announce {name} {'true' if accepting else 'false'}".encode()


class _AnnounceProtocol(DatagramProtocol):
    """The protocol of one socket. Twisted releases a protocol only some event-loop iterations after ``stopListening``,
    so each socket has its own instance."""

    noisy = False
    transport: Any


class AnnounceClient:
    """Reports whether the node of this name accepts requests."""

    def __init__(self, reactor: Any, name: str, host: str, port: int) -> None:
        self.reactor, self.name, self.address = reactor, name, (host, port)
        self.unsent_reports = 0  # reports that could not be sent
        self.protocol: _AnnounceProtocol | None = None
        self.bound_interface = ""

    @property
    def interface(self) -> str:
        return "127.0.0.1" if self.address[0].startswith("127.") else ""

    def start(self) -> None:
        """Opens the socket. If that fails, the next report tries again; a report without a socket counts as refused."""
        protocol = _AnnounceProtocol()
        try:
            self.reactor.listenUDP(0, protocol, interface=self.interface)
        except (CannotListenError, OSError):  # no file descriptor is available
            self.protocol = None
            return
        self.protocol, self.bound_interface = protocol, self.interface

    def readdress(self, host: str, port: int) -> None:
        """Sends further reports to another address."""
        self.address = (host, port)
        if self.protocol is not None and self.interface != self.bound_interface:
            self.stop()
            self.start()

    def stop(self) -> None:
        if self.protocol is not None:
            self.protocol.transport.stopListening()
            self.protocol = None

    def announce(self, accepting: bool) -> None:
        if self.protocol is None:
            self.start()
        if self.protocol is None:
            self.unsent_reports += 1
            return
        try:
            self.protocol.transport.write(encode_report(self.name, accepting), self.address)
        except OSError:  # the service is down: it expires no entries meanwhile, so the report need not be resent
            self.unsent_reports += 1
