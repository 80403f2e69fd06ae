"""Length-prefixed messages: the framing of every MessagePack link between lemonway processes.

A frame is the message's length in ``LENGTH_PREFIX_BYTES`` bytes in big-endian order, followed by the message. Each
connection limits the length of one message. A longer or empty one is reported to ``frame_rejected``, and nothing after
it can be read."""

from __future__ import annotations

import socket
import struct
from typing import Any

from ..transport.clock import EventLoop
from ..transport.connection import MAX_READ_BYTES, Connection

LENGTH_PREFIX_BYTES = 4
TCP_USER_TIMEOUT_MS = 5000  # the kernel closes a connection whose sent data is unacknowledged for this time

_LENGTH = struct.Struct(">I")


def frame(message: bytes) -> bytes:
    """``message`` with its length prefix."""
    return _LENGTH.pack(len(message)) + message


def enable_dead_peer_detection(transport: Any) -> None:
    """Has the kernel detect and close a connection whose remote host has vanished without a FIN or RST."""
    transport.setTcpKeepAlive(1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)


class FramedConnection(Connection):
    """A connection that receives whole messages. Subclasses handle them in ``message_received``."""

    def __init__(self, event_loop: EventLoop, max_message_bytes: int, outbound_bytes: int) -> None:
        """``max_message_bytes``: limit for one received message; ``outbound_bytes``: limit for unsent output."""
        super().__init__(event_loop, max_message_bytes + LENGTH_PREFIX_BYTES + MAX_READ_BYTES, outbound_bytes)
        self.max_message_bytes = max_message_bytes
        self._reading_length = True

    def on_connected(self) -> None:
        self.expect(LENGTH_PREFIX_BYTES)

    def blockReceived(self, block: bytes) -> None:
        if not self._reading_length:
            self._reading_length = True
            self.expect(LENGTH_PREFIX_BYTES)
            self.message_received(block)
            return
        size = _LENGTH.unpack(block)[0]
        if not 0 < size <= self.max_message_bytes:
            self.frame_rejected()
            return
        self._reading_length = False
        self.expect(size)

    def lineReceived(self, line: bytes) -> None:  # this protocol has no lines
        self.reject_input()

    def message_received(self, message: bytes) -> None:
        """Called with each complete message."""
        raise NotImplementedError

    def frame_rejected(self) -> None:
        """The length prefix is 0 or over the limit; nothing after it can be read."""
        self.abort()
