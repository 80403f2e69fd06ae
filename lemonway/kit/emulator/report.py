"""Reports the result of a day as versioned JSON data, as tables and as a trace of each try.

It must not depend on how the day was run. The data holds no wall-clock time and no path: the same scenario and seed
give the same bytes."""

from __future__ import annotations

import json
from collections import Counter
from collections.abc import Iterator, Sequence
from typing import Any

from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from .day import Result
from .virtual import START_US

VERSION = 1  # of the JSON data
WINDOW_SECONDS = 5  # length of a row in the table by time
MAX_TRIES_SHOWN = 6  # tries of a request; larger numbers are counted together
MAX_BREACHES_SHOWN = 20
SECOND = 1_000_000


def _round(value: float) -> float:
    return round(value, 6)


def histogram(encoded: Sequence[str] = ()) -> HdrHistogram:
    """A histogram of answer times in milliseconds, to three digits, up to an hour: the sum of the encoded ones."""
    total = HdrHistogram(1, 3_600_000, 3)
    for text in encoded:
        total.add(HdrHistogram.decode(text.encode()))
    return total


def percentiles(times: HdrHistogram) -> dict[str, float]:
    """The 50th, 90th and 99th percentile in milliseconds; empty for an empty histogram."""
    if not times.get_total_count():
        return {}
    return {f"p{q:g}": float(times.get_value_at_percentile(q)) for q in (50, 90, 99)}


def figures(result: Result) -> dict[str, Any]:
    """Return the result as JSON data. ``service.figure`` is null if a rule was broken."""
    scenario, service, breaches = result.scenario, result.service, result.audit.breaches
    requests = result.requests
    windows = []
    for at in range(0, max(1, int(-(-scenario.seconds // 1))), WINDOW_SECONDS):
        part = [
            request for request in requests if at <= (request.sent_at_us - START_US) // SECOND < at + WINDOW_SECONDS
        ]
        outcomes = Counter(request.outcome for request in part if request.served_at_us < 0)
        sums = service.seconds[at : at + WINDOW_SECONDS]
        requested, earned = sum(second.requested for second in sums), sum(second.earned for second in sums)
        windows.append(
            {
                "from_s": at,
                "asked": len(part),
                "in_time": sum(second.in_time for second in sums),
                "late": sum(request.served_at_us >= 0 for request in part) - sum(second.in_time for second in sums),
                "not_served": dict(sorted(outcomes.items())),
                "tries": sum(request.try_count for request in part),
                "share": _round(earned / requested) if requested else None,
            }
        )
    tries = Counter(min(request.try_count, MAX_TRIES_SHOWN) for request in requests)
    classes = []
    for n, (request_class, total) in enumerate(zip(scenario.classes, service.classes, strict=True)):
        class_requests, times = [request for request in requests if request.class_index == n], histogram()
        for request in class_requests:
            if request.served_at_us >= 0:
                times.record_value(max(1, (request.served_at_us - request.sent_at_us) // 1000))
        classes.append(
            {
                "name": request_class.name,
                "asked": total.count,
                "in_time": total.in_time,
                "served": sum(request.served_at_us >= 0 for request in class_requests),
                "share": _round(total.share),
                "answered_ms": percentiles(times),
                "answered_hdr": times.encode().decode(),
            }
        )
    totals = result.totals
    rules_broken = breaches or (result.policy is not None and result.policy.check())
    return {
        "version": VERSION,
        "title": scenario.title,
        "seed": result.seed,
        "seconds": scenario.seconds,
        "nodes": result.sizes[0],
        "acervo": result.sizes[1],
        "routers": scenario.routers.count,
        "capacity_rps": _round(result.capacity),
        "requests": len(requests),
        "rules": result.audit.count_by_rule()
        | ({} if result.policy is None else {"one policy": len(result.policy.check())}),
        "answers_checked": result.audit.answers_checked,
        "breaches": [breach.lines(START_US) for breach in breaches[:MAX_BREACHES_SHOWN]],
        "service": {
            "figure": None if rules_broken else _round(service.figure),
            "whole": _round(service.whole),
            "worst_window": _round(service.worst_window),
            "worst_window_at_s": service.worst_window_at,
            "worst_class": _round(service.worst_class),
            "worst_museum": _round(service.worst_tenant),
            "waste": _round(service.waste),
            "late_fails": _round(service.late_fails),
        },
        "classes": classes,
        "museums": [
            {
                "name": tenant.name,
                "asked_inside": total.count,
                "in_time": total.in_time,
                "share": _round(total.share),
            }
            for tenant, total in zip(scenario.tenants, service.tenants, strict=True)
        ],
        "windows": windows,
        "tries": {
            "mean": _round(sum(request.try_count for request in requests) / max(1, len(requests))),
            "of_requests": {str(n): tries[n] for n in sorted(tries)},
            "last_stands_for_more": MAX_TRIES_SHOWN,
        },
        "outcomes": dict(sorted(result.outcomes.items())),
        "router_counters": dict(sorted(result.router_counters.items())),
        "node_counters": dict(sorted(result.node_counters.items())),
        "acervo_counters": dict(sorted(result.backend_counters.items())),
        "happened": [
            {"at_s": _round((event.at - START_US) / SECOND), "what": event.description}
            for event in result.recorded_events
        ],
        "keyed_again": dict(sorted(result.duplicate_outcomes.items())),
        "comings_and_goings": dict(sorted(result.supervisor.items())),
        "work_ms": [
            {"run": _round(total.run), "read": _round(total.read), "runs": total.runs, "tries": total.tries}
            for total in totals
        ],
        "nearest_to_limits": {"crowd": _round(result.most_concurrency), "memory": _round(result.most_memory)},
        "events": result.events,
        **({} if result.policy is None else {"policy": result.policy.figures()}),
    }


def to_json(data: Any) -> str:
    return json.dumps(data, sort_keys=True, indent=1, ensure_ascii=False) + "\n"


def trace(result: Result) -> Iterator[str]:
    """Yield one line of JSON for each try, in the order of their numbers; calls to the next tier are tries too."""
    for attempt in result.tries:
        request = attempt.request
        yield json.dumps(
            {
                "try": attempt.number,
                "request": request.number,
                "node": attempt.node,
                "router": attempt.router,
                "class": request.class_index,
                "tenant": request.tenant,
                "key": request.idempotency_key,
                "work_ms": _round(request.work),
                "sent_us": attempt.sent_at_us - START_US,
                "door_us": attempt.arrived_at_us - START_US,
                "due_us": attempt.due_at_us - START_US if attempt.due_at_us >= 0 else None,
                "verdict": attempt.verdict,
                "life": [[at - START_US, what] for at, what in attempt.log],
            },
            sort_keys=True,
        )


def _percent(value: float | None) -> str:
    return "-" if value is None else f"{100 * value:.1f}%"


def render(data: dict[str, Any], console: Console) -> None:
    """Print the tables of one day."""
    service, broken_count = data["service"], sum(data["rules"].values())
    console.print(
        f"[bold]{data['title']}[/bold]  seed {data['seed']}, {data['seconds']:g} s, {data['nodes']} nodes, "
        f"{data['acervo']} acervo, {data['routers']} routers, {data['requests']} requests "
        f"({data['requests'] / data['seconds']:.0f}/s, cores can do {data['capacity_rps']:.0f}/s)"
    )
    if broken_count:
        console.print(
            f"[bold red]rules broken: {broken_count}[/bold red] "
            + ", ".join(f"{k} {v}" for k, v in data["rules"].items() if v)
            + "; no service figure"
        )
        for lines in data["breaches"]:
            console.print("\n".join(lines), markup=False, highlight=False)
    else:
        console.print(
            f"service [bold]{service['figure']:.4f}[/bold]: whole {_percent(service['whole'])}, worst 10 s "
            f"{_percent(service['worst_window'])} (from {service['worst_window_at_s']:g} s), worst class "
            f"{_percent(service['worst_class'])}, worst museum {_percent(service['worst_museum'])}, "
            f"waste {_percent(service['waste'])}, failing only late {_percent(service['late_fails'])}"
        )
        console.print(f"rules kept: {data['answers_checked']} answers checked")
    table = Table("class", "asked", "in time", "served", "worth", "p50 ms", "p90 ms", "p99 ms")
    for row in data["classes"]:
        answered_ms = row["answered_ms"]
        table.add_row(
            row["name"],
            str(row["asked"]),
            str(row["in_time"]),
            str(row["served"]),
            _percent(row["share"]),
            *(f"{answered_ms[q]:.0f}" if q in answered_ms else "-" for q in ("p50", "p90", "p99")),
        )
    _print_right_aligned(table, console)
    table = Table("museum", "asked inside its share", "in time", "worth")
    for row in data["museums"]:
        table.add_row(row["name"], str(row["asked_inside"]), str(row["in_time"]), _percent(row["share"]))
    _print_right_aligned(table, console)
    outcomes = sorted({outcome for row in data["windows"] for outcome in row["not_served"]})
    table = Table("from s", "asked", "tries", "in time", "late", *outcomes, "worth")
    for row in data["windows"]:
        table.add_row(
            str(row["from_s"]),
            str(row["asked"]),
            str(row["tries"]),
            str(row["in_time"]),
            str(row["late"]),
            *(str(row["not_served"].get(outcome, 0)) for outcome in outcomes),
            _percent(row["share"]),
        )
    _print_right_aligned(table, console)
    distribution = ", ".join(
        f"{n}{'+' if int(n) == MAX_TRIES_SHOWN else ''}: {count}" for n, count in data["tries"]["of_requests"].items()
    )
    console.print(f"tries a request: mean {data['tries']['mean']:.3f} ({distribution})")
    console.print("outcomes: " + ", ".join(f"{k} {v}" for k, v in data["outcomes"].items()))
    if duplicates := data["keyed_again"]:
        console.print(
            "keyed requests sent again after they were served: " + ", ".join(f"{k} {v}" for k, v in duplicates.items())
        )
    peaks = data["nearest_to_limits"]
    console.print(f"nearest to the limits: concurrency {_percent(peaks['crowd'])}, memory {_percent(peaks['memory'])}")
    if policy := data.get("policy"):
        for row in policy["changes"]:
            console.print(
                f"change {row['change']} proposed at {row['node']}: {row['outcome']}"
                + (
                    f", epoch {row['epoch']}, decided after {row['decided_ms']:g} ms, nobody serves an older one after "
                    f"{row['everywhere_ms']} ms"
                    if row["epoch"]
                    else ""
                ),
                markup=False,
                highlight=False,
            )
        for line in policy["broken"]:
            console.print(f"  policy: {line}", markup=False, highlight=False)
    for row in data["happened"]:
        console.print(f"  {row['at_s']:7.2f} s  {row['what']}", markup=False, highlight=False)


def _print_right_aligned(table: Table, console: Console) -> None:
    for column in table.columns[1:]:
        column.justify = "right"
    console.print(table)


def summary(rows: Sequence[dict[str, Any]]) -> dict[str, Any]:
    """Combine the data of several seeds of one scenario: the score's mean and deviation, and the seeds that broke a
    rule."""
    scores = [row["service"]["figure"] for row in rows if row["service"]["figure"] is not None]
    mean = sum(scores) / len(scores) if scores else None
    deviation = 0.0
    if mean is not None and len(scores) > 1:
        deviation = (sum((score - mean) ** 2 for score in scores) / (len(scores) - 1)) ** 0.5
    return {
        "version": VERSION,
        "title": rows[0]["title"],
        "seeds": [row["seed"] for row in rows],
        "mean": None if mean is None else _round(mean),
        "deviation": _round(deviation),
        "least": min(scores, default=None),
        "most": max(scores, default=None),
        "broken": [row["seed"] for row in rows if sum(row["rules"].values())],
        "days": list(rows),
    }


def render_summary(data: dict[str, Any], console: Console) -> None:
    """Print the table of several seeds."""
    console.print(f"[bold]{data['title']}[/bold]  {len(data['seeds'])} seeds")
    table = Table("seed", "service", "whole", "worst 10 s", "worst class", "worst museum", "tries", "rules")
    for row in data["days"]:
        service, broken = row["service"], {k: v for k, v in row["rules"].items() if v}
        table.add_row(
            str(row["seed"]),
            "-" if service["figure"] is None else f"{service['figure']:.4f}",
            _percent(service["whole"]),
            _percent(service["worst_window"]),
            _percent(service["worst_class"]),
            _percent(service["worst_museum"]),
            f"{row['tries']['mean']:.2f}",
            ", ".join(f"{k} {v}" for k, v in broken.items()) or "kept",
        )
    _print_right_aligned(table, console)
    if data["mean"] is not None:
        console.print(
            f"service {data['mean']:.4f} in the mean, deviation {data['deviation']:.4f}, "
            f"{data['least']:.4f} to {data['most']:.4f}"
        )
    for row in data["days"]:
        for lines in row["breaches"][:3]:
            console.print(f"seed {row['seed']}: " + "\n".join(lines), markup=False, highlight=False)
