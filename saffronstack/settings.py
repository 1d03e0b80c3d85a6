"""The settings object of the bench and of the platform, and what load reports call their values.

Both hand a front end the same object, with the same names and units. No decision is made here.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from saffronstack.routing.events import LoadReport
from saffronstack.routing.settings import (
    ClassSettings,
    CostSettings,
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    MissMode,
    PermissionSettings,
    RuleSettings,
    Settings,
    TenantSettings,
)

REPORT_FIELDS = {
    "rif": "requests_in_flight",
    "q": "requests_queued",
    "busy": "cpu_utilization",
    "lat_ms": "latency_s",
    "rate": "request_rate",
    "fail_rate": "failure_rate",
    "x0": "memory_in_use_fraction",
    "x1": "loads_in_progress",
}
T = TypeVar("T")


class SettingsError(ValueError):
    """The settings can't be used; the text names the part."""


def report(values: Iterable[tuple[str, float]]) -> LoadReport:
    """A load report from its named values; names that are not known are skipped."""
    told: dict[str, float] = {}
    for name, value in values:
        field = REPORT_FIELDS.get(name)
        if field is not None:
            told[field] = value / 1000 if name == "lat_ms" else value
    return LoadReport(**told)


def _enum(kind: Callable[[Any], T], value: object, name: str) -> T:
    try:
        return kind(value)
    except ValueError as error:
        raise SettingsError(f"settings: {name} has the unknown value {value!r}") from error


def _section(source: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = source.get(name)
    return value if isinstance(value, dict) else {}


def parse_settings(text: str) -> tuple[Settings, tuple[str, ...]]:
    """The settings, and what the values of a load report are called. Unknown keys are skipped."""
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise SettingsError("settings: not a JSON object")
    try:
        return _settings(raw)
    except (TypeError, KeyError, AttributeError) as error:
        raise SettingsError(f"settings: malformed: {error!r}") from error


def _settings(raw: Mapping[str, Any]) -> tuple[Settings, tuple[str, ...]]:
    family, permit, rules = (_section(raw, n) for n in ("FamilyInfo", "Permissions", "Rules"))
    prices, load_info = _section(raw, "Prices"), _section(raw, "LoadInfo")
    classes = tuple(
        ClassSettings(
            name=str(c.get("Name", "")),
            idempotency=_enum(Idempotency, c.get("Idempotency", "unsafe"), "Idempotency"),
            latency_objective_s=float(c.get("PromiseS", c.get("DeadlineS", 0))),
            deadline_s=float(c.get("DeadlineS", 0)),
            priority_weight=float(c.get("Worth", 1)),
            late_value_fraction=float(c.get("LateShare", 0)),
            deduplication_scope=_enum(DeduplicationScope, c.get("DedupScope", "all"), "DedupScope"),
            deduplication_window_s=float(c.get("WindowS", 0)),
            is_streaming=bool(c.get("Stream", False)),
        )
        for c in raw.get("RequestClasses") or ()
    )
    tenants = tuple(
        TenantSettings(str(t.get("Name", "")), float(t.get("Share", 0)), float(t.get("QuotaRps", 0)))
        for t in raw.get("Tenants") or ()
    )
    settings = Settings(
        classes=classes,
        gateway_count=int(raw.get("Instances", 1)),
        gateway_index=int(raw.get("SelfIndex", 0)),
        zone=int(raw.get("Zone", 0)),
        tenants=tenants,
        over_quota_weight=float(raw.get("OverShareWorth", 1)),
        memory_mb_by_worker_kind=tuple(float(mb) for mb in family.get("MemoryMbByKind") or ()),
        keep_alive_s=float(family.get("IdleLifeS", 0)),
        miss_mode=_enum(MissMode, family.get("MissMode", "load"), "MissMode"),
        load_command_timeout_s=float(family.get("OrderTimeoutS", 0)),
        reports_cache_status=bool(family.get("SaysWarm", False)),
        reports_concurrency=bool(family.get("NotesPeersInHand", False)),
        load_report_source=_enum(LoadReportSource, load_info.get("Via", "none"), "Via"),
        must_subscribe=raw.get("Discovery") == "subscribe",
        rules=RuleSettings(
            response_slack_s=float(rules.get("AnswerSlackS", 0)),
            drain_grace_s=float(rules.get("DrainGraceS", 0)),
            slow_start_min_fraction=float(rules.get("ColdShare", 1)),
            slow_start_s=float(rules.get("ColdS", 0)),
            overload_multiple=float(rules.get("TipMultiple", 0)),
            overload_window_s=float(rules.get("TipAfterS", 0)),
            discovery_staleness_s=float(rules.get("AskWithinS", 0)),
            load_command_burst=float(family.get("LoadFree", 0)),
            load_commands_per_request=float(family.get("LoadPart", 0)),
            load_command_window_s=float(family.get("LoadSpanS", 0)),
        ),
        permissions=PermissionSettings(
            max_attempts=int(permit.get("MaxAttempts", 0)),
            hedging=bool(permit.get("MayDuplicate", False)),
            cancellation=bool(permit.get("Cancelling", False)),
            health_checks=bool(permit.get("Probing", False)),
            load_commands=bool(family.get("MayLoad", False)),
            retry_after=bool(permit.get("RetryAfter", False)),
            max_retry_after_s=float(permit.get("MaxRetryAfterS", 0)),
            connect_timeout_s=float(permit.get("ConnectTimeoutS", 0)),
        ),
        costs=CostSettings(
            cross_zone=float(prices.get("CrossZone", 0)),
            late_failure=float(prices.get("LateFail", 0)),
            origin_fetch=float(prices.get("Origin", 0)),
            health_check=float(prices.get("Probe", 0)),
            wasted_work=float(prices.get("Waste", 0)),
            idle_memory=float(family.get("PriceOfIdle", 0)),
        ),
    )
    return settings, tuple(str(name) for name in load_info.get("Fields") or ())
