"""Hundreds of clients at once that stop half way through a request: the process stays within its memory limit and goes
on answering. The bound is ``limits.memory_mb`` of the file, past which the platform kills the process."""

from __future__ import annotations

import socket
import struct
import time
import unittest

from node_process import NodeProcess

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
        pool = socket.create_server(("127.0.0.1", 0))
        self.addCleanup(pool.close)
        self.node = NodeProcess(
            self,
            pool.getsockname()[1],
            MEMORY_MB,
            f'max_connections = {UWSGI_CLIENTS}\ndefault_tenant = "museu-grande"\n'
            '[[location]]\npath = "/busca"\nclass = "busca"\n',
            admin="127.0.0.1:0",
        )
        pool.settimeout(20)
        link = pool.accept()[0]
        self.addCleanup(link.close)
        link.sendall(b"bound old 60000\r\n")
        self.admin_port, self.port = self.node.listening_port("admin"), self.node.listening_port("n1")

    def connect(self, port: int, data: bytes) -> None:
        client = socket.create_connection(("127.0.0.1", port), timeout=10)
        self.addCleanup(client.close)
        client.sendall(data)

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
            (UWSGI_CLIENTS, self.node.uwsgi_port, uwsgi_request_without_its_body()),
            (RESP_CLIENTS, self.port, resp_request_without_its_end()),
            (ADMIN_CLIENTS, self.admin_port, b"GET /ready HTTP/1.1\r\n" + b"a: b\r\n" * 400),
        ):
            for _ in range(count):
                self.connect(port, data)
        waits = [
            self.seconds_to_answer(self.port, HEALTH_CHECK, b"READY"),
            self.seconds_to_answer(self.admin_port, b"GET /ready HTTP/1.1\r\n\r\n", b"200"),
        ]
        self.assertLess(self.node.peak_memory_mb(), MEMORY_MB)
        self.assertLess(max(waits), ANSWER_WITHIN_S)


if __name__ == "__main__":
    unittest.main()
