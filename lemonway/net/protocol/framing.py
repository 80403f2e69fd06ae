"""Length-prefixed messages: the framing of every MessagePack link between lemonway processes.

A frame is the message's length in ``HEAD`` bytes, big-endian, and the message. A connection has a bound on the length
of one message; a longer or an empty one can't be read past, and is told to ``frame_rejected``."""

from __future__ import annotations

import socket
import struct
from typing import Any

from ..transport.clock import Turns
from ..transport.connection import READ_MOST, Connection

HEAD = 4  # bytes of a message's length
UNACKNOWLEDGED_MS = 5000  # the system gives up a link on which nothing is acknowledged for so long

_LENGTH = struct.Struct(">I")


def frame(message: bytes) -> bytes:
    """``message`` behind its length."""
    return _LENGTH.pack(len(message)) + message


def watch_liveness(transport: Any) -> None:
    """Have the system end a connection whose other machine is gone without a word."""
    transport.setTcpKeepAlive(1)
    if hasattr(socket, "TCP_USER_TIMEOUT"):
        transport.getHandle().setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


class FramedConnection(Connection):
    """A connection on which whole messages come in. Subclasses take them in ``message_received``."""

    def __init__(self, turns: Turns, message_most: int, outbound: int) -> None:
        """``message_most``: bytes of one message that is read; ``outbound``: bytes that may wait to be written."""
        super().__init__(turns, message_most + HEAD + READ_MOST, outbound)
        self.message_most = message_most
        self._in_head = True

    def opened(self) -> None:
        self.expect(HEAD)

    def blockReceived(self, block: bytes) -> None:
        if not self._in_head:
            self._in_head = True
            self.expect(HEAD)
            self.message_received(block)
            return
        size = _LENGTH.unpack(block)[0]
        if not 0 < size <= self.message_most:
            self.frame_rejected()
            return
        self._in_head = False
        self.expect(size)

    def lineReceived(self, line: bytes) -> None:  # there are no lines on these links
        self.refuse_more()

    def message_received(self, message: bytes) -> None:
        """A whole message has come."""
        raise NotImplementedError

    def frame_rejected(self) -> None:
        """A length came that no message may have; nothing after it can be read."""
        self.abort()
