"""Announce service and list by number of nodes. The program keeps no list: a node only reports itself, and callers
watch the service. What the service and a watcher would carry is worked out from the bytes that are written."""

from __future__ import annotations

from typing import Any

from lemonway.kit.live.announce import ListFeed, ListSubscriberConnection
from lemonway.net.protocol.announce import encode_report
from lemonway.net.routing.core import ANNOUNCE_INTERVAL_US

from .epochs import SECOND, node_names
from .meters import processor_us
from .model import CALLERS, NODES, Budget, Probe, Series, series

SIZES, QUICK_SIZES = (500, 1_000, 2_500, 5_000), (20, 40, 80, 160)
UDP_HEADERS = 28  # bytes of IPv4 and UDP
CHANGES_A_DAY = 2 * (710 + 16_000)  # each failed or restarted node leaves the list and comes back
SECONDS_A_DAY = 86_400


def reports_a_second() -> float:
    """Datagrams that one node sends, whatever the size of the fleet."""
    return SECOND / ANNOUNCE_INTERVAL_US


def report_bytes_a_second() -> float:
    """With the headers of each datagram."""
    return reports_a_second() * (len(encode_report(node_names(1)[0], True)) + UDP_HEADERS)


class _Transport:
    """Counts what a watcher is told."""

    def __init__(self) -> None:
        self.written = 0

    def write(self, data: bytes) -> None:
        self.written += len(data)


class _Service:
    """As much of the stand-in's service as its feed asks for."""

    def __init__(self, names: list[str]) -> None:
        self.entries: dict[str, Any] = dict.fromkeys(names)
        self.views: list[Any] = []


def listed_bytes(size: int) -> int:
    """What the stand-in's feed writes to one watcher for a list of ``size`` nodes."""
    names = node_names(size)
    service: Any = _Service(names)
    feed = ListFeed(service)
    watcher, transport = ListSubscriberConnection(feed), _Transport()
    watcher.transport = transport
    feed.watchers[watcher] = None
    for version, name in enumerate(names):
        feed.apply_change(name, True, version)
    return transport.written


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    node: dict[int, float] = {}
    service: dict[int, float] = {}
    whole: dict[int, float] = {}
    encoding: dict[int, float] = {}
    fan_out: dict[int, float] = {}
    for size in QUICK_SIZES if quick else SIZES:
        node[size] = report_bytes_a_second() / 1000
        service[size] = size * reports_a_second()
        whole[size] = listed_bytes(size) / 1000
        encoding[size] = processor_us(lambda: encode_report("image-node-0001", True), times=1_000)
        fan_out[size] = size / NODES * CHANGES_A_DAY / SECONDS_A_DAY * CALLERS
    return [
        series("a node's reports, with headers", "KB/s", "nodes", node, NODES, Budget(9.0, "control traffic"), True),
        series("making a report", "us", "nodes", encoding, NODES),
        series("reports at the announce service", "datagrams/s", "nodes", service, NODES, exact=True),
        series("the whole list to one watcher (the stand-in's feed)", "KB", "nodes", whole, NODES, exact=True),
        series("changes of the list to 180,000 watchers", "messages/s", "nodes", fan_out, NODES, exact=True),
    ]


PROBE = Probe("listing", "announce and list by number of nodes", run)
