"""Typed values as JSON for the admin address, with field names even where the wire format is positional."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import msgspec


def plain(value: Any) -> Any:
    """Convert a value to JSON types: structs and dataclasses by field name, enums by value, bytes in hexadecimal."""
    if isinstance(value, msgspec.Struct):
        return {name: plain(getattr(value, name)) for name in value.__struct_fields__}
    if is_dataclass(value) and not isinstance(value, type):
        return {item.name: plain(getattr(value, item.name)) for item in fields(value)}
    if isinstance(value, Mapping):
        return {str(key): plain(item) for key, item in value.items()}
    if isinstance(value, list | tuple):
        return [plain(item) for item in value]
    if isinstance(value, bytes):
        return value.hex()
    return value.value if isinstance(value, Enum) else value


def to_json(value: Any) -> bytes:
    """Encode a value as one line of JSON."""
    return json.dumps(plain(value)).encode() + b"\n"
