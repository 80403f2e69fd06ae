"""The node's capacity limits, all computed here from its descriptor and memory limits."""

from __future__ import annotations

import resource
from dataclasses import dataclass

MB = 1024 * 1024
PROGRAM_MB = 24  # the interpreter with the program loaded and a light load in flight, which use 21 to 23 MB
PROGRAM_DESCRIPTORS = 24  # standard streams, the reactor's own, ports, two links to the pool
MAX_DESCRIPTORS = 1 << 20
REQUEST_BYTES = 6 * 1024  # a request in flight: a body of at most 2 KiB, and its records in the core and the policy


@dataclass(frozen=True)
class Bounds:
    """Maximum numbers of connections and requests, and maximum sizes in bytes."""

    connections: int  # from routers and web servers
    surplus: int  # accepted beyond ``connections`` while shed ones are being closed
    backend_connections: int  # connections to the backend
    requests: int  # in flight
    idempotency_bytes: int  # idempotency entries and their results
    pool_queue_bytes: int  # commands buffered for a pool that does not read


def descriptor_limit() -> int:
    """The system's descriptor limit for this process, which may be lower than the configured one."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return MAX_DESCRIPTORS if soft == resource.RLIM_INFINITY else min(MAX_DESCRIPTORS, soft)


def bounds_of(sockets: int, memory_mb: float, admin: int = 0) -> Bounds:
    """Compute the limits from the numbers of descriptors and megabytes. Routers may open at least half of the
    descriptors, the backend gets a fifth, and a tenth stays free for bursts. ``admin``: connections reserved for the
    admin address, if there is one. Clients can't use descriptors reserved here."""
    calls = min(192, max(12, sockets // 5))
    surplus = min(32, sockets // 10)
    free = max(4.0, memory_mb - PROGRAM_MB) * MB
    return Bounds(
        connections=max(8, sockets - PROGRAM_DESCRIPTORS - calls - surplus - admin),
        surplus=surplus,
        backend_connections=calls,
        requests=min(4096, int(free * 0.3) // REQUEST_BYTES),
        idempotency_bytes=min(32 * MB, int(free * 0.4)),
        pool_queue_bytes=min(4 * MB, int(free * 0.1)),
    )
