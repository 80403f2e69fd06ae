"""The command: reads the configuration, sets up the log, runs the node."""

from __future__ import annotations

import logging
import os
import sys

from twisted.python.log import PythonLoggingObserver

from .config import ConfigError, load_config
from .node import run


def main() -> int:
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(name)s %(message)s")
    PythonLoggingObserver("twisted").start()
    logging.getLogger("twisted").setLevel(logging.WARNING)
    try:
        config = load_config(os.environ)
    except ConfigError as error:
        print(f"lemonway: {error}", file=sys.stderr)
        return 2
    return run(config)
