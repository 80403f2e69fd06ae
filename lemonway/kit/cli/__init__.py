"""The command ``lemonway``. One command group a module; each parses and prints, what it runs is elsewhere in the kit.

To add a group: a module with a click group, and one ``main.add_command`` here.

Weighed: typer needs click and more, and hides the types of what it calls; argparse has no groups worth the name."""

from __future__ import annotations

from . import control, demo, experiment, importers, policy, rehearse, scenarios, serve
from .root import main

__all__ = ["main"]

main.add_command(serve.serve)
main.add_command(rehearse.rehearse)
main.add_command(experiment.experiment)
main.add_command(scenarios.scenarios)
main.add_command(policy.policy)
main.add_command(control.control)
main.add_command(importers.importers)
main.add_command(demo.demo)
main.add_command(demo.cases)
