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

from ... import brain
from .plan import Run, code_digest, digest_now
from .store import Store

TIMEOUT = 1800  # seconds for one run


class RunError(Exception):
    """A run that could not be played; one line."""


def play_run(run: Run) -> dict[str, Any]:
    job = json.dumps({"raw": run.raw, "seed": run.seed, "tunables": run.tunables, "wire": run.wire})
    root = run.code or str(Path(brain.__file__).parent.parent)
    worker = Path(__file__).with_name("worker.py").read_text(encoding="utf-8")
    try:
        done = subprocess.run([sys.executable, "-c", worker], input=job, capture_output=True, text=True, cwd=root,
                              timeout=TIMEOUT)
    except subprocess.TimeoutExpired:
        raise RunError(f"{run.scenario}, {run.arm}, seed {run.seed}: not over after {TIMEOUT} s") from None
    if done.returncode:
        last = (done.stderr.strip().splitlines() or ["no word"])[-1]
        raise RunError(f"{run.scenario}, {run.arm}, seed {run.seed}: {last}")
    if digest_now(run.code) != code_digest(run.code):
        # Guards against a result that is kept under the name of code that did not make it.
        raise RunError(f"the code of {root} changed while the experiment ran: start it again")
    figures: dict[str, Any] = json.loads(done.stdout)
    return figures


def play_missing(
    runs: Sequence[Run], store: Store, jobs: int, progress: Callable[[float], None] = lambda share: None,
) -> int:
    """Gives how many were played."""
    missing = store.missing(runs)
    with ThreadPoolExecutor(jobs) as pool:
        waiting = {pool.submit(play_run, run): run for run in missing}
        try:
            for number, future in enumerate(as_completed(waiting), 1):
                store.add(waiting[future], future.result())
                progress(number / len(missing))
        except BaseException:
            for future in waiting:
                future.cancel()
            raise
    return len(missing)
