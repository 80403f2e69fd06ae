"""The content of a policy change: a merge patch (RFC 7396) on the ``settings`` of each node's own file.

A change sets what the whole fleet shares (classes, deadlines, shares) and leaves machine-specific settings alone. A
later change replaces the previous one: patches don't accumulate."""

from __future__ import annotations

import json
from typing import Any

# Keys of ``familyInfo`` that differ by machine, which no change may set: all machines would get the value of one.
MACHINE_KEYS = ("cores", "memoryKb", "runFactor", "kbPerKey", "freshStart", "meters", "below", "upstreams")


def apply_merge_patch(own: Any, patch: Any) -> Any:
    """Returns ``own`` with ``patch`` applied (RFC 7396): objects merge, null removes, other values replace."""
    if not isinstance(patch, dict):
        return patch
    result = dict(own) if isinstance(own, dict) else {}
    for key, value in patch.items():
        if value is None:
            result.pop(key, None)
        else:
            result[key] = apply_merge_patch(result.get(key), value)
    return result


def parse_change(data: bytes) -> dict[str, Any]:
    """Parses a change as stored in the log. Raises ``ValueError`` for content that a change may not have."""
    try:
        patch = json.loads(data)
    except ValueError as error:
        raise ValueError(f"not JSON: {error}") from None
    if not isinstance(patch, dict):
        raise ValueError("settings: not an object")
    family = patch.get("familyInfo", {})
    if not isinstance(family, dict):
        raise ValueError("settings: familyInfo: not an object")
    for key in MACHINE_KEYS:
        if key in family:
            raise ValueError(f"settings: familyInfo.{key}: is each machine's own; leave it to the node's file")
    return patch


def differing_paths(own: Any, patch: Any, path: str = "") -> list[str]:
    """Returns the paths of the keys that ``patch`` would change in ``own``."""
    if not isinstance(patch, dict) or not isinstance(own, dict):
        return [] if own == patch else [path or "settings"]
    paths: list[str] = []
    for key, value in patch.items():
        key_path = f"{path}.{key}" if path else str(key)
        paths += (
            differing_paths(own.get(key), value, key_path) if value is not None else [key_path] if key in own else []
        )
    return paths
