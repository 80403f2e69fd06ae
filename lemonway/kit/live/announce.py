"""The ``announce`` part: receives node reports over UDP and streams list changes to subscribers over TCP."""

from __future__ import annotations

from typing import Any

from twisted.internet.protocol import DatagramProtocol, Protocol, connectionDone
from twisted.python.failure import Failure

from ..emulator.membership import AnnounceService
from ..emulator.virtual import Streams, Uniform
from ..emulator.wire.peers import parse_report
from .part import Control, Part


class ListSubscriberConnection(Protocol):
    """A subscriber's connection. Each list entry or change is sent as a line ``NAME true|false``."""

    transport: Any

    def __init__(self, feed: ListFeed) -> None:
        self.feed = feed

    def connectionMade(self) -> None:
        self.feed.watchers[self] = None
        for name, listed in self.feed.listed_by_name.items():
            self.send_entry(name, listed)

    def connectionLost(self, reason: Failure = connectionDone) -> None:
        self.feed.watchers.pop(self, None)

    def send_entry(self, name: str, listed: bool) -> None:
        self.transport.write(f"{name} {'true' if listed else 'false'}\n".encode())


class ListFeed:
    """A view of the announce service that forwards each change to the subscribers without delay; each router adds its
    own lag."""

    def __init__(self, service: AnnounceService) -> None:
        self.listed_by_name = {name: False for name in service.entries}
        self.watchers: dict[ListSubscriberConnection, None] = {}
        service.views.append(self)  # type: ignore[arg-type]

    def lag(self) -> int:
        return 0

    def apply_change(self, name: str, listed: bool, version: int) -> None:
        self.listed_by_name[name] = listed
        for watcher in self.watchers:
            watcher.send_entry(name, listed)

    def buildProtocol(self, addr: Any) -> ListSubscriberConnection:
        return ListSubscriberConnection(self)


class ReportReceiver(DatagramProtocol):
    """Receives node reports, of which the scenario's share is dropped to model losses."""

    def __init__(self, part: AnnouncePart) -> None:
        self.part = part

    def datagramReceived(self, datagram: bytes, addr: Any) -> None:
        self.part.loop.catch_up()
        report = parse_report(datagram)
        if report is None or report[0] not in self.part.service.entries:
            self.part.bad_report_count += 1
        elif self.part.uniform() >= self.part.scenario.wire.report_loss:
            self.part.service.report(*report)


class AnnouncePart(Part):
    role = "announce"

    def __init__(self, job: dict[str, Any], reactor: Any, control: Control) -> None:
        super().__init__(job, reactor, control)
        self.bad_report_count = 0
        self.uniform = Uniform(Streams(self.seed)["announce/loss"])
        self.service = AnnounceService(self.loop, [f"entrega-{n}" for n in range(self.scenario.fleet.nodes)])
        self.feed = ListFeed(self.service)

    def open_ports(self) -> None:
        ports = [self.reactor.listenUDP(0, ReportReceiver(self), interface=self.host) for _ in (0, 1)]
        feed = self.listen(self.feed)
        self.send_message(
            ready={
                "reports": [f"{self.host}:{port.getHost().port}" for port in ports],
                "feed": [self.host, feed.getHost().port],
            }
        )

    def finish(self, message: dict[str, Any]) -> None:
        self.send_result({"changes": self.service.changes, "bad_reports": self.bad_report_count})


part_class = AnnouncePart
