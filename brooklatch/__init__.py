"""Admission and scheduling decisions for servers behind other people's balancers."""

from .interface import Settings
from .logic import Policy

__all__ = ["Policy", "Settings"]
