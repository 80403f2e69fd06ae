"""The list of nodes: as the announce service maintains it, and as each router sees it after a delay. It depends neither
on what the nodes do nor on how routers use it."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..virtual import Loop, Uniform

ENTRY_TTL_US = 3_000_000  # after the last report, until an entry is removed (PROTOCOL, the announce service)
EXPIRY_CHECK_US = 250_000  # between searches for expired entries


@dataclass
class Entry:
    listed: bool = False
    reported_at: int = 0
    version: int = 0  # counts the changes of ``listed``


class AnnounceService:
    """Entries by name. A report adds a name to the list or removes it; a name without reports expires. While the
    service is down it receives no reports and expires nothing."""

    def __init__(self, loop: Loop, names: list[str]) -> None:
        self.loop = loop
        self.entries = {name: Entry() for name in names}
        self.views: list[View] = []
        self.up = True
        self.changes = 0
        loop.after(EXPIRY_CHECK_US, self._expire_entries)

    def seed(self, name: str) -> None:
        """Puts a node on every list without delay, for the start of a run."""
        self.entries[name].listed, self.entries[name].reported_at = True, self.loop.now
        for view in self.views:
            view.names[name] = True
            view.notify_change()

    def report(self, name: str, accepting: bool) -> None:
        if not self.up:
            return
        entry = self.entries[name]
        entry.reported_at = self.loop.now
        if entry.listed is not accepting:
            self.set(name, accepting)

    def set(self, name: str, listed: bool) -> None:
        """Adds a name to the list or removes it; each view sees the change after its own lag."""
        entry = self.entries[name]
        entry.listed = listed
        entry.version += 1
        self.changes += 1
        for view in self.views:
            self.loop.after(view.lag(), view.apply_change, name, listed, entry.version)

    def _expire_entries(self) -> None:
        self.loop.after(EXPIRY_CHECK_US, self._expire_entries)
        if self.up:
            oldest_valid = self.loop.now - ENTRY_TTL_US
            for name, entry in self.entries.items():
                if entry.listed and entry.reported_at < oldest_valid:
                    self.set(name, False)


class View:
    """The list as one router sees it: names in a fixed order, and each change after a random lag, in seconds from
    ``lag_range_s``."""

    def __init__(self, service: AnnounceService, uniform: Uniform, lag_range_s: tuple[float, float]) -> None:
        self._uniform, self._lag_range_s = uniform, lag_range_s
        self.names = {name: False for name in service.entries}
        self._versions = dict.fromkeys(service.entries, 0)
        self._listed: tuple[str, ...] | None = None
        self.on_change: Callable[[], None] = lambda: None
        service.views.append(self)

    def lag(self) -> int:
        return int(self._uniform.between(*self._lag_range_s) * 1_000_000)

    def apply_change(self, name: str, listed: bool, version: int) -> None:
        if version > self._versions[name]:  # changes may arrive out of order
            self._versions[name] = version
            self.names[name] = listed
            self.notify_change()

    def notify_change(self) -> None:
        self._listed = None
        self.on_change()

    @property
    def listed(self) -> tuple[str, ...]:
        if self._listed is None:
            self._listed = tuple(name for name, listed in self.names.items() if listed)
        return self._listed
