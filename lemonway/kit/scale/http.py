"""One HTTP call to an admin address, as the operators' tools make it, without holding up the loop."""

from __future__ import annotations

import asyncio
import json
from typing import Any

CALL_WAIT = 3.0  # seconds for an answer


class NoAnswer(Exception):
    """There was none, or one that makes no sense."""


async def call(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
    """The status and what the answer holds, read as JSON where it is. Raises ``NoAnswer``."""
    try:
        return await asyncio.wait_for(_call(port, method, path, body), CALL_WAIT)
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, TimeoutError) as error:
        raise NoAnswer(f"{method} {path} at {port}: {type(error).__name__}: {error}") from None


async def _call(port: int, method: str, path: str, body: bytes) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        answer = await reader.read(-1)
    finally:
        writer.close()
    top, _, rest = answer.partition(b"\r\n\r\n")
    status = int(top.split(b" ", 2)[1])
    return status, json.loads(rest)
