"""Threads with small stacks: the gateway holds one for each connection and each attempt."""

from __future__ import annotations

import threading
from collections.abc import Callable

# Room for the deepest path here (a JSON parser on a front thread) with a wide margin; the default of
# 8 MiB of address space for each of thousands of threads would meet the limits of small machines.
STACK_BYTES = 256 * 1024
_starting = threading.Lock()


def spawn(name: str, run: Callable[[], object], daemon: bool = True) -> threading.Thread:
    """A started thread with the small stack; RuntimeError where the system has no more threads."""
    thread = threading.Thread(target=run, name=name, daemon=daemon)
    with _starting:  # the stack size is the interpreter's, so it is set and put back around the start
        before = threading.stack_size(STACK_BYTES)
        try:
            thread.start()
        finally:
            threading.stack_size(before)
    return thread
