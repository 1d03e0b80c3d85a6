"""Calls that a worker answered and whose usage records may not have arrived: what is charged if it dies. No
I/O.

A record is lost when its worker dies before any gateway has acknowledged it. So a gateway remembers each
answered call until the worker has reported that no records remain, or for some seconds after it could have
given them to another gateway.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

RETENTION_S = 5.0  # after a poll was answered: records offered elsewhere are taken, or come back, within this
MAX_CALLS_PER_WORKER = 10_000
MAX_FUNCTIONS = 10_000
NEW_AMOUNT_WEIGHT = 0.1  # of a new call in the moving average of its function


@dataclass(frozen=True, slots=True)
class UnconfirmedCall:
    """A call that was answered.

    Attributes:
        ended_s: When the response came, by the monotonic clock.
        amount: What it used, in KiB microseconds: as the worker reported, or its function's memory over the
            time from its sending to its response.
        is_reported: Whether the amount is the worker's.
        incarnation: The worker's incarnation that answered it, where known.
    """

    ended_s: float
    request_id: str
    tenant: str
    request_class: str
    function: str
    amount: int
    is_reported: bool = False
    incarnation: str = ""


class UnconfirmedUsage:
    """Answered calls by worker. ``add`` is called on workers' threads, everything else on one thread."""

    def __init__(self) -> None:
        self._calls: dict[int, deque[UnconfirmedCall]] = {}  # by worker id
        self._typical_amounts: dict[str, float] = {}  # by function

    def add(self, worker_id: int, call: UnconfirmedCall) -> None:
        """Remember a call that a worker answered."""
        calls = self._calls.get(worker_id)
        if calls is None:
            calls = self._calls.setdefault(worker_id, deque(maxlen=MAX_CALLS_PER_WORKER))
        calls.append(call)

    def confirm(
        self, worker_id: int, polled_s: float, is_complete: bool, recorded_amount: Callable[[str], int]
    ) -> None:
        """Forget the calls whose records must have arrived.

        Args:
            worker_id: The worker that answered a poll.
            polled_s: When the poll was sent, by the monotonic clock.
            is_complete: Whether the worker reported that no records remain.
            recorded_amount: Returns what records charge a call, by its request id.
        """
        calls = self._calls.get(worker_id)
        before_s = polled_s if is_complete else polled_s - RETENTION_S
        while calls and calls[0].ended_s < before_s:
            call = calls.popleft()
            amount = recorded_amount(call.request_id)
            if amount:
                self._update_typical_amount(call.function, amount)

    def pop_calls_of_dead_worker(self, worker_id: int) -> list[UnconfirmedCall]:
        """Remove and return the calls of a dead worker, whose records may be lost.

        Where the worker reported no amount, a call's is at most what such a call typically uses: the time to
        its response includes waits, in which a call may use nothing.
        """
        return [
            call if call.is_reported else replace(call, amount=self._estimate_amount(call))
            for call in self._calls.pop(worker_id, ())
        ]

    def _estimate_amount(self, call: UnconfirmedCall) -> int:
        return min(call.amount, round(self._typical_amounts.get(call.function, call.amount)))

    def _update_typical_amount(self, function: str, amount: int) -> None:
        """Update a function's moving average; beyond the bound forget the one updated longest ago."""
        typical = self._typical_amounts.pop(function, float(amount))
        self._typical_amounts[function] = typical + NEW_AMOUNT_WEIGHT * (amount - typical)
        if len(self._typical_amounts) > MAX_FUNCTIONS:
            del self._typical_amounts[next(iter(self._typical_amounts))]
