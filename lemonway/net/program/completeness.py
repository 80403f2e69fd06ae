"""Finds the keys that a reloaded configuration lacks.

Most values have a default, which is meant for a key that a deployment never had. At a reload, a default would silently
take the place of the value in force, so a file that lacks a key of the file in force is rejected as a whole (DAYS, New
settings). No sockets and no clock here.
"""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any

from ...interface import Effect

# A node may do without these; ``null`` or an empty string says so.
OPTIONAL_ADDRESSES = ("announce", "catalog", "admin")
NAMED_LISTS = ("lanes", "tenants")  # lists of the settings whose items are identified by their names


def missing_keys(in_force: Any, loaded: Any, path: str = "") -> Iterator[str]:
    """The dotted paths of the keys that the JSON value ``in_force`` has and ``loaded`` lacks, at any depth of objects.
    ``null`` counts as lacking, except for an optional address. Items of lists are not compared, except for the classes
    and tenants of the settings."""
    if not isinstance(in_force, dict) or not isinstance(loaded, dict):
        return
    for key, old_value in in_force.items():
        key_path = f"{path}.{key}" if path else key
        value = loaded.get(key)
        if value is None and old_value is not None:
            if not (key in loaded and key_path in OPTIONAL_ADDRESSES):
                yield key_path
        elif key_path == "settings":
            yield from missing_settings_keys(old_value, value)
        else:
            yield from missing_keys(old_value, value, key_path)


def missing_settings_keys(in_force: Any, loaded: Any) -> Iterator[str]:
    """As ``missing_keys``, for the settings alone; the paths begin with ``settings: ``."""
    for path in missing_keys(in_force, loaded):
        yield f"settings: {path}"
    for path in missing_item_keys(in_force, loaded):
        yield f"settings: {path}"


def missing_item_keys(in_force: Any, loaded: Any) -> Iterator[str]:
    """The keys that classes and tenants of the settings ``loaded`` lack: those of the item with the same name in
    ``in_force``, or for an added item those that all items in force have."""
    if not isinstance(in_force, dict) or not isinstance(loaded, dict):
        return
    for list_name in NAMED_LISTS:
        old_items = {item.get("name"): item for item in _objects(in_force.get(list_name))}
        common_keys = set.intersection(*map(set, old_items.values())) if old_items else set()
        for index, item in enumerate(_objects(loaded.get(list_name))):
            old_item = old_items.get(item.get("name"))
            for key in common_keys if old_item is None else old_item:
                if item.get(key) is None and not _has_no_meaning(list_name, key, item):
                    yield f"{list_name}.{index}.{key}"


def _objects(items: Any) -> list[dict[str, Any]]:
    return [item for item in items if isinstance(item, dict)] if isinstance(items, list) else []


def _has_no_meaning(list_name: str, key: str, item: dict[str, Any]) -> bool:
    """Whether an item may lack a key of its predecessor: the idempotency window of a class that is not keyed."""
    return list_name == "lanes" and key == "memorySpan" and item.get("effect") != Effect.KEYED.value
