"""Table contents of a scale run: an initial table of a given size, and the changes proposed to it. Sans-I/O."""

from __future__ import annotations

import json
import random
from collections.abc import Iterator
from itertools import islice

from ...control.resources import Operation, Put

REQUEST_CLASSES = ("miniatura", "visualizador", "busca", "cadastro")
MAX_OPERATIONS_PER_CHANGE = 250  # in the changes that fill the initial table
ROUTE_CHANGE_INTERVAL = 8  # every 8th change updates a route, the others a tenant


def _encode_value(value: dict[str, object]) -> bytes:
    return json.dumps(value, separators=(",", ":"), sort_keys=True).encode()


def tenant(number: int, quota: int = 0) -> Put:
    """Return the operation that puts a tenant; ``quota`` in requests per second."""
    return Put("tenant", f"tenant-{number:06}", _encode_value({"share": 0.001, "quotaRps": quota}))


def route(number: int, revision: int = 0) -> Put:
    """Return the operation that puts a route; ``revision`` selects another request class."""
    path = f"/service-{number:06}/"
    return Put(
        "route",
        path,
        _encode_value({"path": path, "class": REQUEST_CLASSES[(number + revision) % len(REQUEST_CLASSES)]}),
    )


def initial_table_changes(tenants: int, routes: int) -> Iterator[tuple[Operation, ...]]:
    """Yield the changes that fill the table of a run."""
    resources = iter([*(tenant(number) for number in range(tenants)), *(route(number) for number in range(routes))])
    while part := tuple(islice(resources, MAX_OPERATIONS_PER_CHANGE)):
        yield part


def change(number: int, seed: int, tenants: int, routes: int) -> tuple[Operation, ...]:
    """Return the change with this number: one resource gets a new value."""
    rng = random.Random(f"{seed}/{number}")
    if routes and number % ROUTE_CHANGE_INTERVAL == ROUTE_CHANGE_INTERVAL - 1:
        return (route(rng.randrange(routes), number),)
    return (tenant(rng.randrange(tenants), number + 1),)
