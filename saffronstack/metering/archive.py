"""What of an account left memory: sorted runs beside the usage log, questions to them, and their merging.

Keys are MessagePack arrays that begin with a letter: ``t`` sums by tenant, function, class, worker and hour
(they add up over runs), ``o`` what a worker's copies held (adds up), ``w`` a part of a tenant's budget window
(adds up), ``k`` what records charge a call of a dead worker (adds up), ``e`` a final estimate (the newest
holds), ``h`` confirmed numbers of an incarnation, by their lowest (the newest holds), ``u`` a record that no
worker has confirmed (the newest holds; empty: it was given to another gateway after all)."""

from __future__ import annotations

import contextlib
import pathlib
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator, Sequence
from typing import TypeVar

import msgspec
import structlog

from saffronstack.durable.runs import Item, Run, RunDamagedError, merged, run_name, run_numbers, write_run
from saffronstack.durable.segments import Files
from saffronstack.metering.ledger_entries import StoredAmount, to_stored_amount

MERGE_FROM = 8  # runs
INCARNATIONS_KEPT = 4096  # of which it is remembered whether anything of theirs is archived
OPEN_KEPT = 64  # indexes of runs
TRIES = 5
log = structlog.get_logger("saffronstack.metering")
_encode = msgspec.msgpack.Encoder().encode
_amounts = msgspec.msgpack.Decoder(tuple[StoredAmount, ...]).decode
_key = msgspec.msgpack.Decoder(list[str | int | float]).decode
T = TypeVar("T")


def encode_key(kind: str, *parts: str | int | float) -> bytes:
    """A run's key."""
    return _encode((kind, *parts))


def encode_key_prefix(length: int, kind: str, *parts: str | int | float) -> bytes:
    """What all keys of ``length`` parts (the letter included) that begin with these parts begin with."""
    return bytes([0x90 | length]) + b"".join(_encode(part) for part in (kind, *parts))


def decode_key(key: bytes) -> list[str | int | float]:
    """What a key was made of, the letter first."""
    return _key(key)


def decode_amounts(value: bytes) -> list[int]:
    """The amounts in a value."""
    return [int(amount) for amount in _amounts(value)]


def encode_amounts(amounts: Iterable[int]) -> bytes:
    """A value of amounts."""
    return _encode(tuple(to_stored_amount(amount) for amount in amounts))


def combine_values(key: bytes, values: list[bytes]) -> bytes:
    """One value in place of several runs', oldest first."""
    if len(values) == 1 or key[2:3] in (b"h", b"u", b"e"):
        return values[-1]
    return encode_amounts(map(sum, zip(*map(decode_amounts, values), strict=True)))


class Archive:
    """The runs of one usage log. ``runs`` says which belong to it, oldest first; used from any thread."""

    def __init__(self, directory: pathlib.Path, files: Files | None = None) -> None:
        self.directory = directory / "runs"
        self.runs: tuple[int, ...] = ()
        self._files = files or Files()
        self._lock = threading.Lock()
        self._open: OrderedDict[int, Run] = OrderedDict()
        self._next = 0
        self._highest: OrderedDict[tuple[str, str], int] = OrderedDict()

    # ---- writing: the journal's owner alone

    def write(self, items: Iterable[Item]) -> int:
        """A new run, which belongs to the archive once the log says so; its number."""
        self.directory.mkdir(parents=True, exist_ok=True)
        with self._lock:
            self._next = max([self._next, *self.runs, *run_numbers(self.directory)]) + 1
            number = self._next
        write_run(self.directory / run_name(number), items, self._files)
        return number

    def take(self, runs: tuple[int, ...]) -> None:
        """The runs that belong to it from now on."""
        with self._lock:
            self.runs = runs
            self._highest.clear()

    def clean(self) -> None:
        """Remove files that do not belong to it: a kill came between their writing and the log's word."""
        if not self.directory.is_dir():
            return
        for partial in self.directory.glob("*.tmp"):
            with contextlib.suppress(OSError):
                partial.unlink()
        self.drop(number for number in run_numbers(self.directory) if number not in self.runs)

    def drop(self, numbers: Iterable[int]) -> None:
        """Remove runs that another one stands for."""
        for number in numbers:
            with self._lock:
                self._open.pop(number, None)
            with contextlib.suppress(OSError):
                (self.directory / run_name(number)).unlink()

    def mergeable(self) -> tuple[int, ...]:
        """Runs that one should stand for: the newest ones, as far back as each is no larger than all after
        it, so that each amount is written anew only as often as the archive doubles."""
        runs = self.runs
        if len(runs) < MERGE_FROM:
            return ()
        try:
            sizes = [(self.directory / run_name(number)).stat().st_size for number in runs]
        except OSError:
            return ()
        for place in range(len(runs) - 1):
            if sizes[place] <= sum(sizes[place + 1 :]):
                return runs[place:]
        return runs[-2:]

    def merge(self, numbers: Sequence[int], keep: Callable[[bytes, bytes], bool]) -> int:
        """One run that adds up to some neighbours; its number. ``keep`` says what is still wanted, where the
        oldest run is among them."""
        whole = numbers[0] == self.runs[0]
        items = merged([self._run(number).items() for number in numbers], combine_values)
        return self.write(item for item in items if not whole or keep(*item))

    # ---- questions. RunDamagedError, or FileNotFoundError where a run is gone and the log must be read anew

    def problems(self) -> list[str]:
        """What can't be read, a line each."""
        lines = []
        for number in self.runs:
            try:
                for _ in self._run(number).items():
                    pass
            except RunDamagedError as error:
                lines.append(str(error))
            except OSError as error:
                lines.append(f"{self.directory / run_name(number)}: {error.strerror}")
        return lines

    def unopened(self) -> list[str]:
        """Runs that are missing or cut, a line each; reads their indexes alone."""
        lines = []
        for number in self.runs:
            try:
                self._run(number)
            except RunDamagedError as error:
                lines.append(str(error))
            except OSError as error:
                lines.append(f"{self.directory / run_name(number)}: {error.strerror}")
        return lines

    def under(self, prefix: bytes, runs: tuple[int, ...] | None = None) -> Iterator[Item]:
        """Keys that begin so, over all runs."""
        chosen = self.runs if runs is None else runs
        return merged([self._run(number).under(prefix) for number in chosen], combine_values)

    def find(self, key: bytes) -> bytes | None:
        """A key's value over all runs."""

        def look() -> bytes | None:
            return next((value for found, value in self.under(key) if found == key), None)

        return self._steady(look)

    def knows(self, worker: str, incarnation: str, seq: int) -> bool:
        """Whether a record stands in a run, as itself or among confirmed numbers."""
        if not self.runs or seq > self._last(worker, incarnation):
            return False
        value = self.find(encode_key("u", worker, incarnation, seq))
        if value is not None:
            return value != b""
        prefix = encode_key_prefix(4, "h", worker, incarnation)

        def look() -> bool:
            for key, high in self.under(prefix):
                low = decode_key(key)[3]
                if int(low) <= seq <= decode_amounts(high)[0]:
                    return True
            return False

        return self._steady(look)

    def window(self, tenant: str) -> Iterator[tuple[float, int]]:
        """The parts of a tenant's budget window that left memory."""

        def look() -> list[tuple[float, int]]:
            return [
                (float(decode_key(key)[2]), decode_amounts(value)[0])
                for key, value in self.under(encode_key_prefix(3, "w", tenant))
            ]

        return iter(self._steady(look)) if self.runs else iter(())

    def _last(self, worker: str, incarnation: str) -> int:
        """An incarnation's highest number that is archived: what reports now nearly always stands above
        it."""
        number = worker, incarnation
        known = self._highest.get(number)
        if known is None:

            def look() -> int:
                highs = [
                    decode_amounts(v)[0]
                    for _, v in self.under(encode_key_prefix(4, "h", worker, incarnation))
                ]
                records = [
                    decode_key(k)[3] for k, _ in self.under(encode_key_prefix(4, "u", worker, incarnation))
                ]
                return max([0, *highs, *map(int, records)])

            known = self._steady(look)
            with self._lock:
                self._highest[number] = known
                if len(self._highest) > INCARNATIONS_KEPT:
                    self._highest.popitem(last=False)
        return known

    def _steady(self, look: Callable[[], T]) -> T:
        """Look again where a run was merged away meanwhile."""
        for _ in range(TRIES):
            try:
                return look()
            except FileNotFoundError as error:
                gone = error
        raise RunDamagedError(f"{gone.filename}: missing")

    def _run(self, number: int) -> Run:
        with self._lock:
            run = self._open.get(number)
        if run is None:
            run = Run.open(self.directory / run_name(number))
            with self._lock:
                self._open[number] = run
                if len(self._open) > OPEN_KEPT:
                    self._open.popitem(last=False)
        return run
