"""Where the core's few log lines go: whatever the program that assembles it keeps logs with."""

from __future__ import annotations

import sys
import time
import traceback
from typing import Protocol, TextIO


class Log(Protocol):
    """The part of a structured logger that is used here."""

    def info(self, event: str, **fields: object) -> object:
        """Something that an operator may want to know."""
        ...

    def warning(self, event: str, **fields: object) -> object:
        """Something that an operator should look at."""
        ...

    def exception(self, event: str, **fields: object) -> object:
        """A fault, with the stack of the exception that is being handled."""
        ...


class PlainLog:
    """Lines of ``key=value`` on a stream, without a logging library: those cost small gateways memory."""

    def __init__(self, name: str, stream: TextIO | None = None) -> None:
        self._name = name
        self._stream = stream

    def info(self, event: str, **fields: object) -> None:
        """Something that an operator may want to know."""
        self._line("info", event, fields)

    def warning(self, event: str, **fields: object) -> None:
        """Something that an operator should look at."""
        self._line("warning", event, fields)

    def exception(self, event: str, **fields: object) -> None:
        """A fault, with the stack of the exception that is being handled."""
        self._line("error", event, fields, traceback.format_exc())

    def _line(self, level: str, event: str, fields: dict[str, object], more: str = "") -> None:
        words = "".join(f" {name}={value!r}" for name, value in fields.items())
        line = f"{time.time():.3f} {level} {self._name}: {event}{words}\n{more}"
        try:  # one write, so that lines of several threads do not mix
            (self._stream or sys.stderr).write(line)
        except (OSError, ValueError):
            return  # whoever reads the log has gone: no reason to end a call
