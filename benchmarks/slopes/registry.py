"""All probes, in the order in which they are played."""

from __future__ import annotations

from . import (
    added_time,
    cold_ramp,
    connections,
    decisions,
    epochs,
    listing,
    replication,
    routes,
    settings,
    table,
)
from .model import Probe

PROBES: dict[str, Probe] = {
    probe.name: probe
    for probe in (
        epochs.PROBE,
        replication.PROBE,
        settings.PROBE,
        routes.PROBE,
        decisions.PROBE,
        connections.PROBE,
        listing.PROBE,
        added_time.PROBE,
        cold_ramp.PROBE,
        table.PROBE,
    )
}
