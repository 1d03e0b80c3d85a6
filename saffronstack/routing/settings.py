"""Settings of routing decisions: request classes, tenants, limits, permissions and costs.

Durations end in ``_s`` (seconds) and memory in ``_mb`` (megabytes). Classes, tenants, zones and worker
kinds are indices into the lists of the settings.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class Idempotency(Enum):
    """Effect of executing a request a second time.

    The enum values are those of the settings' wire format.
    """

    IDEMPOTENT = "safe"
    WITH_KEY = "keyed"
    NON_IDEMPOTENT = "unsafe"


class DeduplicationScope(Enum):
    """Set of workers that recognise the idempotency key of a request that one of them has executed."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class LoadReportSource(Enum):
    """Messages that carry the load reports of workers."""

    RESPONSES = "answers"
    HEALTH_CHECKS = "probe"
    NONE = "none"


class MissMode(Enum):
    """Behaviour of a worker that gets a request for a function that it has not loaded."""

    LOAD = "load"
    REJECT = "miss"


@dataclass(frozen=True, slots=True)
class ClassSettings:
    """Settings of one class of requests.

    Attributes:
        name: Name of the class in the configuration.
        idempotency: Whether an attempt that may have executed can be retried.
        latency_objective_s: Time within which a response earns its full value.
        deadline_s: Time within which the final answer is owed.
        priority_weight: Value of a response relative to other classes.
        late_value_fraction: Fraction of the value that remains after the latency objective.
        deduplication_scope: Workers that deduplicate retries of requests with an idempotency key.
        deduplication_window_s: How long those workers remember an idempotency key.
        is_streaming: Whether responses are streamed.
    """

    name: str
    idempotency: Idempotency
    latency_objective_s: float
    deadline_s: float
    priority_weight: float = 1.0
    late_value_fraction: float = 0.0
    deduplication_scope: DeduplicationScope = DeduplicationScope.ALL
    deduplication_window_s: float = 0.0
    is_streaming: bool = False


@dataclass(frozen=True, slots=True)
class TenantSettings:
    """Quota of one tenant.

    Attributes:
        name: Name of the tenant in the configuration.
        quota_fraction: Fraction of the fleet's traffic that the tenant is entitled to.
        quota_rps: Quota as a rate over all gateways, in requests per second.
    """

    name: str
    quota_fraction: float
    quota_rps: float


@dataclass(frozen=True, slots=True)
class RuleSettings:
    """Limits of the operating rules.

    Attributes:
        response_slack_s: Tolerance after a deadline within which a response still counts.
        drain_grace_s: Time after a drain notification within which attempts may still arrive.
        slow_start_min_fraction: Fraction of its full capacity that a worker has right after its start.
        slow_start_s: Duration of slow start; 0 disables it.
        overload_multiple: Multiple of its current capacity at which a worker in slow start fails.
        overload_window_s: Time for which that load must last to make the worker fail.
        discovery_staleness_s: Time since its last poll within which a gateway counts as informed of the list.
        load_command_burst: Load commands allowed in one window without any request.
        load_commands_per_request: Additional load commands allowed for each request in the window.
        load_command_window_s: Length of the window; 0 disables the limit on load commands.
    """

    response_slack_s: float = 0.0
    drain_grace_s: float = 0.0
    slow_start_min_fraction: float = 1.0
    slow_start_s: float = 0.0
    overload_multiple: float = 0.0
    overload_window_s: float = 0.0
    discovery_staleness_s: float = 0.0
    load_command_burst: float = 0.0
    load_commands_per_request: float = 0.0
    load_command_window_s: float = 0.0


@dataclass(frozen=True, slots=True)
class PermissionSettings:
    """Features that a site permits.

    Attributes:
        max_attempts: Attempts allowed for one request; 0 means no limit.
        hedging: Whether two attempts of one request may be in flight at once.
        cancellation: Whether an attempt may be cancelled.
        health_checks: Whether workers may be sent health checks.
        load_commands: Whether workers may be told to load or unload functions.
        retry_after: Whether rejected clients may be told how long to wait before a retry.
        max_retry_after_s: Maximum of this time.
        connect_timeout_s: Timeout of connecting to a worker; 0 means that none is set.
    """

    max_attempts: int = 0
    hedging: bool = False
    cancellation: bool = False
    health_checks: bool = False
    load_commands: bool = False
    retry_after: bool = False
    max_retry_after_s: float = 0.0
    connect_timeout_s: float = 0.0


@dataclass(frozen=True, slots=True)
class CostSettings:
    """Penalty points that the site deducts, each multiplied by a fraction or a rate.

    Attributes:
        cross_zone: For requests sent to another zone.
        late_failure: For value lost after the latency objective.
        origin_fetch: For fetching a function's code from its origin.
        health_check: For health checks.
        wasted_work: For work of workers that did not produce a response.
        idle_memory: For memory held by idle instances.
    """

    cross_zone: float = 0.0
    late_failure: float = 0.0
    origin_fetch: float = 0.0
    health_check: float = 0.0
    wasted_work: float = 0.0
    idle_memory: float = 0.0


@dataclass(frozen=True, slots=True)
class Settings:
    """All settings that a gateway gets at its start.

    Attributes:
        classes: Request classes; requests name them by index.
        gateway_count: Number of gateways that share the workers.
        gateway_index: Index of this gateway among them.
        zone: Zone of this gateway.
        tenants: Tenants with a quota; requests name them by index.
        over_quota_weight: Factor on the priority weight of traffic over its tenant's quota.
        memory_mb_by_worker_kind: Memory of a worker, by the index of its kind.
        keep_alive_s: Minimum time that an idle instance stays loaded; 0 means that none is set.
        miss_mode: Behaviour of workers that get a request for a function that they have not loaded.
        load_command_timeout_s: Timeout of a load command.
        reports_cache_status: Whether responses carry a `CacheStatus`.
        reports_concurrency: Whether responses carry the concurrency of their instance.
        load_report_source: Messages that carry load reports.
        must_subscribe: Whether endpoint updates arrive only after a subscription.
        rules: Limits of the operating rules.
        permissions: Features that the site permits.
        costs: Penalty points that the site deducts.
    """

    classes: tuple[ClassSettings, ...]
    gateway_count: int = 1
    gateway_index: int = 0
    zone: int = 0
    tenants: tuple[TenantSettings, ...] = ()
    over_quota_weight: float = 1.0
    memory_mb_by_worker_kind: tuple[float, ...] = ()
    keep_alive_s: float = 0.0
    miss_mode: MissMode = MissMode.LOAD
    load_command_timeout_s: float = 0.0
    reports_cache_status: bool = False
    reports_concurrency: bool = False
    load_report_source: LoadReportSource = LoadReportSource.NONE
    must_subscribe: bool = False
    rules: RuleSettings = RuleSettings()
    permissions: PermissionSettings = PermissionSettings()
    costs: CostSettings = CostSettings()
