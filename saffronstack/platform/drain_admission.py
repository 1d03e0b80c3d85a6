"""Which calls are still run by a gateway that drains, by what calls of their class take. No I/O.

The process may be killed at a known time. A call that can't be expected to end before that is refused before
anything is sent to a worker, so that a retry elsewhere is harmless; one that is run has until that time.
"""

from __future__ import annotations

import threading
from collections import deque

from saffronstack.engine.calls import Call, FinalStatus

MAX_SAMPLES = 64  # durations kept of a class, the latest
DURATION_QUANTILE = 0.9  # of the durations: a call is expected to take as long


class _ClassDurations:
    """What calls of one class take, as seen since the drain began; times in seconds."""

    def __init__(self) -> None:
        self.received_s: dict[int, float] = {}  # of open calls by their number, the oldest first
        self.durations_s: deque[float] = deque(maxlen=MAX_SAMPLES)  # of calls that were served

    def expected_s(self, now: float) -> float:
        """How long a call takes; while none was served, at least as long as the oldest is open."""
        if self.durations_s:
            return sorted(self.durations_s)[int(DURATION_QUANTILE * len(self.durations_s))]
        return now - next(iter(self.received_s.values()), now)


class DrainAdmission:
    """Does nothing until `begin`. Any thread may use it."""

    def __init__(self, classes: int) -> None:
        """``classes``: how many request classes there are."""
        self.active = False
        self._until_s = 0.0
        self._lock = threading.Lock()  # guards what is below
        self._classes = [_ClassDurations() for _ in range(classes)]

    def begin(self, until_s: float) -> None:
        """Admit only calls that can be expected to end by ``until_s`` (clock time)."""
        self._until_s = until_s
        self.active = True

    def rejects_class(self, class_index: int, now: float) -> bool:
        """Whether calls of a class that are received at ``now`` are refused, whatever else they ask.

        Asked before a call is made of a request: at the end of a drain most requests are refused, and their
        clients ask again at once.
        """
        with self._lock:
            return self._ends_too_late(self._classes[class_index], now)

    def admit(self, call: Call, now: float) -> bool:
        """Whether to run a call that was received at ``now``; its deadline is no later than the end then."""
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
        """Learn from a call that has its final answer; only one that was served tells what calls take."""
        durations = self._classes[call.function.class_index]
        with self._lock:
            received_s = durations.received_s.pop(call.number, None)
            if received_s is not None and status is FinalStatus.SERVED:
                durations.durations_s.append(now - received_s)
