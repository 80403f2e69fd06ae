"""Several real node processes on loopback, each with a stand-in pool, and one stand-in of the next tier for all: what
the measurements of starts (``python -m benchmarks.processes start``) and of the cold ramp (``... ramp``) run on."""

from __future__ import annotations

import json
import os
import random
import socket
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import click

from lemonway.kit.acervo import AcervoSide, StandInAcervo
from lemonway.kit.clients import RouterClient
from lemonway.kit.emulator.cold_tier import ColdServer
from lemonway.kit.pool import Plan, StandInPool
from lemonway.kit.stage import site_settings
from lemonway.kit.tally import Tally


class ColdAcervo(StandInAcervo):
    """One server of the next tier behind every node's proxy: it counts calls by window and falls for real."""

    def __init__(self, reactor: Any, server: ColdServer) -> None:
        super().__init__(reactor)
        self.server, self.arrivals = server, list[int]()

    def called(self, side: AcervoSide, txn: str, body: bytes) -> None:
        now = time.monotonic_ns() // 1000
        self.arrivals.append(now)
        if not self.server.accept(now):
            self.script.append("declined")
        super().called(side, txn, body)


class Node:
    def __init__(self, pack: Pack, number: int, calls: int) -> None:
        self.pack, self.number = pack, number
        self.pool = StandInPool(pack.reactor, 6)
        for name in ("miniatura", "visualizador", "busca", "cadastro"):
            self.pool.plans[name] = Plan(calls)
        self.pool_port = pack.reactor.listenTCP(0, self.pool, interface="127.0.0.1")
        self.config = Path(pack.folder, f"n{number}.json")
        self.listen = f"127.0.0.1:{pack.free_port()}"
        self.process: subprocess.Popen[bytes] | None = None
        self.client: RouterClient | None = None

    def start(self, seed: int, arguments: list[str]) -> None:
        self.config.write_text(
            json.dumps(
                {
                    "name": f"n{self.number}",
                    "listen": self.listen,
                    "seed": f"{seed:x}",
                    "stop_ms": 2000,
                    "pool": f"127.0.0.1:{self.pool_port.getHost().port}",
                    "announce": "127.0.0.1:9",
                    "catalog": f"127.0.0.1:{self.pack.tier_port.getHost().port}",
                    "limits": {"cores": 1.0, "memory_mb": 192, "sockets": self.pack.sockets},
                    "settings": self.pack.settings,
                }
            )
        )
        self.process = subprocess.Popen(
            [sys.executable, "-m", "lemonway", *arguments],
            cwd=self.pack.code,
            stderr=subprocess.DEVNULL,
            env=os.environ | {"EDGE_CONFIG": str(self.config), "EDGE_NAME": "", "EDGE_LISTEN": ""},
        )

    def kill(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process = None
        self.pool.cut()
        self.pool.__init__(self.pack.reactor, 6)  # type: ignore[misc]  # as after the machine's own start
        for name in ("miniatura", "visualizador", "busca", "cadastro"):
            self.pool.plans[name] = Plan(self.pack.calls)

    def memory_mb(self) -> float:
        assert self.process is not None
        for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
            if line.startswith("VmRSS"):
                return int(line.split()[1]) / 1024
        return 0.0


class Pack:
    """``code``: the checkout whose program runs, by default this one. ``sockets``: descriptors that a node may hold."""

    def __init__(
        self, count: int, server: ColdServer | None = None, calls: int = 0, code: str | None = None, sockets: int = 512
    ) -> None:
        from twisted.internet import reactor

        self.reactor: Any = reactor
        self.sockets = sockets
        self.code, self.calls = code or os.getcwd(), calls
        self.folder = tempfile.mkdtemp(prefix="lemonway-pack-")
        self.settings = site_settings()
        self.settings["fleetSize"] = count
        self.tier = ColdAcervo(reactor, server or ColdServer(1e9, 1e9))
        self.tier_port = self.reactor.listenTCP(0, self.tier, interface="127.0.0.1")
        self.tally = Tally()
        self.next_port = 20_000 + os.getpid() % 100 * 100
        self.nodes = [Node(self, number, calls) for number in range(count)]

    def free_port(self) -> int:
        """One below those that the system gives to dialling sockets: no connection can take it meanwhile."""
        for number in range(self.next_port, 32_000):
            with socket.socket() as side:
                side.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                try:
                    side.bind(("127.0.0.1", number))
                except OSError:
                    continue
            self.next_port = number + 1
            return number
        raise RuntimeError("no port is free")

    def spin(self, until: Callable[[], bool], patience: float = 60.0) -> None:
        end = time.monotonic() + patience
        while not until():
            if time.monotonic() > end:
                raise TimeoutError(f"not within {patience:g} s")
            self.reactor.iterate(0.002)

    def start(self, nodes: list[Node], seed: int, arguments: list[str]) -> dict[int, float]:
        """Start these and give the seconds from there to each one's first good health check."""
        since, ready = dict[int, float](), dict[int, float]()
        asking: dict[int, tuple[RouterClient, int]] = {}
        for node in nodes:
            since[node.number] = time.monotonic()
            node.start(seed + node.number, arguments)

        def look() -> bool:
            for node in nodes:
                if node.number in ready:
                    continue
                client, tag = asking.get(node.number, (None, 0))
                if client is None or client.closed or (client.side is None and client.gone):  # type: ignore[attr-defined]
                    client = RouterClient(self.reactor, int(node.listen.rpartition(":")[2]), Tally(), str(node.number))
                    client.gone = False  # type: ignore[attr-defined]
                    client.clientConnectionFailed = (  # type: ignore[method-assign]
                        lambda *_, client=client: setattr(client, "gone", True)
                    )
                    asking[node.number] = client, 0
                elif client.side is not None and (tag == 0 or tag in client.answers):
                    if tag and client.answers[tag][0] == "READY":
                        ready[node.number] = time.monotonic() - since[node.number]
                        client.side.transport.loseConnection()
                    else:
                        asking[node.number] = client, client.check(False)
            return len(ready) == len(nodes)

        self.spin(look)
        return ready

    def close(self) -> None:
        for node in self.nodes:
            node.kill()
            node.pool_port.stopListening()
        self.tier_port.stopListening()
        for _ in range(5):
            self.reactor.iterate(0)
        for call in self.reactor.getDelayedCalls():
            call.cancel()


def row(name: str, seconds: list[float]) -> str:
    seconds = sorted(seconds)
    p90 = seconds[min(len(seconds) - 1, int(0.9 * len(seconds)))]
    return (
        f"| {name} | {len(seconds)} | {seconds[0]:.2f} | {statistics.median(seconds):.2f} | {p90:.2f} | "
        f"{seconds[-1]:.2f} |"
    )


@click.group()
def main() -> None:
    """Measurements on several real processes."""


@main.command()
@click.option("--count", default=30)
@click.option("--rounds", default=3)
@click.option("--code", help="another checkout, to set beside this one")
def start(count: int, rounds: int, code: str | None) -> None:
    """Seconds from a start to the first good health check, and the memory then."""
    pack = Pack(count, code=code)
    bare = []
    for _ in range(10):
        since = time.monotonic()
        subprocess.run([sys.executable, "-c", "pass"], check=True)
        bare.append(time.monotonic() - since)
    print("| what | starts | min | median | p90 | max |\n| --- | --- | --- | --- | --- | --- |")
    print(row("the interpreter alone", bare))
    try:
        for number in range(rounds):
            found = pack.start(pack.nodes, 1000 * number, [])
            memory = statistics.median(node.memory_mb() for node in pack.nodes)
            print(row(f"{count} together, round {number + 1} (memory {memory:.1f} MB)", list(found.values())))
            for node in pack.nodes:
                node.kill()
        for number in range(rounds):
            alone: list[float] = []
            for node in pack.nodes:
                alone += pack.start([node], 1000 * number, []).values()
                node.kill()
            print(row(f"one by one, round {number + 1}", alone))
    finally:
        pack.close()


def ramp_once(
    count: int, cold: float, seed: int, *, paced: bool, seconds: float, rate: float, restart_at: float = 0.0
) -> tuple[float, int, int, int]:
    """The largest count as a share of what was allowed, falls, calls that arrived, requests served."""
    server = ColdServer(cold, 3 * cold, warming_us=8_000_000)
    pack = Pack(count, server, calls=1)
    own = Path(pack.folder, "own.json")
    own.write_text(
        json.dumps(
            {
                "next_tier": {
                    "pace": "on" if paced else "off",
                    "cold_calls": cold,
                    "warm_calls": 3 * cold,
                    "window_ms": 1000,
                    "warming_ms": 8000,
                    "processes": count,
                }
            }
        )
    )
    try:
        pack.start(pack.nodes, seed * 100, ["--settings", str(own)])
        server.restart(time.monotonic_ns() // 1000)
        draw = random.Random(seed)
        clients = [
            RouterClient(pack.reactor, int(node.listen.rpartition(":")[2]), pack.tally, str(node.number))
            for node in pack.nodes
        ]
        pack.spin(lambda: all(client.side is not None for client in clients))
        begun = time.monotonic()
        plan = sorted((draw.uniform(0, seconds), draw.randrange(count)) for _ in range(int(rate * seconds * count)))
        plan = [(0.0, n) for n in range(count) for _ in range(3)] + plan  # what waited while they started
        restarted = not restart_at
        while plan or time.monotonic() < begun + seconds:
            now = time.monotonic() - begun
            if not restarted and now > restart_at:
                restarted = True
                server.restart(time.monotonic_ns() // 1000, 500_000)
            while plan and plan[0][0] <= now:
                at = plan.pop(0)[1]
                if clients[at].side is None:
                    clients[at] = RouterClient(
                        pack.reactor, int(pack.nodes[at].listen.rpartition(":")[2]), pack.tally, str(at)
                    )
                    pack.spin(lambda at=at: clients[at].side is not None)  # type: ignore[misc]
                clients[at].call("busca", b"x")
            pack.reactor.iterate(0.002)
        served = sum(row.get("RESULT", 0) for row in pack.tally.table().values())
        return server.peak_share, server.failures, len(pack.tier.arrivals), served
    finally:
        pack.close()


@main.command()
@click.option("--count", "counts", multiple=True, type=int, default=(1, 5, 20, 30))
@click.option("--cold", "colds", multiple=True, type=float, default=(2.0, 10.0, 50.0))
@click.option("--seeds", default=10)
@click.option("--seconds", default=6.0)
@click.option("--restart-at", default=0.0, help="the server falls once for half a second, then")
def ramp(counts: tuple[int, ...], colds: tuple[float, ...], seeds: int, seconds: float, restart_at: float) -> None:
    """Cold calls of several processes against one server that counts them."""
    print("| processes | N | pace | largest count / (N + 2·√N + 2) | falls | calls | served |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for count in counts:
        for cold in colds:
            for paced in (True, False):
                found = [
                    ramp_once(
                        count,
                        cold,
                        seed,
                        paced=paced,
                        seconds=seconds,
                        rate=max(0.5, 3 * cold / count),
                        restart_at=restart_at,
                    )
                    for seed in range(1, seeds + 1)
                ]
                sums = " | ".join(str(sum(f[n] for f in found)) for n in (1, 2, 3))
                print(
                    f"| {count} | {cold:g} | {'on' if paced else 'off'} | {max(f[0] for f in found):.2f} | {sums} |",
                    flush=True,
                )


if __name__ == "__main__":
    main()
