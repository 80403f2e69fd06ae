"""The lease on the current epoch: how long a node may go on without asking anew whether a later one is decided.

A node stamps what it says with its own clock, and each peer gives the last stamp back with how it stands. A stamp that
a peer gave back while it had accepted nothing later is a vote: at that moment, on this node's clock, the peer had no
part in a later epoch. Votes of a majority no older than the lease prove that no majority had accepted a later epoch
when the youngest stamp that they all cover was made; so a node that serves serves what is in force, or what was less
than one lease ago. No two clocks are compared: they only have to run at about the same rate."""

from __future__ import annotations

from collections.abc import Mapping

from ..quorum import majority_size
from .register import Lists

NEVER = -(1 << 62)


def covered(stamps: Mapping[str, int], lists: Lists) -> int:
    """The latest moment that stamps of a majority of each list reach, or ``NEVER``."""
    least: int | None = None
    for each in lists:
        need = majority_size(each)
        told = sorted((stamps[name] for name in each if name in stamps), reverse=True)
        if len(told) < need:
            return NEVER
        least = told[need - 1] if least is None else min(least, told[need - 1])
    return NEVER if least is None else least
