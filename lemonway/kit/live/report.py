"""The outcome of a live rehearsal as data and as tables. A void rehearsal shows the reasons, and no service figures."""

from __future__ import annotations

from collections import defaultdict
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from ..emulator import report
from .supervisor import Outcome
from .watch import LAG_HISTOGRAM_RANGE, Bounds

SERVICE_SECTIONS = ("classes", "museums", "windows")  # sections of the figures left out of a void rehearsal
MAX_SHOWN = 20


def figures(outcome: Outcome, bounds: Bounds) -> dict[str, Any]:
    """As ``emulator.report.figures``, with ``verdict`` (kept, broken or void), ``void`` and ``live``. A node counter
    that differs from what was observed counts as a broken rule. A void rehearsal has the verdict void even if rules
    were broken."""
    data = report.figures(outcome.result)
    data["rules"]["counters"] = len(outcome.counter_differences)
    data["breaches"] += [[difference] for difference in outcome.counter_differences[:MAX_SHOWN]]
    broken = sum(data["rules"].values())
    data["verdict"] = "void" if outcome.void else "broken" if broken else "kept"
    data["void"] = outcome.void
    if outcome.void or broken:
        data["service"]["figure"] = None
    if outcome.void:
        data["service"] = dict.fromkeys(data["service"])
        for part in SERVICE_SECTIONS:
            del data[part]
    data["live"] = {**outcome.node_summary, "bounds": bounds.model_dump(), "watched": process_summaries(outcome)}
    return data


def process_summaries(outcome: Outcome) -> list[dict[str, Any]]:
    """Events, lag and CPU use of each part, and of the nodes together: for these, ``cpu_mean`` is the sum over all
    nodes, and the maxima are those of one node."""
    rows: dict[str, list[dict[str, Any]]] = defaultdict(list)
    for row in outcome.rows:
        rows["nodes" if row["node"] else row["who"]].append(row)
    summaries = []
    for who, process_rows in rows.items():
        histogram = HdrHistogram(*LAG_HISTOGRAM_RANGE)
        if who in outcome.lag_histograms:
            histogram.add(HdrHistogram.decode(outcome.lag_histograms[who].encode()))
        seconds = len({row["second"] for row in process_rows})
        summaries.append(
            {
                "who": who,
                "events": sum(row["events"] for row in process_rows),
                "lag_ms": {f"p{q:g}": round(histogram.get_value_at_percentile(q) / 1000, 3) for q in (50, 99, 99.9)}
                if histogram.get_total_count()
                else {},
                "lag_ms_most": round(max(row["lag_ms"] for row in process_rows), 3),
                "cpu_mean": round(sum(row["cpu"] for row in process_rows) / max(1, seconds), 4),
                "cpu_most": round(max(row["cpu"] for row in process_rows), 4),
                "wait_most": round(max(r["wait"] for r in process_rows), 4),
            }
        )
    return summaries


def render(data: dict[str, Any], console: Console) -> None:
    if data["verdict"] == "void":
        console.print(
            f"[bold]{data['title']}[/bold]  live, seed {data['seed']}, {data['nodes']} nodes, "
            f"{data['requests']} requests"
        )
        console.print("[bold red]void[/bold red]: a process fell behind its schedule, so there are no service figures")
        for row in data["void"][:MAX_SHOWN]:
            console.print(f"  from second {row['second']}: {row['why']}", markup=False)
        for lines in data["breaches"]:
            console.print(
                "\n".join(["also seen, without effect on the verdict:", *lines]), markup=False, highlight=False
            )
    else:
        report.render(data, console)
    live = data["live"]
    table = Table("process", "events", "lag p50", "p99", "p99.9", "max ms", "CPU", "max", "wait")
    for row in live["watched"]:
        lag = row["lag_ms"]
        table.add_row(
            row["who"],
            str(row["events"] or "-"),
            *(f"{lag[q]:.2f}" if lag else "-" for q in lag or "123"),  # three percentiles, or three dashes
            f"{row['lag_ms_most']:.1f}" if lag else "-",
            f"{row['cpu_mean']:.3f}",
            f"{row['cpu_most']:.3f}",
            f"{row['wait_most']:.3f}",
        )
    for column in table.columns[1:]:
        column.justify = "right"
    console.print(table)
    console.print(
        f"counters of {live['reconciled']} node processes match what was observed"
        + (f"; {live['unreadable']} were killed before theirs were read" if live["unreadable"] else "")
        if not data["rules"]["counters"]
        else f"{data['rules']['counters']} counters differ"
    )
    if live["starts_ms"]:
        console.print(f"node processes came up within {min(live['starts_ms'])} to {max(live['starts_ms'])} ms")
