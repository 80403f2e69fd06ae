"""One incarnation of a complete node over byte pipes: ``net.program.node.Node`` as shipped, with its listeners, pool
link and backend client. ``node.EmulatedIncarnation`` calls the core directly; this module exchanges protocol
messages."""

from __future__ import annotations

from dataclasses import replace
from typing import Any

from ....net.ports import Answer
from ....net.program.config import Address, Config
from ....net.program.node import Node
from ....net.routing.core import Core
from ....net.transport.clock import Clock
from ..node import MEMORY_MB, SOCKETS, EmulatedIncarnation, RouterLink
from ..requests import Try
from ..routing.router import Router
from ..scenario import Wire
from ..virtual import Uniform
from .peers import PoolEnd, Proxy, WireLink, parse_report
from .pipes import Listener, NodeReactor, PipeNetwork

PORT = 1  # hosts are names here, and all use this port


class WireNode(EmulatedIncarnation):
    """Built by ``EmulatedIncarnation``'s constructor. ``extra`` holds the pipe network, the scenario's ``Wire``
    settings, a random source, and the proxies' routers by node name."""

    def _build(self, seed: int, cold: bool, extra: Any) -> None:
        self.plumbing: PipeNetwork
        self.wire: Wire
        self.plumbing, self.wire, self.uniform, proxies = extra
        assert isinstance(self.uniform, Uniform)
        self.address_changes = 0  # number of reloads with new addresses
        self.proxy_listener: Listener | None = None
        self.tenant_names = [tenant.name for tenant in self.settings.tenants]
        router = proxies.get(self.name)
        reactor = NodeReactor(self.plumbing, self, self._datagram, lambda: self.end("left"), self._closed)
        config = Config(
            self.name,
            Address(self.name, PORT),
            Address(f"pool/{self.name}", PORT),
            Address("announce", PORT),
            Address(f"catalogue/{self.name}", PORT) if router is not None else None,
            seed,
            self.stop_ms,
            SOCKETS,
            MEMORY_MB,
            self.settings,
        )
        self.node = Node(config, reactor, None, Clock(self.loop.monotonic_ns, self.loop.unix_ns))
        if self.make_core is not Core:
            raise ValueError("make_core is only supported with the fidelity core")
        self.core, self.event_loop = self.node.core, self.node.event_loop
        self.pool_end = PoolEnd(self.pool, self.uniform, self.wire.repeat, self.wire.chatter)
        self.pool_listener = self.plumbing.listen((f"pool/{self.name}", PORT), self.pool_end, self)
        if router is not None:
            self.calls = proxy = Proxy(self, router, self.next_number, self.uniform, self.wire.spoil, self.wire.extra)
            self.proxy_listener = self.plumbing.listen((f"catalogue/{self.name}", PORT), proxy, self)

    def start(self) -> None:
        self.event_loop.begin_iteration()
        self.node.listen()
        self.node.start()

    def _datagram(self, datagram: bytes) -> None:
        report = parse_report(datagram)
        if report is not None and not self.dead and self.uniform() >= self.wire.report_loss:
            self.service.report(*report)

    def _closed(self) -> None:
        """The node has closed its port: new connections are refused."""
        self.accepting = False

    # requests

    def _link(self, router: Router, delay: int) -> RouterLink:
        self.plumbing.endpoints.setdefault(router, {})
        return WireLink(self, router, delay)  # type: ignore[return-value]

    def _submit(self, link: Any, attempt: Try) -> None:
        attempt.arrived_unix_ms = (
            attempt.arrived_at_us * 1000 - self.loop.monotonic_ns() + self.loop.unix_ns()
        ) // 1_000_000
        link.call(attempt)

    def _check(self, link: Any, tag: int) -> None:
        link.check(tag, False)

    def heard(self, link: Any, tag: int, answer: Answer) -> None:
        """An answer arrived at the router's end of a connection."""
        if tag in self.by_tag:
            self.answered(link, tag, answer)

    def refused(self, link: WireLink, attempt: Try) -> None:
        """The connection for the try failed, so the node never received it."""
        if attempt.answered_at_us < 0 and not self.dead:
            attempt.connection_lost = True
            attempt.note(self.loop.now, "connection refused")
            self._release_try(attempt)
        self.loop.after(link.delay, link.router.on_refused, attempt)

    def broken(self, link: WireLink, attempt: Try) -> None:
        """A connection closed before the try was answered."""
        if attempt.answered_at_us < 0 and not self.dead:
            if not attempt.connection_lost:
                self.audit.add_breach(
                    "lost", self.record, self.loop.now, "its connection ended without an answer", attempt
                )
            attempt.connection_lost = True
            self._release_try(attempt)
        self.loop.after(link.delay, link.router.on_broken, attempt)

    # faults

    def drop_pool_commands(self) -> None:
        self.pool.loses_commands = True

    def break_link(self) -> None:
        self.pool_listener.refusing = True
        self.pool.break_link()

    def restore_link(self) -> None:
        self.pool_listener.refusing = False

    def reset(self, link: Any) -> None:
        link.reset()

    def reload(self) -> None:
        """SIGHUP: the pool and the backend proxy listen at new addresses, and no longer at the old ones."""
        self.address_changes += 1
        config = self.node.config
        self.pool_listener.stopListening()
        address = Address(f"pool/{self.name}/{self.address_changes}", PORT)
        self.pool_listener = self.plumbing.listen((address.host, address.port), self.pool_end, self)
        catalogue = config.backend
        if self.proxy_listener is not None and isinstance(self.calls, Proxy):
            self.proxy_listener.stopListening()
            catalogue = Address(f"catalogue/{self.name}/{self.address_changes}", PORT)
            self.proxy_listener = self.plumbing.listen((catalogue.host, catalogue.port), self.calls, self)
        self.event_loop.begin_iteration()
        self.node.apply_config(replace(config, pool=address, backend=catalogue))

    # shutdown

    def _drain(self, stop_us: int) -> None:
        self.node.drain()

    def _release_resources(self) -> None:
        self.plumbing.remove_owner(self)
