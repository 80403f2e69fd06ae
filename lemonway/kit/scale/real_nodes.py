"""The real nodes of a scale run: ``python -m lemonway`` with and without ``--control``, connected to the worker pools
of the traffic worker."""

from __future__ import annotations

import json
import re
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

from ..stage import site_settings
from .processes import ChildProcess

LISTENS = re.compile(r"(\w+) listens on \S+?:(\d+), pid")
ADMIN = re.compile(r"admin listens on \S+?:(\d+)")
LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 512}


class RealNode:
    """One real node across its restarts. ``control``: contents of its control file, ``None`` to run without control.
    ``on_listening`` is called with its name and port, 0 when it is killed; ``on_log_line`` with its name and each other
    log line."""

    def __init__(
        self,
        name: str,
        number: int,
        pool_port: int,
        folder: Path,
        control: dict[str, Any] | None,
        cpus: Sequence[int],
        on_listening: Callable[[str, int], None],
        on_log_line: Callable[[str, str], None],
    ) -> None:
        self.name, self.number, self.on_listening, self.on_log_line, self.cpus = (
            name,
            number,
            on_listening,
            on_log_line,
            cpus,
        )
        self.folder = folder / name
        self.folder.mkdir()
        self.control = control
        self.pool_port = pool_port
        self.port = self.admin_port = self.incarnation_count = 0
        self.child = ChildProcess(name, self._handle_log_line)

    @property
    def without_control(self) -> bool:
        return self.control is None

    async def start(self) -> None:
        self.port = self.admin_port = 0
        self.incarnation_count += 1
        config = self.folder / "config.json"
        config.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "listen": "127.0.0.1:0",
                    "admin": "127.0.0.1:0",
                    "seed": f"{self.number + 1:x}",
                    "stop_ms": 1000,
                    "pool": f"127.0.0.1:{self.pool_port}",
                    "limits": LIMITS,
                    "settings": site_settings(),
                }
            )
        )
        arguments = ["-m", "lemonway"]
        if self.control is not None:
            file = self.folder / "control.json"
            file.write_text(json.dumps(self.control))
            arguments += ["--control", str(file)]
        await self.child.start(arguments, self.cpus, {"EDGE_CONFIG": str(config), "TMPDIR": str(self.folder)})

    async def kill(self) -> None:
        self.on_listening(self.name, 0)
        await self.child.kill()

    def _handle_log_line(self, line: str) -> None:
        if found := LISTENS.search(line):
            self.port = int(found[2])
        elif found := ADMIN.search(line):
            self.admin_port = int(found[1])
        else:
            self.on_log_line(self.name, line)
            return
        if self.port and self.admin_port:
            self.on_listening(self.name, self.port)
