"""Slow start of calls to a backend tier that may be cold, for a fleet whose processes don't communicate. Uses no clock
or socket; times are whole microseconds, passed in by the caller.

A server that has just started survives a limited number of calls in a window, whichever processes send them. Each
process of the fleet takes its share of that budget and sends a Poisson stream (seeded draws). The sum of the streams is
then a Poisson stream too, for any number of processes: they don't synchronize, and only random variation remains
(docs/design/fleet-ramp.md). The tier is assumed to be cold when this process starts, after a series of calls that all
failed, and after a time without calls as long as a server takes to warm up. The budget then grows with the time in
which calls succeed; at the warm budget calls are no longer paced."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import sqrt

WARM_FAILURE_LIMIT = 16  # consecutive failed calls after which a warm tier is assumed to be cold
WARMING_FAILURE_LIMIT = 2  # the same while it is warming up: a server may have restarted
MAX_PACE_HALVINGS = 5  # how often failed calls may halve the budget of a cold tier
# Calls per window in a process's own share from which its first call may go at once: the first calls of all processes
# are then at most an eighth of the budget.
IMMEDIATE_FIRST_CALL_BUDGET = 8.0
MAX_GAP_FACTOR = 6.0  # longest drawn gap between calls, in mean gaps


@dataclass(frozen=True)
class ColdTier:
    """The load that the backend tier survives. ``cold_calls`` and ``warm_calls``: calls of the whole fleet per
    ``window_us``; ``warming_us``: time within which a server has certainly warmed up; ``process_count``: how many
    processes send calls."""

    cold_calls: float
    warm_calls: float
    window_us: int
    warming_us: int
    process_count: int


def planned_share(budget: float) -> float:
    """The share of a budget that is used as the mean rate, so that random variation stays within the budget plus twice
    its square root plus 2."""
    return max(0.5, 1.0 - 2.0 / sqrt(budget)) if budget > 0 else 0.5


class State(Enum):
    COLD = "cold"  # no call has succeeded since the tier was assumed to be cold
    WARMING = "warming"
    WARM = "warm"  # calls are not paced


class Event(Enum):
    GOOD = "good"
    BAD = "bad"  # declined, failed, lost its connection, refused or timed out
    BAD_RUN = "bad run"  # the last consecutive failure that the state allows
    QUIET = "quiet"  # no call was sent by this process for as long as a server takes to warm up
    GROWN = "grown"  # calls have succeeded for long enough, and none waits


TRANSITIONS: dict[State, dict[Event, State]] = {
    State.COLD: {
        Event.GOOD: State.WARMING,
        Event.BAD: State.COLD,
        Event.BAD_RUN: State.COLD,
        Event.QUIET: State.COLD,
        Event.GROWN: State.COLD,
    },
    State.WARMING: {
        Event.GOOD: State.WARMING,
        Event.BAD: State.WARMING,
        Event.BAD_RUN: State.COLD,
        Event.QUIET: State.COLD,
        Event.GROWN: State.WARM,
    },
    State.WARM: {
        Event.GOOD: State.WARM,
        Event.BAD: State.WARM,
        Event.BAD_RUN: State.COLD,
        Event.QUIET: State.COLD,
        Event.GROWN: State.WARM,
    },
}


class Ramp:
    """Paces the calls of one process. ``paced`` is a plain field because the warm path reads it on each call."""

    def __init__(self, tier: ColdTier, draw_exponential: Callable[[], float], now_us: int) -> None:
        """``draw_exponential`` returns exponentially distributed numbers of mean 1, seeded for this process alone."""
        self.tier, self.draw_exponential = tier, draw_exponential
        self.state, self.paced = State.COLD, True
        self.successful_call_us = 0  # while warming: time in which calls succeeded, between one result and the next
        self.halving_count = 0
        self.consecutive_failures = 0
        self.last_sent_at_us = self.last_result_at_us = now_us
        self.next_send_at_us = now_us if self._first_calls_fit() else now_us + self._draw_gap_us()

    def update_tier(self, tier: ColdTier) -> None:
        """Applies new settings and keeps the state."""
        self.tier = tier

    def _first_calls_fit(self) -> bool:
        return self.tier.cold_calls / self.tier.process_count >= IMMEDIATE_FIRST_CALL_BUDGET

    @property
    def budget(self) -> float:
        """The calls of the whole fleet per window that the tier is assumed to survive now."""
        tier = self.tier
        if self.state is State.COLD:
            return tier.cold_calls / float(1 << self.halving_count)
        # Growth lags by one window, because the calls in a window must fit the budget at the window's beginning.
        grown_us = max(0, self.successful_call_us - tier.window_us)
        return tier.cold_calls + (tier.warm_calls - tier.cold_calls) * min(1.0, grown_us / tier.warming_us)

    def _draw_gap_us(self) -> int:
        budget, tier = self.budget, self.tier
        mean_us = tier.window_us * tier.process_count / (planned_share(budget) * budget)
        return int(mean_us * min(MAX_GAP_FACTOR, self.draw_exponential()))

    def _apply_event(self, event: Event, now_us: int) -> None:
        previous, self.state = self.state, TRANSITIONS[self.state][event]
        if self.state is State.COLD and previous is not State.COLD:
            self.successful_call_us = self.halving_count = 0
            self.next_send_at_us = now_us + self._draw_gap_us()
        self.paced = self.state is not State.WARM

    def next_send_time(self, now_us: int) -> int:
        """The time from which the next call may be sent, which may be in the past."""
        if now_us - self.last_sent_at_us > self.tier.warming_us:
            self.last_sent_at_us = now_us
            self._apply_event(Event.QUIET, now_us)
            if self._first_calls_fit():
                self.next_send_at_us = now_us
        return self.next_send_at_us if self.paced else now_us

    def on_call_sent(self, now_us: int, waiting: int) -> None:
        """Records that a call was sent while ``waiting`` more wait. Pacing ends only when none waits: otherwise the
        calls that wait in all processes would be sent at the same time."""
        self.last_sent_at_us = now_us
        if self.paced:
            if not waiting and self.successful_call_us >= self.tier.warming_us + self.tier.window_us:
                self._apply_event(Event.GROWN, now_us)
            self.next_send_at_us = now_us + self._draw_gap_us()

    def on_call_ended(self, now_us: int, succeeded: bool) -> None:
        """Records the result of a call."""
        if succeeded:
            self.consecutive_failures = self.halving_count = 0
            if self.state is State.WARMING:
                # A long time between two results counts for at most a quarter of the warming time.
                self.successful_call_us += min(now_us - self.last_result_at_us, self.tier.warming_us // 4)
            self.last_result_at_us = now_us
            self._apply_event(Event.GOOD, now_us)
            return
        self.consecutive_failures += 1
        self.last_result_at_us = now_us  # the time before a failed call does not count as successful
        if self.state is State.COLD:
            if self.halving_count < MAX_PACE_HALVINGS:
                self.halving_count += 1
            self.next_send_at_us = max(self.next_send_at_us, now_us + self._draw_gap_us())
        failure_limit = WARM_FAILURE_LIMIT if self.state is State.WARM else WARMING_FAILURE_LIMIT
        self._apply_event(Event.BAD_RUN if self.consecutive_failures % failure_limit == 0 else Event.BAD, now_us)
