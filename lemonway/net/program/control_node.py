"""Connects one node to the control group, from which it takes its configuration (``--control FILE``)."""

from __future__ import annotations

import gc
import logging
import random
from typing import TYPE_CHECKING, Any

from ...control.agent import Agent
from ...control.resources import Table
from ...control.store import StoredConfiguration, StoreError
from ...control.versions import Version
from ...interface import Settings
from ..protocol.control import WatchClient
from ..routing.configured import ControlAgentRunner, TableApplier
from ..routing.layered import LayeredSettings
from .config import Config, ConfigError
from .control_file import load_control, relay_addresses
from .control_store import NodeStore, TableFile
from .plain_json import to_json

if TYPE_CHECKING:
    from .node import Node

log = logging.getLogger(__name__)


class ControlMember:
    """The agent of one node, its connection to a relay and its state file. Applies the agent's table to the node."""

    agent: Agent

    def __init__(self, node: Node, path: str) -> None:
        """Raises ``ConfigError``."""
        self.node, self.path, self.file = node, path, load_control(path)
        clock, counters = node.event_loop.clock, node.core.counters
        layered = LayeredSettings(node.config.raw_settings, node.config.settings)
        self.in_force = TableApplier(node.core, layered, self._check, node.apply_settings)
        node.apply_settings(layered.settings, layered.active_class_indexes, layered.tenant_indexes)
        self.links = WatchClient(node.reactor, node.event_loop, relay_addresses(self.file), counters)
        self.state: TableFile | None = None
        if self.file.state:
            self.state = TableFile(self.file.state, node.event_loop, lambda: self.agent.table, counters)
        self.agent = Agent(
            node.config.name,
            clock.to_unix_us(clock.now_us),
            list(self.file.relays),
            self.file.agent_terms(),
            clock.now_us,
            random.random,
            self._apply,
            counters,
            self._load_stored(),
        )
        self.configured = ControlAgentRunner(
            node.core, self.agent, self.links, NodeStore(self.state) if self.state else None
        )
        self.links.events = self.configured.driver

    def _load_stored(self) -> StoredConfiguration | None:
        """The content of the state file. An unreadable file is ignored, since the relays have the table."""
        if self.state is None:
            return None
        try:
            stored = self.state.load()
        except (OSError, StoreError) as error:
            self.node.core.counters["control_state_unread"] += 1
            log.error("control: state: %s: %s; this node starts without its state file", self.file.state, error)
            return None
        if stored is not None:
            log.info("control: state: %s: version %d, %d resources", self.file.state, stored.number, len(stored.table))
        return stored

    def _apply(self, version: Version | None, table: Table) -> str:
        reason = self.in_force.apply(version, table)
        if version is None:
            gc.freeze()  # a whole table is long-lived: scanning it in each collection would block the event loop
        return reason

    def _check(self, settings: Settings, live: list[int]) -> None:
        """Raises ``ValueError`` for settings that this node can't apply. Creates the decision module to find out."""
        try:
            if self.node.replication_member is not None:
                self.node.replication_member.check(settings)
            self.node.core.validate_settings(settings, live)
        except ConfigError as error:
            raise ValueError(str(error)) from None

    def start(self) -> None:
        self.configured.start()

    def stop(self) -> None:
        self.configured.driver.stop()
        self.links.disconnect()
        if self.state is not None:
            self.state.close()

    # SIGHUP

    def layer_reloaded_config(self, config: Config) -> LayeredSettings:
        """The node's reloaded file with the current table layered on top. Raises ``ConfigError`` or ``ValueError``."""
        layered = LayeredSettings(config.raw_settings, config.settings, self.in_force.layered)
        layered.apply_table(self.agent.table, self._check)
        return layered

    def apply_reloaded_file(self, layered: LayeredSettings) -> None:
        """Apply the node's reloaded file. A version that could not be applied to the old file may be applicable now."""
        self.in_force.replace_node_settings(layered)
        self.agent.incompatibility = ""
        self._reload_file()
        self.configured.update_readiness()

    def _reload_file(self) -> None:
        """Reload the control file. A new list of relays applies at once, everything else at the next start."""
        try:
            new_file = load_control(self.path)
        except ConfigError as error:
            self.node.core.counters["control_reloads_failed"] += 1
            log.error("SIGHUP: %s; the old file is kept", error)
            return
        if new_file.relays != self.file.relays:
            self.links.addresses = relay_addresses(new_file)
            self.configured.driver.apply_outputs(
                self.agent.set_relays(list(new_file.relays), self.node.event_loop.clock.now_us)
            )
            log.info("SIGHUP: control: the file lists %d relays now", len(new_file.relays))
        self.file = new_file

    # the admin address

    def routes(self) -> dict[bytes, tuple[bytes, Any]]:
        return {b"/control": (b"GET", lambda body: (200, to_json(self.configured.status())))}
