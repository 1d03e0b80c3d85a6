"""Interfaces of a journal to its records: their encoding, and the state that results from them."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from typing import Any, Generic, Protocol, TypeVar

from saffronstack.durable.segments import DEFAULT_PREFIX

RecordT = TypeVar("RecordT")
StateT = TypeVar("StateT", bound="JournalState[Any]")


class JournalState(Protocol[RecordT]):
    """The state that results from applying the records; owned by the journal's writer thread."""

    def apply(self, record: RecordT) -> None:
        """Apply the next record."""
        ...

    def snapshot(self) -> Iterable[RecordT]:
        """Return records that reproduce this state; the first one makes all earlier records obsolete."""
        ...

    def estimate_snapshot_bytes(self) -> int:
        """Return the approximate size of a snapshot in bytes."""
        ...

    def discard_replaced_files(self) -> None:
        """Remove files that only records before the snapshot named, which has just replaced them."""
        ...

    def mark_records_lost(self) -> None:
        """Mark everything that the lost records may have changed as uncertain."""
        ...

    def spill(self) -> Sequence[RecordT]:
        """Move data beyond the state's memory limit to files of its own; called between commits.

        Returns:
            The records that describe the move, which are applied once they are written; none while the state
            is within its limit.

        Raises:
            OSError: The files cannot be written.
        """
        ...


@dataclass(frozen=True, slots=True)
class RecordCodec(Generic[RecordT]):
    """Encoding of the records of one kind of journal."""

    encode: Callable[[RecordT], bytes]
    decode: Callable[[bytes], RecordT]  # raises ValueError for bytes that are no record
    is_snapshot_start: Callable[[RecordT], bool]  # whether the record makes all earlier ones obsolete
    prefix: str = DEFAULT_PREFIX  # prefix of the segments' file names
    compress: bool = False  # whether blocks are compressed
