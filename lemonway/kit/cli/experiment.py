"""``lemonway experiment``: many rehearsals under a grid of parameters."""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING

import click

from ..emulator.scenario import ScenarioError
from .common import ProgressBar, fail

if TYPE_CHECKING:  # the modules themselves are imported by the commands: they are slow to load
    from ..experiment.plan import Plan, Run
    from ..experiment.store import Store

STORE = click.option(
    "--store",
    default="experiments.sqlite",
    show_default=True,
    type=click.Path(dir_okay=False),
    help="Where results are kept.",
)


@click.group()
def experiment() -> None:
    """Many rehearsals under a grid of parameters, kept, compared and shown."""


def _open(file: str, store: str) -> tuple[Plan, list[Run], Store]:
    """The plan in ``file``, its runs, and the store of results."""
    from ..experiment import plan as plans
    from ..experiment.store import Store, StoreError

    try:
        plan = plans.load(file)
        return plan, plans.runs(plan, file), Store(store)
    except (ScenarioError, StoreError) as error:
        fail(error)


@experiment.command("run")
@click.argument("file", type=click.Path(dir_okay=False))
@STORE
@click.option("--jobs", type=click.IntRange(1, 256), default=4, show_default=True, help="Runs played at a time.")
def experiment_run(file: str, store: str, jobs: int) -> None:
    """Play what is not kept yet; an interrupted experiment goes on where it stopped."""
    from ..experiment.runner import RunError, play_missing
    from ..experiment.store import StoreError

    plan, runs, kept = _open(file, store)
    try:
        with ProgressBar(plan.title) as tell:
            played = play_missing(runs, kept, jobs, tell)
    except (RunError, StoreError) as error:
        fail(error)
    click.echo(f"{plan.title}: {played} played, {len(runs) - played} kept before")


@experiment.command("report")
@click.argument("file", type=click.Path(dir_okay=False))
@STORE
@click.option("--html", type=click.Path(dir_okay=False), help="Write one page that needs nothing else.")
@click.option("--csv", "csv_", type=click.Path(dir_okay=False), help="Write a row a run.")
@click.option("--markdown", type=click.Path(dir_okay=False), help="Write the table of arms.")
@click.option("--against", type=click.Path(exists=True, dir_okay=False), help="Mark what fell since then.")
def experiment_report(
    file: str,
    store: str,
    html: str | None,
    csv_: str | None,
    markdown: str | None,
    against: str | None,
) -> None:
    """Show what is kept of an experiment."""
    from ..experiment import report as pages
    from ..experiment.store import Store, StoreError

    plan, runs, kept = _open(file, store)
    arms = pages.arms_of(runs, kept.figures(runs))
    if not arms:
        fail(f"{store}: nothing of this experiment is kept; play it with 'lemonway experiment run'")
    try:
        earlier = Store(against) if against is not None else None
    except StoreError as error:
        fail(error)
    if html is not None:
        Path(html).write_text(pages.to_html(plan, runs, arms, earlier), encoding="utf-8")
    if csv_ is not None:
        Path(csv_).write_text(pages.to_csv(arms), encoding="utf-8")
    if markdown is not None:
        Path(markdown).write_text(pages.to_markdown(plan, arms, earlier), encoding="utf-8")
    if html is csv_ is markdown is None:
        click.echo(pages.to_markdown(plan, arms, earlier), nl=False)


@experiment.command("compare")
@click.argument("file", type=click.Path(dir_okay=False))
@click.argument("a")
@click.argument("b")
@STORE
@click.option("--tell", type=float, default=0.01, show_default=True, help="The difference that is worth telling.")
def experiment_compare(file: str, a: str, b: str, store: str, tell: float) -> None:
    """How arm B differs from arm A, by seed; arms are named as the report shows them."""
    from ..experiment import report as pages
    from ..experiment.compare import compare

    plan, runs, kept = _open(file, store)
    arms = pages.arms_of(runs, kept.figures(runs))
    names = sorted({arm.name for arm in arms})
    for name in (a, b):
        if name not in names:
            fail(f"no arm {name!r}; there are: {'; '.join(names)}")
    for name in plan.scenarios:
        one, other = ([arm for arm in arms if (arm.scenario, arm.name) == (name, which)] for which in (a, b))
        if one and other:
            found = compare(one[0].values(), other[0].values())
            needed = found.seeds_for(tell)
            click.echo(
                f"{name}: {b} less {a}: {found.words()}" + (f"; {needed} seeds would tell {tell:g}" if needed else "")
            )
