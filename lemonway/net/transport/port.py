"""The routers' listening port: it accepts no more connections than the node may hold, and pauses at the limit.

Connections that are not accepted wait in the listen backlog, where nothing is lost: one that was accepted only to be
closed may already carry a request."""

from __future__ import annotations

import errno
import logging
import select
from collections import Counter
from typing import Any

from twisted.internet import main, tcp
from twisted.internet.interfaces import IListeningPort
from twisted.python.failure import Failure
from zope.interface import implementer

log = logging.getLogger(__name__)

MAX_SHED_PER_PAUSE = 16  # connections asked to close each time the limit is reached
MAX_ACCEPTS_PER_ITERATION = 64  # connections accepted per event-loop iteration
ACCEPT_PAUSE_S = 0.05  # pause in accepting at the connection limit, or when the system has no descriptor left
RESOURCE_ERRORS = {errno.EMFILE: "emfile", errno.ENFILE: "enfile", errno.ENOBUFS: "enobufs", errno.ENOMEM: "enomem"}


@implementer(IListeningPort)
class LimitedPort(tcp.Port):
    """``factory`` gives how many more connections it accepts (``room``), and closes idle ones on request (``shed``)."""

    socket: Any  # None while it is not listening

    def __init__(
        self, port: int, factory: Any, backlog: int, interface: str, reactor: Any, counters: Counter[str]
    ) -> None:
        super().__init__(port, factory, backlog, interface, reactor)
        self.counters = counters
        self.timer: Any = None
        factory.port = self

    def doRead(self) -> None:
        """Accept waiting connections up to the factory's limit."""
        factory: Any = self.factory
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if factory.room() <= 0:
                self.counters["accept_rests"] += 1
                if not factory.shed(MAX_SHED_PER_PAUSE):  # else there is room in the next iteration
                    self._pause_accepting()
                return
            try:
                accepted, address = self.socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                name = RESOURCE_ERRORS.get(error.errno or 0)
                if name is None:
                    continue  # the peer has already closed it (ECONNABORTED and the like)
                self.counters[f"accept_{name}"] += 1
                factory.shed()
                self._pause_accepting()
                return
            try:
                self._serve(accepted, address)
            except Exception:  # on an escaped exception the reactor would drop the port for good
                self.counters["accept_faults"] += 1
                log.exception("an accepted connection could not be set up; closing it")
                accepted.close()

    def _serve(self, accepted: Any, address: Any) -> None:
        accepted.setblocking(False)
        factory: Any = self.factory
        protocol = factory.buildProtocol(self._buildAddr(address))  # type: ignore[no-untyped-call]
        if protocol is None:
            accepted.close()
            return
        number, self.sessionno = self.sessionno, self.sessionno + 1
        protocol.makeConnection(self.transport(accepted, protocol, address, self, number, self.reactor))

    def _pause_accepting(self) -> None:
        """Pause accepting: a backlog that is not emptied would wake the reactor continuously."""
        self.stopReading()  # type: ignore[no-untyped-call]
        if self.timer is None:
            self.timer = self.reactor.callLater(ACCEPT_PAUSE_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        self.timer = None
        if self.connected:
            self.startReading()  # type: ignore[no-untyped-call]

    def accept_pending(self) -> None:
        """Accept every waiting connection: closing the port would reset them along with requests already sent."""
        ready = select.poll()
        ready.register(self.socket.fileno(), select.POLLIN)
        for _ in range(MAX_ACCEPTS_PER_ITERATION):
            if self.factory.room() <= 0 or not ready.poll(0):  # type: ignore[union-attr]
                return
            self.doRead()

    def close_now(self) -> None:
        """Close now: ``stopListening`` closes one reactor iteration later, resetting connections made until then."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if self.connected:
            self.accept_pending()
            self.stopReading()  # type: ignore[no-untyped-call]
            self.connectionLost(Failure(main.CONNECTION_DONE))  # type: ignore[no-untyped-call]
