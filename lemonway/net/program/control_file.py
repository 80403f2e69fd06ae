"""The files of the control group (the voters and relays): ``deploy/control.json`` for nodes,
``deploy/control-machine.json`` for the machines of voters and relays, and the change file that an operator proposes.

The types here validate the files, and the published schemas in ``deploy/schema/`` are generated from them, including
the docstrings of the classes. Imported only where a control group is used, so that a node without one does not need
its libraries."""

from __future__ import annotations

from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ...control.resources import Delete, Operation, Put, ResourceError, check_operations
from ...control.terms import SECOND, AgentTerms, PublishTerms, VoterTerms, WatchTerms
from .config import ConfigError, parse_address, read_json

MEGABYTE = 1 << 20
VOTER_COUNTS = (1, 3, 5)

Address = tuple[str, int]
Name = Annotated[str, Meta(min_length=1, max_length=64, pattern=r"^\S+$")]
Milliseconds = Annotated[float, Meta(ge=1, le=3_600_000)]


class WatchFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """The keys shared by the files of all subscribers of a publisher (nodes, relays and voters)."""

    schema: str = msgspec.field(default="", name="$schema")
    heartbeat_ms: Annotated[Milliseconds, Meta(description="between questions for the lease")] = 1000
    silent_ms: Annotated[Milliseconds, Meta(description="a publisher that says nothing for so long is left")] = 3000
    connect_ms: Annotated[Milliseconds, Meta(description="for a connection to be made")] = 2000
    acknowledge_ms: Annotated[
        Milliseconds, Meta(description=("an acknowledgement waits so long for further versions"))
    ] = 50
    backoff_ms: Annotated[Milliseconds, Meta(description="the first pause before the next connection; doubles")] = 200
    backoff_most_ms: Annotated[Milliseconds, Meta(description="the longest pause before a connection")] = 10_000
    spread_ms: Annotated[
        Milliseconds, Meta(description=("the loss of a working link is followed by a pause drawn up to this"))
    ] = 1000

    def watch_terms(self) -> WatchTerms:
        """The settings of a subscriber, in microseconds."""
        return WatchTerms(
            heartbeat_us=_microseconds(self.heartbeat_ms),
            publisher_silence_timeout_us=_microseconds(self.silent_ms),
            acknowledge_delay_us=_microseconds(self.acknowledge_ms),
            connect_timeout_us=_microseconds(self.connect_ms),
            initial_backoff_us=_microseconds(self.backoff_ms),
            max_backoff_us=_microseconds(self.backoff_most_ms),
            reconnect_jitter_us=_microseconds(self.spread_ms),
        )


class ControlFile(WatchFile, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A node's part in the control group, given with --control. All nodes may get the same."""

    relays: Annotated[
        dict[Name, str],
        Meta(
            min_length=1, max_length=1000, description=("each relay's name and the HOST:PORT on which it takes watches")
        ),
    ]
    when_lost: Annotated[
        Literal["serve", "stop"],
        Meta(description=("past its lease a node serves on with the last good version, or takes no work")),
    ] = "serve"
    stale_most_s: Annotated[
        float, Meta(ge=1, le=31_536_000, description=("with serve: for so long past its lease"))
    ] = 3600
    state: Annotated[
        str,
        Meta(
            description=(
                "a file on a disk that outlasts the process, in which the last good table is kept: a node that starts "
                "while control is gone serves by it"
            )
        ),
    ] = ""
    table_mb: Annotated[float, Meta(ge=1, le=10_000, description="a larger table is refused")] = 48

    def agent_terms(self) -> AgentTerms:
        """The settings of a node's agent, in microseconds and bytes."""
        return AgentTerms(
            watch=self.watch_terms(),
            serve_when_lost=self.when_lost == "serve",
            max_stale_us=int(self.stale_most_s * SECOND),
            max_table_bytes=int(self.table_mb * MEGABYTE),
        )


class VoterAddress(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """Where one voter listens."""

    vote: Annotated[str, Meta(description="HOST:PORT for the other voters")]
    watch: Annotated[str, Meta(description="HOST:PORT for the watches of relays and of voters that are behind")]
    admin: Annotated[str, Meta(description="HOST:PORT for operators and the platform's checks")]


class ControlMachineFile(WatchFile, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """One machine of the control group, for `lemonway control run`."""

    heartbeat_ms: Annotated[Milliseconds, Meta(description="between questions for the lease")] = 500
    role: Annotated[Literal["voter", "relay"], Meta(description="voters decide; relays copy and serve nodes")]
    name: Annotated[Name, Meta(description="of this machine; a voter's is its entry in voters")]
    voters: Annotated[
        dict[Name, VoterAddress],
        Meta(min_length=1, max_length=5, description=("every voter by name; 1, 3 or 5, the same on all machines")),
    ]
    listen: Annotated[str, Meta(description="a relay: HOST:PORT on which it takes watches")] = ""
    admin: Annotated[str, Meta(description="a relay: HOST:PORT for operators and the platform's checks")] = ""
    disk: Annotated[
        str, Meta(description=("a voter's folder on a disk that lasts: its vote, the table and the versions"))
    ] = ""
    first_start: Annotated[
        bool,
        Meta(description=("the control group starts for the first time. Never true for one that is started again")),
    ] = False
    lease_ms: Annotated[
        Milliseconds,
        Meta(
            description=(
                "a voter that has not heard from a majority for so long grants nothing; all grants are cut from it"
            )
        ),
    ] = 9000
    voter_heartbeat_ms: Annotated[Milliseconds, Meta(description="between signs of life among voters")] = 250
    queue_most: Annotated[int, Meta(ge=1, le=100_000, description="proposals that wait at a voter")] = 256
    subscribers_most: Annotated[int, Meta(ge=1, le=100_000, description="watches taken at one time")] = 2000
    subscriber_silent_ms: Annotated[
        Milliseconds, Meta(description=("a subscriber that says nothing for so long is dropped"))
    ] = 6000
    snapshots_most: Annotated[int, Meta(ge=1, le=10_000, description="snapshots being sent at one time")] = 32
    snapshot_mb_s: Annotated[
        float, Meta(ge=0.1, le=10_000, description=("of snapshots a second, over all subscribers"))
    ] = 64
    log_versions_most: Annotated[
        int, Meta(ge=1, le=1_000_000, description=("versions that are kept to be sent to those who are behind"))
    ] = 4096
    log_mb_most: Annotated[float, Meta(ge=0.1, le=10_000, description="what those versions may take")] = 16

    def publish_terms(self) -> PublishTerms:
        """The settings of a publisher, in microseconds, bytes and bytes per second."""
        return PublishTerms(
            max_subscribers=self.subscribers_most,
            subscriber_silence_timeout_us=_microseconds(self.subscriber_silent_ms),
            max_concurrent_transfers=self.snapshots_most,
            transfer_bytes_per_s=int(self.snapshot_mb_s * MEGABYTE),
            max_log_versions=self.log_versions_most,
            max_log_bytes=int(self.log_mb_most * MEGABYTE),
        )

    def voter_terms(self) -> VoterTerms:
        """The settings of a voter, in microseconds."""
        return VoterTerms(
            lease_us=_microseconds(self.lease_ms),
            heartbeat_us=_microseconds(self.voter_heartbeat_ms),
            watch=self.watch_terms(),
            max_queued_proposals=self.queue_most,
        )

    def watch_addresses(self) -> dict[str, Address]:
        """The address on which each voter accepts subscribers, by name. Raises ``ConfigError``."""
        return {name: _address(f"voters.{name}.watch", voter.watch) for name, voter in self.voters.items()}

    def vote_addresses(self) -> dict[str, Address]:
        """The address on which each voter accepts the other voters, by name. Raises ``ConfigError``."""
        return {name: _address(f"voters.{name}.vote", voter.vote) for name, voter in self.voters.items()}

    def admin_addresses(self) -> dict[str, Address]:
        """The admin address of each voter, by name. Raises ``ConfigError``."""
        return {name: _address(f"voters.{name}.admin", voter.admin) for name, voter in self.voters.items()}

    def listen_address(self) -> Address:
        """The address on which this machine accepts subscribers. Raises ``ConfigError``."""
        return self.watch_addresses()[self.name] if self.role == "voter" else _address("listen", self.listen)

    def admin_address(self) -> Address:
        """The admin address of this machine. Raises ``ConfigError``."""
        return self.admin_addresses()[self.name] if self.role == "voter" else _address("admin", self.admin)


class PutResource(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A resource that is to have this value."""

    kind: Annotated[Literal["class", "tenant", "route", "limit"], Meta(description="of resource")]
    name: Annotated[str, Meta(min_length=1, max_length=256)]
    value: Annotated[Any, Meta(description="JSON; what it holds depends on the kind")]


class DeleteResource(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A resource that is to be no more; nodes go back to what their own files say."""

    kind: Annotated[Literal["class", "tenant", "route", "limit"], Meta(description="of resource")]
    name: Annotated[str, Meta(min_length=1, max_length=256)]


class ControlChangeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A change, for `lemonway control propose`: it holds whole or not at all."""

    schema: str = msgspec.field(default="", name="$schema")
    put: Annotated[list[PutResource], Meta(description="resources to set")] = []
    delete: Annotated[list[DeleteResource], Meta(description="resources to delete")] = []

    def operations(self) -> list[Operation]:
        """The operations of this change, deletions first. Raises ``ResourceError``."""
        change_operations: list[Operation] = [Delete(resource.kind, resource.name) for resource in self.delete]
        change_operations += [
            Put(resource.kind, resource.name, msgspec.json.encode(resource.value)) for resource in self.put
        ]
        if not change_operations:
            raise ResourceError("put, delete: nothing to change")
        check_operations(change_operations)
        return change_operations


def _microseconds(milliseconds: float) -> int:
    return int(milliseconds * 1000)


def _address(key: str, value: str) -> Address:
    address = parse_address(key, value)
    return address.host, address.port


def schemas() -> dict[str, dict[str, Any]]:
    """The published schemas, by file name."""
    schema_by_file: dict[str, dict[str, Any]] = {}
    file_type: Any
    for file_type, name in (
        (ControlFile, "control"),
        (ControlMachineFile, "control-machine"),
        (ControlChangeFile, "control-change"),
    ):
        definitions: dict[str, Any] = msgspec.json.schema(file_type)["$defs"]
        top = definitions.pop(file_type.__name__)
        schema_by_file[f"{name}.schema.json"] = {
            "$schema": "https://json-schema.org/draft/2020-12/schema",
            "title": f"lemonway {name.replace('-', ' ')}",
            **top,
            **({"$defs": definitions} if definitions else {}),
        }
    return schema_by_file


def load_control(path: str, option: str = "--control") -> ControlFile:
    """Read a node's control file. Raises ``ConfigError`` that names the file and the key."""
    raw = read_json(option, path)
    try:
        file = msgspec.convert(raw, ControlFile)
        relay_addresses(file)
    except (msgspec.ValidationError, ConfigError) as error:
        raise ConfigError(f"{option}: {path}: {error}") from None
    return file


def relay_addresses(file: ControlFile) -> dict[str, Address]:
    """The address on which each relay accepts subscribers, by name. Raises ``ConfigError``."""
    return {name: _address(f"relays.{name}", host_port) for name, host_port in file.relays.items()}


def load_control_machine(path: str, option: str = "--file") -> ControlMachineFile:
    """Read the file of a control machine. Raises ``ConfigError`` that names the file and the key."""
    raw = read_json(option, path)
    try:
        file = msgspec.convert(raw, ControlMachineFile)
        _check_machine(file)
    except (msgspec.ValidationError, ConfigError) as error:
        raise ConfigError(f"{option}: {path}: {error}") from None
    return file


def _check_machine(file: ControlMachineFile) -> None:
    if len(file.voters) not in VOTER_COUNTS:
        raise ConfigError(f"voters: {len(file.voters)}, expected 1, 3 or 5")
    if file.role == "voter" and file.name not in file.voters:
        raise ConfigError(f"voters: this voter, {file.name}, is not among them")
    if file.role == "voter" and not file.disk:
        raise ConfigError("disk: missing: a voter needs a directory on a persistent disk")
    for key in ("listen", "admin"):
        if file.role == "voter" and getattr(file, key):
            raise ConfigError(f"{key}: set by the entry in voters where the machine is a voter")
    for parse in (
        file.vote_addresses,
        file.watch_addresses,
        file.admin_addresses,
        file.listen_address,
        file.admin_address,
    ):
        parse()


def read_change(body: bytes) -> list[Operation]:
    """Parse a change file into its operations. Raises ``ValueError`` that names the key."""
    try:
        file: ControlChangeFile = msgspec.json.decode(body, type=ControlChangeFile)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    return file.operations()
