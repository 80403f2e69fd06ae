"""Startup up to the first successful answer: the modules that ``run`` imports, what happens before the node listens, a
port that a predecessor still holds, a pool that becomes available late, many clients that connect at once. The duration
is measured by ``benchmarks/start.py`` and not asserted here."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from typing import Any

from lemonway.kit.clients import RouterClient
from lemonway.kit.stage import LIMITS, site_settings

PROJECT = {  # the modules of this project that ``run`` imports; optional features import theirs when they are used
    "lemonway",
    "lemonway.__main__",
    "lemonway.admission_policy",
    "lemonway.interface",
    "lemonway.limits",
    "lemonway.limits.idle",
    "lemonway.limits.ramp",
    "lemonway.net",
    "lemonway.net.ports",
    "lemonway.net.program",
    "lemonway.net.program.bounds",
    "lemonway.net.program.completeness",
    "lemonway.net.program.config",
    "lemonway.net.program.signal_mask",
    "lemonway.net.program.logs",
    "lemonway.net.program.node",
    "lemonway.net.program.node_settings",
    "lemonway.net.program.reload",
    "lemonway.net.program.router_factory",
    "lemonway.net.program.start",
    "lemonway.net.program.upgrade",
    "lemonway.net.protocol",
    "lemonway.net.protocol.announce",
    "lemonway.net.protocol.backend",
    "lemonway.net.protocol.pool",
    "lemonway.net.protocol.resp",
    "lemonway.net.routing",
    "lemonway.net.routing.call_phase",
    "lemonway.net.routing.core",
    "lemonway.net.routing.former_keys",
    "lemonway.net.routing.idempotency",
    "lemonway.net.routing.readiness",
    "lemonway.net.transport",
    "lemonway.net.transport.clock",
    "lemonway.net.transport.connection",
    "lemonway.net.transport.port",
    "lemonway.net.transport.ring",
    "lemonway.settings",
    "lemonway.state",
    "lemonway.state.expiring",
    "lemonway.state.in_flight",
    "lemonway.state.recent",
    "lemonway.state.queue_order",
}
LIBRARIES = {"twisted", "zope", "logfmter", "attr", "attrs", "constantly", "incremental", "typing_extensions"}
LOADED = """
import json, sys
sys.argv = ["lemonway"]
sys.modules["__main__"].__spec__ = None
import lemonway.net.program.signal_mask, lemonway.net.program.start
from lemonway.net.program import node
import lemonway.net.program.config as config
from twisted.internet import reactor
node.Node(config.load_config({"EDGE_CONFIG": sys.stdin.readline().strip()}), reactor)
print(json.dumps(sorted(sys.modules)))
"""


def config(**more: Any) -> dict[str, Any]:
    return {
        "name": "n1",
        "listen": "127.0.0.1:0",
        "settings": site_settings(),
        "pool": "127.0.0.1:1",
        "catalog": "127.0.0.1:1",
        "announce": "127.0.0.1:1",
        "stop_ms": 1000,
        "limits": LIMITS,
        **more,
    }


class Loading(unittest.TestCase):
    def test_run_loads_what_it_needs_and_nothing_else(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder, "config.json")
            path.write_text(json.dumps(config()))
            done = subprocess.run(
                [sys.executable, "-c", LOADED],
                input=f"{path}\n",
                capture_output=True,
                text=True,
                check=False,
                timeout=30,
            )
        self.assertEqual(done.returncode, 0, done.stderr)
        modules = set(json.loads(done.stdout.splitlines()[-1]))
        own_modules = {name for name in modules if name.partition(".")[0] == "lemonway"}
        self.assertEqual(own_modules | {"lemonway.__main__"}, PROJECT)
        outside = {name.partition(".")[0] for name in modules} - set(sys.stdlib_module_names) - {"lemonway", "__main__"}
        # An editable install adds a finder module, and environments add modules that the interpreter imports.
        environment_modules = ("__editable__", "_distutils_hack", "sitecustomize")
        outside = {name for name in outside if not name.startswith(environment_modules)}
        self.assertLessEqual(outside, LIBRARIES)
        self.assertFalse({name for name in modules if name.startswith(("twisted.web", "tomllib", "numpy", "msgspec"))})


class Real(unittest.TestCase):
    def started(self, folder: str, **more: Any) -> subprocess.Popen[str]:
        path = Path(folder, "config.json")
        path.write_text(json.dumps(config(**more)))
        process = subprocess.Popen(
            [sys.executable, "-m", "lemonway"],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"EDGE_CONFIG": str(path), "EDGE_NAME": "", "EDGE_LISTEN": ""},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def port_of(self, process: subprocess.Popen[str]) -> int:
        assert process.stderr is not None
        return int(process.stderr.readline().rpartition("127.0.0.1:")[2].partition(",")[0])

    def test_a_port_that_the_predecessor_holds_is_taken_over(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as predecessor:
            port = predecessor.getsockname()[1]
            process = self.started(folder, listen=f"127.0.0.1:{port}")
            # Release the port only after the process has read its configuration and tries to listen.
            self.past_its_configuration(process)
            predecessor.close()
            self.assertEqual(self.port_of(process), port)
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=10)
            self.assertEqual(process.returncode, 0)

    def past_its_configuration(self, process: subprocess.Popen[str]) -> None:
        """Wait until the process has the reactor's epoll descriptor, which it opens after reading its configuration."""
        links: list[str] = []
        while process.poll() is None and not any("eventpoll" in link for link in links):
            links = []
            for fd in os.listdir(f"/proc/{process.pid}/fd"):
                try:
                    links.append(os.readlink(f"/proc/{process.pid}/fd/{fd}"))
                except OSError:  # closed meanwhile
                    continue

    def test_it_listens_before_it_dials(self) -> None:
        """Clients can connect before the node dials its pool, so before it reports or waits for anything."""
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as pool:
            with socket.create_server(("127.0.0.1", 0)) as free:
                port = free.getsockname()[1]
            self.started(folder, listen=f"127.0.0.1:{port}", pool=f"127.0.0.1:{pool.getsockname()[1]}")
            pool.settimeout(20)
            link, _ = pool.accept()
            self.addCleanup(link.close)
            socket.create_connection(("127.0.0.1", port), timeout=0.5).close()

    def test_a_port_that_is_never_let_go_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as predecessor:
            at = f"127.0.0.1:{predecessor.getsockname()[1]}"
            process = self.started(folder, listen=at)
            _, error_output = process.communicate(timeout=30)
            self.assertEqual((process.returncode, error_output.count("\n")), (2, 1), error_output)
            self.assertIn(f"lemonway: listen: {at}", error_output)

    def test_a_flood_at_the_first_moment_and_a_pool_that_comes_late(self) -> None:
        """With 200 clients that send no full request, a check gets UNREADY before the pool is up and READY after."""
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as pool:
            process = self.started(folder, pool=f"127.0.0.1:{pool.getsockname()[1]}")
            port = self.port_of(process)
            clients = [socket.create_connection(("127.0.0.1", port)) for _ in range(200)]
            for n, client in enumerate(clients):
                self.addCleanup(client.close)
                client.sendall(b"*5\r\n$4\r\nCA" if n % 2 else b"")
            check = socket.create_connection(("127.0.0.1", port), timeout=10)
            self.addCleanup(check.close)
            check.sendall(RouterClient.frame(b"CHECK", b"1", b"probe=0"))
            self.assertIn(b"UNREADY", check.recv(4096))
            pool.settimeout(10)
            link, _ = pool.accept()
            self.addCleanup(link.close)
            self.assertEqual(link.recv(64), b"bind 0\r\n")
            link.sendall(b"bound old 1000\r\n")
            tag, word = 2, b"UNREADY"
            while word == b"UNREADY":  # check again until the node has read the pool's reply
                check.sendall(RouterClient.frame(b"CHECK", b"%d" % tag, b"probe=0"))
                word, tag = check.recv(4096).split(b"\r\n")[4], tag + 1
            self.assertEqual(word, b"READY")
            process.send_signal(signal.SIGTERM)
            process.communicate(timeout=10)
            self.assertEqual(process.returncode, 0)


if __name__ == "__main__":
    unittest.main()
