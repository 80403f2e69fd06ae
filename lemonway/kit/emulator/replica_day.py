"""Days of replicas in virtual time, with faults drawn from a seed, and the check of their history.

The second driver of ``lemonway/replication/`` (the node's loop is the first). Keyed requests and their repeats come to
random nodes; a node that wins a key's claim runs it for a while, publishes the result and answers once that is kept by
a majority. Between the nodes is a network that drops, delays and holds messages, and is cut by sets, one way too;
nodes crash and come back with empty memory, stand still and go on, and their Unix clocks lie apart. All faults stand in
a schedule, which is shortened when it fails. ``check`` holds the history to the promises:

* no key runs twice within its window, whoever is asked;
* a result that was answered is what every later answer gives, and none is lost while a quorum of its group lives;
* a node that returned is caught up within a bound, and all copies are equal once the faults have ended."""

from __future__ import annotations

import argparse
import heapq
import random
from collections import Counter
from dataclasses import dataclass, field, replace
from typing import Any

from ...replication.claims import same
from ...replication.messages import (
    GOOD,
    VOID,
    Claim,
    Durable,
    Ended,
    Learned,
    Lost,
    NoQuorum,
    Out,
    Send,
    Won,
    decode,
    encode,
)
from ...replication.placement import Placement, quorum
from ...replication.replica import Replica, Terms
from .shorten import shorten as shortened

MS = 1000
TICK = 5 * MS
SETTLE = 3000 * MS  # from the end of the faults to the last questions


@dataclass(frozen=True)
class Mix:
    """How much of each fault a day has."""

    peers: int = 5
    size: int = 3
    keys: int = 20
    tries: int = 150
    length: int = 3000 * MS
    window: int = 20_000 * MS  # of a key; shorter than the day in the mixes that let windows end
    drop: float = 0.05
    delay: tuple[int, int] = (100, 3 * MS)
    crashes: int = 2
    cuts: int = 2
    one_way: int = 1
    stops: int = 1  # a node stands still and goes on
    holds: int = 1  # all messages of one link come late, at once
    skew: int = 200 * MS  # the nodes' clocks lie apart by up to so much
    fallback: bool = True  # a returned node catches up; False: it votes at once (to show that the check can fail)
    joins: int = 0  # nodes that join in one change of the list of peers, on which as many leave for good
    burst: int = 0  # the tries of a key come within so long of each other


MIXES = {
    "some": Mix(),
    "rough": Mix(drop=0.2, crashes=4, cuts=4, one_way=2, stops=2, holds=3),
    "cut": Mix(crashes=0, cuts=6, one_way=4),
    "crash": Mix(crashes=8, cuts=0, one_way=0),
    "five": Mix(peers=7, size=5, crashes=4, cuts=3, stops=2),
    "bursts": Mix(keys=40, tries=200, burst=8 * MS, drop=0.15, crashes=3),
    "new-list": Mix(joins=1, crashes=0, cuts=6, one_way=4, keys=60, tries=400, length=1500 * MS),
    "new-list-short": Mix(joins=2, window=500 * MS, skew=100 * MS, crashes=2, length=5000 * MS, keys=6, tries=300),
    "short-windows": Mix(window=700 * MS, crashes=4, cuts=3, length=4000 * MS, keys=6),
}

Event = tuple[int, str, Any]  # (at, kind, what)


@dataclass
class Run:
    key: str
    node: str
    life: int
    at: int
    door: int
    body: bytes
    answered_at: int = -1


@dataclass
class History:
    runs: list[Run] = field(default_factory=list)
    served: list[tuple[int, str, bytes]] = field(default_factory=list)  # (at, key, body): answers to repeats
    refused: int = 0
    asked: int = 0
    last: list[tuple[str, str, str, bytes]] = field(default_factory=list)  # (key, node, what, body), after the faults
    weak: dict[str, list[tuple[int, int]]] = field(default_factory=dict)  # node: when it could not vote for all
    catch_ups: list[int] = field(default_factory=list)
    unequal: list[str] = field(default_factory=list)
    groups: dict[str, tuple[str, ...]] = field(default_factory=dict)
    counters: Counter[str] = field(default_factory=Counter)
    end: int = 0


def schedule(seed: int, mix: Mix) -> list[Event]:
    """Everything that happens in a day from outside, in order of time."""
    rng = random.Random(f"schedule/{seed}")
    names = [f"n{i}" for i in range(mix.peers)]
    events: list[Event] = []
    if mix.joins:
        # Who leaves is stopped first; the others get the new list at moments of their own, and some start with it.
        leave, join = names[:mix.joins], [f"n{mix.peers + i}" for i in range(mix.joins)]
        moment = rng.randrange(200 * MS, mix.length // 3)
        events += [(moment - 100 * MS, "leave", (name,)) for name in leave]
        fresh = tuple(names[mix.joins:] + join)
        events += [(moment + rng.randrange(500) * MS, "list", (name, fresh)) for name in fresh]
        names = [*names, *join]

    def at() -> int:
        return rng.randrange(mix.length)

    bases = [at() for _ in range(mix.keys)]
    for number in range(mix.tries):
        key = rng.randrange(mix.keys)
        when = bases[key] + rng.randrange(mix.burst) if mix.burst else at()
        events.append((when, "try", (rng.choice(names), f"k{key}", number)))
    for _ in range(mix.crashes):
        events.append((at(), "crash", (rng.choice(names), rng.randrange(20, 400) * MS)))
    for _ in range(mix.cuts):
        side = tuple(sorted(rng.sample(names, rng.randrange(1, mix.peers))))
        events.append((at(), "cut", (side, rng.randrange(100, 800) * MS, False)))
    for _ in range(mix.one_way):
        side = tuple(sorted(rng.sample(names, rng.randrange(1, mix.peers))))
        events.append((at(), "cut", (side, rng.randrange(100, 800) * MS, True)))
    for _ in range(mix.stops):
        events.append((at(), "stop", (rng.choice(names), rng.randrange(50, 900) * MS)))
    for _ in range(mix.holds):
        a, b = rng.sample(names, 2)
        events.append((at(), "hold", ((a, b), rng.randrange(50, 900) * MS)))
    return sorted(events, key=lambda e: (e[0], e[1], str(e[2])))


class Day:
    def __init__(self, seed: int, mix: Mix, events: list[Event]) -> None:
        self.mix, self.rng = mix, random.Random(f"network/{seed}")
        self.names = [f"n{i}" for i in range(mix.peers)]
        self.terms = Terms(group=mix.size, window_us=mix.window, skew_us=mix.skew, late_us=300 * MS, beat_us=50 * MS,
                           repair_us=50 * MS, fresh=True)
        self.skews = {name: self.rng.randrange(mix.skew) for name in self.names}
        self.lives = dict.fromkeys(self.names, 1)
        self.first = self.names
        self.nodes = {name: Replica(name, 1, self.names, self.terms, self.skews[name]) for name in self.names}
        self.up = dict.fromkeys(self.names, True)
        self.lists: dict[str, tuple[tuple[str, ...], int]] = {}  # nodes that have the new list
        self.left: set[str] = set()
        self.stopped: dict[str, list[tuple[str, Any]]] = {}
        self.cuts: list[tuple[int, int, frozenset[str], bool]] = []
        self.holds: list[tuple[int, int, tuple[str, str]]] = []
        self.history = History()
        self.waiting: dict[tuple[str, int, str], list[Claim]] = {}  # tries at a node's life, by key
        self.running: dict[tuple[str, int, str], Run] = {}  # by node, life and register
        self.returned: dict[str, int] = {}
        self.queue: list[tuple[int, int, str, Any]] = []
        self.order = self.now = 0
        self.quiet_from = mix.length + 1000 * MS  # all faults have ended
        for at, kind, what in events:
            self.push(at, kind, what)
        for name in self.names:
            self.push(self.rng.randrange(TICK), "tick", name)

    def push(self, at: int, kind: str, what: Any) -> None:
        self.order += 1
        heapq.heappush(self.queue, (at, self.order, kind, what))

    def clock(self, name: str) -> int:
        return self.now + self.skews[name]

    # the network

    def lost(self, a: str, b: str) -> bool:
        if self.now < self.quiet_from and self.rng.random() < self.mix.drop:
            return True
        for lo, hi, side, one_way in self.cuts:
            if lo <= self.now < hi and ((a in side and b not in side) or (not one_way and b in side and a not in side)):
                return True
        return False

    def carry(self, sender: str, out: list[Out]) -> None:
        for item in out:
            if isinstance(item, Send):
                if not self.lost(sender, item.to):
                    at = self.now + self.rng.randint(*self.mix.delay)
                    for lo, hi, link in self.holds:
                        if lo <= self.now < hi and link == (sender, item.to):
                            at = max(at, hi)
                    epoch = self.nodes[sender].placement.epoch
                    self.push(at, "message", (sender, self.lives[sender], item.to, encode(item.message), epoch))
            else:
                self.decided(sender, item)

    # what a node does with decisions

    def decided(self, name: str, item: Out) -> None:
        life = self.lives[name]
        if isinstance(item, Won):
            tries = self.waiting.pop((name, life, item.key), [])
            mine = [c for c in tries if same(c, item.value)]
            if not mine:
                self.carry(name, self.nodes[name].publish(item.key, Ended(VOID), self.clock(name)))
                return
            run = Run(item.key, name, life, self.now, mine[0].door, f"{item.key}@{name}/{life}".encode())
            self.history.runs.append(run)
            self.running[name, life, item.key] = run
            self.push(self.now + self.rng.randrange(1, 60) * MS, "ran", (name, life, item.key))
            self.history.refused += len(tries) - 1
        elif isinstance(item, Lost):
            tries = self.waiting.pop((name, life, item.key), [])
            if item.ended is not None and item.ended.how == VOID:
                self.history.refused += len(tries)
            elif item.ended is not None:
                self.history.served += [(self.now, item.key, item.ended.body)] * len(tries)
            elif self.nodes[name].runs(item.value) and tries:
                self.waiting[name, life, item.key] = tries
                self.carry(name, self.nodes[name].watch(item.key, self.clock(name)))
            else:
                self.history.refused += len(tries)
        elif isinstance(item, Learned):
            tries = self.waiting.pop((name, life, item.key), [])
            if item.ended.how == VOID:
                self.history.refused += len(tries)
                return
            self.history.served += [(self.now, item.key, item.ended.body)] * len(tries)
        elif isinstance(item, NoQuorum):
            self.history.refused += len(self.waiting.pop((name, life, item.key), []))
        elif isinstance(item, Durable):
            ended = self.running.pop((name, life, item.key), None)
            if ended is not None:
                ended.answered_at = self.now

    def happen(self, kind: str, what: Any) -> None:
        if kind == "try":
            name, key, number = what
            if not self.up.get(name):
                return
            now, life = self.clock(name), self.lives[name]
            self.history.asked += 1
            # Every try of a key carries the same body; ``door`` lies a little in the past.
            mine = Claim(name, life, b"d", now - number, now - number + self.mix.window)
            first = (name, life, key) not in self.waiting
            self.waiting.setdefault((name, life, key), []).append(mine)
            if first:
                self.carry(name, self.nodes[name].claim(key, mine, now))
        elif kind == "ran":
            name, life, at = what
            if self.up[name] and self.lives[name] == life and (run := self.running.get((name, life, at))):
                self.carry(name, self.nodes[name].publish(at, Ended(GOOD, run.body), self.clock(name)))
        elif kind == "message":
            sender, life, to, data, epoch = what
            if self.up.get(to):
                self.carry(to, self.nodes[to].receive(sender, life, decode(data), self.clock(to), epoch))
        elif kind == "crash":
            name, down = what
            if self.up.get(name):
                self.up[name] = False
                self.history.weak.setdefault(name, []).append((self.now, 1 << 62))
                self.push(self.now + down, "return", name)
        elif kind == "return" and what not in self.left:
            self.lives[what] += 1
            terms = replace(self.terms, fresh=not self.mix.fallback)
            peers, epoch = self.lists.get(what, (tuple(self.first), 0))
            self.nodes[what] = Replica(what, self.lives[what], list(peers), terms, self.clock(what), epoch,
                                       self.first if epoch else None)
            self.up[what], self.returned[what] = True, self.now
        elif kind == "leave":
            self.left.add(what[0])
            if self.up[what[0]]:
                self.up[what[0]] = False
                self.history.weak.setdefault(what[0], []).append((self.now, 1 << 62))
        elif kind == "list":
            name, peers = what
            self.lists[name] = (peers, 1)
            if name not in self.nodes:  # one that joins: it knows of no list before
                self.skews[name] = self.rng.randrange(self.mix.skew)
                self.lives[name] = 0
                self.names = [*self.names, name]
                self.push(self.rng.randrange(TICK) + self.now, "tick", name)
                self.happen("return", name)
                self.history.weak.setdefault(name, []).append((self.now, 1 << 62))
            elif self.up[name]:
                self.carry(name, self.nodes[name].change(list(peers), 1, self.clock(name)))
        elif kind == "cut":
            side, length, one_way = what
            self.cuts.append((self.now, self.now + length, frozenset(side), one_way))
        elif kind == "hold":
            link, length = what
            self.holds.append((self.now, self.now + length, link))
        elif kind == "tick":
            self.push(self.now + TICK, "tick", what)
            if self.up[what]:
                self.carry(what, self.nodes[what].tick(self.clock(what)))
                if what in self.returned and self.nodes[what].catchup.whole:
                    self.history.catch_ups.append(self.now - self.returned.pop(what))
                    lo, _ = self.history.weak[what][-1]
                    self.history.weak[what][-1] = (lo, self.now)

    def play(self) -> History:
        history, end = self.history, self.quiet_from + SETTLE
        while self.queue:
            at, _, kind, what = heapq.heappop(self.queue)
            if at > end:
                break
            self.now = at
            if kind == "stop":
                name, length = what
                self.stopped.setdefault(name, [])
                self.push(self.now + length, "go", name)
            elif kind == "go":
                held = self.stopped.pop(what, [])
                for each in held:  # it finds at once what came meanwhile
                    self.happen(*each)
            else:
                whose = what if kind == "tick" else what[2] if kind == "message" else what[0]
                if kind in ("message", "tick", "ran", "try") and whose in self.stopped:
                    self.stopped[whose].append((kind, what))
                else:
                    self.happen(kind, what)
        history.end = self.now
        self.last_questions()
        return history

    def last_questions(self) -> None:
        """Faults are over: each node is asked for each key that was answered, and copies are compared."""
        history = self.history
        keys = {run.key for run in history.runs}
        before = Placement(self.first, self.mix.size)
        history.groups = {key: before.group(key) for key in keys}
        self.names = [name for name in self.names if self.up[name]]
        for key in sorted(answered(history)):
            for name in self.names:
                replica = self.nodes[name]
                probe = Claim(name, self.lives[name], b"d", self.clock(name), self.clock(name) + self.mix.window)
                answer = ("nothing", b"")
                todo: list[tuple[str, list[Out]]] = [(name, replica.claim(key, probe, self.clock(name)))]
                while todo:
                    who, out = todo.pop(0)
                    for item in out:
                        if isinstance(item, Send):
                            if self.up.get(item.to):
                                todo.append((item.to, self.nodes[item.to].receive(
                                    who, self.lives[who], decode(encode(item.message)), self.clock(item.to),
                                    self.nodes[who].placement.epoch)))
                        elif who == name and isinstance(item, Lost) and item.key == key:
                            answer = ("lost", b"") if item.ended is None else ("served", item.ended.body)
                            if item.ended is None:  # it heard of the claim only: it asks how that ended
                                now = self.clock(name)
                                todo += [(name, replica.watch(key, now)), (name, replica.tick(now + TICK))]
                        elif who == name and isinstance(item, Learned) and item.key == key:
                            answer = ("served", item.ended.body)
                        elif who == name and isinstance(item, Won) and item.key == key:
                            answer = ("won", b"")
                            # It would run now: the check sees it as a run of this moment.
                            history.runs.append(Run(key, name, self.lives[name], self.now, probe.door, b"probe"))
                history.last.append((key, name, *answer))
        for name, replica in self.nodes.items():
            history.counters.update(replica.counters)
            for peer, sums in replica.claims.spread.items():
                if not self.up[name] or not self.up.get(peer):
                    continue
                theirs = self.nodes[peer].claims.spread.get(name)
                if theirs is not None and theirs != sums and name < peer and self.mix.window > self.mix.length:
                    history.unequal.append(f"{name} and {peer}")


def play(seed: int, mix: Mix | None = None, events: list[Event] | None = None) -> History:
    mix = mix or Mix()
    return Day(seed, mix, schedule(seed, mix) if events is None else events).play()


def answered(history: History) -> dict[str, tuple[int, bytes]]:
    """Of each key whose result was answered, to its own try or to a repeat: when first, and what."""
    given: dict[str, tuple[int, bytes]] = {}
    for at, key, body in sorted([(run.answered_at, run.key, run.body) for run in history.runs if run.answered_at >= 0]
                                + history.served):
        given.setdefault(key, (at, body))
    return given


def lived(history: History, key: str, since: int) -> bool:
    """Whether a quorum of the key's group had its memory, all at one time, at each moment from ``since`` on."""
    group = history.groups[key]
    intervals = [(lo, hi) for member in group for lo, hi in history.weak.get(member, []) if hi >= since]
    for moment in {since, *(lo for lo, _ in intervals)}:
        if sum(lo <= moment <= hi for lo, hi in intervals) > len(group) - quorum(group):
            return False
    return True


def check(history: History, mix: Mix) -> list[str]:
    """What broke a promise; empty if nothing did."""
    broken = []
    runs: dict[str, list[Run]] = {}
    for run in history.runs:
        runs.setdefault(run.key, []).append(run)
    for key, several in runs.items():
        several.sort(key=lambda r: r.at)
        broken += [f"{key}: run at {b.at} us by {b.node}/{b.life} inside the window of the run at {a.at} by "
                   f"{a.node}/{a.life}" for a, b in zip(several, several[1:], strict=False)
                   if b.door <= a.door + mix.window]
    bodies = {key: {r.body for r in several} for key, several in runs.items()}
    broken += [f"{key}: served {body!r}, which no run gave" for _, key, body in history.served
               if body not in bodies.get(key, ())]
    if mix.window > mix.length:
        given = answered(history)
        broken += [f"{key}: answered at {given[key][0]} us, but {node} at the end has {what} {body!r}"
                   for key, node, what, body in history.last
                   if (what, body) != ("served", given[key][1]) and lived(history, key, given[key][0])]
        broken += [f"copies differ: {pair}" for pair in history.unequal]
    return broken


def shorten(seed: int, mix: Mix, events: list[Event]) -> list[Event]:
    """A schedule that still fails and from which no event can be left out."""
    return shortened(events, lambda fewer: bool(check(play(seed, mix, fewer), mix)))


def run_seeds(seeds: range, mix: Mix) -> list[tuple[int, list[str]]]:
    """The seeds whose day broke a promise, with what broke."""
    failed = []
    for seed in seeds:
        if broken := check(play(seed, mix), mix):
            failed.append((seed, broken))
    return failed


def explain(seed: int, mix: Mix) -> str:
    """A failed seed with its shortened schedule."""
    events = shorten(seed, mix, schedule(seed, mix))
    lines = [f"seed {seed}: {check(play(seed, mix, events), mix)[0]}"]
    return "\n".join(lines + [f"  at {at} us: {kind} {what}" for at, kind, what in events])


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway.kit.emulator.replica_day",
                                     description="Many days of replicas under faults, a mix of faults a line.")
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--mix", choices=MIXES, action="append")
    args = parser.parse_args(argv)
    broken = 0
    for name in args.mix or MIXES:
        mix, failed, total = MIXES[name], [], History()
        for seed in range(args.first, args.first + args.seeds):
            history = play(seed, mix)
            total.asked += history.asked
            total.refused += history.refused
            total.runs += history.runs
            total.served += history.served
            total.catch_ups += history.catch_ups
            total.counters.update(history.counters)
            if check(history, mix):
                failed.append(seed)
        broken += len(failed)
        caught = sorted(total.catch_ups) or [0]
        print(f"{name}: {args.seeds} seeds, {total.asked} tries, {len(total.runs)} runs, {len(total.served)} repeats "
              f"served, {total.refused} refused, caught up in {caught[len(caught) // 2] // MS} ms (most "
              f"{caught[-1] // MS}), {total.counters['repairs']} repairs, {total.counters['voided']} voided, broken "
              f"on {len(failed)} seeds", flush=True)
        if failed:
            print(explain(failed[0], mix), flush=True)
    return 1 if broken else 0


if __name__ == "__main__":
    raise SystemExit(main())
