"""Spoils what one node receives, once: what a faulty relay or link would send. Pure."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ...control.messages import Delta, FromPublisher
from ...control.versions import Version
from .plan import Injection


def wrong(version: Version) -> Version:
    """The version with a digest that does not agree."""
    return msgspec.structs.replace(version, digest=bytes(byte ^ 0xFF for byte in version.digest))


class Injector:
    """Stands before a node's ``receive``; spoils the next version after ``arm``."""

    def __init__(self) -> None:
        self.armed: Injection | None = None
        self.done = 0

    def arm(self, what: Injection) -> None:
        self.armed = what

    def __call__(self, message: FromPublisher) -> Sequence[FromPublisher]:
        """What the node gets in place of ``message``."""
        if self.armed is None or not isinstance(message, Delta):
            return (message,)
        what, self.armed = self.armed, None
        self.done += 1
        if what is Injection.BAD:
            return (Delta(wrong(message.version)),)
        if what is Injection.DOUBLED:
            return (message, message)
        return ()  # left out: the next one comes out of order
