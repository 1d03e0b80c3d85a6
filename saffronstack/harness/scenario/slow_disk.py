"""Runs a gateway whose disk hangs or fails, as a control file says.

    python -m saffronstack.harness.scenario.slow_disk FILE serve

The file holds one word: ``hang`` (each fsync waits until the word changes), ``fail`` (each fsync fails), or
nothing. Only test harnesses use this; the program itself has no such option.
"""

from __future__ import annotations

import errno
import pathlib
import sys
import time

from saffronstack.durable.file_operations import FileOperations

POLL_INTERVAL_S = 0.01


def _read_mode(path: pathlib.Path) -> str:
    try:
        return path.read_text().strip()
    except OSError:
        return ""


def install(path: pathlib.Path) -> None:
    """Make each fsync of a journal follow the control file from now on."""
    sync_file = FileOperations.sync

    def sync(self: FileOperations, descriptor: int) -> None:
        while (mode := _read_mode(path)) == "hang":
            time.sleep(POLL_INTERVAL_S)
        if mode == "fail":
            raise OSError(errno.EIO, "Input/output error")
        sync_file(self, descriptor)

    FileOperations.sync = sync  # type: ignore[method-assign]


def main() -> None:
    """Install the faulty fsync and run the program."""
    install(pathlib.Path(sys.argv[1]))
    del sys.argv[1]
    from saffronstack.cli.main import main as program

    program()


if __name__ == "__main__":
    main()
