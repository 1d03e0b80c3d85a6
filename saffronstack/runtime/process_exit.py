"""The end of a process that has nothing left to do.

The interpreter's own end collects the whole heap and takes its modules apart, which on a busy machine lasts
from tenths of a second to seconds. Whoever waits for this process, a successor on its listening socket say,
waits for that too.
"""

from __future__ import annotations

import contextlib
import os
import sys
from typing import NoReturn


def exit_process(status: int) -> NoReturn:
    """End this process at once, without the interpreter's clean-up.

    For a process whose threads have ended or hold nothing, and whose files are flushed and closed: exit
    handlers and finalizers do not run. What is left in the standard streams is written out.

    Args:
        status: The exit status.
    """
    for stream in (sys.stdout, sys.stderr):
        with contextlib.suppress(OSError, ValueError):  # nobody reads it, or it is closed
            stream.flush()
    os._exit(status)
