"""``lemonway control``: runs a machine of the control group, and asks one on an operator's behalf."""

from __future__ import annotations

import logging
import sys
from typing import Any, BinaryIO

import click

from ...net.program import logs
from .. import control as operators
from ..emulator import report
from ..policy import UNKNOWN, CallError
from .common import AS_JSON, ExitStatus, fail

DECISIONS_SHOWN = 64  # as many as a voter keeps with the names of their proposals

MACHINE = click.option(
    "--machine",
    required=True,
    metavar="HOST:PORT",
    help="The admin address of a control machine; a voter's, except for status.",
)


@click.group("control")
def control() -> None:
    """Configuration in numbered versions, from a small control group."""


@control.command("run")
@click.option(
    "--file", required=True, type=click.Path(dir_okay=False), help="What this machine is (deploy/control-machine.json)."
)
@click.pass_context
def control_run(ctx: click.Context, file: str) -> None:
    """Run a voter or a relay until SIGTERM."""
    from ...net.program.control_machine import run

    logs.configure("json" if ctx.obj else "logfmt", logging.INFO)  # a service, as the node is
    sys.exit(run(file))


@control.command("propose")
@click.argument("file", type=click.File("rb"))
@MACHINE
@click.option("--wait", is_flag=True, help="Wait also until the change is in force on every node that relays know.")
@click.option("--within", type=float, default=30.0, show_default=True, help="Seconds to wait at most.")
@AS_JSON
def control_propose(file: BinaryIO, machine: str, wait: bool, within: float, json_: bool) -> None:
    """Propose the change in FILE, and tell what becomes of it.

    Ends with 0 if it is committed (with --wait: in force on all nodes), 1 if it is not committed, 2 on bad input, 3 if
    that was not so in time or can't be told."""
    try:
        made = operators.propose(machine, file.read(), within, wait)
    except CallError as error:
        fail(error)
    if json_:
        click.echo(report.to_json(made), nl=False)
    else:
        click.echo(
            f"{made['proposal']}: {made['state']}"
            + (f", version {made['number']}" if made["number"] else "")
            + (f": {made['reason']}" if made["reason"] else "")
            + (", in force on all nodes" if made["in_force"] else "")
        )
    sys.exit(_status_of(made, wait))


def _status_of(made: dict[str, Any], wait: bool) -> ExitStatus:
    """The exit status for a proposal."""
    if made["state"] not in operators.OVER or made["state"] == UNKNOWN:
        return ExitStatus.KIT_FAILED
    if made["state"] != "committed":
        return ExitStatus.BROKEN
    return ExitStatus.OK if made["in_force"] or not wait else ExitStatus.KIT_FAILED


@control.command("status")
@MACHINE
@AS_JSON
def control_status(machine: str, json_: bool) -> None:
    """What a control machine has, who watches it, and how its nodes stand."""
    try:
        found = operators.ask(machine, "/control")
        found["group"] = operators.group_report(found)
    except CallError as error:
        fail(error)
    if json_:
        click.echo(report.to_json(found), nl=False)
    else:
        _show_status(found)


def _show_status(found: dict[str, Any]) -> None:
    """Print what ``GET /control`` gave as lines to read."""
    nodes = found["group"]
    click.echo(
        f"{found['name']} ({found['role']}): version {found['number']} {found['digest'][:16]}, "
        f"{found['resources']} resources, {found['watchers']} watches"
    )
    click.echo(
        f"  nodes {nodes['nodes']}, {nodes['serving']} take work, lowest version {nodes['lowest']}, "
        f"{nodes['behind']} behind, {nodes['unfit']} can't take it"
        + "".join(f"; {name} does not answer" for name in nodes["silent_voters"])
    )
    for worst in nodes["worst"]:
        why = f": {worst['unfit']}" if worst["unfit"] else ""
        click.echo(f"  {worst['name']:16} version {worst['number']}{why}")


@control.command("history")
@MACHINE
@AS_JSON
def control_history(machine: str, json_: bool) -> None:
    """The last decisions that a voter knows, with their proposals."""
    try:
        found = operators.ask(machine, "/control/history")
    except CallError as error:
        fail(error)
    if json_:
        click.echo(report.to_json(found), nl=False)
        return
    for decision in found["history"][-DECISIONS_SHOWN:]:
        what = f"{decision['operations']} operations" if decision["committed"] else f"aborted: {decision['reason']}"
        click.echo(f"version {decision['number']}, {decision['ident'] or '-'}, by {decision['by']}: {what}")


@control.command("abort")
@MACHINE
@AS_JSON
def control_abort(machine: str, json_: bool) -> None:
    """Give up what is proposed at a voter and not decided. What is committed stays."""
    try:
        found = operators.ask(machine, "/control/abort", b"")
    except CallError as error:
        fail(error)
    click.echo(report.to_json(found) if json_ else found["done"], nl=not json_)
