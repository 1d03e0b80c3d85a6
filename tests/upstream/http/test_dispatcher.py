"""The HTTP dispatcher against a scripted worker, whose socket behavior causes each attempt result."""

from __future__ import annotations

import queue
import socket
import struct
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass

import pytest

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult, WorkerObservation
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import CacheStatus, PriorAttempt, Result
from saffronstack.upstream.events import EngineEvent
from saffronstack.upstream.http.dispatcher import HttpDispatcher
from saffronstack.upstream.http.pool_limits import HttpPoolLimits
from tests.support.unscheduled_threads import returns_without_new_threads

FUNCTION = FunctionSpec("f", 5, 0, 64.0)
WORKER_ID = 9
TEST_TIMEOUT_S = 5.0  # maximum wait; a passing test does not reach it
SHORT_DEADLINE_S = 0.4  # expires before a worker that delays its response responds
REUSE_DELAY_S = HttpPoolLimits().reuse_delay_s
Script = Callable[[socket.socket], None]


class ManualClock:
    """A monotonic clock that begins at the system's time and advances only when told to."""

    def __init__(self) -> None:
        self._now_s = time.monotonic()

    def __call__(self) -> float:
        return self._now_s

    def advance(self, seconds: float) -> None:
        self._now_s += seconds


class ScriptedWorker:
    """Accepts connections and runs the script for each request, on one thread per connection."""

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
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        sock.settimeout(5)
        try:
            while self.read(sock):
                self.requests += 1
                self.script(sock)
        except OSError:
            return  # some tests make the gateway abort the connection
        finally:
            sock.close()

    @staticmethod
    def read(sock: socket.socket) -> bool:
        data = b""
        while b"\r\n\r\n" not in data:
            received = sock.recv(65536)
            if not received:
                return False
            data += received
        return True


def respond(data: bytes, then: Script | None = None) -> Script:
    def script(sock: socket.socket) -> None:
        sock.sendall(data)
        if then is not None:
            then(sock)

    return script


def close_socket(sock: socket.socket) -> None:
    sock.close()


def reset_socket(sock: socket.socket) -> None:
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    sock.close()


def delay_response(sock: socket.socket) -> None:
    time.sleep(1.0)


@dataclass
class Upstream:
    """A dispatcher with one scripted worker; its events go to a queue."""

    worker: ScriptedWorker
    dispatcher: HttpDispatcher
    events: queue.SimpleQueue[EngineEvent]

    def list_worker(self, draining: bool = False) -> None:
        """Apply an endpoint list that contains only the worker."""
        spec = WorkerSpec(WORKER_ID, "w", "127.0.0.1", self.worker.port, is_draining=draining)
        self.dispatcher.replace_workers([spec])

    def send(self, call: Call) -> AttemptResult:
        """Send an attempt and return its result."""
        self.dispatcher.send(call, 0, WORKER_ID, 0.0)
        return self.next_attempt_result()

    def next_attempt_result(self) -> AttemptResult:
        """Wait for the next result of an attempt; skip other events."""
        while True:
            event = self.events.get(timeout=TEST_TIMEOUT_S)
            if isinstance(event, AttemptResult):
                return event

    def next_command_result(self) -> CommandResult:
        """Wait for the next event, which must be the result of a command."""
        event = self.events.get(timeout=TEST_TIMEOUT_S)
        assert isinstance(event, CommandResult)
        return event


StartUpstream = Callable[..., Upstream]


@pytest.fixture
def start() -> Iterator[StartUpstream]:
    """Returns a function that starts a dispatcher with a scripted worker; all stop after the test."""
    started: list[Upstream] = []

    def start_one(
        script: Script,
        limits: HttpPoolLimits | None = None,
        clock: Callable[[], float] = time.monotonic,
    ) -> Upstream:
        events: queue.SimpleQueue[EngineEvent] = queue.SimpleQueue()
        dispatcher = HttpDispatcher(limits or HttpPoolLimits(), events.put, clock)
        upstream = Upstream(ScriptedWorker(script), dispatcher, events)
        upstream.list_worker()
        started.append(upstream)
        return upstream

    yield start_one
    for upstream in started:
        upstream.dispatcher.stop()
        upstream.worker.listener.close()


def new_call(number: int = 1, timeout_s: float = TEST_TIMEOUT_S) -> Call:
    return Call(number, f"id-{number}", FUNCTION, b"", time.monotonic() + timeout_s)


def response_with(payload: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(payload), payload)


def payload_of(result: AttemptResult) -> bytes:
    assert result.response is not None, result
    return result.response.payload


OK_RESPONSE = b"HTTP/1.1 200 OK\r\nX-Saffron-Found: warm\r\nX-Saffron-Crowd: 3\r\nContent-Length: 2\r\n\r\n{}"


@pytest.mark.parametrize(
    ("script", "result"),
    [
        (respond(OK_RESPONSE), Result.OK),
        (respond(b"HTTP/1.1 429 x\r\nX-Saffron-Ran: no\r\nContent-Length: 0\r\n\r\n"), Result.AT_CAPACITY),
        (respond(b"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond(b"HTTP/1.1 404 x\r\nX-Saffron-Ran: no\r\nContent-Length: 0\r\n\r\n"), Result.NOT_LOADED),
        (respond(b"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond(b"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (respond(b"HTTP/1.1 302 x\r\nContent-Length: 0\r\n\r\n"), Result.ERROR),
        (delay_response, Result.TIMEOUT),
        (respond(OK_RESPONSE[:-1], delay_response), Result.TIMEOUT),
        (close_socket, Result.RESET),
        (reset_socket, Result.RESET),
        (respond(OK_RESPONSE[:20], close_socket), Result.RESET),
        (respond(OK_RESPONSE[:-1], reset_socket), Result.RESET),
        (respond(b"garbage\r\n\r\n"), Result.RESET),
        (respond(b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n{}"), Result.RESET),
    ],
)
def test_results_by_what_the_worker_does(start: StartUpstream, script: Script, result: Result) -> None:
    upstream = start(script)
    sent_call = new_call(timeout_s=SHORT_DEADLINE_S if result is Result.TIMEOUT else TEST_TIMEOUT_S)
    result_event = upstream.send(sent_call)
    assert result_event.outcome.result is result
    assert result_event.outcome.is_final == sent_call.is_finished == (result is Result.OK)
    if result is Result.OK:
        assert (result_event.outcome.cache_status, result_event.outcome.concurrency) == (CacheStatus.WARM, 3)
    assert upstream.worker.requests == 1


def test_an_attempt_at_a_worker_that_does_not_listen_ends_as_connect_failed(start: StartUpstream) -> None:
    upstream = start(respond(OK_RESPONSE))
    upstream.worker.listener.close()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
    upstream.dispatcher.replace_workers([WorkerSpec(WORKER_ID, "w", "127.0.0.1", port)])
    assert upstream.send(new_call()).outcome.result is Result.CONNECT_FAILED


def test_nothing_is_sent_to_a_worker_that_is_not_listed(start: StartUpstream) -> None:
    upstream = start(respond(OK_RESPONSE))
    upstream.dispatcher.send(new_call(2), 0, 77, 0.0)
    assert upstream.next_attempt_result().outcome.result is Result.NOT_STARTED
    upstream.dispatcher.load_function(77, FUNCTION, 2)
    assert upstream.next_command_result() == CommandResult(77, Result.CONNECT_FAILED, 0.0, FUNCTION.number)


def test_an_attempt_past_its_deadline_is_not_sent(start: StartUpstream) -> None:
    upstream = start(respond(OK_RESPONSE))
    assert upstream.send(new_call(1, -0.1)).outcome.result is Result.NOT_STARTED
    assert upstream.worker.requests == 0


def test_an_attempt_that_may_not_start_any_more_is_not_sent(start: StartUpstream) -> None:
    upstream, late = start(respond(OK_RESPONSE)), new_call(1)
    late.latest_start_s = time.monotonic() - 0.1
    assert upstream.send(late).outcome.result is Result.NOT_STARTED
    assert upstream.worker.requests == 0


def test_an_attempt_that_its_guard_forbids_is_not_sent(start: StartUpstream) -> None:
    class RejectingGuard:
        def may_send(self, attempts: Sequence[PriorAttempt]) -> bool:
            return False

    upstream, guarded = start(respond(OK_RESPONSE)), new_call(2)
    guarded.guard = RejectingGuard()
    assert upstream.send(guarded).outcome.result is Result.NOT_STARTED
    assert upstream.worker.requests == 0


def test_nothing_new_is_sent_to_a_worker_while_it_drains(start: StartUpstream) -> None:
    upstream = start(respond(OK_RESPONSE))
    upstream.list_worker(draining=True)
    assert upstream.send(new_call(3)).outcome.result is Result.NOT_STARTED
    upstream.dispatcher.load_function(WORKER_ID, FUNCTION, 2)
    assert upstream.next_command_result().result is Result.AT_CAPACITY
    assert upstream.worker.requests == 0
    upstream.list_worker()
    assert upstream.send(new_call(4)).outcome.result is Result.OK


def test_a_cancelled_attempt_ends_at_once(start: StartUpstream) -> None:
    upstream, sent_call = start(delay_response), new_call()
    started_s = time.monotonic()
    upstream.dispatcher.send(sent_call, 0, WORKER_ID, 0.0)
    while not upstream.worker.requests:
        time.sleep(0.005)
    upstream.dispatcher.cancel(sent_call, 0)
    assert upstream.next_attempt_result().outcome.result is Result.CANCELLED
    assert time.monotonic() - started_s < 0.9


def test_an_attempt_beyond_the_connection_limit_is_rejected(start: StartUpstream) -> None:
    upstream = start(delay_response, HttpPoolLimits(connections=1))
    upstream.dispatcher.send(new_call(1, SHORT_DEADLINE_S), 0, WORKER_ID, 0.0)
    rejected = upstream.send(new_call(2, SHORT_DEADLINE_S))
    assert (rejected.call.number, rejected.outcome.result) == (2, Result.AT_CAPACITY)
    assert upstream.next_attempt_result().outcome.result is Result.TIMEOUT


def test_a_keep_alive_connection_that_the_worker_closed_is_replaced_and_no_attempt_is_lost(
    start: StartUpstream,
) -> None:
    clock, has_closed = ManualClock(), threading.Event()

    def close_and_tell(sock: socket.socket) -> None:
        sock.close()
        has_closed.set()

    upstream = start(respond(OK_RESPONSE, close_and_tell), clock=clock)
    for number in range(1, 6):
        assert upstream.send(new_call(number)).outcome.result is Result.OK
        assert has_closed.wait(TEST_TIMEOUT_S)
        has_closed.clear()
        clock.advance(2 * REUSE_DELAY_S)
    assert upstream.worker.connections == upstream.worker.requests == 5


def test_a_connection_that_is_kept_alive_carries_the_next_request(start: StartUpstream) -> None:
    clock = ManualClock()
    upstream = start(respond(OK_RESPONSE), clock=clock)
    for number in range(1, 4):
        assert upstream.send(new_call(number)).outcome.result is Result.OK
        clock.advance(2 * REUSE_DELAY_S)
    assert (upstream.worker.connections, upstream.worker.requests) == (1, 3)
    assert upstream.dispatcher.connection_count == 1


def test_unsolicited_bytes_close_a_connection(start: StartUpstream) -> None:
    clock = ManualClock()
    upstream = start(respond(OK_RESPONSE + OK_RESPONSE), clock=clock)
    for number in range(1, 4):
        assert upstream.send(new_call(number)).outcome.result is Result.OK
        clock.advance(2 * REUSE_DELAY_S)
    assert upstream.worker.connections == 3


def test_a_late_second_copy_of_a_response_is_not_the_response_of_the_next_call(start: StartUpstream) -> None:
    clock = ManualClock()
    sockets: list[socket.socket] = []  # of each request

    def respond_with_next_payload(sock: socket.socket) -> None:
        sockets.append(sock)
        if len(sockets) == 2:
            sockets[0].sendall(response_with(b"1"))
        sock.sendall(response_with(b"%d" % len(sockets)))

    upstream = start(respond_with_next_payload, clock=clock)
    found = [payload_of(upstream.send(new_call(1)))]
    clock.advance(REUSE_DELAY_S / 2)
    found.append(payload_of(upstream.send(new_call(2))))
    clock.advance(2 * REUSE_DELAY_S)
    found.append(payload_of(upstream.send(new_call(3))))
    assert found == [b"1", b"2", b"3"]
    assert sockets[2] is sockets[1]  # the only connection without unread bytes


def test_a_new_incarnation_is_reported_and_invalid_numbers_are_not(start: StartUpstream) -> None:
    incarnations = iter(["a", "a", "b"])

    def script(sock: socket.socket) -> None:
        head = (
            f"HTTP/1.1 200 OK\r\nX-Saffron-Incarnation: {next(incarnations)}\r\nX-Saffron-Uptime-Ms: 1500\r\n"
        )
        sock.sendall(
            f"{head}X-Saffron-Crowd: -3\r\nX-Saffron-Busy: nan\r\nContent-Length: 0\r\n\r\n".encode()
        )

    upstream = start(script)
    observed: list[WorkerObservation] = []
    for number in range(1, 4):
        upstream.dispatcher.send(new_call(number), 0, WORKER_ID, 0.0)
        event = upstream.events.get(timeout=TEST_TIMEOUT_S)
        if isinstance(event, WorkerObservation):
            observed.append(event)
            event = upstream.events.get(timeout=TEST_TIMEOUT_S)
        assert isinstance(event, AttemptResult)
        assert (event.outcome.concurrency, event.outcome.load_report) == (None, None)
    assert observed == [WorkerObservation(WORKER_ID, "a", 1.5), WorkerObservation(WORKER_ID, "b", 1.5)]


@pytest.mark.parametrize(
    ("instances", "response", "expected"),
    [
        (2, b"200 OK\r\nContent-Length: 1\r\n\r\n2", (Result.OK, 2, None)),
        (3, b"429 x\r\nContent-Length: 1\r\n\r\n1", (Result.AT_CAPACITY, 1, None)),
        (0, b"200 OK\r\nX-Saffron-In-Hand: 4\r\nContent-Length: 0\r\n\r\n", (Result.OK, 0, 4.0)),
        (1, b"500 x\r\nContent-Length: 0\r\n\r\n", (Result.ERROR, 0, None)),
    ],
)
def test_results_of_load_commands_and_health_checks_follow_the_response(
    start: StartUpstream, instances: int, response: bytes, expected: tuple[Result, int, float | None]
) -> None:
    upstream = start(respond(b"HTTP/1.1 " + response))
    if instances:
        upstream.dispatcher.load_function(WORKER_ID, FUNCTION, instances)
    else:
        upstream.dispatcher.check_health(WORKER_ID)
    result_event = upstream.next_command_result()
    in_flight = result_event.load_report.requests_in_flight if result_event.load_report else None
    assert (result_event.result, result_event.instances, in_flight) == expected


def test_the_traffic_of_a_worker_counts_attempts_and_those_in_flight(start: StartUpstream) -> None:
    upstream = start(delay_response)
    upstream.dispatcher.send(new_call(1, SHORT_DEADLINE_S), 0, WORKER_ID, 0.0)
    (traffic,) = upstream.dispatcher.traffic()
    assert (traffic.spec.number, traffic.attempts, traffic.in_flight) == (WORKER_ID, 1, 1)
    assert upstream.dispatcher.worker_count == 1
    upstream.next_attempt_result()
    (traffic,) = upstream.dispatcher.traffic()
    assert (traffic.attempts, traffic.in_flight) == (1, 0)


def test_the_traffic_of_a_worker_tells_whether_it_drains_now(start: StartUpstream) -> None:
    upstream = start(respond(OK_RESPONSE))
    found = []
    for is_draining in (True, False):
        upstream.list_worker(draining=is_draining)
        found += [traffic.spec.is_draining for traffic in upstream.dispatcher.traffic()]
    assert found == [True, False]


def test_an_attempt_is_sent_without_waiting_for_a_new_thread_to_be_scheduled(start: StartUpstream) -> None:
    """Regression test: on a busy machine, waiting for a new thread to be scheduled blocked the decision
    thread, and so delayed all calls."""
    upstream = start(respond(OK_RESPONSE))
    attempt = new_call(timeout_s=4 * TEST_TIMEOUT_S)
    assert returns_without_new_threads(lambda: upstream.dispatcher.send(attempt, 0, WORKER_ID, 0.0))
    assert upstream.next_attempt_result().outcome.result is Result.OK
