"""Remembers answered calls without usage records, to charge them if the worker dies. No I/O.

A record is lost if its worker dies before any gateway has acknowledged it. So a gateway remembers an answered
call until the worker reports that no records remain, or until some seconds have passed in which the worker
could have given its records to another gateway.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, replace

# Records that were offered to another gateway are acknowledged there or offered here again within this time.
RETENTION_S = 5.0
MAX_CALLS_PER_WORKER = 10_000
MAX_FUNCTIONS = 10_000
NEW_AMOUNT_WEIGHT = 0.1  # weight of a new call in its function's moving average


@dataclass(frozen=True, slots=True)
class UnconfirmedCall:
    """An answered call whose records may not have arrived.

    Attributes:
        ended_s: When the response arrived, by the monotonic clock.
        amount: Usage in KiB microseconds, either as the worker reported it or estimated as the function's
            memory times the duration from sending the call to its response.
        is_reported: Whether the worker reported the amount.
        incarnation: The worker's incarnation that answered the call; empty if unknown.
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
    """Answered calls by worker. ``add`` is called on workers' threads, the other methods on one thread."""

    def __init__(self) -> None:
        self._calls: dict[int, deque[UnconfirmedCall]] = {}  # by worker id
        self._typical_amounts: dict[str, float] = {}  # by function

    def add(self, worker_id: int, call: UnconfirmedCall) -> None:
        """Remember an answered call."""
        calls = self._calls.get(worker_id)
        if calls is None:
            calls = self._calls.setdefault(worker_id, deque(maxlen=MAX_CALLS_PER_WORKER))
        calls.append(call)

    def has_calls(self, worker_id: int) -> bool:
        """Return whether there are calls of a worker."""
        return bool(self._calls.get(worker_id))

    def confirm(
        self, worker_id: int, polled_s: float, is_complete: bool, recorded_amount: Callable[[str], int]
    ) -> None:
        """Forget the calls whose records must have arrived at a gateway.

        Args:
            worker_id: The worker that answered a poll.
            polled_s: When the poll was sent, by the monotonic clock.
            is_complete: Whether the worker reported that no records remain.
            recorded_amount: Returns what records charge a call, given its request id.
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

        An amount that the worker did not report is limited to the average of the function's calls, because
        the time to a response includes waits in which a call may use nothing.
        """
        return [
            call if call.is_reported else replace(call, amount=self._estimate_amount(call))
            for call in self._calls.pop(worker_id, ())
        ]

    def _estimate_amount(self, call: UnconfirmedCall) -> int:
        return min(call.amount, round(self._typical_amounts.get(call.function, call.amount)))

    def _update_typical_amount(self, function: str, amount: int) -> None:
        """Update a function's moving average; above the limit, forget the function updated longest ago."""
        typical = self._typical_amounts.pop(function, float(amount))
        self._typical_amounts[function] = typical + NEW_AMOUNT_WEIGHT * (amount - typical)
        if len(self._typical_amounts) > MAX_FUNCTIONS:
            del self._typical_amounts[next(iter(self._typical_amounts))]
