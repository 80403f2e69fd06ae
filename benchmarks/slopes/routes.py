"""Routes by number: a route is a ``location`` of the uwsgi front's site, read at the start only; on the routers' front
the request names its class, found by one look into a dictionary: reading, memory and look-up."""

from __future__ import annotations

from typing import Any

from lemonway.kit.stage import site_settings
from lemonway.net.program.uwsgi_site import read_site
from lemonway.net.protocol.resp import NameLookup
from lemonway.net.protocol.uwsgi import Site
from lemonway.settings import flatten, read_settings

from .meters import processor_us, retained_bytes
from .model import ADDED_MS, CONTROL_MEMORY_MB, IN_FORCE_SECONDS, ROUTES, Budget, Probe, Series, series

SIZES, QUICK_SIZES = (500, 1_000, 2_000, 4_000), (20, 40, 80, 160)
SETTINGS = read_settings(flatten(site_settings()))
MILLISECOND = 1_000


def site_file(size: int) -> dict[str, Any]:
    """A site of so many prefix locations."""
    rows = [{"path": f"/exhibition-{number:06d}/", "class": "busca"} for number in range(size)]
    return {"listen": "127.0.0.1:0", "default_tenant": "museu-grande", "location": rows}


def site_with(size: int) -> Site:
    """The same, read."""
    return read_site(site_file(size), SETTINGS)


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    read: dict[int, float] = {}
    look: dict[int, float] = {}
    memory: dict[int, float] = {}
    by_name: dict[int, float] = {}
    names = NameLookup.from_settings(SETTINGS)
    for size in QUICK_SIZES if quick else SIZES:
        raw = site_file(size)
        read[size] = processor_us(lambda raw=raw: read_site(raw, SETTINGS), rounds=2) / MILLISECOND  # type: ignore[misc]
        site, taken = retained_bytes(lambda size=size: site_with(size))  # type: ignore[misc]
        memory[size] = taken / 1e6
        path = f"/exhibition-{size // 2:06d}/room/7"
        look[size] = processor_us(lambda site=site, path=path: site.find_location(path), times=20)  # type: ignore[misc]
        by_name[size] = processor_us(lambda: names.class_indexes.get(b"busca"), times=10_000)
    return [
        series(
            "reading the site",
            "ms",
            "routes",
            read,
            ROUTES,
            Budget(1_000 * IN_FORCE_SECONDS, "in force everywhere, by a start"),
        ),
        series(
            "look-up of a path (Site.find_location)",
            "us",
            "routes",
            look,
            ROUTES,
            Budget(1_000 * ADDED_MS, "added time"),
        ),
        series("memory of the site", "MB", "routes", memory, ROUTES, Budget(CONTROL_MEMORY_MB, "control of a node")),
        series("look-up of a class on the routers' front", "us", "routes", by_name),
    ]


PROBE = Probe("routes", "routes of the uwsgi front by number", run)
