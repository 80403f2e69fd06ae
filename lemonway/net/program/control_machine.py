"""A machine of the control group as a process: a voter or a relay in Twisted's reactor (``lemonway control run``).

SIGTERM shuts it down gracefully, SIGHUP reloads its file, SIGUSR1 prints its counters. The admin address serves
operators; the watch port serves subscribers: relays on a voter, nodes on a relay."""

from __future__ import annotations

import logging
import os
import random
import signal
import sys
from collections import Counter
from collections.abc import Sequence
from typing import Any

from twisted.internet.error import CannotListenError
from twisted.python.log import PythonLoggingObserver

from ...control.proposals import QueueFull
from ...control.relay import Relay
from ...control.resources import Operation, Table
from ...control.store import StoredConfiguration, StoreError
from ...control.voter import Voter
from ..protocol.admin import AdminSite, Routes, exposition
from ..protocol.control import WatchClient, WatchServer
from ..protocol.peers import Mesh
from ..routing.control_driver import PublisherDriver, Store
from ..routing.resources import invalid_reason
from ..transport.clock import Clock, EventLoop
from .bounds import descriptor_limit
from .config import ConfigError
from .control_file import ControlMachineFile, load_control_machine, read_change
from .control_store import TableFile, VoterStore
from .plain_json import plain, to_json
from .policy import StateFile

log = logging.getLogger(__name__)

MESH_QUEUE_BYTES = 4 << 20  # outbound queue of the link to one voter
SPARE_LINKS = 64  # connections accepted beyond subscribers_most, which are sent a refusal because the machine is full
SPARE_DESCRIPTORS = 256  # for the spare links, the admin address, the disk and the links to other machines
SHUTDOWN_DELAY_S = 0.2  # between closing the connections and stopping the reactor
SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)
VOTE_FILE, TABLE_FILE = "vote", "table"
RELOADABLE_KEYS = ("voters", "first_start", "schema")  # a change of these needs no restart


class ControlMachine:
    """Common base of voters and relays: the reactor, the subscriber connections, the admin address and the signals."""

    role_name = ""
    role: Voter | Relay
    driver: PublisherDriver

    def __init__(self, file: ControlMachineFile, path: str, reactor: Any) -> None:
        self.file, self.path, self.reactor = file, path, reactor
        self.event_loop = EventLoop(reactor, Clock())
        self.counters: Counter[str] = Counter()
        self.watches = WatchServer(self.event_loop, self.counters, max_links=file.subscribers_most + SPARE_LINKS)
        self.upstream = WatchClient(reactor, self.event_loop, file.watch_addresses(), self.counters)
        self.incarnation = self.event_loop.clock.to_unix_us(self.event_loop.clock.now_us)
        self.ports: list[Any] = []
        self.shutting_down = False
        self.exit_status = 0

    @property
    def now(self) -> int:
        return self.event_loop.clock.now_us

    # admin address (``protocol.admin.Desk``)

    @property
    def healthy(self) -> bool:
        """Whether this machine holds a lease from which it can grant leases to subscribers."""
        self.event_loop.begin_iteration()
        return self.role.lease_remaining_us(self.now) > 0

    def begin_drain(self) -> None:
        """Does nothing: a control machine is drained by SIGTERM."""

    def end_drain(self) -> None:
        """Does nothing: a control machine is drained by SIGTERM."""

    def routes(self) -> Routes:
        return {
            b"/control": (b"GET", lambda body: (200, to_json(self.status()))),
            b"/control/history": (b"GET", self._history),
            b"/control/propose": (b"POST", self._propose),
            b"/control/abort": (b"POST", self._abort),
        }

    def status(self) -> dict[str, Any]:
        """The status that ``GET /control`` returns."""
        self.event_loop.begin_iteration()
        status_fields: dict[str, Any] = plain(self.role.status(self.now))
        return status_fields | {
            "role": self.role_name,
            "watchers": len(self.watches.links),
            "admins": {name: voter.admin for name, voter in self.file.voters.items()},
        }

    def _history(self, body: bytes) -> tuple[int, bytes]:
        return 409, self._relay_refusal()

    def _propose(self, body: bytes) -> tuple[int, bytes]:
        return 409, self._relay_refusal()

    def _abort(self, body: bytes) -> tuple[int, bytes]:
        return 409, self._relay_refusal()

    def _relay_refusal(self) -> bytes:
        return to_json(
            {"error": f"a relay does not take part in decisions: ask a voter ({', '.join(self.file.voters)})"}
        )

    def render_metrics(self) -> bytes:
        """The response body of ``GET /metrics``."""
        gauges = {"control_version": self.role.number, "control_watchers": len(self.watches.links)}
        return exposition({}, gauges | dict(sorted(self.counters.items())))

    # lifecycle

    def listen(self) -> None:
        """Raises ``CannotListenError``."""
        host, port = self.file.listen_address()
        self._listen("watch", host, port, self.watches, backlog=1024)
        host, port = self.file.admin_address()
        self._listen(
            "admin", host, port, AdminSite(self, self.render_metrics, self.counters, self.routes()), backlog=64
        )

    def _listen(self, purpose: str, host: str, port: int, factory: Any, backlog: int) -> None:
        bound = self.reactor.listenTCP(port, factory, backlog=backlog, interface=host)
        self.ports.append(bound)
        log.info("%s: %s listens on %s:%d", self.file.name, purpose, bound.getHost().host, bound.getHost().port)

    def start(self) -> None:
        """Start the protocol; called by the running reactor."""
        raise NotImplementedError

    def warn_of_descriptor_limit(self) -> None:
        """Log a warning if the process may open fewer descriptors than ``subscribers_most`` needs."""
        needed = self.file.subscribers_most + SPARE_DESCRIPTORS
        if descriptor_limit() < needed:
            log.warning(
                "%s: subscribers_most: %d subscribers need %d descriptors, but this process may open only %d",
                self.file.name,
                self.file.subscribers_most,
                needed,
                descriptor_limit(),
            )

    def reload(self) -> None:
        """SIGHUP: reload the file. New addresses of the other machines apply at once, the rest at the next start."""
        try:
            new_file = load_control_machine(self.path)
            self._check_reload(new_file)
        except ConfigError as error:
            self.counters["control_reloads_failed"] += 1
            log.error("SIGHUP: %s; the old file is kept", error)
            return
        self.counters["control_reloads_ok"] += 1
        for key in new_file.__struct_fields__:
            if key not in RELOADABLE_KEYS and getattr(new_file, key) != getattr(self.file, key):
                log.warning("SIGHUP: %s: the change takes effect only at the next start", key)
        self.update_addresses(new_file)
        log.info("SIGHUP: %s: the file was reloaded", self.path)

    def update_addresses(self, new_file: ControlMachineFile) -> None:
        """Use the addresses of the other machines in ``new_file`` from now on."""
        self.upstream.addresses = new_file.watch_addresses()

    def _check_reload(self, new_file: ControlMachineFile) -> None:
        """Raises ``ConfigError`` if a key differs that can't change while the machine runs."""
        for key in ("role", "name"):
            if getattr(new_file, key) != getattr(self.file, key):
                raise ConfigError(f"--file: {self.path}: {key}: can't change while the machine runs")
        if list(new_file.voters) != list(self.file.voters):
            raise ConfigError(f"--file: {self.path}: voters: a change of names requires a restart of all machines")

    def shut_down(self) -> None:
        """SIGTERM: close every connection gracefully, then stop the reactor."""
        if self.shutting_down:
            return
        self.shutting_down = True
        self.event_loop.begin_iteration()
        log.info("%s is shutting down", self.file.name)
        self.driver.stop()
        for port in self.ports:
            port.stopListening()
        for link in list(self.watches.links):
            self.watches.drop(link)
        self.upstream.disconnect()
        self.release_resources()
        self.reactor.callLater(SHUTDOWN_DELAY_S, self.reactor.stop)

    def release_resources(self) -> None:
        """Release the resources that only this role has."""

    def print_counters(self) -> None:
        shown = {"version": self.role.number, "watchers": len(self.watches.links)} | dict(sorted(self.counters.items()))
        print("counters " + " ".join(f"{name}={value}" for name, value in shown.items()), file=sys.stderr, flush=True)


class RelayMachine(ControlMachine):
    """Subscribes to a voter and publishes its table to nodes."""

    role_name = "relay"

    def __init__(self, file: ControlMachineFile, path: str, reactor: Any) -> None:
        super().__init__(file, path, reactor)
        self.role: Relay = Relay(
            file.name,
            self.incarnation,
            list(file.voters),
            file.watch_terms(),
            file.publish_terms(),
            self.now,
            random.random,
            self.counters,
        )
        self.driver = PublisherDriver(self.event_loop, self.role, self.upstream, self.watches)
        self.watches.events = self.upstream.events = self.driver

    def start(self) -> None:
        self.event_loop.begin_iteration()
        self.driver.apply_outputs(self.role.start(self.now))


class VoterMachine(ControlMachine):
    """Decides with the other voters, stores the decisions on its disk and publishes them to relays."""

    role_name = "voter"

    def __init__(self, file: ControlMachineFile, path: str, reactor: Any) -> None:
        """Raises ``ConfigError`` if the disk can't be used."""
        super().__init__(file, path, reactor)
        self.store = self._open_store()
        self.mesh = Mesh(
            reactor,
            self.event_loop,
            file.name,
            self.incarnation,
            len(file.voters),
            file.vote_addresses(),
            MESH_QUEUE_BYTES,
            self.counters,
            label="control",
            prefix="control_votes",
        )
        self.role: Voter = self._voter()
        self.driver = PublisherDriver(
            self.event_loop,
            self.role,
            self.upstream,
            self.watches,
            self.mesh,
            self._as_store(),
            on_fatal=self._shut_down_on_fault,
        )
        self.watches.events = self.upstream.events = self.driver
        self.mesh.receive = self.driver.on_voter_message

    def _as_store(self) -> Store:
        return self.store

    def _shut_down_on_fault(self, reason: str) -> None:
        log.error("control: %s is shutting down: %s", self.file.name, reason)
        self.exit_status = 1
        self.shut_down()

    def _open_store(self) -> VoterStore:
        try:
            os.makedirs(self.file.disk, exist_ok=True)
        except OSError as error:
            raise ConfigError(f"--file: {self.path}: disk: {self.file.disk}: {error.strerror}") from None
        table = TableFile(
            os.path.join(self.file.disk, TABLE_FILE), self.event_loop, self._current_table, self.counters, durable=True
        )
        return VoterStore(table, StateFile(os.path.join(self.file.disk, VOTE_FILE)))

    def _current_table(self) -> Table:
        return self.role.table

    def _voter(self) -> Voter:
        file = self.file
        try:
            vote, stored = self.store.vote.read(), self.store.file.load()
        except (OSError, ValueError, StoreError) as error:
            raise ConfigError(
                f"--file: {self.path}: disk: {file.disk}: {error}; with an empty directory this voter recovers "
                "from the others"
            ) from None
        self._log_stored(stored)
        try:
            return Voter(
                file.name,
                self.incarnation,
                list(file.voters),
                file.voter_terms(),
                file.publish_terms(),
                self.now,
                random.random,
                self._rejection_reason,
                self.counters,
                vote,
                stored,
                file.first_start,
            )
        except ValueError as error:
            raise ConfigError(f"--file: {self.path}: disk: {file.disk}: {error}") from None

    @staticmethod
    def _log_stored(stored: StoredConfiguration | None) -> None:
        if stored is not None:
            log.info("control: disk: version %d, %d resources", stored.number, len(stored.table))

    @staticmethod
    def _rejection_reason(operations: Sequence[Operation], table: Table) -> str:
        return invalid_reason(operations)

    def listen(self) -> None:
        super().listen()
        host, port = self.file.vote_addresses()[self.file.name]
        self._listen("vote", host, port, self.mesh, backlog=64)

    def start(self) -> None:
        self.event_loop.begin_iteration()
        self.mesh.start()
        self.driver.apply_outputs([])

    def update_addresses(self, new_file: ControlMachineFile) -> None:
        super().update_addresses(new_file)
        self.mesh.update_peers(new_file.vote_addresses(), epoch=0)

    def release_resources(self) -> None:
        self.mesh.stop()
        self.store.file.close()

    def status(self) -> dict[str, Any]:
        status_fields = super().status()
        report = status_fields.pop("nodes")  # the summary over all relays, under the key of a relay's own report
        return status_fields | {"report": report, "proposals": plain(self.role.outcomes)}

    def _history(self, body: bytes) -> tuple[int, bytes]:
        return 200, to_json({"history": self.role.history()})

    def _propose(self, body: bytes) -> tuple[int, bytes]:
        self.event_loop.begin_iteration()
        try:
            operations = read_change(body)
            if reason := invalid_reason(operations):
                return 400, to_json({"error": reason})
            proposed_at_ms = self.event_loop.clock.to_unix_ms(self.now)
            proposal_id, outputs = self.role.propose(operations, proposed_at_ms, self.now)
        except QueueFull as error:
            return 409, to_json({"error": str(error)})
        except ValueError as error:
            return 400, to_json({"error": str(error)})
        self.driver.apply_outputs(outputs)
        return 202, to_json({"proposal": proposal_id, "outcome": self.role.outcomes.get(proposal_id)})

    def _abort(self, body: bytes) -> tuple[int, bytes]:
        self.event_loop.begin_iteration()
        action, outputs = self.role.abort(self.event_loop.clock.to_unix_ms(self.now), self.now)
        self.driver.apply_outputs(outputs)
        if not action:
            return 409, to_json({"error": "no proposal is in progress at this voter, and none was left undecided"})
        return 202, to_json({"done": action})


def run(path: str) -> int:
    """Run the machine described by the file at ``path`` until SIGTERM. Returns the exit status."""
    from twisted.internet import reactor  # installs the reactor, so it is imported only when the program runs

    PythonLoggingObserver("twisted").start()
    logging.getLogger("twisted").setLevel(logging.WARNING)
    loop: Any = reactor
    try:
        file = load_control_machine(path)
        machine = (VoterMachine if file.role == "voter" else RelayMachine)(file, path, loop)
        machine.warn_of_descriptor_limit()
        machine.listen()
    except ConfigError as error:
        print(f"lemonway: {error}", file=sys.stderr)
        return 2
    except CannotListenError as error:
        print(f"lemonway: --file: {path}: {error.interface}:{error.port}: {error.socketError}", file=sys.stderr)
        return 2
    for number, call in (
        (signal.SIGTERM, machine.shut_down),
        (signal.SIGINT, machine.shut_down),
        (signal.SIGHUP, machine.reload),
        (signal.SIGUSR1, machine.print_counters),
    ):
        signal.signal(number, lambda *_, call=call: loop.callFromThread(call))
    signal.signal(signal.SIGPIPE, signal.SIG_IGN)
    loop.callWhenRunning(machine.start)
    log.info("%s runs as a %s, pid %d", file.name, file.role, os.getpid())
    loop.run(installSignalHandlers=False)
    machine.print_counters()
    return machine.exit_status
