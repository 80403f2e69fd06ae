"""Resources, the operations of a change, and the table that they make."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

import msgspec
from xxhash import xxh3_128_intdigest

KINDS = ("class", "tenant", "route", "limit")
NAME_MOST = 256  # characters of a resource's name
VALUE_MOST = 16 << 10  # bytes of a resource's value
CONTENT_MODULUS = 1 << 128
ENTRY_BYTES = 150  # what an entry costs beside its name and value, roughly

Key = tuple[str, str]  # kind, name


class Put(msgspec.Struct, frozen=True, array_like=True, tag="put"):
    """The resource has this value (JSON) from now on."""

    kind: str
    name: str
    value: bytes


class Delete(msgspec.Struct, frozen=True, array_like=True, tag="del"):
    """The resource is no more. Deleting what is not there is no error."""

    kind: str
    name: str


Operation = Put | Delete


class ResourceError(ValueError):
    """An operation that no table takes; the text names it and says why."""


def check(operations: Iterable[Operation]) -> None:
    """Raises ``ResourceError`` for the first operation that is malformed, whatever it means for a node."""
    for at, operation in enumerate(operations):
        place = f"operations.{at}"
        if operation.kind not in KINDS:
            raise ResourceError(f"{place}.kind: {operation.kind!r} is none of {', '.join(KINDS)}")
        if not 0 < len(operation.name) <= NAME_MOST:
            raise ResourceError(f"{place}.name: {len(operation.name)} characters, 1 to {NAME_MOST} wanted")
        if isinstance(operation, Put):
            _check_value(place, operation.value)


def _check_value(place: str, value: bytes) -> None:
    if len(value) > VALUE_MOST:
        raise ResourceError(f"{place}.value: {len(value)} bytes, {VALUE_MOST} at most")
    try:
        msgspec.json.decode(value)
    except (msgspec.DecodeError, RecursionError) as error:
        raise ResourceError(f"{place}.value: not JSON: {error}") from None


def _content_hash(kind: str, name: str, value: bytes) -> int:
    return xxh3_128_intdigest(f"{kind}\0{name}\0".encode() + value)


class Table:
    """All resources at one version. A change costs its own size, whatever the size of the table."""

    def __init__(self) -> None:
        self.entries: dict[Key, bytes] = {}
        self.content = 0  # digest of the content: the sum of the entries' hashes, whatever their order
        self.bytes = 0  # an estimate of what the entries take

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, kind: str, name: str) -> bytes | None:
        """The resource's value (JSON), if there is such a resource."""
        return self.entries.get((kind, name))

    def copy(self) -> Table:
        """A table of its own with the same resources; their values are shared."""
        made = Table()
        made.entries, made.content, made.bytes = dict(self.entries), self.content, self.bytes
        return made

    def apply(self, operations: Iterable[Operation]) -> None:
        """Carry out operations that ``check`` has passed."""
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
        """How much ``bytes`` grows at most by these operations, each taken by itself."""
        grown = 0
        for operation in operations:
            old = self.entries.get((operation.kind, operation.name))
            if old is not None:
                grown -= ENTRY_BYTES + len(operation.name) + len(old)
            if isinstance(operation, Put):
                grown += ENTRY_BYTES + len(operation.name) + len(operation.value)
        return grown

    def resources(self) -> Iterator[Put]:
        """Every resource, as the operation that would make it."""
        for (kind, name), value in self.entries.items():
            yield Put(kind, name, value)
