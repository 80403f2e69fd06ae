"""Scale test of the control plane: ``make scale``, or ``python -m benchmarks.scale --help``."""

from __future__ import annotations

import json
import sys
from dataclasses import replace
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from lemonway.kit.scale import page
from lemonway.kit.scale.plan import VOTER_COUNT, Sizes
from lemonway.kit.scale.processes import ProcessError
from lemonway.kit.scale.run import execute
from lemonway.kit.scale.summary import Result, slopes

OK, VIOLATED, BAD_INPUT, FAILED, VOID, INTERRUPTED = 0, 1, 2, 3, 4, 130


def _parse_sizes(text: str) -> list[int]:
    try:
        found = [int(each) for each in text.split(",") if each]
    except ValueError:
        raise click.BadParameter(f"{text!r}: must be integers separated by commas") from None
    if any(each < 1 for each in found):
        raise click.BadParameter("each size must be at least 1")
    return found


def _combine(results: list[Result]) -> dict[str, Any]:
    """Return the data of the largest run that is not void, with slopes over all runs and the others in ``others``."""
    largest = max(results, key=lambda result: (result.void is None, result.hollow))
    fitted = replace(largest, slopes=slopes(results) or largest.slopes).as_json()
    others = [result.as_json() for result in results if result is not largest]
    return fitted | ({"others": others} if others else {})


@click.command()
@click.option(
    "--hollow", default=5_000, show_default=True, type=click.IntRange(1, 100_000), help="Nodes without request traffic."
)
@click.option("--sizes", default="", metavar="N,N,...", help="Several numbers of hollow nodes, one run each.")
@click.option("--real", default=10, show_default=True, type=click.IntRange(0, 64), help="Nodes that serve requests.")
@click.option(
    "--control",
    default=15,
    show_default=True,
    type=click.IntRange(VOTER_COUNT + 1, 200),
    help="Control processes: three voters, the others relays.",
)
@click.option(
    "--seconds", default=200.0, show_default=True, type=click.FloatRange(10, 86_400), help="Duration of one run."
)
@click.option("--seed", default=1, show_default=True)
@click.option("--tenants", default=1_000, show_default=True, type=click.IntRange(1, 1_000_000))
@click.option("--routes", default=200, show_default=True, type=click.IntRange(0, 1_000_000))
@click.option("--rate", default=20.0, show_default=True, help="Requests per second to each real node.")
@click.option(
    "--a-process", default=1_250, show_default=True, type=click.IntRange(1, 16_000), help="Hollow nodes per process."
)
@click.option("--json", "json_", type=click.Path(dir_okay=False), help="Write the figures to this file.")
@click.option("--html", type=click.Path(dir_okay=False), help="Write the page to this file.")
def main(
    hollow: int,
    sizes: str,
    real: int,
    control: int,
    seconds: float,
    seed: int,
    tenants: int,
    routes: int,
    rate: float,
    a_process: int,
    json_: str | None,
    html: str | None,
) -> None:
    """Execute a scale run, or one for each of several sizes. Exits with 0 on success, 1 if a history check failed, 3 if
    a run could not be completed, 4 if a run is void."""
    console = Console(stderr=True, width=200)
    results = []
    try:
        for nodes in _parse_sizes(sizes) or [hollow]:
            plan = Sizes(nodes, real, control, seconds, seed, tenants, routes, a_process, rate)
            results.append(execute(plan, lambda text: console.print(text, style="dim")))
    except ProcessError as error:
        console.print(f"benchmarks.scale: {error}", style="red")
        sys.exit(FAILED)
    except KeyboardInterrupt:
        console.print("benchmarks.scale: interrupted")
        sys.exit(INTERRUPTED)
    _write_results(results, json_, html, console)
    if any(result.violations for result in results):
        sys.exit(VIOLATED)
    sys.exit(VOID if any(result.void for result in results) else OK)


def _write_results(results: list[Result], json_: str | None, html: str | None, console: Console) -> None:
    combined = _combine(results)
    runs = [result.as_json() for result in results]
    page.show(runs, combined["slopes"], console)
    if json_ is not None:
        Path(json_).write_text(json.dumps(combined, indent=1) + "\n")
    if html is not None:
        Path(html).write_text(page.to_html(runs, combined["slopes"], f"Scale run, {combined['hollow']} hollow nodes"))


if __name__ == "__main__":
    main()
