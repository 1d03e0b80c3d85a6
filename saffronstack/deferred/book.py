"""The state that the ledger's records add up to: open calls and a bounded history. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field

from saffronstack.deferred.records import Accepted, AnyRecord, Attempted, Dropped, Finished, Snapshot, Voided


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
        self.open_bytes = 0

    def apply(self, record: AnyRecord) -> None:
        """One record more. A second final record for a call changes nothing: the first one was the answer."""
        if isinstance(record, Accepted):
            if record.id not in self.open and record.id not in self.finished:
                call = self.open[record.id] = OpenCall(record)
                self.open_bytes += call.size
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
            self._close(record.id)
        elif isinstance(record, Snapshot):
            self.open.clear()
            self.finished.clear()
            self.open_bytes = 0

    def doubt(self) -> None:
        """Records are lost: every open call counts as tried, at an unknown place long ago."""
        for call in self.open.values():
            call.attempts.insert(0, Attempted(call.accepted.id, 0, 0.0))

    def _close(self, call_id: str) -> None:
        call = self.open.pop(call_id, None)
        if call is not None:
            self.open_bytes -= call.size

    def needed_bytes(self) -> int:
        """About how large a snapshot is."""
        return self.open_bytes + sum(len(record.record) + 128 for record in self.finished.values())

    def relieve(self) -> tuple[AnyRecord, ...]:
        """Open calls are bounded at the door; nothing leaves memory."""
        return ()

    def snapshot(self) -> Iterator[AnyRecord]:
        """Records that add up to this state."""
        yield Snapshot(len(self.open), len(self.finished))
        yield from self.finished.values()
        for call in self.open.values():
            yield call.accepted
            yield from call.attempts
