"""Slots as locked files: a member executes operations of a slot only while it holds the slot's lock.

The operating system releases a lock when its process dies, and keeps it for one that is paused. So no two
members ever execute operations of one slot at the same time, whatever they believe of each other. The lock
file names where earlier holders keep their records: the next holder reads them before it uses the slot.
"""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib

import msgspec
import structlog

from saffronstack.operations.operation import EncodedOperation

MAX_LOCK_FILE_BYTES = 1 << 20
log = structlog.get_logger("saffronstack.operations")


class RecordLocation(msgspec.Struct, frozen=True):
    """Where a member keeps records of its operations; empty where it keeps none. Encoded as JSON.

    Attributes:
        log_directory: Of its operation log.
        ledger_directory: Of its ledger of deferred calls.
    """

    log_directory: str = msgspec.field(default="", name="notes")
    ledger_directory: str = msgspec.field(default="", name="ledger")


class SlotLocks:
    """The lock files that this process holds. Used by the slot manager's thread."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._descriptors: dict[int, int] = {}

    @property
    def held_slots(self) -> list[int]:
        """The slots whose locks this process holds."""
        return list(self._descriptors)

    def acquire(self, slot: int) -> bool:
        """Lock a slot's file; return False where another process holds it."""
        descriptor = os.open(self._directory / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self._descriptors[slot] = descriptor
        return True

    def release(self, slot: int) -> None:
        """Give a slot's lock back."""
        os.close(self._descriptors.pop(slot))

    def read_locations(self, slot: int) -> list[RecordLocation]:
        """Return where the records of a held slot's earlier holders are, the latest holder last."""
        locations = []
        for line in os.pread(self._descriptors[slot], MAX_LOCK_FILE_BYTES, 0).splitlines():
            with contextlib.suppress(msgspec.MsgspecError):  # a crash truncated it: earlier lines are valid
                locations.append(msgspec.json.decode(line, type=RecordLocation))
        return locations

    def write_locations(self, slot: int, own_location: RecordLocation) -> None:
        """Add this member to a held slot's locations.

        With an operation log of its own, which has taken over all earlier records, it replaces them.
        """
        earlier = []
        if not own_location.log_directory:
            earlier = [location for location in self.read_locations(slot) if location != own_location]
        data = b"".join(msgspec.json.encode(location) + b"\n" for location in [*earlier, own_location])
        descriptor = self._descriptors[slot]
        os.pwrite(descriptor, data, 0)
        os.ftruncate(descriptor, len(data))
        os.fdatasync(descriptor)

    def write_handover(self, slot: int, operations: list[EncodedOperation]) -> None:
        """Write what this member remembers of a slot's operations, for the next holder."""
        path = self._handover_path(slot)
        partial = path.with_name(f"{path.name}.tmp")
        partial.write_bytes(msgspec.msgpack.encode(operations))
        partial.rename(path)

    def read_handover(self, slot: int) -> list[EncodedOperation]:
        """Return what the last holder of a slot wrote; nothing where it wrote none or the file is damaged."""
        try:
            data = self._handover_path(slot).read_bytes()
        except FileNotFoundError:
            return []
        try:
            return msgspec.msgpack.decode(data, type=list[EncodedOperation])
        except msgspec.MsgspecError as error:
            log.error("slot hand-over file can't be read", slot=slot, error=str(error))
            return []

    def delete_handover(self, slot: int) -> None:
        """Delete the file of the last holder."""
        self._handover_path(slot).unlink(missing_ok=True)

    def _handover_path(self, slot: int) -> pathlib.Path:
        return self._directory / f"{slot}.memory"
