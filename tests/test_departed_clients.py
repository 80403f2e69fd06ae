"""Clients that close their connection with much still unread, on real sockets: what they sent is not passed on once
they have left, and a key that comes again runs once, also at the other process of an upgrade."""

from __future__ import annotations

import os
import socket
import struct
import tempfile
import time
import unittest

from node_test_case import NodeTestCase

from lemonway.kit.pool import Plan
from lemonway.kit.stage import Stage
from lemonway.net.program.keyfiles import KeyFiles
from lemonway.net.protocol.resp import encode
from lemonway.net.routing.process_keys import ProcessKeys

REQUESTS = 2000  # far more than is read from one connection in an iteration of the event loop
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER with zero timeout
RESULT = ("RESULT", b"cadastro|entry")


def request(number: int, name: str, txn: int | None = None) -> bytes:
    fields = f"txn={number if txn is None else txn:016x},door={time.time() * 1000:.0f},lb=1,ram=30,standing=0.5"
    if name == "cadastro":
        fields += f",unique={number:032x}"
    return encode(b"CALL", b"%d" % number, name.encode(), fields.encode(), b"entry")


class DepartedClients(NodeTestCase):
    def connect(self, harness: Stage) -> socket.socket:
        client = socket.create_connection(("127.0.0.1", harness.port))
        harness.spin(lambda: len(harness.node.core.frontend_connections) > 0)
        return client

    def test_requests_unread_at_a_reset_are_not_passed_on(self) -> None:
        """Those in the first 16 KiB were handed to the worker pool, and keyed ones ran to their end."""
        for name in ("busca", "cadastro"):
            with self.subTest(name):
                harness = self.start_harness()
                client = self.connect(harness)
                client.setblocking(False)
                client.send(b"".join(request(number, name) for number in range(1, REQUESTS + 1)))
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                client.close()
                harness.spin(lambda harness=harness: not harness.node.core.frontend_connections)  # type: ignore[misc]
                harness.spin_for(0.2)
                self.assertEqual((harness.pool.spawned, len(harness.node.core.records)), ([], 0))
                self.assertEqual(harness.node.core.counters["unread_gone"], 1)

    def test_nothing_more_is_passed_on_once_answers_meet_a_closed_connection(self) -> None:
        """The client closes with answers unread, which resets the connection; requests behind them were still read."""
        harness = self.start_harness()
        client = self.connect(harness)
        client.setblocking(False)
        client.send(b"".join(request(number, "busca") for number in range(1, REQUESTS + 1)))
        harness.spin(lambda: len(harness.pool.spawned) > 0)
        before = len(harness.pool.spawned)
        client.close()
        harness.spin(lambda: not harness.node.core.frontend_connections)
        harness.spin_for(0.2)
        self.assertEqual(len(harness.pool.spawned), before)

    def test_a_key_that_comes_again_after_its_client_has_left_runs_once(self) -> None:
        """Also at the other process of an upgrade, and under the same id."""
        for held in (True, False):
            with self.subTest(held=held), tempfile.TemporaryDirectory() as folder:
                old, new = self.start_harness(), self.start_harness()
                for harness, pid in ((old, os.getpid()), (new, os.getppid())):
                    ProcessKeys(harness.node.core, KeyFiles(folder, pid)).start()
                old.pool.plans["cadastro"] = Plan(held=held)
                client = self.connect(old)
                client.sendall(request(7, "cadastro"))
                old.spin(lambda old=old: len(old.pool.spawned) == 1)  # type: ignore[misc]
                client.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                client.close()
                old.spin(lambda old=old: not old.node.core.frontend_connections)  # type: ignore[misc]
                key = f"{7:032x}"
                old_router, new_router = old.router("old"), new.router("new")
                tags = [router.call("cadastro", b"entry", unique=key) for router in (old_router, new_router)]
                same_id = old_router.call("cadastro", b"entry", unique=key, txn=f"{7:016x}")
                old.spin_for(0.1)
                old.pool.release("cadastro")
                for router, tag in zip((old_router, new_router), tags, strict=True):
                    old.spin(lambda router=router, tag=tag: tag in router.answers)  # type: ignore[misc]
                    word, _, body = router.answers[tag]
                    self.assertEqual((word, body), RESULT)
                old.spin(lambda router=old_router, tag=same_id: tag in router.answers)  # type: ignore[misc]
                self.assertNotEqual(old_router.answers[same_id][0], "REJECT", "its key has run")
                self.assertEqual((len(old.pool.spawned), len(new.pool.spawned)), (1, 0))


if __name__ == "__main__":
    unittest.main()
