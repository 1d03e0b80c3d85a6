"""The platform's gateway among scripted stand-ins, when hosts, clients and directory misbehave."""

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
from saffronstack.routing.router import Router
from saffronstack.standin.platform import Directory, Entry
from saffronstack.standin.worker import hold_port
from tests.support.platform import WAIT_S, Client, HostConnection, ScriptedHost, config_text, echo, gateway
from tests.support.routing import router_tables
from tests.support.stack import eventually


def test_a_call_passes_and_its_body_is_unchanged() -> None:
    host = ScriptedHost()
    body = bytes(range(256)) * 64
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        client.send(b"CHECK", b"900", b"")
        assert client.read()[:2] == (900, "UP")
        assert client.ask(body=body, cls=b"sell") == ("OK", body)
        seen = host.next()
        assert seen["what"] == "CALL"
        assert seen["with"]["c"] == "sell"
        assert 0 < seen["with"]["w"] <= 8000


@pytest.mark.parametrize(
    "fields",
    [
        {"req": None}, {"req": "12"}, {"subject": None}, {"subject": "z" * 16}, {"owner": "nobody"},
        {"owner": None}, {"timeout": 0}, {"timeout": "soon"}, {"timeout": -5}, {"timeout": "1e99"},
        {"facts": "memory_mb:nan"}, {"facts": "memory_mb:-1"}, {"facts": "lanes:0"}, {"facts": "lanes"},
        {"cls": b"unheard"}, {"cls": b"\xff"},
    ],
)  # fmt: skip
def test_what_names_nothing_gets_an_error_and_reaches_no_host(fields: dict[str, Any]) -> None:
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        assert client.ask(**fields)[0] == "FAILED"
        assert host.seen.empty()
        assert not service.engine.open_calls
        assert not len(service.front.ids)


def test_an_unsafe_call_whose_link_resets_after_its_line_is_not_sent_again() -> None:
    host = ScriptedHost(lambda connection, message: connection.reset())
    with gateway(Directory(Entry("s-1", host.address), Entry("s-2", host.address))) as service:
        assert Client(service.front.address).ask(cls=b"sell")[0] == "FAILED"
        assert host.seen.qsize() == 1


def test_an_unsafe_call_that_reached_nobody_is_refused_with_a_time_to_come_back() -> None:
    with socket.socket() as holder:  # nobody listens there, and nobody else can meanwhile
        holder.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        with gateway(Directory(Entry("s-1", address))) as service:
            client = Client(service.front.address)
            client.call(cls=b"sell")
            _, word, fields, _ = client.read()
        assert word == "BUSY"
        assert fields.startswith(b"holdoff=")


SPOILT = [
    b"\x00\xff noise\n", b"{\n", b"[]\n", b'{"what":"OK"}\n', b"\n",
    b'{"what":"OK","tag":"%s","blob":"####"}\n', b'{"what":"OK","tag":"%s","with":{"ahead":"many"}}\n',
    b'{"what":"OK","tag":"%s","with":[1]}\n', b'{"what":"FINE","tag":"%s"}\n', b"x" * 300_000,
]  # fmt: skip


@pytest.mark.parametrize("spoilt", SPOILT)
def test_a_spoilt_answer_ends_its_link_and_no_client_sees_a_byte(spoilt: bytes) -> None:
    """Eight unsafe calls share the only link: all may have run. A safe one goes again on another."""
    gathered: list[dict[str, Any]] = []
    functions = [*range(1, 9), 99]

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        gathered.append(message)
        place = len(gathered) - len(functions)
        if place == len(functions):
            connection.send(spoilt.replace(b"%s", gathered[-1]["tag"].encode()))
        elif not 0 < place < len(functions):
            echo(connection, message)

    host = ScriptedHost(behave)
    with gateway(Directory(Entry("s-1", host.address)), sockets=26) as service:
        client = Client(service.front.address)
        assert {client.ask(subject=function)[0] for function in functions} == {"OK"}  # their copies stand
        unsafe = {client.call(subject=function, cls=b"sell") for function in functions[:-1]}
        safe = client.call(subject=functions[-1])
        answers = {tag: (word, body) for tag, word, _, body in (client.read() for _ in functions)}
        assert {answers[tag] for tag in unsafe} == {("FAILED", b"")}
        assert answers[safe] == ("OK", b"x")
        assert host.connections == 2


def test_what_is_no_ones_answer_is_dropped_and_the_link_goes_on() -> None:
    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        connection.answer({"tag": "0123456789abcdef"}, body=b"nobody's")
        connection.answer(message, body=b"first")
        connection.answer(message, body=b"second")

    host = ScriptedHost(behave)
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        assert [client.ask() for _ in range(3)] == [("OK", b"first")] * 3
        assert host.connections == 1


def test_a_cancelled_call_ends_at_the_host_and_is_never_answered() -> None:
    late: list[tuple[HostConnection, dict[str, Any]]] = []

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        if message["what"] == "CALL" and not late:
            late.append((connection, message))
        else:
            if message["what"] == "CANCEL":
                connection.answer(late[0][1], body=b"late")  # crosses the cancel
            echo(connection, message)

    host = ScriptedHost(behave)
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        given_up = client.call()
        called = host.next()
        client.send(b"CANCEL", b"%d" % given_up)
        assert host.next() == {"what": "CANCEL", "tag": called["tag"]}
        assert client.ask(body=b"next") == ("OK", b"next")
        assert not len(service.front.ids)


def test_two_open_requests_of_one_id_and_a_tag_used_twice() -> None:
    release = threading.Event()

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        release.wait(WAIT_S)
        echo(connection, message)

    host = ScriptedHost(behave)
    with gateway(Directory(Entry("s-1", host.address))) as service:
        service.front.limits = replace(service.front.limits, linger_s=WAIT_S)  # open calls end well before
        client = Client(service.front.address)
        first = client.call(request=7)
        host.next()
        second = client.call(request=7, body=b"other")
        assert client.read()[:2] == (second, "FAILED")
        client.send(b"CHECK", b"%d" % first, b"")  # the tag is in use: no second answer under it
        release.set()
        assert client.read()[:2] == (first, "OK")
        with pytest.raises(EOFError):
            client.read()


def test_more_than_32_open_calls_are_refused_at_once() -> None:
    release = threading.Event()

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        release.wait(WAIT_S)
        echo(connection, message)

    host = ScriptedHost(behave)
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        tags = [client.call(subject=place) for place in range(1, 41)]
        refused = [client.read() for _ in range(8)]
        assert {answer[0] for answer in refused} == set(tags[32:])
        assert all(word == "BUSY" and b"holdoff=" in fields for _, word, fields, _ in refused)
        release.set()


def test_a_host_replaced_at_its_address_gets_links_of_its_own() -> None:
    host = ScriptedHost()
    directory = Directory(Entry("s-1", host.address))
    with gateway(directory) as service:
        client = Client(service.front.address)
        assert client.ask()[0] == "OK"
        directory.tell(Entry("s-2", host.address))
        assert client.ask()[0] == "OK"
        assert host.connections == 2
        directory.tell(Entry("s-2", host.address, draining=True))
        assert client.ask()[0] == "BUSY"  # nobody is ready
        assert host.seen.qsize() == 2


def test_silent_connections_do_not_keep_out_clients_or_links() -> None:
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address)), sockets=256) as service:
        working = Client(service.front.address)
        assert working.ask()[0] == "OK"
        crowd = [socket.create_connection(service.front.address, timeout=WAIT_S) for _ in range(300)]
        assert working.ask()[0] == "OK"
        late = Client(service.front.address)
        assert late.ask()[0] == "OK"
        assert service.front.connections <= service.budget.clients + 1
        for sock in crowd:  # each is closed, at the latest by the limit on silence
            assert sock.recv(1) == b""


def test_a_client_that_never_reads_stalls_nobody_else() -> None:
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address))) as service:
        deaf = Client(service.front.address)
        deaf.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 2048)
        other = Client(service.front.address)
        for _ in range(40):
            deaf.call(body=b"y" * 16384)
            assert other.ask()[0] == "OK"


BROKEN = [
    b"GET / HTTP/1.1\r\n\r\n", b"*-1\r\n", b"*0\r\n", b"*999999\r\n", b"*5\r\n$-1\r\n", b"*2\r\n$abc\r\n",
    b"*1\r\n$60000000\r\n" + b"z" * 100_000, b"\xff" * 5000, b"*" + b"1" * 200,
    b"*2\r\n$4\r\nCALL\r\n$1\r\n7x\r\n", b"*2\r\n$5\r\nHELLO\r\n$1\r\n7\r\n", b"*1\r\n$5\r\nCHECK\r\n",
]  # fmt: skip


@pytest.mark.parametrize("data", BROKEN)
def test_unreadable_data_ends_its_connection_and_nothing_else(data: bytes) -> None:
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        client.sock.sendall(data)
        try:
            while True:
                assert client.read()[1] == "FAILED"
        except (EOFError, ConnectionResetError):
            pass
        assert Client(service.front.address).ask()[0] == "OK"
        assert host.seen.qsize() == 1


def test_a_body_too_long_gets_an_error_that_can_be_read() -> None:
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address))) as service:
        client = Client(service.front.address)
        tag = client.call(body=b"z" * 600_000)
        assert client.read()[:2] == (tag, "FAILED")


def test_signals_reread_the_configuration_and_stop_once_nothing_is_open(tmp_path: Path) -> None:
    release = threading.Event()

    def behave(connection: HostConnection, message: dict[str, Any]) -> None:
        if message["with"]["k"].endswith("9"):
            release.wait(WAIT_S)
        echo(connection, message)

    host, moved = ScriptedHost(behave), ScriptedHost(behave)
    first, second = Directory(Entry("s-1", host.address)), Directory(Entry("s-2", moved.address), serial=5)
    port_held = hold_port("127.0.0.1")  # nobody else gets it until the gateway listens
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
        assert client.ask()[0] == "OK"
        assert host.next()
        held = client.call(subject=9)
        assert host.next()
        path.write_text("{ broken")
        program.send_signal(signal.SIGHUP)
        assert "can't be used" in program.stderr.readline()
        path.write_bytes(config_text(second.address, first.entries, listen=listen))
        program.send_signal(signal.SIGHUP)
        program.send_signal(signal.SIGHUP)
        assert "read again" in program.stderr.readline()
        second.wait()
        assert client.ask(subject=2)[0] == "OK"
        assert moved.next()
        release.set()
        assert client.read()[:2] == (held, "OK")
        release.clear()
        held = client.call(subject=19)
        assert moved.next()
        program.send_signal(signal.SIGTERM)
        program.send_signal(signal.SIGTERM)
        late = Client((host_name, int(port)))
        assert late.ask(subject=3)[0] == "OK"
        release.set()
        assert client.read()[:2] == (held, "OK")
        assert program.wait(WAIT_S) == 0
    finally:
        program.kill()
        program.communicate()
        port_held.close()


def test_a_directory_that_falls_silent_and_returns_with_an_older_list_changes_nothing() -> None:
    host = ScriptedHost()
    entries = Entry("s-1", host.address), Entry("s-2", host.address)
    directory = Directory(*entries)
    with gateway(directory) as service:
        client = Client(service.front.address)
        directory.tell(*entries)
        held = service.membership.specs
        directory.spoil = lambda answer: None
        directory.wait()
        refused = service.directory.counts.unanswered
        assert client.ask()[0] == "OK"
        assert service.membership.specs == held
        assert refused > 0
        directory.spoil = lambda answer: answer
        directory.serial, directory.entries = 1, [entries[0]]
        directory.wait()
        assert service.membership.specs == held
        assert service.membership.serial == 2
        assert service.directory.counts.rejected[Rejection.STALE_LIST] > 0
        directory.serial = 2
        directory.tell(entries[0])
        assert [spec.name for spec in service.membership.specs] == ["s-1"]
        assert client.ask(subject=2)[0] == "OK"


def test_beliefs_agree_with_links_while_calls_pass_and_after() -> None:
    """Looked at once the decision thread has heard of every end: an answer reaches its client before."""
    host = ScriptedHost()
    with gateway(Directory(Entry("s-1", host.address), Entry("s-2", host.address))) as service:
        client = Client(service.front.address)
        state_check = RouterStateCheck()
        looked: list[int] = []
        for place in range(50):
            assert client.ask(subject=place % 5)[0] == "OK"
            done = threading.Event()

            def look(now: float, router: Any, done: threading.Event = done) -> None:
                if service.engine.open_calls:  # the attempt's end is told after the answer
                    service.engine.inspect(look)
                    return
                looked.extend(worker.attempts_in_flight for worker in router.workers.values())
                state_check.check(now, router.workers, service.hosts.pools())
                done.set()

            service.engine.inspect(look)
            assert done.wait(WAIT_S)
        assert looked
        assert not any(looked)
        assert not service.hosts.in_flight
        assert state_check.checks == 50
        assert not state_check._current
        assert not state_check.statistics


def test_hosts_functions_and_connections_without_end_leave_no_trace() -> None:
    """SAFFRONSTACK_MANY=10000 plays it at full size."""
    many = int(os.environ.get("SAFFRONSTACK_MANY", "1500"))
    host = ScriptedHost()
    directory = Directory(Entry("s-0", host.address))
    with gateway(directory) as service:
        router, engine = service.engine._loop.router, service.engine

        def known() -> int:
            tables: list[Any] = [*router_tables(router)]
            tables += [service.front._connections, service.front.ids]
            tables += [service.hosts._pools, service.hosts._exchanges, service.membership._workers]
            return sum(map(len, tables))

        for place in range(1, many + 1):
            client = Client(service.front.address)
            assert client.ask(subject=place)[0] == "OK"
            client.sock.close()
            directory.entries = [Entry(f"s-{place}", host.address)]
            service._changed(service.membership.apply_snapshot(EndpointSnapshot(place + 1, ())))
            service._changed(service.membership.apply_update(place + 1, [_listed(directory.entries[0])], []))
            if place == 300:
                early = known()
        assert known() <= early + 3 * many  # functions of the last keep-alives, and their counts
        # A client has its answer before the engine hears of the attempt's end.
        eventually(lambda: not engine.open_calls and not service.front._connections)
        swept = threading.Event()

        def sweep(now: float, router: Router) -> None:
            router.components.idle_sweep.next_sweep_s = 0.0
            router.components.idle_sweep.sweep(now + 1000.0)
            swept.set()

        engine.inspect(sweep)  # on the thread that owns it
        assert swept.wait(WAIT_S)
        assert len(router.functions) == 0
        assert len(router.workers) <= 2
        assert known() <= 20
        assert len(engine._loop.state.functions) <= 4096


def _listed(entry: Entry) -> Any:
    from saffronstack.discovery.dns.endpoint_list import ListedEndpoint

    host, _, port = entry.address.rpartition(":")
    return ListedEndpoint(entry.name, host, int(port), "east", "std")
