"""The gateway's counts in Prometheus' form, read when they are asked for."""

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
class Figure:
    """One number under a name, with its help text."""

    name: str
    help: str
    value: float


class WorkerTraffic(Protocol):
    """The attempts that a worker was given since it was listed, and those of them in flight."""

    @property
    def spec(self) -> WorkerSpec:
        """The worker."""
        ...

    @property
    def attempts(self) -> int:
        """Attempts that it was given."""
        ...

    @property
    def in_flight(self) -> int:
        """Those of them that have not ended."""
        ...


class Connections(Protocol):
    """Who holds connections to workers."""

    @property
    def connection_count(self) -> int:
        """Connections at most."""
        ...

    @property
    def worker_count(self) -> int:
        """Workers that are listed."""
        ...

    def traffic(self) -> Sequence[WorkerTraffic]:
        """Return the attempts of each listed worker."""
        ...


class Parts(Protocol):
    """What the pages tell of: the parts of a gateway, which it makes before anyone asks."""

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
    def dispatcher(self) -> Connections:
        """The workers' side."""
        ...


def busiest(traffic: Sequence[WorkerTraffic]) -> float:
    """Return the most attempts in flight at a worker that takes calls, as a multiple of its share by size.

    It is 0 where none are in flight.
    """
    taking = [worker for worker in traffic if not worker.spec.is_draining and worker.spec.capacity > 0]
    total = sum(worker.in_flight for worker in taking)
    size = sum(worker.spec.capacity for worker in taking)
    return (
        max(worker.in_flight / (total * worker.spec.capacity / size) for worker in taking) if total else 0.0
    )


class GatewayCollector(Collector):
    """Reads the gateway's own counts when asked; nothing is counted twice."""

    def __init__(self, gateway: Parts) -> None:
        self._gateway = gateway

    def collect(self) -> Iterable[Metric]:
        """The metrics now."""
        gateway = self._gateway
        counts = gateway.engine.statistics
        yield _labelled("calls_ended", "Calls by how they ended", "ending", counts.final_answers)
        yield _labelled("attempts_ended", "Attempts by result", "result", counts.attempt_results)
        yield from _worker_metrics(gateway.dispatcher.traffic())
        for figure in _counters(gateway):
            yield CounterMetricFamily(PREFIX + figure.name, figure.help, value=figure.value)
        if gateway.deferred is not None:
            finished = gateway.deferred.finished_by_condition
            yield _labelled("deferred_finished", "Deferred calls finished", "condition", finished)
        if gateway.operations is not None:
            sends = gateway.operations.request_counts
            yield _labelled("operation_sends", "Sends that name an operation, by what they met", "met", sends)
        for figure in _gauges(gateway):
            yield GaugeMetricFamily(PREFIX + figure.name, figure.help, value=figure.value)


def _labelled(name: str, help_: str, label: str, values: Mapping[str, float]) -> CounterMetricFamily:
    family = CounterMetricFamily(PREFIX + name, help_, labels=[label])
    for value_of, value in values.items():
        family.add_metric([value_of], value)
    return family


def _worker_metrics(traffic: Sequence[WorkerTraffic]) -> Iterator[Metric]:
    given = CounterMetricFamily(PREFIX + "worker_attempts", "Attempts given to a worker", labels=["worker"])
    out = GaugeMetricFamily(PREFIX + "worker_out", "Open attempts at a worker", labels=["worker"])
    for worker in traffic:
        given.add_metric([worker.spec.name], worker.attempts)
        out.add_metric([worker.spec.name], worker.in_flight)
    yield given
    yield out


def _counters(gateway: Parts) -> Iterator[Figure]:
    counts, server = gateway.engine.statistics, gateway.server
    yield Figure("calls", "Calls taken by the engine", counts.calls)
    yield Figure("sends", "Attempts begun", counts.attempts)
    yield Figure("repeats", "Attempts after a call's first", counts.retries)
    yield Figure("orders", "Orders to load or unload", counts.load_commands)
    yield Figure("events", "Events decided on", counts.events)
    yield Figure("backstops", "Calls that the engine itself answered", counts.deadline_answers)
    yield Figure("decision_faults", "Events on which the decision failed", counts.faults)
    yield Figure("connections_accepted", "Client connections accepted", server.accepted)
    yield Figure("connections_turned_away", "Client connections turned away", server.turned_away)
    if gateway.deferred is not None:
        yield Figure("deferred_taken", "Deferred calls taken", gateway.deferred.accepted_count)
    if gateway.meter is not None:
        yield from _usage_counters(gateway.meter, gateway.budgets)
    if gateway.operations is not None:
        help_ = "Ended operations that memory had no room for until their window ended"
        yield Figure("operations_dropped_early", help_, gateway.operations.table.evicted_early)


def _gauges(gateway: Parts) -> Iterator[Figure]:
    traffic = gateway.dispatcher.traffic()
    yield Figure("open_calls", "Calls open in the engine", gateway.engine.open_calls)
    yield Figure("queued_events", "Events waiting for the decision thread", gateway.engine.queued_events)
    yield Figure("client_connections", "Client connections open", gateway.server.connections)
    yield Figure("worker_connections", "Worker connections at most", gateway.dispatcher.connection_count)
    yield Figure("worker_spread", "Open attempts of the busiest worker over its share", busiest(traffic))
    if gateway.deferred is not None and gateway.ledger is not None:
        ledger = gateway.ledger
        yield Figure("deferred_open", "Deferred calls open", gateway.deferred.open_calls)
        yield Figure("ledger_failing", "1 while the ledger can't write", float(bool(ledger.write_error)))
        yield Figure("ledger_stalled_seconds", "For how long its disk answers nothing", ledger.stalled_s)
    if gateway.meter is not None:
        yield from _usage_gauges(gateway.meter)
    if gateway.operations is not None:
        yield from _operation_gauges(gateway.operations)
    if gateway.slot_manager is not None:
        yield Figure(
            "operation_slots", "Slots whose operations this process runs", gateway.slot_manager.held_count
        )
    if gateway.file_discovery is not None:
        yield from _roster_gauges(gateway.file_discovery)


def _usage_gauges(meter: Meter) -> Iterator[Figure]:
    account, journal = meter.journal.state, meter.journal
    yield Figure("usage_sums", "Sums of usage held in memory", len(account.totals))
    yield Figure("usage_runs", "Runs of sums that left memory", account.runs)
    yield Figure("usage_unconfirmed", "Usage records that no worker has confirmed", len(account.unconfirmed))
    yield Figure("usage_provisional", "Charges of lost calls that are not settled", len(account.provisional))
    yield Figure("usage_log_failing", "1 while the usage log can't write", float(bool(journal.write_error)))
    yield Figure("usage_in_doubt", "1 where records of the usage log are lost", float(account.in_doubt))


def _operation_gauges(operations: OperationService) -> Iterator[Figure]:
    for name, count in operations.table.counts():
        yield Figure(f"operations_{name}", f"Operations remembered as {name.replace('_', ' ')}", count)
    cache = operations.coalescing_cache
    yield Figure("operations_safe", "Safe operations remembered", len(cache))
    yield Figure(
        "operations_bytes",
        "Memory reckoned for operations",
        operations.table.memory_bytes + cache.memory_bytes,
    )
    if operations.response_store is not None:
        yield Figure("operations_spooled_bytes", "Answers on disk", operations.response_store.stored_bytes)
    if operations.operation_log is not None:
        failing = float(bool(operations.operation_log.write_error))
        yield Figure("operations_notes_failing", "1 while notes can't be written", failing)


def _roster_gauges(roster: FileDiscovery) -> Iterator[Figure]:
    status = roster.status()
    yield Figure("roster_workers", "Workers of the list", status.workers)
    yield Figure("roster_draining", "Workers that are told as draining", status.draining)
    yield Figure("roster_generation", "Generation of the list in force", status.generation or 0)
    yield Figure("roster_refused", "1 while the file can't be used", float(bool(status.rejection)))
    yield Figure("roster_held", "1 while a version waits for an operator", float(bool(status.pending_reason)))
    copy = float(status.is_from_stored_copy)
    yield Figure("roster_from_copy", "1 while the last good copy stands for the file", copy)
    yield Figure("roster_conflicts", "Contradictions between sources", len(status.conflicts))
    yield Figure("roster_versions", "Versions applied since the start", status.counts.applied)


def _usage_counters(meter: Meter, limits: BudgetEnforcer | None) -> Iterator[Figure]:
    lost = meter.records_dropped_by_workers()
    yield Figure("usage_records", "Usage records taken", meter.accepted)
    yield Figure("usage_refused", "Usage records that can't be believed", meter.rejected)
    yield Figure("usage_postponed", "Answers whose usage was left with the worker for later", meter.postponed)
    yield Figure("usage_lost_at_workers", "Usage records that workers' own bounds cost", lost)
    yield Figure("usage_log_bytes", "Bytes written to the usage log", meter.journal.written_bytes)
    if limits is not None:
        refused = "Calls refused or held back for their tenant's budget"
        yield Figure("budget_refused", refused, limits.rejected)
        marked = "Calls taken at the worth of what lies over a share"
        yield Figure("budget_marked", marked, limits.deprioritized)
