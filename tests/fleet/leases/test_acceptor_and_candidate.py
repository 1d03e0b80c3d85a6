"""Candidates and acceptors of leases: each protocol rule in isolation."""

from __future__ import annotations

from dataclasses import replace

import pytest

from saffronstack.fleet.leases.acceptor import Acceptor
from saffronstack.fleet.leases.candidate import (
    Candidate,
    CandidateState,
    LeaseAcquired,
    LeaseLost,
    ValueStored,
)
from saffronstack.fleet.leases.messages import (
    AcceptorState,
    AcceptRequest,
    DiskState,
    PersistState,
    PrepareRequest,
    PrepareResponse,
    ReleaseRequest,
    SendMessage,
)
from tests.support.leases import LIMITS, ThreeAcceptors, grant, is_accepted, make_acceptor, response_of


def test_the_next_candidate_waits_until_the_holder_releases() -> None:
    cluster = ThreeAcceptors()
    first, second = (Candidate(name, "l", 5.0, LIMITS, 1) for name in ("a", "b"))
    acquired = [a for a in cluster.deliver(first, 0.0, first.acquire(0.0)) if isinstance(a, LeaseAcquired)]
    assert [one.token for one in acquired] == [1]
    assert first.is_holder(4.9)
    assert not first.is_holder(4.96)
    cluster.deliver(second, 1.0, second.acquire(1.0))
    assert second.state is CandidateState.BACKING_OFF
    assert second.holder == "a"
    lost = cluster.deliver(first, 1.5, first.release(1.5))
    assert [one.token for one in lost if isinstance(one, LeaseLost)] == [1]
    assert not first.is_holder(1.5)
    for step in range(100):
        now = 1.5 + step * 0.1
        if any(isinstance(a, LeaseAcquired) for a in cluster.deliver(second, now, second.tick(now))):
            break
    assert second.is_holder(now)
    assert second.token > 1


def test_a_holder_renews_and_expires_by_its_own_clock_without_a_majority() -> None:
    cluster = ThreeAcceptors()
    one = Candidate("a", "l", 3.0, LIMITS, 1)
    cluster.deliver(one, 0.0, one.acquire(0.0))
    for step in range(1, 40):
        cluster.deliver(one, step * 0.5, one.tick(step * 0.5))
        assert one.is_holder(step * 0.5)
        assert one.token == 1
    cluster.cut = {"k0", "k1"}
    expires_s = one.expires_s
    actions = [a for step in range(40, 60) for a in cluster.deliver(one, step * 0.5, one.tick(step * 0.5))]
    assert [a.token for a in actions if isinstance(a, LeaseLost)] == [1]
    assert not one.is_holder(expires_s)


def test_only_the_holder_stores_a_value_and_the_next_holder_reads_it() -> None:
    cluster = ThreeAcceptors()
    one, two = Candidate("a", "l", 3.0, LIMITS, 1), Candidate("b", "l", 3.0, LIMITS, 2)
    cluster.deliver(one, 0.0, one.acquire(0.0))
    stored = cluster.deliver(one, 0.1, one.store_value(0.1, b"plan 4"))
    assert [a.value.content for a in stored if isinstance(a, ValueStored)] == [b"plan 4"]
    with pytest.raises(ValueError, match="only a holder"):
        two.store_value(0.2, b"mine")
    cluster.deliver(one, 0.3, one.release(0.3))
    cluster.cut = {"k0"}
    cluster.deliver(two, 0.4, two.acquire(0.4))
    for step in range(5):
        cluster.deliver(two, 0.5 + step * 0.2, two.tick(0.5 + step * 0.2))
    assert two.is_holder(1.3)
    assert two.value.content == b"plan 4"


def test_an_acceptor_promises_a_ballot_once_and_none_beside_a_running_grant() -> None:
    acceptor = make_acceptor()
    assert grant(acceptor, 0.0, "a", 3).is_accepted
    rejection = response_of(acceptor.handle(1.0, "b", PrepareRequest("l", "b", 9)))
    assert isinstance(rejection, PrepareResponse)
    assert not rejection.is_promised
    assert rejection.holder == "a"
    assert 4 < rejection.remaining_s < 4.2
    stale_response = response_of(acceptor.handle(6.0, "b", PrepareRequest("l", "b", 3)))
    assert isinstance(stale_response, PrepareResponse)
    assert not stale_response.is_promised
    assert stale_response.highest_ballot == 3
    assert grant(acceptor, 6.0, "b", 4).is_accepted
    late_renewal = AcceptRequest("l", "a", 3, 2, 5.0)
    assert not is_accepted(acceptor, 20.0, late_renewal)
    # The sender "x" is not the candidate of the request.
    assert acceptor.handle(20.0, "x", AcceptRequest("l", "b", 4, 2, 5.0)) == []
    # The duration exceeds max_lease_s.
    assert acceptor.handle(20.0, "b", AcceptRequest("l", "b", 4, 2, 11.0)) == []


def test_a_late_request_for_a_released_ballot_is_not_accepted() -> None:
    acceptor = make_acceptor()
    assert grant(acceptor, 0.0, "a", 1).is_accepted
    acceptor.handle(1.0, "a", ReleaseRequest("l", "a", 1))
    assert acceptor.remaining_s(1.0, "l") == 0.0
    assert not is_accepted(acceptor, 1.1, AcceptRequest("l", "a", 1, 2, 5.0))


def test_a_grant_is_persisted_and_a_plain_renewal_is_not() -> None:
    acceptor = make_acceptor()
    acceptor.handle(0.0, "a", PrepareRequest("l", "a", 1))
    assert isinstance(acceptor.handle(0.0, "a", AcceptRequest("l", "a", 1, 1, 5.0))[0], PersistState)
    renewal = AcceptRequest("l", "a", 1, 2, 5.0)
    assert [type(action) for action in acceptor.handle(1.0, "a", renewal)] == [SendMessage]


def test_an_acceptor_keeps_its_limits() -> None:
    acceptor = Acceptor(
        "k0", replace(LIMITS, max_leases=2, max_value_bytes=3), DiskState.NEW, AcceptorState(), 0.0, 1
    )
    for lease in ("l1", "l2"):
        assert acceptor.handle(0.0, "a", PrepareRequest(lease, "a", 1))
    assert acceptor.handle(0.0, "a", PrepareRequest("l3", "a", 1)) == []
    with pytest.raises(ValueError, match="is none of"):
        Acceptor("k9", LIMITS, DiskState.NEW, AcceptorState(), 0.0, 1)
    with pytest.raises(ValueError, match="at most 10 s"):
        Candidate("a", "l", 11.0, LIMITS, 1)
