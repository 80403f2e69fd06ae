"""State machine of the backend call that a run waits for, from the pool's notice to the delivery of the reply.

The pool sends nothing between the reply to a call and the run's next notice, and ``supply`` names the run, not the
call. When the pool link breaks after a reply was sent, nothing on the new link shows whether the reply arrived, and a
resent reply could reach the run's next call. The backend can tell, because it declines a call that no run waits for. If
the request class is safe to repeat, the call is made again. Its reply is sent once all notices up to that point have
been read and none shows that the run went on.
"""

from __future__ import annotations

from enum import Enum


class CallPhase(Enum):
    """State of the call that a run waits for."""

    __hash__ = object.__hash__  # Enum's own hash is a Python call, and the table is read several times per call

    NONE = "none"  # the run waits for no call
    NEEDED = "needed"  # the run waits; the call has not been sent
    AWAITING_REPLY = "awaiting reply"  # the call has been sent
    REPLIED = "replied"  # the reply was sent to the pool; unless the link breaks, the run has it
    UNKNOWN = "unknown"  # the link broke before the reply was acknowledged; the call may not be repeated
    RETRY_NEEDED = "retry needed"  # the link broke before the reply was acknowledged; the call is to be repeated
    RETRY_SENT = "retry sent"  # the repeated call has been sent
    CONFIRMED = "confirmed"  # the repeated call was answered, so a run waited for it; older notices may be unread


class CallEvent(Enum):
    """Event that can change the phase of a call."""

    __hash__ = object.__hash__

    BLOCKED = "blocked"  # notice that the run waits for a call, so it has the replies to all earlier calls
    SENT = "sent"  # the admission policy started the call
    REPLY = "reply"
    NO_REPLY = "no reply"  # the call ended in another way
    NOT_AWAITED = "not awaited"  # the backend declined the call, since no run waits for it
    # The link broke before the reply was acknowledged, and the call may (REPEATABLE) or may not (ONCE) be repeated.
    UNCERTAIN_REPEATABLE = "uncertain, repeatable"
    UNCERTAIN_ONCE = "uncertain, once"
    NOTICES_READ = "notices read"  # every notice that the pool sent before the confirmation has been read
    CANCEL = "cancel"  # the call is cancelled and the run is being stopped
    RUN_ENDED = "run ended"  # the run has ended


# Module-level aliases: in Python 3.11 reading a member through its class costs a call.
NONE, NEEDED, AWAITING_REPLY, REPLIED, UNKNOWN, RETRY_NEEDED, RETRY_SENT, CONFIRMED = CallPhase
BLOCKED, SENT, REPLY, NO_REPLY, NOT_AWAITED, UNCERTAIN_REPEATABLE, UNCERTAIN_ONCE, NOTICES_READ, CANCEL, RUN_ENDED = (
    CallEvent
)


def _row(phase: CallPhase, **transitions: CallPhase) -> dict[CallEvent, CallPhase]:
    """The transitions of one phase, including the end of the run; every other event leaves the phase unchanged."""
    changes = {CallEvent[name]: after for name, after in transitions.items()}
    return dict.fromkeys(CallEvent, phase) | {RUN_ENDED: NONE} | changes


# Callers index the table directly: a helper function would add a Python call to every request that makes a call.
TRANSITIONS: dict[CallPhase, dict[CallEvent, CallPhase]] = {
    NONE: _row(NONE, BLOCKED=NEEDED),
    NEEDED: _row(NEEDED, SENT=AWAITING_REPLY, CANCEL=NONE),
    AWAITING_REPLY: _row(AWAITING_REPLY, REPLY=REPLIED, NO_REPLY=NEEDED, NOT_AWAITED=NEEDED, CANCEL=NONE),
    REPLIED: _row(REPLIED, BLOCKED=NEEDED, UNCERTAIN_REPEATABLE=RETRY_NEEDED, UNCERTAIN_ONCE=UNKNOWN),
    UNKNOWN: _row(UNKNOWN, BLOCKED=NEEDED),
    RETRY_NEEDED: _row(RETRY_NEEDED, BLOCKED=NEEDED, SENT=RETRY_SENT, CANCEL=UNKNOWN),
    RETRY_SENT: _row(
        RETRY_SENT, BLOCKED=NEEDED, REPLY=CONFIRMED, NO_REPLY=RETRY_NEEDED, NOT_AWAITED=NONE, CANCEL=UNKNOWN
    ),
    CONFIRMED: _row(CONFIRMED, BLOCKED=NEEDED, NOTICES_READ=REPLIED, CANCEL=UNKNOWN),
}
SENDABLE = frozenset((NEEDED, RETRY_NEEDED))  # phases in which the call may be sent
SENT_PHASES = frozenset((AWAITING_REPLY, RETRY_SENT))
# Phases in which the run of an answered request is stopped.
WAITING_FOR_REPLY = frozenset((NEEDED, AWAITING_REPLY, RETRY_NEEDED, RETRY_SENT, CONFIRMED))
