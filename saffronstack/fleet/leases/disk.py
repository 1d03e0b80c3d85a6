"""The state files of an acceptor: two copies, written one after the other, each with a checksum.

A write is complete once both copies are on disk. If one copy is damaged, truncated or an older version, the
other is at least as new as the last completed write. If neither copy can be read, the state is lost. An empty
directory also counts as lost, because only `establish` creates a new server.

A rollback of the whole disk is not detected here: the other servers detect it (see `recovery`).
"""

from __future__ import annotations

import os
import pathlib
import struct
from dataclasses import dataclass, field

import xxhash

from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.leases.codec import StoredState, decode_state, encode_state
from saffronstack.fleet.leases.errors import DecodeError, ForeignStateError, StateExistsError
from saffronstack.fleet.leases.messages import AcceptorState, DiskState

# Magic, copy (0 or 1), write number, content length, XXH3-128 of the fields before it and the content.
HEADER = struct.Struct("<4sIQI16s")
CHECKSUM_BYTES = 16
MAGIC = b"SfK1"
COPIES = ("copy-0", "copy-1")


@dataclass(frozen=True, slots=True)
class LoadedState:
    """The state that was loaded at startup; ``warnings`` are for the log."""

    disk_state: DiskState
    state: AcceptorState
    warnings: list[str] = field(default_factory=list)


class AcceptorDisk:
    """The state directory of one acceptor. Not thread-safe."""

    def __init__(
        self,
        directory: str,
        fleet: str,
        server: str,
        servers: tuple[str, ...],
        files: FileOperations | None = None,
    ) -> None:
        """Use a directory for the state of ``server``, one of ``servers``; ``files`` performs the I/O."""
        self.directory = pathlib.Path(directory)
        self._fleet, self._server, self._servers = fleet, server, servers
        self._files = files or FileOperations()

    def establish(self) -> None:
        """Initialize the state of a new server. All servers of the fleet must be new.

        Raises:
            StateExistsError: The directory already contains a state.
            OSError: The directory or its files can't be written.
        """
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        for name in COPIES:
            if (self.directory / name).exists():
                raise StateExistsError(f"{self.directory / name}: there is a keeper's state here")
        self.save(AcceptorState())

    def load(self) -> LoadedState:
        """Read the newest valid copy.

        Raises:
            ForeignStateError: The state belongs to another server, fleet or set of servers.
            OSError: The directory can't be read or created.
        """
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        warnings: list[str] = []
        copies: list[StoredState] = []
        for number, name in enumerate(COPIES):
            path = self.directory / name
            try:
                copies.append(_unpack(path.read_bytes(), number))
            except FileNotFoundError:
                warnings.append(f"{path}: file is missing")
            except DecodeError as error:
                warnings.append(f"{path}: {error}")
        for stored in copies:
            self._check_owner(stored)
        if not copies:
            warnings.append(
                f"{self.directory}: no copy can be read; this server votes only after other servers "
                "that form a majority have responded to its catch-up requests"
            )
            return LoadedState(DiskState.LOST, AcceptorState(), warnings)
        newest = max((stored.state for stored in copies), key=lambda state: state.last_write)
        return LoadedState(DiskState.INTACT, newest, warnings)

    def save(self, state: AcceptorState) -> None:
        """Write both copies.

        Raises:
            OSError: A write failed; the disk then holds this state or the previous one.
        """
        content = encode_state(StoredState(self._fleet, self._server, self._servers, state))
        for number, name in enumerate(COPIES):
            self._replace_file(self.directory / name, _pack(content, number, state.last_write))

    def _replace_file(self, path: pathlib.Path, data: bytes) -> None:
        files, partial = self._files, path.with_suffix(".new")
        partial.unlink(missing_ok=True)
        descriptor = files.open(partial)
        try:
            files.write(descriptor, data)
            files.sync(descriptor)
        finally:
            files.close(descriptor)
        os.replace(partial, path)
        files.sync_directory(self.directory)

    def _check_owner(self, stored: StoredState) -> None:
        if stored.fleet != self._fleet:
            raise ForeignStateError(
                f"{self.directory}: the state of fleet {stored.fleet!r}, not of {self._fleet!r}"
            )
        if stored.server != self._server:
            raise ForeignStateError(
                f"{self.directory}: the state of keeper {stored.server!r}, not of {self._server!r}"
            )
        if set(stored.servers) != set(self._servers):
            raise ForeignStateError(
                f"{self.directory}: of keepers {', '.join(sorted(stored.servers))}; the file has "
                f"{', '.join(sorted(self._servers))}. A keeper is replaced under its own name; their number "
                "changes only with all of them stopped and established anew"
            )


def _pack(content: bytes, copy: int, write: int) -> bytes:
    header = HEADER.pack(MAGIC, copy, write, len(content), bytes(CHECKSUM_BYTES))[:-CHECKSUM_BYTES]
    return header + xxhash.xxh3_128_digest(header + content) + content


def _unpack(data: bytes, copy: int) -> StoredState:
    if len(data) < HEADER.size:
        raise DecodeError(f"truncated to {len(data)} bytes")
    magic, stored_copy, write, length, checksum = HEADER.unpack_from(data)
    content = data[HEADER.size :]
    if magic != MAGIC or length != len(content):
        raise DecodeError(f"truncated, or no state file: {len(content)} bytes of content")
    if xxhash.xxh3_128_digest(data[: HEADER.size - CHECKSUM_BYTES] + content) != checksum:
        raise DecodeError("checksum mismatch")
    if stored_copy != copy:
        raise DecodeError(f"copy {stored_copy} in the place of copy {copy}")
    stored = decode_state(content)
    if stored.state.last_write != write:
        raise DecodeError(f"write {stored.state.last_write} under the header of write {write}")
    return stored
