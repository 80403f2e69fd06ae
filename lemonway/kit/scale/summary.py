"""Figures of a scale run, slopes over several sizes, and the limits beyond which a run is void. Sans-I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import asdict, dataclass, field
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from .history import Propagation

IN_FORCE_BUDGET_S = 18.0  # budgets: docs/CAPACITY.md
NODE_CORE_SHARE_BUDGET = 0.033
NODE_MEMORY_BUDGET_MB = 64.0
NODE_KB_S_BUDGET = 9.0
CONTROL_CORE_SHARE_BUDGET = 1.0  # one process runs on one core
ADDED_P99_MS = 1.2

MAX_MEMORY_MB = 12_000.0
MAX_PROCESSES = 300
MAX_SEND_DELAY_MS = 10.0  # p99 delay of the requests of a phase from their scheduled time
MAX_WORKER_LAG_MS = 1_000.0  # p99 event-loop lag of a hollow worker in a second; in_force_s includes this lag
MAX_DRIVER_LAG_S = 0.5  # delay of a step of the schedule


@dataclass(frozen=True)
class InForce:
    """Seconds from the proposal of a change until the last node has it in force."""

    p50: float
    p99: float
    max: float


@dataclass(frozen=True)
class Cost:
    """Resources that one node or process uses for control. ``kb_s``: both directions, ``None`` if not measured."""

    core_share: float
    memory_mb: float
    kb_s: float | None


@dataclass(frozen=True)
class ControlCost(Cost):
    """Resources of one control process. ``clients``: number of its subscribers."""

    name: str
    clients: int


@dataclass(frozen=True)
class AddedLatency:
    """Latency in milliseconds that a node adds to a request, over ``requests`` requests."""

    p50: float
    p99: float
    p999: float
    requests: int


@dataclass(frozen=True)
class Slope:
    """A cost as a linear function of the number of hollow nodes. ``points``: (nodes, cost); ``per_unit``: ``None`` if
    only one size was run; ``breaks_at``: number of nodes at which ``budget`` is used up, ``None`` if it never is."""

    what: str
    unit: str
    points: list[tuple[float, float]]
    per_unit: float | None = None
    constant: float | None = None
    residual: float | None = None
    budget: float | None = None
    breaks_at: float | None = None


@dataclass
class Result:
    """Result of one run. ``in_force_s`` and ``added_ms``: phases with changes at the mean rate and in the burst;
    ``node`` and ``control``: phase at the mean rate. ``phases``: the same figures by phase; ``more``: further
    counts."""

    hollow: int
    real: int
    in_force_s: InForce | None
    node: Cost | None
    control: list[ControlCost]
    added_ms: AddedLatency | None
    slopes: list[Slope]
    violations: list[str]
    void: str | None
    seed: int = 0
    seconds: float = 0.0
    in_force_all_s: InForce | None = None  # over all phases, including those with faults
    table: dict[str, int] = field(default_factory=dict)
    added_quiet_ms: AddedLatency | None = None  # phase without changes, nodes with control
    added_bare_ms: AddedLatency | None = None  # nodes without control, same phases as added_ms
    real_node: Cost | None = None  # real node with control minus one without
    phases: dict[str, dict[str, Any]] = field(default_factory=dict)
    more: dict[str, Any] = field(default_factory=dict)

    def as_json(self) -> dict[str, Any]:
        """Return the result as JSON data, numbers rounded to five significant digits."""
        found: dict[str, Any] = _rounded(asdict(self))
        return found


def _rounded(value: Any) -> Any:
    if isinstance(value, float):
        return float(f"{value:.5g}")
    if isinstance(value, dict):
        return {key: _rounded(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [_rounded(each) for each in value]
    return value


def in_force_times(propagations: Iterable[Propagation]) -> InForce | None:
    """Summarize all changes. One that a node never applied is reported as a violation and is not counted here."""
    seconds = sorted(each.duration_us / 1e6 for each in propagations if each.duration_us is not None)
    if not seconds:
        return None
    p50, p99 = np.percentile(seconds, [50, 99], method="higher")
    return InForce(float(p50), float(p99), seconds[-1])


def added_latency(histogram: HdrHistogram) -> AddedLatency | None:
    """Summarize a histogram in microseconds."""
    count = int(histogram.get_total_count())
    if not count:
        return None
    p50, p99, p999 = (histogram.get_value_at_percentile(q) / 1000 for q in (50, 99, 99.9))
    return AddedLatency(p50, p99, p999, count)


def fit(points: Sequence[tuple[float, float]]) -> tuple[float, float, float]:
    """Return the constant, the cost per unit and the largest residual of a least-squares line."""
    x, y = np.array(points, dtype=float).T
    per_unit, constant = np.polyfit(x, y, 1)
    residual = np.abs(y - (constant + per_unit * x)).max()
    return float(constant), float(per_unit), float(residual)


def slope(what: str, unit: str, points: Sequence[tuple[float, float]], budget: float | None) -> Slope:
    """Fit a line through the points and compute where it reaches the budget."""
    ordered = sorted(points)
    if len({nodes for nodes, _ in ordered}) < 2:
        return Slope(what, unit, ordered, budget=budget)
    constant, per_unit, residual = fit(ordered)
    breaks_at = None
    if budget is not None and per_unit > 0:
        breaks_at = max(0.0, (budget - constant) / per_unit)
    return Slope(what, unit, ordered, per_unit, constant, residual, budget, breaks_at)


def _points(pick: Callable[[Result], float | None], results: Sequence[Result]) -> list[tuple[float, float]]:
    found = [(float(result.hollow), pick(result)) for result in results]
    return [(nodes, value) for nodes, value in found if value is not None]


def _highest_cost(result: Result, role: str, what: str) -> float | None:
    values = [getattr(each, what) for each in result.control if each.name.startswith(role)]
    return max(values, default=None)


def slopes(results: Sequence[Result]) -> list[Slope]:
    """Compute the slopes over all runs that are not void."""
    valid = [result for result in results if result.void is None]
    found = [
        slope(
            "in force p99",
            "s",
            _points(lambda r: None if r.in_force_s is None else r.in_force_s.p99, valid),
            IN_FORCE_BUDGET_S,
        )
    ]
    for what, unit, budget in (
        ("core_share", "core", NODE_CORE_SHARE_BUDGET),
        ("memory_mb", "MB", NODE_MEMORY_BUDGET_MB),
        ("kb_s", "kB/s", NODE_KB_S_BUDGET),
    ):
        found.append(
            slope(
                f"node {what}",
                unit,
                _points(lambda r, w=what: r.node and getattr(r.node, w), valid),  # type: ignore[misc]
                budget,
            )
        )
    for role in ("voter", "relay"):
        for what, unit, most in (
            ("core_share", "core", CONTROL_CORE_SHARE_BUDGET),
            ("memory_mb", "MB", None),
            ("kb_s", "kB/s", None),
        ):
            points = _points(lambda r, role=role, w=what: _highest_cost(r, role, w), valid)  # type: ignore[misc]
            found.append(slope(f"busiest {role} {what}", unit, points, most))
    return [each for each in found if each.points]


@dataclass
class Watchdog:
    """Limits of a run: ``void`` has the first reason why its results are not valid."""

    void: str | None = None
    must_stop: bool = False  # the run must end immediately
    max_memory_mb: float = 0.0  # the fields from here on hold the highest values seen
    max_processes: int = 0
    max_worker_lag_ms: float = 0.0
    max_driver_lag_s: float = 0.0
    max_cpu: dict[str, float] = field(default_factory=dict)  # by worker, in one second

    def mark_void(self, reason: str) -> None:
        self.void = self.void or reason

    def check_resources(self, memory_mb: float, processes: int) -> None:
        self.max_memory_mb, self.max_processes = max(self.max_memory_mb, memory_mb), max(self.max_processes, processes)
        if memory_mb > MAX_MEMORY_MB:
            self._stop(f"the run takes {memory_mb:.0f} MB, {MAX_MEMORY_MB:.0f} at most")
        if processes > MAX_PROCESSES:
            self._stop(f"the run has {processes} processes, {MAX_PROCESSES} at most")

    def _stop(self, reason: str) -> None:
        self.must_stop = True
        self.mark_void(reason)

    def check_worker(self, name: str, lag_p99_ms: float, cpu: float, traffic: bool) -> None:
        self.max_cpu[name] = max(self.max_cpu.get(name, 0.0), cpu)
        if traffic:
            return  # the delay of its requests is checked instead: ``check_send_delay``
        self.max_worker_lag_ms = max(self.max_worker_lag_ms, lag_p99_ms)
        if lag_p99_ms > MAX_WORKER_LAG_MS:
            self.mark_void(f"{name} was {lag_p99_ms:.0f} ms late, {MAX_WORKER_LAG_MS:.0f} at most")

    def check_send_delay(self, phase: str, late_p99_ms: float) -> None:
        if late_p99_ms > MAX_SEND_DELAY_MS:
            self.mark_void(f"{phase}: 1 request in 100 left {late_p99_ms:.1f} ms late, {MAX_SEND_DELAY_MS:.0f} at most")

    def check_driver(self, late_s: float) -> None:
        self.max_driver_lag_s = max(self.max_driver_lag_s, late_s)
        if late_s > MAX_DRIVER_LAG_S:
            self.mark_void(f"a step of the schedule was {late_s:.2f} s late, {MAX_DRIVER_LAG_S} at most")
