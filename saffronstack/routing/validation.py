"""Validation of the settings: an invalid value raises an `InvalidSettingsError` that names its field."""

from __future__ import annotations

import math
from collections.abc import Iterable

from saffronstack.routing.errors import InvalidSettingsError
from saffronstack.routing.settings import (
    ClassSettings,
    CostSettings,
    DeduplicationScope,
    Idempotency,
    PermissionSettings,
    RuleSettings,
    Settings,
)


def _require_non_negative(prefix: str, values: Iterable[tuple[str, float]]) -> None:
    for name, value in values:
        if not math.isfinite(value) or value < 0:
            raise InvalidSettingsError(f"{prefix}{name} must be a finite number of at least 0, not {value!r}")


def _validate_class(prefix: str, settings: ClassSettings) -> None:
    if not isinstance(settings.idempotency, Idempotency):
        raise InvalidSettingsError(
            f"{prefix}idempotency must be an Idempotency, not {settings.idempotency!r}"
        )
    if not isinstance(settings.deduplication_scope, DeduplicationScope):
        raise InvalidSettingsError(
            f"{prefix}deduplication_scope must be a DeduplicationScope, not {settings.deduplication_scope!r}"
        )
    _require_non_negative(
        prefix,
        [
            ("latency_objective_s", settings.latency_objective_s),
            ("deadline_s", settings.deadline_s),
            ("priority_weight", settings.priority_weight),
            ("late_value_fraction", settings.late_value_fraction),
            ("deduplication_window_s", settings.deduplication_window_s),
        ],
    )
    if settings.deadline_s <= 0:
        raise InvalidSettingsError(f"{prefix}deadline_s must be above 0, not {settings.deadline_s!r}")


def _validate_rules(rules: RuleSettings) -> None:
    _require_non_negative(
        "rules.",
        [
            ("response_slack_s", rules.response_slack_s),
            ("drain_grace_s", rules.drain_grace_s),
            ("slow_start_min_fraction", rules.slow_start_min_fraction),
            ("slow_start_s", rules.slow_start_s),
            ("overload_multiple", rules.overload_multiple),
            ("overload_window_s", rules.overload_window_s),
            ("discovery_staleness_s", rules.discovery_staleness_s),
            ("load_command_burst", rules.load_command_burst),
            ("load_commands_per_request", rules.load_commands_per_request),
            ("load_command_window_s", rules.load_command_window_s),
        ],
    )


def _validate_permissions(permissions: PermissionSettings) -> None:
    _require_non_negative(
        "permissions.",
        [
            ("max_attempts", permissions.max_attempts),
            ("max_retry_after_s", permissions.max_retry_after_s),
            ("connect_timeout_s", permissions.connect_timeout_s),
        ],
    )


def _validate_costs(costs: CostSettings) -> None:
    _require_non_negative(
        "costs.",
        [
            ("cross_zone", costs.cross_zone),
            ("late_failure", costs.late_failure),
            ("origin_fetch", costs.origin_fetch),
            ("health_check", costs.health_check),
            ("wasted_work", costs.wasted_work),
            ("idle_memory", costs.idle_memory),
        ],
    )


def validate_settings(settings: Settings) -> None:
    """Check that every value of the settings is valid.

    Raises:
        InvalidSettingsError: A value is invalid; the message starts with the path of its field.
    """
    if not settings.classes:
        raise InvalidSettingsError("classes must name at least one class")
    if settings.gateway_count < 1:
        raise InvalidSettingsError(f"gateway_count must be at least 1, not {settings.gateway_count!r}")
    if not settings.gateway_index >= 0:
        raise InvalidSettingsError(f"gateway_index must be at least 0, not {settings.gateway_index!r}")
    for index, class_settings in enumerate(settings.classes):
        _validate_class(f"classes[{index}].", class_settings)
    for index, tenant in enumerate(settings.tenants):
        _require_non_negative(
            f"tenants[{index}].",
            [("quota_fraction", tenant.quota_fraction), ("quota_rps", tenant.quota_rps)],
        )
    _require_non_negative(
        "",
        [
            ("keep_alive_s", settings.keep_alive_s),
            ("load_command_timeout_s", settings.load_command_timeout_s),
            ("over_quota_weight", settings.over_quota_weight),
        ],
    )
    _require_non_negative(
        "memory_mb_by_worker_kind",
        [(f"[{kind}]", memory_mb) for kind, memory_mb in enumerate(settings.memory_mb_by_worker_kind)],
    )
    _validate_rules(settings.rules)
    _validate_permissions(settings.permissions)
    _validate_costs(settings.costs)
