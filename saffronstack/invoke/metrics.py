"""Exports the gateway's counts as Prometheus metrics. They are read at each scrape."""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Protocol

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from saffronstack.daemon.process_group import ProcessGroup
from saffronstack.deferred.deferred_calls import DeferredCalls
from saffronstack.deferred.ledger import Ledger
from saffronstack.discovery.files.service import FileDiscovery
from saffronstack.engine.engine import Engine
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.invoke.app import App
from saffronstack.invoke.server import Server
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.meter import Meter
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.slot_manager import SlotManager

PREFIX = "saffronstack_"


@dataclass(frozen=True, slots=True)
class MetricValue:
    """The value of a metric without labels, with its name and help text."""

    name: str
    help: str
    value: float


class WorkerTraffic(Protocol):
    """Attempt counts of a worker since it was added to the endpoint list."""

    @property
    def spec(self) -> WorkerSpec:
        """Address and properties of the worker."""
        ...

    @property
    def attempts(self) -> int:
        """Number of attempts sent to the worker."""
        ...

    @property
    def in_flight(self) -> int:
        """Number of attempts that have not ended."""
        ...


class WorkerConnections(Protocol):
    """Connection pools of the workers."""

    @property
    def connection_count(self) -> int:
        """Upper bound of the number of open connections."""
        ...

    @property
    def worker_count(self) -> int:
        """Number of workers in the endpoint list."""
        ...

    def traffic(self) -> Sequence[WorkerTraffic]:
        """Return the attempts of each worker in the endpoint list."""
        ...


class MonitoredGateway(Protocol):
    """The components of a gateway that metrics and status are read from.

    The gateway creates them all before it serves requests.
    """

    engine: Engine
    app: App
    server: Server
    process_group: ProcessGroup
    ledger: Ledger | None
    deferred: DeferredCalls | None
    meter: Meter | None
    budgets: BudgetEnforcer | None
    operations: OperationService | None
    slot_manager: SlotManager | None
    file_discovery: FileDiscovery | None
    is_draining: bool

    @property
    def dispatcher(self) -> WorkerConnections:
        """Connection pools of the workers."""
        ...


def peak_load_ratio(traffic: Sequence[WorkerTraffic]) -> float:
    """Return the highest ratio of a worker's attempts in flight to its share, which is by capacity.

    Draining workers and workers without capacity don't count. The ratio is 0 if no attempts are in flight.
    """
    accepting = [worker for worker in traffic if not worker.spec.is_draining and worker.spec.capacity > 0]
    total_in_flight = sum(worker.in_flight for worker in accepting)
    total_capacity = sum(worker.spec.capacity for worker in accepting)
    return (
        max(
            worker.in_flight / (total_in_flight * worker.spec.capacity / total_capacity)
            for worker in accepting
        )
        if total_in_flight
        else 0.0
    )


class GatewayCollector(Collector):
    """Reads the counts that the gateway's components keep, so that nothing is counted twice."""

    def __init__(self, gateway: MonitoredGateway) -> None:
        self._gateway = gateway

    def collect(self) -> Iterable[Metric]:
        """Yield all metrics with their current values."""
        gateway = self._gateway
        counts = gateway.engine.statistics
        yield _labelled_counter("calls_ended", "Calls by how they ended", "ending", counts.final_answers)
        yield _labelled_counter("attempts_ended", "Attempts by result", "result", counts.attempt_results)
        yield from _worker_metrics(gateway.dispatcher.traffic())
        for metric in _counters(gateway):
            yield CounterMetricFamily(PREFIX + metric.name, metric.help, value=metric.value)
        if gateway.deferred is not None:
            finished = gateway.deferred.finished_by_condition
            yield _labelled_counter("deferred_finished", "Deferred calls finished", "condition", finished)
        if gateway.operations is not None:
            request_counts = gateway.operations.request_counts
            yield _labelled_counter(
                "operation_sends", "Sends that name an operation, by what they met", "met", request_counts
            )
        for metric in _gauges(gateway):
            yield GaugeMetricFamily(PREFIX + metric.name, metric.help, value=metric.value)


def _labelled_counter(name: str, help_: str, label: str, values: Mapping[str, float]) -> CounterMetricFamily:
    family = CounterMetricFamily(PREFIX + name, help_, labels=[label])
    for label_value, value in values.items():
        family.add_metric([label_value], value)
    return family


def _worker_metrics(traffic: Sequence[WorkerTraffic]) -> Iterator[Metric]:
    attempts = CounterMetricFamily(
        PREFIX + "worker_attempts", "Attempts given to a worker", labels=["worker"]
    )
    in_flight = GaugeMetricFamily(PREFIX + "worker_out", "Open attempts at a worker", labels=["worker"])
    for worker in traffic:
        attempts.add_metric([worker.spec.name], worker.attempts)
        in_flight.add_metric([worker.spec.name], worker.in_flight)
    yield attempts
    yield in_flight


def _counters(gateway: MonitoredGateway) -> Iterator[MetricValue]:
    counts, server = gateway.engine.statistics, gateway.server
    yield MetricValue("calls", "Calls taken by the engine", counts.calls)
    yield MetricValue("sends", "Attempts begun", counts.attempts)
    yield MetricValue("repeats", "Attempts after a call's first", counts.retries)
    yield MetricValue("orders", "Orders to load or unload", counts.load_commands)
    yield MetricValue("events", "Events decided on", counts.events)
    yield MetricValue("backstops", "Calls that the engine itself answered", counts.deadline_answers)
    yield MetricValue("decision_faults", "Events on which the decision failed", counts.faults)
    yield MetricValue("connections_accepted", "Client connections accepted", server.accepted_count)
    yield MetricValue("connections_turned_away", "Client connections turned away", server.rejected_count)
    if gateway.deferred is not None:
        yield MetricValue("deferred_taken", "Deferred calls taken", gateway.deferred.accepted_count)
    if gateway.meter is not None:
        yield from _usage_counters(gateway.meter, gateway.budgets)
    if gateway.operations is not None:
        help_ = "Ended operations that memory had no room for until their window ended"
        yield MetricValue("operations_dropped_early", help_, gateway.operations.table.evicted_early)


def _gauges(gateway: MonitoredGateway) -> Iterator[MetricValue]:
    traffic = gateway.dispatcher.traffic()
    yield MetricValue("open_calls", "Calls open in the engine", gateway.engine.open_calls)
    yield MetricValue("queued_events", "Events waiting for the decision thread", gateway.engine.queued_events)
    yield MetricValue("client_connections", "Client connections open", gateway.server.connections)
    yield MetricValue("worker_connections", "Worker connections at most", gateway.dispatcher.connection_count)
    yield MetricValue(
        "worker_spread", "Open attempts of the busiest worker over its share", peak_load_ratio(traffic)
    )
    if gateway.deferred is not None and gateway.ledger is not None:
        ledger = gateway.ledger
        yield MetricValue("deferred_open", "Deferred calls open", gateway.deferred.open_calls)
        yield MetricValue("ledger_failing", "1 while the ledger can't write", float(bool(ledger.write_error)))
        yield MetricValue("ledger_stalled_seconds", "For how long its disk answers nothing", ledger.stalled_s)
    if gateway.meter is not None:
        yield from _usage_gauges(gateway.meter)
    if gateway.operations is not None:
        yield from _operation_gauges(gateway.operations)
    if gateway.slot_manager is not None:
        yield MetricValue(
            "operation_slots", "Slots whose operations this process runs", gateway.slot_manager.held_count
        )
    if gateway.file_discovery is not None:
        yield from _discovery_gauges(gateway.file_discovery)


def _usage_gauges(meter: Meter) -> Iterator[MetricValue]:
    account, journal = meter.journal.state, meter.journal
    yield MetricValue("usage_sums", "Sums of usage held in memory", len(account.totals))
    yield MetricValue("usage_runs", "Runs of sums that left memory", account.run_count)
    yield MetricValue(
        "usage_unconfirmed", "Usage records that no worker has confirmed", len(account.unconfirmed)
    )
    yield MetricValue(
        "usage_provisional", "Charges of lost calls that are not settled", len(account.provisional)
    )
    yield MetricValue(
        "usage_log_failing", "1 while the usage log can't write", float(bool(journal.write_error))
    )
    yield MetricValue("usage_in_doubt", "1 where records of the usage log are lost", float(account.in_doubt))


def _operation_gauges(operations: OperationService) -> Iterator[MetricValue]:
    for name, count in operations.table.counts():
        yield MetricValue(f"operations_{name}", f"Operations remembered as {name.replace('_', ' ')}", count)
    cache = operations.coalescing_cache
    yield MetricValue("operations_safe", "Safe operations remembered", len(cache))
    yield MetricValue(
        "operations_bytes",
        "Memory reckoned for operations",
        operations.table.memory_bytes + cache.memory_bytes,
    )
    if operations.response_store is not None:
        yield MetricValue(
            "operations_spooled_bytes", "Answers on disk", operations.response_store.stored_bytes
        )
    if operations.operation_log is not None:
        failing = float(bool(operations.operation_log.write_error))
        yield MetricValue("operations_notes_failing", "1 while notes can't be written", failing)


def _discovery_gauges(discovery: FileDiscovery) -> Iterator[MetricValue]:
    status = discovery.status()
    yield MetricValue("roster_workers", "Workers of the list", status.workers)
    yield MetricValue("roster_draining", "Workers that are told as draining", status.draining)
    yield MetricValue("roster_generation", "Generation of the list in force", status.generation or 0)
    yield MetricValue("roster_refused", "1 while the file can't be used", float(bool(status.rejection)))
    yield MetricValue(
        "roster_held", "1 while a version waits for an operator", float(bool(status.pending_reason))
    )
    copy = float(status.is_from_stored_copy)
    yield MetricValue("roster_from_copy", "1 while the last good copy stands for the file", copy)
    yield MetricValue("roster_conflicts", "Contradictions between sources", len(status.conflicts))
    yield MetricValue("roster_versions", "Versions applied since the start", status.counts.applied)


def _usage_counters(meter: Meter, budgets: BudgetEnforcer | None) -> Iterator[MetricValue]:
    lost = meter.records_dropped_by_workers()
    yield MetricValue("usage_records", "Usage records taken", meter.accepted)
    yield MetricValue("usage_refused", "Usage records that can't be believed", meter.rejected)
    yield MetricValue(
        "usage_postponed", "Answers whose usage was left with the worker for later", meter.postponed_headers
    )
    yield MetricValue("usage_lost_at_workers", "Usage records that workers' own bounds cost", lost)
    yield MetricValue("usage_log_bytes", "Bytes written to the usage log", meter.journal.written_bytes)
    if budgets is not None:
        rejected_help = "Calls refused or held back for their tenant's budget"
        yield MetricValue("budget_refused", rejected_help, budgets.rejected)
        deprioritized_help = "Calls taken at the worth of what lies over a share"
        yield MetricValue("budget_marked", deprioritized_help, budgets.deprioritized)
