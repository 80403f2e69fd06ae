"""Builds the node from its parts, runs it, and handles reload, drain and the other signals."""

from __future__ import annotations

import errno
import gc
import json
import logging
import os
import signal
import socket
import sys
import time
from collections.abc import Callable
from random import Random
from typing import TYPE_CHECKING, Any

from twisted.internet.error import CannotListenError

from ...interface import Settings
from ...limits.ramp import Ramp
from ...settings import describe_class_changes, merge_settings
from ..protocol.announce import AnnounceClient
from ..protocol.backend import BackendClient
from ..protocol.pool import PoolLink
from ..protocol.resp import NameLookup, RouterConnection
from ..routing.core import Core
from ..transport.clock import Clock, EventLoop
from ..transport.connection import Connection
from ..transport.port import LimitedPort
from .bounds import bounds_of, descriptor_limit
from .config import Config, ConfigError, load_config
from .node_settings import NodeSettings, cold_tier, load_node_settings
from .reload import merge_reloaded
from .router_factory import RouterFactory, open_router_port
from .signal_mask import BLOCKED_SIGNALS
from .upgrade import ProcessMarker

if TYPE_CHECKING:
    from ..protocol.uwsgi import Site, UwsgiServerFactory
    from ..routing.process_keys import ProcessKeys
    from .control_node import ControlMember
    from .policy import PolicyMember
    from .replication import ReplicationMember

log = logging.getLogger(__name__)

MAX_ADMIN_CONNECTIONS = 32  # connections of the admin address (``protocol.admin.MAX_CONNECTIONS``)
SWEEP_INTERVAL_US = 500_000  # between sweeps of idle connections
DRAIN_CHECK_INTERVAL_US = 50_000  # between checks whether a draining node has closed every connection
PORT_RETRY_TIMEOUT_S = 5.0  # for which a start waits for a predecessor that still holds the port
PORT_RETRY_INTERVAL_S = 0.01
EXIT_MARGIN_US = 50_000  # how long before the kill the program exits by itself


class _NoAnnouncer:
    """The announcer where no announce service is configured."""

    def announce(self, accepting: bool) -> None:
        """Report nothing."""


def exponential_draws(seed: int) -> Callable[[], float]:
    """A function that returns exponentially distributed numbers with mean 1, deterministic for a seed."""
    source = Random(seed)
    return lambda: source.expovariate(1.0)


class Node:
    """One node process: its connections, ports and timers, wired to the core."""

    def __init__(
        self,
        config: Config,
        reactor: Any,
        site: Site | None = None,
        clock: Clock | None = None,
        replication: str | None = None,
        policy: str | None = None,
        node_settings: NodeSettings | None = None,
        node_settings_path: str | None = None,
        control: str | None = None,
    ) -> None:
        """``node_settings``: the node settings, read again from ``node_settings_path`` at SIGHUP. The other paths are
        optional files, each of which turns on a feature: ``replication`` shares idempotency keys with other nodes,
        ``policy`` follows the settings that the fleet votes on, ``control`` takes the configuration from a control
        group. Raises ``ConfigError`` for a bad file."""
        self.config, self.reactor = config, reactor
        self.event_loop = EventLoop(reactor, clock or Clock())
        self.bounds = bounds_of(
            min(config.sockets, descriptor_limit()),
            config.memory_mb,
            0 if config.admin is None else MAX_ADMIN_CONNECTIONS,
        )
        self.core = Core(
            config.settings, config.seed, self.event_loop, self.bounds.requests, self.bounds.idempotency_bytes
        )
        self.pool = PoolLink(
            self.event_loop, self.core, config.pool.host, config.pool.port, self.bounds.pool_queue_bytes
        )
        self.core.pool = self.pool
        self.node_settings, self.node_settings_path = node_settings or NodeSettings(), node_settings_path
        self.ramp = self._new_ramp(config.settings)
        self.backend: BackendClient | None = None
        if config.backend is not None:
            self.backend = self.core.backend = BackendClient(
                self.event_loop,
                self.core,
                config.backend.host,
                config.backend.port,
                self.bounds.backend_connections,
                ramp=self.ramp,
            )
        self.announcer: AnnounceClient | None = None
        self.core.announcer = _NoAnnouncer()
        if config.announce is not None:
            self.announcer = AnnounceClient(reactor, config.name, config.announce.host, config.announce.port)
            self.core.announcer = self.announcer
        # Connections of both protocols count; uwsgi has its own lower limit, so the rest remains for the routers.
        self.uwsgi: UwsgiServerFactory | None = None
        if site is not None:
            from ..protocol.uwsgi import UwsgiServerFactory

            self.uwsgi = UwsgiServerFactory(self.event_loop, self.core, site, self.bounds.connections)
        self.router_factory = RouterFactory(self.event_loop, self.core, self.bounds)
        self.replication_member: ReplicationMember | None = None
        if replication is not None:
            from .replication import (  # its libraries are loaded only with this feature
                ReplicationMember,
                load_replication,
            )

            self.replication_member = ReplicationMember(self, load_replication(replication), replication)
        self.policy_member: PolicyMember | None = None
        if policy is not None:
            from .policy import PolicyMember, load_policy

            self.policy_member = PolicyMember(self, load_policy(policy))
        self.control_member: ControlMember | None = None
        if control is not None:
            from .control_node import ControlMember

            self.control_member = ControlMember(self, control)
        self.ports: list[Any] = []
        self.admin_port: Any = None
        temp_folder = os.environ.get("TMPDIR") or "/tmp"
        self.presence = ProcessMarker(config.name, temp_folder, os.getpid())
        self.shared_keys: ProcessKeys | None = None
        if config.inherited_fd is not None and self.replication_member is None:
            from ..routing.process_keys import ProcessKeys
            from .keyfiles import KeyFiles

            longest_s = (
                max((kind.idempotency_window_ms for kind in config.settings.request_classes), default=0.0) / 1000
            )
            self.key_files = KeyFiles(os.path.join(temp_folder, f"lemonway-keys-{config.name}"), os.getpid(), longest_s)
            self.shared_keys = ProcessKeys(self.core, self.key_files)
        self.grace_end_us = self.kill_at_us = 0
        self.stopping = False

    def _new_ramp(self, settings: Settings) -> Ramp | None:
        tier = cold_tier(self.node_settings, settings)
        return None if tier is None else Ramp(tier, exponential_draws(self.config.seed), self.event_loop.clock.now_us)

    def _update_ramp(self) -> None:
        """Apply new figures of the backend's cold start to the ramp; what it has learned so far is kept."""
        tier = cold_tier(self.node_settings, self.core.settings)
        if tier is None or self.ramp is None:
            self.ramp = self._new_ramp(self.core.settings)
        else:
            self.ramp.update_tier(tier)
        if self.backend is not None:
            self.backend.ramp = self.ramp

    def listen(self) -> None:
        if self.config.inherited_fd is not None:
            # The platform owns the listening socket and passes it to every process of this node: during an upgrade
            # two of them accept from it side by side, and no connection is refused.
            os.set_blocking(self.config.inherited_fd, False)
            self.ports.append(
                self.reactor.adoptStreamPort(self.config.inherited_fd, socket.AF_INET, self.router_factory)
            )
        else:
            self.ports.append(
                open_router_port(self.router_factory, self.config.listen, self.reactor, self.core.counters)
            )
        if self.uwsgi is not None:
            site = self.uwsgi.site
            self.ports.append(self.reactor.listenTCP(site.port, self.uwsgi, backlog=256, interface=site.host))

    def listen_admin(self) -> None:
        """Open the admin address (DAYS): readiness, metrics, drain. Twisted's web server is loaded only here."""
        if self.config.admin is None:
            return
        from ..protocol.admin import AdminSite, Routes
        from .figures import metrics_text

        extra_routes: Routes = {}
        if (key_sharing := self.replication_member) is not None:
            extra_routes[b"/replication"] = (
                b"GET",
                lambda body: (200, json.dumps(key_sharing.keyed_run_control.status()).encode()),
            )
        if self.policy_member is not None:
            extra_routes |= self.policy_member.routes()
        if self.control_member is not None:
            extra_routes |= self.control_member.routes()
        site = AdminSite(self.core, lambda: metrics_text(self.core), self.core.counters, extra_routes)
        self.admin_port = self.reactor.listenTCP(
            self.config.admin.port, site, backlog=64, interface=self.config.admin.host
        )

    def start(self) -> None:
        if self.config.inherited_fd is not None:
            self.presence.register()
        if self.shared_keys is not None:
            self.key_files.open()
            self.shared_keys.start()
        if self.announcer is not None:
            self.announcer.start()
        self.core.start()
        self.pool.start()
        if self.replication_member is not None:
            self.replication_member.start()
        if self.policy_member is not None:
            self.policy_member.start()
        if self.control_member is not None:
            self.control_member.start()
        self.event_loop.call_after(SWEEP_INTERVAL_US, self.sweep)

    def sweep(self) -> None:
        """Close connections that have been idle longer than the policy's timeout, and those whose peer is overdue."""
        self.event_loop.call_after(SWEEP_INTERVAL_US, self.sweep)
        idle_since_us = self.event_loop.clock.now_us - self.core.idle_ttl_us
        for connection in list(self.core.frontend_connections):
            if isinstance(connection, RouterConnection):
                connection.sweep(idle_since_us)
        if self.uwsgi is not None:
            self.uwsgi.sweep()
        if self.backend is not None:
            self.backend.close_idle()

    # reload of the configuration

    def reload(self) -> None:
        """SIGHUP: read the files again. If one is invalid, the old configuration stays in force."""
        self.event_loop.begin_iteration()
        try:
            node_settings = (
                self.node_settings if self.node_settings_path is None else load_node_settings(self.node_settings_path)
            )
            loaded = load_config(os.environ, self.config)
            layered = None if self.control_member is None else self.control_member.layer_reloaded_config(loaded)
            if layered is not None:
                settings, active_classes = layered.settings, layered.active_class_indexes
            elif self.policy_member is not None:  # the node's own file, patched with the fleet's decision
                settings, active_classes = self.policy_member.effective_settings(loaded)
            else:
                settings, active_classes = merge_settings(self.core.settings, loaded.settings)
            if self.replication_member is not None:
                self.replication_member.check(settings)
        except (ConfigError, ValueError) as error:
            self.core.counters["reloads_failed"] += 1
            log.error("SIGHUP: %s; the old configuration is kept", error)
            return
        self.node_settings = node_settings  # the log's form and level change only at the next start
        if self.control_member is not None and layered is not None:
            self.control_member.apply_reloaded_file(layered)
        self.apply_config(loaded, settings, active_classes)
        if self.replication_member is not None:
            self.replication_member.reload()
        if self.policy_member is not None:
            self.policy_member.epoch_driver.settings_reloaded()

    def update_settings(self, settings: Settings, active_classes: list[int]) -> bool:
        """Use ``settings`` from the next step on, with the classes ``active_classes``.

        Returns whether anything changed."""
        if (settings, active_classes) == (self.core.settings, self.core.active_classes):
            return False
        self.apply_settings(settings, active_classes)
        return True

    def apply_settings(
        self, settings: Settings, active_classes: list[int], tenant_indices: dict[bytes, int] | None = None
    ) -> None:
        """Use ``settings`` from the next step on; ``tenant_indices``: the tenants' indices by name, if known."""
        for change in describe_class_changes(self.core.settings, settings):
            log.info("settings: class %s", change)
        self.core.update_settings(settings, active_classes)
        self.router_factory.names = NameLookup.from_settings(settings, active_classes, tenant_indices)
        for connection in self.core.frontend_connections:
            if isinstance(connection, RouterConnection):
                connection.names = self.router_factory.names

    def apply_config(
        self, loaded: Config, settings: Settings | None = None, active_classes: list[int] | None = None
    ) -> None:
        """Apply ``settings`` (by default those of ``loaded``) and move each link to its new address at once. Requests,
        runs and the sequence number of the pool's last notice are kept."""
        self.core.counters["reloads_ok"] += 1
        if settings is None or active_classes is None:
            settings, active_classes = merge_settings(self.core.settings, loaded.settings)
        if self.update_settings(settings, active_classes):
            log.info("SIGHUP: classes %s", ", ".join(settings.request_classes[n].name for n in active_classes))
        self.config, unapplied = merge_reloaded(self.config, loaded)
        self._update_ramp()
        for key in unapplied:
            log.warning("SIGHUP: %s: a change takes effect only at the next start", key)
        self.pool.readdress(self.config.pool.host, self.config.pool.port)
        self._readdress_backend()
        self._readdress_announcer()
        self.core.report()
        log.info(
            "SIGHUP: pool %s, catalog %s, announce %s",
            *(
                f"{at.host}:{at.port}" if at else "none"
                for at in (self.config.pool, self.config.backend, self.config.announce)
            ),
        )

    def _readdress_backend(self) -> None:
        address = self.config.backend
        if address is None:
            if self.backend is not None:
                self.backend.clear_address()
        elif self.backend is not None:
            self.backend.readdress(address.host, address.port)
        else:
            self.backend = self.core.backend = BackendClient(
                self.event_loop, self.core, address.host, address.port, self.bounds.backend_connections, ramp=self.ramp
            )

    def _readdress_announcer(self) -> None:
        address = self.config.announce
        if address is None:
            if self.announcer is not None:
                self.announcer.stop()
            self.announcer, self.core.announcer = None, _NoAnnouncer()
        elif self.announcer is not None:
            self.announcer.readdress(address.host, address.port)
        else:
            self.announcer = self.core.announcer = AnnounceClient(
                self.reactor, self.config.name, address.host, address.port
            )
            self.announcer.start()

    # drain and exit

    def drain(self) -> None:
        """SIGTERM: serve the requests that have arrived or arrive within the grace period, and reject later ones."""
        self.event_loop.begin_iteration()
        if self.core.draining:
            return
        now = self.event_loop.clock.now_us
        self.grace_end_us = now + int(self.config.settings.drain_grace_ms * 1000)
        self.kill_at_us = now + int(self.config.stop_ms * 1000)
        # If another process of this node serves on from the same listening socket, this one stops accepting at once,
        # and the announce list follows the other's reports. Of two processes told to leave at the same moment, neither
        # may take the other for its successor: each removes its own marker before it looks for others.
        self.presence.unregister()
        handover = self.config.inherited_fd is not None and self._find_successor()
        if handover:
            self.core.counters["handovers"] += 1
            self.event_loop.call_after(DRAIN_CHECK_INTERVAL_US, self.check_successor)
        self.core.drain(self.config.stop_ms, handover=handover)
        self.event_loop.call_at(now if handover else min(self.grace_end_us, self.core.stop_at_us), self.close_ports)
        self.event_loop.call_at(self.core.stop_at_us, self.close_connections)
        self.event_loop.call_at(max(self.core.stop_at_us, self.kill_at_us - EXIT_MARGIN_US), self.stop_when_answered)

    def _find_successor(self) -> bool:
        """Whether another process of this node serves on; logs which, since it decides how this one ends."""
        pid = self.presence.successor_pid()
        if pid is None:
            log.info("SIGTERM: no other process of this node serves on: it leaves")
        else:
            log.info("SIGTERM: process %d of this node serves on: handing over", pid)
        return pid is not None

    def check_successor(self) -> None:
        """After a handover: if the successor is told to leave as well, or has ended, the whole node is leaving, and
        this process reports so while it finishes its requests."""
        if self.presence.has_successor():
            self.event_loop.call_after(DRAIN_CHECK_INTERVAL_US, self.check_successor)
        else:
            self.core.end_handover()

    def close_ports(self) -> None:
        """Stop listening after the grace period: no run may start any more, and a refused connection tells a router so
        cheaply. Waiting connections are accepted first. Idle ones are closed in order, since some routers keep theirs
        open until the node closes them."""
        for port in self.ports:
            if isinstance(port, LimitedPort):
                port.close_now()
            else:
                port.stopListening()
        self.ports = []
        for connection in list(self.core.frontend_connections):
            connection.close_when_idle()
        self.event_loop.call_after(DRAIN_CHECK_INTERVAL_US, self.stop_when_drained)

    def close_connections(self) -> None:
        """Close the remaining connections in order before the kill resets them. Every request should be answered by
        now; a connection with a pending answer stays open until it is sent."""
        for connection in list(self.core.frontend_connections):
            if isinstance(connection, RouterConnection) and not connection.has_pending_answer():
                connection.close()

    def stop_when_drained(self) -> None:
        """Exit once every request is answered and both sides have closed every connection, so that no output can be
        lost."""
        if self.core.idle and not self.core.frontend_connections:
            self.stop_reactor()
        else:
            self.event_loop.call_after(DRAIN_CHECK_INTERVAL_US, self.stop_when_drained)

    def stop_when_answered(self) -> None:
        """Shortly before the kill: open connections no longer delay the exit, unanswered requests still do."""
        if self.core.idle:
            self.stop_reactor()
        else:
            self.event_loop.call_after(EXIT_MARGIN_US // 10, self.stop_when_answered)

    def stop_reactor(self) -> None:
        if not self.stopping:
            self.stopping = True
            self.reactor.callLater(0, self.reactor.stop)

    def stop(self) -> None:
        """Close every socket and cancel every timer at once."""
        if self.admin_port is not None:
            self.admin_port.stopListening()
            self.admin_port = None
        if self.replication_member is not None:
            self.replication_member.stop()
        if self.control_member is not None:
            self.control_member.stop()
        self.presence.unregister()
        for port in self.ports:
            if isinstance(port, LimitedPort):
                port.close_now()
            else:
                port.stopListening()
        self.ports = []
        self.pool.stop()
        if self.backend is not None:
            self.backend.stop()
        if self.announcer is not None:
            self.announcer.stop()
        for connection in list(self.core.frontend_connections):
            if isinstance(connection, Connection):
                connection.abort()
        self.event_loop.stop()

    def print_counters(self) -> None:
        shown = dict(sorted(self.core.counters.items()))
        shown["open"] = sum(not r.answered for r in self.core.records.values())
        if self.replication_member is not None:
            shown |= {f"repl_{name}": value for name, value in sorted(self.replication_member.replica.counters.items())}
        shown["loop_faults"] = self.event_loop.exception_count
        shown["fronts"] = len(self.core.frontend_connections)
        print("counters " + " ".join(f"{name}={value}" for name, value in shown.items()), file=sys.stderr, flush=True)


def listen_when_free(listen: Callable[[], None], partly_open: Callable[[], bool] = lambda: False) -> bool:
    """Call ``listen``, and retry while a predecessor still holds the port. Returns False if SIGTERM or SIGINT arrived
    meanwhile. ``begun``: whether one of several ports is already open; then there is no retry."""
    deadline = time.monotonic() + PORT_RETRY_TIMEOUT_S
    while True:
        if signal.sigpending() & {signal.SIGTERM, signal.SIGINT}:
            return False
        try:
            listen()
            return True
        except CannotListenError as error:
            in_use = isinstance(error.socketError, OSError) and error.socketError.errno == errno.EADDRINUSE
            if partly_open() or not in_use or time.monotonic() >= deadline:
                raise
        time.sleep(PORT_RETRY_INTERVAL_S)


def run(
    config: Config,
    site: Site | None = None,
    replication: str | None = None,
    policy: str | None = None,
    node_settings: NodeSettings | None = None,
    node_settings_path: str | None = None,
    control: str | None = None,
) -> int:
    from twisted.internet import reactor  # installs the reactor: only when the program really runs

    event_loop: Any = reactor
    try:
        node = Node(
            config,
            event_loop,
            site,
            replication=replication,
            policy=policy,
            node_settings=node_settings,
            node_settings_path=node_settings_path,
            control=control,
        )
    except ConfigError as error:
        print(f"lemonway: {error}", file=sys.stderr)
        return 2
    try:
        if not listen_when_free(node.listen, lambda: bool(node.ports)):
            return 0  # SIGTERM came before the node accepted anything, so there is nothing to drain
    except CannotListenError as error:
        key = "listen" if not node.ports else "uwsgi.listen"
        print(f"lemonway: {key}: {error.interface}:{error.port}: {error.socketError}", file=sys.stderr)
        return 2
    except OSError as error:  # the inherited descriptor is not a listening socket
        print(f"lemonway: EDGE_INHERITED_FD: {config.inherited_fd}: {error.strerror}", file=sys.stderr)
        return 2
    try:
        if not listen_when_free(node.listen_admin):
            return 0
    except CannotListenError as error:
        print(f"lemonway: admin: {error.interface}:{error.port}: {error.socketError}", file=sys.stderr)
        return 2
    # From here on the reactor handles these signals; SIGHUP's default action would terminate the program.
    for number, call in (
        (signal.SIGTERM, node.drain),
        (signal.SIGINT, node.drain),
        (signal.SIGHUP, node.reload),
        (signal.SIGUSR1, node.print_counters),
    ):
        signal.signal(number, lambda *_, call=call: event_loop.callFromThread(call))
    signal.pthread_sigmask(signal.SIG_UNBLOCK, BLOCKED_SIGNALS)
    if node.replication_member is not None:
        try:
            node.replication_member.open()
        except CannotListenError as error:
            print(
                f"lemonway: --replication: {replication}: listen: {error.interface}:{error.port}: "
                f"{error.socketError}",
                file=sys.stderr,
            )
            return 2
    event_loop.callWhenRunning(node.start)
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    # Objects loaded by now live as long as the process: they are excluded from garbage collection, which then runs
    # rarely and briefly, for the reference cycles that requests leave.
    gc.collect()
    gc.freeze()
    gc.set_threshold(20_000, 20, 20)
    replication_port: Any = None if node.replication_member is None else node.replication_member.port
    for what, port in (("replication", replication_port), ("admin", node.admin_port)):
        if port is not None:
            log.info("%s listens on %s:%d", what, port.getHost().host, port.getHost().port)
    bound = node.ports[0].getHost()  # the port that the system chose if the configuration says 0
    log.info("%s listens on %s:%d, pid %d", config.name, bound.host, bound.port, os.getpid())
    event_loop.run(installSignalHandlers=False)
    for number in BLOCKED_SIGNALS:  # the reactor is gone, and a late signal must not change the exit status
        signal.signal(number, signal.SIG_IGN)
    node.presence.unregister()
    if node.control_member is not None:
        node.control_member.stop()
    node.print_counters()
    return 0
