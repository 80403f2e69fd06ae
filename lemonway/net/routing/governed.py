"""Applies the settings that the fleet agrees on, epoch by epoch, to this node's core, and stops the core from taking
work while the node cannot know which epoch is in force. The module does no I/O: messages are sent through ``Peers``.

The epoch changes between two steps of the admission policy, so that each step uses the settings of one epoch only.
Requests that are in flight at the switch keep their request class and deadline, and are decided by the new settings."""

from __future__ import annotations

import logging
from collections.abc import Callable
from typing import Any

from ...epochs.member import EpochMember
from ...epochs.messages import ApplyChange, Change, Message, Output, SaveState
from ..ports import Peers
from .core import Core

log = logging.getLogger(__name__)

MAX_LOGGED_FAULTS = 5  # failed writes that are logged; later ones are only counted
TICK_INTERVAL_US = 10_000  # between calls of the epochs' timers and checks of the lease


class PolicyEpochDriver:
    """Connects the epochs' decisions to the core: settings changes, and whether the node may take work."""

    def __init__(
        self,
        core: Core,
        epochs: EpochMember,
        peers: Peers,
        apply_change: Callable[[Change], str],
        persist: Callable[[bytes], None] | None = None,
    ) -> None:
        """``apply_change`` applies a committed change to the node; returns why that failed, or an empty string.
        ``persist`` writes state that has to survive a restart, where the node has a disk; raises ``OSError``."""
        self.core, self.epochs, self.peers, self.apply_change, self.persist = core, epochs, peers, apply_change, persist
        core.readiness.lease_expired = True  # until the epoch in force is known
        core.readiness.refresh()
        core.counters["policy_epoch"] = 0

    def start(self) -> None:
        self.core.event_loop.call_after(0, self._tick)

    @property
    def now_us(self) -> int:
        return self.core.clock.now_us

    def receive(self, sender: str, incarnation: int, message: Message) -> None:
        self.apply_outputs(self.epochs.receive(sender, incarnation, message, self.now_us))

    def propose(self, settings: bytes) -> str:
        """Returns the proposal's identifier. Raises ``ProposalInProgress`` while another proposal of this node is
        under way."""
        clock = self.core.clock
        ident, outputs = self.epochs.propose(settings, clock.to_unix_ms(clock.now_us), self.now_us)
        self.apply_outputs(outputs)
        return ident

    def abort(self) -> str:
        """Returns a description of what is being aborted; empty if there is nothing to abort."""
        clock = self.core.clock
        description, outputs = self.epochs.abort(clock.to_unix_ms(clock.now_us), self.now_us)
        self.apply_outputs(outputs)
        return description

    def apply_outputs(self, outputs: list[Output]) -> None:
        persisted = True
        for item in outputs:
            if isinstance(item, ApplyChange):
                self._switch_epoch(item.change)
            elif isinstance(item, SaveState):
                persisted = self._try_persist(item.data)
            elif persisted:  # after a failed write nothing is sent: a restart would forget the vote in it
                self.peers.send(item.to, item.message)

    def _try_persist(self, memory: bytes) -> bool:
        if self.persist is None:
            return True
        try:
            self.persist(memory)
        except OSError as error:
            self.epochs.on_save_failed()
            self.core.counters["policy_not_kept"] += 1
            if self.core.counters["policy_not_kept"] <= MAX_LOGGED_FAULTS:
                log.error("policy: state: %s; this node does not vote until it has rejoined the group", error)
            return False
        return True

    def _switch_epoch(self, change: Change) -> None:
        self.epochs.incompatibility = self.apply_change(change)
        self.core.counters["policy_epoch"] = change.number
        if self.epochs.incompatibility:
            self.core.counters["policy_unfit"] += 1
            log.error(
                "policy: epoch %d (%s, proposed at %s) cannot be applied to this node: %s; it takes no work until a "
                "later epoch can be applied, or its own settings file is corrected and reloaded with SIGHUP",
                change.number,
                change.change_id,
                change.proposed_by,
                self.epochs.incompatibility,
            )
            self._update_readiness()
        else:
            self.core.counters["policy_switches"] += 1
            log.info(
                "policy: epoch %d (%s, proposed at %s) is in force here",
                change.number,
                change.change_id,
                change.proposed_by,
            )

    def settings_reloaded(self) -> None:
        """Called after the node's own settings file was reloaded, with the epoch in force applied on top of it. Retries
        an epoch that could not be applied before."""
        if self.epochs.incompatibility:
            self._switch_epoch(self.epochs.committed)

    def _tick(self) -> None:
        self.core.event_loop.call_after(TICK_INTERVAL_US, self._tick)
        self.apply_outputs(self.epochs.tick(self.now_us))
        self._update_readiness()

    def _update_readiness(self) -> None:
        not_serving = not self.epochs.serving(self.now_us)
        if not_serving != self.core.readiness.lease_expired:
            self._log_readiness(not_serving)
            self.core.set_lease_expired(not_serving)

    def _log_readiness(self, not_serving: bool) -> None:
        if not_serving:
            log.warning(
                "policy: epoch %d: this node takes no work: %s",
                self.epochs.committed.number,
                self.epochs.not_serving_reason(self.now_us),
            )
        else:
            log.info("policy: epoch %d: this node takes work", self.epochs.committed.number)

    def status(self) -> dict[str, Any]:
        """The policy status that the admin address serves."""
        epochs, now_us = self.epochs, self.now_us
        return {
            "name": epochs.name,
            "epoch": epochs.committed.number,
            "decided": epochs.epoch,
            "change": epochs.committed.change_id,
            "by": epochs.committed.proposed_by,
            "serving": epochs.serving(now_us),
            "why_not": epochs.not_serving_reason(now_us),
            "lease_ms": max(0, epochs.lease_expires_at_us - now_us) // 1000,
            "lease_most_ms": epochs.lease_us // 1000,
            "nodes": epochs.node_statuses(now_us),
            "proposals": {
                ident: {"state": outcome.state, "epoch": outcome.number, "reason": outcome.reason}
                for ident, outcome in epochs.outcomes.items()
            },
            "history": [
                {
                    "epoch": past_change.number,
                    "change": past_change.change_id,
                    "committed": past_change.commit,
                    "reason": past_change.reason,
                    "by": past_change.proposed_by,
                    "at": past_change.proposed_at_ms,
                }
                for past_change in sorted(epochs.history.values(), key=lambda past_change: past_change.number)
            ],
        }
