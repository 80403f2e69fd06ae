"""Draws the traffic of a day in advance: when each request is sent, by which tenant, its class and its cost.

The load is open-loop: no request waits for the answer to another. Of the fleet, only the cores' capacity is used."""

from __future__ import annotations

from dataclasses import dataclass
from hashlib import blake2b
from typing import Any

import numpy as np
from numpy.typing import NDArray

from .recovery.faults import PlannedFault
from .requests import Request
from .scenario import Draw, Scenario
from .virtual import START_US, Streams

RATE_STEP_US = 10_000  # step in which the arrival rate changes
DEFAULT_LOAD = 0.6  # where a scenario gives neither load nor rate; share of the capacity
QUEUED_KB = (15.0, 60.0)  # range of the memory of a queued request (BRIEF)


@dataclass(frozen=True)
class Mix:
    """Parameters of the request classes, drawn for the day."""

    mean_work_ms: tuple[float, ...]  # by class, on a standard core
    cv: tuple[float, ...]
    share: tuple[float, ...]

    @property
    def overall_mean_work_ms(self) -> float:
        """The mean work of a request over all classes, milliseconds on a standard core."""
        return sum(share * work for share, work in zip(self.share, self.mean_work_ms, strict=True))


def draw_mix(scenario: Scenario, draw: Draw) -> Mix:
    total = sum(request_class.share for request_class in scenario.classes)
    return Mix(
        tuple(
            draw(f"classes.{request_class.name}.work_ms", request_class.work_ms) for request_class in scenario.classes
        ),
        tuple(draw(f"classes.{request_class.name}.cv", request_class.cv) for request_class in scenario.classes),
        tuple(request_class.share / total for request_class in scenario.classes),
    )


def rank_bands(scenario: Scenario) -> list[tuple[float, float]]:
    """The low end and width of each class's band of ranks: equal bands in ascending order of value (WIRE, ``rank``)."""
    order = sorted(range(len(scenario.classes)), key=lambda n: (scenario.classes[n].worth, n))
    width = 1.0 / len(order)
    bands = [(0.0, 0.0)] * len(order)
    for position, n in enumerate(order):
        bands[n] = (position * width, width)
    return bands


def _arrivals(seconds: float, rate: NDArray[np.float64], draw: np.random.Generator) -> NDArray[Any]:
    """Arrival times, in microseconds, of a Poisson process with the given rate (per second) in each step."""
    expected = np.concatenate(([0.0], np.cumsum(rate * (RATE_STEP_US / 1e6))))
    count = int(draw.poisson(expected[-1]))
    at = np.sort(draw.random(count)) * expected[-1]
    edges = np.arange(len(expected)) * RATE_STEP_US
    times: NDArray[np.int64] = np.interp(at, expected, edges).astype(np.int64)
    return np.minimum(times, int(seconds * 1e6) - 1)


def lognormal(mean: float, cv: float, count: int, draw: np.random.Generator) -> NDArray[Any]:
    """Draw ``count`` values with this mean and coefficient of variation."""
    if cv <= 0 or mean <= 0:
        return np.full(count, mean)
    variance = np.log(1.0 + cv * cv)
    drawn: NDArray[np.float64] = draw.lognormal(np.log(mean) - variance / 2, np.sqrt(variance), count)
    return drawn


def zipf(keys: int, exponent: float, count: int, draw: np.random.Generator) -> NDArray[Any]:
    """Draw item numbers from 0 with a Zipf distribution."""
    weights = np.cumsum(np.arange(1, keys + 1, dtype=np.float64) ** -exponent)
    found: NDArray[np.int64] = np.searchsorted(weights, draw.random(count) * weights[-1])
    return found


class TenantQuota:
    """Decides which requests are within their tenant's quota: a token bucket per tenant, with one second's burst."""

    def __init__(self, rates: list[float]) -> None:
        self.rates = rates
        self.tokens = list(rates)
        self._refilled_at_us = [0] * len(rates)

    def take_token(self, tenant: int, at_us: int) -> bool:
        rate = self.rates[tenant]
        if rate <= 0:
            return True
        self.tokens[tenant] = min(
            max(rate, 1.0), self.tokens[tenant] + rate * (at_us - self._refilled_at_us[tenant]) / 1e6
        )
        self._refilled_at_us[tenant] = at_us
        if self.tokens[tenant] < 1.0:
            return False
        self.tokens[tenant] -= 1.0
        return True


def tenant_quotas(scenario: Scenario, capacity: float, draw: Draw) -> list[float]:
    """The quota of each tenant over the whole fleet, requests per second."""
    total = sum(tenant.share for tenant in scenario.tenants)
    total_quota = draw("traffic.quota", scenario.traffic.quota)
    return [total_quota * capacity * tenant.share / total for tenant in scenario.tenants]


def draw_requests(
    scenario: Scenario,
    streams: Streams,
    draw: Draw,
    mix: Mix,
    capacity: float,
    bursts: list[tuple[PlannedFault, list[int], int]],
    call_work: float,
) -> list[Request]:
    """Draw all requests of the day, in the order in which they are sent.

    ``capacity``: requests per second that the cores can serve; ``bursts``: each burst with the classes (none: all) and
    the tenant (-1: all) concerned; ``call_work``: work of a backend call as a share of the mean work of its class."""
    traffic, seconds = scenario.traffic, scenario.seconds
    steps = int(np.ceil(seconds * 1e6 / RATE_STEP_US))
    step_s = (np.arange(steps) + 0.5) * RATE_STEP_US / 1e6
    base_rate = (
        draw("traffic.rate", traffic.rate)
        if traffic.rate is not None
        else capacity * draw("traffic.load", DEFAULT_LOAD if traffic.load is None else traffic.load)
    )
    swing = draw("traffic.swing", traffic.swing)
    phase = streams["traffic/phase"].random()
    rate = np.maximum(0.0, base_rate * (1.0 + swing * np.sin(2 * np.pi * (step_s / traffic.wave_s + phase))))
    tenants = max(1, len(scenario.tenants))
    tenant_shares = np.array([tenant.asks or tenant.share for tenant in scenario.tenants] or [1.0])
    tenant_shares = tenant_shares / tenant_shares.sum()
    item_count = max(1, int(draw("traffic.keys", traffic.keys)))
    exponent = draw("traffic.zipf", traffic.zipf)
    bands, groups = rank_bands(scenario), []
    for tenant in range(tenants):
        for class_index, request_class in enumerate(scenario.classes):
            class_rate = rate * (tenant_shares[tenant] * mix.share[class_index])
            for plan, classes, burst_tenant in bursts:
                if (not classes or class_index in classes) and burst_tenant in (-1, tenant):
                    begin_s = (plan.at_us - START_US) / 1e6
                    class_rate = np.where(
                        (step_s >= begin_s) & (step_s < begin_s + plan.length_us / 1e6),
                        class_rate * plan.size,
                        class_rate,
                    )
            name = scenario.tenants[tenant].name if scenario.tenants else "-"
            generator = streams[f"traffic/{name}/{request_class.name}"]
            at = _arrivals(seconds, class_rate, generator)
            count = len(at)
            work = lognormal(mix.mean_work_ms[class_index], mix.cv[class_index], count, generator)
            hint = work * lognormal(1.0, traffic.hints, count, generator)
            wait = generator.uniform(*request_class.wait_ms, count) * 1000
            calls = generator.integers(request_class.calls[0], request_class.calls[1] + 1, count)
            call_work_ms = lognormal(
                call_work * mix.mean_work_ms[class_index],
                mix.cv[class_index],
                count * max(1, request_class.calls[1]),
                generator,
            )
            low, width = bands[class_index]
            rank = low + width * generator.random(count)
            ram = generator.uniform(*QUEUED_KB, count)
            item = zipf(item_count, exponent, count, generator)
            again = generator.random(count) < scenario.clients.retry
            pause = generator.uniform(*scenario.clients.pause_ms, count) * 1000
            router = generator.random(count)
            double = generator.uniform(0.0, scenario.rules.window_ms * 1000, count)
            double *= (generator.random(count) < scenario.clients.doubles) & (request_class.effect == "keyed")
            groups.append(
                (
                    tenant,
                    class_index,
                    at,
                    work,
                    hint,
                    wait,
                    calls,
                    call_work_ms,
                    rank,
                    ram,
                    item,
                    again,
                    pause,
                    router,
                    double,
                )
            )
    order = sorted(
        (int(arrival), n, m) for n, group in enumerate(groups) for m, arrival in enumerate(group[2].tolist())
    )
    columns = [[group[0], group[1], *(column.tolist() for column in group[2:])] for group in groups]
    quota = TenantQuota(tenant_quotas(scenario, capacity, draw)) if scenario.tenants else None
    requests = []
    for number, (sent_after_us, n, m) in enumerate(order, 1):
        tenant, class_index, _, work, hint, wait, calls, call_work_ms, rank, ram, item, again, pause, router, double = (
            columns[n]
        )
        request_class = scenario.classes[class_index]
        keyed, max_calls = request_class.effect == "keyed", max(1, request_class.calls[1])
        sent_at_us = START_US + sent_after_us
        item_id = int.from_bytes(blake2b(b"%d" % item[m], digest_size=8).digest(), "big")
        requests.append(
            Request(
                number,
                class_index,
                tenant,
                sent_at_us,
                sent_at_us + int(request_class.deadline_ms * 1000),
                work[m],
                int(wait[m]),
                calls[m] if call_work > 0 else 0,
                ram[m],
                rank[m],
                0 if keyed else item_id,
                blake2b(b"%d/%d" % (streams.seed, number), digest_size=16).hexdigest() if keyed else "",
                b"request %d" % number,
                keyed,
                hint[m] if traffic.hints > 0 else None,
                tuple(call_work_ms[m * max_calls : (m + 1) * max_calls]),
                quota.take_token(tenant, sent_after_us) if quota else True,
                int(router[m] * scenario.routers.count),
                again[m],
                int(pause[m]),
                int(double[m]),
            )
        )
    return requests
