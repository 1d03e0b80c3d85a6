"""The settings object of the bench and of the platform, and what load reports call their values.

Both hand a front end the same object, with the same names and units. No decision is made here.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable, Mapping
from typing import Any, TypeVar

from saffronstack import interface as api

REPORT_FIELDS = {
    "rif": "in_hand",
    "q": "waiting",
    "busy": "busy",
    "lat_ms": "latency_s",
    "rate": "rate",
    "fail_rate": "fail_rate",
    "x0": "bound_memory_share",
    "x1": "loads",
}
T = TypeVar("T")


class SettingsError(ValueError):
    """The settings can't be used; the text names the part."""


def report(values: Iterable[tuple[str, float]]) -> api.Report:
    """A load report from its named values; names that are not known are skipped."""
    told: dict[str, float] = {}
    for name, value in values:
        field = REPORT_FIELDS.get(name)
        if field is not None:
            told[field] = value / 1000 if name == "lat_ms" else value
    return api.Report(**told)


def _enum(kind: Callable[[Any], T], value: object, name: str) -> T:
    try:
        return kind(value)
    except ValueError as error:
        raise SettingsError(f"settings: {name} has the unknown value {value!r}") from error


def _section(source: Mapping[str, Any], name: str) -> Mapping[str, Any]:
    value = source.get(name)
    return value if isinstance(value, dict) else {}


def parse_settings(text: str) -> tuple[api.Settings, tuple[str, ...]]:
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


def _settings(raw: Mapping[str, Any]) -> tuple[api.Settings, tuple[str, ...]]:
    family, permit, rules = (_section(raw, n) for n in ("FamilyInfo", "Permissions", "Rules"))
    prices, load_info = _section(raw, "Prices"), _section(raw, "LoadInfo")
    classes = tuple(
        api.ClassSettings(
            name=str(c.get("Name", "")),
            effect=_enum(api.Effect, c.get("Idempotency", "unsafe"), "Idempotency"),
            aim_s=float(c.get("PromiseS", c.get("DeadlineS", 0))),
            deadline_s=float(c.get("DeadlineS", 0)),
            worth=float(c.get("Worth", 1)),
            late_share=float(c.get("LateShare", 0)),
            group=_enum(api.Group, c.get("DedupScope", "all"), "DedupScope"),
            window_s=float(c.get("WindowS", 0)),
            stream=bool(c.get("Stream", False)),
        )
        for c in raw.get("RequestClasses") or ()
    )
    tenants = tuple(
        api.TenantSettings(str(t.get("Name", "")), float(t.get("Share", 0)), float(t.get("QuotaRps", 0)))
        for t in raw.get("Tenants") or ()
    )
    settings = api.Settings(
        classes=classes,
        instances=int(raw.get("Instances", 1)),
        self_index=int(raw.get("SelfIndex", 0)),
        zone=int(raw.get("Zone", 0)),
        tenants=tenants,
        over_share_worth=float(raw.get("OverShareWorth", 1)),
        memory_mb_by_kind=tuple(float(mb) for mb in family.get("MemoryMbByKind") or ()),
        keep_alive_s=float(family.get("IdleLifeS", 0)),
        miss_mode=_enum(api.MissMode, family.get("MissMode", "load"), "MissMode"),
        order_timeout_s=float(family.get("OrderTimeoutS", 0)),
        tells_warm=bool(family.get("SaysWarm", False)),
        tells_crowd=bool(family.get("NotesPeersInHand", False)),
        report_via=_enum(api.ReportVia, load_info.get("Via", "none"), "Via"),
        must_subscribe=raw.get("Discovery") == "subscribe",
        rules=api.RuleSettings(
            answer_slack_s=float(rules.get("AnswerSlackS", 0)),
            drain_grace_s=float(rules.get("DrainGraceS", 0)),
            cold_share=float(rules.get("ColdShare", 1)),
            cold_s=float(rules.get("ColdS", 0)),
            tip_multiple=float(rules.get("TipMultiple", 0)),
            tip_after_s=float(rules.get("TipAfterS", 0)),
            ask_within_s=float(rules.get("AskWithinS", 0)),
            load_free=float(family.get("LoadFree", 0)),
            load_part=float(family.get("LoadPart", 0)),
            load_span_s=float(family.get("LoadSpanS", 0)),
        ),
        allow=api.AllowSettings(
            max_attempts=int(permit.get("MaxAttempts", 0)),
            second_copies=bool(permit.get("MayDuplicate", False)),
            cancel=bool(permit.get("Cancelling", False)),
            probes=bool(permit.get("Probing", False)),
            orders=bool(family.get("MayLoad", False)),
            retry_advice=bool(permit.get("RetryAfter", False)),
            max_retry_advice_s=float(permit.get("MaxRetryAfterS", 0)),
            connect_timeout_s=float(permit.get("ConnectTimeoutS", 0)),
        ),
        prices=api.PriceSettings(
            cross_zone=float(prices.get("CrossZone", 0)),
            late_fail=float(prices.get("LateFail", 0)),
            origin=float(prices.get("Origin", 0)),
            probe=float(prices.get("Probe", 0)),
            waste=float(prices.get("Waste", 0)),
            idle_memory=float(family.get("PriceOfIdle", 0)),
        ),
    )
    return settings, tuple(str(name) for name in load_info.get("Fields") or ())
