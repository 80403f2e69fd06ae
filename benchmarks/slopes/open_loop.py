"""An open-loop generator as a process of its own: requests at moments drawn beforehand, whatever came of them.
Latency counts from the moment a request was due, not from when it was sent; how late it was sent is kept beside it.

    python -m benchmarks.slopes.open_loop PORT --rate 700 --seconds 10 --connections 20 --seed 1

It turns its loop without rest, so it takes a core of its own. Prints one JSON object."""

from __future__ import annotations

import json
import time
from random import Random
from typing import Any

import click
from hdrh.histogram import HdrHistogram

from lemonway.kit.clients import RouterClient

LOWEST_US, HIGHEST_US, DIGITS = 1, 60_000_000, 3
CONNECT_SECONDS, LAST_SECONDS, WARM_SECONDS = 10.0, 3.0, 1.0
MICROSECONDS = 1_000_000


class TimedClient(RouterClient):
    """Notes when each request was due and records its latency."""

    def __init__(self, reactor: Any, port: int, seen: HdrHistogram) -> None:
        super().__init__(reactor, port)
        self.seen, self.words = seen, dict[str, int]()
        self.due: dict[int, float] = {}
        self.recording_from = 0.0

    def send(self, due: float) -> None:
        """One request that was due at this moment."""
        tag = self.call("busca", b"x", cpu="1.0")
        self.due[tag] = due

    def received(self, items: list[bytes]) -> None:
        tag = int(items[0])
        due = self.due.pop(tag, None)
        if due is None:
            return
        word = items[1].decode()
        self.words[word] = self.words.get(word, 0) + 1
        if due >= self.recording_from:
            self.seen.record_value(max(LOWEST_US, int((time.monotonic() - due) * MICROSECONDS)))


def schedule(rate: float, seconds: float, seed: int) -> list[float]:
    """Moments of a Poisson stream, in seconds from its start."""
    random, now, found = Random(seed), 0.0, list[float]()
    while (now := now + random.expovariate(rate)) < seconds:
        found.append(now)
    return found


def percentiles(seen: HdrHistogram) -> dict[str, float]:
    """In milliseconds."""
    return {
        name: seen.get_value_at_percentile(share) / 1000
        for name, share in (("p50", 50.0), ("p99", 99.0), ("p999", 99.9), ("most", 100.0))
    }


@click.command()
@click.argument("port", type=int)
@click.option("--rate", type=float, default=700.0)
@click.option("--seconds", type=float, default=10.0)
@click.option("--connections", type=int, default=20)
@click.option("--seed", type=int, default=1)
def main(port: int, rate: float, seconds: float, connections: int, seed: int) -> None:
    """Load one node and print what was seen."""
    from twisted.internet import reactor as installed

    reactor: Any = installed
    seen, lag = HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS), HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)
    clients = [TimedClient(reactor, port, seen) for _ in range(connections)]
    end = time.monotonic() + CONNECT_SECONDS
    while not all(client.side for client in clients):
        if time.monotonic() > end:
            raise click.ClickException("not all connections are up")
        reactor.iterate(0.01)
    moments = schedule(rate, seconds + WARM_SECONDS, seed)
    begun = time.monotonic() + 0.05
    for client in clients:
        client.recording_from = begun + WARM_SECONDS
    sent = 0
    while sent < len(moments):
        now = time.monotonic()
        while sent < len(moments) and begun + moments[sent] <= now:
            due = begun + moments[sent]
            client = clients[sent % connections]
            if client.side is None:
                raise click.ClickException("a connection was closed")
            if due >= begun + WARM_SECONDS:
                lag.record_value(max(LOWEST_US, int((time.monotonic() - due) * MICROSECONDS)))
            client.send(due)
            sent += 1
        reactor.iterate(0)
    end = time.monotonic() + LAST_SECONDS
    while any(client.due for client in clients) and time.monotonic() < end:
        reactor.iterate(0)
    words: dict[str, int] = {}
    for client in clients:
        for word, count in client.words.items():
            words[word] = words.get(word, 0) + count
    print(
        json.dumps(
            {
                "sent": sent,
                "words": words,
                "unanswered": sum(len(client.due) for client in clients),
                "latency": percentiles(seen),
                "lag": percentiles(lag),
                "count": seen.get_total_count(),
            }
        )
    )


if __name__ == "__main__":
    main()
