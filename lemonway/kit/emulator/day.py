"""Runs an emulated day: builds the fleet of a scenario, schedules its faults and traffic on the loop, runs the loop and
returns the result. It contains no policy of its own."""

from __future__ import annotations

import gc
import json
from collections import Counter
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field, replace
from typing import Any

from ...net.program.bounds import bounds_of
from ...net.routing.core import Core
from .audit import Audit, IncarnationRecord
from .clients import Clients
from .fleet_draw import FleetDraw, router_behaviours
from .membership import AnnounceService, View
from .membership.policy import FleetPolicy
from .node import MEMORY_MB, SOCKETS, CoreFactory, EmulatedIncarnation, Totals
from .recovery.faults import FaultInjector, PlannedFault
from .recovery.supervisor import Network, RecordedEvent, Supervisor
from .requests import Request, Try
from .routing.router import Router, RouterBehaviour
from .scenario import Draw, Scenario, ScenarioError
from .service import Goal, ScoredRequest, ServiceScore, score
from .state.machine import Machine
from .traffic import Mix, draw_mix, draw_requests
from .virtual import START_US, Loop, Streams, Uniform
from .wire.incarnation import WireNode
from .wire.pipes import PipeBehaviour, PipeNetwork

SECOND = 1_000_000
TAIL = 5 * SECOND  # run on after the last deadline, for outcomes still to be reported
PERIODIC_FAULTS = ("link", "reset", "reload", "pause")  # faults repeated every ``every_s`` seconds


@dataclass
class Result:
    """The result of one day."""

    scenario: Scenario
    seed: int
    service: ServiceScore
    requests: list[Request]
    tries: list[Try]
    audit: Audit
    records: list[IncarnationRecord]
    recorded_events: list[RecordedEvent]
    mix: Mix
    capacity: float  # requests per second that the first tier's cores can serve
    events: int
    outcomes: Counter[str] = field(default_factory=Counter)
    router_counters: Counter[str] = field(default_factory=Counter)
    node_counters: Counter[str] = field(default_factory=Counter)  # counters of the nodes' ``Core`` objects, first tier
    backend_counters: Counter[str] = field(default_factory=Counter)  # the same for the next tier
    supervisor: Counter[str] = field(default_factory=Counter)
    duplicate_outcomes: Counter[str] = field(default_factory=Counter)
    totals: list[Totals] = field(default_factory=list)
    most_concurrency: float = 0.0
    most_memory: float = 0.0
    sizes: tuple[int, int] = (0, 0)
    policy: FleetPolicy | None = None


class World:
    """The fleet, the routers and the clients of one day. It implements ``recovery.faults.FaultTarget``."""

    def __init__(
        self,
        scenario: Scenario,
        seed: int,
        make_core: CoreFactory = Core,
        keep: bool = False,
        wire: bool = False,
        loop: Loop | None = None,
    ) -> None:
        """``make_core`` builds each node's core; ``keep`` retains every try, for a trace; ``wire`` runs whole nodes
        over byte pipes; ``loop`` replaces the virtual-time loop, for one process of a live rehearsal."""
        self.scenario, self.make_core, self.keep = scenario, make_core, keep
        self.streams = Streams(seed)
        self.draw = Draw(self.streams)
        self.loop = loop or Loop()
        self.mix = draw_mix(scenario, self.draw)
        self.call_work = self.draw("acervo.work", scenario.acervo.work)
        self.read_work_share = self.draw("fleet.reading", scenario.fleet.reading)
        rules = scenario.rules
        self.number = 0
        self.all_tries: list[Try] = []
        first_tier = [f"entrega-{n}" for n in range(scenario.fleet.nodes)]
        ratio = self.draw("acervo.ratio", scenario.acervo.ratio)
        backend_count = (
            scenario.acervo.nodes if scenario.acervo.nodes is not None else max(1, round(ratio * len(first_tier)))
        )
        self.tiers = (first_tier, [f"acervo-{n}" for n in range(backend_count)])
        if not backend_count:
            self.call_work = 0.0
        fleet_draw = FleetDraw(scenario, self.streams, self.draw, self.mix, self.call_work)
        first_tier_builds = fleet_draw.builds(first_tier, scenario.fleet.kinds, 0)
        self.builds = first_tier_builds | fleet_draw.builds(self.tiers[1], scenario.acervo.kinds, 1)
        self.capacity = (
            sum(build.cores * build.speed for build in first_tier_builds.values())
            * 1000
            / (self.mix.overall_mean_work_ms * (1.0 + self.read_work_share))
        )
        self.settings = [
            fleet_draw.settings(tier, names, self.builds, self.capacity) for tier, names in enumerate(self.tiers)
        ]
        self.machines = {name: Machine(self.loop, name, self.builds[name]) for row in self.tiers for name in row}
        self.audits = [Audit(settings) for settings in self.settings]
        self.totals = [Totals(), Totals()]
        self.records: list[IncarnationRecord] = []
        self.tier_counters: list[Counter[str]] = [Counter(), Counter()]
        self.services = [AnnounceService(self.loop, row) for row in self.tiers]
        self.supervisor = Supervisor(self.loop, self._make_incarnation)
        self.delays: dict[int, int] = {}
        self.network = Network(self.loop, self.supervisor, self.delays)
        self.bounds = bounds_of(SOCKETS, MEMORY_MB)
        self.calls_state = "ok"
        self.deadlines = [int(request_class.deadline_ms * 1000) for request_class in scenario.classes]
        self.feedback_ttl_us = int(rules.heeded_ms * 1000)
        self.incarnation_counts: Counter[str] = Counter()
        self.duplicate_outcomes: Counter[str] = Counter()  # outcomes of keyed requests sent again after being served
        self.pipe_network: PipeNetwork | None = None
        if wire:
            manners = PipeBehaviour(scenario.wire.delay_us, scenario.wire.split, scenario.wire.join)
            self.pipe_network = PipeNetwork(self.loop, manners, Uniform(self.streams["pipes"]))
        self.policy: FleetPolicy | None = None
        if scenario.policy is not None:
            self.policy = FleetPolicy(
                self.loop, first_tier, scenario.policy, self.settings[0], Uniform(self.streams["policy"])
            )
        self.routers = self._make_routers()
        self.proxies = {name: self._make_proxy(name, n) for n, name in enumerate(first_tier)} if backend_count else {}

    def next_number(self) -> int:
        self.number += 1
        return self.number

    # routers

    def _make_routers(self) -> list[Router]:
        list_lag_s = self.scenario.routers.list_lag_s
        return [
            self._make_router(n, f"router/{n}", 0, behaviour, list_lag_s)
            for n, behaviour in enumerate(router_behaviours(self.scenario.routers), 1)
        ]

    def _make_proxy(self, name: str, n: int) -> Router:
        return self._make_router(
            100_000 + n,
            f"proxy/{name}",
            1,
            RouterBehaviour(self.scenario.acervo.pick),
            self.scenario.routers.list_lag_s,
        )

    def _make_router(
        self, number: int, name: str, tier: int, behaviour: RouterBehaviour, list_lag_s: tuple[float, float]
    ) -> Router:
        uniform = Uniform(self.streams[name])
        view = View(self.services[tier], Uniform(self.streams[f"{name}/list"]), list_lag_s)
        delay_ms = self.scenario.routers.delay_ms
        low, high = delay_ms if isinstance(delay_ms, tuple) else (delay_ms, delay_ms)
        self.delays[number] = int(Uniform(self.streams[f"{name}/delay"]).between(low, high) * 1000)
        weights = {name: self.builds[name].cores * self.builds[name].speed for name in self.tiers[tier]}
        return Router(
            self.loop,
            number,
            behaviour,
            view,
            self.network,
            uniform,
            self.next_number,
            self.deadlines,
            self.feedback_ttl_us,
            weights,
        )

    # nodes

    def _make_incarnation(self, name: str, cold: bool) -> EmulatedIncarnation:
        tier = int(name not in self.tiers[0])
        self.incarnation_counts[name] += 1
        seed = self.streams.number(f"node/{name}/{self.incarnation_counts[name]}")
        life_class, extra = self._incarnation_class(name)
        incarnation = life_class(
            self.loop,
            self.machines[name],
            self.settings[tier],
            seed,
            cold,
            self.bounds,
            self.audits[tier],
            self.totals[tier],
            self.read_work_share * self.mix.overall_mean_work_ms * (1.0 if tier == 0 else self.call_work),
            self.services[tier],
            self._ended,
            self.next_number,
            self.scenario.rules.stop_ms,
            self.make_core,
            extra,
        )
        if incarnation.calls is not None:
            incarnation.calls.state = self.calls_state
        self.records.append(incarnation.record)
        if self.policy is not None and tier == 0:
            self.policy.join(incarnation, self.incarnation_counts[name])
        return incarnation

    def _incarnation_class(self, name: str) -> tuple[type[EmulatedIncarnation], Any]:
        """The class of an incarnation on this machine, and the extra argument of its constructor."""
        if self.pipe_network is None:
            return EmulatedIncarnation, self.proxies
        uniform = Uniform(self.streams[f"wire/{name}/{self.incarnation_counts[name]}"])
        return WireNode, (self.pipe_network, self.scenario.wire, uniform, self.proxies)

    def _ended(self, incarnation: EmulatedIncarnation, reason: str) -> None:
        if self.policy is not None:
            self.policy.on_ended(incarnation)
        self.collect_counters(incarnation)
        self.supervisor.on_ended(incarnation, reason)

    def collect_counters(self, incarnation: EmulatedIncarnation) -> None:
        """Add the counters of an incarnation to those of its tier, and retain its tries if asked to."""
        tier = int(incarnation.name not in self.tiers[0])
        self.tier_counters[tier].update(incarnation.core.counters)
        self.tier_counters[tier]["loop_faults"] += incarnation.event_loop.exception_count
        if self.keep:
            self.all_tries.extend(incarnation.tries_by_txn.values())

    def running_incarnation(self, name: str) -> EmulatedIncarnation | None:
        """The running incarnation of a node, or None."""
        incarnation = self.supervisor.incarnations.get(name)
        return incarnation if isinstance(incarnation, EmulatedIncarnation) and not incarnation.dead else None

    # fault injection (``recovery.faults.FaultTarget``)

    def set_speed_factor(self, name: str, factor: float) -> None:
        self.machines[name].cores.set_speed_factor(factor)

    def set_backend_state(self, state: str) -> None:
        self.calls_state = state
        for incarnation in self.supervisor.incarnations.values():
            if isinstance(incarnation, EmulatedIncarnation) and incarnation.calls is not None:
                incarnation.calls.state = state

    def drop_pool_commands(self, name: str) -> None:
        if incarnation := self.running_incarnation(name):
            incarnation.drop_pool_commands()

    def break_link(self, name: str) -> None:
        if incarnation := self.running_incarnation(name):
            incarnation.break_link()

    def restore_link(self, name: str) -> None:
        if incarnation := self.running_incarnation(name):
            incarnation.restore_link()

    def reset(self, name: str) -> None:
        if incarnation := self.running_incarnation(name):
            incarnation.reset_links()

    def reload(self, name: str) -> None:
        if incarnation := self.running_incarnation(name):
            incarnation.reload()

    def pause(self, name: str, length: int) -> None:
        raise NotImplementedError  # ``play`` rejects scenarios with this fault

    def partition(self, names: Sequence[str], length: int) -> None:
        assert self.policy is not None  # the scenario check rejects this fault without a policy
        self.policy.partition(names, length)

    def propose(self, name: str, settings: str) -> str:
        assert self.policy is not None
        return self.policy.propose(name, settings)

    # the day

    def planned_faults(self) -> list[tuple[PlannedFault, list[int], int]]:
        """The faults with their parameters drawn, and the classes (none: all) and the tenant (-1: all) of a burst."""
        plans = []
        for n, trouble in enumerate(self.scenario.trouble):
            key = f"trouble.{n}"
            plan = PlannedFault(
                trouble.kind,
                START_US + int(self.draw(f"{key}.at", trouble.at) * SECOND),
                int(self.draw(f"{key}.seconds", trouble.seconds) * SECOND),
                self.draw(f"{key}.part", trouble.part),
                self.draw(f"{key}.size", trouble.size),
                int(trouble.tier == "acervo"),
                trouble.state,
                int(trouble.every_s * SECOND) if trouble.kind in PERIODIC_FAULTS else 0,
                int(self.scenario.rules.stop_ms * 1000),
                json.dumps(trouble.settings),
            )
            classes = [i for i, kind in enumerate(self.scenario.classes) if kind.name in trouble.classes]
            tenant_index = next(
                (i for i, tenant in enumerate(self.scenario.tenants) if tenant.name == trouble.tenant), -1
            )
            plans.append((plan, classes, tenant_index))
        return plans

    def requests(self) -> list[Request]:
        """All requests of the day, in the order in which they are sent."""
        bursts = [planned for planned in self.planned_faults() if planned[0].kind == "burst"]
        return draw_requests(self.scenario, self.streams, self.draw, self.mix, self.capacity, bursts, self.call_work)

    def schedule_faults(self, shift: int) -> None:
        """Schedule the day's faults on the loop, each ``shift`` microseconds later than drawn."""
        injector = FaultInjector(self.loop, self.supervisor, self, self.tiers)
        for n, (plan, _, _) in enumerate(self.planned_faults()):
            injector.schedule(replace(plan, at_us=plan.at_us + shift), self.streams[f"trouble/{n}"])

    def play(self, progress: Callable[[float], None] | None = None) -> Result:
        """Run the day. ``progress`` is called once per emulated second with the share of the day that has passed."""
        requests = self.requests()
        self.number = len(requests)
        self.schedule_faults(0)
        for tier, tier_names in enumerate(self.tiers):
            for name in tier_names:
                self.services[tier].seed(name)
                self.supervisor.start(name, False)
        clients = Clients(self.loop, requests, self.routers)
        ended: dict[int, int] = {}
        self.duplicate_outcomes = clients.duplicate_outcomes
        clients.on_finished = lambda request: ended.__setitem__(request.number, self.loop.now)
        clients.start()
        end = START_US + int(self.scenario.seconds * SECOND) + max(self.deadlines) + TAIL
        day_end = START_US + int(self.scenario.seconds * SECOND)
        self.loop.run(end, lambda now: self._is_finished(now, day_end, clients, progress))
        for tier, names in enumerate(self.tiers):
            for name in names:
                if incarnation := self.running_incarnation(name):
                    self.collect_counters(incarnation)
            own_names = set(names)
            self.audits[tier].close([record for record in self.records if record.node in own_names], self.loop.now)
        return self.result(requests, ended)

    def _is_finished(
        self,
        now: int,
        day_end: int,
        clients: Clients,
        progress: Callable[[float], None] | None,
    ) -> bool:
        """Called once per emulated second: whether the day can end early, since nothing is left to happen."""
        if progress is not None:
            progress(min(1.0, (now - START_US) / (day_end - START_US)))
        return (
            now > day_end
            and not clients.pending
            and not any(
                isinstance(incarnation, EmulatedIncarnation)
                and (incarnation.unanswered or incarnation.pool.runs or incarnation.draining)
                and not incarnation.dead
                for incarnation in self.supervisor.incarnations.values()
            )
        )

    def result(self, requests: list[Request], ended: dict[int, int]) -> Result:
        """Score the day. ``ended``: by request number, when its client learned the final outcome."""
        scenario = self.scenario
        goal = Goal(
            tuple(int(request_class.aim_ms * 1000) for request_class in scenario.classes),
            tuple(request_class.worth for request_class in scenario.classes),
            tuple(request_class.late_worth for request_class in scenario.classes),
        )
        scored, useful_ms, outcomes = [], 0.0, Counter[str]()
        for request in requests:
            served = request.served_at_us - request.sent_at_us if request.served_at_us >= 0 else -1
            scored.append(
                ScoredRequest(
                    request.sent_at_us - START_US,
                    request.class_index,
                    request.tenant,
                    request.work,
                    request.within_quota,
                    served,
                    ended.get(request.number, request.client_deadline_us) - request.sent_at_us if served < 0 else -1,
                )
            )
            outcomes[request.outcome] += 1
            if served >= 0:
                useful_ms += request.work + self.read_work_share * self.mix.overall_mean_work_ms
        done_ms = self.totals[0].run + self.totals[0].read
        service = score(
            scored, goal, len(scenario.tenants), int(-(-scenario.seconds // 1)), max(0.0, done_ms - useful_ms)
        )
        audit = self.audits[0]
        audit.breaches += self.audits[1].breaches
        audit.answers_checked += self.audits[1].answers_checked
        routers: Counter[str] = Counter()
        for router in self.routers:
            routers.update(router.counters)
        return Result(
            scenario,
            self.streams.seed,
            service,
            requests,
            sorted(self.all_tries, key=lambda attempt: attempt.number),
            audit,
            self.records,
            self.supervisor.recorded_events,
            self.mix,
            self.capacity,
            self.loop.events,
            outcomes,
            routers,
            self.tier_counters[0],
            self.tier_counters[1],
            self.supervisor.counters,
            self.duplicate_outcomes,
            self.totals,
            max(machine.peak_concurrency for machine in self.machines.values()),
            max(machine.peak_memory for machine in self.machines.values()),
            (len(self.tiers[0]), len(self.tiers[1])),
            self.policy,
        )


def play(
    scenario: Scenario,
    seed: int,
    make_core: CoreFactory = Core,
    keep: bool = False,
    progress: Callable[[float], None] | None = None,
    wire: bool = False,
) -> Result:
    """Run one day of ``scenario``.

    The cyclic garbage collector is disabled meanwhile: a day makes few reference cycles and many objects to scan.
    Raises ``ScenarioError`` for a scenario that can't be run this way."""
    for n, fault in enumerate(scenario.trouble):
        if fault.kind == "pause":
            raise ScenarioError(
                f"{scenario.title}: trouble.{n}.kind: a process can only be paused in a live rehearsal (--live)"
            )
    if scenario.policy is not None and wire:
        raise ScenarioError(f"{scenario.title}: policy: runs only on the nodes' cores; leave --wire out")
    enabled: Any = gc.isenabled()
    gc.disable()
    try:
        return World(scenario, seed, make_core, keep, wire).play(progress)
    finally:
        if enabled:
            gc.enable()
