"""A machine: cores, the reading of requests, memory, and when it falls over. It outlives the processes on it. It must
not know the node's decisions: only what came, what runs, and what is kept."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..virtual import Loop
from .cores import Cores, Warmth

WATCH = 100_000  # microseconds between looks at the concurrency on the cores


@dataclass(frozen=True)
class Build:
    """What a machine is made of; drawn once, before the day."""

    kind: str
    cores: int
    speed: float
    thrash: float
    thrash_at: float
    cold_from: float
    cold_us: int
    warm_work: float  # standard milliseconds after which it is warm, 0 = by time alone
    memory_kb: float
    run_factor: float
    kb_per_key: float
    fall_multiple: float
    fall_us: int


class Machine:
    """``fell`` is called with the reason once its limits are passed."""

    def __init__(self, loop: Loop, name: str, build: Build) -> None:
        self.loop, self.name, self.build = loop, name, build
        warmth = Warmth(build.cold_from, build.cold_us, build.warm_work)
        self.cores = Cores(loop, build.cores, build.speed, build.thrash, build.thrash_at, warmth)
        self.fell: Callable[[str], None] = lambda why: None
        self.keys: Callable[[], int] = lambda: 0
        self.up = False
        self.held_kb = self.running_kb = 0.0
        self.most_concurrency = self.most_memory = 0.0  # nearest to the limits, 1 = at them
        self._reading = 0
        self._unread: deque[tuple[float, Callable[[], None]]] = deque()
        self._concurrency_times: deque[float] = deque(maxlen=max(1, build.fall_us // WATCH) + 1)
        self._life = 0

    def start(self, cold: bool) -> None:
        self.up = True
        self._life += 1
        self.held_kb = self.running_kb = 0.0
        self._reading = 0
        self._unread.clear()
        self._concurrency_times.clear()
        self.cores.reset(cold)
        self.loop.after(WATCH, self._watch, self._life)

    def stop(self) -> None:
        self.up = False
        self._life += 1
        self._unread.clear()
        self.cores.reset(False)

    # reading: one request a core at a time, sharing the cores with what runs

    def read(self, work: float, done: Callable[[], None]) -> None:
        if self._reading < self.build.cores:
            self._read(work, done)
        else:
            self._unread.append((work, done))

    def _read(self, work: float, done: Callable[[], None]) -> None:
        self._reading += 1
        life = self._life

        def over() -> None:
            if life != self._life:
                return
            self._reading -= 1
            if self._unread:
                self._read(*self._unread.popleft())
            done()

        self.cores.add(work, over, is_request=False)

    @property
    def unread(self) -> int:
        return len(self._unread)

    # memory

    def hold(self, kb: float) -> None:
        """Book (or, with less than nothing, free) what a request takes while it is held."""
        self.held_kb += kb
        if kb > 0:
            self._weigh()

    def run(self, kb: float) -> None:
        self.running_kb += kb
        if kb > 0:
            self._weigh()

    def memory_share(self) -> float:
        if self.build.memory_kb <= 0:
            return 0.0
        need = self.held_kb + self.build.run_factor * self.running_kb + self.build.kb_per_key * self.keys()
        return max(0.0, need / self.build.memory_kb)  # sums of what came and went may end a hair below 0

    def _weigh(self) -> None:
        share = self.memory_share()
        if share > self.most_memory:
            self.most_memory = share
        if share > 1.0 and self.up:
            self.fell(f"memory: {share:.3f} of it needed")

    # the concurrency on the cores

    def ceiling(self) -> float:
        """Running requests on the cores, in the mean, past which it falls over."""
        warm = self.cores.share()
        return self.build.cores * (1.0 + (self.build.fall_multiple - 1.0) * warm)

    def _watch(self, life: int) -> None:
        if life != self._life or not self.up:
            return
        times = self._concurrency_times
        times.append(self.cores.concurrency_until_now())
        if len(times) == times.maxlen and self.build.fall_multiple > 0:
            mean = (times[-1] - times[0]) / (WATCH * (len(times) - 1))
            share = mean / self.ceiling()
            self.most_concurrency = max(self.most_concurrency, share)
            if share > 1.0:
                self.fell(f"concurrency: {mean:.1f} running on the cores in the mean, {self.ceiling():.1f} survived")
                return
        self.loop.after(WATCH, self._watch, life)

    def gauges(self) -> tuple[float, ...]:
        """cpu_busy, runnable, mem_used, sockets."""
        return (self.cores.busy(), float(self.cores.tasks), min(1.0, self.memory_share()), 0.0)
