"""Opens and reads the usage log: the journal of an account and the archive beside it."""

from __future__ import annotations

import pathlib
import uuid
from collections.abc import Mapping

import structlog

from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_recovery import read_unlocked_journal
from saffronstack.durable.journal_state import RecordCodec
from saffronstack.metering.account import Account
from saffronstack.metering.account_limits import AccountLimits
from saffronstack.metering.archive import Archive
from saffronstack.metering.ledger_entries import AnyLedgerEntry, LedgerStarted, decode_entry, encode_entry

NAME_COMMIT_TIMEOUT_S = 10.0  # until the gateway name in a new log is durable
CODEC: RecordCodec[AnyLedgerEntry] = RecordCodec(
    encode_entry, decode_entry, lambda entry: isinstance(entry, LedgerStarted), "usage", compress=True
)
UsageLog = Journal[AnyLedgerEntry, Account]
log = structlog.get_logger("saffronstack.metering")


def open_usage_log(
    directory: str,
    segment_bytes: int,
    files: FileOperations | None = None,
    budget_windows: Mapping[str, float] | None = None,
    limits: AccountLimits | None = None,
) -> UsageLog:
    """Lock and read a usage log. A new log gets a random gateway name.

    Args:
        directory: Where the log is stored.
        segment_bytes: Size at which a segment is closed.
        files: The file layer; tests replace it.
        budget_windows: Window of each tenant that has a budget, in seconds.
        limits: How many items of the account stay in memory.

    Raises:
        JournalError: If the log cannot be locked or read.
    """
    archive = Archive(pathlib.Path(directory), files)
    account = Account(archive=archive, budget_windows=budget_windows, limits=limits)
    journal = Journal(directory, account, CODEC, segment_bytes, files)
    archive.remove_orphans()
    for problem in archive.find_unopenable_runs():
        log.error("usage archive damaged", error=problem)
        account.mark_records_lost()
    if not account.gateway:
        journal.append(LedgerStarted(uuid.uuid4().hex)).done.wait(NAME_COMMIT_TIMEOUT_S)
    return journal


def read_usage_log(directory: pathlib.Path) -> tuple[Account, list[str]]:
    """Read a usage log without locking it; return its account and one line for each damage.

    Raises:
        JournalError: If the log cannot be read.
    """
    recovered = read_unlocked_journal(directory, lambda: Account(archive=Archive(directory)), CODEC)
    return recovered.state, recovered.warnings
