"""The platform's gateway with scripted hosts, clients and a directory that misbehave."""

from __future__ import annotations

import os
import signal
import socket
import subprocess
import sys
import threading
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from saffronstack.discovery.dns.endpoint_list import EndpointSnapshot
from saffronstack.discovery.dns.resolver import Rejection
from saffronstack.platform.router_state_check import RouterStateCheck
from saffronstack.platform.used_tags import RESERVED_ENTRIES
from saffronstack.routing.router import Router
from saffronstack.standin.platform import HostEntry, StubDnsServer
from saffronstack.standin.worker import reserve_port
from tests.support.platform import (
    WAIT_S,
    BlockedHost,
    Client,
    HostConnection,
    ScriptedHost,
    config_text,
    echo_calls,
    gateway,
)
from tests.support.routing import router_tables
from tests.support.stack import eventually


def test_a_call_passes_and_its_body_is_unchanged() -> None:
    host = ScriptedHost()
    body = bytes(range(256)) * 64
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        client.send(b"CHECK", b"900", b"")
        assert client.read()[:2] == (900, "UP")
        assert client.call_and_read(body=body, class_name=b"sell") == ("OK", body)
        seen = host.next_message()
        assert seen["what"] == "CALL"
        assert seen["with"]["c"] == "sell"
        assert 0 < seen["with"]["w"] <= 8000


@pytest.mark.parametrize(
    "fields",
    [
        {"req": None}, {"req": "12"}, {"subject": None}, {"subject": "z" * 16}, {"owner": "nobody"},
        {"owner": None}, {"timeout": 0}, {"timeout": "soon"}, {"timeout": -5}, {"timeout": "1e99"},
        {"facts": "memory_mb:nan"}, {"facts": "memory_mb:-1"}, {"facts": "lanes:0"}, {"facts": "lanes"},
        {"class_name": b"unheard"}, {"class_name": b"\xff"},
    ],
)  # fmt: skip
def test_a_call_with_an_invalid_field_fails_and_reaches_no_host(fields: dict[str, Any]) -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        assert client.call_and_read(**fields)[0] == "FAILED"
        assert host.messages.empty()
        assert not service.engine.open_calls
        assert not len(service.frontend.open_request_ids)


def test_an_unsafe_call_is_not_retried_after_its_connection_is_reset() -> None:
    host = ScriptedHost(lambda connection, message: connection.reset())
    with gateway(StubDnsServer(HostEntry("s-1", host.address), HostEntry("s-2", host.address))) as service:
        assert Client(service.frontend.address).call_and_read(class_name=b"sell")[0] == "FAILED"
        assert host.messages.qsize() == 1


def test_an_unsafe_call_that_was_never_sent_is_rejected_with_a_holdoff() -> None:
    with socket.socket() as holder:  # bound but not listening, so no other process can use the port
        holder.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        with gateway(StubDnsServer(HostEntry("s-1", address))) as service:
            client = Client(service.frontend.address)
            client.call(class_name=b"sell")
            _, word, fields, _ = client.read()
        assert word == "BUSY"
        assert fields.startswith(b"holdoff=")


MALFORMED_RESPONSES = [
    b"\x00\xff noise\n", b"{\n", b"[]\n", b'{"what":"OK"}\n', b"\n",
    b'{"what":"OK","tag":"%s","blob":"####"}\n', b'{"what":"OK","tag":"%s","with":{"ahead":"many"}}\n',
    b'{"what":"OK","tag":"%s","with":[1]}\n', b'{"what":"FINE","tag":"%s"}\n', b"x" * 300_000,
]  # fmt: skip


@pytest.mark.parametrize("malformed", MALFORMED_RESPONSES)
def test_a_malformed_response_closes_its_connection_and_reaches_no_client(malformed: bytes) -> None:
    """Eight unsafe calls share the only connection with a safe one. They fail, since they may have run; the
    safe call is retried on a new connection.
    """
    received: list[dict[str, Any]] = []
    functions = [*range(1, 9), 99]

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        received.append(message)
        index = len(received) - len(functions)
        if index == len(functions):
            connection.send(malformed.replace(b"%s", received[-1]["tag"].encode()))
        elif not 0 < index < len(functions):
            echo_calls(connection, message)

    host = ScriptedHost(behave)
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=26) as service:
        client = Client(service.frontend.address)
        assert {client.call_and_read(subject=function)[0] for function in functions} == {
            "OK"
        }  # instances are loaded
        unsafe = {client.call(subject=function, class_name=b"sell") for function in functions[:-1]}
        safe = client.call(subject=functions[-1])
        answers = {tag: (word, body) for tag, word, _, body in (client.read() for _ in functions)}
        assert {answers[tag] for tag in unsafe} == {("FAILED", b"")}
        assert answers[safe] == ("OK", b"x")
        assert host.connections == 2


def test_an_unexpected_response_is_dropped_and_its_connection_stays_open() -> None:
    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        connection.respond({"tag": "0123456789abcdef"}, body=b"nobody's")
        connection.respond(message, body=b"first")
        connection.respond(message, body=b"second")

    host = ScriptedHost(behave)
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        assert [client.call_and_read() for _ in range(3)] == [("OK", b"first")] * 3
        assert host.connections == 1


def test_a_cancelled_call_ends_at_the_host_and_is_never_answered() -> None:
    pending: list[tuple[HostConnection, dict[str, Any]]] = []

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        if message["what"] == "CALL" and not pending:
            pending.append((connection, message))
        else:
            if message["what"] == "CANCEL":
                connection.respond(pending[0][1], body=b"late")  # sent before the host handles the cancel
            echo_calls(connection, message)

    host = ScriptedHost(behave)
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        cancelled_tag = client.call()
        called = host.next_message()
        client.send(b"CANCEL", b"%d" % cancelled_tag)
        assert host.next_message() == {"what": "CANCEL", "tag": called["tag"]}
        assert client.call_and_read(body=b"next") == ("OK", b"next")
        assert not len(service.frontend.open_request_ids)


def test_a_duplicate_request_id_fails_and_a_reused_tag_closes_the_connection() -> None:
    host = BlockedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        service.frontend.limits = replace(
            service.frontend.limits, linger_timeout_s=WAIT_S
        )  # longer than any open call takes
        client = Client(service.frontend.address)
        first = client.call(request=7)
        host.next_message()
        second = client.call(request=7, body=b"other")
        assert client.read()[:2] == (second, "FAILED")
        client.send(b"CHECK", b"%d" % first, b"")  # the tag is in use, so this request gets no answer
        host.release.set()
        assert client.read()[:2] == (first, "OK")
        with pytest.raises(EOFError):
            client.read()


@pytest.mark.parametrize(("first", "step"), [(1025, 1), (2**62, 1), (10**6, -1), (5, 3)])
def test_every_request_is_answered_whatever_its_tags_begin_with(first: int, step: int) -> None:
    """Guards against requests without an answer: the gateway closed the connection after 1,024 such tags."""
    with gateway(StubDnsServer()) as service:
        client = Client(service.frontend.address)
        tags = [first + index * step for index in range(1500)]
        for start in range(0, len(tags), 30):
            for tag in tags[start : start + 30]:
                client.send(b"CHECK", b"%d" % tag, b"")
            assert [client.read()[:2] for _ in range(30)] == [(tag, "UP") for tag in tags[start : start + 30]]


def test_a_client_whose_tags_fill_the_memory_is_refused_and_loses_no_call() -> None:
    """Guards against requests without an answer at the bound of the stored tags."""
    host = BlockedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        memory = service.frontend._services.tag_memory
        assert all(memory.try_acquire() for _ in range(service.budget.tag_entries))
        client = Client(service.frontend.address)
        open_tag = client.call()
        for tag in range(1, RESERVED_ENTRIES):
            client.send(b"CHECK", b"%d000" % tag, b"")
        assert {client.read()[1] for _ in range(1, RESERVED_ENTRIES)} == {"UP"}
        client._tags = 10**6
        refused_tags = [client.call(subject=index) for index in range(5)]
        refused = [client.read() for _ in refused_tags]
        assert [answer[0] for answer in refused] == refused_tags
        assert all(word == "BUSY" and b"holdoff=" in fields for _, word, fields, _ in refused)
        host.release.set()
        assert client.read()[:2] == (open_tag, "OK")
        with pytest.raises(EOFError):
            client.read()
        assert Client(service.frontend.address).call_and_read(body=b"again") == ("OK", b"again")


def test_more_than_32_open_calls_are_refused_at_once() -> None:
    host = BlockedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        tags = [client.call(subject=index) for index in range(1, 41)]
        refused = [client.read() for _ in range(8)]
        assert {answer[0] for answer in refused} == set(tags[32:])
        assert all(word == "BUSY" and b"holdoff=" in fields for _, word, fields, _ in refused)
        host.release.set()


def test_a_host_that_replaces_another_at_its_address_gets_new_connections() -> None:
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-1", host.address))
    with gateway(directory) as service:
        client = Client(service.frontend.address)
        assert client.call_and_read()[0] == "OK"
        directory.update_and_wait(HostEntry("s-2", host.address))
        assert client.call_and_read()[0] == "OK"
        assert host.connections == 2
        directory.update_and_wait(HostEntry("s-2", host.address, draining=True))
        assert client.call_and_read()[0] == "BUSY"  # no worker is ready
        assert host.messages.qsize() == 2


def test_silent_connections_do_not_block_clients_or_host_connections() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address)), sockets=256) as service:
        working = Client(service.frontend.address)
        assert working.call_and_read()[0] == "OK"
        silent_sockets = [
            socket.create_connection(service.frontend.address, timeout=WAIT_S) for _ in range(300)
        ]
        assert working.call_and_read()[0] == "OK"
        new_client = Client(service.frontend.address)
        assert new_client.call_and_read()[0] == "OK"
        assert service.frontend.connections <= service.budget.clients + 1
        for sock in silent_sockets:  # the gateway closes each, at the latest after the first-byte timeout
            assert sock.recv(1) == b""


def test_a_client_that_never_reads_delays_no_other_client() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        non_reading_client = Client(service.frontend.address)
        non_reading_client.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        other = Client(service.frontend.address)
        for _ in range(40):
            non_reading_client.call(body=b"y" * 16384)
            assert other.call_and_read()[0] == "OK"


UNREADABLE_DATA = [
    b"GET / HTTP/1.1\r\n\r\n", b"*-1\r\n", b"*0\r\n", b"*999999\r\n", b"*5\r\n$-1\r\n", b"*2\r\n$abc\r\n",
    b"*1\r\n$60000000\r\n" + b"z" * 100_000, b"\xff" * 5000, b"*" + b"1" * 200,
    b"*2\r\n$4\r\nCALL\r\n$1\r\n7x\r\n", b"*2\r\n$5\r\nHELLO\r\n$1\r\n7\r\n", b"*1\r\n$5\r\nCHECK\r\n",
]  # fmt: skip


@pytest.mark.parametrize("data", UNREADABLE_DATA)
def test_unreadable_data_closes_only_its_own_connection(data: bytes) -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        client.sock.sendall(data)
        try:
            while True:
                assert client.read()[1] == "FAILED"
        except (EOFError, ConnectionResetError):
            pass
        assert Client(service.frontend.address).call_and_read()[0] == "OK"
        assert host.messages.qsize() == 1


def test_a_body_over_the_limit_is_answered_with_an_error() -> None:
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address))) as service:
        client = Client(service.frontend.address)
        tag = client.call(body=b"z" * 600_000)
        assert client.read()[:2] == (tag, "FAILED")


def test_signals_reread_the_configuration_and_stop_once_nothing_is_open(tmp_path: Path) -> None:
    release = threading.Event()

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        if message["with"]["k"].endswith("9"):
            release.wait(WAIT_S)
        echo_calls(connection, message)

    host, moved = ScriptedHost(behave), ScriptedHost(behave)
    first, second = (
        StubDnsServer(HostEntry("s-1", host.address)),
        StubDnsServer(HostEntry("s-2", moved.address), serial=5),
    )
    port_held = reserve_port("127.0.0.1")  # reserves the port until the gateway listens
    listen = f"127.0.0.1:{port_held.getsockname()[1]}"
    path = tmp_path / "config.json"
    path.write_bytes(config_text(first.address, first.entries, listen=listen))
    program = subprocess.Popen(
        [sys.executable, "-m", "saffronstack.platform"],
        env={**os.environ, "LB_CONFIG": str(path), "LB_NAME": "n1"}, stderr=subprocess.PIPE, text=True,
    )  # fmt: skip
    try:
        assert program.stderr is not None
        assert "takes calls" in program.stderr.readline()
        host_name, _, port = listen.rpartition(":")
        client = Client((host_name, int(port)))
        assert client.call_and_read()[0] == "OK"
        assert host.next_message()
        open_tag = client.call(subject=9)
        assert host.next_message()
        path.write_text("{ broken")
        program.send_signal(signal.SIGHUP)
        assert "can't be used" in program.stderr.readline()
        path.write_bytes(config_text(second.address, first.entries, listen=listen))
        program.send_signal(signal.SIGHUP)
        program.send_signal(signal.SIGHUP)
        assert "configuration reloaded" in program.stderr.readline()
        second.wait_for_queries()
        assert client.call_and_read(subject=2)[0] == "OK"
        assert moved.next_message()
        release.set()
        assert client.read()[:2] == (open_tag, "OK")
        release.clear()
        open_tag = client.call(subject=19)
        assert moved.next_message()
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        new_client = Client((host_name, int(port)))
        assert new_client.call_and_read(subject=3)[0] == "OK"
        release.set()
        assert client.read()[:2] == (open_tag, "OK")
        assert program.wait(WAIT_S) == 0
    finally:
        program.kill()
        program.communicate()
        port_held.close()


def test_a_silent_directory_and_an_older_endpoint_list_change_nothing() -> None:
    host = ScriptedHost()
    entries = HostEntry("s-1", host.address), HostEntry("s-2", host.address)
    directory = StubDnsServer(*entries)
    with gateway(directory) as service:
        client = Client(service.frontend.address)
        directory.update_and_wait(*entries)
        specs_before = service.endpoint_list.specs
        directory.edit_response = lambda answer: None
        directory.wait_for_queries()
        unanswered_queries = service.resolver.counts.unanswered
        assert client.call_and_read()[0] == "OK"
        assert service.endpoint_list.specs == specs_before
        assert unanswered_queries > 0
        directory.edit_response = lambda answer: answer
        directory.serial, directory.entries = 1, [entries[0]]
        directory.wait_for_queries()
        assert service.endpoint_list.specs == specs_before
        assert service.endpoint_list.serial == 2
        assert service.resolver.counts.rejected[Rejection.STALE_LIST] > 0
        directory.serial = 2
        directory.update_and_wait(entries[0])
        assert [spec.name for spec in service.endpoint_list.specs] == ["s-1"]
        assert client.call_and_read(subject=2)[0] == "OK"


def test_the_router_state_agrees_with_the_connections_during_and_after_calls() -> None:
    """Compares after the decision thread has processed every end, which follows the client's answer."""
    host = ScriptedHost()
    with gateway(StubDnsServer(HostEntry("s-1", host.address), HostEntry("s-2", host.address))) as service:
        client = Client(service.frontend.address)
        state_check = RouterStateCheck()
        in_flight_counts: list[int] = []
        for index in range(50):
            assert client.call_and_read(subject=index % 5)[0] == "OK"
            done = threading.Event()

            def compare(now: float, router: Any, done: threading.Event = done) -> None:
                if service.engine.open_calls:  # the end of the attempt is processed after the answer
                    service.engine.inspect(compare)
                    return
                in_flight_counts.extend(worker.attempts_in_flight for worker in router.workers.values())
                state_check.check(now, router.workers, service.dispatcher.pools())
                done.set()

            service.engine.inspect(compare)
            assert done.wait(WAIT_S)
        assert in_flight_counts
        assert not any(in_flight_counts)
        assert not service.dispatcher.in_flight
        assert state_check.checks == 50
        assert not state_check._current
        assert not state_check.statistics


def test_tables_stay_bounded_over_many_hosts_functions_and_connections() -> None:
    """SAFFRONSTACK_MANY sets the number of hosts; 10000 is the full size."""
    cycles = int(os.environ.get("SAFFRONSTACK_MANY", "1500"))
    host = ScriptedHost()
    directory = StubDnsServer(HostEntry("s-0", host.address))
    with gateway(directory) as service:
        router, engine = service.engine._loop.router, service.engine

        def table_entries() -> int:
            tables: list[Any] = [*router_tables(router)]
            tables += [service.frontend._connections, service.frontend.open_request_ids]
            tables += [
                service.dispatcher._pools,
                service.dispatcher._exchanges,
                service.endpoint_list._workers,
            ]
            return sum(map(len, tables))

        for index in range(1, cycles + 1):
            client = Client(service.frontend.address)
            assert client.call_and_read(subject=index)[0] == "OK"
            client.sock.close()
            directory.entries = [HostEntry(f"s-{index}", host.address)]
            service._apply_changes(service.endpoint_list.apply_snapshot(EndpointSnapshot(index + 1, ())))
            service._apply_changes(
                service.endpoint_list.apply_update(index + 1, [_listed(directory.entries[0])], [])
            )
            if index == 300:
                entries_at_300 = table_entries()
        assert (
            table_entries() <= entries_at_300 + 3 * cycles
        )  # functions within their keep-alive time, and their counts
        # A client gets its answer before the engine processes the end of the attempt.
        eventually(lambda: not engine.open_calls and not service.frontend._connections)
        swept = threading.Event()

        def sweep(now: float, router: Router) -> None:
            router.components.idle_sweep.next_sweep_s = 0.0
            router.components.idle_sweep.sweep(now + 1000.0)
            swept.set()

        engine.inspect(sweep)  # runs on the decision thread, which owns the router
        assert swept.wait(WAIT_S)
        assert len(router.functions) == 0
        assert len(router.workers) <= 2
        assert table_entries() <= 20
        assert len(engine._loop.state.functions) <= 4096


def _listed(entry: HostEntry) -> Any:
    from saffronstack.discovery.dns.endpoint_list import ListedEndpoint

    host, _, port = entry.address.rpartition(":")
    return ListedEndpoint(entry.name, host, int(port), "east", "std")
