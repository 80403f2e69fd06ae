"""A failed schedule made short, for whoever has to find the cause."""

from __future__ import annotations

from collections.abc import Callable
from typing import TypeVar

Event = TypeVar("Event")


def shorten(events: list[Event], fails: Callable[[list[Event]], bool]) -> list[Event]:
    """A schedule that still fails and from which no event can be left out: delta debugging by halves, then by ones."""
    size = max(1, len(events) // 2)
    while size:
        at = 0
        while at < len(events):
            fewer = events[:at] + events[at + size :]
            if fails(fewer):
                events = fewer
            else:
                at += size
        size //= 2
    return events
