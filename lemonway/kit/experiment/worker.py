"""Plays one run in a process of its own, with the code of the checkout it is started in: a run as JSON on standard
input, its figures as JSON on standard output."""

from __future__ import annotations

import json
import sys

from lemonway import brain
from lemonway.kit.emulator import report, scenario
from lemonway.kit.emulator.day import play


def main() -> None:
    job = json.load(sys.stdin)
    for name, value in job["tunables"]:
        setattr(brain, name, value)
    result = play(scenario.check(json.loads(job["raw"]), "run"), job["seed"], wire=job["wire"])
    json.dump(report.figures(result), sys.stdout, sort_keys=True)


if __name__ == "__main__":
    main()
