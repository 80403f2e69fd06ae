"""Reads ``deploy/node.json``: settings of the node that are not part of the platform's configuration. The published
schema is ``deploy/schema/node.schema.json``; the checks are written out here, since the node's run time has no
dependency on a schema library."""

from __future__ import annotations

import logging
from dataclasses import dataclass, field
from typing import Any

from ...interface import Settings
from ...limits.ramp import ColdTier
from .config import ConfigError, read_json
from .logs import LOG_FORMATS

MAX_VALUE = 1e9
LOG_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


@dataclass(frozen=True)
class NodeSettings:
    """Log settings, and the load that a cold backend can take (``next_tier``)."""

    log_form: str = "logfmt"
    log_level: int = logging.INFO
    pace: bool = True  # whether calls to a backend that may be cold are rate-limited
    tier: dict[str, float] = field(
        default_factory=dict
    )  # limits by the names in ``TIER_KEYS``; if empty, no calls are rate-limited


TIER_KEYS = {  # by key of the file: the name in ``Own.tier``, the factor to the unit used there, and the minimum value
    "cold_calls": ("cold", 1.0, 0.1),
    "warm_calls": ("warm", 1.0, 0.1),
    "window_ms": ("window", 1000.0, 1.0),
    "warming_ms": ("warming", 1000.0, 1.0),
    "processes": ("processes", 1.0, 1.0),
}


def _checked_object(path: str, key: str, value: Any, known: set[str]) -> dict[str, Any]:
    """Return ``value`` if it is an object with no keys but the known ones."""
    if not isinstance(value, dict):
        raise ConfigError(f"--settings: {path}: {key or 'the file'}: not an object")
    for name in value:
        if name not in known:
            raise ConfigError(f"--settings: {path}: {f'{key}.' if key else ''}{name}: no such key")
    return value


def load_node_settings(path: str) -> NodeSettings:
    """Read the file of ``--settings``. Raises ``ConfigError``."""
    raw = read_json("--settings", path)
    top = _checked_object(path, "", raw, {"$schema", "log", "next_tier"})
    log = _checked_object(path, "log", top.get("log", {}), {"form", "level"})
    form, level = log.get("form", "logfmt"), log.get("level", "info")
    if form not in LOG_FORMATS:
        raise ConfigError(f"--settings: {path}: log.form: {form!r} is none of {', '.join(LOG_FORMATS)}")
    if level not in LOG_LEVELS:
        raise ConfigError(f"--settings: {path}: log.level: {level!r} is none of {', '.join(LOG_LEVELS)}")
    tier = _checked_object(path, "next_tier", top.get("next_tier", {}), {"pace", *TIER_KEYS})
    pace, figures = tier.get("pace", "on"), {}
    if pace not in ("on", "off"):
        raise ConfigError(f"--settings: {path}: next_tier.pace: {pace!r} is none of on, off")
    for key, (name, factor, minimum) in TIER_KEYS.items():
        if key not in tier:
            continue
        value = tier[key]
        if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= MAX_VALUE:
            raise ConfigError(
                f"--settings: {path}: next_tier.{key}: {value!r} is not a number from {minimum:g} to {MAX_VALUE:g}"
            )
        figures[name] = value * factor
    for key in ("cold_calls", "warm_calls", "window_ms", "warming_ms"):
        if figures and key not in tier:
            raise ConfigError(f"--settings: {path}: next_tier.{key}: missing")
    if figures and figures["warm"] < figures["cold"]:
        raise ConfigError(f"--settings: {path}: next_tier.warm_calls: {tier['warm_calls']!r} is under cold_calls")
    return NodeSettings(form, LOG_LEVELS[level], pace == "on", figures)


def cold_tier(own: NodeSettings, settings: Settings) -> ColdTier | None:
    """The load that a cold backend can take; None if the node settings don't give it or pacing is off. The platform's
    configuration has no such figures: it doesn't say how much work a call is (docs/design/fleet-ramp.md)."""
    figures = own.tier
    if not (own.pace and figures):
        return None
    return ColdTier(
        figures["cold"],
        figures["warm"],
        int(figures["window"]),
        int(figures["warming"]),
        int(figures.get("processes", max(1, settings.fleet_size))),
    )
