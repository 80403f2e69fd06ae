"""Messages between a scale run and its worker processes: JSON lines on standard input and output."""

from __future__ import annotations

from typing import Any

import msgspec

from .plan import Injection, Phase


class HollowJob(msgspec.Struct, frozen=True, tag="hollow"):
    """Job of a process with image nodes without request traffic. ``nodes``: their indexes; ``relays``: addresses by
    name; ``folder``: directory for its records."""

    name: str
    nodes: list[int]
    relays: dict[str, str]
    seed: int
    folder: str


class TrafficJob(msgspec.Struct, frozen=True, tag="traffic"):
    """Job of the process with the stand-in worker pools and the routers of the real nodes. ``rate``: requests per
    second to each node."""

    name: str
    nodes: list[str]
    rate: float
    seed: int
    folder: str


class Listening(msgspec.Struct, frozen=True, tag="listening"):
    """Order: this real node accepts requests at this port; 0 if it accepts none."""

    node: str
    port: int


class BeginPhase(msgspec.Struct, frozen=True, tag="measure"):
    """Order: a phase begins."""

    phase: Phase


class Restart(msgspec.Struct, frozen=True, tag="restart"):
    """Order: kill and restart these hollow nodes."""

    nodes: list[int]


class InjectFault(msgspec.Struct, frozen=True, tag="spoil"):
    """Order: inject a faulty version at this hollow node."""

    node: int
    what: Injection


class Finish(msgspec.Struct, frozen=True, tag="finish"):
    """Order: write the records and answer ``HollowDone`` or ``TrafficDone``."""


Job = HollowJob | TrafficJob
Order = Listening | BeginPhase | Restart | InjectFault | Finish


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The process is ready. ``pools``: ports of the stand-in worker pools, by node."""

    pools: dict[str, int]


class SecondReport(msgspec.Struct, frozen=True, tag="second"):
    """Report of a worker, sent every second: event-loop lag, CPU usage, and the status of its hollow nodes.
    ``connected`` nodes have a connection to a relay, ``serving`` ones are ready to serve, ``stopped`` ones were
    ready in their current incarnation and no longer are; ``lowest`` is the lowest version in force."""

    lag_ms: float
    lag_p99_ms: float
    cpu: float
    nodes: int = 0
    connected: int = 0
    serving: int = 0
    stopped: int = 0
    lowest: int = 0


class LinkTotals(msgspec.Struct, frozen=True):
    """Bytes and messages of all hollow nodes of a process in one phase; ``by_relay``: bytes by relay."""

    bytes_in: int
    bytes_out: int
    messages_in: int
    messages_out: int
    by_relay: dict[str, int]


class HollowFinalState(msgspec.Struct, frozen=True):
    """State of a hollow node at the end of a run; digests in hexadecimal."""

    node: str
    number: int
    digest: str
    content: str
    resources: int
    serving: bool


class HollowDone(msgspec.Struct, frozen=True, tag="hollow done"):
    """Result of a hollow worker. ``records``: file with ``history.AppliedRecords.columns``; ``ended``: final state of
    each node; ``spoilt``: injected faults by kind; ``lag``: encoded histogram of the event-loop lag (microseconds)."""

    records: str
    phases: dict[str, LinkTotals]
    counters: dict[str, int]
    ended: list[HollowFinalState]
    spoilt: dict[str, int]
    lag: str


class Answers(msgspec.Struct, frozen=True):
    """Answers of one real node in one phase. ``words``: answers by status; ``latency`` and ``late``: encoded histograms
    (microseconds) from the scheduled time to the answer and to the actual send time."""

    words: dict[str, int]
    latency: str
    late: str


class TrafficDone(msgspec.Struct, frozen=True, tag="traffic done"):
    """Result of the traffic worker. ``answers``: by "phase/node"; ``lag``: encoded histogram of the event-loop lag
    (microseconds)."""

    answers: dict[str, Answers]
    lag: str


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The worker failed and cannot continue."""

    reason: str


WorkerMessage = Ready | SecondReport | HollowDone | TrafficDone | Failed

_jobs: msgspec.json.Decoder[Any] = msgspec.json.Decoder(Job)
_orders: msgspec.json.Decoder[Any] = msgspec.json.Decoder(Order)
_worker_messages: msgspec.json.Decoder[Any] = msgspec.json.Decoder(WorkerMessage)


def encode(message: Job | Order | WorkerMessage) -> bytes:
    """Encode a message as one line without its line end."""
    return msgspec.json.encode(message)


def read_job(line: bytes) -> Job:
    found: Job = _jobs.decode(line)
    return found


def read_order(line: bytes) -> Order:
    found: Order = _orders.decode(line)
    return found


def read_worker_message(line: bytes) -> WorkerMessage:
    found: WorkerMessage = _worker_messages.decode(line)
    return found
