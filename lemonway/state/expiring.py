"""A set of ids that expire, independent of what the ids stand for.

A heap next to a dictionary, so that removing expired ids costs by their number rather than by the size of the set. An
ordered dictionary would need ids in order of expiry, which differs where classes have windows of their own."""

from __future__ import annotations

from collections.abc import Container
from heapq import heappop, heappush


class ExpiringIds:
    """Ids, each with an expiry time in milliseconds."""

    def __init__(self) -> None:
        self._expiry_ms: dict[int, float] = {}
        self._heap: list[tuple[float, int]] = []  # may hold entries of dropped or renewed ids

    def __len__(self) -> int:
        return len(self._expiry_ms)

    def __contains__(self, ident: object) -> bool:
        return ident in self._expiry_ms

    def put(self, ident: int, expires_at_ms: float) -> None:
        self._expiry_ms[ident] = expires_at_ms
        heappush(self._heap, (expires_at_ms, ident))

    def drop(self, ident: int) -> None:
        self._expiry_ms.pop(ident, None)
        if len(self._heap) > 64 + 2 * len(self._expiry_ms):
            self._heap = sorted((expires_at_ms, kept_id) for kept_id, expires_at_ms in self._expiry_ms.items())

    def remove_expired(self, now_ms: float, exempt: Container[int]) -> None:
        """Remove the ids that expired by ``now_ms``, except those in ``exempt``, which stay until a later call."""
        exempted = []
        while self._heap and self._heap[0][0] <= now_ms:
            expires_at_ms, ident = heappop(self._heap)
            if self._expiry_ms.get(ident) != expires_at_ms:
                continue
            if ident in exempt:
                exempted.append((expires_at_ms, ident))
            else:
                del self._expiry_ms[ident]
        for entry in exempted:
            heappush(self._heap, entry)
