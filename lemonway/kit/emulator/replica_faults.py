"""Requests and faults of simulated replicas: the amount of each in a mix, and the schedule that a seed draws."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

from .fault_day import MS, Event, sort_events


@dataclass(frozen=True)
class Mix:
    """The number of requests and faults in a day; times are in microseconds."""

    peers: int = 5
    group_size: int = 3
    keys: int = 20
    tries: int = 150
    length: int = 3000 * MS
    window: int = 20_000 * MS  # idempotency window of a key; shorter than the day in the mixes where windows expire
    drop: float = 0.05
    delay: tuple[int, int] = (100, 3 * MS)
    crashes: int = 2
    cuts: int = 2
    one_way: int = 1
    stops: int = 1  # a node is paused and resumed
    holds: int = 1  # all messages of one link are delayed and delivered together
    skew: int = 200 * MS  # the nodes' clocks differ by up to this
    catches_up_after_restart: bool = (
        True  # False: a restarted node votes without catching up; verifies that the check detects it
    )
    joins: int = 0  # nodes added by a change of the peer list, which also removes as many
    burst: int = 0  # if not 0, the tries of a key arrive within this time of each other

    @property
    def names(self) -> list[str]:
        """The names of the nodes at the start of a day."""
        return [f"n{number}" for number in range(self.peers)]


MIXES = {
    "some": Mix(),
    "rough": Mix(drop=0.2, crashes=4, cuts=4, one_way=2, stops=2, holds=3),
    "cut": Mix(crashes=0, cuts=6, one_way=4),
    "crash": Mix(crashes=8, cuts=0, one_way=0),
    "five": Mix(peers=7, group_size=5, crashes=4, cuts=3, stops=2),
    "bursts": Mix(keys=40, tries=200, burst=8 * MS, drop=0.15, crashes=3),
    "new-list": Mix(joins=1, crashes=0, cuts=6, one_way=4, keys=60, tries=400, length=1500 * MS),
    "new-list-short": Mix(joins=2, window=500 * MS, skew=100 * MS, crashes=2, length=5000 * MS, keys=6, tries=300),
    "short-windows": Mix(window=700 * MS, crashes=4, cuts=3, length=4000 * MS, keys=6),
}


def schedule(seed: int, mix: Mix) -> list[Event]:
    """The requests and faults of a day, sorted by time."""
    rng = random.Random(f"schedule/{seed}")
    names = mix.names
    events: list[tuple[int, str, tuple[Any, ...]]] = []
    if mix.joins:
        # Departing nodes stop first; the others get the new list at different times, and joining nodes start with it.
        leaving, joining = names[: mix.joins], [f"n{mix.peers + i}" for i in range(mix.joins)]
        change_at = rng.randrange(200 * MS, mix.length // 3)
        events += [(change_at - 100 * MS, "leave", (name,)) for name in leaving]
        new_list = tuple(names[mix.joins :] + joining)
        events += [(change_at + rng.randrange(500) * MS, "list", (name, new_list)) for name in new_list]
        names = [*names, *joining]

    def random_time() -> int:
        return rng.randrange(mix.length)

    first_try_at = [random_time() for _ in range(mix.keys)]
    for number in range(mix.tries):
        key = rng.randrange(mix.keys)
        at_us = first_try_at[key] + rng.randrange(mix.burst) if mix.burst else random_time()
        events.append((at_us, "try", (rng.choice(names), f"k{key}", number)))
    for _ in range(mix.crashes):
        events.append((random_time(), "crash", (rng.choice(names), rng.randrange(20, 400) * MS)))
    for one_way in [False] * mix.cuts + [True] * mix.one_way:
        side = tuple(sorted(rng.sample(names, rng.randrange(1, mix.peers))))
        events.append((random_time(), "cut", (side, rng.randrange(100, 800) * MS, one_way)))
    for _ in range(mix.stops):
        events.append((random_time(), "stop", (rng.choice(names), rng.randrange(50, 900) * MS)))
    for _ in range(mix.holds):
        a, b = rng.sample(names, 2)
        events.append((random_time(), "hold", ((a, b), rng.randrange(50, 900) * MS)))
    return sort_events(events)
