"""Clients: each asks when the schedule says so, asks a second time at most, unmarked, and gives up without a word. A
few send a keyed request once more after it was served, which counts for nothing and must run nothing. It
must not know nodes, only routers."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from .requests import Request
from .routing.router import Router
from .virtual import Loop


class Clients:
    def __init__(self, loop: Loop, requests: Sequence[Request], routers: Sequence[Router]) -> None:
        self.loop, self.requests, self.routers = loop, requests, routers
        self.pending = len(requests)
        self.doubles: Counter[str] = Counter()
        self.finished: Callable[[Request], None] = lambda request: None
        self._next = 0

    def start(self) -> None:
        if self.requests:
            self.loop.at(self.requests[0].asked, self._ask)

    def _ask(self) -> None:
        """One event at a time is on the loop, however long the schedule is."""
        request = self.requests[self._next]
        self._next += 1
        if self._next < len(self.requests):
            self.loop.at(self.requests[self._next].asked, self._ask)
        self._submit(request)

    def _submit(self, request: Request) -> None:
        request.asks += 1
        self.routers[request.router].submit(request, request.until, self._done)

    def _done(self, request: Request, word: str, body: bytes) -> None:
        now = self.loop.now
        request.outcome = word
        if word == "served":
            request.served_at = now
            if request.double:
                self.loop.after(request.double, self._double, request)
        elif request.again and request.asks == 1 and now + request.pause < request.until:
            self.loop.after(request.pause, self._submit, request)
            return
        self.pending -= 1
        self.finished(request)

    def _double(self, request: Request) -> None:
        self.doubles["sent"] += 1
        until = self.loop.now + request.until - request.asked
        self.routers[request.router].submit(request, until, lambda r, word, body: self.doubles.update([word]))
