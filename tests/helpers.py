"""Router settings that tests share."""

from __future__ import annotations

from typing import Any

from saffronstack.routing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    PermissionSettings,
    RuleSettings,
    Settings,
)

CLASSES = (
    ClassSettings("safe", Idempotency.IDEMPOTENT, 0.5, 3.0),
    ClassSettings("unsafe", Idempotency.NON_IDEMPOTENT, 0.5, 3.0),
    ClassSettings(
        "keyed-all",
        Idempotency.WITH_KEY,
        0.5,
        3.0,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_s=2.0,
    ),
    ClassSettings(
        "keyed-zone",
        Idempotency.WITH_KEY,
        0.5,
        3.0,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_s=2.0,
    ),
    ClassSettings(
        "keyed-cell",
        Idempotency.WITH_KEY,
        0.5,
        3.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_s=2.0,
    ),
)
SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL = range(5)


def settings(**changes: Any) -> Settings:
    """Return the default test settings with some fields changed."""
    base: dict[str, Any] = {
        "classes": CLASSES,
        "memory_mb_by_worker_kind": (8000.0,),
        "keep_alive_s": 10.0,
        "reports_cache_status": True,
        "permissions": PermissionSettings(max_attempts=6),
        "rules": RuleSettings(response_slack_s=0.01, drain_grace_s=1.0),
    }
    base.update(changes)
    return Settings(**base)
