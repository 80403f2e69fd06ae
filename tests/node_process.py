"""A node in a process of its own, with its files in a temporary folder."""

from __future__ import annotations

import json
import os
import re
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lemonway.kit.stage import LIMITS, site_settings


def free_port() -> int:
    """A port on loopback that nothing listens on at present."""
    with socket.create_server(("127.0.0.1", 0)) as free:
        return int(free.getsockname()[1])


class NodeProcess:
    """Started at once and killed at the end of the test. ``config``: further keys of its file; ``uwsgi``: lines of the
    uwsgi file besides ``listen``."""

    def __init__(self, test: unittest.TestCase, pool_port: int, memory_mb: int, uwsgi: str, **config: Any) -> None:
        folder = tempfile.TemporaryDirectory()
        test.addCleanup(folder.cleanup)
        self.uwsgi_port = free_port()
        config_path, uwsgi_path = Path(folder.name, "config.json"), Path(folder.name, "uwsgi.toml")
        uwsgi_path.write_text(f'listen = "127.0.0.1:{self.uwsgi_port}"\n{uwsgi}')
        config_path.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:0",
                    "pool": f"127.0.0.1:{pool_port}",
                    "stop_ms": 1000,
                    "limits": LIMITS | {"memory_mb": memory_mb},
                    "settings": site_settings(),
                    **config,
                }
            )
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lemonway", "--uwsgi", str(uwsgi_path)],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"EDGE_CONFIG": str(config_path), "EDGE_NAME": "", "EDGE_LISTEN": "", "EDGE_ADMIN": ""},
        )
        test.addCleanup(self.process.communicate)
        test.addCleanup(self.process.kill)

    def listening_port(self, what: str) -> int:
        """The port in the next line of the log, which must be that of ``what``."""
        assert self.process.stderr is not None
        line = self.process.stderr.readline()
        found = re.search(rf"{what} listens on 127\.0\.0\.1:(\d+)", line)
        assert found is not None, line
        return int(found[1])

    def peak_memory_mb(self) -> float:
        """The most memory that the process has held so far, as the system counts it (VmHWM)."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024
