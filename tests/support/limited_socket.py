"""A socket that takes a bounded number of bytes, and no more until a test raises the bound."""

from __future__ import annotations


class LimitedSocket:
    """Takes ``capacity`` bytes and then blocks."""

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.sent = b""
        self.shut = False

    def send(self, data: bytes, flags: int = 0) -> int:
        if not self.capacity:
            raise BlockingIOError
        part = bytes(data[: self.capacity])
        self.capacity -= len(part)
        self.sent += part
        return len(part)

    def shutdown(self, how: int) -> None:
        self.shut = True

    def fileno(self) -> int:
        return 0
