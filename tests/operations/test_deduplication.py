"""Operations end to end: lost responses, crashes, coalescing, replay and memory bounds."""

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
from saffronstack.harness.scenario.relay import Relay, seldom
from saffronstack.operations.operation_log import OperationFinished, open_operation_log
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import hold_port
from tests.support.operations import SealableFiles, logging_gateway, send, with_operation_log
from tests.support.stack import Stack, configuration, eventually, running

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


@pytest.mark.parametrize("lost", [1, 3])
@pytest.mark.parametrize("kind", ["RequestResponse", "Event"])
@pytest.mark.parametrize("function", ["record-sale", "adjust-setting", "identify-copy"])
def test_boto3_retries_lost_responses_and_the_operation_executes_once(
    tmp_path: pathlib.Path, function: str, kind: str, lost: int
) -> None:
    with running(2, ledger=tmp_path) as stack:
        left = [lost]

        def lose() -> bool:
            left[0] -= 1
            return left[0] >= 0

        relay = Relay(lambda: stack.address, lose)
        answer = lambda_client(relay.address).invoke(
            FunctionName=function, InvocationType=kind, Payload=b"{}"
        )
        assert answer["StatusCode"] == (200 if kind == "RequestResponse" else 202)
        headers = answer["ResponseMetadata"]["HTTPHeaders"]
        assert headers["x-saffron-repeated"] == "true"
        assert answer["ResponseMetadata"]["RetryAttempts"] == lost
        if kind == "Event":
            stack.final(answer["ResponseMetadata"]["RequestId"])
        assert stack.runs(function) == 1
        assert relay.lost == lost
        relay.close()


def test_concurrent_requests_of_one_operation_get_one_response(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path, Profile(work_s=0.1, load_s=0.02)) as stack:
        found: list[Response] = []
        gate = threading.Barrier(6)

        def one() -> None:
            gate.wait(5)
            found.append(send(stack, "record-sale", "op-1"))

        threads = [threading.Thread(target=one) for _ in range(6)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(10)
        assert {answer.status for answer in found} == {200}
        assert len({answer.body for answer in found}) == 1
        assert len({answer.headers.get("x-amzn-requestid") for answer in found}) == 1
        assert sorted("x-saffron-repeated" in answer.headers for answer in found) == [False] + 5 * [True]
        assert stack.runs("record-sale") == 1


def test_a_client_that_disconnects_and_retries_gets_its_response(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path, Profile(work_s=0.4, load_s=0.02)) as stack:
        sock = stack.raw()
        sock.sendall(
            b"POST /2015-03-31/functions/record-sale/invocations HTTP/1.1\r\nHost: a\r\n"
            b"amz-sdk-invocation-id: gone\r\nContent-Length: 2\r\n\r\n{}"
        )
        eventually(lambda: stack.runs("record-sale") == 1)
        sock.close()
        answer = send(stack, "record-sale", "gone")
        assert (answer.status, "x-saffron-repeated" in answer.headers) == (200, True)
        assert b'"run"' in answer.body
        assert send(stack, "record-sale", "gone").body == answer.body
        assert stack.runs("record-sale") == 1


def test_a_client_that_disconnects_before_any_attempt_leaves_nothing(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path) as stack:
        workers = stack.content["workers"]
        nobody = {**stack.content, "workers": [{**w, "state": "draining"} for w in workers]}
        stack.gateway.reload(configs.parse(json.dumps(nobody)))
        sock = stack.raw()
        sock.sendall(
            b"POST /2015-03-31/functions/record-sale/invocations HTTP/1.1\r\nHost: a\r\n"
            b"amz-sdk-invocation-id: early\r\nContent-Length: 2\r\n\r\n{}"
        )
        eventually(lambda: stack.gateway.operations and stack.gateway.operations.request_counts["begun"])
        sock.close()
        eventually(lambda: len(stack.gateway.operations.table) == 0 if stack.gateway.operations else False)
        stack.gateway.reload(configs.parse(json.dumps(stack.content)))
        eventually(lambda: send(stack, "record-sale", "early").status == 200)
        assert stack.runs("record-sale") == 1


def test_a_key_belongs_to_one_payload_and_one_tenant(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path) as stack:
        first = send(stack, "record-sale", "one", b'{"price": 1}', tenant="corner-books")
        wrong = send(stack, "record-sale", "one", b'{"price": 2}', tenant="corner-books")
        assert (wrong.status, b"another payload" in wrong.body) == (400, True)
        assert first.headers.get("x-amzn-requestid").encode() in wrong.body
        other = send(stack, "record-sale", "one", b'{"price": 2}', tenant="campus-app")
        assert (other.status, "x-saffron-repeated" in other.headers) == (200, False)
        assert send(stack, "record-sale", "one", b'{"price": 1}', tenant="corner-books").body == first.body
        assert stack.runs("record-sale") == 2


def test_a_response_of_six_megabytes_is_replayed_byte_for_byte(tmp_path: pathlib.Path) -> None:
    payload = b'{"x": "' + b"y" * (6 * 1024 * 1024 - 2000) + b'"}'
    limits = {"response_bytes": 7 * 1024 * 1024, "payload_bytes": 7 * 1024 * 1024}
    with logging_gateway(tmp_path) as stack:
        first = send(stack, "record-sale", "big", b'{"x": 1}')
        assert first.status == 200
    fleet = StandInFleet(1)
    content = with_operation_log(configuration(fleet, tmp_path / "l2", limits=limits), tmp_path / "o2")
    gateway = Gateway(configs.parse(json.dumps(content)))
    host, port = gateway.start()
    stack = Stack(gateway, fleet, content, f"{host}:{port}")
    first = send(stack, "record-sale", "big", payload)
    assert len(first.body) > 6 * 1024 * 1024 - 2000
    again = send(stack, "record-sale", "big", payload)
    assert again.body == first.body
    assert stack.runs("record-sale") == 1
    assert gateway.operations is not None
    assert gateway.operations.table.memory_bytes < 4096  # it is on disk
    for path in (tmp_path / "o2" / "answers").iterdir():
        path.write_bytes(path.read_bytes()[:-1])
    damaged = send(stack, "record-sale", "big", payload)
    assert (damaged.status, b"AnswerNotKept" in damaged.body) == (200, True)
    assert damaged.headers.get("x-amz-function-error") == "Unhandled"
    assert stack.runs("record-sale") == 1
    gateway.stop()
    fleet.stop()


@pytest.mark.parametrize("function", ["record-sale", "adjust-setting"])
def test_a_crash_between_execution_and_response(tmp_path: pathlib.Path, function: str) -> None:
    """The next process knows an unknown outcome, or retries where a worker recognises the key."""
    fleet = StandInFleet(2, lambda n: Profile(work_s=0.3, load_s=0.02))
    files = SealableFiles()
    with logging_gateway(tmp_path / "first", fleet=fleet, files=files) as stack:
        sender = threading.Thread(target=lambda: send(stack, function, "op"))
        sender.start()
        eventually(lambda: stack.runs(function) == 1)
        files.is_sealed = True
        shutil.copytree(tmp_path / "first", tmp_path / "second")
        sender.join(10)
    with logging_gateway(tmp_path / "second", fleet=fleet) as stack:
        answer = send(stack, function, "op")
        again = send(stack, function, "op")
        assert answer.status == again.status == 200
        assert again.body == answer.body
        if function == "record-sale":
            assert UNKNOWN in answer.body
            assert answer.headers.get("x-amz-function-error") == "Unhandled"
            assert stack.runs(function) == 1
        else:
            keys = {run["key"] for worker in fleet.workers for run in worker.runs(function)}
            assert len(keys) == 1  # workers can recognise a retry by its key
            assert len({run["id"] for worker in fleet.workers for run in worker.runs(function)}) == 1
    fleet.stop()


def test_a_logged_response_survives_a_restart(tmp_path: pathlib.Path) -> None:
    fleet = StandInFleet(2)
    with logging_gateway(tmp_path, fleet=fleet) as stack:
        first = send(stack, "record-sale", "op", b'{"n": 1}')
        deferred = send(stack, "record-sale", "later", kind="Event")
    with logging_gateway(tmp_path, fleet=fleet) as stack:
        again = send(stack, "record-sale", "op", b'{"n": 1}')
        assert (again.status, again.body) == (200, first.body)
        assert again.headers.get("x-amzn-requestid") == first.headers.get("x-amzn-requestid")
        repeated = send(stack, "record-sale", "later", kind="Event")
        assert repeated.status == 202
        assert repeated.headers.get("x-amzn-requestid") == deferred.headers.get("x-amzn-requestid")
        stack.final(deferred.headers.get("x-amzn-requestid"))
        assert stack.runs("record-sale") == 2
    fleet.stop()


def test_a_retry_of_a_deferred_operation_that_is_recovered(tmp_path: pathlib.Path) -> None:
    fleet = StandInFleet(1, lambda n: Profile(work_s=0.4, load_s=0.02))
    files = SealableFiles()
    with logging_gateway(tmp_path / "first", fleet=fleet, files=files) as stack:
        first = send(stack, "adjust-setting", "op", kind="Event")
        eventually(lambda: stack.runs() == 1)
        files.is_sealed = True
        shutil.copytree(tmp_path / "first", tmp_path / "second")
    with logging_gateway(tmp_path / "second", fleet=fleet) as stack:
        again = send(stack, "adjust-setting", "op", kind="Event")
        assert again.headers.get("x-amzn-requestid") == first.headers.get("x-amzn-requestid")
        record = stack.final(first.headers.get("x-amzn-requestid"))
        assert record["requestContext"]["condition"] == "Success"
        third = send(stack, "adjust-setting", "op", kind="Event")
        assert third.headers.get("x-amzn-requestid") == first.headers.get("x-amzn-requestid")
    fleet.stop()


def test_a_call_without_a_key_that_may_have_executed_is_not_rejected() -> None:
    """Its worker executes it and stops, and no other is in its deduplication scope: a 429 would be wrong."""
    with running(1, profile=Profile(work_s=0.3, load_s=0.02)) as stack:
        found: list[Response] = []
        thread = threading.Thread(target=lambda: found.append(stack.call("adjust-setting")))
        thread.start()
        eventually(lambda: stack.runs("adjust-setting") == 1)
        stack.fleet.workers[0].stop()
        thread.join(10)
        assert (found[0].status, UNKNOWN in found[0].body) == (200, True)
        named: list[Response] = []
        stack.fleet.workers[0].start()
        eventually(lambda: stack.call("identify-copy").status == 200)
        thread = threading.Thread(target=lambda: named.append(send(stack, "adjust-setting", "op")))
        thread.start()
        eventually(lambda: stack.runs("adjust-setting") == 2)
        stack.fleet.workers[0].stop()
        thread.join(10)
        stack.fleet.workers[0].start()
        if named[0].status == 429:  # harmless: a retry goes to the same worker with the same key
            eventually(lambda: send(stack, "adjust-setting", "op").status == 200)
        else:
            assert UNKNOWN in named[0].body
        keys = [run["key"] for run in stack.fleet.workers[0].runs("adjust-setting")]
        assert keys.count("corner-books:sdk:op") >= 1


def test_a_full_disk_rejects_operations_that_must_be_logged(tmp_path: pathlib.Path) -> None:
    files = SealableFiles()
    with logging_gateway(tmp_path, files=files) as stack:
        first = send(stack, "record-sale", "before")
        files.is_sealed = True
        for n in range(20):
            refused = send(stack, "record-sale", f"op-{n}")
            assert (refused.status, "retry-after" in refused.headers) == (429, True)
        assert stack.runs("record-sale") == 1
        assert send(stack, "record-sale", "before").body == first.body
        assert send(stack, "identify-copy", "safe").status == 200
        files.is_sealed = False
        eventually(lambda: send(stack, "record-sale", "op-3").status == 200)
        assert stack.runs("record-sale") == 2
        assert "saffronstack_operations_notes_failing 0.0" in stack.get("/metrics").body.decode()


def test_a_log_of_another_version_stops_the_start(tmp_path: pathlib.Path) -> None:
    log = open_operation_log(str(tmp_path / "operations"), 1 << 20)
    assert log.append(OperationFinished(b"d" * 12, b"no such thing", time.time() + 100)).done.wait(5)
    assert log.close()
    fleet = StandInFleet(0)
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(with_operation_log(configuration(fleet), tmp_path / "operations")))
    command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
    done = subprocess.run(command, check=False, capture_output=True, text=True, timeout=30)
    assert (done.returncode, "another version" in done.stderr) == (2, True)


def test_memory_is_bounded_and_rejections_say_when_to_retry(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path, memory_bytes=65536, window_s=30.0) as stack:
        operations = stack.gateway.operations
        assert operations is not None
        for worker in stack.fleet.workers:
            worker.faults.reset_mid_answer = True
        statuses = []
        for n in range(250):
            answer = send(stack, "record-sale", f"op-{n}")
            statuses.append(answer.status)
            assert operations.table.memory_bytes <= 65536
            if answer.status == 429:
                assert 1 <= int(answer.headers.get("retry-after")) <= 31
                break
        assert statuses[-1] == 429
        ran = stack.runs("record-sale")
        for n in (0, 5, len(statuses) - 2):  # operations with an unknown outcome are not evicted
            assert UNKNOWN in send(stack, "record-sale", f"op-{n}").body
        assert stack.runs("record-sale") == ran
        assert send(stack, "identify-copy", "safe").status in (200, 429)


def test_requests_before_and_after_the_end_of_the_window(tmp_path: pathlib.Path) -> None:
    """A request before the end is replayed, one after it is executed; the test sets the gateway's clock."""
    shift = [0.0]
    fleet = StandInFleet(1)
    content = with_operation_log(configuration(fleet), tmp_path / "o", window_s=50.0)
    gateway = Gateway(configs.parse(json.dumps(content)), clock=lambda: time.monotonic() + shift[0])
    host, port = gateway.start()
    stack = Stack(gateway, fleet, content, f"{host}:{port}")
    first = send(stack, "record-sale", "op")
    shift[0] = 45.0
    assert send(stack, "record-sale", "op").body == first.body
    shift[0] = 51.0
    assert send(stack, "record-sale", "op").body != first.body
    assert stack.runs("record-sale") == 2
    gateway.stop()
    fleet.stop()


def test_operations_on_the_command_line_and_without_deduplication(tmp_path: pathlib.Path) -> None:
    with logging_gateway(tmp_path) as stack:
        send(stack, "record-sale", "op-7", b'{"price": 3}')
        run = [
            sys.executable,
            "-m",
            "saffronstack.cli.main",
            "operation",
            "show",
            "op-7",
            "--to",
            stack.address,
        ]
        shown = subprocess.run(run, check=False, capture_output=True, text=True, timeout=20)
        assert shown.returncode == 0, shown.stderr
        assert "record-sale" in shown.stdout
        assert "ended" in shown.stdout
        assert "in memory" in shown.stdout
        missing = subprocess.run(
            [*run[:5], "none", *run[6:]], check=False, capture_output=True, text=True, timeout=20
        )
        assert (missing.returncode, "No operation" in missing.stderr) == (1, True)
        other = stack.client(tenant="campus-app")
        assert other.request("GET", "/operations/op-7").status == 404
        other.close()
    with running(1, operations=None) as stack:
        answers = [send(stack, "record-sale", "op") for _ in range(2)]
        assert stack.runs("record-sale") == 2
        assert "x-saffron-repeated" not in answers[1].headers


def test_contradictory_log_settings_are_rejected() -> None:
    fleet = StandInFleet(0)
    content = with_operation_log(configuration(fleet), None)
    content["classes"][-1]["note_operations"] = True
    with pytest.raises(configs.ConfigError, match=r"note_operations needs operations\.directory"):
        configs.parse(json.dumps(content))
    content = with_operation_log(configuration(fleet), pathlib.Path("x"))
    content["classes"][0]["note_operations"] = True
    with pytest.raises(configs.ConfigError, match="note_operations is for what must not run twice"):
        configs.parse(json.dumps(content))


def test_boto3_through_lost_responses_and_crashes(tmp_path: pathlib.Path) -> None:
    """A third of the responses is lost and the gateway crashes often: no operation executes twice."""
    fleet = StandInFleet(2, lambda n: Profile(work_s=0.005, load_s=0.02))
    path = tmp_path / "gateway.json5"
    content = with_operation_log(configuration(fleet, tmp_path / "ledger"), tmp_path / "operations")
    held = hold_port("127.0.0.1")  # reserves the port while no gateway listens
    content["listen"] = f"127.0.0.1:{held.getsockname()[1]}"
    path.write_text(json.dumps(content))

    def start() -> subprocess.Popen[bytes]:
        command = [sys.executable, "-m", "saffronstack.cli.main", "serve", "--config", str(path)]
        process = subprocess.Popen([*command, "--log-level", "error"], stdout=subprocess.PIPE)
        assert process.stdout is not None
        assert b"http://" in process.stdout.readline()
        return process

    process = start()
    relay = Relay(lambda: content["listen"], seldom(1 / 3, 5))
    ended: list[tuple[str, str, Any]] = []
    lock = threading.Lock()

    def work(number: int) -> None:
        client = lambda_client(relay.address, ("standard", "adaptive")[number % 2], 12)
        for n in range(12):
            op = f"{number}-{n}-{uuid.uuid4().hex[:6]}"
            kind = ("RequestResponse", "Event")[n % 2]
            payload = json.dumps({"op": op}).encode()
            function = ("record-sale", "adjust-setting")[n % 3 == 0]
            try:
                answer = client.invoke(FunctionName=function, InvocationType=kind, Payload=payload)
                result: Any = answer["ResponseMetadata"]["RequestId"]
            except Exception as error:  # noqa: BLE001 - whatever the SDK raises is the result
                result = error
            with lock:
                ended.append((op, kind, result))

    threads = [threading.Thread(target=work, args=(n,)) for n in range(6)]
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
    for _, kind, result in ended:
        if kind == "Event" and isinstance(result, str):
            stack.final(result)
    runs: dict[str, set[str]] = {}
    for worker in fleet.workers:
        for run in worker.runs():
            runs.setdefault(str(run["op"]), set()).add(str(run["id"]))
    sales = [run["op"] for worker in fleet.workers for run in worker.runs("record-sale")]
    assert len(ended) == 72
    assert len(sales) == len(set(sales)), "a sale ran twice"
    assert all(len(ids) == 1 for ids in runs.values()), "an operation had two calls"
    assert sum(isinstance(result, str) for _, _, result in ended) >= 70
    assert relay.lost > 10
    process.terminate()
    assert process.wait(20) == 0
    assert process.stdout is not None
    process.stdout.close()
    relay.close()
    held.close()
    fleet.stop()
