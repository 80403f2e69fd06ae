"""The cost of deciding: CPU time a step of the decision module takes with so many requests in hand, nearly all of them
held. Run as a program it times the checkout that is on its path and prints JSON: ``python deciding.py``."""

from __future__ import annotations

import json
import sys
import time

from lemonway import Policy
from lemonway import interface as api

CORES, WORK, GAP, SWEEP = 6, 40.0, 0.5, 50.0  # milliseconds between steps, and between sweeps
STEPS, ROUNDS = 600, 5
LANES = [
    api.RequestClass("long", target_latency_ms=100_000.0, deadline_ms=120_000.0),
    api.RequestClass("short", target_latency_ms=30.0, deadline_ms=4000.0),
]


class Server:
    """A module under load: ``held`` wait, ``CORES`` run; what it starts is noted."""

    def __init__(self, held: int) -> None:
        settings = api.Settings(
            request_classes=LANES, cores=CORES, max_concurrency_per_core=2.0, gauge_names=("cpu_busy", "runnable")
        )
        self.policy, self.now, self.last, self.swept = Policy(settings, 1), 1000.0, 0, 1000.0
        self.going: list[int] = []
        self.refused = 0
        self.step([])
        self.step([self.arrival(0) for _ in range(held + CORES)])

    def arrival(self, lane: int) -> api.Arrival:
        self.last += 1
        return api.Arrival(self.last, lane, work_ms=WORK, size_kb=1.0)

    def step(self, events: list[api.Event]) -> None:
        if self.now - self.swept >= SWEEP:
            self.swept = self.now
            events = [*events, api.Woken(1, (1.0, float(CORES)))]
        for action in self.policy.step(self.now, events):
            if isinstance(action, api.Admit):
                self.going.append(action.id)
            elif isinstance(action, api.Refuse):
                self.refused += 1
        self.now += GAP


def measure(held: int, kind: str) -> float:
    """Microseconds of CPU a request."""
    best = float("inf")
    for _ in range(ROUNDS):
        server = Server(held)
        begun = time.process_time_ns()
        if kind == "refused":
            for _ in range(STEPS):
                server.step([server.arrival(1)])
        else:
            for _ in range(STEPS):
                ended = api.Finished(server.going.pop(0), WORK, api.Outcome.OK)
                server.step([server.arrival(0), ended])
        best = min(best, (time.process_time_ns() - begun) / 1000 / STEPS)
        if kind == "refused" and server.refused < 0.9 * STEPS or kind == "served" and server.refused > 0.1 * STEPS:
            raise RuntimeError(f"{held} held, {kind}: {server.refused} of {STEPS} were refused")
    return best


HELD = (0, 10, 30, 100, 1000)
CASES = {
    f"decide, {kind}, {held} held": (held, kind)
    for kind in ("refused", "served")
    for held in HELD
    if held or kind == "served"
}


if __name__ == "__main__":
    json.dump({name: measure(*case) for name, case in CASES.items()}, sys.stdout)
