"""The archive of an account: writes, queries and merges sorted runs beside the usage log."""

from __future__ import annotations

import contextlib
import pathlib
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

from saffronstack.durable.errors import RunDamagedError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.sorted_runs import (
    KeyValue,
    SortedRun,
    list_run_numbers,
    merge_sorted,
    run_name,
    write_run,
)
from saffronstack.metering.archive_keys import (
    combine_values,
    decode_amounts,
    decode_key,
    encode_key,
    encode_key_prefix,
)

MIN_RUNS_TO_MERGE = 8
MAX_CACHED_INCARNATIONS = 4096  # whose highest archived sequence number is cached
MAX_OPEN_RUNS = 64  # their indexes stay in memory
MAX_QUERY_ATTEMPTS = 5
RECORD_KEY_LENGTH = 4  # parts of an archive key, including its kind
WINDOW_KEY_LENGTH = 3
T = TypeVar("T")


class Archive:
    """Stores the runs of one usage log. Any thread may use it.

    Queries raise RunDamagedError if a run cannot be read. They raise FileNotFoundError if a run was removed,
    for example after a merge; the usage log must then be read again.

    Attributes:
        directory: Where the runs are stored.
        runs: Numbers of the runs that belong to the archive, oldest first.
    """

    def __init__(self, directory: pathlib.Path, files: FileOperations | None = None) -> None:
        self.directory = directory / "runs"
        self.runs: tuple[int, ...] = ()
        self._files = files or FileOperations()
        self._lock = threading.Lock()  # guards the attributes below and changes of ``runs``
        self._open_runs: OrderedDict[int, SortedRun] = OrderedDict()
        self._named_runs: set[int] = set()  # by any entry of the log, which a replay reads again
        self._last_number = 0
        self._highest: OrderedDict[tuple[str, str], int] = OrderedDict()  # by worker and incarnation

    # ---- changes, made only by the process that owns the journal

    def write_run(self, items: Iterable[KeyValue]) -> int:
        """Write a run and return its number. It belongs to the archive once the log names it."""
        self.directory.mkdir(parents=True, exist_ok=True)
        with self._lock:
            self._last_number = max([self._last_number, *self.runs, *list_run_numbers(self.directory)]) + 1
            number = self._last_number
        write_run(self._path_of(number), items, self._files)
        return number

    def set_runs(self, runs: tuple[int, ...]) -> None:
        """Set the runs that belong to the archive from now on."""
        with self._lock:
            self.runs = runs
            self._named_runs.update(runs)
            self._highest.clear()

    def reset(self) -> None:
        """Forget all runs: the log begins anew."""
        with self._lock:
            self._named_runs.clear()
        self.set_runs(())

    def remove_orphans(self) -> None:
        """Delete files that the log does not name: the process was killed while it wrote or removed them."""
        if not self.directory.is_dir():
            return
        for partial in self.directory.glob("*.tmp"):
            with contextlib.suppress(OSError):  # the next start tries again
                partial.unlink()
        present = list_run_numbers(self.directory)
        self._remove_runs(number for number in present if number not in self._named_runs)

    def remove_replaced_runs(self) -> None:
        """Delete the runs that merged runs replaced, once a snapshot has replaced the entries that name them.

        Entries before a merge are replayed with the runs that it merged.
        """
        with self._lock:
            replaced = self._named_runs.difference(self.runs)
            self._named_runs = set(self.runs)
        self._remove_runs(replaced)

    def _remove_runs(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            with self._lock:
                self._open_runs.pop(number, None)
            with contextlib.suppress(OSError):  # the next start removes it as an orphan
                self._path_of(number).unlink()

    def find_mergeable_runs(self) -> tuple[int, ...]:
        """Return the runs to merge into one; empty if there are too few runs.

        The newest runs are merged, beginning at the oldest run that is no larger than all newer ones
        together. So an amount is rewritten only as often as the archive doubles in size.
        """
        runs = self.runs
        if len(runs) < MIN_RUNS_TO_MERGE:
            return ()
        try:
            sizes = [self._path_of(number).stat().st_size for number in runs]
        except OSError:  # a run is missing: queries report the damage
            return ()
        for position in range(len(runs) - 1):
            if sizes[position] <= sum(sizes[position + 1 :]):
                return runs[position:]
        return runs[-2:]

    def merge_runs(self, numbers: Sequence[int], is_needed: Callable[[bytes, bytes], bool]) -> int:
        """Merge consecutive runs into a new run and return its number.

        Args:
            numbers: Numbers of the runs to merge, oldest first.
            is_needed: Returns whether an item is kept. It is called only if the oldest run of the archive
                is merged; otherwise an item may override one of an older run.
        """
        includes_oldest = numbers[0] == self.runs[0]
        items = merge_sorted([self._open(number).items() for number in numbers], combine_values)
        return self.write_run(item for item in items if not includes_oldest or is_needed(*item))

    # ---- queries

    def find_damage(self) -> list[str]:
        """Read all runs completely; return one line for each run that cannot be read."""
        return self._describe_faults(_read_all)

    def find_unopenable_runs(self) -> list[str]:
        """Read only the indexes of the runs; return one line for each run that is missing or truncated."""
        return self._describe_faults(lambda run: None)

    def items_with_prefix(self, prefix: bytes, runs: tuple[int, ...] | None = None) -> Iterator[KeyValue]:
        """Yield the items whose keys begin with a prefix, combined over all runs or the given ones."""
        chosen = self.runs if runs is None else runs
        return merge_sorted(
            [self._open(number).items_with_prefix(prefix) for number in chosen], combine_values
        )

    def find(self, key: bytes) -> bytes | None:
        """Return the value of a key, combined over all runs."""

        def query() -> bytes | None:
            return next((value for found, value in self.items_with_prefix(key) if found == key), None)

        return self._retry_if_merged(query)

    def has_record(self, worker: str, incarnation: str, sequence_number: int) -> bool:
        """Return whether a record is archived, unconfirmed or as a confirmed sequence number."""
        if not self.runs or sequence_number > self._highest_archived(worker, incarnation):
            return False
        value = self.find(encode_key("u", worker, incarnation, sequence_number))
        if value is not None:
            return value != b""
        prefix = encode_key_prefix(RECORD_KEY_LENGTH, "h", worker, incarnation)

        def query() -> bool:
            return any(
                int(decode_key(key)[3]) <= sequence_number <= decode_amounts(high)[0]
                for key, high in self.items_with_prefix(prefix)
            )

        return self._retry_if_merged(query)

    def read_window_buckets(self, tenant: str) -> Iterator[tuple[float, int]]:
        """Yield start and amount of the archived buckets of a tenant's budget window."""
        prefix = encode_key_prefix(WINDOW_KEY_LENGTH, "w", tenant)

        def query() -> list[tuple[float, int]]:
            return [
                (float(decode_key(key)[2]), decode_amounts(value)[0])
                for key, value in self.items_with_prefix(prefix)
            ]

        return iter(self._retry_if_merged(query)) if self.runs else iter(())

    # ---- helpers

    def _path_of(self, number: int) -> pathlib.Path:
        return self.directory / run_name(number)

    def _describe_faults(self, read: Callable[[SortedRun], None]) -> list[str]:
        lines = []
        for number in self.runs:
            try:
                read(self._open(number))
            except RunDamagedError as error:
                lines.append(str(error))
            except OSError as error:
                lines.append(f"{self._path_of(number)}: {error.strerror}")
        return lines

    def _highest_archived(self, worker: str, incarnation: str) -> int:
        """Return an incarnation's highest archived sequence number. Most new records exceed it."""
        highest = self._highest.get((worker, incarnation))
        if highest is None:
            highest = self._retry_if_merged(lambda: self._query_highest(worker, incarnation))
            with self._lock:
                self._highest[worker, incarnation] = highest
                if len(self._highest) > MAX_CACHED_INCARNATIONS:
                    self._highest.popitem(last=False)
        return highest

    def _query_highest(self, worker: str, incarnation: str) -> int:
        confirmed = self.items_with_prefix(encode_key_prefix(RECORD_KEY_LENGTH, "h", worker, incarnation))
        highs = [decode_amounts(value)[0] for _, value in confirmed]
        records = self.items_with_prefix(encode_key_prefix(RECORD_KEY_LENGTH, "u", worker, incarnation))
        return max([0, *highs, *(int(decode_key(key)[3]) for key, _ in records)])

    def _retry_if_merged(self, query: Callable[[], T]) -> T:
        """Run a query; repeat it if a merge removed one of its runs meanwhile."""
        for _ in range(MAX_QUERY_ATTEMPTS):
            try:
                return query()
            except FileNotFoundError as error:
                missing = error
        raise RunDamagedError(f"{missing.filename}: missing")

    def _open(self, number: int) -> SortedRun:
        with self._lock:
            run = self._open_runs.get(number)
        if run is None:
            run = SortedRun.open(self._path_of(number))
            with self._lock:
                self._open_runs[number] = run
                if len(self._open_runs) > MAX_OPEN_RUNS:
                    self._open_runs.popitem(last=False)
        return run


def _read_all(run: SortedRun) -> None:
    for _ in run.items():
        pass
