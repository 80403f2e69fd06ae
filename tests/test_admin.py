"""The admin address, and an upgrade of the process that serves an inherited socket, on real sockets."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any

from lemonway.kit.stage import LIMITS, Stage, site_settings
from lemonway.net.program.upgrade import ProcessMarker
from lemonway.net.protocol import admin


class AdminTestCase(unittest.TestCase):
    def setUp(self) -> None:
        self.stage = Stage(admin=True)
        self.addCleanup(self.stage.close)

    def send_raw(self, raw: bytes, *, hold: bool = False) -> bytes:
        """Sends ``raw`` and reads until the node closes the connection, while the event loop runs."""
        connection = socket.create_connection(("127.0.0.1", self.stage.admin_port))
        self.addCleanup(connection.close)
        connection.sendall(raw)
        connection.setblocking(False)
        received: list[bytes] = []
        ended = False

        def done() -> bool:
            nonlocal ended
            try:
                chunk = connection.recv(65536)
            except BlockingIOError:
                return False
            except ConnectionResetError:
                chunk = b""
            received.append(chunk)
            ended = chunk == b""
            return ended

        self.stage.spin(done)
        return b"".join(received)

    def request(self, method: str, path: str) -> tuple[int, bytes]:
        reply = self.send_raw(f"{method} {path} HTTP/1.1\r\nHost: n1\r\nContent-Length: 0\r\n\r\n".encode())
        head, _, body = reply.partition(b"\r\n\r\n")
        return int(head.split()[1]), body

    def router_check(self) -> str:
        """Has a new router connection check the node's health; returns the answer's status word."""
        self.checks = getattr(self, "checks", 0) + 1
        router = self.stage.router(f"checks{self.checks}")
        tag = router.check(deep=False)
        self.stage.spin(lambda: tag in router.answers)
        return router.answers[tag][0]


class Drain(AdminTestCase):
    def test_a_drained_node_reports_unready_still_serves_and_is_ready_again_after_undrain(self) -> None:
        self.assertEqual((self.request("GET", "/ready")[0], self.router_check()), (200, "READY"))
        self.assertEqual(self.request("POST", "/drain"), (200, b"done\n"))
        reports = len(self.stage.sink.reports)
        self.assertEqual((self.request("GET", "/ready")[0], self.router_check()), (503, "UNREADY"))
        self.stage.spin(lambda: len(self.stage.sink.reports) > reports)
        self.assertEqual(self.stage.sink.reports[-1], b"announce n1 false")
        router = self.stage.router()
        tag = router.call("busca", b"still")
        self.stage.settle()
        self.assertEqual(router.answers[tag][0], "RESULT", "a drained node still serves the requests it gets")
        self.assertEqual(self.request("POST", "/undrain")[0], 200)
        self.assertEqual((self.request("GET", "/ready")[0], self.router_check()), (200, "READY"))
        self.assertEqual(self.stage.sink.reports[-1], b"announce n1 true")


class Metrics(AdminTestCase):
    def test_requests_are_counted_by_class(self) -> None:
        router = self.stage.router()
        for _ in range(3):
            router.call("busca", b"x")
        router.call("visualizador", b"y")
        self.stage.settle()
        code, text = self.request("GET", "/metrics")
        metrics = dict(re.findall(r"^(edge_edge_\S+) (\d+)$", text.decode(), re.M))
        self.assertEqual(code, 200)
        self.assertEqual(metrics['edge_edge_served{class="busca"}'], "3")
        self.assertEqual(metrics['edge_edge_served{class="visualizador"}'], "1")
        self.assertEqual(metrics['edge_edge_attempts{class="busca"}'], "3")
        self.assertEqual(metrics['edge_edge_refused{class="busca"}'], "0")
        self.assertEqual((metrics["edge_edge_in_flight"], metrics["edge_edge_reloads_failed"]), ("0", "0"))

    def test_a_label_value_is_escaped(self) -> None:
        self.assertIn(b'{class="a\\"b"} 1', admin.exposition({"served": {'a"b': 1}}, {}))


class InvalidRequests(AdminTestCase):
    def test_each_gets_an_error_status_and_affects_only_its_connection(self) -> None:
        self.assertEqual(self.request("GET", "/nothing")[0], 404)
        self.assertEqual(self.request("POST", "/ready")[0], 405)
        self.assertEqual(self.request("GET", "/drain")[0], 405)
        self.assertRegex(self.send_raw(b"\x00\x01 garbage\r\n\r\n"), rb"^HTTP/1.1 400")
        big = b"POST /drain HTTP/1.1\r\nContent-Length: 999999\r\n\r\n" + b"x" * 9000
        self.assertRegex(self.send_raw(big), rb"^HTTP/1.1 413")
        self.assertRegex(self.send_raw(b"GET /ready HTTP/1.1\r\nHost:"), rb"^HTTP/1.1 408")
        self.assertFalse(self.stage.node.core.readiness.operator_drained, "no invalid request drained the node")
        counters = self.stage.node.core.counters
        self.assertEqual((counters["admin_too_large"], counters["admin_timeouts"]), (1, 1))

    def test_connections_without_a_complete_request_do_not_block_others(self) -> None:
        incomplete = [
            socket.create_connection(("127.0.0.1", self.stage.admin_port)) for _ in range(admin.MAX_CONNECTIONS + 8)
        ]
        for client in incomplete:
            self.addCleanup(client.close)
            client.sendall(b"GET /rea")
        self.stage.spin(lambda: self.stage.node.core.counters["admin_over"] >= 8)
        self.assertEqual(self.request("GET", "/ready")[0], 200)


class Handover(unittest.TestCase):
    def test_presence_finds_a_live_successor_and_removes_the_files_of_dead_processes(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            old, new = ProcessMarker("n1", folder, os.getpid()), ProcessMarker("n1", folder, os.getppid())
            other = ProcessMarker("n2", folder, 1)
            old.register()
            other.register()
            self.assertFalse(old.has_successor(), "a process of another node is no successor")
            new.register()
            self.assertTrue(old.has_successor())
            dead = Path(folder, "lemonway-node-n1.999999999")
            dead.write_text("999999999\n")
            new.unregister()
            self.assertFalse(old.has_successor())
            self.assertFalse(dead.exists())

    def test_a_process_that_was_told_to_leave_is_no_successor(self) -> None:
        """A process that only finished its requests was taken for one that serves."""
        with tempfile.TemporaryDirectory() as folder:
            first, second, third = (ProcessMarker("n1", folder, pid) for pid in (os.getpid(), os.getppid(), 1))
            for marker in (first, second):
                marker.register()
            first.unregister()  # at its SIGTERM
            self.assertTrue(first.has_successor())
            self.assertFalse(second.has_successor())
            third.register()  # the next upgrade, while the first process still finishes its requests
            second.unregister()
            self.assertEqual((second.successor_pid(), third.successor_pid()), (1, None))
            third.unregister()
            self.assertEqual(os.listdir(folder), [])

    def test_of_two_processes_told_to_leave_at_once_at_most_one_hands_over(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            markers = [ProcessMarker("n1", folder, pid) for pid in (os.getpid(), os.getppid())]
            for marker in markers:
                marker.register()
            for marker in markers:
                marker.unregister()
            self.assertEqual([marker.has_successor() for marker in markers], [False, False])

    def test_a_killed_process_is_no_successor_whatever_became_of_its_pid(self) -> None:
        """A pid is in use as long as the process is not reaped, and may be another process's later."""
        with tempfile.TemporaryDirectory() as folder:
            remaining = ProcessMarker("n1", folder, 1)
            remaining.register()
            killed = subprocess.Popen(
                [sys.executable, "-c", REGISTERED_PROCESS, folder], stdout=subprocess.PIPE, text=True
            )
            self.addCleanup(killed.wait)
            assert killed.stdout is not None
            self.assertEqual(killed.stdout.readline(), "registered\n")
            self.assertEqual(remaining.successor_pid(), killed.pid)
            killed.kill()
            os.waitid(os.P_PID, killed.pid, os.WEXITED | os.WNOWAIT)  # it has ended and is not reaped
            self.assertFalse(remaining.has_successor())
            self.assertEqual(os.listdir(folder), ["lemonway-node-n1.1"], "its marker is removed")
            killed.stdout.close()
            reused = Path(folder, f"lemonway-node-n1.{os.getpid()}")
            reused.write_text(f"{os.getpid()}\nlocked\n")
            self.assertFalse(remaining.has_successor())

    def test_a_process_of_an_earlier_version_is_a_successor_if_it_started_later(self) -> None:
        """Its marker has no lock, and stays while it finishes its requests."""
        with tempfile.TemporaryDirectory() as folder:
            earlier = Path(folder, f"lemonway-node-n1.{os.getpid()}")
            earlier.write_text(f"{os.getpid()}\n")
            os.utime(earlier, (1, 1))
            new = ProcessMarker("n1", folder, 1)
            new.register()
            self.assertFalse(new.has_successor(), "it was upgraded from that one")
            os.utime(earlier, ns=(new.registered_at_ns + 1, new.registered_at_ns + 1))
            self.assertTrue(new.has_successor(), "the operators went back to the earlier version")


class Upgrade(unittest.TestCase):
    """Two processes of one node serve the listening socket that the platform hands to both during an upgrade."""

    def start(self, folder: str, fd: int, pool: socket.socket, name: str, **config: Any) -> subprocess.Popen[str]:
        """``config``: further keys of the file."""
        path = Path(folder, f"{name}.json")
        path.write_text(
            json.dumps(
                {
                    "name": "n1",
                    "listen": "127.0.0.1:1",
                    "pool": f"127.0.0.1:{pool.getsockname()[1]}",
                    "stop_ms": 1500,
                    "limits": LIMITS,
                    "settings": site_settings(),
                    **config,
                }
            )
        )
        process = subprocess.Popen(
            [sys.executable, "-m", "lemonway"],
            stderr=subprocess.PIPE,
            text=True,
            pass_fds=(fd,),
            env=os.environ
            | {
                "EDGE_CONFIG": str(path),
                "EDGE_NAME": "",
                "EDGE_LISTEN": "",
                "EDGE_INHERITED_FD": str(fd),
                "TMPDIR": folder,
            },
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        pool.settimeout(10)
        pool_link = pool.accept()[0]
        self.addCleanup(pool_link.close)
        self.assertEqual(pool_link.recv(64), b"bind 0\r\n")
        pool_link.sendall(b"bound old 1\r\n")
        assert process.stderr is not None
        self.assertIn("listens on", process.stderr.readline())
        return process

    def test_the_new_process_serves_the_inherited_socket_and_the_old_one_hands_over(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_server(("127.0.0.1", 0)) as pool,
        ):
            fd = listener.fileno()
            old = self.start(folder, fd, pool, "old")
            self.assertEqual(check_health(listener), b"READY")
            new = self.start(folder, fd, pool, "new")
            old.send_signal(signal.SIGTERM)
            _, log_text = old.communicate(timeout=10)
            self.assertEqual(old.returncode, 0, log_text)
            self.assertIn("handovers=1", log_text)
            listening_port = listener.getsockname()[1]
            for _ in range(5):  # every connection is accepted by the remaining process
                self.assertEqual(check_health(listener, listening_port), b"READY")
            new.send_signal(signal.SIGTERM)
            _, log_text = new.communicate(timeout=10)
            self.assertEqual(new.returncode, 0, log_text)
            self.assertNotIn("handovers=1", log_text, "the last process has no successor")

    def test_a_notice_to_leave_while_the_old_process_finishes_its_requests_is_no_handover(self) -> None:
        """The new process took its predecessor for a successor: new connections got no answer, and the announce list
        went on showing the node."""
        settings = site_settings()
        settings["rules"]["stopSendingWithin"] = 2500.0
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server(("127.0.0.1", 0)) as listener,
            socket.create_server(("127.0.0.1", 0)) as pool,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as announce,
        ):
            announce.bind(("127.0.0.1", 0))
            announce.settimeout(10)
            fd, address = listener.fileno(), listener.getsockname()
            more = {"announce": f"127.0.0.1:{announce.getsockname()[1]}", "stop_ms": 4000, "settings": settings}
            old = self.start(folder, fd, pool, "old", **more)
            with socket.create_connection(address, timeout=10) as router:
                router.sendall(request())  # the pool never ends it: the old process stays until its deadline
                router.sendall(HEALTH_CHECK)
                self.assertIn(b"READY", router.recv(4096))
                new = self.start(folder, fd, pool, "new", **more)
                old.send_signal(signal.SIGTERM)
                assert old.stderr is not None and new.stderr is not None
                self.assertIn(f"process {new.pid} of this node serves on", old.stderr.readline())
                self.assertEqual(check_health(listener), b"READY")
                new.send_signal(signal.SIGTERM)
                self.assertIn("no other process of this node serves on", new.stderr.readline())
                self.assertIsNone(old.poll(), "it still finishes its request")
                self.assertEqual([check_health(listener) for _ in range(3)], [b"UNREADY"] * 3)
                while announce.recv(64) != b"announce n1 false":
                    pass
                router.sendall(HEALTH_CHECK)
                while b"UNREADY" not in router.recv(4096):  # the old process says so too, though it had handed over
                    router.sendall(HEALTH_CHECK)
            logs = [process.communicate(timeout=15)[1] for process in (old, new)]
            self.assertEqual(["handovers=1" in log for log in logs], [True, False], logs)


HEALTH_CHECK = b"*2\r\n$5\r\nCHECK\r\n$1\r\n1\r\n"
# A process that holds a marker in the folder given until it is killed.
REGISTERED_PROCESS = """
import os, sys, time
from lemonway.net.program.upgrade import ProcessMarker
marker = ProcessMarker("n1", sys.argv[1], os.getpid())
marker.register()
print("registered", flush=True)
time.sleep(60)
"""


def request() -> bytes:
    """A request of a class that is safe to repeat."""
    fields = b"txn=9b1f03aa5c7e2d41,door=%d,lb=1,ram=24.5,standing=0.5" % (time.time() * 1000)
    words = (b"CALL", b"7", b"busca", fields, b"long")
    return b"*5\r\n" + b"".join(b"$%d\r\n%s\r\n" % (len(word), word) for word in words)


def check_health(listener: socket.socket, port: int = 0) -> bytes:
    """Sends a health check on a new connection; returns the answer's status word."""
    with socket.create_connection(("127.0.0.1", port or listener.getsockname()[1]), timeout=10) as connection:
        connection.sendall(HEALTH_CHECK)
        received = b""
        while received.count(b"\r\n") < 5:
            chunk = connection.recv(4096)
            if not chunk:
                break
            received += chunk
    words: list[Any] = received.split(b"\r\n")
    return words[4] if len(words) > 4 else received


if __name__ == "__main__":
    unittest.main()
