"""Reloads, broken links, invalid backend replies, bad clients and memory limits, on real sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
from dataclasses import replace
from pathlib import Path
from typing import Any

from lemonway import interface as api
from lemonway.kit.clients import RouterClient
from lemonway.kit.stage import LIMITS, Stage, site_settings
from lemonway.net.program.bounds import MB, PROGRAM_DESCRIPTORS, PROGRAM_MB, REQUEST_BYTES, bounds_of
from lemonway.net.protocol.backend import MAX_IDLE_SINGLE_ATTEMPT_US

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class HarnessTestCase(unittest.TestCase):
    def harness(self, **options: Any) -> Stage:
        harness = Stage(**options)
        self.addCleanup(harness.close)
        self.addCleanup(lambda: self.assertEqual(harness.node.core.counters["brain_faults"], 0))
        return harness


class Reload(HarnessTestCase):
    def test_a_reload_moves_the_links_and_keeps_runs_calls_and_requests(self) -> None:
        harness = self.harness(calls=1)
        harness.acervo.seconds = 0.2
        router = harness.router()
        first = router.call("cadastro", b"before", unique=KEY)
        harness.spin(lambda: len(harness.acervo.calls) == 1)  # this call finishes on its old connection
        harness.pool.plans["busca"].held = True
        held_tag = router.call("busca", b"held")
        harness.spin(lambda: len(harness.pool.spawned) == 2)
        old, notices = harness.pool.link, harness.node.pool.last_sequence
        harness.node.apply_config(harness.open())
        harness.spin(lambda: len(harness.pool.binds) == 2 and harness.pool.link is not None)
        self.assertIsNot(harness.pool.link, old)
        self.assertEqual(harness.pool.binds[1], notices, "the new link continues after the last notice read")
        reports = len(harness.sink.reports)
        harness.spin(lambda: len(harness.sink.reports) > reports)
        after = router.call("visualizador", b"after")
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual([router.answers[tag][0] for tag in (first, held_tag, after)], ["RESULT"] * 3)
        self.assertEqual(
            sorted(body for _, body in harness.acervo.calls), sorted(set(b for _, b in harness.acervo.calls))
        )
        self.assertEqual((len(harness.acervo.calls), harness.tally.faults()), (3, []))
        client = harness.node.backend
        assert client is not None
        port = harness.ports[1].getHost().port
        self.assertEqual({each.transport.getPeer().port for each in client.idle_connections}, {port})
        harness.spin(lambda: harness.acervo.open == client.connection_count)

    def test_the_old_link_serves_until_the_new_address_answers(self) -> None:
        harness = self.harness()
        config = harness.open()
        port = config.pool.port
        harness.ports[0].stopListening()  # the new address does not accept yet
        harness.reactor.iterate(0)
        harness.node.apply_config(config)
        router = harness.router()
        tag = router.call("busca")
        harness.spin(lambda: tag in router.answers)
        harness.ports[0] = harness.reactor.listenTCP(port, harness.pool, interface="127.0.0.1")
        harness.spin(lambda: len(harness.pool.binds) == 2)
        later = router.call("busca")
        harness.settle()
        self.assertEqual([router.answers[each][0] for each in (tag, later)], ["RESULT"] * 2)

    def test_an_address_may_be_removed_and_added_again(self) -> None:
        harness = self.harness(calls=1)
        router = harness.router()
        harness.raw["catalog"] = None
        harness.node.apply_config(harness.open(catalogue=False))
        tag = router.call("cadastro", unique=KEY)
        harness.spin(lambda: harness.node.core.counters["calls_unreachable"] > 0)
        harness.node.apply_config(harness.open())
        harness.settle()
        self.assertEqual((router.answers[tag][0], len(harness.acervo.calls)), ("RESULT", 1))

    def test_a_warning_names_a_key_that_changes_only_at_the_next_start(self) -> None:
        harness = self.harness()
        harness.raw["limits"] = {**harness.raw["limits"], "sockets": 300}
        with self.assertLogs("lemonway", "WARNING") as shown:
            harness.node.apply_config(harness.open())
        self.assertIn("limits.sockets", shown.output[0])
        self.assertEqual((len(shown.output), harness.node.config.sockets), (1, 1024))


class Sighup(unittest.TestCase):
    """SIGHUP sent to a node process."""

    def test_a_valid_file_moves_the_link_and_an_invalid_one_is_reported(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server(("127.0.0.1", 0)) as one,
            socket.create_server(("127.0.0.1", 0)) as two,
        ):
            path = Path(folder, "config.json")
            config: dict[str, Any] = {
                "name": "n1",
                "listen": "127.0.0.1:0",
                "stop_ms": 3000,
                "limits": LIMITS,
                "settings": site_settings(),
            }

            def write(pool: Any) -> None:
                Path(folder, "new").write_text(json.dumps({**config, "pool": pool}))
                os.replace(Path(folder, "new"), path)

            write(f"127.0.0.1:{one.getsockname()[1]}")
            process = subprocess.Popen(
                [sys.executable, "-m", "lemonway"],
                stderr=subprocess.PIPE,
                text=True,
                env=os.environ | {"EDGE_CONFIG": str(path), "EDGE_NAME": "", "EDGE_LISTEN": ""},
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            assert process.stderr is not None
            for server in (one, two):
                server.settimeout(10)
            with one.accept()[0] as link:
                self.assertEqual(link.recv(64), b"bind 0\r\n")
                link.sendall(b"bound old 1\r\nchatter 7 hello\r\n")
                process.stderr.readline()
                write(17)
                process.send_signal(signal.SIGHUP)
                line = process.stderr.readline()
                self.assertRegex(line, r"SIGHUP: EDGE_CONFIG: \S+: pool: 17 is not HOST:PORT; the old .* kept")
                write(f"127.0.0.1:{two.getsockname()[1]}")
                process.send_signal(signal.SIGHUP)
                with two.accept()[0] as moved:
                    self.assertEqual(moved.recv(64), b"bind 7\r\n")
                    self.assertEqual(link.recv(64), b"", "the replaced link is closed")
            process.send_signal(signal.SIGTERM)
            _, rest = process.communicate(timeout=10)
            self.assertEqual(process.returncode, 0)
            self.assertRegex(rest, "counters .*reloads_failed=1 .*reloads_ok=1")


class PoolLink(HarnessTestCase):
    def test_only_commands_that_may_be_lost_are_resent(self) -> None:
        harness = self.harness(calls=1)
        harness.pool.plans["busca"].held = True
        router, core = harness.router(), harness.node.core
        router.call("busca", b"long there")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        harness.spin_for(0.25)  # polls answered since then prove that the command arrived
        harness.pool.deaf = True  # what is written now is lost with the link
        lost = router.call("visualizador", b"lost")
        harness.spin(lambda: core.counters["spawned"] == 2)
        harness.pool.cut()
        harness.spin(lambda: core.counters["links_lost"] == 1 and len(harness.pool.spawned) == 2)
        harness.spin(lambda: lost in router.answers)
        self.assertEqual(core.counters["said_again"], 1)
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual((len(harness.pool.spawned), harness.tally.faults()), (2, []))

    def test_stale_gauges_are_not_passed_to_the_policy(self) -> None:
        harness = self.harness()
        policy = harness.node.core.policy
        assert policy is not None
        seen: list[tuple[float, ...]] = []
        step = policy.step

        def watched(now: float, events: list[api.Event]) -> list[api.Action]:
            seen.extend(e.gauges for e in events if isinstance(e, api.Woken))
            return step(now, events)

        policy.step = watched  # type: ignore[method-assign]
        harness.pool.plans["busca"].held = True
        router = harness.router()
        router.call("busca")
        harness.spin(lambda: bool(seen) and len(seen[-1]) == 4)
        harness.pool.silent = True
        harness.spin(lambda: seen[-1] == (), 2.0)
        harness.pool.silent = False
        harness.spin(lambda: len(seen[-1]) == 4, 2.0)
        harness.pool.release("busca")
        harness.settle()


class InvalidReplies(HarnessTestCase):
    def test_bytes_after_a_reply_are_not_taken_for_another_calls_reply(self) -> None:
        for word in ("twice", "noisy"):
            with self.subTest(word):
                harness = Stage(calls=1)
                try:
                    harness.node.backend.max_connections = 1  # type: ignore[union-attr]
                    harness.acervo.script.extend([word] * 8)
                    router = harness.router()
                    tags = {router.call("cadastro", b"%d" % n, unique=f"{n:032x}"): n for n in range(8)}
                    harness.settle()
                    for tag, n in tags.items():
                        txn = f"{id(router) & 0xffffffff:08x}{tag:08x}"
                        self.assertEqual(router.answers[tag][::2], ("RESULT", f"cadastro|{n}|entry for {txn}".encode()))
                    self.assertEqual(harness.node.core.counters["stray_bytes"], 8)
                finally:
                    harness.close()

    def test_an_invalid_reply_fails_only_its_own_call_and_at_once(self) -> None:
        for word, handler, end, calls in [
            ("noise", "busca", "RESULT", 2),
            ("endless", "busca", "RESULT", 2),
            ("huge", "busca", "RESULT", 2),
            ("noise", "cadastro", "ABORTED", 1),
            ("interim", "cadastro", "RESULT", 1),
        ]:
            with self.subTest(word, handler=handler):
                harness = Stage(calls=1)
                try:
                    harness.acervo.script.append(word)
                    router = harness.router()
                    tag = router.call(handler, unique=KEY)
                    harness.spin(lambda: tag in router.answers, 1.0)  # noqa: B023
                    self.assertEqual((router.answers[tag][0], len(harness.acervo.calls)), (end, calls))
                finally:
                    harness.close()

    def test_a_call_made_only_once_uses_no_connection_that_may_be_stale(self) -> None:
        harness = self.harness(calls=1)
        router, client = harness.router(), harness.node.backend
        assert client is not None
        router.call("busca")
        harness.settle()
        harness.acervo.forget()
        edge = harness.node.event_loop.clock.now_us + MAX_IDLE_SINGLE_ATTEMPT_US
        harness.spin(lambda: harness.node.event_loop.clock.update() > edge)
        client.max_connections = 1  # not even if no second connection may be opened
        keyed = router.call("cadastro", unique=KEY)
        harness.settle()
        self.assertEqual((router.answers[keyed][0], len(harness.acervo.calls)), ("RESULT", 2))
        harness.acervo.forget()
        safe = router.call("busca")  # may be repeated, so it may use a stale connection
        harness.settle()
        self.assertEqual((router.answers[safe][0], len(harness.acervo.calls)), ("RESULT", 3))

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        harness = self.harness(calls=1)
        router, client = harness.router(), harness.node.backend
        assert client is not None
        router.call("busca")
        harness.settle()
        [side] = harness.acervo.sides
        side.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        harness.spin(lambda: client.connection_count == 0)
        self.assertEqual(harness.node.core.counters["stray_bytes"], 1)


class BadClients(HarnessTestCase):
    def test_a_reused_key_with_another_body_fails_and_keeps_the_first_entry(self) -> None:
        harness = self.harness()
        router, bad = harness.router("a"), harness.router("b")
        first = router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        other = bad.call("cadastro", b"forged", unique=KEY)
        harness.settle()
        again = router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        self.assertEqual(bad.answers[other][::2], ("ABORTED", b""))
        self.assertEqual([router.answers[tag][2] for tag in (first, again)], [b"cadastro|entry"] * 2)
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_a_key_used_first_by_a_request_that_never_ran_is_free_again(self) -> None:
        """Protects the owner of the key: the pool reports that the other client's request never ran."""
        harness = self.harness()
        harness.pool.strangers.add(b"forged")
        router, bad = harness.router("a"), harness.router("b")
        other = bad.call("cadastro", b"forged", unique=KEY)
        harness.settle()
        tag = router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        self.assertEqual((bad.answers[other][0], router.answers[tag][::2]), ("ABORTED", ("RESULT", b"cadastro|entry")))

    def test_incomplete_requests_are_failed_and_closed(self) -> None:
        """An incomplete request is answered with a failure if its tag is known, and its connection is closed."""
        frame = RouterClient.frame
        whole = frame(b"CALL", b"7", b"busca", b"txn=1", b"x" * 500)
        for description, raw, expected in [
            ("nothing", b"", []),
            ("half a line", b"*5\r\n$4", []),
            ("half a frame", whole[:60], ["ABORTED"]),
            ("half a body", whole[:-100], ["ABORTED"]),
            ("a skipped body", b"*5\r\n$4\r\nCALL\r\n$1\r\n7\r\n$5\r\nbusca\r\n$0\r\n\r\n$60000\r\nxx", ["ABORTED"]),
        ]:
            with self.subTest(description):
                harness = Stage()
                try:
                    router = harness.router()
                    router.tally.ask("resp", 7, description)
                    if raw:
                        router.write(raw)
                    harness.spin(lambda: router.closed, 2.6)  # noqa: B023
                    self.assertEqual([word for word, _, _ in router.answers.values()], expected)
                finally:
                    harness.close()

    def test_a_connection_with_invalid_input_is_closed_despite_a_long_run(self) -> None:
        harness = self.harness()
        harness.pool.plans["busca"].held = True
        bad = harness.router()
        tag = bad.call("busca")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        bad.write(bad.frame(b"CALL", b"%d" % tag, b"busca", b""))
        harness.spin(lambda: bad.closed, 2.6)
        self.assertEqual((bad.answers[tag][0], bad.order), ("ABORTED", [tag]))

    def test_silent_connections_are_shed_for_new_requests(self) -> None:
        harness = self.harness()
        harness.node.router_factory.bounds = replace(harness.node.bounds, connections=4, surplus=2)
        used, open_one = harness.router("used"), harness.router("open")
        used.call("busca")
        harness.settle()
        harness.pool.plans["busca"].held = True
        held_tag = open_one.call("busca")
        silent = [harness.router(f"silent {n}") for n in range(2)]
        harness.spin_for(0.2)  # past the time allowed for a first request to arrive
        asks = harness.router("asks")
        tag = asks.call("visualizador")
        harness.spin(lambda: tag in asks.answers and silent[0].closed)
        self.assertEqual([silent[1].closed, used.closed, open_one.closed], [False] * 3)
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual((open_one.answers[held_tag][0], asks.answers[tag][0]), ("RESULT", "RESULT"))


class Memory(HarnessTestCase):
    def test_deadlines_of_finished_requests_are_pruned(self) -> None:
        harness = self.harness(calls=1)
        router, node = harness.router(), harness.node
        for n in range(20):
            for _ in range(20):
                router.call("busca", b"%d" % n)
            harness.settle()
        assert node.backend is not None
        self.assertLess(len(node.core._deadlines), 200)
        self.assertLess(len(node.backend.deadlines), 200)
        self.assertLess(len(node.event_loop._heap), 200)

    def test_bounds_follow_the_limits(self) -> None:
        for sockets, memory in [(64, 16), (384, 32), (512, 80), (1024, 192)]:
            with self.subTest((sockets, memory)):
                limits = bounds_of(sockets, memory)
                self.assertLessEqual(
                    limits.connections + limits.surplus + limits.backend_connections + PROGRAM_DESCRIPTORS, sockets
                )
                spare = max(4, memory - PROGRAM_MB) * MB
                self.assertLessEqual(
                    limits.requests * REQUEST_BYTES + limits.idempotency_bytes + limits.pool_queue_bytes, spare
                )
                if sockets >= 384:
                    self.assertGreater(limits.connections, sockets // 2, "routers may open half of the descriptors")
                self.assertGreater(limits.requests, 190)

    def test_a_full_idempotency_table_rejects_and_recovers(self) -> None:
        harness = self.harness()
        core = harness.node.core
        router = harness.router()
        router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        core.max_idempotency_bytes = core.idempotency_table.size_bytes
        other = router.call("cadastro", b"other", unique=KEY[::-1])
        again = router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        self.assertEqual((router.answers[other][0], router.answers[again][0]), ("REJECT", "RESULT"))
        core.max_idempotency_bytes *= 3
        last = router.call("cadastro", b"other", unique=KEY[::-1])
        harness.settle()
        self.assertEqual(router.answers[last][0], "RESULT")


if __name__ == "__main__":
    unittest.main()
