"""Tests of the resolver with an unresponsive, refusing, late, stale, inconsistent or moving server."""

from __future__ import annotations

import socket
import struct
import threading
from collections.abc import Collection, Iterator
from itertools import pairwise

import pytest
from hypothesis import given
from hypothesis import strategies as st

from saffronstack.discovery.dns import server_socket
from saffronstack.discovery.dns.resolver import POLL_JITTER, Rejection, ResolverOptions
from saffronstack.discovery.dns.server_socket import MIN_QUERIES_BEFORE_REPLACEMENT
from saffronstack.standin.platform import dns_response
from tests.discovery.dns.conftest import StartDiscovery
from tests.discovery.dns.support import ENTRIES, DiscoveryServer, ObservedResolver, response
from tests.support.platform import WAIT_S
from tests.support.stack import eventually

INTERVAL_S = ResolverOptions().interval_s


@pytest.fixture
def silent_server(observed: ObservedResolver) -> Iterator[socket.socket]:
    """Return the socket of a server that ``observed`` asks; the test responds."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(("127.0.0.1", 0))
        server.settimeout(WAIT_S)
        observed.resolver.set_server(server.getsockname())
        yield server
        observed.resolver._socket.close()


# ---- responses passed in by the test


def test_only_complete_valid_and_new_responses_are_accepted(observed: ObservedResolver) -> None:
    valid = response(10, ENTRIES)
    assert observed.handle(valid)
    assert len(observed.changes) == 1
    assert len(observed.changes[0].updated) == 2
    assert observed.handle(valid)
    assert len(observed.changes) == 1
    rejected = [
        valid[:-3],  # cut short
        valid[:2] + struct.pack(">H", 0x8602) + valid[4:],  # marked as truncated in the flags
        valid[:2] + struct.pack(">H", 0x8403) + valid[4:],  # response code NXDOMAIN
        response(11, [], message_id=8),
        response(11, [], name="_other._tcp.fleet.local"),
        response(9, ENTRIES[:1]),  # an older list
    ]
    assert not any(observed.handle(message) for message in rejected)
    assert len(observed.changes) == 1
    assert len(observed.endpoint_list.specs) == 2
    assert sum(observed.resolver.counts.rejected.values()) == len(rejected)
    assert observed.handle(response(11, ENTRIES[:1]))
    assert observed.changes[1].removed
    assert observed.endpoint_list.serial == 11


def test_another_list_under_the_same_serial_is_rejected_but_in_another_order_accepted(
    observed: ObservedResolver,
) -> None:
    assert observed.handle(response(5, ENTRIES))
    assert len(observed.changes) == 1
    assert observed.handle(response(5, ENTRIES[::-1]))
    assert len(observed.changes) == 1
    assert not observed.handle(response(5, ENTRIES[:1]))
    assert len(observed.endpoint_list.specs) == 2
    assert observed.handle(response(6, ENTRIES[:1]))
    assert observed.changes[-1].removed


# ---- a server on the network


def test_a_port_that_gets_no_responses_is_replaced(start_discovery: StartDiscovery) -> None:
    """The server responds, but no response reaches the source port of the first query."""
    first: list[int] = []

    def respond(query: bytes, port: int) -> list[bytes]:
        first.append(port)
        return [] if port == first[0] else [dns_response(query, 5, ENTRIES)]

    server, observed = start_discovery(respond)
    assert len(observed.wait().updated) == 2
    assert len(set(server.ports)) >= 2


def test_an_unresponsive_server_changes_neither_list_nor_polling(
    start_discovery: StartDiscovery,
) -> None:
    silent, polled = threading.Event(), threading.Semaphore(0)
    serial = [5]

    def respond(query: bytes, port: int) -> list[bytes]:
        polled.release()
        return [] if silent.is_set() else [dns_response(query, serial[0], ENTRIES[: 7 - serial[0]])]

    server, observed = start_discovery(respond)
    observed.wait()
    silent.set()
    for _ in range(40):
        assert polled.acquire(timeout=WAIT_S)
    assert len(observed.endpoint_list.specs) == 2
    assert 2 <= len(set(server.ports)) <= 8  # the socket is replaced, at growing intervals
    serial[0] = 6
    silent.clear()
    assert observed.wait().removed


def test_responses_that_always_come_after_the_next_query_are_accepted(
    start_discovery: StartDiscovery,
) -> None:
    queries: list[bytes] = []

    def respond(query: bytes, port: int) -> list[bytes]:
        queries.append(query)
        return [dns_response(queries[-2], 5, ENTRIES)] if len(queries) > 1 else []

    _, observed = start_discovery(respond)
    assert len(observed.wait().updated) == 2


@pytest.mark.parametrize("is_late", [False, True])
def test_all_responses_that_have_arrived_are_handled_before_the_next_query(
    observed: ObservedResolver, silent_server: socket.socket, is_late: bool
) -> None:
    """Guards against drains that are missed for good: one response was read for each query.

    Then the lists stayed behind by as many polls as had gone unanswered in an outage. ``is_late``: the
    resolver's thread runs again only after the time of its next query.
    """
    resolver = observed.resolver
    for _ in range(13):  # an outage: the queries stay in the socket of the server
        assert not resolver.query(until_s=0.0)
    for serial in range(1, 14):
        query, address = silent_server.recvfrom(4096)
        silent_server.sendto(dns_response(query, serial, ENTRIES[: 1 + serial % 2]), address)
    assert resolver.query(0.0 if is_late else resolver._clock() + 0.05)
    assert observed.endpoint_list.serial == 13
    assert resolver._socket.receive(0.0) is None


def test_responses_to_a_replaced_socket_are_handled_until_its_replacement_has_one(
    observed: ObservedResolver, silent_server: socket.socket
) -> None:
    """Guards against drains that are kept too late: where the server was slow, its responses were lost."""
    resolver = observed.resolver
    for _ in range(MIN_QUERIES_BEFORE_REPLACEMENT):
        resolver._socket.record_result(resolver.query(until_s=0.0))
    assert not resolver.query(until_s=0.0)  # on another socket
    queries = [silent_server.recvfrom(4096) for _ in range(MIN_QUERIES_BEFORE_REPLACEMENT + 1)]
    assert queries[0][1] != queries[-1][1]
    for serial, (query, address) in enumerate(queries[:2], 1):
        silent_server.sendto(dns_response(query, serial, ENTRIES[:serial]), address)
        assert resolver.query(until_s=0.0)
        assert observed.endpoint_list.serial == serial
    silent_server.sendto(dns_response(queries[-1][0], 9, ENTRIES), queries[-1][1])
    assert resolver.query(until_s=0.0)
    assert observed.endpoint_list.serial == 9
    assert resolver._socket._former_socket is None


def test_a_refused_query_hides_no_response_that_has_arrived(
    observed: ObservedResolver, silent_server: socket.socket
) -> None:
    """Guards against drains that are kept too late: the system reports the refusal before the response."""
    resolver = observed.resolver
    assert not resolver.query(until_s=0.0)
    query, address = silent_server.recvfrom(4096)
    silent_server.sendto(dns_response(query, 5, ENTRIES), address)
    silent_server.close()
    assert resolver.query(until_s=0.0)
    assert observed.endpoint_list.serial == 5
    assert resolver.counts.rejected == {"ConnectionRefusedError": 1}


@given(
    lists=st.lists(st.integers(0, 3), min_size=1, max_size=8),
    arrivals=st.lists(st.tuples(st.integers(0, 7), st.integers(0, 7)), min_size=1, max_size=30),
)
def test_the_newest_list_that_has_arrived_is_in_force(
    lists: list[int], arrivals: list[tuple[int, int]]
) -> None:
    """Responses are lost, late, doubled and out of order; an older one must not undo a newer one."""
    observed, newest = ObservedResolver(), -1
    serials = {index: 10 + index for index in range(len(lists))}
    for list_index, query in arrivals:
        index = list_index % len(lists)
        message = response(serials[index], ENTRIES[: lists[index]], message_id=query)
        observed.resolver.handle_response(message, range(8))
        newest = max(newest, index)
        assert observed.endpoint_list.serial == serials[newest]
        assert len(observed.endpoint_list.specs) == len(ENTRIES[: lists[newest]])


def test_a_list_that_arrives_between_two_queries_is_applied_at_once(
    observed: ObservedResolver, silent_server: socket.socket, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against drains that are kept too late: a response after the timeout waited for the next poll."""
    now, resolver, seen = [0.0], observed.resolver, list[float]()
    monkeypatch.setattr(resolver, "_clock", lambda: now[0])

    def handle(message: bytes, message_ids: Collection[int]) -> bool:
        seen.append(now[0])
        now[0] = INTERVAL_S if len(seen) == 2 else INTERVAL_S - 0.01  # 10 ms before the next query
        return True

    monkeypatch.setattr(resolver, "handle_response", handle)
    address = resolver._socket.open(silent_server.getsockname()).getsockname()
    for _ in range(2):
        silent_server.sendto(b"response", address)
    assert resolver.query(INTERVAL_S)
    assert seen == [0.0, INTERVAL_S - 0.01]


def test_a_response_of_the_former_server_is_rejected_once_it_has_moved(
    start_discovery: StartDiscovery,
) -> None:
    """The response is in flight when the new server address is set."""
    second = DiscoveryServer(lambda query, port: [dns_response(query, 6, ENTRIES[:1])])
    has_moved, ready = threading.Event(), threading.Event()

    def respond(query: bytes, port: int) -> list[bytes]:
        assert ready.wait(WAIT_S)
        if has_moved.is_set():
            return []
        observed.resolver.set_server(second.address)
        has_moved.set()
        return [dns_response(query, 9, ENTRIES)]

    _, observed = start_discovery(respond)
    ready.set()
    assert [spec.name for spec in observed.wait().updated] == ["s-1"]
    assert observed.endpoint_list.serial == 6
    assert observed.resolver.counts.rejected[Rejection.FORMER_SERVER] == 1
    second.close()


def test_older_lists_are_rejected_until_the_server_has_a_newer_one(start_discovery: StartDiscovery) -> None:
    serial, polled = [7], threading.Semaphore(0)

    def respond(query: bytes, port: int) -> list[bytes]:
        polled.release()
        return [dns_response(query, serial[0], ENTRIES if serial[0] == 7 else ENTRIES[:1])]

    _, observed = start_discovery(respond)
    observed.wait()
    serial[0] = 3
    for _ in range(10):
        assert polled.acquire(timeout=WAIT_S)
    assert len(observed.endpoint_list.specs) == 2
    assert observed.endpoint_list.serial == 7
    serial[0] = 8
    assert observed.wait().removed
    assert observed.endpoint_list.serial == 8


@pytest.mark.parametrize("is_refused", [True, False])
def test_queries_keep_their_interval_with_jitter_whether_refused_or_unanswered(
    monkeypatch: pytest.MonkeyPatch, observed: ObservedResolver, is_refused: bool
) -> None:
    """Guards against polling 20 times a second, since a refusal is received immediately."""
    now, queried_s = [0.0], list[float]()
    resolver = observed.resolver
    monkeypatch.setattr(resolver, "_clock", lambda: now[0])

    class ClockedEvent(threading.Event):
        def wait(self, timeout: float | None = None) -> bool:
            assert timeout is not None
            now[0] += timeout
            return self.is_set()

    def query(until_s: float) -> bool:
        queried_s.append(now[0])
        if len(queried_s) == 41:
            resolver._thread.stopping.set()
        if is_refused:
            raise ConnectionRefusedError
        now[0] = until_s
        return False

    monkeypatch.setattr(resolver._thread, "stopping", ClockedEvent())
    monkeypatch.setattr(resolver, "query", query)
    resolver._run()
    intervals_s = [later - earlier for earlier, later in pairwise(queried_s)]
    assert len(intervals_s) == 40
    shortest_s, longest_s = INTERVAL_S * (1 - POLL_JITTER), INTERVAL_S * (1 + POLL_JITTER)
    assert all(shortest_s - 1e-9 <= interval_s <= longest_s + 1e-9 for interval_s in intervals_s)
    assert len({round(interval_s, 6) for interval_s in intervals_s}) > 20


def test_the_current_socket_is_kept_when_no_file_descriptor_is_free(
    monkeypatch: pytest.MonkeyPatch, start_discovery: StartDiscovery
) -> None:
    silent, is_exhausted = threading.Event(), threading.Event()
    attempts: list[tuple[str, int]] = []

    def respond(query: bytes, port: int) -> list[bytes]:
        return (
            [] if silent.is_set() else [dns_response(query, 6 if is_exhausted.is_set() else 5, ENTRIES[:1])]
        )

    server, observed = start_discovery(respond)
    observed.wait()
    is_exhausted.set()
    silent.set()

    def fail(address: tuple[str, int]) -> socket.socket:
        attempts.append(address)
        raise OSError(24, "Too many open files")

    monkeypatch.setattr(server_socket, "connect_udp", fail)
    # On a busy machine a replacement may have happened before `fail` was set. The socket that is in use two
    # queries later is not replaced any more.
    before = len(server.ports)
    eventually(lambda: len(server.ports) >= before + 2, WAIT_S)
    queries, present = len(server.ports), server.ports[-1]
    eventually(lambda: attempts and len(server.ports) >= queries + 20, WAIT_S)
    silent.clear()
    eventually(lambda: observed.endpoint_list.serial == 6, WAIT_S)
    assert set(server.ports[queries:]) == {present}


def test_an_unresponsive_server_and_its_recovery_are_logged_once(
    observed: ObservedResolver, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = [0.0]
    monkeypatch.setattr(observed.resolver, "_clock", lambda: now[0])
    observed.resolver.last_response_s = 0.0
    for now[0], is_answered in ((2.0, False), (3.5, False), (4.0, False), (4.5, True), (5.0, True)):
        observed.resolver._log_responsiveness(is_answered)
    lines = [line.split(": ", 1)[1] for line in observed.log.getvalue().splitlines()]
    assert lines == [
        "discovery server does not respond elapsed_s=3.0 rejected={}",
        "discovery server responds again elapsed_s=4.5",
    ]
