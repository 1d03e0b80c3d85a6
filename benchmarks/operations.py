"""Measure the operation log: its cost, memory, slot take-over, and boto3 with lost responses and kills.

python benchmarks/operations.py [--rounds 5] [--seconds 2] [--names 1000000] [--notes 100000] [--only PART]
"""

from __future__ import annotations

import argparse
import gc
import json
import os
import pathlib
import random
import signal
import statistics
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any

import boto3
import psutil
from botocore.config import Config as BotoConfig
from gateway import FUNCTIONS, REQUEST_TEMPLATE, run_load, start_gateway

from saffronstack.harness.scenario.processes import StubWorkersProcess
from saffronstack.harness.scenario.relay import Relay, lose_randomly
from saffronstack.operations.decisions import Execute
from saffronstack.operations.operation import OperationState, StoredResponse
from saffronstack.operations.operation_log import AttemptStarted, open_operation_log
from saffronstack.operations.operation_service import OperationService
from saffronstack.operations.operation_table import OperationTable
from saffronstack.operations.slot_assignment import SLOT_COUNT
from saffronstack.operations.slot_handover import OperationHandover
from saffronstack.operations.slot_locks import RecordLocation
from saffronstack.routing.settings import Idempotency
from saffronstack.standin.fleet import StubWorkerFleet, sample_config
from saffronstack.standin.model import Profile
from saffronstack.standin.worker import reserve_port

CPU = str(max(os.sched_getaffinity(0)))  # all gateways run on this CPU; only one is under load at a time
PROFILE = {"work_s": 0.0, "load_s": 0.001, "cores": 64, "memory_mb": 65536, "queue": 1024}
INVOCATION_ID_HEADER = "amz-sdk-invocation-id: @@@@@@@@@@@@@@@@\r\n"  # the load generator inserts a unique id


def measure_throughput(directory: pathlib.Path, rounds: int, seconds: float) -> None:
    """Compare gateways without operations, with operations in memory and with an operation log.

    All use the same workers and are loaded in turn.
    """
    hosts = [
        StubWorkersProcess({"count": 1, "log": os.devnull, "seed": n, "first": n, "profiles": [PROFILE]})
        for n in range(4)
    ]
    content = sample_config([host.workers[0] for host in hosts], "127.0.0.1:0", "", 65536)
    content["functions"] += [{"name": n, "class": "lookup", "memory_mb": 128, "lanes": 64} for n in FUNCTIONS]
    unsafe_functions = [f"sale-{n}" for n in range(len(FUNCTIONS))]
    content["functions"] += [
        {"name": n, "class": "sale", "memory_mb": 128, "lanes": 64} for n in unsafe_functions
    ]
    logged_config = json.loads(json.dumps(content))
    for request_class in logged_config["classes"]:
        request_class["note_operations"] = request_class["effect"] != "safe"
    logged_config["operations"] = {"directory": str(directory / "operations")}
    running = {}
    for name, config in (
        ("without", {**content, "operations": None}),
        ("memory", content),
        ("noted", logged_config),
    ):
        (directory / name).mkdir()
        running[name] = start_gateway(directory / name, config, cpus=CPU)
    safe, unsafe = (
        [REQUEST_TEMPLATE.format(function, INVOCATION_ID_HEADER) for function in names]
        for names in (FUNCTIONS, unsafe_functions)
    )
    try:
        for _, address in running.values():
            run_load([address], safe, 8, 1.0)
        for kind, requests, pairs in (
            ("safe", safe, [("memory", "without")]),
            ("unsafe", unsafe, [("memory", "without"), ("noted", "without")]),
        ):
            for connections in (8, 32, 128):
                rates: dict[str, list[float]] = {name: [] for name in running}
                for _ in range(rounds):
                    for name in {name for pair in pairs for name in pair}:
                        rates[name].append(run_load([running[name][1]], requests, connections, seconds)[0])
                for variant, baseline in pairs:
                    ratios = [x / y for x, y in zip(rates[variant], rates[baseline], strict=True)]
                    rate = statistics.median(rates[variant])
                    print(
                        f"{kind:>7} {connections:>4} connections: {variant} {rate:.0f} calls/s, "
                        f"{statistics.median(ratios):.3f} of {baseline} "
                        f"({min(ratios):.3f} to {max(ratios):.3f}, {rounds} rounds)"
                    )
    finally:
        for process, _ in running.values():
            process.kill()
        for host in hosts:
            host.end()


def measure_memory(count: int) -> None:
    """Print the memory of each completed operation: resident bytes, and bytes by the table's own count."""
    gc.collect()
    before = psutil.Process().memory_info().rss
    table = OperationTable(1 << 40)
    headers = (
        ("Content-Type", "application/json"),
        ("x-amzn-RequestId", ""),
        ("X-Amz-Executed-Version", "$LATEST"),
    )
    start = time.perf_counter()
    for n in range(count):
        id_ = f"00000000-0000-0000-0000-{n:012d}"
        decision = table.admit(random.randbytes(12), b"p" * 16, Idempotency.NON_IDEMPOTENT, 900.0, id_, 0.0)
        assert isinstance(decision, Execute)
        response = StoredResponse(200, (headers[0], ("x-amzn-RequestId", id_), headers[2]), b'{"price": 12}')
        table.complete(decision.operation, OperationState.COMPLETED, response, n / count)
    elapsed_s = time.perf_counter() - start
    resident_bytes = psutil.Process().memory_info().rss - before
    print(
        f"{count} names: {resident_bytes / count:.0f} resident bytes each, "
        f"{table.memory_bytes / count:.0f} counted by the table, "
        f"{elapsed_s / count * 1e6:.1f} us to admit and complete one"
    )


def measure_take_over(directory: pathlib.Path, count: int) -> None:
    """Measure how long the next holder of a killed process's slots takes to read its operation log."""
    first_log = open_operation_log(str(directory / "first"), 64 << 20)
    now = time.time()
    for n in range(count):
        ticket = first_log.append(
            AttemptStarted(
                random.randbytes(12), b"p" * 16, Idempotency.NON_IDEMPOTENT, f"id-{n}", 900.0, 1, now
            )
        )
    ticket.done.wait(60)
    first_log.close()
    second_service = OperationService(
        OperationTable(1 << 30),
        time.monotonic,
        time.time,
        open_operation_log(str(directory / "second"), 64 << 20),
    )
    handover = OperationHandover(second_service, str(directory / "second"), lambda path: [])
    start = time.perf_counter()
    handover.take_over(frozenset(range(SLOT_COUNT)), [RecordLocation(str(directory / "first"))], [])
    print(
        f"{count} log entries taken over in {time.perf_counter() - start:.2f} s, "
        f"{len(second_service.table)} known"
    )
    assert second_service.operation_log is not None
    second_service.operation_log.close()


def measure_lost_responses(directory: pathlib.Path, operations: int, kills: int) -> None:
    """Run boto3 clients while a third of the responses is lost and the gateway is killed repeatedly.

    Prints how many operations were executed twice or never.
    """
    fleet = StubWorkerFleet(4, lambda n: Profile(work_s=0.005, load_s=0.02))
    port = reserve_port("127.0.0.1")
    address = f"127.0.0.1:{port.getsockname()[1]}"
    content = sample_config(fleet.entries(), address, str(directory / "ledger"))
    for request_class in content["classes"]:
        request_class["note_operations"] = request_class["effect"] != "safe"
    content["operations"] = {"directory": str(directory / "operations")}
    path = directory / "gateway.json5"
    path.write_text(json.dumps(content))
    command = [
        sys.executable,
        "-m",
        "saffronstack.cli.main",
        "serve",
        "--config",
        str(path),
        "--log-level",
        "error",
    ]

    def start() -> subprocess.Popen[bytes]:
        process = subprocess.Popen(command, stdout=subprocess.PIPE)
        assert process.stdout is not None
        assert process.stdout.readline()
        return process

    process = start()
    relay = Relay(lambda: address, lose_randomly(1 / 3, 1))
    results: list[tuple[str, str, bool]] = []
    threads = 20

    def work(number: int) -> None:
        retries: Any = {"mode": ("standard", "adaptive")[number % 2], "total_max_attempts": 12}
        client = boto3.client(
            "lambda",
            endpoint_url=f"http://{relay.address}",
            region_name="us-east-1",
            aws_access_key_id="corner-books",
            aws_secret_access_key="none",
            config=BotoConfig(retries=retries, read_timeout=10),
        )
        for n in range(operations // threads):
            operation, kind = f"{number}-{n}", ("RequestResponse", "Event")[n % 2]
            payload = json.dumps({"op": operation}).encode()
            function = ("record-sale", "adjust-setting")[n % 3 == 0]
            try:
                client.invoke(FunctionName=function, InvocationType=kind, Payload=payload)
                results.append((operation, function, True))
            except Exception:  # noqa: BLE001 - whatever the SDK raises, the send failed
                results.append((operation, function, False))

    workers = [threading.Thread(target=work, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    kill_count = 0
    while any(worker.is_alive() for worker in workers):
        time.sleep(0.5)
        if kill_count < kills:
            os.kill(process.pid, signal.SIGKILL)
            process.wait(10)
            process = start()
            kill_count += 1
    time.sleep(3.0)
    executions: dict[str, list[dict[str, object]]] = {}
    for stub_worker in fleet.workers:
        for execution in stub_worker.runs():
            executions.setdefault(str(execution["op"]), []).append(execution)
    sale_operations = [operation for operation, function, _ in results if function == "record-sale"]
    executed_twice = [operation for operation in sale_operations if len(executions.get(operation, [])) > 1]
    called_twice = [
        operation
        for operation, runs in executions.items()
        if len({execution["id"] for execution in runs}) > 1
    ]
    print(
        f"{len(results)} boto3 operations, {relay.lost} responses lost, {kill_count} kills: "
        f"{sum(ok for *_, ok in results)} answered, "
        f"{len(executed_twice)} sales executed twice, {len(called_twice)} operations executed in two calls, "
        f"{sum(not executions.get(operation) for operation in sale_operations)} sales never executed"
    )
    process.kill()
    relay.close()
    fleet.stop()


def main() -> None:
    """Run the chosen measurements."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rounds", type=int, default=5)
    parser.add_argument("--seconds", type=float, default=2.0)
    parser.add_argument("--names", type=int, default=1_000_000)
    parser.add_argument("--notes", type=int, default=100_000)
    parser.add_argument("--operations", type=int, default=1000)
    parser.add_argument("--kills", type=int, default=20)
    parser.add_argument("--only", choices=["throughput", "memory", "take-over", "losses"])
    options = parser.parse_args()
    print(f"{os.cpu_count()} cores, Python {sys.version.split()[0]}; emulated workers")
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        if options.only in (None, "memory"):
            measure_memory(options.names)
        if options.only in (None, "take-over"):
            measure_take_over(directory, options.notes)
        if options.only in (None, "losses"):
            measure_lost_responses(directory, options.operations, options.kills)
        if options.only in (None, "throughput"):
            measure_throughput(directory, options.rounds, options.seconds)


if __name__ == "__main__":
    main()
