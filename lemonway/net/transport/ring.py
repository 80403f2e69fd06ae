"""A ring buffer of bytes with a fixed maximum, for the input and output of a connection."""

from __future__ import annotations


class RingBuffer:
    """A FIFO of bytes. The capacity starts at ``initial`` and doubles up to ``maximum``; ``write`` fails if the data
    does not fit, upon which the caller stops the peer."""

    __slots__ = ("_data", "_initial_size", "_head", "_size", "maximum")

    def __init__(self, maximum: int, initial: int = 1024) -> None:
        self.maximum = maximum
        self._initial_size = min(initial, maximum)
        self._data = bytearray(self._initial_size)
        self._head = self._size = 0

    def __len__(self) -> int:
        return self._size

    @property
    def room(self) -> int:
        return self.maximum - self._size

    def write(self, data: bytes) -> bool:
        """Append all of ``data``, or nothing if it does not fit. Returns whether it did."""
        needed = self._size + len(data)
        if needed > self.maximum:
            return False
        if needed > len(self._data):
            self._grow(needed)
        capacity = len(self._data)
        position = (self._head + self._size) % capacity
        end = position + len(data)
        if end <= capacity:
            self._data[position:end] = data
        else:
            self._data[position:] = data[: capacity - position]
            self._data[: end - capacity] = data[capacity - position :]
        self._size = needed
        return True

    def _grow(self, needed: int) -> None:
        capacity = len(self._data)
        while capacity < needed:
            capacity *= 2
        resized = bytearray(min(capacity, self.maximum))
        resized[: self._size] = self.peek(self._size)
        self._data, self._head = resized, 0

    def trim(self) -> None:
        """Shrink a capacity that a burst has left far too large, since many connections hold a buffer each."""
        if len(self._data) > 4 * self._initial_size and self._size <= self._initial_size:
            resized = bytearray(self._initial_size)
            resized[: self._size] = self.peek(self._size)
            self._data, self._head = resized, 0

    def peek(self, count: int, offset: int = 0) -> bytes:
        """Return up to ``count`` bytes from ``offset`` on without removing them."""
        count = min(count, self._size - offset)
        if count <= 0:
            return b""
        capacity = len(self._data)
        position = (self._head + offset) % capacity
        end = position + count
        if end <= capacity:
            return bytes(self._data[position:end])
        return bytes(self._data[position:] + self._data[: end - capacity])

    def skip(self, count: int) -> int:
        """Remove up to ``count`` bytes and return how many were removed."""
        count = min(count, self._size)
        self._size -= count
        self._head = (self._head + count) % len(self._data) if self._size else 0
        return count

    def read(self, count: int) -> bytes:
        data = self.peek(count)
        self.skip(len(data))
        return data

    def read_line(self, end: bytes, limit: int) -> bytes | None:
        """Remove and return the bytes before ``end``, and remove ``end``, if it lies within the first ``limit`` bytes;
        else return None."""
        length = self.find(end, limit)
        if length < 0:
            return None
        line = self.peek(length)
        self.skip(length + len(end))
        return line

    def find(self, needle: bytes, limit: int) -> int:
        """The index of ``needle`` if all of it lies within the first ``limit`` bytes, else -1."""
        limit = min(limit, self._size)
        first = min(limit, len(self._data) - self._head)
        found = self._data.find(needle, self._head, self._head + first)
        if found >= 0:
            return found - self._head
        if limit <= first:
            return -1
        overlap = len(needle) - 1  # the needle may lie across the end of the storage
        start = max(0, first - overlap)
        found = self.peek(limit - start, start).find(needle)
        return start + found if found >= 0 else -1
