"""What several command groups use: exit statuses, the error line, the progress bar and shared options."""

from __future__ import annotations

import sys
from collections.abc import Callable
from enum import IntEnum
from typing import NoReturn

import click
from rich.console import Console
from rich.progress import BarColumn, Progress, TextColumn, TimeRemainingColumn


class ExitStatus(IntEnum):
    """How the command ends, for scripts."""

    OK = 0
    BROKEN = 1  # a rule of the service was broken, or a change was not committed
    BAD_INPUT = 2
    KIT_FAILED = 3  # the day could not be played, or a change was not decided in time
    VOID = 4  # a live day that says nothing, since something that plays it fell behind
    INTERRUPTED = 130  # by SIGINT, as a shell reports it


AS_JSON = click.option("--json", "json_", is_flag=True, help="Print JSON.")
NODE = click.option("--node", required=True, metavar="HOST:PORT", help="The admin address of any node.")


def report_error(message: object) -> None:
    """Print one line on standard error, after the command's name."""
    click.echo(f"lemonway: {message}", err=True)


def fail(message: object) -> NoReturn:
    """Print the error line and end with ``ExitStatus.BAD_INPUT``."""
    report_error(message)
    sys.exit(ExitStatus.BAD_INPUT)


def fail_on_file(error: OSError) -> NoReturn:
    """End as ``fail`` does, naming the file that could not be read or written."""
    fail(f"{error.filename}: {error.strerror}")


class ProgressBar:
    """A progress bar on a terminal, nothing in a pipe. As a context it gives a function of the share done, 0 to 1."""

    def __init__(self, title: str) -> None:
        console = Console(stderr=True)
        self.progress = Progress(
            TextColumn("{task.description}"),
            BarColumn(),
            TimeRemainingColumn(),
            console=console,
            transient=True,
            disable=not console.is_terminal,
        )
        self.title = title

    def __enter__(self) -> Callable[[float], None]:
        self.progress.start()
        task = self.progress.add_task(self.title, total=1.0)
        return lambda share: self.progress.update(task, completed=share)

    def __exit__(self, *_: object) -> None:
        self.progress.stop()
