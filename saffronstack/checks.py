"""Checks of a settings object: impossible values raise ValueError naming the field. No decision."""

from __future__ import annotations

import math
from collections.abc import Iterable

from saffronstack.interface import Effect, Group, Settings


def _not_negative(where: str, values: Iterable[tuple[str, float]]) -> None:
    for name, value in values:
        if not math.isfinite(value) or value < 0:
            raise ValueError(f"{where}{name} must be a finite number of at least 0, not {value!r}")


def check_settings(settings: Settings) -> None:
    """Raise ValueError, naming the field, where a value is impossible."""
    if not settings.classes:
        raise ValueError("classes must name at least one class")
    if settings.instances < 1:
        raise ValueError(f"instances must be at least 1, not {settings.instances!r}")
    if not settings.self_index >= 0:
        raise ValueError(f"self_index must be at least 0, not {settings.self_index!r}")
    for place, cls in enumerate(settings.classes):
        where = f"classes[{place}]."
        if not isinstance(cls.effect, Effect):
            raise ValueError(f"{where}effect must be an Effect, not {cls.effect!r}")
        if not isinstance(cls.group, Group):
            raise ValueError(f"{where}group must be a Group, not {cls.group!r}")
        fields = ("aim_s", "deadline_s", "worth", "late_share", "window_s")
        _not_negative(where, [(name, getattr(cls, name)) for name in fields])
        if cls.deadline_s <= 0:
            raise ValueError(f"{where}deadline_s must be above 0, not {cls.deadline_s!r}")
    for place, tenant in enumerate(settings.tenants):
        _not_negative(f"tenants[{place}].", [("share", tenant.share), ("quota_rps", tenant.quota_rps)])
    _not_negative(
        "",
        [
            ("keep_alive_s", settings.keep_alive_s),
            ("order_timeout_s", settings.order_timeout_s),
            ("over_share_worth", settings.over_share_worth),
            *((f"memory_mb_by_kind[{n}]", mb) for n, mb in enumerate(settings.memory_mb_by_kind)),
        ],
    )
    rules = settings.rules
    names = (
        "answer_slack_s",
        "drain_grace_s",
        "cold_share",
        "cold_s",
        "tip_multiple",
        "tip_after_s",
        "ask_within_s",
        "load_free",
        "load_part",
        "load_span_s",
    )
    _not_negative("rules.", [(name, getattr(rules, name)) for name in names])
    allow = settings.allow
    _not_negative(
        "allow.",
        [(n, getattr(allow, n)) for n in ("max_attempts", "max_retry_advice_s", "connect_timeout_s")],
    )
    prices = settings.prices
    _not_negative(
        "prices.",
        [
            (n, getattr(prices, n))
            for n in ("cross_zone", "late_fail", "origin", "probe", "waste", "idle_memory")
        ],
    )
