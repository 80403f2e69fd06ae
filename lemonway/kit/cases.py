"""Scripted cases: read from TOML, played on a stage, bounded in requests and time.

A case lists steps, done in order:

    [[case]]
    name = "burst"
    calls = 1                                    # calls that each run makes
    [[case.step]]
    send = "visualizador"                        # a class; front is "uwsgi" or "resp"
    front = "uwsgi"
    count = 40
    [[case.step]]
    do = "hold"                                  # or release, cut, silence, speak, drain: what the stand-ins do
    class = "cadastro"                           # for hold and release
    [[case.step]]
    acervo = ["declined", "break"]               # the next replies of the next tier
    [[case.step]]
    wait = "answers"                             # or "runs" (of count), or a number of milliseconds
    [case.expect]
    uwsgi = { 200 = 40 }                         # least answers of each word, by front
"""

from __future__ import annotations

import tomllib
from collections import Counter
from dataclasses import dataclass, field
from typing import Any

from .acervo import WORDS
from .clients import RouterClient, UwsgiClient
from .stage import Stage, StageTimeout, site_file, site_settings

REQUESTS_MOST = 500  # a rehearsal is no load test
STEPS_MOST = 100
WAIT_MOST = 5000  # ms
ROUTERS = 4
DOINGS = ("hold", "release", "cut", "silence", "speak", "drain")
STEP_KEYS = {"send", "front", "count", "do", "class", "acervo", "wait", "key"}
CASE_KEYS = {"name", "calls", "cores", "seconds", "step", "expect"}


class CaseError(Exception):
    """A script that makes no sense; the message names the case and the key."""


@dataclass
class Outcome:
    name: str
    lines: list[str] = field(default_factory=list)
    faults: list[str] = field(default_factory=list)


def load(path: str) -> list[dict[str, Any]]:
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise CaseError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise CaseError(f"{path}: not TOML: {error}") from None
    cases = raw.get("case")
    if not isinstance(cases, list) or not cases:
        raise CaseError(f"{path}: no [[case]]")
    for number, case in enumerate(cases):
        check(case, f"case.{number}")
    return cases


def _whole(value: Any, least: int, most: int) -> bool:
    return isinstance(value, int) and not isinstance(value, bool) and least <= value <= most


def check(case: dict[str, Any], at: str) -> None:
    """Name the first key that makes no sense."""
    classes = [lane["name"] for lane in site_settings()["lanes"]]

    def need(good: bool, key: str, why: str) -> None:
        if not good:
            raise CaseError(f"{at}.{key}: {why}")

    for key in case:
        need(key in CASE_KEYS, key, "no such key")
    need(isinstance(case.get("name"), str), "name", "missing")
    need(_whole(case.get("calls", 0), 0, 4), "calls", "not a number from 0 to 4")
    need(_whole(case.get("cores", 6), 1, 64), "cores", "not a number from 1 to 64")
    seconds = case.get("seconds", 0)
    need(isinstance(seconds, int | float) and 0 <= seconds <= 1, "seconds", "not from 0 to 1")
    steps = case.get("step", [])
    need(isinstance(steps, list) and 0 < len(steps) <= STEPS_MOST, "step", f"not 1 to {STEPS_MOST} steps")
    for n, step in enumerate(steps):
        for key in step:
            need(key in STEP_KEYS, f"step.{n}.{key}", "no such key")
        kinds = [key for key in ("send", "do", "acervo", "wait") if key in step]
        need(len(kinds) == 1, f"step.{n}", "wants one of send, do, acervo, wait")
        if "send" in step:
            need(step["send"] in classes, f"step.{n}.send", f"none of {', '.join(classes)}")
            need(step.get("front", "resp") in ("resp", "uwsgi"), f"step.{n}.front", "neither resp nor uwsgi")
        if "do" in step:
            need(step["do"] in DOINGS, f"step.{n}.do", f"none of {', '.join(DOINGS)}")
            if step["do"] in ("hold", "release"):
                need(step.get("class") in classes, f"step.{n}.class", f"none of {', '.join(classes)}")
        if "wait" in step:
            need(
                step["wait"] in ("answers", "runs") or _whole(step["wait"], 0, WAIT_MOST),
                f"step.{n}.wait",
                f"neither answers, runs nor at most {WAIT_MOST} ms",
            )
        if "acervo" in step:
            need(
                isinstance(step["acervo"], list) and all(word in WORDS for word in step["acervo"]),
                f"step.{n}.acervo",
                f"not a list of {', '.join(WORDS)}",
            )
        need(_whole(step.get("count", 1), 1, REQUESTS_MOST), f"step.{n}.count", f"not 1 to {REQUESTS_MOST}")
    total = sum(step.get("count", 1) for step in steps if "send" in step)
    need(total <= REQUESTS_MOST, "step", f"{total} requests, at most {REQUESTS_MOST}")
    expect = case.get("expect", {})
    need(
        isinstance(expect, dict)
        and all(
            isinstance(words, dict) and all(_whole(v, 0, REQUESTS_MOST) for v in words.values())
            for words in expect.values()
        ),
        "expect",
        "not counts of words by front",
    )


class Play:
    """One case on a stage of its own."""

    def __init__(self, case: dict[str, Any]) -> None:
        self.case = case
        cores = case.get("cores", 6)
        self.stage = Stage(
            settings=site_settings(cores=cores), uwsgi=site_file(), cores=cores, calls=case.get("calls", 0)
        )
        for plan in self.stage.pool.plans.values():
            plan.seconds = case.get("seconds", 0.0)
        self.web: UwsgiClient = self.stage.web()
        self.routers: list[RouterClient] = [self.stage.router("resp") for _ in range(ROUTERS)]
        for n, router in enumerate(self.routers):
            router.tag = n * 1000  # one tally over all connections: tags may not meet
        self.sent = 0

    def run(self) -> Outcome:
        out = Outcome(self.case["name"])
        try:
            for step in self.case["step"]:
                self.step(step)
            self.stage.settle()
            self.stage.spin_for(0.05)  # a second answer would come about now
        except StageTimeout as error:
            out.faults.append(str(error))
        finally:
            self.stage.close()
        tally = self.stage.tally
        out.lines = tally.lines()
        out.faults += tally.faults()
        for front, words in self.case.get("expect", {}).items():
            got = Counter[str]()
            for (name, _), counts in tally.table().items():
                if name == front:
                    got.update(counts)
            out.faults += [
                f"{front}: {got[word]} answers {word}, at least {least} expected"
                for word, least in words.items()
                if got[word] < least
            ]
        return out

    def step(self, step: dict[str, Any]) -> None:
        stage = self.stage
        if "send" in step:
            for _ in range(step.get("count", 1)):
                self.send(step["send"], step.get("front", "resp"), step.get("key", ""))
        elif "acervo" in step:
            stage.acervo.script.extend(step["acervo"])
        elif "wait" in step:
            self.wait(step["wait"], step.get("count", 1))
        elif step["do"] == "hold":
            stage.pool.plans[step["class"]].held = True
        elif step["do"] == "release":
            stage.pool.release(step["class"])
        elif step["do"] == "cut":
            stage.pool.cut()
        elif step["do"] in ("silence", "speak"):
            stage.pool.silent = step["do"] == "silence"
        else:
            stage.node.drain()

    def wait(self, what: Any, count: int) -> None:
        stage = self.stage
        if what == "answers":
            stage.settle()
        elif what == "runs":
            stage.spin(lambda: len(set(stage.pool.spawned)) >= count)
        else:
            stage.spin_for(what / 1000)

    def send(self, handler: str, front: str, key: str) -> None:
        self.sent += 1
        keyed, body = handler == "cadastro", f"{handler} {key or self.sent}".encode()
        if front == "resp":
            unique = {"unique": f"{hash_of(key or str(self.sent)):032x}"} if keyed else {}
            self.routers[self.sent % ROUTERS].call(handler, body, 0, **unique)
        elif keyed:
            self.web.get("/cadastro", body, HTTP_IDEMPOTENCY_KEY=key or f"case {self.sent}")
        else:
            self.web.get(f"/{handler}/" if handler != "busca" else "/busca")


def hash_of(key: str) -> int:
    return int.from_bytes(key.encode()[:16].rjust(16, b"\0"), "big")
