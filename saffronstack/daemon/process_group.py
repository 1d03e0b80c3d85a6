"""Finds the process of a gateway that owns a deferred call, and sends requests to it."""

from __future__ import annotations

import os
import pathlib
from collections.abc import Callable
from dataclasses import dataclass

from saffronstack.daemon.errors import NoResponseError, NotSentError
from saffronstack.daemon.http_exchange import exchange
from saffronstack.daemon.state_directories import process_directory
from saffronstack.http1 import writer
from saffronstack.http1.messages import ResponseHead

REQUEST_TIMEOUT_S = 2.0
FORWARDED_HEADER = (
    "x-saffron-forwarded"  # holds the index of the forwarding process; such a request is not forwarded again
)
_ADDRESS_FILE = "peer"  # file in a process's state directory that holds its address; a stored name
_OWNER_DIGITS = 2  # hexadecimal digits at the end of a request id: enough for 256 processes


@dataclass(frozen=True, slots=True)
class ProcessGroup:
    """The processes of one gateway, from the point of view of one of them.

    Attributes:
        index: Index of this process, from 0.
        count: Number of processes.
        directory: State directory that the processes share; empty if there is none.
        clock: Monotonic clock in seconds.
    """

    index: int
    count: int
    directory: str
    clock: Callable[[], float]

    def add_owner(self, request_id: str) -> str:
        """Return the request id with this process's index in the last two digits, as its owner.

        A gateway of one process leaves the id as it is.
        """
        if self.count == 1:
            return request_id
        return f"{request_id[:-_OWNER_DIGITS]}{self.index:0{_OWNER_DIGITS}x}"

    def other_owner(self, request_id: str) -> int | None:
        """Return the index of the other process that owns a request id; None if there is no such process."""
        try:
            index = int(request_id[-_OWNER_DIGITS:], 16)
        except ValueError:
            return None
        return index if index != self.index and index < self.count else None

    def publish_address(self, address: str) -> None:
        """Publish the address at which this process serves requests of the other processes.

        Args:
            address: HOST:PORT.

        Raises:
            OSError: The address file can't be written.
        """
        path = self._address_path(self.index)
        partial = path.with_suffix(".new")
        partial.write_text(address)
        os.replace(partial, path)

    def request_from(
        self, index: int, target: str, fields: list[tuple[str, str]]
    ) -> tuple[ResponseHead, bytes] | None:
        """Send a GET request to another process.

        Args:
            index: Index of the process.
            target: Path and query.
            fields: Header fields to forward.

        Returns:
            The head and the body of the response; None if it does not come within `REQUEST_TIMEOUT_S`.
        """
        try:
            address = self._address_path(index).read_text().strip()
        except OSError:  # the process has not started yet
            return None
        request = writer.request("GET", target, [*fields, (FORWARDED_HEADER, str(self.index))])
        try:
            return exchange(address, request, self.clock() + REQUEST_TIMEOUT_S, self.clock)
        except (NotSentError, NoResponseError):  # the process is down, restarting or unresponsive
            return None

    def _address_path(self, index: int) -> pathlib.Path:
        return pathlib.Path(process_directory(self.directory, index)) / _ADDRESS_FILE
