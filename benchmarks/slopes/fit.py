"""Least-squares fits of a cost by size, and the size at which a fit reaches a budget.

Residuals are relative: each point weighs by the inverse of its value, so that a small size counts as much as a large
one. A quadratic term is kept only where it shows (``QUADRATIC_SHARE``, ``QUADRATIC_GAIN``) and the cost grows with each
size: a parabola through scattered points of a cost that is flat would say anything past them."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from itertools import pairwise
from math import inf, sqrt

import numpy as np

QUADRATIC_SHARE = 0.1  # of the value at the largest size that the quadratic term must make up to be kept
QUADRATIC_GAIN = 0.5  # it must also bring the residual down to this share of the straight line's
FLOOR = 1e-9  # least value that a point is weighed by, as a share of the largest


@dataclass(frozen=True)
class Point:
    """One measurement: the cost ``value`` at ``size``."""

    size: float
    value: float


@dataclass(frozen=True)
class Fit:
    """``constant + per_unit * size + per_square * size**2``; ``residual`` is the relative root mean square error."""

    constant: float
    per_unit: float
    per_square: float
    residual: float

    def at(self, size: float) -> float:
        """The fitted cost at ``size``."""
        return self.constant + self.per_unit * size + self.per_square * size * size

    def reaches(self, value: float) -> float:
        """The least size of 0 or more at which the fitted cost is ``value`` or more; infinity if there is none."""
        if self.constant >= value:
            return 0.0
        if self.per_square <= 0:
            return (value - self.constant) / self.per_unit if self.per_unit > 0 else inf
        discriminant = self.per_unit**2 + 4 * self.per_square * (value - self.constant)
        return (sqrt(discriminant) - self.per_unit) / (2 * self.per_square)


def _least_squares(points: Sequence[Point], degree: int) -> Fit:
    sizes = np.array([point.size for point in points], dtype=float)
    values = np.array([point.value for point in points], dtype=float)
    weights = 1.0 / np.maximum(np.abs(values), max(float(np.max(np.abs(values))) * FLOOR, FLOOR))
    scale = float(np.max(sizes)) or 1.0
    columns = np.vander(sizes / scale, degree + 1, increasing=True)
    found, *_ = np.linalg.lstsq(columns * weights[:, None], values * weights, rcond=None)
    coefficients = [float(found[power]) / scale**power for power in range(degree + 1)] + [0.0, 0.0]
    errors = (columns @ found - values) * weights
    residual = float(np.sqrt(np.mean(errors**2)))
    return Fit(coefficients[0], coefficients[1], coefficients[2], residual)


def fit(points: Sequence[Point]) -> Fit:
    """A straight line through at least three ``points``, or a parabola where the quadratic term shows."""
    if len(points) < 3:
        raise ValueError(f"{len(points)} points, 3 needed for a fit")
    line = _least_squares(points, 1)
    if len(points) < 4:
        return line
    ordered = sorted(points, key=lambda point: point.size)
    largest = ordered[-1]
    if any(after.value <= before.value for before, after in pairwise(ordered)):
        return line
    parabola = _least_squares(points, 2)
    shows = parabola.per_square * largest.size**2 >= QUADRATIC_SHARE * abs(largest.value)
    return parabola if shows and parabola.residual <= QUADRATIC_GAIN * line.residual else line
