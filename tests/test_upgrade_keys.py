"""Keyed tries that reach both processes of a node during an upgrade run once and are not refused after the run."""

from __future__ import annotations

import multiprocessing
import os
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path
from typing import Any
from unittest import mock

from lemonway import interface as api
from lemonway.kit.pool import Plan
from lemonway.kit.stage import Stage
from lemonway.net.program.keyfiles import MAX_RESULT_BYTES, KeyFiles
from lemonway.net.routing.idempotency import body_digest
from lemonway.net.routing.process_keys import ProcessKeys

IDEMPOTENCY_KEY = "5c0f6e1a2b3d4c59a8b7c6d5e4f30211"
FAR_FUTURE_US = 1 << 60


def ended_pid() -> int:
    """The pid of a process that has ended."""
    ended = subprocess.Popen([sys.executable, "-c", ""])
    ended.wait()
    return ended.pid


class TwoProcesses(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name
        self.old, self.new = Stage(), Stage()
        self.addCleanup(self.new.close)
        self.addCleanup(self.old.close)
        self.gates = [self.share_keys(self.old, os.getpid()), self.share_keys(self.new, os.getppid())]

    def share_keys(self, harness: Stage, pid: int) -> ProcessKeys:
        gate = ProcessKeys(harness.node.core, KeyFiles(self.folder, pid))
        gate.start()
        return gate

    def ask(self, harness: Stage, body: bytes = b"entry", idempotency_key: str = IDEMPOTENCY_KEY) -> tuple[Any, int]:
        router = harness.router(f"r{time.monotonic_ns()}")
        return router, router.call("cadastro", body, unique=idempotency_key)

    def answer_to(self, request: tuple[Any, int]) -> tuple[str, bytes]:
        router, tag = request
        self.old.spin(lambda: tag in router.answers)
        return router.answers[tag][0], router.answers[tag][2]

    def spawn_count(self) -> int:
        return len(self.old.pool.spawned) + len(self.new.pool.spawned)

    def test_a_try_gets_the_outcome_of_the_run_in_the_other_process(self) -> None:
        large = b"x" * (MAX_RESULT_BYTES + 1)
        for plan, body, old_verdict, new_answer in (
            (Plan(), b"entry", "RESULT", ("RESULT", b"cadastro|entry")),
            (Plan(end="bad"), b"bad", "ABORTED", ("ABORTED", b"")),
        ):
            with self.subTest(body):
                self.old.pool.plans["cadastro"] = plan
                idempotency_key = f"{len(body):032x}"
                self.assertEqual(self.answer_to(self.ask(self.old, body, idempotency_key))[0], old_verdict)
                self.assertEqual(self.answer_to(self.ask(self.new, body, idempotency_key)), new_answer)
        store = KeyFiles(self.folder, os.getpid())
        self.assertTrue(store.claim("large", b"d" * 16, FAR_FUTURE_US, 0))
        store.record_result("large", True, large)
        found = KeyFiles(self.folder, os.getppid()).lookup("large")
        assert found is not None
        self.assertEqual(
            (found.succeeded, found.body), (False, b""), "duplicates fail if the result is too large to share"
        )
        self.assertEqual(self.new.pool.spawned, [])

    def test_the_claims_of_a_killed_process_with_the_same_pid_are_known(self) -> None:
        """They were taken for this process's own, so a repeat failed though its first try was served."""
        killed, started = KeyFiles(self.folder, 7), KeyFiles(self.folder, 7)
        for key in ("ended", "running"):
            self.assertTrue(killed.claim(key, b"d" * 16, FAR_FUTURE_US, 0))
        killed.record_result("ended", True, b"result")
        runs = [started.lookup(key) for key in ("ended", "running")]
        self.assertEqual([(run.succeeded, run.body) for run in runs if run], [(True, b"result"), (False, b"")])

    def test_a_try_waits_for_the_other_process_outside_the_admission_policy(self) -> None:
        self.old.pool.plans["cadastro"] = Plan(held=True)
        first = self.ask(self.old)
        self.old.spin(lambda: self.spawn_count() == 1)
        second = self.ask(self.new)
        self.new.spin(lambda: self.new.node.core.counters["upgrade_held"] == 1)
        self.new.spin_for(0.1)
        self.assertEqual((second[1] in second[0].answers, self.new.node.core.in_flight), (False, 1))
        policy = self.new.node.core.policy
        assert policy is not None
        self.assertEqual(len(policy.in_flight), 0)
        self.old.pool.release("cadastro")
        self.assertEqual(self.answer_to(first), ("RESULT", b"cadastro|entry"))
        self.assertEqual(self.answer_to(second), ("RESULT", b"cadastro|entry"))
        self.assertEqual((self.spawn_count(), self.new.node.core.idle), (1, True))

    def test_a_run_lost_with_its_process_fails_and_is_not_repeated(self) -> None:
        for digest, bad_keys in ((body_digest(b"entry"), 0), (body_digest(b"another body"), 1)):
            KeyFiles(self.folder, ended_pid()).claim(idempotency_key := f"{bad_keys:032x}", digest, FAR_FUTURE_US, 0)
            self.assertEqual(self.answer_to(self.ask(self.new, b"entry", idempotency_key)), ("ABORTED", b""))
            self.assertEqual(self.new.node.core.counters["bad_keys"], bad_keys)
        self.assertEqual((self.spawn_count(), self.new.node.core.counters["upgrade_replays"]), (0, 1))

    def test_a_claim_goes_by_the_arrival_time_of_its_try(self) -> None:
        """A try that arrived within another claim's window and is admitted after it must not run."""
        router, arrivals_us = self.new.router("late"), list[int]()

        def claim(key: str, digest: bytes, expires_at_us: int, arrived_at_us: int) -> bool:
            arrivals_us.append(arrived_at_us)
            return True

        with mock.patch.object(self.gates[1].store, "claim", claim):
            arrival_ms = time.time_ns() // 1_000_000 - 500
            tag = router.call("cadastro", b"entry", unique=IDEMPOTENCY_KEY, door=str(arrival_ms))
            self.assertEqual(self.answer_to((router, tag))[0], "RESULT")
        self.assertEqual(len(arrivals_us), 1)
        self.assertLessEqual(abs(arrivals_us[0] // 1000 - arrival_ms), 5)

    def test_a_refusal_is_not_sent_once_the_key_has_run_in_the_other_process(self) -> None:
        self.new.pool.plans["cadastro"] = Plan(held=True)
        core = self.new.node.core
        admit_handler = core._action_handlers[api.Admit]
        core._action_handlers[api.Admit] = lambda action: None  # admitted, but not started
        second = self.ask(self.new)
        self.new.spin(lambda: len(core.records) == 1)
        ident = next(iter(core.records))
        self.assertEqual(self.answer_to(self.ask(self.old))[0], "RESULT")
        core._action_handlers[api.Admit] = admit_handler
        core.event_loop.begin_iteration()
        core._refuse(api.Refuse(ident))
        self.assertEqual(self.answer_to(second), ("RESULT", b"cadastro|entry"))
        self.assertEqual(core.counters["refused"], 0)

    def test_simultaneous_tries_run_once(self) -> None:
        for plan in (self.old.pool.plans, self.new.pool.plans):
            plan["cadastro"] = Plan(seconds=0.05)
        requests = [self.ask(harness) for harness in (self.old, self.new, self.old, self.new)]
        self.assertEqual({self.answer_to(pending) for pending in requests}, {("RESULT", b"cadastro|entry")})
        self.assertEqual(self.spawn_count(), 1)

    def test_a_run_that_never_started_releases_its_key(self) -> None:
        self.old.pool.strangers.add(b"entry")
        self.answer_to(self.ask(self.old))
        self.assertEqual(self.answer_to(self.ask(self.new)), ("RESULT", b"cadastro|entry"))

    def test_a_draining_process_answers_tries_that_wait_for_the_other_process(self) -> None:
        self.old.pool.plans["cadastro"] = Plan(held=True)
        self.ask(self.old)
        self.old.spin(lambda: self.spawn_count() == 1)
        second = self.ask(self.new)
        self.new.spin(lambda: self.new.node.core.counters["upgrade_held"] == 1)
        self.new.node.core.drain(600.0)
        self.assertEqual(self.answer_to(second)[0], "ABORTED", "a key that runs in the other process is not refused")
        self.assertEqual(self.new.node.core.counters["answered_by_guard"], 0)


def claim_keys(folder: str, count: int, start: Any, out: Any) -> None:
    store = KeyFiles(folder, os.getpid())
    start.wait()
    out.put([n for n in range(count) if store.claim(f"k{n}", b"d" * 16, FAR_FUTURE_US, 0)])


class KeyFileTest(unittest.TestCase):
    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def test_one_of_several_processes_claims_a_key(self) -> None:
        context = multiprocessing.get_context("spawn")
        start, out = context.Event(), context.Queue()
        processes = [context.Process(target=claim_keys, args=(self.folder, 300, start, out)) for _ in range(3)]
        for process in processes:
            process.start()
        start.set()
        claimed = [out.get(timeout=30) for _ in processes]
        for process in processes:
            process.join()
        self.assertEqual(sorted(n for keys in claimed for n in keys), list(range(300)))

    def test_an_expired_claim_is_replaced_and_a_live_one_is_not(self) -> None:
        old, new = KeyFiles(self.folder, os.getpid()), KeyFiles(self.folder, os.getppid())
        for window_end_us, now, expected in ((100, 101, True), (100, 100, False)):
            key = f"k{now}"
            self.assertTrue(old.claim(key, b"d" * 16, window_end_us, 0))
            self.assertEqual(new.claim(key, b"e" * 16, 900, now), expected)

    def test_expired_claims_are_removed_by_their_owner_or_by_a_sweep(self) -> None:
        own_store, other_store = KeyFiles(self.folder, os.getpid()), KeyFiles(self.folder, ended_pid())
        for store in (own_store, other_store):
            store.claim(f"k{store.pid}", b"d" * 16, 5, 0)
        other_store.claim("live", b"d" * 16, FAR_FUTURE_US, 0)
        own_store.purge(60_000_000)
        for path in Path(self.folder).iterdir():
            os.utime(path, (0, 0))
        own_store.sweep()
        self.assertEqual(len(list(Path(self.folder).iterdir())), 1)
        self.assertIsNotNone(own_store.lookup("live"))

    def test_an_unwritable_folder_disables_only_the_sharing(self) -> None:
        store = KeyFiles(os.path.join(self.folder, "missing"), os.getpid())
        with self.assertLogs("lemonway.net.program.keyfiles", "ERROR") as logs:
            self.assertTrue(all(store.claim(f"k{n}", b"d" * 16, FAR_FUTURE_US, 0) for n in range(9)))
        self.assertEqual((store.fault_count, len(logs.output)), (9, 3))
        self.assertIsNone(store.lookup("k1"))


if __name__ == "__main__":
    unittest.main()
