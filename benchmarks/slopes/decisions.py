"""The decision module and the counters by number of tenants met: a step, its memory, its making and a change of it."""

from __future__ import annotations

from collections import deque

from lemonway import Policy
from lemonway import interface as api
from lemonway.kit.stage import site_settings
from lemonway.settings import flatten, read_settings

from .meters import processor_us, retained_bytes
from .model import CONTROL_MEMORY_MB, TENANTS, Budget, Probe, Series, series

SIZES, QUICK_SIZES = (1_000, 10_000, 100_000, 630_000), (50, 100, 200, 400)
WORK, GAP = 4.0, 1.4  # ms of a request and between two: 700 a second
STEPS = 500
RUNNING = 4


class Server:
    """A module under a calm load in which each request is of the next tenant."""

    def __init__(self, tenants: int) -> None:
        settings = read_settings(flatten(site_settings()))
        settings.tenants = [api.Tenant(f"museum-{number:06d}") for number in range(tenants)]
        self.policy, self.now, self.last, self.tenants = Policy(settings, 1), 1_000.0, 0, tenants
        self.going: deque[int] = deque()
        self.policy.step(self.now, [])

    def request(self) -> None:
        """One arrival, and the end of the oldest run."""
        self.last += 1
        self.now += GAP
        events: list[api.Event] = [api.Arrival(self.last, 0, self.last % self.tenants, work_ms=WORK, size_kb=1.0)]
        if len(self.going) >= RUNNING:
            events.append(api.Finished(self.going.popleft(), WORK, api.Outcome.OK))
        self.going.extend(action.id for action in self.policy.step(self.now, events) if isinstance(action, api.Admit))

    def meet_all(self) -> None:
        """A request of every tenant has been here: what the module keeps of each is there."""
        policy = self.policy
        policy.tenant_rates = [0.001 + number for number in range(self.tenants)]
        policy.tenant_rates_at_ms = [0.5 + number for number in range(self.tenants)]


def table_bytes(tenants: int) -> int:
    """What the module keeps of the tenants once it has met each."""
    server = Server(tenants)
    before = [server.policy.tenant_rates, server.policy.tenant_rates_at_ms]
    _, taken = retained_bytes(server.meet_all)
    del before
    return taken


def state_of(policy: Policy) -> dict[str, int]:
    """How many entries the module's tables have, by name."""
    return {name: len(value) for name, value in vars(policy).items() if isinstance(value, list | dict | deque)}


def run(quick: bool) -> list[Series]:
    """All series of this subject."""
    step: dict[int, float] = {}
    memory: dict[int, float] = {}
    making: dict[int, float] = {}
    adopting: dict[int, float] = {}
    for size in QUICK_SIZES if quick else SIZES:
        server = Server(size)
        step[size] = processor_us(server.request, times=STEPS)
        memory[size] = table_bytes(size) / 1e6
        settings, live = server.policy.settings, server.policy.active_classes
        making[size] = processor_us(lambda s=settings: Policy(s, 1), rounds=3)  # type: ignore[misc]
        adopting[size] = processor_us(lambda p=server.policy, s=settings, n=live: p.update_settings(s, n), rounds=3)  # type: ignore[misc]
    unit = "tenants met"
    return [
        series("a step of the decision module", "us", unit, step, TENANTS),
        series(
            "the module's tables of tenants",
            "MB",
            unit,
            memory,
            TENANTS,
            Budget(CONTROL_MEMORY_MB, "control of a node"),
        ),
        series("making a module", "us", unit, making, TENANTS, Budget(1_000, "no stop of the loop over a millisecond")),
        series(
            "taking changed settings (Policy.update_settings)",
            "us",
            unit,
            adopting,
            TENANTS,
            Budget(1_000, "no stop of the loop over a millisecond"),
        ),
    ]


PROBE = Probe("decisions", "decision module and counters by tenants met", run)
