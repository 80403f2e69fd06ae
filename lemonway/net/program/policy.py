"""``deploy/policy.json``: keeps the policy of this node the same as that of the whole fleet. The policy is the settings
that the fleet has agreed on, which override those of each node's own file.

Imported only with ``--policy FILE``, which needs ``--replication FILE`` for the list of nodes and the links between
them. The types here validate the files, and the published schemas ``deploy/schema/policy.schema.json`` and
``policy-change.schema.json`` are generated from them, including the docstrings of the classes."""

from __future__ import annotations

import contextlib
import json
import logging
import os
from typing import TYPE_CHECKING, Annotated, Any

import msgspec
from msgspec import Meta
from xxhash import xxh3_64_digest

from ...epochs import change as changes
from ...epochs.member import EpochMember, EpochOptions, ProposalInProgress
from ...epochs.messages import Change
from ...interface import Settings
from ...settings import merge_settings
from ..routing.governed import PolicyEpochDriver
from .completeness import missing_item_keys
from .config import Config, ConfigError, read_checked_settings, read_json
from .replication import membership_lists

if TYPE_CHECKING:
    from .node import Node

log = logging.getLogger(__name__)

CHANGE_MOST = 64 * 1024  # bytes: maximum size of a change, which is sent in one message
CHECKSUM_BYTES = 8  # size of the xxh3 checksum at the start of a state file


class PolicyFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A policy that holds on every node of the fleet or on none, given with --policy. All nodes get the same."""

    schema: str = msgspec.field(default="", name="$schema")
    lease_ms: Annotated[
        float,
        Meta(
            ge=100,
            le=60_000,
            description=(
                "a node that has not heard from a majority for so long takes no more work; no node serves an old epoch "
                "for longer than this after a change. Raised to four signs of life where there are many nodes"
            ),
        ),
    ] = 1000
    pulse_ms: Annotated[
        float,
        Meta(
            ge=10,
            le=10_000,
            description=(
                "between signs of life to each node; with more than pulse_ms / 10 nodes it is 10 ms for each of them"
            ),
        ),
    ] = 100
    check_ms: Annotated[
        float,
        Meta(
            ge=10,
            le=60_000,
            description=("within which every live node has to say whether a change fits, or the change is aborted"),
        ),
    ] = 1000
    retry_ms: Annotated[float, Meta(ge=5, le=10_000, description="until what was not answered is said again")] = 100
    state: Annotated[
        str,
        Meta(
            description=(
                "a file on a disk that outlasts the process, in which this node keeps its vote and what is in force. "
                "Without one a node that returns asks the others; where a majority returns at once, a change of the "
                "last moments may be lost"
            )
        ),
    ] = ""
    together: Annotated[
        bool,
        Meta(
            description=(
                "where a majority has lost its memory at once, go on from what any node knows once all nodes are "
                "there; else an operator has to say first_start"
            )
        ),
    ] = True
    resolve_ms: Annotated[
        float,
        Meta(
            ge=10,
            le=60_000,
            description=("a change that is half decided for so long is finished by other nodes: its own may be gone"),
        ),
    ] = 500


class ChangeFile(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True):
    """A change of policy, for `lemonway policy propose`."""

    schema: str = msgspec.field(default="", name="$schema")
    settings: Annotated[
        dict[str, Any],
        Meta(
            description=(
                "a merge patch (RFC 7396) on the settings of each node's own file: objects go into each other, null "
                "removes, lists and values replace. It replaces the change before it"
            )
        ),
    ]


def schemas() -> dict[str, dict[str, Any]]:
    """The published schemas, by file name."""
    schema_by_file: dict[str, dict[str, Any]] = {}
    file_type: Any
    for file_type, name, title in (
        (PolicyFile, "policy", "lemonway policy"),
        (ChangeFile, "policy-change", "lemonway policy change"),
    ):
        generated: dict[str, Any] = msgspec.json.schema(file_type)
        schema_by_file[f"{name}.schema.json"] = {
            "$schema": "https://json-schema.org/draft/2020-12/schema",
            "title": title,
            **generated["$defs"][file_type.__name__],
        }
    return schema_by_file


def load_policy(path: str) -> PolicyFile:
    """Read the policy file. Raises ``ConfigError`` that names the file and the key."""
    raw = read_json("--policy", path)
    try:
        return msgspec.convert(raw, PolicyFile)
    except msgspec.ValidationError as error:
        raise ConfigError(f"--policy: {path}: {error}") from None


def read_change(body: bytes) -> bytes:
    """The settings of a change file as JSON, in the form in which the log of epochs stores them. Raises
    ``ValueError``."""
    try:
        change_file: ChangeFile = msgspec.json.decode(body, type=ChangeFile)
    except msgspec.DecodeError as error:
        raise ValueError(str(error)) from None
    data = json.dumps(change_file.settings, separators=(",", ":"), sort_keys=True).encode()
    if len(data) > CHANGE_MOST:
        raise ValueError(f"settings: {len(data)} bytes, {CHANGE_MOST} at most")
    changes.parse_change(data)
    return data


class StateFile:
    """The state of a node's epochs or a voter's vote on disk. Each write replaces the whole file and is synced, since
    a vote may be sent only once it survives a restart of the process; there are a few writes per change of policy."""

    def __init__(self, path: str) -> None:
        self.path = path

    def read(self) -> bytes | None:
        """``None`` if there is no file yet. Raises ``OSError``, or ``ValueError`` for a damaged file."""
        try:
            with open(self.path, "rb") as file:
                data = file.read()
        except FileNotFoundError:
            return None
        if len(data) < CHECKSUM_BYTES or xxh3_64_digest(data[CHECKSUM_BYTES:]) != data[:CHECKSUM_BYTES]:
            raise ValueError("spoilt, or cut short")
        return data[CHECKSUM_BYTES:]

    def write(self, data: bytes) -> None:
        """Raises ``OSError`` after removing the file, so that an outdated state can't be mistaken for this one."""
        temporary_path, folder = f"{self.path}.new", os.path.dirname(self.path) or "."
        try:
            with open(temporary_path, "wb") as file:
                file.write(xxh3_64_digest(data) + data)
                file.flush()
                os.fsync(file.fileno())
            os.replace(temporary_path, self.path)
            descriptor = os.open(folder, os.O_RDONLY)
            try:
                os.fsync(descriptor)
            finally:
                os.close(descriptor)
        except OSError:
            with contextlib.suppress(OSError):
                os.unlink(self.path)
            raise


class PolicyMember:
    """Sets up policy epochs on one node: state file, epochs, driver and admin routes; applies changes to the node."""

    def __init__(self, node: Node, file: PolicyFile) -> None:
        replication_member = node.replication_member
        if replication_member is None:
            raise ConfigError(
                "--policy: needs --replication, which provides the list of nodes and the links between them"
            )
        self.node, self.replication_member = node, replication_member
        placement = replication_member.replica.placement
        terms = EpochOptions(
            lease_us=int(file.lease_ms * 1000),
            heartbeat_us=int(file.pulse_ms * 1000),
            check_us=int(file.check_ms * 1000),
            retry_us=int(file.retry_ms * 1000),
            resolve_us=int(file.resolve_ms * 1000),
            first_start=replication_member.file.first_start,
            recover_together=file.together,
            has_disk=bool(file.state),
        )
        self.state_file = StateFile(file.state) if file.state else None
        try:
            self.epochs = EpochMember(
                node.config.name,
                replication_member.incarnation,
                lambda: membership_lists(placement),
                terms,
                node.event_loop.clock.now_us,
                self.rejection_reason,
                node.core.counters,
                self.state_file.read() if self.state_file is not None else None,
            )
        except (OSError, ValueError) as error:
            raise ConfigError(
                f"--policy: state: {file.state}: {error}; with another file, or none, this node recovers "
                "from the others"
            ) from None
        self.epoch_driver = PolicyEpochDriver(
            node.core,
            self.epochs,
            replication_member.mesh,
            self.apply_change,
            self.state_file.write if self.state_file is not None else None,
        )
        replication_member.mesh.receive = self._receive

    def start(self) -> None:
        self.epoch_driver.start()

    def _receive(self, sender: str, incarnation: int, message: Any, epoch: int) -> None:
        """Dispatch a message of replication or policy, which share the links and are told apart by the module that
        defines the type. Policy messages from a sender whose list of nodes has another epoch are dropped."""
        if type(message).__module__ != Change.__module__:
            self.replication_member.keyed_run_control.receive(sender, incarnation, message, epoch)
        elif epoch == self.replication_member.replica.placement.epoch:
            self.epoch_driver.receive(sender, incarnation, message)
        else:
            self.node.core.counters["policy_other_lists"] += 1

    # applying a change to this node

    def effective_settings(self, config: Config, data: bytes | None = None) -> tuple[Settings, list[int]]:
        """The settings of this node's file patched with a change (by default the one in force) and merged with the
        settings in use; and the indices of the active request classes. Raises ``ConfigError`` or ``ValueError``."""
        patch = changes.parse_change(self.epochs.committed.settings if data is None else data)
        raw = changes.apply_merge_patch(config.raw_settings, patch)
        settings, live = merge_settings(self.node.core.settings, read_checked_settings(raw))
        self.replication_member.check(settings)
        return settings, live

    def rejection_reason(self, data: bytes) -> str:
        """Why this node can't apply a change; empty if it can. Creates the decision module to find out."""
        try:
            settings, live = self.effective_settings(self.node.config, data)
            self.node.core.validate_settings(settings, live)
        except (ConfigError, ValueError) as error:
            return str(error)
        except Exception as error:
            log.exception("policy: the decision module can't be created with a proposed change")
            return f"the decision module can't be created with it: {error!r}"
        return ""

    def apply_change(self, change: Change) -> str:
        """Apply a committed change to the node. Returns why the node can't apply it; empty if it can."""
        reason = self.rejection_reason(change.settings)
        if reason:
            return reason
        config = self.node.config
        self.node.update_settings(*self.effective_settings(config, change.settings))
        if overridden := changes.differing_paths(config.raw_settings, changes.parse_change(change.settings)):
            omitted_note = f" and {len(overridden) - 8} more" if len(overridden) > 8 else ""
            log.info(
                "policy: epoch %d goes before this node's own file in %s%s",
                change.number,
                ", ".join(overridden[:8]),
                omitted_note,
            )
        return ""

    # the admin address

    def routes(self) -> dict[bytes, tuple[bytes, Any]]:
        return {
            b"/policy": (b"GET", lambda body: (200, self._json(self.epoch_driver.status()))),
            b"/policy/propose": (b"POST", self._propose),
            b"/policy/abort": (b"POST", self._abort),
        }

    @staticmethod
    def _json(value: dict[str, Any]) -> bytes:
        return json.dumps(value).encode() + b"\n"

    def _propose(self, body: bytes) -> tuple[int, bytes]:
        try:
            settings = read_change(body)
            self._check_complete(settings)
        except ValueError as error:
            return 400, self._json({"error": str(error)})
        try:
            proposal_id = self.epoch_driver.propose(settings)
        except ProposalInProgress as error:
            return 409, self._json({"error": str(error)})
        outcome = self.epochs.outcomes[proposal_id]
        return 202, self._json(
            {"proposal": proposal_id, "state": outcome.state, "epoch": outcome.number, "reason": outcome.reason}
        )

    def _check_complete(self, data: bytes) -> None:
        """Check that a change's classes and tenants have the keys that they have in this node's own file, so that no
        default takes the place of a value in force. Raises ``ValueError``."""
        own = self.node.config.raw_settings
        changed = changes.apply_merge_patch(own, changes.parse_change(data))
        for path in missing_item_keys(own, changed):
            raise ValueError(f"settings: {path}: missing, which this node's own file has")

    def _abort(self, body: bytes) -> tuple[int, bytes]:
        action = self.epoch_driver.abort()
        if not action:
            return 409, self._json({"error": "no proposal is in progress at this node, and none was left undecided"})
        return 202, self._json({"done": action})
