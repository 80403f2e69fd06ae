"""Simulates replicas in virtual time, with faults drawn from a seed: ``python -m lemonway.kit.emulator.replica_day``.

This drives ``lemonway/replication/`` like the node's event loop does. One simulated run is called a day. Requests with
idempotency keys and their duplicates arrive at random nodes; a node whose claim of a key succeeds runs the request for
a while, publishes the result, and answers once a majority stores it. The network drops, delays and holds back
messages, and is partitioned, also in one direction only; nodes crash and restart with empty memory, are paused and
resumed, and have clocks that differ. All faults are in a schedule (replica_faults.py), which is reduced to the events
that matter when a guarantee is violated (replica_history.py). A restarted node has to catch up within a bound."""

from __future__ import annotations

import argparse
import random
from collections.abc import Callable
from dataclasses import replace
from typing import Any, NamedTuple

from ...replication.messages import (
    RUN_SUCCEEDED,
    VOID,
    Claim,
    Durable,
    Learned,
    Lost,
    NoQuorum,
    Out,
    RunOutcome,
    Send,
    Won,
    decode,
    encode,
)
from ...replication.placement import Placement
from ...replication.registers import is_same_run
from ...replication.replica import Replica, ReplicaSettings
from .fault_day import MS, Event, FaultDay
from .replica_faults import MIXES, Mix, schedule
from .replica_history import History, Run, answered, check
from .shorten import shorten

TICK_US = 5 * MS
SETTLE_US = 3000 * MS  # from the end of the faults to the final reads
FOREVER_US = 1 << 62

TryId = tuple[str, int, str]  # node, its incarnation, and the requested key


class LinkDelay(NamedTuple):
    """Messages from ``sender`` to ``receiver`` that are sent in this interval are all delivered at its end."""

    begin: int
    end: int
    sender: str
    receiver: str


class Day(FaultDay):
    """Simulates the replicas of ``mix`` with the requests and faults of ``events``."""

    def __init__(self, seed: int, mix: Mix, events: list[Event]) -> None:
        rng = random.Random(f"network/{seed}")
        super().__init__(mix.names, rng, {name: rng.randrange(mix.skew) for name in mix.names})
        self.mix = mix
        self.terms = ReplicaSettings(
            group_size=mix.group_size,
            window_us=mix.window,
            skew_us=mix.skew,
            max_try_age_us=300 * MS,
            heartbeat_us=50 * MS,
            repair_us=50 * MS,
            first_start=True,
        )
        self.first = self.names
        self.nodes = {name: Replica(name, 1, self.names, self.terms, self.offsets[name]) for name in self.names}
        self.peer_lists: dict[str, tuple[tuple[str, ...], int]] = {}  # node: its new peer list and the list's epoch
        self.departed: set[str] = set()
        self.link_delays: list[LinkDelay] = []
        self.history = History()
        self.waiting: dict[TryId, list[Claim]] = {}
        self.running: dict[TryId, Run] = {}
        self.returned: dict[str, int] = {}
        self.quiet_from = mix.length + 1000 * MS  # every fault has ended by then
        self._handlers: dict[str, Callable[..., None]] = {
            "try": self._on_try,
            "ran": self._on_ran,
            "message": self._on_message,
            "crash": self._on_crash,
            "return": self._on_return,
            "leave": self._on_leave,
            "list": self._on_list,
            "cut": self.start_partition,
            "hold": self._on_link_delay,
            "tick": self._on_tick,
        }
        self.begin(events, TICK_US)

    def play(self) -> History:
        """Run the day to its end, then read every answered key from every node."""
        self.run_until(self.quiet_from + SETTLE_US)
        self.history.end = self.now
        self._read_answered_keys()
        self._compare_copies()
        return self.history

    # the network

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if self.now < self.quiet_from and self.rng.random() < self.mix.drop:
            return True
        return self.is_partitioned(sender, receiver)

    def _apply_outputs(self, sender: str, out: list[Out]) -> None:
        for item in out:
            if not isinstance(item, Send):
                self._on_decision(sender, item)
            elif not self._is_lost(sender, item.to):
                at = self.now + self.rng.randint(*self.mix.delay)
                for link_delay in self.link_delays:
                    if link_delay.begin <= self.now < link_delay.end and (link_delay.sender, link_delay.receiver) == (
                        sender,
                        item.to,
                    ):
                        at = max(at, link_delay.end)
                epoch = self.nodes[sender].placement.epoch
                self.push(at, "message", (sender, self.incarnations[sender], item.to, encode(item.message), epoch))

    # decisions of the replicas

    def _on_decision(self, name: str, item: Out) -> None:
        incarnation = self.incarnations[name]
        if isinstance(item, Won):
            self._on_won(name, item)
        elif isinstance(item, Lost):
            self._on_lost(name, item)
        elif isinstance(item, Learned):
            tries = self.waiting.pop((name, incarnation, item.key), [])
            self._answer(tries, item.key, item.outcome)
        elif isinstance(item, NoQuorum):
            self.history.refused += len(self.waiting.pop((name, incarnation, item.key), []))
        elif isinstance(item, Durable):
            run = self.running.pop((name, incarnation, item.key), None)
            if run is not None:
                run.answered_at = self.now

    def _on_won(self, name: str, item: Won) -> None:
        incarnation = self.incarnations[name]
        tries = self.waiting.pop((name, incarnation, item.key), [])
        own_claims = [claim for claim in tries if is_same_run(claim, item.value)]
        if not own_claims:
            self._apply_outputs(name, self.nodes[name].publish(item.key, RunOutcome(VOID), self.clock(name)))
            return
        run = Run(
            item.key,
            name,
            incarnation,
            self.now,
            own_claims[0].arrived_at_us,
            f"{item.key}@{name}/{incarnation}".encode(),
        )
        self.history.runs.append(run)
        self.running[name, incarnation, item.key] = run
        self.push(self.now + self.rng.randrange(1, 60) * MS, "ran", (name, incarnation, item.key))
        self.history.refused += len(tries) - 1

    def _on_lost(self, name: str, item: Lost) -> None:
        incarnation = self.incarnations[name]
        tries = self.waiting.pop((name, incarnation, item.key), [])
        if item.outcome is not None:
            self._answer(tries, item.key, item.outcome)
        elif self.nodes[name].may_be_running(item.value) and tries:
            self.waiting[name, incarnation, item.key] = tries
            self._apply_outputs(name, self.nodes[name].watch(item.key, self.clock(name)))
        else:
            self.history.refused += len(tries)

    def _answer(self, tries: list[Claim], key: str, ended: RunOutcome) -> None:
        """Answer tries with the result of another node's run."""
        if ended.kind == VOID:
            self.history.refused += len(tries)
        else:
            self.history.served += [(self.now, key, ended.body)] * len(tries)

    # event handlers

    def target_node(self, kind: str, arguments: tuple[Any, ...]) -> str:
        if kind == "tick":
            return str(arguments[0])
        if kind == "message":
            return str(arguments[2])
        return str(arguments[0]) if kind in ("ran", "try") else ""

    def handle(self, kind: str, arguments: tuple[Any, ...]) -> None:
        self._handlers[kind](*arguments)

    def _on_try(self, name: str, key: str, number: int) -> None:
        if not self.up.get(name):
            return
        now, incarnation = self.clock(name), self.incarnations[name]
        self.history.try_count += 1
        # Every try of a key has the same body, and an arrival time (``door``) slightly in the past.
        own_claim = Claim(name, incarnation, b"d", now - number, now - number + self.mix.window)
        first = (name, incarnation, key) not in self.waiting
        self.waiting.setdefault((name, incarnation, key), []).append(own_claim)
        if first:
            self._apply_outputs(name, self.nodes[name].claim(key, own_claim, now))

    def _on_ran(self, name: str, incarnation: int, key: str) -> None:
        if (
            self.up[name]
            and self.incarnations[name] == incarnation
            and (run := self.running.get((name, incarnation, key)))
        ):
            self._apply_outputs(
                name, self.nodes[name].publish(key, RunOutcome(RUN_SUCCEEDED, run.body), self.clock(name))
            )

    def _on_message(self, sender: str, incarnation: int, to: str, data: bytes, epoch: int) -> None:
        if self.up.get(to):
            self._apply_outputs(to, self.nodes[to].receive(sender, incarnation, decode(data), self.clock(to), epoch))

    def _on_crash(self, name: str, down: int) -> None:
        if self.up.get(name):
            self._go_down(name)
            self.push(self.now + down, "return", (name,))

    def _on_return(self, name: str) -> None:
        if name in self.departed:
            return
        self.incarnations[name] += 1
        terms = replace(self.terms, first_start=not self.mix.catches_up_after_restart)
        peers, epoch = self.peer_lists.get(name, (tuple(self.first), 0))
        self.nodes[name] = Replica(
            name, self.incarnations[name], list(peers), terms, self.clock(name), epoch, self.first if epoch else None
        )
        self.up[name], self.returned[name] = True, self.now

    def _on_leave(self, name: str) -> None:
        self.departed.add(name)
        if self.up[name]:
            self._go_down(name)

    def _on_list(self, name: str, peers: tuple[str, ...]) -> None:
        self.peer_lists[name] = (peers, 1)
        if name not in self.nodes:
            self._join(name)
        elif self.up[name]:
            self._apply_outputs(name, self.nodes[name].change(list(peers), 1, self.clock(name)))

    def _on_link_delay(self, link: tuple[str, str], length: int) -> None:
        self.link_delays.append(LinkDelay(self.now, self.now + length, *link))

    def _on_tick(self, name: str) -> None:
        self.push(self.now + TICK_US, "tick", (name,))
        if not self.up[name]:
            return
        self._apply_outputs(name, self.nodes[name].tick(self.clock(name)))
        if name in self.returned and self.nodes[name].catchup.caught_up:
            self.history.catch_ups.append(self.now - self.returned.pop(name))
            lo, _ = self.history.memory_loss[name][-1]
            self.history.memory_loss[name][-1] = (lo, self.now)

    def _go_down(self, name: str) -> None:
        self.up[name] = False
        self.history.memory_loss.setdefault(name, []).append((self.now, FOREVER_US))

    def _join(self, name: str) -> None:
        """Add a node that has no peer list before its first."""
        self.offsets[name] = self.rng.randrange(self.mix.skew)
        self.incarnations[name] = 0
        self.names = [*self.names, name]
        self.push(self.rng.randrange(TICK_US) + self.now, "tick", (name,))
        self._on_return(name)
        self.history.memory_loss.setdefault(name, []).append((self.now, FOREVER_US))

    # after the faults

    def _read_answered_keys(self) -> None:
        """Read each key that was answered from each live node."""
        history = self.history
        before = Placement(self.first, self.mix.group_size)
        history.groups = {key: before.group(key) for key in {run.key for run in history.runs}}
        self.names = [name for name in self.names if self.up[name]]
        for key in sorted(answered(history)):
            for name in self.names:
                history.last.append((key, name, *self._read(name, key)))

    def _read(self, name: str, key: str) -> tuple[str, bytes]:
        """A node's answer for a key, over a network that loses nothing."""
        replica = self.nodes[name]
        probe_claim = Claim(name, self.incarnations[name], b"d", self.clock(name), self.clock(name) + self.mix.window)
        answer = ("nothing", b"")
        pending: list[tuple[str, list[Out]]] = [(name, replica.claim(key, probe_claim, self.clock(name)))]
        while pending:
            node_name, out = pending.pop(0)
            for item in out:
                if isinstance(item, Send):
                    if self.up.get(item.to):
                        pending.append(
                            (
                                item.to,
                                self.nodes[item.to].receive(
                                    node_name,
                                    self.incarnations[node_name],
                                    decode(encode(item.message)),
                                    self.clock(item.to),
                                    self.nodes[node_name].placement.epoch,
                                ),
                            )
                        )
                elif node_name == name and isinstance(item, Lost) and item.key == key:
                    answer = ("lost", b"") if item.outcome is None else ("served", item.outcome.body)
                    if item.outcome is None:  # it knows only the claim, so it asks for the result
                        now = self.clock(name)
                        pending += [(name, replica.watch(key, now)), (name, replica.tick(now + TICK_US))]
                elif node_name == name and isinstance(item, Learned) and item.key == key:
                    answer = ("served", item.outcome.body)
                elif node_name == name and isinstance(item, Won) and item.key == key:
                    answer = ("won", b"")
                    # The node would run the request now; record that as a run, for the check.
                    self.history.runs.append(
                        Run(key, name, self.incarnations[name], self.now, probe_claim.arrived_at_us, b"probe")
                    )
        return answer

    def _compare_copies(self) -> None:
        for name, replica in self.nodes.items():
            self.history.counters.update(replica.counters)
            for peer, sums in replica.claims.range_checksums.items():
                if not self.up[name] or not self.up.get(peer):
                    continue
                theirs = self.nodes[peer].claims.range_checksums.get(name)
                if theirs is not None and theirs != sums and name < peer and self.mix.window > self.mix.length:
                    self.history.unequal_copies.append(f"{name} and {peer}")


def play(seed: int, mix: Mix | None = None, events: list[Event] | None = None) -> History:
    """Run one day and return its history. ``events`` replaces the schedule of the seed."""
    mix = mix or Mix()
    return Day(seed, mix, schedule(seed, mix) if events is None else events).play()


def shorten_schedule(seed: int, mix: Mix, events: list[Event]) -> list[Event]:
    """The schedule of a failing day, reduced to the events that the failure needs."""
    return shorten(events, lambda subset: bool(check(play(seed, mix, subset), mix)))


def run_seeds(seeds: range, mix: Mix) -> list[tuple[int, list[str]]]:
    """The seeds whose day violated a guarantee, with the violations."""
    failures = []
    for seed in seeds:
        if violations := check(play(seed, mix), mix):
            failures.append((seed, violations))
    return failures


def explain(seed: int, mix: Mix) -> str:
    """The first violation of a seed, with its reduced schedule."""
    events = shorten_schedule(seed, mix, schedule(seed, mix))
    lines = [f"seed {seed}: {check(play(seed, mix, events), mix)[0]}"]
    return "\n".join(lines + [f"  at {at} us: {kind} {arguments}" for at, kind, arguments in events])


def main(argv: list[str] | None = None) -> int:
    """Run the days of each mix and print one line per mix. Returns 1 if any day violated a guarantee."""
    parser = argparse.ArgumentParser(
        prog="python -m lemonway.kit.emulator.replica_day",
        description="Simulate many days of replicas with faults; prints one line for each mix of faults.",
    )
    parser.add_argument("--seeds", type=int, default=1000)
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--mix", choices=MIXES, action="append")
    args = parser.parse_args(argv)
    violations = 0
    for name in args.mix or MIXES:
        violations += _play_mix(name, range(args.first, args.first + args.seeds))
    return 1 if violations else 0


def _play_mix(name: str, seeds: range) -> int:
    """Run the days of one mix; print a line for it, and the first failed day. Returns the number of failed days."""
    mix, failures, total = MIXES[name], [], History()
    for seed in seeds:
        history = play(seed, mix)
        total.try_count += history.try_count
        total.refused += history.refused
        total.runs += history.runs
        total.served += history.served
        total.catch_ups += history.catch_ups
        total.counters.update(history.counters)
        if check(history, mix):
            failures.append(seed)
    sorted_catch_ups = sorted(total.catch_ups) or [0]
    print(
        f"{name}: {len(seeds)} seeds, {total.try_count} tries, {len(total.runs)} runs, {len(total.served)} repeats "
        f"served, {total.refused} refused, caught up in {sorted_catch_ups[len(sorted_catch_ups) // 2] // MS} ms (most "
        f"{sorted_catch_ups[-1] // MS}), {total.counters['repairs']} repairs, {total.counters['voided']} voided, "
        f"broken on {len(failures)} seeds",
        flush=True,
    )
    if failures:
        print(explain(failures[0], mix), flush=True)
    return len(failures)


if __name__ == "__main__":
    raise SystemExit(main())
