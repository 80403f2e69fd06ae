"""Faults at unfavourable moments; docs/design/crossings.md lists them."""

from __future__ import annotations

import gc
import itertools
import json
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import unittest
import unittest.mock
from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

from node_test_case import DRAIN_FRAME, IDEMPOTENCY_KEY, NodeTestCase, request_frame

from lemonway.kit.emulator.day import World
from lemonway.kit.emulator.scenario import check
from lemonway.kit.stage import LIMITS, Stage, site_settings
from lemonway.net.program import node as program
from lemonway.net.protocol import resp
from lemonway.net.routing import core

LINGER_RESET = struct.pack("ii", 1, 0)  # SO_LINGER with zero timeout: close sends a reset


class SimultaneousSignals(NodeTestCase):
    def test_sighup_and_sigterm_in_one_loop_iteration_in_either_order(self) -> None:
        for hangup_first in (True, False):
            with self.subTest(hangup_first=hangup_first):
                harness = Stage(stop_ms=3000)
                try:
                    self.check_both_signals(harness, hangup_first)
                finally:
                    harness.close()

    def check_both_signals(self, harness: Stage, hangup_first: bool) -> None:
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tag_before = router.call("busca")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        moved_config = harness.open()
        signal_handlers = [harness.node.reload, harness.node.drain]
        with unittest.mock.patch.object(program, "load_config", return_value=moved_config):
            for signal_handler in signal_handlers if hangup_first else reversed(signal_handlers):
                harness.reactor.callFromThread(signal_handler)  # as the real handlers do
            harness.spin(lambda: harness.node.core.draining and harness.node.core.counters["reloads_ok"] == 1)
        tag_during = router.call("miniatura")
        harness.spin(lambda: len(harness.pool.binds) == 2 and tag_during in router.answers)
        harness.pool.release("busca")
        harness.settle()
        self.assertEqual([router.answers[tag][0] for tag in (tag_before, tag_during)], ["RESULT"] * 2)
        reports = harness.sink.reports
        self.assertEqual(set(reports[reports.index(b"announce n1 false") :]), {b"announce n1 false"})

    def test_the_program_handles_both_signals_at_once_and_again_while_draining(self) -> None:
        with (
            tempfile.TemporaryDirectory() as folder,
            socket.create_server(("127.0.0.1", 0)) as pool,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sink,
        ):
            sink.bind(("127.0.0.1", 0))
            sink.settimeout(10)
            pool.settimeout(10)
            path = Path(folder, "config.json")
            path.write_text(
                json.dumps(
                    {
                        "name": "n1",
                        "listen": "127.0.0.1:0",
                        "settings": site_settings(),
                        "stop_ms": 1500,
                        "limits": LIMITS,
                        "pool": f"127.0.0.1:{pool.getsockname()[1]}",
                        "announce": f"127.0.0.1:{sink.getsockname()[1]}",
                    }
                )
            )
            process = subprocess.Popen(
                [sys.executable, "-m", "lemonway"],
                stderr=subprocess.PIPE,
                text=True,
                env=os.environ | {"EDGE_CONFIG": str(path), "EDGE_NAME": "", "EDGE_LISTEN": ""},
            )
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            with pool.accept()[0] as link:
                link.sendall(b"bound old 60000\r\n")
                while sink.recv(64) != b"announce n1 true":
                    pass
                self.send_both_signals(process)
                while sink.recv(64) != b"announce n1 false":
                    pass
                self.send_both_signals(process)
                _, stderr_text = process.communicate(timeout=10)
            self.assertEqual(process.returncode, 0, stderr_text)
            self.assertIn("reloads_ok=2", stderr_text)

    @staticmethod
    def send_both_signals(process: subprocess.Popen[str]) -> None:
        """Send both signals while the process is stopped, so that it receives them together when it continues."""
        process.send_signal(signal.SIGSTOP)
        while Path(f"/proc/{process.pid}/stat").read_text().rpartition(")")[2].split()[0] != "T":
            pass
        process.send_signal(signal.SIGTERM)
        process.send_signal(signal.SIGHUP)
        process.send_signal(signal.SIGCONT)


class PartialRequest(NodeTestCase):
    """A reload or drain while a request has been read up to any of its bytes."""

    def split_requests(self, harness: Stage) -> list[tuple[socket.socket, bytes]]:
        """For each position in a request, a connection on which the node has read the bytes up to it, and the rest."""
        split_connections = []
        for cut in range(1, len(request_frame(1))):
            client_socket, frame = self.connect_raw(harness), request_frame(1, txn=f"{cut:016x}")
            client_socket.sendall(frame[:cut])
            split_connections.append((client_socket, frame[cut:]))
        harness.spin(
            lambda: sum(
                len(connection.inbound)
                for connection in harness.node.core.frontend_connections
                if isinstance(connection, resp.RouterConnection)
            )
            == sum(range(1, len(request_frame(1))))
        )
        return split_connections

    def test_reload_between_any_two_bytes(self) -> None:
        harness = self.start_harness()
        frame = request_frame(1)
        client_socket = self.connect_raw(harness)
        connection, node = self.last_connection(harness), harness.node
        longer = replace(
            node.config.settings,
            request_classes=[
                replace(request_class, deadline_ms=request_class.deadline_ms + 1.0)
                for request_class in node.config.settings.request_classes
            ],
        )
        configs = itertools.cycle((replace(node.config, settings=longer), node.config))
        for sent in range(len(frame) - 1):
            client_socket.sendall(frame[sent : sent + 1])
            harness.spin(lambda sent=sent: len(connection.inbound) == sent + 1)  # type: ignore[misc]
            node.apply_config(next(configs))
        client_socket.sendall(frame[-1:])
        self.assertIn(b"RESULT", self.read_until(harness, client_socket, b"RESULT"))
        self.assertEqual(node.core.counters["reloads_ok"], len(frame) - 1)

    def test_request_class_removed_between_any_two_bytes(self) -> None:
        """The class of a request no longer exists when its last byte arrives: it fails without running, and the
        connection stays open."""
        harness = self.start_harness()
        split_connections = self.split_requests(harness)
        settings = harness.node.config.settings
        harness.node.apply_config(
            replace(
                harness.node.config,
                settings=replace(
                    settings,
                    request_classes=[
                        request_class for request_class in settings.request_classes if request_class.name != "busca"
                    ],
                ),
            )
        )
        for number, (client_socket, rest) in enumerate(split_connections, 1000):
            client_socket.sendall(rest + request_frame(2, b"miniatura", txn=f"{number:016x}"))
            self.assertIn(b"ABORTED", self.read_until(harness, client_socket, b"RESULT"))
        self.assertEqual({harness.pool.runs[txn].handler for txn in harness.pool.spawned}, {"miniatura"})

    def test_drain_between_any_two_bytes(self) -> None:
        # The settings give enough capacity for all requests.
        harness = self.start_harness(stop_ms=3000, cores=200, settings=site_settings(cores=200, memoryKb=1e6))
        split_connections = self.split_requests(harness)
        harness.node.drain()
        for client_socket, rest in split_connections:
            client_socket.sendall(rest)
        received = dict.fromkeys((client_socket for client_socket, _ in split_connections), b"")

        def all_answered() -> bool:
            for client_socket in received:
                try:
                    received[client_socket] += client_socket.recv(4096)
                except BlockingIOError:
                    pass
            return all(b"body" in data for data in received.values())

        harness.spin(all_answered)
        self.assertTrue(all(data.startswith(DRAIN_FRAME) and b"RESULT" in data for data in received.values()))


class ResetAfterAccept(NodeTestCase):
    """A peer is killed between ``accept`` and the first read, so what was written to it is lost."""

    def reset_once_accepted(self, harness: Stage, factory: Any, times: int) -> Callable[[], int]:
        """Reset the first ``times`` connections that ``factory`` accepts, before anything is read from them. Return a
        function that counts the resets."""
        build = factory.buildProtocol
        reset_connections: list[Any] = []

        def build_or_reset(addr: Any) -> Any:
            protocol = build(addr)
            if len(reset_connections) < times:
                reset_connections.append(protocol)
                protocol.connectionMade = lambda: protocol.transport.abortConnection()
            return protocol

        patch = unittest.mock.patch.object(factory, "buildProtocol", build_or_reset)
        patch.start()
        self.addCleanup(patch.stop)
        return lambda: len(reset_connections)

    def test_router_connections_reset_before_the_first_read(self) -> None:
        harness = self.start_harness()
        for sent in (b"", request_frame(1)[:40], request_frame(1)):
            client_socket = socket.create_connection(("127.0.0.1", harness.port))
            client_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            client_socket.sendall(sent)
            client_socket.close()  # the node's event loop is not running, so nothing has been accepted
        next_socket = self.connect_raw(harness)
        next_socket.sendall(request_frame(7))
        self.assertIn(b"RESULT", self.read_until(harness, next_socket, b"RESULT"))
        harness.spin(lambda: len(harness.node.core.frontend_connections) == 1)
        self.assertLessEqual(len(harness.pool.spawned), 2)

    def test_pool_links_reset_before_the_first_read(self) -> None:
        harness = self.start_harness()
        router = harness.router()
        reset_count = self.reset_once_accepted(harness, harness.pool, 3)
        harness.pool.cut()
        harness.spin(lambda: not harness.node.core.pool_linked)
        tag = router.call("cadastro", unique=IDEMPOTENCY_KEY)
        harness.settle()
        self.assertEqual((router.answers[tag][0], reset_count(), len(harness.pool.binds)), ("RESULT", 3, 2))
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_backend_connection_reset_before_the_first_read(self) -> None:
        """The call was written, so whether it ran is unknown: only a call that is safe to repeat is retried."""
        for handler, expected_verdict, calls in (("busca", "RESULT", 1), ("cadastro", "ABORTED", 0)):
            with self.subTest(handler):
                harness = Stage(calls=1)
                try:
                    router = harness.router()
                    self.reset_once_accepted(harness, harness.acervo, 1)
                    tag = router.call(handler, unique=IDEMPOTENCY_KEY if handler == "cadastro" else "")
                    harness.settle()
                    self.assertEqual((router.answers[tag][0], len(harness.acervo.calls)), (expected_verdict, calls))
                finally:
                    harness.close()


class SilentPool(NodeTestCase):
    def test_a_pool_that_stops_responding_and_resumes_keeps_its_link(self) -> None:
        """The link is open but the pool sends nothing: requests are answered at their deadlines and the link is kept.
        Nothing shows whether the pool has stalled or the link is dead, and on a new link it would be unknown for every
        command whether it arrived."""
        settings = site_settings()
        settings["lanes"][2] |= {"aim": 200.0, "deadline": 300.0}
        harness = self.start_harness(settings=settings)
        router = harness.router()
        tags = [router.call("busca")]
        harness.settle()
        link = harness.pool.link
        assert link is not None
        with (
            unittest.mock.patch.object(link.transport, "write") as withheld,
            unittest.mock.patch.object(link.transport, "writeSequence", withheld),
        ):
            tags.append(router.call("busca"))
            harness.settle()
        for written in withheld.call_args_list:
            link.transport.write(b"".join(written.args[0]) if isinstance(written.args[0], list) else written.args[0])
        tags.append(router.call("miniatura"))
        harness.settle()
        self.assertEqual([router.answers[tag][0] == "RESULT" for tag in tags], [True, False, True])
        self.assertEqual((len(harness.pool.binds), harness.tally.faults()), (1, []))

    def test_a_run_whose_end_is_never_reported_is_removed(self) -> None:
        settings = site_settings(halt="off")
        settings["lanes"][2] |= {"aim": 200.0, "deadline": 300.0}
        harness = self.start_harness(settings=settings)
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tag = router.call("busca")
        harness.settle()
        self.assertNotEqual(router.answers[tag][0], "RESULT")
        self.assertEqual(len(harness.node.core.records), 1)
        with unittest.mock.patch.object(core, "LOST_RUN_TIMEOUT_US", 0):
            harness.spin(lambda: not harness.node.core.records, 3.0)


class IdleProcess(unittest.TestCase):
    """A complete node over byte pipes in virtual time that never receives a request."""

    MINUTE_US = 60_000_000

    def test_it_stays_ready_and_listed_without_load_or_memory_growth(self) -> None:
        day = check({"title": "No requests", "fleet": {"nodes": 1}, "acervo": {"nodes": 0}}, "here")
        world = World(day, 1, wire=True)
        name = world.tiers[0][0]
        world.services[0].seed(name)
        world.supervisor.start(name, False)
        loop = world.loop
        loop.run(loop.now + self.MINUTE_US)
        gc.collect()
        object_count, events, changes = len(gc.get_objects()), loop.events, world.services[0].changes
        loop.run(loop.now + 10 * self.MINUTE_US)
        gc.collect()
        incarnation = world.running_incarnation(name)
        assert incarnation is not None
        self.assertTrue(incarnation.core.healthy)
        self.assertEqual(incarnation.core.counters["requests"], 0)
        self.assertEqual((world.services[0].changes, world.services[0].entries[name].listed), (changes, True))
        self.assertLess(len(gc.get_objects()) - object_count, 10)
        self.assertLess(
            (loop.events - events) / 600, 100, "events per second, including those of the pool and the pipes"
        )


if __name__ == "__main__":
    unittest.main()
