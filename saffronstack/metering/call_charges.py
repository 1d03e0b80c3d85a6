"""Charges of single calls. Only the archive performs I/O.

Records charge a call for what it used. A call without a response is charged provisionally until its worker
reports its end. If the worker's incarnation ends first, the provisional charge becomes an estimated one.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator, Mapping
from contextlib import AbstractContextManager
from itertools import islice
from typing import NamedTuple

from saffronstack.durable.sorted_runs import KeyValue
from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import (
    decode_amounts,
    decode_key,
    encode_amounts,
    encode_key,
    encode_key_prefix,
)
from saffronstack.metering.charge_estimation import share_instances
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    CallCharge,
    EstimatedCharge,
    IncarnationEnded,
    ProvisionalCharge,
    RetainedCallCharge,
    decode_entry,
    encode_entry,
    incarnation_key,
    to_stored_amount,
    worker_of_incarnation,
)

MAX_RECENT_IN_SNAPSHOT = 10_000  # fewer suffice: a lost response is noticed within a deadline of its record
MAX_RECENT_CALLS = 50_000  # kept so that a loss noticed after its records is not charged twice
CHARGE_KEY_LENGTH = 3  # parts of an archive key, including its kind
CallKey = tuple[str, str]  # incarnation key, request id


def charge_key(charge: ProvisionalCharge) -> CallKey:
    """Return the incarnation and request id by which a charge is stored."""
    return incarnation_key(charge.worker, charge.incarnation), charge.call.request_id


def recorded_amount(recorded: Mapping[CallKey, int], charge: ProvisionalCharge) -> int:
    """Return what records charge a lost call in the incarnation that lost it."""
    # The second key is that of older logs, which have no incarnations.
    keys = {charge_key(charge), (charge.worker, charge.call.request_id)}
    return sum(recorded.get(key, 0) for key in keys)


def largest_by_call(charges: Iterable[ProvisionalCharge]) -> dict[CallKey, ProvisionalCharge]:
    """Return the largest charge of each call; a call may be lost again in the same incarnation."""
    largest: dict[CallKey, ProvisionalCharge] = {}
    for charge in charges:
        known = largest.get(charge_key(charge))
        if known is None or int(known.amount) < int(charge.amount):
            largest[charge_key(charge)] = charge
    return largest


class LostCallCharges(NamedTuple):
    """Charges of lost calls, each with the amount beyond the call's records, in KiB microseconds.

    Attributes:
        estimated: The largest estimated charge of each call.
        provisional: Provisional charges of the calls that have no estimated charge.
    """

    estimated: list[tuple[ProvisionalCharge, int]]
    provisional: list[tuple[ProvisionalCharge, int]]


class CallCharges:
    """Recorded, provisional and estimated charges by call. The account owns it; other threads read copies.

    Attributes:
        provisional: Charges of calls whose response was lost and whose end is not known.
        estimates: Estimated charges of calls of dead workers, before recorded amounts are deducted.
    """

    def __init__(self, archive: Archive | None, transfer_lock: AbstractContextManager[object]) -> None:
        """Create empty charges.

        Args:
            archive: Stores estimated charges that exceed the memory limits.
            transfer_lock: Is held while charges move from memory to a run.
        """
        self._archive = archive
        self._transfer_lock = transfer_lock
        self.provisional: dict[CallKey, ProvisionalCharge] = {}
        self.estimates: dict[CallKey, ProvisionalCharge] = {}
        self._recent: OrderedDict[CallKey, int] = OrderedDict()  # recorded amounts of recent calls
        # Recorded amounts of dead workers' calls: never dropped, as another gateway may have estimated them.
        self._retained: dict[CallKey, int] = {}

    # ---- changes

    def add_provisional(self, charge: ProvisionalCharge) -> None:
        """Charge a call whose response was lost.

        Of two losses in one incarnation the larger counts. A retry may reach the socket of a dying worker for
        a millisecond, so the sum of both would be too much.
        """
        before = self.provisional.get(charge_key(charge))
        if before is None or int(before.amount) <= int(charge.amount):
            self.provisional[charge_key(charge)] = charge

    def void_provisional(self, incarnation: str, request_id: str) -> None:
        """Remove a call's provisional charge, because its records are complete."""
        self.provisional.pop((incarnation, request_id), None)
        worker = worker_of_incarnation(incarnation)
        if worker != incarnation:
            self.provisional.pop((worker, request_id), None)
            return
        # The entry of an older log has no incarnation.
        for key in list(self.provisional):
            if key[1] == request_id and worker_of_incarnation(key[0]) == worker:
                del self.provisional[key]

    def add_recorded(self, call: CallKey, amount: int) -> None:
        """Add what a record charges a call; a negative amount subtracts."""
        if call in self._retained:
            self._retained[call] += amount
            return
        self._recent[call] = self._recent.get(call, 0) + amount
        if len(self._recent) > MAX_RECENT_CALLS:
            self._recent.popitem(last=False)

    def finalize(self, entry: IncarnationEnded) -> list[tuple[ProvisionalCharge, int]]:
        """Turn provisional charges into estimated ones.

        Returns:
            Each charge, with the amount beyond its records and beyond an earlier estimate of its call.
        """
        incarnation = incarnation_key(entry.worker, entry.incarnation)
        if entry.request_id:
            call = incarnation, entry.request_id
            calls = [call] if call in self.provisional else []
            charges = [self.provisional.pop(call) for call in calls]
        else:
            calls = [
                call
                for call, charge in self.provisional.items()
                if (charge.worker, charge.incarnation) == (entry.worker, entry.incarnation)
            ]
            self._retain_recent({incarnation, entry.worker})
            charges = share_instances([self.provisional.pop(call) for call in calls])
        return [
            (charge, self._add_estimate(call, charge)) for call, charge in zip(calls, charges, strict=True)
        ]

    def _add_estimate(self, call: CallKey, charge: ProvisionalCharge) -> int:
        """Keep the larger estimate of a call; return what this one adds to the call's charge."""
        known = self.estimates.get(call)
        if known is None:
            self.estimates[call] = charge
            return self.outstanding(charge)
        if int(known.amount) >= int(charge.amount):
            return 0
        self.estimates[call] = charge
        return self.outstanding(charge) - self.outstanding(known)

    def _retain_recent(self, incarnations: set[str]) -> None:
        for call in [call for call in self._recent if call[0] in incarnations]:
            self._retained[call] = self._recent.pop(call)

    def restore(self, entry: CallCharge | EstimatedCharge | RetainedCallCharge) -> None:
        """Apply an entry of a snapshot."""
        match entry:
            case CallCharge():
                self.add_recorded((entry.incarnation_key, entry.request_id), int(entry.amount))
            case EstimatedCharge():
                self.estimates[charge_key(entry.charge)] = entry.charge
            case RetainedCallCharge():
                self._retained[entry.incarnation_key, entry.request_id] = int(entry.amount)

    def snapshot(self, unconfirmed: CallCharges) -> Iterator[AnyLedgerEntry]:
        """Yield entries that add up to this state less ``unconfirmed``, which the snapshot has as records."""
        for call, amount in list(self._recent.items())[-MAX_RECENT_IN_SNAPSHOT:]:
            if remaining := amount - unconfirmed.recorded_in_memory(*call):
                yield CallCharge(*call, to_stored_amount(remaining))
        yield from self.provisional.values()
        for charge in self.estimates.values():
            yield EstimatedCharge(charge)
        for call, amount in self._retained.items():
            yield RetainedCallCharge(*call, to_stored_amount(amount - unconfirmed.recorded_in_memory(*call)))

    def archive_items(self) -> Iterator[KeyValue]:
        """Yield the items to write to a run."""
        for call, charge in self.estimates.items():
            yield encode_key("e", *call), encode_entry(charge)
        for call, amount in self._retained.items():
            yield encode_key("k", *call), encode_amounts((amount,))

    def forget_archived(self) -> None:
        """Forget what was moved to a run."""
        self.estimates.clear()
        self._retained.clear()

    # ---- queries

    @property
    def archivable_count(self) -> int:
        """Number of entries compared with the limit on estimates."""
        return max(len(self.estimates), len(self._retained))

    def oldest_provisional_beyond(self, limit: int) -> list[IncarnationEnded]:
        """Return entries that turn the oldest provisional charges beyond a limit into estimated ones."""
        excess = max(0, len(self.provisional) - limit)
        return [
            IncarnationEnded(charge.worker, charge.incarnation, charge.call.request_id)
            for charge in islice(self.provisional.values(), excess)
        ]

    def recorded_in_memory(self, incarnation: str, request_id: str) -> int:
        """Return what records of an incarnation charge a call, as far as they are in memory."""
        calls = {(incarnation, request_id), (worker_of_incarnation(incarnation), request_id)}
        return sum(self._recent.get(call, 0) + self._retained.get(call, 0) for call in calls)

    def outstanding(self, charge: ProvisionalCharge) -> int:
        """Return what a lost call is charged beyond its records, as far as these are in memory."""
        return max(0, int(charge.amount) - self.recorded_in_memory(*charge_key(charge)))

    def final_charges(self) -> Iterator[ProvisionalCharge]:
        """Yield estimated charges from memory and archive, before recorded amounts are deducted."""
        with self._transfer_lock:
            runs = self._archive.runs if self._archive is not None else ()
            in_memory = list(self.estimates.values())
        yield from in_memory
        if self._archive is not None and runs:
            prefix = encode_key_prefix(CHARGE_KEY_LENGTH, "e")
            for _, value in self._archive.items_with_prefix(prefix, runs):
                charge = decode_entry(value)
                assert isinstance(charge, ProvisionalCharge)
                yield charge

    def recorded_amounts(self) -> Iterator[tuple[CallKey, int]]:
        """Yield what records charge calls of dead workers, and recent calls. A call may occur twice."""
        with self._transfer_lock:
            runs = self._archive.runs if self._archive is not None else ()
            in_memory = [*self._recent.items(), *self._retained.items()]
        yield from in_memory
        if self._archive is not None and runs:
            prefix = encode_key_prefix(CHARGE_KEY_LENGTH, "k")
            for key, value in self._archive.items_with_prefix(prefix, runs):
                _, incarnation, request_id = decode_key(key)
                yield (str(incarnation), str(request_id)), decode_amounts(value)[0]

    def lost_call_charges(self) -> LostCallCharges:
        """Return the charges of lost calls. A call that is lost in one incarnation again counts once."""
        provisional = list(self.provisional.items())  # before the estimates, which they may become meanwhile
        estimated = self.estimated_charges()
        calls_with_estimate = {charge_key(charge) for charge, _ in estimated}
        return LostCallCharges(
            estimated,
            [
                (charge, self.outstanding(charge))
                for call, charge in provisional
                if call not in calls_with_estimate
            ],
        )

    def estimated_charges(self) -> list[tuple[ProvisionalCharge, int]]:
        """Return the largest estimated charge of each call, with the amount beyond the call's records."""
        charges = list(largest_by_call(self.final_charges()).values())
        recorded: dict[CallKey, int] = defaultdict(int)
        if charges:
            for call, amount in self.recorded_amounts():
                recorded[call] += amount
        return [
            (charge, max(0, int(charge.amount) - recorded_amount(recorded, charge))) for charge in charges
        ]
