"""Converts the state of an account to snapshot entries and back."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from saffronstack.metering.call_charges import CallCharges
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    ArchivedRecordRelinquished,
    ArchiveRuns,
    BudgetWindowBucket,
    CallCharge,
    ConfirmedInterval,
    EstimatedCharge,
    LedgerStarted,
    OccupancyTotal,
    RecordId,
    RetainedCallCharge,
    UsageTotal,
    to_stored_amount,
)
from saffronstack.metering.record_registry import RecordRegistry
from saffronstack.metering.sliding_windows import SlidingWindows
from saffronstack.metering.usage_totals import Amounts, TotalKey, UsageTotals

# Approximate sizes of snapshot entries.
TOTAL_BYTES = 80
RECORD_BYTES = 200
WINDOW_BUCKET_BYTES = 40
START_BYTES = 64


@dataclass(frozen=True, slots=True)
class AccountState:
    """The parts of an account that a snapshot contains."""

    gateway: str
    runs: tuple[int, ...]
    totals: UsageTotals
    records: RecordRegistry
    charges: CallCharges
    windows: SlidingWindows | None


def estimate_snapshot_bytes(state: AccountState) -> int:
    """Return the approximate size of a snapshot in bytes."""
    bucket_count = state.windows.bucket_count if state.windows is not None else 0
    record_count = len(state.records.unconfirmed) + len(state.charges.provisional)
    return (
        TOTAL_BYTES * len(state.totals.by_key)
        + RECORD_BYTES * record_count
        + WINDOW_BUCKET_BYTES * bucket_count
        + START_BYTES
    )


def snapshot_entries(
    state: AccountState, unconfirmed_totals: UsageTotals, unconfirmed_charges: CallCharges
) -> Iterator[AnyLedgerEntry]:
    """Yield entries that add up to a state.

    Args:
        state: The state of an account.
        unconfirmed_totals: Totals of the unconfirmed records. They are subtracted, because the snapshot
            contains the unconfirmed records as entries.
        unconfirmed_charges: What the unconfirmed records charge; subtracted as well.
    """
    yield LedgerStarted(state.gateway)
    if state.runs:
        yield ArchiveRuns(state.runs)
    yield from _total_entries(state.totals, unconfirmed_totals)
    yield from _occupancy_entries(state.totals, unconfirmed_totals)
    for incarnation, intervals in state.records.confirmed.items():
        for low, high in intervals.intervals:
            yield ConfirmedInterval(*incarnation, low, high)
    yield from state.records.unconfirmed.values()
    yield from state.charges.snapshot(unconfirmed_charges)
    for record in state.records.relinquished:
        yield ArchivedRecordRelinquished(*record)
    if state.windows is not None:
        yield from _window_entries(state.windows)


def restore_entry(state: AccountState, entry: AnyLedgerEntry) -> None:
    """Apply an entry of a snapshot to the matching part of the state."""
    match entry:
        case UsageTotal():
            key = TotalKey(
                entry.tenant, entry.function, entry.request_class, entry.worker, entry.hour_start_s
            )
            amounts = (entry.loading, entry.running, entry.idle, entry.estimated)
            state.totals.by_key[key] = [int(amount) for amount in amounts]
        case CallCharge() | EstimatedCharge() | RetainedCallCharge():
            state.charges.restore(entry)
        case OccupancyTotal():
            occupied = (entry.loading, entry.running, entry.idle)
            state.totals.occupancy_by_worker[entry.worker] = [int(amount) for amount in occupied]
        case ConfirmedInterval():
            state.records.restore_confirmed((entry.worker, entry.incarnation), entry.low, entry.high)
        case ArchivedRecordRelinquished():
            record = RecordId(entry.worker, entry.incarnation, entry.sequence_number)
            state.records.relinquished.add(record)
        case BudgetWindowBucket():
            if state.windows is not None:
                state.windows.restore(entry.tenant, entry.window_s, entry.start_s, int(entry.amount))


def _total_entries(totals: UsageTotals, unconfirmed: UsageTotals) -> Iterator[AnyLedgerEntry]:
    for key, amounts in totals.by_key.items():
        remaining = _subtract(amounts, unconfirmed.by_key.get(key, [0, 0, 0, 0]))
        if any(remaining):
            yield UsageTotal(*key, *map(to_stored_amount, remaining))
    for key, amounts in unconfirmed.by_key.items():
        if key not in totals.by_key and any(amounts):  # its total has moved to a run
            yield UsageTotal(*key, *(to_stored_amount(-amount) for amount in amounts))


def _occupancy_entries(totals: UsageTotals, unconfirmed: UsageTotals) -> Iterator[AnyLedgerEntry]:
    for worker in {**totals.occupancy_by_worker, **unconfirmed.occupancy_by_worker}:
        remaining = _subtract(
            totals.occupancy_by_worker.get(worker, [0, 0, 0]),
            unconfirmed.occupancy_by_worker.get(worker, [0, 0, 0]),
        )
        if any(remaining):
            yield OccupancyTotal(worker, *map(to_stored_amount, remaining))


def _window_entries(windows: SlidingWindows) -> Iterator[AnyLedgerEntry]:
    """Yield the buckets of the windows, after an empty one that clears what earlier entries added.

    Unconfirmed records precede them in the snapshot and add to windows too.
    """
    yield BudgetWindowBucket("", 0.0, 0.0, 0)
    for bucket in windows.snapshot():
        yield BudgetWindowBucket(
            bucket.tenant, bucket.window_s, bucket.start_s, to_stored_amount(bucket.amount)
        )


def _subtract(amounts: Amounts, subtrahend: Amounts) -> Amounts:
    return [left - right for left, right in zip(amounts, subtrahend, strict=True)]
