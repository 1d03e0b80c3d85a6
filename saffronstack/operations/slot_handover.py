"""Moves the operations of slots between processes, by operation logs, ledgers and hand-over files."""

from __future__ import annotations

import pathlib
from collections.abc import Callable

from saffronstack.durable.errors import JournalError
from saffronstack.durable.journal_recovery import read_unlocked_journal
from saffronstack.operations.operation import EncodedOperation
from saffronstack.operations.operation_log import (
    OPERATION_LOG_CODEC,
    AnyLogRecord,
    OperationFinished,
    OperationLog,
    OperationLogState,
    OperationsExpired,
)
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.record_format import decode_record
from saffronstack.operations.slot_assignment import slot_for
from saffronstack.operations.slot_locks import RecordLocation
from saffronstack.operations.slot_manager import SlotHandover

COMMIT_TIMEOUT_S = 10.0  # for records to become durable


class OperationHandover(SlotHandover):
    """Moves operations between the service of this process and the records of other processes."""

    def __init__(
        self,
        service: OperationService,
        own_log_directory: str,
        read_ledger: Callable[[pathlib.Path], list[EncodedOperation]],
    ) -> None:
        """Create the hand-over.

        Args:
            service: The operations of this process.
            own_log_directory: The directory of this process's operation log, which is read from memory.
            read_ledger: Reads the operations of deferred calls from the directory of a ledger.
        """
        self._service = service
        self._own_log_directory = own_log_directory
        self._read_ledger = read_ledger

    def take_over(
        self, slots: frozenset[int], locations: list[RecordLocation], handed_over: list[EncodedOperation]
    ) -> None:
        """Read the operations of acquired slots, log them in this process, and add them to the service.

        Raises:
            JournalError: Records can't be read or written.
            OSError: Files can't be read or written.
        """
        record_by_digest: dict[bytes, bytes] = {}
        for location in locations:
            record_by_digest.update(self._read_location(location))
        record_by_digest.update(handed_over)
        now = self._service.now()
        operations = [
            (digest, record)
            for digest, record in record_by_digest.items()
            if slot_for(digest) in slots and decode_record(record).expires_s > now
        ]
        log = self._service.operation_log
        if log is not None and operations:
            finished = (
                OperationFinished(digest, record, decode_record(record).expires_s)
                for digest, record in operations
            )
            if not _commit(log, *finished):
                raise JournalError("operations that were taken over can't be logged")
        self._service.restore(operations)

    def hand_over(self, slots: frozenset[int]) -> dict[int, list[EncodedOperation]]:
        """Remove the operations of all slots that have none in flight; return them by slot."""
        service = self._service
        idle_slots = frozenset(slot for slot in slots if not service.count_in_flight(slot))
        log = service.operation_log
        # This record changes nothing. Once it is durable, so are all records that were logged before it.
        if idle_slots and log is not None and not _commit(log, OperationsExpired(0.0)):
            return {}
        by_slot: dict[int, list[EncodedOperation]] = {slot: [] for slot in idle_slots}
        for digest, record in service.extract_slots(idle_slots):
            by_slot[slot_for(digest)].append((digest, record))
        return by_slot

    def _read_location(self, location: RecordLocation) -> list[EncodedOperation]:
        operations: list[EncodedOperation] = []
        log = self._service.operation_log
        if location.log_directory == self._own_log_directory and log is not None:
            operations += log.state.recovered_operations()
        elif location.log_directory:
            operations += _read_log(pathlib.Path(location.log_directory))
        if location.ledger_directory:
            operations += self._read_ledger(pathlib.Path(location.ledger_directory))
        return operations


def _commit(log: OperationLog, *records: AnyLogRecord) -> bool:
    """Append records and wait until they are durable; return False if that fails or times out."""
    ticket = log.append(*records)
    return ticket.done.wait(COMMIT_TIMEOUT_S) and ticket.is_durable


def _read_log(directory: pathlib.Path) -> list[EncodedOperation]:
    """Read another member's log, which a live member may be writing.

    Raises:
        JournalError: The log can't be read.
    """
    if not directory.is_dir():
        return []
    recovered = read_unlocked_journal(directory, OperationLogState, OPERATION_LOG_CODEC)
    return list(recovered.state.recovered_operations())
