"""Results that tasks publish. The result with the greatest fencing token is current.

Each result is a separate file, named by fencing token and run number. Publishing therefore needs no
compare-and-set: a lease holder that was paused and resumes after losing its lease writes a file that is never
the current one.
"""

from __future__ import annotations

import os
import pathlib
import re
from dataclasses import dataclass

import msgspec

from saffronstack.durable.file_operations import FileOperations
from saffronstack.fleet.tasks.errors import StaleResultError

RETAINED_RESULTS = 3  # older ones help an operator to investigate a wrong result
FILE_NAME = re.compile(r"(\d{20})-(\d{10})\.json")


class TaskResult(msgspec.Struct, frozen=True):
    """A published result. Its JSON form is the content of the file."""

    token: int
    run_number: int = msgspec.field(name="turn")
    content: msgspec.Raw


@dataclass(frozen=True, slots=True, order=True)
class _ResultFile:
    """The file of a result. Files sort from oldest to current."""

    token: int
    run_number: int
    path: pathlib.Path


class ResultStore:
    """The directory with the results of one task."""

    def __init__(self, directory: str) -> None:
        """Use ``directory``; the first result creates it."""
        self._directory = pathlib.Path(directory)

    def publish(self, token: int, run_number: int, content: object) -> pathlib.Path:
        """Write a result durably.

        Args:
            token: Fencing token of the lease that the run holds.
            run_number: Number of the run; orders the results of one token.
            content: Any value that has a JSON form.

        Returns:
            The file of the result.

        Raises:
            StaleResultError: A newer result is published already.
            OSError: The file can't be written.
        """
        self._directory.mkdir(parents=True, exist_ok=True)
        newest = self._newest_file()
        if newest is not None and (newest.token, newest.run_number) > (token, run_number):
            raise StaleResultError(newest.path, newest.token, token)
        path = self._directory / f"{token:020d}-{run_number:010d}.json"
        result = TaskResult(token, run_number, msgspec.Raw(msgspec.json.encode(content)))
        partial = path.with_suffix(f".{os.getpid()}.new")
        with open(partial, "wb") as file:
            file.write(msgspec.json.encode(result))
            file.flush()
            os.fsync(file.fileno())
        os.replace(partial, path)
        FileOperations().sync_directory(self._directory)
        return path

    def newest(self) -> TaskResult | None:
        """Return the current result; None if none is published."""
        newest = self._newest_file()
        return None if newest is None else msgspec.json.decode(newest.path.read_bytes(), type=TaskResult)

    def remove_expired(self) -> int:
        """Remove all but the newest `RETAINED_RESULTS`; return how many files were removed."""
        expired = sorted(self._list_files())[:-RETAINED_RESULTS]
        for file in expired:
            file.path.unlink(missing_ok=True)
        return len(expired)

    def _list_files(self) -> list[_ResultFile]:
        if not self._directory.is_dir():
            return []
        matches = [(FILE_NAME.fullmatch(path.name), path) for path in self._directory.iterdir()]
        return [_ResultFile(int(match[1]), int(match[2]), path) for match, path in matches if match]

    def _newest_file(self) -> _ResultFile | None:
        return max(self._list_files(), default=None)
