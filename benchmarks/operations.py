"""What remembering operations costs, side by side in one run; memory; take-over; boto3 through losses and
kills.

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
from gateway import FUNCTIONS, POST, gateway, load

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

CPU = str(max(os.sched_getaffinity(0)))  # of all gateways, which are loaded one after another
PROFILE = {"work_s": 0.0, "load_s": 0.001, "cores": 64, "memory_mb": 65536, "queue": 1024}
NAMED = "amz-sdk-invocation-id: @@@@@@@@@@@@@@@@\r\n"  # the load generator makes each its own


def throughput(directory: pathlib.Path, rounds: int, seconds: float) -> None:
    """Gateways before the same workers, loaded in turn: safe with and without, unsafe noted and not."""
    hosts = [
        StubWorkersProcess({"count": 1, "log": os.devnull, "seed": n, "first": n, "profiles": [PROFILE]})
        for n in range(4)
    ]
    content = sample_config([host.workers[0] for host in hosts], "127.0.0.1:0", "", 65536)
    content["functions"] += [{"name": n, "class": "lookup", "memory_mb": 128, "lanes": 64} for n in FUNCTIONS]
    sales = [f"sale-{n}" for n in range(len(FUNCTIONS))]
    content["functions"] += [{"name": n, "class": "sale", "memory_mb": 128, "lanes": 64} for n in sales]
    noted = json.loads(json.dumps(content))
    for cls in noted["classes"]:
        cls["note_operations"] = cls["effect"] != "safe"
    noted["operations"] = {"directory": str(directory / "operations")}
    running = {}
    for name, one in (("without", {**content, "operations": None}), ("memory", content), ("noted", noted)):
        (directory / name).mkdir()
        running[name] = gateway(directory / name, one, cpus=CPU)
    safe, unsafe = ([POST.format(f, NAMED) for f in names] for names in (FUNCTIONS, sales))
    try:
        for _, address in running.values():
            load([address], safe, 8, 1.0)
        for kind, requests, pairs in (
            ("safe", safe, [("memory", "without")]),
            ("unsafe", unsafe, [("memory", "without"), ("noted", "without")]),
        ):
            for connections in (8, 32, 128):
                figures: dict[str, list[float]] = {name: [] for name in running}
                for _ in range(rounds):
                    for name in {name for pair in pairs for name in pair}:
                        figures[name].append(load([running[name][1]], requests, connections, seconds)[0])
                for a, b in pairs:
                    ratios = [x / y for x, y in zip(figures[a], figures[b], strict=True)]
                    rate = statistics.median(figures[a])
                    print(
                        f"{kind:>7} {connections:>4} connections: {a} {rate:.0f} calls/s, "
                        f"{statistics.median(ratios):.3f} of {b} "
                        f"({min(ratios):.3f} to {max(ratios):.3f}, {rounds} rounds)"
                    )
    finally:
        for process, _ in running.values():
            process.kill()
        for host in hosts:
            host.end()


def memory(count: int) -> None:
    """Resident bytes for each ended operation with a small answer, beside what the table reckons."""
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
        step = table.admit(random.randbytes(12), b"p" * 16, Idempotency.NON_IDEMPOTENT, 900.0, id_, 0.0)
        assert isinstance(step, Execute)
        answer = StoredResponse(200, (headers[0], ("x-amzn-RequestId", id_), headers[2]), b'{"price": 12}')
        table.complete(step.operation, OperationState.COMPLETED, answer, n / count)
    took = time.perf_counter() - start
    held = psutil.Process().memory_info().rss - before
    print(
        f"{count} names: {held / count:.0f} bytes each resident, {table.memory_bytes / count:.0f} reckoned, "
        f"{took / count * 1e6:.1f} us for a begin and an end"
    )


def take_over(directory: pathlib.Path, count: int) -> None:
    """Notes of a killed process, read by the next holder of its slots until it may run them."""
    first = open_operation_log(str(directory / "first"), 64 << 20)
    now = time.time()
    for n in range(count):
        ticket = first.append(
            AttemptStarted(
                random.randbytes(12), b"p" * 16, Idempotency.NON_IDEMPOTENT, f"id-{n}", 900.0, 1, now
            )
        )
    ticket.done.wait(60)
    first.close()
    second = OperationService(
        OperationTable(1 << 30),
        time.monotonic,
        time.time,
        open_operation_log(str(directory / "second"), 64 << 20),
    )
    keeper = OperationHandover(second, str(directory / "second"), lambda path: [])
    start = time.perf_counter()
    keeper.take_over(frozenset(range(SLOT_COUNT)), [RecordLocation(str(directory / "first"))], [])
    print(f"{count} notes taken over in {time.perf_counter() - start:.2f} s, {len(second.table)} known")
    assert second.operation_log is not None
    second.operation_log.close()


def losses(directory: pathlib.Path, operations: int, kills: int) -> None:
    """boto3, unchanged, in standard and adaptive mode: a third of the answers lost, a gateway killed
    often.
    """
    fleet = StubWorkerFleet(4, lambda n: Profile(work_s=0.005, load_s=0.02))
    held = reserve_port("127.0.0.1")
    address = f"127.0.0.1:{held.getsockname()[1]}"
    content = sample_config(fleet.entries(), address, str(directory / "ledger"))
    for cls in content["classes"]:
        cls["note_operations"] = cls["effect"] != "safe"
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
    ended: list[tuple[str, str, bool]] = []
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
            op, kind = f"{number}-{n}", ("RequestResponse", "Event")[n % 2]
            payload = json.dumps({"op": op}).encode()
            function = ("record-sale", "adjust-setting")[n % 3 == 0]
            try:
                client.invoke(FunctionName=function, InvocationType=kind, Payload=payload)
                ended.append((op, function, True))
            except Exception:  # noqa: BLE001 - whatever the SDK raises, the send failed
                ended.append((op, function, False))

    workers = [threading.Thread(target=work, args=(n,)) for n in range(threads)]
    for worker in workers:
        worker.start()
    done = 0
    while any(worker.is_alive() for worker in workers):
        time.sleep(0.5)
        if done < kills:
            os.kill(process.pid, signal.SIGKILL)
            process.wait(10)
            process = start()
            done += 1
    time.sleep(3.0)
    runs: dict[str, list[dict[str, object]]] = {}
    for standin in fleet.workers:
        for run in standin.runs():
            runs.setdefault(str(run["op"]), []).append(run)
    sales = [op for op, function, _ in ended if function == "record-sale"]
    doubles = [op for op in sales if len(runs.get(op, [])) > 1]
    calls = [op for op, found in runs.items() if len({run["id"] for run in found}) > 1]
    print(
        f"{len(ended)} boto3 operations, {relay.lost} answers lost, {done} kills: "
        f"{sum(ok for *_, ok in ended)} answered, "
        f"{len(doubles)} sales run twice, {len(calls)} operations with two calls, "
        f"{sum(not runs.get(op) for op in sales)} sales that never ran"
    )
    process.kill()
    relay.close()
    fleet.stop()


def main() -> None:
    """Run all."""
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
            memory(options.names)
        if options.only in (None, "take-over"):
            take_over(directory, options.notes)
        if options.only in (None, "losses"):
            losses(directory, options.operations, options.kills)
        if options.only in (None, "throughput"):
            throughput(directory, options.rounds, options.seconds)


if __name__ == "__main__":
    main()
