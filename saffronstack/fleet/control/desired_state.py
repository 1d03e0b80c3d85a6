"""What a daemon was told to run, and under which token: on its disk before anything is done about it.

A file that is gone or damaged is no new daemon's: its token could be any, so orders wait until the keepers
have told which was granted last."""

from __future__ import annotations

import os
import pathlib

import msgspec
import xxhash
from msgspec import Struct

NAME = "wanted"


class Wanted(Struct, frozen=True):
    """``releases`` by gateway, as digests; one that is not in it was never ordered."""

    fleet: str
    daemon: str
    token: int = 0
    releases: dict[str, str] = {}


class Kept:
    """The file of one daemon."""

    def __init__(self, directory: str, fleet: str, daemon: str) -> None:
        """OSError where the directory can't be made."""
        self.path = pathlib.Path(directory) / NAME
        self._fleet, self._daemon = fleet, daemon
        self.path.parent.mkdir(parents=True, exist_ok=True, mode=0o700)

    def read(self) -> Wanted | None:
        """What is kept; None where it is lost. ValueError where it is another daemon's."""
        try:
            data = self.path.read_bytes()
            if xxhash.xxh3_128_digest(data[16:]) != data[:16]:
                return None
            found = msgspec.msgpack.decode(data[16:], type=Wanted)
        except (OSError, msgspec.MsgspecError):
            return None
        if (found.fleet, found.daemon) != (self._fleet, self._daemon):
            raise ValueError(f"{self.path}: is that of daemon {found.daemon!r} of fleet {found.fleet!r}")
        return found

    def write(self, wanted: Wanted) -> None:
        """On the disk when this returns. OSError."""
        data = msgspec.msgpack.encode(wanted)
        partial = self.path.with_suffix(".new")
        with open(partial, "wb") as file:
            file.write(xxhash.xxh3_128_digest(data) + data)
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, self.path)
        descriptor = os.open(self.path.parent, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
