"""Settings by number of tenants and of classes: reading, merging, memory, and how long the loop stands still at SIGHUP
and at a change of the fleet's policy, both on a whole node in virtual time."""

from __future__ import annotations

import copy
import json
import os
import tempfile
from pathlib import Path
from typing import Any
from unittest import mock

from benchmarks.stage import HOST, Stage
from lemonway.kit.stage import site_settings
from lemonway.net.program.config import Config, load_config, read_checked_settings, read_config
from lemonway.net.program.node import Node
from lemonway.net.program.policy import CHANGE_MOST
from lemonway.net.transport.clock import Clock
from lemonway.settings import MAX_REQUEST_CLASSES, merge_settings

from .meters import processor_us, retained_bytes
from .model import (
    ADDED_MS,
    CHANGES_A_SECOND,
    CONTROL_CORE_PERCENT,
    CONTROL_MEMORY_MB,
    TENANTS,
    Budget,
    Probe,
    Series,
    series,
)

SIZES, QUICK_SIZES = (1_000, 10_000, 100_000, 630_000), (50, 100, 200, 400)
MEMORY_SIZES, QUICK_MEMORY_SIZES = (1_000, 5_000, 20_000, 100_000), (50, 100, 200, 400)
CLASS_SIZES = (4, 8, 16, 32, MAX_REQUEST_CLASSES)
POLICY_SIZES, QUICK_POLICY_SIZES = (1_000, 5_000, 20_000, 100_000), (50, 100, 200, 400)
ROUNDS = 2  # the largest sizes take seconds
MILLISECOND = 1_000
SECOND = 1_000_000


def tenant(number: int) -> dict[str, Any]:
    """One tenant as a file has it."""
    return {"name": f"museum-{number:06d}", "share": 0.000001, "quotaRps": 0}


def settings_with(tenants: int, classes: int = 4) -> dict[str, Any]:
    """Settings of the shape of recife-principal with so many tenants and classes."""
    made = site_settings()
    made["tenants"] = [tenant(number) for number in range(tenants)]
    plain = made["lanes"][0]
    made["lanes"] = [copy.deepcopy(plain) | {"name": f"class-{number:03d}"} for number in range(classes)]
    made["familyInfo"]["classCalls"] = [True] * classes
    made["familyInfo"]["classSkipWorth"] = [0.0] * classes
    return made


def config_of(settings: dict[str, Any]) -> dict[str, Any]:
    """A node's whole file."""
    return {
        "name": HOST,
        "listen": f"{HOST}:8443",
        "pool": "pool:1",
        "announce": "announce:1",
        "catalog": "acervo:1",
        "seed": "1",
        "stop_ms": 3000,
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "settings": settings,
    }


class FileOnDisk:
    """A node's file and the environment that names it."""

    def __init__(self, settings: dict[str, Any]) -> None:
        self.folder = tempfile.TemporaryDirectory()
        self.path = Path(self.folder.name, "config.json")
        self.write(settings)
        self.environ = {"EDGE_CONFIG": str(self.path)}

    def write(self, settings: dict[str, Any]) -> None:
        """Replace what the file says."""
        self.path.write_text(json.dumps(config_of(settings)))

    def load(self) -> Config:
        """Read it as the node does."""
        return load_config(self.environ)


def reload_us(size: int) -> float:
    """The loop of a whole node at SIGHUP, where one tenant of ``size`` has another share."""
    settings = settings_with(size)
    file, stage = FileOnDisk(settings), Stage()
    best = float("inf")
    with mock.patch.dict(os.environ, file.environ):
        stage.node.reload()  # takes the tenants in
        for number in range(ROUNDS):
            settings["tenants"][0]["share"] = 0.5 + number / 10
            file.write(settings)
            best = min(best, processor_us(stage.node.reload, rounds=1))
    if stage.node.core.counters["reloads_ok"] != ROUNDS + 1 or len(stage.node.core.settings.tenants) < size:
        raise RuntimeError(f"{size} tenants: the file was not taken")
    return best


def node_bytes(size: int) -> int:
    """What a whole node keeps of ``size`` tenants: file, settings, names and the decision module's tables."""
    file, stage = FileOnDisk(settings_with(size)), Stage()
    with mock.patch.dict(os.environ, file.environ):
        return retained_bytes(stage.node.reload)[1]


def governed_node(settings: dict[str, Any]) -> Node:
    """A node under ``--policy`` that has not begun to listen."""
    stage = Stage()
    folder = Path(tempfile.mkdtemp(prefix="lemonway-slopes-"))
    replication, policy = folder / "replication.json", folder / "policy.json"
    replication.write_text(json.dumps({"peers": {HOST: "127.0.0.1:1"}, "first_start": True}))
    policy.write_text("{}")
    return Node(
        read_config(config_of(settings), {}),
        stage.node.reactor,
        None,
        Clock(stage.loop.monotonic_ns, stage.loop.unix_ns),
        str(replication),
        str(policy),
    )


def change_us(size: int) -> float:
    """The loop of a node under ``--policy`` for one change of one class, whose table of tenants is its own file's: once
    to say whether the change fits, and once to take it."""
    node = governed_node(settings_with(size))
    policy_member = node.policy_member
    assert policy_member is not None
    best = float("inf")
    for number in range(ROUNDS):
        made = policy_member.epochs.committed
        lanes = copy.deepcopy(node.config.raw_settings["lanes"])
        lanes[0]["aim"] = 900.0 + number
        data = json.dumps({"lanes": lanes}).encode()
        change = type(made)(number + 1, f"change-{number}", True, data, "", HOST, 0)

        def whole(data: bytes = data, change: Any = change) -> None:
            refused = policy_member.rejection_reason(data) or policy_member.apply_change(change)
            if refused:
                raise RuntimeError(refused)

        best = min(best, processor_us(whole, rounds=1))
    return best


def tenants_in_a_change() -> int:
    """How many tenants the largest change can name: it replaces the list, so it has to name them all."""
    empty = len(json.dumps({"tenants": []}, separators=(",", ":")))
    each = len(json.dumps(tenant(0), separators=(",", ":"), sort_keys=True)) + 1
    return (CHANGE_MOST - empty) // each


def by_tenants(quick: bool) -> list[Series]:
    """Series over the number of tenants."""
    read: dict[int, float] = {}
    merge: dict[int, float] = {}
    held: dict[int, float] = {}
    change: dict[int, float] = {}
    change_share: dict[int, float] = {}
    met: dict[int, float] = {}
    change_bytes: dict[int, float] = {}
    memory: dict[int, float] = {}
    for size in QUICK_SIZES if quick else SIZES:
        file = FileOnDisk(settings_with(size))
        read[size] = processor_us(file.load, rounds=ROUNDS) / MILLISECOND
        settings = file.load().settings
        merge[size] = processor_us(lambda s=settings: merge_settings(s, s), rounds=ROUNDS) / MILLISECOND  # type: ignore[misc]
        held[size] = reload_us(size) / MILLISECOND
        change_share[size] = held[size] * MILLISECOND * CHANGES_A_SECOND / SECOND * 100
        # Requests that come while the loop stands still, and wait longer than the added time allows.
        met[size] = (held[size] - ADDED_MS) / 1000 * CHANGES_A_SECOND * 100
        change_bytes[size] = len(json.dumps({"tenants": [tenant(n) for n in range(size)]}, separators=(",", ":")))
    for size in QUICK_MEMORY_SIZES if quick else MEMORY_SIZES:
        memory[size] = node_bytes(size) / 1e6
    for size in QUICK_POLICY_SIZES if quick else POLICY_SIZES:
        change[size] = change_us(size) / MILLISECOND
    unit = "tenants"
    return [
        series("reading the file", "ms", unit, read, TENANTS),
        series("merging with what is in force", "ms", unit, merge, TENANTS),
        series("loop held by one SIGHUP", "ms", unit, held, TENANTS, Budget(ADDED_MS, "added time")),
        series(
            "requests that wait longer than the added time, 0.42 SIGHUPs a second",
            "% of requests",
            unit,
            met,
            TENANTS,
            Budget(1.0, "added time, 99 in 100"),
        ),
        series(
            "processor time of 0.42 SIGHUPs a second",
            "% of a core",
            unit,
            change_share,
            TENANTS,
            Budget(CONTROL_CORE_PERCENT, "control of a node"),
        ),
        series(
            "loop held by one change of a class under --policy",
            "ms",
            unit,
            change,
            TENANTS,
            Budget(ADDED_MS, "added time"),
        ),
        series(
            "a change that names all tenants",
            "bytes",
            unit,
            change_bytes,
            TENANTS,
            Budget(CHANGE_MOST, "CHANGE_MOST"),
            True,
        ),
        series(
            "memory of a node for its tenants",
            "MB",
            unit,
            memory,
            TENANTS,
            Budget(CONTROL_MEMORY_MB, "control of a node"),
        ),
    ]


def by_classes() -> list[Series]:
    """Series over the number of classes."""
    read: dict[int, float] = {}
    memory: dict[int, float] = {}
    for size in CLASS_SIZES:
        raw = settings_with(4, size)
        read[size] = processor_us(lambda raw=raw: read_checked_settings(raw), times=5) / MILLISECOND  # type: ignore[misc]
        memory[size] = retained_bytes(lambda raw=raw: read_checked_settings(raw))[1] / 1000  # type: ignore[misc]
    return [
        series("reading the settings", "ms", "classes", read, MAX_REQUEST_CLASSES, Budget(ADDED_MS, "added time")),
        series("memory of the settings", "KB", "classes", memory, MAX_REQUEST_CLASSES),
    ]


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    return by_tenants(quick) + by_classes()


PROBE = Probe("settings", "settings by number of tenants and of classes", run)
