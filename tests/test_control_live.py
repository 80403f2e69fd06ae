"""Control group tests with real sockets, files, and processes of voters, relays and nodes."""

from __future__ import annotations

import json
import signal
import socket
import struct
import tempfile
import unittest
import unittest.mock
import urllib.request
from collections import Counter
from collections.abc import Callable
from pathlib import Path
from typing import Any

import msgspec
from control_group import ROOT, WAIT_TIMEOUT_S, Group, Process
from jsonschema import Draft202012Validator
from twisted.internet import selectreactor

from lemonway.control.messages import (
    PROTOCOL,
    FromPublisher,
    FromSubscriber,
    Grant,
    Heartbeat,
    PersistVote,
    Refuse,
    SendToSubscriber,
    SendToVoter,
    Watch,
)
from lemonway.control.replica import Replica
from lemonway.control.resources import Delete, Put
from lemonway.control.versions import NO_DIGEST, Proposed, version_of
from lemonway.control.voter import VoteError
from lemonway.net.program import control_file, control_store
from lemonway.net.program.config import ConfigError, read_config
from lemonway.net.program.control_store import TableFile
from lemonway.net.program.node import Node
from lemonway.net.program.policy import StateFile
from lemonway.net.protocol.control import (
    MAX_PUBLISHER_MESSAGE_BYTES,
    MAX_SUBSCRIBER_MESSAGE_BYTES,
    WatchClient,
    WatchServer,
)
from lemonway.net.routing.control_driver import PublisherDriver
from lemonway.net.routing.resources import invalid_reason
from lemonway.net.transport.clock import Clock, EventLoop

WATCH = Watch(PROTOCOL, "n1", 1, False, 0, NO_DIGEST)


class RecordingPublisher:
    def __init__(self) -> None:
        self.accepted: list[int] = []
        self.lost: list[int] = []
        self.received: list[tuple[int, FromSubscriber]] = []

    def link_accepted(self, link: int) -> None:
        self.accepted.append(link)

    def link_lost(self, link: int) -> None:
        self.lost.append(link)

    def link_received(self, link: int, message: FromSubscriber) -> None:
        self.received.append((link, message))


class RecordingSubscriber:
    def __init__(self) -> None:
        self.events: list[str] = []
        self.messages: list[FromPublisher] = []

    def link_connected(self) -> None:
        self.events.append("connected")

    def link_disconnected(self) -> None:
        self.events.append("disconnected")

    def on_publisher_message(self, message: FromPublisher) -> None:
        self.messages.append(message)


class WatchLinks(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor: Any = selectreactor.SelectReactor()
        self.event_loop = EventLoop(self.reactor, Clock())
        self.counters: Counter[str] = Counter()
        self.publisher = RecordingPublisher()
        self.server = WatchServer(self.event_loop, self.counters, queue_bytes=64 * 1024, max_links=4)
        self.server.events = self.publisher
        self.port = self.reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.address = ("127.0.0.1", self.port.getHost().port)
        self.addCleanup(self.close)

    def close(self) -> None:
        self.port.stopListening()
        self.server.stop()
        for _ in range(10):
            self.reactor.iterate(0)
        for call in self.reactor.getDelayedCalls():
            call.cancel()

    def spin(self, until: Callable[[], Any], iterations: int = 4000) -> None:
        for _ in range(iterations):
            if until():
                return
            self.reactor.iterate(0.005)
        self.fail("the condition was not met")

    def watch(self) -> tuple[WatchClient, RecordingSubscriber]:
        """A connected subscriber that has identified itself."""
        client, subscriber = (
            WatchClient(self.reactor, self.event_loop, {"r1": self.address}, self.counters),
            RecordingSubscriber(),
        )
        client.events = subscriber
        received_before = len(self.publisher.received)
        client.dial("r1")
        self.spin(lambda: subscriber.events == ["connected"])
        client.send(WATCH)
        self.spin(lambda: len(self.publisher.received) > received_before)
        return client, subscriber

    def test_messages_in_both_directions_and_graceful_closes(self) -> None:
        client, subscriber = self.watch()
        link = self.publisher.accepted[0]
        self.assertEqual(self.publisher.received, [(link, WATCH)])
        self.server.send(link, Grant(5, 1, 9, True))
        self.server.send(link, Refuse("full", 7))
        self.server.drop(link)
        self.spin(lambda: subscriber.events[1:])
        self.assertEqual(
            subscriber.messages, [Grant(5, 1, 9, True), Refuse("full", 7)], "messages sent before the close arrive"
        )
        self.assertEqual(
            (subscriber.events[1:], self.publisher.lost), (["disconnected"], []), "the closing side gets no event"
        )
        client.dial("r1")
        self.spin(lambda: len(self.publisher.accepted) == 2)
        client.disconnect()
        self.spin(lambda: self.publisher.lost == [self.publisher.accepted[1]])
        self.assertEqual(subscriber.events[2:], ["connected"])
        client.dial("nobody")
        self.spin(lambda: subscriber.events[3:] == ["disconnected"])

    def test_a_message_sent_to_many_links_in_succession_is_encoded_once(self) -> None:
        subscribers = [self.watch()[1] for _ in range(3)]
        encoded = []
        encoder = msgspec.msgpack.Encoder()

        class RecordingEncoder:
            def encode(self, message: Any) -> bytes:
                encoded.append(message)
                return encoder.encode(message)

        grant = Grant(5, 1, 9, True)
        with unittest.mock.patch("lemonway.net.protocol.control._encoder", RecordingEncoder()):
            for link in self.publisher.accepted:
                self.server.send(link, grant)
        self.spin(lambda: all(recorder.messages == [grant] for recorder in subscribers))
        self.assertEqual(encoded, [grant])

    def test_invalid_oversized_and_misplaced_messages_close_only_their_own_link(self) -> None:
        client, _ = self.watch()
        frames = {
            "undecodable": struct.pack(">I", 3) + b"\xc1\xc1\xc1",
            "oversized": struct.pack(">I", MAX_SUBSCRIBER_MESSAGE_BYTES + 1),
            "empty": struct.pack(">I", 0),
            "a message of publishers": (lambda data: struct.pack(">I", len(data)) + data)(
                msgspec.msgpack.encode(Grant(1, 1, 1, True))
            ),
            "a field of the wrong type": (lambda data: struct.pack(">I", len(data)) + data)(
                msgspec.msgpack.encode(["watch", "old"])
            ),
        }
        for n, (case, data) in enumerate(frames.items(), 1):
            with socket.create_connection(self.address) as client_socket, self.subTest(case):
                client_socket.sendall(data)
                self.spin(lambda n=n: len(self.publisher.lost) == n)  # type: ignore[misc]
                self.assertEqual(self.counters["control_messages_rejected"], n)
        client.send(Heartbeat(1, 0, True, ""))
        self.spin(lambda: len(self.publisher.received) == 2)
        self.assertEqual(len(self.server.links), 1, "the other link stays open")

    def test_a_subscriber_disconnects_from_a_publisher_that_sends_an_oversized_message(self) -> None:
        _, subscriber = self.watch()
        connection = self.server.links[self.publisher.accepted[0]]
        connection.send(struct.pack(">I", MAX_PUBLISHER_MESSAGE_BYTES + 1))
        self.spin(lambda: subscriber.events[1:] == ["disconnected"])
        self.assertEqual(self.counters["control_messages_rejected"], 1)

    def test_a_slow_reader_is_disconnected_at_the_queue_limit(self) -> None:
        _, fast_reader = self.watch()
        with socket.create_connection(self.address):  # it never reads
            self.spin(lambda: len(self.publisher.accepted) == 2)
            link = self.publisher.accepted[1]
            sent = 0
            while not self.publisher.lost and sent < 4000:
                self.server.send(link, Refuse("x" * 8000, sent))
                self.assertLessEqual(self.server.queued_bytes(link), 64 * 1024)
                sent += 1
                self.reactor.iterate(0)
            self.assertEqual(self.publisher.lost, [link])
        self.assertEqual(self.counters["control_links_cut"], 1)
        self.server.send(self.publisher.accepted[0], Grant(5, 1, 9, True))
        self.spin(lambda: fast_reader.messages)

    def test_links_above_the_limit_are_closed(self) -> None:
        for _ in range(4):
            self.watch()
        with socket.create_connection(self.address) as fifth:
            fifth.setblocking(False)
            self.spin(lambda: self.counters["control_links_over"] == 1)
        self.assertEqual(len(self.publisher.accepted), 4)


def tenant(name: str, quota: float = 0.0) -> dict[str, Any]:
    return {"kind": "tenant", "name": name, "value": {"quotaRps": quota}}


class LiveGroup(unittest.TestCase):
    """Three voters, two relays and three nodes that continue to serve while the control group is unreachable."""

    group: Group

    @classmethod
    def setUpClass(cls) -> None:
        cls.group = Group(3, 2, 3, {"when_lost": "serve"})
        cls.addClassCleanup(cls.group.close)
        cls.group.spin(lambda: all(cls.group.ready(name) for name in cls.group.ports), "all nodes are ready")

    def commit(self, voter: str, change: dict[str, Any]) -> int:
        """Propose a change and wait until it is in force on all nodes. Returns its version number."""
        done = self.group.propose(voter, change, "--wait", "--within", "30")
        self.assertEqual(done.returncode, 0, done.stdout + done.stderr)
        outcome = json.loads(done.stdout)
        self.assertEqual((outcome["state"], outcome["in_force"]), ("committed", True))
        return int(outcome["number"])

    def test_1_a_change_takes_effect_on_all_nodes_and_in_their_cores(self) -> None:
        group = self.group
        self.assertEqual(group.request_outcome("n1", "novo"), "ABORTED", "a request of an unknown tenant is malformed")
        number = self.commit(
            "v1",
            {
                "put": [
                    tenant("novo"),
                    {"kind": "class", "name": "extra", "value": {"aim": 1000, "deadline": 2000, "effect": "safe"}},
                    {"kind": "limit", "name": "ceilings.maxRetryAfter", "value": 500},
                ]
            },
        )
        group.wait_for_nodes(
            lambda status: status["number"] == number and status["serving"], "the version is in force on all nodes"
        )
        self.assertEqual({group.request_outcome(name, "novo") for name in group.ports}, {"RESULT"})
        digests = {process.status()["content"] for name, process in group.processes.items()}
        self.assertEqual(len(digests), 1, "voters, relays and nodes have the same table")
        self.commit("v2", {"delete": [{"kind": "tenant", "name": "novo"}]})
        self.assertEqual(group.request_outcome("n2", "novo"), "ABORTED")

    def test_2_an_invalid_proposal_is_rejected_as_a_whole(self) -> None:
        group = self.group
        before = group["v1"].status()["number"]
        for change, expected_text in (
            ({"put": [tenant("good"), {"kind": "class", "name": "bad", "value": {"aim": 5}}]}, "deadline"),
            ({"put": [{"kind": "limit", "name": "familyInfo.cores", "value": 9}]}, "each machine's own"),
            ({"put": [{"kind": "limit", "name": "ceilings.maxRetry", "value": 9}]}, "no setting"),
            ({"put": [{"kind": "tenant", "name": "t", "value": {"quotaRps": -1}}]}, "quotaRps"),
            ({"delete": [{"kind": "planet", "name": "t"}]}, "planet"),
            ({"puts": []}, "puts"),
            ({}, "nothing"),
        ):
            done = group.propose("v1", change)
            self.assertEqual((done.returncode, expected_text in done.stderr), (2, True), done.stderr)
            self.assertEqual(done.stderr.count("\n"), 1)
        self.assertEqual(group["v1"].status()["number"], before)
        relay = group.propose("r1", {"put": [tenant("t")]})
        self.assertEqual((relay.returncode, "ask a voter" in relay.stderr), (2, True))
        abort = group.run_cli("abort", "--machine", f"127.0.0.1:{group['v1'].admin}")
        self.assertEqual((abort.returncode, "no proposal" in abort.stderr), (2, True))

    def test_3_status_history_and_metrics_show_the_version(self) -> None:
        group, admin_address = self.group, f"127.0.0.1:{self.group['v3'].admin}"
        number = self.commit("v3", {"put": [tenant("seen")]})
        status = json.loads(group.run_cli("status", "--machine", admin_address, "--json").stdout)
        self.assertEqual((status["role"], status["number"]), ("voter", number))
        self.assertIn(f"version {number}", group.run_cli("status", "--machine", admin_address).stdout)
        history = json.loads(group.run_cli("history", "--machine", admin_address, "--json").stdout)["history"]
        self.assertEqual(history[-1]["number"], number)
        # The operators' page sends there whoever must know what became of a proposal.
        lines = group.run_cli("history", "--machine", admin_address).stdout.splitlines()
        self.assertEqual(lines[-1], f"version {number}, {history[-1]['ident']}, by v3: 1 operations")
        self.assertEqual(len(lines), len(history))
        with urllib.request.urlopen(f"http://127.0.0.1:{group['n1'].admin}/metrics") as reply:
            metrics = reply.read().decode()
        self.assertIn(f"edge_edge_control_version {number}\n", metrics)
        self.assertIn("# TYPE edge_edge_control_age_s gauge\nedge_edge_control_age_s 0\n", metrics)

    def test_4_invalid_bytes_close_only_their_own_link(self) -> None:
        group = self.group
        for name in ("r1", "v1"):
            with socket.create_connection(
                ("127.0.0.1", group.watch_ports[name]), timeout=WAIT_TIMEOUT_S
            ) as client_socket:
                client_socket.sendall(struct.pack(">I", 5) + b"\xc1junk")
                self.assertEqual(client_socket.recv(100), b"", "the link is closed")
            self.assertIsNotNone(group[name].running)
        self.commit("v1", {"put": [tenant("after-invalid-bytes")]})

    def test_5_changes_continue_while_a_voter_and_a_relay_are_down(self) -> None:
        group = self.group
        group["v2"].terminate()
        group["r1"].terminate()
        number = self.commit("v1", {"put": [tenant("without-two")]})
        group.wait_for_nodes(
            lambda status: (status["publisher"], status["number"]) == ("r2", number),
            "all nodes have the version from the other relay",
        )
        for name in ("v2", "r1"):
            group.restart(name)
        group.spin(lambda: (status := group["v2"].status()) and status["number"] == number, "the voter has caught up")

    def test_6_nodes_serve_while_control_is_unreachable_and_catch_up_when_it_returns(self) -> None:
        group = self.group
        number = self.commit("v1", {"put": [tenant("kept")]})
        machines = [name for name in group.processes if name not in group.ports]
        for name in machines:
            group[name].terminate()
        group.wait_for_nodes(lambda status: status["age_s"] >= 1, "nodes report the age of their version")
        self.assertEqual(group["n1"].terminate(signal.SIGTERM), 0)
        group["n1"].start()
        group.spin(lambda: group.ready("n1"), "a node started without control is ready from its state file")
        self.assertEqual({group.request_outcome(name, "kept") for name in group.ports}, {"RESULT"})
        self.assertEqual(group["n1"].status()["number"], number)
        for name in machines:
            group.restart(name)
        next_number = group.spin(
            lambda: self.committed_number({"put": [tenant("back")]}), "the voters commit changes again"
        )
        group.wait_for_nodes(lambda status: (status["number"], status["age_s"]) == (next_number, 0), "control is back")
        self.assertEqual({group.request_outcome(name, "back") for name in group.ports}, {"RESULT"})

    def committed_number(self, change: dict[str, Any]) -> int:
        """Propose a change; its version number, or 0 if it was not committed."""
        done = self.group.propose("v1", change)
        return int(json.loads(done.stdout)["number"]) if done.returncode == 0 else 0

    def test_7_a_node_that_starts_without_state_receives_the_whole_table(self) -> None:
        group = self.group
        for n in range(5):  # more versions than the logs of the machines hold
            number = self.commit("v1", {"put": [tenant(f"tail-{n}")]})
        group["n3"].terminate()
        (group.folder / "n3.state").unlink()
        group["n3"].start()
        group.wait_for_nodes(lambda status: status["number"] == number, "the node has the version")
        self.assertEqual(
            {status["content"] for status in (group["n3"].status(), group["v1"].status())},
            {group["n2"].status()["content"]},
        )
        self.assertIn("a whole table is in force here", group["n3"].log())
        group.spin(lambda: group.ready("n3"), "the node is ready")
        self.assertEqual(group.request_outcome("n3", "tail-0"), "RESULT")

    def test_8_reloads_at_sighup_and_graceful_shutdowns(self) -> None:
        group = self.group
        valid_text = (group.folder / "n2.json").read_text()
        group.write("n2.json", {"relays": {}})
        group["n2"].signal(signal.SIGHUP)
        group.spin(lambda: "n2.json: " in group["n2"].log() and "the old file is kept" in group["n2"].log(), "a line")
        (group.folder / "n2.json").write_text(valid_text)
        number = self.commit("v1", {"put": [tenant("after-sighup")]})
        group["n2"].signal(signal.SIGHUP)
        group.spin(
            lambda: "SIGHUP: classes" in group["n2"].log() or "SIGHUP: pool" in group["n2"].log(),
            "the file was reloaded",
        )
        self.assertEqual(group["n2"].status()["number"], number)
        self.assertEqual(group.request_outcome("n2", "after-sighup"), "RESULT", "the table still overrides the file")
        group.write("r1.json", {"role": "relay"})
        group["r1"].signal(signal.SIGHUP)
        group.spin(lambda: "r1.json: " in group["r1"].log() and "the old file is kept" in group["r1"].log(), "a line")
        self.assertEqual([group[name].terminate(signal.SIGTERM) for name in ("r1", "r2", "v1", "n3")], [0] * 4)
        self.assertIn("counters version=", group["v1"].log())


class ExpiredLease(unittest.TestCase):
    def test_a_node_with_when_lost_stop_takes_no_work_after_its_lease_expires(self) -> None:
        group = Group(1, 1, 1, {"when_lost": "stop"})
        self.addCleanup(group.close)
        group.spin(lambda: group.ready("n1"), "the node is ready")
        self.assertEqual(group.propose("v1", {"put": [tenant("novo")]}, "--wait").returncode, 0)
        group["r1"].terminate()
        group.spin(lambda: not group.ready("n1"), "the node is not ready")
        status = group["n1"].status()
        self.assertIn("the lease on version", status["why_not"])
        self.assertEqual(group.request_outcome("n1", "novo"), "REJECT")
        group["r1"].start()
        group.spin(lambda: group.ready("n1"), "the node is ready again")
        self.assertEqual(group.request_outcome("n1", "novo"), "RESULT")
        for line in ("this node takes no work: the lease on version", "this node takes work", "is in force here"):
            self.assertIn(line, group["n1"].log())


class Files(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_the_published_schemas_and_files_match_the_code(self) -> None:
        for name, schema in control_file.schemas().items():
            self.assertEqual(json.loads((ROOT / "deploy/schema" / name).read_text()), schema)
            Draft202012Validator.check_schema(schema)
        control_file.load_control(str(ROOT / "deploy/control.json"))
        control_file.load_control_machine(str(ROOT / "deploy/control-machine.json"))
        change = ROOT / "example/control-change.json"
        self.assertEqual(invalid_reason(control_file.read_change(change.read_bytes())), "")
        Draft202012Validator(control_file.schemas()["control-change.schema.json"]).validate(
            json.loads(change.read_text())
        )

    def test_the_error_for_an_invalid_file_names_the_file_and_the_key(self) -> None:
        voters = {"v1": {"vote": "h:1", "watch": "h:2", "admin": "h:5"}}
        machine = {"role": "relay", "name": "r1", "listen": "h:3", "admin": "h:4", "voters": voters}
        relays = {"relays": {"r1": "h:1"}}
        cases: list[tuple[Callable[[str], object], Any, str]] = [
            (control_file.load_control, raw, expected_text)
            for raw, expected_text in (
                ("{", "not JSON"),
                ({}, "relays"),
                ({"relays": {}}, "relays"),
                ({"relays": {"r1": "h"}}, "relays.r1"),
                (relays | {"when_lost": "wait"}, "when_lost"),
                (relays | {"stale_most_s": 0}, "stale_most_s"),
                (relays | {"stat": "x"}, "stat"),
                (None, "No such file"),
            )
        ]
        cases += [
            (control_file.load_control_machine, machine | raw, expected_text)
            for raw, expected_text in (
                ({"role": "boss"}, "role"),
                ({"admin": "x"}, "admin"),
                ({"listen": ""}, "listen"),
                ({"role": "voter"}, "voters: this voter, r1"),
                ({"role": "voter", "name": "v1"}, "disk"),
                ({"role": "voter", "name": "v1", "disk": "x"}, "listen"),
                ({"admin": ""}, "admin"),
                ({"voters": voters | {"v2": voters["v1"]}}, "voters: 2"),
                ({"voters": {"v1": {"vote": "h:1"}}}, "watch"),
                ({"voters": {"v1": voters["v1"] | {"watch": "h"}}}, "voters.v1.watch"),
            )
        ]
        for load, raw, expected_text in cases:
            path = self.folder / "control.json"
            path.unlink(missing_ok=True)
            if raw is not None:
                path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
            with self.subTest(expected_text), self.assertRaises(ConfigError) as caught:
                load(str(path))
            self.assertIn(str(path), str(caught.exception))
            self.assertIn(expected_text, str(caught.exception))
            self.assertNotIn("\n", str(caught.exception))

    def test_a_damaged_state_file_is_logged_and_ignored(self) -> None:
        state, file = self.folder / "n1.state", self.folder / "control.json"
        state.write_bytes(b"lemonway control 1\n" + b"\x00" * 50)
        file.write_text(json.dumps({"relays": {"r1": "127.0.0.1:1"}, "state": str(state)}))
        config = read_config(json.loads((ROOT / "example/config.json").read_text()), {})
        with self.assertLogs("lemonway.net.program.control_node", "ERROR") as caught:
            node = Node(config, selectreactor.SelectReactor(), control=str(file))
        self.addCleanup(node.stop)
        self.assertIn(f"control: state: {state}: ", caught.output[0])
        self.assertEqual(node.core.counters["control_state_unread"], 1)
        self.assertFalse(node.core.healthy, "it takes no work before a relay has granted a lease")

    def test_a_failed_start_exits_with_status_2_and_one_line(self) -> None:
        config = self.folder / "config.json"
        config.write_text((ROOT / "example/config.json").read_text())
        invalid = self.folder / "bad.json"
        invalid.write_text("{}")
        for argv, expected_text in (
            (["lemonway", "--control", str(invalid)], "relays"),
            (["lemonway", "--control", "x", "--policy", "y", "--replication", "z"], "excludes --policy"),
            (["lemonway.kit.cli", "control", "run", "--file", str(invalid)], "role"),
        ):
            process = Process(self.folder, f"start-{expected_text[:5]}", argv, {"EDGE_CONFIG": str(config)})
            process.start()
            assert process.running is not None
            self.assertEqual(process.running.wait(WAIT_TIMEOUT_S), 2, process.log())
            self.assertEqual((expected_text in process.log(), process.log().count("\n")), (True, 1), process.log())


class StateFiles(unittest.TestCase):
    """The table file and the vote file on disk."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = str(Path(folder.name) / "state")
        self.timers: list[Callable[[], None]] = []
        self.event_loop: Any = unittest.mock.Mock()
        self.event_loop.call_after = lambda delay, call: self.timers.append(call)
        self.replica = Replica(1 << 30)
        self.counters: Counter[str] = Counter()

    def file(self, durable: bool = False) -> TableFile:
        return TableFile(self.path, self.event_loop, lambda: self.replica.table, self.counters, durable)

    def store_version(self, file: TableFile, number: int, size: int = 10) -> bool:
        operations = (Put("tenant", f"t{number}", b'{"name":"%s"}' % (b"x" * size)),)
        proposed = Proposed(self.replica.number, self.replica.digest, operations)
        version = version_of(proposed, number, "v1", 0)
        self.replica.apply(version)
        return file.keep_version(version)

    def run_timers(self) -> int:
        ran = 0
        while self.timers:
            self.timers.pop(0)()
            ran += 1
        return ran

    def reload(self) -> tuple[int, int]:
        """Load the file and compare it with the replica. Returns its version number and its count of resources."""
        stored = self.file().load()
        assert stored is not None
        self.assertEqual(stored.digest, self.replica.digest)
        self.assertEqual(stored.table.content, self.replica.table.content)
        return stored.number, len(stored.table)

    def test_versions_survive_a_restart_and_an_incomplete_last_record(self) -> None:
        file = self.file(durable=True)
        self.assertIsNone(file.load())
        self.assertTrue(all([self.store_version(file, number) for number in (1, 2, 3)]))
        self.assertEqual(self.reload(), (3, 3))
        with open(self.path, "ab") as raw_file:
            raw_file.write(b"\x00\x00")
        reopened = self.file(durable=True)
        reopened.load()
        self.assertTrue(self.store_version(reopened, 4))
        self.assertEqual(self.reload(), (4, 4), "the version after an incomplete record is in a new file")

    def test_a_large_table_is_written_in_slices_followed_by_the_versions_decided_meanwhile(self) -> None:
        file = self.file()
        for number in range(1, 4):
            self.store_version(file, number)
        self.run_timers()
        self.replica.table.apply(Put("tenant", f"big{n}", b'{"name":"%s"}' % (b"y" * 2000)) for n in range(3000))
        with unittest.mock.patch.object(control_store, "WRITE_SLICE_S", 0.0):
            file.keep_table(self.replica.number, self.replica.digest)
            self.store_version(file, 7)
            self.assertGreater(self.run_timers(), 3)
        self.assertEqual(self.reload(), (7, 3004))

    def test_the_file_is_compacted_once_its_versions_are_larger_than_its_table(self) -> None:
        file = self.file()
        for number in range(1, 400):
            self.store_version(file, number, 8000)
            self.replica.table.apply([Delete("tenant", f"t{number - 1}")])
            self.run_timers()
        self.assertLess(Path(self.path).stat().st_size, 2 * control_store.MIN_COMPACT_BYTES)

    def test_a_voter_with_a_full_disk_reports_that_its_vote_is_not_stored(self) -> None:
        file = self.file(durable=True)
        store = control_store.VoterStore(file, StateFile(self.path + ".vote"))
        self.assertTrue(self.store_version(file, 1))
        with unittest.mock.patch("os.fsync", side_effect=OSError(28, "No space left on device")):
            self.assertFalse(self.store_version(file, 2))
            self.assertFalse(store.keep_vote(b"vote"))
        self.assertTrue(self.store_version(file, 3))
        self.assertTrue(store.keep_vote(b"vote"))
        self.assertEqual(self.reload(), (3, 3), "nothing follows an incomplete record")
        self.assertEqual((self.counters["control_not_kept"], self.counters["control_vote_not_kept"]), (2, 1))


class FullDisk(unittest.TestCase):
    """The outputs that a driver carries out once a voter's disk has failed."""

    OUTPUTS = (
        SendToSubscriber(1, Refuse("before", 0)),
        PersistVote(b"vote"),
        SendToVoter("v2", "a vote"),
        SendToSubscriber(1, Refuse("after", 0)),
    )

    def carry(self, **role: Any) -> tuple[unittest.mock.Mock, unittest.mock.Mock, list[str]]:
        links, voters, fatal = unittest.mock.Mock(), unittest.mock.Mock(), list[str]()
        store = unittest.mock.Mock(**{"keep_vote.return_value": False})
        driver = PublisherDriver(
            unittest.mock.Mock(**{"clock.now_us": 0}),
            unittest.mock.Mock(due=0, **role),
            downstream=links,
            voters=voters,
            store=store,
            on_fatal=fatal.append,
        )
        driver.apply_outputs(self.OUTPUTS)
        driver.apply_outputs(self.OUTPUTS[:1])
        return links, voters, fatal

    def test_votes_are_held_back_and_subscribers_get_all_messages(self) -> None:
        links, voters, fatal = self.carry()
        self.assertEqual((links.send.call_count, voters.send.call_count, fatal), (3, 0, []))

    def test_a_single_voter_carries_out_nothing_more_and_shuts_down(self) -> None:
        links, voters, fatal = self.carry(**{"vote_write_failed.side_effect": VoteError("no disk")})
        self.assertEqual((links.send.call_count, voters.send.call_count, fatal), (1, 0, ["no disk"]))


if __name__ == "__main__":
    unittest.main()
