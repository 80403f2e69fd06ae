"""A node that follows the fleet's policy epochs, whose decisions are given by the test; its policy and state files."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from jsonschema import Draft202012Validator

from lemonway.epochs.member import EpochMember, EpochOptions
from lemonway.epochs.messages import ApplyChange, Change, Output, Prepare, SaveState, Send
from lemonway.kit.pool import Plan
from lemonway.kit.stage import Stage
from lemonway.net.program import policy as files
from lemonway.net.program.config import ConfigError
from lemonway.net.program.node import Node
from lemonway.net.routing.governed import PolicyEpochDriver

ROOT = Path(__file__).parents[1]
IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"


class ScriptedEpochs(EpochMember):
    """Reports whether the node may serve as the test sets it, and makes no decisions."""

    def __init__(self, node: Node) -> None:
        super().__init__(
            "n1",
            1,
            lambda: (("n1", "n2", "n3"),),
            EpochOptions(first_start=True),
            0,
            lambda data: "",
            node.core.counters,
        )
        self.serves = True

    def serving(self, now: int) -> bool:
        return self.serves and not self.incompatibility

    def tick(self, now: int) -> list[Output]:
        return []


class RecordingPeers:
    def __init__(self) -> None:
        self.sent: list[tuple[str, Any]] = []

    def send(self, peer: str, message: Any) -> None:
        self.sent.append((peer, message))


class LeaseExpiryTests(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = Stage()
        self.addCleanup(self.harness.close)
        self.epochs, self.peers = ScriptedEpochs(self.harness.node), RecordingPeers()
        self.failure = ""
        self.persisted: list[bytes] = []
        self.governed = PolicyEpochDriver(
            self.harness.node.core, self.epochs, self.peers, lambda change: self.failure, self.persist
        )
        self.governed.start()
        self.harness.spin(lambda: self.harness.node.core.healthy)
        self.router = self.harness.router()

    def persist(self, memory: bytes) -> None:
        if self.failure == "disk":
            raise OSError(28, "No space left on device")
        self.persisted.append(memory)

    def set_serving(self, serves: bool = False) -> None:
        self.epochs.serves = serves
        self.harness.spin(lambda: self.harness.node.core.readiness.lease_expired is not serves)

    def reply_to(self, tag: int) -> str:
        self.harness.spin(lambda: tag in self.router.answers)
        reply, fields, _ = self.router.answers[tag]
        return reply + ("+" if int(fields.get("later", "0")) > 0 else "")

    def test_an_expired_lease_refuses_new_and_queued_requests_but_not_running_ones(self) -> None:
        harness = self.harness
        harness.pool.plans["busca"] = Plan(held=True)
        harness.pool.plans["cadastro"] = Plan(held=True)
        keyed = self.router.call("cadastro", b"entry", unique=IDEMPOTENCY_KEY)
        running = [self.router.call("busca", b"r") for _ in range(5)]
        harness.spin(lambda: len(harness.pool.spawned) == 6)
        queued = [self.router.call("miniatura", b"h") for _ in range(2)]  # all cores are busy
        harness.spin(lambda: len(harness.node.core.records) == 8)
        self.set_serving()
        self.assertEqual([self.reply_to(tag) for tag in queued], ["REJECT+"] * 2, "queued requests are refused at once")
        self.assertEqual(self.reply_to(self.router.call("miniatura", b"n")), "REJECT+", "new requests are refused")
        health_check = self.router.check(deep=False)
        self.assertEqual(self.reply_to(health_check), "UNREADY")
        duplicate = self.router.call("cadastro", b"entry", unique=IDEMPOTENCY_KEY)
        harness.spin_for(0.1)
        self.assertNotIn(duplicate, self.router.answers, "its key is running: the duplicate waits for the result")
        for name in ("busca", "cadastro"):
            harness.pool.release(name)
        self.assertEqual(
            {self.reply_to(tag) for tag in (keyed, duplicate, *running)}, {"RESULT"}, "running requests are answered"
        )
        later_duplicate = self.router.call("cadastro", b"entry", unique=IDEMPOTENCY_KEY)
        self.assertEqual(self.reply_to(later_duplicate), "RESULT", "a stored result is returned without a run")
        self.set_serving(True)
        self.assertEqual(self.reply_to(self.router.call("busca", b"n")), "RESULT")
        self.assertEqual((harness.node.core.counters["lapses"], harness.node.core.counters["refused_lapsed"]), (1, 3))

    def test_a_request_read_in_the_event_loop_iteration_in_which_the_lease_expires_is_refused(self) -> None:
        core, event_loop = self.harness.node.core, self.harness.node.event_loop
        policy = core.policy
        assert policy is not None
        submit = core.submit

        def submit_then_expire(incoming: Any) -> int:
            request_id = submit(incoming)
            # Timers run after input and before the core's step.
            event_loop.call_at(event_loop.clock.now_us, lambda: core.set_lease_expired(True))
            return request_id

        with mock.patch.object(core, "submit", submit_then_expire):
            self.assertEqual(self.reply_to(self.router.call("busca", b"r")), "REJECT+")
        self.assertEqual(self.harness.pool.spawned, [])

    def test_an_epoch_that_cannot_be_applied_stops_the_node_until_a_later_one_can(self) -> None:
        core = self.harness.node.core
        self.failure = "lanes: too many"
        with self.assertLogs("lemonway.net.routing.governed", "ERROR") as logs:
            self.governed.apply_outputs([ApplyChange(Change(4, "n2-1-1", True, b"{}", "", "n2", 0))])
        self.assertIn(
            "epoch 4 (n2-1-1, proposed at n2) cannot be applied to this node: lanes: too many", logs.output[0]
        )
        self.assertEqual((core.readiness.lease_expired, core.counters["policy_unfit"]), (True, 1))
        self.assertIn("does not fit", self.epochs.not_serving_reason(0))
        self.failure = ""
        self.governed.apply_outputs([ApplyChange(Change(5, "n2-1-2", True, b"{}", "", "n2", 0))])
        self.harness.spin(lambda: core.healthy)
        self.assertEqual(core.counters["policy_epoch"], 5)

    def test_a_vote_that_cannot_be_persisted_is_not_sent(self) -> None:
        vote = Send("n2", Prepare(1, (1, "n1", 1)))
        self.governed.apply_outputs([SaveState(b"m"), vote])
        self.assertEqual((self.persisted, len(self.peers.sent)), ([b"m"], 1))
        self.failure = "disk"
        with self.assertLogs("lemonway.net.routing.governed", "ERROR"):
            self.governed.apply_outputs([SaveState(b"n"), ApplyChange(Change(1, "c", True, b"{}", "", "n2", 0)), vote])
        self.assertEqual((len(self.peers.sent), self.epochs.memory_intact), (1, False))
        self.assertEqual(
            self.harness.node.core.counters["policy_epoch"], 1, "the decided epoch is applied nevertheless"
        )


class PolicyFileTests(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def test_the_published_schemas_and_example_files_match_the_code(self) -> None:
        for name, schema in files.schemas().items():
            self.assertEqual(json.loads((ROOT / "deploy/schema" / name).read_text()), schema)
            Draft202012Validator.check_schema(schema)
        files.load_policy(str(ROOT / "deploy/policy.json"))
        files.read_change((ROOT / "example/policy-change.json").read_bytes())

    def test_errors_in_a_policy_file_name_the_file_and_the_key(self) -> None:
        validator = Draft202012Validator(files.schemas()["policy.schema.json"])
        for raw, expected in (
            ("{", "not JSON"),
            ({"lease_ms": 1}, "lease_ms"),
            ({"lease_ms": "x"}, "lease_ms"),
            ({"lease": 5}, "lease"),
            ({"together": 1}, "together"),
            (None, "No such file"),
        ):
            path = self.folder / "policy.json"
            if raw is None:
                path.unlink()
            else:
                path.write_text(raw if isinstance(raw, str) else json.dumps(raw))
            with self.assertRaises(ConfigError) as caught:
                files.load_policy(str(path))
            self.assertIn(str(path), str(caught.exception))
            self.assertIn(expected, str(caught.exception))
            if isinstance(raw, dict):
                self.assertFalse(validator.is_valid(raw), raw)

    def test_invalid_changes_are_rejected_with_a_reason(self) -> None:
        for body, expected in (
            (b"", "truncated"),
            (b"[]", "object"),
            (b"{}", "settings"),
            (b'{"settings": []}', "settings"),
            (b'{"settings": {}, "other": 1}', "other"),
            (b'{"settings": {"familyInfo": {"memoryKb": 1}}}', "familyInfo.memoryKb"),
            (json.dumps({"settings": {"x": "y" * files.CHANGE_MOST}}).encode(), "at most"),
        ):
            with self.assertRaisesRegex(ValueError, expected):
                files.read_change(body)

    def test_a_policy_file_without_replication_prevents_the_start(self) -> None:
        harness = Stage()
        self.addCleanup(harness.close)
        path = self.folder / "policy.json"
        path.write_text("{}")
        with self.assertRaisesRegex(ConfigError, "--policy: needs --replication"):
            Node(harness.node.config, harness.reactor, policy=str(path))

    def test_a_state_file_returns_what_was_written_or_reports_corruption(self) -> None:
        file = files.StateFile(str(self.folder / "state"))
        self.assertIsNone(file.read())
        for data in (b"one", b"two" * 1000):
            file.write(data)
            self.assertEqual(file.read(), data)
        intact = (self.folder / "state").read_bytes()
        for corrupted in (intact[:-1], intact[:5], b"", intact[:20] + b"!" + intact[21:]):
            (self.folder / "state").write_bytes(corrupted)
            with self.assertRaisesRegex(ValueError, "spoilt"):
                file.read()
        file.write(b"three")
        with mock.patch.object(os, "fsync", side_effect=OSError(5, "I/O error")), self.assertRaises(OSError):
            file.write(b"four")
        self.assertIsNone(file.read(), "an older state would be mistaken for the current one")

    def test_stored_epoch_state_is_accepted_by_its_own_node_only(self) -> None:
        def make_epochs(name: str, memory: bytes | None) -> EpochMember:
            from collections import Counter

            names = (("n1", "n2", "n3"),)
            return EpochMember(
                name,
                2,
                lambda: names,
                EpochOptions(has_disk=True, first_start=memory is None),
                0,
                lambda data: "",
                Counter(),
                memory,
            )

        node = make_epochs("n1", None)
        out = node.receive("n2", 1, Prepare(1, (3, "n2", 1)), 0)
        kept = next(item.data for item in out if isinstance(item, SaveState))
        self.assertLess(out.index(SaveState(kept)), next(n for n, item in enumerate(out) if isinstance(item, Send)))
        restarted = make_epochs("n1", kept)
        self.assertEqual((restarted.memory_intact, restarted.register.promised), (True, (3, "n2", 1)))
        for name, data in (("n2", kept), ("n1", b"nonsense")):
            with self.assertRaises(ValueError):
                make_epochs(name, data)


if __name__ == "__main__":
    unittest.main()
