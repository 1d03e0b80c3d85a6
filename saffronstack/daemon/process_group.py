"""What a process of a gateway knows of the others: which one owns a deferred call, and how to reach it."""

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
FORWARDED_HEADER = "x-saffron-forwarded"  # the process that forwarded a request; it is not forwarded again
_ADDRESS_FILE = "peer"  # in a process's state directory; a name on disk
_OWNER_DIGITS = 2  # hexadecimal, at the end of a request id: enough for 256 processes


@dataclass(frozen=True, slots=True)
class ProcessGroup:
    """The processes of one gateway, as one of them sees them.

    Attributes:
        index: This process's own number, from 0.
        count: How many processes there are.
        directory: The state directory that they share; empty if there is none.
        clock: Monotonic clock in seconds.
    """

    index: int
    count: int
    directory: str
    clock: Callable[[], float]

    def add_owner(self, request_id: str) -> str:
        """Return the request id with this process as its owner, in the last two digits."""
        if self.count == 1:
            return request_id
        return f"{request_id[:-_OWNER_DIGITS]}{self.index:0{_OWNER_DIGITS}x}"

    def other_owner(self, request_id: str) -> int | None:
        """Return the other process that owns a request id; None if this one does, or none that exists."""
        try:
            index = int(request_id[-_OWNER_DIGITS:], 16)
        except ValueError:
            return None
        return index if index != self.index and index < self.count else None

    def publish_address(self, address: str) -> None:
        """Tell the other processes where this one answers them.

        Args:
            address: HOST:PORT.

        Raises:
            OSError: The file can't be written.
        """
        path = self._address_path(self.index)
        partial = path.with_suffix(".new")
        partial.write_text(address)
        os.replace(partial, path)

    def request_from(
        self, index: int, target: str, fields: list[tuple[str, str]]
    ) -> tuple[ResponseHead, bytes] | None:
        """Send a GET to another process.

        Args:
            index: The process to ask.
            target: Path and query.
            fields: Header fields to pass on.

        Returns:
            The head and the body of the response; None if it does not come within `REQUEST_TIMEOUT_S`.
        """
        try:
            address = self._address_path(index).read_text().strip()
        except OSError:  # it has not started yet
            return None
        request = writer.request("GET", target, [*fields, (FORWARDED_HEADER, str(self.index))])
        try:
            return exchange(address, request, self.clock() + REQUEST_TIMEOUT_S, self.clock)
        except (NotSentError, NoResponseError):  # it is down, restarting, or stuck
            return None

    def _address_path(self, index: int) -> pathlib.Path:
        return pathlib.Path(process_directory(self.directory, index)) / _ADDRESS_FILE
