"""Runs several node processes under faults drawn from a seed: ``python -m lemonway.kit.faults.day --seed 3``.

Tries with idempotency keys go to random nodes, most keys to several nodes at about the same time. Meanwhile nodes are
killed and restarted with empty memory, stopped and resumed, and links drop, delay, stall, break and are partitioned,
also in one direction only. Then the faults end, copies have to become equal, every answered key is read from every
node, and the history is checked (history.py). The seed determines the schedule; the timing of the processes is not
deterministic."""

from __future__ import annotations

import json
import random
import signal
from collections import Counter
from pathlib import Path
from typing import Any

from .day_runner import DayOutcome, day_parser, end_faults, exited_nodes, play_seeds, running_fleet
from .fleet import Fleet
from .history import History, check

KINDS = ("kill", "cut", "one-way", "stop", "stall", "sever", "lossy")
CATCH_UP_BOUND_S = 5.0  # seconds; such a day has few keys


def schedule(seed: int, names: list[str], seconds: float, faults: int, rate: float) -> list[tuple[float, str, Any]]:
    """The events (at, kind, arguments), sorted by time. At most one node at a time is paused or without its memory:
    other faults can delay its catch-up, and a second such node would cost a group its majority for a whole window."""
    rng = random.Random(f"day/{seed}")
    events: list[tuple[float, str, Any]] = []
    number = 0
    at = 0.0
    while at < seconds:
        for _ in range(rng.choice((1, 1, 2, 3))):
            events.append((at + rng.random() * 0.05, "try", (rng.choice(names), f"k{number}")))
        if number and rng.random() < 0.5:  # a duplicate of an older key
            events.append((at, "try", (rng.choice(names), f"k{rng.randrange(number)}")))
        number += 1
        at += rng.expovariate(rate / 2)
    down_until: dict[str, float] = {}
    for n in range(faults):
        start = (n + rng.random()) * seconds / faults
        length = rng.uniform(0.3, 0.9)
        kind = rng.choice(KINDS)
        down = [name for name, until in down_until.items() if until > start]
        up = [name for name in names if name not in down]
        if kind in ("kill", "stop") and down:
            kind = "sever"
        if kind in ("kill", "stop"):
            arguments: Any = rng.choice(up)
            down_until[arguments] = start + length + (2.5 if kind == "kill" else 0.3)
        elif kind in ("cut", "one-way"):
            arguments = sorted(rng.sample(names, rng.randrange(1, len(names))))
        elif kind in ("stall", "sever"):
            arguments = tuple(rng.sample(names, 2))
        else:
            arguments = (rng.uniform(0.05, 0.3), (0.0, rng.uniform(0.0, 0.03)))
        events.append((start, kind, (arguments, length)))
    return sorted(events, key=lambda e: (e[0], e[1], str(e[2])))


class Player:
    """Runs a schedule on a fleet in real time."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.restarted: list[str] = []  # killed nodes whose catch-up has not been checked yet

    def play(self, events: list[tuple[float, str, Any]], seconds: float) -> None:
        fleet, reactor = self.fleet, self.fleet.reactor
        for at, kind, arguments in events:
            reactor.callLater(at, self.start_event, kind, arguments)
        fleet.run_for(seconds + 1.0)
        fleet.note("the faults end")
        end_faults(fleet)
        for name in self.restarted:
            fleet.wait_until_caught_up(name)
        fleet.wait_for_answers()

    def start_event(self, kind: str, arguments: Any) -> None:
        fleet, net = self.fleet, self.fleet.net
        if kind == "try":
            fleet.ask(*arguments)
            return
        target, length = arguments
        fleet.note(f"{kind} {target} for {length:.2f} s")
        if kind == "kill":
            if target not in self.restarted:
                fleet.send_kill(target)
                self.restarted.append(target)
                fleet.reactor.callLater(length, fleet.restart, target)
            return
        if kind in ("cut", "one-way"):
            pairs = net.isolate(set(target), kind == "one-way")
            fleet.reactor.callLater(length, net.heal, pairs)
        elif kind == "stop":
            node = fleet.nodes[target]
            node.signal(signal.SIGSTOP)
            fleet.reactor.callLater(length, node.signal, signal.SIGCONT)
        elif kind == "stall":
            net.stall(target, True)
            fleet.reactor.callLater(length, net.stall, target, False)
        elif kind == "sever":
            net.disconnect(target)
        else:
            net.set_loss(*target)
            fleet.reactor.callLater(length, net.set_loss, 0.0, (0.0, 0.0))


def play(
    seed: int,
    nodes: int = 3,
    seconds: float = 6.0,
    faults: int = 8,
    rate: float = 40.0,
    folder: Path | None = None,
    replication: dict[str, Any] | None = None,
) -> tuple[History, list[str]]:
    """Run one day; return its history and the violations."""
    with running_fleet(
        lambda directory: Fleet(nodes, directory, seed, replication=replication), folder, "lemonway-faults-"
    ) as fleet:
        Player(fleet).play(schedule(seed, fleet.names, seconds, faults, rate), seconds)
        fleet.read_all_keys()
        return fleet.history, check(fleet.history, CATCH_UP_BOUND_S) + exited_nodes(fleet)


def summary(history: History) -> str:
    """The day in one line."""
    words = Counter(call.word or "no answer" for call in history.calls)
    return (
        f"{len(history.calls)} tries of {len({c.key for c in history.calls})} keys: "
        + ", ".join(f"{word} {count}" for word, count in sorted(words.items()))
        + f"; {len(history.runs)} runs, {len(history.last)} last questions, caught up in "
        + (", ".join(f"{took:.2f}" for took in history.catch_ups) or "-")
        + " s"
    )


def main(argv: list[str] | None = None) -> int:
    """Run the days that the options name. Returns 1 if any violated a guarantee."""
    parser = day_parser("python -m lemonway.kit.faults.day", __doc__, seconds=6.0, faults=8)
    parser.add_argument("--group", type=int, default=3)
    parser.add_argument("--rate", type=float, default=40.0, help="keyed tries a second")
    parser.add_argument("--history", type=Path, help="write the history to this file as JSON lines")
    args = parser.parse_args(argv)

    def play_one(seed: int) -> DayOutcome:
        history, violations = play(
            seed, args.nodes, args.seconds, args.faults, args.rate, replication={"group": args.group}
        )
        if args.history is not None:
            args.history.write_text("".join(json.dumps(row) + "\n" for row in history.rows()))
        return DayOutcome(
            summary(history), violations, [f"at {event.at:.3f}: {event.what}" for event in history.events]
        )

    return play_seeds(args, play_one)


if __name__ == "__main__":
    raise SystemExit(main())
