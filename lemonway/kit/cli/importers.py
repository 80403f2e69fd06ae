"""``lemonway import``: other programs' configurations."""

from __future__ import annotations

import sys

import click


@click.group("import")
def importers() -> None:
    """Read other programs' configurations."""


@importers.command("nginx", context_settings={"ignore_unknown_options": True, "allow_interspersed_args": False})
@click.argument("args", nargs=-1, type=click.UNPROCESSED)
def import_nginx(args: tuple[str, ...]) -> None:
    """nginx upstream and location blocks (`lemonway import nginx -- --help` for its options)."""
    from ..nginx import main as run

    sys.exit(run(list(args)))
