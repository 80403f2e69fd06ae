"""A worker process of a scale run: ``python -m lemonway.kit.scale.worker``. The first line on standard input is its
job, the others are orders. It writes messages to standard output and exits at the end of its input."""

from __future__ import annotations

import gc
import os
import sys
import time
from collections.abc import Callable
from typing import Any, Protocol

from twisted.internet.protocol import connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python import log
from twisted.python.failure import Failure

from ..live.watch import LagRecorder, own_usage
from .orders import Failed, HollowJob, Job, Order, SecondReport, WorkerMessage, encode, read_job, read_order

LAG_CHECK_INTERVAL = 0.025  # seconds between measurements of the event-loop lag
MAX_LINE_BYTES = 1 << 26
EXIT_FAILED = 3


class Worker(Protocol):
    """Interface of the hollow and traffic workers."""

    def handle_order(self, order: Order) -> None: ...

    def complete_report(self, watched: SecondReport) -> SecondReport:
        """Add the worker's own figures to the report of the last second."""
        ...


class LoopLagMonitor:
    """Measures the event-loop lag and reports it every second."""

    def __init__(self, reactor: Any, name: str, on_second: Callable[[SecondReport], None]) -> None:
        self.reactor, self.on_second = reactor, on_second
        self.watch = LagRecorder(name, own_usage)
        self._expected_at = self._next_report_at = 0.0

    def start(self) -> None:
        self.watch.start_second()
        self._expected_at = time.monotonic() + LAG_CHECK_INTERVAL
        self._next_report_at = time.monotonic() + 1.0
        self.reactor.callLater(LAG_CHECK_INTERVAL, self._check)

    def _check(self) -> None:
        now = time.monotonic()
        self.watch.record_lag(int(max(0.0, now - self._expected_at) * 1e6))
        if now >= self._next_report_at:
            self._next_report_at = now + 1.0
            row = self.watch.finish_second(0)
            self.on_second(SecondReport(row.lag_ms, row.lag_p99_ms, row.cpu))
        self._expected_at = now + LAG_CHECK_INTERVAL
        self.reactor.callLater(LAG_CHECK_INTERVAL, self._check)


class RunConnection(LineReceiver):
    """Connection to the run over the standard streams."""

    delimiter = b"\n"
    MAX_LENGTH = MAX_LINE_BYTES

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.worker: Worker | None = None
        self.exit_code = 0

    def send_message(self, message: WorkerMessage) -> None:
        self.sendLine(encode(message))

    def report_failure(self, reason: str) -> None:
        if not self.exit_code:
            self.exit_code = EXIT_FAILED
            self.send_message(Failed(reason))

    def lineReceived(self, line: bytes) -> None:
        if self.worker is not None:
            self.worker.handle_order(read_order(line))
            return
        job = read_job(line)
        lag_monitor = LoopLagMonitor(self.reactor, job.name, self._on_second)
        self.worker = create_worker(job, self.reactor, self.send_message, lag_monitor)
        gc.collect()
        gc.freeze()
        lag_monitor.start()

    def _on_second(self, watched: SecondReport) -> None:
        assert self.worker is not None
        self.send_message(self.worker.complete_report(watched))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.reactor.running:
            self.reactor.stop()


def create_worker(
    job: Job, reactor: Any, send_message: Callable[[WorkerMessage], None], lag_monitor: LoopLagMonitor
) -> Worker:
    """Create the worker for a job; only the modules of its kind are imported."""
    if isinstance(job, HollowJob):
        from .hollow import HollowWorker

        return HollowWorker(job, reactor, send_message, lag_monitor)
    from .traffic import TrafficWorker

    return TrafficWorker(job, reactor, send_message, lag_monitor)


def main() -> int:
    if sys.argv[1:] == ["traffic"]:  # finer timers; the worker has few descriptors
        from twisted.internet import selectreactor

        selectreactor.install()
    from twisted.internet import reactor, stdio

    loop: Any = reactor
    control = RunConnection(loop)

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("failure")
        if event.get("isError") and failure is not None:
            print(failure.getTraceback(), file=sys.stderr, flush=True)
            control.report_failure(f"{failure.type.__name__}: {failure.getErrorMessage()}")

    log.startLoggingWithObserver(observe, setStdout=False)
    stdio.StandardIO(control)
    loop.run()
    sys.stderr.flush()
    os._exit(control.exit_code)  # exit without waiting for other threads or cleanup


if __name__ == "__main__":
    sys.exit(main())
