"""The desired state of a daemon's gateways, stored on its disk before anything is done about it.

A file that is missing or damaged is not taken for a new daemon's: any fencing token may have been accepted,
so commands are rejected until the lease servers report which one was granted last.
"""

from __future__ import annotations

import os
import pathlib

import msgspec
import xxhash
from msgspec import Struct

from saffronstack.fleet.control.errors import ForeignDesiredStateError

FILE_NAME = "wanted"
CHECKSUM_BYTES = 16


class DesiredState(Struct, frozen=True):
    """Which release each gateway is to run, and the fencing token of the leader who said so.

    Attributes:
        fleet: The fleet's name.
        daemon: The daemon's name.
        token: The greatest fencing token that was accepted.
        releases: Digests by gateway; empty for none. A gateway that is missing was never commanded.
    """

    fleet: str
    daemon: str
    token: int = 0
    releases: dict[str, str] = {}


class DesiredStateFile:
    """The file of one daemon."""

    def __init__(self, directory: str, fleet: str, daemon: str) -> None:
        """Create the directory where it is missing.

        Raises:
            OSError: It can't be created.
        """
        self.path = pathlib.Path(directory) / FILE_NAME
        self._fleet, self._daemon = fleet, daemon
        self.path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)

    def read(self) -> DesiredState | None:
        """Return the stored state, or None where it is missing or damaged.

        Raises:
            ForeignDesiredStateError: It is another daemon's.
        """
        try:
            data = self.path.read_bytes()
            checksum, content = data[:CHECKSUM_BYTES], data[CHECKSUM_BYTES:]
            if xxhash.xxh3_128_digest(content) != checksum:
                return None
            stored = msgspec.msgpack.decode(content, type=DesiredState)
        except (OSError, msgspec.MsgspecError):
            return None
        if (stored.fleet, stored.daemon) != (self._fleet, self._daemon):
            raise ForeignDesiredStateError(
                f"{self.path}: is that of daemon {stored.daemon!r} of fleet {stored.fleet!r}, "
                f"not of {self._daemon!r} of {self._fleet!r}"
            )
        return stored

    def write(self, state: DesiredState) -> None:
        """Replace the stored state; it is on the disk when this returns.

        Raises:
            OSError: It could not be stored.
        """
        content = msgspec.msgpack.encode(state)
        temporary_path = self.path.with_suffix(".new")
        with open(temporary_path, "wb") as file:
            file.write(xxhash.xxh3_128_digest(content) + content)
            file.flush()
            os.fsync(file.fileno())
        os.replace(temporary_path, self.path)
        self._sync_directory()

    def _sync_directory(self) -> None:
        descriptor = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
