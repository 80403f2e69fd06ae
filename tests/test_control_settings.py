"""Versions of the control group on a node's settings: applied atomically, at a cost that depends on their size only."""

from __future__ import annotations

import json
import unittest
from typing import Any
from unittest import mock

from lemonway.admission_policy import Policy
from lemonway.control.resources import Delete, Operation, Put, Table
from lemonway.control.versions import NO_DIGEST, Proposed, Version, version_of
from lemonway.interface import Effect, Settings, Tenant
from lemonway.kit.stage import Stage, site_settings
from lemonway.net.program.config import read_checked_settings
from lemonway.net.routing.configured import TableApplier
from lemonway.net.routing.layered import LayeredSettings
from lemonway.net.routing.resources import LIMIT_NAMES, InvalidResource, check_resource, invalid_reason, read_tenant
from lemonway.settings import MAX_REQUEST_CLASSES


def put(kind: str, name: str, /, **value: Any) -> Put:
    return Put(kind, name, json.dumps(value).encode())


def limit(name: str, value: Any) -> Put:
    return Put("limit", name, json.dumps(value).encode())


READ_TENANT = "lemonway.net.routing.layered.read_tenant"
EXTRA_CLASS = put("class", "extra", aim=900, deadline=1800, effect="keyed", memorySpan=5000, calls=True)


class ResourceTests(unittest.TestCase):
    def test_errors_of_invalid_resources_give_their_name_and_the_reason(self) -> None:
        for operation, expected in (
            (put("class", "c", aim=1), "deadline"),
            (put("class", "c", aim=0, deadline=1), "aim"),
            (put("class", "c", aim=1, deadline=1, effect="odd"), "effect"),
            (put("class", "c", aim=1, deadline=1), "effect: missing"),
            (put("class", "c", aim=1, deadline=1, effect="keyed"), "memorySpan: missing"),
            (put("class", "c", aim=1, deadline=1, effect="safe", colour=1), "colour"),
            (put("class", "c", aim=1, deadline=1, effect="safe", name="d"), "differs from the name"),
            (put("tenant", "t", quotaRps="many"), "quotaRps"),
            (put("route", "/r", **{"class": 5}), "class"),
            (limit("familyInfo.cores", 4), "each machine's own"),
            (limit("familyInfo.classCalls", True), "no setting"),
            (limit("tick", 4), "no setting"),
            (limit("rules.coldFrom", 7), "cold_capacity_share"),
            (limit("ceilings.retryAfter", "perhaps"), "true or false"),
            (limit("rules.cold", [1]), "a number"),
            (limit("rules.cold", 1e999), "cold"),
        ):
            with self.subTest(expected), self.assertRaises(InvalidResource) as caught:
                check_resource(operation)
            self.assertIn(expected, str(caught.exception))
            self.assertIn(f"{operation.kind} {operation.name}", str(caught.exception))
            self.assertEqual(invalid_reason([put("tenant", "good"), operation]), str(caught.exception))
        self.assertEqual(invalid_reason([EXTRA_CLASS, Delete("limit", "whatever"), put("route", "/r", more=[1])]), "")

    def test_limits_include_fleet_settings_and_exclude_machine_settings(self) -> None:
        self.assertIn("ceilings.maxRetryAfter", LIMIT_NAMES)
        self.assertIn("rules.overloadFor", LIMIT_NAMES)
        self.assertIn("familyInfo.callerIdle", LIMIT_NAMES)
        self.assertFalse({"familyInfo.cores", "familyInfo.meters", "tick", "lanes.count"} & LIMIT_NAMES)


class TableInForceTests(unittest.TestCase):
    """Versions applied to a core that has its admission policy, without connections."""

    def setUp(self) -> None:
        self.harness = Stage()
        self.addCleanup(self.harness.close)
        self.node = self.harness.node
        self.core = self.node.core
        self.file_settings = read_checked_settings(self.node.config.raw_settings)
        layered = LayeredSettings(self.node.config.raw_settings, self.file_settings)
        self.in_force = TableApplier(self.core, layered, self.core.validate_settings, self.node.apply_settings)
        self.node.apply_settings(layered.settings, layered.active_class_indexes, layered.tenant_indexes)
        self.table = Table()
        self.number, self.digest = 0, NO_DIGEST

    @property
    def layered(self) -> LayeredSettings:
        return self.in_force.layered

    @property
    def policy(self) -> Policy:
        assert self.core.policy is not None
        return self.core.policy

    def apply_change(self, *operations: Operation) -> str:
        version: Version = version_of(Proposed(self.number, self.digest, operations), self.number + 1, "v1", 0)
        self.number, self.digest = version.number, version.digest
        self.table.apply(operations)
        return self.in_force.apply(version, self.table)

    def replace_table(self, table: Table) -> str:
        self.table = table
        return self.in_force.apply(None, table)

    def teams(self) -> dict[str, Tenant]:
        """Returns the tenants that requests may name, as the admission policy has them."""
        names = self.node.router_factory.names
        return {name.decode(): self.policy.settings.tenants[index] for name, index in names.tenant_indexes.items()}

    def test_a_tenant_change_is_applied_in_place(self) -> None:
        names, settings = self.node.router_factory.names, self.core.settings
        self.assertEqual(
            self.apply_change(put("tenant", "novo", quotaRps=5), put("tenant", "museu-grande", quotaRps=9)), ""
        )
        self.assertIs(self.node.router_factory.names, names, "connections share the table of names")
        self.assertIs(self.core.settings, settings)
        self.assertEqual((self.teams()["novo"].quota_rps, self.teams()["museu-grande"].quota_rps), (5, 9))
        self.assertEqual(len(self.policy.tenant_rates), 5, "the admission policy has a rate for the new tenant")
        self.assertEqual([tenant.name for tenant in self.file_settings.tenants][0], "museu-grande")
        self.assertEqual(self.file_settings.tenants[0].quota_rps, 0, "the settings of the file are unchanged")
        self.apply_change(Delete("tenant", "novo"), Delete("tenant", "museu-grande"))
        self.assertNotIn("novo", self.teams())
        self.assertEqual(self.teams()["museu-grande"].quota_rps, 0, "as in the node's own file")
        self.apply_change(put("tenant", "outro"))
        self.assertEqual(len(self.core.settings.tenants), 5, "a freed index is reused")

    def test_classes_and_limits_are_applied_and_removed(self) -> None:
        self.assertEqual(
            self.apply_change(EXTRA_CLASS, limit("ceilings.maxRetryAfter", 250), put("tenant", "novo")), ""
        )
        self.assertEqual(
            (self.policy.settings.max_retry_after_ms, self.policy.settings.request_classes[4].effect),
            (250, Effect.KEYED),
        )
        self.assertEqual(self.node.router_factory.names.class_indexes[b"extra"], 4)
        self.assertIn("novo", self.teams(), "tenants survive a change of classes")
        self.apply_change(put("class", "busca", aim=5, deadline=50))
        self.assertEqual(
            (
                self.policy.settings.request_classes[2].target_latency_ms,
                self.policy.settings.request_classes[2].makes_calls,
            ),
            (5, True),
            "makes_calls is as in the file",
        )
        self.apply_change(Delete("class", "extra"), Delete("class", "busca"), Delete("limit", "ceilings.maxRetryAfter"))
        self.assertEqual(
            (self.policy.settings.max_retry_after_ms, self.policy.settings.request_classes[2].target_latency_ms),
            (1000, 1600),
        )
        self.assertNotIn(b"extra", self.node.router_factory.names.class_indexes)
        self.assertEqual(self.core.active_classes, [0, 1, 2, 3], "its index is kept for requests in flight")

    def test_a_class_without_an_effect_is_as_in_the_file(self) -> None:
        """Older voters accept such a class; a default effect would turn a keyed class into a safe one."""
        self.assertEqual(self.apply_change(put("class", "cadastro", aim=5, deadline=50)), "")
        changed = self.policy.settings.request_classes[3]
        self.assertEqual(
            (changed.target_latency_ms, changed.effect, changed.idempotency_window_ms), (5, Effect.KEYED, 24336)
        )
        self.assertEqual(self.apply_change(put("class", "novo", aim=5, deadline=50)), "")
        self.assertIs(self.policy.settings.request_classes[4].effect, Effect.SAFE, "no file knows this class")

    def test_a_version_that_cannot_be_applied_changes_nothing_until_a_later_one_repairs_it(self) -> None:
        too_many_classes = [put("class", f"c{n}", aim=1, deadline=2) for n in range(MAX_REQUEST_CLASSES)]
        self.assertIn("classes in this process's life", self.apply_change(put("tenant", "novo"), *too_many_classes))
        self.assertNotIn("novo", self.teams())
        self.assertEqual(len(self.core.settings.request_classes), 4)
        self.assertEqual(self.apply_change(*[Delete("class", f"c{n}") for n in range(MAX_REQUEST_CLASSES)]), "")
        self.assertIn("novo", self.teams(), "the rejected operations are applied with it")
        with mock.patch.object(self.in_force, "check", side_effect=ValueError("a longer window")):
            self.assertEqual(self.apply_change(EXTRA_CLASS), "a longer window")
            self.assertEqual(
                self.apply_change(put("tenant", "outro")), "a longer window", "the earlier operation still fails"
            )
            for quota in range(1, 20):
                self.apply_change(put("tenant", "outro", quotaRps=quota))
            self.assertEqual(len(self.in_force._rejected), 2, "only the latest operation of a resource is retained")
        self.assertEqual(self.apply_change(Delete("class", "extra")), "")
        self.assertEqual(self.teams()["outro"].quota_rps, 19)

    def test_a_whole_table_decodes_only_the_entries_that_differ(self) -> None:
        self.apply_change(*[put("tenant", f"t{n}", quotaRps=n) for n in range(50)])
        table = Table()
        table.apply([*self.table.resources(), put("tenant", "t7", quotaRps=70), Delete("tenant", "t8"), EXTRA_CLASS])
        with mock.patch(READ_TENANT, wraps=read_tenant) as read_calls:
            self.assertEqual(self.replace_table(table), "")
        self.assertEqual(read_calls.call_count, 1)
        self.assertEqual((self.teams()["t7"].quota_rps, "t8" in self.teams(), len(self.teams())), (70, False, 53))
        self.assertIn(b"extra", self.node.router_factory.names.class_indexes)

    def test_the_cost_of_a_change_does_not_depend_on_the_number_of_tenants(self) -> None:
        counts = []
        for size in (10, 1000):
            self.apply_change(*[put("tenant", f"s{size}-{n}") for n in range(size)])
            with (
                mock.patch(READ_TENANT, wraps=read_tenant) as read_calls,
                mock.patch.object(Settings, "__post_init__", autospec=True) as validated,
            ):
                self.apply_change(put("tenant", f"s{size}-3", quotaRps=4))
            counts.append((read_calls.call_count, validated.call_count))
        self.assertEqual(counts, [(1, 0)] * 2)

    def test_reloading_the_file_keeps_the_table_on_top_and_every_tenant_index(self) -> None:
        self.apply_change(put("tenant", "a", quotaRps=1), put("tenant", "b", quotaRps=2), EXTRA_CLASS)
        self.apply_change(Delete("tenant", "a"))
        indexes, raw = dict(self.layered.tenant_indexes), site_settings()
        raw["tenants"] = [*raw["tenants"][1:], {"name": "proprio", "quotaRps": 3}]
        raw["lanes"][0]["aim"] = 1234
        layered = LayeredSettings(raw, read_checked_settings(raw), self.layered)
        layered.apply_table(self.table, self.core.validate_settings)
        self.in_force.replace_node_settings(layered)
        self.assertEqual(self.policy.settings.request_classes[0].target_latency_ms, 1234)
        self.assertEqual(set(self.teams()), {"casa-memoria", "pinacoteca-sul", "museu-sertao", "proprio", "b"})
        self.assertEqual(self.layered.tenant_indexes[b"b"], indexes[b"b"])
        self.assertIn(b"extra", self.node.router_factory.names.class_indexes)
        self.apply_change(put("tenant", "b", quotaRps=7))
        self.assertEqual(self.teams()["b"].quota_rps, 7, "later changes apply to the reloaded settings")


if __name__ == "__main__":
    unittest.main()
