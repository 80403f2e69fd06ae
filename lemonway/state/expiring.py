"""A table whose entries have a time from which they no longer matter. It must not know what they are.

A heap beside a dictionary: clearing out costs what has expired, not what is kept. Weighed: an ordered dictionary, which
needs times that come in order, and they don't where classes have spans of their own."""

from __future__ import annotations

from collections.abc import Container
from heapq import heappop, heappush


class Expiring:
    """Ids, each until a time in milliseconds."""

    def __init__(self) -> None:
        self._until: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []  # also of ids that are gone or have been given another time

    def __len__(self) -> int:
        return len(self._until)

    def __contains__(self, ident: object) -> bool:
        return ident in self._until

    def put(self, ident: int, until: float) -> None:
        self._until[ident] = until
        heappush(self._heap, (until, ident))

    def drop(self, ident: int) -> None:
        self._until.pop(ident, None)
        if len(self._heap) > 64 + 2 * len(self._until):
            self._heap = sorted((until, each) for each, until in self._until.items())

    def clear_out(self, now: float, but: Container[int]) -> None:
        """Forget what ended by ``now``, but not yet the ids in ``but``."""
        again = []
        while self._heap and self._heap[0][0] <= now:
            until, ident = heappop(self._heap)
            if self._until.get(ident) != until:
                continue
            if ident in but:
                again.append((until, ident))
            else:
                del self._until[ident]
        for entry in again:
            heappush(self._heap, entry)
