"""Entries of the usage log, the journal from which the account is restored.

Entries are MessagePack arrays that begin with a one-letter tag. Tags and the order of fields are the stored
format; field names are not stored. Memory is in KiB, amounts are integers in KiB microseconds, times are Unix
seconds.
"""

from __future__ import annotations

from typing import NamedTuple

import msgspec

from saffronstack.metering.worker_messages import CallReference, UsageRecord

StoredAmount = (
    int | str
)  # MessagePack integers have at most 64 bits; a sum over a worker's incarnation may need more


def to_stored_amount(amount: int) -> StoredAmount:
    """Return an integer of any size in the form that entries store; ``int`` converts it back."""
    return amount if -(1 << 63) <= amount < 1 << 63 else str(amount)


class RecordId(NamedTuple):
    """Identifies a usage record."""

    worker: str
    incarnation: str
    sequence_number: int


class RecordInterval(NamedTuple):
    """Consecutive usage records of one incarnation, including both ends."""

    worker: str
    incarnation: str
    low: int
    high: int


class LedgerEntry(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """Base of all entries of the usage log."""


def incarnation_key(worker: str, incarnation: str) -> str:
    """Return the key under which charges of one incarnation of a worker are stored.

    Incarnations are separate because a call that is retried at a restarted worker is charged again there.
    Without an incarnation, as in older logs, the key is the worker's name.
    """
    return f"{worker}\0{incarnation}" if incarnation else worker


def worker_of_incarnation(key: str) -> str:
    """Return the worker's name in an incarnation key."""
    return key.partition("\0")[0]


class RecordReceived(LedgerEntry, frozen=True, tag="r"):
    """The gateway accepted a worker's usage record.

    Attributes:
        usage: The record.
        ended_unix_s: End of the record's span by the wall clock.
        ended_steady_s: The same end in Unix seconds without clock steps, for budgets; 0 in older logs.
    """

    usage: UsageRecord
    ended_unix_s: float
    ended_steady_s: float = 0.0


class RecordConfirmed(LedgerEntry, frozen=True, tag="c"):
    """A worker confirmed that records belong to this gateway; it offers them to no other gateway.

    Attributes:
        sequence_number: The first confirmed record.
        last: The last confirmed record; 0 if there is only one.
    """

    worker: str
    incarnation: str
    sequence_number: int
    last: int = 0


class RecordRelinquished(LedgerEntry, frozen=True, tag="g"):
    """Another gateway acknowledged a record first, so it does not belong to this account."""

    worker: str
    incarnation: str
    sequence_number: int


class ProvisionalCharge(LedgerEntry, frozen=True, tag="p"):
    """A call whose response was lost is charged for the time from its sending to the loss.

    Recorded amounts of the call are deducted. The charge is valid until the worker reports that the call has
    ended there: then all its records have been created.

    Attributes:
        memory_kib: Memory of an instance if the amount is this memory times a duration; 0 otherwise.
        concurrency: Maximum number of calls that share an instance.
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
    """A provisional charge is void: the worker reported that the call ended, so its records are complete."""

    incarnation_key: str  # a bare worker name in older logs
    request_id: str


class EstimatedCharge(LedgerEntry, frozen=True, tag="f"):
    """In a snapshot: the estimated charge of a dead worker's call, before recorded amounts are deducted."""

    charge: ProvisionalCharge


class RetainedCallCharge(LedgerEntry, frozen=True, tag="q"):
    """In a snapshot: what records charge a dead worker's call, which other gateways may have estimated."""

    incarnation_key: str  # a bare worker name in older logs
    request_id: str
    amount: StoredAmount


class ArchivedRecordRelinquished(LedgerEntry, frozen=True, tag="y"):
    """In a snapshot: a record in a run belongs to another gateway and does not count."""

    worker: str
    incarnation: str
    sequence_number: int


class CallCharge(LedgerEntry, frozen=True, tag="k"):
    """In a snapshot: what the records of one incarnation charge a call."""

    incarnation_key: str  # a bare worker name in older logs
    request_id: str
    amount: StoredAmount


class IncarnationEnded(LedgerEntry, frozen=True, tag="e"):
    """A worker's incarnation has ended, so its provisional charges become estimated charges.

    With ``request_id`` only the charge of that call does, because there are too many provisional charges.
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
    """In a snapshot: a bucket of a tenant's budget window.

    With an empty tenant it is the sum of all tenants with that window length. With a window of 0 s it clears
    all buckets.
    """

    tenant: str
    window_s: float
    start_s: float
    amount: StoredAmount


class ArchiveRuns(LedgerEntry, frozen=True, tag="a"):
    """In a snapshot: the runs that belong to the account, oldest first."""

    runs: tuple[int, ...]


class MovedToArchive(LedgerEntry, frozen=True, tag="m"):
    """Totals, estimated charges, windows and the items named here moved from memory to a run.

    Attributes:
        run: Number of the run.
        incarnations: Worker and incarnation of the confirmed sequence numbers that moved.
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
    """All earlier entries are void. Names the gateway that owns the log."""

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
    """Decode an entry from MessagePack.

    Raises:
        ValueError: If the bytes are not a valid entry.
    """
    return _decode(data)
