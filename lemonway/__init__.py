"""Admission control and scheduling for servers behind load balancers that they do not control."""

from .admission_policy import Policy
from .interface import Settings

__all__ = ["Policy", "Settings"]
