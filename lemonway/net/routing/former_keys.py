"""Request classes that were keyed and are not any more.

A keyed request runs at most once within its idempotency window, counted from the arrival of the try that ran. New
settings may make its class ``safe`` or ``unsafe`` meanwhile (SIGHUP, a change of the fleet's policy, a version of the
control group). Tries of requests from before then still arrive, with the same idempotency key, until the old window
is over. This module tells for how long a class owes them what it promised as a keyed class. It does no I/O."""

from __future__ import annotations

from dataclasses import dataclass, replace

from ...interface import Effect, RequestClass, Settings
from ..transport.clock import Clock


@dataclass(frozen=True)
class OwedWindow:
    """The longest idempotency window that tries from before a change of settings are owed."""

    window_ms: float
    ends_at_us: int  # monotonic clock: a try that arrives later repeats no request from before the change


class FormerKeyedClasses:
    """The windows that classes owe from settings that are not in force any more, by class index."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._owed: dict[int, OwedWindow] = {}

    def settings_replaced(self, old: Settings) -> None:
        """Record what the keyed classes of ``old`` owe. Class indexes stay the same for the life of the process
        (``settings.merge_settings``)."""
        now_us = self._clock.now_us
        for index, request_class in enumerate(old.request_classes):
            if request_class.effect is not Effect.KEYED:
                continue
            window_ms = request_class.idempotency_window_ms
            ends_at_us = now_us + int((window_ms + old.tick_ms) * 1000)
            owed = self._owed.get(index)
            if owed is not None and owed.ends_at_us >= now_us:  # a longer window of still older settings
                window_ms, ends_at_us = max(window_ms, owed.window_ms), max(ends_at_us, owed.ends_at_us)
            self._owed[index] = OwedWindow(window_ms, ends_at_us)

    def owed_window_ms(self, class_index: int, arrived_at_us: int) -> float | None:
        """The window owed to a try of this class that has an idempotency key; None if its class owes it none."""
        owed = self._owed.get(class_index)
        if owed is None or arrived_at_us > owed.ends_at_us:
            return None
        return owed.window_ms


def as_keyed(request_class: RequestClass, window_ms: float) -> RequestClass:
    """``request_class`` for a try whose request is keyed although its class is not, with a window of at least
    ``window_ms``. Its other values are the class's present ones."""
    window_ms = max(window_ms, request_class.idempotency_window_ms)
    return replace(request_class, effect=Effect.KEYED, idempotency_window_ms=window_ms)
