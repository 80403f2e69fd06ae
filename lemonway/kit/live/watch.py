"""Decides whether a part of a live rehearsal kept up with its schedule. ``Bounds`` and ``void_reason`` decide and are
pure; ``LagRecorder`` gathers one row a second; the readings of the system are at the end. Independent of what a part
does.

A driver that falls behind sends less load than the scenario asks for, and a node under less load looks better than it
is (coordinated omission; Schroeder, Wierman and Harchol-Balter, "Open Versus Closed", 2006). So lag never adjusts a
figure: past a bound, no figure is given."""

from __future__ import annotations

import json
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram
from pydantic import Field, ValidationError

from ..emulator.scenario import Model

LAG_HISTOGRAM_RANGE = (1, 60_000_000, 3)  # lowest and highest value in microseconds, significant digits


class Bounds(Model):
    """What a part or a node may be late by before the rehearsal is void; every figure of one second.
    ``deploy/live.json`` holds them, ``deploy/schema/live.schema.json`` is their schema."""

    lag_ms: float = Field(150.0, gt=0, description="the latest event against its schedule")
    lag_p99_ms: float = Field(40.0, gt=0, description="the 99th in 100 of the events against their schedule")
    cpu: float = Field(0.9, gt=0, le=1.0, description="share of a core that a part may use")
    wait: float = Field(0.35, gt=0, le=1.0, description="share of the second that a part may wait for a core")
    node_wait: float = Field(0.5, gt=0, le=1.0, description="share of the second that a node may wait for a core")
    blocked_ms: float = Field(150.0, gt=0, description="how long what is written may wait to be taken")
    reach_nodes: int = Field(48, ge=1, description="nodes that may be started without --force")
    reach_rate: float = Field(40.0, gt=0, description="requests a second and core of this machine, without --force")


class BoundsError(Exception):
    """An invalid bounds file; the message is one line that names the file and the key."""


def load_bounds(path: str | None) -> Bounds:
    """The bounds of a file, or the defaults. Raises ``BoundsError``."""
    if path is None:
        return Bounds()
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as error:
        raise BoundsError(f"{path}: {error.strerror}") from None
    except ValueError as error:
        raise BoundsError(f"{path}: not JSON: {error}") from None
    if isinstance(raw, dict):
        raw = {key: value for key, value in raw.items() if key != "$schema"}
    try:
        return Bounds.model_validate(raw, strict=True)
    except ValidationError as error:
        first = error.errors()[0]
        raise BoundsError(f"{path}: {'.'.join(map(str, first['loc'])) or 'the file'}: {first['msg']}") from None


def schema() -> dict[str, Any]:
    """The published JSON Schema of a bounds file."""
    model_schema = Bounds.model_json_schema()
    properties = {"$schema": {"type": "string"}, **model_schema["properties"]}
    return {
        **model_schema,
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "lemonway live bounds",
        "properties": properties,
    }


@dataclass
class Row:
    """One second of a part or a node. ``second`` counts from the start of the scenario and may be negative; ``cpu`` and
    ``wait`` (for a core) are shares of the second."""

    who: str
    second: int
    lag_ms: float = 0.0
    lag_p99_ms: float = 0.0
    events: int = 0
    cpu: float = 0.0
    wait: float = 0.0
    blocked_ms: float = 0.0
    node: bool = False
    waived: bool = False  # stopped or started by the scenario itself, so not judged

    def data(self) -> dict[str, Any]:
        return asdict(self)


def void_reason(row: Row, bounds: Bounds) -> str | None:
    """Why this second makes the rehearsal void, or None."""
    if row.waived:
        return None
    if row.node:
        if row.wait > bounds.node_wait:
            return f"{row.who} waited {row.wait:.2f} s for a core"
        if row.blocked_ms > bounds.blocked_ms:
            return f"{row.who} did not take what was sent for {row.blocked_ms:.0f} ms"
        return None
    if row.lag_ms > bounds.lag_ms:
        return f"{row.who} was {row.lag_ms:.0f} ms behind its schedule"
    if row.lag_p99_ms > bounds.lag_p99_ms:
        return f"{row.who} was {row.lag_p99_ms:.0f} ms behind its schedule for one event in a hundred"
    if row.blocked_ms > bounds.blocked_ms:
        return f"{row.who} could not send for {row.blocked_ms:.0f} ms"
    if row.cpu > bounds.cpu:
        return f"{row.who} used {row.cpu:.2f} of a core"
    if row.wait > bounds.wait:
        return f"{row.who} waited {row.wait:.2f} s for a core"
    return None


@dataclass
class Usage:
    """CPU seconds of a process so far, and seconds waiting for a core (0 where the system does not report it)."""

    cpu: float = 0.0
    wait: float = 0.0


@dataclass
class LagRecorder:
    """Gathers a part's rows. ``usage`` reads the CPU time that the process has used."""

    who: str
    usage: Callable[[], Usage]
    total_histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(*LAG_HISTOGRAM_RANGE))
    _second_histogram: HdrHistogram = field(default_factory=lambda: HdrHistogram(*LAG_HISTOGRAM_RANGE))
    _max_lag_us: int = 0
    _previous_usage: Usage = field(default_factory=Usage)
    _started_at: float = 0.0
    _blocked_ms: float = 0.0

    def start_second(self, used: Usage | None = None) -> None:
        """Start a new second, discarding what was recorded before. ``used`` is the usage so far, if already read."""
        self._previous_usage, self._started_at, self._max_lag_us, self._blocked_ms = (
            used or self.usage(),
            time.monotonic(),
            0,
            0.0,
        )
        self._second_histogram.reset()

    def record_lag(self, us: int) -> None:
        self._max_lag_us = max(self._max_lag_us, us)
        self._second_histogram.record_value(min(LAG_HISTOGRAM_RANGE[1], max(1, us)))

    def record_blocked(self, ms: float) -> None:
        self._blocked_ms = max(self._blocked_ms, ms)

    def finish_second(self, second: int) -> Row:
        """Close the current second and return its row."""
        used, now = self.usage(), time.monotonic()
        span = max(1e-3, now - self._started_at)
        count = int(self._second_histogram.get_total_count())
        p99 = self._second_histogram.get_value_at_percentile(99) / 1000 if count else 0.0
        row = Row(
            self.who,
            second,
            self._max_lag_us / 1000,
            p99,
            count,
            (used.cpu - self._previous_usage.cpu) / span,
            (used.wait - self._previous_usage.wait) / span,
            self._blocked_ms,
        )
        self.total_histogram.add(self._second_histogram)
        self.start_second(used)
        return row


# readings of the system


def own_usage() -> Usage:
    used = usage_of("self")
    return Usage(time.process_time(), used.wait if used else 0.0)


def usage_of(pid: int | str) -> Usage | None:
    """CPU time and core wait of a process's main thread from Linux's schedstat; None where it is not available."""
    try:
        with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
            cpu, wait, _ = file.read().split()
    except (OSError, ValueError):
        return None
    return Usage(int(cpu) / 1e9, int(wait) / 1e9)
