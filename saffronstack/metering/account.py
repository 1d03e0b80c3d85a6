"""The account: what the log's records add up to. Each record counts once, however often it comes.

Free of I/O but for its archive, which takes what is too much for memory (``archive.py``) and is asked for
it.
"""

from __future__ import annotations

import threading
from collections import OrderedDict, defaultdict
from collections.abc import Callable, Iterator, Mapping
from dataclasses import dataclass
from itertools import islice
from typing import TypeVar

from saffronstack.durable.errors import RunDamagedError
from saffronstack.durable.sorted_runs import KeyValue
from saffronstack.metering.archive import Archive, amounts_of, key_of, parts_of, prefix_of, value_of
from saffronstack.metering.charges import CallCharges
from saffronstack.metering.ranges import Ranges, spans_of
from saffronstack.metering.records import (
    AnyEntry,
    Archived,
    Charged,
    Compacted,
    Confirmed,
    Estimate,
    Estimated,
    Given,
    Gone,
    Held,
    Occupied,
    Pinned,
    Provisional,
    Received,
    Replaced,
    Spent,
    Spilled,
    Start,
    Total,
    decode,
    encode,
    life_of,
    wire,
)
from saffronstack.metering.split import Phase, occupied, split
from saffronstack.metering.windows import Windows

BUCKET_S = 3600
_PLACE = {Phase.LOAD: 0, Phase.RUN: 1, Phase.IDLE: 2}
Key = tuple[str, str, str, str, int]  # tenant, function, class, worker, bucket
RecordKey = tuple[str, str, int]  # worker, incarnation, number
T = TypeVar("T")


@dataclass(frozen=True, slots=True)
class Bounds:
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
        bounds: Bounds | None = None,
    ) -> None:
        """``budget_windows``: each tenant's window in seconds, where it has a budget."""
        self._archive = archive
        self.windows: Windows | None = None
        if budget_windows:
            self.windows = Windows(budget_windows, archive.window if archive is not None else None)
        self._bounds = bounds or Bounds()
        self._view = threading.Lock()  # held while sums move to a run, and while someone looks at both
        self.in_doubt = False
        self._clear(gateway)

    def _clear(self, gateway: str) -> None:
        self.gateway = gateway
        self.totals: dict[Key, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
        self.occupied: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0])
        self.confirmed: OrderedDict[tuple[str, str], Ranges] = OrderedDict()
        self.unconfirmed: dict[RecordKey, Received] = {}
        self.charges = CallCharges(self._archive, self._view)
        self._gone: set[RecordKey] = set()  # that a run still holds, and another gateway was given
        if self.windows is not None:
            self.windows.clear()
        if self._archive is not None:
            self._archive.take(())

    # ---- the journal's side

    def apply(self, entry: AnyEntry) -> None:
        """One record more."""
        if isinstance(entry, Received):
            self._received(entry)
        elif isinstance(entry, Confirmed):
            self._confirm(entry)
        elif isinstance(entry, Given):
            given = self._take_out(entry.worker, entry.incarnation, entry.seq)
            if given is not None:
                self.count(given, -1)
        elif isinstance(entry, Provisional):
            self.charges.expect(entry)
        elif isinstance(entry, Replaced):
            self.charges.replace(entry.worker, entry.call_id)
        elif isinstance(entry, Estimated):
            self._estimate(entry)
        elif isinstance(entry, Spilled):
            self._spilled(entry)
        elif isinstance(entry, Compacted):
            self._compacted(entry)
        else:
            self._restore(entry)

    def snapshot(self) -> Iterator[AnyEntry]:
        """Records that add up to this state. Unconfirmed ones stand as themselves, so they leave the sums."""
        rest = Account()
        for received in self.unconfirmed.values():
            rest.count(received, 1)
        yield Start(self.gateway)
        if self._archive is not None and self._archive.runs:
            yield Archived(self._archive.runs)
        for key, amounts in self.totals.items():
            taken = rest.totals.get(key, [0, 0, 0, 0])
            left = [a - b for a, b in zip(amounts, taken, strict=True)]
            if any(left):
                yield Total(*key, *map(wire, left))
        for key, taken in rest.totals.items():
            if key not in self.totals and any(taken):
                yield Total(*key, *(wire(-amount) for amount in taken))  # its sum stands in a run
        for worker in {**self.occupied, **rest.occupied}:
            held, taken = self.occupied.get(worker, [0, 0, 0]), rest.occupied.get(worker, [0, 0, 0])
            left = [a - b for a, b in zip(held, taken, strict=True)]
            if any(left):
                yield Occupied(worker, *map(wire, left))
        for (worker, incarnation), ranges in self.confirmed.items():
            for low, high in ranges.spans:
                yield Held(worker, incarnation, low, high)
        yield from self.unconfirmed.values()
        yield from self.charges.snapshot(rest.charges)
        for number in self._gone:
            yield Gone(*number)
        if self.windows is not None:  # last: they void what the records before them added to windows
            yield Spent("", 0.0, 0.0, 0)
            for tenant, length, start, amount in self.windows.snapshot():
                yield Spent(tenant, length, start, wire(amount))

    def estimate_snapshot_bytes(self) -> int:
        """About how large a snapshot is."""
        parts = self.windows.parts if self.windows is not None else 0
        return 80 * len(self.totals) + 200 * (len(self.unconfirmed) + len(self.provisional)) + 40 * parts + 64

    def mark_records_lost(self) -> None:
        """Records of the log are lost: its sums may miss some."""
        self.in_doubt = True

    def spill(self) -> list[AnyEntry]:
        """Write what is too much for memory to a run; the records that move it there."""
        bounds = self._bounds
        beyond = max(0, len(self.provisional) - bounds.provisional)
        if beyond:  # alone: a run that is written now would lack what these add to sums
            return [
                Estimated(charge.worker, charge.incarnation, charge.call.id)
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
        spans = [(worker, *span) for worker, found in numbers.items() for span in spans_of(found)]
        return [Spilled(run, tuple(cold), tuple(spans))]

    def _items(self, cold: list[tuple[str, str]], late: list[RecordKey]) -> Iterator[KeyValue]:
        for key, amounts in self.totals.items():
            if any(amounts):
                yield key_of("t", *key), value_of(amounts)
        for worker, held in self.occupied.items():
            if any(held):
                yield key_of("o", worker), value_of(held)
        for incarnation in cold:
            for low, high in self.confirmed[incarnation].spans:
                yield key_of("h", *incarnation, low), value_of((high,))
        for number in late:
            yield key_of("u", *number), encode(self.unconfirmed[number])
        for number in self._gone:
            yield key_of("u", *number), b""
        yield from self.charges.items()
        if self.windows is not None:
            sums: dict[tuple[str, float], int] = defaultdict(int)
            for tenant, start, amount in self.windows.in_memory():
                sums[tenant, start] += amount
            for part, amount in sums.items():
                yield key_of("w", *part), value_of((amount,))

    @property
    def provisional(self) -> dict[tuple[str, str], Provisional]:
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
        RunDamagedError.
        """
        assert self._archive is not None
        windows = self.windows

        def keep(key: bytes, value: bytes) -> bool:
            kind = key[2:3]
            if kind == b"u":
                return bool(value)
            if kind == b"w":
                tenant, start = parts_of(key)[1:]
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
            prefix = prefix_of(6, "t") if tenant is None else prefix_of(6, "t", tenant)
            for raw, value in self._archive.under(prefix, runs):
                _, *names, bucket = parts_of(raw)
                found, function, call_class, worker = map(str, names)
                yield (found, function, call_class, worker, int(bucket)), amounts_of(value)

    def holdings(self) -> Iterator[tuple[str, list[int]]]:
        """What workers' copies held, from memory and from the archive; a worker may come twice."""
        with self._view:
            runs = self._archive.runs if self._archive is not None else ()
            kept = [(worker, list(held)) for worker, held in list(self.occupied.items())]
        yield from kept
        if self._archive is not None and runs:
            for raw, value in self._archive.under(prefix_of(2, "o"), runs):
                yield str(parts_of(raw)[1]), amounts_of(value)

    def numbers(self) -> Iterator[tuple[tuple[str, str], tuple[int, int]]]:
        """Confirmed numbers as spans, from memory and from the archive."""
        for incarnation, ranges in list(self.confirmed.items()):
            for span in list(ranges.spans):
                yield incarnation, span
        if self._archive is not None and self._archive.runs:
            for raw, value in self._archive.under(prefix_of(4, "h")):
                _, worker, incarnation_, low = parts_of(raw)
                yield (str(worker), str(incarnation_)), (int(low), amounts_of(value)[0])

    def open_records(self) -> Iterator[tuple[RecordKey, Received]]:
        """Records that no worker has confirmed, from memory and from the archive; one of the archive's may be
        among the confirmed numbers by now.
        """
        yield from list(self.unconfirmed.items())
        if self._archive is not None and self._archive.runs:
            for raw, value in self._archive.under(prefix_of(4, "u")):
                if value:
                    _, worker, incarnation, seq = parts_of(raw)
                    number = str(worker), str(incarnation), int(seq)
                    entry = decode(value)
                    assert isinstance(entry, Received)
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
        return unbalanced(self.sums(), self.holdings())

    # ---- inside

    def _received(self, entry: Received) -> None:
        usage = entry.usage
        number = usage.worker, usage.incarnation, usage.seq
        if self._sure(lambda: self.knows(*number), False):  # it was not known when it was taken
            return
        self.unconfirmed[number] = entry
        self.count(entry, 1)

    def _confirm(self, entry: Confirmed) -> None:
        """Records that are counted become numbers; one that is not counted here stays unknown."""
        low, last = entry.seq, max(entry.seq, entry.last)
        incarnation = entry.worker, entry.incarnation
        spans = []
        for seq in range(entry.seq, last + 1):
            number = *incarnation, seq
            if self.unconfirmed.pop(number, None) is None and not self._archived(number):
                spans.append((low, seq - 1))
                low = seq + 1
        for first, final in [*spans, (low, last)]:
            if first <= final:
                self.confirmed.setdefault(incarnation, Ranges()).add(first, final)
        if incarnation in self.confirmed:
            self.confirmed.move_to_end(incarnation)

    def _archived(self, number: RecordKey) -> bool:
        archive = self._archive
        return archive is not None and self._sure(lambda: archive.knows(*number), True)

    def _take_out(self, worker: str, incarnation: str, seq: int) -> Received | None:
        """A record that is not confirmed, from wherever it stands."""
        number = worker, incarnation, seq
        found = self.unconfirmed.pop(number, None)
        archive = self._archive
        if found is not None or archive is None or not archive.runs or number in self._gone:
            return found
        ranges = self.confirmed.get((worker, incarnation))
        value = self._sure(lambda: archive.find(key_of("u", *number)), None)
        if not value or (ranges is not None and seq in ranges):
            return None
        entry = decode(value)
        assert isinstance(entry, Received)
        self._gone.add(number)
        return entry

    def _sure(self, look: Callable[[], T], otherwise: T) -> T:
        """What the archive says. Where it can't be read the log's records still count, and sums are in
        doubt.
        """
        try:
            return look()
        except (RunDamagedError, OSError):
            self.in_doubt = True
            return otherwise

    def count(self, entry: Received, sign: int) -> None:
        """Add a record's shares, or with a negative sign take them back."""
        usage = entry.usage
        bucket = int(entry.at // BUCKET_S) * BUCKET_S
        life = life_of(usage.worker, usage.incarnation)
        for share in split(usage):
            call = share.call
            key = call.tenant, usage.function, call.call_class, usage.worker, bucket
            self.totals[key][_PLACE[share.phase]] += sign * share.amount
            if call.id:
                self.charges.add((life, call.id), sign * share.amount)
                if self.windows is not None:
                    self.windows.add(call.tenant, entry.steady or entry.at, sign * share.amount)
        for place, amount in enumerate(occupied(usage)):
            self.occupied[usage.worker][place] += sign * amount

    def _estimate(self, entry: Estimated) -> None:
        for charge, amount in self.charges.estimate(entry):
            if self.windows is not None:
                self.windows.add(charge.call.tenant, charge.steady or charge.at, amount)

    def _spilled(self, entry: Spilled) -> None:
        with self._view:
            self.totals.clear()
            self.occupied.clear()
            self._gone.clear()
            self.charges.moved()
            for incarnation in entry.held:
                self.confirmed.pop(incarnation, None)
            for worker, incarnation_, low, high in entry.unconfirmed:
                for seq in range(low, high + 1):
                    self.unconfirmed.pop((worker, incarnation_, seq), None)
            if self._archive is not None:
                self._archive.take((*self._archive.runs, entry.run))
            if self.windows is not None:
                self.windows.moved()

    def _compacted(self, entry: Compacted) -> None:
        if self._archive is None:
            return
        with self._view:
            runs = list(self._archive.runs)
            place = runs.index(entry.runs[0])
            runs[place : place + len(entry.runs)] = [entry.into]
            self._archive.take(tuple(runs))

    def _restore(self, entry: AnyEntry) -> None:
        if isinstance(entry, Start):
            self._clear(entry.gateway)
        elif isinstance(entry, Archived):
            if self._archive is not None:
                self._archive.take(entry.runs)
            if self.windows is not None:
                self.windows.know_moved()
        elif isinstance(entry, Total):
            key = entry.tenant, entry.function, entry.call_class, entry.worker, entry.bucket
            amounts = (entry.load, entry.run, entry.idle, entry.estimated)
            self.totals[key] = [int(amount) for amount in amounts]
        elif isinstance(entry, (Charged, Estimate, Pinned)):
            self.charges.restore(entry)
        elif isinstance(entry, Occupied):
            self.occupied[entry.worker] = [int(entry.load), int(entry.run), int(entry.idle)]
        elif isinstance(entry, Held):
            held = self.confirmed.setdefault((entry.worker, entry.incarnation), Ranges())
            held.add(entry.low, entry.high)
        elif isinstance(entry, Gone):
            self._gone.add((entry.worker, entry.incarnation, entry.seq))
        elif isinstance(entry, Spent) and self.windows is not None:
            self.windows.restore(entry.tenant, entry.window_s, entry.start, int(entry.amount))


def unbalanced(sums: Iterator[tuple[Key, list[int]]], holdings: Iterator[tuple[str, list[int]]]) -> list[str]:
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
