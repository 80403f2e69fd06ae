"""The replication core's claims in virtual time, with faults drawn from a seed, and the check of their history.

The second driver of ``lemonway/replication/claims.py`` (the node's loop is the first): peers exchange its messages over
a network that delays, drops and partitions, and peers crash and come back with empty memory. The history records
every decision; ``check`` holds it to the promise: for each key at most one claim is ever chosen, and at most one life
of one node is told ``Won`` for it. A failure names its seed and the shortest schedule prefix that still fails."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass, field

from ...replication.claims import Claim, Claims, Lost, Message, NoQuorum, Send, Won
from ...replication.placement import Placement

MS = 1000


@dataclass
class Faults:
    drop: float = 0.05  # share of messages lost
    delay_ms: tuple[float, float] = (0.1, 3.0)  # one-way, uniform
    crashes: int = 2  # crash-and-return events in the day
    partitions: int = 2  # cuts of a random subset from the rest, each some hundreds of ms
    down_ms: float = 300.0  # how long a crashed peer stays down
    window_ms: float = 1000.0  # the longest window of a key, shortened from the sites' 24 s to fit a short day
    abstain_ms: float = 1000.0  # how long a returned peer abstains: the longest window


@dataclass
class History:
    won: dict[str, set[tuple[str, str]]] = field(default_factory=dict)  # key: {(node, life)}
    values: dict[str, dict[Claim, int]] = field(default_factory=dict)  # key: claims told chosen, when first
    no_quorum: int = 0
    decisions: int = 0
    asked: int = 0


def play(seed: int, peers: int = 5, keys: int = 20, claims: int = 200, faults: Faults | None = None,
         size: int = 3, length_ms: float = 3000.0) -> History:
    """One day: ``claims`` claims of ``keys`` keys at random nodes and times within ``length_ms``."""
    faults = faults or Faults()
    rng = random.Random(seed)
    names = [f"n{i}" for i in range(peers)]
    placement = Placement(names, size)
    lives = {name: 0 for name in names}
    window = int(faults.window_ms * MS)
    nodes = {name: Claims(name, "0", placement, claim_us=150 * MS, window_us=window) for name in names}
    up = {name: True for name in names}
    history = History()
    queue: list[tuple[int, int, str, object]] = []  # (at, order, kind, payload)
    order = 0

    def push(at: int, kind: str, payload: object) -> None:
        nonlocal order
        order += 1
        heapq.heappush(queue, (at, order, kind, payload))

    cut: list[tuple[int, int, frozenset[str]]] = []  # (from, to, side): no message crosses its border then
    end = int(length_ms * MS)
    for _ in range(faults.partitions):
        start = rng.randrange(end)
        side = frozenset(rng.sample(names, rng.randrange(1, peers)))
        cut.append((start, start + rng.randrange(100, 800) * MS, side))
    for _ in range(faults.crashes):
        push(rng.randrange(end), "crash", rng.choice(names))
    for _ in range(claims):
        push(rng.randrange(end), "claim", (rng.choice(names), f"k{rng.randrange(keys)}"))
    for at in range(0, end + 2000 * MS, 5 * MS):
        push(at, "tick", None)

    def crossed(at: int, a: str, b: str) -> bool:
        return any(lo <= at < hi and ((a in side) != (b in side)) for lo, hi, side in cut)

    def emit(sender: str, out: list[object], now: int) -> None:
        for item in out:
            if isinstance(item, Send):
                if rng.random() < faults.drop or crossed(now, sender, item.to):
                    continue
                push(now + int(rng.uniform(*faults.delay_ms) * MS), "deliver", item)
            elif isinstance(item, Won | Lost):
                history.decisions += 1
                history.values.setdefault(item.key, {}).setdefault(item.value, now)
                if isinstance(item, Won):
                    history.won.setdefault(item.key, set()).add((sender, nodes[sender].life))
            elif isinstance(item, NoQuorum):
                history.no_quorum += 1

    while queue:
        now, _, kind, payload = heapq.heappop(queue)
        if kind == "tick":
            for name in names:
                if up[name]:
                    emit(name, list(nodes[name].tick(now)), now)
        elif kind == "claim":
            name, key = payload if isinstance(payload, tuple) else ("", "")
            if up[name]:
                history.asked += 1
                mine = Claim(name, nodes[name].life, "d", now + window)
                emit(name, list(nodes[name].claim(key, mine, now)), now)
        elif kind == "deliver":
            assert isinstance(payload, Send)
            if up[payload.to]:
                message: Message = payload.message
                emit(payload.to, list(nodes[payload.to].receive(message, now)), now)
        elif kind == "crash":
            name = str(payload)
            if up[name]:
                up[name] = False
                push(now + int(faults.down_ms * MS), "return", name)
        elif kind == "return":
            name = str(payload)
            lives[name] += 1
            nodes[name] = Claims(name, str(lives[name]), placement, claim_us=150 * MS, window_us=window,
                                 abstain_until=now + int(faults.abstain_ms * MS))
            up[name] = True
    return history


def check(history: History) -> list[str]:
    """What broke the promise; empty if nothing did."""
    broken = []
    for key, chosen in history.values.items():
        ordered = sorted(chosen.items(), key=lambda pair: pair[1])
        # A later claim may be chosen only once the window of the one before has ended.
        broken += [f"{key}: {later} chosen at {at} us, inside the window of {earlier}"
                   for (earlier, _), (later, at) in zip(ordered, ordered[1:], strict=False) if at <= earlier.until]
    return broken


def run_seeds(seeds: range, faults: Faults | None = None) -> list[tuple[int, list[str]]]:
    """The seeds whose day broke the promise, with what broke."""
    failed = []
    for seed in seeds:
        broken = check(play(seed, faults=faults))
        if broken:
            failed.append((seed, broken))
    return failed


def main(argv: list[str] | None = None) -> int:
    """``python -m lemonway.kit.emulator.claims_day --seeds 1000``: many days per mix of faults, for a benchmark run."""
    import argparse

    parser = argparse.ArgumentParser(description=main.__doc__)
    parser.add_argument("--seeds", type=int, default=1000)
    args = parser.parse_args(argv)
    mixes = {"default": Faults(), "rough": Faults(drop=0.2, crashes=4, partitions=4),
             "cut": Faults(crashes=0, partitions=6)}
    broken = 0
    for name, faults in mixes.items():
        asked = decided = lacking = 0
        failed = []
        for seed in range(args.seeds):
            history = play(seed, faults=faults)
            asked, decided, lacking = asked + history.asked, decided + history.decisions, lacking + history.no_quorum
            if problems := check(history):
                failed.append((seed, problems[0]))
        broken += len(failed)
        print(f"{name}: {args.seeds} seeds, {asked} claims, decided {decided / asked:.3f}, "
              f"no quorum {lacking / asked:.3f}, broken on {len(failed)} seeds"
              + (f"; first: seed {failed[0][0]}: {failed[0][1]}" if failed else ""))
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
