"""A gateway whose disk hangs or fails when a file says so.

    python -m saffronstack.harness.scenario.slow_disk FILE serve

The file holds one word: ``hang`` (syncs wait until it says something else), ``fail`` (they fail), or nothing.
Only the rig starts gateways so; the program knows no such switch.
"""

from __future__ import annotations

import errno
import pathlib
import sys
import time

from saffronstack.durable.file_operations import FileOperations

LOOK_S = 0.01


def _told(path: pathlib.Path) -> str:
    try:
        return path.read_text().strip()
    except OSError:
        return ""


def install(path: pathlib.Path) -> None:
    """From now on all file operations of journals go by the file."""
    whole = FileOperations.sync

    def sync(self: FileOperations, descriptor: int) -> None:
        while (word := _told(path)) == "hang":
            time.sleep(LOOK_S)
        if word == "fail":
            raise OSError(errno.EIO, "Input/output error")
        whole(self, descriptor)

    FileOperations.sync = sync  # type: ignore[method-assign]


def main() -> None:
    """See above."""
    install(pathlib.Path(sys.argv[1]))
    del sys.argv[1]
    from saffronstack.cli.main import main as program

    program()


if __name__ == "__main__":
    main()
