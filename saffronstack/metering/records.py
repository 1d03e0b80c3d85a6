"""What workers report and what the usage log keeps. Memory in KiB, spans in microseconds of the worker's own
monotonic clock, amounts in KiB microseconds (integers), labels in Unix seconds."""

from __future__ import annotations

import msgspec

StoredAmount = int | str  # MessagePack ends at 64 bits; sums over a worker's life do not


def to_stored_amount(amount: int) -> StoredAmount:
    """A whole number of any size as a record can hold it; ``int`` turns it back."""
    return amount if -(1 << 63) <= amount < 1 << 63 else str(amount)


class CallReference(msgspec.Struct, array_like=True, frozen=True):
    """A call, as a worker knows it."""

    id: str
    tenant: str
    call_class: str


class UsageRecord(msgspec.Struct, array_like=True, frozen=True):
    """What the copies of one function held at one worker between two changes.

    ``seq`` counts from 1 in each incarnation, without gaps. ``load``, ``run`` and ``idle`` count copies;
    ``waiting`` are the calls that wait for the loads, ``running`` those that run on the copies."""

    worker: str
    incarnation: str
    seq: int
    function: str
    memory_kib: int
    start_us: int
    end_us: int
    load: int
    run: int
    idle: int
    waiting: tuple[CallReference, ...]
    running: tuple[CallReference, ...]


class UsageRequest(msgspec.Struct, frozen=True):
    """What a gateway sends a worker: records it has made durable, and calls whose record it misses."""

    gateway: str
    ack: tuple[tuple[str, int], ...] = ()  # incarnation, seq
    missing: tuple[str, ...] = ()  # request ids
    limit: int = 4000


class UsageResponse(msgspec.Struct, frozen=True):
    """The worker's answer. ``mine``: acknowledged by this gateway first; ``gone``: by another one before."""

    worker: str
    incarnation: str
    now_us: int
    mine: tuple[tuple[str, int], ...] = ()
    gone: tuple[tuple[str, int], ...] = ()
    known: tuple[str, ...] = ()  # of the missing calls, those that have ended: their records are all made
    dropped: int = 0  # records that the worker's bound cost, since its start
    records: tuple[UsageRecord, ...] = ()
    left: int = -1  # records beyond these that no gateway has acknowledged; -1 where the worker does not say


class LedgerEntry(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """What all records of the log share."""


def incarnation_key(worker: str, incarnation: str) -> str:
    """What names one life of a worker among charges: a call that comes again to a worker that died and
    returned is charged anew there. Without an incarnation it is the name alone, as in older logs."""
    return f"{worker}\0{incarnation}" if incarnation else worker


def worker_of_incarnation(life: str) -> str:
    """The worker whose life it is."""
    return life.partition("\0")[0]


class RecordReceived(LedgerEntry, frozen=True, tag="r"):
    """A worker's record; ``at`` labels its end. ``steady`` is the same in Unix seconds that no clock step
    moves, for budgets; 0 in logs that had none."""

    usage: UsageRecord
    at: float
    steady: float = 0.0


class RecordConfirmed(LedgerEntry, frozen=True, tag="c"):
    """The worker counts a record as given to this gateway and will offer it to no other; with ``last``, all
    records from ``seq`` to it."""

    worker: str
    incarnation: str
    seq: int
    last: int = 0


class RecordRelinquished(LedgerEntry, frozen=True, tag="g"):
    """Another gateway acknowledged it first: it is not ours."""

    worker: str
    incarnation: str
    seq: int


class ProvisionalCharge(LedgerEntry, frozen=True, tag="p"):
    """A call whose answer was lost: charged from its send to its loss, less what records charge it already,
    until its worker says that it has ended there (and so that all its records are on their way)."""

    worker: str
    incarnation: str
    call: CallReference
    function: str
    amount: StoredAmount
    at: float
    steady: float = 0.0
    memory_kib: int = 0  # of a copy, where the amount is that over a time; 0: it is a guess of another kind
    lanes: int = 1


class ProvisionalChargeVoided(LedgerEntry, frozen=True, tag="x"):
    """A provisional charge is void: the worker said that the call has ended, so its records tell all.
    ``worker`` is a life (``life_of``); a bare name in older logs."""

    worker: str
    call_id: str


class EstimatedCharge(LedgerEntry, frozen=True, tag="f"):
    """A final charge for a call of a dead worker, less what records charge it, in a snapshot."""

    charge: ProvisionalCharge


class RetainedCallCharge(LedgerEntry, frozen=True, tag="q"):
    """What records charge a call of a dead worker, which another gateway may have estimated, in a
    snapshot. ``worker`` is a life; a bare name in older logs."""

    worker: str
    call_id: str
    amount: StoredAmount


class ArchivedRecordRelinquished(LedgerEntry, frozen=True, tag="y"):
    """A record that a run holds was another gateway's after all, in a snapshot."""

    worker: str
    incarnation: str
    seq: int


class CallCharge(LedgerEntry, frozen=True, tag="k"):
    """What the counted records of a worker charge one call, in a snapshot. ``worker`` is a life; a bare
    name in older logs."""

    worker: str
    call_id: str
    amount: StoredAmount


class IncarnationEnded(LedgerEntry, frozen=True, tag="e"):
    """The worker's incarnation is dead: its provisional charges are final, as estimates. With ``call_id``
    only that call's, because there are too many."""

    worker: str
    incarnation: str
    call_id: str = ""


class UsageTotal(LedgerEntry, frozen=True, tag="t"):
    """A sum, in a snapshot."""

    tenant: str
    function: str
    call_class: str
    worker: str
    bucket: int
    load: StoredAmount
    run: StoredAmount
    idle: StoredAmount
    estimated: StoredAmount


class ConfirmedInterval(LedgerEntry, frozen=True, tag="h"):
    """What a worker's copies held in all, in a snapshot; and its confirmed numbers in an incarnation."""

    worker: str
    incarnation: str
    low: int
    high: int


class OccupancyTotal(LedgerEntry, frozen=True, tag="o"):
    """What a worker's copies held, summed without splitting it, in a snapshot."""

    worker: str
    load: StoredAmount
    run: StoredAmount
    idle: StoredAmount


class BudgetWindowPart(LedgerEntry, frozen=True, tag="w"):
    """A part of a tenant's budget window, in a snapshot; of all tenants' with that window where none is
    named."""

    tenant: str
    window_s: float
    start: float
    amount: StoredAmount


class ArchiveRuns(LedgerEntry, frozen=True, tag="a"):
    """The runs that belong to the account, oldest first, in a snapshot."""

    runs: tuple[int, ...]


class MovedToArchive(LedgerEntry, frozen=True, tag="m"):
    """Sums, windows and what is named here left memory for a run: ``held`` are incarnations (worker,
    incarnation) with their confirmed numbers, ``unconfirmed`` records as (worker, incarnation, low, high)."""

    run: int
    held: tuple[tuple[str, str], ...] = ()
    unconfirmed: tuple[tuple[str, str, int, int], ...] = ()


class RunsMerged(LedgerEntry, frozen=True, tag="n"):
    """One run in place of some that followed one another."""

    runs: tuple[int, ...]
    into: int


class LedgerStarted(LedgerEntry, frozen=True, tag="s"):
    """All before this record is void; the gateway whose log this is."""

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
    | BudgetWindowPart
    | ArchiveRuns
    | MovedToArchive
    | RunsMerged
    | LedgerStarted
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyLedgerEntry).decode


def encode(entry: AnyLedgerEntry) -> bytes:
    """A log record as MessagePack."""
    return _encode(entry)


def decode(data: bytes) -> AnyLedgerEntry:
    """The log record; ValueError where the bytes are none."""
    return _decode(data)
