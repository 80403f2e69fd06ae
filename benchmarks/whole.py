"""The cost of a request end to end: CPU time of a whole node over byte pipes, without that of its peers. Run as a
program it times the checkout that is on its path, with the stage of this one, and prints JSON: ``python whole.py``."""

from __future__ import annotations

import json
import sys
import time
from pathlib import Path as File
from typing import Any

sys.path.append(str(File(__file__).parent.parent))  # the stage; the checkout that is timed comes first

from benchmarks.paths import PATHS, Path, Set  # noqa: E402
from benchmarks.stage import Stage  # noqa: E402
from lemonway.kit.emulator.wire import pipes  # noqa: E402
from lemonway.net.transport.clock import EventLoop  # noqa: E402

WARM, TIMED, ROUNDS = 100, 300, 3


class Meter:
    """Adds up what the node takes: in what its connections read, and in the ends of its event-loop iterations."""

    def __init__(self, stage: Stage) -> None:
        self.spent, self._stage = 0, stage
        self._hand, self._end = pipes.Endpoint._hand, EventLoop._end_iteration

    def __enter__(self) -> Meter:
        hand, end, clock = self._hand, self._end, time.process_time_ns

        def timed_hand(pipe: pipes.Endpoint, data: bytes) -> None:
            if pipe.owner is not self._stage:
                return hand(pipe, data)
            begun = clock()
            hand(pipe, data)
            self.spent += clock() - begun

        def timed_end(event_loop: EventLoop) -> None:
            begun = clock()
            end(event_loop)
            self.spent += clock() - begun

        pipes.Endpoint._hand, EventLoop._end_iteration = timed_hand, timed_end  # type: ignore[method-assign,assignment]
        return self

    def __exit__(self, *_: object) -> None:
        pipes.Endpoint._hand, EventLoop._end_iteration = self._hand, self._end  # type: ignore[method-assign]


def burst(path: Path, ready: Set, together: int) -> None:
    """So many requests in one piece on one connection, then time for their answers."""
    if together == 1:
        path.send(ready, b"x" * 200)
        return ready.stage.run(1.0 / ready.rate)
    router: Any = ready.router.next()
    said: list[bytes] = []
    router.write = said.append
    turn, ready.router.next = ready.router.next, lambda: router
    for _ in range(together):
        path.send(ready, b"x" * 200)
    ready.router.next = turn
    del router.write
    router.write(b"".join(said))
    ready.stage.run(together / ready.rate)


def measure(front: str, name: str, in_hand: int, together: int) -> float:
    """Microseconds of CPU a request."""
    path = next(p for p in PATHS if (p.front, p.name) == (front, name))
    best = float("inf")
    for _ in range(ROUNDS):
        ready: Set = path.prepare(in_hand)
        for _ in range(max(WARM, 2 * in_hand) // together + 1):
            burst(path, ready, together)
        before, meter = ready.answers(), Meter(ready.stage)
        with meter:
            for _ in range(TIMED // together):
                burst(path, ready, together)
        got = ready.answers() - before
        count = TIMED // together * together
        if sum(got[word] for word in path.words) < 0.8 * count:
            raise RuntimeError(f"{front}, {name}: {count} sent and {dict(got)} answered")
        best = min(best, meter.spent / 1000 / count)
    return best


CASES = {
    "resp, served, 10 in hand": ("resp", "served", 10, 1),
    "resp, served, 30 in hand": ("resp", "served", 30, 1),
    "resp, served, 100 in hand": ("resp", "served", 100, 1),
    "resp, served with a call, 30 in hand": ("resp", "served with a call", 30, 1),
    "resp, refused, 10 in hand": ("resp", "refused", 10, 1),
    "resp, refused, 10 in hand, 32 together": ("resp", "refused", 10, 32),
    "resp, refused, 30 in hand, 32 together": ("resp", "refused", 30, 32),
    "uwsgi, served, 30 in hand": ("uwsgi", "served", 30, 1),
}


if __name__ == "__main__":
    json.dump({name: measure(*case) for name, case in CASES.items()}, sys.stdout)
