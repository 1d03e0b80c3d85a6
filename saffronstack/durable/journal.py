"""The journal: one writer thread, group commit, compaction, and the reading back at the start."""

from __future__ import annotations

import contextlib
import errno
import fcntl
import os
import pathlib
import queue
import struct
import threading
import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from typing import Any, Generic, Protocol, TypeVar

import structlog

from saffronstack.durable import segments
from saffronstack.durable.segments import Files
from saffronstack.durable.stalls import Stall
from saffronstack.durable.timed import TimedFiles
from saffronstack.runtime.threads import start_thread

BATCH_BYTES = 8 * 1024 * 1024
BATCH_RECORDS = 4096
COMPACT_FROM = 2.0  # closed segments are compacted when they hold this multiple of what is still needed
IDLE_S = 1.0
log = structlog.get_logger("saffronstack.journal")


class JournalError(Exception):
    """The directory can't be used; the text names it, and file and byte where there are any."""


R = TypeVar("R")
S = TypeVar("S", bound="State[Any]")


class State(Protocol[R]):
    """What the records add up to; owned by the journal's writer thread. No I/O."""

    def apply(self, record: R) -> None:
        """One record more."""
        ...

    def snapshot(self) -> Iterable[R]:
        """Records that add up to this state, the first one a record that voids all before it."""
        ...

    def needed_bytes(self) -> int:
        """About how large a snapshot is."""
        ...

    def doubt(self) -> None:
        """Records are lost: whatever can't be sure any more says so from now on."""
        ...

    def relieve(self) -> Sequence[R]:
        """Between commits: what is too much for memory goes elsewhere, durably. The records that say so,
        which are applied once they are on the disk too; none where there is room. OSError where it can't be
        written."""
        ...


@dataclass(frozen=True, slots=True)
class Codec(Generic[R]):
    """How records become bytes; ``decode`` raises ValueError. ``fresh``: the record voids all before it."""

    encode: Callable[[R], bytes]
    decode: Callable[[bytes], R]
    fresh: Callable[[R], bool]
    prefix: str = "ledger"
    compress: bool = False


class Ticket(Generic[R]):
    """Records on their way to the disk."""

    __slots__ = ("_lock", "done", "encoded", "error", "items", "revoked", "started")

    def __init__(self, items: tuple[R, ...], encode: Callable[[R], bytes]) -> None:
        self.items = items
        self.encoded = [encode(item) for item in items]
        self.error: OSError | None = None
        self.done = threading.Event()
        self.revoked = False
        self.started = False
        self._lock = threading.Lock()

    def begin(self) -> bool:
        """The writer takes it; False where it was revoked."""
        with self._lock:
            self.started = not self.revoked
            return self.started

    def revoke(self) -> bool:
        """Take it back; False where the writer has already begun."""
        with self._lock:
            self.revoked = not self.started
            return self.revoked

    @property
    def durable(self) -> bool:
        """Whether the records are on the disk."""
        return self.done.is_set() and self.error is None and not self.revoked


@dataclass(slots=True)
class Found(Generic[S]):
    """What reading back found; lines name file and byte."""

    state: S
    in_doubt: bool = False  # records are lost: attempts may have been among them
    lines: list[str] = field(default_factory=list)
    next_block: int = 0
    next_segment: int = 1
    closed_bytes: int = 0


def read_back(directory: pathlib.Path, state: S, codec: Codec[Any]) -> Found[S]:
    """The state that a directory's segments add up to; JournalError where they can't be read at all."""
    found = Found(state)
    numbers = segments.segment_numbers(directory)
    scans: list[tuple[str, segments.Scan]] = []
    for number in numbers:
        path = directory / segments.segment_name(number, codec.prefix)
        scan = _scan(path, found)
        _drop_renumbered(scans, scan)
        scans.append((path.name, scan))
    expected: int | None = None
    for name, scan in scans:
        for place, block in enumerate(scan.blocks):
            items = _decode(directory / name, block, codec)
            fresh = place == 0 and codec.fresh(items[0])
            _compare_number(found, name, block, expected, fresh)
            for item in items:
                state.apply(item)
            expected = block.number + 1
        found.in_doubt = found.in_doubt or scan.damaged_at is not None
    if found.in_doubt:
        state.doubt()
    found.next_block = expected or 0
    found.next_segment = (numbers[-1] if numbers else 0) + 1
    return found


def _scan(path: pathlib.Path, found: Found[Any]) -> segments.Scan:
    """The blocks of one segment; what is wrong with it goes to the lines of ``found``."""
    try:
        data = path.read_bytes()
    except OSError as error:
        raise JournalError(f"{path}: {error.strerror}") from error
    found.closed_bytes += len(data)
    scan = segments.scan(data)
    if not scan.blocks and (other := segments.other_version(data)):
        raise JournalError(f"{path}: blocks of another version, {other}: it was left as it is")
    for at in scan.repaired:
        found.lines.append(
            f"{path.name}: byte {at}: one copy of a block is damaged; read from its other copy"
        )
    if scan.damaged_at is not None:
        found.lines.append(f"{path.name}: byte {scan.damaged_at}: both copies of a block are damaged")
    if scan.torn_at is not None:
        found.lines.append(
            f"{path.name}: byte {scan.torn_at}: a write was cut here; nothing behind it was ever acknowledged"
        )
    return scan


def _drop_renumbered(scans: list[tuple[str, segments.Scan]], later: segments.Scan) -> None:
    """Blocks that a later segment numbers anew were given up before they were acknowledged."""
    if not later.blocks:
        return
    for _, earlier in scans:
        while earlier.blocks and earlier.blocks[-1].number >= later.blocks[0].number:
            earlier.blocks.pop()


def _decode(path: pathlib.Path, block: segments.Block, codec: Codec[Any]) -> list[Any]:
    try:
        return [codec.decode(part) for part in block.parts()]
    except (ValueError, struct.error) as error:
        raise JournalError(f"{path}: byte {block.at}: records of another version: {error}") from error


def _compare_number(
    found: Found[Any], name: str, block: segments.Block, expected: int | None, fresh: bool
) -> None:
    """Whether blocks are missing before this one; a fresh one stands for all before it."""
    if fresh:
        found.in_doubt = False
    elif expected is None and block.number != 0:
        found.in_doubt = True
        found.lines.append(f"{name}: byte {block.at}: all before block {block.number} is missing")
    elif expected is not None and block.number != expected:
        found.in_doubt = True
        found.lines.append(f"{name}: byte {block.at}: blocks {expected} to {block.number - 1} are missing")


class Journal(Generic[R, S]):
    """Append records; they are durable when their ticket is done without an error."""

    def __init__(
        self,
        directory: str,
        state: S,
        codec: Codec[R],
        segment_bytes: int,
        files: Files | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        """Locks and reads the directory. JournalError where another process holds it or it can't be read."""
        self._directory = pathlib.Path(directory)
        self._clock = clock
        self.stall = Stall()
        self._files = TimedFiles(files or Files(), self.stall, clock)
        self._segment_bytes = segment_bytes
        try:
            self._directory.mkdir(parents=True, exist_ok=True)
            self._lock_fd = os.open(self._directory / "LOCK", os.O_RDWR | os.O_CREAT, 0o600)
        except OSError as error:
            raise JournalError(f"{directory}: {error.strerror}") from error
        try:
            fcntl.flock(self._lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError as error:
            os.close(self._lock_fd)
            raise JournalError(f"{directory}: another process holds this directory") from error
        try:
            found = read_back(self._directory, state, codec)
        except JournalError:
            os.close(self._lock_fd)
            raise
        for leftover in self._directory.glob("*.tmp"):
            with contextlib.suppress(OSError):
                leftover.unlink()
        self.found: Found[S] = found
        self.state = state
        self._codec = codec
        self.failing = ""  # why the last commit failed; empty while commits work
        self.commits = 0
        self._broken = False
        self.written_bytes = 0
        self._block = found.next_block
        self._segment = found.next_segment
        self._closed_bytes = found.closed_bytes
        self._fd: int | None = None
        self._size = 0
        self._queue: queue.SimpleQueue[Ticket[R] | None] = queue.SimpleQueue()
        self._ended = threading.Event()
        for line in found.lines:
            log.warning("journal read back", directory=directory, what=line)
        start_thread("journal", self._run)

    @property
    def stalled_s(self) -> float:
        """For how long the disk has answered nothing; 0 while it does. What is appended meanwhile waits, so
        whoever can be told to come back later is not to append."""
        return self.stall.lasts_s(self._clock())

    @property
    def come_back_s(self) -> float:
        """When to ask again, of a disk that answers nothing."""
        return self.stall.come_back_s(self._clock())

    def append(self, *items: R) -> Ticket[R]:
        """Records that become durable all together or not at all."""
        ticket = Ticket(items, self._codec.encode)
        self._queue.put(ticket)
        return ticket

    @property
    def queued(self) -> int:
        """Appends that wait for the writer."""
        return self._queue.qsize()

    def close(self, timeout_s: float = 10.0) -> bool:
        """Write what is queued and release the directory; whether it ended in time."""
        self._queue.put(None)
        return self._ended.wait(timeout_s)

    # ---- the writer thread

    def _run(self) -> None:
        try:
            self._maybe_compact()
            while True:
                try:
                    first = self._queue.get(timeout=IDLE_S)
                except queue.Empty:
                    continue
                batch, stop = self._gather(first)
                if batch:
                    self._guarded(batch)
                if stop:
                    return
        finally:
            if self._fd is not None:
                os.close(self._fd)
            os.close(self._lock_fd)
            self._ended.set()

    def _guarded(self, batch: list[Ticket[R]]) -> None:
        """A fault of the state's own must not leave appenders waiting: from then on nothing is taken."""
        if not self._broken:
            try:
                self._commit(batch)
                return
            except Exception:
                log.exception("journal stopped", directory=str(self._directory))
                self._broken = True
                self.failing = "stopped after a fault"
        for ticket in batch:
            if not ticket.done.is_set():
                ticket.error = OSError(errno.EIO, "the journal stopped after a fault")
                ticket.done.set()

    def _gather(self, first: Ticket[R] | None) -> tuple[list[Ticket[R]], bool]:
        """All that is queued now, up to a batch: the fsync before it was what let them gather."""
        batch: list[Ticket[R]] = []
        size = count = 0
        ticket = first
        while True:
            if ticket is None:
                return batch, True
            if ticket.begin():
                batch.append(ticket)
                size += sum(map(len, ticket.encoded))
                count += len(ticket.encoded)
            else:
                ticket.done.set()
            if size >= BATCH_BYTES or count >= BATCH_RECORDS:
                return batch, False
            try:
                ticket = self._queue.get_nowait()
            except queue.Empty:
                return batch, False

    def _commit(self, batch: list[Ticket[R]]) -> None:
        try:
            self._write_block([part for ticket in batch for part in ticket.encoded])
        except OSError as error:
            if not self.failing:
                log.error("journal can't write", error=str(error))
            self.failing = error.strerror or str(error)
            for ticket in batch:
                ticket.error = error
                ticket.done.set()
            return
        if self.failing:
            log.info("journal writes again")
            self.failing = ""
        for ticket in batch:
            for item in ticket.items:
                self.state.apply(item)
            ticket.done.set()
        self._relieve()
        if self._size >= self._segment_bytes:
            self._close_segment()
            self._maybe_compact()

    def _relieve(self) -> None:
        try:
            while records := self.state.relieve():
                self._write_block([self._codec.encode(record) for record in records])
                for record in records:
                    self.state.apply(record)
        except OSError as error:  # it stays in memory; nothing more comes in while the disk takes nothing
            log.error("journal's state not relieved", error=str(error))

    def _write_block(self, encoded: list[bytes]) -> None:
        fd = self._open_segment()
        block = segments.pack(self._block, encoded, self._codec.compress)
        try:
            self._files.write(fd, block + block)
            self._files.sync(fd)
        except OSError:
            # What reached the disk is not known: it is cut off, and the number is used again in a new
            # segment, which tells a reader that the earlier block of that number was given up.
            with contextlib.suppress(OSError):
                self._files.cut(fd, self._size)
                self._files.sync(fd)
            self._close_segment()
            raise
        self._size += 2 * len(block)
        self.written_bytes += 2 * len(block)
        self._block += 1
        self.commits += 1

    def _open_segment(self) -> int:
        if self._fd is None:
            path = self._directory / segments.segment_name(self._segment, self._codec.prefix)
            fd = self._files.open(path)
            try:
                self._files.sync_directory(self._directory)
            except OSError:
                os.close(fd)
                with contextlib.suppress(OSError):
                    path.unlink()
                raise
            self._fd = fd
            self._size = 0
            self._segment += 1
        return self._fd

    def _close_segment(self) -> None:
        if self._fd is not None:
            os.close(self._fd)
            self._closed_bytes += self._size
            self._fd = None
            self._size = 0

    # ---- compaction

    def _maybe_compact(self) -> None:
        needed = 2 * self.state.needed_bytes()
        if self._closed_bytes > max(self._segment_bytes, COMPACT_FROM * needed) or self.found.lines:
            self.found.lines = []
            try:
                self._compact()
            except OSError as error:
                log.error("journal not compacted", error=str(error))

    def _compact(self) -> None:
        """Write the whole state into a new segment under another name, rename it, drop the older ones."""
        self._close_segment()
        older = segments.segment_numbers(self._directory)
        target = self._directory / segments.segment_name(self._segment, self._codec.prefix)
        partial = target.with_suffix(".tmp")
        block = self._block
        size = 0
        fd = self._files.open(partial)
        try:
            for part in _batches(self.state.snapshot(), self._codec.encode):
                packed = segments.pack(block, part, self._codec.compress)
                self._files.write(fd, packed + packed)
                size += 2 * len(packed)
                block += 1
            self._files.sync(fd)
        except OSError:
            with contextlib.suppress(OSError):
                partial.unlink()
            raise
        finally:
            os.close(fd)
        partial.rename(target)
        self._files.sync_directory(self._directory)
        self._block, self._segment = block, self._segment + 1
        for number in older:
            (self._directory / segments.segment_name(number, self._codec.prefix)).unlink()
        self._closed_bytes = size
        log.info("journal compacted", segments=len(older), bytes=size, needed=self.state.needed_bytes())


def _batches(items: Iterable[R], encode: Callable[[R], bytes]) -> Iterable[list[bytes]]:
    batch: list[bytes] = []
    size = 0
    for item in items:
        batch.append(encode(item))
        size += len(batch[-1])
        if size >= BATCH_BYTES:
            yield batch
            batch, size = [], 0
    if batch:
        yield batch
