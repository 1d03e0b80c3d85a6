"""Builds configured components of a gateway: limits, metering, operations and discovery from files."""

from __future__ import annotations

import pathlib
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.config.build import build_budgets
from saffronstack.config.schema import Config, Worker
from saffronstack.discovery.files.change_guards import GuardSettings
from saffronstack.discovery.files.flap_detection import FlapSettings
from saffronstack.discovery.files.merging import WorkerChanges
from saffronstack.discovery.files.service import FileDiscovery, FileDiscoveryOptions
from saffronstack.discovery.files.state_directory import StateDirectory
from saffronstack.durable.file_operations import FileOperations
from saffronstack.engine.localities import LocalityNumbers
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.http1.messages import MessageLimits
from saffronstack.invoke.server import ServerLimits
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.meter import Meter
from saffronstack.metering.metered_workers import MeterClock
from saffronstack.metering.usage_log import open_usage_log
from saffronstack.metering.usage_poller import WorkerPoller
from saffronstack.operations.operation_log import open_operation_log
from saffronstack.operations.operation_service import OperationLimits, OperationService
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.response_store import ResponseStore
from saffronstack.upstream.http.pool_limits import HttpPoolLimits

KIB_PER_MIB = 1024
REQUEST_BODY_MEMORY_BYTES = 256 * 1024 * 1024  # of all large request bodies of a process


@dataclass(frozen=True, slots=True)
class Clocks:
    """Clocks of a gateway: monotonic seconds, and seconds of the Unix epoch."""

    monotonic: Callable[[], float]
    wall: Callable[[], float]


@dataclass(frozen=True, slots=True)
class Metering:
    """Usage metering, and budget enforcement if any tenant has a budget."""

    meter: Meter
    budgets: BudgetEnforcer | None


def make_server_limits(config: Config) -> ServerLimits:
    """Return the limits of the HTTP server."""
    limits = config.limits
    messages = MessageLimits(
        limits.line_bytes,
        limits.head_bytes,
        limits.header_fields,
        max(limits.payload_bytes, limits.event_payload_bytes),
    )
    return ServerLimits(
        messages,
        limits.connections,
        limits.head_timeout_s,
        limits.body_timeout_s,
        limits.write_timeout_s,
        limits.idle_timeout_s,
        max(REQUEST_BODY_MEMORY_BYTES, messages.body_bytes),
    )


def make_pool_limits(config: Config) -> HttpPoolLimits:
    """Return the limits of connections to workers."""
    return HttpPoolLimits(
        config.limits.worker_connections,
        config.allow.connect_timeout_s,
        config.limits.worker_idle_s,
        config.order_timeout_s,
        MessageLimits(body_bytes=config.limits.response_bytes),
    )


def open_metering(
    config: Config, clocks: Clocks, poll_usage: WorkerPoller, files: FileOperations | None
) -> Metering | None:
    """Open the usage log.

    Args:
        config: The gateway's configuration.
        clocks: Clocks of the gateway.
        poll_usage: Requests the usage records of a worker.
        files: The file layer; tests replace it.

    Returns:
        None if metering is not configured.

    Raises:
        JournalError: The log can't be locked or read.
    """
    metering = config.metering
    if metering is None:
        return None
    budgets = build_budgets(config)
    window_lengths_s = {tenant: budget.window_s for tenant, budget in budgets.items()}
    journal = open_usage_log(metering.directory, metering.segment_bytes, files, window_lengths_s)
    offset_s = clocks.wall() - clocks.monotonic()
    windows = journal.state.windows
    enforcer = None
    if windows is not None:
        windows.resume_at(clocks.monotonic() + offset_s)
        enforcer = BudgetEnforcer(budgets, windows, config.instances, config.keep_alive_s, offset_s)

    def memory_kib(worker: WorkerSpec) -> int:
        return int(config.kinds[worker.kind].memory_mb * KIB_PER_MIB)

    clock = MeterClock(clocks.monotonic, clocks.wall, offset_s)
    meter = Meter(journal, poll_usage, clock, memory_kib, metering.ask_every_s, enforcer)
    return Metering(meter, enforcer)


def open_operations(
    config: Config, clocks: Clocks, files: FileOperations | None, localities: LocalityNumbers
) -> OperationService | None:
    """Create the deduplication of operations.

    If a directory is configured, operations and responses are stored there and survive the process.

    Args:
        config: Configuration of the process.
        clocks: Its clocks.
        files: The file layer; the system's by default.
        localities: Numbers of the zones and cells of its workers.

    Returns:
        None if deduplication is not configured.

    Raises:
        JournalError: The log can't be locked or read.
    """
    operations = config.operations
    if operations is None:
        return None
    operation_log = response_store = None
    if operations.directory is not None:
        operation_log = open_operation_log(operations.directory, operations.segment_bytes, files)
        response_store = ResponseStore(operations.directory, operations.spool_bytes, files)
    return OperationService(
        OperationTable(operations.memory_bytes * 3 // 4),
        clocks.monotonic,
        clocks.wall,
        operation_log,
        response_store,
        OperationLimits(operations.answer_bytes, operations.memory_bytes // 4, operations.commit_timeout_s),
        localities,
    )


def make_file_discovery(
    config: Config,
    clocks: Clocks,
    on_change: Callable[[WorkerChanges, dict[str, Worker]], None],
) -> FileDiscovery | None:
    """Create the discovery of workers from files without starting it; None if no roster is configured."""
    roster = config.roster
    if roster is None:
        return None
    guards = GuardSettings(
        allow_empty=roster.allow_empty,
        max_removed_fraction=roster.removed_share,
        always_removable_count=roster.removed_free,
        allow_older=roster.allow_older,
        flapping=FlapSettings(roster.flaps, roster.flap_span_s, roster.flap_quiet_s),
    )
    kinds = tuple(kind.name for kind in config.kinds)
    return FileDiscovery(
        FileDiscoveryOptions(pathlib.Path(roster.path), kinds, guards, roster.poll_s),
        StateDirectory(pathlib.Path(roster.state_directory)),
        config.workers,
        on_change,
        clocks.monotonic,
        clocks.wall,
    )
