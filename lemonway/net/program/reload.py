"""Which parts of the configuration a reload may change while the node runs."""

from __future__ import annotations

from dataclasses import replace

from .config import Config

# Fields (and their keys) that change only at the next start: address and name identify the node, and limits are applied
# once, when it starts. The seed keeps its value too: it differs at each start, and a running node does not read it
# again. Settings apply at once, including added and removed classes (settings.merge_settings).
FIXED_FIELDS = {
    "name": "name",
    "listen": "listen",
    "sockets": "limits.sockets",
    "memory_mb": "limits.memory_mb",
    "admin": "admin",
    "inherited_fd": "EDGE_INHERITED_FD",
}


def merge_reloaded(old: Config, loaded: Config) -> tuple[Config, list[str]]:
    """The configuration in force after a reload, and the keys whose change takes effect only at the next start."""
    unapplied = [key for field, key in FIXED_FIELDS.items() if getattr(old, field) != getattr(loaded, field)]
    unchanged = {field: getattr(old, field) for field in FIXED_FIELDS}
    return replace(loaded, seed=old.seed, **unchanged), unapplied
