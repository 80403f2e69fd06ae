"""Reads ``deploy/node.json``: the node's own settings, beside what the platform tells it. The published schema is
``deploy/schema/node.schema.json``; the few checks are made here, since the node's run-time takes no library for
them."""

from __future__ import annotations

import json
import logging
from dataclasses import dataclass
from typing import Any

from .config import ConfigError
from .logs import FORMS

LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING, "error": logging.ERROR}


@dataclass(frozen=True)
class Own:
    log_form: str = "logfmt"
    log_level: int = logging.INFO


def _table(path: str, key: str, value: Any, known: set[str]) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ConfigError(f"--settings: {path}: {key or 'the file'}: not an object")
    for name in value:
        if name not in known:
            raise ConfigError(f"--settings: {path}: {f'{key}.' if key else ''}{name}: no such key")
    return value


def load_own(path: str) -> Own:
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except OSError as error:
        raise ConfigError(f"--settings: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"--settings: {path}: not JSON: {error}") from None
    top = _table(path, "", raw, {"$schema", "log"})
    log = _table(path, "log", top.get("log", {}), {"form", "level"})
    form, level = log.get("form", "logfmt"), log.get("level", "info")
    if form not in FORMS:
        raise ConfigError(f"--settings: {path}: log.form: {form!r} is none of {', '.join(FORMS)}")
    if level not in LEVELS:
        raise ConfigError(f"--settings: {path}: log.level: {level!r} is none of {', '.join(LEVELS)}")
    return Own(form, LEVELS[level])
