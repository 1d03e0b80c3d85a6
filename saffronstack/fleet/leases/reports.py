"""The JSON pages of a lease server. The names in ``rename`` appear on the pages and must not change."""

from __future__ import annotations

from msgspec import Struct

from saffronstack.fleet.leases.messages import LeaseValue


class LeaseReport(Struct, frozen=True, rename={"remaining_s": "left_s"}):
    """One lease as one server reports it."""

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

    ``persisted_write`` is the number of the last write on disk. ``disk_error`` is the error of the last write
    attempt; empty if it succeeded.
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
    """The state of a lease server: the state of its acceptor and the number of open connections."""

    connections: int
