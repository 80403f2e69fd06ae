"""Minimises the event schedule of a failed run, to make the cause easier to find."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Event = TypeVar("Event")


def shorten(events: list[Event], fails: Callable[[list[Event]], bool]) -> list[Event]:
    """Return a schedule that still fails and from which no single event can be removed.

    This is delta debugging: chunks of half the schedule are removed first, then smaller ones down to single events."""
    chunk_size = max(1, len(events) // 2)
    while chunk_size:
        start = 0
        while start < len(events):
            candidate = events[:start] + events[start + chunk_size :]
            if fails(candidate):
                events = candidate
            else:
                start += chunk_size
        chunk_size //= 2
    return events
