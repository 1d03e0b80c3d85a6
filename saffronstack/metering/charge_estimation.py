"""What calls of a dead worker held, guessed from when they were there: no record of theirs will come. No I/O.

Calls of one function that were there together shared its copies, a load first of all. How many copies stood
is not known; as few as their lanes allow are taken, so that a shared load is not charged once for each
waiter."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from msgspec import structs

from saffronstack.metering.ledger_entries import ProvisionalCharge, to_stored_amount


@dataclass(frozen=True, slots=True)
class CallPresence:
    """A call at the worker; microseconds of any one clock."""

    start_us: int
    end_us: int
    memory_kib: int
    lanes: int


def estimate_shares(stays: Sequence[CallPresence]) -> list[int]:
    """What each of one function's calls held, in KiB microseconds, in the order of the calls."""
    amounts = [0.0] * len(stays)
    edges = sorted({edge for stay in stays for edge in (stay.start_us, stay.end_us)})
    events: dict[int, list[tuple[bool, int]]] = {edge: [] for edge in edges}
    for place, stay in enumerate(stays):
        events[stay.start_us].append((True, place))
        events[stay.end_us].append((False, place))
    there: set[int] = set()
    for edge, following in zip(edges, [*edges[1:], edges[-1] if edges else 0], strict=True):
        for begins, place in events[edge]:
            if begins:
                there.add(place)
        for begins, place in events[edge]:
            if not begins:
                there.discard(place)
        if there:
            lanes = min(stays[place].lanes for place in there)
            part = -(-len(there) // lanes) / len(there)
            for place in there:
                amounts[place] += stays[place].memory_kib * (following - edge) * part
    return [round(amount) for amount in amounts]


def share_instances(charges: list[ProvisionalCharge]) -> list[ProvisionalCharge]:
    """Charges for calls of a dead worker, cut to their parts of the copies that they shared."""
    by_function: dict[str, list[int]] = defaultdict(list)
    for place, charge in enumerate(charges):
        if charge.memory_kib:
            by_function[charge.function].append(place)
    found = list(charges)
    for places in by_function.values():
        stays = []
        for place in places:
            charge = charges[place]
            end_us = int((charge.lost_steady_s or charge.lost_unix_s) * 1e6)
            start_us = end_us - int(charge.amount) // charge.memory_kib
            stays.append(CallPresence(start_us, end_us, charge.memory_kib, max(1, charge.concurrency)))
        for place, amount in zip(places, estimate_shares(stays), strict=True):
            found[place] = structs.replace(charges[place], amount=to_stored_amount(amount), memory_kib=0)
    return found
