"""Signals that end a process or make it reload its configuration."""

from __future__ import annotations

import queue
import signal
from types import FrameType

HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


def receive_signals() -> queue.SimpleQueue[int]:
    """Return a queue that receives the handled signals.

    The handler only queues them, since it may run between any two instructions.
    """
    received: queue.SimpleQueue[int] = queue.SimpleQueue()

    def enqueue(number: int, _frame: FrameType | None) -> None:
        received.put(number)

    for number in HANDLED_SIGNALS:
        signal.signal(number, enqueue)
    return received


def ignore_signals() -> None:
    """Ignore the handled signals: one that arrives while the process exits must not change its status."""
    for number in HANDLED_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
