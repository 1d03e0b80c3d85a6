"""Registers the counted usage records, so that each counts once. Only the archive performs I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterator
from typing import TypeVar

from saffronstack.durable.errors import RunDamagedError
from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import decode_amounts, decode_key, encode_key, encode_key_prefix
from saffronstack.metering.interval_set import IntervalSet
from saffronstack.metering.ledger_entries import (
    MovedToArchive,
    RecordConfirmed,
    RecordId,
    RecordReceived,
    decode_entry,
)

RECORD_KEY_LENGTH = 4  # parts of an archive key, including its kind
Incarnation = tuple[str, str]  # worker, incarnation
T = TypeVar("T")


class RecordRegistry:
    """The counted records, confirmed or not. The account owns it; other threads read copies.

    Attributes:
        unconfirmed: Counted records that their worker has not confirmed.
        confirmed: Sequence numbers of confirmed records; the incarnation confirmed longest ago is first.
        relinquished: Records in a run that belong to another gateway.
    """

    def __init__(self, archive: Archive | None, on_archive_fault: Callable[[], None]) -> None:
        self._archive = archive
        self._on_archive_fault = on_archive_fault
        self.unconfirmed: dict[RecordId, RecordReceived] = {}
        self.confirmed: OrderedDict[Incarnation, IntervalSet] = OrderedDict()
        self.relinquished: set[RecordId] = set()

    # ---- changes

    def add(self, entry: RecordReceived) -> bool:
        """Add a record unless it is counted already; return whether it was added."""
        usage = entry.usage
        record = RecordId(usage.worker, usage.incarnation, usage.sequence_number)
        # The gateway accepted the record as unknown, so it counts even if the archive cannot be read.
        if self._query_archive(lambda: self.has_record(*record), False):
            return False
        self.unconfirmed[record] = entry
        return True

    def confirm(self, entry: RecordConfirmed) -> None:
        """Replace counted records by their sequence numbers; skip records that are not counted here."""
        low, last = entry.sequence_number, max(entry.sequence_number, entry.last)
        incarnation = entry.worker, entry.incarnation
        intervals = []
        for sequence_number in range(entry.sequence_number, last + 1):
            record = RecordId(*incarnation, sequence_number)
            if self.unconfirmed.pop(record, None) is None and not self._is_archived(record):
                intervals.append((low, sequence_number - 1))
                low = sequence_number + 1
        for first, final in [*intervals, (low, last)]:
            if first <= final:
                self.confirmed.setdefault(incarnation, IntervalSet()).add(first, final)
        if incarnation in self.confirmed:
            self.confirmed.move_to_end(incarnation)

    def restore_confirmed(self, incarnation: Incarnation, low: int, high: int) -> None:
        """Add an interval of confirmed sequence numbers from a snapshot."""
        self.confirmed.setdefault(incarnation, IntervalSet()).add(low, high)

    def remove_unconfirmed(self, record: RecordId) -> RecordReceived | None:
        """Remove and return an unconfirmed record from memory or archive; None if it is not counted."""
        found = self.unconfirmed.pop(record, None)
        archive = self._archive
        if found is not None or archive is None or not archive.runs or record in self.relinquished:
            return found
        intervals = self.confirmed.get((record.worker, record.incarnation))
        value = self._query_archive(lambda: archive.find(encode_key("u", *record)), None)
        if not value or (intervals is not None and record.sequence_number in intervals):
            return None
        self.relinquished.add(record)
        return _decode_record(value)

    def forget_archived(self, entry: MovedToArchive) -> None:
        """Forget what was moved to a run."""
        self.relinquished.clear()
        for incarnation in entry.incarnations:
            self.confirmed.pop(incarnation, None)
        for moved in entry.unconfirmed:
            for sequence_number in range(moved.low, moved.high + 1):
                self.unconfirmed.pop(RecordId(moved.worker, moved.incarnation, sequence_number), None)

    # ---- queries

    def has_record(self, worker: str, incarnation: str, sequence_number: int) -> bool:
        """Return whether a record counts or is confirmed.

        Raises:
            RunDamagedError: If the archive cannot be read.
        """
        intervals = self.confirmed.get((worker, incarnation))
        if RecordId(worker, incarnation, sequence_number) in self.unconfirmed:
            return True
        if intervals is not None and sequence_number in intervals:
            return True
        return self._archive is not None and self._archive.has_record(worker, incarnation, sequence_number)

    def confirmed_intervals(self) -> Iterator[tuple[Incarnation, tuple[int, int]]]:
        """Yield intervals of confirmed sequence numbers from memory and archive."""
        for incarnation, intervals in list(self.confirmed.items()):
            for interval in list(intervals.intervals):
                yield incarnation, interval
        if self._archive is not None and self._archive.runs:
            for key, value in self._archive.items_with_prefix(encode_key_prefix(RECORD_KEY_LENGTH, "h")):
                _, worker, name, low = decode_key(key)
                yield (str(worker), str(name)), (int(low), decode_amounts(value)[0])

    def unconfirmed_records(self) -> Iterator[tuple[RecordId, RecordReceived]]:
        """Yield unconfirmed records from memory and archive.

        A record from the archive may have been confirmed since; then its sequence number is confirmed too.
        """
        yield from list(self.unconfirmed.items())
        if self._archive is not None and self._archive.runs:
            for key, value in self._archive.items_with_prefix(encode_key_prefix(RECORD_KEY_LENGTH, "u")):
                if value:
                    _, worker, incarnation, sequence_number = decode_key(key)
                    record = RecordId(str(worker), str(incarnation), int(sequence_number))
                    if record not in self.relinquished:
                        yield record, _decode_record(value)

    def _is_archived(self, record: RecordId) -> bool:
        archive = self._archive
        return archive is not None and self._query_archive(lambda: archive.has_record(*record), True)

    def _query_archive(self, query: Callable[[], T], default: T) -> T:
        """Query the archive. If it is unreadable, return the default and mark the account as in doubt."""
        try:
            return query()
        except (RunDamagedError, OSError):
            self._on_archive_fault()
            return default


def _decode_record(value: bytes) -> RecordReceived:
    entry = decode_entry(value)
    assert isinstance(entry, RecordReceived)
    return entry
