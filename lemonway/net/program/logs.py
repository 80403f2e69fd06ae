"""Log output to standard error, as key=value pairs or as JSON lines. The request path logs nothing.

logfmter and python-json-logger are formatters for the standard library's logging, unlike structlog, which has its own
pipeline and more imports. They add no memory at startup; python-json-logger is imported only for JSON output."""

from __future__ import annotations

import logging
import sys

LOG_FORMATS = ("logfmt", "json")


def formatter(form: str) -> logging.Formatter:
    if form == "json":
        from pythonjsonlogger.json import JsonFormatter

        return JsonFormatter(
            "%(asctime)s %(levelname)s %(name)s %(message)s",
            rename_fields={"asctime": "at", "levelname": "level", "name": "part", "message": "msg"},
        )
    from logfmter import Logfmter

    return Logfmter(["at", "level", "part"], {"at": "asctime", "level": "levelname", "part": "name"})


def configure(form: str, level: int) -> None:
    """Send the log to standard error in this format."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(formatter(form))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
