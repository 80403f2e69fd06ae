"""What replication costs, on real processes over loopback: ``python -m benchmarks.replicated`` (about two minutes).

Latency of a keyed request with and without it (HDR histograms), requests a second, the claims that one core carries
without sockets, catch-up time by number of keys, memory a key, and keys moved by a join."""

from __future__ import annotations

import gc
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from lemonway.kit.faults.fleet import Fleet
from lemonway.kit.faults.history import Call
from lemonway.replication.messages import RUN_SUCCEEDED, Claim, Out, RunOutcome, Send, Won, decode, encode
from lemonway.replication.placement import Placement
from lemonway.replication.replica import Replica, ReplicaSettings

ONE_BY_ONE, IN_HAND, SECONDS = 1500, 4, 5.0


def fleet_of(shared: bool, **more: Any) -> Fleet:
    fleet = Fleet(
        3,
        Path(tempfile.mkdtemp()),
        run_seconds=0.0,
        replicated=shared,
        replication={"beat_ms": 200, "repair_ms": 1000, **more},
    )
    fleet.start()
    return fleet


def latency(fleet: Fleet) -> str:
    """One request after the other, to the three nodes in turn: a third of them at the key's home."""
    seen = HdrHistogram(1, 60_000_000, 3)
    for n in range(ONE_BY_ONE):
        call = fleet.ask(fleet.names[n % 3], f"one{n}")
        assert call is not None
        while not call.word:
            fleet.reactor.iterate(0.005)
        if call.word == "SERVED":
            seen.record_value(int((call.answered - call.sent) * 1e6))
    return (
        f"p50 {seen.get_value_at_percentile(50) / 1000:.2f}, p99 {seen.get_value_at_percentile(99) / 1000:.2f}, "
        f"p99.9 {seen.get_value_at_percentile(99.9) / 1000:.2f} ms ({seen.get_total_count()} served)"
    )


def rate(fleet: Fleet) -> str:
    """So many in hand at each node for a while."""
    end, n = time.monotonic() + SECONDS, 0
    calls: list[Call] = []
    in_hand: list[Call] = []
    while time.monotonic() < end:
        in_hand = [c for c in in_hand if not c.word or (c.word == "REFUSED" and time.time() - c.answered < 0.05)]
        for name in fleet.names:
            for _ in range(IN_HAND - sum(c.node == name for c in in_hand)):
                n += 1
                if (call := fleet.ask(name, f"many{n}")) is not None:
                    calls.append(call)
                    in_hand.append(call)
        fleet.reactor.iterate(0.002)
    fleet.wait_for_answers()
    return f"{sum(c.word == 'SERVED' for c in calls) / SECONDS:.0f} served a second of {n / SECONDS:.0f}"


def claims_a_second() -> str:
    """Three replicas and the encoding of their messages on one core, without sockets."""
    names, now = ["a", "b", "c"], 10**9
    nodes = {name: Replica(name, 1, names, ReplicaSettings(first_start=True), now) for name in names}

    def carry(name: str, out: list[Out]) -> None:
        todo = [(name, item) for item in out]
        while todo:
            who, item = todo.pop()
            if isinstance(item, Send):
                message = decode(encode(item.message))
                todo += [(item.to, more) for more in nodes[item.to].receive(who, 1, message, now)]
            elif isinstance(item, Won):
                todo += [
                    (who, more) for more in nodes[who].publish(item.key, RunOutcome(RUN_SUCCEEDED, b"r" * 200), now)
                ]

    for name in names:
        carry(name, nodes[name].tick(now))
    for name in names:
        nodes[name].tick(now)
    count, start = 5000, time.perf_counter()
    for n in range(count):
        name = names[n % 3]
        carry(name, nodes[name].claim(f"cadastro\x1e{n:032x}", Claim(name, 1, b"d" * 16, now, now + 10**7), now))
    took = time.perf_counter() - start
    assert all(len(node.claims.registers) == count for node in nodes.values())
    return f"{count / took:.0f} claims with their results a second, all three replicas on one core"


def memory() -> str:
    node = Replica("a", 1, ["a", "b", "c"], ReplicaSettings(first_start=True), 10**9)
    gc.collect()
    tracemalloc.start()
    count = 20_000
    for n in range(count):
        claim = Claim("b", 1, n.to_bytes(16, "big"), 10**9, 10**9 + 10**7)
        node.claims.learn(
            f"cadastro\x1e{n:032x}", claim, RunOutcome(RUN_SUCCEEDED, b"r" * 200 + n.to_bytes(4, "big")), 10**9
        )
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    return (
        f"{used / count:.0f} bytes a key with a result of 204 bytes ({node.claims.memory_bytes / count:.0f} as counted)"
    )


def catch_up(keys: int, rate: int) -> str:
    fleet = fleet_of(True, catch_up_rate=rate, keys_most=100_000)
    try:
        n = 0
        while n < keys:
            calls = [fleet.ask(name, f"c{n + i}") for i, name in enumerate(("n1", "n3") * 5)]
            n += sum(call is not None for call in calls)
            while any(call is not None and not call.word for call in calls):
                fleet.reactor.iterate(0.002)
        fleet.kill("n2")
        fleet.restart("n2")
        fleet.wait_until_caught_up("n2")
        status = fleet.nodes["n2"].status()
        return f"{status['registers']} keys: {status['catch_up_ms']} ms at {rate} keys a second and peer"
    finally:
        fleet.close()


def moved() -> str:
    peers = [f"n{i}" for i in range(200)]
    keys = [f"k{i}" for i in range(20_000)]
    before = Placement(peers)
    out = []
    for joins in (1, 20, 120):
        after = Placement([*peers[joins:], *(f"m{i}" for i in range(joins))])
        share = sum(set(before.group(k)) != set(after.group(k)) for k in keys) / len(keys)
        out.append(f"{joins} replaced: {share:.3f}")
    joined = Placement([*peers, "n200"])
    return f"join: {sum(set(before.group(k)) != set(joined.group(k)) for k in keys) / len(keys):.4f}; " + ", ".join(out)


def main() -> None:
    print(f"keys moved of 20,000 on 200 nodes, groups of 3: {moved()}")
    print(f"memory: {memory()}")
    print(f"core: {claims_a_second()}")
    for shared in (False, True, False, True):
        fleet = fleet_of(shared)
        try:
            print(f"replication {'on ' if shared else 'off'}: {latency(fleet)}; {rate(fleet)}", flush=True)
        finally:
            fleet.close()
    for keys, rate_of in ((1000, 10_000), (5000, 10_000), (15_000, 10_000), (5000, 2000)):
        print(f"catch-up: {catch_up(keys, rate_of)}", flush=True)


if __name__ == "__main__":
    main()
