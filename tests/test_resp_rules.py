"""The rules for requests, on real sockets through the RESP frontend, with simulated routers, pool and backend."""

from __future__ import annotations

import json
import os
import re
import signal
import socket
import subprocess
import sys
import tempfile
import unittest
import unittest.mock
from dataclasses import replace
from pathlib import Path
from typing import Any

from lemonway.kit.stage import LIMITS, Stage, site_settings

KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class HarnessTestCase(unittest.TestCase):
    def harness(self, **options: Any) -> Stage:
        harness = Stage(**options)
        self.addCleanup(harness.close)
        self.addCleanup(lambda: self.assertEqual(harness.node.core.counters["brain_faults"], 0))
        return harness


class LostAnswers(HarnessTestCase):
    def test_each_request_gets_its_own_run_result(self) -> None:
        harness = self.harness(calls=2)
        one, two = harness.router("a"), harness.router("b")
        tags = [
            (client, client.call(name, f"{name} {n}".encode()))
            for n, name in enumerate(["miniatura", "visualizador"])
            for client in (one, two)
        ]
        tags += [(one, one.call("cadastro", b"\r\n*1\r\n\0", unique=KEY))]
        harness.settle()
        self.assertEqual(harness.tally.faults(), [])
        for client, tag in tags:
            word, _, body = client.answers[tag]
            self.assertEqual((word, body.count(b"entry for ")), ("RESULT", 2))
        self.assertTrue(one.answers[tags[-1][1]][2].startswith(b"cadastro|\r\n*1\r\n\0|"))
        self.assertEqual(len(harness.acervo.calls), 2 * len(tags))

    def test_request_is_answered_by_its_deadline_without_a_pool(self) -> None:
        """Until the pool sends `bound` there is no admission policy, so the core itself must enforce the deadline."""
        harness = self.harness(pool_up=False)
        router = harness.router()
        tag = router.call("busca", age_ms=2900)
        harness.spin(lambda: tag in router.answers, 1.0)
        self.assertEqual(router.answers[tag][0], "ABORTED")
        harness.pool.come_up()
        later = router.call("busca")
        harness.settle()
        self.assertEqual((router.answers[later][0], harness.tally.faults()), ("RESULT", []))

    def test_request_is_answered_by_its_deadline_when_the_pool_goes_silent(self) -> None:
        harness = self.harness()
        harness.pool.silent = True
        router = harness.router()
        tag = router.call("busca", age_ms=1500)  # within its target latency: it is run, but its end is never reported
        harness.spin(lambda: tag in router.answers, 1.65)
        self.assertEqual((len(harness.pool.spawned), router.answers[tag][0] != "RESULT"), (1, True))
        harness.pool.silent = False
        harness.pool.cut()  # the missing notice arrives on the new connection, too late, and is dropped
        harness.spin(lambda: len(harness.pool.binds) == 2)
        harness.spin(lambda: not harness.node.core.records)
        self.assertEqual((len(router.order), harness.tally.faults()), (1, []))

    def test_a_lost_pool_connection_loses_no_run_and_no_notice(self) -> None:
        harness = self.harness(calls=1)
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tags = [router.call("busca", b"%d" % n) for n in range(4)]
        harness.spin(lambda: len(harness.pool.spawned) == 4)
        harness.pool.cut()
        tags.append(router.call("busca", b"4"))  # its spawn is sent while there is no connection
        harness.pool.release("busca")  # and so are these notices
        harness.settle()
        self.assertEqual([router.answers[tag][0] for tag in tags], ["RESULT"] * 5)
        self.assertEqual((harness.tally.faults(), len(harness.pool.binds)), ([], 2))

    def test_a_backend_reply_during_a_pool_reconnect_is_resent(self) -> None:
        harness = self.harness(calls=1)
        harness.acervo.seconds = 0.1
        router = harness.router()
        tag = router.call("busca")
        harness.spin(lambda: len(harness.acervo.calls) == 1)
        harness.pool.up = False  # the connection is accepted, but bound only much later
        harness.pool.cut()
        harness.spin(lambda: harness.node.core.counters["calls_ok"] == 1)
        harness.spin_for(1.2)
        harness.pool.come_up()
        harness.settle()
        self.assertEqual((router.answers[tag][0], len(harness.acervo.calls)), ("RESULT", 1))

    def test_a_new_pool_bound_long_after_startup_is_cold(self) -> None:
        harness = self.harness(pool_up=False)
        router = harness.router()
        check = router.check(True)
        harness.settle()
        self.assertEqual(router.answers[check][0], "UNREADY")
        self.assertEqual(harness.sink.reports, [], "the node must not be announced before its pool is up")
        harness.pool.state, harness.pool.age_ms = "new", 1500
        harness.pool.come_up()
        harness.spin(lambda: b"announce n1 true" in harness.sink.reports)
        policy = harness.node.core.policy
        assert policy is not None
        self.assertTrue(policy.settings.fresh_start)
        self.assertLess(abs(harness.node.event_loop.clock.now_us / 1000 - policy.started_at_ms - 1500), 500)


class DuplicateRuns(HarnessTestCase):
    def test_a_duplicate_gets_the_result_of_the_try_that_ran(self) -> None:
        harness = self.harness()
        harness.pool.plans["cadastro"].held = True
        one, two = harness.router("a"), harness.router("b")
        first = one.call("cadastro", b"entry", unique=KEY)
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        during = two.call("cadastro", b"entry", unique=KEY)
        harness.spin_for(0.1)
        harness.pool.release("cadastro")
        harness.settle()
        after = two.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        answers = [one.answers[first], two.answers[during], two.answers[after]]
        self.assertEqual([(word, body) for word, _, body in answers], [("RESULT", b"cadastro|entry")] * 3)
        self.assertEqual((len(harness.pool.spawned), harness.tally.faults()), (1, []))

    def test_duplicates_read_in_one_event_loop_iteration_run_once(self) -> None:
        harness = self.harness()
        router = harness.router()
        for _ in range(3):
            router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        words = sorted(word for word, _, _ in router.answers.values())
        self.assertEqual(len(harness.pool.spawned), 1)
        self.assertEqual((words, harness.tally.faults()), (["REJECT", "REJECT", "RESULT"], []))

    def test_a_try_that_ran_is_never_refused_nor_run_again(self) -> None:
        harness = self.harness()
        harness.pool.plans["cadastro"].end = "bad"
        router = harness.router()
        tags = []
        for _ in range(3):
            tags.append(router.call("cadastro", b"entry", unique=KEY))
            harness.settle()
        self.assertEqual([router.answers[tag][0] for tag in tags], ["ABORTED"] * 3)
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_the_core_prevents_a_second_run_that_the_policy_admits(self) -> None:
        """The core has its own check: here the admission policy is not told that the request is a duplicate."""
        harness = self.harness()
        router = harness.router()
        first = router.call("cadastro", b"entry", unique=KEY)
        harness.settle()
        with unittest.mock.patch.object(harness.node.core.idempotency_table, "register", lambda *_: 0):
            again = router.call("cadastro", b"entry", unique=KEY)
            harness.settle()
        self.assertEqual(router.answers[first][::2], router.answers[again][::2])
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_an_idempotency_entry_survives_the_loss_of_its_router_connection(self) -> None:
        harness = self.harness()
        harness.pool.plans["cadastro"].held = True
        gone, there = harness.router("a"), harness.router("b")
        gone.call("cadastro", b"entry", unique=KEY)
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        gone.side.transport.abortConnection()  # type: ignore[union-attr]
        harness.spin(lambda: harness.node.core.counters["given_up"] == 1)
        harness.pool.release("cadastro")
        tag = there.call("cadastro", b"entry", unique=KEY)
        harness.spin(lambda: tag in there.answers)
        self.assertEqual(there.answers[tag][2], b"cadastro|entry")
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_a_backend_call_is_retried_only_if_it_never_ran_or_is_safe(self) -> None:
        for reply, handler, word, calls in [
            ("declined", "cadastro", "RESULT", 2),
            ("over", "cadastro", "RESULT", 2),
            ("failed", "cadastro", "ABORTED", 1),
            ("late", "cadastro", "ABORTED", 1),
            ("break", "cadastro", "ABORTED", 1),
            ("failed", "busca", "RESULT", 2),
            ("break", "busca", "RESULT", 2),
        ]:
            with self.subTest(reply=reply, handler=handler):
                harness = Stage(calls=1)
                try:
                    harness.acervo.script.append(reply)
                    router = harness.router()
                    tag = router.call(handler, unique=KEY)
                    harness.settle()
                    self.assertEqual((router.answers[tag][0], len(harness.acervo.calls)), (word, calls))
                finally:
                    harness.close()


class BackendCalls(HarnessTestCase):
    def test_a_refused_connection_proves_that_no_call_ran(self) -> None:
        harness = self.harness(calls=1)
        port = harness.ports[1].getHost().port
        harness.ports[1].stopListening()
        harness.reactor.iterate(0)
        router = harness.router()
        tag = router.call("cadastro", unique=KEY)
        harness.spin(lambda: harness.node.core.counters["calls_unreachable"] >= 2)
        harness.ports[1] = harness.reactor.listenTCP(port, harness.acervo, interface="127.0.0.1")
        harness.settle()
        self.assertEqual((router.answers[tag][0], len(harness.acervo.calls)), ("RESULT", 1))

    def test_a_connection_near_its_idle_close_is_not_used_again(self) -> None:
        harness = self.harness(calls=1)
        router, client = harness.router(), harness.node.backend
        assert client is not None
        for _ in range(2):
            router.call("busca")
            harness.settle()
            harness.spin(lambda: harness.node.event_loop.clock.update() > client.idle_connections[-1].reusable_at_us)
        [used] = client.idle_connections
        self.assertEqual(client.connection_count, 1, "consecutive calls reuse one connection")
        used.last_used_us -= 6_000_000
        router.call("busca")
        harness.settle()
        self.assertNotIn(used, client.idle_connections)
        self.assertEqual(harness.tally.table()[("resp", "busca")], {"RESULT": 3})

    def test_a_call_that_never_ends_is_closed_and_its_request_answered_in_time(self) -> None:
        harness = self.harness(calls=1)
        harness.acervo.script.append("silent")
        router = harness.router()
        tag = router.call("cadastro", age_ms=1500, unique=KEY)
        harness.spin(lambda: tag in router.answers, 1.6)
        self.assertEqual(router.answers[tag][0], "ABORTED")
        self.assertLess(harness.acervo.patiences[0], 1500)
        harness.spin(lambda: harness.acervo.open == 0)


class RouterProtocolExtensions(HarnessTestCase):
    """The protocol extensions that routers of the second deployment use: CANCEL, ``limit`` and ``second``."""

    def test_a_cancel_stops_the_run_and_keeps_the_connection_open(self) -> None:
        harness = self.harness()
        harness.pool.plans["busca"].held = True
        router = harness.router()
        gone = router.call("busca")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        router.cancel(gone)
        after = router.call("miniatura")
        harness.spin(lambda: after in router.answers)
        # An abandoned run of a safe class is stopped.
        harness.spin(lambda: harness.node.core.counters["suspended"] == 1)
        harness.pool.release("busca")
        harness.spin_for(0.05)
        self.assertEqual((router.answers[after][0], gone in router.answers, router.closed), ("RESULT", False, False))
        self.assertEqual((harness.node.core.counters["cancels"], harness.node.core.counters["bad_frames"]), (1, 0))
        self.assertEqual(harness.tally.faults(), [])

    def test_a_cancel_that_crossed_its_answer_gets_nothing(self) -> None:
        harness = self.harness()
        router = harness.router()
        done = router.call("busca")
        harness.settle()
        router.cancel(done)
        router.cancel(999)  # a tag that was never used
        after = router.call("busca")
        harness.settle()
        self.assertEqual(router.order, [done, after])
        self.assertEqual(harness.node.core.counters["cancels_after_answer"], 2)
        self.assertEqual(harness.tally.faults(), [])

    def test_a_limit_shortens_the_deadline(self) -> None:
        harness = self.harness()
        harness.pool.plans["busca"].held = True
        router = harness.router()
        short, plain = router.call("busca", limit="400"), router.call("busca")
        harness.spin(lambda: len(harness.node.core.records) == 2)
        deadlines_ms = {
            r.incoming.tag: (r.deadline_us - r.incoming.arrived_at_us) // 1000
            for r in harness.node.core.records.values()
        }
        # Milliseconds after ``door``: the router's limit, else the class's deadline.
        self.assertEqual(deadlines_ms, {short: 400, plain: 3000})
        harness.spin(lambda: short in router.answers)
        self.assertNotEqual(router.answers[short][0], "RESULT")
        self.assertNotIn(plain, router.answers)
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual(harness.tally.faults(), [])

    def test_a_try_with_second_reaches_the_policy_as_a_retry(self) -> None:
        harness = self.harness()
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tags = {router.call("busca", second="1"): True, router.call("busca"): False}
        harness.spin(lambda: len(harness.node.core.records) == 2)
        core = harness.node.core
        reported_retries = {r.incoming.tag: core._arrival(r).retry for r in core.records.values()}
        self.assertEqual(reported_retries, tags)
        harness.pool.release("busca")
        harness.settle()


class Drain(HarnessTestCase):
    def test_requests_within_the_drain_grace_are_served_and_later_ones_refused(self) -> None:
        harness = self.harness(stop_ms=2500)
        harness.pool.plans["busca"].held = True
        router, other = harness.router("a"), harness.router("b")
        before = router.call("busca")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        harness.node.drain()
        harness.spin(lambda: router.drained and other.drained)
        harness.spin(lambda: harness.sink.reports[-1] == b"announce n1 false")
        within = other.call("miniatura")  # crosses the DRAIN: the grace is 300 ms
        harness.spin(lambda: within in other.answers)
        harness.spin(lambda: not harness.node.ports)
        past = other.call("miniatura")
        harness.spin(lambda: past in other.answers)
        self.assertEqual(other.answers[within][0], "RESULT")
        self.assertEqual(other.answers[past][0], "REJECT")
        self.assertEqual(len(harness.pool.spawned), 2)
        harness.spin(lambda: before in router.answers, 2.4)  # every request is answered before the process is stopped
        self.assertEqual(harness.tally.faults(), [])


class Limits(HarnessTestCase):
    def test_an_overloaded_node_sends_retry_delays(self) -> None:
        harness = self.harness(cores=1, settings=site_settings(cores=1))
        harness.pool.cpu = 1.0
        for plan in harness.pool.plans.values():
            plan.seconds = 0.08
        routers = [harness.router(str(n)) for n in range(4)]
        for _ in range(6):  # in the first round no run has completed, so refusals carry no retry delay
            for client in routers:
                for _ in range(5):
                    client.call("busca", b"x")
            harness.spin(lambda: harness.tally.waiting() < 4)
        harness.settle()
        self.assertEqual(harness.tally.faults(), [])
        retry_delays_ms = [
            int(fields["later"])
            for client in routers
            for word, fields, _ in client.answers.values()
            if word == "REJECT" and "later" in fields
        ]
        self.assertTrue(retry_delays_ms and max(retry_delays_ms) <= 1000, retry_delays_ms)

    def test_requests_over_the_limit_of_a_connection_are_refused_at_once(self) -> None:
        harness = self.harness(cores=40, settings=site_settings(cores=40, memoryKb=0))
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tags = [router.call("busca") for _ in range(40)]
        harness.spin(lambda: len(router.answers) == 8)
        self.assertEqual({router.answers[tag][0] for tag in tags[32:]}, {"REJECT"})
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual(({router.answers[tag][0] for tag in tags[:32]}, harness.tally.faults()), ({"RESULT"}, []))
        tag = router.call("busca")
        harness.settle()
        self.assertEqual(router.answers[tag][0], "RESULT")

    def test_invalid_input_affects_only_its_own_connection(self) -> None:
        harness = self.harness()
        harness.pool.plans["busca"].held = True
        bad, good = harness.router("bad"), harness.router("good")
        frame, open_tag = bad.frame, bad.call("busca")
        for n, (raw, what) in enumerate(
            [
                (frame(b"CALL", b"101", b"louvre", b"txn=1"), "class"),
                (frame(b"HELLO", b"102"), "verb"),
                (frame(b"CALL", b"103", b"busca", b"x" * 2000, b""), "over-long fields"),
                (frame(b"CALL", b"104", b"busca", b"txn=", b"y" * 3000), "over-long body"),
                (frame(b"CALL", b"105"), "short"),
                (frame(b"CHECK", b"106", b"probe"), "check"),
            ]
        ):
            bad.tally.ask("bad", 101 + n, what)
            bad.write(raw)
        harness.spin(lambda: len(bad.answers) == 6)
        self.assertEqual({word for word, _, _ in bad.answers.values()}, {"ABORTED"})
        bad.tally.ask("bad", 200, "broken")
        bad.write(b"*5\r\n$4\r\nCALL\r\n$3\r\n200\r\nGET / HTTP/1.1\r\n")
        harness.spin(lambda: 200 in bad.answers)
        harness.spin_for(0.05)
        self.assertFalse(bad.closed, "requests open on the connection are still answered")
        harness.pool.release("busca")
        harness.spin(lambda: bad.closed)
        self.assertEqual(bad.answers[open_tag][0], "RESULT")
        for raw in (frame(b"CALL", b"x", b"busca"), b"\0" * 100, frame(b"CALL", b"0", b"busca", b"")):
            worse = harness.router("worse")
            worse.write(raw)
            harness.spin(lambda: worse.closed)  # noqa: B023
        tag = good.call("busca")
        harness.settle()
        self.assertEqual((good.answers[tag][0], harness.tally.faults()), ("RESULT", []))
        self.assertGreaterEqual(harness.node.core.counters["bad_frames"], 10)

    def test_connections_over_the_limit_wait_and_are_not_closed(self) -> None:
        """Closing such a connection unread loses requests: it may carry one already by the time it is accepted."""
        harness = self.harness()
        harness.node.router_factory.bounds = replace(harness.node.bounds, connections=2, surplus=0)
        harness.pool.plans["busca"].held = True
        accepted = [harness.router(str(n)) for n in range(2)]
        tags = [(client, client.call("busca")) for client in accepted]
        harness.spin(lambda: len(harness.pool.spawned) == 2)
        over = harness.router("over")
        tags.append((over, over.call("busca")))
        harness.spin_for(0.2)
        self.assertEqual(
            (over.closed, len(harness.node.core.frontend_connections), len(harness.pool.spawned)), (False, 2, 2)
        )
        harness.pool.release("busca")
        harness.settle()  # a connection whose request is answered is closed in favour of a waiting one
        self.assertEqual([client.answers[tag][0] for client, tag in tags], ["RESULT"] * 3)

    def test_a_full_request_table_refuses_new_requests_only(self) -> None:
        harness = self.harness()
        harness.node.core.max_requests = 2
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tags = [router.call("busca") for _ in range(3)]
        harness.spin(lambda: tags[2] in router.answers)
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual([router.answers[tag][0] for tag in tags], ["RESULT", "RESULT", "REJECT"])

    def test_a_tag_in_use_closes_that_connection_only(self) -> None:
        harness = self.harness()
        harness.pool.plans["busca"].held = True
        router, other = harness.router("a"), harness.router("b")
        tag = router.call("busca")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        router.write(router.frame(b"CALL", b"%d" % tag, b"busca", b""))
        harness.spin_for(0.05)
        self.assertEqual(router.answers, {})
        harness.pool.release("busca")
        harness.spin(lambda: router.closed)
        self.assertEqual((router.answers[tag][0], other.closed), ("RESULT", False))
        self.assertEqual(harness.tally.faults(), [])

    def test_idle_connections_are_closed_and_checks_answered(self) -> None:
        harness = self.harness()
        router = harness.router()
        check = router.check(True)
        harness.settle()
        self.assertEqual(router.answers[check][0], "READY")
        harness.node.core.idle_ttl_us = 10_000
        fresh = harness.router("fresh")
        harness.spin(lambda: router.closed)
        harness.spin_for(0.1)
        self.assertFalse(fresh.closed, "the first request of a new connection may be in transit")
        harness.spin(lambda: fresh.closed)


class Faults(HarnessTestCase):
    def test_an_exception_in_an_event_loop_iteration_does_not_stop_the_node(self) -> None:
        """If an exception left an iteration of `EventLoop` open, it would never end and no further answer would be
        sent."""
        harness = self.harness()

        def fail() -> None:
            raise RuntimeError("raised by the test")

        with self.assertLogs("lemonway", "ERROR"):
            harness.node.event_loop.call_after(0, fail)
            harness.spin(lambda: harness.node.event_loop.exception_count == 1)
        policy = harness.node.core.policy
        assert policy is not None
        harness.router().call("busca")
        harness.settle()
        original_step = policy.step
        policy.step = lambda now, events: fail() or []  # type: ignore[method-assign, func-returns-value]
        router = harness.router("other")
        with self.assertLogs("lemonway", "ERROR"):
            tag = router.call("busca", age_ms=2900)
            harness.spin(lambda: tag in router.answers, 1.0)
        policy.step = original_step  # type: ignore[method-assign]
        self.assertEqual(router.answers[tag][0], "ABORTED")
        after = router.call("busca")
        harness.settle()
        self.assertEqual((router.answers[after][0], harness.tally.faults()), ("RESULT", []))
        harness.node.core.counters["brain_faults"] = 0


NODE_CONFIG: dict[str, Any] = {
    "name": "n1",
    "listen": "127.0.0.1:0",
    "pool": "127.0.0.1:1",
    "stop_ms": 1000,
    "limits": LIMITS,
    "settings": site_settings(),
}


class ProcessTestCase(unittest.TestCase):
    """Starts the node in a subprocess as the platform does, from a configuration file."""

    def start(self, config: Any, *args: str) -> subprocess.Popen[str]:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = os.path.join(folder.name, "config.json")
        with open(path, "w") as file:
            json.dump(config, file)
        process = subprocess.Popen(
            [sys.executable, "-m", "lemonway", *args],
            stderr=subprocess.PIPE,
            text=True,
            env=os.environ | {"EDGE_CONFIG": path, "EDGE_NAME": "", "EDGE_LISTEN": ""},
        )
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process


class ProcessLifecycle(ProcessTestCase):
    """The command, run in a subprocess."""

    def test_counters_are_logged_and_sigterm_exits_cleanly(self) -> None:
        process = self.start(NODE_CONFIG)
        assert process.stderr is not None
        self.assertIn("listens", process.stderr.readline())
        process.send_signal(signal.SIGUSR1)
        self.assertRegex(process.stderr.readline(), r"^counters .*fronts=0")
        process.send_signal(signal.SIGTERM)
        _, rest = process.communicate(timeout=10)
        self.assertEqual(process.returncode, 0)
        self.assertRegex(rest, r"counters .*open=0")

    def test_an_invalid_configuration_logs_one_line_and_exits_with_2(self) -> None:
        process = self.start(NODE_CONFIG | {"listen": "nowhere", "settings": {}})
        _, text = process.communicate(timeout=10)
        self.assertEqual((process.returncode, text.count("\n")), (2, 1))
        self.assertTrue(re.match(r"lemonway: EDGE_CONFIG: \S+\.json: listen: 'nowhere'", text), text)

    def test_an_address_in_use_logs_one_line_and_exits_with_2(self) -> None:
        with socket.create_server(("127.0.0.1", 0)) as taken:
            listen = f"127.0.0.1:{taken.getsockname()[1]}"
            process = self.start(NODE_CONFIG | {"listen": listen})
            _, text = process.communicate(timeout=10)
        self.assertEqual((process.returncode, text.count("\n")), (2, 1))
        self.assertTrue(text.startswith(f"lemonway: listen: {listen}"), text)


class PlatformRequirements(ProcessTestCase):
    """The limits of the platform: one process, started with exec, without further threads or child processes."""

    def test_the_node_is_one_process_with_one_thread_and_no_child(self) -> None:
        deploy = (Path(__file__).parent.parent / "deploy" / "balancer.toml").read_text()
        self.assertRegex(deploy, r'(?m)^run = "exec [^";&|]+"$')
        process = self.start(NODE_CONFIG)
        assert process.stderr is not None
        line = process.stderr.readline()
        port = int(re.search(r"listens on 127\.0\.0\.1:(\d+)", line).group(1))  # type: ignore[union-attr]
        with socket.create_connection(("127.0.0.1", port), timeout=5) as router:
            router.sendall(b"*3\r\n$5\r\nCHECK\r\n$1\r\n1\r\n$7\r\nprobe=0\r\n")
            self.assertIn(b"READY", router.recv(100))  # UNREADY: no pool is connected
            tasks = os.listdir(f"/proc/{process.pid}/task")
            children = [open(f"/proc/{process.pid}/task/{task}/children").read().split() for task in tasks]
        self.assertEqual((len(tasks), sum(children, [])), (1, []))
        process.send_signal(signal.SIGTERM)
        self.assertEqual(process.wait(timeout=10), 0)


if __name__ == "__main__":
    unittest.main()
