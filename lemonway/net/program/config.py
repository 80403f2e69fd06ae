"""Reads and checks the configuration file and environment. An error names the key at fault, in one line."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from ...interface import Effect, Settings
from ...settings import flatten, read_settings
from .completeness import missing_keys

EFFECT_NAMES = tuple(effect.value for effect in Effect)


class ConfigError(Exception):
    """An invalid value; the message names its key."""


@dataclass(frozen=True)
class Address:
    host: str
    port: int


@dataclass(frozen=True)
class Config:
    """The configuration of a node as the platform gives it."""

    name: str
    listen: Address
    pool: Address
    announce: Address | None
    backend: Address | None
    seed: int
    stop_ms: float
    sockets: int
    memory_mb: float
    settings: Settings
    admin: Address | None = None  # HTTP address for readiness, metrics and drain (DAYS); None: no such port
    inherited_fd: int | None = None  # a listening socket owned by the platform, used instead of binding a port
    # The settings as in the file; a change of the fleet's policy is a patch on them.
    raw_settings: dict[str, Any] = field(default_factory=dict)
    raw_file: dict[str, Any] = field(default_factory=dict)  # the whole file, against which a reloaded one is checked


def parse_address(key: str, value: Any) -> Address:
    """Parse ``HOST:PORT``. Raises ``ConfigError``."""
    host, colon, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not colon or not host or not port.isascii() or not port.isdigit() or int(port) > 65535:
        raise ConfigError(f"{key}: {value!r} is not HOST:PORT")
    return Address(host, int(port))


def read_json(source: str, path: str) -> Any:
    """Parse the JSON file at ``path``; ``source``: the option or variable that names the file, for error messages.
    Raises ``ConfigError``."""
    try:
        with open(path, encoding="utf-8") as file:
            return json.load(file)
    except OSError as error:
        raise ConfigError(f"{source}: {path}: {error.strerror}") from None
    except ValueError as error:
        raise ConfigError(f"{source}: {path}: not JSON: {error}") from None


def _required(raw: dict[str, Any], key: str, path: str = "") -> Any:
    """The value of a key that has no default: one in its place could differ from what the platform holds the node to.
    ``path``: the name of the key in error messages, if it is nested. Raises ``ConfigError``."""
    if key not in raw:
        raise ConfigError(f"{path or key}: missing")
    return raw[key]


def _number(key: str, value: Any, minimum: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value < float("inf"):
        raise ConfigError(f"{key}: {value!r} is not a number of {minimum:g} or more")
    return float(value)


def _check_class(path: str, raw_class: Any) -> None:
    """Check the values of a class that decide what its callers are promised. They have no defaults, so settings without
    them are rejected as a whole; with a default, a class that must not run twice would turn into one that may. Raises
    ``ConfigError``."""
    if not isinstance(raw_class, dict) or not isinstance(raw_class.get("name"), str) or not raw_class["name"]:
        raise ConfigError(f"{path}.name: missing or not a word")
    for key in ("aim", "deadline"):
        if _number(f"{path}.{key}", raw_class.get(key), 0) <= 0:
            raise ConfigError(f"{path}.{key}: {raw_class[key]!r} is not a number above 0")
    if "effect" not in raw_class:
        raise ConfigError(f"{path}.effect: missing")
    effect = raw_class["effect"]
    if effect not in EFFECT_NAMES:
        raise ConfigError(f"{path}.effect: {effect!r} is none of {', '.join(EFFECT_NAMES)}")
    if effect != Effect.KEYED.value:
        return  # its window has no meaning
    if "memorySpan" not in raw_class:
        raise ConfigError(f"{path}.memorySpan: missing in a keyed class")
    _number(f"{path}.memorySpan", raw_class["memorySpan"], 0)


def read_checked_settings(raw: dict[str, Any]) -> Settings:
    """Read settings from their JSON and check what the node requires of them. Raises ``ConfigError``."""
    try:
        settings = read_settings(flatten(raw))
    except ValueError as error:  # its message names the path of the key
        raise ConfigError(str(error)) from None
    except OverflowError as error:
        raise ConfigError(f"settings: {error}") from None
    raw_classes = raw.get("lanes")
    if not isinstance(raw_classes, list) or not raw_classes:
        raise ConfigError("settings: lanes: missing or not a list of classes")
    for n, raw_class in enumerate(raw_classes):
        _check_class(f"settings: lanes.{n}", raw_class)
    if len({each.name for each in settings.request_classes}) < len(settings.request_classes):
        raise ConfigError("settings: lanes: two classes have the same name")
    return settings


def read_config(raw: Any, environ: Mapping[str, str]) -> Config:
    """Build the configuration from its JSON; name and addresses in the environment take precedence. Raises
    ``ConfigError``."""
    if not isinstance(raw, dict):
        raise ConfigError("EDGE_CONFIG: not a JSON object")
    name = environ.get("EDGE_NAME") or raw.get("name")
    if not isinstance(name, str) or not name or any(c.isspace() for c in name):
        raise ConfigError(f"name: {name!r} is not a word")
    pool = parse_address("pool", _required(raw, "pool"))
    seed = raw.get("seed", "0")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed: {seed!r} is not hexadecimal") from None
    limits = _required(raw, "limits")
    if not isinstance(limits, dict):
        raise ConfigError("limits: not an object")
    if not isinstance(raw.get("settings"), dict):
        raise ConfigError("settings: missing" if "settings" not in raw else "settings: not an object")
    listen = parse_address("listen", environ.get("EDGE_LISTEN") or raw.get("listen"))
    settings = read_checked_settings(raw["settings"])
    return Config(
        name=name,
        listen=listen,
        pool=pool,
        announce=parse_address("announce", raw["announce"]) if raw.get("announce") else None,
        backend=parse_address("catalog", raw["catalog"]) if raw.get("catalog") else None,
        seed=number,
        stop_ms=_number("stop_ms", _required(raw, "stop_ms"), 0),
        sockets=int(_number("limits.sockets", _required(limits, "sockets", "limits.sockets"), 64)),
        memory_mb=_number("limits.memory_mb", _required(limits, "memory_mb", "limits.memory_mb"), 16),
        settings=settings,
        raw_settings=raw["settings"],
        raw_file=raw,
        admin=parse_address("admin", admin) if (admin := environ.get("EDGE_ADMIN") or raw.get("admin")) else None,
        inherited_fd=_descriptor(environ.get("EDGE_INHERITED_FD")),
    )


def check_complete(in_force: Config, raw: Any) -> None:
    """Check that the JSON of a reloaded file has every key of the file in force. Raises ``ConfigError``."""
    for path in missing_keys(in_force.raw_file, raw):
        raise ConfigError(f"{path}: missing, which the file in force has")


def _descriptor(value: str | None) -> int | None:
    if not value:
        return None
    if not value.isascii() or not value.isdigit() or int(value) < 3:
        raise ConfigError(f"EDGE_INHERITED_FD: {value!r} is not a descriptor number of 3 or more")
    return int(value)


def load_config(environ: Mapping[str, str], in_force: Config | None = None) -> Config:
    """Read the file that ``EDGE_CONFIG`` names. ``in_force``: at a reload, the configuration of which the file must
    have every key. Raises ``ConfigError``."""
    path = environ.get("EDGE_CONFIG")
    if not path:
        raise ConfigError("EDGE_CONFIG: not set")
    raw = read_json("EDGE_CONFIG", path)
    try:
        if in_force is not None:
            check_complete(in_force, raw)
        return read_config(raw, environ)
    except ConfigError as error:  # add the file's path to the message
        raise ConfigError(f"EDGE_CONFIG: {path}: {error}") from None
