"""Configuration resources, the operations that change them, and the table that holds them."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec
from xxhash import xxh3_128_intdigest

RESOURCE_KINDS = ("class", "tenant", "route", "limit")
MAX_NAME_CHARS = 256  # characters of a resource's name
MAX_VALUE_BYTES = 16 << 10  # bytes of a resource's value
CONTENT_MODULUS = 1 << 128
ENTRY_BYTES = 150  # approximate overhead of an entry, without its name and value

Key = tuple[str, str]  # kind, name


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """Sets the resource's value (JSON)."""

    kind: str
    name: str
    value: bytes


class Delete(msgspec.Struct, frozen=True, array_like=True, tag="del"):
    """Deletes the resource. Deleting one that does not exist is no error."""

    kind: str
    name: str


Operation = Put | Delete


class ResourceError(ValueError):
    """A malformed operation; the message gives its path and the reason."""


def check_operations(operations: Iterable[Operation]) -> None:
    """Check the form of the operations, not whether a node can apply them. Raises ``ResourceError`` for the first
    malformed one."""
    for index, operation in enumerate(operations):
        path = f"operations.{index}"
        if operation.kind not in RESOURCE_KINDS:
            raise ResourceError(f"{path}.kind: {operation.kind!r} is none of {', '.join(RESOURCE_KINDS)}")
        if not 0 < len(operation.name) <= MAX_NAME_CHARS:
            raise ResourceError(f"{path}.name: {len(operation.name)} characters, expected 1 to {MAX_NAME_CHARS}")
        if isinstance(operation, Put):
            _check_value(path, operation.value)


def _check_value(path: str, value: bytes) -> None:
    if len(value) > MAX_VALUE_BYTES:
        raise ResourceError(f"{path}.value: {len(value)} bytes, {MAX_VALUE_BYTES} at most")
    try:
        msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ResourceError(f"{path}.value: not JSON: {error}") from None


def _content_hash(kind: str, name: str, value: bytes) -> int:
    return xxh3_128_intdigest(f"{kind}\0{name}\0".encode() + value)


class Table:
    """All resources at one version. The cost of a change depends on its own size, not on that of the table."""

    def __init__(self) -> None:
        self.entries: dict[Key, bytes] = {}
        self.content = 0  # digest of the content: the sum of the entries' hashes, independent of their order
        self.bytes = 0  # estimated size of the entries

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, kind: str, name: str) -> bytes | None:
        """The resource's value (JSON), or ``None`` if there is no such resource."""
        return self.entries.get((kind, name))

    def copy(self) -> Table:
        """A shallow copy: an independent table that shares the values."""
        copied = Table()
        copied.entries, copied.content, copied.bytes = dict(self.entries), self.content, self.bytes
        return copied

    def apply(self, operations: Iterable[Operation]) -> None:
        """Apply operations that have passed ``check_operations``."""
        for operation in operations:
            self._remove((operation.kind, operation.name))
            if isinstance(operation, Put):
                self._add(operation)

    def _add(self, operation: Put) -> None:
        self.entries[operation.kind, operation.name] = operation.value
        self.content = (self.content + _content_hash(operation.kind, operation.name, operation.value)) % CONTENT_MODULUS
        self.bytes += ENTRY_BYTES + len(operation.name) + len(operation.value)

    def _remove(self, key: Key) -> None:
        value = self.entries.pop(key, None)
        if value is not None:
            self.content = (self.content - _content_hash(*key, value)) % CONTENT_MODULUS
            self.bytes -= ENTRY_BYTES + len(key[1]) + len(value)

    def growth(self, operations: Iterable[Operation]) -> int:
        """Upper bound of the growth of ``bytes`` by these operations, each compared with the current entry."""
        growth_bytes = 0
        for operation in operations:
            old_value = self.entries.get((operation.kind, operation.name))
            if old_value is not None:
                growth_bytes -= ENTRY_BYTES + len(operation.name) + len(old_value)
            if isinstance(operation, Put):
                growth_bytes += ENTRY_BYTES + len(operation.name) + len(operation.value)
        return growth_bytes

    def resources(self) -> Iterator[Put]:
        """Every resource, as the operation that sets it."""
        for (kind, name), value in self.entries.items():
            yield Put(kind, name, value)
