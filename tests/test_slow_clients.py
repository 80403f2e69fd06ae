"""Hundreds of clients at once that stop half way through a request: the process stays within its memory limit and goes
on answering. The bound is ``limits.memory_mb`` of the file, past which the platform kills the process."""

from __future__ import annotations

import json
import os
import re
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from lemonway.kit.stage import LIMITS, site_settings

MEMORY_MB = 64
UWSGI_CLIENTS, RESP_CLIENTS, ADMIN_CLIENTS = 384, 300, 24
HEAD_BYTES = 16 * 1024  # the most that a uwsgi head may have
HEALTH_CHECK = b"*2\r\n$5\r\nCHECK\r\n$1\r\n1\r\n"
ANSWER_WITHIN_S = 1.0


def variable(name: bytes, value: bytes) -> bytes:
    return struct.pack("<H", len(name)) + name + struct.pack("<H", len(value)) + value


def uwsgi_request_without_its_body() -> bytes:
    """A whole head of as many short variables as fit, and some of the body that it announces."""
    head = (
        variable(b"REQUEST_METHOD", b"POST") + variable(b"PATH_INFO", b"/busca") + variable(b"CONTENT_LENGTH", b"2048")
    )
    for number in range((HEAD_BYTES - len(head)) // 6):
        head += variable(struct.pack(">H", 0x2100 + number), b"")
    return struct.pack("<BHB", 0, len(head), 0) + head + b"x" * 100


def resp_request_without_its_end() -> bytes:
    """An array of eight strings, each as long as it may be, of which the last is cut short."""
    items = [b"CALL", b"7", b"busca", b"x" * 1024, b"y" * 2048, b"z" * 1024, b"z" * 1024, b"z" * 1024]
    return (b"*8\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(item), item) for item in items))[:-500]


class SlowClients(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.pool = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(self.pool.close)
        config = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "admin": "127.0.0.1:0",
            "pool": f"127.0.0.1:{self.pool.getsockname()[1]}",
            "stop_ms": 1000,
            "limits": LIMITS | {"memory_mb": MEMORY_MB},
            "settings": site_settings(),
        }
        with socket.create_server(("127.0.0.1", 0)) as free:
            self.uwsgi_port = free.getsockname()[1]
        Path(folder.name, "config.json").write_text(json.dumps(config))
        Path(folder.name, "uwsgi.toml").write_text(
            f'listen = "127.0.0.1:{self.uwsgi_port}"\nmax_connections = {UWSGI_CLIENTS}\n'
            'default_tenant = "museu-grande"\n[[location]]\npath = "/busca"\nclass = "busca"\n'
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lemonway", "--uwsgi", str(Path(folder.name, "uwsgi.toml"))],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ
            | {
                "EDGE_CONFIG": str(Path(folder.name, "config.json")),
                "EDGE_NAME": "",
                "EDGE_LISTEN": "",
                "EDGE_ADMIN": "",
            },
        )
        self.addCleanup(self.process.communicate)
        self.addCleanup(self.process.kill)
        self.pool.settimeout(20)
        link = self.pool.accept()[0]
        self.addCleanup(link.close)
        link.sendall(b"bound old 60000\r\n")
        self.admin_port, self.port = self.listening_port("admin"), self.listening_port("n1")

    def listening_port(self, what: str) -> int:
        assert self.process.stderr is not None
        line = self.process.stderr.readline()
        found = re.search(rf"{what} listens on 127\.0\.0\.1:(\d+)", line)
        assert found is not None, line
        return int(found[1])

    def connect(self, port: int, data: bytes) -> None:
        client = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.addCleanup(client.close)
        client.sendall(data)

    def peak_memory_mb(self) -> float:
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.split("VmHWM:")[1].split()[0]) / 1024

    def seconds_to_answer(self, port: int, question: bytes, answer: bytes) -> float:
        begun = time.monotonic()
        with socket.create_connection(("127.0.0.1", port), timeout=10) as client:
            client.sendall(question)
            received = b""
            while answer not in received:
                chunk = client.recv(4096)
                self.assertTrue(chunk, received)
                received += chunk
        return time.monotonic() - begun

    def test_requests_that_stop_half_way_keep_within_the_memory_limit(self) -> None:
        """Each uwsgi connection kept all variables of its head, at twelve times their size on the wire."""
        for count, port, data in (
            (UWSGI_CLIENTS, self.uwsgi_port, uwsgi_request_without_its_body()),
            (RESP_CLIENTS, self.port, resp_request_without_its_end()),
            (ADMIN_CLIENTS, self.admin_port, b"GET /ready HTTP/1.1\r\n" + b"a: b\r\n" * 400),
        ):
            for _ in range(count):
                self.connect(port, data)
        waits = [
            self.seconds_to_answer(self.port, HEALTH_CHECK, b"READY"),
            self.seconds_to_answer(self.admin_port, b"GET /ready HTTP/1.1\r\n\r\n", b"200"),
        ]
        self.assertLess(self.peak_memory_mb(), MEMORY_MB)
        self.assertLess(max(waits), ANSWER_WITHIN_S)


if __name__ == "__main__":
    unittest.main()
