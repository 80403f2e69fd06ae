"""A worker pool: runs on shared cores, their waits and backend calls, ordered notices, and a link that can break. It
takes the commands of ``net.ports.WorkerPool`` and sends the notices of ``net.ports.PoolEvents``. It knows neither the
sender of a request nor the node's view of its runs.

A run's work is split into equal parts with a backend call between any two of them. If the request has a wait time (for
services other than the backend), the run waits once, after the first half of the first part."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any, Protocol

from ....interface import Outcome
from ....net.ports import PoolEvents
from ..virtual import Loop
from .cores import Cores, Task

LINK_DELAY_US = 60  # one way
MAX_STORED_NOTICES = 4000  # kept for resending after the link is restored
MAX_FINISHED_TXNS = 4096  # finished runs that are remembered


class PoolRequest(Protocol):
    """What the pool needs of a request."""

    txn: str
    body: bytes
    work: float  # standard milliseconds
    wait: int  # microseconds that the run waits for services other than the backend
    calls: int


class PoolObserver(Protocol):
    """Receives the start and end of each run, for memory accounting and the audit."""

    def on_run_started(self, work: Any) -> None: ...

    def on_run_ended(self, work: Any, ok: bool, spent_ms: float, result: bytes) -> None: ...


@dataclass(slots=True, eq=False)
class Run:
    work: PoolRequest
    class_name: str
    started_at_us: int
    remaining_ms: list[float]  # work still to do, by part, in reverse order
    calls: int
    state: str = "working"  # working, waiting, blocked
    task: Task | None = None
    spent_ms: float = 0.0
    state_changes: int = 0  # timers set before the latest change are ignored
    replies: list[bytes] | None = None


def result_of(class_name: str, work: PoolRequest) -> bytes:
    """The result of a run. It contains the request, so a check can tell which request an answer belongs to."""
    return b"%b|%b" % (class_name.encode(), work.body)


class Pool:
    """``find_request`` returns a request that arrived at this machine by its txn, or None."""

    def __init__(
        self,
        loop: Loop,
        cores: Cores,
        find_request: Callable[[str], PoolRequest | None],
        observer: PoolObserver,
        gauges: Callable[[], tuple[float, ...]],
        started_at_us: int,
        fresh: bool,
        keeps_paused: bool = False,
    ) -> None:
        """``keeps_paused``: a suspended run keeps its progress and resumes from there when it is spawned again."""
        self.loop, self.cores, self.find_request, self.observer, self.gauges = (
            loop,
            cores,
            find_request,
            observer,
            gauges,
        )
        self.events: PoolEvents
        self.begin: Callable[[], None] = lambda: None  # begins an event-loop iteration of the node
        self.started_at_us, self.fresh, self.keeps_paused = started_at_us, fresh, keeps_paused
        self.paused: dict[str, Run] = {}
        self.runs: dict[str, Run] = {}
        self.dead = False
        self.loses_commands = False  # commands are lost in transit
        self.linked = False
        self.blocked_count = 0  # runs that wait for a backend call
        self._finished: deque[str] = deque()
        self._finished_set: set[str] = set()
        self._notices: deque[tuple[int, Callable[[], None]]] = deque(maxlen=MAX_STORED_NOTICES)
        self._last_serial = self._last_delivered = self._link_count = 0
        self.delivering_serial = 0  # serial of the notice being delivered

    # the link

    def link(self, last_delivered: int | None = None) -> None:
        """Opens a link, which delivers ``bound`` and then the missed notices in order. ``last_delivered`` is the serial
        of the last notice the other side says it has read; without it, the pool's own record is used."""
        if self.dead or self.linked:
            return
        if last_delivered is not None:
            self._last_delivered = last_delivered
        self.linked, self.loses_commands = True, False
        self._link_count += 1
        self.loop.after(LINK_DELAY_US, self._bound, self._link_count, self._last_serial)

    def _bound(self, link_number: int, up_to_serial: int) -> None:
        """Delivers ``bound`` and the notices sent while there was no link; later ones than ``up_to_serial`` are already
        scheduled."""
        if self.dead or not self.linked or link_number != self._link_count:
            return
        self.begin()
        self.events.bound(self.fresh, self.loop.now - self.started_at_us)
        for serial, send in list(self._notices):
            if self._last_delivered < serial <= up_to_serial:
                self._last_delivered = self.delivering_serial = serial
                send()
        if link_number > 1:
            self.loop.after(2 * LINK_DELAY_US, self._resynced)

    def _resynced(self) -> None:
        if not self.dead and self.linked:
            self.begin()
            self.events.link_restored()

    def break_link(self) -> None:
        """Closes the link; notices are stored until the next one."""
        if self.linked and not self.dead:
            self.linked = False
            self.begin()
            self.events.link_lost()

    @property
    def last_delivered_serial(self) -> int:
        """The serial of the last notice that the other side has received."""
        return self._last_delivered

    def kill(self) -> None:
        """Ends the process and all its runs at once."""
        self.dead, self.linked = True, False
        runs, self.runs = {**self.runs, **self.paused}, {}
        self.paused = {}
        for run in runs.values():
            if run.task is not None:
                run.spent_ms += self.cores.remove(run.task)
            self.observer.on_run_ended(run.work, False, run.spent_ms, b"")
        self.blocked_count = 0

    def _notify(self, send: Callable[[], None]) -> None:
        self._last_serial += 1
        serial = self._last_serial
        self._notices.append((serial, send))
        if self.linked:
            self.loop.after(LINK_DELAY_US, self._deliver, serial, send)

    def _deliver(self, serial: int, send: Callable[[], None]) -> None:
        if self.linked and not self.dead and serial == self._last_delivered + 1:
            self._last_delivered = self.delivering_serial = serial
            self.begin()
            send()

    def _command(self, command: Callable[..., None], *args: object) -> bool:
        """Sends a command. Returns whether there was a link; a deaf pool loses the command."""
        if self.linked and not self.loses_commands and not self.dead:
            self.loop.after(LINK_DELAY_US, self._execute, command, args)
        return self.linked

    def _execute(self, command: Callable[..., None], args: tuple[object, ...]) -> None:
        if not self.dead:
            command(*args)

    # commands, as ``net.ports.WorkerPool``

    def spawn(self, txn: str, handler: str, body: bytes) -> bool:
        return self._command(self._spawn, txn, handler, body)

    def suspend(self, txn: str) -> None:
        self._command(self._suspend, txn)

    def supply(self, txn: str, body: bytes) -> bool:
        return self._command(self._supply, txn, body)

    def poll(self, token: str) -> None:
        self._command(self._poll, token)

    def verify(self, token: str) -> None:
        self._command(self._verify, token)

    # execution of the commands

    def _spawn(self, txn: str, handler: str, body: bytes) -> None:
        if txn in self.runs:
            return
        if (paused := self.paused.pop(txn, None)) is not None:
            self.runs[txn] = paused
            self._resume(paused)
            return
        if txn in self._finished_set:
            self._notify(lambda: self.events.finished(txn, Outcome.MOOT, 0.0, b""))
            return
        work = self.find_request(txn)
        if work is None or work.body != body:
            self._reply(lambda: self.events.command_unknown("spawn", txn))
            return
        part_count = work.calls + 1
        remaining_ms = [work.work / part_count] * part_count
        if work.wait:
            remaining_ms = remaining_ms[:-1] + [remaining_ms[-1] / 2, remaining_ms[-1] / 2]
        run = self.runs[txn] = Run(work, handler, self.loop.now, remaining_ms, work.calls)
        self.observer.on_run_started(work)
        self._run_part(run)

    def _resume(self, run: Run) -> None:
        """Resumes a suspended run: a wait starts again from zero, and a backend call is requested again."""
        run.started_at_us = self.loop.now
        run.state_changes += 1
        if run.state == "waiting":
            self.loop.after(run.work.wait, self._wait_over, run, run.state_changes)
        elif run.state == "blocked":
            self._block(run)
        else:
            self._run_part(run)

    def _block(self, run: Run) -> None:
        self.blocked_count += 1
        body = run.work.body + b"#%d" % run.calls
        self._notify(lambda: self.events.blocked(run.work.txn, body))

    def _run_part(self, run: Run) -> None:
        run.state = "working"
        run.state_changes += 1
        run.task = self.cores.add(run.remaining_ms[-1], lambda: self._part_done(run))

    def _part_done(self, run: Run) -> None:
        run.task = None
        run.spent_ms += run.remaining_ms.pop()
        if not run.remaining_ms:
            self._finish(run, Outcome.OK)
        elif len(run.remaining_ms) == run.calls + 1:  # the first half of the first part
            run.state = "waiting"
            run.state_changes += 1
            self.loop.after(run.work.wait, self._wait_over, run, run.state_changes)
        else:
            run.state = "blocked"
            run.state_changes += 1
            run.calls -= 1
            self._block(run)

    def _wait_over(self, run: Run, state_changes: int) -> None:
        if run.state_changes == state_changes and run.work.txn in self.runs:
            self._run_part(run)

    def _supply(self, txn: str, body: bytes) -> None:
        run = self.runs.get(txn)
        if run is None or run.state != "blocked":
            self._reply(lambda: self.events.command_unknown("supply", txn))
            return
        self.blocked_count -= 1
        self._run_part(run)

    def _suspend(self, txn: str) -> None:
        if not (run := self.runs.get(txn)):
            return
        if run.task is not None:
            done = self.cores.remove(run.task)
            run.spent_ms += done
            run.remaining_ms[-1] = max(0.0, run.remaining_ms[-1] - done)
            run.task = None
        if self.keeps_paused:
            del self.runs[txn]
            run.state_changes += 1
            self.blocked_count -= run.state == "blocked"
            self.paused[txn] = run
            elapsed_ms = (self.loop.now - run.started_at_us) / 1000
            self._notify(lambda: self.events.finished(txn, Outcome.CANCELLED, elapsed_ms, b""))
        else:
            self._finish(run, Outcome.CANCELLED)

    def _finish(self, run: Run, outcome: Outcome) -> None:
        if run.state == "blocked":
            self.blocked_count -= 1
        run.state_changes += 1
        txn, elapsed_ms = run.work.txn, (self.loop.now - run.started_at_us) / 1000
        del self.runs[txn]
        self._finished.append(txn)
        self._finished_set.add(txn)
        if len(self._finished) > MAX_FINISHED_TXNS:
            self._finished_set.discard(self._finished.popleft())
        result = result_of(run.class_name, run.work) if outcome is Outcome.OK else b""
        self.observer.on_run_ended(run.work, outcome is Outcome.OK, run.spent_ms, result)
        self._notify(lambda: self.events.finished(txn, outcome, elapsed_ms, result))

    def _poll(self, token: str) -> None:
        gauges = self.gauges()
        self._reply(lambda: self.events.polled(token, gauges))

    def _verify(self, token: str) -> None:
        """A deep check costs 1 ms of work on the same cores as the runs."""
        self.cores.add(1.0, lambda: self._reply(lambda: self.events.verified(token, not self.dead)), is_request=False)

    def _reply(self, send: Callable[[], None]) -> None:
        """Sends a reply on the current link; it is not resent on a later one."""
        if self.linked:
            self.loop.after(LINK_DELAY_US, self._deliver_reply, send)

    def _deliver_reply(self, send: Callable[[], None]) -> None:
        if self.linked and not self.dead:
            self.begin()
            send()
