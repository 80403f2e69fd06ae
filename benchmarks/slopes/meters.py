"""Processor time and memory of calls in this process, and of another process by its number."""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import TypeVar

Made = TypeVar("Made")

ROUNDS = 5
NANOSECONDS = 1_000


def processor_us(call: Callable[[], object], times: int = 1, rounds: int = ROUNDS) -> float:
    """Microseconds of processor time that one ``call`` takes: the least mean over ``rounds`` of ``times`` calls."""
    best = float("inf")
    gc.collect()
    gc.disable()
    try:
        for _ in range(rounds):
            begun = time.process_time_ns()
            for _ in range(times):
                call()
            best = min(best, (time.process_time_ns() - begun) / NANOSECONDS / times)
    finally:
        gc.enable()
    return best


def retained_bytes(make: Callable[[], Made]) -> tuple[Made, int]:
    """What ``make`` gives and the bytes that stay allocated for it, by tracemalloc."""
    gc.collect()
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        made = make()
        gc.collect()
        return made, tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


@dataclass(frozen=True)
class ProcessReading:
    """One look at a process: resident memory, descriptors and processor time so far."""

    resident_kb: int
    descriptors: int
    processor_us: float


def read_process(number: int) -> ProcessReading:
    """The system's own count for the process ``number``."""
    home = Path("/proc", str(number))
    resident = next(line for line in home.joinpath("status").read_text().splitlines() if line.startswith("VmRSS"))
    on_processor = int(home.joinpath("schedstat").read_text().split()[0])
    return ProcessReading(int(resident.split()[1]), len(os.listdir(home / "fd")), on_processor / NANOSECONDS)
