"""Time-outs of attempts and orders: one thread that gives up what is overdue."""

from __future__ import annotations

import heapq
import threading
import traceback
from collections.abc import Callable
from itertools import count
from typing import Protocol

from saffronstack.runtime.threads import start_thread

STEP_S = 0.01  # time-outs that lie closer together are looked at at once
IDLE_S = 5.0


class Expiring(Protocol):
    """What gives up what is overdue."""

    def awaits(self, key: tuple[int, int]) -> bool:
        """Whether it has no end yet."""
        ...

    def expire(self, key: tuple[int, int]) -> None:
        """It is overdue, unless it has ended already."""
        ...


class Deadlines:
    """Keys come due in order of time. They, and no call or link, are held until then."""

    def __init__(self, clock: Callable[[], float], owner: Expiring) -> None:
        self._clock = clock
        self._owner = owner
        self._changed = threading.Condition()
        self._heap: list[tuple[float, int, tuple[int, int]]] = []
        self._ticket = count()
        self._wake_s = 0.0
        self._stopping = False

    def __len__(self) -> int:
        return len(self._heap)

    def start(self) -> None:
        """Start its thread."""
        start_thread("deadlines", self._run)

    def stop(self) -> None:
        """End it."""
        with self._changed:
            self._stopping = True
            self._changed.notify()

    def set(self, due_s: float, key: tuple[int, int]) -> None:
        """Expire ``key`` at ``due_s`` (clock time, seconds)."""
        with self._changed:
            heapq.heappush(self._heap, (due_s, next(self._ticket), key))
            if due_s < self._wake_s - STEP_S:
                self._changed.notify()

    def due(self, now: float) -> list[tuple[int, int]]:
        """What is overdue, once each."""
        overdue = []
        with self._changed:
            while self._heap and self._heap[0][0] <= now:
                overdue.append(heapq.heappop(self._heap)[2])
        return overdue

    def _run(self) -> None:
        while True:
            with self._changed:
                while self._heap and not self._owner.awaits(self._heap[0][2]):
                    heapq.heappop(self._heap)  # ended: nearly all have, long before their time
                now = self._clock()
                next_s = self._heap[0][0] if self._heap else now + IDLE_S
                self._wake_s = max(next_s, now + STEP_S)
                self._changed.wait(self._wake_s - now)
                if self._stopping:
                    return
            for key in self.due(self._clock()):
                self._expire(key)

    def _expire(self, key: tuple[int, int]) -> None:
        """Give one up; whatever goes wrong with it, the time-outs of all others go on."""
        try:
            self._owner.expire(key)
        except Exception:
            traceback.print_exc()
