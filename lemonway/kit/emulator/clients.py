"""Emulated clients. Each sends its request at the scheduled time, retries at most once without marking the retry, and
gives up without notifying the router.

A few send a keyed request again after it was served. That duplicate is not scored (its outcome is counted in
``Clients.doubles``) and must not start a run. Clients know routers only, never nodes."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

from .requests import Request
from .routing.router import Router
from .virtual import Loop


class Clients:
    """Submits the scheduled ``requests`` to ``routers`` and records each outcome."""

    def __init__(self, loop: Loop, requests: Sequence[Request], routers: Sequence[Router]) -> None:
        self.loop, self.requests, self.routers = loop, requests, routers
        self.pending = len(requests)
        self.duplicate_outcomes: Counter[str] = Counter()  # duplicates sent, and how many of them had each outcome
        self.on_finished: Callable[[Request], None] = lambda request: None
        self._next_index = 0

    def start(self) -> None:
        if self.requests:
            self.loop.at(self.requests[0].sent_at_us, self._submit_next)

    def _submit_next(self) -> None:
        """Submit the next request. The loop holds one scheduled request at a time, however long the schedule is."""
        request = self.requests[self._next_index]
        self._next_index += 1
        if self._next_index < len(self.requests):
            self.loop.at(self.requests[self._next_index].sent_at_us, self._submit_next)
        self._submit(request)

    def _submit(self, request: Request) -> None:
        request.submission_count += 1
        self.routers[request.router].submit(request, request.client_deadline_us, self._done)

    def _done(self, request: Request, outcome: str, body: bytes) -> None:
        now = self.loop.now
        request.outcome = outcome
        if outcome == "served":
            request.served_at_us = now
            if request.duplicate_delay_us:
                self.loop.after(request.duplicate_delay_us, self._submit_duplicate, request)
        elif (
            request.client_retries
            and request.submission_count == 1
            and now + request.client_retry_delay_us < request.client_deadline_us
        ):
            self.loop.after(request.client_retry_delay_us, self._submit, request)
            return
        self.pending -= 1
        self.on_finished(request)

    def _submit_duplicate(self, request: Request) -> None:
        self.duplicate_outcomes["sent"] += 1
        until = self.loop.now + request.client_deadline_us - request.sent_at_us
        self.routers[request.router].submit(
            request, until, lambda _, outcome, body: self.duplicate_outcomes.update([outcome])
        )
