"""The command: reads the configuration, sets up the log, runs the node."""

from __future__ import annotations

import argparse
import logging
import os
import sys

from twisted.python.log import PythonLoggingObserver

from .config import ConfigError, load_config
from .node import run
from .uwsgi_site import load_site


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway", description="The image node.")
    parser.add_argument("--uwsgi", metavar="FILE", help="also serve the uwsgi protocol as FILE says")
    args = parser.parse_args(argv)
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    PythonLoggingObserver("twisted").start()
    logging.getLogger("twisted").setLevel(logging.WARNING)
    try:
        config = load_config(os.environ)
        site = load_site(args.uwsgi, config.settings) if args.uwsgi else None
    except ConfigError as error:
        print(f"lemonway: {error}", file=sys.stderr)
        return 2
    return run(config, site)
