"""The contents of a lease server's pages. Names in ``rename`` are those on the pages, and never change."""

from __future__ import annotations

from msgspec import Struct

from saffronstack.fleet.leases.messages import LeaseValue


class LeaseReport(Struct, frozen=True, rename={"remaining_s": "left_s"}):
    """One lease as one server shows it."""

    lease: str
    holder: str
    token: int
    remaining_s: float
    value: LeaseValue


class AcceptorStatus(
    Struct,
    frozen=True,
    rename={
        "server": "keeper",
        "can_vote": "votes",
        "disk_state": "disk",
        "incarnation": "life",
        "has_recovered": "sure",
        "last_write": "write",
        "persisted_write": "saved",
        "disk_error": "trouble",
    },
):
    """The state of an acceptor.

    ``persisted_write`` is the last write on the disk, ``disk_error`` is empty where that succeeded.
    """

    server: str
    can_vote: bool
    disk_state: str
    incarnation: int
    has_recovered: bool
    votes_in_s: float
    leases: int
    last_write: int
    persisted_write: int
    disk_error: str


class ServerStatus(AcceptorStatus, frozen=True):
    """The state of a lease server: that of its acceptor, and the number of open connections."""

    connections: int
