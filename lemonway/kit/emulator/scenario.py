"""Scenario files: the TOML description of a fleet and a day, validated by typed models that also generate the published
JSON Schema. It must not depend on how a day is run. Every parameter defaults to the value of the operators' brief
(BRIEF), so that a file states only what is particular to its day.

A parameter given as ``[low, high]`` is drawn uniformly between the two before the day begins, from a random stream
named after its key. msgspec is smaller and faster than pydantic, but pydantic names the key in each message and
writes the schema with its bounds; a file is read once per day, so speed does not matter. The docstrings of the models
are the descriptions in the schema."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Sequence
from importlib import resources
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import BaseModel, ConfigDict, Field, ValidationError, model_validator

from .virtual import Streams

SCHEMA_VERSION = 1

NumberOrRange = Annotated[float, Field(ge=0)] | Annotated[tuple[float, float], Field(description="low, high")]
Share = Annotated[float, Field(ge=0, le=1)]
PickPolicy = Literal["round", "least", "two", "weighted", "key", "fastest", "told"]


class ScenarioError(Exception):
    """An invalid scenario file; the message is one line that names the file and the key."""


class Model(BaseModel):
    model_config = ConfigDict(extra="forbid", frozen=True)


def _check_ranges(*values: Any) -> None:
    for value in values:
        if isinstance(value, tuple) and not 0 <= value[0] <= value[1]:
            raise ValueError(f"{list(value)} is not a valid [low, high] range: 0 <= low <= high is required")


class Kind(Model):
    """A kind of machine. ``speed`` is that of one core against the standard one; ``speed_cv`` its spread among
    machines."""

    name: str = "entrega"
    share: float = Field(1.0, gt=0, description="of the tier's machines, against the other kinds' shares")
    cores: int = Field(6, ge=1, le=256)
    speed: NumberOrRange = 1.0
    speed_cv: NumberOrRange = 0.0
    thrash: NumberOrRange = Field(0.0, description="how fast the total falls past the crowd: 1 / (1 + thrash x excess)")
    thrash_at: NumberOrRange = Field(3.0, description="running requests a core past which it falls")
    cold_from: NumberOrRange = Field(1.0, description="share of full speed at a cold start")
    cold_s: NumberOrRange = Field(0.0, description="seconds until it is warm")
    warm_by: Literal["time", "requests"] = "time"

    @model_validator(mode="after")
    def _check(self) -> Kind:
        _check_ranges(self.speed, self.speed_cv, self.thrash, self.thrash_at, self.cold_from, self.cold_s)
        return self


SLOW_KIND = Kind(
    name="entrega-lenta",
    share=2,
    speed=(0.5, 0.7),
    speed_cv=(0.08, 0.23),
    thrash=(0.2, 0.49),
    thrash_at=(1.9, 4.2),
    cold_from=(0.28, 0.47),
    cold_s=(5.3, 16),
)
FAST_KIND = Kind(
    name="entrega-rapida",
    share=1,
    speed=(1.1, 1.5),
    speed_cv=(0.08, 0.23),
    thrash=(0.17, 0.49),
    thrash_at=(1.7, 4.8),
    cold_from=(0.23, 0.5),
    cold_s=(5, 14),
    warm_by="requests",
)
BACKEND_KIND = Kind(
    name="acervo-padrao",
    share=1,
    speed=(0.85, 1.15),
    speed_cv=(0.05, 0.25),
    thrash=(0.12, 0.41),
    thrash_at=(1.8, 4.1),
    cold_from=(0.3, 0.47),
    cold_s=(6.3, 14),
    warm_by="requests",
)


class Fleet(Model):
    nodes: int = Field(16, ge=1, le=2000)
    kinds: tuple[Kind, ...] = Field((SLOW_KIND, FAST_KIND), min_length=1)
    reading: NumberOrRange = Field((0.18, 0.22), description="work of reading a request, as a share of the mean work")
    memory_runs: NumberOrRange = Field((11, 20), description="running requests a core that fill the memory")
    key_room: NumberOrRange = Field(
        (0.13, 0.32), description="share of memory that all keys of a window at full load take"
    )
    run_factor: float = Field(16.0, ge=1)


class Acervo(Model):
    """The next tier."""

    nodes: int | None = Field(None, ge=0, le=2000, description="its nodes; absent: by ratio; 0: there is no such tier")
    ratio: NumberOrRange = (0.63, 1.1)
    work: NumberOrRange = Field((0.37, 0.58), description="work of a call, as a share of the mean work of its class")
    kinds: tuple[Kind, ...] = Field((BACKEND_KIND,), min_length=1)
    pick: PickPolicy = "two"


class HabitRow(Model):
    """How some routers behave. ``retry``: none, budget (a share of first tries) or unlimited (on through the list)."""

    share: float = Field(1.0, gt=0)
    pick: PickPolicy = "round"
    retry: Literal["none", "budget", "unlimited"] = "unlimited"
    retry_share: Share = 0.2
    patience: float = Field(1.0, gt=0, le=1, description="how long one try is waited for, of the class's deadline")
    heeds: Share = Field(0.9, description="share of these routers that heed what a node tells them")
    copies: bool = False
    checks: bool = False
    ejects: bool = False
    throttles: bool = False


class Routers(Model):
    count: int = Field(4, ge=1, le=500)
    delay_ms: NumberOrRange = (0.42, 0.78)
    list_lag_s: tuple[float, float] = (1.0, 2.0)
    habits: tuple[HabitRow, ...] = Field((HabitRow(pick="round"), HabitRow(pick="least")), min_length=1)

    @model_validator(mode="after")
    def _check(self) -> Routers:
        _check_ranges(self.delay_ms, self.list_lag_s)
        return self


class Clients(Model):
    retry: Share = Field(0.5, description="share of clients that ask a second time, once, unmarked")
    pause_ms: tuple[float, float] = (50, 400)
    doubles: Share = Field(0.03, description="share of served keyed requests that come once more within their window")


class Traffic(Model):
    load: NumberOrRange | None = Field(
        None, description="work asked for, as a share of what the first tier's cores can do; 0.6"
    )
    rate: NumberOrRange | None = Field(None, description="requests a second, in place of load")
    swing: NumberOrRange = Field(0.0, description="height of a slow wave, as a share of the rate")
    wave_s: float = Field(20.0, gt=0)
    keys: NumberOrRange = (3900, 28000)
    zipf: NumberOrRange = (0.81, 1.1)
    hints: float = Field(0.35, ge=0, description="spread of the cost hints, as a coefficient of variation")
    quota: NumberOrRange = Field((0.61, 0.97), description="all museums' shares together, of what the cores can do")

    @model_validator(mode="after")
    def _check(self) -> Traffic:
        _check_ranges(self.load, self.rate, self.swing, self.keys, self.zipf, self.quota)
        if self.load is not None and self.rate is not None:
            raise ValueError("wants one of load and rate, not both")
        return self


class Class(Model):
    name: str
    share: float = Field(gt=0)
    work_ms: NumberOrRange
    cv: NumberOrRange = (0.5, 1.0)
    wait_ms: tuple[float, float] = Field((0, 0), description="waits for others than acervo")
    calls: tuple[int, int] = (1, 1)
    aim_ms: float = Field(gt=0)
    deadline_ms: float = Field(gt=0)
    worth: float = Field(1.0, gt=0)
    late_worth: Share = 0.0
    effect: Literal["safe", "keyed"] = "safe"

    @model_validator(mode="after")
    def _check(self) -> Class:
        _check_ranges(self.work_ms, self.cv, self.wait_ms, self.calls)
        if self.aim_ms > self.deadline_ms:
            raise ValueError("aim_ms is greater than deadline_ms")
        if self.calls[1] > 8:
            raise ValueError("calls: 8 at most")
        return self


CLASSES = (
    Class(
        name="miniatura",
        share=0.31,
        work_ms=(208, 352),
        cv=(0.45, 0.95),
        wait_ms=(124, 297),
        calls=(1, 2),
        aim_ms=5400,
        deadline_ms=16000,
        worth=1,
    ),
    Class(
        name="visualizador",
        share=0.30,
        work_ms=(208, 352),
        cv=(0.64, 1.0),
        wait_ms=(81, 192),
        aim_ms=2700,
        deadline_ms=6800,
        worth=2,
        late_worth=0.2,
    ),
    Class(
        name="busca",
        share=0.23,
        work_ms=(208, 352),
        cv=(0.55, 1.1),
        wait_ms=(151, 352),
        aim_ms=4100,
        deadline_ms=14000,
        worth=2,
    ),
    Class(
        name="cadastro",
        share=0.16,
        work_ms=(297, 514),
        cv=(0.44, 1.0),
        wait_ms=(70, 165),
        aim_ms=3200,
        deadline_ms=8100,
        worth=5,
        effect="keyed",
    ),
)


class Tenant(Model):
    name: str
    share: float = Field(gt=0, description="of the quota")
    asks: float | None = Field(None, gt=0, description="of the traffic; absent: as share")


TENANTS = (
    Tenant(name="museu-grande", share=0.38),
    Tenant(name="casa-memoria", share=0.32),
    Tenant(name="pinacoteca-sul", share=0.18),
    Tenant(name="museu-sertao", share=0.12),
)


class Rules(Model):
    window_ms: float = Field(24336.0, ge=0)
    answer_grace_ms: float = Field(60.0, ge=0)
    drain_grace_ms: float = Field(2500.0, ge=0)
    stop_ms: float = Field(3200.0, ge=500)
    fall_multiple: float = Field(6.0, ge=1)
    fall_ms: float = Field(2000.0, ge=200)
    retry_after_ms: float = Field(1000.0, ge=0, description="the longest advice to stay away")
    heeded_ms: float = Field(1000.0, ge=0, description="how long a level told is heeded")
    marks_retry: bool = False
    halt: Literal["off", "drop", "pause"] = Field("drop", description="what stopping a run does to its work")


class Wire(Model):
    """How pipes and peers treat a whole node (``--wire``); shares of writes, notices, replies and reports."""

    delay_us: int = Field(60, ge=1, le=100_000)
    split: Share = 0.3
    join: Share = 0.1
    repeat: Share = Field(0.02, description="notices that come twice under one number")
    chatter: Share = Field(0.02, description="remarks between notices")
    spoil: Share = Field(0.0, description="replies of the next tier that can't be read, or break off")
    extra: Share = Field(0.02, description="replies that carry more than belongs to them")
    report_loss: Share = Field(0.25, description="reports to the announce service that are lost")


class Policy(Model):
    """The nodes' policy is the fleet's: changes are decided by all of them, and one that can't know what is in force
    takes no work. It is played on the nodes' cores (neither ``--wire`` nor ``--live``)."""

    lease_ms: float = Field(1000.0, ge=100)
    pulse_ms: float = Field(100.0, ge=10)
    check_ms: float = Field(1000.0, ge=10)
    delay_ms: tuple[float, float] = Field((0.2, 2.0), description="of a message from one node to another")


class Trouble(Model):
    """``burst``: the rate goes to ``size`` times. ``crash``: ``part`` of the nodes die and are back, cold, after
    ``seconds``. ``slow``: ``part`` run ``size`` times slower. ``deploy``: ``part`` are replaced within ``seconds``,
    ``size`` of the fleet at a time. ``link``: the links to the pools of ``part`` break each ``every_s``. ``reset``:
    routers reset their connections to ``part`` each ``every_s``. ``reload``: ``part`` get new addresses for their
    links, and SIGHUP, each ``every_s``. ``pause``: the processes of ``part`` stand still for ``size`` milliseconds
    each ``every_s``; it is played live only. ``acervo``: the next tier is as ``state`` says. ``cut``: ``part`` of the
    nodes and the others do not hear each other.
    ``policy``: at a node of the first tier ``settings`` are proposed to the fleet, and ``seconds`` mean nothing."""

    kind: Literal["burst", "crash", "slow", "deploy", "link", "acervo", "reset", "reload", "pause", "cut", "policy"]
    at: NumberOrRange = Field(description="seconds from the beginning of the day")
    seconds: NumberOrRange = 10.0
    part: NumberOrRange = 0.2
    size: NumberOrRange = 1.5
    tier: Literal["entrega", "acervo"] = "entrega"
    state: Literal["decline", "refuse", "silent"] = "decline"
    every_s: float = Field(1.0, gt=0)
    classes: tuple[str, ...] = Field((), description="a burst of these classes only")
    tenant: str | None = Field(None, description="a burst of this museum only")
    settings: dict[str, Any] = Field({}, description="a change of policy: a merge patch on the nodes' settings")

    @model_validator(mode="after")
    def _check(self) -> Trouble:
        _check_ranges(self.at, self.seconds, self.part, self.size)
        if self.kind == "slow" and _low(self.size) < 1:
            raise ValueError("size: the slowdown of a machine must be at least 1")
        if self.kind == "pause" and _high(self.size) > 2000:
            raise ValueError("size: a process may be paused for at most 2000 ms")
        if self.kind != "burst" and _high(self.part) > 1:
            raise ValueError("part: at most 1")
        if "lanes" in self.settings:
            raise ValueError("settings: lanes: can't be changed; a day keeps its classes")
        if self.kind == "deploy" and not 0 < _high(self.size) <= 1:
            raise ValueError("size: the share of the fleet replaced at a time must be above 0 and at most 1")
        return self


def _low(value: Any) -> float:
    return float(value[0] if isinstance(value, tuple) else value)


def _high(value: Any) -> float:
    return float(value[1] if isinstance(value, tuple) else value)


class Scenario(Model):
    """A fleet and a day."""

    version: Literal[1] = 1
    title: str
    seconds: float = Field(60.0, gt=0, le=3600)
    seed: int = Field(1, ge=0)
    fleet: Fleet = Fleet()
    acervo: Acervo = Acervo()
    routers: Routers = Routers()
    clients: Clients = Clients()
    traffic: Traffic = Traffic()
    classes: tuple[Class, ...] = Field(CLASSES, min_length=1)
    tenants: tuple[Tenant, ...] = TENANTS
    rules: Rules = Rules()
    wire: Wire = Wire()
    policy: Policy | None = None
    trouble: tuple[Trouble, ...] = ()

    @model_validator(mode="after")
    def _check(self) -> Scenario:
        class_names = [request_class.name for request_class in self.classes]
        tenant_names = [tenant.name for tenant in self.tenants]
        for key, listed in (("classes", class_names), ("tenants", tenant_names)):
            if len(set(listed)) != len(listed):
                raise ValueError(f"{key}: duplicate name")
        for n, fault in enumerate(self.trouble):
            if fault.kind in ("cut", "policy") and self.policy is None:
                raise ValueError(f"trouble.{n}.kind: {fault.kind} needs a table [policy]")
            for name in fault.classes:
                if name not in class_names:
                    raise ValueError(f"trouble.{n}.classes: {name!r} is not one of {', '.join(class_names)}")
            if fault.tenant is not None and fault.tenant not in tenant_names:
                raise ValueError(f"trouble.{n}.tenant: {fault.tenant!r} is not one of {', '.join(tenant_names)}")
        return self


class Draw:
    """Draws the parameters of a day from their ranges. The stream depends on the parameter's key only."""

    def __init__(self, streams: Streams) -> None:
        self._streams = streams

    def __call__(self, key: str, value: Any) -> float:
        if not isinstance(value, tuple):
            return float(value)
        return float(value[0] + (value[1] - value[0]) * self._streams["figure/" + key].random())


def check(raw: Any, source: str) -> Scenario:
    """Validate parsed TOML. ``source`` names the file in messages. Raises ``ScenarioError``."""
    try:
        # Through JSON, strict mode still accepts lists for tuples, but no strings for numbers.
        return Scenario.model_validate_json(json.dumps(raw, default=str), strict=True)
    except ValidationError as error:
        raise ScenarioError(f"{source}: {_first_message(error.errors())}") from None


def _first_message(errors: Sequence[Any]) -> str:
    first = errors[0]
    model_parts = ("tuple[", "constrained", "function")  # location parts of the model, not keys of the file
    key = ".".join(str(part) for part in first["loc"] if not str(part).startswith(model_parts))
    message = str(first["msg"]).removeprefix("Value error, ")
    more = f" (and {len(errors) - 1} more)" if len(errors) > 1 else ""
    return (f"{key}: " if key else "") + message[:1].lower() + message[1:] + more


def load(path: str | Path) -> Scenario:
    """Load a scenario by its file path, or by name if it is a shipped one. Raises ``ScenarioError``."""
    file = Path(path)
    if not file.suffix and not file.exists():
        shipped = resources.files(__package__) / "scenarios" / f"{path}.toml"
        if not shipped.is_file():
            names = ", ".join(shipped_names())
            raise ScenarioError(f"{path}: no such file, and none of the shipped scenarios: {names}")
        text = shipped.read_text(encoding="utf-8")
    else:
        try:
            text = file.read_text(encoding="utf-8")
        except OSError as error:
            raise ScenarioError(f"{path}: {error.strerror}") from None
        except UnicodeDecodeError as error:
            raise ScenarioError(f"{path}: not UTF-8: {error}") from None
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from None
    return check(raw, str(path))


def shipped_names() -> list[str]:
    """The names of the scenarios in the package."""
    folder = resources.files(__package__) / "scenarios"
    return sorted(file.name.removesuffix(".toml") for file in folder.iterdir() if file.name.endswith(".toml"))


def schema() -> dict[str, Any]:
    """The published JSON Schema of scenario files."""
    return {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "lemonway scenario",
        **{k: v for k, v in Scenario.model_json_schema().items() if k != "title"},
    }
