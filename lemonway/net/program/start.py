"""The node's command line: reads the configuration, sets up logging and runs the node."""

from __future__ import annotations

import argparse
import importlib.util
import logging
import os
import sys

from twisted.python.log import PythonLoggingObserver

from . import logs
from .config import ConfigError, load_config
from .node import run
from .node_settings import NodeSettings, load_node_settings


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway", description="The image node.")
    parser.add_argument("--uwsgi", metavar="FILE", help="also serve the uwsgi protocol as configured in FILE")
    parser.add_argument("--settings", metavar="FILE", help="the node's own settings (deploy/node.json)")
    parser.add_argument("--log-json", action="store_true", help="log JSON lines instead of key=value")
    parser.add_argument(
        "--replication",
        metavar="FILE",
        help="share keyed requests with other image nodes as configured in FILE (deploy/replication.json)",
    )
    parser.add_argument(
        "--policy",
        metavar="FILE",
        help="use the fleet's policy as configured in FILE (deploy/policy.json); needs --replication",
    )
    parser.add_argument(
        "--control",
        metavar="FILE",
        help="take the configuration from a control group as configured in FILE (deploy/control.json)",
    )
    args = parser.parse_args(argv)
    try:
        own = load_node_settings(args.settings) if args.settings else NodeSettings()
        logs.configure("json" if args.log_json else own.log_form, own.log_level)
        PythonLoggingObserver("twisted").start()
        logging.getLogger("twisted").setLevel(logging.WARNING)
        config = load_config(os.environ)
        site = None
        if args.uwsgi:  # optional features are imported only when they are used
            from .uwsgi_site import load_site

            site = load_site(args.uwsgi, config.settings)
        if args.policy and not args.replication:
            raise ConfigError("--policy: needs --replication: the list of nodes and the links between them are there")
        if args.policy and args.control:
            raise ConfigError("--control: excludes --policy: either the nodes vote or a control group does")
        for option in ("replication", "control"):
            if getattr(args, option):
                _needs_libraries(f"--{option}")
    except ConfigError as error:
        print(f"lemonway: {error}", file=sys.stderr)
        return 2
    return run(config, site, args.replication, args.policy, own, args.settings, args.control)


def _needs_libraries(option: str) -> None:
    missing = [name for name in ("msgspec", "xxhash") if importlib.util.find_spec(name) is None]
    if missing:
        raise ConfigError(f"{option}: needs {' and '.join(missing)}: install lemonway[replication]")
