"""A gateway of several processes: one address, restarts, and deferred calls that every process finds."""

from __future__ import annotations

import json
import os
import pathlib
import signal

import pytest
from click.testing import CliRunner

from saffronstack.cli.main import main
from saffronstack.metering.usage_report import MB_S
from saffronstack.standin.fleet import StubWorkerFleet
from tests.support.reckoning import recorded_memory_use
from tests.support.stack import configuration, eventually
from tests.support.supervised import PROCESSES, process_status, start_supervisor, supervised_gateway


def test_calls_spread_and_every_process_finds_every_record(
    tmp_path: pathlib.Path, two_workers: StubWorkerFleet
) -> None:
    with supervised_gateway(tmp_path, two_workers) as (stack, _):
        ids = [stack.call("record-sale", kind="Event").headers.get("x-amzn-requestid") for _ in range(40)]
        assert {id_[-2:] for id_ in ids} == {f"{n:02x}" for n in range(PROCESSES)}
        assert all(stack.final_record(id_)["requestContext"]["condition"] == "Success" for id_ in ids)
        assert stack.run_count("record-sale") == 40
        assert [process_status(stack, n)["process"] for n in range(PROCESSES)] == list(range(PROCESSES))
        assert len({process_status(stack, n)["pid"] for n in range(PROCESSES)}) == PROCESSES
        assert stack.get("/status?process=9").status == 503
        assert stack.get(f"/deferred/{ids[0][:-2]}ff").status == 404


def test_a_killed_process_is_restarted_and_finishes_its_deferred_calls(
    tmp_path: pathlib.Path, two_slow_workers: StubWorkerFleet
) -> None:
    workers = two_slow_workers.workers
    with supervised_gateway(tmp_path, two_slow_workers) as (stack, _):
        ids = [stack.call("record-sale", kind="Event").headers.get("x-amzn-requestid") for _ in range(40)]
        pid = process_status(stack, 1)["pid"]
        os.kill(pid, signal.SIGKILL)
        eventually(lambda: process_status(stack, 1).get("pid", pid) != pid)
        for id_ in ids:
            eventually(lambda id_=id_: stack.get(f"/deferred/{id_}").status == 200)  # type: ignore[misc]
            condition = stack.final_record(id_)["requestContext"]["condition"]
            runs = sum(event["id"] == id_ for worker in workers for event in worker.runs())
            assert runs == 1 if condition == "Success" else (condition == "OutcomeUnknown" and runs <= 1)


def test_usage_is_summed_over_the_processes(tmp_path: pathlib.Path, one_slow_worker: StubWorkerFleet) -> None:
    metering = {"directory": str(tmp_path / "usage"), "ask_every_s": 0.1}
    with supervised_gateway(tmp_path, one_slow_worker, metering=metering) as (stack, _):
        client = stack.client(tenant="campus-app")
        for _ in range(30):
            client.invoke("identify-copy", b"{}")
            client.close()  # the next connection may reach another process
        expected = sum(recorded_memory_use(one_slow_worker).values()) / MB_S

        def is_summed() -> bool:
            found = json.loads(client.request("GET", "/usage/campus-app").body)
            return bool(found["processes"] == PROCESSES and abs(found["charged_mb_s"] - expected) < 0.01)

        eventually(is_summed, 15)
        assert client.request("GET", "/usage/corner-books").status == 403
        client.close()
    shown = CliRunner().invoke(main, ["usage", "show", str(tmp_path / "usage"), "--format", "jsonl"])
    rows = [json.loads(line) for line in shown.stdout.splitlines()]
    assert sum(row["charged_mb_s"] for row in rows) == pytest.approx(expected, abs=0.01)


def test_processes_end_with_a_killed_supervisor(tmp_path: pathlib.Path, one_worker: StubWorkerFleet) -> None:
    path = tmp_path / "gateway.json5"
    path.write_text(json.dumps(configuration(one_worker)))
    stack, process = start_supervisor(path, one_worker, 2)
    assert process.stdout is not None
    pid = json.loads(stack.get("/status").body)["pid"]
    process.kill()
    process.wait(5)
    process.stdout.close()
    eventually(lambda: not pathlib.Path(f"/proc/{pid}").exists(), 10)


def test_a_hangup_signal_reloads_every_process(tmp_path: pathlib.Path, two_workers: StubWorkerFleet) -> None:
    with supervised_gateway(tmp_path, two_workers) as (stack, process):
        path = tmp_path / "gateway.json5"
        content = json.loads(path.read_text())
        stack.call("identify-copy")
        path.write_text(json.dumps({**content, "workers": content["workers"][1:]}))
        process.send_signal(signal.SIGHUP)
        one_each = [1] * PROCESSES
        eventually(lambda: [process_status(stack, n).get("workers") for n in range(PROCESSES)] == one_each)
        before = len(two_workers.workers[0].runs())
        for _ in range(20):  # on a busy machine some may be rejected at their deadline
            eventually(lambda: stack.call("identify-copy").status == 200)
        assert len(two_workers.workers[0].runs()) == before
