"""Lease servers and clients over sockets: changes of the holder, lost leases, replaced servers, pages."""

from __future__ import annotations

import json
import pathlib
import time

import pytest

from saffronstack.client import Client, Response
from saffronstack.fleet.leases import codec
from saffronstack.fleet.leases.codec import Envelope
from saffronstack.fleet.leases.disk import COPIES
from saffronstack.fleet.leases.http_endpoint import MAX_POLL_S
from saffronstack.fleet.leases.messages import DiskState, PrepareRequest
from saffronstack.fleet.leases.store import HeldLease
from saffronstack.runtime.threads import start_thread
from tests.support.lease_servers import acceptor_disk, lease_servers
from tests.support.stack import eventually


def test_a_holder_stores_a_value_and_its_release_notifies_the_first_waiter(tmp_path: pathlib.Path) -> None:
    with lease_servers(tmp_path, lease_s=30.0) as fleet:
        first, second = fleet.client("p1"), fleet.client("p2")
        held = first.acquire("task/usage", 10.0)
        assert held is not None
        assert held.put(b"plan 4", 5.0)
        with pytest.raises(ValueError, match="wanted by this process already"):
            first.acquire("task/usage", 0.1)
        acquired_leases: list[HeldLease | None] = []
        waiter = start_thread("waiter", lambda: acquired_leases.append(second.acquire("task/usage", 20.0)))
        eventually(lambda: second.holder_of("task/usage").startswith("p1."))
        eventually(lambda: "p2" in fleet.servers["k0"].service.mailboxes)  # p2 polls
        began_s = time.monotonic()
        held.release()
        waiter.join(20.0)
        # Without the notification, the waiter would prepare again after a third of the lease (10 s).
        assert time.monotonic() - began_s < 5.0
        (acquired,) = acquired_leases
        assert acquired is not None
        assert acquired.token > held.token
        assert acquired.value == b"plan 4"
        assert held.remaining_s() == 0.0
        assert not held.put(b"late", 0.1)
        first.close()
        second.close()


def test_a_holder_is_notified_of_a_lost_lease_and_acquires_it_again(tmp_path: pathlib.Path) -> None:
    with lease_servers(tmp_path) as fleet:
        client = fleet.client("p1")
        reasons: list[str] = []
        held = client.acquire("l", 10.0, reasons.append)
        assert held is not None
        for name in ("k0", "k1"):
            fleet.servers.pop(name).stop()
        eventually(lambda: bool(reasons))
        assert held.remaining_s() == 0.0
        assert "no majority" in reasons[0]
        assert client.acquire("l", 0.2) is None
        for name in ("k0", "k1"):
            fleet.start(name)
        fleet.wait_until_voting()
        again = client.acquire("l", 10.0)
        assert again is not None
        assert again.token > held.token
        client.close()


def test_a_dead_server_is_replaced_by_an_empty_one_without_losing_a_lease(
    tmp_path: pathlib.Path,
) -> None:
    with lease_servers(tmp_path, lease_s=3.0) as fleet:
        client = fleet.client("p1")
        reasons: list[str] = []
        held = client.acquire("l", 10.0, reasons.append)
        assert held is not None
        fleet.servers.pop("k2").stop()
        for name in COPIES:
            (tmp_path / "k2" / name).unlink()
        assert acceptor_disk(tmp_path / "k2", server="k2").load().disk_state is DiskState.LOST
        fleet.start("k2")
        fleet.wait_until_voting()
        fleet.servers.pop("k0").stop()  # from now on, a majority needs the new server
        service = fleet.servers["k2"].service
        # The new server accepts renewals without a prepare request.
        eventually(lambda: service.lease_reports()[0].remaining_s > 0)
        deadline_s = time.monotonic() + fleet.lease_s
        eventually(lambda: time.monotonic() > deadline_s or reasons)
        assert held.remaining_s() > 0
        assert not reasons
        client.close()


def test_a_lost_state_is_still_lost_after_a_crash_during_recovery(tmp_path: pathlib.Path) -> None:
    """A server that has persisted nothing must not count as new.

    It would vote in addition to the server that it replaced.
    """
    with lease_servers(tmp_path) as fleet:
        for server in list(fleet.servers.values()):
            server.stop()  # no server responds to its catch-up requests
        fleet.servers.clear()
        for name in COPIES:
            (tmp_path / "k2" / name).unlink()
        for _ in range(2):
            fleet.start("k2")
            status = fleet.servers["k2"].service.status()
            assert status.disk_state == "lost"
            assert not status.can_vote
            fleet.servers.pop("k2").stop()


def test_pages_and_bad_requests_of_a_lease_server(tmp_path: pathlib.Path) -> None:
    with lease_servers(tmp_path) as fleet:
        client = Client(fleet.addresses["k0"], 5.0)
        envelope = Envelope("f", "p", (PrepareRequest("l", "p", 1),))
        assert client.request("POST", "/lease/messages", codec.encode(envelope)).status == 200
        foreign = client.request("POST", "/lease/messages", codec.encode(Envelope("g", "p")))
        assert foreign.status == 403
        assert b"of fleet 'f'" in foreign.body
        for body in (b"", b"{", b'{"fleet":"f"}', b'{"fleet":"f","sender":"p","messages":[{"type":"Nope"}]}'):
            assert client.request("POST", "/lease/messages", body).status == 400
        oversized = Envelope("f", "p", (PrepareRequest("l", "p", 1),) * 600)
        assert client.request("POST", "/lease/messages", codec.encode(oversized)).status == 400
        assert client.request("GET", "/nothing").status == 404
        assert client.request("PUT", "/status").status == 405
        reports = json.loads(client.request("GET", "/leases").body)
        assert [report["lease"] for report in reports] == ["l"]
        client.close()


def test_a_pending_long_poll_is_answered_when_the_server_stops(tmp_path: pathlib.Path) -> None:
    with lease_servers(tmp_path) as fleet:
        client = Client(fleet.addresses["k0"], 2 * MAX_POLL_S)
        poll = codec.encode(Envelope("f", "p9", poll_s=MAX_POLL_S))
        responses: list[Response] = []
        poller = start_thread(
            "poll", lambda: responses.append(client.request("POST", "/lease/messages", poll))
        )  # fmt: skip
        server = fleet.servers.pop("k0")
        eventually(lambda: "p9" in server.service.mailboxes)
        began_s = time.monotonic()
        server.stop()
        assert time.monotonic() - began_s < MAX_POLL_S
        poller.join(2 * MAX_POLL_S)
        (response,) = responses
        assert response.status == 200
        assert codec.decode(response.body) == Envelope("f", "")
        client.close()
