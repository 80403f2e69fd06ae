"""Compares two arms seed by seed. Pure: figures in, numbers out.

Differences are paired, since a seed draws the same machines, traffic and faults for both. The interval is a BCa
bootstrap of their mean (Efron 1987, ``scipy.stats.bootstrap``); the number of seeds needed is that of a paired test at
5% with a power of 80%, by the normal approximation."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from math import ceil
from statistics import fmean, stdev

import numpy as np
from scipy import stats

LEAST = 5  # pairs from which an interval is given
RESAMPLES = 5000


@dataclass(frozen=True)
class Difference:
    """``low`` and ``high`` bound the mean difference (95%); None where there are too few pairs."""

    pairs: int
    mean: float
    low: float | None
    high: float | None
    spread: float

    @property
    def shown(self) -> bool:
        return self.low is not None and self.high is not None and (self.low > 0 or self.high < 0)

    def seeds_for(self, difference: float) -> int | None:
        """Seeds needed to tell such a mean difference; None where nothing varies."""
        if difference <= 0 or self.pairs < 2:
            return None
        z = float(stats.norm.ppf(0.975) + stats.norm.ppf(0.8))
        return max(2, ceil((z * self.spread / difference) ** 2))

    def words(self) -> str:
        if self.low is None or self.high is None:
            return f"{self.mean:+.4f} over {self.pairs} seeds: too few to tell"
        verdict = "" if self.shown else "; no difference shown"
        return f"{self.mean:+.4f} ({self.low:+.4f} to {self.high:+.4f}) over {self.pairs} seeds{verdict}"


def compare(a: dict[int, float], b: dict[int, float]) -> Difference:
    """``b`` less ``a``, of the seeds that both have."""
    rows = [b[seed] - a[seed] for seed in sorted(a.keys() & b.keys())]
    if not rows:
        return Difference(0, 0.0, None, None, 0.0)
    mean, spread = fmean(rows), stdev(rows) if len(rows) > 1 else 0.0
    if len(rows) < LEAST:
        return Difference(len(rows), mean, None, None, spread)
    low, high = interval(rows)
    return Difference(len(rows), mean, low, high, spread)


def interval(rows: Sequence[float]) -> tuple[float, float]:
    """Of the mean, 95%."""
    if len(rows) < 2 or max(rows) - min(rows) < 1e-12:
        return rows[0], rows[0]
    found = stats.bootstrap(
        (np.array(rows),), np.mean, n_resamples=RESAMPLES, method="BCa", random_state=np.random.default_rng(0)
    ).confidence_interval
    return float(found.low), float(found.high)
