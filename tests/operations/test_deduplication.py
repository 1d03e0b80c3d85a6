"""End-to-end tests of operations: lost responses, crashes, coalescing, replay and memory limits."""

from __future__ import annotations

import json
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import threading
import time
import uuid
from typing import Any

import boto3
import pytest
from botocore.config import Config as BotoConfig

from saffronstack import config as configs
from saffronstack.client import Response
from saffronstack.gateway import Gateway
from saffronstack.harness.scenario.relay import Relay, lose_randomly
from saffronstack.operations.operation_log import OperationFinished, open_operation_log
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import reserve_port
from tests.support.operations import SealableFiles, logging_gateway, send, with_operation_log
from tests.support.stack import Stack, configuration, eventually, running_gateway

UNKNOWN = b"Saffronstack.OutcomeUnknown"


def lambda_client(address: str, mode: str = "standard", attempts: int = 8) -> Any:
    retries: Any = {"mode": mode, "total_max_attempts": attempts}
    return boto3.client(
        "lambda",
        endpoint_url=f"http://{address}",
        region_name="us-east-1",
        aws_access_key_id="corner-books",
        aws_secret_access_key="none",
        config=BotoConfig(retries=retries, read_timeout=10, max_pool_connections=50),
    )


@pytest.mark.parametrize("lost_responses", [1, 3])
@pytest.mark.parametrize("invocation_type", ["RequestResponse", "Event"])
@pytest.mark.parametrize("function", ["record-sale", "adjust-setting", "identify-copy"])
def test_boto3_retries_lost_responses_and_the_operation_executes_once(
    tmp_path: pathlib.Path, function: str, invocation_type: str, lost_responses: int
) -> None:
    with running_gateway(2, ledger=tmp_path) as stack:
        remaining = [lost_responses]

        def loses_response() -> bool:
            remaining[0] -= 1
            return remaining[0] >= 0

        relay = Relay(lambda: stack.address, loses_response)
        response = lambda_client(relay.address).invoke(
            FunctionName=function, InvocationType=invocation_type, Payload=b"{}"
        )
        assert response["StatusCode"] == (200 if invocation_type == "RequestResponse" else 202)
        headers = response["ResponseMetadata"]["HTTPHeaders"]
        assert headers["x-saffron-repeated"] == "true"
        assert response["ResponseMetadata"]["RetryAttempts"] == lost_responses
        if invocation_type == "Event":
            stack.final_record(response["ResponseMetadata"]["RequestId"])
        assert stack.run_count(function) == 1
        assert relay.lost == lost_responses
        relay.close()


def test_concurrent_requests_of_one_operation_get_one_response(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path, Profile(work_s=0.1, load_s=0.02)) as stack:
        responses: list[Response] = []
        barrier = threading.Barrier(6)

        def send_one() -> None:
            barrier.wait(5)
            responses.append(send(stack, "record-sale", "op-1"))

        threads = [threading.Thread(target=send_one) for _ in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        assert {response.status for response in responses} == {200}
        assert len({response.body for response in responses}) == 1
        assert len({response.headers.get("x-amzn-requestid") for response in responses}) == 1
        assert sorted("x-saffron-repeated" in response.headers for response in responses) == [False] + 5 * [
            True
        ]
        assert stack.run_count("record-sale") == 1


def test_a_client_that_disconnects_and_retries_gets_its_response(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path, Profile(work_s=0.4, load_s=0.02)) as stack:
        sock = stack.connect()
        sock.sendall(
            b"POST /2015-03-31/functions/record-sale/invocations HTTP/1.1\r\nHost: a\r\n"
            b"amz-sdk-invocation-id: gone\r\nContent-Length: 2\r\n\r\n{}"
        )
        eventually(lambda: stack.run_count("record-sale") == 1)
        sock.close()
        response = send(stack, "record-sale", "gone")
        assert (response.status, "x-saffron-repeated" in response.headers) == (200, True)
        assert b'"run"' in response.body
        assert send(stack, "record-sale", "gone").body == response.body
        assert stack.run_count("record-sale") == 1


def test_a_client_that_disconnects_before_any_attempt_leaves_nothing(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path) as stack:
        workers = stack.content["workers"]
        all_draining = {**stack.content, "workers": [{**worker, "state": "draining"} for worker in workers]}
        stack.gateway.reload(configs.parse(json.dumps(all_draining)))
        sock = stack.connect()
        sock.sendall(
            b"POST /2015-03-31/functions/record-sale/invocations HTTP/1.1\r\nHost: a\r\n"
            b"amz-sdk-invocation-id: early\r\nContent-Length: 2\r\n\r\n{}"
        )
        eventually(lambda: stack.gateway.operations and stack.gateway.operations.request_counts["begun"])
        sock.close()
        eventually(lambda: len(stack.gateway.operations.table) == 0 if stack.gateway.operations else False)
        stack.gateway.reload(configs.parse(json.dumps(stack.content)))
        eventually(lambda: send(stack, "record-sale", "early").status == 200)
        assert stack.run_count("record-sale") == 1


def test_a_key_belongs_to_one_payload_and_one_tenant(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path) as stack:
        first = send(stack, "record-sale", "one", b'{"price": 1}', tenant="corner-books")
        mismatch = send(stack, "record-sale", "one", b'{"price": 2}', tenant="corner-books")
        assert (mismatch.status, b"another payload" in mismatch.body) == (400, True)
        assert first.headers.get("x-amzn-requestid").encode() in mismatch.body
        other_tenant = send(stack, "record-sale", "one", b'{"price": 2}', tenant="campus-app")
        assert (other_tenant.status, "x-saffron-repeated" in other_tenant.headers) == (200, False)
        assert send(stack, "record-sale", "one", b'{"price": 1}', tenant="corner-books").body == first.body
        assert stack.run_count("record-sale") == 2


def test_a_response_of_six_megabytes_is_replayed_byte_for_byte(tmp_path: pathlib.Path) -> None:
    payload = b'{"x": "' + b"y" * (6 * 1024 * 1024 - 2000) + b'"}'
    limits = {"response_bytes": 7 * 1024 * 1024, "payload_bytes": 7 * 1024 * 1024}
    with logging_gateway(tmp_path) as stack:
        first = send(stack, "record-sale", "big", b'{"x": 1}')
        assert first.status == 200
    fleet = StubWorkerFleet(1)
    content = with_operation_log(configuration(fleet, tmp_path / "l2", limits=limits), tmp_path / "o2")
    gateway = Gateway(configs.parse(json.dumps(content)))
    host, port = gateway.start()
    stack = Stack(gateway, fleet, content, f"{host}:{port}")
    first = send(stack, "record-sale", "big", payload)
    assert len(first.body) > 6 * 1024 * 1024 - 2000
    again = send(stack, "record-sale", "big", payload)
    assert again.body == first.body
    assert stack.run_count("record-sale") == 1
    assert gateway.operations is not None
    assert gateway.operations.table.memory_bytes < 4096  # the body is on disk
    for path in (tmp_path / "o2" / "answers").iterdir():
        path.write_bytes(path.read_bytes()[:-1])
    damaged = send(stack, "record-sale", "big", payload)
    assert (damaged.status, b"AnswerNotKept" in damaged.body) == (200, True)
    assert damaged.headers.get("x-amz-function-error") == "Unhandled"
    assert stack.run_count("record-sale") == 1
    gateway.stop()
    fleet.stop()


@pytest.mark.parametrize("function", ["record-sale", "adjust-setting"])
def test_a_crash_between_execution_and_response(tmp_path: pathlib.Path, function: str) -> None:
    """After the restart the outcome is unknown, or a retry is executed if workers deduplicate by key."""
    fleet = StubWorkerFleet(2, lambda n: Profile(work_s=0.3, load_s=0.02))
    files = SealableFiles()
    with logging_gateway(tmp_path / "first", fleet=fleet, files=files) as stack:
        sender = threading.Thread(target=lambda: send(stack, function, "op"))
        sender.start()
        eventually(lambda: stack.run_count(function) == 1)
        files.is_sealed = True
        shutil.copytree(tmp_path / "first", tmp_path / "second")
        sender.join(10)
    with logging_gateway(tmp_path / "second", fleet=fleet) as stack:
        response = send(stack, function, "op")
        replayed = send(stack, function, "op")
        assert response.status == replayed.status == 200
        assert replayed.body == response.body
        if function == "record-sale":
            assert UNKNOWN in response.body
            assert response.headers.get("x-amz-function-error") == "Unhandled"
            assert stack.run_count(function) == 1
        else:
            keys = {run["key"] for worker in fleet.workers for run in worker.runs(function)}
            assert len(keys) == 1  # workers can deduplicate the retry by its key
            assert len({run["id"] for worker in fleet.workers for run in worker.runs(function)}) == 1
    fleet.stop()


def test_a_logged_response_survives_a_restart(tmp_path: pathlib.Path) -> None:
    fleet = StubWorkerFleet(2)
    with logging_gateway(tmp_path, fleet=fleet) as stack:
        first = send(stack, "record-sale", "op", b'{"n": 1}')
        deferred = send(stack, "record-sale", "later", kind="Event")
    with logging_gateway(tmp_path, fleet=fleet) as stack:
        replayed = send(stack, "record-sale", "op", b'{"n": 1}')
        assert (replayed.status, replayed.body) == (200, first.body)
        assert replayed.headers.get("x-amzn-requestid") == first.headers.get("x-amzn-requestid")
        repeated_event = send(stack, "record-sale", "later", kind="Event")
        assert repeated_event.status == 202
        assert repeated_event.headers.get("x-amzn-requestid") == deferred.headers.get("x-amzn-requestid")
        stack.final_record(deferred.headers.get("x-amzn-requestid"))
        assert stack.run_count("record-sale") == 2
    fleet.stop()


def test_a_retry_of_a_deferred_operation_that_is_recovered(tmp_path: pathlib.Path) -> None:
    fleet = StubWorkerFleet(1, lambda n: Profile(work_s=0.4, load_s=0.02))
    files = SealableFiles()
    with logging_gateway(tmp_path / "first", fleet=fleet, files=files) as stack:
        first = send(stack, "adjust-setting", "op", kind="Event")
        eventually(lambda: stack.run_count() == 1)
        files.is_sealed = True
        shutil.copytree(tmp_path / "first", tmp_path / "second")
    with logging_gateway(tmp_path / "second", fleet=fleet) as stack:
        again = send(stack, "adjust-setting", "op", kind="Event")
        assert again.headers.get("x-amzn-requestid") == first.headers.get("x-amzn-requestid")
        record = stack.final_record(first.headers.get("x-amzn-requestid"))
        assert record["requestContext"]["condition"] == "Success"
        third = send(stack, "adjust-setting", "op", kind="Event")
        assert third.headers.get("x-amzn-requestid") == first.headers.get("x-amzn-requestid")
    fleet.stop()


def test_a_call_without_a_key_that_may_have_executed_is_not_rejected() -> None:
    """A 429 would report that the call had no effect, but its worker may have executed it before it stopped.

    Only this worker deduplicates the call, so no other worker can take a retry.
    """
    with running_gateway(1, profile=Profile(work_s=0.3, load_s=0.02)) as stack:
        responses: list[Response] = []
        thread = threading.Thread(target=lambda: responses.append(stack.call("adjust-setting")))
        thread.start()
        eventually(lambda: stack.run_count("adjust-setting") == 1)
        stack.fleet.workers[0].stop()
        thread.join(10)
        assert (responses[0].status, UNKNOWN in responses[0].body) == (200, True)
        keyed_responses: list[Response] = []
        stack.fleet.workers[0].start()
        eventually(lambda: stack.call("identify-copy").status == 200)
        thread = threading.Thread(target=lambda: keyed_responses.append(send(stack, "adjust-setting", "op")))
        thread.start()
        eventually(lambda: stack.run_count("adjust-setting") == 2)
        stack.fleet.workers[0].stop()
        thread.join(10)
        stack.fleet.workers[0].start()
        if keyed_responses[0].status == 429:  # safe: a retry goes to the same worker with the same key
            eventually(lambda: send(stack, "adjust-setting", "op").status == 200)
        else:
            assert UNKNOWN in keyed_responses[0].body
        keys = [run["key"] for run in stack.fleet.workers[0].runs("adjust-setting")]
        assert keys.count("corner-books:sdk:op") >= 1


def test_a_full_disk_rejects_operations_that_must_be_logged(tmp_path: pathlib.Path) -> None:
    files = SealableFiles()
    with logging_gateway(tmp_path, files=files) as stack:
        first = send(stack, "record-sale", "before")
        files.is_sealed = True
        for n in range(20):
            rejected = send(stack, "record-sale", f"op-{n}")
            assert (rejected.status, "retry-after" in rejected.headers) == (429, True)
        assert stack.run_count("record-sale") == 1
        assert send(stack, "record-sale", "before").body == first.body
        assert send(stack, "identify-copy", "safe").status == 200
        files.is_sealed = False
        eventually(lambda: send(stack, "record-sale", "op-3").status == 200)
        assert stack.run_count("record-sale") == 2
        assert "saffronstack_operations_notes_failing 0.0" in stack.get("/metrics").body.decode()


def test_a_log_of_another_version_stops_the_start(tmp_path: pathlib.Path) -> None:
    log = open_operation_log(str(tmp_path / "operations"), 1 << 20)
    assert log.append(OperationFinished(b"d" * 12, b"no such thing", time.time() + 100)).done.wait(5)
    assert log.close()
    fleet = StubWorkerFleet(0)
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(with_operation_log(configuration(fleet), tmp_path / "operations")))
    command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
    completed_process = subprocess.run(command, check=False, capture_output=True, text=True, timeout=30)
    assert (completed_process.returncode, "another version" in completed_process.stderr) == (2, True)


def test_memory_is_bounded_and_rejections_say_when_to_retry(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path, memory_bytes=65536, window_s=30.0) as stack:
        operations = stack.gateway.operations
        assert operations is not None
        for worker in stack.fleet.workers:
            worker.faults.reset_mid_answer = True
        statuses = []
        for n in range(250):
            response = send(stack, "record-sale", f"op-{n}")
            statuses.append(response.status)
            assert operations.table.memory_bytes <= 65536
            if response.status == 429:
                assert 1 <= int(response.headers.get("retry-after")) <= 31
                break
        assert statuses[-1] == 429
        runs_before = stack.run_count("record-sale")
        for n in (0, 5, len(statuses) - 2):  # operations with an unknown outcome are not evicted
            assert UNKNOWN in send(stack, "record-sale", f"op-{n}").body
        assert stack.run_count("record-sale") == runs_before
        assert send(stack, "identify-copy", "safe").status in (200, 429)


def test_requests_before_and_after_the_end_of_the_window(tmp_path: pathlib.Path) -> None:
    """A request within the window gets a replay, a later one is executed. The test moves the clock."""
    clock_offset_s = [0.0]
    fleet = StubWorkerFleet(1)
    content = with_operation_log(configuration(fleet), tmp_path / "o", window_s=50.0)
    gateway = Gateway(configs.parse(json.dumps(content)), clock=lambda: time.monotonic() + clock_offset_s[0])
    host, port = gateway.start()
    stack = Stack(gateway, fleet, content, f"{host}:{port}")
    first = send(stack, "record-sale", "op")
    clock_offset_s[0] = 45.0
    assert send(stack, "record-sale", "op").body == first.body
    clock_offset_s[0] = 51.0
    assert send(stack, "record-sale", "op").body != first.body
    assert stack.run_count("record-sale") == 2
    gateway.stop()
    fleet.stop()


def test_operations_on_the_command_line_and_without_deduplication(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path) as stack:
        send(stack, "record-sale", "op-7", b'{"price": 3}')
        command = [
            sys.executable,
            "-m",
            "saffronstack.cli.main",
            "operation",
            "show",
            "op-7",
            "--to",
            stack.address,
        ]
        show_result = subprocess.run(command, check=False, capture_output=True, text=True, timeout=20)
        assert show_result.returncode == 0, show_result.stderr
        assert "record-sale" in show_result.stdout
        assert "ended" in show_result.stdout
        assert "in memory" in show_result.stdout
        unknown_key_result = subprocess.run(
            [*command[:5], "none", *command[6:]], check=False, capture_output=True, text=True, timeout=20
        )
        assert (unknown_key_result.returncode, "No operation" in unknown_key_result.stderr) == (1, True)
        other_tenant_client = stack.client(tenant="campus-app")
        assert other_tenant_client.request("GET", "/operations/op-7").status == 404
        other_tenant_client.close()
    with running_gateway(1, operations=None) as stack:
        responses = [send(stack, "record-sale", "op") for _ in range(2)]
        assert stack.run_count("record-sale") == 2
        assert "x-saffron-repeated" not in responses[1].headers


def test_contradictory_log_settings_are_rejected() -> None:
    fleet = StubWorkerFleet(0)
    content = with_operation_log(configuration(fleet), None)
    content["classes"][-1]["note_operations"] = True
    with pytest.raises(configs.ConfigError, match=r"note_operations needs operations\.directory"):
        configs.parse(json.dumps(content))
    content = with_operation_log(configuration(fleet), pathlib.Path("x"))
    content["classes"][0]["note_operations"] = True
    with pytest.raises(configs.ConfigError, match="note_operations is for what must not run twice"):
        configs.parse(json.dumps(content))


def test_boto3_through_lost_responses_and_crashes(tmp_path: pathlib.Path) -> None:
    """No operation executes twice while a third of the responses is lost and the gateway crashes."""
    fleet = StubWorkerFleet(2, lambda n: Profile(work_s=0.005, load_s=0.02))
    path = tmp_path / "gateway.json5"
    content = with_operation_log(configuration(fleet, tmp_path / "ledger"), tmp_path / "operations")
    reserved_port = reserve_port("127.0.0.1")  # keeps the port reserved while no gateway listens
    content["listen"] = f"127.0.0.1:{reserved_port.getsockname()[1]}"
    path.write_text(json.dumps(content))

    def start() -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
        process = subprocess.Popen([*command, "--log-level", "error"], stdout=subprocess.PIPE)
        assert process.stdout is not None
        assert b"http://" in process.stdout.readline()
        return process

    process = start()
    relay = Relay(lambda: content["listen"], lose_randomly(1 / 3, 5))
    results: list[tuple[str, str, Any]] = []
    lock = threading.Lock()

    def invoke_operations(number: int) -> None:
        client = lambda_client(relay.address, ("standard", "adaptive")[number % 2], 12)
        for n in range(12):
            op = f"{number}-{n}-{uuid.uuid4().hex[:6]}"
            invocation_type = ("RequestResponse", "Event")[n % 2]
            payload = json.dumps({"op": op}).encode()
            function = ("record-sale", "adjust-setting")[n % 3 == 0]
            try:
                response = client.invoke(
                    FunctionName=function, InvocationType=invocation_type, Payload=payload
                )
                result: Any = response["ResponseMetadata"]["RequestId"]
            except Exception as error:  # noqa: BLE001 - any error of the SDK is the result
                result = error
            with lock:
                results.append((op, invocation_type, result))

    threads = [threading.Thread(target=invoke_operations, args=(n,)) for n in range(6)]
    for thread in threads:
        thread.start()
    for _ in range(4):
        time.sleep(0.8)
        os.kill(process.pid, signal.SIGKILL)
        process.wait(10)
        assert process.stdout is not None
        process.stdout.close()
        process = start()
    for thread in threads:
        thread.join(120)
        assert not thread.is_alive()
    stack = Stack(None, fleet, content, content["listen"])  # type: ignore[arg-type]
    for _, invocation_type, result in results:
        if invocation_type == "Event" and isinstance(result, str):
            stack.final_record(result)
    runs: dict[str, set[str]] = {}
    for worker in fleet.workers:
        for run in worker.runs():
            runs.setdefault(str(run["op"]), set()).add(str(run["id"]))
    sales = [run["op"] for worker in fleet.workers for run in worker.runs("record-sale")]
    assert len(results) == 72
    assert len(sales) == len(set(sales)), "a sale ran twice"
    assert all(len(ids) == 1 for ids in runs.values()), "an operation had two calls"
    assert sum(isinstance(result, str) for _, _, result in results) >= 70
    assert relay.lost > 10
    process.terminate()
    assert process.wait(20) == 0
    assert process.stdout is not None
    process.stdout.close()
    relay.close()
    reserved_port.close()
    fleet.stop()
