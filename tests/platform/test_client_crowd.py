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
from saffronstack.platform.front import STOPPING_TICK_S
from saffronstack.platform.service import Service
from saffronstack.platform.shutdown import Activity, Phase
from saffronstack.standin.platform import Directory, Entry
from tests.support.platform import WAIT_S, Client, HostConnection, ScriptedHost, echo, gateway
from tests.support.stack import eventually

SOCKETS = 160  # descriptors: room for 57 client connections, 53 of which clients may use
BUSY = 7
NEWCOMERS = 20
RESERVE = 4  # places beyond those
STEP_S = 0.04  # a busy client asks again this soon
STEPS = 3  # until a newcomer that waits has to be let in


class ManualClock:
    """The time of the clients' thread; it passes when a test says so."""

    def __init__(self) -> None:
        self.now = time.monotonic()

    def __call__(self) -> float:
        return self.now


class Crowd:
    """A gateway's clients: as many as there is room for, and the last of them at work."""

    def __init__(self, service: Service) -> None:
        self.service = service
        self.clock = service.front.clock = ManualClock()
        service.front.limits = replace(service.front.limits, idle_s=60.0, message_s=60.0)
        self.clients = [Client(service.front.address) for _ in range(service.budget.clients)]
        self.busy, self.others = self.clients[-BUSY:], self.clients[:-BUSY]
        self._kept: list[Client] = []  # a client that nobody refers to would close its connection

    def hang(self, clients: list[Client]) -> None:
        """Each of them has a call open that no host answers."""
        for place, client in enumerate(clients):
            client.call(subject=place)
        eventually(lambda: self.service.front.open_calls == len(clients))

    def newcomer(self) -> Client:
        """One more client, right after the gateway has made room for it, or found that it has to wait."""
        front = self.service.front
        before = (front.evicted, front.overflowed)
        client = Client(front.address)
        self._kept.append(client)
        eventually(lambda: (front.evicted, front.overflowed) != before or not front._listening)
        return client

    def pass_time(self) -> int:
        """Until a newcomer has waited for as long as it may; how many busy clients lost their connections."""
        lost = 0
        for _ in range(STEPS):
            self.clock.now += STEP_S
            lost += self.work()
        return lost

    def work(self) -> int:
        """The busy clients ask, each after the one before; how many found their connections closed. Those
        connect again at once, and say nothing yet.
        """
        lost = 0
        for place, client in enumerate(self.busy):
            if not check(client):
                lost += 1
                self._kept.append(client)
                self.busy[place] = self.newcomer()
        return lost


class ScarceListener:
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


def two_come_at_once(crowd: Crowd) -> None:
    """Both lie in the listener's queue when the clients' thread looks at it, which has room for one."""
    front = crowd.service.front
    come = threading.Event()
    accept = front._accept

    def accept_later(now: float, max_accepted: int) -> int:
        assert come.wait(WAIT_S)
        return accept(now, max_accepted)

    front._accept = accept_later  # type: ignore[method-assign]
    before = front.connections
    crowd._kept += [Client(front.address) for _ in range(2)]
    come.set()
    eventually(lambda: front.connections > before + 1 or not front._listening)


def check(client: Client) -> bool:
    """Whether a client that uses its connection now is answered on it."""
    client._tags += 1
    try:
        client.send(b"CHECK", b"%d" % client._tags, b"")
        return client.read()[:2] == (client._tags, "UP")
    except (EOFError, ConnectionError):
        return False


def answered(clients: list[Client]) -> int:
    """How many of them are."""
    return [check(client) for client in clients].count(True)


@pytest.fixture
def crowd() -> Iterator[Crowd]:
    host = ScriptedHost(lambda connection, message: None)  # it answers no call
    with gateway(Directory(Entry("s-1", host.address)), sockets=SOCKETS) as service:
        yield Crowd(service)
    host.close()


def test_beside_hanging_calls_newcomers_close_no_busy_clients_connection(crowd: Crowd) -> None:
    """Each newcomer used to close one that was between an answer and its next request."""
    crowd.hang(crowd.others)
    lost = crowd.work()
    for _ in range(NEWCOMERS):
        newcomer = crowd.newcomer()
        assert not crowd.service.front._listening, "it waits, however long those before it did"
        lost += crowd.work()
        lost += crowd.pass_time()
        assert check(newcomer), "it is answered all the same"
    assert lost == 0


def test_a_connection_is_idle_from_its_answer_on() -> None:
    """It counted from the request: after a long call it was the longest idle one as soon as that ended."""
    asked, release = threading.Event(), threading.Event()

    def late(connection: HostConnection, message: dict[str, Any]) -> None:
        asked.set()
        release.wait(WAIT_S)
        echo(connection, message)

    host = ScriptedHost(late)
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        client.call()
        assert asked.wait(WAIT_S)
        connection = next(iter(service.front._connections.values()))
        assert connection.idle_since(math.inf) == math.inf
        released_s = time.monotonic()
        release.set()
        assert client.read()[1] == "OK"
        assert eventually(lambda: connection.idle)
        assert released_s <= connection.idle_since(math.inf) <= time.monotonic()
    host.close()


@pytest.mark.parametrize("is_closed", [True, False])
def test_a_refused_client_that_goes_on_is_served_once_there_is_room(crowd: Crowd, is_closed: bool) -> None:
    """It was refused for as long as it went on."""
    crowd.hang(crowd.clients)
    refused = crowd.newcomer()
    refused.call(subject=99)
    assert refused.read()[1] == "BUSY"
    leaving = crowd.clients[0]
    if is_closed:
        leaving.sock.close()
    else:
        leaving.send(b"CANCEL", b"1")
    eventually(lambda: crowd.service.front.open_calls == len(crowd.clients) - 1)
    crowd.clock.now += 0.2
    refused.call(subject=99)
    eventually(lambda: crowd.service.front.open_calls == len(crowd.clients))


def test_newcomers_that_write_a_moment_later_leave_each_other_their_connections(crowd: Crowd) -> None:
    """The next one used to close the one before, which had not spoken yet."""
    assert answered(crowd.clients) == len(crowd.clients)
    crowd.clock.now += 1.0
    newcomers = [crowd.newcomer() for _ in range(RESERVE)]
    assert answered(newcomers) == RESERVE
    assert crowd.work() == 0


def test_a_silent_flood_takes_no_place_of_a_client_within_its_third(crowd: Crowd) -> None:
    assert answered(crowd.clients) == len(crowd.clients)
    crowd.clock.now += 1.0
    assert crowd.work() == 0
    evicted = crowd.service.front.evicted
    flood = [crowd.newcomer() for _ in range(100)]
    assert crowd.pass_time() == 0
    eventually(lambda: crowd.service.front.evicted == evicted + len(flood))
    assert len(crowd.others) - answered(crowd.others) <= RESERVE
    assert answered(flood) <= RESERVE


def test_asked_once_hanging_and_silent_newcomers_at_once_close_no_busy_client(crowd: Crowd) -> None:
    """Those whose connections were closed connected again at once, and closed the next."""
    assert answered(crowd.clients) == len(crowd.clients)
    crowd.hang(crowd.others[RESERVE:])
    crowd.clock.now += 1.0
    lost = crowd.work()
    for place in range(NEWCOMERS):
        crowd.newcomer()
        crowd.newcomer().call(subject=place)
        lost += crowd.pass_time()
    assert lost == 0


def test_a_newcomer_that_waited_and_was_served_takes_its_waiting_time_along(crowd: Crowd) -> None:
    """The next one that came while all were in use, however much later, was refused at once as overdue."""
    assert answered(crowd.clients) == len(crowd.clients)
    waited = crowd.newcomer()
    assert not crowd.service.front._listening
    leaving, staying = crowd.clients[:2], crowd.clients[2:]
    for client in leaving:
        client.sock.close()
    assert check(waited)
    eventually(lambda: crowd.service.front.connections == len(staying) + 1)
    crowd.clock.now += 30.0
    assert answered([*staying, waited]) == len(staying) + 1
    two_come_at_once(crowd)
    assert not crowd.service.front._listening, "the second waits until one has been idle for long enough"
    assert (crowd.service.front.evicted, crowd.service.front.overflowed) == (0, 0)


def test_want_of_a_descriptor_that_is_over_makes_no_later_newcomer_overdue(crowd: Crowd) -> None:
    front = crowd.service.front
    assert answered(crowd.clients) == len(crowd.clients)
    crowd.clients.pop().sock.close()
    crowd.clients.pop().sock.close()
    eventually(lambda: front.connections == len(crowd.clients))
    listener = front._listener
    front._listener = ScarceListener(listener)  # type: ignore[assignment]
    crowd.clients.append(Client(front.address))
    eventually(lambda: not front._listening)
    crowd.clock.now += 1.0
    assert answered(crowd.clients) == len(crowd.clients)
    front._listener = listener
    crowd.clock.now += 30.0
    assert answered(crowd.clients) == len(crowd.clients)
    two_come_at_once(crowd)
    assert not front._listening, "the second waits until one has been idle for long enough"
    assert (front.evicted, front.overflowed) == (0, 0)


def test_a_refused_client_whose_bytes_nobody_reads_takes_no_clients_place(crowd: Crowd) -> None:
    """What it sent was no request: a client's idle connection was closed for it all the same."""
    front = crowd.service.front
    crowd.hang(crowd.clients)
    refused = crowd.newcomer()
    refused.sock.sendall(b"*nonsense\r\n")
    connection = next(each for each in front._connections.values() if each.is_over_limit)
    eventually(lambda: connection.state is State.LINGERING)
    crowd.clients[0].send(b"CANCEL", b"1")
    eventually(lambda: front.open_calls == len(crowd.clients) - 1)
    crowd.clock.now += 0.2
    left_bytes = connection._linger_bytes
    refused.sock.sendall(b"more\r\n")
    eventually(lambda: connection._linger_bytes < left_bytes)
    refused.sock.close()  # by this clock the gateway would never end it
    assert (front.evicted, connection.is_over_limit) == (0, True)


def test_while_the_last_answers_are_written_the_clients_thread_waits_between_looks() -> None:
    """The listener is closed then: waiting for nobody, the thread took the whole processor."""
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address))) as service:
        front = service.front
        poll_s, activity = front._poll_s, front._activity
        waits_s: list[float] = []

        def seen(now: float, tick_s: float) -> float:
            if front.phase is Phase.FLUSHING:
                waits_s.append(poll_s(now, tick_s))
            return poll_s(now, tick_s)

        def unwritten() -> Activity:
            return replace(activity(), unanswered=front.phase is Phase.FLUSHING)

        front._poll_s = seen  # type: ignore[method-assign]
        front._activity = unwritten  # type: ignore[method-assign]
        service.stop(min_drain_s=0.0, quiet_s=0.0)
        assert front.wait_closed(WAIT_S)
    assert set(waits_s) == {STOPPING_TICK_S}
    host.close()
