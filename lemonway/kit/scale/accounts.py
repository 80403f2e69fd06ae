"""Resource usage of each process by phase, and the complete records of a run. Sans-I/O."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from .history import AppliedRecords, DecidedVersion, FinalState
from .orders import HollowDone, TrafficDone
from .plan import Phase
from .processes import Usage


@dataclass(frozen=True)
class PhaseUsage:
    """Usage of a process in one phase: share of a core, megabytes at the end of the phase, and kilobytes per second in
    both directions (control processes only)."""

    core_share: float
    memory_mb: float
    kb_s: float


@dataclass(frozen=True)
class ProcessSample:
    """Counters of a process at one time; ``pid`` identifies the process across samples."""

    pid: int
    at: float  # seconds
    usage: Usage
    byte_count: int = 0  # read and written since the start; control processes only


@dataclass
class UsageRecords:
    """Samples at the beginning and end of each phase, by process name."""

    begins: dict[Phase, dict[str, ProcessSample]] = field(default_factory=dict)
    ends: dict[Phase, dict[str, ProcessSample]] = field(default_factory=dict)

    def phase_usage(self, phase: Phase, name: str) -> PhaseUsage | None:
        """Return ``None`` for a process that was replaced or missing between the two samples."""
        begin, end = (samples.get(phase, {}).get(name) for samples in (self.begins, self.ends))
        if begin is None or end is None or begin.pid != end.pid or end.at <= begin.at:
            return None
        seconds = end.at - begin.at
        return PhaseUsage(
            (end.usage.cpu_s - begin.usage.cpu_s) / seconds,
            end.usage.memory_mb,
            (end.byte_count - begin.byte_count) / seconds / 1000,
        )

    def seconds(self, phase: Phase) -> float:
        begins, ends = (list(samples.get(phase, {}).values()) for samples in (self.begins, self.ends))
        return ends[0].at - begins[0].at if begins and ends else 0.0


@dataclass
class RunRecords:
    """Everything that was recorded in a run."""

    accounts: UsageRecords
    applied: AppliedRecords = field(default_factory=AppliedRecords)
    decided: list[DecidedVersion] = field(default_factory=list)
    finals: list[FinalState] = field(default_factory=list)
    hollow: dict[str, HollowDone] = field(default_factory=dict)
    traffic: TrafficDone | None = None
    without_control: list[str] = field(default_factory=list)  # names of the real nodes without control: a baseline
    with_control: list[str] = field(default_factory=list)  # names of the other real nodes
    # By control process, at the end of ``Phase.MEAN``.
    subscriber_counts: Mapping[str, int] = field(default_factory=dict)
    min_serving: dict[Phase, int] = field(default_factory=dict)  # hollow nodes, lowest count in each phase
    max_stopped: dict[Phase, int] = field(default_factory=dict)  # hollow nodes that stopped serving
    events: list[tuple[float, str]] = field(default_factory=list)
    changes: dict[str, int] = field(default_factory=dict)  # proposals by outcome
    not_committed_reasons: dict[str, int] = field(default_factory=dict)  # reasons given by voters
