"""What a journal is told about its records: their encoding, and the state that they add up to."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from saffronstack.durable.segments import DEFAULT_PREFIX

RecordT = TypeVar("RecordT")
StateT = TypeVar("StateT", bound="JournalState[Any]")


class JournalState(Protocol[RecordT]):
    """The state that the records add up to; owned by the journal's writer thread."""

    def apply(self, record: RecordT) -> None:
        """Apply the next record."""
        ...

    def snapshot(self) -> Iterable[RecordT]:
        """Return records that add up to this state; the first one makes all before it obsolete."""
        ...

    def estimate_snapshot_bytes(self) -> int:
        """Return the approximate size of a snapshot."""
        ...

    def mark_records_lost(self) -> None:
        """Treat everything that lost records may have changed as uncertain from now on."""
        ...

    def spill(self) -> Sequence[RecordT]:
        """Between commits, move to files of its own what exceeds the state's bound on memory.

        Returns:
            The records of that move, which are applied once they are written; none while there is room.

        Raises:
            OSError: The files cannot be written.
        """
        ...


@dataclass(frozen=True, slots=True)
class RecordCodec(Generic[RecordT]):
    """How the records of one kind of journal are stored."""

    encode: Callable[[RecordT], bytes]
    decode: Callable[[bytes], RecordT]  # raises ValueError
    is_snapshot_start: Callable[[RecordT], bool]  # whether the record makes all before it obsolete
    prefix: str = DEFAULT_PREFIX  # of the names of its segments
    compress: bool = False
