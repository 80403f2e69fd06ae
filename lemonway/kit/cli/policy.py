"""``lemonway policy``: changes of the fleet's policy, asked of any node's admin address."""

from __future__ import annotations

import sys
from typing import Any, BinaryIO

import click

from .. import policy as operators
from ..emulator import report
from .common import AS_JSON, NODE, ExitStatus, fail

DECISIONS_SHOWN = 8


@click.group("policy")
def policy() -> None:
    """The fleet's policy: a change takes hold on every node or on none."""


@policy.command("propose")
@click.argument("file", type=click.File("rb"))
@NODE
@click.option("--wait", type=float, default=15.0, show_default=True, help="Seconds to wait for the outcome.")
@AS_JSON
def policy_propose(file: BinaryIO, node: str, wait: float, json_: bool) -> None:
    """Propose the change in FILE, and tell what becomes of it.

    Ends with 0 if it is committed, 1 if it is not, 2 on bad input, 3 if it was not decided in time or can't be
    told."""
    try:
        made = operators.propose(node, file.read(), wait)
    except operators.CallError as error:
        fail(error)
    if json_:
        click.echo(report.to_json(made), nl=False)
    else:
        click.echo(
            f"{made['proposal']}: {made['state']}"
            + (f", epoch {made['epoch']}" if made["epoch"] else "")
            + (f": {made['reason']}" if made["reason"] else "")
        )
    sys.exit(_status_of(made["state"]))


def _status_of(state: str) -> ExitStatus:
    """The exit status for the state of a proposal."""
    if state == "committed":
        return ExitStatus.OK
    return ExitStatus.BROKEN if state in operators.OVER and state != operators.UNKNOWN else ExitStatus.KIT_FAILED


@policy.command("status")
@NODE
@AS_JSON
def policy_status(node: str, json_: bool) -> None:
    """Each node's epoch as this one knows it, who lags, and the last decisions."""
    try:
        found = operators.call(node, "/policy")
    except operators.CallError as error:
        fail(error)
    if json_:
        click.echo(report.to_json(found), nl=False)
    else:
        _show_status(found)


def _show_status(found: dict[str, Any]) -> None:
    """Print what ``GET /policy`` gave as lines to read."""
    click.echo(
        f"{found['name']}: epoch {found['epoch']} in force, decided up to {found['decided']}, lease "
        f"{found['lease_ms']} of {found['lease_most_ms']} ms"
        + (f"; takes no work: {found['why_not']}" if found["why_not"] else "")
    )
    for name, row in found["nodes"].items():
        click.echo(
            f"  {name:16} decided {row['epoch']:<4} {'takes work' if row['serving'] else 'takes no work':14}"
            + ("" if row["alive"] else " silent")
            + (f" lags by {row['behind']}" if row["behind"] else "")
            + ("" if row["whole"] else " has lost its memory")
        )
    for change in found["history"][-DECISIONS_SHOWN:]:
        click.echo(
            f"  epoch {change['epoch']}: {change['change']} "
            + ("committed" if change["committed"] else f"aborted: {change['reason']}")
        )


@policy.command("abort")
@NODE
@AS_JSON
def policy_abort(node: str, json_: bool) -> None:
    """Give up the proposal under way at a node, or one that was left half decided. What is committed stays."""
    try:
        found = operators.call(node, "/policy/abort", b"")
    except operators.CallError as error:
        fail(error)
    click.echo(report.to_json(found) if json_ else found["done"], nl=not json_)
