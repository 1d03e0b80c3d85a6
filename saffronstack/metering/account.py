"""The account: what the log's records add up to. Each record counts once, however often it comes. No I/O."""

from __future__ import annotations

from bisect import bisect_right
from collections import OrderedDict, defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field

from saffronstack.metering.records import (
    AnyEntry,
    Charged,
    Confirmed,
    Estimated,
    Given,
    Held,
    Occupied,
    Provisional,
    Received,
    Replaced,
    Start,
    Total,
)
from saffronstack.metering.split import Phase, occupied, split

BUCKET_S = 3600
CHARGED_KEPT = 10_000  # of these, in a snapshot: a loss is noticed within a deadline of its record
CALLS_KEPT = 50_000  # calls charged lately, so that a loss noticed after its records is not charged again
_PLACE = {Phase.LOAD: 0, Phase.RUN: 1, Phase.IDLE: 2}
ESTIMATED = 3
Key = tuple[str, str, str, str, int]  # tenant, function, class, worker, bucket


@dataclass(slots=True)
class Ranges:
    """Whole numbers, kept as spans without gaps."""

    spans: list[tuple[int, int]] = field(default_factory=list)  # both ends belong to it

    def __contains__(self, number: int) -> bool:
        place = bisect_right(self.spans, (number, 1 << 62)) - 1
        return place >= 0 and self.spans[place][0] <= number <= self.spans[place][1]

    def add(self, low: int, high: int) -> None:
        """All numbers from ``low`` to ``high``."""
        place = bisect_right(self.spans, (low, 1 << 62))
        first = place
        if first and self.spans[first - 1][1] >= low - 1:
            first -= 1
            low = self.spans[first][0]
        last = first
        while last < len(self.spans) and self.spans[last][0] <= high + 1:
            high = max(high, self.spans[last][1])
            last += 1
        self.spans[first:last] = [(low, high)]

    def overlap(self, other: Ranges) -> int:
        """How many numbers both hold."""
        return sum(max(0, min(a[1], b[1]) - max(a[0], b[0]) + 1) for a in self.spans for b in other.spans)


class Account:
    """Owned by the journal's writer thread; others read copies."""

    def __init__(self, gateway: str = "") -> None:
        self.gateway = gateway
        self.totals: dict[Key, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        self.occupied: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        self.confirmed: dict[tuple[str, str], Ranges] = defaultdict(Ranges)
        self.unconfirmed: dict[tuple[str, str, int], Received] = {}
        self.provisional: dict[tuple[str, str], Provisional] = {}  # by worker and request id
        self.in_doubt = False
        self._charged: OrderedDict[tuple[str, str], int] = OrderedDict()  # by worker and request id

    # ---- the journal's side

    def apply(self, entry: AnyEntry) -> None:
        """One record more."""
        if isinstance(entry, Received):
            self._received(entry)
        elif isinstance(entry, Confirmed):
            self._confirm(entry)
        elif isinstance(entry, Given):
            given = self.unconfirmed.pop((entry.worker, entry.incarnation, entry.seq), None)
            if given is not None:
                self._count(given, -1)
        elif isinstance(entry, Provisional):
            self.provisional[entry.worker, entry.call.id] = entry
        elif isinstance(entry, Replaced):
            self.provisional.pop((entry.worker, entry.call_id), None)
        elif isinstance(entry, Estimated):
            for key, charge in list(self.provisional.items()):
                if (charge.worker, charge.incarnation) == (entry.worker, entry.incarnation):
                    self.totals[self._key(charge)][ESTIMATED] += self.outstanding(charge)
                    del self.provisional[key]
        else:
            self._restore(entry)

    def snapshot(self) -> Iterator[AnyEntry]:
        """Records that add up to this state. Unconfirmed ones stand as themselves, so they leave the sums."""
        rest = Account()
        for received in self.unconfirmed.values():
            rest._count(received, 1)
        yield Start(self.gateway)
        for key, amounts in self.totals.items():
            taken = rest.totals.get(key, [0, 0, 0, 0])
            load, run, idle, estimated = (a - b for a, b in zip(amounts, taken, strict=True))
            if load or run or idle or estimated:
                yield Total(*key, load, run, idle, estimated)
        for worker, held in self.occupied.items():
            taken = rest.occupied.get(worker, [0, 0, 0])
            load, run, idle = (a - b for a, b in zip(held, taken, strict=True))
            if load or run or idle:
                yield Occupied(worker, load, run, idle)
        for (worker, incarnation), ranges in self.confirmed.items():
            for low, high in ranges.spans:
                yield Held(worker, incarnation, low, high)
        yield from self.unconfirmed.values()
        for call, amount in list(self._charged.items())[-CHARGED_KEPT:]:
            if amount := amount - rest._charged.get(call, 0):
                yield Charged(*call, amount)
        yield from self.provisional.values()

    def needed_bytes(self) -> int:
        """About how large a snapshot is."""
        return 80 * len(self.totals) + 200 * (len(self.unconfirmed) + len(self.provisional)) + 64

    def doubt(self) -> None:
        """Records of the log are lost: its sums may miss some."""
        self.in_doubt = True

    # ---- questions

    def knows(self, worker: str, incarnation: str, seq: int) -> bool:
        """Whether a record was counted."""
        return (worker, incarnation, seq) in self.unconfirmed or (
            seq in self.confirmed[worker, incarnation] if (worker, incarnation) in self.confirmed else False
        )

    def by_tenant(self) -> dict[str, int]:
        """Loading and running, estimates and provisional charges included, in KiB microseconds."""
        sums: dict[str, int] = defaultdict(int)
        for (tenant, *_), (load, run, _, estimated) in list(self.totals.items()):
            sums[tenant] += load + run + estimated
        for charge in list(self.provisional.values()):
            sums[charge.call.tenant] += self.outstanding(charge)
        return dict(sums)

    def outstanding(self, charge: Provisional) -> int:
        """What a lost call is charged beyond the records that came."""
        return max(0, charge.amount - self._charged.get((charge.worker, charge.call.id), 0))

    def unbalanced(self) -> list[str]:
        """Workers whose shares do not sum up to what their copies held; a line each."""
        shares: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        for (_, _, _, worker, _), amounts in self.totals.items():
            for place in range(3):
                shares[worker][place] += amounts[place]
        lines = []
        for worker in sorted(set(shares) | set(self.occupied)):
            if shares[worker] != list(self.occupied[worker]):
                lines.append(f"{worker}: shares {shares[worker]}, held {self.occupied[worker]}")
        return lines

    # ---- inside

    def _received(self, entry: Received) -> None:
        usage = entry.usage
        if self.knows(usage.worker, usage.incarnation, usage.seq):
            return
        self.unconfirmed[usage.worker, usage.incarnation, usage.seq] = entry
        self._count(entry, 1)

    def _confirm(self, entry: Confirmed) -> None:
        """Records that are counted become numbers; one that is not counted here stays unknown."""
        low, last = entry.seq, max(entry.seq, entry.last)
        spans = []
        for seq in range(entry.seq, last + 1):
            if self.unconfirmed.pop((entry.worker, entry.incarnation, seq), None) is None:
                spans.append((low, seq - 1))
                low = seq + 1
        for first, final in [*spans, (low, last)]:
            if first <= final:
                self.confirmed[entry.worker, entry.incarnation].add(first, final)

    def _count(self, entry: Received, sign: int) -> None:
        usage = entry.usage
        bucket = int(entry.at // BUCKET_S) * BUCKET_S
        for share in split(usage):
            key = share.call.tenant, usage.function, share.call.call_class, usage.worker, bucket
            self.totals[key][_PLACE[share.phase]] += sign * share.amount
            if share.call.id:
                self._charge((usage.worker, share.call.id), sign * share.amount)
        for place, amount in enumerate(occupied(usage)):
            self.occupied[usage.worker][place] += sign * amount

    def _charge(self, call: tuple[str, str], amount: int) -> None:
        self._charged[call] = self._charged.get(call, 0) + amount
        if len(self._charged) > CALLS_KEPT:
            self._charged.popitem(last=False)

    @staticmethod
    def _key(charge: Provisional) -> Key:
        bucket = int(charge.at // BUCKET_S) * BUCKET_S
        return charge.call.tenant, charge.function, charge.call.call_class, charge.worker, bucket

    def _restore(self, entry: AnyEntry) -> None:
        if isinstance(entry, Start):
            self.__init__(entry.gateway)  # type: ignore[misc]
        elif isinstance(entry, Total):
            key = entry.tenant, entry.function, entry.call_class, entry.worker, entry.bucket
            self.totals[key] = [entry.load, entry.run, entry.idle, entry.estimated]
        elif isinstance(entry, Charged):
            self._charge((entry.worker, entry.call_id), entry.amount)
        elif isinstance(entry, Occupied):
            self.occupied[entry.worker] = [entry.load, entry.run, entry.idle]
        elif isinstance(entry, Held):
            self.confirmed[entry.worker, entry.incarnation].add(entry.low, entry.high)


@dataclass(slots=True)
class Merged:
    """Several gateways' accounts as one."""

    account: Account
    notes: list[str] = field(default_factory=list)


def merge(accounts: Iterable[Account]) -> Merged:
    """Add accounts up; the same gateway's twice counts once, and so does a record that two of them hold."""
    merged = Merged(Account("merged"))
    whole = merged.account
    seen: dict[str, Account] = {}
    for account in accounts:
        if account.gateway in seen:
            merged.notes.append(f"gateway {account.gateway} was given twice; counted once")
            continue
        for other in seen.values():
            for key, ranges in account.confirmed.items():
                both = ranges.overlap(other.confirmed[key]) if key in other.confirmed else 0
                if both:
                    merged.notes.append(f"{key[0]} {key[1]}: {both} records are confirmed by two gateways")
        seen[account.gateway] = account
    for account in seen.values():
        for total_key, amounts in account.totals.items():
            for place, amount in enumerate(amounts):
                whole.totals[total_key][place] += amount
        for worker, held in account.occupied.items():
            for place, amount in enumerate(held):
                whole.occupied[worker][place] += amount
        for key, ranges in account.confirmed.items():
            for low, high in ranges.spans:
                whole.confirmed[key].add(low, high)
        whole.in_doubt = whole.in_doubt or account.in_doubt
        for call, amount in account._charged.items():
            whole._charge(call, amount)
    for account in seen.values():
        for number, received in account.unconfirmed.items():
            worker, incarnation, seq = number
            if number in whole.unconfirmed or seq in whole.confirmed[worker, incarnation]:
                whole._count(received, -1)
            else:
                whole.unconfirmed[number] = received
    for account in seen.values():
        whole.provisional.update(account.provisional)
    return merged
