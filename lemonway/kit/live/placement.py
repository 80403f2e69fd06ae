"""Assigns cores and addresses to the processes of a rehearsal and limits a scenario's size for a machine. Pure
functions, independent of how processes are started."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from .watch import Bounds

PLACED_PARTS = ("routers", "machines", "acervo")  # parts that get a core of their own, in order of need


@dataclass(frozen=True)
class CoreAssignment:
    """CPU numbers by part, and for all nodes together; an empty list means any."""

    parts: dict[str, list[int]]
    nodes: list[int]


def assign_cores(cpus: Sequence[int]) -> CoreAssignment:
    """One core for each placed part and the rest for the nodes, if at least as many are left for them. With fewer cores
    the scheduler shares them, and the monitoring shows whether that was enough."""
    cpus = sorted(cpus)
    if len(cpus) < 2 * len(PLACED_PARTS):
        return CoreAssignment({}, [])
    return CoreAssignment({part: [cpus[n]] for n, part in enumerate(PLACED_PARTS)}, list(cpus[len(PLACED_PARTS) :]))


def subnet_address(pid: int) -> str:
    """The first address of a rehearsal's loopback subnet, derived from its process id so that concurrent rehearsals do
    not collide. The parts listen on this address, the nodes on those after it."""
    return f"127.{64 + pid // 64 % 64}.{pid % 64 * 4}.1"


def too_large_reason(nodes: int, rate: float, cpus: int, bounds: Bounds) -> str | None:
    """Why results of such a scenario can't be trusted on this machine, or None. ``rate`` is first tries a second."""
    if nodes > bounds.reach_nodes:
        return f"{nodes} nodes exceed the limit of {bounds.reach_nodes}"
    most = bounds.reach_rate * cpus
    if rate > most:
        return f"{rate:.0f} requests a second exceed the limit of {most:.0f} on {cpus} cores"
    return None
