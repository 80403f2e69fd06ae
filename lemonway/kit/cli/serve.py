"""``lemonway serve``: a node in this process."""

from __future__ import annotations

import sys

import click


@click.command()
@click.option("--uwsgi", type=click.Path(dir_okay=False), help="Also serve the uwsgi protocol as this file says.")
@click.option("--settings", type=click.Path(dir_okay=False), help="The node's own settings (deploy/node.json).")
@click.pass_context
def serve(ctx: click.Context, uwsgi: str | None, settings: str | None) -> None:
    """Run a node, as `python -m lemonway` does; EDGE_CONFIG names its configuration."""
    from ...net.program.start import main as start

    arguments = ["--log-json"] if ctx.obj else []
    if uwsgi:
        arguments += ["--uwsgi", uwsgi]
    if settings:
        arguments += ["--settings", settings]
    sys.exit(start(arguments))
