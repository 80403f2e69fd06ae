"""The emulated pool against queueing theory, with admission off: ``python -m lemonway.kit.emulator.theory``.

With exponential work, the number of requests in a processor-sharing pool is that of M/M/c, whatever the discipline: the
probability that an arrival finds all cores busy is Erlang's C, and by Little's law the mean time beyond a request's own
work is the mean wait of M/M/c (Kleinrock, Queueing Systems, 1975). On a single shared core, the mean time is
E[S] / (1 - rho) for any distribution of work (Sakata, Noguchi and Oizumi, 1971)."""

from __future__ import annotations

import argparse
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from math import factorial, sqrt

import numpy as np

from ...interface import Outcome
from .requests import Request, Try
from .state.cores import Cores, Warmth
from .state.pool import LINK_DELAY_US, Pool
from .traffic import lognormal
from .virtual import Loop, Streams

MEAN_WORK_MS = 50.0
BATCH_COUNT = 20
WARM_UP_SHARE = 0.05  # of the arrivals, not counted
DRAW_BLOCK = 10_000  # requests drawn at once


@dataclass(frozen=True)
class Case:
    """M/M/c with several cores (``cv`` is 1), or M/G/1 with processor sharing on one core."""

    cores: int
    rho: float
    cv: float = 1.0


CASES = (Case(6, 0.5), Case(6, 0.7), Case(6, 0.85), Case(1, 0.5, 2.0), Case(1, 0.7, 0.5))


def erlang_c(cores: int, rho: float) -> float:
    load = cores * rho
    numerator = load**cores / factorial(cores) / (1.0 - rho)
    return float(numerator / (sum(load**n / factorial(n) for n in range(cores)) + numerator))


def expected(case: Case) -> tuple[float, float]:
    """The share of arrivals that find all cores busy, and the mean time beyond the work, in milliseconds."""
    if case.cores == 1:
        return case.rho, MEAN_WORK_MS / (1.0 - case.rho) - MEAN_WORK_MS
    busy = erlang_c(case.cores, case.rho)
    return busy, busy * MEAN_WORK_MS / (case.cores * (1.0 - case.rho))


class _RunRecorder:
    """Replaces the node's core: records when runs end. Every request is admitted at once."""

    def __init__(self, loop: Loop, cores: Cores) -> None:
        self.loop, self.cores = loop, cores
        self.open_tries: dict[str, Try] = {}
        self.extra_ms: list[float] = []  # time beyond the work, by order of arrival
        self.busy: list[bool] = []

    def on_run_started(self, attempt: Try) -> None:
        """Does nothing: there is no memory accounting."""

    def on_run_ended(self, attempt: Try, ok: bool, spent_ms: float, result: bytes) -> None:
        self.extra_ms[attempt.number] = (self.loop.now - LINK_DELAY_US - attempt.sent_at_us) / 1000 - attempt.work
        del self.open_tries[attempt.txn]

    def bound(self, fresh: bool, age: int) -> None:
        """Does nothing: requests are sent without waiting for the link."""

    def finished(self, txn: str, outcome: Outcome, ms: float, body: bytes) -> None:
        """Does nothing: ``on_run_ended`` has recorded the end."""


def simulate(case: Case, arrivals: int, seed: int) -> tuple[list[float], list[float]]:
    """The share of arrivals that found all cores busy and the mean time beyond the work, by batch."""
    loop, streams = Loop(), Streams(seed)
    cores = Cores(loop, case.cores, 1.0, 0.0, 1e9, Warmth(1.0, 0))
    recorder = _RunRecorder(loop, cores)
    pool = Pool(loop, cores, recorder.open_tries.get, recorder, lambda: (), loop.now, False)
    pool.events = recorder  # type: ignore[assignment]
    pool.link()
    source = streams["arrivals"]
    mean_gap_us = MEAN_WORK_MS / (case.cores * case.rho) * 1000
    drawn: list[tuple[float, float]] = []

    def arrive(number: int) -> None:
        if not drawn:
            work = (
                source.exponential(MEAN_WORK_MS, DRAW_BLOCK)
                if case.cv == 1.0
                else lognormal(MEAN_WORK_MS, case.cv, DRAW_BLOCK, source)
            )
            drawn.extend(zip(source.exponential(mean_gap_us, DRAW_BLOCK).tolist(), work.tolist(), strict=True))
        gap_us, work_ms = drawn.pop()
        recorder.busy.append(cores.tasks >= case.cores)
        recorder.extra_ms.append(0.0)
        request = Request(number, 0, 0, loop.now, 0, work_ms, 0, 0, 1.0, 0.0, 0, "", b"", False)
        attempt = Try(number, str(number), request, "n", loop.now, 0, b"", work_ms, 0, 0)
        recorder.open_tries[attempt.txn] = attempt
        pool.spawn(attempt.txn, "x", b"")
        if number + 1 < arrivals:
            loop.after(max(1, round(gap_us)), arrive, number + 1)

    loop.after(1000, arrive, 0)
    loop.run(2**62)
    first_counted = int(WARM_UP_SHARE * arrivals)
    return (
        _batch_means(np.array(recorder.busy[first_counted:], dtype=float)),
        _batch_means(np.array(recorder.extra_ms[first_counted:])),
    )


def _batch_means(values: np.ndarray[tuple[int], np.dtype[np.float64]]) -> list[float]:
    return [float(batch.mean()) for batch in np.array_split(values, BATCH_COUNT)]


def mean_and_error(rows: Sequence[float]) -> tuple[float, float]:
    """The mean and half the width of its 95% confidence interval, from batch means."""
    mean = sum(rows) / len(rows)
    return mean, 1.96 * sqrt(sum((value - mean) ** 2 for value in rows) / (len(rows) - 1) / len(rows))


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway.kit.emulator.theory", description=__doc__.split("\n")[0])
    parser.add_argument("--arrivals", type=int, default=500_000, help="in each run")
    parser.add_argument("--runs", type=int, default=4, help="of each case, with seeds of their own")
    parser.add_argument("--jobs", type=int, default=4)
    args = parser.parse_args(argv)
    print(
        f"{'case':24}{'busy: theory':>14}{'emulated':>20}{'off':>8}"
        f"{'beyond: theory':>16}{'emulated ms':>22}{'off':>8}"
    )
    with ProcessPoolExecutor(args.jobs) as pool:
        rows = {
            case: [pool.submit(simulate, case, args.arrivals, seed) for seed in range(1, args.runs + 1)]
            for case in CASES
        }
        for case, futures in rows.items():
            busy = [value for future in futures for value in future.result()[0]]
            extra_ms = [value for future in futures for value in future.result()[1]]
            (busy_mean, busy_error), (extra_mean, extra_error), (busy_theory, extra_theory) = (
                mean_and_error(busy),
                mean_and_error(extra_ms),
                expected(case),
            )
            name = f"M/M/{case.cores} rho {case.rho}" if case.cores > 1 else f"M/G/1-PS rho {case.rho} cv {case.cv:g}"
            print(
                f"{name:24}{busy_theory:14.4f}{busy_mean:12.4f} ± {busy_error:.4f}"
                f"{100 * (busy_mean / busy_theory - 1):+7.2f}%"
                f"{extra_theory:16.3f}{extra_mean:14.3f} ± {extra_error:.3f}"
                f"{100 * (extra_mean / extra_theory - 1):+7.2f}%"
            )
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
