"""What single calls are charged: by records lately, provisionally while their answers are lost, by estimate
once their worker is dead. No I/O but for the archive's answers."""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager

from saffronstack.durable.runs import Item
from saffronstack.metering.archive import (
    Archive,
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

CHARGED_KEPT = 10_000  # of these, in a snapshot: a loss is noticed within a deadline of its record
CALLS_KEPT = 50_000  # calls charged lately, so that a loss noticed after its records is not charged again
CallKey = tuple[str, str]  # a life of a worker, request id


def charge_key(charge: ProvisionalCharge) -> CallKey:
    """Under which a charge stands."""
    return incarnation_key(charge.worker, charge.incarnation), charge.call.request_id


def recorded_amount(charged: Mapping[CallKey, int], charge: ProvisionalCharge) -> int:
    """What records charge a lost call, in the life that it was lost in."""
    keys = {charge_key(charge), (charge.worker, charge.call.request_id)}
    return sum(charged.get(key, 0) for key in keys)


class CallCharges:
    """Owned by the account; others read copies."""

    def __init__(self, archive: Archive | None, view: AbstractContextManager[object]) -> None:
        """``view`` is held while what stands here moves to a run."""
        self._archive = archive
        self._view = view
        self.provisional: dict[CallKey, ProvisionalCharge] = {}
        self.estimates: dict[CallKey, ProvisionalCharge] = {}  # final, less what records charge
        self._charged: OrderedDict[CallKey, int] = OrderedDict()
        # As _charged, for calls of dead workers: never forgotten, another gateway may have estimated them.
        self._pinned: dict[CallKey, int] = {}

    # ---- changes

    def expect(self, charge: ProvisionalCharge) -> None:
        """A call's answer was lost. Of two losses in one life the longer stays: a retry may have met a dying
        worker's socket for a millisecond, and both together hold too much where records tell of one."""
        before = self.provisional.get(charge_key(charge))
        if before is None or int(before.amount) <= int(charge.amount):
            self.provisional[charge_key(charge)] = charge

    def replace(self, life: str, call_id: str) -> None:
        """Its records tell all of a call."""
        self.provisional.pop((life, call_id), None)
        if worker_of_incarnation(life) == life:  # an older log did not say in which life
            for key in [
                key for key in self.provisional if key[1] == call_id and worker_of_incarnation(key[0]) == life
            ]:
                del self.provisional[key]
        else:
            self.provisional.pop((worker_of_incarnation(life), call_id), None)

    def add(self, call: CallKey, amount: int) -> None:
        """A record charges a call; a negative amount takes back."""
        if call in self._pinned:
            self._pinned[call] += amount
            return
        self._charged[call] = self._charged.get(call, 0) + amount
        if len(self._charged) > CALLS_KEPT:
            self._charged.popitem(last=False)

    def estimate(self, entry: IncarnationEnded) -> list[tuple[ProvisionalCharge, int]]:
        """Provisional charges become final; each with what is charged by it now."""
        life = incarnation_key(entry.worker, entry.incarnation)
        if entry.request_id:
            found = [call for call in [(life, entry.request_id)] if call in self.provisional]
        else:
            found = [
                call
                for call, charge in self.provisional.items()
                if (charge.worker, charge.incarnation) == (entry.worker, entry.incarnation)
            ]
            for call in [call for call in self._charged if call[0] in (life, entry.worker)]:
                self._pinned[call] = self._charged.pop(call)
        charges = [self.provisional.pop(call) for call in found]
        if not entry.request_id:
            charges = share_instances(charges)
        self.estimates.update(zip(found, charges, strict=True))
        return [(charge, self.outstanding(charge)) for charge in charges]

    def restore(self, entry: CallCharge | EstimatedCharge | RetainedCallCharge) -> None:
        """An entry of a snapshot."""
        if isinstance(entry, CallCharge):
            self.add((entry.incarnation_key, entry.request_id), int(entry.amount))
        elif isinstance(entry, EstimatedCharge):
            self.estimates[charge_key(entry.charge)] = entry.charge
        else:
            self._pinned[entry.incarnation_key, entry.request_id] = int(entry.amount)

    def snapshot(self, rest: CallCharges) -> Iterator[AnyLedgerEntry]:
        """Entries that add up to this, without what ``rest`` holds, which stands elsewhere in the
        snapshot."""
        for call, amount in list(self._charged.items())[-CHARGED_KEPT:]:
            if amount := amount - rest.charged(*call):
                yield CallCharge(*call, to_stored_amount(amount))
        yield from self.provisional.values()
        for charge in self.estimates.values():
            yield EstimatedCharge(charge)
        for call, amount in self._pinned.items():
            yield RetainedCallCharge(*call, to_stored_amount(amount - rest.charged(*call)))

    def items(self) -> Iterator[Item]:
        """What a run would take over."""
        for call, charge in self.estimates.items():
            yield encode_key("e", *call), encode_entry(charge)
        for call, amount in self._pinned.items():
            yield encode_key("k", *call), encode_amounts((amount,))

    def moved(self) -> None:
        """A run has taken them over."""
        self.estimates.clear()
        self._pinned.clear()

    @property
    def movable(self) -> int:
        """How many entries a run would take over at least."""
        return max(len(self.estimates), len(self._pinned))

    # ---- questions

    def charged(self, life: str, call_id: str) -> int:
        """What records of a worker's life charge a call, as far as memory tells."""
        calls = {(life, call_id), (worker_of_incarnation(life), call_id)}  # older logs knew no lives
        return sum(self._charged.get(call, 0) + self._pinned.get(call, 0) for call in calls)

    def outstanding(self, charge: ProvisionalCharge) -> int:
        """What a lost call is charged beyond the records that came, as far as memory tells."""
        return max(0, int(charge.amount) - self.charged(*charge_key(charge)))

    def final(self) -> Iterator[ProvisionalCharge]:
        """Charges for calls of dead workers, before what records charge them is taken off."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = list(self.estimates.values())
        yield from kept
        if self._archive is not None and runs:
            for _, value in self._archive.under(encode_key_prefix(3, "e"), runs):
                charge = decode_entry(value)
                assert isinstance(charge, ProvisionalCharge)
                yield charge

    def by_call(self) -> Iterator[tuple[CallKey, int]]:
        """What records charge calls: lately, and of dead workers always. A call may come twice."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = [*self._charged.items(), *self._pinned.items()]
        yield from kept
        if self._archive is not None and runs:
            for raw, value in self._archive.under(encode_key_prefix(3, "k"), runs):
                _, life, call_id = decode_key(raw)
                yield (str(life), str(call_id)), decode_amounts(value)[0]

    def estimated(self) -> list[tuple[ProvisionalCharge, int]]:
        """Final estimates, each with what is charged by it."""
        charges = list(self.final())
        charged: dict[CallKey, int] = defaultdict(int)
        if charges:
            for call, amount in self.by_call():
                charged[call] += amount
        return [(charge, max(0, int(charge.amount) - recorded_amount(charged, charge))) for charge in charges]
