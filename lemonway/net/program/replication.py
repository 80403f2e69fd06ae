"""``deploy/replication.json``: replicates this node's idempotency keys to other nodes.

Imported only with ``--replication FILE``, so that a node without it does not need its libraries. The types here
validate the file, and the published schema ``deploy/schema/replication.schema.json`` is generated from them, including
the docstring of the class."""

from __future__ import annotations

import logging
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta

from ...interface import Effect, Settings
from ...replication.placement import Membership
from ...replication.replica import Replica, ReplicaSettings
from ..protocol.peers import Mesh
from ..routing.replicated import ReplicatedKeys
from .config import Address, ConfigError, parse_address, read_json

if TYPE_CHECKING:
    from .node import Node

log = logging.getLogger(__name__)

FORGET_INTERVAL_US = 1_000_000  # between checks whether a change of the list of peers is complete

Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^\S+$")]


class Replication(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Keyed requests shared among image nodes, given with --replication. All nodes of a fleet get the same peers and
    group; the rest may differ."""

    schema: str = msgspec.field(default="", name="$schema")
    peers: Annotated[
        dict[Name, str],
        Meta(
            min_length=1,
            max_length=1000,
            description=(
                "each node's name and the HOST:PORT on which it listens for the others, this node's own included"
            ),
        ),
    ]
    epoch: Annotated[
        int,
        Meta(
            ge=0,
            description=(
                "counts the changes of peers: a list with other names needs a higher one, and SIGHUP on every node"
            ),
        ),
    ] = 0
    before: Annotated[
        list[Name],
        Meta(
            description=(
                "the names of the list of the epoch before, for nodes that start while that one may still be in force"
            )
        ),
    ] = []
    listen: Annotated[str, Meta(description="where this node listens, if not at its own entry in peers")] = ""
    group: Annotated[int, Meta(ge=1, le=5, description="copies of a key: 1, 3 or 5")] = 3
    first_start: Annotated[
        bool,
        Meta(
            description=(
                "the fleet starts for the first time: nothing can have been claimed before, so nodes vote at once. "
                "Never true for a node that is started again"
            )
        ),
    ] = False
    claim_ms: Annotated[float, Meta(ge=5, le=10_000, description="a claim without a majority is given up then")] = 150
    beat_ms: Annotated[float, Meta(ge=10, le=10_000, description="between signs of life")] = 200
    silent_beats: Annotated[
        int, Meta(ge=2, le=100, description=("beats without a sign of life after which a peer counts as gone"))
    ] = 4
    skew_ms: Annotated[float, Meta(ge=0, le=60_000, description="how far the nodes' Unix clocks may lie apart")] = 500
    repair_ms: Annotated[float, Meta(ge=10, le=600_000, description="between comparisons of copies, by turns")] = 1000
    catch_up_rate: Annotated[
        int, Meta(ge=100, le=1_000_000, description=("keys a second that this node sends to those that catch up"))
    ] = 10_000
    keys_most: Annotated[int, Meta(ge=100, le=10_000_000, description="keys of which this node keeps a copy")] = 20_000
    results_mb: Annotated[float, Meta(ge=1, le=10_000, description="memory for keys and their results")] = 24
    result_kb: Annotated[float, Meta(ge=0, le=128, description="a larger result is not copied, only that it ran")] = 16
    queue_kb: Annotated[
        float,
        Meta(
            ge=64, le=100_000, description=("what may wait for one peer; past it the peer is cut and catches up later")
        ),
    ] = 512
    answer_unreplicated: Annotated[
        bool,
        Meta(
            description=("at its due time answer a result that no majority keeps, though repeats may then not get it")
        ),
    ] = False


def schema() -> dict[str, Any]:
    """The published schema of the file."""
    generated = msgspec.json.schema(Replication)
    return (
        {
            "$schema": "https://json-schema.org/draft/2020-12/schema",
            "title": "lemonway replication",
            **generated["$defs"]["Replication"],
        }
        if "$defs" in generated
        else generated
    )


def load_replication(path: str) -> Replication:
    """Read the replication file. Raises ``ConfigError`` that names the file and the key."""
    raw = read_json("--replication", path)
    try:
        parsed = msgspec.convert(raw, Replication)
    except msgspec.ValidationError as error:
        raise ConfigError(f"--replication: {path}: {error}") from None
    if parsed.group % 2 == 0:
        raise ConfigError(f"--replication: {path}: group: {parsed.group} is not 1, 3 or 5")
    try:
        for name, host_port in parsed.peers.items():
            parse_address(f"peers.{name}", host_port)
        if parsed.listen:
            parse_address("listen", parsed.listen)
    except ConfigError as error:
        raise ConfigError(f"--replication: {path}: {error}") from None
    return parsed


def peer_addresses(file: Replication) -> dict[str, tuple[str, int]]:
    """The host and port of each peer, by name. Raises ``ConfigError``."""
    parsed = {peer: parse_address(f"peers.{peer}", value) for peer, value in file.peers.items()}
    return {peer: (address.host, address.port) for peer, address in parsed.items()}


def replica_terms(file: Replication, settings: Settings) -> ReplicaSettings:
    """The terms of the replica, in microseconds and bytes; its windows follow from the keyed request classes."""
    keyed_classes = [
        request_class for request_class in settings.request_classes if request_class.effect is Effect.KEYED
    ]
    longest_window_ms = max((request_class.idempotency_window_ms for request_class in keyed_classes), default=0.0)
    longest_deadline_ms = max((request_class.deadline_ms for request_class in keyed_classes), default=0.0)
    return ReplicaSettings(
        group_size=file.group,
        claim_us=int(file.claim_ms * 1000),
        heartbeat_us=int(file.beat_ms * 1000),
        missed_heartbeats=file.silent_beats,
        window_us=int((longest_window_ms + settings.tick_ms + file.claim_ms) * 1000),
        max_try_age_us=int(longest_deadline_ms * 1000),
        skew_us=int(file.skew_ms * 1000),
        repair_us=int(file.repair_ms * 1000),
        key_rate=file.catch_up_rate,
        max_registers=file.keys_most,
        max_bytes=int(file.results_mb * (1 << 20)),
        first_start=file.first_start,
    )


def membership_lists(placement: Membership) -> tuple[tuple[str, ...], ...]:
    """The names of the current list of peers, and during a change also those of the previous list."""
    peer_lists = (placement.current, placement.previous)
    return tuple(tuple(peer_list.peers) for peer_list in peer_lists if peer_list is not None)


class ReplicationMember:
    """The replication of one node: its replica, the links to its peers, and the run control (gate) in its core."""

    def __init__(self, node: Node, file: Replication, path: str) -> None:
        name, clock = node.config.name, node.event_loop.clock
        if name not in file.peers:
            raise ConfigError(f"--replication: {path}: peers: this node, {name}, is not among them")
        addresses = peer_addresses(file)
        self.listen: Address = parse_address("listen", file.listen) if file.listen else Address(*addresses[name])
        now = clock.to_unix_us(clock.now_us)
        self.mesh = Mesh(
            node.reactor,
            node.event_loop,
            name,
            now,
            file.group,
            addresses,
            int(file.queue_kb * 1024),
            node.core.counters,
            file.epoch,
        )
        self.replica = Replica(
            name, now, list(file.peers), replica_terms(file, node.config.settings), now, file.epoch, file.before
        )
        self.keyed_run_control = ReplicatedKeys(
            node.core, self.replica, self.mesh, int(file.result_kb * 1024), file.answer_unreplicated
        )
        self.mesh.receive = self.keyed_run_control.receive
        self.node, self.path, self.file, self.incarnation = node, path, file, now
        self.port: Any = None

    def open(self) -> None:
        """Listen for the peers. Raises ``CannotListenError``."""
        self.port = self.node.reactor.listenTCP(self.listen.port, self.mesh, backlog=256, interface=self.listen.host)

    def start(self) -> None:
        self.mesh.start()
        self.keyed_run_control.start()
        self.node.event_loop.call_after(FORGET_INTERVAL_US, self._forget)

    def check(self, settings: Settings) -> None:
        """Raises ``ConfigError`` if a keyed class has a longer window or deadline than the registers were sized for."""
        current_terms, required_terms = self.replica.settings, replica_terms(self.file, settings)
        if (
            required_terms.window_us > current_terms.window_us
            or required_terms.max_try_age_us > current_terms.max_try_age_us
        ):
            raise ConfigError(
                "settings: lanes: a keyed class with a longer memorySpan or deadline than at the start "
                "requires a restart where keys are replicated (--replication)"
            )

    def reload(self) -> None:
        """SIGHUP: apply a list of peers with a higher epoch. Everything else in the file applies at the next start."""
        counters, replica = self.node.core.counters, self.replica
        try:
            new_file = load_replication(self.path)
            if new_file.epoch == replica.placement.epoch:
                if sorted(new_file.peers) != replica.placement.current.peers:
                    raise ConfigError(
                        f"--replication: {self.path}: epoch: a change of peers requires an epoch above {new_file.epoch}"
                    )
                return
            try:
                outputs = replica.change(list(new_file.peers), new_file.epoch, self.keyed_run_control.now_unix_us)
            except ValueError as error:
                raise ConfigError(f"--replication: {self.path}: epoch: {error}") from None
        except ConfigError as error:
            counters["repl_reloads_failed"] += 1
            log.error("SIGHUP: %s; the old list is kept", error)
            return
        counters["repl_reloads_ok"] += 1
        self.mesh.update_peers(peer_addresses(new_file), new_file.epoch)
        self.keyed_run_control.apply_outputs(outputs)
        log.info("SIGHUP: replication switches to the %d peers of epoch %d", len(new_file.peers), new_file.epoch)

    def _forget(self) -> None:
        self.node.event_loop.call_after(FORGET_INTERVAL_US, self._forget)
        if self.replica.placement.previous is None:
            self.mesh.retain_only(set(self.replica.placement.peers))

    def stop(self) -> None:
        if self.port is not None:
            self.port.stopListening()
            self.port = None
        self.mesh.stop()
