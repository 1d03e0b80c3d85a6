"""Who held what: a worker's record split over calls, exactly. No I/O.

Loading is shared equally by the calls that wait for the load, running by the calls that run on the copies in
that span. Amounts are integers; what does not divide goes, one unit each, to the calls first in the order of
their ids. So the shares of a record always sum up to memory x copies x time. What nobody waits for (a copy
that was ordered, a waiter that gave up) and what stands idle belongs to no call.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from saffronstack.metering.records import Ref, Usage

NOBODY = Ref("", "", "")


class Phase(Enum):
    """What a copy was doing."""

    LOAD = "load"
    RUN = "run"
    IDLE = "idle"


@dataclass(frozen=True, slots=True)
class Share:
    """What one call held in one phase, in KiB microseconds."""

    call: Ref
    phase: Phase
    amount: int


def occupied(usage: Usage) -> tuple[int, int, int]:
    """What the copies held loading, running and idle, by multiplication alone."""
    span = usage.memory_kib * (usage.end_us - usage.start_us)
    return span * usage.load, span * usage.run, span * usage.idle


def split(usage: Usage) -> list[Share]:
    """The shares of a record; none is zero."""
    load, run, idle = occupied(usage)
    shares = [*_equal(load, usage.waiting, Phase.LOAD), *_equal(run, usage.running, Phase.RUN)]
    if idle:
        shares.append(Share(NOBODY, Phase.IDLE, idle))
    return shares


def _equal(amount: int, calls: tuple[Ref, ...], phase: Phase) -> list[Share]:
    if not amount:
        return []
    if not calls:
        return [Share(NOBODY, phase, amount)]
    each, rest = divmod(amount, len(calls))
    ordered = sorted(calls, key=lambda call: call.id)
    parts = [each + (place < rest) for place in range(len(ordered))]
    return [Share(call, phase, part) for call, part in zip(ordered, parts, strict=True) if part]
