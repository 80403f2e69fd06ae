"""The control group's table by resources: what the built form takes (``control.resources.Table``), and a sketch of the
compact form that a node could hold at the planned size: one open-addressed table of name hashes and packed figures,
without the names. The sketch measures memory and the cost of one change; no node uses it yet."""

from __future__ import annotations

import json

import numpy as np
from numpy.typing import NDArray
from xxhash import xxh3_64_intdigest

from lemonway.control.resources import Put, Table

from .meters import processor_us, retained_bytes
from .model import ADDED_MS, CONTROL_MEMORY_MB, ROUTES, TENANTS, Budget, Probe, Series, series

PLANNED = TENANTS + ROUTES
SIZES, QUICK_SIZES = (53_125, 106_250, 212_500, PLANNED), (100, 200, 400, 800)
CHANGES = 200  # of which one timing is the mean
LOAD = 0.85  # the most of the slots that may be taken
SLOT = np.dtype([("name", "u8"), ("content", "u8", 2), ("quota", "f4"), ("share", "f4")])


def tenant(number: int, quota: float = 5.0) -> Put:
    """One tenant of the size that a change has on the page."""
    value = json.dumps({"quotaRps": quota, "share": 0.01}).encode()
    return Put("tenant", f"tenant-{number:07d}", value)


def built_table(size: int) -> Table:
    """The form that nodes, relays and voters hold."""
    table = Table()
    table.apply(tenant(number) for number in range(size))
    return table


class CompactTable:
    """Sketch: for each resource the hash of its name, that of its content (128 bits, as the table's digest needs it
    when the entry is replaced) and two figures. Names that share a hash (one chance in 50 million at 850,000) would be
    refused by the voters."""

    def __init__(self, resources: int) -> None:
        slots = 1
        while slots * LOAD < resources:
            slots *= 2
        self.slots: NDArray[np.void] = np.zeros(slots, SLOT)
        self.names = self.slots["name"]
        self.mask = slots - 1

    def place(self, name: int) -> int:
        """Where the name is, or the free slot that it would take."""
        at = name & self.mask
        while self.names[at] not in (0, name):
            at = (at + 1) & self.mask
        return at

    def put(self, name: str, content: int, quota: float, share: float) -> None:
        """Add or replace a resource."""
        hashed = xxh3_64_intdigest(name.encode()) or 1
        self.slots[self.place(hashed)] = (hashed, (content >> 64, content & (1 << 64) - 1), quota, share)


def compact_table(size: int) -> CompactTable:
    """The sketch with so many tenants."""
    table = CompactTable(size)
    for number in range(size):
        table.put(f"tenant-{number:07d}", number, 5.0, 0.01)
    return table


def change_built(table: Table, size: int) -> None:
    """Give so many tenants other figures, one after another."""
    for number in range(CHANGES):
        table.apply((tenant(number * 37 % size, 9.0),))


def change_compact(table: CompactTable, size: int) -> None:
    """The same in the sketch."""
    for number in range(CHANGES):
        table.put(f"tenant-{number * 37 % size:07d}", number, 9.0, 0.02)


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    memory: dict[int, float] = {}
    change: dict[int, float] = {}
    compact_memory: dict[int, float] = {}
    compact_change: dict[int, float] = {}
    for size in QUICK_SIZES if quick else SIZES:
        table, taken = retained_bytes(lambda size=size: built_table(size))  # type: ignore[misc]
        memory[size] = taken / 1e6
        change[size] = processor_us(lambda table=table, size=size: change_built(table, size)) / CHANGES  # type: ignore[misc]
        sketch, taken = retained_bytes(lambda size=size: compact_table(size))  # type: ignore[misc]
        compact_memory[size] = taken / 1e6
        compact_change[size] = processor_us(lambda sketch=sketch, size=size: change_compact(sketch, size)) / CHANGES  # type: ignore[misc]
    budget, turn = Budget(CONTROL_MEMORY_MB, "control of a node"), Budget(1_000 * ADDED_MS, "added time")
    return [
        series("memory of the table", "MB", "resources", memory, PLANNED, budget),
        series("one change in the table", "us", "resources", change, PLANNED, turn),
        series("sketch, compact: memory", "MB", "resources", compact_memory, PLANNED, budget),
        series("sketch, compact: one change", "us", "resources", compact_change, PLANNED, turn),
    ]


PROBE = Probe("table", "the control group's table by resources", run)
