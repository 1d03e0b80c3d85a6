"""Exits a process without the interpreter's finalization.

Finalization collects the whole heap and tears down all modules, which takes from tenths of a second to
seconds on a busy machine. Whatever waits for the process to exit, such as its successor on the listening
socket, would wait for that as well.
"""

from __future__ import annotations

import contextlib
import os
import sys
from typing import NoReturn


def exit_process(status: int) -> NoReturn:
    """Exit at once after flushing the standard streams; exit handlers and finalizers do not run.

    The caller must have flushed and closed its files, and no running thread may hold a resource that needs
    clean-up.

    Args:
        status: Exit status.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):  # the stream is closed, or has no reader
            stream.flush()
    os._exit(status)
