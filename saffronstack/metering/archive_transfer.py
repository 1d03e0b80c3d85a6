"""Moves what exceeds the memory limits from an account to its archive."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator
from dataclasses import dataclass

from saffronstack.durable.sorted_runs import KeyValue
from saffronstack.metering.account_limits import AccountLimits
from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import encode_amounts, encode_key
from saffronstack.metering.call_charges import CallCharges
from saffronstack.metering.interval_set import group_into_intervals
from saffronstack.metering.ledger_entries import MovedToArchive, RecordId, RecordInterval, encode_entry
from saffronstack.metering.record_registry import Incarnation, RecordRegistry
from saffronstack.metering.sliding_windows import SlidingWindows
from saffronstack.metering.usage_totals import UsageTotals


@dataclass(frozen=True, slots=True)
class AccountMemory:
    """The parts of an account that are in memory."""

    totals: UsageTotals
    records: RecordRegistry
    charges: CallCharges
    windows: SlidingWindows | None


def exceeds_limits(memory: AccountMemory, limits: AccountLimits) -> bool:
    """Return whether anything in memory exceeds its limit."""
    return (
        len(memory.totals.by_key) > limits.totals
        or len(memory.records.unconfirmed) > limits.unconfirmed
        or len(memory.records.confirmed) > limits.incarnations
        or len(memory.records.relinquished) > limits.unconfirmed
        or memory.charges.archivable_count > limits.estimates
        or (memory.windows is not None and memory.windows.bucket_count > limits.window_buckets)
    )


def write_run(memory: AccountMemory, limits: AccountLimits, archive: Archive) -> MovedToArchive:
    """Write totals, charges, windows and the oldest records and incarnations to a run.

    Up to half their limits of records and incarnations stay in memory.

    Returns:
        The entry that removes them from memory when it is applied.

    Raises:
        OSError: If the run cannot be written.
    """
    confirmed, unconfirmed = memory.records.confirmed, memory.records.unconfirmed
    incarnations = list(confirmed)[: max(0, len(confirmed) - limits.incarnations // 2)]
    records = list(unconfirmed)[: max(0, len(unconfirmed) - limits.unconfirmed // 2)]
    run = archive.write_run(sorted(_items(memory, incarnations, records)))
    return MovedToArchive(run, tuple(incarnations), tuple(_record_intervals(records)))


def _record_intervals(records: list[RecordId]) -> Iterator[RecordInterval]:
    numbers: dict[str, list[tuple[str, int]]] = defaultdict(list)
    for record in records:
        numbers[record.worker].append((record.incarnation, record.sequence_number))
    for worker, found in numbers.items():
        for interval in group_into_intervals(found):
            yield RecordInterval(worker, *interval)


def _items(
    memory: AccountMemory, incarnations: list[Incarnation], records: list[RecordId]
) -> Iterator[KeyValue]:
    for key, amounts in memory.totals.by_key.items():
        if any(amounts):
            yield encode_key("t", *key), encode_amounts(amounts)
    for worker, occupied in memory.totals.occupancy_by_worker.items():
        if any(occupied):
            yield encode_key("o", worker), encode_amounts(occupied)
    for incarnation in incarnations:
        for low, high in memory.records.confirmed[incarnation].intervals:
            yield encode_key("h", *incarnation, low), encode_amounts((high,))
    for record in records:
        yield encode_key("u", *record), encode_entry(memory.records.unconfirmed[record])
    for record in memory.records.relinquished:
        yield encode_key("u", *record), b""
    yield from memory.charges.archive_items()
    if memory.windows is not None:
        yield from _window_items(memory.windows)


def _window_items(windows: SlidingWindows) -> Iterator[KeyValue]:
    amounts: dict[tuple[str, float], int] = defaultdict(int)
    for bucket in windows.buckets_in_memory():
        amounts[bucket.tenant, bucket.start_s] += bucket.amount
    for key, amount in amounts.items():
        yield encode_key("w", *key), encode_amounts((amount,))
