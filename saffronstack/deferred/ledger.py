"""The ledger of deferred calls: their records in a journal."""

from __future__ import annotations

from saffronstack.deferred.book import Book
from saffronstack.deferred.records import AnyRecord, Snapshot, decode, encode
from saffronstack.durable.journal import Codec, Journal
from saffronstack.durable.segments import Files

CODEC: Codec[AnyRecord] = Codec(encode, decode, lambda record: isinstance(record, Snapshot))
Ledger = Journal[AnyRecord, Book]


def open_ledger(directory: str, history: int, segment_bytes: int, files: Files | None = None) -> Ledger:
    """Lock and read a ledger. JournalError where another process holds it or it can't be read."""
    return Journal(directory, Book(history), CODEC, segment_bytes, files)
