"""Typed values as JSON for the admin address: field names stand there whatever the form on the wire."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import fields, is_dataclass
from enum import Enum
from typing import Any

import msgspec


def plain(value: Any) -> Any:
    """The value in JSON's own types; bytes in hexadecimal."""
    if isinstance(value, msgspec.Struct):
        return {name: plain(getattr(value, name)) for name in value.__struct_fields__}
    if is_dataclass(value) and not isinstance(value, type):
        return {each.name: plain(getattr(value, each.name)) for each in fields(value)}
    if isinstance(value, Mapping):
        return {str(key): plain(each) for key, each in value.items()}
    if isinstance(value, list | tuple):
        return [plain(each) for each in value]
    if isinstance(value, bytes):
        return value.hex()
    return value.value if isinstance(value, Enum) else value


def to_json(value: Any) -> bytes:
    """A line of JSON."""
    return json.dumps(plain(value)).encode() + b"\n"
