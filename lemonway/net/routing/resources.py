"""Decodes and validates the resources of the control group, one at a time, as parts of a node's settings.

A class is an entry of ``lanes``, a tenant an entry of ``tenants``, and a limit is one value under ``ceilings``,
``rules`` or ``familyInfo``, named by its dotted path. A route is stored but has no effect on the settings. Voters
validate proposals with the same code, so that every node can read what was decided."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Annotated, Any, Literal

import msgspec
from msgspec import Meta

from ...control.resources import Operation, Put
from ...epochs.change import MACHINE_KEYS
from ...interface import Effect, RequestClass, Settings, Tenant
from ...settings import flatten, read_settings

LIMIT_PREFIXES = ("ceilings.", "rules.", "familyInfo.")
CLASS_LIST_KEYS = ("familyInfo.classCalls", "familyInfo.classSkipWorth")  # one item a class: part of class resources

Positive = Annotated[float, Meta(gt=0, le=1e12)]
Number = Annotated[float, Meta(ge=0, le=1e12)]


class ClassValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename="camel"):
    """The value of a class: an entry of ``lanes``, and its items of the lists in ``familyInfo``."""

    aim: Positive
    deadline: Positive
    name: str = ""
    aim_stretch: Number = 0.0
    effect: Literal["safe", "keyed", "unsafe"] | None = None  # None: as in the class of this name in the node's file
    worth: Number = 1.0
    late_value: Number = 0.0
    memory_span: Number | None = None  # None: as in the class of this name in the node's file
    calls: bool | None = None  # None: as in the class of this name in the node's file
    skip_worth: Number | None = None


class TenantValue(msgspec.Struct, frozen=True, forbid_unknown_fields=True, kw_only=True, rename="camel"):
    """The value of a tenant: an entry of ``tenants``."""

    name: str = ""
    quota_rps: Number = 0.0
    share: Number = 0.0


class RouteValue(msgspec.Struct, frozen=True, kw_only=True, rename={"class_": "class"}):
    """The value of a route, whose name is its path; unknown keys are accepted."""

    class_: str = ""


class InvalidResource(ValueError):
    """A resource that no node can apply; the message gives its name and the reason."""


_class_decoder: msgspec.json.Decoder[ClassValue] = msgspec.json.Decoder(ClassValue)
_tenant_decoder: msgspec.json.Decoder[TenantValue] = msgspec.json.Decoder(TenantValue)
_route_decoder: msgspec.json.Decoder[RouteValue] = msgspec.json.Decoder(RouteValue)


class _RecordedNames(dict[str, str]):
    """An empty mapping that records which names were looked up."""

    def __init__(self) -> None:
        super().__init__()
        self.requested: set[str] = set()

    def get(self, name: str, default: Any = None) -> Any:
        self.requested.add(name)
        return default


def _limit_names() -> frozenset[str]:
    """Returns the names of all settings that a limit resource may set."""
    recorded = _RecordedNames()
    read_settings(recorded)
    machine_names = {f"familyInfo.{key}" for key in MACHINE_KEYS}
    return frozenset(
        name
        for name in recorded.requested
        if name.startswith(LIMIT_PREFIXES) and name not in machine_names and name not in CLASS_LIST_KEYS
    )


LIMIT_NAMES = _limit_names()


def _decode_value(decoder: msgspec.json.Decoder[Any], operation: Put) -> Any:
    try:
        value = decoder.decode(operation.value)
    except msgspec.DecodeError as error:
        raise InvalidResource(f"{operation.kind} {operation.name}: {error}") from None
    if getattr(value, "name", "") not in ("", operation.name):
        raise InvalidResource(
            f"{operation.kind} {operation.name}: name: {value.name!r} differs from the name of the resource"
        )
    return value


def read_class(operation: Put, file_class: RequestClass | None = None) -> RequestClass:
    """Returns the class that a resource describes. ``file_class``: the class of this name in the node's file. Raises
    ``InvalidResource``."""
    value: ClassValue = _decode_value(_class_decoder, operation)
    base = file_class if file_class is not None else RequestClass()
    return RequestClass(
        operation.name,
        value.aim,
        value.aim_stretch,
        value.deadline,
        Effect(value.effect) if value.effect is not None else base.effect,
        value.worth,
        value.late_value,
        value.memory_span if value.memory_span is not None else base.idempotency_window_ms,
        value.calls if value.calls is not None else base.makes_calls,
        value.skip_worth if value.skip_worth is not None else base.skipped_call_value,
    )


def _check_proposed_class(operation: Put) -> None:
    """Raises ``InvalidResource`` for a class that no node can apply, or that does not state what its callers are
    promised. Nodes read a class without an effect, as older voters accepted it, by their own files."""
    value: ClassValue = _decode_value(_class_decoder, operation)
    if value.effect is None:
        raise InvalidResource(f"class {operation.name}: effect: missing")
    if value.effect == Effect.KEYED.value and value.memory_span is None:
        raise InvalidResource(f"class {operation.name}: memorySpan: missing in a keyed class")


def read_tenant(operation: Put) -> Tenant:
    """Returns the tenant that a resource describes. Raises ``InvalidResource``."""
    value: TenantValue = _decode_value(_tenant_decoder, operation)
    return Tenant(operation.name, value.quota_rps, value.share)


def read_limit(operation: Put) -> str:
    """Returns a limit's value as the string that ``read_settings`` expects. Raises ``InvalidResource``."""
    name = operation.name
    if name not in LIMIT_NAMES:
        key = name.removeprefix("familyInfo.")
        reason = (
            "is each machine's own; leave it to the node's file" if key in MACHINE_KEYS else "is no setting of a fleet"
        )
        raise InvalidResource(f"limit {name}: {reason}")
    try:
        value = msgspec.json.decode(operation.value)
    except msgspec.DecodeError as error:
        raise InvalidResource(f"limit {name}: {error}") from None
    if not isinstance(value, bool | int | float | str):
        raise InvalidResource(f"limit {name}: expected a number, a string, true or false")
    limit_values = flatten({name: value})
    try:
        read_settings(limit_values)
    except (ValueError, OverflowError) as error:
        raise InvalidResource(f"limit {name}: {error}") from None
    return limit_values[name]


def check_resource(operation: Operation) -> None:
    """Raises ``InvalidResource`` for a resource that no node can apply."""
    if not isinstance(operation, Put):
        return
    if operation.kind == "class":
        _check_proposed_class(operation)
    elif operation.kind == "tenant":
        read_tenant(operation)
    elif operation.kind == "limit":
        read_limit(operation)
    else:
        _decode_value(_route_decoder, operation)


def invalid_reason(operations: Iterable[Operation]) -> str:
    """Returns why no node could apply these operations, or an empty string."""
    try:
        for operation in operations:
            check_resource(operation)
    except InvalidResource as error:
        return str(error)
    return ""


def flatten_file(raw_settings: dict[str, Any]) -> dict[str, str]:
    """Returns the settings of a node's file by dotted path, without its classes and tenants."""
    remaining = {key: value for key, value in raw_settings.items() if key not in ("lanes", "tenants")}
    family_info = remaining.get("familyInfo")
    if isinstance(family_info, dict):
        remaining["familyInfo"] = {
            key: value for key, value in family_info.items() if f"familyInfo.{key}" not in CLASS_LIST_KEYS
        }
    return flatten(remaining)


def build_settings(values: dict[str, str], classes: list[RequestClass]) -> Settings:
    """Builds settings with these classes and no tenants. Raises ``ValueError``."""
    settings = read_settings(values)
    settings.request_classes = classes
    settings.__post_init__()  # validates the classes
    return settings
