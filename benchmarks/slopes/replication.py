"""Replication by number of peers: signs of life, the look, the links between real sockets, anti-entropy, placement."""

from __future__ import annotations

import socket
import struct
import time
from collections import Counter
from dataclasses import dataclass
from typing import Any

from lemonway.net.program.replication import Replication
from lemonway.net.protocol.framing import LENGTH_PREFIX_BYTES
from lemonway.net.protocol.peers import Mesh, peers_hash
from lemonway.net.transport.clock import Clock, EventLoop
from lemonway.replication.messages import VERSION, Digests, Heartbeat, Hello, Send, encode
from lemonway.replication.placement import Placement
from lemonway.replication.registers import RANGE_COUNT
from lemonway.replication.replica import Replica, ReplicaSettings

from .epochs import LIFE, SECOND, SEGMENT_HEADERS, node_names
from .meters import processor_us, retained_bytes
from .model import CONTROL_CORE_PERCENT, CONTROL_KB_A_SECOND, NODES, Budget, Probe, Series, series

SIZES, QUICK_SIZES = (200, 500, 1_000, 2_000, 5_000), (20, 40, 80, 160)
LINK_SIZES, QUICK_LINK_SIZES = (50, 100, 200, 400), (5, 10, 20, 40)
LOOKS_A_SECOND = 100  # routing/replicated.py ticks every 10 ms
DESCRIPTORS = 1_024  # of a node, by its deployment
KEY_WINDOW_SECONDS = 24.336  # for which a keyed request may come again
LARGE_SUM = (1 << 64) - 1  # sums over ranges of keys are 64 bits: 9 bytes each once there are keys
PATIENCE = 30.0  # seconds for links on loopback


class Peers:
    """One replica of the shipped core that has just heard from all others."""

    def __init__(self, size: int) -> None:
        self.now, self.names = LIFE, node_names(size)
        self.replica = Replica(self.names[0], LIFE, self.names, ReplicaSettings(first_start=True), self.now)
        beat = Heartbeat((0, 0), True, False, True)
        for number, name in enumerate(self.names[1:], 1):
            self.replica.receive(name, LIFE + number, beat, self.now)
        self.replica.tick(self.now)

    def look(self) -> None:
        """A tick in which nothing is due."""
        self.replica._next_heartbeat_us = self.replica.repair._next_at_us = self.now + SECOND
        self.replica.tick(self.now)

    def beats_a_second(self) -> float:
        """Signs of life sent; as many are heard."""
        self.replica._next_heartbeat_us, self.replica.repair._next_at_us = self.now, self.now + SECOND
        sent = [out for out in self.replica.tick(self.now) if isinstance(out, Send)]
        return len(sent) * SECOND / self.replica.heartbeat_us

    def repair_round_seconds(self) -> float:
        """Until each peer has been compared with once: one every ``repair_us``, by turns."""
        return len(self.replica.repair.peers) * self.replica.repair.interval_us / SECOND


@dataclass(frozen=True)
class Links:
    """The links of one node over loopback."""

    dialled: int
    accepted: int
    retained: int  # bytes

    @property
    def descriptors(self) -> int:
        return self.dialled + self.accepted


class _Others:
    """All other nodes' ends: plain sockets that take a node's links and dial it."""

    def __init__(self) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0), backlog=1024)
        self.listener.setblocking(False)
        self.ends: list[socket.socket] = []

    @property
    def address(self) -> tuple[str, int]:
        host, port = self.listener.getsockname()
        return host, port

    def take(self) -> None:
        """Accept what has dialled."""
        while True:
            try:
                self.ends.append(self.listener.accept()[0])
            except BlockingIOError:
                return

    def dial(self, port: int, hello: Hello) -> None:
        """Open a link to the node and say who speaks."""
        data = encode(hello)
        side = socket.create_connection(("127.0.0.1", port))
        side.sendall(struct.pack(">I", len(data)) + data)
        self.ends.append(side)

    def close(self) -> None:
        """Close every end."""
        for side in (self.listener, *self.ends):
            side.close()


def open_links(size: int) -> Links:
    """All links of a node among ``size``: each peer is dialled, and dials."""
    from twisted.internet import reactor as installed

    loop: Any = installed
    others, names = _Others(), node_names(size)
    addresses = {name: others.address for name in names}

    def until_linked() -> Mesh:
        mesh = Mesh(loop, EventLoop(loop, Clock()), names[0], LIFE, 3, addresses, 512 * 1024, Counter())
        port = loop.listenTCP(0, mesh, backlog=1024, interface="127.0.0.1")
        ports.append(port)
        mesh.start()
        group = peers_hash(names)
        for number, name in enumerate(names[1:], 1):
            others.dial(port.getHost().port, Hello(VERSION, name, LIFE + number, 3, group, 0))
            loop.iterate(0)
        end = time.monotonic() + PATIENCE
        while not (
            all(link.connection for link in mesh.links.values())
            and sum(bool(side.peer) for side in mesh.accepted) == size - 1
        ):
            if time.monotonic() > end:
                raise TimeoutError(f"{size} nodes: not all links are up")
            others.take()
            loop.iterate(0.01)
        return mesh

    ports: list[Any] = []
    mesh, retained = retained_bytes(until_linked)
    found = Links(sum(link.connection is not None for link in mesh.links.values()), len(mesh.accepted), retained)
    mesh.stop()
    for port in ports:
        port.stopListening()
    others.close()
    for _ in range(10):
        loop.iterate(0)
    return found


def peers_most() -> int:
    """The longest list that the file's own check takes."""
    hints = Replication.__annotations__["peers"]
    return int(hints.split("max_length=")[1].split(",")[0])


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    sizes = QUICK_SIZES if quick else SIZES
    look: dict[int, float] = {}
    share: dict[int, float] = {}
    beats: dict[int, float] = {}
    framed: dict[int, float] = {}
    placing: dict[int, float] = {}
    round_seconds: dict[int, float] = {}
    silence: dict[int, float] = {}
    beat_size = len(encode(Heartbeat((0, 0), True, False, True))) + LENGTH_PREFIX_BYTES
    digest_sizes = [len(encode(Digests((value,) * RANGE_COUNT))) + LENGTH_PREFIX_BYTES for value in (0, LARGE_SUM)]
    for size in sizes:
        peers = Peers(size)
        look[size] = processor_us(peers.look, times=20)
        share[size] = look[size] * LOOKS_A_SECOND / SECOND * 100
        rate = 2 * peers.beats_a_second()
        digests = 2 * SECOND / peers.replica.repair.interval_us * digest_sizes[1]
        beats[size] = (rate * beat_size + digests) / 1000
        framed[size] = (rate * (beat_size + SEGMENT_HEADERS) + digests) / 1000
        placement = Placement(peers.names)
        keys = iter(range(1_000_000))
        placing[size] = processor_us(lambda p=placement, k=keys: p.group(f"{next(k):032x}"), times=50)  # type: ignore[misc]
        round_seconds[size] = peers.repair_round_seconds()
        silence[size] = peers.replica.peer_timeout_us / SECOND
    links = {size: open_links(size) for size in (QUICK_LINK_SIZES if quick else LINK_SIZES)}
    traffic = Budget(CONTROL_KB_A_SECOND, "control traffic of a node")
    return [
        series("signs of life and anti-entropy of replication, payload", "KB/s", "peers", beats, NODES, traffic, True),
        series("the same with IP and TCP headers", "KB/s", "peers", framed, NODES, traffic, True),
        series("a look (Replica.tick)", "us", "peers", look, NODES),
        series(
            "processor time of the looks",
            "% of a core",
            "peers",
            share,
            NODES,
            Budget(CONTROL_CORE_PERCENT, "control of a node"),
        ),
        series(
            "descriptors of the links",
            "descriptors",
            "peers",
            {size: found.descriptors for size, found in links.items()},
            NODES,
            Budget(DESCRIPTORS, "descriptors of a node, with nothing else open"),
            True,
        ),
        series(
            "memory of the links", "MB", "peers", {size: found.retained / 1e6 for size, found in links.items()}, NODES
        ),
        series("placing a new key (Placement.group)", "us", "peers", placing, NODES, Budget(1_200, "added time")),
        series(
            "anti-entropy: until each peer is compared with once",
            "s",
            "peers",
            round_seconds,
            NODES,
            Budget(KEY_WINDOW_SECONDS, "window of a key"),
            True,
        ),
        series("until a dead peer counts as gone", "s", "peers", silence, NODES, exact=True),
    ]


PROBE = Probe("replication", "replication by number of peers", run)
