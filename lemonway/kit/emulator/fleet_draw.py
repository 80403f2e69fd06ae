"""Draws the fleet of a scenario: the machines of each tier, the settings of their nodes and the behaviour of the
routers. It schedules nothing on the loop."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence

from ...interface import Effect, FeedbackMode, RequestClass, Settings, SuspensionMode, Tenant
from .routing.router import RouterBehaviour
from .scenario import Draw, Kind, Routers, Scenario
from .service import Goal
from .state.machine import MachineSpec
from .traffic import QUEUED_KB, Mix, tenant_quotas
from .virtual import Streams

SECOND = 1_000_000
GAUGES = ("cpu_busy", "runnable", "mem_used", "sockets")
MIN_SPEED_FACTOR, MAX_SPEED_FACTOR = 0.25, 4.0  # of one machine, relative to the mean of its kind


def spread_by_share(shares: Sequence[float]) -> Iterator[int]:
    """Yield indexes into ``shares`` without end, evenly spread, each as often as its share says."""
    total = sum(shares)
    credits = [0.0] * len(shares)
    while True:
        credits = [credit + share / total for credit, share in zip(credits, shares, strict=True)]
        pick = max(range(len(shares)), key=lambda index: credits[index])
        credits[pick] -= 1.0
        yield pick


class FleetDraw:
    """Draws machines and settings from ``streams``, through ``draw``. ``mix``: the request classes of the day.
    ``call_work``: work of one call to the next tier, as a share of the mean work of a request; 0 if there is none."""

    def __init__(self, scenario: Scenario, streams: Streams, draw: Draw, mix: Mix, call_work: float) -> None:
        self.scenario, self.streams, self.draw, self.mix, self.call_work = scenario, streams, draw, mix, call_work

    def builds(self, names: Iterable[str], kinds: Sequence[Kind], tier: int) -> dict[str, MachineSpec]:
        """Draw the machines of a tier. Kinds are assigned by their shares, evenly spread; speeds vary within a kind."""
        fleet, rules = self.scenario.fleet, self.scenario.rules
        runs_per_core = self.draw("fleet.memory_runs", fleet.memory_runs)
        mean_queued_kb = sum(QUEUED_KB) / 2
        key_share = self.draw("fleet.key_room", fleet.key_room)
        keyed_share = sum(
            share
            for share, request_class in zip(self.mix.share, self.scenario.classes, strict=True)
            if request_class.effect == "keyed"
        )
        machines: dict[str, MachineSpec] = {}
        for name, pick in zip(names, spread_by_share([kind.share for kind in kinds]), strict=False):
            kind = kinds[pick]
            prefix = f"tier{tier}.{kind.name}"
            speed, spread = self.draw(f"{prefix}.speed", kind.speed), self.draw(f"{prefix}.speed_cv", kind.speed_cv)
            factor = float(self.streams[f"machine/{name}"].normal(1.0, spread)) if spread else 1.0
            speed *= min(MAX_SPEED_FACTOR, max(MIN_SPEED_FACTOR, factor))
            cold_us = int(self.draw(f"{prefix}.cold_s", kind.cold_s) * SECOND)
            memory_kb = runs_per_core * kind.cores * fleet.run_factor * mean_queued_kb
            work_ms = self.mix.overall_mean_work_ms * (1.0 if tier == 0 else max(self.call_work, 0.01))
            window_keys = kind.cores * speed * 1000 / work_ms * keyed_share * rules.window_ms / 1000
            machines[name] = MachineSpec(
                kind.name,
                kind.cores,
                speed,
                self.draw(f"{prefix}.thrash", kind.thrash),
                self.draw(f"{prefix}.thrash_at", kind.thrash_at),
                self.draw(f"{prefix}.cold_from", kind.cold_from),
                cold_us,
                kind.cores * speed * cold_us / 2000 if kind.warm_by == "requests" else 0.0,
                memory_kb,
                fleet.run_factor,
                key_share * memory_kb / window_keys if window_keys > 0 else 0.0,
                rules.fall_multiple,
                int(rules.fall_ms * 1000),
            )
        return machines

    def settings(self, tier: int, names: Sequence[str], builds: Mapping[str, MachineSpec], capacity: float) -> Settings:
        """The settings of the nodes of a tier. They hold only what an operator could configure. ``names``: the
        tier's machines; ``builds``: the machines of all tiers; ``capacity``: requests per second of the first tier."""
        scenario, rules = self.scenario, self.scenario.rules
        tier_builds = [builds[name] for name in names]
        mean_kb_per_key = sum(build.kb_per_key for build in tier_builds) / len(tier_builds) if tier_builds else 0.0
        quotas = tenant_quotas(scenario, capacity, self.draw)
        cold_starts = [(build.cold_share, build.warmup_us) for build in builds.values()]
        return Settings(
            request_classes=[
                RequestClass(
                    request_class.name,
                    request_class.aim_ms,
                    0.0,
                    request_class.deadline_ms,
                    Effect(request_class.effect),
                    request_class.worth,
                    request_class.late_worth,
                    rules.window_ms,
                    bool(self.call_work) and tier == 0,
                )
                for request_class in scenario.classes
            ],
            tenants=[Tenant(tenant.name, quotas[n], tenant.share) for n, tenant in enumerate(scenario.tenants)],
            cores=tier_builds[0].cores if tier_builds else 1,
            memory_kb=min((build.memory_kb for build in tier_builds), default=0.0),
            run_memory_factor=scenario.fleet.run_factor,
            kb_per_key=mean_kb_per_key,
            suspension_mode=SuspensionMode(rules.halt),
            feedback_mode=FeedbackMode.MIN_RANK,
            feedback_ttl_ms=rules.heeded_ms,
            retry_after=rules.retry_after_ms > 0,
            max_retry_after_ms=rules.retry_after_ms,
            marks_retries=rules.marks_retry,
            caller_idle_ms=15000.0,
            caller_count=scenario.routers.count,
            tier=tier,
            fleet_size=max(1, len(tier_builds)),
            gauge_names=GAUGES,
            backend_mode="next_hop" if self.call_work and tier == 0 else "off",
            warmup_ms=max(us for _, us in cold_starts) / 1000,
            cold_capacity_share=min(share for share, _ in cold_starts),
            max_concurrency_per_core=rules.fall_multiple,
            overload_window_ms=rules.fall_ms,
            answer_grace_ms=rules.answer_grace_ms,
            drain_grace_ms=rules.drain_grace_ms,
            value_by_work=True,
            over_quota_value_factor=Goal.over_quota_factor,
            weight_whole=Goal.whole,
            weight_window=Goal.window,
            weight_class=Goal.lane,
            weight_tenant=Goal.tenant,
            tick_ms=5.0,
        )


def router_behaviours(routers: Routers) -> Iterator[RouterBehaviour]:
    """Yield the behaviour of each router. The rows of ``routers.habits`` are assigned to routers by their ``share``;
    of the routers of a row, the share ``heeds`` follows feedback."""
    rows = routers.habits
    pending_feedback = [0.0] * len(rows)  # by row: routers that should follow feedback, minus those that do
    for _, pick in zip(range(routers.count), spread_by_share([row.share for row in rows]), strict=False):
        row = rows[pick]
        pending_feedback[pick] += row.heeds
        follows_feedback = pending_feedback[pick] >= 0.5
        pending_feedback[pick] -= follows_feedback
        yield RouterBehaviour(
            row.pick,
            row.retry,
            row.retry_share,
            row.patience,
            follows_feedback,
            row.copies,
            row.checks,
            row.ejects,
            row.throttles,
        )
