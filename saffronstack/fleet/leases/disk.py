"""A keeper's promises on its disk: two copies, one written after the other, each checked as a whole.

A save is acknowledged once both copies are on the disk. So whichever one copy is damaged, cut or an older
block, the other is at least as new as what was acknowledged; where neither can be read the state is lost, and
a directory with none is lost too: only ``establish`` makes a new member. A disk that goes back in time as a
whole is found by the other keepers, not here."""

from __future__ import annotations

import os
import pathlib
import struct
from dataclasses import dataclass, field

import xxhash

from saffronstack.durable.segments import Files
from saffronstack.fleet.leases.codec import StoredState, decode_shelf, encode_shelf
from saffronstack.fleet.leases.messages import AcceptorState, DiskState

# Magic, copy (its place: 0 or 1), write, length of the content, XXH3-128 over all before it and the content.
HEADER = struct.Struct("<4sIQI16s")
MAGIC = b"SfK1"
COPIES = ("copy-0", "copy-1")


class ForeignStateError(Exception):
    """The state is another keeper's or another fleet's: starting with it would be a second vote for one."""


@dataclass(frozen=True, slots=True)
class StateRead:
    """What a start found; ``lines`` for the log."""

    found: DiskState
    saved: AcceptorState
    lines: list[str] = field(default_factory=list)


class AcceptorDisk:
    """The directory of one keeper. One thread uses it at a time."""

    def __init__(
        self, directory: str, fleet: str, keeper: str, keepers: tuple[str, ...], files: Files | None = None
    ) -> None:
        self.directory = pathlib.Path(directory)
        self._fleet, self._keeper, self._keepers = fleet, keeper, keepers
        self._files = files or Files()

    def establish(self) -> None:
        """Make this a member of a fleet whose keepers are all new. FileExistsError where there is a state."""
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        for name in COPIES:
            if (self.directory / name).exists():
                raise FileExistsError(f"{self.directory / name}: there is a keeper's state here")
        self.write(AcceptorState())

    def read(self) -> StateRead:
        """What is there. ForeignStateError; OSError where the directory can't be read or made."""
        self.directory.mkdir(parents=True, exist_ok=True, mode=0o700)
        lines: list[str] = []
        shelves: list[StoredState] = []
        for place, name in enumerate(COPIES):
            path = self.directory / name
            try:
                shelves.append(_unpack(path.read_bytes(), place))
            except FileNotFoundError:
                lines.append(f"{path}: is not there")
            except ValueError as error:
                lines.append(f"{path}: {error}")
        for shelf in shelves:
            self._check(shelf)
        if not shelves:
            lines.append(
                f"{self.directory}: no copy can be read: this keeper votes once a majority of the others told"
            )
            return StateRead(DiskState.LOST, AcceptorState(), lines)
        return StateRead(
            DiskState.INTACT,
            max((shelf.state for shelf in shelves), key=lambda saved: saved.last_write),
            lines,
        )

    def write(self, saved: AcceptorState) -> None:
        """Have it on the disk, twice. OSError where that fails: what stands then is this or what was."""
        content = encode_shelf(StoredState(self._fleet, self._keeper, self._keepers, saved))
        for place, name in enumerate(COPIES):
            self._put(self.directory / name, _pack(content, place, saved.last_write))

    def _put(self, path: pathlib.Path, data: bytes) -> None:
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

    def _check(self, shelf: StoredState) -> None:
        if shelf.fleet != self._fleet:
            raise ForeignStateError(
                f"{self.directory}: the state of fleet {shelf.fleet!r}, not of {self._fleet!r}"
            )
        if shelf.server != self._keeper:
            raise ForeignStateError(
                f"{self.directory}: the state of keeper {shelf.server!r}, not of {self._keeper!r}"
            )
        if set(shelf.servers) != set(self._keepers):
            raise ForeignStateError(
                f"{self.directory}: of keepers {', '.join(sorted(shelf.servers))}; the file has "
                f"{', '.join(sorted(self._keepers))}. A keeper is replaced under its own name; their number "
                "changes only with all of them stopped and established anew"
            )


def _pack(content: bytes, place: int, write: int) -> bytes:
    bare = HEADER.pack(MAGIC, place, write, len(content), bytes(16))[:-16]
    return bare + xxhash.xxh3_128_digest(bare + content) + content


def _unpack(data: bytes, place: int) -> StoredState:
    if len(data) < HEADER.size:
        raise ValueError(f"{len(data)} bytes are no copy")
    magic, told, write, length, checksum = HEADER.unpack_from(data)
    content = data[HEADER.size :]
    if magic != MAGIC or length != len(content):
        raise ValueError(f"cut or foreign: {len(content)} bytes")
    if xxhash.xxh3_128_digest(data[: HEADER.size - 16] + content) != checksum:
        raise ValueError("damaged")
    if told != place:
        raise ValueError(f"copy {told} in the place of copy {place}")
    shelf = decode_shelf(content)
    if shelf.state.last_write != write:
        raise ValueError(f"write {shelf.state.last_write} under the header of write {write}")
    return shelf
