"""``lemonway rehearse``: a day of a fleet, emulated in virtual time or on live node processes."""

from __future__ import annotations

import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ProcessPoolExecutor, as_completed
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import click
from rich.console import Console

from ..emulator import report, scenario
from ..emulator.day import play
from .common import ExitStatus, ProgressBar, fail, fail_on_file, report_error

STANDARD_OUTPUT = "-"  # in place of a file's name
STATUS_OF_VERDICT = {"kept": ExitStatus.OK, "broken": ExitStatus.BROKEN, "void": ExitStatus.VOID}


@click.command()
@click.argument("scenario_", metavar="SCENARIO")
@click.option("--seed", type=click.IntRange(0), help="In place of the scenario's own.")
@click.option("--seeds", type=click.IntRange(1, 1000), help="Play so many days, of this seed and those after it.")
@click.option("--jobs", type=click.IntRange(1, 256), default=1, show_default=True, help="Days played at a time.")
@click.option("--json", "json_", type=click.Path(dir_okay=False), help="Write the figures to this file ('-': print).")
@click.option("--trace", type=click.Path(dir_okay=False), help="Write the life of each try as JSON lines.")
@click.option("--wire", is_flag=True, help="Whole nodes over byte pipes: parsers, links and their recovery as well.")
@click.option("--live", is_flag=True, help="Real node processes on loopback sockets, in real time.")
@click.option("--bounds", type=click.Path(dir_okay=False), help="Live: how late is too late (deploy/live.json).")
@click.option("--node-log", type=click.Path(dir_okay=False), help="Live: write the nodes' own logs to this file.")
@click.option("--force", is_flag=True, help="Live: play a day that is too large for this machine all the same.")
def rehearse(
    scenario_: str,
    seed: int | None,
    seeds: int | None,
    jobs: int,
    json_: str | None,
    trace: str | None,
    wire: bool,
    live: bool,
    bounds: str | None,
    node_log: str | None,
    force: bool,
) -> None:
    """Play a day of a fleet in virtual time, or live, and report the service.

    SCENARIO is a file or the name of a shipped one (`lemonway scenario list`). Ends with 0 if all rules were kept, 1 if
    one was broken, 2 on bad input. Live also with 3 if the kit could not play the day and 4 if the day is void, since
    something that plays it fell behind."""
    try:
        plan = scenario.load(scenario_)
    except scenario.ScenarioError as error:
        fail(error)
    first = plan.seed if seed is None else seed
    if seeds is not None and trace is not None:
        fail("--trace goes with one seed")
    if live:
        if seeds is not None or trace is not None or wire:
            fail("--live plays one seed at a time, and goes with neither --trace nor --wire")
        if plan.policy is not None:
            fail(
                f"{plan.title}: policy: is played on the nodes' cores; leave --live out (live: "
                "python -m lemonway.kit.faults.policy_day)"
            )
        _rehearse_live(plan, first, json_, bounds, node_log, force)
    elif seeds is None:
        _rehearse_one(plan, first, json_, trace, wire)
    else:
        _rehearse_many(plan, range(first, first + seeds), jobs, json_, wire)


def _rehearse_one(plan: scenario.Scenario, seed: int, json_: str | None, trace: str | None, wire: bool) -> None:
    """Play one emulated day, show it, and end with its status."""
    try:
        with ProgressBar(plan.title) as tell:
            day = play_one(plan, seed, wire, trace, tell)
        _write(day, json_)
    except scenario.ScenarioError as error:
        fail(error)
    except OSError as error:
        fail_on_file(error)
    _show(day, json_, report.render)
    sys.exit(_status_of([day]))


def _rehearse_many(plan: scenario.Scenario, seeds: range, jobs: int, json_: str | None, wire: bool) -> None:
    """Play an emulated day for each seed, show them together, and end with the worst status."""
    try:
        data = report.summary(_play_all(plan, seeds, jobs, wire))
        _write(data, json_)
    except scenario.ScenarioError as error:
        fail(error)
    except OSError as error:
        fail_on_file(error)
    _show(data, json_, report.render_summary)
    sys.exit(_status_of(data["days"]))


def _rehearse_live(
    plan: scenario.Scenario,
    seed: int,
    json_: str | None,
    bounds_file: str | None,
    node_log: str | None,
    force: bool,
) -> None:
    """Play one live day, show it, and end with its status."""
    from ..live import report as live_report
    from ..live.supervisor import KitError, play_live
    from ..live.watch import BoundsError, load_bounds

    try:
        bounds = load_bounds(bounds_file)
        with ProgressBar(plan.title) as tell:
            outcome = play_live(plan, seed, bounds, tell, node_log, force)
        data = live_report.figures(outcome, bounds)
        _write(data, json_)
    except BoundsError as error:
        fail(error)
    except KitError as error:
        report_error(error)
        sys.exit(ExitStatus.KIT_FAILED)
    except KeyboardInterrupt:
        report_error("interrupted; every process that was started has ended")
        sys.exit(ExitStatus.INTERRUPTED)
    except OSError as error:
        fail_on_file(error)
    _show(data, json_, live_report.render)
    sys.exit(STATUS_OF_VERDICT[data["verdict"]])


def play_one(
    plan: scenario.Scenario,
    seed: int,
    wire: bool,
    keep: str | None = None,
    progress: Callable[[float], None] | None = None,
) -> dict[str, Any]:
    """One day, to its figures; runs in a process of its own where several are played."""
    result = play(plan, seed, keep=keep is not None, progress=progress, wire=wire)
    if keep is not None:
        with open(keep, "w", encoding="utf-8") as file:
            file.writelines(line + "\n" for line in report.trace(result))
    return report.figures(result)


def _play_all(plan: scenario.Scenario, seeds: Sequence[int], jobs: int, wire: bool) -> list[dict[str, Any]]:
    """In the order of the seeds, whatever the order in which they end."""
    rows: dict[int, dict[str, Any]] = {}
    with ProgressBar(plan.title) as tell, ProcessPoolExecutor(min(jobs, len(seeds)), get_context("spawn")) as pool:
        running = {pool.submit(play_one, plan, seed, wire): seed for seed in seeds}
        for future in as_completed(running):
            rows[running[future]] = future.result()
            tell(len(rows) / len(seeds))
    return [rows[seed] for seed in seeds]


def _write(data: dict[str, Any], file: str | None) -> None:
    """Write the figures to ``file``, if one is named."""
    if file is not None and file != STANDARD_OUTPUT:
        Path(file).write_text(report.to_json(data), encoding="utf-8")


def _show(data: dict[str, Any], file: str | None, render: Callable[[dict[str, Any], Console], None]) -> None:
    """Print the figures: as JSON if ``file`` is standard output, else by ``render``."""
    if file == STANDARD_OUTPUT:
        click.echo(report.to_json(data), nl=False)
    else:
        render(data, Console(highlight=False, soft_wrap=True))


def _status_of(days: Sequence[dict[str, Any]]) -> ExitStatus:
    """``BROKEN`` if any of the days broke a rule."""
    return ExitStatus.BROKEN if any(sum(day["rules"].values()) for day in days) else ExitStatus.OK
