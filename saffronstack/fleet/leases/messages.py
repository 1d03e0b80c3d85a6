"""Messages between candidates and lease servers, the persisted state of an acceptor, and its actions.

Leases are granted by a Paxos-like protocol: a candidate (the proposer) sends a *prepare request* with a
ballot to all lease servers (the acceptors), and after a majority promised the ballot, an *accept request*
that grants or renews the lease. The ballot that a majority accepted is the lease's fencing token.

All times end in ``_s`` and are seconds. Points in time are those of the local monotonic clock; none is sent
to another process. Names in ``rename`` and ``tag`` are those on the wire and on disk, and never change.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from msgspec import Struct


class LeaseValue(Struct, frozen=True, order=True, rename={"version": "count"}):
    """The small value stored with a lease; the newer of two has the greater (token, version)."""

    token: int = 0
    version: int = 0
    content: bytes = b""


# Lease servers with the greatest incarnation known of each, sorted by name; incarnation 0 is left out.
Incarnations = tuple[tuple[str, int], ...]

# Lease servers with the greatest write known of each.
ObservedWrites = tuple[tuple[str, int], ...]


class PrepareRequest(Struct, frozen=True, tag="Ask", rename={"ballot": "number", "incarnations": "lives"}):
    """Ask an acceptor to promise that it grants nothing under a smaller ballot any more.

    ``incarnations`` passes on what the candidate knows, so that a server that was replaced learns of it.
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
    """Answer a `PrepareRequest`: promised, or rejected for a running grant or a ballot that is too small.

    ``highest_ballot`` is the greatest ballot ever promised by this server, ``remaining_s`` and ``holder``
    describe the grant that still runs, ``last_write`` numbers the server's persisted states.
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
    """Acquire or renew the lease for ``duration_s`` from when each acceptor receives the request.

    Sent by a candidate whose ballot a majority promised. ``sequence`` counts the candidate's rounds;
    ``observed_writes`` tells what the promising servers had persisted by then.
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
    """Answer an `AcceptRequest`."""

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
    """Give a lease back before it expires."""

    lease: str
    candidate: str
    ballot: int


class ReleaseNotification(Struct, frozen=True, tag="Freed", rename={"server": "keeper"}):
    """Notify the first waiter that a lease was released, so that it can prepare at once."""

    lease: str
    server: str
    candidate: str


class CatchUpRequest(Struct, frozen=True, tag="Learn", rename={"server": "keeper", "incarnation": "life"}):
    """Ask another server, after a restart, for its records and for what it observed of the sender.

    ``incarnation`` counts how often a new machine took the server's name; of two servers of one name the one
    with the smaller incarnation is the one that was replaced.
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
    """What an acceptor has persisted of one lease.

    ``candidate`` is the one that ``promised_ballot`` was promised to, ``released_ballot`` the greatest ballot
    that was given back.
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
    """Answer a `CatchUpRequest`.

    ``is_recovered`` says whether the responder has all that it had persisted, so that its records count,
    unless another server of its name replaced it. ``observed_write`` and ``observed_incarnation`` are the
    greatest known of the server that asked.
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
    """What an acceptor's disk showed at its start; the values stand on the status page."""

    NEW = "new"  # established by an operator together with the fleet: nothing was ever promised
    INTACT = "sound"
    LOST = "lost"  # damaged, missing or rolled back: never treated as new
    REPLACED = "replaced"  # another machine took the server's name: this one must not vote any more


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
    """Everything that an acceptor persists. ``observed_writes`` and ``incarnations`` are of other servers."""

    records: tuple[AcceptorRecord, ...] = ()
    last_write: int = 0
    observed_writes: ObservedWrites = ()
    incarnation: int = 0
    incarnations: Incarnations = ()


@dataclass(frozen=True, slots=True)
class PersistState:
    """Persist this before any later action is carried out; if that fails or hangs, drop the later ones."""

    state: AcceptorState


@dataclass(frozen=True, slots=True)
class SendMessage:
    """Send a message; it may be lost, delayed or duplicated."""

    receiver: str
    message: Message


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Call ``tick`` at this time of the local clock."""

    deadline_s: float


AcceptorAction = PersistState | SendMessage | SetTimer
