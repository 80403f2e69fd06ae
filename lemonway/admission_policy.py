"""The admission and scheduling policy. Its settings, events and actions are in lemonway/interface.py.

All times are milliseconds, all sizes kilobytes."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from heapq import heapreplace
from operator import attrgetter
from typing import Any

from . import interface as api
from .interface import Action, Arrival, Effect, Outcome, SuspensionMode
from .limits.idle import IdleConnectionTimeout
from .state.expiring import ExpiringIds
from .state.in_flight import InFlight, Job
from .state.queue_order import QueueOrder
from .state.recent import RecentCounts

SWEEP_INTERVAL_MS = 50.0  # between sweeps (`on_wake`) with requests in flight; well within any answer grace, little CPU
CPU_FULL_SHARE = 0.95  # busy share of the cores that counts as full (the gauge is a mean over half a second)
SAFE_CONCURRENCY_SHARE = 0.6  # share that runs may use of the concurrency that the process survives
SAFE_MEMORY_SHARE = 0.92  # usable share of memory; the rest covers keys and sizes not yet counted
MAX_PROMISES_PER_CORE = 8.0  # retry times granted per core that are still to come (D-hat of DSRT)
FULL_WAIT_TARGET_SHARE = 0.5  # full once the shortest queue wait of a window exceeds this share of the target
WAIT_WINDOW_TARGET_SHARE = 0.5  # length of that window, as a share of the shortest target latency
LEARNING_WEIGHT = 0.15  # weight of the newest run in moving averages: about the last dozen runs count
STOPPED_RUN_WEIGHT = 0.5  # weight in `slowdown` of a hinted run stopped at its target: it would have taken longer
MAX_ELAPSED_SHARE = 0.75  # largest share of its expected time that a run is assumed to have completed
PREEMPTION_VALUE_FACTOR = 2.0  # value rate a queued request needs, relative to a run, to pause that run
MIX_LEARNING_WEIGHT = 0.02  # weight of the newest request in moving averages over about fifty requests
INITIAL_WORK_TARGET_SHARE = 0.2  # run time assumed before any run has ended, as a share of the class's target
OVERDUE_RUN_FACTOR = 3.0  # runs longer than this multiple of their expected time mean a slowed server
FLEET_FULL_RETRY_SHARE = 0.3  # share of retries (or refusals) from which other nodes are assumed full
WAIT_STEP_DEADLINE_SHARE = 0.03  # width of a caller timeout bucket, as a share of the class's deadline
COMMON_WAIT_SHARE = 0.2  # share of arrivals that makes a timeout common: callers use only a few timeouts
UNHINTED_WORK_FACTOR = 1.5  # stretches the run time of queued requests without a hint: half take longer
LOST_CALL_FACTOR = 2.0  # a call longer than this multiple of the longest recent call counts as lost
UPPER_TIER_TARGET_SHARE = 0.5  # share of its target that a request may take in later tiers, where it is a call
MAX_FULLY_PLANNED_COUNT = 32  # queued requests up to which each step replans all, in about 0.1 ms
ARRIVAL_ORDER_KEY, VALUE_RATE_KEY = attrgetter("arrived_at_ms", "id"), attrgetter("value_rate")
EXPERIMENT_NAMES: dict[str, str] = {  # name in experiment files -> constant of this module
    "SAMPLE": "SWEEP_INTERVAL_MS",
    "CPU_HIGH": "CPU_FULL_SHARE",
    "CROWD_SAFE": "SAFE_CONCURRENCY_SHARE",
    "MEMORY_SAFE": "SAFE_MEMORY_SHARE",
    "PROMISES": "MAX_PROMISES_PER_CORE",
    "BOUND": "FULL_WAIT_TARGET_SHARE",
    "WINDOW": "WAIT_WINDOW_TARGET_SHARE",
    "LEARN": "LEARNING_WEIGHT",
    "STOPPED": "STOPPED_RUN_WEIGHT",
    "OVERSTAY": "MAX_ELAPSED_SHARE",
    "PREEMPT": "PREEMPTION_VALUE_FACTOR",
    "FORGET_MIX": "MIX_LEARNING_WEIGHT",
    "FIRST_WORK": "INITIAL_WORK_TARGET_SHARE",
    "STUCK": "OVERDUE_RUN_FACTOR",
    "ELSEWHERE": "FLEET_FULL_RETRY_SHARE",
    "AGED": "WAIT_STEP_DEADLINE_SHARE",
    "USUAL": "COMMON_WAIT_SHARE",
    "MARGIN": "UNHINTED_WORK_FACTOR",
    "CALL_LOST": "LOST_CALL_FACTOR",
    "CALL_PART": "UPPER_TIER_TARGET_SHARE",
    "MANY": "MAX_FULLY_PLANNED_COUNT",
}


class Policy:
    """The policy of one server: ``step`` takes the latest events and returns the actions to perform."""

    def __init__(self, initial_settings: api.Settings, seed: int) -> None:
        settings = self.settings = initial_settings
        self.now_ms, self.started_at_ms, self.actions, self.in_flight = (
            0.0,
            -1.0,
            list[Action](),
            InFlight(settings.run_memory_factor),
        )
        self.target_share = UPPER_TIER_TARGET_SHARE if settings.tier > 0 else 1.0
        self.shortest_target_ms = (
            min(request_class.target_latency_ms for request_class in settings.request_classes) * self.target_share
        )
        self.handlers: dict[type, Callable[[Any], None]] = {
            Arrival: self.on_arrival,
            api.Finished: self.on_finished,
            api.Woken: self.on_wake,
            api.Drain: self.on_drain,
            api.Abandoned: self.on_abandoned,
            api.CallNeeded: self.on_call_needed,
            api.CallEnded: self.on_call_ended,
        }
        self.active_classes = list(range(len(settings.request_classes)))  # indexes of the configured classes
        self.mean_work_ms = [
            request_class.target_latency_ms * INITIAL_WORK_TARGET_SHARE for request_class in settings.request_classes
        ]
        self.slowdown = 1.0 / settings.cold_capacity_share if settings.fresh_start else 1.0
        # Expected work and measured time, as moving averages over the last dozen runs; the ratio is the server's speed.
        self.recent_work_ms, self.recent_run_ms = 1.0, self.slowdown
        self.calls_per_run = [0.0] * len(settings.request_classes)  # mean calls per run, by class
        self.call_time_ms = 0.0  # mean time from a run's need for a call to the reply
        self.completion_gap_ms = self.cpu_share = 0.0
        self.last_completion_ms = -1.0
        # Arrivals by caller timeout, in buckets of WAIT_STEP_DEADLINE_SHARE.
        self.usual_waits = RecentCounts(int(1.0 / WAIT_STEP_DEADLINE_SHARE) + 3, MIX_LEARNING_WEIGHT)
        self.retry_share = self.refused_share = 0.0
        self.offered_value, self.served_value = (
            [request_class.value for request_class in settings.request_classes],
            [request_class.value for request_class in settings.request_classes],
        )
        self.tenant_rates, self.tenant_rates_at_ms = [0.0] * len(settings.tenants), [0.0] * len(settings.tenants)
        self.open_promises_ms, self.queue_waits = deque[float](), deque[tuple[float, float]]()
        self.least_wait_ms = 0.0  # shortest queue wait that a sweep of the window found
        # free_slots and plan_state (full, slowdown, call time in ms) are valid during planning only.
        self.queue_order, self.new_jobs, self.free_slots = QueueOrder(), list[Job](), 0
        self.plan_state = (False, 1.0, 0.0)
        self.concurrency_cap = float(settings.cores)
        self.advertised_value = -1.0
        self.idle_connections = IdleConnectionTimeout(
            settings.caller_idle_ms, settings.caller_count, self.shortest_target_ms
        )
        self.ran_keys = ExpiringIds()  # ids of keyed tries that have run, while duplicates may follow
        self.idempotency_entries = ExpiringIds()  # ids with a retained idempotency entry
        self.successors: dict[int, int] = {}  # id of a queued try -> id of the duplicate that replaced it
        self.mean_calls, self.mean_calls_at_ms, self.lingering_calls_until_ms = 0.0, 0.0, deque[float]()
        self.longest_call_ms = 0.0  # longest recent call; decays by MIX_LEARNING_WEIGHT a call
        self.drain_grace_end_ms = self.kill_at_ms = float("inf")
        self.wake_at_ms = -1.0

    def update_settings(self, settings: api.Settings, active_classes: list[int]) -> None:
        """Apply new settings. Classes and tenants keep their indexes and new ones are appended.
        ``active_classes`` holds the indexes of the classes that are still configured."""
        self.settings, self.active_classes = settings, active_classes
        added_classes = settings.request_classes[len(self.mean_work_ms) :]
        self.mean_work_ms += [
            request_class.target_latency_ms * INITIAL_WORK_TARGET_SHARE for request_class in added_classes
        ]
        self.calls_per_run += [0.0 for request_class in added_classes]
        self.offered_value += [request_class.value for request_class in added_classes]
        self.served_value += [request_class.value for request_class in added_classes]
        for table in (self.tenant_rates, self.tenant_rates_at_ms):
            table.extend([0.0] * (len(settings.tenants) - len(table)))
        self.shortest_target_ms = (
            min(settings.request_classes[index].target_latency_ms for index in active_classes) * self.target_share
        )

    def step(self, now: float, events: list[api.Event]) -> list[Action]:
        self.now_ms, self.actions = now, []
        if self.started_at_ms < 0:
            self.started_at_ms = now
            self.actions.append(api.SetHealth(True, True))  # stored: checks that do work would take core time
        for event in events:
            self.handlers[type(event)](event)
        self.answer_overdue()
        self.start_calls()
        self.plan_queue()
        self.idle_connections.update(self.now_ms, self.actions)
        self.advertise_capacity()
        self.schedule_wake()
        return self.actions

    def current_slowdown(self) -> float:
        """Ratio of run time to expected work. Overdue runs (slow or hung) count before they end."""
        elapsed_ms = expected_ms = 0.0
        for job in self.in_flight.running.values():
            if not job.answered:
                elapsed_ms += job.run_ms + self.now_ms - job.resumed_at_ms
                expected_ms += job.expected_work_ms
        return max(self.slowdown, elapsed_ms / expected_ms / OVERDUE_RUN_FACTOR if expected_ms else 0.0)

    def elapsed_run_ms(self, job: Job) -> float:
        return job.run_ms + (self.now_ms - job.resumed_at_ms if job.state == "running" else 0.0)

    def learn_run_time(self, job: Job, measured_ms: float) -> None:
        measured_ms = max(measured_ms, 0.001)
        self.slowdown += LEARNING_WEIGHT * (measured_ms / job.expected_work_ms - self.slowdown)
        self.recent_work_ms += LEARNING_WEIGHT * (job.expected_work_ms - self.recent_work_ms)
        self.recent_run_ms += LEARNING_WEIGHT * (measured_ms - self.recent_run_ms)
        # Without hints the mean follows the run times and the slowdown returns to 1, so that a slowdown caused
        # by other classes starves no class.
        self.mean_work_ms[job.class_index] += (
            LEARNING_WEIGHT
            / 4
            * ((job.expected_work_ms if job.has_work_hint else measured_ms) - self.mean_work_ms[job.class_index])
        )
        if self.last_completion_ms >= 0 and self.in_flight.started_count + 1 >= self.concurrency_cap:
            gap_ms = self.now_ms - self.last_completion_ms
            self.completion_gap_ms = (
                gap_ms
                if self.completion_gap_ms == 0
                else self.completion_gap_ms + LEARNING_WEIGHT * (gap_ms - self.completion_gap_ms)
            )
        elif self.completion_gap_ms == 0:
            self.completion_gap_ms = measured_ms / self.settings.cores
        self.last_completion_ms = self.now_ms

    def remaining_run_ms(self, job: Job) -> float:
        expected_run_ms = job.expected_work_ms * self.slowdown
        return max(expected_run_ms - self.elapsed_run_ms(job), (1.0 - MAX_ELAPSED_SHARE) * expected_run_ms)

    def class_weights(self) -> list[float]:
        """Weight of a unit of value by class in the configured objective; the worst served class has more."""
        settings, indexes = self.settings, self.active_classes
        per_class = [
            (settings.weight_whole + settings.weight_window) / sum(self.offered_value) for _ in self.offered_value
        ]
        worst_index = min(indexes, key=lambda index: self.served_value[index] / self.offered_value[index])
        per_class[worst_index] += settings.weight_class / self.offered_value[worst_index]
        return per_class

    def score_value_rate(self, job: Job, weights: list[float]) -> float:
        """Objective gained per millisecond of core time spent on this request."""
        settings, remaining_run_ms = self.settings, self.remaining_run_ms(job)
        late = self.now_ms + remaining_run_ms > job.target_at_ms
        relative_work = job.expected_work_ms / self.mean_work_ms[job.class_index] if settings.value_by_work else 1.0
        value = job.request_class.value * relative_work * (job.request_class.late_value if late else 1.0)
        if job.tenant < len(settings.tenants) and settings.tenants[job.tenant].quota_rps > 0:
            rate_rps = self.tenant_rates[job.tenant] * settings.fleet_size
            share_in_quota = min(1.0, settings.tenants[job.tenant].quota_rps / rate_rps) if rate_rps > 0 else 1.0
            value *= share_in_quota + (1.0 - share_in_quota) * settings.over_quota_value_factor
        return value * weights[job.class_index] / remaining_run_ms

    def record_value(self, job: Job, in_time: bool) -> None:
        value = job.request_class.value * (job.expected_work_ms if self.settings.value_by_work else 1.0)
        for index in range(len(self.offered_value)):
            class_value = value if index == job.class_index else 0.0
            self.offered_value[index] = max(
                1e-9, self.offered_value[index] + MIX_LEARNING_WEIGHT * (class_value - self.offered_value[index])
            )
            self.served_value[index] += MIX_LEARNING_WEIGHT * (class_value * in_time - self.served_value[index])

    def first_try_age_ms(self, event: Arrival) -> float:
        """Estimated age of the first try. Callers give a first try one of a few common timeouts and a retry
        the rest of the deadline, so an uncommon timeout reveals the age. A call's timeout is chosen by the
        previous tier from its call times and reveals nothing."""
        if event.remaining_ms is None:
            return event.age_ms
        deadline_ms = self.settings.request_classes[event.class_index].deadline_ms
        bucket = min(
            int((event.remaining_ms + event.age_ms) / deadline_ms / WAIT_STEP_DEADLINE_SHARE), len(self.usual_waits) - 2
        )
        self.usual_waits.add(bucket)
        is_common = self.settings.tier > 0 or self.usual_waits.share(bucket - 1, bucket + 1) >= COMMON_WAIT_SHARE
        self.retry_share += LEARNING_WEIGHT * ((event.retry or not is_common) - self.retry_share)
        return event.age_ms if is_common else max(event.age_ms, deadline_ms - event.remaining_ms)

    def on_arrival(self, event: Arrival) -> None:
        settings = self.settings
        request_class = event.request_class or settings.request_classes[event.class_index]
        arrived_at_ms = self.now_ms - event.age_ms
        self.idle_connections.on_arrival(self.now_ms, event.age_ms)
        expected_work_ms = (
            max(event.work_ms, 0.001) if event.work_ms is not None else self.mean_work_ms[event.class_index]
        )
        deadline_at_ms = (
            self.now_ms + event.remaining_ms
            if event.remaining_ms is not None
            else max(arrived_at_ms + request_class.deadline_ms, self.now_ms)
        )
        allowed_ms = min(
            self.target_share * (request_class.target_latency_ms + request_class.target_work_factor * expected_work_ms),
            request_class.deadline_ms,
        )
        target_at_ms = self.now_ms + allowed_ms - self.first_try_age_ms(event)
        # Runs without value past their target are stopped if suspension is allowed. Keyed runs are not: a
        # duplicate may take the result.
        stops_at_target = (
            settings.suspension_mode is not SuspensionMode.OFF
            and request_class.effect is not Effect.KEYED
            and request_class.late_value <= 0
        )
        job = Job(
            event,
            request_class,
            arrived_at_ms,
            deadline_at_ms,
            target_at_ms,
            min(deadline_at_ms, target_at_ms) if stops_at_target else deadline_at_ms,
            expected_work_ms,
        )
        self.in_flight.add(job)
        self.new_jobs.append(job)
        if event.tenant < len(self.tenant_rates):
            span_ms = 4 * settings.max_retry_after_ms
            decay = min(1.0, (self.now_ms - self.tenant_rates_at_ms[event.tenant]) / span_ms)
            self.tenant_rates[event.tenant] += 1000.0 / span_ms - decay * self.tenant_rates[event.tenant]
            self.tenant_rates_at_ms[event.tenant] = self.now_ms
        self.handle_duplicate(job, event)

    def refuse(self, job: Job, invite_retry: bool = True) -> None:
        """Refuse a request, with a retry time if the promise schedule has room. A request that has run with
        an effect fails instead."""
        if job.has_run and job.request_class.effect is not Effect.SAFE:
            return self.answer(job, api.Fail(job.id))
        out_of_time = job.target_at_ms - self.now_ms < job.expected_work_ms
        retry_after_ms = 0.0 if job.retry or out_of_time or not invite_retry else self.promise_retry_ms(job)
        self.refused_share += MIX_LEARNING_WEIGHT * (1.0 - self.refused_share)
        fleet_full_share = (
            self.retry_share if self.settings.marks_retries else max(self.retry_share, self.refused_share)
        )
        self.answer(
            job,
            api.Refuse(
                job.id, retry_after_ms, out_of_time or (invite_retry and fleet_full_share > FLEET_FULL_RETRY_SHARE)
            ),
        )

    def answer(self, job: Job, action: Action) -> None:
        if job.answered:
            return
        self.actions.append(action)
        job.answered = True
        self.record_value(job, False)
        self.release(job)

    def release(self, job: Job) -> None:
        """Remove an answered request, or stop its run: a run that no caller waits for frees its core."""
        if job.state in ("queued", "paused", "replaying"):
            if job.id in self.idempotency_entries and not job.has_run:
                self.actions.append(api.Forget(job.id))
                self.idempotency_entries.drop(job.id)
            self.in_flight.remove(job)
        elif job.state == "running" and self.settings.suspension_mode is not SuspensionMode.OFF:
            self.actions.append(api.Suspend(job.id))

    def on_abandoned(self, event: api.Abandoned) -> None:
        job = self.in_flight.get(event.id)
        if job is None or job.answered:
            return
        job.answered = True
        self.record_value(job, False)
        if not (
            job.keyed
            and job.state == "running"
            and self.now_ms < job.arrived_at_ms + job.request_class.idempotency_window_ms / 4
        ):
            self.release(job)  # keyed runs go on while a duplicate may still take the result

    def on_finished(self, event: api.Finished) -> None:
        if not (job := self.in_flight.get(event.id)):
            return
        if event.outcome is Outcome.MOOT:  # never started: its key may be used again
            self.ran_keys.drop(job.id)
            if job.id in self.idempotency_entries:
                self.idempotency_entries.drop(job.id)
                self.actions.append(api.Forget(job.id))
        if job.pausing and not job.answered and event.outcome is Outcome.CANCELLED:
            job.run_ms, job.pausing = self.elapsed_run_ms(job), False
            return self.in_flight.move(job, "paused")
        was_running, measured_ms = job.state == "running", self.elapsed_run_ms(job)
        self.in_flight.remove(job)
        if not job.answered:
            self.record_value(job, event.outcome is Outcome.OK and self.now_ms <= job.target_at_ms)
        # Runs that made calls count too (`run_ms` excludes the calls). Otherwise nothing would be learned
        # where every class makes calls, and refusals would carry no retry time.
        if was_running and event.outcome is Outcome.OK:
            self.learn_run_time(job, measured_ms)
            self.calls_per_run[job.class_index] += LEARNING_WEIGHT * (
                job.call_count - self.calls_per_run[job.class_index]
            )

    def promise_retry_ms(self, job: Job) -> float:
        """Retry time by DSRT, 0 for none: one completion gap (x) after the last open promise, with fewer than
        min(D-hat, floor(T-hat / x)) promises open."""
        # The time in which a retry can still be sent and end in time: T-hat of DSRT.
        horizon_ms = min(job.deadline_at_ms, job.target_at_ms) - self.now_ms - job.expected_work_ms * self.slowdown
        if self.settings.max_retry_after_ms > 0:
            horizon_ms = min(horizon_ms, self.settings.max_retry_after_ms)
        if horizon_ms <= 0 or self.completion_gap_ms <= 0 or not self.settings.retry_after:
            return 0.0
        spacing_ms = min(self.completion_gap_ms, horizon_ms)
        while self.open_promises_ms and self.open_promises_ms[0] <= self.now_ms:
            self.open_promises_ms.popleft()
        if len(self.open_promises_ms) >= min(MAX_PROMISES_PER_CORE * self.settings.cores, horizon_ms // spacing_ms):
            return 0.0
        retry_at_ms = (self.open_promises_ms[-1] if self.open_promises_ms else self.now_ms) + spacing_ms
        self.open_promises_ms.append(retry_at_ms)
        return retry_at_ms - self.now_ms

    def concurrency_ceiling(self) -> float:
        """Maximum running requests: the safe share of the concurrency that the process survives, which grows while
        it warms up."""
        settings, warm_share = self.settings, 1.0
        if settings.fresh_start and settings.warmup_ms > 0:
            warm_share = min(
                1.0,
                settings.cold_capacity_share
                + (1 - settings.cold_capacity_share) * (self.now_ms - self.started_at_ms) / settings.warmup_ms,
            )
        return max(
            1.0, settings.cores * (1 + (settings.max_concurrency_per_core - 1) * warm_share) * SAFE_CONCURRENCY_SHARE
        )

    def on_wake(self, event: api.Woken) -> None:
        """Start a sweep: read the gauges and have the whole queue replanned. The concurrency cap rises while
        requests queue and cores are free, and falls towards the number of cores while the CPU is full."""
        self.wake_at_ms, self.queue_order.valid = -1.0, False
        gauge_values = dict(zip(self.settings.gauge_names, event.gauges, strict=False))
        self.cpu_share = gauge_values.get("cpu_busy", float(self.in_flight.started_count >= self.settings.cores))
        queued = self.in_flight.queued.values()
        # The runnable gauge is current, while the CPU gauge (a mean over half a second) lags behind bursts.
        has_free_core = gauge_values.get("runnable", 0.0) < self.settings.cores
        if (
            queued
            and has_free_core
            and self.cpu_share < CPU_FULL_SHARE
            and self.in_flight.started_count >= int(self.concurrency_cap)
        ):
            self.concurrency_cap = min(
                self.concurrency_cap + max(1.0, self.concurrency_cap / 8), self.concurrency_ceiling()
            )
        elif self.cpu_share >= CPU_FULL_SHARE:
            self.concurrency_cap = max(float(self.settings.cores), self.concurrency_cap - 1.0)
        for table in (self.idempotency_entries, self.ran_keys):
            table.remove_expired(self.now_ms, self.in_flight)
        if not queued:
            self.successors.clear()
        self.queue_waits.append((self.now_ms, min((self.now_ms - job.arrived_at_ms for job in queued), default=0.0)))
        while self.queue_waits[0][0] < self.now_ms - WAIT_WINDOW_TARGET_SHARE * self.shortest_target_ms:
            self.queue_waits.popleft()
        self.least_wait_ms = min(wait_ms for _, wait_ms in self.queue_waits)

    def is_full(self) -> bool:
        """Whether the cap is reached with a full CPU or the shortest queue wait of the window is too long."""
        at_cap = self.in_flight.started_count >= int(self.concurrency_cap) and self.cpu_share >= CPU_FULL_SHARE
        return at_cap or self.least_wait_ms > FULL_WAIT_TARGET_SHARE * self.shortest_target_ms

    def fits_memory(self, extra_kb: float) -> bool:
        needed_kb = self.in_flight.reserved_kb + len(self.idempotency_entries) * self.settings.kb_per_key + extra_kb
        return self.settings.memory_kb <= 0 or needed_kb <= SAFE_MEMORY_SHARE * self.settings.memory_kb

    def plan_queue(self) -> None:
        """Admit what fits, oldest first or, when full, by value rate; refuse what would end too late. Long
        queues are replanned in sweeps only; steps in between insert arrivals into the last order. This
        bounds the cost of a step; the drawback is that order and start times may be one sweep old."""
        in_flight, (new_jobs, self.new_jobs) = self.in_flight, (self.new_jobs, [])
        waiting = [*in_flight.queued.values(), *in_flight.paused.values()]
        if not waiting:
            return
        full, slowdown, cap = (
            self.is_full(),
            self.current_slowdown(),
            int(min(self.concurrency_cap, self.concurrency_ceiling())),
        )
        # Open calls show a slow backend before they end; without any its speed is unknown and no time is
        # counted. The time counted for a call is capped at the time after which it is considered lost.
        call_wait_ms = 0.0
        if in_flight.stalled or in_flight.calling:
            lost_after_ms = LOST_CALL_FACTOR * self.longest_call_ms
            open_call_ms = [
                min(self.now_ms - job.call_requested_at_ms, lost_after_ms)
                for job in (*in_flight.stalled.values(), *in_flight.calling.values())
            ]
            call_wait_ms = max(self.call_time_ms, sum(open_call_ms) / len(open_call_ms))
        memory_factor, open_slots = self.settings.run_memory_factor, cap - in_flight.started_count
        # Requests in state "calling" return to a core without being admitted again, so a slot is kept for each.
        # With them, the running requests may reach all of the concurrency that the process survives.
        self.free_slots = (
            min(cap, int(self.concurrency_ceiling() / SAFE_CONCURRENCY_SHARE) - len(in_flight.calling))
            - in_flight.started_count
        )
        pausing = self.settings.suspension_mode is SuspensionMode.PAUSE and any(job.pausing for job in in_flight)
        may_pause = self.settings.suspension_mode is SuspensionMode.PAUSE and self.free_slots <= 0 and not pausing
        self.plan_state = (full or pausing or bool(in_flight.paused), slowdown, call_wait_ms)
        plan_all = (
            len(waiting) <= MAX_FULLY_PLANNED_COUNT
            or may_pause
            or pausing
            or in_flight.paused
            or not self.fits_memory(0.0)
        )
        if self.queue_order.valid and not plan_all:
            return self.plan_incrementally(new_jobs)
        self.queue_order.valid = False
        free_at_ms = [self.now_ms] * max(0, open_slots)
        if len(waiting) > open_slots:  # otherwise every waiting request finds a free core
            started = [*in_flight.running.values(), *in_flight.stalled.values()]
            free_at_ms += sorted([self.now_ms + self.remaining_run_ms(job) for job in started])[-cap:]
        if self.plan_state[0] or may_pause or not self.fits_memory(0.0):
            weights = self.class_weights()
            for job in waiting:
                job.value_rate = self.score_value_rate(job, weights)
        # Pausing lets short valuable requests pass cheap or overlong runs; the drawback is that a paused run
        # keeps its memory.
        if may_pause:
            best = max(waiting, key=lambda job: (job.value_rate, -job.id))
            started = [job for job in in_flight.running.values() if not job.answered]
            cheapest = min(
                [(self.score_value_rate(job, weights), job.id) for job in started], default=(float("inf"), 0)
            )
            if best.value_rate > PREEMPTION_VALUE_FACTOR * cheapest[0] and self.fits_memory(
                best.size_kb * (memory_factor - 1)
            ):
                in_flight[cheapest[1]].pausing = True
                self.actions.append(api.Suspend(cheapest[1]))
                heapreplace(free_at_ms, self.now_ms)
                self.plan_state = (True, slowdown, call_wait_ms)
        waiting.sort(key=ARRIVAL_ORDER_KEY)
        if self.plan_state[0]:
            waiting.sort(key=VALUE_RATE_KEY, reverse=True)
        start_times_ms = []
        for job in waiting:
            start_times_ms.append(free_at_ms[0])
            if self.admit_or_refuse(job, free_at_ms[0]):
                heapreplace(free_at_ms, free_at_ms[0] + job.expected_work_ms * slowdown - job.run_ms)
        while not self.fits_memory(0.0):  # refuse queued requests of the lowest value rate
            if not (refusable := [*in_flight.queued.values(), *in_flight.replaying.values()]):
                break
            self.refuse(min(refusable, key=lambda job: (job.value_rate, job.id)), invite_retry=False)
        if len(waiting) > MAX_FULLY_PLANNED_COUNT:
            self.queue_order.rebuild(self.plan_state[0], waiting, start_times_ms, free_at_ms[0])

    def plan_incrementally(self, new_jobs: list[Job]) -> None:
        """Insert new requests into the queue order of the last sweep and admit from its head."""
        weights, free_slots = self.class_weights(), self.free_slots
        for job in [job for job in new_jobs if job.state == "queued"]:
            job.value_rate = self.score_value_rate(job, weights)
            position, start_at_ms = self.queue_order.insert(job)
            if position >= free_slots:
                self.free_slots = 0
                self.admit_or_refuse(job, start_at_ms)
        self.free_slots = free_slots
        for job in self.queue_order.first_queued(4 * free_slots):  # some may be too late or too large by now
            self.admit_or_refuse(job, self.now_ms)

    def admit_or_refuse(self, job: Job, start_at_ms: float) -> bool:
        """Admit the request if a core is free, queue it for one at ``start_at_ms`` or refuse it (False)."""
        full, slowdown, call_wait_ms = self.plan_state
        end_at_ms, is_paused = start_at_ms + job.expected_work_ms * slowdown - job.run_ms, job.state == "paused"
        expected_calls_ms = call_wait_ms * self.calls_per_run[job.class_index]
        limit_at_ms = min(
            job.deadline_at_ms if job.request_class.late_value > 0 and not full else job.target_at_ms,
            job.deadline_at_ms,
            self.kill_at_ms,
        )
        if not (is_paused and job.keyed) and (
            limit_at_ms <= self.now_ms or (job.arrived_at_ms > self.drain_grace_end_ms and not is_paused)
        ):
            self.refuse(job, invite_retry=False)
        # A run that seems too long is admitted all the same unless the server is full: hints are inexact, and it
        # takes no core from another request. It is not admitted where calls are expected to be slow: it
        # would use up calls, of which only some can be open, with which another request would end in time.
        elif self.free_slots > 0 and (
            is_paused
            or (
                end_at_ms + expected_calls_ms <= limit_at_ms
                or not full
                and expected_calls_ms < FULL_WAIT_TARGET_SHARE * (job.target_at_ms - job.arrived_at_ms)
            )
            and self.fits_memory(job.size_kb * (self.settings.run_memory_factor - 1))
        ):
            self.free_slots -= 1
            self.admit(job)
        elif (
            not is_paused
            and start_at_ms
            + expected_calls_ms
            + (1.0 if job.has_work_hint else UNHINTED_WORK_FACTOR) * job.expected_work_ms * slowdown
            > limit_at_ms
        ):
            self.refuse(job)
        return not job.answered

    def admit(self, job: Job) -> None:
        self.actions.append(api.Admit(job.id))
        self.refused_share -= MIX_LEARNING_WEIGHT * self.refused_share
        job.resumed_at_ms, job.has_run = self.now_ms, True
        self.in_flight.move(job, "running")
        if job.keyed:
            self.ran_keys.put(
                job.id,
                job.arrived_at_ms + 2 * (job.request_class.idempotency_window_ms + job.request_class.deadline_ms),
            )

    def answer_overdue(self) -> None:
        """Answer requests whose deadline (of a run: the time to stop it) is within two ticks, and all requests from
        a sweep interval before the process is killed."""
        until_ms = self.now_ms + 2 * self.settings.tick_ms
        stopping = self.kill_at_ms - SWEEP_INTERVAL_MS <= until_ms
        for job in list(self.in_flight) if stopping else self.in_flight.pop_due(until_ms):
            request_class, limit_at_ms = (
                job.request_class,
                job.stop_at_ms if job.state == "running" else job.deadline_at_ms,
            )
            if (stopping or limit_at_ms <= until_ms) and not job.answered:
                if job.state == "running":
                    overrun = max(0.0, self.elapsed_run_ms(job) / job.expected_work_ms - self.slowdown)
                    self.slowdown += (STOPPED_RUN_WEIGHT if job.has_work_hint else LEARNING_WEIGHT) * overrun
                if job.state == "replaying" or (job.has_run and request_class.effect is not Effect.SAFE):
                    self.answer(job, api.Fail(job.id))
                else:
                    self.refuse(job, invite_retry=False)

    def handle_duplicate(self, job: Job, event: Arrival) -> None:
        """Run keyed requests once per key: a duplicate takes a run's result or replaces a queued request.
        With result sharing, a duplicate without a key takes the result of a run in progress."""
        settings, request_class, first_id = self.settings, job.request_class, event.duplicate_of
        # Duplicates that are read together all name the same try, which one of them has already replaced.
        while first_id in self.successors:
            first_id = self.successors[first_id]
        earlier = self.in_flight.get(first_id) if first_id else None
        if job.keyed:
            if first_id in self.ran_keys:
                job.has_run = True
                self.in_flight.move(job, "replaying")
                return self.actions.append(api.Replay(job.id))
            if earlier is not None and earlier is not job and earlier.state == "queued":
                self.successors[earlier.id] = job.id
                self.refuse(earlier, invite_retry=False)
            # The entry outlives the window by a tick.
            ttl_ms = job.arrived_at_ms + request_class.idempotency_window_ms + settings.tick_ms - self.now_ms
            if not self.fits_memory(settings.kb_per_key):
                self.refuse(job)
            elif ttl_ms > 0:
                self.actions.append(api.Retain(job.id, ttl_ms))
                self.idempotency_entries.put(job.id, self.now_ms + ttl_ms)
        elif settings.result_sharing_ms > 0 and earlier is not None and earlier.state == "running":
            self.in_flight.move(job, "replaying")
            self.actions.append(api.Replay(job.id))

    def on_call_needed(self, event: api.CallNeeded) -> None:
        if job := self.in_flight.get(event.id):
            job.run_ms, job.call_requested_at_ms = self.elapsed_run_ms(job), self.now_ms
            self.in_flight.move(job, "stalled")

    def on_call_ended(self, event: api.CallEnded) -> None:
        if not (job := self.in_flight.get(event.id)):
            return
        job.resumed_at_ms = self.now_ms
        self.in_flight.move(job, "running" if event.outcome is Outcome.OK else "stalled")
        if event.outcome is Outcome.OK:
            job.call_count += 1
            self.call_time_ms += LEARNING_WEIGHT * (self.now_ms - job.call_requested_at_ms - self.call_time_ms)
            self.longest_call_ms = max(event.duration_ms, (1.0 - MIX_LEARNING_WEIGHT) * self.longest_call_ms)
        job.timed_out_call_ms = event.duration_ms if event.outcome is Outcome.TIMED_OUT else 0.0
        if event.outcome is Outcome.TIMED_OUT:
            self.lingering_calls_until_ms.append(self.now_ms + self.settings.call_linger_ms)
        # Exponential backoff, so that a backend that refuses is not called as fast as it can answer: the
        # first repeated call is immediate, later ones wait one tick, two, four, up to a sweep interval.
        # The drawback is a late call where the backend has recovered.
        job.next_call_at_ms, job.call_backoff_ms = (
            self.now_ms + job.call_backoff_ms,
            min(SWEEP_INTERVAL_MS, max(self.settings.tick_ms, 2.0 * job.call_backoff_ms)),
        )
        effect_known = event.outcome in (Outcome.OK, Outcome.TURNED_AWAY, Outcome.UNREACHABLE, Outcome.MOOT)
        if event.outcome is not Outcome.OK and job.request_class.skipped_call_value > 0:
            self.skip_call(job)
        elif not effect_known and job.request_class.effect is not Effect.SAFE:
            self.answer(job, api.Fail(job.id))

    def skip_call(self, job: Job) -> None:
        self.actions.append(api.SkipCall(job.id))
        job.resumed_at_ms = self.now_ms
        self.in_flight.move(job, "running")

    def start_calls(self) -> None:
        """Start calls while the open ones and their mean over ``call_window_ms`` are below this server's share;
        others wait."""
        stalled = sorted(self.in_flight.stalled.values(), key=lambda job: (job.deadline_at_ms, job.id))
        while self.lingering_calls_until_ms and self.lingering_calls_until_ms[0] <= self.now_ms:
            self.lingering_calls_until_ms.popleft()
        open_calls = len(self.in_flight.calling) + len(self.lingering_calls_until_ms)
        weight = (
            min(1.0, (self.now_ms - self.mean_calls_at_ms) / self.settings.call_window_ms)
            if self.settings.call_window_ms > 0
            else 1.0
        )
        self.mean_calls += weight * (open_calls - self.mean_calls)
        self.mean_calls_at_ms = self.now_ms
        call_limit = (
            self.settings.max_mean_calls
            if self.settings.max_mean_calls > 0
            else self.settings.cores * self.settings.max_concurrency_per_core
        )
        for job in stalled:
            if job.answered or self.now_ms < job.next_call_at_ms:
                continue
            if open_calls < max(1.0, call_limit) and self.mean_calls < call_limit:
                timeout_ms = min(self.call_timeout_ms(job), job.deadline_at_ms - self.now_ms - SWEEP_INTERVAL_MS)
                self.actions.append(api.Call(job.id, max(self.settings.tick_ms, timeout_ms)))
                self.in_flight.move(job, "calling")
                open_calls += 1
            elif (
                job.request_class.skipped_call_value > 0
                and self.now_ms + job.expected_work_ms * self.slowdown > job.target_at_ms
            ):
                self.skip_call(job)

    def call_timeout_ms(self, job: Job) -> float:
        """Timeout of a call. Calls may be lost in transit, so a safe call that takes far longer than recent
        ones is repeated with twice the timeout. The drawback is that a rare long call is started again."""
        if job.request_class.effect is not Effect.SAFE or not self.longest_call_ms:
            return job.deadline_at_ms - self.now_ms
        return max(2.0 * job.timed_out_call_ms, LOST_CALL_FACTOR * self.longest_call_ms, 2.0 * SWEEP_INTERVAL_MS)

    def on_drain(self, event: api.Drain) -> None:
        self.drain_grace_end_ms, self.kill_at_ms = (
            self.now_ms + self.settings.drain_grace_ms,
            self.now_ms + event.remaining_ms,
        )
        self.actions.append(api.SetHealth(False, True))

    def advertise_capacity(self) -> None:
        """Advertise capacity in the feedback mode: tokens (outstanding requests per caller), a selection bias
        or a minimum rank."""
        if self.settings.feedback_mode is api.FeedbackMode.OFF:
            return
        full = self.is_full()
        value = 0.1 if full else 0.0  # minimum rank
        if self.settings.feedback_mode is api.FeedbackMode.TOKENS:
            run_time_ms = self.current_slowdown() * sum(self.mean_work_ms) / len(self.mean_work_ms)
            value = (
                self.concurrency_cap
                * (1 + FULL_WAIT_TARGET_SHARE * self.shortest_target_ms / max(run_time_ms, 1.0))
                / max(1, self.settings.caller_count)
            )
            value = value if full else max(1.0, value)  # below 1, callers would skip a free server
        elif self.settings.feedback_mode is api.FeedbackMode.BIAS:
            core_share = self.settings.cores / max(1, len(self.in_flight)) if full else 1.0
            # A slow server asks for less, judged by its last runs and by overdue runs that have not ended.
            value = min(1.0, self.recent_work_ms / self.recent_run_ms, 1.0 / self.current_slowdown(), core_share)
        if abs(value - self.advertised_value) > 0.1 * max(self.advertised_value, 0.1):
            self.advertised_value = value
            self.actions.append(api.Advertise(value))

    def schedule_wake(self) -> None:
        """Schedule the next sweep while requests are in flight or a drain runs; one wake-up at most is pending."""
        if self.wake_at_ms < 0 and (self.in_flight or self.kill_at_ms < float("inf")):
            self.wake_at_ms = self.now_ms + SWEEP_INTERVAL_MS
            self.actions.append(api.Wake(self.wake_at_ms, 1))
