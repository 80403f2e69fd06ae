"""A machine: cores, the reading of requests, memory, and its failure under overload. It outlives the processes on it.
It is told which requests arrived, run and are stored, never what the node decided."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass

from ..virtual import Loop
from .cores import Cores, Warmth

CONCURRENCY_SAMPLE_US = 100_000  # between samples of the concurrency on the cores


@dataclass(frozen=True)
class MachineSpec:
    """A machine's hardware; drawn once, before the run starts."""

    kind: str
    cores: int
    speed: float
    thrash: float
    thrash_at: float
    cold_share: float
    warmup_us: int
    warm_work: float  # standard milliseconds of work after which it is warm, 0 = by time only
    memory_kb: float
    run_memory_factor: float
    kb_per_key: float
    max_concurrency_per_core: float
    overload_window_us: int


class Machine:
    """``on_failure`` is called with the reason when memory or concurrency exceeds the machine's limits."""

    def __init__(self, loop: Loop, name: str, build: MachineSpec) -> None:
        self.loop, self.name, self.build = loop, name, build
        warmth = Warmth(build.cold_share, build.warmup_us, build.warm_work)
        self.cores = Cores(loop, build.cores, build.speed, build.thrash, build.thrash_at, warmth)
        self.on_failure: Callable[[str], None] = lambda why: None
        self.key_count: Callable[[], int] = lambda: 0
        self.up = False
        self.queued_kb = self.running_kb = 0.0
        self.peak_concurrency = self.peak_memory = 0.0  # highest use seen, 1 = at the limit
        self._active_reads = 0
        self._read_queue: deque[tuple[float, Callable[[], None]]] = deque()
        self._concurrency_samples: deque[float] = deque(
            maxlen=max(1, build.overload_window_us // CONCURRENCY_SAMPLE_US) + 1
        )
        self._incarnation = 0

    def start(self, cold: bool) -> None:
        self.up = True
        self._incarnation += 1
        self.queued_kb = self.running_kb = 0.0
        self._active_reads = 0
        self._read_queue.clear()
        self._concurrency_samples.clear()
        self.cores.reset(cold)
        self.loop.after(CONCURRENCY_SAMPLE_US, self._sample_concurrency, self._incarnation)

    def stop(self) -> None:
        self.up = False
        self._incarnation += 1
        self._read_queue.clear()
        self.cores.reset(False)

    # reading requests: one per core at a time, on the same cores as the runs

    def read(self, work_ms: float, on_done: Callable[[], None]) -> None:
        if self._active_reads < self.build.cores:
            self._start_read(work_ms, on_done)
        else:
            self._read_queue.append((work_ms, on_done))

    def _start_read(self, work_ms: float, on_done: Callable[[], None]) -> None:
        self._active_reads += 1
        incarnation = self._incarnation

        def finished() -> None:
            if incarnation != self._incarnation:
                return
            self._active_reads -= 1
            if self._read_queue:
                self._start_read(*self._read_queue.popleft())
            on_done()

        self.cores.add(work_ms, finished, is_request=False)

    @property
    def queued_reads(self) -> int:
        return len(self._read_queue)

    # memory

    def reserve_queued(self, kb: float) -> None:
        """Reserves the memory of a queued request; a negative number releases it."""
        self.queued_kb += kb
        if kb > 0:
            self._check_memory()

    def reserve_running(self, kb: float) -> None:
        self.running_kb += kb
        if kb > 0:
            self._check_memory()

    def memory_share(self) -> float:
        if self.build.memory_kb <= 0:
            return 0.0
        needed_kb = (
            self.queued_kb + self.build.run_memory_factor * self.running_kb + self.build.kb_per_key * self.key_count()
        )
        return max(0.0, needed_kb / self.build.memory_kb)  # rounding may leave the sums slightly below 0

    def _check_memory(self) -> None:
        share = self.memory_share()
        if share > self.peak_memory:
            self.peak_memory = share
        if share > 1.0 and self.up:
            self.on_failure(f"memory: {share:.3f} of it needed")

    # concurrency on the cores

    def max_concurrency(self) -> float:
        """Mean number of running requests above which the machine fails; lower while it is cold."""
        warm_share = self.cores.speed_share()
        return self.build.cores * (1.0 + (self.build.max_concurrency_per_core - 1.0) * warm_share)

    def _sample_concurrency(self, incarnation: int) -> None:
        if incarnation != self._incarnation or not self.up:
            return
        samples = self._concurrency_samples
        samples.append(self.cores.concurrency_total_us())
        if len(samples) == samples.maxlen and self.build.max_concurrency_per_core > 0:
            mean = (samples[-1] - samples[0]) / (CONCURRENCY_SAMPLE_US * (len(samples) - 1))
            share = mean / self.max_concurrency()
            self.peak_concurrency = max(self.peak_concurrency, share)
            if share > 1.0:
                self.on_failure(
                    f"concurrency: {mean:.1f} running on the cores in the mean, {self.max_concurrency():.1f} survived"
                )
                return
        self.loop.after(CONCURRENCY_SAMPLE_US, self._sample_concurrency, incarnation)

    def gauges(self) -> tuple[float, ...]:
        """cpu_busy, runnable, mem_used, sockets."""
        return (self.cores.busy(), float(self.cores.tasks), min(1.0, self.memory_share()), 0.0)
