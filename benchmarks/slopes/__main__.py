"""``python -m benchmarks.slopes``: plays the probes and prints each cost's slope; ``--json FILE`` keeps the figures.

Counts and bytes are the same in every run. Times depend on the machine and on what else it does: the load average
before and after stands in the output."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path

import click
from rich.console import Console

from .model import VoidRun, slope_of
from .registry import PROBES
from .report import Run, ranking, run_data, table

WIDTH = 220


def play(names: list[str], quick: bool) -> Run:
    """Run these probes one after the other."""
    run = Run(quick)
    for name in names:
        begun = time.monotonic()
        print(f"{name} ...", file=sys.stderr, flush=True)
        try:
            run.slopes[name] = [slope_of(series) for series in PROBES[name].run(quick)]
        except VoidRun as void:
            run.void[name] = str(void)
        run.seconds[name] = round(time.monotonic() - begun, 1)
    return run


@click.command()
@click.option("--only", multiple=True, type=click.Choice(list(PROBES)), help="Only this probe; may be said again.")
@click.option("--json", "json_", type=click.Path(dir_okay=False), help="Write the figures to this file.")
@click.option("--quick", is_flag=True, help="Small sizes: whether the probes work, no figures for the page.")
def main(only: tuple[str, ...], json_: str | None, quick: bool) -> None:
    """What each cost comes to by size, and at which fraction of the planned size it meets its budget."""
    console = Console(highlight=False, width=None if sys.stdout.isatty() else WIDTH)
    run = play(list(only or PROBES), quick)
    for name, slopes in run.slopes.items():
        console.print(table(f"{PROBES[name].subject} ({run.seconds[name]:g} s)", slopes))
    console.print("* worked out by the fit; the other figures at full size are measured there")
    ranking(run, console)
    for name, reason in run.void.items():
        console.print(f"void: {name}: {reason}")
    if json_ is not None:
        Path(json_).write_text(json.dumps(run_data(run), indent=1) + "\n")
    if run.void:
        sys.exit(1)


if __name__ == "__main__":
    main()
