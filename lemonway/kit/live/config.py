"""Writes a node's configuration file: the inverse of ``net.program.config`` and ``settings.read_settings``.
Independent of how node processes are started."""

from __future__ import annotations

from typing import Any

from ...interface import Settings
from ..emulator.settings import settings_json


def node_json(
    name: str,
    listen: str,
    pool: str,
    announce: str,
    backend: str | None,
    seed: int,
    stop_ms: float,
    sockets: int,
    memory_mb: int,
    settings: Settings,
) -> dict[str, Any]:
    return {
        "name": name,
        "listen": listen,
        "pool": pool,
        "announce": announce,
        "catalog": backend,
        "seed": f"{seed:016x}",
        "stop_ms": stop_ms,
        "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
        "settings": settings_json(settings),
    }
