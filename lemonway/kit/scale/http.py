"""Asynchronous HTTP calls to an admin interface."""

from __future__ import annotations

import asyncio
import json
from typing import Any

CALL_TIMEOUT_S = 3.0


class AdminCallError(Exception):
    """An admin interface did not answer or sent an invalid response."""


async def call_admin(port: int, method: str, path: str, body: bytes = b"") -> tuple[int, Any]:
    """Return the HTTP status and the decoded JSON body. Raises ``AdminCallError``."""
    try:
        return await asyncio.wait_for(_call_admin(port, method, path, body), CALL_TIMEOUT_S)
    except (OSError, ValueError, IndexError, asyncio.IncompleteReadError, TimeoutError) as error:
        raise AdminCallError(f"{method} {path} on port {port}: {type(error).__name__}: {error}") from None


async def _call_admin(port: int, method: str, path: str, body: bytes) -> tuple[int, Any]:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    try:
        head = f"{method} {path} HTTP/1.1\r\nHost: control\r\nContent-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        writer.write(head.encode() + body)
        response = await reader.read(-1)
    finally:
        writer.close()
    head_bytes, _, body_bytes = response.partition(b"\r\n\r\n")
    status = int(head_bytes.split(b" ", 2)[1])
    return status, json.loads(body_bytes)
