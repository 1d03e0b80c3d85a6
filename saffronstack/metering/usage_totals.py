"""Totals of usage by key and hour, and of workers' occupancy. Only the archive performs I/O."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from contextlib import AbstractContextManager
from typing import NamedTuple

from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import decode_amounts, decode_key, encode_key_prefix
from saffronstack.metering.cost_allocation import Allocation, Phase, total_occupancy
from saffronstack.metering.worker_messages import UsageRecord

HOUR_S = 3600
PHASE_COLUMNS = {Phase.LOAD: 0, Phase.RUN: 1, Phase.IDLE: 2}
TOTAL_KEY_LENGTH = 6  # parts of an archive key, including its kind
OCCUPANCY_KEY_LENGTH = 2
Amounts = list[int]  # loading, running, idle and, in totals, estimated; in KiB microseconds


class TotalKey(NamedTuple):
    """Attributes by which usage is summed."""

    tenant: str
    function: str
    request_class: str
    worker: str
    hour_start_s: int


class UsageTotals:
    """Totals in memory and in the archive. The account owns them; other threads read copies."""

    def __init__(self, archive: Archive | None, transfer_lock: AbstractContextManager[object]) -> None:
        """Create empty totals.

        Args:
            archive: Stores totals that exceed the memory limits.
            transfer_lock: Is held while totals move from memory to a run.
        """
        self._archive = archive
        self._transfer_lock = transfer_lock
        self.by_key: dict[TotalKey, Amounts] = defaultdict(lambda: [0, 0, 0, 0])
        self.occupancy_by_worker: dict[str, Amounts] = defaultdict(lambda: [0, 0, 0])

    def add_allocation(
        self, usage: UsageRecord, hour_start_s: int, allocation: Allocation, sign: int
    ) -> None:
        """Add an allocation of a record to the totals; a negative sign subtracts it."""
        call = allocation.call
        key = TotalKey(call.tenant, usage.function, call.request_class, usage.worker, hour_start_s)
        self.by_key[key][PHASE_COLUMNS[allocation.phase]] += sign * allocation.amount

    def add_occupancy(self, usage: UsageRecord, sign: int) -> None:
        """Add what the instances of a record occupied; a negative sign subtracts it."""
        for column, amount in enumerate(total_occupancy(usage)):
            self.occupancy_by_worker[usage.worker][column] += sign * amount

    def clear(self) -> None:
        """Forget the totals in memory, which were moved to a run."""
        self.by_key.clear()
        self.occupancy_by_worker.clear()

    def read_totals(self, tenant: str | None = None) -> Iterator[tuple[TotalKey, Amounts]]:
        """Yield totals of one tenant or of all from memory and archive; a key may occur twice."""
        with self._transfer_lock:
            runs = self._archive.runs if self._archive is not None else ()
            in_memory = [
                (key, list(amounts))
                for key, amounts in list(self.by_key.items())
                if tenant is None or key.tenant == tenant
            ]
        yield from in_memory
        if self._archive is not None and runs:
            names = () if tenant is None else (tenant,)
            prefix = encode_key_prefix(TOTAL_KEY_LENGTH, "t", *names)
            for key, value in self._archive.items_with_prefix(prefix, runs):
                yield _decode_total_key(key), decode_amounts(value)

    def read_occupancy(self) -> Iterator[tuple[str, Amounts]]:
        """Yield what workers' instances occupied, from memory and archive; a worker may occur twice."""
        with self._transfer_lock:
            runs = self._archive.runs if self._archive is not None else ()
            in_memory = [
                (worker, list(amounts)) for worker, amounts in list(self.occupancy_by_worker.items())
            ]
        yield from in_memory
        if self._archive is not None and runs:
            prefix = encode_key_prefix(OCCUPANCY_KEY_LENGTH, "o")
            for key, value in self._archive.items_with_prefix(prefix, runs):
                yield str(decode_key(key)[1]), decode_amounts(value)


def _decode_total_key(key: bytes) -> TotalKey:
    _, *names, hour_start_s = decode_key(key)
    tenant, function, request_class, worker = map(str, names)
    return TotalKey(tenant, function, request_class, worker, int(hour_start_s))


def find_imbalances(
    totals: Iterable[tuple[TotalKey, Amounts]], occupancies: Iterable[tuple[str, Amounts]]
) -> list[str]:
    """Return one line for each worker whose allocations differ from what its instances occupied."""
    allocated: dict[str, Amounts] = defaultdict(lambda: [0, 0, 0])
    occupied: dict[str, Amounts] = defaultdict(lambda: [0, 0, 0])
    for key, amounts in totals:
        for column in PHASE_COLUMNS.values():
            allocated[key.worker][column] += amounts[column]
    for worker, amounts in occupancies:
        for column in PHASE_COLUMNS.values():
            occupied[worker][column] += amounts[column]
    return [
        f"{worker}: shares {allocated[worker]}, held {occupied[worker]}"
        for worker in sorted(set(allocated) | set(occupied))
        if allocated[worker] != occupied[worker]
    ]
