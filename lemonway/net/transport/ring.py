"""A byte ring with a fixed maximum: what a connection has read or has yet to write."""

from __future__ import annotations


class RingBuffer:
    """Bytes in order. The store starts small and doubles up to ``maximum``; a full ring takes nothing more,
    which is the caller's sign to stop the other side."""

    __slots__ = ("_data", "_first", "_head", "_size", "maximum")

    def __init__(self, maximum: int, first: int = 1024) -> None:
        self.maximum = maximum
        self._first = min(first, maximum)
        self._data = bytearray(self._first)
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        return self.maximum - self._size

    def write(self, data: bytes) -> bool:
        """Take all of ``data``, or nothing if it does not fit."""
        need = self._size + len(data)
        if need > self.maximum:
            return False
        if need > len(self._data):
            self._grow(need)
        store = len(self._data)
        at = (self._head + self._size) % store
        end = at + len(data)
        if end <= store:
            self._data[at:end] = data
        else:
            self._data[at:] = data[: store - at]
            self._data[: end - store] = data[store - at :]
        self._size = need
        return True

    def _grow(self, need: int) -> None:
        store = len(self._data)
        while store < need:
            store *= 2
        fresh = bytearray(min(store, self.maximum))
        fresh[: self._size] = self.peek(self._size)
        self._data, self._head = fresh, 0

    def trim(self) -> None:
        """Give back a store that a burst has left far too large: many connections hold one each."""
        if len(self._data) > 4 * self._first and self._size <= self._first:
            fresh = bytearray(self._first)
            fresh[: self._size] = self.peek(self._size)
            self._data, self._head = fresh, 0

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Up to ``count`` bytes from ``offset`` on, left in place."""
        count = min(count, self._size - offset)
        if count <= 0:
            return b""
        store = len(self._data)
        at = (self._head + offset) % store
        end = at + count
        if end <= store:
            return bytes(self._data[at:end])
        return bytes(self._data[at:] + self._data[: end - store])

    def skip(self, count: int) -> int:
        count = min(count, self._size)
        self._size -= count
        self._head = (self._head + count) % len(self._data) if self._size else 0
        return count

    def read(self, count: int) -> bytes:
        data = self.peek(count)
        self.skip(len(data))
        return data

    def read_line(self, end: bytes, limit: int) -> bytes | None:
        """The bytes before ``end``, both taken out, if it lies whole within the first ``limit`` bytes."""
        at = self.find(end, limit)
        if at < 0:
            return None
        line = self.peek(at)
        self.skip(at + len(end))
        return line

    def find(self, needle: bytes, limit: int) -> int:
        """Where ``needle`` starts, if it lies whole within the first ``limit`` bytes; else -1."""
        limit = min(limit, self._size)
        first = min(limit, len(self._data) - self._head)
        at = self._data.find(needle, self._head, self._head + first)
        if at >= 0:
            return at - self._head
        if limit <= first:
            return -1
        lap = len(needle) - 1  # a needle may lie across the seam
        start = max(0, first - lap)
        at = self.peek(limit - start, start).find(needle)
        return start + at if at >= 0 else -1
