"""The top of the command: the options that stand before every subcommand."""

from __future__ import annotations

import logging

import click

from ...net.program import logs


@click.group(context_settings={"help_option_names": ["-h", "--help"]})
@click.option("--log-json", is_flag=True, help="Log JSON lines instead of key=value.")
@click.option("--verbose", is_flag=True, help="Log what goes on, not only what goes wrong.")
@click.version_option(package_name="lemonway")
@click.pass_context
def main(ctx: click.Context, log_json: bool, verbose: bool) -> None:
    """The image node and its rehearsal kit."""
    ctx.obj = log_json
    if ctx.invoked_subcommand != "serve":
        logs.configure("json" if log_json else "logfmt", logging.INFO if verbose else logging.WARNING)
