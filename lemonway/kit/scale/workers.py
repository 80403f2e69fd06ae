"""Worker processes of a scale run, as seen by the run over their standard streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from .orders import Failed, Job, Order, Ready, SecondReport, TrafficJob, WorkerMessage, encode, read_worker_message
from .processes import ChildProcess, ProcessError

MODULE = "lemonway.kit.scale.worker"


class WorkerProcess:
    """One worker and its latest message of each kind; ``on_second`` is called with each ``SecondReport``."""

    def __init__(self, job: Job, on_second: Callable[[WorkerProcess, SecondReport], None]) -> None:
        self.job, self._notify_second = job, on_second
        self.child = ChildProcess(job.name, on_output_line=self._on_output_line)
        self.latest = SecondReport(0.0, 0.0, 0.0)
        self.ready: Ready | None = None
        self.done: WorkerMessage | None = None
        self.failed = ""
        self._message_received = asyncio.Event()

    @property
    def traffic(self) -> bool:
        return isinstance(self.job, TrafficJob)

    async def start(self, cpus: Sequence[int]) -> None:
        await self.child.start(["-m", MODULE, *(["traffic"] if self.traffic else [])], cpus)
        self.child.write(encode(self.job))

    def send_order(self, order: Order) -> None:
        self.child.write(encode(order))

    def _on_output_line(self, line: bytes) -> None:
        message = read_worker_message(line)
        if isinstance(message, SecondReport):
            self.latest = message
            self._notify_second(self, message)
            return
        if isinstance(message, Ready):
            self.ready = message
        elif isinstance(message, Failed):
            self.failed = f"{self.job.name}: {message.reason}"
        else:
            self.done = message
        self._message_received.set()

    async def wait_until_ready(self, timeout: float) -> None:
        """Wait until the worker is ready. Raises ``ProcessError`` if it fails, exits or exceeds ``timeout`` seconds."""
        await self._wait_until(lambda: self.ready is not None, timeout)

    async def wait_until_done(self, timeout: float) -> None:
        """Wait until the worker has written its records. Raises ``ProcessError`` like ``wait_until_ready``."""
        await self._wait_until(lambda: self.done is not None, timeout)

    async def _wait_until(self, condition: Callable[[], bool], timeout: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + timeout
        while not condition():
            if failure := self.failed or self.child.unexpected_end:
                raise ProcessError(failure)
            if loop.time() > end:
                raise ProcessError(f"{self.job.name} has not answered within {timeout:.0f} s")
            self._message_received.clear()
            try:
                await asyncio.wait_for(self._message_received.wait(), 0.2)
            except TimeoutError:
                continue
