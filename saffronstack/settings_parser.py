"""Parses the settings object of the simulator and the platform, and load reports with named values.

The senders define the names and units of both formats.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
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

# Attributes of `LoadReport` by their names in settings and messages.
LOAD_REPORT_FIELDS = {
    "rif": "requests_in_flight",
    "q": "requests_queued",
    "busy": "cpu_utilization",
    "lat_ms": "latency_s",
    "rate": "request_rate",
    "fail_rate": "failure_rate",
    "x0": "memory_in_use_fraction",
    "x1": "loads_in_progress",
}
Value = TypeVar("Value")
Section = Mapping[str, Any]


class SettingsError(ValueError):
    """The settings are invalid; the message names the key."""


@dataclass(frozen=True, slots=True)
class ParsedSettings:
    """A parsed settings object.

    Attributes:
        settings: Settings of the router.
        load_report_fields: Names of a load report's values, in the order in which they are sent.
    """

    settings: Settings
    load_report_fields: tuple[str, ...]


def parse_load_report(values: Iterable[tuple[str, float]]) -> LoadReport:
    """Convert named values to a load report; unknown names are ignored."""
    known: dict[str, float] = {}
    for name, value in values:
        attribute = LOAD_REPORT_FIELDS.get(name)
        if attribute is not None:
            known[attribute] = value / 1000 if name == "lat_ms" else value
    return LoadReport(**known)


def parse_settings(text: str) -> ParsedSettings:
    """Parse a settings object in JSON; unknown keys are ignored.

    Raises:
        SettingsError: The text is not a JSON object, or a value is of the wrong type or unknown.
    """
    try:
        raw = json.loads(text)
    except ValueError as error:
        raise SettingsError(f"settings: not JSON: {error}") from error
    if not isinstance(raw, dict):
        raise SettingsError("settings: not a JSON object")
    try:
        names = _section(raw, "LoadInfo").get("Fields") or ()
        return ParsedSettings(_parse_router_settings(raw), tuple(str(name) for name in names))
    except (TypeError, KeyError, AttributeError) as error:
        raise SettingsError(f"settings: malformed: {error!r}") from error


def _section(raw: Section, name: str) -> Section:
    """Return a section of the settings, or an empty mapping if it is missing."""
    value = raw.get(name)
    return value if isinstance(value, dict) else {}


def _parse_enum(kind: Callable[[Any], Value], value: object, name: str) -> Value:
    try:
        return kind(value)
    except ValueError as error:
        raise SettingsError(f"settings: {name} has the unknown value {value!r}") from error


def _parse_router_settings(raw: Section) -> Settings:
    family = _section(raw, "FamilyInfo")
    load_info = _section(raw, "LoadInfo")
    return Settings(
        classes=tuple(_parse_class(entry) for entry in raw.get("RequestClasses") or ()),
        gateway_count=int(raw.get("Instances", 1)),
        gateway_index=int(raw.get("SelfIndex", 0)),
        zone=int(raw.get("Zone", 0)),
        tenants=tuple(_parse_tenant(entry) for entry in raw.get("Tenants") or ()),
        over_quota_weight=float(raw.get("OverShareWorth", 1)),
        memory_mb_by_worker_kind=tuple(float(mb) for mb in family.get("MemoryMbByKind") or ()),
        keep_alive_s=float(family.get("IdleLifeS", 0)),
        miss_mode=_parse_enum(MissMode, family.get("MissMode", "load"), "MissMode"),
        load_command_timeout_s=float(family.get("OrderTimeoutS", 0)),
        reports_cache_status=bool(family.get("SaysWarm", False)),
        reports_concurrency=bool(family.get("NotesPeersInHand", False)),
        load_report_source=_parse_enum(LoadReportSource, load_info.get("Via", "none"), "Via"),
        must_subscribe=raw.get("Discovery") == "subscribe",
        rules=_parse_rules(_section(raw, "Rules"), family),
        permissions=_parse_permissions(_section(raw, "Permissions"), family),
        costs=_parse_costs(_section(raw, "Prices"), family),
    )


def _parse_class(raw: Section) -> ClassSettings:
    return ClassSettings(
        name=str(raw.get("Name", "")),
        idempotency=_parse_enum(Idempotency, raw.get("Idempotency", "unsafe"), "Idempotency"),
        latency_objective_s=float(raw.get("PromiseS", raw.get("DeadlineS", 0))),
        deadline_s=float(raw.get("DeadlineS", 0)),
        priority_weight=float(raw.get("Worth", 1)),
        late_value_fraction=float(raw.get("LateShare", 0)),
        deduplication_scope=_parse_enum(DeduplicationScope, raw.get("DedupScope", "all"), "DedupScope"),
        deduplication_window_s=float(raw.get("WindowS", 0)),
        is_streaming=bool(raw.get("Stream", False)),
    )


def _parse_tenant(raw: Section) -> TenantSettings:
    return TenantSettings(str(raw.get("Name", "")), float(raw.get("Share", 0)), float(raw.get("QuotaRps", 0)))


def _parse_rules(rules: Section, family: Section) -> RuleSettings:
    return RuleSettings(
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
    )


def _parse_permissions(permissions: Section, family: Section) -> PermissionSettings:
    return PermissionSettings(
        max_attempts=int(permissions.get("MaxAttempts", 0)),
        hedging=bool(permissions.get("MayDuplicate", False)),
        cancellation=bool(permissions.get("Cancelling", False)),
        health_checks=bool(permissions.get("Probing", False)),
        load_commands=bool(family.get("MayLoad", False)),
        retry_after=bool(permissions.get("RetryAfter", False)),
        max_retry_after_s=float(permissions.get("MaxRetryAfterS", 0)),
        connect_timeout_s=float(permissions.get("ConnectTimeoutS", 0)),
    )


def _parse_costs(prices: Section, family: Section) -> CostSettings:
    return CostSettings(
        cross_zone=float(prices.get("CrossZone", 0)),
        late_failure=float(prices.get("LateFail", 0)),
        origin_fetch=float(prices.get("Origin", 0)),
        health_check=float(prices.get("Probe", 0)),
        wasted_work=float(prices.get("Waste", 0)),
        idle_memory=float(family.get("PriceOfIdle", 0)),
    )
