"""A router: sends requests to the nodes on its list, waits for answers, and retries according to its configuration. It
uses only its list, its own requests and the answers to them."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from ....net.ports import Answer, Verdict
from ..membership import View
from ..requests import Request, Try
from ..virtual import Loop, Uniform
from .limits import RetryBudget, Throttle
from .peers import Peer
from .picks import Picker

SAME_NODE_BACKOFF_US = 50_000  # before a keyed request that may have run is retried on its node; doubles each time
MAX_SAME_NODE_RETRIES = 6
HEDGE_LATENCY_FACTOR = 3.0  # times the mean latency after which a second copy of a safe request is sent
DRAIN_TTL_US = 10_000_000  # for which a node that sent DRAIN gets no new requests
MAX_PINNED_KEYS = 4096  # idempotency keys whose node is remembered


@dataclass(frozen=True)
class RouterBehaviour:
    """The features of a router. ``retry``: none, budget, or unlimited (on through the list, without a retry budget).
    ``timeout_share``: the timeout of one try, as a share of the request class's deadline."""

    pick: str = "round"
    retry: str = "none"
    retry_share: float = 0.2
    timeout_share: float = 1.0
    follows_feedback: bool = True  # minimum ranks and retry-after times sent by nodes
    hedges: bool = False
    checks: bool = False
    ejects: bool = False
    throttles: bool = False


class Network(Protocol):
    def send(self, router: Router, attempt: Try) -> None: ...

    def check(self, router: Router, name: str, tag: int) -> None: ...


class PendingRequest:
    """A request that the router has accepted and not yet answered."""

    __slots__ = (
        "request",
        "on_done",
        "expires_at",
        "tried_nodes",
        "open_tries",
        "done",
        "last_outcome",
        "pinned_node",
        "same_node_retries",
        "hedged",
        "sent_tries",
        "may_have_run",
    )

    def __init__(self, request: Request, expires_at: int, on_done: Callable[[Request, str, bytes], None]) -> None:
        self.request, self.expires_at, self.on_done = request, expires_at, on_done
        self.tried_nodes: set[str] = set()
        self.open_tries = 0  # tries that wait for an answer
        self.done = self.hedged = False
        self.may_have_run = False  # whether any of its tries may have run
        self.last_outcome = ""
        self.pinned_node = ""  # the node on which a keyed request may have run
        self.same_node_retries = self.sent_tries = 0


class Router:
    def __init__(
        self,
        loop: Loop,
        number: int,
        behaviour: RouterBehaviour,
        view: View,
        network: Network,
        uniform: Uniform,
        next_try_number: Callable[[], int],
        deadlines_us: list[int],
        feedback_ttl_us: int,
        weights: dict[str, float] | None = None,
        check_interval_us: int = 1_000_000,
    ) -> None:
        """``deadlines_us`` by request class; ``feedback_ttl_us`` is how long a minimum rank stays valid."""
        self.loop, self.number, self.behaviour, self.view, self.network = loop, number, behaviour, view, network
        self.uniform, self.next_try_number = uniform, next_try_number
        self.deadlines_us, self.feedback_ttl_us = deadlines_us, feedback_ttl_us
        self.peers = {
            name: Peer(name, position, (weights or {}).get(name, 1.0)) for position, name in enumerate(view.names)
        }
        self.pick = Picker(behaviour.pick, uniform)
        self.budget, self.throttle = RetryBudget(behaviour.retry_share), Throttle()
        self.counters: Counter[str] = Counter()
        self.check_interval_us = check_interval_us
        self._pending: dict[int, PendingRequest] = {}  # by the number of each open try
        self._pinned_nodes: OrderedDict[str, str] = OrderedDict()  # by idempotency key, of requests that may have run
        self._listed_peers: list[Peer] = []
        self._list_outdated = True
        view.on_change = self._on_list_change
        if behaviour.checks:
            loop.after(int(uniform() * check_interval_us), self._check_nodes)

    def _on_list_change(self) -> None:
        self._list_outdated = True

    # requests

    def submit(self, request: Request, expires_at: int, on_done: Callable[[Request, str, bytes], None]) -> None:
        """Calls ``on_done`` once, with served, refused, failed, late, unsent or throttled, and the result."""
        now, pending = self.loop.now, PendingRequest(request, expires_at, on_done)
        if request.keyed:
            pending.pinned_node = self._pinned_nodes.get(request.idempotency_key, "")
        if self.behaviour.throttles:
            if self.uniform() < self.throttle.reject_probability(now):
                self.throttle.record_request(now)
                self._finish(pending, "throttled", b"")
                return
            self.throttle.record_request(now)
        self.budget.add_first_try()
        self._send_next(pending)

    def _send_next(self, pending: PendingRequest) -> None:
        now, request, behaviour = self.loop.now, pending.request, self.behaviour
        if pending.done:
            return
        if now >= pending.expires_at:
            self._finish(pending, "late", b"")
            return
        if pending.pinned_node:
            peer = self.peers[pending.pinned_node]
            if not self.view.names[pending.pinned_node]:  # no longer listed: whether it ran cannot be found out
                self._finish(pending, pending.last_outcome or "unsent", b"")
                return
        else:
            rank, tried_nodes = request.rank, pending.tried_nodes
            if self._list_outdated:
                self._list_outdated, self._listed_peers = False, [self.peers[name] for name in self.view.listed]
            available = [
                p
                for p in self._listed_peers
                if not p.maybe_excluded
                or p.accepts(now, rank, behaviour.follows_feedback, behaviour.ejects, behaviour.checks)
            ]
            if tried_nodes:
                available = [p for p in available if p.name not in tried_nodes]
            if not available:
                self._finish(pending, pending.last_outcome or "unsent", b"")
                return
            peer = self.pick(available, request.idempotency_key or str(request.item_id))
        self._send(pending, peer)

    def _send(self, pending: PendingRequest, peer: Peer) -> None:
        now, request = self.loop.now, pending.request
        number = self.next_try_number()
        attempt = Try(
            number,
            f"{number:016x}",
            request,
            peer.name,
            now,
            self.number,
            request.body,
            request.work,
            request.wait,
            request.calls,
        )
        pending.tried_nodes.add(peer.name)
        pending.open_tries += 1
        pending.sent_tries += 1
        request.try_count += 1
        peer.outstanding += 1
        peer.sent += 1
        self._pending[number] = pending
        timeout_us = int(self.behaviour.timeout_share * self.deadlines_us[request.class_index])
        self.loop.at(min(now + timeout_us, pending.expires_at), self._timed_out, attempt)
        if self.behaviour.hedges and not request.keyed and not pending.hedged and peer.latency_ms:
            self.loop.after(int(HEDGE_LATENCY_FACTOR * peer.latency_ms * 1000), self._hedge, pending)
        self.network.send(self, attempt)

    def _close_try(self, attempt: Try) -> PendingRequest | None:
        """Stops waiting for the try. Returns its request, or None if the try was closed before."""
        if attempt.abandoned:
            return None
        attempt.abandoned = True
        self.peers[attempt.node].outstanding -= 1
        pending = self._pending.pop(attempt.number)
        pending.open_tries -= 1
        return pending

    def _timed_out(self, attempt: Try) -> None:
        """The router stops waiting and does not tell the node; the try may have run."""
        if pending := self._close_try(attempt):
            self.counters["waited"] += 1
            self.peers[attempt.node].on_failure(self.loop.now)
            self._mark_may_have_run(pending, attempt)
            pending.last_outcome = "late"
            self._retry(pending)

    def _hedge(self, pending: PendingRequest) -> None:
        if not pending.done and not pending.hedged and pending.open_tries == 1 and self.loop.now < pending.expires_at:
            pending.hedged = True
            self.counters["copies"] += 1
            self._send_next(pending)

    def _mark_may_have_run(self, pending: PendingRequest, attempt: Try) -> None:
        pending.may_have_run = True
        self._pin_to_node(pending, attempt)

    def _pin_to_node(self, pending: PendingRequest, attempt: Try) -> None:
        """Sends further tries of a keyed request, and its repeats, to this node only."""
        if pending.request.keyed and not pending.pinned_node:
            pending.pinned_node = attempt.node
            self._pinned_nodes[pending.request.idempotency_key] = attempt.node
            if len(self._pinned_nodes) > MAX_PINNED_KEYS:
                self._pinned_nodes.popitem(last=False)

    def _retry(self, pending: PendingRequest) -> None:
        if pending.done or pending.open_tries:  # a hedged copy may still be answered
            return
        behaviour = self.behaviour
        if behaviour.retry == "none" or (behaviour.retry == "budget" and not self.budget.take_retry()):
            self._finish(pending, pending.last_outcome, b"")
        elif pending.pinned_node:
            pending.same_node_retries += 1
            if pending.same_node_retries > MAX_SAME_NODE_RETRIES:
                self._finish(pending, pending.last_outcome, b"")
            else:
                self.loop.after(SAME_NODE_BACKOFF_US << (pending.same_node_retries - 1), self._send_next, pending)
        else:
            self._send_next(pending)

    def _finish(self, pending: PendingRequest, outcome: str, body: bytes) -> None:
        if not pending.done:
            pending.done = True
            if pending.may_have_run and outcome in ("refused", "unsent"):
                outcome = "failed"  # some try may have run, so the request cannot be reported as never run
            self.counters[outcome] += 1
            pending.on_done(pending.request, outcome, body)

    # network events

    def on_answer(self, attempt: Try, answer: Answer) -> None:
        now, peer = self.loop.now, self.peers[attempt.node]
        peer.on_feedback(now, answer.feedback, answer.retry_after_ms, self.feedback_ttl_us)
        pending = self._close_try(attempt)
        if pending is None:
            return
        if answer.verdict is Verdict.SERVED:
            peer.on_success((now - attempt.sent_at_us) / 1000)
            self.throttle.record_accept(now)
            self._pin_to_node(pending, attempt)
            self._finish(pending, "served", answer.body)
        elif answer.verdict is Verdict.REFUSED:
            pending.last_outcome = "refused"
            if answer.final and self.behaviour.follows_feedback:
                self._finish(pending, "refused", b"")
            else:
                self._retry(pending)
        else:
            peer.on_failure(now)
            self._mark_may_have_run(pending, attempt)
            pending.last_outcome = "failed"
            self._retry(pending)

    def on_refused(self, attempt: Try) -> None:
        """The connection was refused: nothing ran."""
        if pending := self._close_try(attempt):
            self.counters["connections_refused"] += 1
            self.peers[attempt.node].on_failure(self.loop.now)
            pending.last_outcome = "unsent"
            self._retry(pending)

    def on_broken(self, attempt: Try) -> None:
        """The connection closed before the answer; the try may have run."""
        if pending := self._close_try(attempt):
            self.counters["connections_broken"] += 1
            self.peers[attempt.node].on_failure(self.loop.now)
            self._mark_may_have_run(pending, attempt)
            pending.last_outcome = "failed"
            self._retry(pending)

    def on_drained(self, name: str) -> None:
        """The node announced that it drains: it gets no new requests for DRAIN_TTL_US or until it restarts."""
        self.peers[name].on_drain(self.loop.now + DRAIN_TTL_US)

    def on_restarted(self, name: str) -> None:
        """A connection to a new process under that name is open: discards the feedback of the previous one."""
        self.peers[name].on_restart()

    # health checks

    def _check_nodes(self) -> None:
        self.loop.after(self.check_interval_us, self._check_nodes)
        for name in self.view.listed:
            self.counters["checks"] += 1
            self.network.check(self, name, self.next_try_number())

    def on_check_result(self, name: str, healthy: bool, feedback: float | None) -> None:
        peer = self.peers[name]
        peer.on_check(healthy)
        peer.on_feedback(self.loop.now, feedback, 0, self.feedback_ttl_us)
