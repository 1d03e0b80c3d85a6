"""The logger interface of the gateway's packages, and a logger that needs no library."""

from __future__ import annotations

import sys
import time
import traceback
from typing import Protocol, TextIO


class Logger(Protocol):
    """The methods of a structured logger that are used here."""

    def info(self, event: str, **fields: object) -> object:
        """Log an event that an operator may want to know of."""
        ...

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that an operator should look at."""
        ...

    def exception(self, event: str, **fields: object) -> object:
        """Log a fault with the stack of the exception that is being handled."""
        ...


class KeyValueLogger:
    """Write lines of ``key=value`` to a stream; logging libraries cost small gateways memory."""

    def __init__(self, name: str, stream: TextIO | None = None) -> None:
        """Create a logger whose lines name their source.

        Args:
            name: Name of the source.
            stream: Where the lines go; None for standard error.
        """
        self._name = name
        self._stream = stream

    def info(self, event: str, **fields: object) -> None:
        """Log an event that an operator may want to know of."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that an operator should look at."""
        self._write("warning", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log a fault with the stack of the exception that is being handled."""
        self._write("error", event, fields, traceback.format_exc())

    def _write(self, level: str, event: str, fields: dict[str, object], stack: str = "") -> None:
        pairs = "".join(f" {name}={value!r}" for name, value in fields.items())
        line = f"{time.time():.3f} {level} {self._name}: {event}{pairs}\n{stack}"
        try:  # one write, so that lines of several threads do not mix
            (self._stream or sys.stderr).write(line)
        except (OSError, ValueError):
            return  # the reader of the log has closed it, which must not fail a request
