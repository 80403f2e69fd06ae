"""Simulates policy changes of a fleet in virtual time, with faults drawn from a seed, and checks the outcome.

This drives ``lemonway/epochs/`` like the node's event loop does. One simulated run is called a day. Nodes crash and
restart with empty memory and an old settings file, are replaced in bulk, are paused, and are partitioned by zone, also
in one direction only. Meanwhile changes are proposed at any node: some concurrently, some that one node rejects, and
some whose proposer crashes right after. ``check`` verifies that:

* each epoch number is decided once, and an aborted change is never served;
* once any node knows a change as committed, no node serves an older one for longer than the lease;
* no node returns to an older change;
* if a majority loses its memory at the same time and no node has a disk, all nodes return to the same epoch, or none
  serves if none knows an epoch;
* after the faults every node serves the last committed change, and every proposal has an outcome."""

from __future__ import annotations

import argparse
import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

from ...epochs.member import EpochMember, EpochOptions, ProposalInProgress
from ...epochs.messages import Message, Output, SaveState, Send
from .fault_day import MS, Event, FaultDay, sort_events
from .promise import History, check
from .shorten import shorten

SETTLE_US = 4000 * MS


@dataclass(frozen=True)
class Mix:
    """The number of faults and changes in a day; times are in microseconds."""

    nodes: int = 5
    length_us: int = 5000 * MS
    tick: int = 10 * MS
    zones: int = 0  # number of zones, which are partitioned as a whole; 0: partitions take random sets of nodes
    drop: float = 0.05
    delay: tuple[int, int] = (200, 5 * MS)
    changes: int = 6
    concurrent_pairs: int = 1  # pairs of changes proposed at two nodes within 2 ms of each other
    rejected_changes: int = 1  # changes that one node rejects
    crashes: int = 3
    stops: int = 2
    cuts: int = 2
    one_way: int = 1
    proposer_crashes: int = 1  # changes whose proposer crashes within 25 ms
    replaced_share: float = 0.0  # share of the nodes replaced within 7 s, as in the scenario ``join``
    zone_outage: bool = False  # all nodes of a zone are down for 5 s, as in the scenario ``zone``
    zone_partition: bool = False  # a zone is partitioned for 6 s, as in the scenario ``split``
    disk: bool = False  # nodes persist their state across restarts
    votes_after_restart: bool = False  # nodes vote right after a restart; used to verify that the check detects it
    serves_without_lease: bool = False  # nodes serve without a valid lease; used to verify that the check detects it

    @property
    def names(self) -> list[str]:
        """The names of the nodes."""
        return [f"n{number}" for number in range(self.nodes)]


LARGE_FLEET = Mix(
    nodes=200,
    tick=50 * MS,
    length_us=24_000 * MS,
    zones=5,
    drop=0.0,
    changes=3,
    crashes=0,
    stops=2,
    cuts=0,
    one_way=0,
    rejected_changes=0,
    proposer_crashes=1,
    delay=(200, 2 * MS),
)  # a fleet of production size; the mixes below add one fault each

MIXES = {
    "three": Mix(nodes=3, crashes=2),
    "some": Mix(),
    "rough": Mix(drop=0.2, crashes=2, stops=4, cuts=4, one_way=3, proposer_crashes=2, changes=8, concurrent_pairs=2),
    "disk": Mix(drop=0.1, crashes=12, stops=2, cuts=3, proposer_crashes=3, disk=True),
    "seven": Mix(nodes=7, crashes=5, cuts=3, stops=3, concurrent_pairs=2),
    "twins": Mix(changes=10, concurrent_pairs=5, crashes=1, proposer_crashes=2),
    "zone-200": replace(LARGE_FLEET, zone_outage=True),
    "split-200": replace(LARGE_FLEET, zone_partition=True, crashes=4),
    "join-200": replace(LARGE_FLEET, replaced_share=0.6, rejected_changes=1),
}


def schedule(seed: int, mix: Mix) -> list[Event]:
    """The faults and proposals of a day, sorted by time."""
    rng = random.Random(f"policy/{seed}")
    names = mix.names
    zones = [names[z :: mix.zones] for z in range(mix.zones)]
    events: list[tuple[int, str, tuple[Any, ...]]] = []

    def random_time(lo: int = 1000 * MS) -> int:
        return rng.randrange(lo, mix.length_us)

    def random_side() -> tuple[str, ...]:
        return tuple(rng.choice(zones)) if zones else tuple(sorted(rng.sample(names, rng.randrange(1, mix.nodes))))

    events += [(random_time(), "change", (rng.choice(names), "plain")) for _ in range(mix.changes)]
    for _ in range(mix.concurrent_pairs):
        at_us, pair = random_time(), rng.sample(names, 2)
        events += [(at_us + rng.randrange(3) * MS, "change", (name, "plain")) for name in pair]
    events += [(random_time(), "change", (rng.choice(names), "misfit")) for _ in range(mix.rejected_changes)]
    events += [(random_time(), "change", (rng.choice(names), "dies")) for _ in range(mix.proposer_crashes)]
    events += [(random_time(), "crash", (rng.choice(names), rng.randrange(50, 900) * MS)) for _ in range(mix.crashes)]
    events += [(random_time(), "stop", (rng.choice(names), rng.randrange(100, 2500) * MS)) for _ in range(mix.stops)]
    events += [(random_time(), "cut", (random_side(), rng.randrange(200, 1800) * MS, False)) for _ in range(mix.cuts)]
    events += [(random_time(), "cut", (random_side(), rng.randrange(200, 1800) * MS, True)) for _ in range(mix.one_way)]
    fault_start = rng.randrange(3000 * MS, 6000 * MS) if mix.length_us > 10_000 * MS else 0
    if mix.zone_outage:
        events += [(fault_start, "crash", (name, 5000 * MS)) for name in rng.choice(zones)]
    if mix.zone_partition:
        events.append((fault_start, "cut", (tuple(rng.choice(zones)), 6000 * MS, False)))
    if mix.replaced_share:
        for name in rng.sample(names, round(mix.replaced_share * mix.nodes)):
            events.append((fault_start + rng.randrange(7000 * MS), "crash", (name, 150 * MS)))
    return sort_events(events)


class Day(FaultDay):
    """Simulates the nodes of ``mix`` with the faults and proposals of ``events``."""

    def __init__(self, seed: int, mix: Mix, events: list[Event]) -> None:
        names, rng = mix.names, random.Random(f"policy-network/{seed}")
        # Each machine has a clock with its own offset, which survives a restart of the node.
        super().__init__(names, rng, {name: rng.randrange(1 << 40) for name in names})
        self.mix = mix
        self.peer_lists = (tuple(self.names),)
        self.history = History(tick_us=mix.tick)
        self.disks: dict[str, bytes] = {}
        self.nodes = {name: self._make(name, True) for name in self.names}
        self.history.lease_us = max(node.lease_us for node in self.nodes.values())
        self._handlers: dict[str, Callable[..., None]] = {
            "message": self._on_message,
            "tick": self._on_tick,
            "change": self._on_change,
            "crash": self._on_crash,
            "return": self._on_return,
            "cut": self.start_partition,
        }
        self.begin(events, mix.tick)

    def play(self) -> History:
        """Run the day to its end and return the history."""
        self.run_until(self.mix.length_us + SETTLE_US + 2 * self.history.lease_us)
        for name, node in self.nodes.items():
            self.history.final_states[name] = node.serving(self.clock(name)), node.committed.number
            self.history.surviving_proposals.update(node.outcomes)
        return self.history

    def _make(self, name: str, fresh: bool) -> EpochMember:
        def reject_reason(settings: bytes) -> str:
            return "it does not fit here" if settings.endswith(b"!" + name.encode()) else ""

        node = EpochMember(
            name,
            self.incarnations[name],
            lambda: self.peer_lists,
            EpochOptions(first_start=fresh, resolve_us=300 * MS, has_disk=self.mix.disk),
            self.clock(name),
            reject_reason,
            self.history.counters,
            self.disks.get(name),
        )
        node.memory_intact = node.memory_intact or self.mix.votes_after_restart
        return node

    def _is_lost(self, sender: str, receiver: str) -> bool:
        if self.now < self.mix.length_us and self.mix.drop and self.rng.random() < self.mix.drop:
            return True
        return self.is_partitioned(sender, receiver)

    def _apply_outputs(self, sender: str, out: list[Output]) -> None:
        for item in out:
            if isinstance(item, SaveState):
                self.disks[sender] = item.data
            elif isinstance(item, Send) and not self._is_lost(sender, item.to):
                self.push(
                    self.now + self.rng.randint(*self.mix.delay),
                    "message",
                    (sender, self.incarnations[sender], item.to, item.message),
                )
        node = self.nodes[sender]
        self.history.record(self.now, sender, node, node.serving(self.clock(sender)) or self.mix.serves_without_lease)

    def _record_switch_times(self) -> None:
        """Record the time from proposal to service on all live nodes, for each change that has just reached them."""
        for number, (_, change) in self.history.decisions.items():
            if (
                change.commit
                and change.change_id in self.history.proposed
                and change.change_id not in self.history.switch_time_us
            ):
                serving_number = self.history.serving_number
                if all(
                    serving_number.get(name, -1) >= number
                    for name in self.names
                    if self.up[name] and name not in self.paused
                ):
                    self.history.switch_time_us[change.change_id] = (
                        self.now - self.history.proposed[change.change_id][0]
                    )

    # event handlers

    def target_node(self, kind: str, arguments: tuple[Any, ...]) -> str:
        if kind == "message":
            return str(arguments[2])
        return str(arguments[0]) if kind in ("tick", "change", "crash") else ""

    def handle(self, kind: str, arguments: tuple[Any, ...]) -> None:
        self._handlers[kind](*arguments)

    def pause(self, name: str, length: int) -> None:
        if self.up[name] and name not in self.paused:
            self.history.record_not_serving(self.now, name)  # a paused node does not serve
            super().pause(name, length)

    def defer(self, name: str, kind: str, arguments: tuple[Any, ...]) -> None:
        if kind == "tick":
            self.paused[name].insert(0, (kind, arguments))  # timers run before deferred messages
        else:
            super().defer(name, kind, arguments)

    def _on_message(self, sender: str, incarnation: int, to: str, message: Message) -> None:
        if self.up[to]:
            self._apply_outputs(to, self.nodes[to].receive(sender, incarnation, message, self.clock(to)))

    def _on_tick(self, name: str) -> None:
        self.push(self.now + self.mix.tick, "tick", (name,))
        if self.up[name]:
            self._apply_outputs(name, self.nodes[name].tick(self.clock(name)))
            self._record_switch_times()

    def _on_change(self, name: str, variant: str) -> None:
        if not self.up[name]:
            return
        rejecting_node = self.rng.choice(self.names)
        settings = b"{}!" + rejecting_node.encode() if variant == "misfit" else b"{}"
        try:
            ident, out = self.nodes[name].propose(settings, 0, self.clock(name))
        except ProposalInProgress:
            return
        self.history.proposed[ident] = self.now, name, variant
        self._apply_outputs(name, out)
        if variant == "dies":
            self.push(self.now + self.rng.randrange(1, 25) * MS, "crash", (name, self.rng.randrange(50, 900) * MS))

    def _on_crash(self, name: str, down: int) -> None:
        if self.up[name]:
            self.up[name] = False
            self.history.record_not_serving(self.now, name)
            self.push(self.now + down, "return", (name,))

    def _on_return(self, name: str) -> None:
        self.incarnations[name] += 1
        self.nodes[name] = self._make(name, False)
        self.up[name] = True
        remembering = sum(
            (self.up[each] and node.memory_intact) or each in self.disks for each, node in self.nodes.items()
        )
        self.history.majority_lost_memory |= remembering <= len(self.names) // 2


def play(seed: int, mix: Mix, events: list[Event] | None = None) -> tuple[History, list[str]]:
    """Run one day; return its history and the violations. ``events`` replaces the schedule of the seed."""
    history = Day(seed, mix, schedule(seed, mix) if events is None else events).play()
    return history, check(history)


def shorten_schedule(seed: int, mix: Mix) -> list[Event]:
    """The schedule of a failing day, reduced to the events that the failure needs."""
    return shorten(schedule(seed, mix), lambda subset: bool(play(seed, mix, subset)[1]))


def main(argv: list[str] | None = None) -> int:
    parser = argparse.ArgumentParser(prog="python -m lemonway.kit.emulator.policy_day", description=__doc__)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--seeds", type=int, default=100, help="number of days to run per mix")
    parser.add_argument("--mix", choices=sorted(MIXES), help="run only this mix")
    args = parser.parse_args(argv)
    logging.getLogger("lemonway.epochs").setLevel(logging.CRITICAL)  # the printed line counts the losses of memory
    failed = 0
    for name, mix in MIXES.items():
        if name != args.mix if args.mix else mix.nodes > 100:
            continue  # mixes of 200 nodes run only when selected with --mix
        started_at, took, counts, proposals, memory_losses = time.monotonic(), list[int](), Counter[str](), 0, 0
        operator_waits = 0
        for seed in range(args.seed, args.seed + args.seeds):
            history, violations = play(seed, mix)
            took += history.switch_time_us.values()
            counts.update(history.outcomes.values())
            proposals += len(history.proposed)
            memory_losses += history.majority_lost_memory
            operator_waits += history.counters["waits_for_an_operator"]
            if violations:
                failed += 1
                print(f"{name} seed {seed}: {violations[:3]}")
                if mix.nodes < 100:
                    for event in shorten_schedule(seed, mix):
                        print(f"  {event}")
        took.sort()
        spread = (
            "; from proposal to all live nodes: "
            + ", ".join(
                f"{label} {took[int((len(took) - 1) * share)] / 1000:.0f} ms"
                for label, share in (("median", 0.5), ("99 in 100", 0.99), ("most", 1.0))
            )
            if took
            else ""
        )
        print(
            f"{name}: {args.seeds} days ({memory_losses} in which a majority lost its memory, {operator_waits} in "
            f"which all did), {proposals} proposals "
            f"({dict(sorted(counts.items()))}){spread}; {time.monotonic() - started_at:.0f} s",
            flush=True,
        )
    return 1 if failed else 0


if __name__ == "__main__":
    raise SystemExit(main())
