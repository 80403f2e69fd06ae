"""Data types between the admission policy and its host: settings, events and actions. No decision is made here.

Times are in milliseconds, memory is in kilobytes. ``None`` means that a value is not known.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Outcome(Enum):
    """How a run or a call ended."""

    OK = "ok"
    ERROR = "error"  # failed; a call may still have taken effect
    TURNED_AWAY = "turned away"  # a call that the backend refused without running it
    TIMED_OUT = "timed out"  # a call abandoned at its timeout; it may have taken effect
    UNREACHABLE = "unreachable"  # a call that never reached the backend
    CUT_OFF = "cut off"  # a call whose connection was lost before its reply
    CANCELLED = "cancelled"  # stopped, or ended after its caller had disconnected
    MOOT = "moot"  # nothing was started, because the request had ended already


class Effect(Enum):
    """Whether a request may run more than once."""

    SAFE = "safe"  # may run more than once
    KEYED = "keyed"  # runs once per idempotency key; duplicates get the result of that run
    UNSAFE = "unsafe"  # must not run again once it has started


class SuspensionMode(Enum):
    """Whether a run may be suspended (``OFF``: no), and whether its work is then lost or kept."""

    OFF = "off"
    DROP = "drop"
    PAUSE = "pause"


class FeedbackMode(Enum):
    """How callers interpret the advertised value."""

    OFF = "off"
    MIN_RANK = "min_rank"  # the lowest priority rank that is accepted
    TOKENS = "tokens"  # how many outstanding requests each caller may have
    BIAS = "bias"  # a weight from 0 to 1 for selecting this server


@dataclass(slots=True)
class RequestClass:
    """The objectives and rules that a class of requests shares."""

    name: str = ""
    target_latency_ms: float = 1000.0
    target_work_factor: float = 0.0  # added to the target latency, as a multiple of the request's work
    deadline_ms: float = 4000.0
    effect: Effect = Effect.SAFE
    value: float = 1.0
    late_value: float = 0.0  # share of the value of an answer after the target latency
    idempotency_window_ms: float = 0.0  # how long a request may be repeated with the same idempotency key
    makes_calls: bool = False
    skipped_call_value: float = 0.0  # share of the value that remains when a call is skipped


@dataclass(slots=True)
class Tenant:
    name: str = ""
    quota_rps: float = 0.0  # requests per second over the whole fleet; 0 = no quota
    share: float = 0.0


@dataclass(slots=True)
class Settings:
    """The configuration of one server. The defaults turn optional features off and set no limit."""

    request_classes: list[RequestClass] = field(default_factory=lambda: [RequestClass()])
    tenants: list[Tenant] = field(default_factory=list)
    cores: int = 1
    memory_kb: float = 0.0  # 0 = not known, no limit
    run_memory_factor: float = 1.0  # memory of a request that has started, as a multiple of its size
    kb_per_key: float = 0.0  # memory of one idempotency entry
    fresh_start: bool = False  # the process has just started and still warms up
    suspension_mode: SuspensionMode = SuspensionMode.OFF
    feedback_mode: FeedbackMode = FeedbackMode.OFF
    feedback_ttl_ms: float = 1000.0
    retry_after: bool = True  # whether a refusal may name a retry time
    max_retry_after_ms: float = 1000.0  # the longest such time; 0 = no limit
    marks_retries: bool = False  # whether callers mark retries, so that ``Arrival.retry`` is reliable
    reports_abandoned: bool = False
    result_sharing_ms: float = 0.0  # above 0: a request may get the result of an equal one that is running
    deep_checks: bool = False
    caller_idle_ms: float = 0.0  # time after which callers close idle connections; 0 = not known
    caller_count: int = 1
    tier: int = 0  # position among the tiers, from 0; each later tier serves the calls of the tier before it
    fleet_size: int = 1
    gauge_names: tuple[str, ...] = ()  # the gauges in each ``Woken`` event, in this order
    backend_mode: str = "off"
    max_mean_calls: float = 0.0  # this server's share of the calls in flight, as a mean; 0 = no limit
    call_window_ms: float = 5000.0  # time over which the mean of ``max_mean_calls`` is taken
    call_linger_ms: float = 0.0  # how long a call that timed out still counts as in flight
    warmup_ms: float = 0.0  # time from the start of a cold process to its full capacity
    cold_capacity_share: float = 1.0  # share of the capacity at the start of a cold process
    max_concurrency_per_core: float = 2.0  # running requests per core that a warm server survives
    overload_window_ms: float = 2000.0
    answer_grace_ms: float = 0.0
    drain_grace_ms: float = 0.0  # a request that arrives later than this after the start of a drain is refused
    value_by_work: bool = False  # a request's value is also proportional to its expected work
    over_quota_value_factor: float = 1.0  # on the value of the part of a tenant's requests over its quota
    weight_whole: float = 1.0  # weight of the served value of all requests in the objective
    weight_window: float = 0.0  # the same of the worst time window
    weight_class: float = 0.0  # the same of the worst request class
    weight_tenant: float = 0.0  # the same of the worst tenant
    tick_ms: float = 1.0

    def __post_init__(self) -> None:
        """Raises ``ValueError`` that names the first invalid value."""
        if not self.request_classes:
            raise ValueError("settings: lanes: at least one request class is required")
        if self.cores < 1:
            raise ValueError(f"settings: cores is {self.cores}, must be at least 1")
        for name in (
            "memory_kb",
            "kb_per_key",
            "max_retry_after_ms",
            "result_sharing_ms",
            "caller_idle_ms",
            "max_mean_calls",
            "call_window_ms",
            "call_linger_ms",
            "warmup_ms",
            "overload_window_ms",
            "answer_grace_ms",
            "drain_grace_ms",
            "tick_ms",
            "over_quota_value_factor",
            "feedback_ttl_ms",
        ):
            number = getattr(self, name)
            if not 0 <= number < float("inf"):
                raise ValueError(f"settings: {name} is {number}, must be 0 or more")
        for name in ("run_memory_factor", "max_concurrency_per_core"):
            number = getattr(self, name)
            if not 1 <= number < float("inf"):
                raise ValueError(f"settings: {name} is {number}, must be 1 or more")
        if not 0 < self.cold_capacity_share <= 1:
            raise ValueError(
                f"settings: cold_capacity_share is {self.cold_capacity_share}, must be above 0 and at most 1"
            )
        for each in self.request_classes:
            if not 0 < each.target_latency_ms < float("inf") or not 0 < each.deadline_ms < float("inf"):
                raise ValueError(f"settings: request class {each.name!r} must have a positive aim and deadline")
            if not 0 <= each.idempotency_window_ms < float("inf"):
                raise ValueError(
                    f"settings: request class {each.name!r}: idempotency_window_ms is {each.idempotency_window_ms}, "
                    "must be 0 or more"
                )


@dataclass(slots=True)
class Arrival:
    """A request was read. It is queued until an action admits or ends it."""

    id: int
    class_index: int = 0  # position in ``Settings.request_classes``
    tenant: int = 0  # position in ``Settings.tenants``
    key: int = 0  # id of the requested item
    remaining_ms: float | None = None  # time until the caller stops waiting
    work_ms: float | None = None  # expected work on a standard core
    size_kb: float = 0.0
    rank: float = 0.0  # priority rank
    retry: bool = False  # marked as a retry by the caller
    write: bool = False  # the effect of its request class is not ``SAFE``
    caller: int = 0
    age_ms: float = 0.0  # time since the request reached the machine
    duplicate_of: int = 0  # id of the retained request that this one duplicates; 0 = none
    # Its class, where new settings have changed the one at ``class_index`` for others but not for it; None: that one.
    request_class: RequestClass | None = None


@dataclass(slots=True)
class Finished:
    """The run of a request ended."""

    id: int
    duration_ms: float
    outcome: Outcome


@dataclass(slots=True)
class CallNeeded:
    """A run waits for a call to the backend."""

    id: int


@dataclass(slots=True)
class CallEnded:
    """A call to the backend ended."""

    id: int
    outcome: Outcome
    duration_ms: float


@dataclass(slots=True)
class Drain:
    """The server is to drain; its process is stopped after ``remaining_ms``."""

    remaining_ms: float


@dataclass(slots=True)
class Abandoned:
    """The caller disconnected or withdrew the request: no answer to it is due any more."""

    id: int


@dataclass(slots=True)
class Woken:
    """The timer of a ``Wake`` fired. ``gauges`` are in the order of ``Settings.gauge_names``."""

    token: int
    gauges: tuple[float, ...] = ()


Event = Arrival | Finished | CallNeeded | CallEnded | Drain | Abandoned | Woken


@dataclass(slots=True)
class Admit:
    """Starts or resumes the run of a request."""

    id: int


@dataclass(slots=True)
class Refuse:
    """Refuses a request that has not run."""

    id: int
    retry_after_ms: float = 0.0  # 0 = without a retry time
    final: bool = False  # asks the caller not to retry on another server


@dataclass(slots=True)
class Fail:
    """Answers that the request failed."""

    id: int


@dataclass(slots=True)
class Suspend:
    """Takes the core from a run, as ``Settings.suspension_mode`` allows."""

    id: int


@dataclass(slots=True)
class Call:
    """Makes the call that a run waits for."""

    id: int
    timeout_ms: float


@dataclass(slots=True)
class SkipCall:
    """Lets a run go on without the call that it waits for."""

    id: int


@dataclass(slots=True)
class Retain:
    """Keeps the result of a keyed request for its duplicates, for ``ttl_ms`` from now."""

    id: int
    ttl_ms: float


@dataclass(slots=True)
class Forget:
    """Drops the kept result of a keyed request."""

    id: int


@dataclass(slots=True)
class Replay:
    """Answers a request with the result of the one that it duplicates."""

    id: int


@dataclass(slots=True)
class SetHealth:
    """Sets the answer to health checks. ``stored``: they are answered without work."""

    healthy: bool
    stored: bool


@dataclass(slots=True)
class Advertise:
    """Sets the load feedback that callers receive; its meaning is given by ``Settings.feedback_mode``."""

    value: float


@dataclass(slots=True)
class KeepAlive:
    """Sets how long idle connections of callers are kept."""

    ttl_ms: float


@dataclass(slots=True)
class Wake:
    """Asks for a ``Woken`` event at ``at_ms``."""

    at_ms: float
    token: int


@dataclass(slots=True)
class Log:
    """Writes a line to the log."""

    text: str


Action = (
    Admit
    | Refuse
    | Fail
    | Suspend
    | Call
    | SkipCall
    | Retain
    | Forget
    | Replay
    | SetHealth
    | Advertise
    | KeepAlive
    | Wake
    | Log
)
