"""The logger interface of all packages, and a logger without third-party dependencies."""

from __future__ import annotations

import sys
import time
import traceback
from typing import Protocol, TextIO


class Logger(Protocol):
    """The subset of a structured logger's methods that the packages use."""

    def info(self, event: str, **fields: object) -> object:
        """Log an event of normal operation."""
        ...

    def warning(self, event: str, **fields: object) -> object:
        """Log an event that may need an operator's attention."""
        ...

    def exception(self, event: str, **fields: object) -> object:
        """Log an error with the traceback of the exception that is being handled."""
        ...


class KeyValueLogger:
    """Writes ``key=value`` lines to a stream, with less memory than a logging library needs."""

    def __init__(self, name: str, stream: TextIO | None = None) -> None:
        """Create a logger.

        Args:
            name: Name of the component, written in each line.
            stream: Destination; None for standard error.
        """
        self._name = name
        self._stream = stream

    def info(self, event: str, **fields: object) -> None:
        """Log an event of normal operation."""
        self._write("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Log an event that may need an operator's attention."""
        self._write("warning", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """Log an error with the traceback of the exception that is being handled."""
        self._write("error", event, fields, traceback.format_exc())

    def _write(self, level: str, event: str, fields: dict[str, object], stack: str = "") -> None:
        pairs = "".join(f" {name}={value!r}" for name, value in fields.items())
        line = f"{time.time():.3f} {level} {self._name}: {event}{pairs}\n{stack}"
        try:  # a single write keeps lines of concurrent threads apart
            (self._stream or sys.stderr).write(line)
        except (OSError, ValueError):
            return  # a closed log must not fail a request
