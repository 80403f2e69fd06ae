"""Counts over cells in which the newest weigh most. It must not know what is counted."""

from __future__ import annotations

SCALED = 1e6  # weight of the newest, in that of the first, from which all are scaled down


class Recent:
    """``forget``: the share of its weight that each count loses with each newer one. In place of that, the newest is
    given more: a count costs the same with few cells and with many."""

    def __init__(self, cells: int, forget: float) -> None:
        self._cells = [0.0] * cells
        self._all, self._newest, self._keep = 0.0, 1.0, 1.0 - forget

    def __len__(self) -> int:
        return len(self._cells)

    def add(self, cell: int) -> None:
        self._newest /= self._keep
        if self._newest > SCALED:
            self._cells = [weight / self._newest for weight in self._cells]
            self._all, self._newest = sum(self._cells), 1.0
        self._cells[cell] += self._newest
        self._all += self._newest

    def share(self, first: int, last: int) -> float:
        """What these cells have of all, 0 before the first count. Cells outside count as empty."""
        return sum(self._cells[max(0, first) : last + 1]) / self._all if self._all else 0.0
