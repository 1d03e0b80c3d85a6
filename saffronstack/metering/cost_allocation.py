"""Allocates the memory-time of a usage record to calls, exactly. No I/O.

Loading time is divided equally among the calls that wait for the load, and running time among the calls that
run in that span. Amounts are integers. The remainder of a division goes, one unit each, to the first calls in
the order of their ids, so that the allocations of a record always sum up to memory x instances x time. Idle
time is allocated to no call, and neither is loading or running without calls: an instance may be loaded by a
load command, or its client may have disconnected.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from saffronstack.metering.worker_messages import CallReference, UsageRecord

NO_CALL = CallReference("", "", "")


class Phase(Enum):
    """Phase of an instance."""

    LOAD = "load"
    RUN = "run"
    IDLE = "idle"


class Occupancy(NamedTuple):
    """Memory-time that instances occupied, in KiB microseconds."""

    loading: int
    running: int
    idle: int


@dataclass(frozen=True, slots=True)
class Allocation:
    """Memory-time of one call in one phase, in KiB microseconds."""

    call: CallReference
    phase: Phase
    amount: int


def total_occupancy(usage: UsageRecord) -> Occupancy:
    """Return what the instances of a record occupied, without allocating it to calls."""
    per_instance = usage.memory_kib * (usage.end_us - usage.start_us)
    return Occupancy(
        per_instance * usage.loading_instances,
        per_instance * usage.running_instances,
        per_instance * usage.idle_instances,
    )


def allocate(usage: UsageRecord) -> list[Allocation]:
    """Return the nonzero allocations of a record."""
    total = total_occupancy(usage)
    allocations = _allocate_equally(total.loading, usage.waiting_calls, Phase.LOAD)
    allocations += _allocate_equally(total.running, usage.running_calls, Phase.RUN)
    if total.idle:
        allocations.append(Allocation(NO_CALL, Phase.IDLE, total.idle))
    return allocations


def _allocate_equally(amount: int, calls: tuple[CallReference, ...], phase: Phase) -> list[Allocation]:
    if not amount:
        return []
    if not calls:
        return [Allocation(NO_CALL, phase, amount)]
    quotient, remainder = divmod(amount, len(calls))
    ordered = sorted(calls, key=lambda call: call.request_id)
    parts = [quotient + (position < remainder) for position in range(len(ordered))]
    return [Allocation(call, phase, part) for call, part in zip(ordered, parts, strict=True) if part]
