"""What a task writes for others to read, under its token: the newest is the one with the greatest.

Each result is a file of its own, named by token and turn. So nothing is compared and then written: a holder
that was paused in between and goes on later writes a file that nobody reads any more."""

from __future__ import annotations

import os
import pathlib
import re

import msgspec

KEEP = 3
NAME = re.compile(r"(\d{20})-(\d{10})\.json")


class OutdatedError(Exception):
    """A later holder has published already."""


class Result(msgspec.Struct, frozen=True):
    """One published result."""

    token: int
    turn: int
    content: msgspec.Raw


class Published:
    """A directory of one task's results."""

    def __init__(self, directory: str) -> None:
        self._directory = pathlib.Path(directory)

    def publish(self, token: int, turn: int, content: object) -> pathlib.Path:
        """Write a result, durably. OutdatedError where a greater token's stands; OSError."""
        self._directory.mkdir(parents=True, exist_ok=True)
        newest = self._newest()
        if newest is not None and newest[:2] > (token, turn):
            raise OutdatedError(f"{newest[2]} was published under token {newest[0]}, after {token}")
        path = self._directory / f"{token:020d}-{turn:010d}.json"
        partial = path.with_suffix(f".{os.getpid()}.new")
        body = msgspec.json.encode({"token": token, "turn": turn, "content": content})
        with open(partial, "wb") as file:
            file.write(body)
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, path)
        descriptor = os.open(self._directory, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        return path

    def newest(self) -> Result | None:
        """The result that counts; None before the first."""
        found = self._newest()
        return None if found is None else msgspec.json.decode(found[2].read_bytes(), type=Result)

    def sweep(self) -> int:
        """Remove all but the newest few; how many."""
        removed = 0
        for _, _, path in sorted(self._all())[:-KEEP]:
            path.unlink(missing_ok=True)
            removed += 1
        return removed

    def _all(self) -> list[tuple[int, int, pathlib.Path]]:
        if not self._directory.is_dir():
            return []
        matches = [(NAME.fullmatch(path.name), path) for path in self._directory.iterdir()]
        return [(int(match[1]), int(match[2]), path) for match, path in matches if match]

    def _newest(self) -> tuple[int, int, pathlib.Path] | None:
        return max(self._all(), default=None)
