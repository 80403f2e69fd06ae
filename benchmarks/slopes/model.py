"""What a probe gives: series of measurements, each with the size that is planned for and its budget."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from .fit import Fit, Point, fit

# The size that is planned for.
NODES = 5_000
CALLERS = 180_000
TENANTS = 630_000
ROUTES = 220_000
REQUESTS_A_SECOND = 700  # at one node: 3.5 million over all
CHANGES_A_SECOND = 36_000 / 86_400

# What a node may spend.
CONTROL_CORE_PERCENT = 3.3
CONTROL_MEMORY_MB = 64.0
CONTROL_KB_A_SECOND = 9.0
IN_FORCE_SECONDS = 18.0
ADDED_MS = 1.2


@dataclass(frozen=True)
class Budget:
    """The most that a cost may come to, and where that figure is from."""

    limit: float
    source: str


@dataclass(frozen=True)
class Series:
    """One cost by one size. ``full_size``: the planned size, if the cost has one; ``exact``: a count that is the same
    in every run, not a time."""

    what: str
    unit: str
    size_of: str  # what the size counts
    points: tuple[Point, ...]
    full_size: int | None = None
    budget: Budget | None = None
    exact: bool = False


@dataclass(frozen=True)
class Slope:
    """A series with its fit."""

    series: Series
    fit: Fit

    @property
    def at_full_size(self) -> float | None:
        """The cost at the planned size: as measured where that size was played, else by the fit."""
        series = self.series
        if series.full_size is None:
            return None
        for point in series.points:
            if point.size == series.full_size:
                return point.value
        return self.fit.at(series.full_size)

    @property
    def measured_at_full_size(self) -> bool:
        return any(point.size == self.series.full_size for point in self.series.points)

    @property
    def breaks_at(self) -> float | None:
        """The fraction of the planned size at which the cost reaches its budget: by the fit, between the largest size
        that was measured within the budget and the next."""
        series = self.series
        if series.budget is None or not series.full_size:
            return None
        limit = series.budget.limit
        over = [point.size for point in series.points if point.value >= limit]
        highest = min(over, default=inf)
        lowest = max((point.size for point in series.points if point.size < highest), default=0.0)
        return min(max(self.fit.reaches(limit), lowest), highest) / series.full_size


def slope_of(series: Series) -> Slope:
    return Slope(series, fit(series.points))


@dataclass(frozen=True)
class Probe:
    """One subject: ``run(quick)`` measures it, with small sizes where ``quick``."""

    name: str
    subject: str
    run: Callable[[bool], list[Series]]


class VoidRun(Exception):
    """The measurement did not keep up with its own schedule, so that its figures say nothing."""


def series(
    what: str,
    unit: str,
    size_of: str,
    points: dict[int, float],
    full_size: int | None = None,
    budget: Budget | None = None,
    exact: bool = False,
) -> Series:
    """A series from values by size."""
    return Series(
        what,
        unit,
        size_of,
        tuple(Point(size, value) for size, value in sorted(points.items())),
        full_size,
        budget,
        exact,
    )
