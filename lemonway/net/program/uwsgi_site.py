"""Reads ``deploy/uwsgi.toml``: the uwsgi listening address, and the classes and tenants of its paths and hosts."""

from __future__ import annotations

import tomllib
from typing import Any

from ...interface import Settings
from ..protocol.uwsgi import MAX_BODY_SETTING_BYTES, Location, Site
from .config import ConfigError, parse_address

KEYS = {"listen", "max_connections", "max_body", "read_timeout_ms", "ram_kb", "default_tenant", "hosts", "location"}
MAX_CONNECTIONS = 384  # leaves the routers' share of the descriptors that a node may hold
LOCATION_KEYS = {"path", "class", "match", "timeout_ms", "content_type"}


def _reject_unknown_keys(where: str, table: dict[str, Any], known: set[str]) -> None:
    for key in table:
        if key not in known:
            raise ConfigError(f"{where}{key}: no such key")


def _bounded(key: str, value: Any, minimum: float, maximum: float) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ConfigError(f"{key}: {value!r} is not a number from {minimum:g} to {maximum:g}")
    return float(value)


def _index_of(key: str, names: list[str], value: Any) -> int:
    if value not in names:
        raise ConfigError(f"{key}: {value!r} is none of {', '.join(names)}")
    return names.index(value)


def read_site(raw: dict[str, Any], settings: Settings) -> Site:
    """Build the site from the parsed file. Raises ``ConfigError``."""
    _reject_unknown_keys("uwsgi.", raw, KEYS)
    class_names, tenant_names = (
        [request_class.name for request_class in settings.request_classes],
        [tenant.name for tenant in settings.tenants],
    )
    listen = parse_address("uwsgi.listen", raw.get("listen"))
    rows = raw.get("location", [])
    if not isinstance(rows, list) or not rows:
        raise ConfigError("uwsgi.location: none given")
    locations: list[Location] = []
    for n, row in enumerate(rows):
        prefix = f"uwsgi.location.{n}."
        if not isinstance(row, dict):
            raise ConfigError(f"{prefix[:-1]}: not a table")
        _reject_unknown_keys(prefix, row, LOCATION_KEYS)
        path, match, kind = row.get("path"), row.get("match", "prefix"), row.get("content_type")
        if not isinstance(path, str) or not path.startswith("/"):
            raise ConfigError(f"{prefix}path: {path!r} does not start with /")
        if match not in ("prefix", "exact"):
            raise ConfigError(f"{prefix}match: {match!r} is neither prefix nor exact")
        if (path, match) in [(each.path, "exact" if each.exact else "prefix") for each in locations]:
            raise ConfigError(f"{prefix}path: {path!r} is listed twice")
        if kind is not None and (not isinstance(kind, str) or not kind.isascii() or not kind.isprintable()):
            raise ConfigError(f"{prefix}content_type: {kind!r} is not a media type")
        locations.append(
            Location(
                path,
                _index_of(prefix + "class", class_names, row.get("class")),
                match == "exact",
                int(_bounded(prefix + "timeout_ms", row.get("timeout_ms", 0), 0, 3_600_000) * 1000),
                kind or Location.content_type,
            )
        )
    hosts = raw.get("hosts", {})
    if not isinstance(hosts, dict):
        raise ConfigError("uwsgi.hosts: not a table")
    default = raw.get("default_tenant")
    if tenant_names:
        named = {str(h).lower(): _index_of(f"uwsgi.hosts.{h}", tenant_names, name) for h, name in hosts.items()}
        fallback = None if default is None else _index_of("uwsgi.default_tenant", tenant_names, default)
    else:  # without tenants any host is accepted
        named, fallback = {}, 0
    return Site(
        listen.host,
        listen.port,
        tuple(locations),
        named,
        fallback,
        int(_bounded("uwsgi.max_connections", raw.get("max_connections", 256), 1, MAX_CONNECTIONS)),
        int(_bounded("uwsgi.max_body", raw.get("max_body", 2048), 0, MAX_BODY_SETTING_BYTES)),
        int(_bounded("uwsgi.read_timeout_ms", raw.get("read_timeout_ms", 5000), 1, 600_000) * 1000),
        _bounded("uwsgi.ram_kb", raw.get("ram_kb", 40), 0.001, 2000),
    )


def load_site(path: str, settings: Settings) -> Site:
    """Read the file of ``--uwsgi``. Raises ``ConfigError``."""
    try:
        with open(path, "rb") as file:
            raw = tomllib.load(file)
    except OSError as error:
        raise ConfigError(f"--uwsgi: {path}: {error.strerror}") from None
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as error:
        raise ConfigError(f"--uwsgi: {path}: not TOML: {error}") from None
    try:
        return read_site(raw, settings)
    except ConfigError as error:
        raise ConfigError(f"--uwsgi: {path}: {error}") from None
