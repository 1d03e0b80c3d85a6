"""Liveness of the members of a group of processes: each live member holds a lock on its own file."""

from __future__ import annotations

import contextlib
import fcntl
import os
import pathlib
from collections.abc import Callable

import msgspec

MAX_FILE_BYTES = 4096


class Peer(msgspec.Struct, frozen=True):
    """A live member and the address at which other members reach it. Stored as JSON in its file."""

    member: str
    address: str


class LiveMembers:
    """The directory that contains one file for each member. Only the slot manager's thread uses it."""

    def __init__(self, directory: pathlib.Path, member: str, address: Callable[[], str]) -> None:
        """Open the directory; ``address`` returns the address at which others reach this member.

        Raises:
            OSError: The directory can't be used.
        """
        self._directory = directory
        self._directory.mkdir(parents=True, exist_ok=True)
        self._member = member
        self._address = address
        self._descriptor = -1

    def announce(self) -> None:
        """Lock this member's file and write the member's name and address to it.

        Raises:
            OSError: Another process holds the lock, or the file can't be written.
        """
        self._descriptor = os.open(self._directory / self._member, os.O_RDWR | os.O_CREAT, 0o600)
        fcntl.flock(self._descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
        os.pwrite(self._descriptor, msgspec.json.encode(self._own_peer()).ljust(MAX_FILE_BYTES), 0)

    def close(self) -> None:
        """Release the lock on this member's file."""
        if self._descriptor >= 0:
            os.close(self._descriptor)

    def poll(self) -> dict[str, Peer]:
        """Return the live members by name: this one and all whose files are locked."""
        live = {self._member: self._own_peer()}
        for path in self._directory.iterdir():
            if path.name == self._member:
                continue
            with contextlib.suppress(OSError, msgspec.MsgspecError):  # the file is being written or is gone
                peer = _read_if_locked(path)
                if peer is not None:
                    live[peer.member] = peer
        return live

    def _own_peer(self) -> Peer:
        return Peer(self._member, self._address())


def _read_if_locked(path: pathlib.Path) -> Peer | None:
    """Return the member of a file; None if the file is not locked, as its process is dead then."""
    descriptor = os.open(path, os.O_RDONLY)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_SH | fcntl.LOCK_NB)
    except BlockingIOError:
        return msgspec.json.decode(os.pread(descriptor, MAX_FILE_BYTES, 0).strip(), type=Peer)
    finally:
        os.close(descriptor)
    return None
