"""Simulates a fleet's calls to cold servers in virtual time: one ``limits.ramp.Ramp`` per process, each with queued
calls, and servers that count calls in a sliding window and fail when a count exceeds ``allowed``: the budget and an
allowance for random variation.

    python -m lemonway.kit.emulator.cold_tier        # the table of docs/acceptance.md, ten seeds a row"""

from __future__ import annotations

import sys
from dataclasses import dataclass, field
from heapq import heappop, heappush
from math import sqrt
from random import Random

from ...limits.ramp import ColdTier, Ramp, State
from ...net.program.node import exponential_draws

WINDOW_US, WARMING_US, CALL_US = 1_000_000, 16_000_000, 20_000


def allowed_calls(budget: float) -> float:
    """The calls that a window may contain: the budget, and an allowance for random variation (two standard deviations
    and 2)."""
    return budget + 2 * sqrt(budget) + 2


@dataclass
class ColdServer:
    """A server that counts calls in a sliding window. When overloaded it fails: it forgets the calls of the window, is
    down for one window, and restarts cold. ``cold`` and ``warm`` are its budgets, in calls per window; times are
    microseconds."""

    cold: float
    warm: float
    window: int = WINDOW_US
    warming_us: int = WARMING_US
    started: int = 0
    failures: int = 0  # how often it failed
    peak_share: float = 0.0  # the largest count, as a share of the allowed one
    down_until: int = -1
    _call_times: list[int] = field(default_factory=list)

    def budget(self, now: int) -> float:
        """The budget of the window that ends at ``now``, as of the window's start."""
        age = max(0, now - self.window - self.started)
        return self.cold + (self.warm - self.cold) * min(1.0, age / self.warming_us)

    def restart(self, now: int, down: int = 0) -> None:
        self.down_until, self.started, self._call_times = now + down, now + down, []

    def accept(self, now: int) -> bool:
        """Handles an arriving call. Returns False if the server is down or fails under the call."""
        if now < self.down_until:
            return False
        self._call_times = [at for at in self._call_times if at > now - self.window]
        self._call_times.append(now)
        share = len(self._call_times) / allowed_calls(self.budget(now))
        self.peak_share = max(self.peak_share, share)
        if share > 1:
            self.failures += 1
            self.restart(now, down=self.window)
            return False
        return True


@dataclass
class Outcome:
    peak_share: float
    failures: int
    served: int
    full_at: float | None  # seconds until every process had reached its full rate


def simulate(
    cold: float,
    processes: int,
    seed: int,
    *,
    paced: bool = True,
    warm: float = 0.0,
    servers: int = 1,
    waiting: int = 3,
    load: float = 0.5,
    length: int = 40_000_000,
    restart: str = "all",
    at: int = 0,
) -> Outcome:
    """Simulates ``length`` microseconds. ``cold`` and ``warm`` are the budgets of one server. ``load``: arriving calls
    as a share of the warm budget; each process starts with ``waiting`` queued calls. ``restart``: with ``all``, all
    processes start at 0 against cold servers; with ``server``, the first server restarts at ``at`` (microseconds) after
    a window in which it is down; with ``fleet``, so do all servers, and all processes start again at ``at``; with
    ``one cold``, only the first server is cold. ``paced``: without it, calls are sent as soon as they arrive."""
    random = Random(seed)
    warm = warm or 3 * cold
    server_list = [ColdServer(cold, warm) for _ in range(servers)]
    if restart == "one cold":
        for node in server_list[1:]:
            node.started = -10 * WARMING_US  # warm long before 0
    tier = ColdTier(cold * servers, warm * servers, WINDOW_US, WARMING_US, processes)
    ramps = [Ramp(tier, exponential_draws(seed * 10_000 + n), 0) for n in range(processes)]
    arrivals_per_us = load * warm * servers / processes / WINDOW_US  # at one process
    queue, timer_set = [waiting] * processes, [False] * processes
    events: list[tuple[int, int, str, int, bool]] = []
    sequence = served = 0
    full_at: float | None = None

    def schedule(at_us: float, event: str, process: int, ok: bool = False) -> None:
        nonlocal sequence
        sequence += 1
        heappush(events, (int(at_us), sequence, event, process, ok))

    for n in range(processes):
        schedule(0, "start", n)
        schedule(random.expovariate(arrivals_per_us), "arrival", n)
    if at:
        schedule(at, "restart", 0)
    while events and events[0][0] <= length:
        now, _, event, n, ok = heappop(events)
        if event == "restart":
            for node in server_list if restart == "fleet" else server_list[:1]:
                node.restart(now, WINDOW_US)
            if restart == "fleet":
                ramps = [Ramp(tier, exponential_draws(seed * 10_000 + 5000 + n), now) for n in range(processes)]
                queue = [waiting] * processes
                for each in range(processes):
                    schedule(now, "start", each)
            continue
        if event == "arrival":
            if queue[n] < 50:  # a process refuses further calls
                queue[n] += 1
            schedule(now + 1 + random.expovariate(arrivals_per_us), "arrival", n)
        elif event == "ended":
            served += ok
            ramps[n].on_call_ended(now, ok)
            if full_at is None and all(
                ramp.state is State.WARM or ramp.successful_call_us >= WARMING_US + WINDOW_US for ramp in ramps
            ):
                full_at = now / 1e6
        elif event == "pace":
            timer_set[n] = False
        while queue[n]:
            send_at = ramps[n].next_send_time(now) if paced else now
            if send_at > now:
                if not timer_set[n]:
                    timer_set[n] = True
                    schedule(send_at, "pace", n)
                break
            queue[n] -= 1
            ramps[n].on_call_sent(now, queue[n])
            schedule(now + CALL_US, "ended", n, random.choice(server_list).accept(now))
    return Outcome(
        max(node.peak_share for node in server_list), sum(node.failures for node in server_list), served, full_at
    )


SCENES: list[tuple[str, dict[str, object]]] = [
    ("all start at once, tier cold", {}),
    ("fleet and tier start anew at 10 s", {"restart": "fleet", "at": 10_000_000}),
    ("server starts anew at 6 s, mid-ramp", {"restart": "server", "at": 6_000_000}),
    ("one of 8 servers cold, 7 warm", {"restart": "one cold", "servers": 8}),
]


def main() -> None:
    print("| scene | N | processes | largest count / (N + 2·√N + 2) | falls | served | full rate after s | unpaced |")
    print("| --- | --- | --- | --- | --- | --- | --- | --- |")
    for name, scene in SCENES:
        for cold in (2, 10, 50, 200):
            for processes in (1, 5, 20, 30, 200):
                paced_runs = [simulate(cold, processes, seed, **scene) for seed in range(10)]  # type: ignore[arg-type]
                unpaced = [simulate(cold, processes, seed, paced=False, **scene) for seed in range(10)]  # type: ignore[arg-type]
                full = sorted(each.full_at for each in paced_runs if each.full_at is not None)
                print(
                    f"| {name} | {cold} | {processes} | {max(e.peak_share for e in paced_runs):.2f} | "
                    f"{sum(e.failures for e in paced_runs)} | {sum(e.served for e in paced_runs) // 10} | "
                    f"{f'{full[len(full) // 2]:.0f} ({len(full)} of 10)' if full else 'not in 40'} | "
                    f"{max(e.peak_share for e in unpaced):.2f}, {sum(e.failures for e in unpaced)} falls, "
                    f"{sum(e.served for e in unpaced) // 10} served |"
                )
                sys.stdout.flush()


if __name__ == "__main__":
    main()
