"""Entries of the usage log, the journal that the account is rebuilt from.

Entries are MessagePack arrays that begin with a one-letter tag: the order of the fields and the tags are the
stored format; the names are not. Memory is in KiB, amounts are in KiB microseconds (integers), times are in
Unix seconds.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from saffronstack.metering.worker_messages import CallReference, UsageRecord

StoredAmount = int | str  # MessagePack integers end at 64 bits; sums over a worker's incarnation do not


def to_stored_amount(amount: int) -> StoredAmount:
    """Return an integer of any size in the form that an entry can hold; ``int`` converts it back."""
    return amount if -(1 << 63) <= amount < 1 << 63 else str(amount)


class RecordId(NamedTuple):
    """Identifies a usage record."""

    worker: str
    incarnation: str
    sequence_number: int


class RecordInterval(NamedTuple):
    """Consecutive usage records of one incarnation; both ends are included."""

    worker: str
    incarnation: str
    low: int
    high: int


class LedgerEntry(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base of all entries of the usage log."""


def incarnation_key(worker: str, incarnation: str) -> str:
    """Return the key of one incarnation of a worker among charges.

    A call that is retried at a worker that has restarted is charged again there. Without an incarnation the
    key is the worker's name alone, as in older logs.
    """
    return f"{worker}\0{incarnation}" if incarnation else worker


def worker_of_incarnation(key: str) -> str:
    """Return the worker of an incarnation key."""
    return key.partition("\0")[0]


class RecordReceived(LedgerEntry, frozen=True, tag="r"):
    """A worker's usage record was accepted.

    Attributes:
        usage: The record.
        ended_unix_s: When its span ended, by the wall clock.
        ended_steady_s: The same in Unix seconds that no clock step moves, for budgets; 0 in older logs.
    """

    usage: UsageRecord
    ended_unix_s: float
    ended_steady_s: float = 0.0


class RecordConfirmed(LedgerEntry, frozen=True, tag="c"):
    """The worker confirmed that records belong to this gateway and will offer them to no other.

    They are the records from ``sequence_number`` to ``last``; one record where ``last`` is 0.
    """

    worker: str
    incarnation: str
    sequence_number: int
    last: int = 0


class RecordRelinquished(LedgerEntry, frozen=True, tag="g"):
    """Another gateway acknowledged a record first: it does not belong to this account."""

    worker: str
    incarnation: str
    sequence_number: int


class ProvisionalCharge(LedgerEntry, frozen=True, tag="p"):
    """A call whose response was lost is charged provisionally, from its sending to its loss.

    What records charge for it is deducted. The charge stands until the worker reports that the call has ended
    there, and so that all its records are on their way.

    Attributes:
        memory_kib: Memory of an instance, where the amount is that over a time; 0 for any other estimate.
        concurrency: How many calls share an instance.
    """

    worker: str
    incarnation: str
    call: CallReference
    function: str
    amount: StoredAmount
    lost_unix_s: float
    lost_steady_s: float = 0.0
    memory_kib: int = 0
    concurrency: int = 1


class ProvisionalChargeVoided(LedgerEntry, frozen=True, tag="x"):
    """A provisional charge is void: its worker reported that the call ended, so its records are complete."""

    incarnation_key: str  # a bare worker name in older logs
    request_id: str


class EstimatedCharge(LedgerEntry, frozen=True, tag="f"):
    """In a snapshot: a final charge for a call of a dead worker, before what records charge."""

    charge: ProvisionalCharge


class RetainedCallCharge(LedgerEntry, frozen=True, tag="q"):
    """In a snapshot: what records charge a call of a dead worker; others may have estimated it."""

    incarnation_key: str  # a bare worker name in older logs
    request_id: str
    amount: StoredAmount


class ArchivedRecordRelinquished(LedgerEntry, frozen=True, tag="y"):
    """In a snapshot: a record that is stored in a run belongs to another gateway after all."""

    worker: str
    incarnation: str
    sequence_number: int


class CallCharge(LedgerEntry, frozen=True, tag="k"):
    """In a snapshot: what the records of one incarnation charge a call."""

    incarnation_key: str  # a bare worker name in older logs
    request_id: str
    amount: StoredAmount


class IncarnationEnded(LedgerEntry, frozen=True, tag="e"):
    """A worker's incarnation has ended: its provisional charges become final, as estimates.

    With ``request_id`` only that call's charge does, because there are too many.
    """

    worker: str
    incarnation: str
    request_id: str = ""


class UsageTotal(LedgerEntry, frozen=True, tag="t"):
    """In a snapshot: what calls of one key used in one hour."""

    tenant: str
    function: str
    request_class: str
    worker: str
    hour_start_s: int
    loading: StoredAmount
    running: StoredAmount
    idle: StoredAmount
    estimated: StoredAmount


class ConfirmedInterval(LedgerEntry, frozen=True, tag="h"):
    """In a snapshot: an interval of confirmed sequence numbers of an incarnation."""

    worker: str
    incarnation: str
    low: int
    high: int


class OccupancyTotal(LedgerEntry, frozen=True, tag="o"):
    """In a snapshot: what the instances of a worker occupied, summed without allocating it to calls."""

    worker: str
    loading: StoredAmount
    running: StoredAmount
    idle: StoredAmount


class BudgetWindowBucket(LedgerEntry, frozen=True, tag="w"):
    """In a snapshot: a part of a budget window; of all tenants with that window where none is named."""

    tenant: str
    window_s: float
    start_s: float
    amount: StoredAmount


class ArchiveRuns(LedgerEntry, frozen=True, tag="a"):
    """In a snapshot: the runs that belong to the account, oldest first."""

    runs: tuple[int, ...]


class MovedToArchive(LedgerEntry, frozen=True, tag="m"):
    """Totals, windows and what is named here moved from memory to a run.

    Attributes:
        run: Number of the run.
        incarnations: Those whose confirmed sequence numbers moved, as worker and incarnation.
        unconfirmed: Unconfirmed records that moved.
    """

    run: int
    incarnations: tuple[tuple[str, str], ...] = ()
    unconfirmed: tuple[RecordInterval, ...] = ()


class RunsMerged(LedgerEntry, frozen=True, tag="n"):
    """One run replaces several consecutive runs."""

    runs: tuple[int, ...]
    merged_run: int


class LedgerStarted(LedgerEntry, frozen=True, tag="s"):
    """All entries before this one are void; names the gateway that owns the log."""

    gateway: str


AnyLedgerEntry = (
    RecordReceived
    | RecordConfirmed
    | RecordRelinquished
    | ArchivedRecordRelinquished
    | EstimatedCharge
    | RetainedCallCharge
    | ProvisionalCharge
    | ProvisionalChargeVoided
    | IncarnationEnded
    | CallCharge
    | UsageTotal
    | ConfirmedInterval
    | OccupancyTotal
    | BudgetWindowBucket
    | ArchiveRuns
    | MovedToArchive
    | RunsMerged
    | LedgerStarted
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyLedgerEntry).decode


def encode_entry(entry: AnyLedgerEntry) -> bytes:
    """Return an entry as MessagePack."""
    return _encode(entry)


def decode_entry(data: bytes) -> AnyLedgerEntry:
    """Return the entry that bytes stand for.

    Raises:
        ValueError: If the bytes are no entry.
    """
    return _decode(data)
