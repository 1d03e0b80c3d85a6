"""Charges calls whose usage records may never arrive: the response was lost or the worker died."""

from __future__ import annotations

from saffronstack.engine.dispatch import AttemptResult
from saffronstack.engine.identifiers import worker_number
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    IncarnationEnded,
    ProvisionalCharge,
    incarnation_key,
    to_stored_amount,
)
from saffronstack.metering.metered_workers import MeterClock, MeteredWorkers
from saffronstack.metering.unconfirmed_usage import UnconfirmedCall, UnconfirmedUsage
from saffronstack.metering.usage_log import UsageLog
from saffronstack.metering.worker_messages import CallReference, UsageResponse

KIB_PER_MB = 1024
# Maximum ratio of a reported amount to memory x duration; a call may have used several instances.
MAX_REPORTED_MULTIPLE = 10


class LossCharger:
    """Appends charges for lost usage to the log.

    Only the metering thread uses it, except for ``add_answered_call``.
    """

    def __init__(self, journal: UsageLog, workers: MeteredWorkers, clock: MeterClock) -> None:
        self._journal = journal
        self._workers = workers
        self._clock = clock
        self._unconfirmed = UnconfirmedUsage()

    def add_answered_call(self, result: AttemptResult) -> None:
        """Remember an answered call until its records must have arrived. Called on workers' threads."""
        call, outcome = result.call, result.outcome
        maximum = int(call.function.memory_mb * KIB_PER_MB) * int(outcome.elapsed_s * 1e6)
        # A worker may report no amount or an implausible one.
        is_reported = 0 < result.memory_time_kib_us <= MAX_REPORTED_MULTIPLE * maximum
        self._unconfirmed.add(
            outcome.worker_id,
            UnconfirmedCall(
                self._clock.monotonic(),
                call.request_id,
                call.tenant_name,
                call.class_name,
                call.function.name,
                result.memory_time_kib_us if is_reported else maximum,
                is_reported,
                result.incarnation,
            ),
        )

    def confirm_answered_calls(self, spec: WorkerSpec, response: UsageResponse, polled_s: float) -> None:
        """Forget the answered calls whose records must have arrived, given a worker's response to a poll."""
        incarnation = incarnation_key(spec.name, response.incarnation)
        self._unconfirmed.confirm(
            spec.number,
            polled_s,
            not response.remaining_records,
            lambda request_id: self._journal.state.charges.recorded_in_memory(incarnation, request_id),
        )

    def charge_lost_attempt(self, result: AttemptResult, lost_s: float, lost_unix_s: float) -> None:
        """Charge an attempt without a response provisionally, until its worker reports the end of the call.

        If the connection did not report the worker's incarnation, the last known one is used. If none is
        known, no call was charged at this worker before.
        """
        call, outcome = result.call, result.outcome
        worker = self._workers.find_name(outcome.worker_id)
        if not worker:
            return
        function = call.function
        memory_kib = int(function.memory_mb * KIB_PER_MB)
        self._journal.append(
            ProvisionalCharge(
                worker,
                result.incarnation or self._workers.incarnations.get(worker, ""),
                CallReference(call.request_id, call.tenant_name, call.class_name),
                function.name,
                to_stored_amount(memory_kib * int(outcome.elapsed_s * 1e6)),
                lost_unix_s,
                self._clock.steady_unix_s(lost_s),
                memory_kib,
                function.concurrency,
            )
        )

    def end_incarnation(self, worker: str, new_incarnation: str) -> None:
        """Turn the charges of a worker's ended incarnations into estimates, as no more records will arrive.

        Answered calls whose records may be lost are charged like calls whose response was lost.

        Args:
            worker: Name of the worker.
            new_incarnation: The incarnation that the worker reports now; empty if the worker was removed.
        """
        account = self._journal.state
        ended = {
            charge.incarnation
            for charge in list(account.provisional.values())
            if charge.worker == worker and charge.incarnation != new_incarnation
        }
        last = self._workers.incarnations.get(worker, "")
        entries: list[AnyLedgerEntry] = []
        if last and last != new_incarnation:
            ended.add(last)
            entries += self._charge_answered_calls(worker, last, new_incarnation)
        entries += [IncarnationEnded(worker, incarnation) for incarnation in sorted(ended)]
        if entries:
            self._journal.append(*entries)

    def end_removed_workers(self) -> None:
        """Turn the charges that arrived after their worker's removal into estimates, as nobody polls it."""
        charged = {charge.worker for charge in list(self._journal.state.provisional.values())}
        for number, name in self._workers.removed.items():
            if name in charged or self._unconfirmed.has_calls(number):
                self.end_incarnation(name, "")

    def _charge_answered_calls(
        self, worker: str, ended_incarnation: str, new_incarnation: str
    ) -> list[ProvisionalCharge]:
        now_s, now_unix_s = self._clock.monotonic(), self._clock.wall()
        key = incarnation_key(worker, ended_incarnation)
        charges = []
        for call in self._unconfirmed.pop_calls_of_dead_worker(worker_number(worker)):
            if call.incarnation == new_incarnation:  # answered before the new incarnation was known here
                continue
            if call.amount <= self._journal.state.charges.recorded_in_memory(key, call.request_id):
                continue
            charges.append(
                ProvisionalCharge(
                    worker,
                    ended_incarnation,
                    CallReference(call.request_id, call.tenant, call.request_class),
                    call.function,
                    to_stored_amount(call.amount),
                    now_unix_s - (now_s - call.ended_s),
                    self._clock.steady_unix_s(call.ended_s),
                )
            )
        return charges
