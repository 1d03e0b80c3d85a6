"""Who held what: a worker's record split over calls, exactly. No I/O.

Loading is shared equally by the calls that wait for the load, running by the calls that run on the copies in
that span. Amounts are integers; what does not divide goes, one unit each, to the calls first in the order of
their ids. So the shares of a record always sum up to memory x copies x time. What nobody waits for (a copy
that was ordered, a waiter that gave up) and what stands idle belongs to no call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from saffronstack.metering.records import CallReference, UsageRecord

NO_CALL = CallReference("", "", "")


class Phase(Enum):
    """What a copy was doing."""

    LOAD = "load"
    RUN = "run"
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class Allocation:
    """What one call held in one phase, in KiB microseconds."""

    call: CallReference
    phase: Phase
    amount: int


def total_occupancy(usage: UsageRecord) -> tuple[int, int, int]:
    """What the copies held loading, running and idle, by multiplication alone."""
    span = usage.memory_kib * (usage.end_us - usage.start_us)
    return span * usage.load, span * usage.run, span * usage.idle


def allocate(usage: UsageRecord) -> list[Allocation]:
    """The shares of a record; none is zero."""
    load, run, idle = total_occupancy(usage)
    shares = [
        *_allocate_equally(load, usage.waiting, Phase.LOAD),
        *_allocate_equally(run, usage.running, Phase.RUN),
    ]
    if idle:
        shares.append(Allocation(NO_CALL, Phase.IDLE, idle))
    return shares


def _allocate_equally(amount: int, calls: tuple[CallReference, ...], phase: Phase) -> list[Allocation]:
    if not amount:
        return []
    if not calls:
        return [Allocation(NO_CALL, phase, amount)]
    each, rest = divmod(amount, len(calls))
    ordered = sorted(calls, key=lambda call: call.id)
    parts = [each + (place < rest) for place in range(len(ordered))]
    return [Allocation(call, phase, part) for call, part in zip(ordered, parts, strict=True) if part]
