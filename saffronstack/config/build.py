"""Builds router settings, worker specs, budgets and the function table from a configuration."""

from __future__ import annotations

import fnmatch
import re
from collections import OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass
from threading import Lock

from saffronstack.config.schema import Config, Function, Worker
from saffronstack.engine.calls import FunctionSpec
from saffronstack.engine.identifiers import function_number, worker_number
from saffronstack.engine.localities import LocalityNumbers
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.budgets import Budget
from saffronstack.routing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    LoadReportSource,
    MissMode,
    PermissionSettings,
    RuleSettings,
    Settings,
    TenantSettings,
)

KIB_MICROSECONDS_PER_MB_S = 1024 * 1_000_000
MAX_CACHED_FUNCTIONS = 65536  # names in `Functions`' cache; the oldest are evicted


def build_settings(config: Config) -> Settings:
    """Build the router's settings."""
    return Settings(
        classes=tuple(
            ClassSettings(
                name=call_class.name,
                idempotency=Idempotency(call_class.effect),
                latency_objective_s=call_class.aim_s,
                deadline_s=call_class.deadline_s,
                priority_weight=call_class.worth,
                late_value_fraction=call_class.late_share,
                deduplication_scope=DeduplicationScope(call_class.group),
                deduplication_window_s=call_class.window_s,
            )
            for call_class in config.classes
        ),
        gateway_count=config.instances,
        gateway_index=config.self_index,
        zone=number_localities(config).zones.number_of(config.zone),
        tenants=_tenant_settings(config),
        over_quota_weight=config.over_share_worth,
        memory_mb_by_worker_kind=tuple(kind.memory_mb for kind in config.kinds),
        keep_alive_s=config.keep_alive_s,
        miss_mode=MissMode(config.miss_mode),
        load_command_timeout_s=config.order_timeout_s,
        reports_cache_status=True,
        reports_concurrency=True,
        load_report_source=LoadReportSource.RESPONSES,
        rules=RuleSettings(
            response_slack_s=config.answer_margin_s / 2,
            drain_grace_s=config.rules.drain_grace_s,
            slow_start_min_fraction=config.rules.cold_share,
            slow_start_s=config.rules.cold_s,
            overload_multiple=config.rules.tip_multiple,
            overload_window_s=config.rules.tip_after_s,
            load_command_burst=config.rules.load_free,
            load_commands_per_request=config.rules.load_part,
            load_command_window_s=config.rules.load_span_s,
        ),
        permissions=PermissionSettings(
            max_attempts=config.allow.max_attempts,
            load_commands=config.allow.orders,
            retry_after=True,
            max_retry_after_s=config.allow.max_retry_advice_s,
            connect_timeout_s=config.allow.connect_timeout_s,
        ),
    )


UNLIMITED_QUOTA_RPS = 1e9  # quota in requests a second of tenants without a configured one
OVER_BUDGET_TENANT = "(over budget)"


def _tenant_settings(config: Config) -> tuple[TenantSettings, ...]:
    """Build the router's tenants; with budgets, the last one is a pseudo-tenant for requests over budget.

    The pseudo-tenant has a quota of zero. Requests of a tenant that is over its soft limit are attributed to
    it, so that they have the priority weight of requests over quota.
    """
    has_budgets = any(tenant.budget for tenant in config.tenants)
    if not has_budgets and not any(tenant.quota_rps for tenant in config.tenants):
        return ()
    default_quota_rps = UNLIMITED_QUOTA_RPS if has_budgets else 0.0
    tenants = [TenantSettings(t.name, t.share, t.quota_rps or default_quota_rps) for t in config.tenants]
    if has_budgets:
        tenants.append(TenantSettings(OVER_BUDGET_TENANT, 0.0, 0.0))
    return tuple(tenants)


def build_budgets(config: Config) -> dict[str, Budget]:
    """Build budgets by tenant, converted to the unit of usage accounting (KiB microseconds)."""
    return {
        tenant.name: Budget(
            tenant.budget.window_s,
            int(tenant.budget.soft_mb_s * KIB_MICROSECONDS_PER_MB_S),
            int(tenant.budget.hard_mb_s * KIB_MICROSECONDS_PER_MB_S),
        )
        for tenant in config.tenants
        if tenant.budget is not None
    }


def number_localities(config: Config) -> LocalityNumbers:
    """Number the configured zones and cells in sorted order, so that a reload assigns the same numbers."""
    zones = {worker.zone for worker in config.workers} | {config.zone}
    cells = {worker.cell for worker in config.workers}
    return LocalityNumbers(sorted(zones), sorted(cells))


def build_configured_workers(
    config: Config, numbers: LocalityNumbers | None = None
) -> tuple[WorkerSpec, ...]:
    """Build specs of the configured workers; ``numbers`` keeps zone and cell numbers across reloads."""
    return build_worker_specs(config.workers, config, numbers or number_localities(config))


def build_worker_specs(
    workers: Iterable[Worker], config: Config, numbers: LocalityNumbers
) -> tuple[WorkerSpec, ...]:
    """Build specs of workers from any source; their kinds must be configured."""
    kinds = {kind.name: index for index, kind in enumerate(config.kinds)}
    specs = []
    for worker in workers:
        host, _, port = worker.address.rpartition(":")
        specs.append(
            WorkerSpec(
                worker_number(worker.id),
                worker.id,
                host,
                int(port),
                worker.state == "draining",
                worker.size,
                kinds[worker.kind],
                numbers.zones.number_of(worker.zone),
                numbers.cells.number_of(worker.cell),
                worker.started_at,
            )
        )
    return tuple(specs)


@dataclass(frozen=True, slots=True)
class ConfiguredFunction:
    """A function that clients may invoke, with its configuration."""

    spec: FunctionSpec
    config: Function
    deadline_s: float
    idempotency: Idempotency


class Functions:
    """Looks up functions by exact name first, then by the patterns in configured order. Thread-safe."""

    def __init__(self, config: Config) -> None:
        self._classes = {
            call_class.name: (index, call_class) for index, call_class in enumerate(config.classes)
        }
        self._exact = {function.name: function for function in config.functions if "*" not in function.name}
        self._patterns = [
            (re.compile(fnmatch.translate(function.name)), function)
            for function in config.functions
            if "*" in function.name
        ]
        self._cache: OrderedDict[str, ConfiguredFunction] = OrderedDict()
        self._lock = Lock()

    def exact_names(self) -> list[str]:
        """Return the configured exact names, without patterns and names that match one."""
        return list(self._exact)

    def get(self, name: str) -> ConfiguredFunction | None:
        """Return a function, or None if neither an exact name nor a pattern matches."""
        found = self._cache.get(name)
        if found is not None:
            return found
        function = self._exact.get(name)
        if function is None:
            function = next((f for pattern, f in self._patterns if pattern.match(name)), None)
        if function is None:
            return None
        index, call_class = self._classes[function.call_class]
        found = ConfiguredFunction(
            FunctionSpec(
                name, function_number(name), index, function.memory_mb, function.lanes, function.load_s
            ),
            function,
            call_class.deadline_s,
            Idempotency(call_class.effect),
        )
        with self._lock:
            self._cache[name] = found
            while len(self._cache) > MAX_CACHED_FUNCTIONS:
                self._cache.popitem(last=False)
        return found
