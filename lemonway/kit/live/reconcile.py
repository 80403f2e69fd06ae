"""Compares a node's own counters with what was observed of it from outside. Pure functions, independent of how either
was gathered."""

from __future__ import annotations

from collections import Counter
from collections.abc import Collection, Mapping

OBSERVED_COUNTERS = {  # what is observed: the node's counters whose sum must equal it
    "requests": ("requests", "failed_unread", "refused_unread"),
    "served": ("served",),
    "refused": ("refused", "refused_unread"),
    "failed": ("failed", "failed_unread"),
    "checks": ("checks",),
    "runs": ("spawned",),
}
ZERO_COUNTERS = {  # counters that must be 0 unless this disturbance occurred; "": always 0
    "bad_notices": "moved",
    "bad_replies": "spoilt",
    "stray_bytes": "spoilt",
    "half_frames": "paused",
    "bad_frames": "",
    "brain_faults": "",
    "action_faults": "",
    "loop_faults": "",
    "bad_txn": "",
    "bad_keys": "",
    "table_full": "",
}


def parse_counters(line: str) -> dict[str, int] | None:
    """The counters in a line of a node's log, or None if it is not a counter line."""
    head, _, rest = line.partition(" ")
    if head != "counters":
        return None
    counters = {}
    for pair in rest.split():
        name, equals, value = pair.partition("=")
        if equals and value.lstrip("-").isdigit():
            counters[name] = int(value)
    return counters


def differences(
    node: str, observed: Counter[str], reported: Mapping[str, int], disturbances: Collection[str]
) -> list[str]:
    """A message for each counter that differs from what was observed. ``disturbances`` are what was done to the node
    and may explain a difference: ``spoilt`` (invalid replies to its calls), ``moved`` (its links broke, so that
    commands and notices were lost or resent), ``reset`` (a router connection ended with requests in flight),
    ``paused``."""
    differences_found = []
    for kind, names in OBSERVED_COUNTERS.items():
        if (kind == "runs" and "moved" in disturbances) or (
            kind in ("served", "refused", "failed") and "reset" in disturbances
        ):
            continue
        reported_count = sum(reported.get(name, 0) for name in names)
        if kind in ("requests", "checks") and "reset" in disturbances and reported_count <= observed[kind]:
            continue  # data written just before a reset may never have been read
        if reported_count != observed[kind]:
            differences_found.append(
                f"{node}: {kind}: {observed[kind]} seen, {reported_count} counted ({' + '.join(names)})"
            )
    if "moved" not in disturbances:
        # A run that ends after its answer may count as a late end, whatever its outcome, so only bounds can be checked.
        fewest = reported.get("runs_ok", 0)
        most = fewest + reported.get("late_ends", 0)
        if not fewest <= observed["good runs"] <= most:
            differences_found.append(f"{node}: good runs: {observed['good runs']} seen, {fewest} to {most} counted")
    for name, expected_cause in ZERO_COUNTERS.items():
        if reported.get(name) and expected_cause not in disturbances:
            differences_found.append(f"{node}: {name} is {reported[name]}, without a disturbance that explains it")
    return differences_found
