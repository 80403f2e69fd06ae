"""A settings reload by SIGHUP on real sockets: classes are added and removed, open requests keep their class, and an
invalid file changes nothing."""

from __future__ import annotations

import copy
import json
import os
import tempfile
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

from lemonway.admission_policy import Policy
from lemonway.interface import Arrival, RequestClass, Settings, Tenant
from lemonway.kit.pool import Plan
from lemonway.kit.stage import Stage
from lemonway.net.program.config import read_config
from lemonway.settings import MAX_REQUEST_CLASSES, merge_settings


class Merging(unittest.TestCase):
    def test_classes_keep_their_indices(self) -> None:
        a, b, c = RequestClass(name="a"), RequestClass(name="b"), RequestClass(name="c", target_latency_ms=5.0)
        old = Settings(request_classes=[a, b], tenants=[Tenant("t", 1.0, 0.5), Tenant("u", 2.0, 0.5)])
        slower = RequestClass(name="b", target_latency_ms=9.0)
        for request_classes, expected, live in (
            ([b, a], [a, b], [0, 1]),
            ([slower], [a, slower], [1]),
            ([c, slower], [a, slower, c], [1, 2]),
        ):
            merged, indices = merge_settings(
                old, Settings(request_classes=request_classes, tenants=[Tenant("u", 3.0, 1.0), Tenant("v", 4.0, 0.0)])
            )
            self.assertEqual((merged.request_classes, indices), (expected, live))
            self.assertEqual([t.name for t in merged.tenants], ["t", "u", "v"])
        self.assertEqual(
            merge_settings(merge_settings(old, Settings(request_classes=[b]))[0], old)[1],
            [0, 1],
            "a removed class may be added again",
        )
        with self.assertRaises(ValueError):
            merge_settings(
                old, Settings(request_classes=[RequestClass(name=f"x{n}") for n in range(MAX_REQUEST_CLASSES)])
            )

    def test_the_policy_uses_the_active_classes(self) -> None:
        short, long = (
            RequestClass(name="a", target_latency_ms=100.0, deadline_ms=200.0),
            RequestClass(name="b", target_latency_ms=900.0, deadline_ms=999.0),
        )
        settings = Settings(request_classes=[short, long])
        policy = Policy(settings, 1)
        policy.step(0.0, [Arrival(id=1, class_index=0)])
        fresh, live = merge_settings(
            settings,
            Settings(
                request_classes=[
                    settings.request_classes[1],
                    RequestClass(name="c", target_latency_ms=500.0, deadline_ms=600.0),
                ]
            ),
        )
        policy.update_settings(fresh, live)
        self.assertEqual((policy.shortest_target_ms, policy.active_classes), (500.0, [1, 2]))
        policy.step(1.0, [Arrival(id=2, class_index=2), Arrival(id=3, class_index=1)])
        self.assertEqual(
            {len(t) for t in (policy.mean_work_ms, policy.calls_per_run, policy.offered_value, policy.served_value)},
            {3},
        )
        for now in range(2, 800, 50):
            policy.step(float(now), [])


class AtSighup(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = Stage()
        self.addCleanup(self.harness.close)
        self.file = tempfile.NamedTemporaryFile("w", suffix=".json")
        self.addCleanup(self.file.close)
        changed = mock.patch.dict(os.environ, {"EDGE_CONFIG": self.file.name, "EDGE_NAME": "", "EDGE_LISTEN": ""})
        changed.start()
        self.addCleanup(changed.stop)
        self.raw: dict[str, Any] = copy.deepcopy(self.harness.raw)

    def sighup(self, text: str | None = None) -> None:
        self.file.seek(0)
        self.file.truncate()
        self.file.write(json.dumps(self.raw) if text is None else text)
        self.file.flush()
        self.harness.node.reload()

    def configure_classes(self, *names: str) -> None:
        """Configure exactly these classes; a new one gets the values of ``busca``."""
        existing = {each["name"]: each for each in self.raw["settings"]["lanes"]}
        self.raw["settings"]["lanes"] = [existing.get(name) or {**existing["busca"], "name": name} for name in names]
        self.raw["settings"]["familyInfo"]["classCalls"] = [True] * len(names)
        self.raw["settings"]["familyInfo"]["classSkipWorth"] = [0.0] * len(names)

    def answer(self, router: Any, tag: int) -> str:
        self.harness.spin(lambda: tag in router.answers)
        return str(router.answers[tag][0])

    def test_classes_are_added_and_removed_on_open_connections(self) -> None:
        harness, router = self.harness, self.harness.router()
        harness.pool.plans["miniatura"] = Plan(held=True)
        harness.pool.plans["mapa"] = Plan()
        opened = router.call("miniatura", b"open")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        self.assertEqual(self.answer(router, router.call("mapa", b"x")), "ABORTED", "not configured yet")
        self.configure_classes("visualizador", "busca", "cadastro", "mapa")
        self.sighup()
        self.assertEqual(harness.node.core.counters["reloads_ok"], 1)
        self.assertEqual(self.answer(router, router.call("mapa", b"x")), "RESULT")
        self.assertEqual(self.answer(router, router.call("miniatura", b"x")), "ABORTED", "removed")
        self.assertEqual(self.answer(router, router.call("visualizador", b"x")), "RESULT")
        harness.pool.release("miniatura")
        self.assertEqual(self.answer(router, opened), "RESULT", "an open request keeps its class")
        self.assertEqual(router.answers[opened][2], b"miniatura|open")
        self.configure_classes("miniatura", "visualizador", "busca", "cadastro")
        self.sighup()
        self.assertEqual(self.answer(router, router.call("miniatura", b"back")), "RESULT")
        self.assertEqual(harness.node.core.counts_by_class["served"], [2, 1, 0, 0, 1])

    def test_a_try_after_its_class_was_renamed_gets_the_first_result(self) -> None:
        router, unique = self.harness.router(), "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
        first = router.call("cadastro", b"entry", unique=unique)
        self.assertEqual(self.answer(router, first), "RESULT")
        keyed = dict(self.raw["settings"]["lanes"][3], name="cadastro_new")
        self.configure_classes("miniatura", "visualizador", "busca", "cadastro_new")
        self.raw["settings"]["lanes"][3] = keyed
        self.sighup()
        again = router.call("cadastro_new", b"entry", unique=unique)
        self.assertEqual((self.answer(router, again), router.answers[again][2]), ("RESULT", b"cadastro|entry"))
        self.assertEqual(len(self.harness.pool.spawned), 1)

    def test_invalid_files_are_rejected_as_a_whole_and_counted(self) -> None:
        good = json.dumps(self.raw)
        router = self.harness.router()

        def without(*path: str | int) -> str:
            raw: Any = json.loads(good)
            at = raw
            for key in path[:-1]:
                at = at[key]
            del at[path[-1]]
            return json.dumps(raw)

        def deadline(value: Any) -> str:
            raw = json.loads(good)
            raw["settings"]["lanes"][0]["deadline"] = value
            return json.dumps(raw)

        odd: list[Any] = [0, -5, "soon", "300", None, True, [], float("nan"), float("inf")]
        bad = [
            "",
            good[: len(good) // 2],
            "[]",
            without("pool"),
            without("settings"),
            without("settings", "lanes"),
            without("settings", "lanes", 1, "deadline"),
            without("settings", "lanes", 1, "name"),
            without("settings", "lanes", 1, "effect"),
            without("settings", "lanes", 3, "effect"),
            without("settings", "lanes", 3, "memorySpan"),
            *map(deadline, odd),
        ]
        core = self.harness.node.core
        before = (core.settings, core.active_classes, self.harness.node.config)
        for n, text in enumerate(bad, 1):
            self.sighup(text)
            self.assertEqual(core.counters["reloads_failed"], n, text[-200:])
        self.assertEqual((core.settings, core.active_classes, self.harness.node.config), before)
        self.assertEqual(self.answer(router, router.call("busca", b"x")), "RESULT")
        self.sighup(good)
        self.assertEqual((core.counters["reloads_ok"], core.counters["reloads_failed"]), (1, len(bad)))

    def key_paths(self, value: Any, *path: str | int) -> Iterator[tuple[str | int, ...]]:
        """The path of every key of a configuration, at any depth."""
        for key, inner in value.items() if isinstance(value, dict) else enumerate(value):
            if isinstance(key, str):
                yield (*path, key)
            if isinstance(inner, dict | list):
                yield from self.key_paths(inner, *path, key)

    def test_a_file_that_lacks_any_key_of_the_file_in_force_is_rejected(self) -> None:
        """A default took the place of the value in force."""
        del self.raw["catalog"], self.raw["settings"]["lanes"][1]["memorySpan"]
        self.raw["settings"]["lanes"][0]["memorySpan"] = 24336.0  # a class that is not keyed may lack it
        self.harness.node.config = read_config(self.raw, {})
        node, core = self.harness.node, self.harness.node.core
        before = (core.settings, core.active_classes, node.config)
        may_lack = [("settings", "lanes", index, "memorySpan") for index in (0, 2)]
        paths = [path for path in self.key_paths(self.raw) if path not in may_lack]
        self.assertGreater(len(paths), 60)
        for number, path in enumerate(paths, 1):
            for value in (None, "absent"):
                with self.subTest(path=path, value=value):
                    raw = at = copy.deepcopy(self.raw)
                    for key in path[:-1]:
                        at = at[key]  # type: ignore[index]
                    del at[path[-1]]  # type: ignore[arg-type]
                    if value is None and path != ("announce",):
                        at[path[-1]] = None  # type: ignore[index]
                    with self.assertLogs("lemonway", "ERROR") as logs:
                        self.sighup(json.dumps(raw))
                    self.assertIn(f"{path[-1]}:", logs.output[0])
            self.assertEqual((core.counters["reloads_ok"], core.counters["reloads_failed"]), (0, 2 * number))
        self.assertEqual((core.settings, core.active_classes, node.config), before)
        for path in may_lack:
            del self.raw["settings"]["lanes"][path[2]]["memorySpan"]
        self.sighup()
        self.assertEqual(core.counters["reloads_ok"], 1)

    def test_an_added_class_or_tenant_needs_the_keys_that_all_others_have(self) -> None:
        core = self.harness.node.core
        self.configure_classes("miniatura", "visualizador", "busca", "cadastro", "mapa")
        self.raw["settings"]["tenants"].append({"name": "museu-novo", "share": 0.1, "quotaRps": 9.0})
        for number, (items, key) in enumerate((("lanes", "lateValue"), ("lanes", "worth"), ("tenants", "quotaRps")), 1):
            raw = copy.deepcopy(self.raw)
            del raw["settings"][items][-1][key]
            self.sighup(json.dumps(raw))
            self.assertEqual((core.counters["reloads_ok"], core.counters["reloads_failed"]), (0, number))
        self.sighup()
        self.assertEqual(core.counters["reloads_ok"], 1)

    def test_an_optional_address_is_removed_by_null_or_an_empty_string(self) -> None:
        core = self.harness.node.core
        for value in (None, ""):
            self.raw["announce"] = value
            self.sighup()
        self.assertEqual((core.counters["reloads_ok"], self.harness.node.announcer), (2, None))


class NoticeAfterReload(unittest.TestCase):
    def test_a_drain_keeps_the_kill_time_in_force_after_a_file_without_it(self) -> None:
        """The file was taken with a default of 5 s, and a drain planned its last answers for after the kill."""
        harness = Stage(stop_ms=1200)
        self.addCleanup(harness.close)
        harness.pool.plans["busca"].held = True
        router = harness.router()
        tag = router.call("busca", b"long")
        harness.spin(lambda: len(harness.pool.spawned) == 1)
        with tempfile.NamedTemporaryFile("w", suffix=".json") as file:
            json.dump({key: value for key, value in harness.raw.items() if key != "stop_ms"}, file)
            file.flush()
            environment = {"EDGE_CONFIG": file.name, "EDGE_NAME": "", "EDGE_LISTEN": ""}
            with mock.patch.dict(os.environ, environment):
                harness.node.reload()
        self.assertEqual(harness.node.core.counters["reloads_failed"], 1)
        with mock.patch.object(harness.node, "stop_reactor"):
            harness.node.drain()
            harness.spin(
                lambda: tag in router.answers or harness.node.event_loop.clock.now_us > harness.node.kill_at_us
            )
        self.assertIn(tag, router.answers)
        self.assertLess(harness.node.event_loop.clock.now_us, harness.node.kill_at_us)
        self.assertEqual(harness.node.config.stop_ms, 1200)


if __name__ == "__main__":
    unittest.main()
