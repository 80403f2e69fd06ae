"""Exponentially decaying counts by bucket, independent of what is counted."""

from __future__ import annotations

RESCALE_THRESHOLD = 1e6  # weight of the newest count, relative to the first, above which all are scaled down


class RecentCounts:
    """Each count loses the share ``decay`` of its weight with every newer one. Instead of scaling all buckets down, the
    newest count gets a larger weight, so that the cost of a count does not depend on the number of buckets."""

    def __init__(self, bucket_count: int, decay: float) -> None:
        self._weights = [0.0] * bucket_count
        self._total, self._newest_weight, self._retained_share = 0.0, 1.0, 1.0 - decay

    def __len__(self) -> int:
        return len(self._weights)

    def add(self, bucket: int) -> None:
        self._newest_weight /= self._retained_share
        if self._newest_weight > RESCALE_THRESHOLD:
            self._weights = [weight / self._newest_weight for weight in self._weights]
            self._total, self._newest_weight = sum(self._weights), 1.0
        self._weights[bucket] += self._newest_weight
        self._total += self._newest_weight

    def share(self, first: int, last: int) -> float:
        """Share of the weight in buckets ``first`` to ``last``, 0 before the first count. Missing buckets are 0."""
        return sum(self._weights[max(0, first) : last + 1]) / self._total if self._total else 0.0
