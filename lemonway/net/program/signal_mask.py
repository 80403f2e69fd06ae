"""The signals that are blocked during startup: their default action would terminate a process that has no handler yet.
They are blocked before any large import and unblocked once the handlers are installed."""

from __future__ import annotations

import signal

BLOCKED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP, signal.SIGUSR1)


def block_signals() -> None:
    signal.pthread_sigmask(signal.SIG_BLOCK, BLOCKED_SIGNALS)
