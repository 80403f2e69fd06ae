"""Computes the result of a run from its records. Sans-I/O."""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable
from statistics import fmean
from typing import Any

import numpy as np
from hdrh.histogram import HdrHistogram

from ..live.watch import LAG_HISTOGRAM_RANGE
from .accounts import RunRecords
from .history import Propagation, catch_up_times, missing_changes, propagation_times, violations
from .orders import Answers, LinkTotals
from .plan import RESTART_FACTOR, Phase, Role, Sizes
from .summary import AddedLatency, ControlCost, Cost, Result, Watchdog, added_latency, in_force_times, slopes

STREAMING_PHASES = (Phase.MEAN, Phase.BURST)
SLOWEST_CHANGES = 5  # slowest changes that are listed in the result
EMPTY_WORKER = "hollow-empty"  # the worker process without nodes, the baseline of the node costs


def build_result(sizes: Sizes, recorded: RunRecords, watchdog: Watchdog) -> Result:
    """Build the result of one run; each of its slopes has a single point."""
    propagations = propagation_times(recorded.applied, recorded.decided)
    found = violations(recorded.applied, recorded.decided, recorded.finals) + missing_changes(propagations)
    found += [
        f"{phase.value}: {count} nodes that took work took none"
        for phase, count in recorded.max_stopped.items()
        if count
    ]
    _check_send_delays(recorded, watchdog)
    streaming_changes = [
        each for phase in STREAMING_PHASES for each in _proposed_in_phase(recorded, phase, propagations)
    ]
    result = Result(
        hollow=sizes.hollow,
        real=sizes.real,
        in_force_s=in_force_times(streaming_changes),
        node=node_cost(recorded, Phase.MEAN),
        control=control_costs(recorded, Phase.MEAN),
        added_ms=_added_latency(recorded, STREAMING_PHASES, recorded.with_control),
        slopes=[],
        violations=found,
        void=watchdog.void,
        seed=sizes.seed,
        seconds=sizes.seconds,
        in_force_all_s=in_force_times(propagations),
        table={"tenants": sizes.tenants, "routes": sizes.routes},
        added_quiet_ms=_added_latency(recorded, (Phase.QUIET,), recorded.with_control),
        added_bare_ms=_added_latency(recorded, STREAMING_PHASES, recorded.without_control),
        real_node=_real_node_cost(recorded, Phase.MEAN),
        phases={phase.value: _phase_figures(recorded, phase, propagations) for phase in Phase},
        more=_other_figures(recorded, propagations, watchdog),
    )
    result.slopes = slopes([result])
    return result


def node_cost(recorded: RunRecords, phase: Phase) -> Cost | None:
    """Return the cost of one hollow node: usage of the workers minus that of the empty worker, divided by all nodes."""
    accounts, nodes = recorded.accounts, sum(len(done.ended) for done in recorded.hollow.values())
    empty = accounts.phase_usage(phase, EMPTY_WORKER)
    phase_usage = [
        each
        for name in recorded.hollow
        if name != EMPTY_WORKER and (each := accounts.phase_usage(phase, name)) is not None
    ]
    link_totals = [done.phases[phase.value] for done in recorded.hollow.values() if phase.value in done.phases]
    if empty is None or not phase_usage or not nodes:
        return None
    seconds = accounts.seconds(phase)
    return Cost(
        sum(each.core_share - empty.core_share for each in phase_usage) / nodes,
        sum(each.memory_mb - empty.memory_mb for each in phase_usage) / nodes,
        sum(each.bytes_in + each.bytes_out for each in link_totals) / nodes / seconds / 1000,
    )


def control_costs(recorded: RunRecords, phase: Phase) -> list[ControlCost]:
    """Return the costs of each control process that ran for the whole phase."""
    found = []
    for name in sorted(recorded.accounts.begins.get(phase, {})):
        phase_usage = recorded.accounts.phase_usage(phase, name)
        if phase_usage is not None and name.startswith(tuple(role.value for role in Role)):
            found.append(
                ControlCost(
                    phase_usage.core_share,
                    phase_usage.memory_mb,
                    phase_usage.kb_s,
                    name,
                    recorded.subscriber_counts.get(name, 0),
                )
            )
    return found


def _real_node_cost(recorded: RunRecords, phase: Phase) -> Cost | None:
    """Return the mean usage of real nodes with control minus that of nodes without, under the same requests."""
    with_control, without_control = (
        [phase_usage for name in names if (phase_usage := recorded.accounts.phase_usage(phase, name)) is not None]
        for names in (recorded.with_control, recorded.without_control)
    )
    if not with_control or not without_control:
        return None
    return Cost(
        fmean(each.core_share for each in with_control) - fmean(each.core_share for each in without_control),
        fmean(each.memory_mb for each in with_control) - fmean(each.memory_mb for each in without_control),
        None,
    )


def _answers(recorded: RunRecords, phase: Phase, nodes: Iterable[str]) -> list[Answers]:
    if recorded.traffic is None:
        return []
    keys = [f"{phase.value}/{name}" for name in nodes]
    return [recorded.traffic.answers[key] for key in keys if key in recorded.traffic.answers]


def _merge_histograms(encoded: Iterable[str]) -> HdrHistogram:
    merged = HdrHistogram(*LAG_HISTOGRAM_RANGE)
    for text in encoded:
        merged.add(HdrHistogram.decode(text.encode()))
    return merged


def _added_latency(recorded: RunRecords, phases: Iterable[Phase], nodes: list[str]) -> AddedLatency | None:
    return added_latency(
        _merge_histograms(each.latency for phase in phases for each in _answers(recorded, phase, nodes))
    )


def _send_delay(recorded: RunRecords, phase: Phase) -> AddedLatency | None:
    nodes = recorded.with_control + recorded.without_control
    return added_latency(_merge_histograms(each.late for each in _answers(recorded, phase, nodes)))


def _check_send_delays(recorded: RunRecords, watchdog: Watchdog) -> None:
    for phase in Phase:
        late = _send_delay(recorded, phase)
        if late is not None:
            watchdog.check_send_delay(phase.value, late.p99)


def _phase_figures(recorded: RunRecords, phase: Phase, propagations: list[Propagation]) -> dict[str, Any]:
    """Return the figures of one phase."""
    phase_changes = _proposed_in_phase(recorded, phase, propagations)
    answer_counts: Counter[str] = Counter()
    for each in _answers(recorded, phase, recorded.with_control + recorded.without_control):
        answer_counts.update(each.words)
    link_totals = [done.phases[phase.value] for done in recorded.hollow.values() if phase.value in done.phases]
    return {
        "seconds": recorded.accounts.seconds(phase),
        "changes": len(phase_changes),
        "in_force_s": in_force_times(phase_changes),
        "node": node_cost(recorded, phase),
        "control": control_costs(recorded, phase),
        "added_ms": _added_latency(recorded, (phase,), recorded.with_control),
        "added_bare_ms": _added_latency(recorded, (phase,), recorded.without_control),
        "sent_late_ms": _send_delay(recorded, phase),
        "answers": dict(answer_counts),
        "serving_least": recorded.min_serving.get(phase),
        "stopped_most": recorded.max_stopped.get(phase),
        "links": _sum_link_totals(link_totals),
    }


def _proposed_in_phase(recorded: RunRecords, phase: Phase, propagations: list[Propagation]) -> list[Propagation]:
    begin, end = _phase_span_us(recorded, phase)
    return [each for each in propagations if begin <= each.proposed_at_us < end]


def _sum_link_totals(link_totals: list[LinkTotals]) -> dict[str, int]:
    names = ("bytes_in", "bytes_out", "messages_in", "messages_out")
    return {name: sum(getattr(each, name) for each in link_totals) for name in names}


def _phase_span_us(recorded: RunRecords, phase: Phase) -> tuple[float, float]:
    begins, ends = (
        list(samples.get(phase, {}).values()) for samples in (recorded.accounts.begins, recorded.accounts.ends)
    )
    return (begins[0].at * 1e6, ends[0].at * 1e6) if begins and ends else (0.0, 0.0)


def _other_figures(recorded: RunRecords, propagations: list[Propagation], watchdog: Watchdog) -> dict[str, Any]:
    counters: Counter[str] = Counter()
    injected: Counter[str] = Counter()
    for done in recorded.hollow.values():
        counters.update(done.counters)
        injected.update(done.spoilt)
    since = int(_phase_span_us(recorded, Phase.QUIET)[0])
    catch_up_us = catch_up_times(recorded.applied, since)
    slowest = sorted(
        (each.duration_us, each.number, each.last_node) for each in propagations if each.duration_us is not None
    )[: -SLOWEST_CHANGES - 1 : -1]
    commits = [
        (each.committed_at_us - each.proposed_at_us) / 1e6
        for each in recorded.decided
        if each.committed_at_us is not None and each.proposed_at_us is not None
    ]
    return {
        "applied": len(recorded.applied.at),
        "lives": len(recorded.applied.incarnations),
        "changes": recorded.changes,
        "not_committed": recorded.not_committed_reasons,
        "commit_s": _percentiles(commits),
        "starts_caught_up_s": {"count": len(catch_up_us), **_percentiles([us / 1e6 for us in catch_up_us])},
        "injected": dict(injected),
        "counters": dict(sorted(counters.items())),
        "slowest": [{"number": number, "s": duration_us / 1e6, "last": last} for duration_us, number, last in slowest],
        "resources": max((each.resources for done in recorded.hollow.values() for each in done.ended), default=0),
        "serving_at_end": sum(each.serving for done in recorded.hollow.values() for each in done.ended),
        "restarts_factor": RESTART_FACTOR,
        "memory_mb_most": watchdog.max_memory_mb,
        "processes_most": watchdog.max_processes,
        "worker_lag_ms_most": watchdog.max_worker_lag_ms,
        "driver_lag_s_most": watchdog.max_driver_lag_s,
        "worker_core_share_most": watchdog.max_cpu,
        "events": [f"{at:.1f} s: {what}" for at, what in recorded.events],
    }


def _percentiles(values: list[float]) -> dict[str, float]:
    if not values:
        return {}
    p50, p99 = np.percentile(values, [50, 99], method="higher")
    return {"p50": float(p50), "p99": float(p99), "max": max(values)}
