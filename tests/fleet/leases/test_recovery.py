"""Recovery of an acceptor after a restart, and detection of replaced servers."""

from __future__ import annotations

from msgspec.structs import replace as replace_fields

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import Candidate
from saffronstack.fleet.leases.limits import LeaseLimits
from saffronstack.fleet.leases.messages import (
    AcceptorRecord,
    AcceptorState,
    AcceptRequest,
    CatchUpRequest,
    CatchUpResponse,
    DiskState,
    PrepareRequest,
    PrepareResponse,
    SendMessage,
    SetTimer,
)
from tests.support.leases import LIMITS, RECORD, grant, make_acceptor, persisted_state, response_of

FIVE = LeaseLimits(("k0", "k1", "k2", "k3", "k4"), max_lease_s=10.0)


def requested_servers(acceptor: Acceptor, now: float) -> set[str]:
    """Return the servers that the acceptor sends catch-up requests to."""
    return {
        action.receiver
        for action in acceptor.tick(now)
        if isinstance(action, SendMessage) and isinstance(action.message, CatchUpRequest)
    }


def send_catch_up_response(acceptor: Acceptor, now: float, server: str, **changes: object) -> None:
    """Deliver the catch-up response of another server."""
    response = CatchUpResponse(server, 7, True, 0, observed_incarnation=acceptor.table.incarnation)
    acceptor.handle(now, server, replace_fields(response, **changes))


def test_a_restarted_acceptor_waits_until_its_earlier_grants_expired() -> None:
    earlier = make_acceptor()
    grant(earlier, 0.0, "a", 4)
    acceptor = make_acceptor(DiskState.INTACT, persisted_state(earlier), now=100.0)
    # Ignored, because accept requests may still be in flight to k1.
    acceptor.handle(100.1, "k1", CatchUpResponse("k1", 7, True, 0))
    assert acceptor.tick(105.0) == [SetTimer(acceptor.recovery.votes_from_s)]
    assert acceptor.recovery.votes_from_s > 110.0
    assert acceptor.handle(105.0, "b", PrepareRequest("l", "b", 9)) == []
    assert [action.receiver for action in acceptor.tick(111.0) if isinstance(action, SendMessage)] == [
        "k1",
        "k2",
    ]
    acceptor.handle(111.0, "k1", CatchUpResponse("k1", 7, True, 0))
    assert not acceptor.recovery.has_recovered  # k2 may have observed a later write
    acceptor.tick(113.0)
    promise = response_of(acceptor.handle(113.0, "b", PrepareRequest("l", "b", 9)))
    assert isinstance(promise, PrepareResponse)
    assert promise.is_promised


def test_a_rolled_back_disk_is_detected_by_the_servers_of_its_last_majority() -> None:
    old = persisted_state(make_acceptor())
    acceptor = make_acceptor(DiskState.INTACT, old, now=100.0)
    acceptor.handle(
        111.0,
        "k1",
        CatchUpResponse("k1", 7, True, old.last_write + 3, (RECORD,)),
    )
    assert acceptor.recovery.disk_state is DiskState.LOST
    assert not acceptor.recovery.has_recovered
    acceptor.handle(111.0, "k2", CatchUpResponse("k2", 6, True, 0))  # the nonce of an earlier run
    acceptor.handle(111.0, "k2", CatchUpResponse("k2", 7, False, 0))  # k2 has not recovered
    assert not acceptor.recovery.has_recovered
    acceptor.handle(111.0, "k2", CatchUpResponse("k2", 7, True, 0))
    # The acceptor has begun a new incarnation, which a majority of others must persist first.
    assert acceptor.table.incarnation == 1
    assert not acceptor.recovery.has_recovered
    acceptor.handle(
        111.0,
        "k1",
        CatchUpResponse("k1", 7, True, old.last_write + 3, (RECORD,), 1),
    )
    acceptor.handle(111.0, "k2", CatchUpResponse("k2", 7, True, 0, (), 1))
    assert acceptor.recovery.has_recovered
    assert acceptor.handle(111.0, "b", PrepareRequest("l", "b", 8)) == []
    promise = response_of(acceptor.handle(122.0, "b", PrepareRequest("l", "b", 8)))
    assert isinstance(promise, PrepareResponse)
    assert not promise.is_promised
    assert promise.highest_ballot == 8


def test_a_server_established_by_mistake_recovers_when_all_others_answered() -> None:
    acceptor = make_acceptor(DiskState.INTACT, AcceptorState(), now=100.0)
    acceptor.handle(111.0, "k1", CatchUpResponse("k1", 7, True, 0))
    acceptor.tick(200.0)
    assert not acceptor.recovery.has_recovered
    acceptor.handle(200.0, "k2", CatchUpResponse("k2", 7, True, 5, (RECORD,)))
    assert acceptor.recovery.disk_state is DiskState.LOST
    assert not acceptor.recovery.has_recovered
    acceptor.handle(200.1, "k1", CatchUpResponse("k1", 7, True, 0, (), 1))
    acceptor.handle(200.1, "k2", CatchUpResponse("k2", 7, True, 5, (RECORD,), 1))
    assert acceptor.recovery.has_recovered  # both responded and know its new incarnation
    assert [record.promised_ballot for record in acceptor.records()] == [8]


def test_a_replaced_server_that_returns_never_votes() -> None:
    """k0's machine is considered dead and is replaced by one with an empty disk; then it restarts."""
    successor = make_acceptor(DiskState.LOST, now=100.0)
    server_1, server_2 = (make_acceptor(name=name, now=100.0) for name in ("k1", "k2"))

    def catch_up(server: Acceptor, now: float) -> None:
        for action in server.tick(now):
            if isinstance(action, SendMessage):
                other = {"k1": server_1, "k2": server_2}[action.receiver]
                for reply in other.handle(now, server.name, action.message):
                    if isinstance(reply, SendMessage):
                        server.handle(now, action.receiver, reply.message)

    catch_up(successor, 111.0)
    # The others must have persisted the new incarnation first.
    assert successor.table.incarnation == 1
    assert not successor.recovery.has_recovered
    catch_up(successor, 111.0)
    # The predecessor may have granted with one of the others until they persisted the incarnation.
    assert successor.recovery.has_recovered
    assert not successor.can_vote(121.0)
    assert successor.can_vote(111.0 + LIMITS.grant_duration_s(LIMITS.max_lease_s))
    predecessor = make_acceptor(
        DiskState.INTACT, AcceptorState((AcceptorRecord("l", 3, "a", 3, "a", 5.0),), 9), now=120.0
    )
    catch_up(predecessor, 131.0)
    catch_up(predecessor, 140.0)
    assert predecessor.recovery.disk_state is DiskState.REPLACED
    assert not predecessor.can_vote(200.0)
    assert predecessor.handle(200.0, "c", PrepareRequest("l", "c", 9)) == []
    restarted = make_acceptor(DiskState.INTACT, successor.table.persist().state, now=300.0)
    catch_up(restarted, 311.0)
    assert restarted.can_vote(311.0)  # the successor restarts like any other server


def test_a_server_replaced_while_paused_is_not_counted_and_learns_of_it() -> None:
    """k0 is paused and replaced under its name; it resumes at an address that some candidates still use."""
    paused = make_acceptor()
    successor_response = PrepareResponse("l", "k0", "a", 5, True, 5, incarnation=1)
    other_response = PrepareResponse("l", "k1", "a", 5, True, 5, incarnations=(("k0", 1),))
    candidate = Candidate("a", "l", 5.0, LIMITS, 1)
    candidate.acquire(0.0)
    ballot = candidate._ballot
    paused_response = response_of(paused.handle(0.0, "a", PrepareRequest("l", "a", ballot)))
    assert isinstance(paused_response, PrepareResponse)
    assert paused_response.is_promised
    candidate.handle(0.0, "k0", paused_response)
    candidate.handle(0.0, "k1", replace_fields(other_response, ballot=ballot))
    assert candidate._valid_approvals() == [
        replace_fields(other_response, ballot=ballot)
    ]  # the promise of the replaced k0 does not count
    actions = candidate.handle(0.0, "k0", replace_fields(successor_response, ballot=ballot))
    assert any(
        isinstance(action, SendMessage) and isinstance(action.message, AcceptRequest) for action in actions
    )
    requests = [
        action.message
        for action in candidate._broadcast(candidate._accept_request())
        if action.receiver == "k0"
    ]
    assert paused.handle(0.1, "a", requests[0]) == []
    assert paused.recovery.disk_state is DiskState.REPLACED
    assert not paused.can_vote(100.0)
    assert paused.handle(1.0, "b", PrepareRequest("l", "b", 9)) == []
    reply = paused.handle(1.0, "k1", CatchUpRequest("k1", 3))[-1]
    assert isinstance(reply, SendMessage)
    assert isinstance(reply.message, CatchUpResponse)
    assert not reply.message.is_recovered


def test_recovery_adopts_the_incarnations_of_other_servers() -> None:
    """Guards against an incarnation that starts at 1 again, seen after seven minutes of faults.

    All other servers had lost their disks one after the other, and no server knew the incarnations of k1 any
    more. The next machine of k1 took incarnation 1, and a server that knew a greater one rejected it.
    """
    acceptor = make_acceptor(DiskState.LOST, now=100.0, name="k2")
    responses = [
        CatchUpResponse("k0", 7, True, 0, incarnation=2),
        CatchUpResponse("k1", 7, True, 0, incarnations=(("k0", 2), ("k2", 4)), incarnation=3),
    ]
    for incarnation in (0, 1):
        for response in responses:
            acceptor.handle(
                111.0, response.server, replace_fields(response, observed_incarnation=incarnation)
            )
    assert acceptor.recovery.has_recovered
    assert acceptor.table.incarnations == {"k0": 2, "k1": 3}
    assert dict(persisted_state(acceptor).incarnations) == acceptor.table.incarnations


def test_records_of_a_replaced_server_do_not_count_in_recovery() -> None:
    """k2 has lost its disk. The old machine of k0 does not know what its successor granted."""
    acceptor = make_acceptor(DiskState.LOST, now=100.0, name="k2")
    acceptor.handle(111.0, "k0", CatchUpResponse("k0", 7, True, 0))
    acceptor.handle(111.0, "k1", CatchUpResponse("k1", 7, True, 0, incarnations=(("k0", 1),)))
    assert acceptor.table.incarnation == 0
    assert not acceptor.recovery.has_recovered
    acceptor.handle(
        111.0,
        "k0",
        CatchUpResponse("k0", 7, True, 0, (RECORD,), incarnation=1),
    )
    assert acceptor.table.incarnation == 1


def test_an_empty_disk_is_lost_and_its_records_do_not_count() -> None:
    lost = make_acceptor(DiskState.LOST, now=50.0)
    assert lost.handle(90.0, "a", PrepareRequest("l", "a", 1)) == []
    reply = lost.handle(90.0, "k1", CatchUpRequest("k1", 3))[0]
    assert isinstance(reply, SendMessage)
    assert isinstance(reply.message, CatchUpResponse)
    assert not reply.message.is_recovered
    requested = [action.receiver for action in lost.tick(90.0) if isinstance(action, SendMessage)]
    assert requested == ["k1", "k2"]


def test_a_server_in_recovery_is_asked_again_until_it_has_recovered() -> None:
    """Guards against a server that never votes again.

    It lost its disk while two others were in recovery, and did not ask them again.
    """
    lost = Acceptor("k0", FIVE, DiskState.LOST, AcceptorState(), 0.0, nonce=7)
    now = lost.recovery.votes_from_s + 1.0
    assert requested_servers(lost, now) == {"k1", "k2", "k3", "k4"}
    for name in ("k1", "k2"):
        send_catch_up_response(lost, now, name, is_recovered=False)
    for name in ("k3", "k4"):
        send_catch_up_response(lost, now, name)
    assert lost.table.incarnation == 0
    assert requested_servers(lost, now + 1.0) == {"k1", "k2"}
    send_catch_up_response(lost, now + 1.0, "k1")
    assert lost.table.incarnation == 1, "no new incarnation although a majority of others has responded"
    for name in ("k1", "k3", "k4"):
        send_catch_up_response(lost, now + 1.0, name)
    assert lost.recovery.has_recovered


def test_a_server_replaced_since_its_answer_is_asked_again() -> None:
    lost = Acceptor("k0", FIVE, DiskState.LOST, AcceptorState(), 0.0, nonce=7)
    now = lost.recovery.votes_from_s + 1.0
    assert requested_servers(lost, now) == {"k1", "k2", "k3", "k4"}
    send_catch_up_response(lost, now, "k1")
    send_catch_up_response(lost, now, "k2")
    send_catch_up_response(lost, now, "k3", incarnations=(("k1", 1), ("k2", 1)))  # k1 and k2 were replaced
    assert lost.table.incarnation == 0
    assert requested_servers(lost, now + 1.0) == {"k1", "k2", "k4"}
    send_catch_up_response(lost, now + 1.0, "k1", incarnation=1)
    send_catch_up_response(lost, now + 1.0, "k2", incarnation=1)
    assert lost.table.incarnation == 1
