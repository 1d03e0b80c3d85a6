"""The account: what the log's records add up to. Each record counts once, however often it comes.

Free of I/O but for its archive, which takes what is too much for memory (``archive.py``) and is asked for
it."""

from __future__ import annotations

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

from saffronstack.durable.runs import Item, RunDamagedError
from saffronstack.metering.archive import (
    Archive,
    decode_amounts,
    decode_key,
    encode_amounts,
    encode_key,
    encode_key_prefix,
)
from saffronstack.metering.call_charges import CallCharges
from saffronstack.metering.cost_allocation import Phase, allocate, total_occupancy
from saffronstack.metering.interval_set import IntervalSet, group_into_intervals
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    ArchivedRecordRelinquished,
    ArchiveRuns,
    BudgetWindowPart,
    CallCharge,
    ConfirmedInterval,
    EstimatedCharge,
    IncarnationEnded,
    LedgerStarted,
    MovedToArchive,
    OccupancyTotal,
    ProvisionalCharge,
    ProvisionalChargeVoided,
    RecordConfirmed,
    RecordInterval,
    RecordReceived,
    RecordRelinquished,
    RetainedCallCharge,
    RunsMerged,
    UsageTotal,
    decode_entry,
    encode_entry,
    incarnation_key,
    to_stored_amount,
)
from saffronstack.metering.sliding_windows import SlidingWindows

BUCKET_S = 3600
_PLACE = {Phase.LOAD: 0, Phase.RUN: 1, Phase.IDLE: 2}
Key = tuple[str, str, str, str, int]  # tenant, function, class, worker, bucket
RecordKey = tuple[str, str, int]  # worker, incarnation, number
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class AccountLimits:
    """How much stays in memory, about 100 MB together; what is beyond goes to the archive."""

    totals: int = 50_000  # sums
    parts: int = 200_000  # parts of budget windows
    unconfirmed: int = 20_000  # records
    incarnations: int = 10_000
    provisional: int = 50_000  # charges; the oldest beyond become estimates
    estimates: int = 20_000  # and as many calls of dead workers


class Account:
    """Owned by the journal's writer thread; others read copies."""

    def __init__(
        self,
        gateway: str = "",
        archive: Archive | None = None,
        budget_windows: Mapping[str, float] | None = None,
        bounds: AccountLimits | None = None,
    ) -> None:
        """``budget_windows``: each tenant's window in seconds, where it has a budget."""
        self._archive = archive
        self.windows: SlidingWindows | None = None
        if budget_windows:
            self.windows = SlidingWindows(budget_windows, archive.window if archive is not None else None)
        self._bounds = bounds or AccountLimits()
        self._view = threading.Lock()  # held while sums move to a run, and while someone looks at both
        self.in_doubt = False
        self._clear(gateway)

    def _clear(self, gateway: str) -> None:
        self.gateway = gateway
        self.totals: dict[Key, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        self.occupied: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        self.confirmed: OrderedDict[tuple[str, str], IntervalSet] = OrderedDict()
        self.unconfirmed: dict[RecordKey, RecordReceived] = {}
        self.charges = CallCharges(self._archive, self._view)
        self._gone: set[RecordKey] = set()  # that a run still holds, and another gateway was given
        if self.windows is not None:
            self.windows.clear()
        if self._archive is not None:
            self._archive.take(())

    # ---- the journal's side

    def apply(self, entry: AnyLedgerEntry) -> None:
        """One record more."""
        if isinstance(entry, RecordReceived):
            self._received(entry)
        elif isinstance(entry, RecordConfirmed):
            self._confirm(entry)
        elif isinstance(entry, RecordRelinquished):
            given = self._take_out(entry.worker, entry.incarnation, entry.sequence_number)
            if given is not None:
                self.count(given, -1)
        elif isinstance(entry, ProvisionalCharge):
            self.charges.expect(entry)
        elif isinstance(entry, ProvisionalChargeVoided):
            self.charges.replace(entry.incarnation_key, entry.request_id)
        elif isinstance(entry, IncarnationEnded):
            self._estimate(entry)
        elif isinstance(entry, MovedToArchive):
            self._spilled(entry)
        elif isinstance(entry, RunsMerged):
            self._compacted(entry)
        else:
            self._restore(entry)

    def snapshot(self) -> Iterator[AnyLedgerEntry]:
        """Records that add up to this state. Unconfirmed ones stand as themselves, so they leave the sums."""
        rest = Account()
        for received in self.unconfirmed.values():
            rest.count(received, 1)
        yield LedgerStarted(self.gateway)
        if self._archive is not None and self._archive.runs:
            yield ArchiveRuns(self._archive.runs)
        for key, amounts in self.totals.items():
            taken = rest.totals.get(key, [0, 0, 0, 0])
            left = [a - b for a, b in zip(amounts, taken, strict=True)]
            if any(left):
                yield UsageTotal(*key, *map(to_stored_amount, left))
        for key, taken in rest.totals.items():
            if key not in self.totals and any(taken):
                yield UsageTotal(
                    *key, *(to_stored_amount(-amount) for amount in taken)
                )  # its sum stands in a run
        for worker in {**self.occupied, **rest.occupied}:
            held, taken = self.occupied.get(worker, [0, 0, 0]), rest.occupied.get(worker, [0, 0, 0])
            left = [a - b for a, b in zip(held, taken, strict=True)]
            if any(left):
                yield OccupancyTotal(worker, *map(to_stored_amount, left))
        for (worker, incarnation), ranges in self.confirmed.items():
            for low, high in ranges.spans:
                yield ConfirmedInterval(worker, incarnation, low, high)
        yield from self.unconfirmed.values()
        yield from self.charges.snapshot(rest.charges)
        for number in self._gone:
            yield ArchivedRecordRelinquished(*number)
        if self.windows is not None:  # last: they void what the records before them added to windows
            yield BudgetWindowPart("", 0.0, 0.0, 0)
            for tenant, length, start, amount in self.windows.snapshot():
                yield BudgetWindowPart(tenant, length, start, to_stored_amount(amount))

    def needed_bytes(self) -> int:
        """About how large a snapshot is."""
        parts = self.windows.parts if self.windows is not None else 0
        return 80 * len(self.totals) + 200 * (len(self.unconfirmed) + len(self.provisional)) + 40 * parts + 64

    def doubt(self) -> None:
        """Records of the log are lost: its sums may miss some."""
        self.in_doubt = True

    def relieve(self) -> list[AnyLedgerEntry]:
        """Write what is too much for memory to a run; the records that move it there."""
        bounds = self._bounds
        beyond = max(0, len(self.provisional) - bounds.provisional)
        if beyond:  # alone: a run that is written now would lack what these add to sums
            return [
                IncarnationEnded(charge.worker, charge.incarnation, charge.call.request_id)
                for charge in islice(self.provisional.values(), beyond)
            ]
        over = (
            len(self.totals) > bounds.totals
            or len(self.unconfirmed) > bounds.unconfirmed
            or len(self.confirmed) > bounds.incarnations
            or len(self._gone) > bounds.unconfirmed
            or self.charges.movable > bounds.estimates
            or (self.windows is not None and self.windows.parts > bounds.parts)
        )
        if not over or self._archive is None:
            return []
        cold = list(self.confirmed)[: max(0, len(self.confirmed) - bounds.incarnations // 2)]
        late = list(self.unconfirmed)[: max(0, len(self.unconfirmed) - bounds.unconfirmed // 2)]
        run = self._archive.write(sorted(self._items(cold, late)))
        numbers: dict[str, list[tuple[str, int]]] = defaultdict(list)
        for worker, incarnation, seq in late:
            numbers[worker].append((incarnation, seq))
        spans = [
            RecordInterval(worker, *span)
            for worker, found in numbers.items()
            for span in group_into_intervals(found)
        ]
        return [MovedToArchive(run, tuple(cold), tuple(spans))]

    def _items(self, cold: list[tuple[str, str]], late: list[RecordKey]) -> Iterator[Item]:
        for key, amounts in self.totals.items():
            if any(amounts):
                yield encode_key("t", *key), encode_amounts(amounts)
        for worker, held in self.occupied.items():
            if any(held):
                yield encode_key("o", worker), encode_amounts(held)
        for incarnation in cold:
            for low, high in self.confirmed[incarnation].spans:
                yield encode_key("h", *incarnation, low), encode_amounts((high,))
        for number in late:
            yield encode_key("u", *number), encode_entry(self.unconfirmed[number])
        for number in self._gone:
            yield encode_key("u", *number), b""
        yield from self.charges.items()
        if self.windows is not None:
            sums: dict[tuple[str, float], int] = defaultdict(int)
            for tenant, start, amount in self.windows.in_memory():
                sums[tenant, start] += amount
            for part, amount in sums.items():
                yield encode_key("w", *part), encode_amounts((amount,))

    @property
    def provisional(self) -> dict[tuple[str, str], ProvisionalCharge]:
        """Charges of lost calls that are not settled, by a worker's life and request id."""
        return self.charges.provisional

    @property
    def runs(self) -> int:
        """How many runs belong to it."""
        return len(self._archive.runs) if self._archive is not None else 0

    # ---- the archive's runs, from a thread that merges them

    def mergeable(self) -> tuple[int, ...]:
        """Runs that one should stand for."""
        return self._archive.mergeable() if self._archive is not None else ()

    def merge_runs(self, runs: tuple[int, ...]) -> int:
        """One run that adds up to some; it belongs to the account once ``Compacted`` is applied. OSError,
        RunDamagedError."""
        assert self._archive is not None
        windows = self.windows

        def keep(key: bytes, value: bytes) -> bool:
            kind = key[2:3]
            if kind == b"u":
                return bool(value)
            if kind == b"w":
                tenant, start = decode_key(key)[1:]
                return windows is not None and windows.stands(str(tenant), float(start))
            return True

        return self._archive.merge(runs, keep)

    def drop_runs(self, runs: tuple[int, ...]) -> None:
        """Remove runs that another one stands for."""
        if self._archive is not None:
            self._archive.drop(runs)

    def problems(self) -> list[str]:
        """What of the archive can't be read, a line each; reads all of it."""
        return self._archive.problems() if self._archive is not None else []

    # ---- questions

    def knows(self, worker: str, incarnation: str, seq: int) -> bool:
        """Whether a record was counted. RunDamagedError where the archive can't tell."""
        ranges = self.confirmed.get((worker, incarnation))
        if (worker, incarnation, seq) in self.unconfirmed or (ranges is not None and seq in ranges):
            return True
        return self._archive is not None and self._archive.knows(worker, incarnation, seq)

    def sums(self, tenant: str | None = None) -> Iterator[tuple[Key, list[int]]]:
        """Totals, of one tenant or of all, from memory and from the archive; a key may come twice."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = [
                (key, list(amounts))
                for key, amounts in list(self.totals.items())
                if tenant is None or key[0] == tenant
            ]
        yield from kept
        if self._archive is not None and runs:
            prefix = encode_key_prefix(6, "t") if tenant is None else encode_key_prefix(6, "t", tenant)
            for raw, value in self._archive.under(prefix, runs):
                _, *names, bucket = decode_key(raw)
                found, function, call_class, worker = map(str, names)
                yield (found, function, call_class, worker, int(bucket)), decode_amounts(value)

    def holdings(self) -> Iterator[tuple[str, list[int]]]:
        """What workers' copies held, from memory and from the archive; a worker may come twice."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = [(worker, list(held)) for worker, held in list(self.occupied.items())]
        yield from kept
        if self._archive is not None and runs:
            for raw, value in self._archive.under(encode_key_prefix(2, "o"), runs):
                yield str(decode_key(raw)[1]), decode_amounts(value)

    def numbers(self) -> Iterator[tuple[tuple[str, str], tuple[int, int]]]:
        """Confirmed numbers as spans, from memory and from the archive."""
        for incarnation, ranges in list(self.confirmed.items()):
            for span in list(ranges.spans):
                yield incarnation, span
        if self._archive is not None and self._archive.runs:
            for raw, value in self._archive.under(encode_key_prefix(4, "h")):
                _, worker, incarnation_, low = decode_key(raw)
                yield (str(worker), str(incarnation_)), (int(low), decode_amounts(value)[0])

    def open_records(self) -> Iterator[tuple[RecordKey, RecordReceived]]:
        """Records that no worker has confirmed, from memory and from the archive; one of the archive's may be
        among the confirmed numbers by now."""
        yield from list(self.unconfirmed.items())
        if self._archive is not None and self._archive.runs:
            for raw, value in self._archive.under(encode_key_prefix(4, "u")):
                if value:
                    _, worker, incarnation, seq = decode_key(raw)
                    number = str(worker), str(incarnation), int(seq)
                    entry = decode_entry(value)
                    assert isinstance(entry, RecordReceived)
                    if number not in self._gone:
                        yield number, entry

    def by_tenant(self) -> dict[str, int]:
        """Loading and running, estimates and provisional charges included, in KiB microseconds."""
        sums: dict[str, int] = defaultdict(int)
        for (tenant, *_), (load, run, _, estimated) in self.sums():
            sums[tenant] += load + run + estimated
        for charge in list(self.provisional.values()):
            sums[charge.call.tenant] += self.charges.outstanding(charge)
        for charge, amount in self.charges.estimated():
            sums[charge.call.tenant] += amount
        return dict(sums)

    def unbalanced(self) -> list[str]:
        """Workers whose shares do not sum up to what their copies held; a line each."""
        return find_imbalances(self.sums(), self.holdings())

    # ---- inside

    def _received(self, entry: RecordReceived) -> None:
        usage = entry.usage
        number = usage.worker, usage.incarnation, usage.sequence_number
        if self._sure(lambda: self.knows(*number), False):  # it was not known when it was taken
            return
        self.unconfirmed[number] = entry
        self.count(entry, 1)

    def _confirm(self, entry: RecordConfirmed) -> None:
        """Records that are counted become numbers; one that is not counted here stays unknown."""
        low, last = entry.sequence_number, max(entry.sequence_number, entry.last)
        incarnation = entry.worker, entry.incarnation
        spans = []
        for seq in range(entry.sequence_number, last + 1):
            number = *incarnation, seq
            if self.unconfirmed.pop(number, None) is None and not self._archived(number):
                spans.append((low, seq - 1))
                low = seq + 1
        for first, final in [*spans, (low, last)]:
            if first <= final:
                self.confirmed.setdefault(incarnation, IntervalSet()).add(first, final)
        if incarnation in self.confirmed:
            self.confirmed.move_to_end(incarnation)

    def _archived(self, number: RecordKey) -> bool:
        archive = self._archive
        return archive is not None and self._sure(lambda: archive.knows(*number), True)

    def _take_out(self, worker: str, incarnation: str, seq: int) -> RecordReceived | None:
        """A record that is not confirmed, from wherever it stands."""
        number = worker, incarnation, seq
        found = self.unconfirmed.pop(number, None)
        archive = self._archive
        if found is not None or archive is None or not archive.runs or number in self._gone:
            return found
        ranges = self.confirmed.get((worker, incarnation))
        value = self._sure(lambda: archive.find(encode_key("u", *number)), None)
        if not value or (ranges is not None and seq in ranges):
            return None
        entry = decode_entry(value)
        assert isinstance(entry, RecordReceived)
        self._gone.add(number)
        return entry

    def _sure(self, look: Callable[[], T], otherwise: T) -> T:
        """What the archive says. Where it can't be read the log's records still count, and sums are in
        doubt."""
        try:
            return look()
        except (RunDamagedError, OSError):
            self.in_doubt = True
            return otherwise

    def count(self, entry: RecordReceived, sign: int) -> None:
        """Add a record's shares, or with a negative sign take them back."""
        usage = entry.usage
        bucket = int(entry.ended_unix_s // BUCKET_S) * BUCKET_S
        life = incarnation_key(usage.worker, usage.incarnation)
        for share in allocate(usage):
            call = share.call
            key = call.tenant, usage.function, call.request_class, usage.worker, bucket
            self.totals[key][_PLACE[share.phase]] += sign * share.amount
            if call.request_id:
                self.charges.add((life, call.request_id), sign * share.amount)
                if self.windows is not None:
                    self.windows.add(
                        call.tenant, entry.ended_steady_s or entry.ended_unix_s, sign * share.amount
                    )
        for place, amount in enumerate(total_occupancy(usage)):
            self.occupied[usage.worker][place] += sign * amount

    def _estimate(self, entry: IncarnationEnded) -> None:
        for charge, amount in self.charges.estimate(entry):
            if self.windows is not None:
                self.windows.add(charge.call.tenant, charge.lost_steady_s or charge.lost_unix_s, amount)

    def _spilled(self, entry: MovedToArchive) -> None:
        with self._view:
            self.totals.clear()
            self.occupied.clear()
            self._gone.clear()
            self.charges.moved()
            for incarnation in entry.incarnations:
                self.confirmed.pop(incarnation, None)
            for worker, incarnation_, low, high in entry.unconfirmed:
                for seq in range(low, high + 1):
                    self.unconfirmed.pop((worker, incarnation_, seq), None)
            if self._archive is not None:
                self._archive.take((*self._archive.runs, entry.run))
            if self.windows is not None:
                self.windows.moved()

    def _compacted(self, entry: RunsMerged) -> None:
        if self._archive is None:
            return
        with self._view:
            runs = list(self._archive.runs)
            place = runs.index(entry.runs[0])
            runs[place : place + len(entry.runs)] = [entry.merged_run]
            self._archive.take(tuple(runs))

    def _restore(self, entry: AnyLedgerEntry) -> None:
        if isinstance(entry, LedgerStarted):
            self._clear(entry.gateway)
        elif isinstance(entry, ArchiveRuns):
            if self._archive is not None:
                self._archive.take(entry.runs)
            if self.windows is not None:
                self.windows.know_moved()
        elif isinstance(entry, UsageTotal):
            key = entry.tenant, entry.function, entry.request_class, entry.worker, entry.hour_start_s
            amounts = (entry.loading, entry.running, entry.idle, entry.estimated)
            self.totals[key] = [int(amount) for amount in amounts]
        elif isinstance(entry, (CallCharge, EstimatedCharge, RetainedCallCharge)):
            self.charges.restore(entry)
        elif isinstance(entry, OccupancyTotal):
            self.occupied[entry.worker] = [int(entry.loading), int(entry.running), int(entry.idle)]
        elif isinstance(entry, ConfirmedInterval):
            held = self.confirmed.setdefault((entry.worker, entry.incarnation), IntervalSet())
            held.add(entry.low, entry.high)
        elif isinstance(entry, ArchivedRecordRelinquished):
            self._gone.add((entry.worker, entry.incarnation, entry.sequence_number))
        elif isinstance(entry, BudgetWindowPart) and self.windows is not None:
            self.windows.restore(entry.tenant, entry.window_s, entry.start_s, int(entry.amount))


def find_imbalances(
    sums: Iterator[tuple[Key, list[int]]], holdings: Iterator[tuple[str, list[int]]]
) -> list[str]:
    """Workers whose shares do not sum up to what their copies held; a line each."""
    shares: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    held: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
    for (_, _, _, worker, _), amounts in sums:
        for place in range(3):
            shares[worker][place] += amounts[place]
    for worker, amounts in holdings:
        for place in range(3):
            held[worker][place] += amounts[place]
    return [
        f"{worker}: shares {shares[worker]}, held {held[worker]}"
        for worker in sorted(set(shares) | set(held))
        if shares[worker] != held[worker]
    ]
