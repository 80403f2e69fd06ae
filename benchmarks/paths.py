"""The paths that a request can take, each as a way to send some and to know that they are answered. Every path says how
its answers must read, so that a count is never one of something else."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from lemonway.kit.clients import RouterClient, packet, request_vars

from .stage import Stage

RATE = 50.0  # requests a second, unless more must be in hand


@dataclass
class Path:
    """``prepare`` builds the stage for so many requests in hand; ``send`` sends one. ``words`` are the answers that all
    but a few must have."""

    name: str
    front: str
    words: tuple[str, ...]
    prepare: Callable[[int], Any]
    send: Callable[[Any, bytes], None]
    in_hand: tuple[int, ...] = (10,)
    bodies: tuple[int, ...] = (200,)


@dataclass
class Set:
    """A stage with its clients."""

    stage: Stage
    router: Any
    web: Any
    rate: float

    def answers(self) -> Counter[str]:
        out = Counter(word for word, _, _ in self.router.answers.values())
        out.update(str(status) for status, _, _ in self.web.answers.values())
        return out


def _free(calls: int) -> Callable[[int], Set]:
    """Room for all: so many are in hand as come in the time that a run takes."""

    def prepare(in_hand: int) -> Set:
        rate = max(RATE, in_hand / 1.2)
        stage = Stage(cores=max(6, 3 * in_hand), calls=calls, seconds=in_hand / rate / (calls + 1))
        return Set(stage, _many(stage, in_hand), stage.web(), rate)

    return prepare


def _many(stage: Stage, in_hand: int) -> Any:
    """As many routers' connections as so many open requests need."""
    return Routers(stage, 1 + in_hand // 16)


class Routers:
    """Several routers, used in turn."""

    def __init__(self, stage: Stage, count: int) -> None:
        self.each: list[RouterClient] = [stage.router() for _ in range(count)]
        self._next = 0

    def next(self) -> RouterClient:
        self._next = (self._next + 1) % len(self.each)
        return self.each[self._next]

    @property
    def answers(self) -> dict[tuple[int, int], Any]:
        return {(n, tag): answer for n, each in enumerate(self.each) for tag, answer in each.answers.items()}


def _full(in_hand: int) -> Set:
    """So many run and never end; what comes is turned away, once it is known how long runs take."""
    stage = Stage(cores=in_hand, seconds=0.2)
    routers = _many(stage, 2 * in_hand + 64)
    for _ in range(40):
        stage.call(routers.next(), "busca", b"x")
        stage.run(0.25 / max(1, in_hand))
    stage.run(1.0)
    for name in stage.pool.plans:
        stage.pool.plans[name].held = True
    ready = Set(stage, routers, stage.web(), 200.0)
    for _ in range(in_hand):
        stage.call(routers.next(), "miniatura", b"x")
        stage.run(0.002)
    for _ in range(200):  # past this, waiting is over the bound and arrivals are turned away
        stage.call(routers.next(), "visualizador", b"x")
        stage.run(0.005)
    return ready


def _again(in_hand: int) -> Set:
    ready = _free(0)(in_hand)
    ready.stage.call(ready.router.next(), "cadastro", b"y" * 200, unique="a" * 32)
    ready.stage.until(lambda: bool(ready.router.answers))
    return ready


def _silent(in_hand: int) -> Set:
    """A pool that has not come up yet: what waits for it falls due."""
    stage = Stage(up=False)
    return Set(stage, _many(stage, in_hand), stage.web(), in_hand / 3.0)


def _call(handler: str, **more: str) -> Callable[[Set, bytes], None]:
    def send(ready: Set, body: bytes) -> None:
        ready.stage.call(ready.router.next(), handler, body, **more)

    return send


def _ask(path: str, **more: str) -> Callable[[Set, bytes], None]:
    def send(ready: Set, body: bytes) -> None:
        ready.web.send(packet(request_vars(path, body, **more), body))

    return send


def _check(ready: Set, body: bytes) -> None:
    ready.router.next().check(False)


def _ping(ready: Set, body: bytes) -> None:
    ready.web.send(b"\x64\0\0\0")


PATHS = [
    Path("served", "resp", ("RESULT",), _free(0), _call("busca"), (1, 10, 100, 1000), (0, 200, 2048)),
    Path("served with a call", "resp", ("RESULT",), _free(1), _call("busca")),
    Path("refused", "resp", ("REJECT",), _full, _call("visualizador"), (10, 100, 1000)),
    Path(
        "replayed",
        "resp",
        ("RESULT",),
        _again,
        lambda ready, body: _call("cadastro", unique="a" * 32)(ready, b"y" * 200),
    ),
    Path("late", "resp", ("ABORTED",), _silent, _call("busca")),
    Path("malformed", "resp", ("ABORTED",), _free(0), _call("busca", ram="x")),
    Path("health check", "resp", ("READY",), _free(0), _check),
    Path("served", "uwsgi", ("200",), _free(0), _ask("/busca?q=azulejo"), (10, 100)),
    Path("served with a call", "uwsgi", ("200",), _free(1), _ask("/busca?q=azulejo")),
    Path("refused", "uwsgi", ("503",), _full, _ask("/visualizador/3"), (10,)),
    Path("malformed", "uwsgi", ("404",), _free(0), _ask("/nowhere")),
]
