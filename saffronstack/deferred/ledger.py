"""The ledger of deferred calls: their records in a journal."""

from __future__ import annotations

import pathlib

from saffronstack.deferred.book import Book
from saffronstack.deferred.records import AnyRecord, Snapshot, decode, encode
from saffronstack.durable.errors import JournalError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_recovery import recover_journal
from saffronstack.durable.journal_state import RecordCodec

CODEC: RecordCodec[AnyRecord] = RecordCodec(encode, decode, lambda record: isinstance(record, Snapshot))
TRIES = 5
Ledger = Journal[AnyRecord, Book]


def open_ledger(
    directory: str, history: int, segment_bytes: int, files: FileOperations | None = None
) -> Ledger:
    """Lock and read a ledger. JournalError where another process holds it or it can't be read."""
    return Journal(directory, Book(history), CODEC, segment_bytes, files)


def names_in(directory: pathlib.Path) -> list[tuple[bytes, bytes]]:
    """What deferred calls in a ledger are named, read without its lock. JournalError where it can't be
    read."""
    for left in reversed(range(TRIES)):
        book = Book(0)
        try:
            if directory.is_dir():
                recover_journal(directory, book, CODEC)
            return [(named.operation, named.packed) for named in book.names.values()]
        except JournalError as error:  # one that lives may compact it meanwhile
            if not left or not isinstance(error.__cause__, FileNotFoundError):
                raise
    return []
