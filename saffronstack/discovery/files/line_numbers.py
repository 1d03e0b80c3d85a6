"""Finds the line numbers of values in a JSON5 text, which error messages show. No I/O."""

from __future__ import annotations

import re
from dataclasses import dataclass
from functools import lru_cache

_TOKEN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)|(?P<mark>[{}\[\]:,])"""
    r"""|(?P<text>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')|(?P<word>[^\s{}\[\]:,"']+)""",
    re.S,
)


def locate_values(text: str) -> dict[str, int]:
    """Return the line number of each value by its path. The first line is 1.

    A path looks like ``workers[3].address``; the path of the top level is empty. If the text is not JSON5,
    the result has the paths before the error.
    """
    scanner = _Scanner()
    scanner.scan(text)
    return scanner.lines


def find_line(text: str, path: str) -> int:
    """Return the line of the value at a path. If there is none, return the line of its nearest parent."""
    lines = _locate_cached(text)
    while path not in lines:
        parent_end = max(path.rfind("."), path.rfind("["))
        path = path[:parent_end] if parent_end > 0 else ""
    return lines[path]


@lru_cache(maxsize=1)  # all errors of a text use the same line numbers
def _locate_cached(text: str) -> dict[str, int]:
    return locate_values(text)


@dataclass(slots=True)
class _Container:
    """An object or array that contains the current token."""

    path: str
    is_object: bool
    index: int = 0  # of the next element

    def child_path(self, key: str) -> str:
        """Return the path of the value at a key of an object, or of the next element of an array."""
        if not self.is_object:
            return f"{self.path}[{self.index}]"
        return f"{self.path}.{key}" if self.path else key


class _Scanner:
    """Scans the tokens of a text and records the lines of values."""

    def __init__(self) -> None:
        self.lines = {"": 1}
        self._open_containers: list[_Container] = []
        self._line = 1
        self._path = ""  # of the latest value
        self._key = ""
        self._expects_key = False

    def scan(self, text: str) -> None:
        """Record the lines of all values up to the first token that is not JSON5."""
        position = 0
        while position < len(text):
            match = _TOKEN.match(text, position)
            if match is None:
                return
            token = match[0]
            if match.lastgroup == "mark" and token in "}]" and not self._open_containers:
                return
            self._handle_token(token, str(match.lastgroup))
            self._line += token.count("\n")
            position = match.end()

    def _handle_token(self, token: str, kind: str) -> None:
        if kind == "skip":
            return
        if kind == "mark":
            self._handle_mark(token)
        elif self._expects_key:
            self._key = token[1:-1] if kind == "text" else token
            self.lines.setdefault(self._open_containers[-1].child_path(self._key), self._line)
        else:
            self._record_value()

    def _handle_mark(self, mark: str) -> None:
        match mark:
            case ":":
                self._expects_key = False
            case ",":
                self._start_next_element()
            case "{" | "[":
                self._record_value()
                self._open_containers.append(_Container(self._path, is_object=mark == "{"))
                self._expects_key = mark == "{"
            case _:
                self._path = self._open_containers.pop().path
                self._expects_key = False

    def _start_next_element(self) -> None:
        if self._open_containers:
            self._open_containers[-1].index += 1
            self._expects_key = self._open_containers[-1].is_object

    def _record_value(self) -> None:
        if self._open_containers:
            self._path = self._open_containers[-1].child_path(self._key)
        self.lines.setdefault(self._path, self._line)
