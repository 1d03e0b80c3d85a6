"""Names of a journal's segment files."""

from __future__ import annotations

import pathlib
import re

DEFAULT_PREFIX = "ledger"
_SEGMENT_NAME = re.compile(r"[a-z]+-(\d{10})\.seg")


def segment_name(number: int, prefix: str = DEFAULT_PREFIX) -> str:
    """Return the file name of a segment."""
    return f"{prefix}-{number:010d}.seg"


def list_segment_numbers(directory: pathlib.Path) -> list[int]:
    """Return the numbers of the segments in a directory, oldest first."""
    matches = (_SEGMENT_NAME.fullmatch(path.name) for path in directory.iterdir())
    return sorted(int(match[1]) for match in matches if match)
