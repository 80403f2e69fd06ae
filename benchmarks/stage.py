"""A whole node over byte pipes in virtual time with stand-ins round it: the same bytes come at the same moments in
every run, so that what the node does can be counted. It must not know what is counted."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

from lemonway.kit.acervo import StandInAcervo
from lemonway.kit.clients import RouterClient, UwsgiClient
from lemonway.kit.emulator.virtual import Loop, Streams, Uniform
from lemonway.kit.emulator.wire.pipes import NodeReactor, PipeBehaviour, PipeNetwork
from lemonway.kit.pool import Plan, StandInPool
from lemonway.kit.stage import site_file, site_settings
from lemonway.net.program.config import read_config
from lemonway.net.program.node import Node
from lemonway.net.program.uwsgi_site import read_site
from lemonway.net.transport.clock import Clock

SECOND = 1_000_000
HOST, PORT, WEB = "n1", 8443, 3031
CLASSES = ("miniatura", "visualizador", "busca", "cadastro")


class Outside:
    """The reactor of clients: whatever they dial is the node."""

    def __init__(self, plumbing: PipeNetwork, owner: object) -> None:
        self.plumbing, self.owner = plumbing, owner

    def connectTCP(self, host: str, port: int, factory: Any, timeout: float | None = None) -> Any:
        return self.plumbing.connect((HOST, port), factory, self.owner)


class Stage:
    def __init__(self, cores: int = 6, calls: int = 0, seconds: float = 0.05, up: bool = True) -> None:
        """``cores`` of the pool; its runs take ``seconds`` and make ``calls``. It may not be ``up`` yet."""
        self.loop = Loop()
        self.plumbing = PipeNetwork(self.loop, PipeBehaviour(), Uniform(Streams(1)["bench"]))
        outside = object()
        self.plumbing.add_owner(outside)
        reactor = NodeReactor(self.plumbing, self, lambda datagram: None, lambda: None, lambda: None)
        self.pool, self.acervo = StandInPool(self.loop, cores, up), StandInAcervo(self.loop)
        for name in CLASSES:
            self.pool.plans[name] = Plan(calls=calls, seconds=seconds)
        self.plumbing.listen(("pool", 1), self.pool, outside)
        self.plumbing.listen(("acervo", 1), self.acervo, outside)
        config = read_config(
            {
                "name": HOST,
                "listen": f"{HOST}:{PORT}",
                "pool": "pool:1",
                "announce": "announce:1",
                "catalog": "acervo:1",
                "seed": "1",
                "stop_ms": 3000,
                "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
                "settings": site_settings(cores=cores, memoryKb=0.0),
            },
            {},
        )
        site = read_site(site_file(f"{HOST}:{WEB}"), config.settings)
        self.node = Node(config, reactor, site, Clock(self.loop.monotonic_ns, self.loop.unix_ns))
        self.node.listen()
        self.node.event_loop.begin_iteration()
        self.node.start()
        self.outside = Outside(self.plumbing, outside)
        self.number = 0
        if up:
            self.until(lambda: self.node.core.healthy)

    def run(self, seconds: float) -> None:
        self.loop.run(self.loop.now + int(seconds * SECOND))

    def until(self, holds: Callable[[], bool], most: float = 60.0) -> None:
        end = self.loop.now + int(most * SECOND)
        while not holds():
            if self.loop.now >= end:
                raise RuntimeError("the stage did not come to what it waited for")
            self.run(0.005)

    def router(self) -> RouterClient:
        client = RouterClient(self.outside, PORT)
        self.until(lambda: client.side is not None)
        return client

    def web(self) -> UwsgiClient:
        return UwsgiClient(self.outside, WEB)

    def fields(self, **more: str) -> dict[str, str]:
        """Those of a request, the same in every run."""
        self.number += 1
        return {
            "txn": f"{self.number:016x}",
            "door": str(self.loop.unix_ns() // 1_000_000),
            "team": "museu-grande",
            "cpu": "250.0",
            **more,
        }

    def call(self, router: RouterClient, handler: str, body: bytes = b"", **more: str) -> int:
        return router.call(handler, body, 0, **self.fields(**more))
