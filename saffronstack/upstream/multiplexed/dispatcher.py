"""Executes the engine's actions over multiplexed connections."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from itertools import count

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.net.read_loop import ReadLoop
from saffronstack.net.write_buffer import WriteLoop
from saffronstack.routing.events import Result
from saffronstack.runtime.logs import KeyValueLogger, Logger
from saffronstack.upstream.deadlines import DeadlineTimer, ExchangeKey, attempt_deadline_s
from saffronstack.upstream.events import EngineEvent, EventSink, unsent_attempt, unsent_command
from saffronstack.upstream.multiplexed import codec
from saffronstack.upstream.multiplexed.connection import ConnectionContext, ConnectionLimits
from saffronstack.upstream.multiplexed.connection_budget import ConnectionBudget
from saffronstack.upstream.multiplexed.connection_pool import MultiplexedPool
from saffronstack.upstream.multiplexed.exchange import (
    AttemptExchange,
    CommandExchange,
    ExchangeContext,
    PendingExchange,
)
from saffronstack.upstream.pool_registry import PoolRegistry

COMMAND_CALL_NUMBER = 0  # call number in the exchange keys of commands; call numbers start at 1
COMMAND_TAG_PREFIX = "order-"


class MultiplexedDispatcher:
    """Sends attempts and commands to workers and reports the result of each exactly once.

    The decision thread calls the actions. Results are reported from several threads: the read loop, the
    deadline timer, the write loop, the connecting threads, and the decision thread itself.
    """

    def __init__(
        self,
        limits: ConnectionLimits,
        budget: ConnectionBudget,
        write_loop: WriteLoop,
        report: EventSink,
        clock: Callable[[], float],
        command_timeout_s: float,
        log: Logger | None = None,
    ) -> None:
        """Create a dispatcher without workers.

        Args:
            limits: Limits of each connection.
            budget: Limits the connections to all workers together.
            write_loop: Writes the bytes that sockets don't accept at once; its owner starts and stops it.
            report: Receives the result of each attempt and command.
            clock: Monotonic time in seconds.
            command_timeout_s: Timeout of a load command or a health check.
            log: Receives unexpected errors; None logs to standard error.
        """
        log = log or KeyValueLogger("upstream")
        self._limits = limits
        self._budget = budget
        self._report = report
        self._clock = clock
        self._command_timeout_s = command_timeout_s
        self._exchanges: dict[ExchangeKey, PendingExchange] = {}
        self._command_numbers = count(1)
        self.deadlines = DeadlineTimer(clock, self, log)
        self.read_loop = ReadLoop(clock, log)
        self._connection_context = ConnectionContext(limits, write_loop, self.read_loop, clock)
        self._attempt_context = ExchangeContext(self._on_attempt_result, clock)
        self._pools = PoolRegistry[MultiplexedPool](self._create_pool)

    def _create_pool(self, spec: WorkerSpec) -> MultiplexedPool:
        return MultiplexedPool(spec, self._connection_context, self._budget, self._close_idle_connection)

    def start(self) -> None:
        """Start the threads of the deadline timer and the read loop."""
        self.deadlines.start()
        self.read_loop.start()

    def stop(self) -> None:
        """Close every connection and stop the threads."""
        self.deadlines.stop()
        for pool in self._pools.clear():
            for connection in pool.connections:
                connection.abort()
        self.read_loop.stop()

    def update_workers(self, specs: Iterable[WorkerSpec], removed: Iterable[int]) -> None:
        """Apply an incremental update of the endpoint list.

        It must be applied here before the engine gets it, so that nothing new is sent to a worker that is
        draining or was removed.

        Args:
            specs: New or changed workers.
            removed: Numbers of workers that were removed.
        """
        self._pools.update(specs, removed)
        pools = self._pools.snapshot().values()
        connections_per_worker = self._budget.max_connections // max(1, len(pools))
        for pool in pools:
            pool.max_connections = max(1, min(self._limits.streams, connections_per_worker))

    @property
    def in_flight(self) -> int:
        """Number of attempts and commands that have not ended."""
        return len(self._exchanges)

    @property
    def connection_count(self) -> int:
        """Number of connections that are open or closing."""
        return self._budget.in_use

    def pools(self) -> dict[int, MultiplexedPool]:
        """Return the pools of the listed workers, by worker number."""
        return self._pools.snapshot()

    def _close_idle_connection(self) -> None:
        """Close one connection with nothing in flight, of the worker with the most connections."""
        pools = sorted(self._pools.snapshot().values(), key=lambda pool: -len(pool.connections))
        for pool in pools:
            for connection in pool.connections:
                if not connection.in_flight:
                    connection.close_gracefully()
                    return

    # ---- the engine's actions, on the decision thread

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        """Start an attempt of a call; ``timeout_s`` is its own timeout if greater than 0."""
        pool = self._pools.get(worker_id)
        if pool is None:
            reason = "the worker is not listed any more"
            self._report(unsent_attempt(call, attempt, worker_id, Result.NOT_STARTED, reason))
            return
        deadline_s = attempt_deadline_s(call, timeout_s, self._clock())
        exchange = AttemptExchange(call, attempt, pool, deadline_s, self._attempt_context)
        self._submit((call.number, attempt), exchange, pool)

    def cancel(self, call: Call, attempt: int) -> None:
        """Cancel an attempt and notify its worker."""
        self._abandon((call.number, attempt), Result.CANCELLED, "cancelled")

    def check_health(self, worker_id: int) -> None:
        """Send a health check to a worker; its result is one `CommandResult`."""
        self._send_command(worker_id, None, 0)

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None:
        """Command a worker to load ``instances`` instances; the result is one `CommandResult`."""
        self._send_command(worker_id, function, instances)

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None:
        """Command a worker to unload a function's idle instances; no result is reported."""
        pool = self._pools.get(worker_id)
        if pool is not None and not pool.is_closed:
            pool.send_one_way(codec.encode_unload_command(function.name))

    def _send_command(self, worker_id: int, function: FunctionSpec | None, instances: int) -> None:
        pool = self._pools.get(worker_id)
        if pool is None:
            self._report(unsent_command(worker_id, Result.CONNECT_FAILED, function))
            return
        number = next(self._command_numbers)
        key = COMMAND_CALL_NUMBER, number

        def on_end(event: EngineEvent) -> None:
            self._exchanges.pop(key, None)
            self._report(event)

        deadline_s = self._clock() + self._command_timeout_s
        context = ExchangeContext(on_end, self._clock)
        tag = f"{COMMAND_TAG_PREFIX}{number}"
        self._submit(key, CommandExchange(tag, function, instances, pool, deadline_s, context), pool)

    def _submit(self, key: ExchangeKey, exchange: PendingExchange, pool: MultiplexedPool) -> None:
        self._exchanges[key] = exchange
        if not pool.submit(exchange):
            exchange.on_failure(Result.NOT_STARTED, "no connection to the worker is available")
            return
        # Scheduled after the submission: an exchange without a connection can't be abandoned.
        self.deadlines.schedule(exchange.deadline_s, key)

    def _on_attempt_result(self, event: EngineEvent) -> None:
        if isinstance(event, AttemptResult):
            self._exchanges.pop((event.call.number, event.outcome.attempt), None)
        self._report(event)

    # ---- the `DeadlineOwner` interface

    def is_pending(self, key: ExchangeKey) -> bool:
        """Return whether an exchange has not ended yet."""
        return key in self._exchanges

    def expire(self, key: ExchangeKey) -> None:
        """End an exchange whose deadline has passed, unless it has ended already."""
        self._abandon(key, Result.TIMEOUT, "no response in time")

    def _abandon(self, key: ExchangeKey, result: Result, reason: str) -> None:
        exchange = self._exchanges.get(key)
        if exchange is not None and exchange.connection is not None:
            exchange.connection.abandon(exchange, result, reason)
