"""One client that sends small requests, sound and unsound, as fast as the node takes them, under ever new names. Others
must get their answers by their due times, and the process stays within ``limits.memory_mb``."""

from __future__ import annotations

import itertools
import random
import socket
import threading
import time
import unittest
from collections.abc import Callable, Iterator
from typing import Any

from node_process import NodeProcess

from lemonway.kit.clients import RouterClient, packet, request_vars
from lemonway.kit.pool import Plan, StandInPool
from lemonway.kit.tally import Tally
from lemonway.net.protocol.resp import encode

MEMORY_MB = 96
FLOOD_S = 5.0
REQUEST_INTERVAL_S = 0.05  # of the other client
DUE_S = 3.0 + 0.05  # the deadline of the settings, and 50 ms (PROTOCOL, the rules on sockets)
ADMIN_DUE_S = 1.0  # DAYS, the second address
CLASSES = ("miniatura", "visualizador", "busca", "cadastro")


def flood_frames(draw: random.Random) -> Iterator[bytes]:
    """Requests of which no two name the same class, tenant, router, id or key; a quarter is sound and withdrawn."""
    for tag in itertools.count(1):
        txn, key = f"{draw.getrandbits(64):016x}", f"{draw.getrandbits(128):032x}"
        fields = f"txn={txn},door={time.time() * 1000:.0f},lb={draw.getrandbits(32)},ram=1,standing=0.9"
        name = CLASSES[tag % 4]
        number = b"%d" % tag
        yield encode(b"CALL", number, b"class-%d" % tag, fields.encode(), b"x")
        yield encode(b"CALL", number, name.encode(), f"{fields},team=tenant-{tag}".encode(), b"x")
        yield encode(b"%d" % tag, number, name.encode(), b"f%d=%d" % (tag, tag))
        yield encode(b"CHECK", number, b"probe=%d" % (tag % 2))
        yield encode(b"CALL", number, name.encode(), f"{fields},unique={key}".encode(), b"x")
        yield encode(b"CANCEL", number)


class FloodingClient(unittest.TestCase):
    def setUp(self) -> None:
        from twisted.internet import reactor

        self.reactor: Any = reactor
        self.pool = StandInPool(reactor, cores=6)
        for name in CLASSES:
            self.pool.plans[name] = Plan()
        pool_port = self.reactor.listenTCP(0, self.pool, interface="127.0.0.1")
        self.addCleanup(pool_port.stopListening)
        self.addCleanup(self.pool.cut)
        self.node = NodeProcess(
            self,
            pool_port.getHost().port,
            MEMORY_MB,
            'default_tenant = "museu-grande"\n[[location]]\npath = "/cadastro"\nclass = "cadastro"\n',
            admin="127.0.0.1:0",
        )
        self.admin_port = self.node.listening_port("admin")
        self.port = self.node.listening_port("n1")
        self.spin_until(time.monotonic() + 1.0)

    def spin_until(self, end: float) -> None:
        while time.monotonic() < end:
            self.reactor.iterate(0.005)

    def flood_resp(self, sent: list[int]) -> None:
        """Send to the routers' port as fast as the node reads, and read what it answers."""
        frames = flood_frames(random.Random(48))
        with socket.create_connection(("127.0.0.1", self.port), timeout=10) as client:
            reader = threading.Thread(target=drain, args=(client,), daemon=True)
            reader.start()
            end = time.monotonic() + FLOOD_S
            while time.monotonic() < end:
                batch = list(itertools.islice(frames, 120))
                client.sendall(b"".join(batch))
                sent[0] += len(batch)
            client.shutdown(socket.SHUT_WR)
            reader.join(5)

    def flood_uwsgi(self, sent: list[int]) -> None:
        """Send one request a connection, which that protocol allows, and more than belongs to it."""
        draw, end = random.Random(48), time.monotonic() + FLOOD_S
        while time.monotonic() < end:
            sent[0] += 1
            with socket.create_connection(("127.0.0.1", self.node.uwsgi_port), timeout=10) as client:
                key = f"{draw.getrandbits(128):032x}"
                path = f"/path-{sent[0]}" if sent[0] % 2 else "/cadastro"
                variables = request_vars(path, b"x", HTTP_HOST=f"host-{sent[0]}", HTTP_IDEMPOTENCY_KEY=key)
                try:
                    client.sendall(packet(variables, b"x" * 20_000))
                    drain(client)
                except ConnectionError:  # closed with input unread: too much was sent
                    pass

    def test_others_are_answered_in_time_beside_a_flood_on_the_routers_port(self) -> None:
        self.check_others_beside(self.flood_resp)

    def test_others_are_answered_in_time_beside_a_flood_on_the_uwsgi_port(self) -> None:
        self.check_others_beside(self.flood_uwsgi)

    def flood_admin(self, sent: list[int]) -> None:
        """Send calls of ever new paths and fields, sound and unsound, more on a connection than are answered."""
        end = time.monotonic() + FLOOD_S
        while time.monotonic() < end:
            sent[0] += 1
            call = b"GET /path-%d HTTP/1.1\r\nfield-%d: 1\r\n\r\n" if sent[0] % 2 else b"GET /%d\r\nno field %d\r\n\r\n"
            with socket.create_connection(("127.0.0.1", self.admin_port), timeout=10) as client:
                try:
                    client.sendall(call % (sent[0], sent[0]) * 100)
                    drain(client)
                except ConnectionError:
                    pass

    def test_others_are_answered_in_time_beside_a_flood_on_the_admin_port(self) -> None:
        """Answers of the admin address are owed within 1 s, under any load (DAYS)."""
        waits: list[float] = []

        def ask_until_it_ends() -> None:
            while flood.is_alive():
                begun = time.monotonic()
                with socket.create_connection(("127.0.0.1", self.admin_port), timeout=10) as client:
                    client.sendall(b"GET /ready HTTP/1.1\r\n\r\n")
                    if b"200" in client.recv(4096):
                        waits.append(time.monotonic() - begun)
                time.sleep(REQUEST_INTERVAL_S)

        sent = [0]
        flood = threading.Thread(target=self.flood_admin, args=(sent,), daemon=True)
        flood.start()
        asking = threading.Thread(target=ask_until_it_ends, daemon=True)
        asking.start()
        while asking.is_alive():  # the worker pool's stand-in runs here
            self.spin_until(time.monotonic() + REQUEST_INTERVAL_S)
        self.assertGreater(sent[0], 100, "no flood")
        self.assertGreater(len(waits), 10)
        self.assertLess(max(waits), ADMIN_DUE_S)
        self.assertLess(self.node.peak_memory_mb(), MEMORY_MB)

    def check_others_beside(self, send_flood: Callable[[list[int]], None]) -> None:
        other = RouterClient(self.reactor, self.port, Tally(), "other")
        self.spin_until(time.monotonic() + 0.2)
        sent, asked_at = [0], dict[int, float]()
        answered_at: dict[int, float] = {}
        flood = threading.Thread(target=send_flood, args=(sent,), daemon=True)
        flood.start()
        end = time.monotonic() + FLOOD_S + DUE_S
        while time.monotonic() < end:
            if time.monotonic() < end - DUE_S - REQUEST_INTERVAL_S:
                name = CLASSES[len(asked_at) % 4]
                tag = other.call(name, b"picture", 0, unique=f"{len(asked_at):032x}")
                asked_at[tag] = time.monotonic()
            self.spin_until(time.monotonic() + REQUEST_INTERVAL_S)
            for tag in other.answers.keys() - answered_at.keys():
                answered_at[tag] = time.monotonic()
        flood.join(10)
        self.assertFalse(flood.is_alive())
        waits = [answered_at.get(tag, float("inf")) - begun for tag, begun in asked_at.items()]
        self.assertGreater(sent[0], 100, "no flood")
        self.assertLess(max(waits), DUE_S)
        self.assertLess(self.node.peak_memory_mb(), MEMORY_MB)


def drain(client: socket.socket) -> None:
    while client.recv(65536):
        pass


if __name__ == "__main__":
    unittest.main()
