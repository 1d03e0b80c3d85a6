"""Executes the engine's actions over HTTP/1.1 connection pools."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import Result
from saffronstack.upstream.deadlines import ExchangeKey, attempt_deadline_s
from saffronstack.upstream.events import EngineEvent, EventSink, unsent_attempt, unsent_command
from saffronstack.upstream.http.connection_pool import HttpPool
from saffronstack.upstream.http.jobs import (
    AttemptJob,
    CommandJob,
    HealthCheckJob,
    LoadJob,
    UnloadJob,
    UsageJob,
    command_function,
)
from saffronstack.upstream.http.pool_limits import HttpPoolLimits
from saffronstack.upstream.http.usage_observer import UsageObserver
from saffronstack.upstream.http.worker_context import WorkerContext
from saffronstack.upstream.pool_registry import PoolRegistry


@dataclass(frozen=True, slots=True)
class WorkerTraffic:
    """Attempts submitted to a worker since it was listed, and the number of them in flight."""

    spec: WorkerSpec
    attempts: int
    in_flight: int


class HttpDispatcher:
    """Sends attempts and commands to workers and reports the result of each.

    The decision thread calls the actions. The pools' threads report the results; the decision thread
    itself reports what can't be sent. An endpoint list update must be applied here before the engine gets
    it, so that nothing new is sent to a worker that is draining or was removed.
    """

    def __init__(
        self,
        limits: HttpPoolLimits,
        report: EventSink,
        clock: Callable[[], float],
        usage_observer: UsageObserver | None = None,
    ) -> None:
        """Create a dispatcher without workers.

        Args:
            limits: Limits of the connections to each worker.
            report: Receives the result of each attempt and command.
            clock: Monotonic time in seconds.
            usage_observer: Receives usage for metering; None without metering.
        """
        self._limits = limits
        self._report = report
        self._usage_observer = usage_observer
        self._clock = clock
        self._pools = PoolRegistry[HttpPool](self._create_pool)
        self._lock = threading.Lock()  # guards the attempts in flight and each pool's `attempt_count`
        self._in_flight: dict[ExchangeKey, AttemptJob] = {}

    def _create_pool(self, spec: WorkerSpec) -> HttpPool:
        context = WorkerContext(
            spec, self._limits, self._on_event, self._clock, self._usage_observer, spec.is_draining
        )
        return HttpPool(context)

    def replace_workers(self, specs: Iterable[WorkerSpec]) -> None:
        """Apply a snapshot of the endpoint list."""
        self._pools.replace_all(specs)

    def update_workers(self, specs: Iterable[WorkerSpec], removed: Iterable[int]) -> None:
        """Apply an incremental update: new or changed workers, and the numbers of removed ones."""
        self._pools.update(specs, removed)

    def stop(self) -> None:
        """Stop every pool; jobs that have started run to their end."""
        self._pools.clear()

    @property
    def connection_count(self) -> int:
        """Number of connections to workers that are open or being opened."""
        return sum(pool.connection_count for pool in self._pools.snapshot().values())

    @property
    def worker_count(self) -> int:
        """Number of listed workers."""
        return len(self._pools)

    def traffic(self) -> list[WorkerTraffic]:
        """Return the attempt counts of each listed worker."""
        pools = self._pools.snapshot()
        with self._lock:
            in_flight = Counter(job.worker_id for job in self._in_flight.values())
            return [
                WorkerTraffic(pool.spec, pool.attempt_count, in_flight[number])
                for number, pool in pools.items()
            ]

    def poll_usage(self, worker_id: int, job: UsageJob) -> None:
        """Poll a worker for its usage records."""
        pool = self._pools.get(worker_id)
        if pool is None:
            job.on_response(None)
        else:
            pool.submit(job)

    def _on_event(self, event: EngineEvent) -> None:
        if isinstance(event, AttemptResult):
            with self._lock:
                self._in_flight.pop((event.call.number, event.outcome.attempt), None)
        self._report(event)

    # ---- the engine's actions, on the decision thread

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        """Start an attempt of a call; ``timeout_s`` is its own timeout if greater than 0."""
        pool = self._pools.get(worker_id)
        if pool is None:
            reason = "the worker has left the list"
            self._report(unsent_attempt(call, attempt, worker_id, Result.NOT_STARTED, reason))
            return
        job = AttemptJob(call, attempt, attempt_deadline_s(call, timeout_s, self._clock()), worker_id)
        with self._lock:
            pool.attempt_count += 1
            self._in_flight[call.number, attempt] = job
        pool.submit(job)

    def cancel(self, call: Call, attempt: int) -> None:
        """Cancel an attempt if it is in flight."""
        with self._lock:
            job = self._in_flight.get((call.number, attempt))
        if job is not None:
            job.cancel()

    def check_health(self, worker_id: int) -> None:
        """Send a health check, which requests the worker's load report."""
        self._submit_command(worker_id, HealthCheckJob())

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None:
        """Command a worker to load ``instances`` instances; 0 only queries the number loaded."""
        self._submit_command(worker_id, LoadJob(function, instances))

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None:
        """Command a worker to unload a function's idle instances; no result is reported."""
        self._submit_command(worker_id, UnloadJob(function))

    def _submit_command(self, worker_id: int, job: CommandJob) -> None:
        pool = self._pools.get(worker_id)
        if pool is not None:
            pool.submit(job)
        elif not isinstance(job, UnloadJob):
            self._report(unsent_command(worker_id, Result.CONNECT_FAILED, command_function(job)))
