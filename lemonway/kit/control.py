"""The operators' side of the control group: asks a voter's admin address, and waits for what becomes of a proposal."""

from __future__ import annotations

import time
from collections.abc import Callable
from typing import Any

from .policy import ASK, UNKNOWN, CallError, call

MISSING = "takes no such call: name the admin address of a control machine (lemonway control run)"
OVER = ("committed", "aborted", "refused", "lost", UNKNOWN)


def ask(machine: str, path: str, body: bytes | None = None) -> dict[str, Any]:
    """What the control machine at HOST:PORT (its admin address) says. Raises ``CallError``."""
    return call(machine, path, body, missing=MISSING)


def _until(look: Callable[[], bool], end: float) -> bool:
    """Look again and again until it is so; gives whether it was by ``end``."""
    while not look():
        if time.monotonic() >= end:
            return False
        time.sleep(ASK)
    return True


def group_report(status: dict[str, Any]) -> dict[str, Any]:
    """How all nodes stand: the sum over the voters that answer, since a relay reports to the voter that it watches.
    ``status``: what one control machine said; it names the voters."""
    reports, silent = [], []
    for name, admin in status["admins"].items():
        try:
            reports.append(ask(admin, "/control")["report"])
        except CallError:
            silent.append(name)
    total: dict[str, Any] = {key: sum(each[key] for each in reports) for key in ("nodes", "serving", "behind", "unfit")}
    total["lowest"] = min((each["lowest"] for each in reports if each["nodes"]), default=0)
    total["worst"] = [worst for each in reports for worst in each["worst"]]
    return total | {"silent_voters": silent}


def propose(machine: str, body: bytes, wait: float, in_force: bool) -> dict[str, Any]:
    """Propose a change and wait for its outcome, ``wait`` seconds at most; with ``in_force`` also until every node that
    a relay knows has it. Gives ``proposal``, ``state``, ``number``, ``reason`` and ``in_force``. Raises
    ``CallError``."""
    end = time.monotonic() + wait
    proposal = ask(machine, "/control/propose", body)["proposal"]
    made: dict[str, Any] = {"proposal": proposal, "state": "", "number": 0, "reason": "", "in_force": False}

    def decided() -> bool:
        outcome = ask(machine, "/control")["proposals"].get(proposal)
        if outcome is None:
            raise CallError(
                f"{machine}: was started anew and has forgotten {proposal}; 'lemonway control history' "
                "tells whether it was decided"
            )
        made.update(outcome)
        return made["state"] in OVER

    def everywhere() -> bool:
        report = group_report(ask(machine, "/control"))
        return bool(report["nodes"]) and report["lowest"] >= made["number"]

    if _until(decided, end) and made["state"] == "committed" and in_force:
        made["in_force"] = _until(everywhere, end)
    return made
