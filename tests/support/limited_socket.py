"""A socket that takes a bounded number of bytes, and no more until a test raises the bound."""

from __future__ import annotations


class LimitedSocket:
    """Takes ``room`` bytes and then blocks."""

    def __init__(self, room: int) -> None:
        self.room = room
        self.taken = b""
        self.shut = False

    def send(self, data: bytes, flags: int = 0) -> int:
        if not self.room:
            raise BlockingIOError
        part = bytes(data[: self.room])
        self.room -= len(part)
        self.taken += part
        return len(part)

    def shutdown(self, how: int) -> None:
        self.shut = True

    def fileno(self) -> int:
        return 0
