"""End-to-end tests of one failure each, observed at the sockets of clients and workers."""

from __future__ import annotations

import errno
import json
import os
import pathlib
import resource
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable

import pytest

from saffronstack import config as configs
from saffronstack.durable.file_operations import FileOperations
from saffronstack.gateway import Gateway
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import StubWorker
from tests.support.stack import DEADLINE_S, Stack, configuration, eventually, read_all, running_gateway

POST = "POST /2015-03-31/functions/{}/invocations HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{{}}"


def invoke_request(function: str) -> bytes:
    return POST.format(function).encode()


def for_all_workers(stack: Stack, fault: Callable[[StubWorker], None]) -> None:
    for worker in stack.fleet.workers:
        fault(worker)


def is_outcome_unknown(body: bytes) -> bool:
    return bool(json.loads(body).get("errorType") == "Saffronstack.OutcomeUnknown")


@pytest.mark.parametrize(
    "fault", ["lose_answers", "reset_mid_answer", "half_header", "garbage", "die_mid_call"]
)
def test_an_unsafe_call_whose_response_is_lost_runs_once_and_ends_unknown(fault: str) -> None:
    with running_gateway(2) as stack:
        for_all_workers(
            stack, lambda worker: setattr(worker.faults, fault, 1.0 if fault == "lose_answers" else True)
        )
        response = stack.call("record-sale")
        assert response.status == 200
        assert is_outcome_unknown(response.body)
        assert stack.run_count("record-sale") == 1


@pytest.mark.parametrize("fault", ["lose_answers", "reset_mid_answer", "half_header", "garbage", "errors"])
def test_a_safe_call_is_retried_on_another_worker(fault: str) -> None:
    with running_gateway(2) as stack:
        faulty_worker = stack.fleet.workers[0]
        setattr(faulty_worker.faults, fault, 1.0 if fault in ("lose_answers", "errors") else True)
        statuses = [stack.call("identify-copy").status for _ in range(6)]
        assert statuses == [200] * 6


def test_a_call_with_idempotency_key_is_retried_with_the_same_key() -> None:
    with running_gateway(2) as stack:
        for_all_workers(stack, lambda worker: setattr(worker.faults, "lose_answers", 1.0))

        def stop_fault() -> None:
            eventually(lambda: any(e["what"] == "lost" for w in stack.fleet.workers for e in w.log))
            for_all_workers(stack, lambda worker: setattr(worker.faults, "lose_answers", 0.0))

        thread = threading.Thread(target=stop_fault)
        thread.start()
        assert stack.call("adjust-setting").status in (200, 429)
        thread.join(5)
        keys = {entry["key"] for worker in stack.fleet.workers for entry in worker.runs("adjust-setting")}
        assert len(keys) == 1


@pytest.mark.parametrize(("function", "status"), [("record-sale", 200), ("identify-copy", 429)])
def test_an_unresponsive_worker_delays_no_answer_past_the_deadline(function: str, status: int) -> None:
    with running_gateway(1) as stack:
        for_all_workers(stack, lambda worker: setattr(worker.faults, "silent", True))
        start = time.monotonic()
        response = stack.call(function)
        assert time.monotonic() - start < DEADLINE_S
        assert response.status == status
        assert function != "record-sale" or is_outcome_unknown(response.body)
        arrivals = [
            entry for worker in stack.fleet.workers for entry in worker.log if entry["what"] == "arrive"
        ]
        time.sleep(0.3)
        assert len(arrivals) == sum(e["what"] == "arrive" for w in stack.fleet.workers for e in w.log)


def test_calls_are_rejected_while_all_workers_are_down_and_served_after_their_return() -> None:
    with running_gateway(2) as stack:
        for_all_workers(stack, StubWorker.stop)
        for function in ("record-sale", "identify-copy", "adjust-setting"):
            assert stack.call(function).status == 429
        for_all_workers(stack, StubWorker.start)
        eventually(lambda: stack.call("record-sale").status == 200)
        assert stack.run_count("record-sale") == 1


def test_calls_are_rejected_while_the_endpoint_list_is_empty() -> None:
    with running_gateway(1) as stack:
        stack.gateway.reload(configs.parse(json.dumps({**stack.content, "workers": []})))
        eventually(lambda: stack.call("record-sale").status == 429)


def test_a_response_at_the_deadline_gives_one_final_answer() -> None:
    profile = Profile(load_s=0.02, work_by_function={"record-sale": DEADLINE_S - 0.2 - 0.025})
    with running_gateway(1, profile=profile) as stack:
        endings = []
        for _ in range(6):
            sock = stack.connect()
            sock.sendall(invoke_request("record-sale"))
            sock.settimeout(0.3 + DEADLINE_S)
            data = sock.recv(65536)
            sock.settimeout(0.2)
            with pytest.raises(TimeoutError):
                sock.recv(1)  # no second response follows
            sock.close()
            assert data.count(b"HTTP/1.1 ") == 1
            endings.append(is_outcome_unknown(data.partition(b"\r\n\r\n")[2]))
        assert stack.run_count("record-sale") <= 6


def test_attempts_that_wait_for_a_connection_are_not_sent_to_a_drained_worker() -> None:
    """The worker's only connection is busy; attempts that wait for it must not be sent after the drain."""
    profile = Profile(work_s=0.4, load_s=0.01, cores=1)
    with running_gateway(1, profile=profile, limits={"worker_connections": 1}) as stack:
        clients = [stack.connect() for _ in range(4)]
        for sock in clients:
            sock.sendall(invoke_request("identify-copy"))
        worker = stack.fleet.workers[0]
        eventually(lambda: any(e["what"] == "arrive" for e in worker.log))
        entries = [{**entry, "state": "draining"} for entry in stack.content["workers"]]
        drained_s = time.monotonic()
        stack.gateway.reload(configs.parse(json.dumps({**stack.content, "workers": entries})))
        for sock in clients:
            assert sock.recv(65536).startswith((b"HTTP/1.1 200", b"HTTP/1.1 429"))
            sock.close()
        assert all(float(str(e["t"])) <= drained_s + 0.25 for e in worker.log if e["what"] == "arrive")


def test_no_attempt_is_sent_after_the_client_disconnects() -> None:
    with running_gateway(2) as stack:
        for_all_workers(stack, lambda worker: setattr(worker.faults, "silent", True))
        sock = stack.connect()
        sock.sendall(invoke_request("identify-copy"))
        eventually(lambda: any(e["what"] == "arrive" for w in stack.fleet.workers for e in w.log))
        sock.close()
        eventually(lambda: stack.gateway.engine.statistics.final_answers["gone"] == 1)
        eventually(lambda: stack.gateway.engine.open_calls == 0, DEADLINE_S + 2)
        assert sum(e["what"] == "arrive" for w in stack.fleet.workers for e in w.log) == 1
        eventually(lambda: stack.gateway.server.connections == 0)


def test_a_client_that_sends_one_byte_after_another_is_cut_off() -> None:
    with running_gateway(1, limits={"head_timeout_s": 0.5, "body_timeout_s": 0.5}) as stack:
        for start in (b"", invoke_request("identify-copy")[:-2]):
            sock = stack.connect()
            sock.sendall(start)
            response = b""
            for byte in b"POST / HTT" * 20:
                try:
                    sock.sendall(bytes([byte]) if not start else b" ")
                except OSError:
                    break
                sock.settimeout(0.05)
                try:
                    response += sock.recv(65536)
                    break
                except TimeoutError:
                    continue
            assert response.startswith((b"HTTP/1.1 408", b"HTTP/1.1 400", b"HTTP/1.1 200"))
            assert start or response.startswith(b"HTTP/1.1 408")
            sock.close()
        assert stack.call("identify-copy").status == 200


def test_a_client_that_pipelines_is_answered_in_order() -> None:
    with running_gateway(2) as stack:
        sock = stack.connect()
        body = b'{"n":%d}'
        head = b"POST /2015-03-31/functions/identify-copy/invocations HTTP/1.1\r\nHost: a\r\n"
        sock.sendall(
            b"".join(
                head
                + b"Content-Length: %d\r\n%s\r\n"
                % (len(body % n), b"Connection: close\r\n" if n == 9 else b"")
                + body % n
                for n in range(10)
            )
        )
        data = read_all(sock)
        assert data.count(b"HTTP/1.1 200 OK") == 10
        assert [data.index(b'"input":{"n":%d}' % n) for n in range(10)] == sorted(
            data.index(b'"input":{"n":%d}' % n) for n in range(10)
        )
        sock.close()


def test_a_client_that_never_reads_is_dropped_and_costs_only_its_thread() -> None:
    payload = b'"' + b"x" * 3_000_000 + b'"'
    with running_gateway(2, limits={"write_timeout_s": 0.5}) as stack:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        host, _, port = stack.address.rpartition(":")
        sock.connect((host, int(port)))
        sock.sendall(
            b"POST /2015-03-31/functions/identify-copy/invocations HTTP/1.1\r\nHost: a\r\n"
            b"Content-Length: %d\r\n\r\n" % len(payload) + payload
        )
        eventually(lambda: stack.gateway.engine.statistics.final_answers["served"] == 1)
        eventually(lambda: stack.gateway.server.connections == 0, 5)
        sock.close()
        assert stack.call("identify-copy").status == 200


def test_two_thousand_idle_connections() -> None:
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 8192)), hard))
    with running_gateway(1) as stack:
        socks: list[socket.socket] = []
        # The connections are opened in batches that fit the accept queue. When it overflows, the kernel may
        # drop connections that their clients consider open.
        for batch in range(1, 5):
            socks += [stack.connect() for _ in range(500)]
            eventually(lambda count=500 * batch: stack.gateway.server.connections == count)  # type: ignore[misc]
        assert stack.gateway.server.connections == 2000
        assert stack.call("identify-copy").status == 200
        for sock in socks[::500]:
            sock.sendall(invoke_request("identify-copy"))
            assert sock.recv(65536).startswith(b"HTTP/1.1 200")
        for sock in socks:
            sock.close()
        eventually(lambda: stack.gateway.server.connections == 0)
    resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))


def test_over_limit_connections_are_rejected_with_429() -> None:
    with running_gateway(1, limits={"connections": 3}) as stack:
        clients = [stack.connect() for _ in range(3)]
        eventually(lambda: stack.gateway.server.connections == 3)
        sock = stack.connect()
        assert read_all(sock).startswith(b"HTTP/1.1 429")
        sock.close()
        clients.pop().close()
        eventually(lambda: stack.gateway.server.connections == 2)
        assert stack.call("identify-copy").status == 200
        for sock in clients:
            sock.close()


def is_rejected(sock: socket.socket) -> bool:
    try:
        return read_all(sock).startswith(b"HTTP/1.1 429")
    except TimeoutError:
        return False


def test_accept_without_free_file_descriptors_rejects_clients() -> None:
    with running_gateway(1) as stack:
        assert stack.call("identify-copy").status == 200
        soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
        spare = [os.open(os.devnull, os.O_RDONLY) for _ in range(2)]
        client = stack.connect()
        eventually(lambda: stack.gateway.server.connections >= 1)
        new_clients = [socket.socket() for _ in range(8)]
        host, _, port = stack.address.rpartition(":")
        highest = max(int(name) for name in os.listdir("/proc/self/fd") if name.isdigit())
        resource.setrlimit(resource.RLIMIT_NOFILE, (highest + 1, hard))
        filler = []
        try:
            while True:
                filler.append(os.dup(spare[0]))
        except OSError as error:
            error_number = error.errno
        assert error_number == errno.EMFILE
        try:
            for sock in new_clients:
                sock.settimeout(1)
                sock.connect((host, int(port)))
            # Threads of earlier tests may still close descriptors, which the first clients then use.
            assert any(is_rejected(sock) for sock in new_clients)
            client.sendall(invoke_request("identify-copy"))  # an open connection is still served
            assert client.recv(65536).startswith(b"HTTP/1.1 ")
        finally:
            for descriptor in [*filler, *spare]:
                os.close(descriptor)
            resource.setrlimit(resource.RLIMIT_NOFILE, (soft, hard))
        for sock in [*new_clients, client]:
            sock.close()
        eventually(lambda: stack.call("identify-copy").status == 200)


# ---- deferred calls


@pytest.mark.parametrize(
    ("function", "condition", "runs"), [("record-sale", "OutcomeUnknown", 1), ("identify-copy", "Success", 2)]
)
def test_a_deferred_call_whose_response_is_lost(
    tmp_path: pathlib.Path, function: str, condition: str, runs: int
) -> None:
    with running_gateway(2, tmp_path) as stack:
        for_all_workers(stack, lambda worker: setattr(worker.faults, "lose_answers", 1.0))
        request_id = stack.call(function, kind="Event").headers.get("x-amzn-requestid")
        eventually(lambda: any(e["what"] == "lost" for w in stack.fleet.workers for e in w.log))
        for_all_workers(stack, lambda worker: setattr(worker.faults, "lose_answers", 0.0))
        assert stack.final_record(request_id)["requestContext"]["condition"] == condition
        assert (
            stack.run_count(function) >= runs
            if function == "identify-copy"
            else stack.run_count(function) == runs
        )


def test_destinations_are_invoked_with_the_invocation_record(tmp_path: pathlib.Path) -> None:
    fleet = StubWorkerFleet(2)
    content = configuration(fleet)["functions"]
    content[3] |= {"on_success": "identify-copy", "on_failure": "suggest-price"}
    with running_gateway(fleet=fleet, ledger=tmp_path, functions=content) as stack:
        request_id = stack.call("record-sale", b'{"n":1}', "Event").headers.get("x-amzn-requestid")
        assert stack.final_record(request_id)["requestContext"]["condition"] == "Success"
        eventually(lambda: stack.run_count("identify-copy") == 1)
        for_all_workers(stack, lambda worker: setattr(worker.faults, "lose_answers", 1.0))
        request_id = stack.call("record-sale", b'{"n":2}', "Event").headers.get("x-amzn-requestid")
        assert stack.final_record(request_id)["requestContext"]["condition"] == "OutcomeUnknown"
        eventually(lambda: stack.run_count("suggest-price") >= 1)
        assert stack.run_count("record-sale") == 2
    fleet.stop()


@pytest.mark.parametrize("function", ["record-sale", "identify-copy"])
def test_a_deferred_call_without_a_worker_expires(tmp_path: pathlib.Path, function: str) -> None:
    fleet = StubWorkerFleet(1)
    functions = [{**f, "maximum_event_age_s": 1.0} for f in configuration(fleet)["functions"]]
    with running_gateway(fleet=fleet, ledger=tmp_path, functions=functions) as stack:
        fleet.workers[0].stop()
        request_id = stack.call(function, kind="Event").headers.get("x-amzn-requestid")
        assert stack.get(f"/deferred/{request_id}").status == 202
        record = stack.final_record(request_id)
        assert record["requestContext"]["condition"] == "EventAgeExceeded"
        assert stack.run_count() == 0
    fleet.stop()


class FullDiskFiles(FileOperations):
    is_full = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.is_full:
            os.write(descriptor, data[:10])
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


def test_a_full_disk_rejects_deferred_calls_and_serves_synchronous_ones(tmp_path: pathlib.Path) -> None:
    fleet = StubWorkerFleet(2)
    files = FullDiskFiles()
    gateway = Gateway(configs.parse(json.dumps(configuration(fleet, tmp_path))), files=files)
    host, port = gateway.start()
    stack = Stack(gateway, fleet, {}, f"{host}:{port}")
    accepted_id = stack.call("identify-copy", kind="Event").headers.get("x-amzn-requestid")
    stack.final_record(accepted_id)
    files.is_full = True
    rejection = stack.call("record-sale", kind="Event")
    assert rejection.status == 429
    assert b"space" in rejection.body
    assert stack.call("record-sale").status == 200
    assert stack.get(f"/deferred/{accepted_id}").status == 200
    files.is_full = False
    deferred = stack.call("record-sale", kind="Event")
    assert deferred.status == 202
    stack.final_record(deferred.headers.get("x-amzn-requestid"))
    assert stack.run_count("record-sale") == 2
    assert gateway.stop()
    fleet.stop()


class GatewayProcess:
    """A gateway in a child process, which a test can kill."""

    def __init__(self, tmp_path: pathlib.Path, content: dict[str, object]) -> None:
        path = tmp_path / "gateway.json5"
        path.write_text(json.dumps(content))
        self.process = subprocess.Popen(
            [
                sys.executable,
                "-m",
                "saffronstack.cli.main",
                "serve",
                "--config",
                str(path),
                "--log-level",
                "error",
            ],
            stdout=subprocess.PIPE,
        )
        assert self.process.stdout is not None
        self.address = self.process.stdout.readline().decode().strip().rpartition("http://")[2]
        assert self.address

    def stop(self, signal_number: int) -> int:
        self.process.send_signal(signal_number)
        assert self.process.stdout is not None
        self.process.stdout.close()
        return self.process.wait(20)


def test_a_killed_gateway_finishes_its_deferred_calls_after_a_restart(tmp_path: pathlib.Path) -> None:
    """Each call that is queued, sent, or answered but not recorded at the kill has one outcome.

    No unsafe call is executed twice.
    """
    fleet = StubWorkerFleet(2, lambda n: Profile(load_s=0.01, work_by_function={"record-sale": 0.05}))
    content = configuration(fleet, tmp_path / "ledger")
    content["ledger"]["in_flight"] = 4
    gateway_process = GatewayProcess(tmp_path, content)
    stack = Stack(None, fleet, content, gateway_process.address)  # type: ignore[arg-type]
    ids = [
        stack.call(("record-sale", "identify-copy", "adjust-setting")[n % 3], kind="Event").headers.get(
            "x-amzn-requestid"
        )
        for n in range(45)
    ]
    eventually(lambda: stack.run_count("record-sale") >= 3)
    gateway_process.stop(signal.SIGKILL)
    time.sleep(0.2)  # attempts in flight end at the workers
    executed_ids = {str(e["id"]) for w in fleet.workers for e in w.runs("record-sale")}
    gateway_process = GatewayProcess(tmp_path, content)
    stack.address = gateway_process.address
    conditions = [stack.final_record(id_, 20)["requestContext"]["condition"] for id_ in ids]
    assert set(conditions) <= {"Success", "OutcomeUnknown"}
    sales = ids[0::3]
    for id_, condition in zip(sales, conditions[0::3], strict=True):
        runs = sum(e["id"] == id_ for w in fleet.workers for e in w.runs("record-sale"))
        assert runs == 1 if condition == "Success" else runs <= 1
        assert condition == "Success" or id_ in executed_ids or runs == 0
    assert conditions[1::3] == ["Success"] * 15
    assert gateway_process.stop(signal.SIGTERM) == 0
    fleet.stop()


def test_sigterm_answers_open_requests_and_exits_0(tmp_path: pathlib.Path) -> None:
    fleet = StubWorkerFleet(1, lambda n: Profile(load_s=0.01, work_s=0.6))
    gateway_process = GatewayProcess(tmp_path, configuration(fleet, tmp_path / "ledger"))
    stack = Stack(None, fleet, {}, gateway_process.address)  # type: ignore[arg-type]
    sock = stack.connect()
    sock.sendall(invoke_request("record-sale"))
    eventually(lambda: stack.run_count("record-sale") == 1)
    gateway_process.process.send_signal(signal.SIGTERM)
    assert read_all(sock).startswith(b"HTTP/1.1 200 OK")
    sock.close()
    assert gateway_process.stop(signal.SIGTERM) == 0
    fleet.stop()


def test_sighup_applies_new_workers_and_keeps_the_endpoint_list_on_a_broken_file(
    tmp_path: pathlib.Path,
) -> None:
    fleet = StubWorkerFleet(2)
    content = configuration(fleet)
    first, second = content["workers"]
    path = tmp_path / "gateway.json5"
    gateway_process = GatewayProcess(tmp_path, {**content, "workers": [first]})
    stack = Stack(None, fleet, content, gateway_process.address)  # type: ignore[arg-type]
    assert stack.call("identify-copy").status == 200
    path.write_text(json.dumps({**content, "workers": [second]}))
    gateway_process.process.send_signal(signal.SIGHUP)
    eventually(lambda: stack.call("identify-copy").status == 200 and fleet.workers[1].runs())
    runs_before = len(fleet.workers[0].runs())
    path.write_text('{"workers": [')
    gateway_process.process.send_signal(signal.SIGHUP)
    time.sleep(0.3)
    assert stack.call("identify-copy").status == 200
    assert len(fleet.workers[0].runs()) == runs_before
    assert gateway_process.stop(signal.SIGTERM) == 0
    fleet.stop()
