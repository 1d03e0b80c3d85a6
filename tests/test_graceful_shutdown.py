"""Graceful shutdown: its phases under every sequence of events, and races at its end on real sockets."""

from __future__ import annotations

import io
import itertools
import json
import socket
import threading
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.engine import Engine
from saffronstack.platform.calls import CallBuilder
from saffronstack.platform.connection import ClientConnection
from saffronstack.platform.service import Service
from saffronstack.platform.shutdown import (
    Activity,
    GracefulShutdown,
    Phase,
    ShutdownLimits,
    shutdown_limits_for,
)
from saffronstack.resp.frames import CallFrame
from saffronstack.runtime.logs import KeyValueLogger
from saffronstack.standin.platform import HostEntry, StubDnsServer
from tests.helpers import settings
from tests.support.platform import WAIT_S, BlockedHost, Client, ScriptedHost, config_text, gateway
from tests.support.stack import eventually

LIMITS = ShutdownLimits(min_drain_s=1.0, quiet_s=0.3, run_until_s=3.0, max_flush_s=0.2)


def test_open_calls_are_answered_before_the_kill_deadline_for_any_class_deadline() -> None:
    for longest_s in (0.1, 0.5, 2.0, 3.0, 8.0, 60.0):
        limits = shutdown_limits_for(longest_s, 1.0, 0.3)
        killed_s = min(longest_s, 3.0) + 0.7
        assert limits.min_drain_s <= limits.run_until_s
        assert limits.run_until_s < killed_s


def test_the_gateway_runs_while_requests_arrive_and_exits_once_clients_are_quiet() -> None:
    """Guards against exiting before the kill while clients send: requests on the way are then lost."""
    shutdown = GracefulShutdown()
    shutdown.begin(LIMITS, 100.0)
    for tenths in range(1, 601):  # requests for a minute
        now = 100.0 + tenths / 10
        phase = shutdown.step(now, Activity(now - 0.1, False, calls_finished=now > 103.5))
        assert phase is (Phase.DRAINING if now < 103.0 else Phase.REJECTING)
    assert shutdown.step(160.2, Activity(159.95, False, True)) is Phase.REJECTING
    assert shutdown.step(160.3, Activity(159.95, True, True)) is Phase.REJECTING
    assert shutdown.step(160.4, Activity(159.95, False, True)) is Phase.FLUSHING
    assert shutdown.step(160.5, Activity(160.5, False, True)) is Phase.CLOSED


def test_no_sequence_of_observations_ends_the_shutdown_early() -> None:
    """Takes four steps, 0.25 s or 2.5 s apart, with every mix of arrivals, open calls and finished calls."""
    steps = list(itertools.product((0.25, 2.5), (False, True), (False, True), (False, True)))
    steps_taken = 0
    for order in itertools.product(steps, repeat=4):
        shutdown = GracefulShutdown()
        shutdown.begin(LIMITS, 100.0)
        now, received_s, phase = 100.0, 100.0, shutdown.phase
        for passed_s, arrived, unanswered, calls_finished in order:
            now += passed_s
            received_s = now if arrived else received_s
            shutdown.begin(ShutdownLimits(0.0, 0.0, 0.0, 0.0), now)  # a second shutdown request
            after = shutdown.step(now, Activity(received_s, unanswered, calls_finished))
            steps_taken += 1
            quiet = now - received_s >= 0.3 and not unanswered
            assert after.value in (phase.value, phase.value + 1)
            if phase is Phase.DRAINING:
                assert (after is Phase.REJECTING) is (now >= 103.0 or (quiet and now >= 101.0))
            if phase is Phase.REJECTING:
                assert (after is Phase.FLUSHING) is (quiet and calls_finished)
            if after is Phase.CLOSED and phase is Phase.FLUSHING:
                assert not unanswered or passed_s >= LIMITS.max_flush_s
            phase = after
    assert steps_taken == 4 * 16**4


def stop_in_thread(service: Service) -> tuple[threading.Thread, list[bool]]:
    """Stop the service in a thread; return the thread and a list that gets the result of `stop`."""
    ended: list[bool] = []
    thread = threading.Thread(target=lambda: ended.append(service.stop(0.0, 0.0)))
    thread.start()
    return thread, ended


def count_steps(monkeypatch: pytest.MonkeyPatch) -> threading.Semaphore:
    """Return a semaphore that is released at each step of a shutdown."""
    steps_taken = threading.Semaphore(0)
    step = GracefulShutdown.step

    def step_and_count(self: GracefulShutdown, now: float, activity: Activity) -> Phase:
        phase = step(self, now, activity)
        steps_taken.release()
        return phase

    monkeypatch.setattr(GracefulShutdown, "step", step_and_count)
    return steps_taken


def test_the_state_comparison_thread_ends_when_the_drain_begins(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against ending that thread 0.1 s before the kill.

    It then took the interpreter lock from the thread that reads client connections.
    """
    before = set(threading.enumerate())
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        started = [thread for thread in threading.enumerate() if thread not in before]
        (comparison_thread,) = (thread for thread in started if thread.name == "beliefs")
        alive: list[bool] = []
        wait_drained = service.frontend.wait_drained

        def wait_after_its_end(timeout_s: float) -> bool:
            comparison_thread.join(WAIT_S)
            alive.append(comparison_thread.is_alive())
            return wait_drained(timeout_s)

        monkeypatch.setattr(service.frontend, "wait_drained", wait_after_its_end)
        thread, ended = stop_in_thread(service)
        thread.join(2 * WAIT_S)
        assert (alive, ended) == ([False], [True])


def test_the_shutdown_waits_for_an_answer_that_is_not_yet_written(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The call is finished, and the thread that writes its answer is blocked before the write."""
    paused, resume = threading.Event(), threading.Event()
    answer: Callable[..., None] = ClientConnection._write_answer

    def write_late(self: ClientConnection, *arguments: Any) -> None:
        paused.set()
        assert resume.wait(WAIT_S)
        answer(self, *arguments)

    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        monkeypatch.setattr(ClientConnection, "_write_answer", write_late)
        client = Client(service.frontend.address)
        tag = client.call()
        assert paused.wait(WAIT_S)
        assert not service.frontend.open_calls
        steps_taken = count_steps(monkeypatch)
        thread, ended = stop_in_thread(service)
        for _ in range(20):  # the shutdown takes many steps while the answer is unwritten
            assert steps_taken.acquire(timeout=WAIT_S)
        assert service.frontend.phase is Phase.DRAINING
        resume.set()
        assert client.read()[:2] == (tag, "OK")
        thread.join(WAIT_S)
        assert ended == [True]


def test_answers_to_a_slow_reader_are_written_before_the_gateway_exits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        assert client.call_and_read()[0] == "OK"
        (connection,) = service.frontend._connections.values()
        connection._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 65536)
        tags = [client.call(subject=index, body=b"y" * 16384) for index in range(1, 25)]
        eventually(lambda: connection._write_buffer.has_pending and not service.frontend.open_calls)
        steps_taken = count_steps(monkeypatch)
        thread, ended = stop_in_thread(service)
        for _ in range(20):
            assert steps_taken.acquire(timeout=WAIT_S)
        assert service.frontend.phase is Phase.DRAINING
        read = [client.read() for _ in tags]
        assert {answer[0] for answer in read} == set(tags)
        assert all(answer[1] == "OK" and len(answer[3]) == 16384 for answer in read)
        thread.join(WAIT_S)
        assert ended == [True]


def test_a_request_that_arrives_as_the_shutdown_starts_to_flush_is_rejected_and_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One request comes on an open connection, one on a connection that is not accepted yet."""
    host = ScriptedHost()
    new_clients: list[Client] = []
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        assert client.call_and_read()[0] == "OK"
        step = GracefulShutdown.step

        def step_and_send(self: GracefulShutdown, now: float, activity: Activity) -> Phase:
            before = self.phase
            phase = step(self, now, activity)
            if before is Phase.REJECTING and phase is Phase.FLUSHING:
                new_clients.append(Client(service.frontend.address))
                new_clients[0].call(subject=2)
                client.call(subject=3)
            return phase

        monkeypatch.setattr(GracefulShutdown, "step", step_and_send)
        thread, _ = stop_in_thread(service)
        thread.join(WAIT_S)
        assert not thread.is_alive()
        assert new_clients[0].read()[1] == "BUSY"
        assert client.read()[1] == "BUSY"
        sent = [host.messages.get_nowait()["what"] for _ in range(host.messages.qsize())]
        assert sent.count("CALL") == 1, "a call sent this late may be cut off after it has run"


def test_a_fault_in_the_final_read_of_one_connection_leaves_the_others_served(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        clients = [Client(service.frontend.address) for _ in range(2)]
        for client in clients:
            assert client.call_and_read()[0] == "OK"
        faulty, sound = service.frontend._connections.values()
        read, step, tags = ClientConnection.on_readable, GracefulShutdown.step, list[int]()

        def faulty_read(self: ClientConnection, *arguments: Any) -> bool:
            if self is faulty:
                raise ValueError("injected by the test")
            return read(self, *arguments)

        def step_and_break(self: GracefulShutdown, now: float, activity: Activity) -> Phase:
            phase = step(self, now, activity)
            if phase is Phase.FLUSHING and not tags:  # the phase is entered, and its action has not started
                monkeypatch.setattr(ClientConnection, "on_readable", faulty_read)
                tags.extend(client.call() for client in clients)
                eventually(lambda: faulty.has_unread() and sound.has_unread())
            return phase

        monkeypatch.setattr(GracefulShutdown, "step", step_and_break)
        thread, ended = stop_in_thread(service)
        assert clients[1].read()[:2] == (tags[1], "BUSY")
        thread.join(WAIT_S)
        assert len(ended) == 1


def test_calls_that_outlast_the_shutdown_are_answered_as_failed() -> None:
    """Class deadlines may exceed the kill deadline; FAILED before the kill is better than no answer."""
    host = BlockedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        unsafe = client.call(subject=1, class_name=b"sell")
        assert host.next_message()["with"]["c"] == "sell"
        service.frontend.begin_shutdown(ShutdownLimits(0.0, 0.0, 0.0, 1.0))
        service.stop(0.0, 0.0)
        assert client.read()[:2] == (unsafe, "FAILED")
        with pytest.raises(EOFError):
            client.read()
        host.release.set()


def test_no_call_is_built_for_a_request_that_is_rejected_while_draining(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against doubling the CPU time of each pass, by building calls for clients that retry at once."""
    host, built_classes = ScriptedHost(), list[str]()
    build = CallBuilder.build

    def record_and_build(self: CallBuilder, frame: CallFrame, received_s: float) -> Call:
        built_classes.append(frame.class_name)
        return build(self, frame, received_s)

    monkeypatch.setattr(CallBuilder, "build", record_and_build)
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        assert client.call_and_read()[0] == "OK"
        service.frontend._services.admission.begin(service.frontend.clock())  # no call can end by then
        assert [
            client.call_and_read(class_name=class_name)[0] for class_name in (b"look", b"sell", b"none")
        ] == [
            "BUSY",
            "BUSY",
            "FAILED",
        ]
    assert built_classes == ["look", "none"]


def test_a_second_shutdown_request_changes_nothing() -> None:
    host = BlockedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        tag = client.call()
        host.next_message()
        thread, ended = stop_in_thread(service)
        eventually(lambda: service.frontend.phase is Phase.DRAINING)
        service.frontend.begin_shutdown(ShutdownLimits(0.0, 0.0, 0.0, 0.0))
        new_client = Client(service.frontend.address)
        waiting_tag = new_client.call(subject=2)
        host.next_message()
        host.release.set()
        assert client.read()[:2] == (tag, "OK")
        assert new_client.read()[:2] == (waiting_tag, "OK")
        thread.join(WAIT_S)
        assert ended == [True]


class InterposedQueue:
    """The engine's queue; a thread that queues a call is blocked while another thread stops the engine."""

    def __init__(self, engine: Engine) -> None:
        self.engine = engine
        self.queue: Any = engine._messages
        self.stopper = threading.Thread(target=engine.stop)

    def put(self, item: object) -> None:
        if isinstance(item, Call):
            self.stopper.start()
            lock = getattr(self.engine, "_submit_lock", None)
            if lock is None or not lock.locked():  # submit and stop are not mutually exclusive
                assert self.engine._loop.stopped.wait(WAIT_S)
        self.queue.put(item)

    def __getattr__(self, name: str) -> Any:
        return getattr(self.queue, name)


class NoWorkers:
    """A dispatcher that ignores all actions."""

    def __getattr__(self, name: str) -> Any:
        return lambda *arguments: None


def test_a_call_submitted_while_the_engine_stops_is_answered() -> None:
    engine = Engine(settings(), 1, lambda: 100.0)
    engine.start(NoWorkers())
    interposed_queue = InterposedQueue(engine)
    engine._messages = interposed_queue  # type: ignore[assignment]
    call = Call(1, "0" * 16, FunctionSpec("f", 1, 0, 100.0), b"", 103.0)
    accepted = engine.submit(call)
    interposed_queue.stopper.join(WAIT_S)
    assert engine._loop.stopped.is_set()
    assert accepted
    assert call.is_finished
    assert not engine.submit(Call(2, "1" * 16, FunctionSpec("f", 1, 0, 100.0), b"", 103.0))


def other_configuration(content: bytes, directory: str) -> bytes:
    """Return another configuration with different classes, tenants, deadlines and limits."""
    config = json.loads(content)
    config["nameserver"] = directory
    config["limits"] = {"cores": 1.0, "memory_mb": 64, "sockets": 64}
    settings_fields = config["settings"]
    settings_fields["RequestClasses"] = [
        {"Name": "scan", "Idempotency": "unsafe", "DeadlineS": 0.2, "PromiseS": 0.1},
    ]
    settings_fields["Tenants"] = [{"Name": "other", "Share": 1.0, "QuotaRps": 5.0}]
    settings_fields["Permissions"] |= {"MaxRetryAfterS": 0.0, "RetryAfter": False, "MaxAttempts": 1}
    return json.dumps(config).encode()


def test_only_the_nameserver_of_a_configuration_read_on_sighup_takes_effect(tmp_path: Path) -> None:
    host = BlockedHost()
    directory, moved = (
        StubDnsServer(HostEntry("s-1", host.address)),
        StubDnsServer(HostEntry("s-1", host.address), serial=9),
    )
    path = tmp_path / "config.json"
    path.write_bytes(other_configuration(config_text(directory.address, directory.entries), moved.address))
    with gateway(directory) as service:
        log = io.StringIO()
        service._log = KeyValueLogger("test", log)
        config_before = service.config
        client = Client(service.frontend.address)
        before = client.call(subject=1)
        host.next_message()
        assert service.reload_config(str(path))
        assert "parts=" in log.getvalue()
        assert "settings" in log.getvalue()
        assert "limits" in log.getvalue()
        assert service.config is config_before
        moved.wait_for_queries()
        for named in (
            {"class_name": b"scan"},
            {"owner": "other"},
        ):  # a class and a tenant of the other configuration
            assert client.call(subject=2, **named)
            assert client.read()[1] == "FAILED"
        after = client.call(subject=4, class_name=b"sell")
        sent_fields = host.next_message()["with"]
        assert sent_fields["c"] == "sell"
        assert sent_fields["w"] > 7000
        thread, ended = stop_in_thread(service)  # nor does the shutdown use the new deadline of 0.2 s
        eventually(lambda: service.frontend.phase is Phase.DRAINING)
        assert service.frontend._shutdown_limits is not None
        assert service.frontend._shutdown_limits.run_until_s > 3.0
        host.release.set()
        answers = [client.read()[:2] for _ in range(2)]
        assert sorted(answers) == sorted([(before, "OK"), (after, "OK")])
        thread.join(WAIT_S)
        assert ended == [True]
    moved.close()


BAD_FILES = {
    "empty": b"", "cut": b'{"name": "n1", "listen":', "no object": b"[1, 2]", "not text": b"\xff\xfe\x00",
    "no settings": b'{"listen": "127.0.0.1:1", "seed": "1", "nameserver": "127.0.0.1:5"}',
    "deep": b"[" * 100_000, "too large": b" " * (8 * 1024 * 1024 + 1),
}  # fmt: skip


@pytest.mark.parametrize("kind", BAD_FILES)
def test_an_unusable_configuration_is_rejected_with_its_path(kind: str, tmp_path: Path) -> None:
    host = ScriptedHost()
    path = tmp_path / "config.json"
    path.write_bytes(BAD_FILES[kind])
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        log = io.StringIO()
        service._log = KeyValueLogger("test", log)
        assert not service.reload_config(str(path))
        assert str(path) in log.getvalue()
        assert "can't be used" in log.getvalue()
        assert Client(service.frontend.address).call_and_read() == ("OK", b"x")


@pytest.mark.parametrize("address", ["127.0.0.1:99999999", "nowhere:port", "127.0.0.1:", 7, None, {}])
def test_an_invalid_nameserver_address_changes_nothing(address: object, tmp_path: Path) -> None:
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))
    config = json.loads(config_text(directory.address, directory.entries))
    config["nameserver"] = address
    path = tmp_path / "config.json"
    path.write_text(json.dumps(config))
    with gateway(directory) as service:
        service.reload_config(str(path))
        directory.update_and_wait(HostEntry("s-1", host.address), HostEntry("s-2", host.address))
        assert len(service.endpoint_list.specs) == 2
