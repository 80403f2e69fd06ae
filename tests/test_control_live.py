"""The control group live: links over sockets, the files, and real processes of voters, relays and nodes."""

from __future__ import annotations

import socket
import struct
import unittest
import unittest.mock
from collections import Counter
from collections.abc import Callable
from typing import Any

import msgspec
from twisted.internet import selectreactor

from lemonway.control.messages import PROTOCOL, FromPublisher, FromSubscriber, Grant, Heartbeat, Refuse, Watch
from lemonway.control.versions import NO_DIGEST
from lemonway.net.protocol.control import PUBLISHER_MESSAGE_MOST, SUBSCRIBER_MESSAGE_MOST, WatchClient, WatchServer
from lemonway.net.transport.clock import Clock, Turns

HELLO = Watch(PROTOCOL, "n1", 1, False, 0, NO_DIGEST)


class Publisher:
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


class Subscriber:
    def __init__(self) -> None:
        self.events: list[str] = []
        self.heard: list[FromPublisher] = []

    def link_connected(self) -> None:
        self.events.append("connected")

    def link_disconnected(self) -> None:
        self.events.append("disconnected")

    def publisher_said(self, message: FromPublisher) -> None:
        self.heard.append(message)


class Links(unittest.TestCase):
    def setUp(self) -> None:
        self.reactor: Any = selectreactor.SelectReactor()  # type: ignore[no-untyped-call]
        self.turns = Turns(self.reactor, Clock())
        self.counters: Counter[str] = Counter()
        self.publisher = Publisher()
        self.server = WatchServer(self.turns, self.counters, queue_bytes=64 * 1024, links_most=4)
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

    def spin(self, until: Callable[[], Any], turns: int = 4000) -> None:
        for _ in range(turns):
            if until():
                return
            self.reactor.iterate(0.005)
        self.fail("it did not happen")

    def watch(self) -> tuple[WatchClient, Subscriber]:
        """A connected subscriber that has said who it is."""
        client, subscriber = WatchClient(self.reactor, self.turns, {"r1": self.address}, self.counters), Subscriber()
        client.events = subscriber
        known = len(self.publisher.received)
        client.dial("r1")
        self.spin(lambda: subscriber.events == ["connected"])
        client.say(HELLO)
        self.spin(lambda: len(self.publisher.received) > known)
        return client, subscriber

    def test_both_ways_and_orderly_closes(self) -> None:
        client, subscriber = self.watch()
        link = self.publisher.accepted[0]
        self.assertEqual(self.publisher.received, [(link, HELLO)])
        self.server.send(link, Grant(5, 1, 9, True))
        self.server.send(link, Refuse("full", 7))
        self.server.drop(link)
        self.spin(lambda: subscriber.events[1:])
        self.assertEqual(subscriber.heard, [Grant(5, 1, 9, True), Refuse("full", 7)], "said before the end")
        self.assertEqual((subscriber.events[1:], self.publisher.lost), (["disconnected"], []), "who closes is not told")
        client.dial("r1")
        self.spin(lambda: len(self.publisher.accepted) == 2)
        client.hang_up()
        self.spin(lambda: self.publisher.lost == [self.publisher.accepted[1]])
        self.assertEqual(subscriber.events[2:], ["connected"])
        client.dial("nobody")
        self.spin(lambda: subscriber.events[3:] == ["disconnected"])

    def test_a_message_to_many_links_in_a_row_is_encoded_once(self) -> None:
        watches = [self.watch()[1] for _ in range(3)]
        encoded = []
        encoder = msgspec.msgpack.Encoder()

        class Counting:
            def encode(self, message: Any) -> bytes:
                encoded.append(message)
                return encoder.encode(message)

        grant = Grant(5, 1, 9, True)
        with unittest.mock.patch("lemonway.net.protocol.control._encoder", Counting()):
            for link in self.publisher.accepted:
                self.server.send(link, grant)
        self.spin(lambda: all(each.heard == [grant] for each in watches))
        self.assertEqual(encoded, [grant])

    def test_strange_overlong_and_misplaced_messages_cost_their_own_link(self) -> None:
        client, _ = self.watch()
        frames = {
            "strange": struct.pack(">I", 3) + b"\xc1\xc1\xc1",
            "overlong": struct.pack(">I", SUBSCRIBER_MESSAGE_MOST + 1),
            "empty": struct.pack(">I", 0),
            "a publisher's": (lambda data: struct.pack(">I", len(data)) + data)(
                msgspec.msgpack.encode(Grant(1, 1, 1, True))),
            "another field's type": (lambda data: struct.pack(">I", len(data)) + data)(
                msgspec.msgpack.encode(["watch", "old"])),
        }
        for n, (what, data) in enumerate(frames.items(), 1):
            with socket.create_connection(self.address) as stranger, self.subTest(what):
                stranger.sendall(data)
                self.spin(lambda n=n: len(self.publisher.lost) == n)  # type: ignore[misc]
                self.assertEqual(self.counters["control_messages_rejected"], n)
        client.say(Heartbeat(1, 0, True, ""))
        self.spin(lambda: len(self.publisher.received) == 2)
        self.assertEqual(len(self.server.links), 1, "the other link goes on")

    def test_a_publisher_that_says_what_no_subscriber_reads_is_left(self) -> None:
        _, subscriber = self.watch()
        connection = self.server.links[self.publisher.accepted[0]]
        connection.send(struct.pack(">I", PUBLISHER_MESSAGE_MOST + 1))
        self.spin(lambda: subscriber.events[1:] == ["disconnected"])
        self.assertEqual(self.counters["control_messages_rejected"], 1)

    def test_a_slow_reader_is_cut_at_its_bound(self) -> None:
        _, quick = self.watch()
        with socket.create_connection(self.address):  # it never reads
            self.spin(lambda: len(self.publisher.accepted) == 2)
            link = self.publisher.accepted[1]
            sent = 0
            while not self.publisher.lost and sent < 4000:
                self.server.send(link, Refuse("x" * 8000, sent))
                self.assertLessEqual(self.server.queued(link), 64 * 1024)
                sent += 1
                self.reactor.iterate(0)
            self.assertEqual(self.publisher.lost, [link])
        self.assertEqual(self.counters["control_links_cut"], 1)
        self.server.send(self.publisher.accepted[0], Grant(5, 1, 9, True))
        self.spin(lambda: quick.heard)

    def test_links_past_the_bound_are_closed(self) -> None:
        for _ in range(4):
            self.watch()
        with socket.create_connection(self.address) as fifth:
            fifth.setblocking(False)
            self.spin(lambda: self.counters["control_links_over"] == 1)
        self.assertEqual(len(self.publisher.accepted), 4)


if __name__ == "__main__":
    unittest.main()
