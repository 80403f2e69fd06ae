"""Applies the configuration of the control group to a node: each version is put in force in the core between two steps
of the admission policy, and the core takes no work while the agent reports that this node may not serve.

The module does no I/O: the program passes in the links and the store."""

from __future__ import annotations

import logging
from collections.abc import Callable
from dataclasses import asdict
from typing import Any

from ...control.agent import Agent
from ...control.resources import Key, Operation, Table
from ...control.versions import Version
from ...interface import Settings
from .control_driver import AgentDriver, Store, Upstream
from .core import Core
from .layered import CheckSettings, LayeredSettings, diff_table

log = logging.getLogger(__name__)

MICROSECONDS_PER_SECOND = 1_000_000
READINESS_INTERVAL_US = 50_000  # between checks whether this node may serve

ApplySettings = Callable[[Settings, list[int], dict[bytes, int]], None]


class TableApplier:
    """Puts versions and whole tables in force in the core."""

    def __init__(self, core: Core, layered: LayeredSettings, check: CheckSettings, adopt: ApplySettings) -> None:
        """``check`` raises ``ValueError`` for settings that this node cannot apply. ``adopt`` makes the node use the
        settings; it also gets the indexes of the request classes in force and the index of each tenant."""
        self.core, self.layered, self.check, self.adopt = core, layered, check, adopt
        self._applied_entries: dict[Key, bytes] = {}  # of the table that was last passed to ``apply``
        # Operations that could not be applied yet, the latest for each resource: a later version may make them valid.
        self._rejected: dict[Key, Operation] = {}

    def apply(self, version: Version | None, table: Table) -> str:
        """Applies a version, or (None) a table that replaces the whole of the last one. Returns why the core cannot
        apply it, or an empty string."""
        operations = list(version.operations) if version is not None else diff_table(self._applied_entries, table)
        self._applied_entries = table.entries
        pending = self._rejected | {(operation.kind, operation.name): operation for operation in operations}
        reason = self._put_in_force(pending)
        subject = "a whole table" if version is None else f"version {version.number} (proposed at {version.by})"
        if reason:
            log.error(
                "control: %s cannot be applied to this node: %s; it takes no work until a later version can be "
                "applied, or its own settings file is corrected and reloaded with SIGHUP",
                subject,
                reason,
            )
        else:
            self.core.counters["control_switches"] += 1
            log.info("control: %s is in force here, %d operations", subject, len(operations))
        return reason

    def _put_in_force(self, pending: dict[Key, Operation]) -> str:
        try:
            rebuilt = self.layered.apply(pending.values(), self.check)
        except ValueError as error:
            self._rejected = pending
            return str(error)
        self._rejected = {}
        if rebuilt:
            self.adopt(self.layered.settings, self.layered.active_class_indexes, self.layered.tenant_indexes)
        else:
            self.core.tenants_changed()
        return ""

    def replace_node_settings(self, layered: LayeredSettings) -> None:
        """Uses settings whose base file was reloaded; ``layered`` already has the whole table applied on top of it."""
        self.layered, self._rejected = layered, {}
        self.adopt(layered.settings, layered.active_class_indexes, layered.tenant_indexes)


class ControlAgentRunner:
    """Runs the node agent in the core's event loop, and makes the core take work only while the agent may serve."""

    def __init__(self, core: Core, agent: Agent, upstream: Upstream, store: Store | None) -> None:
        self.core, self.agent = core, agent
        self.driver = AgentDriver(core.event_loop, agent, upstream, store=store, after_outputs=self.update_readiness)
        core.counters["control_version"], core.counters["control_age_s"] = agent.number, 0
        core.readiness.lease_expired = True  # until the agent may serve
        core.readiness.refresh()

    def start(self) -> None:
        self.driver.start()
        self._check_readiness()

    def _check_readiness(self) -> None:
        self.core.event_loop.call_after(READINESS_INTERVAL_US, self._check_readiness)
        self.update_readiness()

    def update_readiness(self) -> None:
        """Makes the core take work or refuse it, depending on whether the agent may serve."""
        agent, core = self.agent, self.core
        core.counters["control_version"], core.counters["control_age_s"] = agent.number, self.age_s()
        not_serving = not agent.serving(core.clock.now_us)
        if not_serving == core.readiness.lease_expired:
            return
        if not_serving:
            log.warning(
                "control: version %d: this node takes no work: %s",
                agent.number,
                agent.not_serving_reason(core.clock.now_us),
            )
        else:
            log.info("control: version %d: this node takes work", agent.number)
        core.set_lease_expired(not_serving)

    def age_s(self) -> int:
        """Whole seconds since this node's version was last known to be the one in force."""
        return self.agent.unconfirmed_for_us(self.core.clock.now_us) // MICROSECONDS_PER_SECOND

    def status(self) -> dict[str, Any]:
        """The control status that the admin address serves."""
        self.core.event_loop.begin_iteration()
        return asdict(self.agent.status(self.core.clock.now_us)) | {"age_s": self.age_s()}
