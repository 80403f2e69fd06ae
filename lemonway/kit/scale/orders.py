"""What a scale run and its worker processes say to each other: JSON lines on standard input and output."""

from __future__ import annotations

from typing import Any

import msgspec

from .plan import Injection, Phase


class HollowJob(msgspec.Struct, frozen=True, tag="hollow"):
    """A process of image nodes without request traffic. ``nodes``: their indexes; ``relays``: addresses by name.
    ``folder``: where its records go."""

    name: str
    nodes: list[int]
    relays: dict[str, str]
    seed: int
    folder: str


class TrafficJob(msgspec.Struct, frozen=True, tag="traffic"):
    """The process with the stand-in pools and the routers of the real nodes."""

    name: str
    nodes: list[str]
    rate: float
    seed: int
    folder: str


class Listening(msgspec.Struct, frozen=True, tag="listening"):
    """Order: this real node takes requests at this port; 0: it takes none."""

    node: str
    port: int


class Measure(msgspec.Struct, frozen=True, tag="measure"):
    """Order: a phase begins."""

    phase: Phase


class Restart(msgspec.Struct, frozen=True, tag="restart"):
    """Order: these hollow nodes are killed and started anew."""

    nodes: list[int]


class Spoil(msgspec.Struct, frozen=True, tag="spoil"):
    """Order: this hollow node gets a spoilt version."""

    node: int
    what: Injection


class Finish(msgspec.Struct, frozen=True, tag="finish"):
    """Order: write the records and say ``Done``."""


Job = HollowJob | TrafficJob
Order = Listening | Measure | Restart | Spoil | Finish


class Ready(msgspec.Struct, frozen=True, tag="ready"):
    """The process is up. ``pools``: ports of the stand-in pools, by node."""

    pools: dict[str, int]


class Second(msgspec.Struct, frozen=True, tag="second"):
    """One second of a worker: how late its loop was, what it used, and (hollow) how its nodes stand: their number, how
    many have a link, how many take work, how many have taken work in this life and do so no more, and the lowest
    version in force."""

    lag_ms: float
    lag_p99_ms: float
    cpu: float
    nodes: int = 0
    connected: int = 0
    serving: int = 0
    stopped: int = 0
    lowest: int = 0


class Measured(msgspec.Struct, frozen=True):
    """Bytes and messages of all hollow nodes of a process in one phase; ``by_relay``: bytes by publisher."""

    bytes_in: int
    bytes_out: int
    messages_in: int
    messages_out: int
    by_relay: dict[str, int]


class Ended(msgspec.Struct, frozen=True):
    """A hollow node at the end; digests in hexadecimal."""

    node: str
    number: int
    digest: str
    content: str
    resources: int
    serving: bool


class HollowDone(msgspec.Struct, frozen=True, tag="hollow done"):
    """``records``: the file of what was applied (``history.Applied.columns``)."""

    records: str
    phases: dict[str, Measured]
    counters: dict[str, int]
    ended: list[Ended]
    spoilt: dict[str, int]
    lag: str


class Answers(msgspec.Struct, frozen=True):
    """Requests to one kind of real node in one phase: words of the answers, and histograms (microseconds, encoded)
    from the scheduled moment to the answer and to the moment at which it was really sent."""

    words: dict[str, int]
    latency: str
    late: str


class TrafficDone(msgspec.Struct, frozen=True, tag="traffic done"):
    """``answers``: by "phase/node"."""

    answers: dict[str, Answers]
    lag: str


class Failed(msgspec.Struct, frozen=True, tag="failed"):
    """The worker can't go on."""

    reason: str


Word = Ready | Second | HollowDone | TrafficDone | Failed

_jobs: msgspec.json.Decoder[Any] = msgspec.json.Decoder(Job)
_orders: msgspec.json.Decoder[Any] = msgspec.json.Decoder(Order)
_words: msgspec.json.Decoder[Any] = msgspec.json.Decoder(Word)


def encode(message: Job | Order | Word) -> bytes:
    """One line, without its end."""
    return msgspec.json.encode(message)


def read_job(line: bytes) -> Job:
    found: Job = _jobs.decode(line)
    return found


def read_order(line: bytes) -> Order:
    found: Order = _orders.decode(line)
    return found


def read_word(line: bytes) -> Word:
    found: Word = _words.decode(line)
    return found
