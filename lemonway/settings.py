"""Reads a server's settings from the simulator's path=value pairs or from the platform's JSON."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import replace
from enum import Enum
from typing import Any

from . import interface as api
from .interface import RequestClass, Settings, Tenant


class _PathValues:
    """Typed access to text values by path. A missing or empty value gives the default."""

    def __init__(self, values: Mapping[str, str]) -> None:
        self.values = values

    def number(self, path: str, default: float) -> float:
        raw = self.values.get(path, "")
        try:
            return float(raw) if raw else default
        except ValueError:
            raise ValueError(f"settings: {path} is {raw!r}, must be a number") from None

    def flag(self, path: str, default: bool) -> bool:
        raw = self.values.get(path, "")
        if raw not in ("", "true", "false"):
            raise ValueError(f"settings: {path} is {raw!r}, must be true or false")
        return raw == "true" if raw else default

    def text(self, path: str, default: str) -> str:
        return self.values.get(path) or default

    def choice(self, path: str, enum_type: Any, default: Any) -> Any:
        raw = self.values.get(path, "")
        try:
            return enum_type(raw) if raw else default
        except ValueError:
            raise ValueError(f"settings: {path} is {raw!r}, which is not a known value") from None

    def comma_list(self, path: str) -> list[str]:
        raw = self.values.get(path, "")
        return raw.split(",") if raw else []

    def list_length(self, path: str) -> int:
        count = self.number(f"{path}.count", 0)
        if count < 0 or count != int(count):
            raise ValueError(f"settings: {path}.count is {count:g}, must be a whole number, 0 or more")
        return int(count)


# Per process, including dropped classes: each takes an entry in every per-class table.
MAX_REQUEST_CLASSES = 64


def merge_settings(old: Settings, new: Settings) -> tuple[Settings, list[int]]:
    """``new`` with each class and tenant of ``old`` at its old index and added ones behind them, so that requests in
    flight keep their class index. A dropped class keeps its index and values for its open requests. Returns the
    settings and the indices of the active classes. Raises ``ValueError`` above ``MAX_REQUEST_CLASSES``."""
    new_classes = {each.name: each for each in new.request_classes}
    request_classes = [new_classes.get(each.name, each) for each in old.request_classes]
    old_class_names = {each.name for each in old.request_classes}
    request_classes += [each for each in new.request_classes if each.name not in old_class_names]
    if len(request_classes) > MAX_REQUEST_CLASSES:
        raise ValueError(
            f"settings: lanes: {len(request_classes)} classes in this process's life, {MAX_REQUEST_CLASSES} at most"
        )
    new_tenants = {tenant.name: tenant for tenant in new.tenants}
    tenants = [new_tenants.get(tenant.name, tenant) for tenant in old.tenants]
    old_tenant_names = {tenant.name for tenant in old.tenants}
    tenants += [tenant for tenant in new.tenants if tenant.name not in old_tenant_names]
    active = [index for index, each in enumerate(request_classes) if each.name in new_classes]
    return replace(new, request_classes=request_classes, tenants=tenants), active


# The settings of a class that decide what its callers are promised, by their key in the configuration.
_PROMISE_KEYS = {"effect": "effect", "memorySpan": "idempotency_window_ms", "deadline": "deadline_ms"}


def describe_class_changes(old: Settings, new: Settings) -> list[str]:
    """One line for each class whose effect, idempotency window or deadline differs between ``old`` and ``new``. Both
    have each class at the same index, as ``merge_settings`` arranges them; added classes are left out."""
    descriptions: list[str] = []
    for old_class, new_class in zip(old.request_classes, new.request_classes, strict=False):
        changes = [
            f"{key} from {_as_text(old_value)} to {_as_text(new_value)}"
            for key, attribute in _PROMISE_KEYS.items()
            if (old_value := getattr(old_class, attribute)) != (new_value := getattr(new_class, attribute))
        ]
        if changes:
            descriptions.append(f"{new_class.name}: {', '.join(changes)}")
    return descriptions


def flatten(json_value: Any, path: str = "") -> dict[str, str]:
    """Converts nested JSON to text values by path, as the simulator writes them: a list of objects becomes ``.count``
    and the elements ``.0``, ``.1`` and so on; a list of plain values is joined by commas."""
    if isinstance(json_value, dict):
        nested: dict[str, str] = {}
        for key, inner in json_value.items():
            nested |= flatten(inner, f"{path}.{key}" if path else str(key))
        return nested
    if isinstance(json_value, list) and any(isinstance(item, dict) for item in json_value):
        elements = {f"{path}.count": str(len(json_value))}
        for index, item in enumerate(json_value):
            elements |= flatten(item, f"{path}.{index}")
        return elements
    if isinstance(json_value, list):
        return {path: ",".join(_as_text(item) for item in json_value)}
    return {path: _as_text(json_value)}


def _as_text(json_value: Any) -> str:
    if isinstance(json_value, bool):
        return "true" if json_value else "false"
    if isinstance(json_value, Enum):
        return str(json_value.value)
    return "" if json_value is None else str(json_value)


def read_settings(values: Mapping[str, str]) -> Settings:
    """Builds the settings from text values by path. Unknown paths are ignored."""
    path_values = _PathValues(values)
    defaults, request_classes = Settings(), []
    makes_calls, skipped_call_values = (
        path_values.comma_list("familyInfo.classCalls"),
        path_values.comma_list("familyInfo.classSkipWorth"),
    )
    count = path_values.list_length("lanes")
    for name, column in (("classCalls", makes_calls), ("classSkipWorth", skipped_call_values)):
        if column and len(column) != count:
            raise ValueError(f"settings: familyInfo.{name} has {len(column)} values for {count} lanes")
    for index in range(count):
        prefix, class_defaults = f"lanes.{index}.", RequestClass()
        request_classes.append(
            RequestClass(
                name=path_values.text(prefix + "name", ""),
                target_latency_ms=path_values.number(prefix + "aim", class_defaults.target_latency_ms),
                target_work_factor=path_values.number(prefix + "aimStretch", 0.0),
                deadline_ms=path_values.number(prefix + "deadline", class_defaults.deadline_ms),
                effect=path_values.choice(prefix + "effect", api.Effect, class_defaults.effect),
                value=path_values.number(prefix + "worth", class_defaults.value),
                late_value=path_values.number(prefix + "lateValue", 0.0),
                idempotency_window_ms=path_values.number(prefix + "memorySpan", 0.0),
                makes_calls=bool(makes_calls) and makes_calls[index] == "true",
                skipped_call_value=float(skipped_call_values[index]) if skipped_call_values else 0.0,
            )
        )
    tenants = [
        Tenant(
            path_values.text(f"tenants.{index}.name", ""),
            path_values.number(f"tenants.{index}.quotaRps", 0.0),
            path_values.number(f"tenants.{index}.share", 0.0),
        )
        for index in range(path_values.list_length("tenants"))
    ]
    family, rules, objective_mix = "familyInfo.", "rules.", "objectiveMix."
    return Settings(
        request_classes=request_classes or defaults.request_classes,
        tenants=tenants,
        cores=int(path_values.number(family + "cores", defaults.cores)),
        memory_kb=path_values.number(family + "memoryKb", defaults.memory_kb),
        run_memory_factor=path_values.number(family + "runFactor", defaults.run_memory_factor),
        kb_per_key=path_values.number(family + "kbPerKey", defaults.kb_per_key),
        fresh_start=path_values.flag(family + "freshStart", defaults.fresh_start),
        suspension_mode=path_values.choice(family + "halt", api.SuspensionMode, defaults.suspension_mode),
        feedback_mode=path_values.choice(family + "say", api.FeedbackMode, defaults.feedback_mode),
        feedback_ttl_ms=path_values.number(family + "heeded", defaults.feedback_ttl_ms),
        retry_after=path_values.flag("ceilings.retryAfter", defaults.retry_after),
        max_retry_after_ms=path_values.number("ceilings.maxRetryAfter", defaults.max_retry_after_ms),
        marks_retries=path_values.flag("clients.marksRetry", defaults.marks_retries),
        reports_abandoned=path_values.flag(family + "tellsGone", defaults.reports_abandoned),
        result_sharing_ms=path_values.number(family + "shareFor", defaults.result_sharing_ms),
        deep_checks=path_values.flag(family + "deepChecks", defaults.deep_checks),
        caller_idle_ms=path_values.number(family + "callerIdle", defaults.caller_idle_ms),
        caller_count=int(path_values.number(family + "upstreams", defaults.caller_count)),
        tier=int(path_values.number("tier", defaults.tier)),
        fleet_size=int(path_values.number("fleetSize", defaults.fleet_size)),
        gauge_names=tuple(path_values.comma_list(family + "meters")),
        backend_mode=path_values.text(family + "below", defaults.backend_mode),
        max_mean_calls=path_values.number(family + "depShare", defaults.max_mean_calls),
        call_window_ms=path_values.number(family + "depWindow", defaults.call_window_ms),
        call_linger_ms=path_values.number(family + "staysFor", defaults.call_linger_ms),
        warmup_ms=path_values.number(rules + "cold", defaults.warmup_ms),
        cold_capacity_share=path_values.number(rules + "coldFrom", defaults.cold_capacity_share),
        max_concurrency_per_core=path_values.number(rules + "fallMultiple", defaults.max_concurrency_per_core),
        overload_window_ms=path_values.number(rules + "overloadFor", defaults.overload_window_ms),
        answer_grace_ms=path_values.number(rules + "graceToAnswer", defaults.answer_grace_ms),
        drain_grace_ms=path_values.number(rules + "stopSendingWithin", defaults.drain_grace_ms),
        value_by_work=path_values.text("worthBy", "request") == "work",
        over_quota_value_factor=path_values.number("overShareWorth", defaults.over_quota_value_factor),
        weight_whole=path_values.number(objective_mix + "whole", defaults.weight_whole),
        weight_window=path_values.number(objective_mix + "worstWindow", defaults.weight_window),
        weight_class=path_values.number(objective_mix + "worstClass", defaults.weight_class),
        weight_tenant=path_values.number(objective_mix + "worstTenant", defaults.weight_tenant),
        tick_ms=path_values.number("tick", defaults.tick_ms),
    )
