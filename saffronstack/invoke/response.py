"""An HTTP response."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.http1 import writer


@dataclass(frozen=True, slots=True)
class Response:
    """Status code, headers and body of a response."""

    status: int
    headers: tuple[tuple[str, str], ...] = ()
    body: bytes = b""

    def encode(self, close: bool) -> bytes:
        """Return the response as HTTP/1.1 bytes; ``close`` adds ``Connection: close``."""
        return writer.response(self.status, self.headers, self.body, close)
