"""A socket that accepts a limited number of bytes until a test raises the limit."""

from __future__ import annotations


class LimitedSocket:
    """Accepts ``capacity`` bytes; further sends raise BlockingIOError."""

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
