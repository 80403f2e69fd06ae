"""``python -m benchmarks.configuration``: what a version of the control group costs at a node, by the number of tenants
it holds: the loop's stop for one change of each kind, for the whole table, and for SIGHUP, beside the reading of a
whole file (``merge_settings``) that a change without a control group takes. Times of one process; ``--json FILE``: as
data."""

from __future__ import annotations

import argparse
import gc
import json
import statistics
import tempfile
import time
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

from lemonway.admission_policy import Policy
from lemonway.control.agent import Agent
from lemonway.control.messages import Delta
from lemonway.control.resources import Delete, Operation, Put, Table
from lemonway.control.store import StoredConfiguration
from lemonway.control.terms import AgentTerms
from lemonway.control.versions import Proposed, version_of
from lemonway.interface import Settings
from lemonway.kit.stage import site_settings
from lemonway.net.program.config import read_checked_settings
from lemonway.net.program.control_store import NodeStore, TableFile
from lemonway.net.routing.configured import TableApplier
from lemonway.net.routing.control_driver import AgentDriver
from lemonway.net.routing.core import Core
from lemonway.net.routing.layered import LayeredSettings
from lemonway.net.transport.clock import Clock, EventLoop
from lemonway.settings import merge_settings

SIZES = (1_000, 10_000, 50_000)
CHANGES = 300  # of each kind
STORED_DIGEST = bytes(16)
MICROSECONDS, MILLISECONDS = 1e6, 1e3


class IdleReactor:
    """Timers are set and never run."""

    def callLater(self, delay: float, call: Callable[..., Any], *args: Any) -> Any:
        return None


class NoLink:
    """The relay's end is not there: the probe says what the relay would."""

    def dial(self, publisher: str) -> None: ...

    def disconnect(self) -> None: ...

    def send(self, message: Any) -> None: ...


def tenant(number: int, quota: float = 10.0) -> Put:
    """A tenant as an operator would put it."""
    return Put("tenant", f"tenant-{number:06d}", b'{"quotaRps":%.1f,"share":0.001}' % quota)


class Node:
    """A node's core, its agent and its state file, without sockets."""

    def __init__(self, tenants: int, folder: str) -> None:
        self.raw = site_settings()
        own = read_checked_settings(self.raw)
        self.event_loop = EventLoop(IdleReactor(), Clock())
        self.layered = LayeredSettings(self.raw, own)
        self.core = Core(self.layered.settings, 1, self.event_loop, 1000, 1 << 20)
        self.core.policy = Policy(self.core.settings, 1)
        self.in_force = TableApplier(self.core, self.layered, self.core.validate_settings, self.adopt)
        table = Table()
        table.apply(tenant(n) for n in range(tenants))
        begun = time.perf_counter()
        self.agent = Agent(
            "n1",
            1,
            ["r1"],
            AgentTerms(max_table_bytes=1 << 30),
            0,
            lambda: 0.5,
            self.in_force.apply,
            Counter(),
            StoredConfiguration(1, STORED_DIGEST, table),
        )
        self.load_ms = (time.perf_counter() - begun) * MILLISECONDS
        self.state = TableFile(f"{folder}/state", self.event_loop, lambda: self.agent.table, Counter())
        self.driver = AgentDriver(self.event_loop, self.agent, NoLink(), store=NodeStore(self.state))
        self.driver.start()
        self.driver.link_connected()

    def adopt(self, settings: Settings, live: list[int], teams: dict[bytes, int]) -> None:
        self.core.update_settings(settings, live)

    def change(self, operation: Operation) -> float:
        """Microseconds that the loop stands still for a version of one operation."""
        agent = self.agent
        version = version_of(Proposed(agent.number, agent.digest, (operation,)), agent.number + 1, "v1", 0)
        begun = time.perf_counter()
        self.driver.on_publisher_message(Delta(version))
        took = (time.perf_counter() - begun) * MICROSECONDS
        if agent.number != version.number or agent.incompatibility:
            raise RuntimeError(f"the change did not take hold: {agent.incompatibility}")
        return took

    def finish_compaction(self) -> list[float]:
        """Microseconds of each slice of the state file's writing."""
        took = []
        while (compaction := self.state._compaction) is not None:
            begun = time.perf_counter()
            compaction.run()
            took.append((time.perf_counter() - begun) * MICROSECONDS)
        return took


def kinds(size: int) -> dict[str, Callable[[int], Operation]]:
    """One operation of each kind, by the number of the change."""
    return {
        "tenant changed": lambda n: tenant(n * 7 % size, 20.0 + n),
        "tenant added": lambda n: tenant(size + n),
        "tenant deleted": lambda n: Delete("tenant", f"tenant-{size + n:06d}"),
        "class": lambda n: Put("class", "busca", b'{"aim":%d,"deadline":3000}' % (1000 + n)),
        "limit": lambda n: Put("limit", "ceilings.maxRetryAfter", b"%d" % (1000 + n)),
        "route": lambda n: Put("route", f"/r/{n}", b'{"class":"busca"}'),
    }


def measure(size: int) -> dict[str, Any]:
    """All figures at one number of tenants."""
    row: dict[str, Any] = {"tenants": size}
    with tempfile.TemporaryDirectory() as folder:
        node = Node(size, folder)
        row["load ms"] = node.load_ms
        node.change(tenant(0, 11.0))
        row["state slice us"] = max(node.finish_compaction(), default=0.0)
        gc.collect()
        gc.freeze()  # as the node's program does at its start
        for kind, operation in kinds(size).items():
            took = sorted(node.change(operation(n)) for n in range(CHANGES))
            row[f"{kind} us"] = {"p50": statistics.median(took), "p99": took[-1 - CHANGES // 100], "max": took[-1]}
        own = read_checked_settings(node.raw)
        begun = time.perf_counter()
        fresh = LayeredSettings(node.raw, own, node.layered)
        fresh.apply_table(node.agent.table, node.core.validate_settings)
        row["SIGHUP ms"] = (time.perf_counter() - begun) * MILLISECONDS
        node.state.close()
    gc.unfreeze()
    whole = node.raw | {"tenants": [{"name": f"tenant-{n:06d}", "quotaRps": 10.0, "share": 0.001} for n in range(size)]}
    begun = time.perf_counter()
    merge_settings(node.core.settings, read_checked_settings(whole))
    row["whole file ms"] = (time.perf_counter() - begun) * MILLISECONDS
    return row


def main() -> None:
    parser = argparse.ArgumentParser(prog="python -m benchmarks.configuration", description=__doc__)
    parser.add_argument("--json", metavar="FILE", help="write the figures there")
    args = parser.parse_args()
    rows = [measure(size) for size in SIZES]
    for row in rows:
        print(f"{row['tenants']} tenants")
        for name, value in row.items():
            shown = (
                ", ".join(f"{key} {each:.1f}" for key, each in value.items())
                if isinstance(value, dict)
                else (f"{value:.1f}")
            )
            print(f"  {name:20} {shown}")
    if args.json:
        Path(args.json).write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")


if __name__ == "__main__":
    main()
