"""End-to-end tests of metering under faults. An oracle computes the totals from the stub workers."""

from __future__ import annotations

import errno
import json
import pathlib
import random
import threading
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import Any

import pytest

from saffronstack import config as configs
from saffronstack.durable.file_operations import FileOperations
from saffronstack.engine.dispatch import AttemptResult
from saffronstack.gateway import Gateway
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.usage_log import read_usage_log
from saffronstack.metering.usage_report import MB_S, summarize_usage
from saffronstack.metering.worker_messages import CallReference, UsageRecord
from saffronstack.standin.fleet import StubWorkerFleet
from saffronstack.standin.model import Profile
from tests.support.reckoning import MemoryWatch, is_close, recorded_memory_use
from tests.support.stack import Stack, configuration, eventually

TENANTS = ("corner-books", "campus-app", "night-press")
FUNCTIONS = ("identify-copy", "suggest-price", "record-sale", "adjust-setting")


class DiskThatFills(FileOperations):
    """File operations of a disk that a test can fill."""

    is_full = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.is_full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


class MeteredDeployment:
    """One or more gateways, successive or concurrent, in front of a fleet of observed stub workers."""

    def __init__(self, tmp_path: pathlib.Path, fleet: StubWorkerFleet) -> None:
        self.tmp_path, self.fleet = tmp_path, fleet
        self.watch = MemoryWatch(fleet)
        self.running: list[Stack] = []
        self.logs: list[pathlib.Path] = []

    def start(self, name: str, files: FileOperations | None = None, **changes: Any) -> Stack:
        log = self.tmp_path / name
        if log not in self.logs:
            self.logs.append(log)
        metering = {"directory": str(log), "ask_every_s": 0.1, "segment_bytes": 65536}
        parts = changes.pop("parts", {})
        changes = {"tenants": [{"name": t, "share": 1 / 3} for t in TENANTS], "metering": metering, **changes}
        content = configuration(self.fleet, **changes)
        gateway = Gateway(configs.parse(json.dumps(content)), files=files, **parts)
        host, port = gateway.start()
        self.running.append(Stack(gateway, self.fleet, content, f"{host}:{port}"))
        return self.running[-1]

    def stop(self, stack: Stack) -> None:
        self.running.remove(stack)
        stack.gateway.stop()

    def charges_by_tenant(self) -> dict[str, float]:
        """Merge the usage logs as the command line does and return the charges by tenant in MB s."""
        merged = merge_accounts(read_usage_log(log)[0] for log in self.logs)
        assert merged.find_imbalances() == []
        return {
            row.group[0]: row.charged
            for row in summarize_usage(merged, ("tenant",))
            if row.group[0] != "(nobody)"
        }

    def is_charged(self, exact: bool) -> bool:
        """Compare charges with the oracle, within 1%, and if ``exact`` with the workers' records."""
        found = self.charges_by_tenant()
        if not is_close(found, self.watch.memory_use(), 0.01):
            return False
        recorded = {tenant: amount / MB_S for tenant, amount in recorded_memory_use(self.fleet).items()}
        return not exact or is_close(found, recorded, 1e-9, 0.01)

    def wait_until_charged(self, exact: bool = True) -> None:
        """Wait until all usage is charged."""
        try:
            eventually(lambda: self.is_charged(exact), 10)
        except AssertionError:
            recorded = {tenant: amount / MB_S for tenant, amount in recorded_memory_use(self.fleet).items()}
            raise AssertionError(
                f"{self.charges_by_tenant()}, occupied {self.watch.memory_use()}, recorded {recorded}"
            ) from None


@contextmanager
def deployed(tmp_path: pathlib.Path, count: int = 2, **profile: Any) -> Iterator[MeteredDeployment]:
    stub_profile = Profile(**{"work_s": 0.02, "load_s": 0.05, **profile})
    fleet = StubWorkerFleet(count, lambda n: stub_profile)
    deployment = MeteredDeployment(tmp_path, fleet)
    try:
        yield deployment
    finally:
        for stack in list(deployment.running):
            deployment.stop(stack)
        fleet.stop()


def send_calls(
    stack: Stack, count: int, seed: int = 0, functions: tuple[str, ...] = FUNCTIONS, pause_s: float = 0.004
) -> None:
    """Send overlapping calls of all tenants and wait for their ends."""
    rng = random.Random(seed)
    threads = []
    for n in range(count):
        function, tenant = rng.choice(functions), TENANTS[n % 3]

        def call(function: str = function, tenant: str = tenant) -> None:
            client = stack.client(tenant=tenant)
            try:
                client.invoke(function, b"{}")
            except OSError:
                pass
            finally:
                client.close()

        threads.append(threading.Thread(target=call))
        threads[-1].start()
        time.sleep(rng.random() * 2 * pause_s)
    for thread in threads:
        thread.join(15)


def test_three_tenants_share_an_instance_and_a_load(tmp_path: pathlib.Path) -> None:
    functions = [{"name": "wide", "class": "lookup", "memory_mb": 700, "lanes": 8}]
    with deployed(tmp_path, 1, work_s=0.15, load_s=0.3) as deployment:
        stack = deployment.start("one", functions=functions)
        send_calls(stack, 24, functions=("wide",), pause_s=0.03)
        deployment.wait_until_charged()
        held = deployment.watch.memory_use()
        assert min(held.values()) > 20  # MB s: each tenant waited for the load and shared the instance
        copies = {change.loaded for change in deployment.fleet.workers[0].instance_changes or ()}
        assert 1 in copies


def test_failed_and_interrupted_loads_are_charged(tmp_path: pathlib.Path) -> None:
    with deployed(tmp_path, 2, work_s=0.08, load_s=0.4) as deployment:
        stack = deployment.start("one")
        send_calls(stack, 300, 9)  # enough usage that one interrupted load is small beside it
        for worker in deployment.fleet.workers:
            worker.model.unload()
        deployment.fleet.store.max_fetches = 0  # the model store rejects every fetch
        threads = [threading.Thread(target=send_calls, args=(stack, 6, seed)) for seed in range(2)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        deployment.fleet.store.max_fetches = 256
        for thread in threads:
            thread.join(20)
        deployment.wait_until_charged()
        assert deployment.charges_by_tenant()  # failed loads occupied memory too, for the calls that waited
        lost = _record_losses(stack)
        cut = threading.Thread(target=send_calls, args=(stack, 3, 5, ("identify-copy",)))
        for worker in deployment.fleet.workers:
            worker.model.profile.load_s = 1.2  # on a busy machine, the worker must die before the load ends
        deployment.fleet.workers[0].model.unload()
        deployment.fleet.workers[1].model.unload()
        cut.start()
        eventually(lambda: any(worker.model.load_report()[3] for worker in deployment.fleet.workers))
        number = next(n for n, worker in enumerate(deployment.fleet.workers) if worker.model.load_report()[3])
        time.sleep(0.1)
        deployment.watch.restart_worker(number)
        cut.join(20)
        # For an interrupted call, the gateway knows only when it sent the call and noticed the loss. The
        # estimate may differ by the time between these and the call's arrival and end at the worker.
        stays = deployment.watch.calls_at_last_death()
        death_s = max(to_s for _, to_s in stays.values())
        # A call that the worker never read counts as if it arrived at the worker's death.
        arrived_s = {i: stays.get(i, (death_s, death_s))[0] for i, _, _ in lost}
        error_s = sum(max(0.0, arrived_s[i] - from_s) + abs(to_s - death_s) for i, from_s, to_s in lost)
        assert lost
        assert stays
        try:
            eventually(
                lambda: is_close(
                    deployment.charges_by_tenant(), deployment.watch.memory_use(), 1e-6, 512 * error_s + 0.05
                ),
                10,
            )
        except AssertionError:
            observed = deployment.charges_by_tenant(), deployment.watch.memory_use(), lost, stays
            raise AssertionError(f"{observed}, {error_s:.4f} s off") from None


def _record_losses(stack: Stack) -> list[tuple[str, float, float]]:
    """Record calls that the meter is told are lost from now on: id, and monotonic times of send and loss."""
    meter, lost = stack.gateway.meter, list[tuple[str, float, float]]()
    assert meter is not None
    charge = meter._losses.charge_lost_attempt

    def note(result: AttemptResult, lost_s: float, lost_unix_s: float) -> None:
        lost.append((result.call.request_id, lost_s - result.outcome.elapsed_s, lost_s))
        charge(result, lost_s, lost_unix_s)

    meter._losses.charge_lost_attempt = note  # type: ignore[method-assign]
    return lost


def test_lost_responses_and_dead_workers_are_estimated(tmp_path: pathlib.Path) -> None:
    """Calls in flight and answered calls whose records are lost with the worker are estimated."""
    with deployed(tmp_path, 2) as deployment:
        stack = deployment.start("one")
        send_calls(stack, 150, 1)
        for worker in deployment.fleet.workers:
            worker.faults.lose_answers = 0.3
        send_calls(stack, 40, 2)
        for worker in deployment.fleet.workers:
            worker.faults.lose_answers = 0.0
        send_calls(stack, 30, 3)
        deployment.watch.restart_worker(0)
        deployment.watch.restart_worker(1)
        send_calls(stack, 100, 4)  # sequence numbers restart in the new incarnations
        deployment.wait_until_charged(exact=False)
        assert all(worker.outbox.all_records[0].sequence_number == 1 for worker in deployment.fleet.workers)


def test_a_killed_gateway_and_another_count_each_record_once(tmp_path: pathlib.Path) -> None:
    with deployed(tmp_path, 2) as deployment:
        files = DiskThatFills()
        first, second = deployment.start("one", files), deployment.start("two")
        threads = [
            threading.Thread(target=send_calls, args=(stack, 40, n))
            for n, stack in enumerate((first, second))
        ]
        for thread in threads:
            thread.start()
        time.sleep(0.08)
        files.is_full = True  # from now on nothing it accepts reaches the disk, as after a kill
        for thread in threads:
            thread.join(20)
        deployment.stop(first)
        third = deployment.start("one")
        send_calls(third, 10, 9)
        deployment.wait_until_charged()


def test_on_a_full_disk_records_stay_with_their_workers(tmp_path: pathlib.Path) -> None:
    with deployed(tmp_path, 1) as deployment:
        files = DiskThatFills()
        stack = deployment.start("one", files)
        send_calls(stack, 20, 1)
        deployment.wait_until_charged()
        before = sum(deployment.charges_by_tenant().values())
        files.is_full = True
        send_calls(stack, 20, 2)
        meter = stack.gateway.meter
        assert meter is not None
        eventually(lambda: meter.journal.write_error)
        assert stack.call("identify-copy").status == 200  # calls are still served
        assert sum(deployment.charges_by_tenant().values()) == before
        files.is_full = False
        deployment.wait_until_charged()
        assert sum(deployment.charges_by_tenant().values()) > before


def test_wall_clock_steps_move_hours_but_not_amounts(tmp_path: pathlib.Path) -> None:
    step_s = 0.0

    def wall() -> float:
        return time.time() + step_s

    with deployed(tmp_path, 1) as deployment:
        stack = deployment.start("one", parts={"wall": wall})
        send_calls(stack, 20, 1)
        step_s = -7200.0
        send_calls(stack, 20, 2)
        step_s = 86400.0
        send_calls(stack, 20, 3)
        deployment.wait_until_charged()
        merged = merge_accounts(read_usage_log(log)[0] for log in deployment.logs)
        hours = [
            int(row.group[0][8:10]) * 24 + int(row.group[0][11:])
            for row in summarize_usage(merged, ("hour",))
        ]
        assert len(set(hours)) >= 3


def test_a_record_that_arrives_a_day_late_counts_for_its_day(tmp_path: pathlib.Path) -> None:
    with deployed(tmp_path, 1) as deployment:
        stack = deployment.start("one")
        send_calls(stack, 10, 1)
        deployment.wait_until_charged()
        worker = deployment.fleet.workers[0]
        day_us = 24 * 3600 * 1_000_000
        # The worker's clock advances by a day, so a record that it offers afterwards is a day old.
        late = worker.outbox
        real = late.respond
        late.respond = lambda request, now_s: (  # type: ignore[method-assign]
            lambda offered: type(offered)(
                offered.worker,
                offered.incarnation,
                offered.now_us + day_us,
                offered.confirmed,
                offered.relinquished,
                offered.ended_request_ids,
                offered.dropped_records,
                offered.records,
                offered.remaining_records,
            )
        )(real(request, now_s))
        send_calls(stack, 10, 2)
        deployment.wait_until_charged()
        merged = merge_accounts(read_usage_log(log)[0] for log in deployment.logs)
        assert len(summarize_usage(merged, ("day",))) == 2


@pytest.mark.parametrize(
    "change",
    [
        {"running_instances": -1},
        {"end_us": 1 << 60},
        {"memory_kib": 1 << 50},
        {"start_us": -5},
        {"worker": "worker-2"},
        {"function": "f" * 1000},
        {"running_calls": tuple(CallReference(str(n), "campus-app", "c") for n in range(20_000))},
    ],
)
def test_an_invalid_record_is_rejected_and_no_other_is_lost(
    tmp_path: pathlib.Path, change: dict[str, Any]
) -> None:
    with deployed(tmp_path, 2) as deployment:
        stack = deployment.start("one")
        send_calls(stack, 6, 1)
        outbox = deployment.fleet.workers[0].outbox
        valid: dict[str, Any] = {
            "worker": outbox.worker,
            "incarnation": outbox.incarnation,
            "function": "identify-copy",
            "memory_kib": 1024,
            "start_us": 0,
            "end_us": 10,
            "loading_instances": 0,
            "running_instances": 1,
            "idle_instances": 0,
            "waiting_calls": (),
            "running_calls": (CallReference("x", "campus-app", "c"),),
        }
        with outbox._lock:
            outbox._seq += 1
            outbox._unacknowledged[outbox._seq] = (
                UsageRecord(sequence_number=outbox._seq, **{**valid, **change}),
                -1e9,
            )
        send_calls(stack, 6, 2)
        meter = stack.gateway.meter
        assert meter is not None
        eventually(lambda: meter.rejected)
        deployment.wait_until_charged()
        rejected = meter.rejected
        send_calls(stack, 6, 3)
        deployment.wait_until_charged()
        assert meter.rejected <= rejected + 2  # the worker stops offering the invalid record


def test_random_faults_do_not_change_the_totals(tmp_path: pathlib.Path) -> None:
    """Two gateways and three workers with seeded random faults: lost and broken responses, full disks."""
    rng = random.Random(20261201)
    with deployed(tmp_path, 3, load_s=0.03) as deployment:
        files = [DiskThatFills(), DiskThatFills()]
        stacks = [deployment.start(name, disk) for name, disk in zip(("one", "two"), files, strict=True)]
        for round_number in range(8):
            for worker in deployment.fleet.workers:
                worker.faults = type(worker.faults)()
                fault = rng.choice(["none", "lose", "reset", "silent_after_run", "errors", "slow"])
                if fault == "lose":
                    worker.faults.lose_answers = 0.5
                elif fault == "errors":
                    worker.faults.errors = 0.5
                elif fault == "slow":
                    worker.faults.slow = 3.0
                elif fault == "reset":
                    worker.faults.reset_mid_answer = True
                elif fault == "silent_after_run":
                    worker.faults.silent_after_run = rng.random() < 0.5
            for disk in files:
                disk.is_full = rng.random() < 0.2
            workload: list[Callable[[], None]] = [
                lambda stack=stack, seed=seed: send_calls(stack, 14, seed)  # type: ignore[misc]
                for seed, stack in enumerate(stacks, round_number * 10)
            ]
            threads = [threading.Thread(target=one) for one in workload]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(30)
            if rng.random() < 0.4:
                deployment.fleet.workers[rng.randrange(3)].model.unload()
        for worker in deployment.fleet.workers:
            worker.faults = type(worker.faults)()
        for disk in files:
            disk.is_full = False
        deployment.wait_until_charged()


def test_a_budget_survives_a_restart_and_delays_deferred_calls(tmp_path: pathlib.Path) -> None:
    budget = {"window_s": 4, "soft_mb_s": 5, "hard_mb_s": 20}
    tenants = [{"name": "corner-books", "budget": budget}, {"name": "campus-app"}]
    with deployed(tmp_path, 1, work_s=0.1) as deployment:
        stack = deployment.start("one", tenants=tenants)
        client = stack.client(tenant="corner-books")
        for _ in range(6):
            assert client.invoke("identify-copy", b"{}").status == 200
        limits = stack.gateway.budgets
        assert limits is not None
        eventually(lambda: limits.evaluate("corner-books", time.monotonic()).retry_after_s)
        client.close()
        deployment.stop(stack)
        again = deployment.start("one", tenants=tenants, ledger=tmp_path / "ledger")
        client = again.client(tenant="corner-books")
        rejected = client.invoke("suggest-price", b"{}")
        assert (rejected.status, 1 <= int(rejected.headers.get("retry-after")) <= 5) == (429, True)
        began_s = time.monotonic()
        accepted = client.invoke("suggest-price", b"{}", "Event")
        assert accepted.status == 202
        assert again.run_count("suggest-price") == 0
        record = again.final_record(accepted.headers.get("x-amzn-requestid"))
        assert record["requestContext"]["condition"] == "Success"
        assert record["requestContext"]["approximateInvokeCount"] == 1
        assert time.monotonic() - began_s > 0.5
        client.close()


def test_usage_pages_of_tenants_and_operators(tmp_path: pathlib.Path) -> None:
    budget = {"window_s": 60, "soft_mb_s": 500, "hard_mb_s": 2000}
    tenants = [{"name": "corner-books", "budget": budget}, {"name": "campus-app"}]
    with deployed(tmp_path, 1) as deployment:
        stack = deployment.start("one", tenants=tenants)
        client = stack.client(tenant="corner-books")
        assert client.invoke("identify-copy", b"{}").status == 200
        eventually(lambda: deployment.is_charged(True))
        # The log on disk has the usage a moment before the account that the page reads.
        eventually(lambda: json.loads(client.request("GET", "/usage/corner-books").body)["charged_mb_s"])
        answer = client.request("GET", "/usage/corner-books")
        own = json.loads(answer.body)
        assert answer.status == 200
        assert own["charged_mb_s"] == pytest.approx(deployment.watch.memory_use()["corner-books"], rel=0.01)
        assert own["functions"][0]["function"] == "identify-copy"
        assert own["budget"]["standing"] == "within"
        assert own["budget"]["used_here_mb_s"] == pytest.approx(own["charged_mb_s"], rel=1e-6)
        assert client.request("GET", "/usage/campus-app").status == 403
        assert client.request("POST", "/usage/corner-books").status == 405
        metrics = stack.get("/metrics").body.decode()
        assert "saffronstack_usage_records_total" in metrics
        assert "saffronstack_usage_in_doubt 0.0" in metrics
        assert json.loads(stack.get("/status").body)["usage"]["refused"] == 0
        assert MB_S == 1024 * 1_000_000
        client.close()
