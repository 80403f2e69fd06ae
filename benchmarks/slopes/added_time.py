"""The time that a node adds to a request on the ordinary path by rate: an open loop against a real node whose pool ends
each run at once, and the same against a stand-in that answers at once (what generator and loopback take by themselves).

The latency through the node holds two hops more and the stand-in pool's own time, so it is an upper bound of what the
node adds. The budget (``model.ADDED_MS``) holds for the planned rate alone and none is set against the other rates:
percentiles of a machine that is nearly idle are higher than those of one at work."""

from __future__ import annotations

import json
import subprocess
import sys
from dataclasses import dataclass

from .connections import OneNode, forget_ended, one_node
from .model import REQUESTS_A_SECOND, Budget, Probe, Series, VoidRun, series

RATES, QUICK_RATES = (100, 300, 500, 700), (50, 100, 150, 200)
SECONDS, QUICK_SECONDS = 10.0, 1.0
FLOOR_SECONDS = 4.0
CONNECTIONS = 20
LAG_P99_MS, LAG_MOST_MS = 0.5, 20.0  # a run whose generator was later than this is void
SERVED_LEAST = 0.99  # of the requests; a run in which more were turned away says nothing about the served path


@dataclass(frozen=True)
class Seen:
    """What one run of the generator saw, in milliseconds."""

    p50: float
    p99: float
    p999: float
    lag_p99: float
    lag_most: float
    served: float  # share of what was sent
    count: int


def void_reason(seen: Seen) -> str:
    """Why a run says nothing, or an empty string."""
    if seen.lag_p99 > LAG_P99_MS:
        return f"the generator's lag was {seen.lag_p99:.2f} ms at p99, {LAG_P99_MS} at most"
    if seen.lag_most > LAG_MOST_MS:
        return f"the generator's lag was {seen.lag_most:.1f} ms at most, {LAG_MOST_MS:g} is the bound"
    if seen.served < SERVED_LEAST:
        return f"{seen.served:.1%} of the requests were served, {SERVED_LEAST:.0%} wanted"
    return ""


def generator(port: int, rate: int, seconds: float) -> list[str]:
    """Its command line."""
    return [
        sys.executable,
        "-m",
        "benchmarks.slopes.open_loop",
        str(port),
        "--rate",
        str(rate),
        "--seconds",
        str(seconds),
        "--connections",
        str(CONNECTIONS),
    ]


def read_result(output: str) -> Seen:
    """What the generator printed."""
    found = json.loads(output)
    return Seen(
        found["latency"]["p50"],
        found["latency"]["p99"],
        found["latency"]["p999"],
        found["lag"]["p99"],
        found["lag"]["most"],
        found["words"].get("RESULT", 0) / found["sent"],
        found["count"],
    )


def checked(seen: Seen, what: str) -> Seen:
    """Raises ``VoidRun`` where the run says nothing."""
    if reason := void_reason(seen):
        raise VoidRun(f"{what}: {reason}")
    return seen


def through_node(node: OneNode, rate: int, seconds: float) -> Seen:
    """One open loop through the node, whose pool is turned by this process."""
    process = subprocess.Popen(generator(node.port, rate, seconds), stdout=subprocess.PIPE, text=True)
    while process.poll() is None:
        node.pack.reactor.iterate(0.002)
        forget_ended(node.node.pool)
    assert process.stdout is not None
    return checked(read_result(process.stdout.read()), f"{rate} a second")


def floor(rate: int, seconds: float) -> Seen:
    """The same against the stand-in that answers at once."""
    echo = subprocess.Popen([sys.executable, "-m", "benchmarks.slopes.echo"], stdout=subprocess.PIPE, text=True)
    try:
        assert echo.stdout is not None
        port = int(echo.stdout.readline())
        done = subprocess.run(generator(port, rate, seconds), stdout=subprocess.PIPE, text=True, check=True)
        return checked(read_result(done.stdout), f"the floor at {rate} a second")
    finally:
        echo.kill()
        echo.wait()


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    rates, seconds = (QUICK_RATES, QUICK_SECONDS) if quick else (RATES, SECONDS)
    floors = {rate: floor(rate, QUICK_SECONDS if quick else FLOOR_SECONDS) for rate in rates}
    with one_node() as node:
        found = {rate: through_node(node, rate, seconds) for rate in rates}
    unit = "requests a second"
    return [
        series(
            "through the node, p50", "ms", unit, {rate: seen.p50 for rate, seen in found.items()}, REQUESTS_A_SECOND
        ),
        series(
            "through the node, p99", "ms", unit, {rate: seen.p99 for rate, seen in found.items()}, REQUESTS_A_SECOND
        ),
        series(
            "through the node, p99.9", "ms", unit, {rate: seen.p999 for rate, seen in found.items()}, REQUESTS_A_SECOND
        ),
        series(
            "generator and loopback alone, p50",
            "ms",
            unit,
            {rate: seen.p50 for rate, seen in floors.items()},
            REQUESTS_A_SECOND,
        ),
        series(
            "generator and loopback alone, p99",
            "ms",
            unit,
            {rate: seen.p99 for rate, seen in floors.items()},
            REQUESTS_A_SECOND,
        ),
        series(
            "generator's lag, p99",
            "ms",
            unit,
            {rate: seen.lag_p99 for rate, seen in found.items()},
            REQUESTS_A_SECOND,
            Budget(LAG_P99_MS, "past it the run is void"),
        ),
    ]


PROBE = Probe("added-time", "time added on the ordinary path by rate (open loop, real processes)", run)
