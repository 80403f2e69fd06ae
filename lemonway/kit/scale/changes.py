"""What the operators of a scale run propose: a table of a stated size, and changes to it. Pure."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from itertools import islice

from ...control.resources import Operation, Put

CLASSES = ("miniatura", "visualizador", "busca", "cadastro")
OPERATIONS_MOST = 250  # of one change of the first table
ROUTE_EVERY = 8  # one change in so many is of a route, the others are of a tenant


def _value(value: dict[str, object]) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()


def tenant(number: int, quota: int = 0) -> Put:
    """The tenant of this number."""
    return Put("tenant", f"tenant-{number:06}", _value({"share": 0.001, "quotaRps": quota}))


def route(number: int, turn: int = 0) -> Put:
    """The route of this number, to one of the classes."""
    path = f"/service-{number:06}/"
    return Put("route", path, _value({"path": path, "class": CLASSES[(number + turn) % len(CLASSES)]}))


def first_table(tenants: int, routes: int) -> Iterator[tuple[Operation, ...]]:
    """The changes that make the table of a run."""
    resources = iter([*(tenant(number) for number in range(tenants)), *(route(number) for number in range(routes))])
    while part := tuple(islice(resources, OPERATIONS_MOST)):
        yield part


def change(number: int, seed: int, tenants: int, routes: int) -> tuple[Operation, ...]:
    """The change of this number: one resource gets another value."""
    draw = random.Random(f"{seed}/{number}")
    if routes and number % ROUTE_EVERY == ROUTE_EVERY - 1:
        return (route(draw.randrange(routes), number),)
    return (tenant(draw.randrange(tenants), number + 1),)
