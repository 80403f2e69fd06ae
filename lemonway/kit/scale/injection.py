"""Injects a single fault into the messages that one node receives, as a faulty relay or connection would. Sans-I/O."""

from __future__ import annotations

from collections.abc import Sequence

import msgspec

from ...control.messages import Delta, FromPublisher
from ...control.versions import Version
from .plan import Injection


def with_wrong_digest(version: Version) -> Version:
    """Return the version with a digest that does not match its contents."""
    return msgspec.structs.replace(version, digest=bytes(byte ^ 0xFF for byte in version.digest))


class Injector:
    """Filters the messages to a node; applies the armed fault to the next version."""

    def __init__(self) -> None:
        self.armed: Injection | None = None
        self.injected_count = 0

    def arm(self, injection: Injection) -> None:
        self.armed = injection

    def __call__(self, message: FromPublisher) -> Sequence[FromPublisher]:
        """Return the messages delivered in place of ``message``."""
        if self.armed is None or not isinstance(message, Delta):
            return (message,)
        injection, self.armed = self.armed, None
        self.injected_count += 1
        if injection is Injection.BAD:
            return (Delta(with_wrong_digest(message.version)),)
        if injection is Injection.DOUBLED:
            return (message, message)
        return ()  # dropped: the next version then arrives without its predecessor
