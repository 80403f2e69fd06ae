"""Settings that change what the callers of a class are promised, while requests of the class run or have run."""

from __future__ import annotations

import json
import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from node_test_case import IDEMPOTENCY_KEY, NodeTestCase

from lemonway.kit.clients import RouterClient
from lemonway.kit.stage import Stage

KEYED_CLASS = 3  # index of cadastro in ``site_settings``
RESULT = ("RESULT", b"cadastro|entry")


class EffectChangeTestCase(NodeTestCase):
    def send_try(self, router: RouterClient, body: bytes = b"entry", **fields: str) -> int:
        return router.call("cadastro", body, 0, unique=IDEMPOTENCY_KEY, **fields)

    def answer(self, harness: Stage, router: RouterClient, tag: int) -> tuple[str, bytes]:
        harness.spin(lambda: tag in router.answers)
        return router.answers[tag][0], router.answers[tag][2]


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


if __name__ == "__main__":
    unittest.main()
