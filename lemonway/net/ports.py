"""Interfaces between the protocol and routing layers, and the data that they exchange. No wire format or decision."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import Any, Protocol

from ..interface import Outcome, Settings


class Verdict(Enum):
    SERVED = "served"
    REFUSED = "refused"  # the request did not run
    FAILED = "failed"


@dataclass(slots=True)
class Answer:
    """The only answer to a request."""

    verdict: Verdict
    feedback: float | None = None  # the advertised load value, if one is set
    retry_after_ms: int = 0  # time after which the caller may retry; 0 = not stated
    final: bool = False  # asks the caller not to retry on another node
    late: bool = False  # given because the deadline passed
    body: bytes = b""


class FrontendConnection(Protocol):
    """A front-end connection that submits requests."""

    def answer(self, tag: int, answer: Answer) -> None: ...

    def answer_check(self, tag: int, passed: bool, feedback: float | None) -> None: ...

    def drain(self) -> None:
        """Announces that the node is draining, if the protocol has a message for it."""

    def close_when_idle(self) -> None:
        """Closes the connection once all its requests are answered."""


@dataclass(slots=True)
class Incoming:
    """A request as a front-end connection submits it. ``arrived_at_us`` and ``timeout_us`` are in microseconds."""

    connection: FrontendConnection
    tag: int
    txn: str
    class_index: int
    tenant: int
    arrived_at_us: int
    body: bytes
    caller: int = 0
    work_ms: float | None = None
    memory_kb: float = 0.0
    rank: float = 0.0
    idempotency_key: str = ""  # as the caller gave it, also in a class that is not keyed; empty: none, or not valid
    item_id: int = 0
    timeout_us: int = 0  # how long the caller waits; 0 = not stated, the class's deadline applies
    retry: bool = False  # marked as a retry or a hedged copy


class WorkerPool(Protocol):
    """``spawn`` and ``supply`` return whether the command was written to a link; if not, it has not arrived."""

    def spawn(self, txn: str, handler: str, body: bytes) -> bool: ...

    def suspend(self, txn: str) -> None: ...

    def supply(self, txn: str, body: bytes) -> bool: ...

    def poll(self, token: str) -> None: ...

    def verify(self, token: str) -> None: ...


class Backend(Protocol):
    """Makes the calls of runs. ``timeout_us`` is in microseconds; ``once``: a call that breaks can't be made again."""

    def call(self, ident: int, txn: str, timeout_us: int, body: bytes, once: bool) -> None: ...

    def cancel(self, ident: int) -> None: ...


class Peers(Protocol):
    """The links to other image nodes, for replicated idempotency keys."""

    def send(self, peer: str, message: Any) -> None: ...


@dataclass(slots=True, frozen=True)
class OtherProcessRun:
    """An idempotency key that another process of this node has claimed: the digest of the request's body, the end of
    the key's window (Unix microseconds), and whether its run succeeded (None: it has not ended; False also if its
    process is gone)."""

    digest: bytes
    expires_at_us: int
    succeeded: bool | None
    body: bytes = b""


class KeyClaimStore(Protocol):
    """Claims on idempotency keys among the processes of one node. Times are Unix microseconds."""

    def claim(self, key: str, digest: bytes, expires_at_us: int, arrived_at_us: int) -> bool: ...

    def record_result(self, key: str, run_succeeded: bool, body: bytes) -> None: ...

    def release(self, key: str) -> None: ...

    def lookup(self, key: str) -> OtherProcessRun | None: ...

    def purge(self, now_us: int) -> None: ...

    def sweep(self) -> None: ...


class KeyedRunControl(Protocol):
    """Decides about keyed tries that may also run in another process or node. ``record``: the core's request record."""

    def find_answer(self, incoming: Incoming) -> Answer | None:
        """The answer to a try whose key ran in another process or node, if its result is known here."""

    def ran_in_other_process(self, incoming: Incoming) -> bool:
        """Whether the try's key runs or ran in another process of this node: the try may then fail, not be refused."""

    def knows_key(self, incoming: Incoming) -> bool:
        """Whether another process or node is known to have claimed the try's key, within the claim's window."""

    def will_answer(self, record: Any) -> bool:
        """Whether this object, not the admission policy, answers the try. Asked at arrival and before a refusal."""

    def may_run(self, record: Any) -> bool:
        """Whether an admitted try may run now. If not, this object provides its answer."""

    def run_ended(self, record: Any, outcome: Outcome, body: bytes) -> bool:
        """The run of a try that was allowed to run ended. Returns whether the answer is reported to the core later."""

    def run_suspended(self, record: Any) -> None:
        """The admission policy suspends an admitted try that has not started to run."""

    def set_drained(self, drained: bool) -> None:
        """An operator drained this node, or ended its drain."""


class Announcer(Protocol):
    def announce(self, accepting: bool) -> None: ...


class RequestHandler(Protocol):
    """The routing core, for front-end connections."""

    settings: Settings
    frontend_connections: dict[FrontendConnection, None]
    counters: Counter[str]
    idle_ttl_us: int
    draining: bool

    @property
    def healthy(self) -> bool: ...

    def submit(self, incoming: Incoming) -> int: ...

    def abandon(self, ident: int) -> None: ...

    def check(self, connection: FrontendConnection, tag: int, deep: bool) -> None: ...


class PoolEvents(Protocol):
    """The routing core, for the link to the worker pool."""

    counters: Counter[str]

    def bound(self, cold: bool, age_us: int) -> None: ...

    def link_restored(self) -> None: ...

    def link_lost(self) -> None: ...

    def finished(self, txn: str, outcome: Outcome, duration_ms: float, body: bytes) -> None: ...

    def blocked(self, txn: str, body: bytes) -> None: ...

    def polled(self, token: str, gauges: tuple[float, ...]) -> None: ...

    def verified(self, token: str, passed: bool) -> None: ...

    def command_unknown(self, command: str, txn: str) -> None: ...


class CallEvents(Protocol):
    """The routing core, for the backend's client."""

    counters: Counter[str]

    def call_ended(self, ident: int, outcome: Outcome, body: bytes) -> None: ...

    def call_not_awaited(self, ident: int) -> None:
        """The backend declined the call, which has not run, because no run waits for it."""
