"""A settings reload by SIGHUP on real sockets: classes are added and removed, open requests keep their class, and an
invalid file changes nothing."""

from __future__ import annotations

import copy
import json
import os
import tempfile
import unittest
from typing import Any
from unittest import mock

from lemonway.admission_policy import Policy
from lemonway.interface import Arrival, RequestClass, Settings, Tenant
from lemonway.kit.pool import Plan
from lemonway.kit.stage import Stage
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


if __name__ == "__main__":
    unittest.main()
