"""Every result of an attempt comes from something on a socket: a scripted worker causes each."""

from __future__ import annotations

import queue
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass

import pytest

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import CacheStatus, Result
from saffronstack.upstream.events import EngineEvent
from saffronstack.upstream.http.dispatcher import HttpDispatcher
from saffronstack.upstream.http.worker_context import HttpPoolLimits
from tests.support.unscheduled_threads import returns_without_new_threads

SPEC = FunctionSpec("f", 5, 0, 64.0)
WORKER_ID = 9
WAIT_S = 5.0  # a bound, never waited out where things go right
SHORT_S = 0.4  # a deadline that passes before a worker that waits answers
Script = Callable[[socket.socket], None]


class Scripted:
    """Accepts connections and lets the script talk on each, one after another."""

    def __init__(self, script: Script) -> None:
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.port: int = self.listener.getsockname()[1]
        self.connections = 0
        self.requests = 0
        self.script = script
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            self.connections += 1
            threading.Thread(target=self._talk, args=(sock,), daemon=True).start()

    def _talk(self, sock: socket.socket) -> None:
        sock.settimeout(5)
        try:
            while self.read(sock):
                self.requests += 1
                self.script(sock)
        except OSError:
            return  # the gateway broke the connection, as some tests have it
        finally:
            sock.close()

    @staticmethod
    def read(sock: socket.socket) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            more = sock.recv(65536)
            if not more:
                return False
            data += more
        return True


def answering(data: bytes, then: Script | None = None) -> Script:
    def script(sock: socket.socket) -> None:
        sock.sendall(data)
        if then is not None:
            then(sock)

    return script


def close(sock: socket.socket) -> None:
    sock.close()


def reset(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def wait(sock: socket.socket) -> None:
    time.sleep(1.0)


@dataclass
class Upstream:
    """A dispatcher with one scripted worker; what it reports goes to a queue."""

    worker: Scripted
    dispatcher: HttpDispatcher
    events: queue.SimpleQueue[EngineEvent]

    def list_worker(self, draining: bool = False) -> None:
        """Put the worker on the endpoint list."""
        spec = WorkerSpec(WORKER_ID, "w", "127.0.0.1", self.worker.port, is_draining=draining)
        self.dispatcher.replace_workers([spec])

    def send(self, call: Call) -> AttemptResult:
        """Send an attempt and return its end."""
        self.dispatcher.send(call, 0, WORKER_ID, 0.0)
        return self.next_end()

    def next_end(self) -> AttemptResult:
        """Return the next end of an attempt."""
        while True:
            event = self.events.get(timeout=WAIT_S)
            if isinstance(event, AttemptResult):
                return event

    def next_command_end(self) -> CommandResult:
        """Return the next event, the end of a command."""
        event = self.events.get(timeout=WAIT_S)
        assert isinstance(event, CommandResult)
        return event


Start = Callable[..., Upstream]


@pytest.fixture
def start() -> Iterator[Start]:
    """Starts dispatchers over a worker with a script, within given limits; all end with the test."""
    started: list[Upstream] = []

    def start_one(script: Script, limits: HttpPoolLimits | None = None) -> Upstream:
        events: queue.SimpleQueue[EngineEvent] = queue.SimpleQueue()
        dispatcher = HttpDispatcher(limits or HttpPoolLimits(), events.put, time.monotonic)
        upstream = Upstream(Scripted(script), dispatcher, events)
        upstream.list_worker()
        started.append(upstream)
        return upstream

    yield start_one
    for upstream in started:
        upstream.dispatcher.stop()
        upstream.worker.listener.close()


def call(number: int = 1, timeout_s: float = WAIT_S) -> Call:
    return Call(number, f"id-{number}", SPEC, b"", time.monotonic() + timeout_s)


OK = b"HTTP/1.1 200 OK\r\nX-Saffron-Found: warm\r\nX-Saffron-Crowd: 3\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (answering(OK), Result.OK),
        (answering(b"HTTP/1.1 429 x\r\nX-Saffron-Ran: no\r\nContent-Length: 0\r\n\r\n"), Result.AT_CAPACITY),
        (answering(b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answering(b"HTTP/1.1 404 x\r\nX-Saffron-Ran: no\r\nContent-Length: 0\r\n\r\n"), Result.NOT_LOADED),
        (answering(b"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answering(b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (answering(b"HTTP/1.1 302 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (wait, Result.TIMEOUT),
        (answering(OK[:-1], wait), Result.TIMEOUT),
        (close, Result.RESET),
        (reset, Result.RESET),
        (answering(OK[:20], close), Result.RESET),
        (answering(OK[:-1], reset), Result.RESET),
        (answering(b"garbage\r\n\r\n"), Result.RESET),
        (answering(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}"), Result.RESET),
    ],
)
def test_results_by_what_the_worker_does(start: Start, script: Script, result: Result) -> None:
    upstream = start(script)
    made = call(timeout_s=SHORT_S if result is Result.TIMEOUT else WAIT_S)
    end = upstream.send(made)
    assert end.outcome.result is result
    assert end.outcome.is_final == made.is_finished == (result is Result.OK)
    if result is Result.OK:
        assert (end.outcome.cache_status, end.outcome.concurrency) == (CacheStatus.WARM, 3)
    assert upstream.worker.requests == 1


def test_a_worker_that_does_not_listen_is_not_reached(start: Start) -> None:
    upstream = start(answering(OK))
    upstream.worker.listener.close()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    upstream.dispatcher.replace_workers([WorkerSpec(WORKER_ID, "w", "127.0.0.1", port)])
    assert upstream.send(call()).outcome.result is Result.CONNECT_FAILED


def test_nothing_is_sent_to_a_worker_that_is_not_listed(start: Start) -> None:
    upstream = start(answering(OK))
    upstream.dispatcher.send(call(2), 0, 77, 0.0)
    assert upstream.next_end().outcome.result is Result.NOT_STARTED
    upstream.dispatcher.load_function(77, SPEC, 2)
    assert upstream.next_command_end() == CommandResult(77, Result.CONNECT_FAILED, 0.0, SPEC.number)


def test_an_attempt_past_its_deadline_is_not_sent(start: Start) -> None:
    upstream = start(answering(OK))
    assert upstream.send(call(1, -0.1)).outcome.result is Result.NOT_STARTED
    assert upstream.worker.requests == 0


def test_an_attempt_that_its_guard_forbids_is_not_sent(start: Start) -> None:
    class Never:
        def may_send(self, attempt: int, worker_id: int) -> bool:
            return False

    upstream, guarded = start(answering(OK)), call(2)
    guarded.guard = Never()
    assert upstream.send(guarded).outcome.result is Result.NOT_STARTED
    assert upstream.worker.requests == 0


def test_nothing_new_is_sent_to_a_worker_while_it_drains(start: Start) -> None:
    upstream = start(answering(OK))
    upstream.list_worker(draining=True)
    assert upstream.send(call(3)).outcome.result is Result.NOT_STARTED
    upstream.dispatcher.load_function(WORKER_ID, SPEC, 2)
    assert upstream.next_command_end().result is Result.AT_CAPACITY
    assert upstream.worker.requests == 0
    upstream.list_worker()
    assert upstream.send(call(4)).outcome.result is Result.OK


def test_a_cancelled_attempt_ends_at_once(start: Start) -> None:
    upstream, made = start(wait), call()
    started_s = time.monotonic()
    upstream.dispatcher.send(made, 0, WORKER_ID, 0.0)
    while not upstream.worker.requests:
        time.sleep(0.005)
    upstream.dispatcher.cancel(made, 0)
    assert upstream.next_end().outcome.result is Result.CANCELLED
    assert time.monotonic() - started_s < 0.9


def test_more_attempts_than_connections_are_full(start: Start) -> None:
    upstream = start(wait, HttpPoolLimits(connections=1))
    upstream.dispatcher.send(call(1, SHORT_S), 0, WORKER_ID, 0.0)
    first = upstream.send(call(2, SHORT_S))
    assert (first.call.number, first.outcome.result) == (2, Result.AT_CAPACITY)
    assert upstream.next_end().outcome.result is Result.TIMEOUT


def test_a_kept_connection_that_the_worker_closed_is_made_anew_and_nothing_is_lost(start: Start) -> None:
    upstream = start(answering(OK, close))
    for number in range(1, 6):
        assert upstream.send(call(number)).outcome.result is Result.OK
        time.sleep(0.02)
    assert upstream.worker.connections == upstream.worker.requests == 5


def test_a_connection_that_is_kept_alive_carries_the_next_request(start: Start) -> None:
    upstream = start(answering(OK))
    for number in range(1, 4):
        assert upstream.send(call(number)).outcome.result is Result.OK
        time.sleep(0.02)
    assert (upstream.worker.connections, upstream.worker.requests) == (1, 3)
    assert upstream.dispatcher.connection_count == 1


def test_bytes_that_nobody_asked_for_end_a_connection(start: Start) -> None:
    upstream = start(answering(OK + OK))
    for number in range(1, 4):
        assert upstream.send(call(number)).outcome.result is Result.OK
        time.sleep(0.02)
    assert upstream.worker.connections == 3


def test_a_new_incarnation_is_reported_and_invalid_numbers_are_not(start: Start) -> None:
    lives = iter(["a", "a", "b"])

    def script(sock: socket.socket) -> None:
        head = f"HTTP/1.1 200 OK\r\nX-Saffron-Incarnation: {next(lives)}\r\nX-Saffron-Uptime-Ms: 1500\r\n"
        sock.sendall(
            f"{head}X-Saffron-Crowd: -3\r\nX-Saffron-Busy: nan\r\nContent-Length: 0\r\n\r\n".encode()
        )

    upstream = start(script)
    observed: list[WorkerObservation] = []
    for number in range(1, 4):
        upstream.dispatcher.send(call(number), 0, WORKER_ID, 0.0)
        event = upstream.events.get(timeout=WAIT_S)
        if isinstance(event, WorkerObservation):
            observed.append(event)
            event = upstream.events.get(timeout=WAIT_S)
        assert isinstance(event, AttemptResult)
        assert (event.outcome.concurrency, event.outcome.load_report) == (None, None)
    assert observed == [WorkerObservation(WORKER_ID, "a", 1.5), WorkerObservation(WORKER_ID, "b", 1.5)]


@pytest.mark.parametrize(
    ("instances", "response", "ended"),
    [
        (2, b"200 OK\r\nContent-Length: 1\r\n\r\n2", (Result.OK, 2, None)),
        (3, b"429 x\r\nContent-Length: 1\r\n\r\n1", (Result.AT_CAPACITY, 1, None)),
        (0, b"200 OK\r\nX-Saffron-In-Hand: 4\r\nContent-Length: 0\r\n\r\n", (Result.OK, 0, 4.0)),
        (1, b"500 x\r\nContent-Length: 0\r\n\r\n", (Result.ERROR, 0, None)),
    ],
)
def test_load_commands_and_health_checks_end_as_the_worker_answers(
    start: Start, instances: int, response: bytes, ended: tuple[Result, int, float | None]
) -> None:
    upstream = start(answering(b"HTTP/1.1 " + response))
    if instances:
        upstream.dispatcher.load_function(WORKER_ID, SPEC, instances)
    else:
        upstream.dispatcher.check_health(WORKER_ID)
    end = upstream.next_command_end()
    in_flight = end.load_report.requests_in_flight if end.load_report else None
    assert (end.result, end.instances, in_flight) == ended


def test_the_traffic_of_a_worker_counts_attempts_and_those_in_flight(start: Start) -> None:
    upstream = start(wait)
    upstream.dispatcher.send(call(1, SHORT_S), 0, WORKER_ID, 0.0)
    (traffic,) = upstream.dispatcher.traffic()
    assert (traffic.spec.number, traffic.attempts, traffic.in_flight) == (WORKER_ID, 1, 1)
    assert upstream.dispatcher.worker_count == 1
    upstream.next_end()
    (traffic,) = upstream.dispatcher.traffic()
    assert (traffic.attempts, traffic.in_flight) == (1, 0)


def test_an_attempt_is_sent_without_waiting_for_a_new_thread_to_be_scheduled(start: Start) -> None:
    """A worker's new thread that got no processor used to hold the decision thread, and so all calls."""
    upstream = start(answering(OK))
    attempt = call(timeout_s=4 * WAIT_S)
    assert returns_without_new_threads(lambda: upstream.dispatcher.send(attempt, 0, WORKER_ID, 0.0))
    assert upstream.next_end().outcome.result is Result.OK
