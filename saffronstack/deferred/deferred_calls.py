"""The service for deferred calls: acceptance, dispatch and status."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum

import structlog

from saffronstack.config.build import Functions, number_localities
from saffronstack.config.schema import Config
from saffronstack.deferred.attempt_log import AttemptLog
from saffronstack.deferred.call_acceptor import CallAcceptor, Submission
from saffronstack.deferred.call_submitter import CallEngine, CallSubmitter
from saffronstack.deferred.dispatcher import CallDispatcher
from saffronstack.deferred.errors import LedgerFullError
from saffronstack.deferred.final_record_writer import FinalRecordWriter
from saffronstack.deferred.function_policies import FunctionPolicies
from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.steady_clock import SteadyClock
from saffronstack.deferred.tracked_call import track_accepted, track_recovered
from saffronstack.engine.localities import LocalityNumbers
from saffronstack.engine.possible_execution import ExecutionConverter
from saffronstack.metering.budgets import BudgetEnforcer

SHUTDOWN_RETRY_AFTER_S = 1.0
log = structlog.get_logger("saffronstack.deferred")


class CallStatus(Enum):
    """Progress of a call. The values for open calls appear in JSON responses."""

    QUEUED = "queued"
    RUNNING = "running"
    FINAL = "final"


@dataclass(frozen=True, slots=True)
class CallReport:
    """Status of a call; ``invocation_record`` is None while the call is open."""

    tenant: str
    status: CallStatus
    attempts: int = 0
    invocation_record: bytes | None = None


class DeferredCalls:
    """Accepts deferred calls and has a dispatcher execute them.

    The dispatcher's thread owns the open calls; the ledger's writer thread owns the call table.
    """

    def __init__(
        self,
        config: Config,
        ledger: Ledger,
        engine: CallEngine,
        functions: Functions,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
        budgets: BudgetEnforcer | None = None,
        owns_ledger: Callable[[], bool] | None = None,
        localities: LocalityNumbers | None = None,
    ) -> None:
        """Prepare the service; nothing runs before `start`.

        Args:
            config: The configuration, with a section on the ledger.
            ledger: The open ledger.
            engine: Executes the calls.
            functions: The configured functions.
            clock: Monotonic seconds.
            wall_clock: Unix seconds; read once.
            budgets: Checked before each attempt; a call waits while its tenant is over the hard limit.
            owns_ledger: Checked before each attempt, on any thread; None if no other process can take over
                the ledger.
            localities: Numbers of the workers' zones and cells; by default those of the configuration.
        """
        assert config.ledger is not None
        self._ledger = ledger
        self._clock = SteadyClock(clock, wall_clock)
        self._acceptor = CallAcceptor(ledger, config.ledger, self._clock)
        converter = ExecutionConverter(
            localities or number_localities(config), self._clock.to_unix, self._clock.to_monotonic
        )
        attempt_log = AttemptLog(ledger, converter, config.ledger.commit_timeout_s)
        self._dispatcher = CallDispatcher(
            ledger,
            FunctionPolicies(config, functions),
            CallSubmitter(config, engine, attempt_log, self._clock, budgets, owns_ledger),
            attempt_log,
            FinalRecordWriter(config, ledger, functions),
            self._clock,
            config.ledger.in_flight,
            config.seed,
        )
        self.accepted_count = 0  # number of calls accepted since the start

    def start(self) -> None:
        """Continue the open calls of the ledger, and start the dispatcher."""
        open_calls = list(self._ledger.state.open.values())
        if open_calls:
            log.info(
                "deferred calls recovered",
                open_calls=len(open_calls),
                has_lost_records=self._ledger.recovered.has_lost_records,
            )
        self._dispatcher.start(map(track_recovered, open_calls))

    def stop(self, timeout_s: float) -> bool:
        """Accept no more calls and start no more attempts; return whether those in flight ended in time."""
        return self._dispatcher.stop(timeout_s)

    @property
    def open_calls(self) -> int:
        """Number of calls without a durable final record."""
        return len(self._ledger.state.open)

    @property
    def finished_by_condition(self) -> dict[str, int]:
        """Number of calls finished since the start, by condition."""
        return self._dispatcher.finished_by_condition

    def accept(self, submission: Submission) -> None:
        """Accept a call, which is durable when this returns. Thread-safe.

        Raises:
            LedgerFullError: Too many calls are open, or the gateway shuts down.
            CommitError: The call was not written, or not in time.
        """
        if self._dispatcher.is_stopping:
            raise LedgerFullError("The gateway stops.", SHUTDOWN_RETRY_AFTER_S)
        accepted = self._acceptor.accept(submission)
        self.accepted_count += 1
        self._dispatcher.dispatch(track_accepted(accepted))

    def report(self, request_id: str) -> CallReport | None:
        """Return the status of a call, or None if its id is unknown. Thread-safe."""
        finished = self._ledger.state.finished.get(request_id)
        if finished is not None:
            return CallReport(finished.tenant, CallStatus.FINAL, invocation_record=finished.invocation_record)
        open_call = self._ledger.state.open.get(request_id)
        if open_call is None:
            return None
        tracked = self._dispatcher.find(request_id)
        if tracked is None:
            return CallReport(open_call.accepted.tenant, CallStatus.QUEUED)
        status = CallStatus.RUNNING if tracked.is_running else CallStatus.QUEUED
        return CallReport(open_call.accepted.tenant, status, tracked.attempts)
