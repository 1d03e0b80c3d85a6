"""Decides which calls a draining gateway still admits, by the durations of calls of their class. No I/O.

The kill deadline of the process is known. A call that is not expected to end before it is rejected before
anything is sent to a worker, so that a retry at another gateway is harmless. The deadline of an admitted call
is no later than the end of the drain.
"""

from __future__ import annotations

import threading
from collections import deque

from saffronstack.engine.calls import Call, FinalStatus

MAX_SAMPLES = 64  # latest durations that are kept for each class
DURATION_QUANTILE = 0.9  # quantile of the kept durations that is taken as the expected duration


class _ClassDurations:
    """Durations of the calls of one class since the drain began, in seconds."""

    def __init__(self) -> None:
        self.received_s: dict[int, float] = {}  # receipt times of open calls by call number, the oldest first
        self.durations_s: deque[float] = deque(maxlen=MAX_SAMPLES)  # of calls that were served

    def expected_s(self, now: float) -> float:
        """Return the expected duration of a call; the age of the oldest open call while none was served."""
        if self.durations_s:
            return sorted(self.durations_s)[int(DURATION_QUANTILE * len(self.durations_s))]
        return now - next(iter(self.received_s.values()), now)


class DrainAdmission:
    """Admits or rejects calls during a drain; used only after `begin`. Any thread may use it."""

    def __init__(self, classes: int) -> None:
        """Create an inactive admission for a number of request classes."""
        self.active = False
        self._until_s = 0.0
        self._lock = threading.Lock()  # guards the fields below
        self._classes = [_ClassDurations() for _ in range(classes)]

    def begin(self, until_s: float) -> None:
        """Admit only calls that can be expected to end by ``until_s`` (clock time)."""
        self._until_s = until_s
        self.active = True

    def rejects_class(self, class_index: int, now: float) -> bool:
        """Return whether all calls of a class that are received at ``now`` are rejected.

        The gateway checks this before it creates a call for a request: near the end of a drain most requests
        are rejected, and their clients retry at once.
        """
        with self._lock:
            return self._ends_too_late(self._classes[class_index], now)

    def admit(self, call: Call, now: float) -> bool:
        """Return whether to execute a call received at ``now``, and limit its deadline to the drain's end."""
        durations = self._classes[call.function.class_index]
        with self._lock:
            if self._ends_too_late(durations, now):
                return False
            durations.received_s[call.number] = now
        call.deadline_s = min(call.deadline_s, self._until_s)
        return True

    def _ends_too_late(self, durations: _ClassDurations, now: float) -> bool:
        return now + durations.expected_s(now) >= self._until_s

    def record_final_answer(self, call: Call, status: FinalStatus, now: float) -> None:
        """Record the duration of a call that has its final answer; only served calls count."""
        durations = self._classes[call.function.class_index]
        with self._lock:
            received_s = durations.received_s.pop(call.number, None)
            if received_s is not None and status is FinalStatus.SERVED:
                durations.durations_s.append(now - received_s)
