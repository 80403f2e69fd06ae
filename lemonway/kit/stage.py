"""A stage for rehearsals: a node and the stand-ins round it, in one process, on loopback."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import DatagramProtocol

from ..interface import Settings
from ..net.program.config import Config, read_config
from ..net.program.node import Node
from ..net.program.node_settings import NodeSettings
from ..net.program.uwsgi_site import read_site
from .acervo import StandInAcervo
from .clients import RouterClient, UwsgiClient
from .pool import Plan, StandInPool
from .tally import Tally

LIMITS: dict[str, Any] = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}  # of a node process, as on the scored days
PATIENCE = 20.0  # seconds after which a case that has not come to its end is given up


class StageTimeout(AssertionError):
    """What a case waited for did not come."""


class AnnounceSink(DatagramProtocol):
    def __init__(self, reports: list[bytes] | None = None) -> None:
        self.reports: list[bytes] = [] if reports is None else reports

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.reports.append(datagram)


def site_settings(**family: Any) -> dict[str, Any]:
    """A deployment of the shape of recife-principal, with waits short enough to rehearse."""

    def lane(name: str, worth: float, aim: float, deadline: float, keyed: bool = False) -> dict[str, Any]:
        return {
            "name": name,
            "worth": worth,
            "aim": aim,
            "deadline": deadline,
            "memorySpan": 24336.0,
            "effect": "keyed" if keyed else "safe",
            "lateValue": 0.0,
        }

    return {
        "lanes": [
            lane("miniatura", 1, 1600, 3000),
            lane("visualizador", 2, 1600, 3000),
            lane("busca", 2, 1600, 3000),
            lane("cadastro", 5, 1600, 3000, True),
        ],
        "tenants": [
            {"name": name, "share": share, "quotaRps": 0}
            for name, share in (
                ("museu-grande", 0.38),
                ("casa-memoria", 0.32),
                ("pinacoteca-sul", 0.18),
                ("museu-sertao", 0.12),
            )
        ],
        "familyInfo": {
            "cores": 6,
            "memoryKb": 69876.0,
            "runFactor": 16.0,
            "kbPerKey": 201.1,
            "halt": "drop",
            "say": "min_rank",
            "heeded": 1000.0,
            "callerIdle": 15000.0,
            "classCalls": [True] * 4,
            "classSkipWorth": [0.0] * 4,
            "below": "next_hop",
            "deepChecks": True,
            "upstreams": 3,
            "registryFollows": True,
            "meters": ["cpu_busy", "runnable", "mem_used", "sockets"],
            **family,
        },
        "rules": {
            "graceToAnswer": 60.0,
            "stopSendingWithin": 300.0,
            "fallMultiple": 6.0,
            "overloadFor": 2000.0,
            "cold": 16000.0,
            "coldFrom": 0.23,
        },
        "ceilings": {"maxRetryAfter": 1000.0, "retryAfter": True},
        "fleetSize": 1,
        "tick": 5.0,
        "worthBy": "work",
    }


def site_file(listen: str = "127.0.0.1:0", **more: Any) -> dict[str, Any]:
    """What a uwsgi file says, each class under its own name."""
    return {
        "listen": listen,
        "hosts": {"grande.museus.example": "museu-grande"},
        "location": [
            {"path": "/miniatura/", "class": "miniatura"},
            {"path": "/visualizador/", "class": "visualizador"},
            {"path": "/busca", "class": "busca"},
            {"path": "/cadastro", "match": "exact", "class": "cadastro"},
        ],
        **more,
    }


class Stage:
    """Everything listens on ports that the system picks. ``spin`` turns the loop until something holds."""

    def __init__(
        self,
        *,
        settings: dict[str, Any] | None = None,
        uwsgi: dict[str, Any] | None = None,
        pool_up: bool = True,
        catalogue: bool = True,
        stop_ms: float = 3000.0,
        cores: int = 6,
        calls: int = 0,
        limits: dict[str, Any] | None = None,
        admin: bool = False,
        own: NodeSettings | None = None,
    ) -> None:
        """``own``: the node's own settings."""
        from twisted.internet import reactor

        self.reactor: Any = reactor
        self.tally = Tally()
        self.pool, self.acervo = StandInPool(reactor, cores, pool_up), StandInAcervo(reactor)
        for name in ("miniatura", "visualizador", "busca", "cadastro"):
            self.pool.plans[name] = Plan(calls)
        self.acervo.awaited = self.pool.awaits
        self.sink = AnnounceSink()
        self.raw: dict[str, Any] = {
            "name": "n1",
            "listen": "127.0.0.1:0",
            "seed": "8c1f30d27a5be964",
            "stop_ms": stop_ms,
            "limits": LIMITS | (limits or {}),
            "settings": settings or site_settings(),
        }
        if admin:
            self.raw["admin"] = "127.0.0.1:0"  # the second address (days in service)
        self.ports: list[Any] = []
        config = self.open(catalogue)
        self.settings: Settings = config.settings
        site = None if uwsgi is None else read_site(uwsgi, config.settings)
        self.node = Node(config, reactor, site, node_settings=own)
        self.node.listen()
        self.node.listen_admin()
        self.node.start()
        self.admin_port: int = self.node.admin_port.getHost().port if admin else 0
        self.port: int = self.node.ports[0].getHost().port
        self.uwsgi_port: int = self.node.ports[1].getHost().port if site is not None else 0
        if pool_up:
            self.spin(lambda: self.node.core.healthy)

    def open(self, catalogue: bool = True) -> Config:
        """Have the stand-ins listen on new ports, and on no others; gives the configuration that names them."""
        self.sink = AnnounceSink(self.sink.reports)  # a datagram protocol listens once
        old, self.ports = (
            self.ports,
            [
                self.listen(self.pool),
                self.listen(self.acervo),
                self.reactor.listenUDP(0, self.sink, interface="127.0.0.1"),
            ],
        )
        for port in old:
            port.stopListening()
        pool, acervo, sink = (f"127.0.0.1:{port.getHost().port}" for port in self.ports)
        self.raw |= {"pool": pool, "catalog": acervo if catalogue else None, "announce": sink}
        return read_config(self.raw, {})

    def listen(self, factory: Any) -> Any:
        return self.reactor.listenTCP(0, factory, interface="127.0.0.1")

    def router(self, name: str = "resp") -> RouterClient:
        client = RouterClient(self.reactor, self.port, self.tally, name)
        self.spin(lambda: client.side is not None)
        return client

    def web(self, name: str = "uwsgi") -> UwsgiClient:
        return UwsgiClient(self.reactor, self.uwsgi_port, self.tally, name)

    def spin(self, until: Callable[[], bool], patience: float = PATIENCE) -> None:
        end = time.monotonic() + patience
        while not until():
            if time.monotonic() > end:
                raise StageTimeout(f"not within {patience:g} s; " + "; ".join(self.tally.lines()))
            self.reactor.iterate(0.01)

    def spin_for(self, seconds: float) -> None:
        """Let time pass: for what must not happen in it."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            self.reactor.iterate(0.01)

    def settle(self) -> None:
        """Until every request has its answer."""
        self.spin(lambda: self.tally.waiting() == 0)

    def close(self) -> None:
        self.node.stop()
        self.pool.cut()
        for port in self.ports:
            port.stopListening()
        for _ in range(5):
            self.reactor.iterate(0)
        for call in self.reactor.getDelayedCalls():
            call.cancel()
