"""``python -m benchmarks``: the account of the ordinary path as a table (``--json FILE``: as data), ``--guard`` against
the committed ceilings, ``--accept`` to write new ones, ``--against CHECKOUT`` to time reading, deciding and whole
requests in turns with another.

Counts are the same in every run of one Python, so the guard needs no quiet machine; times are only ever compared in
turns with those of another checkout."""

from __future__ import annotations

import json
import os
import subprocess
import sys
from collections.abc import Iterator
from pathlib import Path as File
from statistics import median
from typing import Any

import click
from rich.console import Console
from rich.table import Table

from .account import Cost, count
from .paths import PATHS, Path

ROOT = File(__file__).parent.parent
CEILINGS = File(__file__).with_name("ceilings.json")
OVER, MORE = 1.05, 1.0  # past a ceiling by 5%, or by a whole count a request, the guard fails
GUARDED = ("calls", "c_calls", "reads", "writes", "timers", "copied", "allocations", "allocated")
BYTES = ("copied", "allocated")
SMALL = 100  # in hand: the guard counts no more
TIMES = ("reading.py", "deciding.py", "whole.py")


def cases(most: int) -> Iterator[tuple[Path, int, int]]:
    for path in PATHS:
        for in_hand in path.in_hand:
            for body in path.bodies if in_hand == min(path.in_hand, key=lambda n: abs(n - 10)) else (200,):
                if in_hand <= most:
                    yield path, in_hand, body


def account(most: int, allocations: bool, only: str = "") -> list[Cost]:
    rows = []
    for path, in_hand, body in cases(most):
        if only in f"{path.front}, {path.name}":
            rows.append(count(path, in_hand, body, allocations))
            print(f"{rows[-1].key} ...", file=sys.stderr, flush=True)
    return rows


def passed(rows: list[Cost], ceilings: dict[str, dict[str, float]]) -> list[str]:
    """Each counter that is over its ceiling, with path and counter, and each path that has none."""
    out = []
    for row in rows:
        mine = ceilings.get(row.key)
        if mine is None:
            out.append(f"{row.key}: no ceiling; --accept writes one")
            continue
        for name in GUARDED:
            value = getattr(row, name)
            most = mine[name] * OVER if name in BYTES else min(mine[name] * OVER, mine[name] + MORE)
            if value > most + 0.01:
                out.append(f"{row.key}: {name}: {value:.2f} a request, the ceiling is {mine[name]:.2f}")
    return out


def table(rows: list[Cost], console: Console) -> None:
    shown = Table(
        "front",
        "path",
        "in hand",
        "body",
        "Python calls",
        "of them policy",
        "C calls",
        "reads",
        "writes",
        "timers",
        "copied B",
        "allocations",
        "allocated B",
    )
    for r in rows:
        shown.add_row(
            r.front,
            r.path,
            str(r.in_hand),
            str(r.body),
            f"{r.calls:.0f}",
            f"{r.parts.get('admission_policy', 0):.0f}",
            f"{r.c_calls:.0f}",
            f"{r.reads:.2f}",
            f"{r.writes:.2f}",
            f"{r.timers:.2f}",
            f"{r.copied:.0f}",
            f"{r.allocations:.0f}",
            f"{r.allocated:.0f}",
        )
    for column in shown.columns[2:]:
        column.justify = "right"
    console.print(shown)


def timed(checkout: File) -> dict[str, float]:
    """What each program of times says of this checkout, microseconds a request."""
    found: dict[str, float] = {}
    for program in TIMES:
        done = subprocess.run(
            [sys.executable, str(File(__file__).with_name(program))],
            capture_output=True,
            text=True,
            cwd=checkout,
            env={**os.environ, "PYTHONPATH": str(checkout)},
        )
        if done.returncode:
            raise click.ClickException(f"{checkout}: {program}: {done.stderr.strip().splitlines()[-1]}")
        found |= json.loads(done.stdout)
        print(f"{checkout}: {program} ...", file=sys.stderr, flush=True)
    return found


def against(other: File, turns: int, console: Console) -> dict[str, Any]:
    """Reading, deciding and whole requests here and there, in turns; the ratio is the median of those turn by turn."""
    here, there = [], []
    for _ in range(turns):
        there.append(timed(other))
        here.append(timed(ROOT))
    shown = Table("us of CPU a request", "there", "here", "here / there", "least", "most")
    data = {}
    for name in here[0]:
        ratios = [a[name] / b[name] for a, b in zip(here, there, strict=True)]
        data[name] = {
            "there": median(b[name] for b in there),
            "here": median(a[name] for a in here),
            "ratio": median(ratios),
            "least": min(ratios),
            "most": max(ratios),
        }
        shown.add_row(name, *(f"{data[name][key]:.2f}" for key in ("there", "here", "ratio", "least", "most")))
    for column in shown.columns[1:]:
        column.justify = "right"
    console.print(shown)
    return data


@click.command()
@click.option("--json", "json_", type=click.Path(dir_okay=False), help="Write the figures to this file.")
@click.option("--guard", is_flag=True, help="End with 1 if a counter is 5%, or one a request, over its ceiling.")
@click.option("--accept", is_flag=True, help="Write the counts as the new ceilings.")
@click.option(
    "--against",
    "other",
    type=click.Path(exists=True, file_okay=False),
    help="Time reading, deciding and whole requests in turns with this checkout.",
)
@click.option("--turns", type=click.IntRange(1), default=5, show_default=True, help="Turns of --against.")
@click.option("--most", type=click.IntRange(1), default=1000, show_default=True, help="Requests in hand, at most.")
@click.option("--only", default="", help="Paths whose 'front, name' holds these words.")
def main(json_: str | None, guard: bool, accept: bool, other: str | None, turns: int, most: int, only: str) -> None:
    """What a request costs the node on the ordinary path."""
    console = Console(highlight=False, width=None if sys.stdout.isatty() else 160)
    if other is not None:
        data: Any = against(File(other).resolve(), turns, console)
    else:
        rows = account(SMALL if guard or accept else most, True, only)
        table(rows, console)
        data = [row.data() for row in rows]
        if accept:
            CEILINGS.write_text(
                json.dumps(
                    {row.key: {name: round(getattr(row, name), 2) for name in GUARDED} for row in rows}, indent=1
                )
                + "\n"
            )
        if guard:
            found = passed(rows, json.loads(CEILINGS.read_text()))
            for line in found:
                click.echo(line)
            click.echo(f"{len(rows) * len(GUARDED) - len(found)} counters within their ceilings, {len(found)} over")
            if found:
                sys.exit(1)
    if json_ is not None:
        File(json_).write_text(json.dumps(data, indent=1) + "\n")


if __name__ == "__main__":
    if os.environ.get("PYTHONHASHSEED") != "0":  # the order of a set or the growth of a dictionary may not vary
        os.execve(
            sys.executable, [sys.executable, "-m", "benchmarks", *sys.argv[1:]], {**os.environ, "PYTHONHASHSEED": "0"}
        )
    main()
