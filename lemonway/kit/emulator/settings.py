"""Writes settings in the format of a node's configuration file: the inverse of ``lemonway.settings.read_settings``."""

from __future__ import annotations

from typing import Any

from ...interface import Settings


def settings_json(settings: Settings) -> dict[str, Any]:
    """Return nested JSON that ``read_settings(flatten(...))`` reads back to equal settings."""
    return {
        "lanes": [
            {
                "name": request_class.name,
                "aim": request_class.target_latency_ms,
                "aimStretch": request_class.target_work_factor,
                "deadline": request_class.deadline_ms,
                "effect": request_class.effect.value,
                "worth": request_class.value,
                "lateValue": request_class.late_value,
                "memorySpan": request_class.idempotency_window_ms,
            }
            for request_class in settings.request_classes
        ],
        "tenants": [
            {"name": tenant.name, "quotaRps": tenant.quota_rps, "share": tenant.share} for tenant in settings.tenants
        ],
        "familyInfo": {
            "cores": settings.cores,
            "memoryKb": settings.memory_kb,
            "runFactor": settings.run_memory_factor,
            "kbPerKey": settings.kb_per_key,
            "freshStart": settings.fresh_start,
            "halt": settings.suspension_mode.value,
            "say": settings.feedback_mode.value,
            "heeded": settings.feedback_ttl_ms,
            "tellsGone": settings.reports_abandoned,
            "shareFor": settings.result_sharing_ms,
            "deepChecks": settings.deep_checks,
            "callerIdle": settings.caller_idle_ms,
            "upstreams": settings.caller_count,
            "meters": list(settings.gauge_names),
            "below": settings.backend_mode,
            "depShare": settings.max_mean_calls,
            "depWindow": settings.call_window_ms,
            "staysFor": settings.call_linger_ms,
            "classCalls": [request_class.makes_calls for request_class in settings.request_classes],
            "classSkipWorth": [request_class.skipped_call_value for request_class in settings.request_classes],
        },
        "rules": {
            "cold": settings.warmup_ms,
            "coldFrom": settings.cold_capacity_share,
            "fallMultiple": settings.max_concurrency_per_core,
            "overloadFor": settings.overload_window_ms,
            "graceToAnswer": settings.answer_grace_ms,
            "stopSendingWithin": settings.drain_grace_ms,
        },
        "ceilings": {"retryAfter": settings.retry_after, "maxRetryAfter": settings.max_retry_after_ms},
        "clients": {"marksRetry": settings.marks_retries},
        "tier": settings.tier,
        "fleetSize": settings.fleet_size,
        "worthBy": "work" if settings.value_by_work else "request",
        "overShareWorth": settings.over_quota_value_factor,
        "objectiveMix": {
            "whole": settings.weight_whole,
            "worstWindow": settings.weight_window,
            "worstClass": settings.weight_class,
            "worstTenant": settings.weight_tenant,
        },
        "tick": settings.tick_ms,
    }
