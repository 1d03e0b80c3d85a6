"""Calls that a worker answered and whose records may not have come: what is charged if it dies now. No I/O.

A record is lost when its worker dies before any gateway took it. So a gateway remembers each answered call
until the worker has said that it holds nothing more, or for some seconds after it could have told another
gateway."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

KEPT_S = 5.0  # after a question was answered: records offered elsewhere are taken, or come back, within this
CALLS_MOST = 10_000  # for each worker
FUNCTIONS_MOST = 10_000
WEIGHT = 0.1  # of a new call in a function's usual amount


@dataclass(frozen=True, slots=True)
class UnconfirmedCall:
    """One call; ``amount`` is what its worker said that it held (``told``), or its function's memory over the
    time from its send to its answer."""

    ended_s: float
    call_id: str
    tenant: str
    call_class: str
    function: str
    amount: int
    told: bool = False
    incarnation: str = ""  # the life of the worker that answered it, where known


@dataclass(slots=True)
class _Worker:
    calls: deque[UnconfirmedCall] = field(default_factory=lambda: deque(maxlen=CALLS_MOST))


class UnconfirmedUsage:
    """Calls are noted from workers' threads; everything else is one thread's."""

    def __init__(self) -> None:
        self._workers: dict[int, _Worker] = {}
        self._usual: dict[str, float] = {}

    def note(self, worker: int, call: UnconfirmedCall) -> None:
        """A worker answered a call."""
        known = self._workers.get(worker)
        if known is None:
            known = self._workers.setdefault(worker, _Worker())
        known.calls.append(call)

    def told(self, worker: int, asked_s: float, nothing_left: bool, charged: Callable[[str], int]) -> None:
        """A worker answered a question put then. ``charged``: what records charge a call, by its id."""
        known = self._workers.get(worker)
        before = asked_s if nothing_left else asked_s - KEPT_S
        while known is not None and known.calls and known.calls[0].ended_s < before:
            call = known.calls.popleft()
            amount = charged(call.call_id)
            if amount:
                usual = self._usual.pop(call.function, float(amount))
                self._usual[call.function] = usual + WEIGHT * (amount - usual)
                if len(self._usual) > FUNCTIONS_MOST:
                    del self._usual[next(iter(self._usual))]

    def died(self, worker: int) -> list[UnconfirmedCall]:
        """The worker is dead: the calls whose records may be lost, each with what such a call usually held,
        or no more than its memory over its time. The time holds waits, in which a call may hold nothing."""
        known = self._workers.pop(worker, None)
        return [
            UnconfirmedCall(
                call.ended_s,
                call.call_id,
                call.tenant,
                call.call_class,
                call.function,
                call.amount
                if call.told
                else min(call.amount, round(self._usual.get(call.function, call.amount))),
                call.told,
                call.incarnation,
            )
            for call in (known.calls if known is not None else ())
        ]
