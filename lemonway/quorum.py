"""Majority quorums: whether enough members of each active group have answered.

Usually one group is active. While the list of nodes changes there are two, and a decision needs a majority of each, so
that neither group decides without the other. Pure functions of names and numbers.

A member that lost its state has lost its votes. An answer therefore counts only if it comes from the newest incarnation
of its member that any member of the quorum knows, and a member that starts without state votes again only after it has
received answers from enough other members (Michael, Ports, Sharma and Szekeres, "Recovering shared objects without
stable storage", DISC 2017). An incarnation is a number that grows with each start of a member."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence

Group = Sequence[str]  # the members' names, each once
Incarnations = Mapping[str, int]  # the newest incarnation known, by member


def majority_size(group: Group) -> int:
    """The smallest number of members such that any two sets of that size share a member."""
    return len(group) // 2 + 1


def recovery_size(group: Group) -> int:
    """How many *other* members must answer a member that lost its state, so that each majority that it was part of has
    another member among them."""
    return len(group) - len(group) // 2


def has_majority(names: Iterable[str], groups: Iterable[Group]) -> bool:
    """Whether ``names`` contain a majority of each of ``groups``."""
    present = set(names)
    return all(len(present.intersection(group)) >= majority_size(group) for group in groups)


def can_recover(names: Iterable[str], groups: Iterable[Group], member: str) -> bool:
    """Whether ``names`` contain, in each of ``groups``, another member of every majority that ``member`` can have been
    part of. A group without ``member`` sets no condition."""
    others = set(names) - {member}
    return all(member not in group or len(others.intersection(group)) >= recovery_size(group) for group in groups)


def has_current_majority(
    answers: Mapping[str, tuple[int, Incarnations]],
    groups: Iterable[Group],
    known: Incarnations,
) -> bool:
    """Whether ``answers`` contain a majority of each of ``groups``, counting only the newest incarnation of a member.

    ``answers``: by member, the incarnation that answered and the incarnations that it knows. ``known``: those that the
    asking member knows. Compares every answer with every other, which suits small groups."""
    reports = [known, *(incarnations for _, incarnations in answers.values())]
    current = [
        member
        for member, (incarnation, _) in answers.items()
        if all(incarnation >= report.get(member, 0) for report in reports)
    ]
    return has_majority(current, groups)
