"""The ledger: the journal of deferred calls, whose state is a `CallTable`."""

from __future__ import annotations

import pathlib

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.records import LedgerRecord, SnapshotStart, decode, encode
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_recovery import read_unlocked_journal
from saffronstack.durable.journal_state import RecordCodec

CODEC: RecordCodec[LedgerRecord] = RecordCodec(
    encode, decode, lambda record: isinstance(record, SnapshotStart)
)
Ledger = Journal[LedgerRecord, CallTable]


def open_ledger(
    directory: str, max_finished: int, segment_bytes: int, files: FileOperations | None = None
) -> Ledger:
    """Lock and recover a ledger.

    Args:
        directory: Directory of the ledger.
        max_finished: Number of final records to keep.
        segment_bytes: Size at which a segment is closed.
        files: Performs the file operations; the system's by default.

    Raises:
        JournalError: Another process holds the ledger, or it cannot be read.
    """
    return Journal(directory, CallTable(max_finished), CODEC, segment_bytes, files)


def read_call_operations(directory: pathlib.Path) -> list[tuple[bytes, bytes]]:
    """Return digest and encoded record of each operation in a ledger, which is read without its lock.

    Raises:
        JournalError: The ledger cannot be read.
    """
    operations = _read_call_table(directory).operations.values()
    return [(operation.operation_digest, operation.packed_operation) for operation in operations]


def count_open_calls(directory: pathlib.Path) -> int:
    """Return the number of open calls in a ledger, which is read without its lock.

    Raises:
        JournalError: The ledger cannot be read.
    """
    return len(_read_call_table(directory).open)


def _read_call_table(directory: pathlib.Path) -> CallTable:
    if not directory.is_dir():
        return CallTable(0)
    return read_unlocked_journal(directory, lambda: CallTable(0), CODEC).state
