"""Who is on the list of nodes, as the announce service keeps it and as each router sees it, late. It must not know what
the nodes on it do, nor why a router asks."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..virtual import Loop, Uniform

LAPSE = 3_000_000  # microseconds after the last report when an entry is struck off (PROTOCOL, the announce service)
LOOK = 250_000  # between looks for entries that lapse


@dataclass
class Entry:
    listed: bool = False
    reported: int = 0
    version: int = 0  # counts the changes of ``listed``


class AnnounceService:
    """Entries by name. A report puts a name on the list or takes it off; silence takes it off after a while. While the
    service is down it hears nothing and lets nothing lapse."""

    def __init__(self, loop: Loop, names: list[str]) -> None:
        self.loop = loop
        self.entries = {name: Entry() for name in names}
        self.views: list[View] = []
        self.up = True
        self.changes = 0
        loop.after(LOOK, self._look)

    def seed(self, name: str) -> None:
        """The day begins with this node on every list."""
        self.entries[name].listed, self.entries[name].reported = True, self.loop.now
        for view in self.views:
            view.names[name] = True
            view.changed()

    def report(self, name: str, accepting: bool) -> None:
        if not self.up:
            return
        entry = self.entries[name]
        entry.reported = self.loop.now
        if entry.listed is not accepting:
            self.set(name, accepting)

    def set(self, name: str, listed: bool) -> None:
        """Put a name on the list or take it off; each view sees it after its lag."""
        entry = self.entries[name]
        entry.listed = listed
        entry.version += 1
        self.changes += 1
        for view in self.views:
            self.loop.after(view.lag(), view.see, name, listed, entry.version)

    def _look(self) -> None:
        self.loop.after(LOOK, self._look)
        if self.up:
            edge = self.loop.now - LAPSE
            for name, entry in self.entries.items():
                if entry.listed and entry.reported < edge:
                    self.set(name, False)


class View:
    """The list as one router has it: the names in a fixed order, each change seen after a lag of its own."""

    def __init__(self, service: AnnounceService, uniform: Uniform, lag: tuple[float, float]) -> None:
        self._uniform, self._lag = uniform, lag
        self.names = {name: False for name in service.entries}
        self._versions = dict.fromkeys(service.entries, 0)
        self._listed: tuple[str, ...] | None = None
        self.on_change: Callable[[], None] = lambda: None
        service.views.append(self)

    def lag(self) -> int:
        return int(self._uniform.between(*self._lag) * 1_000_000)

    def see(self, name: str, listed: bool, version: int) -> None:
        if version > self._versions[name]:  # an older change may come after a newer one
            self._versions[name] = version
            self.names[name] = listed
            self.changed()

    def changed(self) -> None:
        self._listed = None
        self.on_change()

    @property
    def listed(self) -> tuple[str, ...]:
        if self._listed is None:
            self._listed = tuple(name for name, listed in self.names.items() if listed)
        return self._listed
