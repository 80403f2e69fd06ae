"""One process of a live rehearsal: ``python -m lemonway.kit.live.part ROLE``.

It reads its job and then orders as JSON lines from standard input, writes messages to standard output and exits at the
end of its input. Each role has a module of its own; this module holds what they share: the event loop, monitoring of
the process's own lag, and shutdown.

Orders: ``prepare`` (addresses of the other parts), ``begin`` (start time), ``finish``. Messages: ``ready`` (own
addresses), ``up``, ``progress``, ``void`` (the part fell behind), ``over``, ``result``, ``fault`` (fatal error)."""

from __future__ import annotations

import gc
import importlib
import json
import os
import sys
import traceback
from typing import Any

from twisted.internet import stdio
from twisted.internet.protocol import ClientFactory, Factory, connectionDone
from twisted.protocols.basic import LineReceiver
from twisted.python import log
from twisted.python.failure import Failure

from ..emulator import scenario
from ..emulator.virtual import START_US
from .clock import RealLoop
from .watch import Bounds, LagRecorder, Row, own_usage, void_reason

SECOND = 1_000_000
POLL_INTERVAL_US = 25_000  # interval of a periodic event that shows the loop's lag
ROLES = {"announce": "announce", "acervo": "backend", "machines": "machines", "routers": "routers"}  # role: module


class PartError(Exception):
    """A part can't continue; the message is one line for the operator."""


class Part:
    """The base class of the roles."""

    role = ""

    def __init__(self, job: dict[str, Any], reactor: Any, control: Control) -> None:
        self.job, self.reactor, self.control = job, reactor, control
        self.scenario = scenario.check(job["scenario"], "the job")
        self.seed: int = job["seed"]
        self.bounds = Bounds.model_validate(job["bounds"])
        self.loop = RealLoop(reactor, job["zero"], self.on_error)
        self.host: str = job["host"]
        self.start_offset_us = 0  # from START_US to the start of the scenario
        self.watch = LagRecorder(self.role, own_usage)
        self.rows: list[Row] = []
        self._void_reported = False

    def send_message(self, **message: Any) -> None:
        self.control.send_message(message)

    def on_error(self, error: BaseException) -> None:
        if isinstance(error, PartError):
            self.control.report_failure(str(error))
        else:
            traceback.print_exception(error)
            self.control.report_failure(f"{type(error).__name__}: {error}")

    def listen(self, factory: Any, host: str = "", port: int = 0) -> Any:
        return self.reactor.listenTCP(port, ListenFactory(factory), backlog=512, interface=host or self.host)

    # orders

    def open_ports(self) -> None:
        """Open the ports that other parts need and send their addresses."""
        self.send_message(ready={})

    def prepare(self, message: dict[str, Any]) -> None:
        """Take the other parts' addresses; send ``up`` once the scenario may start."""
        self.send_message(up=True)

    def begin(self, message: dict[str, Any]) -> None:
        self.loop.catch_up()
        self.start_offset_us = message["at"] - START_US
        self.loop.at(message["at"], self._start_watch)
        self.schedule_scenario(message["at"])

    def schedule_scenario(self, at: int) -> None:
        """Schedule the scenario's events on the loop; it starts at ``at``."""

    def finish(self, message: dict[str, Any]) -> None:
        self.send_result({})

    def send_result(self, data: dict[str, Any]) -> None:
        self.send_message(
            result={
                **data,
                "rows": [row.data() for row in self.rows],
                "lag_hdr": self.watch.total_histogram.encode().decode(),
            }
        )

    # monitoring

    def _start_watch(self) -> None:
        self.watch.start_second()
        self.loop.report_lag = self.watch.record_lag
        self.loop.after(POLL_INTERVAL_US, self._poll_again)
        self.loop.after(SECOND, self._record_second_again)

    def _poll_again(self) -> None:
        self.loop.after(POLL_INTERVAL_US, self._poll_again)
        self.poll()

    def poll(self) -> None:
        """Runs every ``POLL_INTERVAL_US``, to check for things such as blocked writes."""

    def _record_second_again(self) -> None:
        self.loop.after(SECOND, self._record_second_again)
        self.record_second()

    def record_second(self) -> None:
        """Record the rows of the last second, for the part itself and the processes that it monitors."""
        if self.start_offset_us:
            second = (self.loop.real_now() - START_US - self.start_offset_us) // SECOND - 1
            for row in [self.watch.finish_second(second), *self.watched_rows(second)]:
                self.rows.append(row)
                why = void_reason(row, self.bounds)
                if why is not None and not self._void_reported:
                    self._void_reported = True
                    self.send_message(void={"second": row.second, "why": why})

    def watched_rows(self, second: int) -> list[Row]:
        return []


class ListenFactory(Factory):
    """Adapts an object that has only ``buildProtocol`` to a server factory."""

    noisy = False

    def __init__(self, inner: Any) -> None:
        self.inner = inner

    def buildProtocol(self, addr: Any) -> Any:
        return self.inner.buildProtocol(addr)


class ConnectFactory(ClientFactory):
    """Adapts an object that has only ``buildProtocol`` and ``clientConnectionFailed`` to a client factory."""

    noisy = False

    def __init__(self, inner: Any, loop: RealLoop) -> None:
        self.inner, self.loop = inner, loop

    def buildProtocol(self, addr: Any) -> Any:
        return self.inner.buildProtocol(addr)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:
        self.loop.catch_up()
        self.inner.clientConnectionFailed(connector, reason)


class Control(LineReceiver):
    """The connection to the supervisor: receives the job, then orders."""

    delimiter = b"\n"
    MAX_LENGTH = 1 << 26

    def __init__(self, role: str, reactor: Any) -> None:
        self.role, self.reactor = role, reactor
        self.part: Part | None = None
        self.exit_code = 0

    def send_message(self, message: dict[str, Any]) -> None:
        self.sendLine(json.dumps(message).encode())

    def report_failure(self, why: str) -> None:
        if not self.exit_code:
            self.exit_code = 3
            self.send_message({"fault": why})

    def lineReceived(self, line: bytes) -> None:
        message = json.loads(line)
        if self.part is None:
            module = importlib.import_module(f"{__package__}.{ROLES[self.role]}")
            self.part = module.part_class(message, self.reactor, self)
            gc.collect()
            gc.freeze()
            gc.disable()
            self.part.open_ports()
            return
        {"prepare": self.part.prepare, "begin": self.part.begin, "finish": self.part.finish}[message["do"]](message)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        if self.reactor.running:
            self.reactor.stop()


def main() -> int:
    from twisted.internet import reactor

    role = sys.argv[1]
    if role not in ROLES:
        print(f"unknown role: {role}", file=sys.stderr)
        return 2
    loop: Any = reactor
    control = Control(role, loop)

    def on_log_event(event: dict[str, Any]) -> None:
        if event.get("isError") and event.get("failure") is not None:
            failure = event["failure"]
            print(failure.getTraceback(), file=sys.stderr)
            control.report_failure(f"{failure.type.__name__}: {failure.getErrorMessage()}")

    log.startLoggingWithObserver(on_log_event, setStdout=False)
    stdio.StandardIO(control)
    loop.run()
    sys.stderr.flush()
    os._exit(control.exit_code)  # child processes die with this one, so there is nothing to wait for


if __name__ == "__main__":
    sys.exit(main())
