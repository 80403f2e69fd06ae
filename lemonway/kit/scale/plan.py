"""Plan of a scale run: sizes, phases, and a seeded schedule of changes and faults. Sans-I/O."""

from __future__ import annotations

import random
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum

DAY_SECONDS = 86_400.0
CHANGES_PER_DAY = 36_000
RESTARTS_PER_DAY = 16_000  # of all ``FULL_SIZE`` nodes
FULL_SIZE = 5_000
BURST_CHANGES_PER_SECOND = 10.0
BURST_SECONDS = 60.0
ZONE_COUNT = 20
VOTER_COUNT = 3
RESTART_FACTOR = 20  # ratio of the restart rate to that of an ordinary day
NODES_PER_INJECTION = 4  # nodes that get each kind of fault
CHANGE_DELAYS_AFTER_INJECTION = (
    0.2,
    0.5,
)  # seconds; the first change gets the fault, the second one exposes a gap
# From an injection to the end of its phase, when control goes down: its two changes have to be decided and delivered
# before, also while a voter is down; a node that loses a version and gets the next one after a reconnect sees no gap.
INJECTION_MARGIN_SECONDS = 2.5
PAUSE_SECONDS = 4.0  # duration of a SIGSTOP, longer than the timeout of its subscribers


class Phase(Enum):
    """The phases of a run, in order."""

    QUIET = "quiet"  # no changes
    MEAN = "mean"  # changes at the mean rate
    BURST = "burst"  # ten changes per second; a voter and a relay are killed
    FAULTS = "faults"  # changes at the mean rate, with all other faults
    CONTROL_DOWN = "gone"  # all control processes are down
    RECOVERY = "heal"  # control is back; changes at the mean rate, none at the end


# Share of the run that each phase takes; a burst lasts at most a minute, the rest of its share goes to the mean phase.
PHASE_SHARES = {
    Phase.QUIET: 0.10,
    Phase.MEAN: 0.20,
    Phase.BURST: 0.30,
    Phase.FAULTS: 0.25,
    Phase.CONTROL_DOWN: 0.05,
    Phase.RECOVERY: 0.10,
}


class Role(Enum):
    """Role of a control process."""

    VOTER = "voter"
    RELAY = "relay"


class Injection(Enum):
    """Fault in a version sent to a node."""

    BAD = "bad"  # wrong digest
    DOUBLED = "doubled"  # sent twice
    OUT_OF_ORDER = "out of order"  # the previous version is dropped
    FAR_BEHIND = "far behind"  # the node restarts from a version older than the log


@dataclass(frozen=True)
class Sizes:
    """Sizes of a run."""

    hollow: int = FULL_SIZE
    real: int = 10
    control: int = 15
    seconds: float = 200.0
    seed: int = 1
    tenants: int = 1_000
    routes: int = 200
    nodes_per_process: int = 1_250
    requests_per_second: float = 20.0  # to each real node

    @property
    def relays(self) -> int:
        return self.control - VOTER_COUNT

    @property
    def hollow_processes(self) -> int:
        return max(1, -(-self.hollow // self.nodes_per_process))


@dataclass(frozen=True)
class Step:
    """An event of the schedule, ``at`` seconds after the start."""

    at: float


@dataclass(frozen=True)
class PhaseBegins(Step):
    phase: Phase


@dataclass(frozen=True)
class Propose(Step):
    """Propose the change with this number."""

    change: int


@dataclass(frozen=True)
class KillControl(Step):
    """Kill a control process with SIGKILL and restart it ``seconds`` later."""

    role: Role
    index: int
    seconds: float


@dataclass(frozen=True)
class StopControl(Step):
    """Stop a control process with SIGSTOP and resume it with SIGCONT ``seconds`` later."""

    role: Role
    index: int
    seconds: float


@dataclass(frozen=True)
class KillAllControl(Step):
    """Kill every control process and restart them ``seconds`` later."""

    seconds: float


@dataclass(frozen=True)
class KillZone(Step):
    """Kill the nodes of a zone and restart them immediately."""

    zone: int


@dataclass(frozen=True)
class RestartNode(Step):
    """Kill a hollow node and restart it immediately."""

    node: int


@dataclass(frozen=True)
class Inject(Step):
    """Inject a faulty version at a hollow node."""

    node: int
    injection: Injection


def phase_spans(sizes: Sizes) -> dict[Phase, tuple[float, float]]:
    """Return the start and end of each phase in seconds from the start of the run."""
    length = {phase: share * sizes.seconds for phase, share in PHASE_SHARES.items()}
    spare = max(0.0, length[Phase.BURST] - BURST_SECONDS)
    length[Phase.BURST] -= spare
    length[Phase.MEAN] += spare
    found: dict[Phase, tuple[float, float]] = {}
    at = 0.0
    for phase in Phase:
        found[phase] = (at, at + length[phase])
        at += length[phase]
    return found


def zone_of(node: int) -> int:
    """Return the zone of a hollow or real node with this index."""
    return node % ZONE_COUNT


def schedule(sizes: Sizes) -> list[Step]:
    """Return all steps in order of time; the same sizes and seed give the same schedule."""
    rng = random.Random(sizes.seed)
    spans_by_phase = phase_spans(sizes)
    steps: list[Step] = [PhaseBegins(begin, phase) for phase, (begin, _) in spans_by_phase.items()]
    steps += _burst_faults(spans_by_phase[Phase.BURST], sizes, rng)
    steps += _faults(spans_by_phase[Phase.FAULTS], sizes, rng)
    injected_at = {step.at for step in steps if isinstance(step, Inject)}
    steps += _proposals(spans_by_phase, injected_at, rng)
    begin, end = spans_by_phase[Phase.CONTROL_DOWN]
    steps.append(KillAllControl(begin, end - begin))
    return sorted(steps, key=lambda step: step.at)  # stable: a phase begins before its other steps


def _proposals(
    spans_by_phase: dict[Phase, tuple[float, float]], injected_at: set[float], rng: random.Random
) -> list[Step]:
    mean = CHANGES_PER_DAY / DAY_SECONDS
    times: list[float] = []
    for phase, rate in (
        (Phase.MEAN, mean),
        (Phase.BURST, BURST_CHANGES_PER_SECOND),
        (Phase.FAULTS, mean),
        (Phase.RECOVERY, mean),
    ):
        begin, end = spans_by_phase[phase]
        if phase is Phase.RECOVERY:
            begin, end = begin + 0.2 * (end - begin), begin + 0.6 * (end - begin)
        times += _poisson(begin, end, rate, rng) or [begin + (end - begin) / 2]
    times += [at + after for at in injected_at for after in CHANGE_DELAYS_AFTER_INJECTION]
    return [Propose(at, number) for number, at in enumerate(sorted(times))]


def _poisson(begin: float, end: float, rate: float, rng: random.Random) -> list[float]:
    at, found = begin + rng.expovariate(rate), list[float]()
    while at < end:
        found.append(at)
        at += rng.expovariate(rate)
    return found


def _burst_faults(span: tuple[float, float], sizes: Sizes, rng: random.Random) -> Iterator[Step]:
    begin, end = span
    third = (end - begin) / 3
    yield KillControl(begin + third / 2, Role.VOTER, rng.randrange(VOTER_COUNT), third)
    if sizes.relays:
        yield KillControl(begin + third, Role.RELAY, rng.randrange(sizes.relays), third)


def _faults(span: tuple[float, float], sizes: Sizes, rng: random.Random) -> Iterator[Step]:
    begin, end = span
    part = (end - begin) / 8
    pause = min(PAUSE_SECONDS, part)
    yield KillZone(begin + part, rng.randrange(min(ZONE_COUNT, sizes.hollow)))
    yield StopControl(begin + 2 * part, Role.VOTER, rng.randrange(VOTER_COUNT), pause)
    yield KillControl(begin + 3.5 * part, Role.VOTER, rng.randrange(VOTER_COUNT), part)
    if sizes.relays:
        yield StopControl(begin + 3 * part, Role.RELAY, rng.randrange(sizes.relays), pause)
        yield KillControl(begin + 4 * part, Role.RELAY, rng.randrange(sizes.relays), part)
    yield KillZone(begin + 5 * part, rng.randrange(min(ZONE_COUNT, sizes.hollow)))
    rate = RESTARTS_PER_DAY / DAY_SECONDS * sizes.hollow / FULL_SIZE * RESTART_FACTOR
    for at in _poisson(begin, end, rate, rng):
        yield RestartNode(at, rng.randrange(sizes.hollow))
    last_injection = end - max(part, min(INJECTION_MARGIN_SECONDS, (end - begin) / 2))
    for what in Injection:
        at = rng.uniform(begin, last_injection)
        for _ in range(NODES_PER_INJECTION):
            yield Inject(at, rng.randrange(sizes.hollow), what)
