"""What a change of policy takes and what keeping one costs, on real processes over loopback: ``python -m
benchmarks.policy`` (about a minute).

From a proposal until the last node has switched, with 3 and 5 nodes; the latency of a request without a key with the
policy each node's own, and the fleet's; and the processor time that a node takes with nothing to do."""

from __future__ import annotations

import os
import tempfile
import time
from pathlib import Path

from hdrh.histogram import HdrHistogram

from lemonway.kit.faults.fleet import READ_CLASS, Fleet
from lemonway.kit.faults.policy_day import PolicyFleet, settings_with

CHANGES, READS, IDLE = 40, 1500, 5.0
POLICY = {"lease_ms": 1000}


def shown(seen: HdrHistogram) -> str:
    return (
        ", ".join(
            f"{name} {seen.get_value_at_percentile(share) / 1000:.2f}"
            for name, share in (("p50", 50), ("p99", 99), ("p99.9", 99.9), ("most", 100))
        )
        + f" ms ({seen.get_total_count()})"
    )


def switching(nodes: int) -> str:
    """From the operator's call until the last node has said that it goes by the change."""
    fleet = PolicyFleet(nodes, Path(tempfile.mkdtemp()), policy={"lease_ms": 1000, "pulse_ms": 100})
    seen = HdrHistogram(1, 60_000_000, 3)
    try:
        fleet.start()
        fleet.prober.enabled = False
        for number in range(1, CHANGES + 1):
            began = time.monotonic()
            # Two classes by turns: those of a process's life are counted, and there is a bound to them.
            made = fleet.propose(
                fleet.names[number % nodes], f"mark{number % 2}", settings_with(f"mark{number % 2}", patch=True)
            )
            said = f"policy: epoch {number} ("
            fleet.wait_until(
                lambda said=said: all(  # type: ignore[misc]
                    node.process is not None and any(said in line for line in node.process.lines)
                    for node in fleet.nodes.values()
                )
            )
            seen.record_value(int((time.monotonic() - began) * 1e6))
            fleet.wait_for_outcome(made)
        return shown(seen)
    finally:
        fleet.close()


def fleet_of(governed: bool) -> Fleet:
    fleet = Fleet(
        3,
        Path(tempfile.mkdtemp()),
        run_seconds=0.0,
        replication={"beat_ms": 200, "repair_ms": 1000},
        policy=POLICY if governed else None,
    )
    fleet.start()
    return fleet


def reading(governed: bool) -> str:
    fleet = fleet_of(governed)
    seen = HdrHistogram(1, 60_000_000, 3)
    try:
        for n in range(READS):
            router = fleet.nodes[fleet.names[n % 3]].router
            while router is None or router.side is None:
                fleet.run_reactor_once()
                router = fleet.nodes[fleet.names[n % 3]].router
            began, tag = time.monotonic(), router.call(READ_CLASS, b"r")
            while tag not in router.answers and router.side is not None:
                fleet.reactor.iterate(0.005)
            if tag in router.answers:
                seen.record_value(int((time.monotonic() - began) * 1e6))
        return shown(seen)
    finally:
        fleet.close()


def idling(governed: bool) -> str:
    """Processor time of the three nodes, by the system's own count."""
    fleet = fleet_of(governed)

    def used() -> float:
        total = 0.0
        for node in fleet.nodes.values():
            words = Path(f"/proc/{node.transport.pid}/stat").read_text().rsplit(")", 1)[1].split()
            total += (int(words[11]) + int(words[12])) / os.sysconf("SC_CLK_TCK")
        return total

    try:
        fleet.run_for(1.0)
        before = used()
        fleet.run_for(IDLE)
        return f"{(used() - before) / IDLE / 3 * 100:.1f}% of a core a node"
    finally:
        fleet.close()


def main() -> None:
    for nodes in (3, 5):
        print(f"from proposal to the last of {nodes} nodes: {switching(nodes)}", flush=True)
    for governed in (False, True, False, True):
        print(
            f"a read, policy {'the fleet' if governed else 'the node'}'s: {reading(governed)}; with nothing to do "
            f"{idling(governed)}",
            flush=True,
        )


if __name__ == "__main__":
    main()
