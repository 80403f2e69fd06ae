"""Unit tests of the control group without sockets. Invalid input must close only its own connection and be counted."""

from __future__ import annotations

import random
import unittest
from collections import Counter, deque
from collections.abc import Callable, Sequence
from dataclasses import replace
from typing import Any, TypeVar

import msgspec

from lemonway.control import messages
from lemonway.control.agent import Agent
from lemonway.control.lease import NEVER, Lease
from lemonway.control.proposals import QueueFull
from lemonway.control.publisher import Publisher
from lemonway.control.relay import Relay
from lemonway.control.replica import Replica
from lemonway.control.resources import MAX_VALUE_BYTES, Delete, Operation, Put, ResourceError, Table, check_operations
from lemonway.control.selection import Selection, rendezvous_order
from lemonway.control.snapshot import Assembly, Snapshot
from lemonway.control.store import StoredConfiguration, StoreError, decode_store, encode_table, encode_version
from lemonway.control.subscriber import WatchState
from lemonway.control.subscription import SubscriptionState
from lemonway.control.terms import SECOND, AgentTerms, PublishTerms, VoterTerms, WatchTerms
from lemonway.control.versions import NO_DIGEST, Proposed, Version, VersionLog, version_of
from lemonway.control.voter import Contents, VoteError, Voter
from lemonway.epochs.messages import Accepted, Change, CheckReply, Log, Promise

MS = 1000
T = TypeVar("T")


def put(name: str, value: str = "1") -> Put:
    return Put("tenant", name, value.encode())


def chain(count: int, first: int = 1) -> list[Version]:
    """A chain of versions from version 0 on; version n puts tenant ``tn``."""
    versions: list[Version] = []
    number, digest = 0, NO_DIGEST
    for each in range(first, first + count):
        versions.append(version_of(Proposed(number, digest, (put(f"t{each}"),)), each, "v0", 0))
        number, digest = each, versions[-1].digest
    return versions


def replica_at(versions: Sequence[Version], most: int = 1 << 30) -> Replica:
    replica = Replica(most)
    for version in versions:
        replica.apply(version)
    return replica


def of_type(kind: type[T], outputs: Sequence[object]) -> list[T]:
    return [each for each in outputs if isinstance(each, kind)]


def upstream_messages(outputs: Sequence[object]) -> list[object]:
    return [each.message for each in of_type(messages.SendToPublisher, outputs)]


def messages_to(link: int, outputs: Sequence[object]) -> list[Any]:
    return [each.message for each in of_type(messages.SendToSubscriber, outputs) if each.link == link]


class ResourcesTest(unittest.TestCase):
    def test_invalid_operations_are_rejected(self) -> None:
        for operation, reason in (
            (Put("lane", "a", b"1"), "kind"),
            (Put("class", "", b"1"), "name"),
            (Delete("class", "x" * 257), "name"),
            (Put("class", "a", b"{"), "not JSON"),
            (Put("class", "a", b"[" * 16_000), "not JSON"),
            (Put("class", "a", b'"' + b"x" * MAX_VALUE_BYTES + b'"'), "at most"),
        ):
            with self.assertRaisesRegex(ResourceError, f"operations.1.*{reason}"):
                check_operations((put("good"), operation))

    def test_content_digest_does_not_depend_on_history(self) -> None:
        first_table, second_table = Table(), Table()
        first_table.apply([put("a"), put("b"), put("a", "2"), put("c"), Delete("tenant", "c"), Delete("tenant", "no")])
        second_table.apply([put("b"), put("a", "2")])
        self.assertEqual(
            (first_table.content, first_table.bytes, first_table.entries),
            (second_table.content, second_table.bytes, second_table.entries),
        )
        self.assertEqual(first_table.growth([put("a", "1234"), Delete("tenant", "b"), put("d")]), 3 - 152 + 152)
        first_table.apply([put("b", "3")])
        self.assertNotEqual(first_table.content, second_table.content)


class VersionsTest(unittest.TestCase):
    def test_log_is_bounded_and_reports_its_range(self) -> None:
        versions, log = chain(10), VersionLog(4, 1 << 20)
        for version in versions:
            log.append(version)
        self.assertEqual([version.number for version in log.versions], [7, 8, 9, 10])
        self.assertEqual(
            [log.holds_all_after(version.number, version.digest) for version in versions], [False] * 5 + [True] * 5
        )
        self.assertFalse(log.holds_all_after(7, NO_DIGEST))
        self.assertIs(log.successor(6), versions[6])
        self.assertIsNone(log.successor(10))
        self.assertEqual((log.bytes_after(10), log.bytes_after(6), log.bytes_after(5)), (0, log.bytes, None))
        small = VersionLog(100, 1)
        for version in versions:
            small.append(version)
        self.assertEqual(len(small.versions), 1)

    def test_digest_covers_parent_number_and_operations(self) -> None:
        version = chain(2)[1]
        self.assertTrue(version.has_valid_digest())
        change: dict[str, Any]
        for change in ({"number": 3}, {"parent_digest": NO_DIGEST}, {"operations": (put("x"),)}):
            self.assertFalse(msgspec.structs.replace(version, **change).has_valid_digest())


class LeaseTest(unittest.TestCase):
    def test_grant_counts_from_its_timestamp_and_needs_its_version(self) -> None:
        lease = Lease()
        self.assertFalse(lease.accept_grant(messages.Grant(100, 5, 50, True), 4))
        self.assertFalse(lease.accept_grant(messages.Grant(100, 5, 0, True), 5))
        self.assertEqual(lease.expires_at_us, NEVER)
        self.assertTrue(lease.accept_grant(messages.Grant(100, 5, 50, True), 6))
        self.assertTrue(lease.accept_grant(messages.Grant(110, 5, 20, True), 6), "an earlier end does not shorten it")
        self.assertEqual(
            (lease.is_valid(149), lease.is_valid(150), lease.remaining_us(140), lease.remaining_us(200)),
            (True, False, 10, 0),
        )


class SelectionTest(unittest.TestCase):
    def test_publisher_order_is_balanced_and_stable_when_one_is_removed(self) -> None:
        relays = [f"r{i}" for i in range(12)]
        firsts = Counter(rendezvous_order(f"n{i}", relays)[0] for i in range(6000))
        self.assertEqual(len(firsts), 12)
        self.assertTrue(all(400 < count < 600 for count in firsts.values()), firsts)
        for i in range(100):
            order = rendezvous_order(f"n{i}", relays)
            self.assertEqual(rendezvous_order(f"n{i}", relays[1:]), [each for each in order if each != "r0"])

    def test_backoff_has_full_jitter_and_a_limit(self) -> None:
        terms = WatchTerms(initial_backoff_us=100, max_backoff_us=1000, reconnect_jitter_us=10)
        selection = Selection("n", ["a", "b", "c"], terms, lambda: 0.999_999)
        pauses = [selection.after_failure("x", 0).dial_at_us for _ in range(6)]
        self.assertEqual(pauses, [99, 199, 399, 799, 999, 999])
        self.assertEqual(Selection("n", ["a"], terms, lambda: 0.0).after_failure("x", 7).dial_at_us, 7)

    def test_failed_or_refusing_publisher_is_skipped_for_a_time(self) -> None:
        selection = Selection("n", ["a", "b"], WatchTerms(), lambda: 0.0)
        first, second = selection.order
        self.assertEqual(selection.after_refusal(first, 5 * SECOND, 0).publisher, second)
        both = selection.after_failure(second, 0)
        self.assertEqual((both.publisher, both.dial_at_us), (second, SECOND), "the publisher that may be dialled first")
        self.assertEqual(selection.first_attempt(6 * SECOND).publisher, first)
        with self.assertRaises(ValueError):
            selection.set_publishers([])


class SubscriberTest(unittest.TestCase):
    """The watch of an agent that receives publisher messages."""

    def setUp(self) -> None:
        self.counters: Counter[str] = Counter()
        self.applied: list[int | None] = []
        self.unfit = ""
        self.agent = self.make(AgentTerms(serve_when_lost=False))

    def make(self, terms: AgentTerms, stored: StoredConfiguration | None = None, now: int = 0) -> Agent:
        def apply(version: Version | None, table: Table) -> str:
            self.applied.append(None if version is None else version.number)
            return self.unfit

        return Agent("n0", 1, ["r0", "r1"], terms, now, lambda: 0.5, apply, self.counters, stored)

    def watch(self, agent: Agent | None = None, now: int = 0) -> list[object]:
        agent = agent or self.agent
        outputs: list[object] = [*agent.start(now), *agent.connected(now)]
        self.assertIs(agent.watch.state, WatchState.WATCHING)
        return outputs

    def deliver_to_agent(self, *incoming: messages.FromPublisher, now: int = 0) -> list[object]:
        return [output for message in incoming for output in self.agent.receive(message, now)]

    def assert_link_closed(self, outputs: Sequence[object], counter: str) -> None:
        """Asserts that the connection was closed, the counter is 1, and the watch waits for the next attempt."""
        self.assertEqual(len(of_type(messages.ClosePublisherLink, outputs)), 1, outputs)
        self.assertEqual(self.counters[counter], 1, self.counters)
        self.assertIs(self.agent.watch.state, WatchState.WAITING)

    def test_watch_reports_local_version_and_applies_and_stores_new_ones(self) -> None:
        dial, watch, heartbeat = self.watch()
        self.assertEqual(dial, messages.Dial(rendezvous_order("n0", ["r0", "r1"])[0]))
        self.assertEqual(
            upstream_messages([watch, heartbeat]),
            [messages.Watch(messages.PROTOCOL, "n0", 1, False, 0, NO_DIGEST), messages.Heartbeat(0, 0, False, "")],
        )
        versions = chain(3)
        outputs = self.deliver_to_agent(*(messages.Delta(version) for version in versions), now=10)
        self.assertEqual([each.version for each in of_type(messages.PersistVersion, outputs)], versions)
        self.assertEqual(
            (self.agent.number, self.agent.digest, len(self.agent.table), self.applied),
            (3, versions[2].digest, 3, [1, 2, 3]),
        )

    def test_acknowledgements_are_batched_and_a_heartbeat_replaces_one(self) -> None:
        self.watch()
        self.deliver_to_agent(*(messages.Delta(version) for version in chain(3)), now=10)
        self.assertEqual(self.agent.due, 10 + 50 * MS)
        self.assertEqual(self.agent.tick(50 * MS), [])
        self.assertEqual(upstream_messages(self.agent.tick(51 * MS)), [messages.Acknowledge(3, 0)])
        self.deliver_to_agent(messages.Delta(chain(4)[3]), now=990 * MS)
        self.assertEqual(upstream_messages(self.agent.tick(SECOND)), [messages.Heartbeat(SECOND, 4, False, "")])
        self.deliver_to_agent(messages.Grant(SECOND, 4, SECOND, True), now=SECOND)
        self.assertEqual(upstream_messages(self.agent.tick(1500 * MS)), [])

    def test_duplicate_version_is_ignored(self) -> None:
        self.watch()
        versions = chain(2)
        outputs = self.deliver_to_agent(
            *(messages.Delta(each) for each in (versions[0], versions[0], versions[1], versions[0]))
        )
        self.assertEqual(
            (of_type(messages.ClosePublisherLink, outputs), self.counters["control_doubled"], self.agent.number),
            ([], 2, 2),
        )

    def test_gap_is_rejected_and_the_watch_restarts_from_the_local_version(self) -> None:
        self.watch()
        versions = chain(3)
        publisher = self.agent.watch.publisher
        outputs = self.deliver_to_agent(messages.Delta(versions[0]), messages.Delta(versions[2]))
        self.assert_link_closed(outputs, "control_gaps")
        next_outputs = self.agent.tick(self.agent.due)
        self.assertEqual((next_outputs, self.agent.number), ([messages.Dial(publisher)], 1))
        watch = upstream_messages(self.agent.connected(self.agent.due))[0]
        self.assertEqual(watch, messages.Watch(messages.PROTOCOL, "n0", 1, False, 1, versions[0].digest))
        self.deliver_to_agent(messages.Delta(versions[2]))
        self.assertNotEqual(
            self.agent.tick(self.agent.due), [messages.Dial(publisher)], "the publisher caused two gaps in a row"
        )

    def test_bad_version_closes_the_connection_and_keeps_the_last_good_one(self) -> None:
        good, following = chain(2)
        other = version_of(Proposed(0, NO_DIGEST, (put("other"),)), 1, "v0", 0)
        bad: dict[str, Version] = {
            "not that of its content": msgspec.structs.replace(following, operations=(put("altered"),)),
            "another history": version_of(Proposed(1, other.digest, ()), 2, "v0", 0),
            "another version 1": other,
            "kind": version_of(Proposed(1, good.digest, (Put("lane", "x", b"1"),)), 2, "v0", 0),
            "at most": version_of(Proposed(1, good.digest, (put("x", '"' + "x" * 2000 + '"'),)), 2, "v0", 0),
        }
        for reason, version in bad.items():
            with self.subTest(reason):
                self.counters.clear()
                self.agent = self.make(AgentTerms(max_table_bytes=1000))
                self.watch()
                outputs = self.deliver_to_agent(messages.Delta(good), messages.Delta(version))
                self.assert_link_closed(outputs, "control_bad_versions")
                self.assertIn(reason, self.agent.watch.last_failure)
                self.assertEqual((self.agent.number, len(self.agent.table)), (1, 1))

    def test_invalid_messages_close_the_connection(self) -> None:
        replica = replica_at(chain(3))
        begin = Snapshot(replica, 1000).begin
        for message in (
            messages.Grant(17, 0, SECOND, True),
            messages.Grant(0, 0, 3600 * SECOND, True),
            messages.Grant(0, 0, -1, True),
            messages.Grant(0, -1, 1, True),
            messages.SnapshotPiece(0, True, b""),
            msgspec.structs.replace(begin, number=0),
            messages.Acknowledge(1, 1),
        ):
            with self.subTest(message):
                self.counters.clear()
                self.agent = self.make(AgentTerms())
                self.watch()
                invalid_message: Any = message
                self.assert_link_closed(self.deliver_to_agent(invalid_message), "control_strange")
                self.assertEqual(self.agent.lease_expires_at_us, NEVER)
        self.counters.clear()
        self.agent = self.make(AgentTerms())
        self.watch()
        self.assert_link_closed(self.deliver_to_agent(begin, messages.Delta(chain(1)[0])), "control_strange")

    def snapshot(self, versions: Sequence[Version], piece_bytes: int = 1) -> list[messages.FromPublisher]:
        source_snapshot = Snapshot(replica_at(versions), piece_bytes)
        pieces = [source_snapshot.piece(at) for at in range(len(versions))]
        return [source_snapshot.begin, *pieces]

    def test_snapshot_is_assembled_without_changing_the_current_table(self) -> None:
        self.watch()
        versions = chain(5)
        self.deliver_to_agent(messages.Delta(versions[0]), messages.Grant(0, 1, SECOND, True))
        begin, *pieces = self.snapshot(versions)
        outputs = self.deliver_to_agent(begin, *pieces[:-1])
        self.assertEqual(
            (self.agent.number, len(self.agent.table), self.agent.watch.state), (1, 1, WatchState.FETCHING)
        )
        self.assertEqual(upstream_messages(outputs), [messages.Acknowledge(1, at) for at in (1, 2, 3, 4)])
        self.assertTrue(self.agent.serving(10))
        outputs = self.deliver_to_agent(pieces[-1])
        self.assertEqual(outputs, [messages.PersistTable(5, versions[4].digest)])
        self.assertEqual((self.agent.number, len(self.agent.table), self.applied), (5, 5, [1, None]))

    def test_snapshot_with_mismatched_content_is_rejected(self) -> None:
        versions = chain(5)
        begin, *pieces = self.snapshot(versions)
        altered = messages.SnapshotPiece(4, True, msgspec.msgpack.encode([put("t5", "2")]))
        huge = msgspec.structs.replace(begin, size=1 << 40)
        for case in (
            [begin, *pieces[:4], altered],
            [begin, pieces[1]],
            [huge],
            [begin, messages.SnapshotPiece(0, False, b"\xc1")],
            [begin, messages.SnapshotPiece(0, False, msgspec.msgpack.encode([Put("lane", "x", b"1")]))],
            [begin, messages.SnapshotPiece(0, False, msgspec.msgpack.encode([put(f"x{i}") for i in range(9)]))],
        ):
            self.counters.clear()
            self.agent = self.make(AgentTerms())
            self.watch()
            self.assert_link_closed(self.deliver_to_agent(messages.Delta(versions[0]), *case), "control_bad_snapshots")
            self.assertEqual((self.agent.number, len(self.agent.table)), (1, 1))

    def test_silent_leaseless_or_stuck_publisher_is_replaced(self) -> None:
        self.watch()
        self.assert_link_closed(self.agent.tick(3 * SECOND), "control_silent_publishers")
        for number, remaining, counter, seconds in (
            (0, 0, "control_lapsed_publishers", 5),
            (9, SECOND, "control_stuck_publishers", 30),
        ):
            self.agent = self.make(AgentTerms())
            self.watch()
            outputs: list[object] = []
            for now in range(0, seconds * SECOND, SECOND // 2):
                outputs += self.agent.tick(now)
                if now % SECOND == 0:
                    outputs += self.deliver_to_agent(messages.Grant(now, number, remaining, False), now=now)
            self.assertEqual(of_type(messages.ClosePublisherLink, outputs), [])
            outputs += self.agent.tick(seconds * SECOND)
            self.assert_link_closed(outputs, counter)

    def test_connect_timeout_and_lost_connection(self) -> None:
        self.agent.start(0)
        self.assertEqual(self.agent.tick(2 * SECOND - 1), [])
        self.assert_link_closed(self.agent.tick(2 * SECOND), "control_dials_failed")
        self.assertEqual(self.agent.connected(2 * SECOND), [], "connected after the timeout")
        self.agent.tick(self.agent.due)
        self.agent.connected(3 * SECOND)
        self.deliver_to_agent(messages.Grant(3 * SECOND, 0, SECOND, True), now=3 * SECOND)
        self.agent.disconnected(4 * SECOND)
        self.assertEqual((self.counters["control_links_lost"], self.agent.due), (1, 4 * SECOND + SECOND // 2))
        self.assertEqual(self.deliver_to_agent(messages.Delta(chain(1)[0])), [])
        self.assertEqual(self.counters["control_late_messages"], 1)

    def test_refusing_publisher_is_not_redialled_before_its_retry_delay(self) -> None:
        self.watch()
        first = self.agent.watch.publisher
        self.assert_link_closed(self.deliver_to_agent(messages.Refuse("full", 8 * SECOND)), "control_refused")
        now = self.agent.due
        other = of_type(messages.Dial, self.agent.tick(now))[0].publisher
        self.assertNotEqual(other, first)
        for _ in range(20):
            self.agent.disconnected(now)
            now = self.agent.due
            if of_type(messages.Dial, self.agent.tick(now)) == [messages.Dial(first)]:
                break
        self.assertGreaterEqual(now, 8 * SECOND)

    def test_relay_list_replacement(self) -> None:
        self.watch()
        current = self.agent.watch.publisher
        self.assertEqual(self.agent.set_relays([current, "r9"], 0), [])
        self.assertEqual(of_type(messages.Dial, self.agent.set_relays(["r7"], 0)), [messages.Dial("r7")])

    def test_node_serves_by_its_lease_and_settings(self) -> None:
        for serve in (False, True):
            self.agent = self.make(AgentTerms(serve_when_lost=serve, max_stale_us=10 * SECOND))
            self.assertIn("no relay has given", self.agent.not_serving_reason(0))
            self.watch()
            self.deliver_to_agent(messages.Grant(0, 0, SECOND, True), now=500 * MS)
            self.assertEqual((self.agent.serving(SECOND - 1), self.agent.not_serving_reason(SECOND - 1)), (True, ""))
            self.assertEqual(
                (self.agent.serving(SECOND), self.agent.unconfirmed_for_us(3 * SECOND)), (serve, 2 * SECOND)
            )
            self.assertFalse(self.agent.serving(11 * SECOND))
            self.assertIn("lease", self.agent.not_serving_reason(11 * SECOND))
        stored = StoredConfiguration(3, chain(3)[2].digest, replica_at(chain(3)).table)
        self.assertTrue(self.make(AgentTerms(), stored, 100).serving(100))
        self.assertFalse(self.make(AgentTerms(serve_when_lost=False), stored, 100).serving(100))
        self.assertEqual(self.applied, [None, None])

    def test_version_that_the_node_cannot_apply(self) -> None:
        self.watch()
        self.unfit = "no such class"
        self.deliver_to_agent(messages.Delta(chain(1)[0]), messages.Grant(0, 1, SECOND, True))
        self.assertFalse(self.agent.serving(1))
        self.assertIn("no such class", self.agent.not_serving_reason(1))
        self.assertEqual(
            upstream_messages(self.agent.tick(SECOND)), [messages.Heartbeat(SECOND, 1, False, "no such class")]
        )
        self.unfit = ""
        self.deliver_to_agent(messages.Delta(chain(2)[1]))
        self.assertTrue(self.agent.serving(1))
        self.assertEqual((self.agent.status(1).number, self.agent.status(1).why_not), (2, ""))


class FakeAuthority:
    """An authority with a fixed lease and a settable readiness."""

    def __init__(self) -> None:
        self.is_ready, self.lease = True, 5 * SECOND

    def ready(self) -> bool:
        return self.is_ready

    def lease_remaining_us(self, now: int) -> int:
        return max(0, self.lease - now)

    def hears_majority(self, now: int) -> bool:
        return True


class PublisherTest(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = chain(60)
        self.counters: Counter[str] = Counter()
        self.make(PublishTerms())

    def make(self, terms: PublishTerms, count: int = 0) -> None:
        self.replica, self.owner = Replica(1 << 30), FakeAuthority()
        self.publisher = Publisher(self.replica, terms, self.owner, self.counters, 0)
        self.publish(0, count)

    def publish(self, begin: int, end: int) -> list[messages.PublisherOutput]:
        outputs: list[messages.PublisherOutput] = []
        for version in self.versions[begin:end]:
            self.replica.apply(version)
            outputs += self.publisher.publish(version)
        return outputs

    def watch(
        self,
        link: int,
        number: int = 0,
        digest: bytes | None = None,
        now: int = 0,
        life: int = 1,
        name: str = "",
        relay: bool = False,
    ) -> list[messages.PublisherOutput]:
        at = NO_DIGEST if number == 0 else self.versions[number - 1].digest
        return self.publisher.subscriber_connected(link, now) + self.publisher.receive(
            link, messages.Watch(messages.PROTOCOL, name or f"n{link}", life, relay, number, digest or at), now
        )

    def state(self, link: int) -> SubscriptionState:
        return self.publisher.roster.links[link].state

    def drain(self, links: Sequence[int], now: int, until: int, acknowledge: bool = True) -> dict[int, list[Any]]:
        """Ticks up to ``until`` and returns the messages sent on each link; acknowledges pieces by default."""
        received: dict[int, list[Any]] = {link: [] for link in links}
        while now < until:
            outputs = self.publisher.tick(now)
            for link in links:
                for message in messages_to(link, outputs):
                    received[link].append(message)
                    if acknowledge and isinstance(message, messages.SnapshotPiece):
                        self.publisher.receive(link, messages.Acknowledge(0, message.index + 1), now)
                        if message.last:
                            self.publisher.receive(link, messages.Acknowledge(20, 0), now)
            now += 10 * MS
        return received

    def test_missing_versions_are_sent_and_new_ones_pushed(self) -> None:
        self.publish(0, 3)
        self.assertEqual(
            messages_to(1, self.watch(1, 1)), [messages.Delta(self.versions[1]), messages.Delta(self.versions[2])]
        )
        self.assertEqual(messages_to(2, self.watch(2, 3)), [])
        outputs = self.publish(3, 4)
        self.assertEqual(
            outputs,
            [
                messages.SendToSubscriber(1, messages.Delta(self.versions[3])),
                messages.SendToSubscriber(2, messages.Delta(self.versions[3])),
            ],
        )
        one, two = of_type(messages.SendToSubscriber, outputs)
        self.assertIs(one.message, two.message, "encoded once")

    def test_grant_is_the_remaining_lease_at_the_time_of_the_answer(self) -> None:
        self.publish(0, 3)
        self.watch(1, 3)
        self.assertEqual(
            messages_to(1, self.publisher.receive(1, messages.Heartbeat(77, 3, True, ""), SECOND)),
            [messages.Grant(77, 3, 4 * SECOND, True)],
        )
        self.assertEqual(
            messages_to(1, self.publisher.receive(1, messages.Heartbeat(78, 3, True, ""), 6 * SECOND)),
            [messages.Grant(78, 3, 0, True)],
        )

    def test_snapshots_are_shared_limited_and_paced_before_the_tail(self) -> None:
        terms = PublishTerms(
            max_log_versions=4,
            piece_bytes=8,
            max_concurrent_transfers=2,
            transfer_bytes_per_s=1000,
            max_unpaced_tail_bytes=100,
            max_unacknowledged_pieces=64,
            subscriber_silence_timeout_us=100 * SECOND,
        )
        self.make(terms, 20)
        links = list(range(5))
        for link in links:
            self.watch(link)
        self.assertEqual(Counter(map(self.state, links)), {SubscriptionState.QUEUED: 5})
        first = self.drain(links, 0, 30 * MS)
        self.assertEqual(
            [len(of_type(messages.SnapshotBegin, received)) for received in first.values()], [1, 1, 0, 0, 0]
        )
        self.assertLess(
            sum(
                len(each.resources) for received in first.values() for each in of_type(messages.SnapshotPiece, received)
            ),
            100,
            "a thousand bytes a second",
        )
        self.publish(20, 22)
        rest = self.drain(links, 30 * MS, 20 * SECOND)
        for link in links:
            received = first[link] + rest[link]
            assembly = Assembly(received[0], 1 << 30)
            whole = [assembly.add(piece) for piece in of_type(messages.SnapshotPiece, received)]
            self.assertEqual((whole[-1], assembly.begin.number), (True, 20))
            self.assertEqual([each.version.number for each in of_type(messages.Delta, received)], [21, 22])
            self.assertIs(self.state(link), SubscriptionState.LIVE)
        self.assertEqual(self.counters["control_snapshots_made"], 1)
        self.assertIs(
            of_type(messages.SnapshotPiece, first[0] + rest[0])[3], of_type(messages.SnapshotPiece, rest[4])[3]
        )
        self.publisher.tick(60 * SECOND)
        self.assertEqual(self.publisher.pacer.snapshots.entries, [], "an unused snapshot is dropped after a while")

    def test_snapshot_pieces_in_flight_are_limited_to_the_window(self) -> None:
        self.make(
            PublishTerms(
                max_log_versions=4,
                piece_bytes=8,
                max_unacknowledged_pieces=3,
                subscriber_silence_timeout_us=60 * SECOND,
            ),
            20,
        )
        self.watch(1)
        received = self.drain([1], 0, SECOND, acknowledge=False)[1]
        self.assertEqual(len(of_type(messages.SnapshotPiece, received)), 3)
        self.publisher.receive(1, messages.Acknowledge(0, 2), SECOND)
        self.assertEqual(len(self.drain([1], SECOND, 2 * SECOND, acknowledge=False)[1]), 2)

    def test_long_tail_is_paced_by_acknowledgements(self) -> None:
        terms = PublishTerms(
            max_unpaced_tail_bytes=100,
            piece_bytes=1000,
            max_unacknowledged_pieces=2,
            subscriber_silence_timeout_us=60 * SECOND,
        )
        self.make(terms, 50)
        self.watch(1, 30)
        received = of_type(messages.Delta, self.drain([1], 0, SECOND)[1])
        self.assertTrue(2 < len(received) < 10, len(received))
        self.publisher.receive(1, messages.Acknowledge(received[-1].version.number, 0), SECOND)
        received += of_type(messages.Delta, self.drain([1], SECOND, 2 * SECOND)[1])
        while received[-1].version.number < 50:
            self.publisher.receive(1, messages.Acknowledge(received[-1].version.number, 0), SECOND)
            received += of_type(messages.Delta, self.drain([1], SECOND, 2 * SECOND)[1])
        self.assertEqual([each.version for each in received], self.versions[30:50])
        self.drain([1], 2 * SECOND, 3 * SECOND)
        self.assertIs(self.state(1), SubscriptionState.LIVE)

    def test_subscriber_that_does_not_acknowledge_is_dropped(self) -> None:
        self.make(PublishTerms(max_unacknowledged_bytes=1000))
        self.watch(1)
        self.watch(2)
        for at in range(20):
            outputs = self.publish(at, at + 1)
            self.publisher.receive(2, messages.Acknowledge(at + 1, 0), 0)
            if of_type(messages.CloseSubscriberLink, outputs):
                break
        self.assertEqual([drop.link for drop in of_type(messages.CloseSubscriberLink, outputs)], [1])
        self.assertEqual((self.counters["control_slow_subscribers"], len(self.publisher.roster)), (1, 1))

    def test_invalid_messages_close_only_their_own_connection(self) -> None:
        cases: list[Callable[[], list[messages.PublisherOutput]]] = [
            lambda: self.publisher.subscriber_connected(1, 0)
            + self.publisher.receive(1, messages.Heartbeat(0, 0, True, ""), 0),
            lambda: self.watch(1, 2) + self.watch_again(),
            lambda: self.watch(1, 2) + self.publisher.receive(1, messages.Acknowledge(1, 0), 0),
            lambda: self.watch(1, 2) + self.publisher.receive(1, messages.Acknowledge(2, 9), 0),
            lambda: self.watch(1, 2) + self.publisher.receive(1, messages.Heartbeat(0, 1, True, ""), 0),
            lambda: self.watch(1, 2) + self.publisher.receive(1, messages.Heartbeat(0, 2, True, "x" * 5000), 0),
            lambda: self.watch(1, 2) + self.publisher.receive(1, messages.Report(1, 1, 1, 0, 0, ()), 0),
            lambda: self.watch(1, -5, b"x" * 16),
            lambda: self.watch(1, 2, b"short"),
            lambda: self.watch(1, 2, name="x" * 300),
            lambda: self.watch(1, 2) + self.receive_unexpected_message(),
        ]
        for at, case in enumerate(cases):
            with self.subTest(at):
                self.counters.clear()
                self.make(PublishTerms(), 3)
                self.watch(7, 3)
                self.assertEqual([drop.link for drop in of_type(messages.CloseSubscriberLink, case())], [1])
                self.assertEqual(self.counters["control_strange"], 1)
                self.assertEqual([each.link for each in self.publisher.roster], [7])
                self.assertEqual(self.publisher.receive(1, messages.Acknowledge(3, 0), 0), [])
                self.assertEqual(self.publisher.report().nodes, 1)

    def watch_again(self) -> list[messages.PublisherOutput]:
        return self.publisher.receive(
            1, messages.Watch(messages.PROTOCOL, "n1", 1, False, 3, self.versions[2].digest), 0
        )

    def receive_unexpected_message(self) -> list[messages.PublisherOutput]:
        message: Any = messages.Delta(self.versions[0])
        return self.publisher.receive(1, message, 0)

    def test_refusals_give_the_reason(self) -> None:
        self.make(PublishTerms(max_subscribers=1), 3)
        self.owner.is_ready = False
        outputs = self.watch(1)
        self.assertEqual(
            (messages_to(1, outputs)[0].reason, of_type(messages.CloseSubscriberLink, outputs)[0].link),
            ("nothing to publish yet", 1),
        )
        self.owner.is_ready = True
        self.assertIn("another history", messages_to(1, self.watch(1, 3, b"x" * 16))[0].reason)
        self.publisher.subscriber_connected(1, 0)
        old = self.publisher.receive(1, messages.Watch(99, "n1", 1, False, 0, NO_DIGEST), 0)
        self.assertIn("protocol 99", messages_to(1, old)[0].reason)
        self.watch(1, 3)
        self.assertIn("as many subscribers", messages_to(2, self.publisher.subscriber_connected(2, 0))[0].reason)
        self.assertEqual((self.counters["control_full"], len(self.publisher.roster)), (1, 1))

    def test_newer_incarnation_or_connection_replaces_the_older(self) -> None:
        self.publish(0, 3)
        self.watch(1, 3, name="n", life=5)
        self.assertEqual(of_type(messages.CloseSubscriberLink, self.watch(2, 3, name="n", life=5))[0].link, 1)
        self.assertEqual(of_type(messages.CloseSubscriberLink, self.watch(3, 3, name="n", life=4))[0].link, 3)
        self.assertEqual(of_type(messages.CloseSubscriberLink, self.watch(4, 3, name="n", life=6))[0].link, 2)
        self.assertEqual((self.publisher.report().nodes, [each.link for each in self.publisher.roster]), (1, [4]))

    def test_subscriber_that_is_ahead_is_checked_when_the_publisher_catches_up(self) -> None:
        self.publish(0, 2)
        self.watch(1, 4)
        self.watch(2, 4, b"x" * 16)
        self.assertEqual(self.publish(2, 3), [])
        self.assertEqual([drop.link for drop in of_type(messages.CloseSubscriberLink, self.publish(3, 4))], [2])
        self.assertEqual(self.counters["control_other_histories"], 1)
        self.assertEqual(self.publish(4, 5), [messages.SendToSubscriber(1, messages.Delta(self.versions[4]))])

    def test_silent_subscribers_are_dropped(self) -> None:
        self.watch(1)
        self.publisher.subscriber_connected(2, SECOND)
        self.assertEqual(self.publisher.due, 6 * SECOND)
        self.publisher.receive(1, messages.Heartbeat(0, 0, True, ""), 3 * SECOND)
        self.assertEqual(self.publisher.tick(6 * SECOND), [])
        self.assertEqual(
            [drop.link for drop in of_type(messages.CloseSubscriberLink, self.publisher.tick(7 * SECOND))], [2]
        )
        self.assertEqual(
            [drop.link for drop in of_type(messages.CloseSubscriberLink, self.publisher.tick(9 * SECOND))], [1]
        )
        self.assertEqual(self.counters["control_silent_subscribers"], 2)

    def test_incremental_report_equals_a_full_recount(self) -> None:
        rng = random.Random(5)
        self.publish(0, 30)
        for step in range(2000):
            link = rng.randrange(40)
            here = self.publisher.roster.links.get(link)
            if here is None:
                self.watch(link, rng.randrange(31), relay=link > 35)
            elif rng.random() < 0.1:
                self.publisher.subscriber_disconnected(link, 0)
            else:
                number = min(30, here.acknowledged_number + rng.randrange(3))
                unfit = rng.choice(("", "", "odd"))
                self.publisher.receive(link, messages.Heartbeat(0, number, rng.random() < 0.5, unfit), step)
            nodes = [each for each in self.publisher.roster if not each.is_relay]
            report, numbers = self.publisher.report(), [each.acknowledged_number for each in nodes]
            self.assertEqual(
                (report.nodes, report.serving, report.lowest, report.behind, report.unfit),
                (
                    len(nodes),
                    sum(each.serving for each in nodes),
                    min(numbers, default=30),
                    sum(number < 30 for number in numbers),
                    sum(bool(each.incompatibility) for each in nodes),
                ),
            )
            self.assertLessEqual(len(report.worst), messages.MAX_WORST_NODES)


class RelayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.relay = Relay(
            "r0", 1, ["v0"], WatchTerms(heartbeat_us=SECOND // 2), PublishTerms(), 0, lambda: 0.5, Counter()
        )
        self.relay.start(0)
        self.relay.connected(0)

    def node(self, link: int, number: int, digest: bytes) -> list[messages.RelayOutput]:
        return self.relay.subscriber_connected(link, 0) + self.relay.receive(
            link, messages.Watch(messages.PROTOCOL, f"n{link}", 1, False, number, digest), 0
        )

    def test_relay_refuses_nodes_until_a_voter_confirms_its_version(self) -> None:
        self.assertEqual(len(of_type(messages.CloseSubscriberLink, self.node(1, 0, NO_DIGEST))), 1)
        self.relay.receive_upstream(messages.Grant(0, 0, SECOND, True), 0)
        self.assertEqual(of_type(messages.CloseSubscriberLink, self.node(2, 0, NO_DIGEST)), [])

    def test_versions_are_forwarded_and_grants_limited_to_the_relays_lease(self) -> None:
        self.relay.receive_upstream(messages.Grant(0, 0, 3 * SECOND, True), SECOND)
        self.node(1, 0, NO_DIGEST)
        version = chain(1)[0]
        self.assertEqual(
            self.relay.receive_upstream(messages.Delta(version), SECOND),
            [messages.SendToSubscriber(1, messages.Delta(version))],
        )
        grant = messages_to(1, self.relay.receive(1, messages.Heartbeat(9, 1, True, ""), 2 * SECOND))
        self.assertEqual(grant, [messages.Grant(9, 1, SECOND, True)])
        self.relay.disconnected(2 * SECOND)
        self.assertEqual(
            messages_to(1, self.relay.receive(1, messages.Heartbeat(10, 1, True, ""), 3 * SECOND)),
            [messages.Grant(10, 1, 0, False)],
        )
        self.assertEqual((self.relay.status(0).report.nodes, self.relay.number), (1, 1))

    def test_changed_report_is_sent_with_the_heartbeat(self) -> None:
        self.relay.receive_upstream(messages.Grant(0, 0, 3 * SECOND, True), 0)
        self.node(1, 0, NO_DIGEST)
        reports = [of_type(messages.Report, upstream_messages(self.relay.tick(self.relay.due))) for _ in range(2)]
        self.assertEqual(reports, [[messages.Report(1, 0, 0, 0, 0, ())], []])

    def test_snapshot_from_upstream_is_passed_on_to_nodes(self) -> None:
        versions = chain(5)
        self.relay.receive_upstream(messages.Delta(versions[0]), 0)
        self.node(1, 1, versions[0].digest)
        source_snapshot = Snapshot(replica_at(versions), 1 << 20)
        self.relay.receive_upstream(source_snapshot.begin, 0)
        self.relay.receive_upstream(source_snapshot.piece(0), 0)
        outputs = self.relay.tick(20 * MS)
        self.assertEqual(
            [type(message) for message in messages_to(1, outputs)], [messages.SnapshotBegin, messages.SnapshotPiece]
        )


class VoterTest(unittest.TestCase):
    """Voters whose messages to each other are delivered immediately, in the order in which they were sent."""

    def setUp(self) -> None:
        self.names = ["v0", "v1", "v2"]
        self.now = SECOND
        self.counters: Counter[str] = Counter()
        self.voters = {name: self.make(name, True) for name in self.names}
        self.votes_on_disk: dict[str, bytes] = {}
        self.isolated: set[str] = set()
        self.dropped: Callable[[str, Any], bool] = lambda to, message: False
        self.dialled: dict[str, str] = {}  # by voter: the one that it watches or tries to
        self.run_for(2 * SECOND)

    def make(
        self, name: str, first: bool, life: int = 1, terms: VoterTerms | None = None, **stored_state: Any
    ) -> Voter:
        def validate(operations: Sequence[Operation], table: Table) -> str:
            return "no such class" if operations[0].name == "bad" else ""

        return Voter(
            name,
            life,
            self.names,
            terms or VoterTerms(max_queued_proposals=4, lease_us=2 * SECOND),
            PublishTerms(),
            self.now,
            lambda: 0.5,
            validate,
            self.counters,
            first_start=first,
            **stored_state,
        )

    def deliver(self, name: str, outputs: Sequence[object]) -> None:
        waiting = deque((name, output) for output in outputs)
        while waiting:
            sender, output = waiting.popleft()
            if isinstance(output, messages.PersistVote):
                self.votes_on_disk[sender] = output.encoded_state
            elif isinstance(output, messages.Dial):
                self.dialled[sender] = output.publisher
            elif isinstance(output, messages.SendToVoter) and not {sender, output.to} & self.isolated:
                message: Any = output.message
                if self.dropped(output.to, message):
                    continue
                answers = self.voters[output.to].receive_voter(
                    sender, self.voters[sender].incarnation, message, self.now
                )
                waiting.extend((output.to, answer) for answer in answers)

    def run_for(self, length: int) -> None:
        end = self.now + length
        while self.now < end:
            self.now += 5 * MS
            for name, voter in self.voters.items():
                self.deliver(name, voter.tick(self.now))

    def catch_up(self, lagging: Voter, publisher: str) -> list[object]:
        """Connect a voter to the one that it has dialled, and pass on the versions that it lacks."""
        watch, heartbeat = upstream_messages(lagging.connected(self.now))
        upstream = self.voters[publisher]
        upstream.subscriber_connected(1, self.now)
        self.assertIsInstance(watch, messages.Watch)
        any_watch: Any = watch
        outputs: list[object] = []
        sent = upstream.receive(1, any_watch, self.now)
        while True:
            for message in messages_to(1, sent):
                outputs += lagging.receive_upstream(message, self.now)
            if lagging.contents is Contents.COMPLETE:
                return outputs
            self.now += 5 * MS  # a long backlog is sent piece by piece
            sent = upstream.tick(self.now)

    def propose(self, name: str, *operations: Operation) -> str:
        ident, outputs = self.voters[name].propose(operations or (put("a"),), 0, self.now)
        self.deliver(name, outputs)
        return ident

    def test_change_is_decided_applied_and_reported(self) -> None:
        idents = [self.propose(name, put(name)) for name in self.names]
        self.run_for(SECOND)
        self.assertEqual({voter.number for voter in self.voters.values()}, {3})
        self.assertEqual(len({(voter.digest, voter.table.content) for voter in self.voters.values()}), 1)
        for name, ident in zip(self.names, idents, strict=True):
            self.assertEqual(self.voters[name].outcomes[ident].state, "committed")
        history = self.voters["v0"].history()
        self.assertEqual(
            (
                [entry.number for entry in history],
                {entry.ident for entry in history},
                [entry.operations for entry in history],
            ),
            ([1, 2, 3], set(idents), [1, 1, 1]),
        )
        status = self.voters["v0"].status(self.now)
        self.assertEqual((status.number, status.serving, status.contents, status.nodes.nodes), (3, True, "complete", 0))

    def test_invalid_changes_are_refused_entirely(self) -> None:
        voter = self.voters["v0"]
        for operations in (
            [],
            [put("a")] * 1001,
            [Put("lane", "a", b"1")],
            [put(str(i), '"' + "x" * 900 + '"') for i in range(100)],
        ):
            with self.assertRaises(ResourceError):
                voter.propose(operations, 0, self.now)
        ident = self.propose("v0", put("bad"))
        self.assertEqual((voter.outcomes[ident].state, voter.outcomes[ident].reason), ("refused", "v0: no such class"))
        self.assertEqual((len(voter.proposals), voter.number), (0, 0))

    def test_proposal_queue_is_bounded_in_length_and_time(self) -> None:
        self.isolated = {"v1", "v2"}
        with self.assertRaises(QueueFull):
            for at in range(6):
                self.voters["v0"].propose([put(str(at))], 0, self.now)
        voter = self.voters["v0"]
        self.run_for(40 * SECOND)
        states = Counter(outcome.state for outcome in voter.outcomes.values())
        self.assertEqual((states["refused"] + states["aborted"] + states["deciding"], len(voter.proposals)), (5, 0))

    def test_change_lost_to_another_is_retried_on_the_new_parent(self) -> None:
        captured: list[tuple[str, Sequence[object]]] = []
        idents = {}
        for name in self.names:
            idents[name], outputs = self.voters[name].propose([put("same", f'"{name}"')], 0, self.now)
            captured.append((name, outputs))
        for name, voter_outputs in captured:
            self.deliver(name, voter_outputs)
        self.run_for(3 * SECOND)
        self.assertEqual([self.voters[name].outcomes[ident].state for name, ident in idents.items()], ["committed"] * 3)
        self.assertEqual({voter.table.content for voter in self.voters.values()}.__len__(), 1)

    def decide_while_the_proposer_is_cut_off(self, later_changes: int, restarted: Sequence[str] = ()) -> str:
        """The others accept v0's change, and v0 hears no more of it. They decide it and ``later_changes`` more, the
        first of which undoes it; voters may restart from their disks; then v0 hears them again. Returns v0's
        proposal."""
        self.dropped = lambda to, message: to == "v0" and not isinstance(message, CheckReply | Promise)
        ident = self.propose("v0", put("once"))
        self.run_for(2 * SECOND)
        self.assertEqual([voter.number for voter in self.voters.values()], [0, 1, 1])
        self.isolated = {"v0"}
        self.run_for(2 * SECOND)
        for at in range(later_changes):
            self.propose("v1", Delete("tenant", "once") if at == 0 else put(str(at)))
            self.run_for(10 * MS)
        self.assertEqual(self.voters["v1"].number, later_changes + 1)
        for name in restarted:
            voter = self.voters[name]
            stored = StoredConfiguration(voter.number, voter.digest, voter.table)
            self.voters[name] = self.make(name, False, 2, vote=self.votes_on_disk[name], stored=stored)
        self.dropped, self.isolated = (lambda to, message: False), set()
        self.run_for(2 * SECOND)
        return ident

    def committed_by(self, ident: str) -> list[int]:
        """The versions as which a proposal was committed, as voters that were never cut off tell them."""
        entries = self.voters["v1"].history() + self.voters["v2"].history()
        return sorted({entry.number for entry in entries if entry.committed and entry.ident == ident})

    def test_a_change_decided_while_its_proposer_was_cut_off_is_not_proposed_again(self) -> None:
        """The proposer knew only the newest 16 decisions, took its change for lost, and had it decided once more."""
        for later_changes, restarted in ((3, ()), (21, ()), (60, ()), (21, ("v1", "v2"))):
            with self.subTest(later_changes=later_changes, restarted=restarted):
                self.setUp()
                ident = self.decide_while_the_proposer_is_cut_off(later_changes, restarted)
                v0 = self.voters["v0"]
                self.assertEqual((v0.outcomes[ident].state, v0.outcomes[ident].number), ("committed", 1))
                self.check_that_it_stays_undone()
                self.assertEqual(self.committed_by(ident), [1])

    def test_a_change_of_which_nobody_tells_the_outcome_is_not_proposed_again(self) -> None:
        ident = self.decide_while_the_proposer_is_cut_off(70)
        self.assertEqual(self.voters["v0"].outcomes[ident].state, "unknown")
        self.assertIn("may be in force", self.voters["v0"].outcomes[ident].reason)
        self.check_that_it_stays_undone()
        self.assertEqual(self.counters["policy_outcomes_unknown"], 1)

    def check_that_it_stays_undone(self) -> None:
        """v0 catches up, and nothing that it does brings back the change that was undone."""
        v0, number = self.voters["v0"], self.voters["v1"].number
        if v0.contents is Contents.INCOMPLETE:
            self.catch_up(v0, self.dialled["v0"])
        self.run_for(5 * SECOND)
        self.assertEqual((v0.contents, v0.number), (Contents.COMPLETE, number))
        self.assertEqual([voter.table.get("tenant", "once") for voter in self.voters.values()], [None] * 3)
        self.assertEqual([voter.number for voter in self.voters.values()], [number] * 3)
        following = self.propose("v0", put("next"))
        self.run_for(SECOND)
        self.assertEqual(v0.outcomes[following].state, "committed")

    def test_voter_with_incomplete_contents_fetches_them_and_neither_votes_nor_grants(self) -> None:
        for at in range(3):
            self.propose("v0", put(str(at)))
        self.run_for(SECOND)
        lagging = self.make("v2", False, 2, vote=self.votes_on_disk["v2"])
        self.assertEqual(
            (lagging.contents, lagging.epochs.may_vote, lagging.ready()), (Contents.INCOMPLETE, False, False)
        )
        self.assertEqual(
            (lagging.lease_remaining_us(self.now), "being fetched" in lagging.not_serving_reason(self.now)), (0, True)
        )
        dialled = of_type(messages.Dial, lagging.tick(self.now))[0].publisher
        outputs = self.catch_up(lagging, dialled)
        self.assertEqual((lagging.contents, lagging.epochs.may_vote, lagging.number), (Contents.COMPLETE, True, 3))
        self.assertEqual(
            (lagging.watch is not None and lagging.watch.state, len(of_type(messages.ClosePublisherLink, outputs))),
            (WatchState.IDLE, 1),
        )
        self.assertEqual(len(of_type(messages.PersistVersion, outputs)), 3 if lagging.number == 3 else 0)

    def test_decided_versions_are_restored_from_disk(self) -> None:
        self.propose("v0", put("a"))
        self.run_for(SECOND)
        stored_copy = StoredConfiguration(1, self.voters["v2"].digest, self.voters["v2"].table.copy())
        self.propose("v0", put("b"))
        self.run_for(SECOND)
        voter_after_restart = self.make("v2", False, 2, vote=self.votes_on_disk["v2"], stored=stored_copy)
        self.assertEqual(
            (voter_after_restart.number, voter_after_restart.contents),
            (2, Contents.COMPLETE),
            "the last one is in the vote's file",
        )
        self.assertEqual(len(of_type(messages.PersistVersion, voter_after_restart.tick(self.now))), 1)
        with self.assertRaises(ValueError):
            self.make("v1", False, 2, vote=self.votes_on_disk["v2"])
        with self.assertRaises(ValueError):
            self.make("v9", False, 2)

    def test_version_with_another_parent_is_void_at_every_voter(self) -> None:
        self.propose("v0", put("a"))
        self.run_for(SECOND)
        before = self.voters["v0"].number, self.voters["v0"].table.content
        for number, settings in (
            (2, msgspec.msgpack.encode(Proposed(0, NO_DIGEST, (put("late"),)))),
            (3, b"nonsense"),
            (4, msgspec.msgpack.encode(Proposed(1, b"x" * 16, (put("other"),)))),
            (5, msgspec.msgpack.encode(Proposed(9, b"x" * 16, ()))),
        ):
            change = Change(number, f"x{number}", True, settings, "", "v1", 0)
            for voter in self.voters.values():
                sender = "v1" if voter.name != "v1" else "v2"
                voter.receive_voter(sender, 1, Log(number, change, ()), self.now)
                self.assertEqual((voter.number, voter.table.content, voter.contents), (*before, Contents.COMPLETE))
        self.assertEqual(self.counters["control_void_versions"], 12)
        self.propose("v0", put("b"))
        self.run_for(SECOND)
        self.assertEqual({voter.number for voter in self.voters.values()}, {6})

    def test_failed_vote_write_is_requested_again(self) -> None:
        voter = self.voters["v0"]
        _, outputs = voter.propose([put("a")], 0, self.now)
        self.assertEqual(
            of_type(messages.PersistVote, outputs), [], "v0 first asks the others whether they accept the change"
        )
        for name in ("v1", "v2"):
            for output in of_type(messages.SendToVoter, outputs):
                if output.to == name:
                    message: Any = output.message
                    answers = of_type(messages.SendToVoter, self.voters[name].receive_voter("v0", 1, message, self.now))
                    fit: Any = answers[0].message
                    last = voter.receive_voter(name, 1, fit, self.now)
        self.assertEqual(len(of_type(messages.PersistVote, last)), 1)
        voter.vote_write_failed()
        self.assertEqual(len(of_type(messages.PersistVote, voter.tick(self.now + 5 * MS))), 1)
        self.assertEqual(of_type(messages.PersistVote, voter.tick(self.now + 10 * MS)), [])
        self.names = ["v0"]
        single_voter = self.make("v0", True)
        with self.assertRaises(VoteError):
            single_voter.vote_write_failed()

    def test_operator_aborts_a_change(self) -> None:
        first_result, _ = self.voters["v0"].abort(0, self.now)
        self.assertEqual(first_result, "")
        ident, _ = self.voters["v0"].propose([put("a")], 0, self.now)
        reason, outputs = self.voters["v0"].abort(0, self.now)
        self.deliver("v0", outputs)
        self.run_for(SECOND)
        self.assertIn(ident, reason)
        self.assertEqual((self.voters["v0"].outcomes[ident].state, self.voters["v0"].number), ("aborted", 0))
        self.assertEqual([entry.committed for entry in self.voters["v1"].history()], [False])

    def test_a_single_voter(self) -> None:
        self.names = ["v0"]
        single_voter = self.make("v0", True)
        single_voter.tick(self.now)
        ident, outputs = single_voter.propose([put("a")], 0, self.now)
        self.assertEqual((single_voter.outcomes[ident].state, single_voter.number), ("committed", 1))
        self.assertEqual([type(each) for each in outputs], [messages.PersistVote, messages.PersistVersion])
        single_voter.tick(self.now + 30 * MS)
        self.assertGreater(single_voter.lease_remaining_us(self.now + 30 * MS), SECOND)
        restarted = self.make("v0", False, 2)
        restarted.tick(self.now)
        self.assertEqual(
            (restarted.ready(), restarted.lease_remaining_us(self.now)),
            (False, 0),
            "it may have committed changes before",
        )

    def test_own_vote_does_not_count_after_its_write_failed(self) -> None:
        epochs = self.voters["v0"].epochs
        epochs.propose(msgspec.msgpack.encode(Proposed(0, NO_DIGEST, (put("a"),))), 0, self.now)
        epochs.abort(0, self.now)
        ballot_round = epochs.round
        assert ballot_round is not None
        self.assertEqual(ballot_round.current_answers(), ["v0"])
        epochs.on_save_failed()
        lives = {"v1": 1}
        epochs.receive("v1", 1, Promise(ballot_round.number, ballot_round.ballot, (-1, "", 0), None, lives), self.now)
        self.assertIsNone(ballot_round.value, "one promise of three")
        epochs.receive("v2", 1, Promise(ballot_round.number, ballot_round.ballot, (-1, "", 0), None, lives), self.now)
        self.assertIsNotNone(ballot_round.value)
        epochs.receive("v1", 1, Accepted(ballot_round.number, ballot_round.ballot, lives), self.now)
        self.assertEqual(epochs.epoch, 0, "one vote of three")


class StoreTest(unittest.TestCase):
    def setUp(self) -> None:
        self.versions = chain(6)
        replica = replica_at(self.versions[:3])
        self.table = b"".join(encode_table(3, replica.digest, replica.table))
        self.file = self.table + b"".join(map(encode_version, self.versions[3:]))

    def test_written_records_are_read_back(self) -> None:
        stored, want = decode_store(self.file), replica_at(self.versions)
        self.assertEqual(
            (stored.number, stored.digest, stored.table.entries, stored.table.content, stored.length),
            (6, want.digest, want.table.entries, want.table.content, len(self.file)),
        )
        self.assertEqual(list(stored.versions), self.versions[3:])
        empty = decode_store(b"".join(encode_table(0, NO_DIGEST, Table())))
        self.assertEqual((empty.number, len(empty.table)), (0, 0))
        self.assertEqual(
            decode_store(self.file + encode_version(self.versions[4])).number, 6, "a duplicate record is ignored"
        )

    def test_truncated_last_record_is_dropped_and_its_offset_reported(self) -> None:
        whole = len(self.file) - len(encode_version(self.versions[5]))
        for length in range(whole, len(self.file)):
            stored = decode_store(self.file[:length])
            self.assertEqual((stored.number, stored.length), (5, whole))
        for length in range(len(self.table)):
            with self.assertRaises(StoreError):
                decode_store(self.file[:length])

    def test_corrupt_file_is_rejected(self) -> None:
        last = len(self.file) - len(encode_version(self.versions[5]))
        for at in range(0, last, 7):
            spoilt = bytearray(self.file)
            spoilt[at] ^= 0x40
            with self.assertRaises(StoreError, msg=at):
                decode_store(bytes(spoilt))
        with self.assertRaisesRegex(StoreError, "follows"):
            decode_store(self.table + encode_version(self.versions[4]))


class HostileMessagesTest(unittest.TestCase):
    """Messages with arbitrary field values must not affect more than their own connection."""

    def test_random_messages_affect_only_their_own_connection(self) -> None:
        rng = random.Random(3)
        versions = chain(8)
        numbers = (-1, 0, 1, 3, 8, 9, 1 << 62)
        texts = ("", "n1", "x" * 2000)
        blobs = (b"", NO_DIGEST, versions[2].digest, b"\xff" * 40, msgspec.msgpack.encode([put("a")]))

        def number() -> int:
            return rng.choice(numbers)

        def random_message() -> Any:
            version = rng.choice(versions)
            return rng.choice(
                (
                    lambda: messages.Watch(
                        rng.choice((1, 2)), rng.choice(texts), number(), rng.random() < 0.5, number(), rng.choice(blobs)
                    ),
                    lambda: messages.Heartbeat(number(), number(), True, rng.choice(texts)),
                    lambda: messages.Acknowledge(number(), number()),
                    lambda: messages.Report(
                        number(), number(), number(), number(), number(), (messages.Standing("x", 1, ""),) * 20
                    ),
                    lambda: messages.Delta(msgspec.structs.replace(version, number=number(), parent=number())),
                    lambda: messages.Delta(version),
                    lambda: messages.SnapshotBegin(number(), rng.choice(blobs), rng.choice(blobs), number(), number()),
                    lambda: messages.SnapshotPiece(number(), rng.random() < 0.5, rng.choice(blobs)),
                    lambda: messages.Grant(number(), number(), number(), True),
                    lambda: messages.Refuse(rng.choice(texts), number()),
                )
            )()

        for _ in range(300):
            counters: Counter[str] = Counter()
            relay = Relay("r0", 1, ["v0", "v1"], WatchTerms(), PublishTerms(), 0, rng.random, counters)
            relay.start(0)
            relay.connected(0)
            relay.receive_upstream(messages.Delta(versions[0]), 0)
            relay.subscriber_connected(1, 0)
            relay.receive(1, messages.Watch(1, "good", 1, False, 1, versions[0].digest), 0)
            for step in range(30):
                link, now = rng.choice((2, 3)), step * 100 * MS
                if link not in relay.publisher.roster.links:
                    relay.subscriber_connected(link, now)
                relay.receive(link, random_message(), now)
                if relay.watch.state in (WatchState.WATCHING, WatchState.FETCHING):
                    relay.receive_upstream(random_message(), now)
                    self.assertLessEqual(relay.lease.expires_at_us, now + 60 * SECOND)
                elif of_type(messages.Dial, relay.tick(now)):
                    relay.connected(now)
                self.assertIn(1, relay.publisher.roster.links, "the valid subscriber stays connected")


class RetryLimitTest(unittest.TestCase):
    def test_retry_delay_is_limited(self) -> None:
        selection_terms = replace(WatchTerms(), reconnect_jitter_us=0)
        agent = Agent("n", 1, ["r0"], AgentTerms(watch=selection_terms), 0, lambda: 0.0, lambda v, t: "", Counter())
        agent.start(0)
        agent.connected(0)
        agent.receive(messages.Refuse("go away", 1 << 60), 0)
        self.assertLessEqual(agent.due, 60 * SECOND)


if __name__ == "__main__":
    unittest.main()
