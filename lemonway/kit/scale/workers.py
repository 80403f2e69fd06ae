"""The worker processes of a scale run, at the run's end of their standard streams."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from .orders import Failed, Job, Order, Ready, Second, TrafficJob, Word, encode, read_word
from .processes import Child, ProcessError

MODULE = "lemonway.kit.scale.worker"


class WorkerProcess:
    """One worker: its words are kept by kind; ``second`` is told each of its seconds."""

    def __init__(self, job: Job, second: Callable[[WorkerProcess, Second], None]) -> None:
        self.job, self.tell = job, second
        self.child = Child(job.name, said=self._said)
        self.latest = Second(0.0, 0.0, 0.0)
        self.ready: Ready | None = None
        self.done: Word | None = None
        self.failed = ""
        self._heard = asyncio.Event()

    @property
    def traffic(self) -> bool:
        return isinstance(self.job, TrafficJob)

    async def start(self, cpus: Sequence[int]) -> None:
        await self.child.start(["-m", MODULE, *(["traffic"] if self.traffic else [])], cpus)
        self.child.write(encode(self.job))

    def order(self, order: Order) -> None:
        self.child.write(encode(order))

    def _said(self, line: bytes) -> None:
        word = read_word(line)
        if isinstance(word, Second):
            self.latest = word
            self.tell(self, word)
            return
        if isinstance(word, Ready):
            self.ready = word
        elif isinstance(word, Failed):
            self.failed = f"{self.job.name}: {word.reason}"
        else:
            self.done = word
        self._heard.set()

    async def until_ready(self, patience: float) -> None:
        """Until it is up. Raises ``ProcessError`` where it fails, ends or takes too long."""
        await self._until(lambda: self.ready is not None, patience)

    async def until_done(self, patience: float) -> None:
        """Until its records are there. Raises ``ProcessError`` likewise."""
        await self._until(lambda: self.done is not None, patience)

    async def _until(self, holds: Callable[[], bool], patience: float) -> None:
        loop = asyncio.get_running_loop()
        end = loop.time() + patience
        while not holds():
            if why := self.failed or self.child.ended:
                raise ProcessError(why)
            if loop.time() > end:
                raise ProcessError(f"{self.job.name} has not answered for {patience:.0f} s")
            self._heard.clear()
            try:
                await asyncio.wait_for(self._heard.wait(), 0.2)
            except TimeoutError:
                continue
