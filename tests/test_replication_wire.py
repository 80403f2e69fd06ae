"""Links between nodes (malformed, mismatched or oversized messages, slow readers) and replication file errors."""

from __future__ import annotations

import json
import socket
import struct
import subprocess
import sys
import tempfile
import time
import unittest
from collections import Counter
from pathlib import Path
from typing import Any

from jsonschema import Draft202012Validator

from lemonway.kit.stage import Stage
from lemonway.net.program.config import ConfigError
from lemonway.net.program.replication import Replication, load_replication, replica_terms, schema
from lemonway.net.protocol.peers import MAX_HELLO_BYTES, MAX_MESSAGE_BYTES, Mesh, peers_hash
from lemonway.net.transport.clock import Clock, EventLoop
from lemonway.replication.messages import VERSION, Fetch, Heartbeat, Hello, Message, encode

ROOT = Path(__file__).parents[1]
HEARTBEAT = Heartbeat((1, 1), True, False, True)


def framed(data: bytes) -> bytes:
    return struct.pack(">I", len(data)) + data


class Links(unittest.TestCase):
    def setUp(self) -> None:
        from twisted.internet import reactor

        self.reactor: Any = reactor
        self.received: list[tuple[str, int, Message]] = []
        self.ports: list[Any] = []
        self.meshes: list[Mesh] = []
        self.addCleanup(self.close)

    def mesh(self, name: str, addresses: dict[str, tuple[str, int]], queue_bytes: int = 64 * 1024) -> Mesh:
        created = Mesh(self.reactor, EventLoop(self.reactor, Clock()), name, 7, 3, addresses, queue_bytes, Counter())
        created.receive = lambda peer, incarnation, message, epoch: self.received.append((peer, incarnation, message))
        self.meshes.append(created)
        return created

    def listen(self, mesh: Any) -> int:
        port = self.reactor.listenTCP(0, mesh, interface="127.0.0.1")
        self.ports.append(port)
        return int(port.getHost().port)

    def spin(self, condition: Any, timeout_s: float = 10.0) -> None:
        """Runs the event loop until ``condition`` holds; fails after ``timeout_s``."""
        end = time.monotonic() + timeout_s
        while not condition():
            self.assertLess(time.monotonic(), end, "timed out")
            self.reactor.iterate(0.01)

    def close(self) -> None:
        for mesh in self.meshes:
            mesh.stop()
            mesh.event_loop.stop()
        for port in self.ports:
            port.stopListening()
        for _ in range(5):
            self.reactor.iterate(0)
        for call in self.reactor.getDelayedCalls():
            call.cancel()

    def test_messages_arrive_in_order_and_a_lost_link_is_opened_again(self) -> None:
        b = self.mesh("b", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 1)})
        port = self.listen(b)
        a = self.mesh("a", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", port)})
        a.links["b"].dial()
        self.spin(lambda: a.links["b"].connection is not None)
        for n in range(500):
            a.send("b", Fetch(f"k{n}"))
        self.spin(lambda: len(self.received) == 500)
        self.assertEqual(self.received, [("a", 7, Fetch(f"k{n}")) for n in range(500)])
        next(iter(b.accepted)).abort()
        self.spin(lambda: a.counters["repl_links_lost"] == 1 and a.links["b"].connection is not None)
        a.send("b", HEARTBEAT)
        self.spin(lambda: len(self.received) == 501)

    def test_a_malformed_message_or_mismatched_hello_closes_its_own_link_only(self) -> None:
        from lemonway.kit.clients import RouterClient  # used as a plain TCP client

        b = self.mesh("b", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 1)})
        port = self.listen(b)
        names = peers_hash(["a", "b"])
        valid_hello = framed(encode(Hello(VERSION, "a", 1, 3, names, 0)))
        for payload, counter in (
            (framed(encode(HEARTBEAT)), "repl_spoilt"),  # sent before a hello
            (struct.pack(">I", MAX_MESSAGE_BYTES + 1), "repl_spoilt"),
            (struct.pack(">I", 0), "repl_spoilt"),
            (valid_hello + framed(b"\xc1\xff"), "repl_spoilt"),
            (valid_hello + framed(b"\x93\xa4beat\x01"), "repl_spoilt"),
            (framed(encode(Hello(VERSION + 1, "a", 1, 3, names, 0))), "repl_strangers"),
            (framed(encode(Hello(VERSION, "z", 1, 3, names, 0))), "repl_strangers"),
            (framed(encode(Hello(VERSION, "a", 1, 5, names, 0))), "repl_strangers"),
            (framed(encode(Hello(VERSION, "a", 1, 3, names + 1, 0))), "repl_strangers"),
        ):
            before = b.counters[counter]
            client = RouterClient(self.reactor, port)
            self.spin(lambda client=client: client.side is not None)
            client.write(payload)
            self.spin(lambda client=client: client.closed)
            self.assertEqual(b.counters[counter], before + 1, payload)
        valid_client = RouterClient(self.reactor, port)
        self.spin(lambda: valid_client.side is not None)
        for byte in valid_hello + framed(encode(HEARTBEAT)):
            valid_client.write(bytes([byte]))
        self.spin(lambda: bool(self.received))
        self.assertEqual(self.received, [("a", 1, HEARTBEAT)])

    def test_connections_that_do_not_say_whose_they_are_leave_the_peers_their_place(self) -> None:
        """Strangers held every place for good, each with up to 256 KiB of a message that never ended."""
        b = self.mesh("b", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 1)})
        port = self.listen(b)
        strangers = [socket.create_connection(("127.0.0.1", port)) for _ in range(2 * len(b.addresses) + 8)]
        for number, stranger in enumerate(strangers):
            self.addCleanup(stranger.close)
            stranger.sendall(struct.pack(">I", MAX_HELLO_BYTES) + b"x" * 100 if number % 2 else b"\0")
        oversized = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(oversized.close)
        self.spin(lambda: b.counters["repl_connections_over"] == 1)
        a = self.mesh("a", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", port)})
        a.links["b"].dial()
        self.spin(lambda: b.counters["repl_silent"] == len(strangers))
        self.spin(lambda: len(b.accepted) == 1 and a.links["b"].connection is not None)
        a.send("b", HEARTBEAT)
        self.spin(lambda: self.received == [("a", 7, HEARTBEAT)])
        late = socket.create_connection(("127.0.0.1", port))
        self.addCleanup(late.close)
        late.sendall(struct.pack(">I", MAX_HELLO_BYTES + 1))
        self.spin(lambda: b.counters["repl_spoilt"] == 1)

    def test_a_peer_that_does_not_read_is_disconnected_at_the_queue_bound(self) -> None:
        b = self.mesh("b", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", 1)})
        port = self.listen(b)
        a = self.mesh("a", {"a": ("127.0.0.1", 1), "b": ("127.0.0.1", port)})
        a.links["b"].dial()
        self.spin(lambda: bool(b.accepted) and a.links["b"].connection is not None)
        next(iter(b.accepted)).transport.pauseProducing()
        max_queued = 0
        for n in range(200_000):
            connection = a.links["b"].connection
            if connection is None or a.counters["repl_cut"]:
                break
            a.send("b", Fetch("k" * 1000))
            max_queued = max(max_queued, len(connection.outbound))
            if n % 50 == 0:
                self.reactor.iterate(0)
        self.assertEqual(a.counters["repl_cut"], 1)
        self.assertLessEqual(max_queued, 64 * 1024)


class ReplicationFile(unittest.TestCase):
    VALID: dict[str, Any] = {"peers": {"n1": "127.0.0.1:1", "n2": "127.0.0.1:2"}}

    def load(self, raw: Any) -> Replication:
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            file.write(raw if isinstance(raw, str) else json.dumps(raw))
            file.flush()
            return load_replication(file.name)

    def test_an_invalid_file_gives_one_line_that_names_the_key(self) -> None:
        for raw, expected in (
            ("{", "not JSON"),
            ([], "Expected `object`"),
            ({}, "`peers`"),
            (self.VALID | {"group": 4}, "group: 4"),
            (self.VALID | {"group": 7}, "$.group"),
            (self.VALID | {"peer": 1}, "peer"),
            (self.VALID | {"claim_ms": "x"}, "$.claim_ms"),
            (self.VALID | {"claim_ms": 1}, "$.claim_ms"),
            ({"peers": {}}, "$.peers"),
            ({"peers": {"n1": "nowhere"}}, "peers.n1"),
            ({"peers": {"n 1": "a:1"}}, "$.peers"),
            (self.VALID | {"listen": "x"}, "listen"),
            (self.VALID | {"first_start": 1}, "$.first_start"),
        ):
            with self.assertRaises(ConfigError, msg=raw) as caught:
                self.load(raw)
            self.assertIn(expected, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))
            # The schema cannot express the other three rules.
            if isinstance(raw, dict) and expected not in ("peers.n1", "listen", "group: 4"):
                self.assertFalse(Draft202012Validator(schema()).is_valid(raw), f"the schema accepts {raw}")

    def test_the_published_schema_matches_the_code_and_the_shipped_file_is_valid(self) -> None:
        published = json.loads((ROOT / "deploy/schema/replication.schema.json").read_text())
        self.assertEqual(published, schema())
        shipped = json.loads((ROOT / "deploy/replication.json").read_text())
        Draft202012Validator(published).validate(shipped)
        load_replication(str(ROOT / "deploy/replication.json"))

    def test_the_window_is_that_of_the_longest_keyed_class(self) -> None:
        stage = Stage()
        self.addCleanup(stage.close)
        terms = replica_terms(self.load(self.VALID), stage.settings)
        self.assertEqual(terms.window_us, int((24336.0 + stage.settings.tick_ms + 150) * 1000))
        self.assertEqual(terms.max_try_age_us, 3_000_000)

    def test_the_node_exits_with_status_2_and_one_line_on_an_invalid_file(self) -> None:
        with tempfile.TemporaryDirectory() as folder:
            config = Path(folder, "config.json")
            example = json.loads((ROOT / "example/config.json").read_text())
            config.write_text(json.dumps(example | {"listen": "127.0.0.1:0"}))
            for peers, expected in (({"n9": "127.0.0.1:1"}, "this node, n1, is not among"), ({"n1": "x"}, "peers.n1")):
                path = Path(folder, "replication.json")
                path.write_text(json.dumps({"peers": peers}))
                completed = subprocess.run(
                    [sys.executable, "-m", "lemonway", "--replication", str(path)],
                    capture_output=True,
                    text=True,
                    cwd=ROOT,
                    env={"EDGE_CONFIG": str(config), "PATH": ""},
                    timeout=60,
                )
                self.assertEqual((completed.returncode, completed.stderr.count("\n")), (2, 1), completed.stderr)
                self.assertIn(expected, completed.stderr)

    def test_without_replication_its_libraries_are_not_imported(self) -> None:
        code = (
            "import sys, lemonway.net.program.start, lemonway.net.program.node; "
            "print([m for m in ('msgspec', 'xxhash', 'lemonway.replication') if m in sys.modules])"
        )
        completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, cwd=ROOT, timeout=60)
        self.assertEqual(completed.stdout.strip(), "[]", completed.stderr)


if __name__ == "__main__":
    unittest.main()
