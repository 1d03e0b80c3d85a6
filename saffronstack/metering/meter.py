"""The meter of a gateway: a thread that collects and acknowledges usage records and charges lost calls."""

from __future__ import annotations

import queue
import threading
from collections.abc import Callable

import structlog

from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.archive_compactor import ArchiveCompactor
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.loss_charger import LossCharger
from saffronstack.metering.metered_workers import MeterClock, MeteredWorkers
from saffronstack.metering.record_collector import RecordCollector
from saffronstack.metering.usage_log import UsageLog
from saffronstack.metering.usage_poller import UsagePoller, WorkerPoller
from saffronstack.routing.events import Result
from saffronstack.runtime.threads import start_thread

POLL_INTERVAL_S = 1.0
# Minimum time between invitations of a worker. Records on every response cost a fifth of the throughput.
INVITATION_INTERVAL_S = 0.1
MAX_QUEUED_STEPS = 100_000
ANSWERED = (Result.OK, Result.ERROR)
LOST = (Result.TIMEOUT, Result.RESET, Result.CANCELLED)
log = structlog.get_logger("saffronstack.metering")


class Meter:
    """Meters calls on a thread of its own. The journal's writer thread owns the account."""

    def __init__(
        self,
        journal: UsageLog,
        send_poll: WorkerPoller,
        clock: MeterClock,
        memory_kib: Callable[[WorkerSpec], int],
        poll_interval_s: float = POLL_INTERVAL_S,
        budgets: BudgetEnforcer | None = None,
    ) -> None:
        """Create a meter.

        Args:
            journal: The usage log.
            send_poll: Sends a poll to a worker.
            clock: The gateway's clocks.
            memory_kib: Returns the memory of a worker in the configuration.
            poll_interval_s: Seconds between polls of a worker.
            budgets: Is notified of functions that are loaded at some worker.
        """
        self.journal = journal
        self.postponed_headers = 0  # headers that a full queue dropped; their workers offer the records again
        self._clock = clock
        self._interval_s = poll_interval_s
        self._workers = MeteredWorkers()
        self._losses = LossCharger(journal, self._workers, clock)
        self._collector = RecordCollector(journal, self._workers, self._losses, clock, memory_kib, budgets)
        self._poller = UsagePoller(journal, self._workers, self._collector, send_poll, poll_interval_s)
        self._compactor = ArchiveCompactor(journal)
        self._queue: queue.SimpleQueue[Callable[[], None] | None] = queue.SimpleQueue()
        self._invited_s: dict[int, float] = {}  # by worker id; a race only causes one more invitation
        self._ended = threading.Event()

    def start(self) -> None:
        """Start the thread. It acknowledges received but unconfirmed records again."""
        start_thread("meter", self._run)

    def stop(self, timeout_s: float = 5.0) -> bool:
        """Process and write what is queued, then end; return whether this took less than the timeout."""
        self._queue.put(None)
        return self._ended.wait(timeout_s) and self.journal.close(timeout_s)

    def update_workers(self, specs: list[WorkerSpec]) -> None:
        """Replace the workers to poll. Provisional charges of removed workers become estimated charges."""
        self._queue.put(lambda: self._replace_workers(specs))

    @property
    def accepted(self) -> int:
        """Number of accepted records."""
        return self._collector.accepted

    @property
    def rejected(self) -> int:
        """Number of records and messages that were rejected as invalid."""
        return self._collector.rejected

    def records_dropped_by_workers(self) -> int:
        """Return the number of records that workers dropped because of their own limits.

        Incarnations that this gateway never polled are not included.
        """
        return self._collector.records_dropped_by_workers()

    # ---- on the workers' threads

    def gateway_name_for(self, worker_id: int) -> str:
        """Return the gateway name that invites a worker to send records with its response.

        It is empty if the worker was invited within the last ``INVITATION_INTERVAL_S``.
        """
        now_s = self._clock.monotonic()
        if now_s - self._invited_s.get(worker_id, -1e9) < INVITATION_INTERVAL_S:
            return ""
        self._invited_s[worker_id] = now_s
        return self.journal.state.gateway

    def on_usage_records(self, worker: WorkerSpec, text: str) -> None:
        """Queue the usage header of a response."""
        if self._queue.qsize() > MAX_QUEUED_STEPS:
            self.postponed_headers += 1
            return
        self._queue.put(lambda: self._collector.collect_header(worker, text))

    def on_attempt_result(self, result: AttemptResult) -> None:
        """Process the result of an attempt. One without a response is charged, because it may have run."""
        outcome = result.outcome
        if outcome.result in LOST:
            # The clocks are read here because the meter's thread may process the result late.
            lost_s, lost_unix_s = self._clock.monotonic(), self._clock.wall()
            self._queue.put(lambda: self._losses.charge_lost_attempt(result, lost_s, lost_unix_s))
        elif outcome.result in ANSWERED:
            self._losses.add_answered_call(result)

    # ---- on the meter's thread

    def _run(self) -> None:
        poll_s = self._clock.monotonic()
        try:
            while True:
                wait_s = max(0.0, poll_s - self._clock.monotonic())
                try:
                    step = self._queue.get(timeout=wait_s) if wait_s else self._queue.get_nowait()
                except queue.Empty:
                    step = _no_step
                if step is None:
                    return
                self._run_guarded(step)
                if step is _no_step or self._clock.monotonic() >= poll_s:
                    poll_s = self._clock.monotonic() + self._interval_s
                    self._run_guarded(self._poll_all)
        finally:
            self._ended.set()

    @staticmethod
    def _run_guarded(step: Callable[[], None]) -> None:
        try:
            step()
        except Exception:
            log.exception("metering step failed")

    def _replace_workers(self, specs: list[WorkerSpec]) -> None:
        for name in self._workers.replace(specs):
            self._losses.end_incarnation(name, "")

    def _poll_all(self) -> None:
        self._compactor.start_if_needed()
        self._losses.end_removed_workers()
        self._poller.poll_all(self._clock.monotonic(), self._on_poll_response)

    def _on_poll_response(self, spec: WorkerSpec, body: bytes | None, polled_s: float) -> None:
        """Queue the response to a poll. Called on any thread."""
        self._queue.put(lambda: self._process_poll_response(spec, body, polled_s))

    def _process_poll_response(self, spec: WorkerSpec, body: bytes | None, polled_s: float) -> None:
        self._poller.end_poll(spec.name)
        response = self._collector.collect(spec, body) if body is not None else None
        if response is not None:
            self._losses.confirm_answered_calls(spec, response, polled_s)


def _no_step() -> None:
    """Do nothing. Represents an empty queue at the time of the next poll."""
