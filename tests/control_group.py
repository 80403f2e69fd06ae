"""Runs a control group and its nodes as real processes on loopback for tests: files, ports, signals and requests."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable
from pathlib import Path
from typing import Any

from twisted.internet import selectreactor

from lemonway.kit.clients import RouterClient
from lemonway.kit.pool import StandInPool
from lemonway.kit.stage import LIMITS, site_settings

ROOT = Path(__file__).parents[1]
WAIT_TIMEOUT_S = 40.0  # a condition that is not met within this fails its test
SHORT_TIMES = {
    "heartbeat_ms": 100,
    "silent_ms": 500,
    "connect_ms": 500,
    "backoff_ms": 20,
    "backoff_most_ms": 100,
    "spread_ms": 50,
}
MACHINE_SETTINGS = {
    "lease_ms": 1500,
    "voter_heartbeat_ms": 50,
    "log_versions_most": 3,  # a subscriber further behind gets a snapshot
}


def free_ports(count: int) -> list[int]:
    """Ports on which no process listens at the moment."""
    sockets = [socket.socket() for _ in range(count)]
    for listener in sockets:
        listener.bind(("127.0.0.1", 0))
    ports = [int(listener.getsockname()[1]) for listener in sockets]
    for listener in sockets:
        listener.close()
    return ports


def fetch_json(port: int, path: str, body: bytes | None = None) -> Any:
    """The JSON response of an admin address; ``None`` if it does not respond."""
    request = urllib.request.Request(f"http://127.0.0.1:{port}{path}", data=body)
    try:
        with urllib.request.urlopen(request, timeout=5) as reply:
            return json.load(reply)
    except urllib.error.HTTPError as error:
        return json.load(error)
    except OSError:
        return None


class Process:
    """A child process with its log file."""

    def __init__(self, folder: Path, name: str, argv: list[str], environ: dict[str, str] | None = None) -> None:
        self.folder, self.name, self.argv = folder, name, argv
        self.environ = os.environ | {"PYTHONPATH": str(ROOT)} | (environ or {})
        self.running: subprocess.Popen[bytes] | None = None
        self.admin = 0

    def start(self) -> None:
        with open(self.folder / f"{self.name}.log", "ab") as log:
            self.running = subprocess.Popen(
                [sys.executable, "-m", *self.argv], cwd=self.folder, stderr=log, stdout=log, env=self.environ
            )

    def log(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")

    def terminate(self, number: int = signal.SIGKILL) -> int:
        """Send the signal and wait until the process exits. Returns the exit status."""
        assert self.running is not None
        self.running.send_signal(number)
        code = self.running.wait(WAIT_TIMEOUT_S)
        self.running = None
        return code

    def signal(self, number: int) -> None:
        assert self.running is not None
        self.running.send_signal(number)

    def status(self) -> Any:
        return fetch_json(self.admin, "/control")


class Group:
    """Voters v1.., relays r1.. and nodes n1.., all started by the constructor."""

    def __init__(self, voters: int, relays: int, nodes: int, node_file: dict[str, Any]) -> None:
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.reactor: Any = selectreactor.SelectReactor()
        self.pools: list[Any] = []
        self.routers: list[RouterClient] = []
        self.processes: dict[str, Process] = {}
        self.ports: dict[str, int] = {}  # on which each node accepts routers
        self.watch_ports: dict[str, int] = {}  # on which each machine accepts subscribers
        ports = iter(free_ports(3 * voters + 2 * relays + 2 * nodes))
        self.voters = {
            f"v{n}": {key: f"127.0.0.1:{next(ports)}" for key in ("vote", "watch", "admin")}
            for n in range(1, voters + 1)
        }
        for name, addresses in self.voters.items():
            self.watch_ports[name], admin = (int(addresses[key].rpartition(":")[2]) for key in ("watch", "admin"))
            self._machine(name, admin, {"role": "voter", "disk": str(self.folder / name), "first_start": True})
        for n in range(1, relays + 1):
            self.watch_ports[f"r{n}"], admin = next(ports), next(ports)
            self._machine(
                f"r{n}",
                admin,
                {"role": "relay", "listen": f"127.0.0.1:{self.watch_ports[f'r{n}']}", "admin": f"127.0.0.1:{admin}"},
            )
        self.node_file = {
            "relays": {f"r{n}": f"127.0.0.1:{self.watch_ports[f'r{n}']}" for n in range(1, relays + 1)},
            **SHORT_TIMES,
            **node_file,
        }
        for n in range(1, nodes + 1):
            self._node(f"n{n}", next(ports), next(ports))
        for process in self.processes.values():
            process.start()

    def write(self, name: str, content: Any) -> Path:
        path = self.folder / name
        path.write_text(json.dumps(content))
        return path

    def _machine(self, name: str, admin: int, file: dict[str, Any]) -> None:
        path = self.write(
            f"{name}.json", {"name": name, "voters": self.voters, **SHORT_TIMES, **MACHINE_SETTINGS, **file}
        )
        self._add(name, admin, ["lemonway.kit.cli", "control", "run", "--file", str(path)], {})

    def _node(self, name: str, port: int, admin: int) -> None:
        pool = self.reactor.listenTCP(0, StandInPool(self.reactor, cores=6), interface="127.0.0.1")
        self.pools.append(pool)
        config = self.write(
            f"{name}.config.json",
            {
                "name": name,
                "listen": f"127.0.0.1:{port}",
                "admin": f"127.0.0.1:{admin}",
                "stop_ms": 1000,
                "limits": LIMITS,
                "pool": f"127.0.0.1:{pool.getHost().port}",
                "settings": site_settings(),
            },
        )
        control = self.write(f"{name}.json", self.node_file | {"state": str(self.folder / f"{name}.state")})
        self.ports[name] = port
        self._add(name, admin, ["lemonway", "--control", str(control)], {"EDGE_CONFIG": str(config)})

    def _add(self, name: str, admin: int, argv: list[str], environ: dict[str, str]) -> None:
        process = self.processes[name] = Process(self.folder, name, argv, environ)
        process.admin = admin

    def __getitem__(self, name: str) -> Process:
        return self.processes[name]

    def restart(self, name: str) -> None:
        """Start a control machine that has run before, with ``first_start`` off."""
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(json.loads(path.read_text()) | {"first_start": False}))
        self[name].start()

    def spin(self, until: Callable[[], Any], condition: str) -> Any:
        """Run the reactor of the stand-in pools and routers until ``until`` returns a true value, and return it."""
        deadline = time.monotonic() + WAIT_TIMEOUT_S
        while time.monotonic() < deadline:
            for _ in range(5):
                self.reactor.iterate(0.005)
            if result := until():
                return result
        logs = "\n".join(f"== {name}\n{child.log()[-1500:]}" for name, child in self.processes.items())
        raise AssertionError(f"not within {WAIT_TIMEOUT_S:g} s: {condition}\n{logs}")

    def nodes(self) -> list[Process]:
        return [child for name, child in self.processes.items() if name.startswith("n") and child.running is not None]

    def wait_for_nodes(self, matches: Callable[[Any], bool], condition: str) -> None:
        """Wait until the status of every running node matches."""
        self.spin(
            lambda: all((status := node.status()) is not None and matches(status) for node in self.nodes()), condition
        )

    def ready(self, name: str) -> bool:
        """Whether ``GET /ready`` succeeds."""
        request = f"http://127.0.0.1:{self[name].admin}/ready"
        try:
            with urllib.request.urlopen(request, timeout=5):
                return True
        except OSError:  # HTTPError is a subclass
            return False

    def run_cli(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """Run ``lemonway control`` with these arguments."""
        return subprocess.run(
            [sys.executable, "-m", "lemonway.kit.cli", "control", *arguments],
            cwd=self.folder,
            text=True,
            capture_output=True,
            timeout=WAIT_TIMEOUT_S,
            env=os.environ | {"PYTHONPATH": str(ROOT)},
        )

    def propose(self, voter: str, change: dict[str, Any], *options: str) -> subprocess.CompletedProcess[str]:
        path = self.write("change.json", change)
        return self.run_cli("propose", str(path), "--machine", f"127.0.0.1:{self[voter].admin}", "--json", *options)

    def request_outcome(self, node: str, tenant: str) -> str:
        """The first word of a node's answer to one request of a tenant."""
        router = RouterClient(self.reactor, self.ports[node])
        self.spin(lambda: router.side is not None, "a connection")
        tag = router.call("busca", b"r", team=tenant)
        self.spin(lambda: tag in router.answers, "an answer")
        assert router.side is not None
        router.side.transport.loseConnection()
        return router.answers[tag][0]

    def close(self) -> None:
        for process in self.processes.values():
            if process.running is not None:
                process.terminate()
        for pool in self.pools:
            pool.stopListening()
        for _ in range(10):
            self.reactor.iterate(0)
        for call in self.reactor.getDelayedCalls():
            call.cancel()
        self._temporary.cleanup()
