"""Signals that end a process or have it read its configuration again."""

from __future__ import annotations

import queue
import signal
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def receive_signals() -> queue.SimpleQueue[int]:
    """Return the queue of signals as they arrive. The handler only queues: it may run between any two
    instructions.
    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def enqueue(number: int, _frame: FrameType | None) -> None:
        received.put(number)

    for number in HANDLED_SIGNALS:
        signal.signal(number, enqueue)
    return received


def ignore_signals() -> None:
    """Ignore them from now on: one that comes while the process ends must not change its exit status."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
