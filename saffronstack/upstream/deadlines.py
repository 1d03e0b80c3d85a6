"""Deadlines of attempts and commands, and the thread that expires overdue ones."""

from __future__ import annotations

import heapq
import threading
from collections.abc import Callable
from itertools import count
from typing import Protocol

from saffronstack.engine.calls import Call
from saffronstack.runtime.logs import Logger
from saffronstack.runtime.threads import start_thread

RESOLUTION_S = 0.01  # deadlines that are closer together are handled in one wake-up
IDLE_WAIT_S = 5.0  # maximum wait of the thread while no deadline is scheduled
STOP_TIMEOUT_S = 2.0

ExchangeKey = tuple[int, int]  # (call number, attempt index); (0, command number) for a command


def attempt_deadline_s(call: Call, timeout_s: float, now_s: float) -> float:
    """Return an attempt's deadline (clock time): the call's deadline, or its own timeout if that is earlier.

    Args:
        call: The call of the attempt.
        timeout_s: The attempt's own timeout in seconds; 0 or less means none.
        now_s: The time at which the attempt starts.
    """
    if timeout_s > 0:
        return min(call.deadline_s, now_s + timeout_s)
    return call.deadline_s


class DeadlineOwner(Protocol):
    """Holds the exchanges that deadlines refer to by key, and ends the overdue ones."""

    def is_pending(self, key: ExchangeKey) -> bool:
        """Return whether the exchange has not ended yet."""
        ...

    def expire(self, key: ExchangeKey) -> None:
        """End an exchange whose deadline has passed, unless it has ended already."""
        ...


class DeadlineTimer:
    """Expires exchanges in the order of their deadlines, on its own thread.

    It stores keys instead of exchanges, so that an exchange that has ended is freed before its deadline.
    """

    def __init__(self, clock: Callable[[], float], owner: DeadlineOwner, log: Logger) -> None:
        self._clock = clock
        self._owner = owner
        self._log = log
        self._changed = threading.Condition()  # guards all fields below
        self._heap: list[tuple[float, int, ExchangeKey]] = []
        self._sequence_numbers = count()
        self._next_wake_s = 0.0
        self._is_stopping = False
        # Not named `_thread`: mypyc prefixes an underscore, and `__thread` is a keyword in C.
        self._timer_thread: threading.Thread | None = None

    def __len__(self) -> int:
        """Return the number of stored deadlines, including those of some exchanges that have ended."""
        return len(self._heap)

    def start(self) -> None:
        """Start the thread that expires exchanges."""
        self._timer_thread = start_thread("deadlines", self._run)

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Stop the thread and return whether it ended within ``timeout_s`` seconds."""
        with self._changed:
            self._is_stopping = True
            self._changed.notify()
        if self._timer_thread is None:
            return True
        self._timer_thread.join(timeout_s)
        return not self._timer_thread.is_alive()

    def schedule(self, deadline_s: float, key: ExchangeKey) -> None:
        """Schedule the exchange ``key`` to expire at ``deadline_s`` (clock time)."""
        with self._changed:
            heapq.heappush(self._heap, (deadline_s, next(self._sequence_numbers), key))
            if deadline_s < self._next_wake_s - RESOLUTION_S:
                self._changed.notify()

    def pop_overdue(self, now_s: float) -> list[ExchangeKey]:
        """Remove and return the keys whose deadlines have passed at ``now_s``."""
        overdue = []
        with self._changed:
            while self._heap and self._heap[0][0] <= now_s:
                overdue.append(heapq.heappop(self._heap)[2])
        return overdue

    def _run(self) -> None:
        while True:
            with self._changed:
                self._wait_for_next()
                if self._is_stopping:
                    return
            for key in self.pop_overdue(self._clock()):
                self._expire(key)

    def _wait_for_next(self) -> None:
        """Wait for the earliest deadline of an exchange that is still pending; the caller holds the lock."""
        while self._heap and not self._owner.is_pending(self._heap[0][2]):
            heapq.heappop(self._heap)  # most exchanges end long before their deadline
        now_s = self._clock()
        next_s = self._heap[0][0] if self._heap else now_s + IDLE_WAIT_S
        self._next_wake_s = max(next_s, now_s + RESOLUTION_S)
        self._changed.wait(self._next_wake_s - now_s)

    def _expire(self, key: ExchangeKey) -> None:
        """Expire one exchange; an exception from it must not stop the timer for the other exchanges."""
        try:
            self._owner.expire(key)
        except Exception:  # noqa: BLE001 - see the docstring
            self._log.exception("expiring an exchange failed", call=key[0], attempt=key[1])
