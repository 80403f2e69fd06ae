"""A worker process of a scale run: ``python -m lemonway.kit.scale.worker``. The first line on standard input is its
job, the others are orders; words go to standard output, and it ends when its input does."""

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

from ..live.watch import Watch, own_usage
from .orders import Failed, HollowJob, Job, Order, Second, Word, encode, read_job, read_order

BEAT = 0.025  # seconds between looks at whether the loop turns in time
LINE_MOST = 1 << 26
FAILED = 3


class Worker(Protocol):
    """What a kind of worker does."""

    def order(self, order: Order) -> None: ...

    def second(self, watched: Second) -> Second:
        """Adds its own figures to those of the second that is over."""
        ...


class Pulse:
    """Watches how late the loop is, and says so every second."""

    def __init__(self, reactor: Any, name: str, tell: Callable[[Second], None]) -> None:
        self.reactor, self.tell = reactor, tell
        self.watch = Watch(name, own_usage)
        self._expected = self._next_row = 0.0

    def start(self) -> None:
        self.watch.begin()
        self._expected = time.monotonic() + BEAT
        self._next_row = time.monotonic() + 1.0
        self.reactor.callLater(BEAT, self._beat)

    def _beat(self) -> None:
        now = time.monotonic()
        self.watch.late(int(max(0.0, now - self._expected) * 1e6))
        if now >= self._next_row:
            self._next_row = now + 1.0
            row = self.watch.row(0)
            self.tell(Second(row.lag_ms, row.lag_p99_ms, row.cpu))
        self._expected = now + BEAT
        self.reactor.callLater(BEAT, self._beat)


class Control(LineReceiver):
    """The run's end of the standard streams."""

    delimiter = b"\n"
    MAX_LENGTH = LINE_MOST

    def __init__(self, reactor: Any) -> None:
        self.reactor = reactor
        self.worker: Worker | None = None
        self.code = 0

    def say(self, word: Word) -> None:
        self.sendLine(encode(word))

    def failed(self, reason: str) -> None:
        if not self.code:
            self.code = FAILED
            self.say(Failed(reason))

    def lineReceived(self, line: bytes) -> None:
        if self.worker is not None:
            self.worker.order(read_order(line))
            return
        job = read_job(line)
        pulse = Pulse(self.reactor, job.name, self._second)
        self.worker = make(job, self.reactor, self.say, pulse)
        gc.collect()
        gc.freeze()
        pulse.start()

    def _second(self, watched: Second) -> None:
        assert self.worker is not None
        self.say(self.worker.second(watched))

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.reactor.running:
            self.reactor.stop()


def make(job: Job, reactor: Any, say: Callable[[Word], None], pulse: Pulse) -> Worker:
    """The worker for a job; each kind loads only what it needs."""
    if isinstance(job, HollowJob):
        from .hollow import Hollow

        return Hollow(job, reactor, say, pulse)
    from .traffic import Traffic

    return Traffic(job, reactor, say, pulse)


def main() -> int:
    if sys.argv[1:] == ["traffic"]:  # its timers are finer, and it has few descriptors
        from twisted.internet import selectreactor

        selectreactor.install()
    from twisted.internet import reactor, stdio

    loop: Any = reactor
    control = Control(loop)

    def observe(event: dict[str, Any]) -> None:
        failure = event.get("failure")
        if event.get("isError") and failure is not None:
            print(failure.getTraceback(), file=sys.stderr, flush=True)
            control.failed(f"{failure.type.__name__}: {failure.getErrorMessage()}")

    log.startLoggingWithObserver(observe, setStdout=False)
    stdio.StandardIO(control)
    loop.run()
    sys.stderr.flush()
    os._exit(control.code)  # nothing is waited for


if __name__ == "__main__":
    sys.exit(main())
