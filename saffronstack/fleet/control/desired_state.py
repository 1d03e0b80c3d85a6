"""The desired state of a daemon's gateways, which the daemon writes to disk before it acts on it.

If the file is missing or damaged, the daemon does not assume that it is new: it may have accepted any fencing
token. It rejects commands until the lease servers report the token that was granted last.
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
    """Desired release of each gateway, and the fencing token of the leader that set it.

    Attributes:
        fleet: The fleet's name.
        daemon: The daemon's name.
        token: The greatest fencing token that was accepted.
        releases: Digests by gateway; an empty digest means that the gateway is stopped. A missing gateway
            has never received a command.
    """

    fleet: str
    daemon: str
    token: int = 0
    releases: dict[str, str] = {}


class DesiredStateFile:
    """File that stores the desired state of one daemon."""

    def __init__(self, directory: str, fleet: str, daemon: str) -> None:
        """Create the directory if it is missing.

        Raises:
            OSError: The directory can't be created.
        """
        self.path = pathlib.Path(directory) / FILE_NAME
        self._fleet, self._daemon = fleet, daemon
        self.path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)

    def read(self) -> DesiredState | None:
        """Return the stored state, or None if it is missing or damaged.

        Raises:
            ForeignDesiredStateError: The stored state belongs to another daemon.
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
        """Replace the stored state and fsync it.

        Raises:
            OSError: The state can't be stored.
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
