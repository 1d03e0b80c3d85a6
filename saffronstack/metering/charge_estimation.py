"""Estimates what calls of a dead worker used, from the intervals in which they were at the worker. No I/O.

Concurrent calls of one function share its instances and, above all, a load. The number of instances is not
known. The estimate assumes as few as the concurrency allows, so that a shared load is not charged once for
each call that waited for it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from msgspec import structs

from saffronstack.metering.ledger_entries import ProvisionalCharge, to_stored_amount


@dataclass(frozen=True, slots=True)
class CallInterval:
    """The interval in which a call was at its worker, in microseconds of a clock that all calls share."""

    start_us: int
    end_us: int
    memory_kib: int
    concurrency: int


def estimate_shares(intervals: Sequence[CallInterval]) -> list[int]:
    """Return what each call of one function used, in KiB microseconds, in the order of the intervals."""
    amounts = [0.0] * len(intervals)
    edges = sorted({edge for interval in intervals for edge in (interval.start_us, interval.end_us)})
    arrivals: dict[int, list[int]] = defaultdict(list)
    departures: dict[int, list[int]] = defaultdict(list)
    for index, interval in enumerate(intervals):
        arrivals[interval.start_us].append(index)
        departures[interval.end_us].append(index)
    present: set[int] = set()
    for edge, next_edge in zip(edges, [*edges[1:], edges[-1] if edges else 0], strict=True):
        present.update(arrivals[edge])
        present.difference_update(departures[edge])
        if present:
            concurrency = min(intervals[index].concurrency for index in present)
            instances = -(-len(present) // concurrency)
            fraction = instances / len(present)
            for index in present:
                amounts[index] += intervals[index].memory_kib * (next_edge - edge) * fraction
    return [round(amount) for amount in amounts]


def share_instances(charges: list[ProvisionalCharge]) -> list[ProvisionalCharge]:
    """Reduce the charges of a dead worker's calls to their parts of the instances that they shared."""
    by_function: dict[str, list[int]] = defaultdict(list)
    for index, charge in enumerate(charges):
        if charge.memory_kib:
            by_function[charge.function].append(index)
    reduced = list(charges)
    for indexes in by_function.values():
        amounts = estimate_shares([_call_interval(charges[index]) for index in indexes])
        for index, amount in zip(indexes, amounts, strict=True):
            stored = to_stored_amount(amount)
            reduced[index] = structs.replace(charges[index], amount=stored, memory_kib=0)
    return reduced


def _call_interval(charge: ProvisionalCharge) -> CallInterval:
    end_us = int((charge.lost_steady_s or charge.lost_unix_s) * 1e6)
    start_us = end_us - int(charge.amount) // charge.memory_kib
    return CallInterval(start_us, end_us, charge.memory_kib, max(1, charge.concurrency))
