"""Renders the JSON data of scale runs as tables for the terminal and as one HTML page with charts. Sans-I/O."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from rich.console import Console
from rich.table import Table

from ..experiment.charts import COLOURS, axes_of, page, svg

Rows = tuple[list[str], list[list[str]]]
Data = dict[str, Any]


def _format_number(value: float | None) -> str:
    return "-" if value is None else f"{value:.3g}" if abs(value) < 1000 else f"{value:.0f}"


def _format_figures(figures: Data | None, names: Sequence[str]) -> str:
    return "-" if figures is None else " / ".join(_format_number(figures[name]) for name in names)


def _format_in_force(data: Data) -> str:
    return _format_figures(data["in_force_s"], ("p50", "p99", "max"))


def _format_node_cost(data: Data) -> str:
    return _format_figures(data["node"], ("core_share", "memory_mb", "kb_s"))


def _format_added_latency(figures: Data | None) -> str:
    return _format_figures(figures, ("p50", "p99", "p999"))


def overview(runs: Sequence[Data]) -> Rows:
    """Return a table with one row per run."""
    header = [
        "run",
        "hollow",
        "real",
        "in force s (p50 / p99 / max)",
        "node (core / MB / kB/s)",
        "added ms (p50 / p99 / p99.9)",
        "without changes",
        "without control",
        "violations",
        "void",
    ]
    return header, [
        [
            f"{number}, seed {run['seed']}",
            str(run["hollow"]),
            str(run["real"]),
            _format_in_force(run),
            _format_node_cost(run),
            _format_added_latency(run["added_ms"]),
            _format_added_latency(run["added_quiet_ms"]),
            _format_added_latency(run["added_bare_ms"]),
            str(len(run["violations"])),
            run["void"] or "no",
        ]
        for number, run in enumerate(runs, 1)
    ]


def phases(run: Data) -> Rows:
    """Return a table with one row per phase."""
    header = [
        "phase",
        "s",
        "changes",
        "in force s (p50 / p99 / max)",
        "node (core / MB / kB/s)",
        "busiest voter core",
        "busiest relay core",
        "added ms (p50 / p99 / p99.9)",
        "without control",
        "sent late ms",
    ]
    return header, [
        [
            name,
            _format_number(each["seconds"]),
            str(each["changes"]),
            _format_in_force(each),
            _format_node_cost(each),
            _format_number(_busiest(each, "voter")),
            _format_number(_busiest(each, "relay")),
            _format_added_latency(each["added_ms"]),
            _format_added_latency(each["added_bare_ms"]),
            _format_added_latency(each["sent_late_ms"]),
        ]
        for name, each in run["phases"].items()
    ]


def _busiest(figures: Data, role: str) -> float | None:
    return max((each["core_share"] for each in figures["control"] if each["name"].startswith(role)), default=None)


def control(run: Data) -> Rows:
    """Return a table with one row per control process."""
    return ["process", "core", "MB", "kB/s", "subscribers"], [
        [
            each["name"],
            _format_number(each["core_share"]),
            _format_number(each["memory_mb"]),
            _format_number(each["kb_s"]),
            str(each["clients"]),
        ]
        for each in run["control"]
    ]


def slope_table(slopes: Sequence[Data]) -> Rows:
    """Return a table with one row per fitted line."""
    header = ["cost", "unit", "points", "constant", "per node", "largest residual", "budget", "breaks at"]
    return header, [
        [
            each["what"],
            each["unit"],
            ", ".join(f"{x:.0f}: {_format_number(y)}" for x, y in each["points"]),
            _format_number(each["constant"]),
            _format_number(each["per_unit"]),
            _format_number(each["residual"]),
            _format_number(each["budget"]),
            _format_number(each["breaks_at"]),
        ]
        for each in slopes
    ]


def slope_chart(slope: Data) -> str:
    """Plot the measured points, the fitted line and the budget."""
    figure, axes = axes_of(width=6.0, height=2.6)
    x, y = [point[0] for point in slope["points"]], [point[1] for point in slope["points"]]
    axes.plot(x, y, "o", color=COLOURS[0])
    if slope["per_unit"] is not None:
        line_x = [0.0, 1.1 * max(x)]
        axes.plot(line_x, [slope["constant"] + slope["per_unit"] * each for each in line_x], color=COLOURS[0])
    if slope["budget"] is not None:
        axes.axhline(slope["budget"], color=COLOURS[5], linestyle="--")
    axes.set_xlim(left=0)
    axes.set_ylim(bottom=0)
    axes.set_xlabel("hollow nodes")
    axes.set_ylabel(slope["unit"])
    return str(svg(figure, wide=False))


def phase_chart(run: Data) -> str:
    """Plot the p50, p99 and maximum time until a change is in force by phase, and the budget."""
    figure, axes = axes_of(height=2.6)
    names = [name for name, each in run["phases"].items() if each["in_force_s"]]
    for offset, name in enumerate(("p50", "p99", "max")):
        axes.bar(
            [n + 0.25 * offset for n in range(len(names))],
            [run["phases"][phase]["in_force_s"][name] for phase in names],
            0.25,
            label=name,
            color=COLOURS[offset],
        )
    axes.axhline(18.0, color=COLOURS[5], linestyle="--")
    axes.set_yscale("log")
    axes.set_xticks([n + 0.25 for n in range(len(names))], names)
    axes.set_ylabel("s until in force on all nodes")
    axes.legend(loc="upper left", bbox_to_anchor=(1, 1))
    return str(svg(figure))


def to_html(runs: Sequence[Data], slopes: Sequence[Data], title: str) -> str:
    """Render the page of these runs. ``slopes``: fitted over several sizes, empty for a single one."""
    first = runs[0]
    introduction = (
        "Hollow nodes run the node's control code over real sockets without requests; real nodes serve beside "
        f"them. {first['table']['tenants']} tenants, {first['table']['routes']} routes. Node costs are those of a "
        "hollow node, less the empty process; latencies count from the moment at which a request was to be sent."
    )
    warnings = [f"Run {number} is void: {run['void']}" for number, run in enumerate(runs, 1) if run["void"]]
    fitted = [{"what": each["what"], "chart": slope_chart(each)} for each in slopes if len(each["points"]) > 1]
    sections = [
        {
            "title": f"Run {number}: {run['hollow']} hollow, {run['real']} real, seed {run['seed']}",
            "chart": phase_chart(run),
            "phases": phases(run),
            "control": control(run),
            "events": run["more"]["events"],
            "counters": (["counter", "count"], [[name, str(n)] for name, n in run["more"]["counters"].items()]),
            "violations": run["violations"],
        }
        for number, run in enumerate(runs, 1)
    ]
    return page(
        "scale.html",
        title=title,
        lead=introduction,
        warnings=warnings,
        overview=overview(runs),
        slopes=fitted,
        slope_table=slope_table(slopes),
        sections=sections,
    )


def show(runs: Sequence[Data], slopes: Sequence[Data], console: Console) -> None:
    """Print the tables to the terminal."""
    tables = [("runs", overview(runs)), *((f"run {n} by phase", phases(run)) for n, run in enumerate(runs, 1))]
    if len(runs) > 1:
        tables.append(("slopes", slope_table(slopes)))
    for title, (header, rows) in tables:
        table = Table(*header, title=title, title_justify="left")
        for row in rows:
            table.add_row(*row)
        console.print(table)
    for run in runs:
        for text in run["violations"]:
            console.print(f"violation: {text}", style="red")
