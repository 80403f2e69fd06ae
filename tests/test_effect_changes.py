"""Keyed requests whose class stops being keyed while they run or after: a further try within the window they arrived
with must not run. The settings reach the node by each way that it has: SIGHUP, policy, control group, upgrade."""

from __future__ import annotations

import json
import os
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from node_test_case import IDEMPOTENCY_KEY, NodeTestCase

from lemonway.control.resources import Operation, Put, Table
from lemonway.control.versions import NO_DIGEST, Proposed, version_of
from lemonway.interface import Effect, RequestClass, Settings
from lemonway.kit.clients import RouterClient
from lemonway.kit.faults.policy_day import PolicyFleet, settings_with
from lemonway.kit.pool import Plan
from lemonway.kit.stage import Stage, site_file, site_settings
from lemonway.net.program.keyfiles import KeyFiles
from lemonway.net.routing.configured import TableApplier
from lemonway.net.routing.former_keys import FormerKeyedClasses
from lemonway.net.routing.layered import LayeredSettings
from lemonway.net.routing.process_keys import ProcessKeys
from lemonway.net.transport.clock import Clock

KEYED_CLASS = 3  # index of cadastro in ``site_settings``
OTHER_EFFECTS = ("safe", "unsafe")
RESULT = ("RESULT", b"cadastro|entry")


def settings_with_effect(effect: str, window_ms: float = 24336.0, **family: Any) -> dict[str, Any]:
    settings = site_settings(**family)
    settings["lanes"][KEYED_CLASS] |= {"effect": effect, "memorySpan": window_ms}
    return settings


class EffectChangeTestCase(NodeTestCase):
    def reload(self, harness: Stage, settings: dict[str, Any]) -> None:
        harness.raw["settings"] = settings
        harness.node.apply_config(harness.open())

    def send_try(self, router: RouterClient, body: bytes = b"entry", **fields: str) -> int:
        return router.call("cadastro", body, 0, unique=IDEMPOTENCY_KEY, **fields)

    def answer(self, harness: Stage, router: RouterClient, tag: int) -> tuple[str, bytes]:
        harness.spin(lambda: tag in router.answers)
        return router.answers[tag][0], router.answers[tag][2]


class Reloads(EffectChangeTestCase):
    def test_a_repeat_of_an_ended_run_gets_its_result(self) -> None:
        """The case found: the repeat's key was dropped on reading, since its class was not keyed any more."""
        for effect in OTHER_EFFECTS:
            with self.subTest(effect):
                harness = self.start_harness(settings=settings_with_effect("keyed"))
                router = harness.router()
                self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT)
                self.reload(harness, settings_with_effect(effect, 0.0))
                self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT)
                self.assertEqual(len(harness.pool.spawned), 1)
                self.assertEqual(harness.node.core.counters["keys_still_owed"], 1)

    def test_a_repeat_of_a_failed_run_fails(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"))
        harness.pool.plans["cadastro"] = Plan(end="bad")
        router = harness.router()
        self.assertEqual(self.answer(harness, router, self.send_try(router))[0], "ABORTED")
        self.reload(harness, settings_with_effect("safe"))
        harness.pool.plans["cadastro"] = Plan()
        self.assertEqual(self.answer(harness, router, self.send_try(router)), ("ABORTED", b""))
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_a_repeat_of_an_open_run_waits_for_its_result(self) -> None:
        for effect in OTHER_EFFECTS:
            with self.subTest(effect):
                harness = self.start_harness(settings=settings_with_effect("keyed"))
                harness.pool.plans["cadastro"].held = True
                router = harness.router()
                first = self.send_try(router)
                harness.spin(lambda harness=harness: len(harness.pool.spawned) == 1)  # type: ignore[misc]
                self.reload(harness, settings_with_effect(effect, 0.0))
                repeat = self.send_try(router)
                harness.spin(lambda harness=harness: len(harness.node.core.records) == 2)  # type: ignore[misc]
                harness.spin_for(0.1)
                self.assertNotIn(repeat, router.answers)
                harness.pool.release("cadastro")
                self.assertEqual([self.answer(harness, router, tag) for tag in (first, repeat)], [RESULT, RESULT])
                self.assertEqual(len(harness.pool.spawned), 1)

    def test_a_repeat_of_a_queued_try_takes_its_place(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed", cores=1), cores=1)
        core, router = harness.node.core, harness.router()
        harness.pool.cpu = 1.0
        harness.pool.plans["busca"].held = True
        router.call("busca")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        first = self.send_try(router)
        harness.spin(lambda: len(core.records) == 2)
        self.assertEqual(core.counts_by_class["attempts"][KEYED_CLASS], 0, "it is queued")
        self.reload(harness, settings_with_effect("safe", cores=1))
        repeat = self.send_try(router)
        self.assertEqual(self.answer(harness, router, first)[0], "REJECT", "the repeat stands for it")
        harness.pool.plans["busca"].held = False
        harness.pool.release("busca")
        self.assertEqual(self.answer(harness, router, repeat), RESULT)
        self.assertEqual(core.counts_by_class["attempts"][KEYED_CLASS], 1)

    def test_a_repeat_with_another_body_fails(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"))
        router = harness.router()
        self.answer(harness, router, self.send_try(router))
        self.reload(harness, settings_with_effect("safe"))
        self.assertEqual(self.answer(harness, router, self.send_try(router, b"another")), ("ABORTED", b""))
        self.assertEqual((len(harness.pool.spawned), harness.node.core.counters["bad_keys"]), (1, 1))

    def test_a_repeat_after_the_window_runs_as_its_class_says_now(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed", 200.0))
        router, door = harness.router(), int(time.time() * 1000)
        self.answer(harness, router, self.send_try(router, door=str(door)))
        self.reload(harness, settings_with_effect("safe", 0.0))
        harness.spin(lambda: time.time() * 1000 > door + 500)
        self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT)
        counters = harness.node.core.counters
        self.assertEqual((len(harness.pool.spawned), counters["keys_ignored"], counters["keys_still_owed"]), (2, 1, 0))

    def test_requests_without_a_key_are_served_at_once(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"))
        router = harness.router()
        self.answer(harness, router, self.send_try(router))
        self.reload(harness, settings_with_effect("safe"))
        tags = [router.call("cadastro", b"entry"), router.call("cadastro", b"entry", unique="not a key")]
        self.assertEqual([self.answer(harness, router, tag) for tag in tags], [RESULT, RESULT])
        self.assertEqual(len(harness.pool.spawned), 3)

    def test_a_class_that_is_keyed_again_still_has_its_runs(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"))
        router = harness.router()
        self.answer(harness, router, self.send_try(router))
        for effect in ("safe", "keyed", "unsafe"):
            self.reload(harness, settings_with_effect(effect, 100.0))
            self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT, effect)
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_a_renamed_class_that_is_not_keyed_gets_the_first_result(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"))
        router = harness.router()
        self.answer(harness, router, self.send_try(router))
        settings = settings_with_effect("safe")
        settings["lanes"][KEYED_CLASS]["name"] = "registo"
        self.reload(harness, settings)
        repeat = router.call("registo", b"entry", unique=IDEMPOTENCY_KEY)
        self.assertEqual(self.answer(harness, router, repeat), RESULT)
        self.assertEqual(len(harness.pool.spawned), 1)

    def test_a_waiting_repeat_is_answered_before_the_end_of_a_drain(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"), stop_ms=1200.0)
        harness.pool.plans["cadastro"].held = True
        router = harness.router()
        self.send_try(router)
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        self.reload(harness, settings_with_effect("safe"))
        repeat = self.send_try(router)
        harness.spin(lambda: len(harness.node.core.records) == 2)
        with mock.patch.object(harness.node, "stop_reactor"):
            harness.node.drain()
            self.assertEqual(self.answer(harness, router, repeat), ("ABORTED", b""), "it may not be refused")
            self.assertLess(harness.node.event_loop.clock.now_us, harness.node.kill_at_us)

    def test_a_uwsgi_repeat_gets_the_first_result(self) -> None:
        harness = self.start_harness(settings=settings_with_effect("keyed"), uwsgi=site_file())
        web = harness.web()
        first = web.get("/cadastro", b"entry", HTTP_IDEMPOTENCY_KEY="order-1")
        harness.settle()
        self.reload(harness, settings_with_effect("safe"))
        repeat = web.get("/cadastro", b"entry", HTTP_IDEMPOTENCY_KEY="order-1")
        without_key = web.get("/cadastro", b"entry")
        harness.settle()
        self.assertEqual([web.answers[number][0] for number in (first, repeat, without_key)], [200, 200, 200])
        self.assertEqual((web.answers[repeat][2], len(harness.pool.spawned)), (b"cadastro|entry", 2))


class Sighup(EffectChangeTestCase):
    def test_a_file_that_lacks_the_effect_of_a_keyed_class_changes_nothing(self) -> None:
        """With a default the class became ``safe``, and a further try of a request that had run was run again."""
        for key in ("effect", "memorySpan"):
            with self.subTest(key), tempfile.TemporaryDirectory() as folder:
                harness = self.start_harness()
                router = harness.router()
                self.answer(harness, router, self.send_try(router))
                del harness.raw["settings"]["lanes"][KEYED_CLASS][key]
                path = Path(folder, "config.json")
                path.write_text(json.dumps(harness.raw))
                environment = {"EDGE_CONFIG": str(path), "EDGE_NAME": "", "EDGE_LISTEN": ""}
                with mock.patch.dict(os.environ, environment), self.assertLogs("lemonway", "ERROR") as logs:
                    harness.node.reload()
                self.assertIn(f"{path}: settings: lanes.{KEYED_CLASS}.{key}: ", logs.output[0])
                counters = harness.node.core.counters
                self.assertEqual((counters["reloads_ok"], counters["reloads_failed"]), (0, 1))
                self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT)
                self.assertEqual(len(harness.pool.spawned), 1)


class Policy(unittest.TestCase):
    def test_a_change_of_the_fleets_policy_keeps_a_request_to_one_run_among_all_nodes(self) -> None:
        """The first try runs on one node, the repeat reaches another one that has never seen the key."""
        with tempfile.TemporaryDirectory() as folder:
            fleet = PolicyFleet(3, Path(folder))
            self.addCleanup(fleet.close)
            fleet.start()
            fleet.wait_until(lambda: fleet.all_serve("mark0"), step=0.02)
            for number in range(6):
                fleet.ask("n1", f"key {number}")
            fleet.wait_for_answers()
            patch = settings_with("mark1", patch=True)
            patch["lanes"][KEYED_CLASS]["effect"] = "safe"
            self.assertEqual(fleet.wait_for_outcome(fleet.propose("n2", "mark1", patch)), "committed")
            fleet.wait_until(lambda: fleet.all_serve("mark1"), step=0.02)
            for number in range(6):
                for name in fleet.names:
                    fleet.ask(name, f"key {number}")
            fleet.wait_for_answers()
            calls = fleet.history.calls
            self.assertEqual({call.word for call in calls}, {"SERVED"})
            runs = [run for run in fleet.history.runs if run.key.startswith("key ")]
            self.assertEqual(sorted(run.key for run in runs), [f"key {number}" for number in range(6)])


class ControlGroup(EffectChangeTestCase):
    def test_a_version_that_changes_the_effect_keeps_requests_from_running_again(self) -> None:
        harness = self.start_harness()
        node, table = harness.node, Table()
        layered = LayeredSettings(node.config.raw_settings, node.config.settings)
        applier = TableApplier(node.core, layered, node.core.validate_settings, node.apply_settings)
        node.apply_settings(layered.settings, layered.active_class_indexes, layered.tenant_indexes)
        router = harness.router()
        self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT)
        value = {"aim": 1600, "deadline": 3000, "effect": "safe", "memorySpan": 0}
        operations: list[Operation] = [Put("class", "cadastro", json.dumps(value).encode())]
        table.apply(operations)
        version = version_of(Proposed(0, NO_DIGEST, tuple(operations)), 1, "v1", 0)
        self.assertEqual(applier.apply(version, table), "")
        self.assertIs(node.core.settings.request_classes[KEYED_CLASS].effect, Effect.SAFE)
        self.assertEqual(self.answer(harness, router, self.send_try(router)), RESULT)
        self.assertEqual(len(harness.pool.spawned), 1)


class Upgrade(EffectChangeTestCase):
    def test_a_new_process_whose_class_is_not_keyed_repeats_no_run_of_the_old_one(self) -> None:
        """The new process has never had the class as keyed: it goes by the old one's claim."""
        for effect in OTHER_EFFECTS:
            for held in (False, True):
                with self.subTest(effect=effect, held=held), tempfile.TemporaryDirectory() as folder:
                    old = self.start_harness(settings=settings_with_effect("keyed"))
                    new = self.start_harness(settings=settings_with_effect(effect, 0.0))
                    for harness, pid in ((old, os.getpid()), (new, os.getppid())):
                        ProcessKeys(harness.node.core, KeyFiles(folder, pid)).start()
                    old.pool.plans["cadastro"].held = held
                    old_router, new_router = old.router("old"), new.router("new")
                    first = self.send_try(old_router)
                    old.spin(lambda old=old: len(old.pool.spawned) == 1)  # type: ignore[misc]
                    if not held:
                        old.settle()
                    repeat = self.send_try(new_router)
                    new.spin_for(0.1)
                    old.pool.release("cadastro")
                    self.assertEqual(self.answer(old, old_router, first), RESULT)
                    self.assertEqual(self.answer(new, new_router, repeat), RESULT)
                    self.assertEqual((len(old.pool.spawned), len(new.pool.spawned)), (1, 0))


class OwedWindows(unittest.TestCase):
    def setUp(self) -> None:
        self.now_ns = 0
        self.clock = Clock(lambda: self.now_ns, lambda: self.now_ns)
        self.classes = FormerKeyedClasses(self.clock)

    def replace_settings(self, at_ms: int, effect: Effect, window_ms: float) -> None:
        self.now_ns = at_ms * 1_000_000
        self.clock.update()
        settings = Settings(request_classes=[RequestClass(effect=effect, idempotency_window_ms=window_ms)], tick_ms=5.0)
        self.classes.settings_replaced(settings)

    def test_of_several_changes_the_longest_window_is_owed(self) -> None:
        self.assertIsNone(self.classes.owed_window_ms(0, 0))
        self.replace_settings(0, Effect.KEYED, 1000.0)
        self.replace_settings(100, Effect.KEYED, 50.0)
        self.replace_settings(200, Effect.SAFE, 9000.0)
        self.assertEqual(self.classes.owed_window_ms(0, 1_005_000), 1000.0)
        self.assertIsNone(self.classes.owed_window_ms(0, 1_005_001))
        self.replace_settings(2000, Effect.KEYED, 50.0)
        self.assertEqual(self.classes.owed_window_ms(0, 2_055_000), 50.0, "the longer one has ended")
        self.assertIsNone(self.classes.owed_window_ms(1, 0))


if __name__ == "__main__":
    unittest.main()
