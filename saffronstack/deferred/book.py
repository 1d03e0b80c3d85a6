"""The state that the ledger's records add up to: open calls and a bounded history. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from saffronstack.deferred.records import (
    Accepted,
    AnyRecord,
    Attempted,
    Dropped,
    Finished,
    Named,
    Snapshot,
    Voided,
)

NAMES_MOST = 1_000_000  # of operations; the oldest beyond are forgotten


@dataclass(slots=True)
class OpenCall:
    """A call that is owed its final record."""

    accepted: Accepted
    attempts: list[Attempted] = field(default_factory=list)  # that may have run

    @property
    def size(self) -> int:
        """Bytes that count against the bound."""
        return len(self.accepted.payload) + 512


class Book:
    """Owned by the ledger's writer thread; others read single entries."""

    def __init__(self, history: int) -> None:
        self.history = history
        self.open: dict[str, OpenCall] = {}
        self.finished: OrderedDict[str, Finished] = OrderedDict()
        self.names: OrderedDict[bytes, Named] = OrderedDict()  # by the operation's digest
        self.open_bytes = 0

    def apply(self, record: AnyRecord) -> None:
        """One record more. A second final record for a call changes nothing: the first one was the answer."""
        if isinstance(record, Accepted):
            if record.id not in self.open and record.id not in self.finished:
                call = self.open[record.id] = OpenCall(record)
                self.open_bytes += call.size
                if record.operation:
                    self._name(
                        Named(record.operation, record.packed, record.named_until, record.id), record.at
                    )
        elif isinstance(record, Named):
            self._name(record, 0.0)
        elif isinstance(record, Attempted):
            if record.id in self.open:
                self.open[record.id].attempts.append(record)
        elif isinstance(record, Voided):
            if record.id in self.open:
                self.open[record.id].attempts.clear()
        elif isinstance(record, Finished):
            if record.id not in self.finished:  # known as finished before it is no longer known as open
                self.finished[record.id] = record
            self._close(record.id)
            if len(self.finished) > self.history:
                self.finished.popitem(last=False)
        elif isinstance(record, Dropped):
            dropped = self.open.get(record.id)
            named = self.names.get(dropped.accepted.operation) if dropped is not None else None
            if named is not None and named.id == record.id:
                del self.names[named.operation]
            self._close(record.id)
        elif isinstance(record, Snapshot):
            self.open.clear()
            self.finished.clear()
            self.names.clear()
            self.open_bytes = 0

    def _name(self, named: Named, now: float) -> None:
        self.names[named.operation] = named
        while self.names:
            oldest = next(iter(self.names.values()))
            if oldest.until > now and len(self.names) <= NAMES_MOST:
                return
            del self.names[oldest.operation]

    def mark_records_lost(self) -> None:
        """Records are lost: every open call counts as tried, at an unknown place long ago."""
        for call in self.open.values():
            call.attempts.insert(0, Attempted(call.accepted.id, 0, 0.0))

    def _close(self, call_id: str) -> None:
        call = self.open.pop(call_id, None)
        if call is not None:
            self.open_bytes -= call.size

    def estimate_snapshot_bytes(self) -> int:
        """About how large a snapshot is."""
        finished = sum(len(record.record) + 128 for record in self.finished.values())
        return self.open_bytes + finished + 200 * len(self.names)

    def spill(self) -> tuple[AnyRecord, ...]:
        """Open calls are bounded at the door; nothing leaves memory."""
        return ()

    def snapshot(self) -> Iterator[AnyRecord]:
        """Records that add up to this state."""
        yield Snapshot(len(self.open), len(self.finished))
        yield from self.names.values()
        yield from self.finished.values()
        for call in self.open.values():
            yield call.accepted
            yield from call.attempts
