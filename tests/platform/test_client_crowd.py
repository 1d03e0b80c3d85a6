"""Clients at work beside a crowd, on real sockets in a forced order: none of them loses its connection."""

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
from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import WAIT_S, Client, HostConnection, ScriptedHost, echo, gateway
from tests.support.stack import eventually

SOCKETS = 160  # descriptors: room for 57 client connections, 53 of which clients may use
BUSY_CLIENTS = 7
NEW_CLIENTS = 20
SILENT_RESERVE = 4  # places beyond those
STEP_S = 0.04  # a busy client asks again this soon
STEPS_UNTIL_OVERDUE = 3  # until a newcomer that waits has to be let in


class ManualClock:
    """The time of the clients' thread; it passes when a test says so."""

    def __init__(self) -> None:
        self.now = time.monotonic()

    def __call__(self) -> float:
        return self.now


class ClientPopulation:
    """A gateway's clients: as many as there is room for, and the last of them at work."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.clock = service.frontend.clock = ManualClock()
        service.frontend.limits = replace(
            service.frontend.limits, idle_timeout_s=60.0, message_timeout_s=60.0
        )
        self.clients = [Client(service.frontend.address) for _ in range(service.budget.clients)]
        self.busy, self.others = self.clients[-BUSY_CLIENTS:], self.clients[:-BUSY_CLIENTS]
        self._kept: list[Client] = []  # a client that nobody refers to would close its connection

    def start_hanging_calls(self, clients: list[Client]) -> None:
        """Each of them has a call open that no host answers."""
        for index, client in enumerate(clients):
            client.call(subject=index)
        eventually(lambda: self.service.frontend.open_calls == len(clients))

    def connect_another(self) -> Client:
        """One more client, right after the gateway has made room for it, or found that it has to wait."""
        frontend = self.service.frontend
        before = (frontend.evicted, frontend.over_limit_accepted)
        client = Client(frontend.address)
        self._kept.append(client)
        eventually(
            lambda: (frontend.evicted, frontend.over_limit_accepted) != before or not frontend._listening
        )
        return client

    def advance_clock(self) -> int:
        """Until a newcomer has waited for as long as it may; how many busy clients lost their connections."""
        lost = 0
        for _ in range(STEPS_UNTIL_OVERDUE):
            self.clock.now += STEP_S
            lost += self.send_checks()
        return lost

    def send_checks(self) -> int:
        """The busy clients ask, each after the one before; how many found their connections closed. Those
        connect again at once, and say nothing yet.
        """
        lost = 0
        for index, client in enumerate(self.busy):
            if not check(client):
                lost += 1
                self._kept.append(client)
                self.busy[index] = self.connect_another()
        return lost


class ListenerWithoutDescriptors:
    """The system has no descriptor for the first connection that comes."""

    def __init__(self, listener: socket.socket) -> None:
        self._listener = listener
        self._refused = False

    def accept(self) -> Any:
        if not self._refused:
            self._refused = True
            raise OSError(errno.EMFILE, "Too many open files")
        return self._listener.accept()

    def __getattr__(self, name: str) -> Any:
        return getattr(self._listener, name)


def connect_two_at_once(population: ClientPopulation) -> None:
    """Both lie in the listener's queue when the clients' thread looks at it, which has room for one."""
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
    eventually(lambda: frontend.connections > before + 1 or not frontend._listening)


def check(client: Client) -> bool:
    """Whether a client that uses its connection now is answered on it."""
    client._tags += 1
    try:
        client.send(b"CHECK", b"%d" % client._tags, b"")
        return client.read()[:2] == (client._tags, "UP")
    except (EOFError, ConnectionError):
        return False


def count_answered(clients: list[Client]) -> int:
    """How many of them are."""
    return [check(client) for client in clients].count(True)


@pytest.fixture
def population() -> Iterator[ClientPopulation]:
    host = ScriptedHost(lambda connection, message: None)  # it answers no call
    with gateway(Directory(Entry("s-1", host.address)), sockets=SOCKETS) as service:
        yield ClientPopulation(service)
    host.close()


def test_while_calls_hang_new_clients_evict_no_busy_client(
    population: ClientPopulation,
) -> None:
    """Each newcomer used to close one that was between an answer and its next request."""
    population.start_hanging_calls(population.others)
    lost = population.send_checks()
    for _ in range(NEW_CLIENTS):
        new_client = population.connect_another()
        assert not population.service.frontend._listening, "it waits, however long those before it did"
        lost += population.send_checks()
        lost += population.advance_clock()
        assert check(new_client), "it is answered all the same"
    assert lost == 0


def test_a_connection_becomes_idle_when_its_answer_is_sent() -> None:
    """It counted from the request: after a long call it was the longest idle one as soon as that ended."""
    received, release = threading.Event(), threading.Event()

    def answer_late(connection: HostConnection, message: dict[str, Any]) -> None:
        received.set()
        release.wait(WAIT_S)
        echo(connection, message)

    host = ScriptedHost(answer_late)
    with gateway(Directory(Entry("s-1", host.address))) as service:
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
    """It was refused for as long as it went on."""
    population.start_hanging_calls(population.clients)
    refused = population.connect_another()
    refused.call(subject=99)
    assert refused.read()[1] == "BUSY"
    leaving = population.clients[0]
    if is_closed:
        leaving.sock.close()
    else:
        leaving.send(b"CANCEL", b"1")
    eventually(lambda: population.service.frontend.open_calls == len(population.clients) - 1)
    population.clock.now += 0.2
    refused.call(subject=99)
    eventually(lambda: population.service.frontend.open_calls == len(population.clients))


def test_new_clients_that_write_after_a_delay_do_not_evict_each_other(
    population: ClientPopulation,
) -> None:
    """The next one used to close the one before, which had not spoken yet."""
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
    """Those whose connections were closed connected again at once, and closed the next."""
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
    """The next one that came while all were in use, however much later, was refused at once as overdue."""
    assert count_answered(population.clients) == len(population.clients)
    delayed_client = population.connect_another()
    assert not population.service.frontend._listening
    leaving, staying = population.clients[:2], population.clients[2:]
    for client in leaving:
        client.sock.close()
    assert check(delayed_client)
    eventually(lambda: population.service.frontend.connections == len(staying) + 1)
    population.clock.now += 30.0
    assert count_answered([*staying, delayed_client]) == len(staying) + 1
    connect_two_at_once(population)
    assert not population.service.frontend._listening, (
        "the second waits until one has been idle for long enough"
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
    listener = frontend._listener
    frontend._listener = ListenerWithoutDescriptors(listener)  # type: ignore[assignment]
    population.clients.append(Client(frontend.address))
    eventually(lambda: not frontend._listening)
    population.clock.now += 1.0
    assert count_answered(population.clients) == len(population.clients)
    frontend._listener = listener
    population.clock.now += 30.0
    assert count_answered(population.clients) == len(population.clients)
    connect_two_at_once(population)
    assert not frontend._listening, "the second waits until one has been idle for long enough"
    assert (frontend.evicted, frontend.over_limit_accepted) == (0, 0)


def test_a_refused_client_whose_bytes_nobody_reads_takes_no_clients_place(
    population: ClientPopulation,
) -> None:
    """What it sent was no request: a client's idle connection was closed for it all the same."""
    frontend = population.service.frontend
    population.start_hanging_calls(population.clients)
    refused = population.connect_another()
    refused.sock.sendall(b"*nonsense\r\n")
    connection = next(each for each in frontend._connections.values() if each.is_over_limit)
    eventually(lambda: connection.state is State.LINGERING)
    population.clients[0].send(b"CANCEL", b"1")
    eventually(lambda: frontend.open_calls == len(population.clients) - 1)
    population.clock.now += 0.2
    left_bytes = connection._linger_bytes_left
    refused.sock.sendall(b"more\r\n")
    eventually(lambda: connection._linger_bytes_left < left_bytes)
    refused.sock.close()  # by this clock the gateway would never end it
    assert (frontend.evicted, connection.is_over_limit) == (0, True)


def test_while_flushing_the_clients_thread_sleeps_between_polls() -> None:
    """The listener is closed then: waiting for nobody, the thread took the whole processor."""
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address))) as service:
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
