"""Collects usage records from workers, validates them and appends them to the usage log."""

from __future__ import annotations

import base64
import binascii
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
import structlog

from saffronstack.durable.append_ticket import AppendTicket
from saffronstack.durable.errors import RunDamagedError
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.metering.budgets import BudgetEnforcer
from saffronstack.metering.interval_set import group_into_intervals
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    ProvisionalChargeVoided,
    RecordConfirmed,
    RecordId,
    RecordReceived,
    RecordRelinquished,
    incarnation_key,
)
from saffronstack.metering.loss_charger import LossCharger
from saffronstack.metering.metered_workers import MeterClock, MeteredWorkers
from saffronstack.metering.record_validation import find_rejection_reason
from saffronstack.metering.usage_log import UsageLog
from saffronstack.metering.worker_messages import UsageRecord, UsageResponse

log = structlog.get_logger("saffronstack.metering")


@dataclass(frozen=True, slots=True)
class _PendingCommit:
    """Records that are appended to the log but may not be in the account yet."""

    ticket: AppendTicket[AnyLedgerEntry]
    records: list[RecordId]


class RecordCollector:
    """Appends workers' records to the log. The metering thread owns it; any thread may read the counters."""

    def __init__(
        self,
        journal: UsageLog,
        workers: MeteredWorkers,
        losses: LossCharger,
        clock: MeterClock,
        memory_kib: Callable[[WorkerSpec], int],
        budgets: BudgetEnforcer | None,
    ) -> None:
        """Create a collector.

        Args:
            journal: The usage log.
            workers: The workers and their incarnations; the collector updates the incarnations.
            losses: Is notified of incarnations that ended.
            clock: The gateway's clocks.
            memory_kib: Returns the memory of a worker in the configuration.
            budgets: Is notified of functions that are loaded at some worker.
        """
        self.accepted = 0
        self.rejected = 0
        self._journal = journal
        self._workers = workers
        self._losses = losses
        self._clock = clock
        self._memory_kib = memory_kib
        self._budgets = budgets
        self._pending: list[_PendingCommit] = []
        self._pending_records: set[RecordId] = set()
        self._rejected_numbers: dict[str, list[tuple[str, int]]] = defaultdict(list)  # by worker
        self._dropped: dict[str, tuple[str, int]] = {}  # by worker: incarnation, dropped records
        self._dropped_in_ended_incarnations = 0

    def records_dropped_by_workers(self) -> int:
        """Return the number of records that workers dropped because of their own limits.

        Incarnations that this gateway never polled are not included.
        """
        return self._dropped_in_ended_incarnations + sum(count for _, count in list(self._dropped.values()))

    def collect_header(self, worker: WorkerSpec, text: str) -> None:
        """Collect the records in the usage header of a response."""
        try:
            self.collect(worker, base64.b64decode(text, validate=True))
        except binascii.Error:
            self._reject(worker.name, "its usage header is not base64")

    def collect(self, worker: WorkerSpec, body: bytes) -> UsageResponse | None:
        """Append a worker's records, confirmations and ended calls to the log.

        Returns:
            The decoded message, or None if it is invalid.
        """
        try:
            response = msgspec.msgpack.decode(body, type=UsageResponse)
        except (msgspec.MsgspecError, ValueError) as error:
            self._reject(worker.name, f"not readable: {error}")
            return None
        if response.worker != worker.name:
            # Another process took the address. Its records are not acknowledged, so that it keeps them until
            # it is polled under its own name.
            self._reject(worker.name, f"worker {response.worker} responded at its address")
            return None
        self._update_incarnation(worker.name, response)
        accepted = self._accept_records(worker, response)
        self.accepted += len(accepted)
        entries: list[AnyLedgerEntry] = [*accepted]
        entries += [
            RecordConfirmed(worker.name, *interval) for interval in group_into_intervals(response.confirmed)
        ]
        entries += [RecordRelinquished(worker.name, *record) for record in response.relinquished]
        incarnation = incarnation_key(worker.name, response.incarnation)
        entries += [
            ProvisionalChargeVoided(incarnation, request_id) for request_id in response.ended_request_ids
        ]
        if entries:
            records = [_record_id(entry.usage) for entry in accepted]
            self._pending.append(_PendingCommit(self._journal.append(*entries), records))
        return response

    def forget_committed(self) -> None:
        """Forget pending records whose commit is done. Workers offer the records of a failed commit again."""
        pending = []
        for commit in self._pending:
            if commit.ticket.done.is_set():
                self._pending_records.difference_update(commit.records)
            else:
                pending.append(commit)
        self._pending = pending

    def pop_rejected(self, worker: str) -> list[tuple[str, int]]:
        """Remove and return a worker's rejected records. Once acknowledged, they are not offered again."""
        return self._rejected_numbers.pop(worker, [])

    def _update_incarnation(self, worker: str, response: UsageResponse) -> None:
        if self._workers.incarnations.get(worker, response.incarnation) != response.incarnation:
            self._losses.end_incarnation(worker, response.incarnation)
        self._workers.incarnations[worker] = response.incarnation
        before, dropped = self._dropped.get(worker, (response.incarnation, 0))
        if before != response.incarnation:
            self._dropped_in_ended_incarnations += dropped
        self._dropped[worker] = response.incarnation, max(0, response.dropped_records)

    def _accept_records(self, worker: WorkerSpec, response: UsageResponse) -> list[RecordReceived]:
        now_s, now_unix_s = self._clock.monotonic(), self._clock.wall()
        memory_kib = self._memory_kib(worker)
        accepted = []
        for usage in response.records:
            reason = find_rejection_reason(
                usage, worker.name, response.incarnation, response.now_us, memory_kib
            )
            if reason:
                self._reject(worker.name, f"record {usage.sequence_number}: {reason}")
                self._rejected_numbers[worker.name].append((usage.incarnation, usage.sequence_number))
                continue
            record = _record_id(usage)
            if self._is_known(record):
                continue
            self._pending_records.add(record)
            if self._budgets is not None and (usage.running_instances or usage.idle_instances):
                self._budgets.mark_loaded(usage.function, now_s)
            age_s = max(0.0, (response.now_us - usage.end_us) / 1e6)
            accepted.append(
                RecordReceived(usage, now_unix_s - age_s, self._clock.steady_unix_s(now_s) - age_s)
            )
        return accepted

    def _is_known(self, record: RecordId) -> bool:
        """Return whether to ignore a record: it is known, or an unreadable archive leaves this open.

        An ignored record is not acknowledged, so its worker keeps it.
        """
        try:
            return record in self._pending_records or self._journal.state.has_record(*record)
        except (RunDamagedError, OSError) as error:
            log.error("usage archive unreadable; record left with its worker", error=str(error))
            return True

    def _reject(self, worker: str, reason: str) -> None:
        self.rejected += 1
        log.warning("usage report rejected", worker=worker, error=reason)


def _record_id(usage: UsageRecord) -> RecordId:
    return RecordId(usage.worker, usage.incarnation, usage.sequence_number)
