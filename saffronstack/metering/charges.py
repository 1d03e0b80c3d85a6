"""What single calls are charged: by records lately, provisionally while their answers are lost, by estimate
once their worker is dead. No I/O but for the archive's answers.
"""

from __future__ import annotations

from collections import OrderedDict, defaultdict
from collections.abc import Iterator, Mapping
from contextlib import AbstractContextManager

from saffronstack.durable.sorted_runs import KeyValue
from saffronstack.metering.archive import Archive, amounts_of, key_of, parts_of, prefix_of, value_of
from saffronstack.metering.estimates import shared
from saffronstack.metering.records import (
    AnyEntry,
    Charged,
    Estimate,
    Estimated,
    Pinned,
    Provisional,
    decode,
    encode,
    life_of,
    wire,
    worker_of,
)

CHARGED_KEPT = 10_000  # of these, in a snapshot: a loss is noticed within a deadline of its record
CALLS_KEPT = 50_000  # calls charged lately, so that a loss noticed after its records is not charged again
CallKey = tuple[str, str]  # a life of a worker, request id


def key_for(charge: Provisional) -> CallKey:
    """Under which a charge stands."""
    return life_of(charge.worker, charge.incarnation), charge.call.id


def recorded(charged: Mapping[CallKey, int], charge: Provisional) -> int:
    """What records charge a lost call, in the life that it was lost in."""
    keys = {key_for(charge), (charge.worker, charge.call.id)}
    return sum(charged.get(key, 0) for key in keys)


class CallCharges:
    """Owned by the account; others read copies."""

    def __init__(self, archive: Archive | None, view: AbstractContextManager[object]) -> None:
        """``view`` is held while what stands here moves to a run."""
        self._archive = archive
        self._view = view
        self.provisional: dict[CallKey, Provisional] = {}
        self.estimates: dict[CallKey, Provisional] = {}  # final, less what records charge
        self._charged: OrderedDict[CallKey, int] = OrderedDict()
        # As _charged, for calls of dead workers: never forgotten, another gateway may have estimated them.
        self._pinned: dict[CallKey, int] = {}

    # ---- changes

    def expect(self, charge: Provisional) -> None:
        """A call's answer was lost. Of two losses in one life the longer stays: a retry may have met a dying
        worker's socket for a millisecond, and both together hold too much where records tell of one.
        """
        before = self.provisional.get(key_for(charge))
        if before is None or int(before.amount) <= int(charge.amount):
            self.provisional[key_for(charge)] = charge

    def replace(self, life: str, call_id: str) -> None:
        """Its records tell all of a call."""
        self.provisional.pop((life, call_id), None)
        if worker_of(life) == life:  # an older log did not say in which life
            for key in [key for key in self.provisional if key[1] == call_id and worker_of(key[0]) == life]:
                del self.provisional[key]
        else:
            self.provisional.pop((worker_of(life), call_id), None)

    def add(self, call: CallKey, amount: int) -> None:
        """A record charges a call; a negative amount takes back."""
        if call in self._pinned:
            self._pinned[call] += amount
            return
        self._charged[call] = self._charged.get(call, 0) + amount
        if len(self._charged) > CALLS_KEPT:
            self._charged.popitem(last=False)

    def estimate(self, entry: Estimated) -> list[tuple[Provisional, int]]:
        """Provisional charges become final; each with what is charged by it now."""
        life = life_of(entry.worker, entry.incarnation)
        if entry.call_id:
            found = [call for call in [(life, entry.call_id)] if call in self.provisional]
        else:
            found = [
                call
                for call, charge in self.provisional.items()
                if (charge.worker, charge.incarnation) == (entry.worker, entry.incarnation)
            ]
            for call in [call for call in self._charged if call[0] in (life, entry.worker)]:
                self._pinned[call] = self._charged.pop(call)
        charges = [self.provisional.pop(call) for call in found]
        if not entry.call_id:
            charges = shared(charges)
        self.estimates.update(zip(found, charges, strict=True))
        return [(charge, self.outstanding(charge)) for charge in charges]

    def restore(self, entry: Charged | Estimate | Pinned) -> None:
        """An entry of a snapshot."""
        if isinstance(entry, Charged):
            self.add((entry.worker, entry.call_id), int(entry.amount))
        elif isinstance(entry, Estimate):
            self.estimates[key_for(entry.charge)] = entry.charge
        else:
            self._pinned[entry.worker, entry.call_id] = int(entry.amount)

    def snapshot(self, rest: CallCharges) -> Iterator[AnyEntry]:
        """Entries that add up to this, without what ``rest`` holds, which stands elsewhere in the
        snapshot.
        """
        for call, amount in list(self._charged.items())[-CHARGED_KEPT:]:
            if amount := amount - rest.charged(*call):
                yield Charged(*call, wire(amount))
        yield from self.provisional.values()
        for charge in self.estimates.values():
            yield Estimate(charge)
        for call, amount in self._pinned.items():
            yield Pinned(*call, wire(amount - rest.charged(*call)))

    def items(self) -> Iterator[KeyValue]:
        """What a run would take over."""
        for call, charge in self.estimates.items():
            yield key_of("e", *call), encode(charge)
        for call, amount in self._pinned.items():
            yield key_of("k", *call), value_of((amount,))

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
        calls = {(life, call_id), (worker_of(life), call_id)}  # older logs knew no lives
        return sum(self._charged.get(call, 0) + self._pinned.get(call, 0) for call in calls)

    def outstanding(self, charge: Provisional) -> int:
        """What a lost call is charged beyond the records that came, as far as memory tells."""
        return max(0, int(charge.amount) - self.charged(*key_for(charge)))

    def final(self) -> Iterator[Provisional]:
        """Charges for calls of dead workers, before what records charge them is taken off."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = list(self.estimates.values())
        yield from kept
        if self._archive is not None and runs:
            for _, value in self._archive.under(prefix_of(3, "e"), runs):
                charge = decode(value)
                assert isinstance(charge, Provisional)
                yield charge

    def by_call(self) -> Iterator[tuple[CallKey, int]]:
        """What records charge calls: lately, and of dead workers always. A call may come twice."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = [*self._charged.items(), *self._pinned.items()]
        yield from kept
        if self._archive is not None and runs:
            for raw, value in self._archive.under(prefix_of(3, "k"), runs):
                _, life, call_id = parts_of(raw)
                yield (str(life), str(call_id)), amounts_of(value)[0]

    def estimated(self) -> list[tuple[Provisional, int]]:
        """Final estimates, each with what is charged by it."""
        charges = list(self.final())
        charged: dict[CallKey, int] = defaultdict(int)
        if charges:
            for call, amount in self.by_call():
                charged[call] += amount
        return [(charge, max(0, int(charge.amount) - recorded(charged, charge))) for charge in charges]
