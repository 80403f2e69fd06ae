"""Computes the service score (BRIEF): the value answered within its target latency over the value requested, from the
first second, with retries credited to the first try. It depends only on when a request was served and at what cost, not
on how.

Value is proportional to work. Half of the score is the whole day, a fifth the worst 10 s, a fifth the worst-served
request class, a tenth the worst-served tenant within its quota. An answer after the target latency but before the
client gives up earns the late value of its class; requests above a tenant's quota count for 5%. Two penalties are
subtracted: 0.03 if as much work was wasted as was requested, and 0.03 if all failures become known only after the
target latency; each is proportionally smaller below that."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

SECOND = 1_000_000


@dataclass(frozen=True)
class Goal:
    """Targets and values by request class, and the weights of the score."""

    target_latencies_us: tuple[int, ...]  # microseconds, by class
    values: tuple[float, ...]
    late_value_shares: tuple[float, ...]  # share of the value that a late answer earns
    over_quota_factor: float = 0.05  # factor on the value of requests above a tenant's quota
    whole: float = 0.5
    window: float = 0.2
    lane: float = 0.2
    tenant: float = 0.1
    window_us: int = 10 * SECOND  # length of the worst window, microseconds
    waste: float = 0.03
    late_fail: float = 0.03


@dataclass(slots=True)
class ScoredRequest:
    """One request as it is scored. ``served`` and ``failed`` are microseconds after it was sent: until the answer, and
    until its client knew that it had failed; -1: not served in time, or not failed."""

    sent_at_us: int  # microseconds since the day began
    class_index: int
    tenant: int
    work: float
    within_quota: bool
    served_after_us: int = -1
    failed_after_us: int = -1


@dataclass
class ValueSum:
    """Value requested and earned by a group of requests, and how many there were."""

    requested: float = 0.0
    earned: float = 0.0
    count: int = 0
    in_time: int = 0

    @property
    def share(self) -> float:
        return self.earned / self.requested if self.requested > 0 else 1.0


@dataclass
class ServiceScore:
    """The score (``figure``) and its components, each a share from 0 to 1."""

    figure: float
    whole: float
    worst_window: float
    worst_window_at: float  # seconds
    worst_class: float
    worst_tenant: float
    waste: float  # work wasted over work requested
    late_fails: float  # share of the failures that became known after the target latency
    classes: list[ValueSum] = field(default_factory=list)
    tenants: list[ValueSum] = field(default_factory=list)
    seconds: list[ValueSum] = field(default_factory=list)


def requested_and_earned(request: ScoredRequest, goal: Goal) -> tuple[float, float]:
    """The value of a request, and the part of it that was earned."""
    value = goal.values[request.class_index] * request.work * (1.0 if request.within_quota else goal.over_quota_factor)
    if request.served_after_us < 0:
        return value, 0.0
    return value, value if request.served_after_us <= goal.target_latencies_us[
        request.class_index
    ] else value * goal.late_value_shares[request.class_index]


def score(asked: Sequence[ScoredRequest], goal: Goal, tenants: int, seconds: int, wasted: float) -> ServiceScore:
    """Compute the score and its components. ``tenants`` is their number and ``seconds`` the length of the day;
    ``wasted`` is work done for answers that no client received, in the unit of ``Asked.work``."""
    class_sums, tenant_sums = [ValueSum() for _ in goal.target_latencies_us], [ValueSum() for _ in range(tenants)]
    second_sums, whole = [ValueSum() for _ in range(max(1, seconds))], ValueSum()
    requested_work = 0.0
    failures = late_failures = 0
    for request in asked:
        value, earned = requested_and_earned(request, goal)
        requested_work += request.work
        sums = [
            whole,
            class_sums[request.class_index],
            second_sums[min(request.sent_at_us // SECOND, len(second_sums) - 1)],
        ]
        if request.within_quota and request.tenant < tenants:
            sums.append(tenant_sums[request.tenant])
        for total in sums:
            total.requested += value
            total.earned += earned
            total.count += 1
            total.in_time += 0 <= request.served_after_us <= goal.target_latencies_us[request.class_index]
        if request.served_after_us < 0:
            failures += 1
            late_failures += request.failed_after_us > goal.target_latencies_us[request.class_index]
    span = min(len(second_sums), max(1, goal.window_us // SECOND))
    worst_window, worst_window_at = 1.0, 0
    for n in range(len(second_sums) - span + 1):
        window = second_sums[n : n + span]
        requested = sum(second.requested for second in window)
        share = sum(second.earned for second in window) / requested if requested > 0 else 1.0
        if share < worst_window:
            worst_window, worst_window_at = share, n
    worst_class = min((total.share for total in class_sums if total.count), default=1.0)
    worst_tenant = min((total.share for total in tenant_sums if total.count), default=1.0)
    waste = wasted / requested_work if requested_work > 0 else 0.0
    late_share = late_failures / failures if failures else 0.0
    figure = (
        goal.whole * whole.share
        + goal.window * worst_window
        + goal.lane * worst_class
        + goal.tenant * worst_tenant
        - goal.waste * min(1.0, waste)
        - goal.late_fail * late_share
    )
    return ServiceScore(
        figure,
        whole.share,
        worst_window,
        float(worst_window_at),
        worst_class,
        worst_tenant,
        waste,
        late_share,
        class_sums,
        tenant_sums,
        second_sums,
    )
