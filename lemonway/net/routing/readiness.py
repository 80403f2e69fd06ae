"""Readiness: whether this process reports that it accepts work. Uses no clock and no socket.

Five conditions decide it, each set by one owner:

- ``serving``: the worker pool has reported its start, and the admission policy exists since then; set by the core.
- ``policy_healthy``: the admission policy's own health.
- ``operator_drained``: an operator's drain from the admin address.
- ``lease_expired``: this node's lease on the fleet-wide policy has expired, so it does not know the policy in force;
  set by ``governed.py`` if enabled.
- ``terminating``: SIGTERM was received.

``handover`` marks a termination in which a new version of the program takes over the listening socket. The platform
must not treat it as a drain, because the other process serves under the same name: while this process finishes its
requests, it neither reports ``false`` nor fails health checks."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(slots=True)
class Readiness:
    """Call ``refresh`` after changing a field. ``accepts_work`` is a plain field because every health check reads it,
    and a property would add a call to that path."""

    serving: bool = False
    policy_healthy: bool = True
    operator_drained: bool = False
    lease_expired: bool = False
    terminating: bool = False
    handover: bool = False
    accepts_work: bool = False  # reported to health checks, the announce service and ``GET /ready``

    def refresh(self) -> None:
        self.accepts_work = (
            self.serving
            and self.policy_healthy
            and not self.operator_drained
            and not self.lease_expired
            and (not self.terminating or self.handover)
        )

    @property
    def announces(self) -> bool:
        """Whether reports are sent to the announce service. A process that hands over stops reporting, so that the
        service's list of nodes shows the state of the process that takes over."""
        return not (self.terminating and self.handover)

    def begin_drain(self) -> bool:
        """Handle ``POST /drain``. Return whether anything changed."""
        changed, self.operator_drained = not self.operator_drained, True
        self.refresh()
        return changed

    def end_drain(self) -> bool:
        """Handle ``POST /undrain``. Return whether anything changed."""
        changed, self.operator_drained = self.operator_drained, False
        self.refresh()
        return changed
