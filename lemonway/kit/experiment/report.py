"""Shows an experiment: one HTML page that needs nothing else, or CSV, or Markdown. Each chart has its table."""

from __future__ import annotations

import csv
import io
from collections.abc import Sequence
from dataclasses import dataclass, field
from statistics import fmean
from typing import Any

from ..emulator.report import histogram, percentiles
from .charts import COLOURS, axes_of, page, svg
from .compare import Difference, compare, interval
from .plan import Plan, Run
from .store import Store

PARTS = (
    ("figure", "service"),
    ("whole", "whole"),
    ("worst_window", "worst 10 s"),
    ("worst_class", "worst class"),
    ("worst_museum", "worst museum"),
)
ARMS_DRAWN = 6


@dataclass
class Arm:
    scenario: str
    name: str
    days: dict[int, dict[str, Any]] = field(default_factory=dict)  # by seed

    def values(self, part: str = "figure") -> dict[int, float]:
        return {seed: day["service"][part] for seed, day in self.days.items() if day["service"][part] is not None}

    @property
    def broken(self) -> list[int]:
        return [seed for seed, day in self.days.items() if sum(day["rules"].values())]

    def mean(self, part: str = "figure") -> float | None:
        values = list(self.values(part).values())
        return fmean(values) if values else None

    def interval(self, part: str = "figure") -> tuple[float, float] | None:
        values = list(self.values(part).values())
        return interval(values) if len(values) > 1 else None

    def tries(self) -> float:
        return fmean(day["tries"]["mean"] for day in self.days.values())

    def percentiles(self, lane: str) -> dict[str, float]:
        """Of the times to an answer of all its days together."""
        return percentiles(
            histogram(
                [row["answered_hdr"] for day in self.days.values() for row in day["classes"] if row["name"] == lane]
            )
        )


def arms_of(runs: Sequence[Run], figures: dict[str, dict[str, Any]]) -> list[Arm]:
    arms: dict[tuple[str, str], Arm] = {}
    for run in runs:
        if run.digest in figures:
            arm = arms.setdefault((run.scenario, run.arm), Arm(run.scenario, run.arm))
            arm.days[run.seed] = figures[run.digest]
    return list(arms.values())


def against_first(arms: Sequence[Arm]) -> list[tuple[Arm, Difference | None]]:
    """Each arm, with its difference from the first arm of its scenario."""
    first: dict[str, Arm] = {}
    rows: list[tuple[Arm, Difference | None]] = []
    for arm in arms:
        base = first.setdefault(arm.scenario, arm)
        rows.append((arm, None if base is arm else compare(base.values(), arm.values())))
    return rows


def history(arms: Sequence[Arm], earlier: Store) -> tuple[list[str], list[list[str]]]:
    """Each arm against the same arm in an earlier store, by seed; a fall beyond the spread is a regression."""
    rows = []
    for arm in arms:
        found = compare(earlier.services(arm.scenario, arm.name), arm.values())
        verdict = "not there" if not found.pairs else "-"
        if found.shown:
            verdict = "REGRESSION" if found.mean < 0 else "better"
        rows.append([arm.scenario, arm.name, found.words() if found.pairs else "-", verdict])
    return ["scenario", "arm", "against the earlier store", "verdict"], rows


def table(arms: Sequence[Arm]) -> tuple[list[str], list[list[str]]]:
    head = [
        "scenario",
        "arm",
        "seeds",
        *(name for _, name in PARTS),
        "95% of service",
        "against the first arm",
        "tries",
        "rules broken",
    ]
    rows = []
    for arm, difference in against_first(arms):
        span = arm.interval()
        rows.append(
            [
                arm.scenario,
                arm.name,
                str(len(arm.days)),
                *("-" if (mean := arm.mean(part)) is None else f"{mean:.4f}" for part, _ in PARTS),
                "-" if span is None else f"{span[0]:.4f} to {span[1]:.4f}",
                "-" if difference is None else difference.words(),
                f"{arm.tries():.3f}",
                ", ".join(f"seed {seed}" for seed in arm.broken) or "none",
            ]
        )
    return head, rows


def to_csv(arms: Sequence[Arm]) -> str:
    """A row a run."""
    out = io.StringIO()
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(["scenario", "arm", "seed", *(part for part, _ in PARTS), "tries", "requests", "rules_broken"])
    for arm in arms:
        for seed, day in sorted(arm.days.items()):
            writer.writerow(
                [
                    arm.scenario,
                    arm.name,
                    seed,
                    *(day["service"][part] for part, _ in PARTS),
                    day["tries"]["mean"],
                    day["requests"],
                    sum(day["rules"].values()),
                ]
            )
    return out.getvalue()


def to_markdown(plan: Plan, arms: Sequence[Arm], earlier: Store | None = None) -> str:
    lines = [f"# {plan.title}"]
    for head, rows in [table(arms)] + ([history(arms, earlier)] if earlier else []):
        lines += ["", "| " + " | ".join(head) + " |", "|" + " --- |" * len(head)]
        lines += ["| " + " | ".join(row) + " |" for row in rows]
    return "\n".join(lines) + "\n"


# charts


def service_chart(arms: Sequence[Arm]) -> str:
    """Means with their intervals, an arm a row."""
    figure, axes = axes_of(height=0.5 + 0.35 * len(arms))
    for place, arm in enumerate(arms):
        span, mean = arm.interval(), arm.mean()
        if mean is None:
            continue
        low, high = span or (mean, mean)
        axes.errorbar(
            mean, place, xerr=[[max(0.0, mean - low)], [max(0.0, high - mean)]], fmt="o", capsize=3, color=COLOURS[0]
        )
    axes.set_yticks(range(len(arms)), [arm.name for arm in arms])
    axes.invert_yaxis()
    axes.set_xlabel("service, mean and 95% interval over seeds")
    return svg(figure)


def day_chart(arm: Arm) -> str:
    """Asked, in time, late and not served by window, summed over seeds; the first seed's faults are marked."""
    figure, axes = axes_of()
    days = list(arm.days.values())
    count = min(len(day["windows"]) for day in days)
    at = [row["from_s"] for row in days[0]["windows"][:count]]
    rows = {
        "tries": [fmean(day["windows"][n]["tries"] for day in days) for n in range(count)],
        "asked": [fmean(day["windows"][n]["asked"] for day in days) for n in range(count)],
        "in time": [fmean(day["windows"][n]["in_time"] for day in days) for n in range(count)],
        "not served": [fmean(sum(day["windows"][n]["not_served"].values()) for day in days) for n in range(count)],
    }
    for (name, values), colour in zip(rows.items(), COLOURS, strict=False):
        axes.step(at, values, where="post", label=name, color=colour, linestyle="--" if name == "tries" else "-")
    for event in days[0]["happened"]:
        axes.axvline(event["at_s"], color=COLOURS[5], linewidth=0.8, alpha=0.6)
    axes.set_ylim(bottom=0)
    axes.set_xlabel("seconds; red: what happened, of the first seed")
    axes.set_ylabel("requests in 5 s, mean")
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1))
    return svg(figure)


def day_table(arm: Arm) -> tuple[list[str], list[list[str]]]:
    days = list(arm.days.values())
    rows = []
    for n in range(min(len(day["windows"]) for day in days)):
        part = [day["windows"][n] for day in days]
        rows.append(
            [
                str(part[0]["from_s"]),
                *(
                    f"{fmean(values):.1f}"
                    for values in (
                        [w["asked"] for w in part],
                        [w["tries"] for w in part],
                        [w["in_time"] for w in part],
                        [w["late"] for w in part],
                        [sum(w["not_served"].values()) for w in part],
                    )
                ),
            ]
        )
    return ["from s", "asked", "tries", "in time", "late", "not served"], rows


def heat_chart(plan: Plan, runs: Sequence[Run], arms: Sequence[Arm]) -> str:
    """Mean service over a grid of two keys."""
    keys = [key for key, values in plan.grid.items() if len(values) > 1]
    down, across = (plan.grid[key] for key in keys)
    cells = [[arms[i * len(across) + j].mean() for j in range(len(across))] for i in range(len(down))]
    shown = [[float("nan") if cell is None else cell for cell in row] for row in cells]
    figure, axes = axes_of(width=1.5 + 1.2 * len(across), height=1.0 + 0.6 * len(down))
    axes.imshow(shown, cmap="viridis", aspect="auto")
    for i, row in enumerate(cells):
        for j, cell in enumerate(row):
            axes.text(
                j,
                i,
                "-" if cell is None else f"{cell:.3f}",
                ha="center",
                va="center",
                color="white",
                bbox={"facecolor": "#00000088", "edgecolor": "none", "pad": 2},
            )
    axes.set_xticks(range(len(across)), [f"{v}" for v in across])
    axes.set_yticks(range(len(down)), [f"{v}" for v in down])
    axes.set_xlabel(keys[1])
    axes.set_ylabel(keys[0])
    return svg(figure, wide=False)


def latency_table(arms: Sequence[Arm]) -> tuple[list[str], list[list[str]]]:
    rows = []
    for arm in arms:
        for row in next(iter(arm.days.values()))["classes"]:
            found = arm.percentiles(row["name"])
            rows.append([arm.name, row["name"], *(f"{found[q]:.0f}" if found else "-" for q in ("p50", "p90", "p99"))])
    return ["arm", "class", "p50 ms", "p90 ms", "p99 ms"], rows


def to_html(plan: Plan, runs: Sequence[Run], arms: Sequence[Arm], earlier: Store | None = None) -> str:
    square = len([key for key, values in plan.grid.items() if len(values) > 1]) == 2 and not plan.code
    sections = []
    for name in plan.scenarios:
        mine = [arm for arm in arms if arm.scenario == name]
        if not mine:
            continue
        cells = 1
        for values in plan.grid.values():
            cells *= len(values)
        sections.append(
            {
                "name": name,
                "title": next(iter(mine[0].days.values()))["title"],
                "chart": service_chart(mine),
                "table": table(mine),
                "history": history(mine, earlier) if earlier else None,
                "heat": heat_chart(plan, runs, mine) if square and len(mine) == cells else "",
                "latency": latency_table(mine),
                "days": [
                    {"arm": arm.name, "chart": day_chart(arm), "table": day_table(arm)} for arm in mine[:ARMS_DRAWN]
                ],
                "left_out": max(0, len(mine) - ARMS_DRAWN),
            }
        )
    return page(
        "report.html", plan=plan, sections=sections, played=sum(len(arm.days) for arm in arms), wanted=len(runs)
    )
