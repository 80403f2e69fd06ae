"""The lease on the current epoch: how long a node may serve without asking again whether a later epoch is decided.

A node stamps its messages with its own clock, and each peer returns the last stamp together with its own state. A stamp
that a peer returned while it had accepted nothing later is a vote: at that time, on this node's clock, the peer had no
part in a later epoch. Votes of a majority that are no older than the lease prove that no majority had accepted a later
epoch at the latest time that all of them cover; so a serving node serves the epoch in force, or one that was in force
less than one lease ago. Clocks of different machines are never compared: they only have to run at about the same
rate."""

from __future__ import annotations

from collections.abc import Mapping

from ..quorum import majority_size
from .register import Groups

NEVER = -(1 << 62)  # us: earlier than any stamp


def majority_stamp(stamps: Mapping[str, int], groups: Groups) -> int:
    """Returns the latest time that the stamps of a majority of each group reach, or ``NEVER``."""
    reached_us: int | None = None
    for group in groups:
        required = majority_size(group)
        reported = sorted((stamps[name] for name in group if name in stamps), reverse=True)
        if len(reported) < required:
            return NEVER
        reached_us = reported[required - 1] if reached_us is None else min(reached_us, reported[required - 1])
    return NEVER if reached_us is None else reached_us
