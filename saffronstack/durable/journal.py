"""A write-ahead log of records: one writer thread with group commit, compaction, and recovery when opened."""

from __future__ import annotations

import contextlib
import errno
import pathlib
import queue
import time
from collections.abc import Callable
from types import TracebackType
from typing import Generic

import structlog

from saffronstack.durable.append_ticket import AppendTicket
from saffronstack.durable.directory_lock import DirectoryLock
from saffronstack.durable.disk_health import DiskHealth
from saffronstack.durable.errors import JournalError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal_recovery import RecoveredJournal, recover_journal
from saffronstack.durable.journal_state import RecordCodec, RecordT, StateT
from saffronstack.durable.segment_writer import MAX_BLOCK_BYTES, SegmentWriter
from saffronstack.durable.timed_file_operations import TimedFileOperations
from saffronstack.runtime.threads import start_thread

MAX_COMMIT_RECORDS = 4096
COMPACTION_RATIO = 2.0  # segments larger than this multiple of a snapshot's size are compacted
COPIES_PER_BLOCK = 2  # a block with one damaged copy is read from the other
IDLE_POLL_S = 1.0  # longest single wait of the writer thread for an append
CLOSE_TIMEOUT_S = 10.0  # default time that `close` waits for the writer thread
log = structlog.get_logger("saffronstack.journal")


class Journal(Generic[RecordT, StateT]):
    """An append-only log of records in a directory, and the state that results from applying them.

    Any thread can append. Records are durable once their ticket is done without an error. The writer thread
    commits all queued records with one sync, applies them to the state, and compacts the segments.
    """

    def __init__(
        self,
        directory: str,
        state: StateT,
        codec: RecordCodec[RecordT],
        segment_bytes: int,
        files: FileOperations | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Lock the directory, recover the state and start the writer thread.

        Args:
            directory: Directory of the segments; created if it is missing.
            state: An empty state, to which the records are applied.
            codec: Encodes and decodes the records.
            segment_bytes: Size at which a segment is closed.
            files: Performs the file operations; the system's by default.
            clock: Returns monotonic seconds; used to detect stalls.

        Raises:
            JournalError: Another process holds the directory, or it cannot be read.
        """
        self._directory = pathlib.Path(directory)
        self._clock = clock
        self._codec = codec
        self._segment_bytes = segment_bytes
        self.disk_health = DiskHealth()
        self.state = state
        self._directory_lock = DirectoryLock(self._directory)
        self.recovered = self._recover()
        timed_files = TimedFileOperations(files or FileOperations(), self.disk_health, clock)
        self._segments = SegmentWriter(self._directory, timed_files, codec, self.recovered)
        self.write_error = ""  # why the last commit failed; empty while commits succeed
        self._has_stopped = False  # True after an exception that is not a disk error; all later appends fail
        self._queue: queue.SimpleQueue[AppendTicket[RecordT] | None] = queue.SimpleQueue()
        self._thread = start_thread("journal", self._run)

    def _recover(self) -> RecoveredJournal[StateT]:
        """Recover the state, and remove the temporary files of an interrupted compaction."""
        try:
            recovered = recover_journal(self._directory, self.state, self._codec)
        except JournalError:
            self._directory_lock.release()
            raise
        for temporary_path in self._directory.glob("*.tmp"):
            with contextlib.suppress(
                OSError
            ):  # a file that cannot be removed must not keep the journal from opening
                temporary_path.unlink()
        for warning in recovered.warnings:
            log.warning("journal segment damaged", directory=str(self._directory), detail=warning)
        return recovered

    def __enter__(self) -> Journal[RecordT, StateT]:
        """Return the open journal."""
        return self

    def __exit__(
        self, kind: type[BaseException] | None, error: BaseException | None, trace: TracebackType | None
    ) -> None:
        """Close the journal."""
        self.close()

    def append(self, *records: RecordT) -> AppendTicket[RecordT]:
        """Queue records, which become durable together or not at all. Thread-safe."""
        ticket = AppendTicket(records, self._codec.encode)
        self._queue.put(ticket)
        return ticket

    def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> bool:
        """Write the queued records and release the directory; return whether that finished in time."""
        self._queue.put(None)
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    @property
    def stalled_s(self) -> float:
        """Duration of the disk's current stall in seconds, or 0.

        Appends wait until the stall ends. Code that can tell a client to retry later should do so instead of
        appending.
        """
        return self.disk_health.stalled_s(self._clock())

    @property
    def retry_after_s(self) -> float:
        """Seconds after which clients should retry while the disk is stalled."""
        return self.disk_health.retry_after_s(self._clock())

    @property
    def queued_appends(self) -> int:
        """Number of appends that wait for the writer thread."""
        return self._queue.qsize()

    @property
    def commits(self) -> int:
        """Number of commits since the start."""
        return self._segments.commits

    @property
    def written_bytes(self) -> int:
        """Bytes written by all commits since the start."""
        return self._segments.written_bytes

    # ---- the writer thread

    def _run(self) -> None:
        try:
            self._compact_if_due()
            while True:
                try:
                    first = self._queue.get(timeout=IDLE_POLL_S)
                except queue.Empty:  # nothing was appended
                    continue
                batch, is_closing = self._collect_batch(first)
                if batch:
                    self._commit_or_stop(batch)
                if is_closing:
                    return
        finally:
            self._segments.close_segment()
            self._directory_lock.release()

    def _collect_batch(self, first: AppendTicket[RecordT] | None) -> tuple[list[AppendTicket[RecordT]], bool]:
        """Return the tickets of one commit, and whether the journal is being closed.

        The batch takes all tickets queued during the previous sync, up to the limits of one commit.
        """
        batch: list[AppendTicket[RecordT]] = []
        size_bytes = record_count = 0
        ticket = first
        while ticket is not None:
            if ticket.start_write():
                batch.append(ticket)
                size_bytes += ticket.encoded_bytes
                record_count += len(ticket.encoded)
            else:
                ticket.done.set()
            if size_bytes >= MAX_BLOCK_BYTES or record_count >= MAX_COMMIT_RECORDS:
                return batch, False
            try:
                ticket = self._queue.get_nowait()
            except queue.Empty:  # the batch is complete
                return batch, False
        return batch, True

    def _commit_or_stop(self, batch: list[AppendTicket[RecordT]]) -> None:
        """Commit a batch. After an unexpected exception, fail it and all later ones, so that nobody waits."""
        if not self._has_stopped:
            try:
                self._commit(batch)
                return
            except Exception:
                log.exception("journal writer failed", directory=str(self._directory))
                self._has_stopped = True
                self.write_error = "stopped after a fault"
        for ticket in batch:
            if not ticket.done.is_set():
                ticket.fail(OSError(errno.EIO, "the journal stopped after a fault"))

    def _commit(self, batch: list[AppendTicket[RecordT]]) -> None:
        try:
            self._segments.write_block([record for ticket in batch for record in ticket.encoded])
        except OSError as error:
            self._fail_batch(batch, error)
            return
        if self.write_error:
            log.info("journal writes recovered", directory=str(self._directory))
            self.write_error = ""
        for ticket in batch:
            for record in ticket.records:
                self.state.apply(record)
            ticket.done.set()
        self._spill_state()
        if self._segments.open_bytes >= self._segment_bytes:
            self._segments.close_segment()
            self._compact_if_due()

    def _fail_batch(self, batch: list[AppendTicket[RecordT]], error: OSError) -> None:
        if not self.write_error:
            log.error("journal write failed", directory=str(self._directory), error=str(error))
        self.write_error = error.strerror or str(error)
        for ticket in batch:
            ticket.fail(error)

    def _spill_state(self) -> None:
        try:
            while records := self.state.spill():
                self._segments.write_block([self._codec.encode(record) for record in records])
                for record in records:
                    self.state.apply(record)
        except OSError as error:  # the excess stays in memory; commits fail too while the disk fails
            log.error("journal state spill failed", directory=str(self._directory), error=str(error))

    def _compact_if_due(self) -> None:
        needed_bytes = COPIES_PER_BLOCK * self.state.estimate_snapshot_bytes()
        threshold_bytes = max(self._segment_bytes, COMPACTION_RATIO * needed_bytes)
        if self._segments.closed_bytes <= threshold_bytes and not self.recovered.warnings:
            return
        self.recovered.warnings = []  # the compaction replaces the damaged segments
        try:
            removed = self._segments.replace_segments(map(self._codec.encode, self.state.snapshot()))
        except OSError as error:
            log.error("journal compaction failed", directory=str(self._directory), error=str(error))
            return
        self.state.discard_replaced_files()
        log.info(
            "journal compacted",
            directory=str(self._directory),
            removed_segments=removed,
            size_bytes=self._segments.closed_bytes,
        )
