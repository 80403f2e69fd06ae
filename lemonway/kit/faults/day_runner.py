"""Shared parts of the fault tests of real node processes: starting and closing the fleet, removing the injected faults,
and the command that runs a day for each of several seeds. One test run is called a day."""

from __future__ import annotations

import argparse
import shutil
import signal
import tempfile
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path
from typing import TypeVar

from .fleet import Fleet

FleetKind = TypeVar("FleetKind", bound=Fleet)


@dataclass
class DayOutcome:
    """The outcome of one day: a summary line, the violations, and the events, which are printed if there are any
    violations."""

    summary: str
    violations: list[str]
    events: list[str] = field(default_factory=list)


@contextmanager
def running_fleet(make: Callable[[Path], FleetKind], folder: Path | None, prefix: str) -> Iterator[FleetKind]:
    """Start the fleet that ``make`` creates in ``folder``, and close it at the end. Without ``folder``, uses a
    temporary directory whose name starts with ``prefix``, and deletes it afterwards."""
    directory = folder or Path(tempfile.mkdtemp(prefix=prefix))
    fleet = make(directory)
    try:
        fleet.start()
        yield fleet
    finally:
        fleet.close()
        if folder is None:
            shutil.rmtree(directory, ignore_errors=True)


def end_faults(fleet: Fleet) -> None:
    """Remove all network faults, and resume paused nodes."""
    fleet.net.clear_faults()
    for node in fleet.nodes.values():
        if node.paused:
            node.signal(signal.SIGCONT)
            node.paused = False


def exited_nodes(fleet: Fleet) -> list[str]:
    """A line for each node whose process exited without being killed by the test."""
    return [
        f"{node.name} ended by itself: {node.process.lines[-2:]}"
        for node in fleet.nodes.values()
        if node.process is not None and node.process.ended
    ]


def day_parser(prog: str, description: str | None, *, seconds: float, faults: int) -> argparse.ArgumentParser:
    """The options that the commands of such days share; ``seconds`` and ``faults`` are the defaults."""
    parser = argparse.ArgumentParser(prog=prog, description=description)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument(
        "--seeds", type=int, default=1, help="number of days to run, with consecutive seeds from --seed"
    )
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--seconds", type=float, default=seconds)
    parser.add_argument("--faults", type=int, default=faults)
    return parser


def play_seeds(args: argparse.Namespace, play: Callable[[int], DayOutcome]) -> int:
    """Run the day of each seed that ``args`` names and print a line for each, with its violations. Returns the
    command's exit status: 1 if any day violated a guarantee."""
    failed = False
    for seed in range(args.seed, args.seed + args.seeds):
        outcome = play(seed)
        print(f"seed {seed}: {outcome.summary}; {'broken' if outcome.violations else 'kept'}", flush=True)
        for line in outcome.violations:
            print(f"  {line}")
        if outcome.violations:
            failed = True
            for line in outcome.events:
                print(f"  {line}")
    return 1 if failed else 0
