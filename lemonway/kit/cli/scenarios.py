"""``lemonway scenario``: scenario files."""

from __future__ import annotations

import click

from ..emulator import report, scenario
from .common import fail


@click.group("scenario")
def scenarios() -> None:
    """Scenario files."""


@scenarios.command("list")
def scenario_list() -> None:
    """The shipped scenarios."""
    for name in scenario.shipped_names():
        click.echo(f"{name:20} {scenario.load(name).title}")


@scenarios.command("check")
@click.argument("files", metavar="SCENARIO...", nargs=-1, required=True)
def scenario_check(files: tuple[str, ...]) -> None:
    """Check scenario files; the first that makes no sense is told in one line."""
    for file in files:
        try:
            plan = scenario.load(file)
        except scenario.ScenarioError as error:
            fail(error)
        click.echo(f"{file}: {plan.title}: {plan.seconds:g} s, {plan.fleet.nodes} nodes, {len(plan.trouble)} faults")


@scenarios.command("schema")
def scenario_schema() -> None:
    """Print the JSON Schema of scenario files."""
    click.echo(report.to_json(scenario.schema()), nl=False)
