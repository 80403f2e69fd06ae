"""What is asked for, and each try of it. Data that the parts of a day hand each other; no behaviour of its own."""

from __future__ import annotations

from dataclasses import dataclass, field


@dataclass(slots=True, eq=False)
class Request:
    """One wish of a client, or one call of a run; counted once, however often it is tried. Times are microseconds of
    the loop, work is standard milliseconds, waits microseconds, memory KB."""

    number: int
    lane: int
    tenant: int
    asked: int
    until: int  # its client gives up then
    work: float
    wait: int
    calls: int
    ram: float
    rank: float
    item: int
    unique: str
    body: bytes
    keyed: bool
    hint: float | None = None
    call_work: tuple[float, ...] = ()  # of each call that its run makes, on the next tier
    inside: bool = True  # within its tenant's share
    router: int = 0
    again: bool = False  # its client asks a second time if the first comes to nothing
    pause: int = 0  # before it does
    double: int = 0  # so long after it was served it comes once more; 0 = it does not
    asks: int = 0
    tries: int = 0
    served_at: int = -1
    outcome: str = ""  # the last word that its client had
    spent: float = 0.0  # work done for it, on all nodes of its own tier


@dataclass(slots=True, eq=False)
class Try:
    """One request as it goes to one node. It is a ``state.pool.Work``."""

    number: int  # also its tag
    txn: str
    request: Request
    node: str
    sent: int
    router: int
    body: bytes
    work: float
    wait: int
    calls: int
    arrived_at: int = -1  # when it came to the machine
    read: int = -1
    due: int = -1
    answered: int = -1
    verdict: str = ""
    runs: int = 0
    held_kb: float = 0.0  # what is booked for it now
    running_kb: float = 0.0
    over: bool = False  # its router waits no more
    forgiven: bool = False  # its router ended the connection: no answer is owed
    ident: int = 0  # the core's own number
    written: int = 0  # when its last byte was
    resent: bool = False
    arrived_unix_ms: int = 0
    log: list[tuple[int, str]] = field(default_factory=list)

    def note(self, now: int, what: str) -> None:
        self.log.append((now, what))
