"""Simulations of a control group and its fleet in virtual time, with faults drawn from a seed. One simulation is called
a day, whatever its length.

Voters, relays and nodes are the classes of ``lemonway/control`` that run in production. The faults:

- Machines crash and restart, with or without their disk, also between two outputs of one call; processes stall.
- Machines are partitioned; links are reset, hang, pause or are slow.
- All voters and relays are down at once; relays and nodes restart one after the other; nodes return far behind.
- A faulty publisher drops, duplicates, corrupts and reorders versions and snapshot pieces.

Changes are proposed meanwhile, at any voter.

``control_history`` checks these invariants:

- The version number of a process never decreases.
- Every version that a machine has was decided and has the decided content.
- Nobody holds or grants a lease on an old version for longer than the lease time after a later version is known.
- A node that must not serve without a lease does not.
- Some time after the faults end, all machines have the last version and its content, every node serves, and every
  proposal has an outcome."""

from __future__ import annotations

import argparse
import logging
import random
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from typing import Any

from ...control.agent import Agent
from ...control.relay import Relay
from ...control.resources import Delete, Operation, Put
from ...control.terms import AgentTerms, PublishTerms, VoterTerms, WatchTerms
from ...control.voter import Voter
from .control_fleet import INCOMPATIBLE_NODE, MS, SECOND, Fleet, FleetConfig
from .control_history import History
from .shorten import shorten
from .virtual import START_US

Event = tuple[int, str, tuple[Any, ...]]

RECOVERY_US = 8 * SECOND  # from the end of the faults to the final check
FINAL_CHANGE_DELAY_US = 5 * SECOND  # from the end of the faults to the last change
SLOW_LINK_US = 3 * SECOND  # how long a link stays slow
SLOW_LINK_DIVISOR = 8  # the drawn pause divided by this is the message spacing of a slow link
RESOURCE_COUNT = 12  # distinct resources that changes write or delete

WATCH_TERMS = WatchTerms(
    heartbeat_us=250 * MS,
    publisher_silence_timeout_us=800 * MS,
    acknowledge_delay_us=20 * MS,
    connect_timeout_us=500 * MS,
    initial_backoff_us=50 * MS,
    max_backoff_us=SECOND,
    reconnect_jitter_us=200 * MS,
    leaseless_timeout_us=600 * MS,
    stuck_timeout_us=2 * SECOND,
)
RELAY_WATCH_TERMS = replace(WATCH_TERMS, heartbeat_us=150 * MS)
PUBLISH_TERMS = PublishTerms(
    subscriber_silence_timeout_us=1500 * MS,
    refusal_retry_us=300 * MS,
    max_concurrent_transfers=3,
    transfer_bytes_per_s=64 << 10,
    snapshot_cache_ttl_us=SECOND,
    piece_bytes=512,
    max_unacknowledged_pieces=2,
    max_unpaced_tail_bytes=2048,
    max_log_versions=40,
    max_log_bytes=32 << 10,
)
VOTER_TERMS = VoterTerms(lease_us=2 * SECOND, heartbeat_us=100 * MS, watch=WATCH_TERMS, max_queue_time_us=4 * SECOND)
STOP_WITHOUT_LEASE = AgentTerms(watch=WATCH_TERMS, serve_when_lost=False)
SERVE_WITHOUT_LEASE = AgentTerms(watch=WATCH_TERMS, serve_when_lost=True, max_stale_us=4 * SECOND)


@dataclass(frozen=True)
class FaultMix:
    """Number of changes and of faults of each kind in one day."""

    fleet_config: FleetConfig
    length_us: int = 20 * SECOND
    changes: int = 40
    bursts: int = 1  # each of ten changes within a second
    crashes: int = 4  # of any machine
    mid_output_crashes: int = 0  # of a voter, between two outputs of one call
    disk_wipes: int = 0  # of a voter's disk; more than one a day can destroy a majority's data
    stalls: int = 2
    partitions: int = 2
    link_resets: int = 3
    link_hangs: int = 2
    link_pauses: int = 3
    slow_links: int = 1
    disk_faults: int = 0
    rolling_restarts: int = 0  # of the relays, of all or every other node, or of the voters
    control_outages: int = 0  # all voters and relays down; most last longer than the lease
    long_node_outages: int = 0  # nodes that are down for a third of the day


def default_fleet_config(voters: int, relays: int, nodes: int) -> FleetConfig:
    """A fleet with the terms above, in which every other node stops serving without a lease."""
    return FleetConfig(
        voters, relays, nodes, VOTER_TERMS, RELAY_WATCH_TERMS, PUBLISH_TERMS, (STOP_WITHOUT_LEASE, SERVE_WITHOUT_LEASE)
    )


def mixes(voters: int, relays: int, nodes: int) -> dict[str, FaultMix]:
    """Fault mixes by name."""
    fleet_config = default_fleet_config(voters, relays, nodes)
    calm = FaultMix(
        fleet_config, crashes=0, stalls=0, partitions=0, link_resets=0, link_hangs=0, link_pauses=0, slow_links=0
    )
    small_log_terms = replace(PUBLISH_TERMS, max_log_versions=6, max_log_bytes=4 << 10, transfer_bytes_per_s=8 << 10)
    return {
        "calm": calm,
        "some": FaultMix(fleet_config),
        "rough": FaultMix(
            replace(fleet_config, voter_message_loss=0.2),
            crashes=10,
            stalls=5,
            partitions=4,
            link_resets=6,
            link_hangs=4,
            link_pauses=6,
            slow_links=3,
            mid_output_crashes=1,
        ),
        "voters": FaultMix(
            fleet_config, changes=60, bursts=3, crashes=0, mid_output_crashes=5, disk_faults=2, stalls=3
        ),
        # the contents of a single voter's disk can't be recovered from another voter
        "wipe": FaultMix(fleet_config, mid_output_crashes=2, disk_wipes=1 if voters > 1 else 0),
        "links": FaultMix(
            fleet_config, crashes=2, partitions=4, link_resets=8, link_hangs=8, link_pauses=8, slow_links=10, changes=80
        ),
        "faulty": FaultMix(replace(fleet_config, publisher_fault_rate=0.05)),
        "waves": FaultMix(fleet_config, rolling_restarts=3, crashes=1),
        "gone": FaultMix(fleet_config, control_outages=2, crashes=1),
        "behind": FaultMix(
            replace(fleet_config, publish_terms=small_log_terms), bursts=3, long_node_outages=max(1, nodes // 3)
        ),
        "behind-faulty": FaultMix(
            replace(fleet_config, publish_terms=small_log_terms, publisher_fault_rate=0.05, nodes_store_versions=False),
            bursts=3,
            rolling_restarts=1,
            long_node_outages=max(1, nodes // 3),
        ),
    }


@dataclass
class ScheduleGenerator:
    """Draws the events of one day. Each event is a time, a kind and the arguments of that kind."""

    rng: random.Random
    mix: FaultMix
    voters: list[str]
    relays: list[str]
    nodes: list[str]
    events: list[Event] = field(default_factory=list)

    def add_event(self, at: int, kind: str, *arguments: Any) -> None:
        """Adds one event. ``at``: microseconds after the start of the day."""
        self.events.append((at, kind, arguments))

    def draw_fault_time(self) -> int:
        """Time of a fault, from 2 s on so that the fleet has started."""
        return self.rng.randrange(2 * SECOND, self.mix.length_us)

    def repeat(self, count: int, draw: Callable[[], None]) -> None:
        """Calls ``draw`` ``count`` times."""
        for _ in range(count):
            draw()

    def add_change(self, at: int | None = None) -> None:
        """Adds a change of one to four resources at any voter. Sometimes it has one more resource, which all nodes or
        one node can't apply."""
        operations: list[Operation] = []
        for _ in range(self.rng.choice((1, 1, 1, 2, 4))):
            name = f"t{self.rng.randrange(RESOURCE_COUNT)}"
            padding = "x" * self.rng.choice((0, 20, 400))
            value = f'{{"rate": {self.rng.randrange(1000)}, "note": "{padding}"}}'.encode()
            operations.append(Delete("tenant", name) if self.rng.random() < 0.15 else Put("tenant", name, value))
        unusual = self.rng.random()
        if unusual < 0.03:
            operations.append(Put("tenant", "refused", b"1"))
        elif unusual < 0.06:
            operations.append(Put(*INCOMPATIBLE_NODE, f'"{self.rng.choice(self.nodes)}"'.encode()))
        self.add_event(
            self.draw_fault_time() if at is None else at, "change", self.rng.choice(self.voters), tuple(operations)
        )

    def add_change_burst(self) -> None:
        """Adds ten changes within a second."""
        first_at = self.draw_fault_time()
        for index in range(10):
            self.add_change(first_at + index * 100 * MS)

    def add_crash(self) -> None:
        """Adds a crash of any machine, with or without notification of its peers."""
        name = self.rng.choice([*self.voters * 2, *self.relays * 2, *self.nodes])
        self.add_event(
            self.draw_fault_time(), "crash", name, self.rng.randrange(100, 4000) * MS, self.rng.random() < 0.4
        )

    def add_mid_output_crash(self) -> None:
        """Adds a crash of a voter between two outputs of one call."""
        self.add_event(
            self.draw_fault_time(),
            "die",
            self.rng.choice(self.voters),
            self.rng.randrange(1, 12),
            self.rng.randrange(100, 3000) * MS,
        )

    def add_disk_wipe(self) -> None:
        """Adds the loss of a voter's disk."""
        self.add_event(self.draw_fault_time(), "wipe", self.rng.choice(self.voters), self.rng.randrange(100, 3000) * MS)

    def add_stall(self) -> None:
        """Adds a stall of the process on any machine."""
        name = self.rng.choice([*self.voters, *self.relays, *self.nodes])
        self.add_event(self.draw_fault_time(), "stall", name, self.rng.randrange(100, 4000) * MS)

    def add_partition(self) -> None:
        """Adds a partition between any set of machines and the others."""
        names = [*self.voters, *self.relays, *self.nodes]
        isolated = self.rng.sample(names, self.rng.randrange(1, len(names)))
        self.add_event(self.draw_fault_time(), "cut", tuple(isolated), self.rng.randrange(200, 4000) * MS)

    def add_link_fault(self, kind: str) -> None:
        """Adds a fault of the upstream link of a relay or node."""
        name = self.rng.choice([*self.relays * 2, *self.nodes])
        at = self.draw_fault_time()
        self.add_event(at, kind, name, self.rng.randrange(100, 1500) * MS)
        if kind == "stand" and self.rng.random() < 0.5:  # messages after the pause are lost
            self.add_event(at + self.rng.randrange(100, 700) * MS, "hang", name, 0)

    def add_disk_fault(self) -> None:
        """Adds a period in which a voter's disk can't write votes; the voter may crash meanwhile."""
        at, name, length_us = self.draw_fault_time(), self.rng.choice(self.voters), self.rng.randrange(100, 2000) * MS
        self.add_event(at, "disk", name, length_us)
        if self.rng.random() < 0.5:
            self.add_event(at + self.rng.randrange(length_us), "crash", name, self.rng.randrange(100, 1000) * MS, False)

    def add_rolling_restart(self) -> None:
        """Adds restarts of machines of one role in quick succession. Voters restart at least 700 ms apart."""
        names = self.rng.choice([self.relays, self.nodes[::2], self.nodes, self.voters])
        first_at, step = self.draw_fault_time(), self.rng.choice((0, 30, 500)) * MS
        step = max(step, 700 * MS) if names is self.voters else step
        for index, name in enumerate(names):
            self.add_event(first_at + index * step, "crash", name, self.rng.randrange(50, 400) * MS, False)

    def add_control_outage(self) -> None:
        """Adds an outage of all voters and relays for 1 to 5.5 s; the lease lasts 2 s."""
        first_at, length_us = self.draw_fault_time(), self.rng.randrange(1000, 5000) * MS
        for name in [*self.voters, *self.relays]:
            at = first_at + self.rng.randrange(200) * MS
            self.add_event(at, "crash", name, length_us + self.rng.randrange(500) * MS, self.rng.random() < 0.5)

    def add_long_node_outage(self) -> None:
        """Adds an outage of one node for a third of the day."""
        at = self.rng.randrange(2 * SECOND, self.mix.length_us // 2)
        self.add_event(at, "crash", self.rng.choice(self.nodes), self.mix.length_us // 3, True)


def draw_schedule(seed: int, mix: FaultMix) -> list[Event]:
    """The events of a day, ordered by time, kind and arguments."""
    fleet_config = mix.fleet_config
    generator = ScheduleGenerator(
        random.Random(f"control/{seed}"),
        mix,
        [f"v{i}" for i in range(fleet_config.voter_count)],
        [f"r{i}" for i in range(fleet_config.relay_count)],
        [f"n{i}" for i in range(fleet_config.node_count)],
    )
    for count, draw in (
        (mix.changes, generator.add_change),
        (mix.bursts, generator.add_change_burst),
        (mix.crashes, generator.add_crash),
        (mix.mid_output_crashes, generator.add_mid_output_crash),
        (mix.disk_wipes, generator.add_disk_wipe),
        (mix.stalls, generator.add_stall),
        (mix.partitions, generator.add_partition),
        (mix.disk_faults, generator.add_disk_fault),
        (mix.rolling_restarts, generator.add_rolling_restart),
        (mix.control_outages, generator.add_control_outage),
        (mix.long_node_outages, generator.add_long_node_outage),
    ):
        generator.repeat(count, draw)
    for count, kind in (
        (mix.link_resets, "reset"),
        (mix.link_hangs, "hang"),
        (mix.link_pauses, "stand"),
        (mix.slow_links, "slow"),
    ):
        for _ in range(count):
            generator.add_link_fault(kind)
    return sorted(generator.events, key=lambda event: (event[0], event[1], str(event[2])))


class Simulation:
    """One fleet and the events that are applied to it."""

    def __init__(self, seed: int, mix: FaultMix, events: list[Event]) -> None:
        self.mix, self.fleet = mix, Fleet(seed, mix.fleet_config)
        for at, kind, arguments in events:
            self.fleet.loop.at(START_US + at, self._apply_event, kind, arguments)

    def _apply_event(self, kind: str, arguments: tuple[Any, ...]) -> None:
        fleet, loop = self.fleet, self.fleet.loop
        name = arguments[0]
        if kind == "change":
            fleet.propose(name, arguments[1])
        elif kind == "crash":
            fleet.crash(name, arguments[2])
            loop.after(arguments[1], fleet.start, name)
        elif kind == "die":
            fleet.machines[name].outputs_until_crash = arguments[1]
            loop.after(arguments[2], fleet.start, name)
        elif kind == "wipe":
            fleet.wipe(name)
            loop.after(arguments[1], fleet.start, name)
        elif kind == "stall":
            fleet.stall(name, arguments[1])
        elif kind == "cut":
            fleet.partition(name, arguments[1])
        elif kind == "reset":
            fleet.reset_link(name)
        elif kind == "hang":
            fleet.hang_link(name)
        elif kind == "stand":
            fleet.pause_link(name, arguments[1])
        elif kind == "slow":
            fleet.slow_link(name, arguments[1] // SLOW_LINK_DIVISOR)
            loop.after(SLOW_LINK_US, fleet.slow_link, name, 0)
        elif kind == "disk":
            fleet.machines[name].disk.writes_fail = True
            loop.after(arguments[1], self._repair_disk, name)
        else:
            raise ValueError(f"unknown event kind: {kind}")

    def _repair_disk(self, name: str) -> None:
        self.fleet.machines[name].disk.writes_fail = False

    def simulate(self) -> History:
        """Simulates the whole day, ends the faults, and checks the final state after ``RECOVERY_US``."""
        fleet, end = self.fleet, START_US + self.mix.length_us
        fleet.loop.run(end)
        fleet.end_faults()
        fleet.loop.at(end + FINAL_CHANGE_DELAY_US, fleet.propose, "v0", (Put(*INCOMPATIBLE_NODE, b'""'),))
        fleet.loop.run(end + RECOVERY_US)
        roles = {name: machine.role for name, machine in fleet.machines.items()}
        fleet.history.check_end(
            {name: role for name, role in roles.items() if isinstance(role, Voter)},
            {name: role for name, role in roles.items() if isinstance(role, Relay)},
            {name: role for name, role in roles.items() if isinstance(role, Agent)},
            {name: machine.clock(fleet.now) for name, machine in fleet.machines.items()},
        )
        return fleet.history


def simulate(seed: int, mix: FaultMix, events: list[Event] | None = None) -> History:
    """Simulates the day of a seed, or the events if given."""
    return Simulation(seed, mix, draw_schedule(seed, mix) if events is None else events).simulate()


def explain(seed: int, mix: FaultMix) -> str:
    """The violations of a failed seed and a shortened schedule that still fails."""

    def fails(events: list[Event]) -> bool:
        return bool(simulate(seed, mix, events).violations)

    events = shorten(draw_schedule(seed, mix), fails)
    lines = [f"  {simulate(seed, mix, events).violations[:3]}"]
    return "\n".join(lines + [f"  at {at / MS:.1f} ms: {kind} {arguments}" for at, kind, arguments in events])


def main(argv: list[str] | None = None) -> int:
    """Simulates many days of each mix and prints one line per mix. Returns 1 if a day had violations."""
    parser = argparse.ArgumentParser(
        prog="python -m lemonway.kit.emulator.control_day", description="Many days of a control group under faults."
    )
    parser.add_argument("--seeds", type=int, default=100, help="days to simulate of each mix")
    parser.add_argument("--first", type=int, default=0)
    parser.add_argument("--voters", type=int, default=3)
    parser.add_argument("--relays", type=int, default=3)
    parser.add_argument("--nodes", type=int, default=12)
    parser.add_argument("--mix", action="append")
    parser.add_argument("--explain", action="store_true", help="shorten the first failed schedule of each mix")
    args = parser.parse_args(argv)
    logging.getLogger("lemonway").setLevel(logging.CRITICAL)  # the printed counters cover what is logged
    all_mixes, failed = mixes(args.voters, args.relays, args.nodes), 0
    for name in args.mix or all_mixes:
        failed += run_mix(name, all_mixes[name], range(args.first, args.first + args.seeds), args.explain)
    return 1 if failed else 0


def run_mix(name: str, mix: FaultMix, seeds: range, explain_first: bool) -> int:
    """Simulates days of one mix, prints a summary, and returns the number of days with violations."""
    started, counters, delays_us, outcomes, versions = time.monotonic(), Counter[str](), list[int](), Counter[str](), 0
    failed: list[int] = []
    for seed in seeds:
        history = simulate(seed, mix)
        counters.update(history.counters)
        delays_us += history.in_force_delays_us
        outcomes.update(history.outcomes.values())
        versions += len(history.decided) - 1
        if history.violations:
            failed.append(seed)
            print(f"{name} seed {seed}: {history.violations[:3]}", flush=True)
    delays_us.sort()
    delays = (
        ", ".join(
            f"{label} {delays_us[int((len(delays_us) - 1) * share)] / MS:.0f} ms"
            for label, share in (("median", 0.5), ("99 in 100", 0.99), ("most", 1.0))
        )
        if delays_us
        else "no version"
    )
    print(
        f"{name}: {len(seeds)} days, {versions} versions, proposals {dict(sorted(outcomes.items()))}; in force on "
        f"all live nodes after {delays}; {dict(sorted(counters.items()))}; broken on {len(failed)} days; "
        f"{time.monotonic() - started:.0f} s",
        flush=True,
    )
    if failed and explain_first:
        print(explain(failed[0], mix), flush=True)
    return len(failed)


if __name__ == "__main__":
    raise SystemExit(main())
