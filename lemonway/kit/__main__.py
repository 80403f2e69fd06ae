"""Plays the cases of a script: ``python -m lemonway.kit example/rehearsal.toml``."""

from __future__ import annotations

import argparse
import sys

from .cases import CaseError, Play, load


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway.kit", description="Play scripted cases on loopback.")
    parser.add_argument("script", help="a TOML file of cases; lemonway/kit/cases.py describes them")
    parser.add_argument("--only", metavar="NAME", help="the one case to play")
    args = parser.parse_args(argv)
    try:
        cases = [case for case in load(args.script) if args.only in (None, case["name"])]
        if not cases:
            raise CaseError(f"{args.script}: no case named {args.only}")
    except CaseError as error:
        print(f"lemonway.kit: {error}", file=sys.stderr)
        return 2
    bad = 0
    for case in cases:
        outcome = Play(case).run()
        bad += bool(outcome.faults)
        print(f"{outcome.name}: {'FAULTS' if outcome.faults else 'ok'}")
        print("".join(f"  {line}\n" for line in outcome.lines + [f"fault: {f}" for f in outcome.faults]), end="")
    print(f"{len(cases) - bad} passed, {bad} failed")
    return 1 if bad else 0


if __name__ == "__main__":
    sys.exit(main())
