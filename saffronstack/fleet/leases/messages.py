"""Messages between candidates and lease servers, the persisted state of an acceptor, and its actions.

Leases are granted by a protocol based on Paxos. A candidate (the proposer) sends a *prepare request* with a
ballot to all lease servers (the acceptors). After a majority has promised the ballot, the candidate sends an
*accept request*, which grants or renews the lease. The ballot that a majority accepted is the fencing token.

Names of times end in ``_s``; the unit is seconds. Points in time are read from the local monotonic clock and
are never sent to another process. The names in ``rename`` and ``tag`` are used on the wire and on disk and
must not change: servers of two versions work together.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct


class LeaseValue(Struct, frozen=True, order=True, rename={"version": "count"}):
    """A small value stored with a lease; the newer of two values has the greater (token, version)."""

    token: int = 0
    version: int = 0
    content: bytes = b""


# Pairs of lease server and greatest known incarnation, sorted by name. Servers at incarnation 0 are omitted.
Incarnations = tuple[tuple[str, int], ...]

# Pairs of lease server and the number of its greatest known write.
ObservedWrites = tuple[tuple[str, int], ...]


class PrepareRequest(Struct, frozen=True, tag="Ask", rename={"ballot": "number", "incarnations": "lives"}):
    """Asks an acceptor to promise that it will grant nothing for a smaller ballot.

    ``incarnations`` holds those that the candidate knows, so that a replaced server learns that it was
    replaced.
    """

    lease: str
    candidate: str
    ballot: int
    incarnations: Incarnations = ()


class PrepareResponse(
    Struct,
    frozen=True,
    tag="Promise",
    rename={
        "server": "keeper",
        "ballot": "number",
        "is_promised": "promised",
        "highest_ballot": "highest",
        "remaining_s": "left_s",
        "last_write": "write",
        "incarnation": "life",
        "incarnations": "lives",
    },
):
    """Response to a `PrepareRequest`: promised, or rejected because of a valid grant or a too small ballot.

    ``highest_ballot`` is the greatest ballot that this server has promised. ``remaining_s`` and ``holder``
    describe a valid grant. ``last_write`` is the number of the server's latest state write.
    """

    lease: str
    server: str
    candidate: str
    ballot: int
    is_promised: bool
    highest_ballot: int
    remaining_s: float = 0.0
    holder: str = ""
    value: LeaseValue = LeaseValue()
    last_write: int = 0
    incarnation: int = 0
    incarnations: Incarnations = ()


class AcceptRequest(
    Struct,
    frozen=True,
    tag="Take",
    rename={
        "ballot": "number",
        "sequence": "round",
        "duration_s": "length_s",
        "observed_writes": "witness",
        "incarnations": "lives",
    },
):
    """Acquires or renews the lease for ``duration_s``, counted from when each acceptor receives the request.

    A candidate sends it after a majority has promised its ballot. ``sequence`` numbers the candidate's
    rounds. ``observed_writes`` holds the last write of each server that promised; the acceptors remember it
    to detect a rolled-back disk of one of these servers.
    """

    lease: str
    candidate: str
    ballot: int
    sequence: int
    duration_s: float
    value: LeaseValue = LeaseValue()
    observed_writes: ObservedWrites = ()
    incarnations: Incarnations = ()


class AcceptResponse(
    Struct,
    frozen=True,
    tag="Taken",
    rename={
        "server": "keeper",
        "ballot": "number",
        "sequence": "round",
        "is_accepted": "granted",
        "highest_ballot": "highest",
        "remaining_s": "left_s",
        "incarnation": "life",
        "incarnations": "lives",
    },
):
    """Response to an `AcceptRequest`."""

    lease: str
    server: str
    candidate: str
    ballot: int
    sequence: int
    is_accepted: bool
    highest_ballot: int
    remaining_s: float = 0.0
    incarnation: int = 0
    incarnations: Incarnations = ()


class ReleaseRequest(Struct, frozen=True, tag="Release", rename={"ballot": "number"}):
    """Releases a lease before it expires."""

    lease: str
    candidate: str
    ballot: int


class ReleaseNotification(Struct, frozen=True, tag="Freed", rename={"server": "keeper"}):
    """Notifies the first waiter that a lease was released, so that it can prepare immediately."""

    lease: str
    server: str
    candidate: str


class CatchUpRequest(Struct, frozen=True, tag="Learn", rename={"server": "keeper", "incarnation": "life"}):
    """Asks another server, after a restart, for its records and for what it observed of the sender.

    ``incarnation`` counts how often a new machine took over the server's name. Of two machines with one name,
    the one with the smaller incarnation was replaced.
    """

    server: str
    nonce: int
    incarnation: int = 0


class AcceptorRecord(
    Struct,
    frozen=True,
    rename={
        "promised_ballot": "promised",
        "accepted_ballot": "token",
        "duration_s": "length_s",
        "released_ballot": "closed",
    },
):
    """The persisted state of one lease at an acceptor.

    ``candidate`` received the promise of ``promised_ballot``. ``released_ballot`` is the greatest ballot
    whose lease was released.
    """

    lease: str
    promised_ballot: int = 0
    candidate: str = ""
    accepted_ballot: int = 0
    holder: str = ""
    duration_s: float = 0.0
    released_ballot: int = 0
    value: LeaseValue = LeaseValue()


class CatchUpResponse(
    Struct,
    frozen=True,
    tag="Told",
    rename={
        "server": "keeper",
        "is_recovered": "sound",
        "observed_write": "seen",
        "observed_incarnation": "life",
        "incarnation": "own",
        "incarnations": "lives",
    },
):
    """Response to a `CatchUpRequest`.

    ``is_recovered`` is true if the responder has all that it ever persisted. Its records then count, unless
    another machine replaced it under its name. ``observed_write`` and ``observed_incarnation`` are the
    greatest that the responder knows of the requesting server.
    """

    server: str
    nonce: int
    is_recovered: bool
    observed_write: int
    records: tuple[AcceptorRecord, ...] = ()
    observed_incarnation: int = 0
    incarnation: int = 0
    incarnations: Incarnations = ()


Message = (
    PrepareRequest
    | PrepareResponse
    | AcceptRequest
    | AcceptResponse
    | ReleaseRequest
    | ReleaseNotification
    | CatchUpRequest
    | CatchUpResponse
)


class DiskState(Enum):
    """Condition of an acceptor's persisted state. The values appear on the status page."""

    NEW = "new"  # the fleet was just established by an operator; nothing was ever promised
    INTACT = "sound"
    LOST = "lost"  # damaged, missing or rolled back; must not be treated as new
    REPLACED = "replaced"  # another machine took over the server's name; this one must not vote again


class AcceptorState(
    Struct,
    frozen=True,
    rename={
        "last_write": "write",
        "observed_writes": "witnessed",
        "incarnation": "life",
        "incarnations": "lives",
    },
):
    """All persisted state of an acceptor. ``observed_writes`` and ``incarnations`` describe other servers."""

    records: tuple[AcceptorRecord, ...] = ()
    last_write: int = 0
    observed_writes: ObservedWrites = ()
    incarnation: int = 0
    incarnations: Incarnations = ()


@dataclass(frozen=True, slots=True)
class PersistState:
    """Persist the state before applying any later action; drop those if the write fails or hangs."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message, which may be lost, delayed or duplicated."""

    receiver: str
    message: Message


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``tick`` when the local clock reaches ``deadline_s``."""

    deadline_s: float


AcceptorAction = PersistState | SendMessage | SetTimer
