"""What the program makes of a configuration: the module's settings, functions by name, workers."""

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

KIB_MICROSECONDS_PER_MB_S = 1024 * 1_000_000  # KiB microseconds
MAX_CACHED_FUNCTIONS = 65536  # the oldest entries are evicted and looked up again when needed


def build_settings(config: Config) -> Settings:
    """The module's settings."""
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
        zone=_sorted_numbers(config, "zone")[config.zone],
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


UNLIMITED_QUOTA_RPS = 1e9  # a quota for tenants that are given none
OVER_BUDGET_TENANT = "(over budget)"


def _tenant_settings(config: Config) -> tuple[TenantSettings, ...]:
    """The module's tenants. Where there are budgets, one more, last, whose quota is nothing: a call of a
    tenant over its soft mark counts as that one's, and so as worth what lies over a share.
    """
    budgets = any(tenant.budget for tenant in config.tenants)
    if not budgets and not any(tenant.quota_rps for tenant in config.tenants):
        return ()
    rest = UNLIMITED_QUOTA_RPS if budgets else 0.0
    tenants = [TenantSettings(t.name, t.share, t.quota_rps or rest) for t in config.tenants]
    if budgets:
        tenants.append(TenantSettings(OVER_BUDGET_TENANT, 0.0, 0.0))
    return tuple(tenants)


def build_budgets(config: Config) -> dict[str, Budget]:
    """Tenants' budgets in the account's unit."""
    return {
        tenant.name: Budget(
            tenant.budget.window_s,
            int(tenant.budget.soft_mb_s * KIB_MICROSECONDS_PER_MB_S),
            int(tenant.budget.hard_mb_s * KIB_MICROSECONDS_PER_MB_S),
        )
        for tenant in config.tenants
        if tenant.budget is not None
    }


def _sorted_numbers(config: Config, what: str) -> dict[str, int]:
    """Numbers for zone or cell names, in the order of the names, so that a reread list keeps them."""
    names = {getattr(worker, what) for worker in config.workers}
    if what == "zone":
        names.add(config.zone)
    return {name: place for place, name in enumerate(sorted(names))}


def build_configured_workers(
    config: Config, numbers: LocalityNumbers | None = None
) -> tuple[WorkerSpec, ...]:
    """The workers as the core knows them; ``numbers`` keeps zones' and cells' numbers over rereads."""
    return build_worker_specs(config.workers, config, numbers or LocalityNumbers(config))


def build_worker_specs(
    workers: Iterable[Worker], config: Config, numbers: LocalityNumbers
) -> tuple[WorkerSpec, ...]:
    """Workers of any source as the core knows them; their kinds are the configuration's."""
    kinds = {kind.name: place for place, kind in enumerate(config.kinds)}
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
                numbers.zone(worker.zone),
                numbers.cell(worker.cell),
                worker.started_at,
            )
        )
    return tuple(specs)


class LocalityNumbers:
    """Numbers of zones and cells that never change while the program runs."""

    def __init__(self, config: Config) -> None:
        self._zones = _sorted_numbers(config, "zone")
        self._cells = _sorted_numbers(config, "cell")

    def zone(self, name: str) -> int:
        """A zone's number, a new one for a new name."""
        return self._zones.setdefault(name, len(self._zones))

    def cell(self, name: str) -> int:
        """A cell's number, a new one for a new name."""
        return self._cells.setdefault(name, len(self._cells))


@dataclass(frozen=True, slots=True)
class ConfiguredFunction:
    """A function that may be called, with its configuration."""

    spec: FunctionSpec
    config: Function
    deadline_s: float
    idempotency: Idempotency


class Functions:
    """Functions by name: exact names first, then the patterns in their order. Used from any thread."""

    def __init__(self, config: Config) -> None:
        self._classes = {
            call_class.name: (place, call_class) for place, call_class in enumerate(config.classes)
        }
        self._exact = {function.name: function for function in config.functions if "*" not in function.name}
        self._patterns = [
            (re.compile(fnmatch.translate(function.name)), function)
            for function in config.functions
            if "*" in function.name
        ]
        self._known: OrderedDict[str, ConfiguredFunction] = OrderedDict()
        self._lock = Lock()

    def exact_names(self) -> list[str]:
        """Functions that the configuration names, without those that only match a pattern."""
        return list(self._exact)

    def get(self, name: str) -> ConfiguredFunction | None:
        """The function of that name, None where the configuration has none."""
        known = self._known.get(name)
        if known is not None:
            return known
        function = self._exact.get(name)
        if function is None:
            function = next((f for pattern, f in self._patterns if pattern.match(name)), None)
        if function is None:
            return None
        place, call_class = self._classes[function.call_class]
        known = ConfiguredFunction(
            FunctionSpec(
                name, function_number(name), place, function.memory_mb, function.lanes, function.load_s
            ),
            function,
            call_class.deadline_s,
            Idempotency(call_class.effect),
        )
        with self._lock:
            self._known[name] = known
            while len(self._known) > MAX_CACHED_FUNCTIONS:
                self._known.popitem(last=False)
        return known
