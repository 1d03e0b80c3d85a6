"""Where in a JSON5 text a value stands, so that a complaint can name its line. No I/O."""

from __future__ import annotations

import re
from functools import lru_cache

_TOKEN = re.compile(
    r"""(?P<skip>\s+|//[^\n]*|/\*.*?\*/)|(?P<mark>[{}\[\]:,])"""
    r"""|(?P<text>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')|(?P<word>[^\s{}\[\]:,"']+)""",
    re.S,
)


def lines(text: str) -> dict[str, int]:
    """Lines, from 1, by place: ``workers[3].address``; the whole is the empty place. What is no JSON5 ends
    it: the places before it stand."""
    found = {"": 1}
    stack: list[tuple[str, str, int]] = []  # opening mark, place, number of the next element
    place, key, expect_key = "", "", False
    line, at = 1, 0
    while at < len(text):
        match = _TOKEN.match(text, at)
        if match is None:
            return found
        token, kind = match[0], match.lastgroup
        at = match.end()
        if kind == "mark" and token in "}]":
            if not stack:
                return found
            _, place, _ = stack.pop()
            expect_key = False
        elif kind == "mark" and token == ",":
            if stack:
                opening, inner, number = stack[-1]
                stack[-1] = opening, inner, number + 1
                expect_key = opening == "{"
        elif kind == "mark" and token == ":":
            expect_key = False
        elif kind != "skip" and expect_key and token != "{" and token != "[":
            key = token[1:-1] if kind == "text" else token
            inner = stack[-1][1]
            found.setdefault(f"{inner}.{key}" if inner else key, line)
        elif kind != "skip":
            if stack:
                opening, inner, number = stack[-1]
                place = f"{inner}[{number}]" if opening == "[" else f"{inner}.{key}" if inner else key
            found.setdefault(place, line)
            if token in ("{", "["):
                stack.append((token, place, 0))
                expect_key = token == "{"
        line += token.count("\n")
    return found


@lru_cache(maxsize=1)
def _known(text: str) -> dict[str, int]:
    """The last text's, for all that is complained of it."""
    return lines(text)


def line_of(text: str, place: str) -> int:
    """The line of a place, or of the nearest one around it."""
    known = _known(text)
    while place not in known:
        cut = max(place.rfind("."), place.rfind("["))
        place = place[:cut] if cut > 0 else ""
    return known[place]
