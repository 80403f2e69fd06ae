"""``lemonway demo`` and ``lemonway cases``: one node among stand-ins on loopback sockets."""

from __future__ import annotations

import sys

import click


@click.command()
def demo() -> None:
    """A node beside its stand-ins answers on both fronts; then a short rehearsal."""
    from ..demo import run

    sys.exit(run())


@click.command()
@click.argument("script", type=click.Path(dir_okay=False))
@click.option("--only", metavar="NAME", help="The one case to play.")
def cases(script: str, only: str | None) -> None:
    """Play scripted cases of one node on loopback sockets."""
    from ..__main__ import main as run

    sys.exit(run([script, *(["--only", only] if only else [])]))
