"""The cold ramp of a next tier by number of processes that call it, in virtual time (kit/emulator/cold_tier.py)."""

from __future__ import annotations

from statistics import mean

from lemonway.kit.emulator.cold_tier import Outcome, simulate

from .model import NODES, Budget, Probe, Series, series

SIZES, QUICK_SIZES = (200, 1_000, 2_500, 5_000), (10, 20, 40, 80)
COLD_CALLS_A_NODE = 0.2  # calls a second that the cold tier survives for each calling process
FIXED_COLD_CALLS = 200.0  # the same for a tier that does not grow with its callers
WARM = 3.0  # times the cold budget: ``play``'s own figure
LOAD = 0.5  # calls that come, as a share of the warm budget
WAITING = 3  # calls that each process holds at its start
SEEDS = 3
SECONDS = 60


def ramps(processes: int, cold: float, paced: bool = True) -> list[Outcome]:
    """The start of all processes against a cold tier, by seed."""
    return [
        simulate(cold, processes, seed, paced=paced, load=LOAD, waiting=WAITING, length=SECONDS * 1_000_000)
        for seed in range(SEEDS)
    ]


def served_percent(found: list[Outcome], processes: int, cold: float) -> float:
    """Calls that were served within the time played, of those that waited at the start or came."""
    came = LOAD * WARM * cold * SECONDS + WAITING * processes
    return mean(each.served for each in found) / came * 100


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    peak: dict[int, float] = {}
    falls: dict[int, float] = {}
    served: dict[int, float] = {}
    fixed_peak: dict[int, float] = {}
    fixed_served: dict[int, float] = {}
    bare_falls: dict[int, float] = {}
    bare_served: dict[int, float] = {}
    for size in QUICK_SIZES if quick else SIZES:
        growing = COLD_CALLS_A_NODE * size
        found = ramps(size, growing)
        peak[size] = max(each.peak_share for each in found)
        served[size] = served_percent(found, size, growing)
        fixed = ramps(size, FIXED_COLD_CALLS)
        fixed_peak[size] = max(each.peak_share for each in fixed)
        fixed_served[size] = served_percent(fixed, size, FIXED_COLD_CALLS)
        falls[size] = sum(each.failures for each in found + fixed)
        bare = ramps(size, FIXED_COLD_CALLS, paced=False)
        bare_falls[size] = sum(each.failures for each in bare)
        bare_served[size] = served_percent(bare, size, FIXED_COLD_CALLS)
    unit = "calling processes"
    survives = Budget(1.0, "what the tier survives")
    percent = f"% of calls in {SECONDS} s"
    return [
        series("largest count, tier grows with the fleet", "of what is survived", unit, peak, NODES, survives),
        series("served, tier grows with the fleet", percent, unit, served, NODES),
        series("largest count, tier of 200 cold calls", "of what is survived", unit, fixed_peak, NODES, survives),
        series("served, tier of 200 cold calls", percent, unit, fixed_served, NODES),
        series("falls of both tiers, three seeds", "falls", unit, falls, NODES),
        series("falls without the pace, tier of 200 cold calls", "falls", unit, bare_falls, NODES),
        series("served without the pace, tier of 200 cold calls", percent, unit, bare_served, NODES),
    ]


PROBE = Probe("cold-ramp", "the cold ramp of a next tier by calling processes (virtual time)", run)
