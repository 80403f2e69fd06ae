"""Counts what the node does for a request: Python calls by part, C calls, what would be system calls (reads, writes,
looks at the loop's timers), bytes copied, allocations, and what it keeps. The same figures in every run of one Python.

Weighed for allocations: memray counts every allocation of the interpreter with where it was made, and is exact;
tracemalloc sees only what is still alive; a hook on the allocator would be C of our own."""

from __future__ import annotations

import gc
import sys
import tempfile
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import asdict, dataclass, field
from pathlib import Path as File
from types import FrameType
from typing import Any

import lemonway
from lemonway.kit.emulator.wire import pipes
from lemonway.net.transport.ring import RingBuffer

from .paths import Path, Set

ROOT = str(File(lemonway.__file__).parent) + "/"
KIT = ROOT + "kit/"
WARM, COUNTED = 60, 200  # requests before the count, and in it


@dataclass
class Cost:
    """Of one request, in the mean."""

    front: str
    path: str
    in_hand: int
    body: int
    calls: float = 0.0
    c_calls: float = 0.0
    reads: float = 0.0
    writes: float = 0.0
    timers: float = 0.0
    copied: float = 0.0
    allocations: float = 0.0
    allocated: float = 0.0
    parts: dict[str, float] = field(default_factory=dict)  # Python calls by module

    @property
    def key(self) -> str:
        return f"{self.front}, {self.path}, {self.in_hand} in hand, {self.body} B"

    def data(self) -> dict[str, Any]:
        return {"key": self.key, **asdict(self)}


def stream(path: Path, ready: Set, body: bytes, count: int) -> None:
    """Send so many, evenly, and let them be answered."""
    gap = 1.0 / ready.rate
    for _ in range(count):
        path.send(ready, body)
        ready.stage.run(gap)


def settle(path: Path, in_hand: int, body: bytes) -> Set:
    """The stage with the path in its stride."""
    ready: Set = path.prepare(in_hand)
    stream(path, ready, body, max(WARM, 2 * in_hand))
    gc.collect()
    return ready


def check(path: Path, before: Counter[str], after: Counter[str], sent: int) -> None:
    """What was counted must be what the path is called."""
    got = after - before
    good = sum(got[word] for word in path.words)
    if good < 0.8 * sent or sum(got.values()) > 1.25 * good:
        raise RuntimeError(f"{path.front}, {path.name}: {sent} sent and {dict(got)} answered; wanted {path.words}")


def node_file(name: str) -> bool:
    return name.startswith(ROOT) and not name.startswith(KIT)


class Profile:
    """``sys.setprofile``'s function: counts calls that the node's code makes, and none of those round it."""

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.c_calls = 0
        self._mine: dict[Any, str] = {}

    def __call__(self, frame: FrameType, event: str, arg: Any) -> None:
        if event == "call":
            part = self.part(frame)
            if part:
                self.calls[part] += 1
        elif event == "c_call" and self.part(frame):
            self.c_calls += 1

    def part(self, frame: FrameType) -> str:
        """The module of the node that this code belongs to, "" for others."""
        code = frame.f_code
        found = self._mine.get(code)
        if found is None:
            name = code.co_filename
            found = self._mine[code] = name[len(ROOT) :].removesuffix(".py") if node_file(name) else ""
        return found


@contextmanager
def counting(seen: Counter[str], ready: Set) -> Iterator[None]:
    """Count what passes at the edges: reads and writes of the node's connections, timers asked of the reactor, bytes
    copied into and out of rings and joined for a write."""
    stage = ready.stage
    hand, write, ring_write, ring_peek = pipes.Endpoint._hand, pipes.Endpoint.write, RingBuffer.write, RingBuffer.peek
    later = stage.loop.callLater

    def counted_hand(end: pipes.Endpoint, data: bytes) -> None:
        if end.owner is stage:
            seen["reads"] += 1
        hand(end, data)

    def counted_write(end: pipes.Endpoint, data: bytes) -> None:
        if end.owner is stage and data:
            seen["writes"] += 1
        write(end, data)

    def counted_ring_write(ring: RingBuffer, data: bytes) -> bool:
        seen["copied"] += len(data)
        return ring_write(ring, data)

    def counted_peek(ring: RingBuffer, count: int, offset: int = 0) -> bytes:
        data = ring_peek(ring, count, offset)
        seen["copied"] += len(data)
        return data

    def counted_later(delay: float, call: Callable[..., Any], *args: Any) -> Any:
        if node_file(getattr(getattr(call, "__func__", call), "__code__", _NO_CODE).co_filename):
            seen["timers"] += 1
        return later(delay, call, *args)

    patches: list[tuple[Any, str, Any, Any]] = [
        (pipes.Endpoint, "_hand", counted_hand, hand),
        (pipes.Endpoint, "write", counted_write, write),
        (RingBuffer, "write", counted_ring_write, ring_write),
        (RingBuffer, "peek", counted_peek, ring_peek),
    ]
    for owner, name, mine, _ in patches:
        setattr(owner, name, mine)
    stage.loop.callLater = counted_later  # type: ignore[method-assign]
    try:
        yield
    finally:
        for owner, name, _, theirs in patches:
            setattr(owner, name, theirs)
        del stage.loop.callLater


class _NoCode:
    co_filename = ""


_NO_CODE = _NoCode()


def count(path: Path, in_hand: int, size: int, allocations: bool = True) -> Cost:
    """One path's cost: three like runs, one for each kind of count, since each kind would show in the others."""
    cost, body, number = Cost(path.front, path.name, in_hand, size), b"x" * size, COUNTED
    ready = settle(path, in_hand, body)
    before, profile = ready.answers(), Profile()
    sys.setprofile(profile)
    try:
        stream(path, ready, body, number)
    finally:
        sys.setprofile(None)
    check(path, before, ready.answers(), number)
    cost.calls, cost.c_calls = sum(profile.calls.values()) / number, profile.c_calls / number
    cost.parts = {part: calls / number for part, calls in sorted(profile.calls.items())}
    ready, seen = settle(path, in_hand, body), Counter[str]()
    with counting(seen, ready):
        stream(path, ready, body, number)
    cost.reads, cost.writes, cost.timers, cost.copied = (
        seen[name] / number for name in ("reads", "writes", "timers", "copied")
    )
    if allocations:
        cost.allocations, cost.allocated = allocated(path, in_hand, body, number)
    return cost


def allocated(path: Path, in_hand: int, body: bytes, number: int) -> tuple[float, float]:
    """Allocations that the node's code makes, and their bytes, a request."""
    import memray

    ready = settle(path, in_hand, body)
    with tempfile.TemporaryDirectory() as folder:
        file = File(folder) / "allocations.bin"
        with memray.Tracker(file, trace_python_allocators=True):
            stream(path, ready, body, number)
        many = size = 0
        with memray.FileReader(file) as reader:
            for record in reader.get_allocation_records():
                if record.allocator in FREES:
                    continue
                top = record.stack_trace(max_stacks=1)
                if top and node_file(top[0][1]):
                    many += record.n_allocations
                    size += record.size
    return many / number, size / number


FREES = (1, 5, 15)  # memray.AllocatorType: PYMALLOC_FREE, FREE, MUNMAP
