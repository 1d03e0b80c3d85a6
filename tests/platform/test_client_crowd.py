"""The connection limit on real sockets: busy clients keep their connections while many others connect."""

from __future__ import annotations

import errno
import math
import socket
import threading
import time
from collections.abc import Iterator
from dataclasses import replace
from typing import Any

import pytest

from saffronstack.platform.connection import State
from saffronstack.platform.front import SHUTDOWN_TICK_S
from saffronstack.platform.service import Service
from saffronstack.platform.shutdown import Activity, Phase
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.support.platform import WAIT_S, Client, HostConnection, ScriptedHost, echo_calls, gateway
from tests.support.stack import eventually

SOCKETS = 160  # file descriptors: a limit of 57 client connections, of which clients may use 53
BUSY_CLIENTS = 7
NEW_CLIENTS = 20
SILENT_RESERVE = 4  # client connections beyond those 53
STEP_S = 0.04  # time between two requests of a busy client
STEPS_UNTIL_OVERDUE = 3  # steps after which a waiting client is overdue


HANGING_CALL_S = 600.0  # deadline of calls that are to stay open, however long a test takes


class ManualClock:
    """The clock of the frontend's thread; only a test advances it, until `resume`."""

    def __init__(self) -> None:
        self.now = time.monotonic()
        self._is_manual = True

    def __call__(self) -> float:
        return self.now if self._is_manual else time.monotonic()

    def resume(self) -> None:
        """Return the system's time from now on."""
        self._is_manual = False


class ClientPopulation:
    """Clients of a gateway up to its connection limit; the last of them are busy and send requests."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.clock = service.frontend.clock = ManualClock()
        service.frontend.limits = replace(
            service.frontend.limits, idle_timeout_s=60.0, message_timeout_s=60.0
        )
        self.clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
        self.busy, self.others = self.clients[-BUSY_CLIENTS:], self.clients[:-BUSY_CLIENTS]
        self._kept: list[Client] = []  # keeps references, since a collected client closes its connection

    def start_hanging_calls(self, clients: list[Client]) -> None:
        """Open one call per client, which no host answers."""
        for index, client in enumerate(clients):
            client.call(subject=index, timeout=int(HANGING_CALL_S * 1000))
        eventually(lambda: self.service.frontend.open_calls == len(clients))

    def end(self) -> None:
        """Close all clients and let the clock run, so that the gateway can shut down whatever failed."""
        for client in (*self.clients, *self.busy, *self._kept):
            client.sock.close()
        self.clock.resume()

    def connect_another(self) -> Client:
        """Connect a client; wait until the gateway evicts for it, exceeds the limit or lets it wait."""
        frontend = self.service.frontend
        before = (frontend.evicted, frontend.over_limit_accepted)
        client = Client(frontend.address)
        self._kept.append(client)
        eventually(
            lambda: (
                (frontend.evicted, frontend.over_limit_accepted) != before or not frontend._listener.is_polled
            )
        )
        return client

    def advance_clock(self) -> int:
        """Advance until a waiting client is overdue; return how many busy clients lost their connections."""
        lost = 0
        for _ in range(STEPS_UNTIL_OVERDUE):
            self.clock.now += STEP_S
            lost += self.send_checks()
        return lost

    def send_checks(self) -> int:
        """Send a request on each busy client in turn; return how many found their connections closed.

        Those reconnect at once and send nothing yet.
        """
        lost = 0
        for index, client in enumerate(self.busy):
            if not check(client):
                lost += 1
                self._kept.append(client)
                self.busy[index] = self.connect_another()
        return lost


class ListenerWithoutDescriptors:
    """A listener whose first accept fails for want of a file descriptor."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._has_failed = False

    def accept(self) -> Any:
        if not self._has_failed:
            self._has_failed = True
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listener.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


def connect_two_at_once(population: ClientPopulation) -> None:
    """Connect two clients, so that both are in the accept queue when one connection is free."""
    frontend = population.service.frontend
    connected = threading.Event()
    accept = frontend._accept

    def accept_later(now: float, max_accepted: int) -> int:
        assert connected.wait(WAIT_S)
        return accept(now, max_accepted)

    frontend._accept = accept_later  # type: ignore[method-assign]
    before = frontend.connections
    population._kept += [Client(frontend.address) for _ in range(2)]
    connected.set()
    eventually(lambda: frontend.connections > before + 1 or not frontend._listener.is_polled)


def check(client: Client) -> bool:
    """Return whether a request on the client's connection is answered."""
    client._tags += 1
    try:
        client.send(b"CHECK", b"%d" % client._tags, b"")
        return client.read()[:2] == (client._tags, "UP")
    except (EOFError, ConnectionError):
        return False


def count_answered(clients: list[Client]) -> int:
    """Return how many of the clients are answered."""
    return [check(client) for client in clients].count(True)


@pytest.fixture
def population() -> Iterator[ClientPopulation]:
    host = ScriptedHost(lambda connection, message: None)  # answers no call
    directory = StubDnsServer(HostEntry("s-1", host.address))
    with gateway(directory, SOCKETS, HANGING_CALL_S) as service:
        population = ClientPopulation(service)
        try:
            yield population
        finally:
            population.end()
    host.close()


def test_while_calls_hang_new_clients_evict_no_busy_client(
    population: ClientPopulation,
) -> None:
    """Guards against evicting a busy client that is between an answer and its next request."""
    population.start_hanging_calls(population.others)
    lost = population.send_checks()
    for _ in range(NEW_CLIENTS):
        new_client = population.connect_another()
        assert not population.service.frontend._listener.is_polled, (
            "the client waits, even if earlier ones waited long"
        )
        lost += population.send_checks()
        lost += population.advance_clock()
        assert check(new_client), "the client is answered in the end"
    assert lost == 0


def test_a_connection_becomes_idle_when_its_answer_is_sent() -> None:
    """Guards against counting idle time from the request.

    A connection would then be the longest idle one as soon as a long call on it ends.
    """
    received, release = threading.Event(), threading.Event()

    def answer_late(connection: HostConnection, message: dict[str, Any]) -> None:
        received.set()
        release.wait(WAIT_S)
        echo_calls(connection, message)

    host = ScriptedHost(answer_late)
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        client.call()
        assert received.wait(WAIT_S)
        connection = next(iter(service.frontend._connections.values()))
        assert connection.idle_since(math.inf) == math.inf
        released_s = time.monotonic()
        release.set()
        assert client.read()[1] == "OK"
        assert eventually(lambda: connection.idle)
        assert released_s <= connection.idle_since(math.inf) <= time.monotonic()
    host.close()


@pytest.mark.parametrize("is_closed", [True, False])
def test_a_refused_client_that_goes_on_is_served_once_there_is_room(
    population: ClientPopulation, is_closed: bool
) -> None:
    """Guards against rejecting every request of an over-limit client even when there is capacity."""
    population.start_hanging_calls(population.clients)
    over_limit_client = population.connect_another()
    over_limit_client.call(subject=99)
    assert over_limit_client.read()[1] == "BUSY"
    leaving = population.clients[0]
    if is_closed:
        leaving.sock.close()
    else:
        leaving.send(b"CANCEL", b"1")
    eventually(lambda: population.service.frontend.open_calls == len(population.clients) - 1)
    population.clock.now += 0.2
    over_limit_client.call(subject=99)
    eventually(lambda: population.service.frontend.open_calls == len(population.clients))


def test_new_clients_that_write_after_a_delay_do_not_evict_each_other(
    population: ClientPopulation,
) -> None:
    """Guards against evicting a new client that has sent nothing yet when the next one connects."""
    assert count_answered(population.clients) == len(population.clients)
    population.clock.now += 1.0
    new_clients = [population.connect_another() for _ in range(SILENT_RESERVE)]
    assert count_answered(new_clients) == SILENT_RESERVE
    assert population.send_checks() == 0


def test_a_flood_of_silent_clients_evicts_no_more_clients_than_the_reserve(
    population: ClientPopulation,
) -> None:
    assert count_answered(population.clients) == len(population.clients)
    population.clock.now += 1.0
    assert population.send_checks() == 0
    evicted = population.service.frontend.evicted
    flood = [population.connect_another() for _ in range(100)]
    assert population.advance_clock() == 0
    eventually(lambda: population.service.frontend.evicted == evicted + len(flood))
    assert len(population.others) - count_answered(population.others) <= SILENT_RESERVE
    assert count_answered(flood) <= SILENT_RESERVE


def test_new_hanging_and_silent_clients_together_evict_no_busy_client(
    population: ClientPopulation,
) -> None:
    """Guards against a chain of evictions: an evicted client reconnects at once and evicts the next one."""
    assert count_answered(population.clients) == len(population.clients)
    population.start_hanging_calls(population.others[SILENT_RESERVE:])
    population.clock.now += 1.0
    lost = population.send_checks()
    for index in range(NEW_CLIENTS):
        population.connect_another()
        population.connect_another().call(subject=index)
        lost += population.advance_clock()
    assert lost == 0


def test_the_wait_of_a_served_client_is_not_counted_for_the_next_client(
    population: ClientPopulation,
) -> None:
    """Guards against keeping the waiting time of a client after it is accepted.

    The next client that connected while all connections were in use was then rejected at once as overdue.
    """
    assert count_answered(population.clients) == len(population.clients)
    delayed_client = population.connect_another()
    assert not population.service.frontend._listener.is_polled
    leaving, staying = population.clients[:2], population.clients[2:]
    for client in leaving:
        client.sock.close()
    assert check(delayed_client)
    eventually(lambda: population.service.frontend.connections == len(staying) + 1)
    population.clock.now += 30.0
    assert count_answered([*staying, delayed_client]) == len(staying) + 1
    connect_two_at_once(population)
    assert not population.service.frontend._listener.is_polled, (
        "the second client waits until a connection is idle long enough"
    )
    assert (population.service.frontend.evicted, population.service.frontend.over_limit_accepted) == (0, 0)


def test_a_past_descriptor_shortage_makes_no_later_client_overdue(
    population: ClientPopulation,
) -> None:
    frontend = population.service.frontend
    assert count_answered(population.clients) == len(population.clients)
    population.clients.pop().sock.close()
    population.clients.pop().sock.close()
    eventually(lambda: frontend.connections == len(population.clients))
    listener = frontend._listener.sock
    frontend._listener.sock = ListenerWithoutDescriptors(listener)  # type: ignore[assignment]
    population.clients.append(Client(frontend.address))
    eventually(lambda: not frontend._listener.is_polled)
    population.clock.now += 1.0
    assert count_answered(population.clients) == len(population.clients)
    frontend._listener.sock = listener
    population.clock.now += 30.0
    assert count_answered(population.clients) == len(population.clients)
    connect_two_at_once(population)
    assert not frontend._listener.is_polled, "the second client waits until a connection is idle long enough"
    assert (frontend.evicted, frontend.over_limit_accepted) == (0, 0)


def test_a_refused_client_whose_bytes_nobody_reads_takes_no_clients_place(
    population: ClientPopulation,
) -> None:
    """Guards against evicting an idle client for an over-limit client whose bytes are not parsed any more."""
    frontend = population.service.frontend
    population.start_hanging_calls(population.clients)
    over_limit_client = population.connect_another()
    over_limit_client.sock.sendall(b"*nonsense\r\n")
    connection = next(each for each in frontend._connections.values() if each.is_over_limit)
    eventually(lambda: connection.state is State.LINGERING)
    population.clients[0].send(b"CANCEL", b"1")
    eventually(lambda: frontend.open_calls == len(population.clients) - 1)
    population.clock.now += 0.2
    left_bytes = connection._linger_bytes_left
    over_limit_client.sock.sendall(b"more\r\n")
    eventually(lambda: connection._linger_bytes_left < left_bytes)
    over_limit_client.sock.close()  # the gateway's clock stands still, so the gateway never closes it
    assert (frontend.evicted, connection.is_over_limit) == (0, True)


def test_while_flushing_the_clients_thread_sleeps_between_polls() -> None:
    """Guards against polling without a timeout after the listener is closed, which takes a whole CPU."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        frontend = service.frontend
        poll_s, activity = frontend._poll_timeout_s, frontend._activity
        timeouts_s: list[float] = []

        def record_timeout(now: float, tick_s: float) -> float:
            if frontend.phase is Phase.FLUSHING:
                timeouts_s.append(poll_s(now, tick_s))
            return poll_s(now, tick_s)

        def activity_while_flushing() -> Activity:
            return replace(activity(), unanswered=frontend.phase is Phase.FLUSHING)

        frontend._poll_timeout_s = record_timeout  # type: ignore[method-assign]
        frontend._activity = activity_while_flushing  # type: ignore[method-assign]
        service.stop(min_drain_s=0.0, quiet_s=0.0)
        assert frontend.wait_closed(WAIT_S)
    assert set(timeouts_s) == {SHUTDOWN_TICK_S}
    host.close()
