"""What workers report and what the usage log keeps. Memory in KiB, spans in microseconds of the worker's own
monotonic clock, amounts in KiB microseconds (integers), labels in Unix seconds.
"""

from __future__ import annotations

import msgspec

Whole = int | str  # MessagePack ends at 64 bits; sums over a worker's life do not


def wire(amount: int) -> Whole:
    """A whole number of any size as a record can hold it; ``int`` turns it back."""
    return amount if -(1 << 63) <= amount < 1 << 63 else str(amount)


class Ref(msgspec.Struct, array_like=True, frozen=True):
    """A call, as a worker knows it."""

    id: str
    tenant: str
    call_class: str


class Usage(msgspec.Struct, array_like=True, frozen=True):
    """What the copies of one function held at one worker between two changes.

    ``seq`` counts from 1 in each incarnation, without gaps. ``load``, ``run`` and ``idle`` count copies;
    ``waiting`` are the calls that wait for the loads, ``running`` those that run on the copies.
    """

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
    waiting: tuple[Ref, ...]
    running: tuple[Ref, ...]


class Asked(msgspec.Struct, frozen=True):
    """What a gateway sends a worker: records it has made durable, and calls whose record it misses."""

    gateway: str
    ack: tuple[tuple[str, int], ...] = ()  # incarnation, seq
    missing: tuple[str, ...] = ()  # request ids
    limit: int = 4000


class Offered(msgspec.Struct, frozen=True):
    """The worker's answer. ``mine``: acknowledged by this gateway first; ``gone``: by another one before."""

    worker: str
    incarnation: str
    now_us: int
    mine: tuple[tuple[str, int], ...] = ()
    gone: tuple[tuple[str, int], ...] = ()
    known: tuple[str, ...] = ()  # of the missing calls, those that have ended: their records are all made
    dropped: int = 0  # records that the worker's bound cost, since its start
    records: tuple[Usage, ...] = ()
    left: int = -1  # records beyond these that no gateway has acknowledged; -1 where the worker does not say


class Entry(msgspec.Struct, array_like=True, frozen=True, tag_field="kind"):
    """What all records of the log share."""


def life_of(worker: str, incarnation: str) -> str:
    """What names one life of a worker among charges: a call that comes again to a worker that died and
    returned is charged anew there. Without an incarnation it is the name alone, as in older logs.
    """
    return f"{worker}\0{incarnation}" if incarnation else worker


def worker_of(life: str) -> str:
    """The worker whose life it is."""
    return life.partition("\0")[0]


class Received(Entry, frozen=True, tag="r"):
    """A worker's record; ``at`` labels its end. ``steady`` is the same in Unix seconds that no clock step
    moves, for budgets; 0 in logs that had none.
    """

    usage: Usage
    at: float
    steady: float = 0.0


class Confirmed(Entry, frozen=True, tag="c"):
    """The worker counts a record as given to this gateway and will offer it to no other; with ``last``, all
    records from ``seq`` to it.
    """

    worker: str
    incarnation: str
    seq: int
    last: int = 0


class Given(Entry, frozen=True, tag="g"):
    """Another gateway acknowledged it first: it is not ours."""

    worker: str
    incarnation: str
    seq: int


class Provisional(Entry, frozen=True, tag="p"):
    """A call whose answer was lost: charged from its send to its loss, less what records charge it already,
    until its worker says that it has ended there (and so that all its records are on their way).
    """

    worker: str
    incarnation: str
    call: Ref
    function: str
    amount: Whole
    at: float
    steady: float = 0.0
    memory_kib: int = 0  # of a copy, where the amount is that over a time; 0: it is a guess of another kind
    lanes: int = 1


class Replaced(Entry, frozen=True, tag="x"):
    """A provisional charge is void: the worker said that the call has ended, so its records tell all.
    ``worker`` is a life (``life_of``); a bare name in older logs.
    """

    worker: str
    call_id: str


class Estimate(Entry, frozen=True, tag="f"):
    """A final charge for a call of a dead worker, less what records charge it, in a snapshot."""

    charge: Provisional


class Pinned(Entry, frozen=True, tag="q"):
    """What records charge a call of a dead worker, which another gateway may have estimated, in a
    snapshot. ``worker`` is a life; a bare name in older logs.
    """

    worker: str
    call_id: str
    amount: Whole


class Gone(Entry, frozen=True, tag="y"):
    """A record that a run holds was another gateway's after all, in a snapshot."""

    worker: str
    incarnation: str
    seq: int


class Charged(Entry, frozen=True, tag="k"):
    """What the counted records of a worker charge one call, in a snapshot. ``worker`` is a life; a bare
    name in older logs.
    """

    worker: str
    call_id: str
    amount: Whole


class Estimated(Entry, frozen=True, tag="e"):
    """The worker's incarnation is dead: its provisional charges are final, as estimates. With ``call_id``
    only that call's, because there are too many.
    """

    worker: str
    incarnation: str
    call_id: str = ""


class Total(Entry, frozen=True, tag="t"):
    """A sum, in a snapshot."""

    tenant: str
    function: str
    call_class: str
    worker: str
    bucket: int
    load: Whole
    run: Whole
    idle: Whole
    estimated: Whole


class Held(Entry, frozen=True, tag="h"):
    """What a worker's copies held in all, in a snapshot; and its confirmed numbers in an incarnation."""

    worker: str
    incarnation: str
    low: int
    high: int


class Occupied(Entry, frozen=True, tag="o"):
    """What a worker's copies held, summed without splitting it, in a snapshot."""

    worker: str
    load: Whole
    run: Whole
    idle: Whole


class Spent(Entry, frozen=True, tag="w"):
    """A part of a tenant's budget window, in a snapshot; of all tenants' with that window where none is
    named.
    """

    tenant: str
    window_s: float
    start: float
    amount: Whole


class Archived(Entry, frozen=True, tag="a"):
    """The runs that belong to the account, oldest first, in a snapshot."""

    runs: tuple[int, ...]


class Spilled(Entry, frozen=True, tag="m"):
    """Sums, windows and what is named here left memory for a run: ``held`` are incarnations (worker,
    incarnation) with their confirmed numbers, ``unconfirmed`` records as (worker, incarnation, low, high).
    """

    run: int
    held: tuple[tuple[str, str], ...] = ()
    unconfirmed: tuple[tuple[str, str, int, int], ...] = ()


class Compacted(Entry, frozen=True, tag="n"):
    """One run in place of some that followed one another."""

    runs: tuple[int, ...]
    into: int


class Start(Entry, frozen=True, tag="s"):
    """All before this record is void; the gateway whose log this is."""

    gateway: str


AnyEntry = (
    Received
    | Confirmed
    | Given
    | Gone
    | Estimate
    | Pinned
    | Provisional
    | Replaced
    | Estimated
    | Charged
    | Total
    | Held
    | Occupied
    | Spent
    | Archived
    | Spilled
    | Compacted
    | Start
)
_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(AnyEntry).decode


def encode(entry: AnyEntry) -> bytes:
    """A log record as MessagePack."""
    return _encode(entry)


def decode(data: bytes) -> AnyEntry:
    """The log record; ValueError where the bytes are none."""
    return _decode(data)
