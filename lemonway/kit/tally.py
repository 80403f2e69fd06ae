"""How many answers each request got, and of what kind, for each front."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field


@dataclass
class Tally:
    """A request is named by its front and its number there; what it got is a list of words."""

    asked: dict[tuple[str, int], str] = field(default_factory=dict)
    got: dict[tuple[str, int], list[str]] = field(default_factory=dict)
    gone: set[tuple[str, int]] = field(default_factory=set)  # their callers wait no more: one answer or none

    def ask(self, front: str, number: int, what: str) -> None:
        self.asked[(front, number)] = what
        self.got.setdefault((front, number), [])

    def answer(self, front: str, number: int, word: str) -> None:
        self.got.setdefault((front, number), []).append(word)

    def give_up(self, front: str, number: int) -> None:
        """Its caller said that it waits no more: no answer is owed, and one does no harm."""
        self.gone.add((front, number))

    def waiting(self, front: str | None = None) -> int:
        return sum(not self.got[each] for each in self.asked if front in (None, each[0]) and each not in self.gone)

    def faults(self) -> list[str]:
        """Requests without an answer or with more than one, and answers that nobody asked for."""
        out = []
        for (front, number), words in sorted(self.got.items()):
            if (front, number) not in self.asked:
                out.append(f"{front} {number}: answered but never asked: {', '.join(words)}")
            elif (front, number) in self.gone and len(words) <= 1:
                continue
            elif len(words) != 1:
                what = self.asked[(front, number)]
                out.append(f"{front} {number} ({what}): {len(words)} answers {', '.join(words)}".rstrip())
        return out

    def table(self) -> dict[tuple[str, str], Counter[str]]:
        """By front and class: how many requests got which word."""
        out: dict[tuple[str, str], Counter[str]] = {}
        for (front, number), what in self.asked.items():
            out.setdefault((front, what), Counter()).update(self.got[(front, number)] or ["no answer"])
        return out

    def lines(self) -> list[str]:
        return [
            f"{front:6} {what:14} " + ", ".join(f"{word} {count}" for word, count in sorted(words.items()))
            for (front, what), words in sorted(self.table().items())
        ]
