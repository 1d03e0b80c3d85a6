"""An answer to write."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.http1 import writer


@dataclass(frozen=True, slots=True)
class Response:
    """Status, headers and body."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def encode(self, close: bool) -> bytes:
        """Its bytes."""
        return writer.response(self.status, self.headers, self.body, close)
