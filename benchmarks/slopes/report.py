"""A run of probes as data and as tables."""

from __future__ import annotations

import os
import platform
from dataclasses import asdict, dataclass, field
from math import isfinite
from typing import Any

from rich.console import Console
from rich.table import Table

from .model import Slope


@dataclass
class Run:
    """What one command measured. ``void``: by probe, why it gave no figures."""

    quick: bool
    load_before: tuple[float, float, float] = field(default_factory=os.getloadavg)
    slopes: dict[str, list[Slope]] = field(default_factory=dict)
    seconds: dict[str, float] = field(default_factory=dict)
    void: dict[str, str] = field(default_factory=dict)


def slope_data(probe: str, slope: Slope) -> dict[str, Any]:
    """One slope as JSON."""
    of, breaks = slope.series, slope.breaks_at
    return {
        "probe": probe,
        "what": of.what,
        "unit": of.unit,
        "size_of": of.size_of,
        "exact": of.exact,
        "points": [[point.size, point.value] for point in of.points],
        "constant": slope.fit.constant,
        "per_unit": slope.fit.per_unit,
        "per_square": slope.fit.per_square,
        "residual": slope.fit.residual,
        "full_size": of.full_size,
        "at_full_size": slope.at_full_size,
        "measured_at_full_size": slope.measured_at_full_size,
        "budget": None if of.budget is None else asdict(of.budget),
        "breaks_at": breaks if breaks is not None and isfinite(breaks) else None,
    }


def run_data(run: Run) -> dict[str, Any]:
    """A whole run as JSON."""
    return {
        "machine": {
            "cores": os.cpu_count(),
            "python": platform.python_version(),
            "load_before": run.load_before,
            "load_after": os.getloadavg(),
        },
        "quick": run.quick,
        "seconds": run.seconds,
        "void": run.void,
        "slopes": [slope_data(probe, slope) for probe, found in run.slopes.items() for slope in found],
    }


def _number(value: float | None) -> str:
    if value is None:
        return ""
    return f"{value:,.0f}" if abs(value) >= 1000 else f"{value:.3g}"


def _fraction(value: float | None) -> str:
    if value is None:
        return ""
    if not isfinite(value) or value > 10:
        return "over 10"
    return f"{value:.2%}" if value < 1 else f"{value:.2f}"


def table(subject: str, slopes: list[Slope]) -> Table:
    """The slopes of one subject."""
    made = Table(
        "what",
        "unit",
        "points (size: value)",
        "constant",
        "per unit",
        "n^2",
        "residual",
        "full size",
        "there",
        "budget",
        "breaks at",
        title=subject,
        title_justify="left",
    )
    for slope in slopes:
        of, fit = slope.series, slope.fit
        points = ", ".join(f"{_number(point.size)}: {_number(point.value)}" for point in of.points)
        there = _number(slope.at_full_size) + ("" if of.full_size is None or slope.measured_at_full_size else " *")
        made.add_row(
            of.what,
            f"{of.unit} by {of.size_of}",
            points,
            _number(fit.constant),
            f"{fit.per_unit:.3g}",
            f"{fit.per_square:.3g}" if fit.per_square else "",
            f"{fit.residual:.1%}",
            _number(of.full_size),
            there,
            "" if of.budget is None else _number(of.budget.limit),
            _fraction(slope.breaks_at),
        )
    return made


def ranking(run: Run, console: Console) -> None:
    """All slopes with a budget that break within ten times the planned size, the lowest fraction first."""
    found = [
        (slope.breaks_at, probe, slope)
        for probe, slopes in run.slopes.items()
        for slope in slopes
        if slope.breaks_at is not None and slope.breaks_at < 10
    ]
    made = Table(
        "breaks at", "probe", "what", "budget", title="ranked by the fraction of full size", title_justify="left"
    )
    for breaks, probe, slope in sorted(found, key=lambda row: row[0] or 0.0):
        budget = slope.series.budget
        assert budget is not None
        made.add_row(
            _fraction(breaks),
            probe,
            slope.series.what,
            f"{_number(budget.limit)} {slope.series.unit} ({budget.source})",
        )
    console.print(made)
