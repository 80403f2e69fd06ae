"""An experiment as a file (TOML, with a schema): scenarios, a grid of parameters, seeds. It must not know how a run is
played or kept: it gives the list of runs, each with the digest of all that decides its result."""

from __future__ import annotations

import json
import tomllib
from collections.abc import Iterator
from dataclasses import dataclass
from functools import lru_cache
from hashlib import blake2b
from itertools import product
from pathlib import Path
from typing import Annotated, Any, Literal

from pydantic import Field, ValidationError

from ... import admission_policy
from ..emulator import scenario
from ..emulator.scenario import Model, ScenarioError

RUNS_MOST = 20_000
Value = float | str | bool | list[float]
Row = Annotated[list[Value], Field(min_length=1, max_length=50)]


class Plan(Model):
    """``grid`` names keys and the values each takes; every combination is an arm. A key is a scenario's, with dots
    (``routers.habits.*.heeds``: of every row), or a constant of the admission policy (``tunable.PROMISES``). ``code``
    names checkouts: each arm is played with the code of each."""

    title: str
    scenarios: list[str] = Field(min_length=1)
    first_seed: int = Field(1, ge=0)
    seeds: int = Field(20, ge=1, le=1000)
    fidelity: Literal["core", "wire", "live"] = "core"
    grid: dict[str, Row] = {}
    code: dict[str, str] = Field({}, description="a name and the path of a checkout; absent: this one")


@dataclass(frozen=True)
class Run:
    """One day to play. ``arm`` is its place in the grid, as shown; ``digest`` names its result in the store."""

    scenario: str
    arm: str
    seed: int
    digest: str
    raw: str  # the whole scenario, as JSON
    tunables: tuple[tuple[str, float], ...]
    code: str  # the path of a checkout, "" = this one
    fidelity: str


def load(path: str) -> Plan:
    try:
        raw = tomllib.loads(Path(path).read_text(encoding="utf-8"))
        plan = Plan.model_validate_json(json.dumps(raw, default=str), strict=True)
    except OSError as error:
        raise ScenarioError(f"{path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ScenarioError(f"{path}: not TOML: {error}") from None
    except ValidationError as error:
        first = error.errors()[0]
        raise ScenarioError(f"{path}: {'.'.join(map(str, first['loc']))}: {first['msg']}") from None
    for key, values in plan.grid.items():
        name = key.removeprefix("tunable.")
        if name != key:
            known = getattr(admission_policy, admission_policy.EXPERIMENT_NAMES.get(name, ""), None)
            if not name.isupper() or not isinstance(known, int | float):
                raise ScenarioError(f"{path}: grid.{key}: the admission policy has no constant of that name")
            if plan.fidelity == "live":
                raise ScenarioError(
                    f"{path}: grid.{key}: a live node has the tuned values of its code; name checkouts " "under [code]"
                )
            if not all(isinstance(v, int | float) and not isinstance(v, bool) for v in values):
                raise ScenarioError(f"{path}: grid.{key}: wants numbers")
    for name, place in plan.code.items():
        if not (Path(place) / "lemonway" / "interface.py").is_file():
            raise ScenarioError(f"{path}: code.{name}: {place}: no checkout of this project")
    return plan


def put(raw: dict[str, Any], key: str, value: Any, where: str) -> None:
    """Set a key with dots in a scenario's data; ``*`` is every row of a list."""
    head, dot, rest = key.partition(".")
    if not dot:
        if not isinstance(raw, dict) or head not in raw:
            raise ScenarioError(f"{where}: no such key in the scenario")
        raw[head] = value
    elif head == "*" or head.isdigit():
        raise ScenarioError(f"{where}: {head} stands where no list is")
    else:
        inner = raw.get(head) if isinstance(raw, dict) else None
        place, more, last = rest.partition(".")
        if isinstance(inner, list) and more:
            rows = inner if place == "*" else inner[int(place) : int(place) + 1] if place.isdigit() else []
            if not rows:
                raise ScenarioError(f"{where}: {head}.{place} is no row of the scenario")
            for row in rows:
                put(row, last, value, where)
        elif isinstance(inner, dict):
            put(inner, rest, value, where)
        else:
            raise ScenarioError(f"{where}: no such key in the scenario")


@lru_cache
def code_digest(root: str, fidelity: str) -> str:
    """Of every source file that can change a result, as it was when this process first asked."""
    return digest_now(root, fidelity)


def digest_now(root: str, fidelity: str) -> str:
    passed_over = {"experiment", "cli", "cli.py"} | (set() if fidelity == "live" else {"live"})
    digest = blake2b(digest_size=12)
    folder = Path(root) / "lemonway" if root else Path(admission_policy.__file__).parent
    for path in sorted(folder.rglob("*.py")):
        inner = path.relative_to(folder)
        if not passed_over & set(inner.parts):
            digest.update(str(inner).encode() + b"\0" + path.read_bytes() + b"\0")
    return digest.hexdigest()


def runs(plan: Plan, path: str) -> list[Run]:
    count = len(plan.scenarios) * plan.seeds * max(1, len(plan.code))
    for values in plan.grid.values():
        count *= len(values)
    if count > RUNS_MOST:
        raise ScenarioError(f"{path}: {count} runs, at most {RUNS_MOST}")
    return list(_runs(plan, path))


def _runs(plan: Plan, path: str) -> Iterator[Run]:
    keys = list(plan.grid)
    for name in plan.scenarios:
        shipped = scenario.load(name)
        for code_name, root in (plan.code or {"": ""}).items():
            for values in product(*plan.grid.values()):
                raw = shipped.model_dump(mode="json")
                tunables = []
                for key, value in zip(keys, values, strict=True):
                    if key.startswith("tunable."):
                        tunables.append((key.removeprefix("tunable."), float(value)))  # type: ignore[arg-type]
                    else:
                        put(raw, key, value, f"{path}: grid.{key}")
                text = scenario.check(raw, f"{path}: {name}").model_dump_json()
                arm = (
                    ", ".join(
                        ([code_name] if code_name else [])
                        + [
                            f"{key.rpartition('.')[2]} {value:g}" if isinstance(value, float) else f"{key} {value}"
                            for key, value in zip(keys, values, strict=True)
                        ]
                    )
                    or "as shipped"
                )
                for seed in range(plan.first_seed, plan.first_seed + plan.seeds):
                    parts = [text, sorted(tunables), code_digest(root, plan.fidelity), seed, plan.fidelity]
                    digest = blake2b(json.dumps(parts).encode(), digest_size=16).hexdigest()
                    yield Run(name, arm, seed, digest, text, tuple(tunables), root, plan.fidelity)
