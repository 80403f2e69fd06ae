"""How much a node takes on, all of it computed here from its limits. Nothing else in the node sizes itself."""

from __future__ import annotations

import resource
from dataclasses import dataclass

MB = 1024 * 1024
PROGRAM_MB = 24  # the interpreter with the program loaded and a calm day's work in hand (21 to 23 as measured)
FILES = 24  # descriptors of the program itself: standard streams, the loop's own, ports, two links to the pool
SOCKETS_MOST = 1 << 20
REQUEST_BYTES = 6 * 1024  # a request in hand: a body of at most 2 KiB and what the core and the brain note of it


@dataclass(frozen=True)
class Bounds:
    connections: int  # from routers and web servers
    surplus: int  # past these, for as long as it takes to close the ones shed for them
    calls: int  # connections to the catalogue
    requests: int  # in hand
    kept_bytes: int  # kept keys and their results
    pool_bytes: int  # commands for a pool that stands still


def descriptors() -> int:
    """How many this process may hold by the system's own word, which may be less than the configuration says."""
    soft = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return SOCKETS_MOST if soft == resource.RLIM_INFINITY else min(SOCKETS_MOST, soft)


def bounds_of(sockets: int, memory_mb: float, admin: int = 0) -> Bounds:
    """Routers may open half of the descriptors; the catalogue gets a fifth, and a tenth stays free for bursts.
    ``admin``: connections of the admin address, if there is one. What is set aside here no client can take."""
    calls = min(192, max(12, sockets // 5))
    surplus = min(32, sockets // 10)
    free = max(4.0, memory_mb - PROGRAM_MB) * MB
    return Bounds(
        connections=max(8, sockets - FILES - calls - surplus - admin),
        surplus=surplus,
        calls=calls,
        requests=min(4096, int(free * 0.3) // REQUEST_BYTES),
        kept_bytes=min(32 * MB, int(free * 0.4)),
        pool_bytes=min(4 * MB, int(free * 0.1)),
    )
