"""Slots as locked files: a member executes operations of a slot only while it holds the slot's lock.

The operating system releases a lock when its process dies, and keeps it while the process is paused. Thus no
two members ever execute operations of one slot at the same time, even if their lists of live members differ.
The lock file lists where earlier holders store their records. The next holder reads these records before it
uses the slot.
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
    """The directories in which a member stores records of its operations. Encoded as JSON.

    Attributes:
        log_directory: The directory of its operation log; empty if it has none.
        ledger_directory: The directory of its ledger of deferred calls; empty if it has none.
    """

    log_directory: str = msgspec.field(default="", name="notes")
    ledger_directory: str = msgspec.field(default="", name="ledger")


class SlotLocks:
    """The slots whose lock files this process has locked. Only the slot manager's thread uses it."""

    def __init__(self, directory: pathlib.Path) -> None:
        self._directory = directory
        self._descriptors: dict[int, int] = {}

    @property
    def held_slots(self) -> list[int]:
        """The slots whose locks this process holds."""
        return list(self._descriptors)

    def acquire(self, slot: int) -> bool:
        """Lock a slot's file; return False if another process holds the lock."""
        descriptor = os.open(self._directory / f"{slot}.lock", os.O_RDWR | os.O_CREAT, 0o600)
        try:
            fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            os.close(descriptor)
            return False
        self._descriptors[slot] = descriptor
        return True

    def release(self, slot: int) -> None:
        """Release the lock of a slot."""
        os.close(self._descriptors.pop(slot))

    def read_locations(self, slot: int) -> list[RecordLocation]:
        """Return the record locations of a held slot's earlier holders, latest holder last."""
        locations = []
        for line in os.pread(self._descriptors[slot], MAX_LOCK_FILE_BYTES, 0).splitlines():
            with contextlib.suppress(msgspec.MsgspecError):  # a crash truncated it: earlier lines are valid
                locations.append(msgspec.json.decode(line, type=RecordLocation))
        return locations

    def write_locations(self, slot: int, own_location: RecordLocation) -> None:
        """Add this member's location to those of a held slot.

        If this member has an operation log, that log already contains all earlier records, so its location
        replaces the earlier ones.
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
        """Write this member's records of a slot's operations to a file for the next holder."""
        path = self._handover_path(slot)
        partial = path.with_name(f"{path.name}.tmp")
        partial.write_bytes(msgspec.msgpack.encode(operations))
        partial.rename(path)

    def read_handover(self, slot: int) -> list[EncodedOperation]:
        """Return the records that the last holder wrote; none if it wrote no file or the file is damaged."""
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
        """Delete the hand-over file that the last holder wrote."""
        self._handover_path(slot).unlink(missing_ok=True)

    def _handover_path(self, slot: int) -> pathlib.Path:
        return self._directory / f"{slot}.memory"
