"""Client requests and their tries: plain data shared by the components of an emulated day, without behaviour."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Request:
    """One request of a client, or one backend call of a run. It is counted once, however often it is tried.

    Times are in microseconds of the loop, work in milliseconds on a standard core, waits and pauses in microseconds,
    memory in KB."""

    number: int
    class_index: int
    tenant: int
    sent_at_us: int
    client_deadline_us: int  # when its client gives up
    work: float
    wait: int
    calls: int
    memory_kb: float
    rank: float
    item_id: int
    idempotency_key: str
    body: bytes
    keyed: bool
    hint: float | None = None
    call_work: tuple[float, ...] = ()  # work of each call that its run makes, on the next tier
    within_quota: bool = True  # within its tenant's quota
    router: int = 0
    client_retries: bool = False  # whether its client retries once if the request is not served
    client_retry_delay_us: int = 0  # delay of that retry
    duplicate_delay_us: int = 0  # delay after it was served until it is sent again; 0: not sent again
    submission_count: int = 0  # submissions by its client
    try_count: int = 0
    served_at_us: int = -1
    outcome: str = ""  # the last outcome reported to its client
    work_done_ms: float = 0.0  # work done for it on all nodes of its own tier


@dataclass(slots=True, eq=False)
class Try:
    """One try of a request, sent to one node. It implements ``state.pool.Work``; -1 as a time: has not happened."""

    number: int  # also its tag
    txn: str
    request: Request
    node: str
    sent_at_us: int
    router: int
    body: bytes
    work: float
    wait: int
    calls: int
    arrived_at_us: int = -1  # when it arrived at the machine
    read_at_us: int = -1
    due_at_us: int = -1
    answered_at_us: int = -1
    verdict: str = ""
    run_count: int = 0
    queued_kb: float = 0.0  # memory reserved for it while queued
    running_kb: float = 0.0  # memory reserved for its run
    abandoned: bool = False  # its router no longer waits for an answer
    connection_lost: bool = False  # its connection was reset, lost or refused: no answer is required
    core_id: int = 0  # the number that the core gave it
    written_at_us: int = 0  # when its last byte was written
    resent: bool = False
    arrived_unix_ms: int = 0
    log: list[tuple[int, str]] = field(default_factory=list)

    def note(self, now: int, what: str) -> None:
        self.log.append((now, what))
