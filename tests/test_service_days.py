"""What a node in service meets beside its routers: new configurations, breaking links. One test a rule, on sockets."""

from __future__ import annotations

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
import unittest.mock
from pathlib import Path
from typing import Any

from lemonway import interface as api
from lemonway.kit.stage import Stage, site_settings

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class OnStage(unittest.TestCase):
    def stage(self, **options: Any) -> Stage:
        stage = Stage(**options)
        self.addCleanup(stage.close)
        self.addCleanup(lambda: self.assertEqual(stage.node.core.counters["brain_faults"], 0))
        return stage


class Reload(OnStage):
    def test_links_move_while_runs_calls_and_requests_stay(self) -> None:
        stage = self.stage(calls=1)
        stage.acervo.seconds = 0.2
        router = stage.router()
        first = router.call("cadastro", b"before", unique=KEY)
        stage.spin(lambda: len(stage.acervo.calls) == 1)  # this call ends on the connection it is on
        stage.pool.plans["busca"].held = True
        held = router.call("busca", b"held")
        stage.spin(lambda: len(stage.pool.spawned) == 2)
        old, notices = stage.pool.link, stage.node.pool.read
        stage.node.adopt(stage.open())
        stage.spin(lambda: len(stage.pool.binds) == 2 and stage.pool.link is not None)
        self.assertIsNot(stage.pool.link, old)
        self.assertEqual(stage.pool.binds[1], notices, "the new link goes on from the last notice read")
        reports = len(stage.sink.reports)
        stage.spin(lambda: len(stage.sink.reports) > reports)
        after = router.call("visualizador", b"after")
        stage.pool.release("busca")
        stage.settle()
        self.assertEqual([router.answers[tag][0] for tag in (first, held, after)], ["RESULT"] * 3)
        self.assertEqual(sorted(body for _, body in stage.acervo.calls), sorted(set(b for _, b in stage.acervo.calls)))
        self.assertEqual((len(stage.acervo.calls), stage.tally.faults()), (3, []))
        client = stage.node.catalogue
        assert client is not None
        port = stage.ports[1].getHost().port
        self.assertEqual({each.transport.getPeer().port for each in client.idle}, {port})
        stage.spin(lambda: stage.acervo.open == client.count)

    def test_the_old_link_serves_until_the_new_address_answers(self) -> None:
        stage = self.stage()
        config = stage.open()
        port = config.pool.port
        stage.ports[0].stopListening()  # the new address does not accept yet
        stage.reactor.iterate(0)
        stage.node.adopt(config)
        router = stage.router()
        tag = router.call("busca")
        stage.spin(lambda: tag in router.answers)
        stage.ports[0] = stage.reactor.listenTCP(port, stage.pool, interface="127.0.0.1")
        stage.spin(lambda: len(stage.pool.binds) == 2)
        later = router.call("busca")
        stage.settle()
        self.assertEqual([router.answers[each][0] for each in (tag, later)], ["RESULT"] * 2)

    def test_an_address_may_go_and_come_back(self) -> None:
        stage = self.stage(calls=1)
        router = stage.router()
        stage.raw["catalog"] = None
        stage.node.adopt(stage.open(catalogue=False))
        tag = router.call("cadastro", unique=KEY)
        stage.spin(lambda: stage.node.core.counters["calls_unreachable"] > 0)
        stage.node.adopt(stage.open())
        stage.settle()
        self.assertEqual((router.answers[tag][0], len(stage.acervo.calls)), ("RESULT", 1))

    def test_a_key_that_waits_for_the_next_start_is_named(self) -> None:
        stage = self.stage()
        stage.raw["limits"] = {**stage.raw["limits"], "sockets": 300}
        with self.assertLogs("lemonway", "WARNING") as shown:
            stage.node.adopt(stage.open())
        self.assertIn("limits.sockets", shown.output[0])
        self.assertEqual((len(shown.output), stage.node.config.sockets), (1, 1024))


class Hangup(unittest.TestCase):
    """The signal itself, on the program in a process of its own."""

    def test_a_good_file_moves_the_link_and_a_bad_one_is_named(self) -> None:
        with tempfile.TemporaryDirectory() as folder, socket.create_server(("127.0.0.1", 0)) as one, \
                socket.create_server(("127.0.0.1", 0)) as two:
            path = Path(folder, "config.json")
            config: dict[str, Any] = {"name": "n1", "listen": "127.0.0.1:0", "settings": site_settings()}

            def write(pool: Any) -> None:
                Path(folder, "new").write_text(json.dumps({**config, "pool": pool}))
                os.replace(Path(folder, "new"), path)

            write(f"127.0.0.1:{one.getsockname()[1]}")
            process = subprocess.Popen(
                [sys.executable, "-m", "lemonway"], stderr=subprocess.PIPE, text=True,
                env=os.environ | {"EDGE_CONFIG": str(path), "EDGE_NAME": "", "EDGE_LISTEN": ""})
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
                self.assertRegex(process.stderr.readline(), "SIGHUP: pool: 17 is not HOST:PORT; the old .* kept")
                write(f"127.0.0.1:{two.getsockname()[1]}")
                process.send_signal(signal.SIGHUP)
                with two.accept()[0] as moved:
                    self.assertEqual(moved.recv(64), b"bind 7\r\n")
                    self.assertEqual(link.recv(64), b"", "the link it replaces is closed")
            process.send_signal(signal.SIGTERM)
            _, rest = process.communicate(timeout=10)
            self.assertEqual(process.returncode, 0)
            self.assertRegex(rest, "counters .*bad_reloads=1 .*reloads=1")


class PoolLink(OnStage):
    def test_only_what_may_be_lost_is_said_again(self) -> None:
        stage = self.stage(calls=1)
        stage.pool.plans["busca"].held = True
        router, core = stage.router(), stage.node.core
        router.call("busca", b"long there")
        stage.spin(lambda: len(stage.pool.spawned) == 1)
        stage.spin_for(0.25)  # polls answered since then prove that it came
        stage.pool.deaf = True  # what is written now is lost with the link
        lost = router.call("visualizador", b"lost")
        stage.spin(lambda: core.counters["spawned"] == 2)
        stage.pool.cut()
        stage.spin(lambda: core.counters["links_lost"] == 1 and len(stage.pool.spawned) == 2)
        stage.spin(lambda: lost in router.answers)
        self.assertEqual(core.counters["said_again"], 1)
        stage.pool.release("busca")
        stage.settle()
        self.assertEqual((len(stage.pool.spawned), stage.tally.faults()), (2, []))

    def test_stale_gauges_are_not_shown_as_new(self) -> None:
        stage = self.stage()
        policy = stage.node.core.policy
        assert policy is not None
        seen: list[tuple[float, ...]] = []
        step = policy.step

        def watched(now: float, events: list[api.Event]) -> list[api.Action]:
            seen.extend(e.gauges for e in events if isinstance(e, api.Woken))
            return step(now, events)

        policy.step = watched  # type: ignore[method-assign]
        stage.pool.plans["busca"].held = True
        router = stage.router()
        router.call("busca")
        stage.spin(lambda: bool(seen) and len(seen[-1]) == 4)
        stage.pool.silent = True
        stage.spin(lambda: seen[-1] == (), 2.0)
        stage.pool.silent = False
        stage.spin(lambda: len(seen[-1]) == 4, 2.0)
        stage.pool.release("busca")
        stage.settle()


class SpoiltReplies(OnStage):
    def test_what_follows_a_reply_is_no_other_calls_reply(self) -> None:
        for word in ("twice", "noisy"):
            with self.subTest(word), unittest.mock.patch("lemonway.net.protocol.catalogue.CONNECTIONS_MOST", 1):
                stage = Stage(calls=1)
                try:
                    stage.acervo.script.extend([word] * 8)
                    router = stage.router()
                    tags = {router.call("cadastro", b"%d" % n, unique=f"{n:032x}"): n for n in range(8)}
                    stage.settle()
                    for tag, n in tags.items():
                        txn = f"{id(router) & 0xffffffff:08x}{tag:08x}"
                        self.assertEqual(router.answers[tag][::2], (
                            "RESULT", f"cadastro|{n}|entry for {txn}".encode()))
                    self.assertEqual(stage.node.core.counters["stray_bytes"], 8)
                finally:
                    stage.close()

    def test_a_spoilt_reply_costs_its_call_only_and_at_once(self) -> None:
        for word, handler, end, calls in [
            ("noise", "busca", "RESULT", 2), ("endless", "busca", "RESULT", 2), ("huge", "busca", "RESULT", 2),
            ("noise", "cadastro", "ABORTED", 1), ("interim", "cadastro", "RESULT", 1),
        ]:
            with self.subTest(word, handler=handler):
                stage = Stage(calls=1)
                try:
                    stage.acervo.script.append(word)
                    router = stage.router()
                    tag = router.call(handler, unique=KEY)
                    stage.spin(lambda: tag in router.answers, 1.0)  # noqa: B023
                    self.assertEqual((router.answers[tag][0], len(stage.acervo.calls)), (end, calls))
                finally:
                    stage.close()

    def test_bytes_on_an_idle_connection_close_it(self) -> None:
        stage = self.stage(calls=1)
        router, client = stage.router(), stage.node.catalogue
        assert client is not None
        router.call("busca")
        stage.settle()
        [side] = stage.acervo.sides
        side.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx")
        stage.spin(lambda: client.count == 0)
        self.assertEqual(stage.node.core.counters["stray_bytes"], 1)


class BadClients(OnStage):
    def test_a_key_with_another_body_is_failed_and_its_entry_left_alone(self) -> None:
        stage = self.stage()
        router, bad = stage.router("a"), stage.router("b")
        first = router.call("cadastro", b"entry", unique=KEY)
        stage.settle()
        other = bad.call("cadastro", b"forged", unique=KEY)
        stage.settle()
        again = router.call("cadastro", b"entry", unique=KEY)
        stage.settle()
        self.assertEqual(bad.answers[other][::2], ("ABORTED", b""))
        self.assertEqual([router.answers[tag][2] for tag in (first, again)], [b"cadastro|entry"] * 2)
        self.assertEqual(len(stage.pool.spawned), 1)

    def test_a_key_that_a_stranger_used_first_is_free_again(self) -> None:
        """Guards the owner of the key: the pool says that the stranger's request never ran."""
        stage = self.stage()
        stage.pool.strangers.add(b"forged")
        router, bad = stage.router("a"), stage.router("b")
        other = bad.call("cadastro", b"forged", unique=KEY)
        stage.settle()
        tag = router.call("cadastro", b"entry", unique=KEY)
        stage.settle()
        self.assertEqual((bad.answers[other][0], router.answers[tag][::2]), ("ABORTED", ("RESULT", b"cadastro|entry")))


if __name__ == "__main__":
    unittest.main()
