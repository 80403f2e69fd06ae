"""Plays one run in a process of its own, with the code of the checkout it is started in: a run as JSON on standard
input, its figures as JSON on standard output."""

from __future__ import annotations

import json
import sys

from lemonway.kit.emulator import report, scenario
from lemonway.kit.emulator.day import play

try:
    from lemonway import admission_policy
except ImportError:  # a checkout older than the module's present name
    from lemonway import brain as admission_policy  # type: ignore[attr-defined,no-redef]


def main() -> None:
    job = json.load(sys.stdin)
    constant_names = getattr(admission_policy, "EXPERIMENT_NAMES", {})
    for name, value in job["tunables"]:
        setattr(admission_policy, constant_names.get(name, name), value)
    plan = scenario.check(json.loads(job["raw"]), "run")
    if job["fidelity"] == "live":
        from lemonway.kit.live import report as live_report
        from lemonway.kit.live.supervisor import play_live
        from lemonway.kit.live.watch import Bounds

        figures = live_report.figures(play_live(plan, job["seed"], Bounds()), Bounds())
    else:
        figures = report.figures(play(plan, job["seed"], wire=job["fidelity"] == "wire"))
    json.dump(figures, sys.stdout, sort_keys=True)


if __name__ == "__main__":
    main()
