"""The peers of a complete node over pipes: router connections, the pool's end of its link, and the local backend proxy.
They only translate between the protocols and the emulator's models."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, Protocol

from ....interface import Outcome, Settings
from ....net.ports import Answer, Verdict
from ...acervo import EXTRAS, REPLIES, SPOILT, AcervoSide
from ...clients import RouterClient, RouterSide
from ...pool import PoolSide
from ..node import Calls, EmulatedIncarnation
from ..requests import Try
from ..routing.router import Router
from ..state.pool import Pool
from ..virtual import Loop, Uniform
from .pipes import Endpoint, PipeNetwork

CLOSE_RACE_US = 50_000  # a request sent this shortly before its connection closed may not have reached the node
MAX_OPEN_REQUESTS = 32  # unanswered requests per connection (PROTOCOL)
VERDICTS = {"RESULT": Verdict.SERVED, "REJECT": Verdict.REFUSED}
OUTCOME_WORDS = {Outcome.OK: b"good", Outcome.ERROR: b"bad", Outcome.CANCELLED: b"cut", Outcome.MOOT: b"gone"}
REPLY_NAMES = {Outcome.OK: "ok", Outcome.TURNED_AWAY: "declined", Outcome.TIMED_OUT: "late", Outcome.ERROR: "failed"}


class RemoteNode(Protocol):
    """A node as seen by the connections to it."""

    name: str
    dead: bool
    tenant_names: list[str]
    settings: Settings
    plumbing: PipeNetwork

    @property
    def loop(self) -> Loop:
        """The event loop of the emulated run."""

    def heard(self, link: WireLink, tag: int, answer: Answer) -> None:
        """An answer arrived at the router's end of a connection."""

    def refused(self, link: WireLink, attempt: Try) -> None:
        """The connection for the try failed, so the node never received it."""

    def broken(self, link: WireLink, attempt: Try) -> None:
        """A connection closed before the try was answered."""


class NodeConnection:
    """One connection of a router to a node; the client of ``kit.clients.RouterSide``."""

    noisy = False

    def __init__(self, link: WireLink) -> None:
        self.link = link
        self.side: RouterSide | None = None
        self.open: dict[int, Try] = {}
        self.unsent_frames: list[bytes] = []
        self.drained = self._closed = False
        link.incarnation.plumbing.connect((link.incarnation.name, 1), self, link.router)

    def buildProtocol(self, addr: object) -> RouterSide:
        return RouterSide(self)  # type: ignore[arg-type]

    def clientConnectionFailed(self, connector: object, reason: object) -> None:
        """The node no longer listens; the open requests were never sent."""
        self._closed = True
        opened, self.open = self.open, {}
        self.link.refused(self, opened)

    @property
    def closed(self) -> bool:
        return self._closed

    @closed.setter
    def closed(self, value: bool) -> None:
        """The connection has closed: ``WireLink.ended`` resends its open requests or reports them as unanswered."""
        self._closed = value
        self.link.ended(self)

    def send(self, frame: bytes) -> None:
        self.unsent_frames.append(frame)
        if self.side is not None:
            self.flush()
        elif len(self.unsent_frames) == 1:  # the connection is established by then, and all waiting frames go at once
            self.link.incarnation.loop.after(3 * self.link.incarnation.plumbing.behaviour.delay_us, self.flush)

    def flush(self) -> None:
        if self.side is not None and self.unsent_frames:
            data, self.unsent_frames = b"".join(self.unsent_frames), []
            self.side.transport.write(data)

    def received(self, items: list[bytes]) -> None:
        tag, status = int(items[0]), items[1].decode()
        text = items[2].decode() if len(items) > 2 else ""
        fields = dict(pair.split("=", 1) for pair in text.split(",")) if text else {}
        feedback = float(fields["feedback"]) if "feedback" in fields else None
        if tag == 0:
            # Tag 0 asks the router to send no more requests on this connection and to close it once all are answered.
            # The node closes idle connections this way, and all of them when it stops listening (PROTOCOL).
            self.drained = True
        elif status in ("READY", "UNREADY"):
            self.link.checked(tag, status == "READY", feedback)
        else:
            self.open.pop(tag, None)
            self.link.incarnation.heard(
                self.link,
                tag,
                Answer(
                    VERDICTS.get(status, Verdict.FAILED),
                    feedback,
                    int(fields.get("later", 0)),
                    fields.get("giveup") == "1",
                    body=items[3] if len(items) > 3 else b"",
                ),
            )
        self.close_if_done()

    def close_if_done(self) -> None:
        if self.drained and not self.open and self.side is not None:
            self.side.transport.loseConnection()


class WireLink:
    """A router's connections to one node process, each with at most 32 open requests."""

    connection_type = NodeConnection

    def __init__(self, life: RemoteNode, router: Router, delay: int) -> None:
        self.incarnation, self.router, self.delay = life, router, delay
        self.callers: list[NodeConnection] = []
        self.check_connection: NodeConnection | None = None

    def call(self, attempt: Try) -> None:
        caller = next(
            (c for c in self.callers if len(c.open) < MAX_OPEN_REQUESTS and not c.drained and not c.closed), None
        )
        if caller is None:
            caller = self.connection_type(self)
            self.callers.append(caller)
        caller.open[attempt.number] = attempt
        attempt.written_at_us = self.incarnation.loop.now
        client_request, life = attempt.request, self.incarnation
        fields = [
            f"txn={attempt.txn}",
            f"door={attempt.arrived_unix_ms}",
            f"lb={self.router.number}",
            f"ram={client_request.memory_kb:.3f}",
            f"standing={min(client_request.rank, 0.9999):.4f}",
        ]
        if life.tenant_names:
            fields.append(f"team={life.tenant_names[client_request.tenant]}")
        if client_request.hint is not None:
            fields.append(f"cpu={client_request.hint:.2f}")
        if client_request.idempotency_key:
            fields.append(f"unique={client_request.idempotency_key}")
        elif client_request.item_id:
            fields.append(f"item={client_request.item_id:016x}")
        caller.send(
            RouterClient.frame(
                b"CALL",
                b"%d" % attempt.number,
                life.settings.request_classes[client_request.class_index].name.encode(),
                ",".join(fields).encode(),
                attempt.body,
            )
        )

    def check(self, tag: int, deep: bool) -> None:
        if self.check_connection is None or self.check_connection.closed or self.check_connection.drained:
            self.check_connection = self.connection_type(self)
        self.check_connection.send(RouterClient.frame(b"CHECK", b"%d" % tag, b"probe=%d" % deep))

    def checked(self, tag: int, healthy: bool, feedback: float | None) -> None:
        self.incarnation.loop.after(self.delay, self.router.on_check_result, self.incarnation.name, healthy, feedback)

    def refused(self, caller: NodeConnection, opened: dict[int, Try]) -> None:
        if caller in self.callers:
            self.callers.remove(caller)
        for attempt in opened.values():
            self.incarnation.refused(self, attempt)

    def ended(self, caller: NodeConnection) -> None:
        opened, caller.open = caller.open, {}
        if caller in self.callers:
            self.callers.remove(caller)
        for attempt in opened.values():
            if attempt.written_at_us > self.incarnation.loop.now - CLOSE_RACE_US and not (
                attempt.resent or attempt.connection_lost or self.incarnation.dead
            ):
                # The node may have closed before it read the request: resent once on a new connection (PROTOCOL).
                attempt.resent = True
                self.call(attempt)
            else:
                self.incarnation.broken(self, attempt)

    def reset(self) -> None:
        """Resets the connections from the router's side. Answers in transit are lost, which is not a rule violation."""
        for caller in list(self.callers):
            for attempt in caller.open.values():
                attempt.connection_lost = True
            if caller.side is not None:
                end: Endpoint = caller.side.transport
                end.cut()


class PoolEnd:
    """The pool's end of the link: passes commands to the emulated pool and sends its notices as lines. A share of the
    numbered notices is sent twice with the same serial, and a share of all is followed by a ``chatter`` line, which the
    node has to ignore."""

    noisy = False

    def __init__(self, pool: Pool, uniform: Uniform, duplicate_share: float, chatter_share: float) -> None:
        self.pool, self.uniform, self.duplicate_share, self.chatter_share = (
            pool,
            uniform,
            duplicate_share,
            chatter_share,
        )
        self.link: PoolSide | None = None
        pool.events = self  # type: ignore[assignment]

    def buildProtocol(self, addr: object) -> PoolSide:
        return PoolSide(self)  # type: ignore[arg-type]

    def command(self, side: PoolSide, name: str, words: list[str], body: bytes) -> None:
        pool = self.pool
        if name == "bind":
            self.link = side
            pool.linked = False
            pool.link(last_delivered=int(words[0]))
        elif side is not self.link:
            return  # from a link that was replaced
        elif name == "spawn":
            pool.spawn(words[0], words[1], body)
        elif name == "suspend":
            pool.suspend(words[0])
        elif name == "supply":
            pool.supply(words[0], body)
        elif name == "poll":
            pool.poll(words[0])
        elif name == "verify":
            pool.verify(words[0])
        else:
            side.transport.loseConnection()

    # notices (``net.ports.PoolEvents``)

    def _send_notice(self, line: bytes, payload: bytes | None = None, numbered: bool = True) -> None:
        if self.link is None:
            return
        data = line + b"\r\n" + (payload + b"\r\n" if payload is not None else b"")
        if numbered and self.duplicate_share and self.uniform() < self.duplicate_share:
            data += data
        if self.chatter_share and self.uniform() < self.chatter_share:
            data += b"chatter %d all is well\r\n" % self.pool.last_delivered_serial
        self.link.transport.write(data)

    def bound(self, fresh: bool, age: int) -> None:
        self._send_notice(b"bound %b %d" % (b"new" if fresh else b"old", age // 1000), numbered=False)

    def finished(self, txn: str, outcome: Outcome, ms: float, body: bytes) -> None:
        self._send_notice(
            b"finished %d %b %b %.3f %d"
            % (self.pool.delivering_serial, txn.encode(), OUTCOME_WORDS[outcome], ms, len(body)),
            body,
        )

    def blocked(self, txn: str, body: bytes) -> None:
        self._send_notice(b"blocked %d %b %d" % (self.pool.delivering_serial, txn.encode(), len(body)), body)

    def polled(self, token: str, gauges: tuple[float, ...]) -> None:
        self._send_notice(b"polled %b %b" % (token.encode(), b" ".join(b"%.4f" % g for g in gauges)), numbered=False)

    def verified(self, token: str, healthy: bool) -> None:
        self._send_notice(b"verified %b %b" % (token.encode(), b"good" if healthy else b"bad"), numbered=False)

    def command_unknown(self, command: str, txn: str) -> None:
        self._send_notice(b"unknown %b %b" % (command.encode(), txn.encode()), numbered=False)

    def link_lost(self) -> None:
        """Breaks the link, possibly in the middle of a notice."""
        if self.link is not None and self.link.transport is not None:
            end: Endpoint = self.link.transport
            self.link = None
            end.cut()

    def link_restored(self) -> None:
        """Nothing to send: the node detects this itself, by its first poll on a new link."""


class Proxy(Calls):
    """The local backend proxy: accepts HTTP from the node and passes it on as emulated calls to the backend tier. A
    share of its replies is corrupted, and a share has extra bytes before or after it."""

    noisy = False

    def __init__(
        self,
        life: EmulatedIncarnation,
        router: Router,
        number: Callable[[], int],
        uniform: Uniform,
        corrupt_share: float,
        extra_share: float,
    ) -> None:
        super().__init__(life, router, number)
        self.uniform, self.corrupt_share, self.extra_share = uniform, corrupt_share, extra_share
        self.sides: dict[AcervoSide, None] = {}
        self.patiences: list[int] = []
        self.sides_by_ident: dict[int, AcervoSide] = {}
        self.last_ident = 0

    def buildProtocol(self, addr: object) -> AcervoSide:
        return AcervoSide(self)  # type: ignore[arg-type]

    def called(self, side: AcervoSide, txn: str, body: bytes) -> None:
        timeout_us = self.patiences.pop() * 1000  # from the call's X-Patience header, in milliseconds
        self.last_ident += 1
        if self.parent(txn, body) is None or not self.is_awaited(txn, body):
            self._reply(side, "over", b"")
            return
        self.sides_by_ident[self.last_ident] = side
        self.call(self.last_ident, txn, timeout_us, body, False)

    def _ended(self, ident: int, number: int, outcome: Outcome, body: bytes) -> None:
        side = self.sides_by_ident.pop(ident, None)
        self.open.pop(ident, None)
        if side is not None and side in self.sides and not self.incarnation.dead:
            if outcome is Outcome.UNREACHABLE:
                side.transport.abortConnection()
            else:
                self._reply(side, REPLY_NAMES[outcome], body)

    def _reply(self, side: AcervoSide, status: str, body: bytes) -> None:
        before, after = b"", b""
        if self.corrupt_share and self.uniform() < self.corrupt_share:
            corrupt_replies = [*SPOILT.values(), None]  # None: the connection is reset instead of a reply
            data = corrupt_replies[self.uniform.below(len(corrupt_replies))]
            if data is None:
                side.transport.abortConnection()
            else:
                side.transport.write(data)
            return
        if self.extra_share and self.uniform() < self.extra_share:
            before, after = list(EXTRAS.values())[self.uniform.below(len(EXTRAS))]
        side.transport.write(before + REPLIES[status] + b"Content-Length: %d\r\n\r\n" % len(body) + body + after)


def parse_report(datagram: bytes) -> tuple[str, bool] | None:
    """Parses a report to the announce service. Returns the node's name and whether it accepts requests, or None."""
    words: list[Any] = datagram.decode("ascii", "replace").split(" ")
    if len(words) != 3 or words[0] != "announce" or words[2] not in ("true", "false"):
        return None
    return words[1], words[2] == "true"
