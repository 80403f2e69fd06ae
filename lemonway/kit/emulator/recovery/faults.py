"""Fault injection: which nodes a planned fault affects, and what it does at which time. Each fault has its own random
stream, so adding one changes no other."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from math import ceil
from typing import Protocol

import numpy as np

from ..virtual import Loop
from .supervisor import Supervisor

SECOND = 1_000_000
COMMAND_LOSS_US = 50_000  # a breaking link may lose the commands sent this long before (LATER, bad peers)


class FaultTarget(Protocol):
    """The operations that faults need besides starting and ending nodes, which the supervisor does."""

    def set_speed_factor(self, name: str, factor: float) -> None: ...

    def set_backend_state(self, state: str) -> None: ...

    def drop_pool_commands(self, name: str) -> None: ...

    def break_link(self, name: str) -> None: ...

    def restore_link(self, name: str) -> None: ...

    def reset(self, name: str) -> None: ...

    def reload(self, name: str) -> None: ...

    def pause(self, name: str, length: int) -> None: ...

    def partition(self, names: Sequence[str], length: int) -> None: ...

    def propose(self, name: str, settings: str) -> str: ...


@dataclass(frozen=True)
class PlannedFault:
    """A fault with its random figures already drawn. ``affected_share`` is the share of the tier's nodes affected;
    ``at_us``, ``length_us``, ``interval_us`` and ``stop_us`` are microseconds."""

    kind: str
    at_us: int
    length_us: int
    affected_share: float = 0.0
    size: float = 1.0
    tier: int = 0
    state: str = ""
    interval_us: int = 0
    stop_us: int = 3_200_000
    settings: str = ""


def random_subset(names: Sequence[str], part: float, rng: np.random.Generator) -> list[str]:
    """Draws a share of the names, at least one if the share is above 0, in random order."""
    count = min(len(names), ceil(part * len(names) - 1e-9))
    return [names[n] for n in rng.permutation(len(names))[:count]]


class FaultInjector:
    """Schedules planned faults on the event loop."""

    def __init__(self, loop: Loop, supervisor: Supervisor, target: FaultTarget, tiers: Sequence[Sequence[str]]) -> None:
        self.loop, self.supervisor, self.target, self.tiers = loop, supervisor, target, tiers
        self._slowdowns: dict[str, float] = {}
        self._handlers: dict[str, Callable[[PlannedFault, np.random.Generator], None]] = {
            "crash": self._crash,
            "slow": self._slow,
            "deploy": self._deploy,
            "link": self._link,
            "acervo": self._backend,
            "burst": self._burst,
            "reset": self._reset,
            "reload": self._reload,
            "pause": self._pause,
            "cut": self._cut,
            "policy": self._policy,
        }

    def schedule(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Schedules the fault; ``rng`` is used when it takes place."""
        self.loop.at(plan.at_us, self._handlers[plan.kind], plan, rng)

    def _burst(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Only records the burst: the traffic was drawn with it."""
        self.supervisor.record_event(f"burst to {plan.size:.2f} times for {plan.length_us / SECOND:.1f} s")

    def _crash(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        crashed_count = self.supervisor.crash(names, plan.length_us)
        self.supervisor.record_event(
            f"{crashed_count} nodes die ({', '.join(names)}), back cold after {plan.length_us / SECOND:.1f} s"
        )

    def _slow(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        self.supervisor.record_event(
            f"{', '.join(names)} run {plan.size:.1f} times slower for {plan.length_us / SECOND:.1f} s"
        )
        for name in names:
            self._begin_slowdown(name, plan.size)
        self.loop.after(plan.length_us, self._end_slowdown, names, plan.size)

    def _begin_slowdown(self, name: str, slowdown_factor: float) -> None:
        self._slowdowns[name] = self._slowdowns.get(name, 1.0) * slowdown_factor
        self.target.set_speed_factor(name, 1.0 / self._slowdowns[name])

    def _end_slowdown(self, names: Sequence[str], slowdown_factor: float) -> None:
        for name in names:
            self._slowdowns[name] /= slowdown_factor
            self.target.set_speed_factor(name, 1.0 / self._slowdowns[name])

    def _deploy(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        batch_size = max(1, int(plan.size * len(self.tiers[plan.tier]) + 1e-9))
        batch_count = ceil(len(names) / batch_size)
        interval_us = plan.interval_us or max(1, plan.length_us // max(1, batch_count))
        self.supervisor.record_event(
            f"rolling deploy of {len(names)} nodes, {batch_size} at a time, one lot each {interval_us / SECOND:.1f} s"
        )
        self.supervisor.roll(names, batch_size, interval_us, plan.stop_us)

    def _link(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Breaks the links to the pools of some nodes, at a random time in each interval; half of the breaks also lose
        the commands of the last 50 ms."""
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        self.supervisor.record_event(
            f"links to the pools of {', '.join(names)} break for {plan.length_us / SECOND:.1f} s"
        )
        interval_us, at_us = plan.interval_us or SECOND, 0
        while at_us < plan.length_us:
            for name in names:
                break_at_us = at_us + int(rng.random() * interval_us)
                if rng.random() < 0.5:
                    self.loop.after(max(0, break_at_us - COMMAND_LOSS_US), self.target.drop_pool_commands, name)
                self.loop.after(break_at_us, self.target.break_link, name)
                self.loop.after(break_at_us + int(20_000 + rng.random() * 200_000), self.target.restore_link, name)
            at_us += interval_us

    def _reset(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Routers reset their connections to some nodes, at a random time in each interval."""
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        self.supervisor.record_event(f"connections to {', '.join(names)} are reset for {plan.length_us / SECOND:.1f} s")
        for at_us in range(0, plan.length_us, plan.interval_us):
            for name in names:
                self.loop.after(at_us + int(rng.random() * plan.interval_us), self.target.reset, name)

    def _reload(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Some nodes get new link addresses and SIGHUP, at a random time in each interval."""
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        self.supervisor.record_event(f"new addresses for {', '.join(names)} for {plan.length_us / SECOND:.1f} s")
        for at_us in range(0, plan.length_us, plan.interval_us):
            for name in names:
                self.loop.after(at_us + int(rng.random() * plan.interval_us), self.target.reload, name)

    def _pause(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Some nodes' processes are paused for ``size`` milliseconds, at a random time in each interval."""
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        self.supervisor.record_event(
            f"{', '.join(names)} stand still {plan.size:.0f} ms at a time for {plan.length_us / SECOND:.1f} s"
        )
        for at_us in range(0, plan.length_us, plan.interval_us):
            for name in names:
                self.loop.after(
                    at_us + int(rng.random() * plan.interval_us), self.target.pause, name, int(plan.size * 1000)
                )

    def _cut(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        names = random_subset(self.tiers[plan.tier], plan.affected_share, rng)
        self.supervisor.record_event(
            f"{len(names)} nodes and the others do not hear each other for {plan.length_us / SECOND:.1f} s"
        )
        self.target.partition(names, plan.length_us)

    def _policy(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        """Proposes the change at the first available node, in random order."""
        for name in random_subset(self.tiers[0], 1.0, rng):
            if reply := self.target.propose(name, plan.settings):
                self.supervisor.record_event(f"a change of policy is proposed at {name}: {reply}")
                return

    def _backend(self, plan: PlannedFault, rng: np.random.Generator) -> None:
        self.supervisor.record_event(f"acervo: {plan.state} for {plan.length_us / SECOND:.1f} s")
        self.target.set_backend_state(plan.state)
        self.loop.after(plan.length_us, self.target.set_backend_state, "ok")
