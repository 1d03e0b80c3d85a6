"""The ledger: the journal of deferred calls, whose state is a `CallTable`."""

from __future__ import annotations

import pathlib

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.records import LedgerRecord, SnapshotStart, decode, encode
from saffronstack.durable.errors import JournalError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_recovery import recover_journal
from saffronstack.durable.journal_state import RecordCodec

CODEC: RecordCodec[LedgerRecord] = RecordCodec(
    encode, decode, lambda record: isinstance(record, SnapshotStart)
)
MAX_READ_ATTEMPTS = 5  # a compaction may remove a segment while the ledger is read
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
    for remaining_attempts in reversed(range(MAX_READ_ATTEMPTS)):
        table = CallTable(0)
        try:
            if directory.is_dir():
                recover_journal(directory, table, CODEC)
            return [
                (operation.operation_digest, operation.packed_operation)
                for operation in table.operations.values()
            ]
        except JournalError as error:
            was_segment_removed = isinstance(error.__cause__, FileNotFoundError)
            if not remaining_attempts or not was_segment_removed:
                raise
    return []
