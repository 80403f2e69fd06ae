"""The metrics of the admin address, under the names that the platform specifies (DAYS): by request class, ``served``,
``refused``, ``failed`` and ``attempts`` (runs passed to the worker pool); and ``in_flight``, ``reloads_ok``,
``reloads_failed``. Counters start at 0 with the process."""

from __future__ import annotations

from ..protocol.admin import exposition
from ..routing.core import Core

BY_CLASS = ("served", "refused", "failed", "attempts")
PLAIN = ("reloads_ok", "reloads_failed")


def metrics_text(core: Core) -> bytes:
    """The body of ``GET /metrics``, built on each request; the platform requests it every 1 to 2 s."""
    names = [each.name or str(n) for n, each in enumerate(core.settings.request_classes)]
    counts_by_class = {metric: dict(zip(names, core.counts_by_class[metric], strict=True)) for metric in BY_CLASS}
    plain = {"in_flight": core.in_flight} | {metric: core.counters[metric] for metric in PLAIN}
    for gauge in ("policy_epoch", "control_version", "control_age_s"):  # only if the feature is enabled
        if gauge in core.counters:
            plain[gauge] = core.counters[gauge]
    return exposition(counts_by_class, plain)
