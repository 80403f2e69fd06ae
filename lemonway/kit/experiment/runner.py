"""Plays the runs of an experiment that are not kept yet, so many at a time, each in a process of its own. What is
finished is kept at once: an interrupted experiment goes on where it stopped."""

from __future__ import annotations

import json
import subprocess
import sys
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor, as_completed
from pathlib import Path
from typing import Any

from ... import admission_policy
from .plan import Run, code_digest, digest_now
from .store import Store

TIMEOUT = 1800  # seconds for one run
VOID_TRIES = 3


class RunError(Exception):
    """A run that could not be played; one line."""


def play_run(run: Run) -> dict[str, Any]:
    job = json.dumps({"raw": run.raw, "seed": run.seed, "tunables": run.tunables, "fidelity": run.fidelity})
    root = run.code or str(Path(admission_policy.__file__).parent.parent)
    worker = Path(__file__).with_name("worker.py").read_text(encoding="utf-8")
    try:
        done = subprocess.run(
            [sys.executable, "-c", worker], input=job, capture_output=True, text=True, cwd=root, timeout=TIMEOUT
        )
    except subprocess.TimeoutExpired:
        raise RunError(f"{run.scenario}, {run.arm}, seed {run.seed}: not over after {TIMEOUT} s") from None
    if done.returncode:
        last = (done.stderr.strip().splitlines() or ["no word"])[-1]
        raise RunError(f"{run.scenario}, {run.arm}, seed {run.seed}: {last}")
    if digest_now(run.code, run.fidelity) != code_digest(run.code, run.fidelity):
        # Guards against a result that is kept under the name of code that did not make it.
        raise RunError(f"the code of {root} changed while the experiment ran: start it again")
    figures: dict[str, Any] = json.loads(done.stdout)
    return figures


def play_again(run: Run) -> dict[str, Any]:
    """A live day that was void says nothing and is played again."""
    for _ in range(VOID_TRIES):
        figures = play_run(run)
        if not figures.get("void"):
            return figures
    why = "; ".join(f"second {row['second']}: {row['why']}" for row in figures["void"][:3])
    raise RunError(f"{run.scenario}, {run.arm}, seed {run.seed}: void {VOID_TRIES} times, {why}")


def play_missing(
    runs: Sequence[Run],
    store: Store,
    jobs: int,
    progress: Callable[[float], None] = lambda share: None,
) -> int:
    """Gives how many were played."""
    missing = store.missing(runs)
    if any(run.fidelity == "live" for run in missing):
        jobs = 1  # two live days on one machine would each be a load on the other
    with ThreadPoolExecutor(jobs) as pool:
        waiting = {pool.submit(play_again, run): run for run in missing}
        try:
            for number, future in enumerate(as_completed(waiting), 1):
                store.add(waiting[future], future.result())
                progress(number / len(missing))
        except BaseException:
            for future in waiting:
                future.cancel()
            raise
    return len(missing)
