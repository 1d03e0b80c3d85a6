"""Ledgers of deferred calls for tests: records, commits and recovery."""

from __future__ import annotations

import pathlib

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.ledger import CODEC, Ledger, open_ledger
from saffronstack.deferred.records import CallAccepted, CallFinished, LedgerRecord
from saffronstack.durable.journal_recovery import RecoveredJournal, recover_journal
from saffronstack.durable.segments import list_segment_numbers, segment_name


def recover_ledger(directory: pathlib.Path, history: int) -> RecoveredJournal[CallTable]:
    return recover_journal(directory, CallTable(history), CODEC)


def accepted_call(n: int, payload: bytes = b"{}") -> CallAccepted:
    return CallAccepted(f"id-{n}", "record-sale", "t", payload, "", f"k{n}", float(n))


def finished_call(n: int) -> CallFinished:
    return CallFinished(f"id-{n}", "record-sale", "t", float(n), b'{"n":%d}' % n)


def open_filled_ledger(directory: pathlib.Path, count: int = 5, **more: int) -> Ledger:
    ledger = open_ledger(str(directory), more.get("history", 100), more.get("segment_bytes", 1 << 20))
    for n in range(count):
        commit(ledger, accepted_call(n))
    return ledger


def commit(ledger: Ledger, *items: LedgerRecord) -> None:
    ticket = ledger.append(*items)
    assert ticket.done.wait(5)
    assert ticket.is_durable, ticket.error


def only_segment(directory: pathlib.Path) -> pathlib.Path:
    (number,) = list_segment_numbers(directory)
    return directory / segment_name(number)
