"""Metering through faults, end to end: totals beside what an oracle reckons from the workers' own changes."""

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
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from tests.support.reckoning import Watch, near, truth
from tests.support.stack import Stack, configuration, eventually

TENANTS = ("corner-books", "campus-app", "night-press")
FUNCTIONS = ("identify-copy", "suggest-price", "record-sale", "adjust-setting")


class Switched(FileOperations):
    """A disk that can be full."""

    full = False

    def write(self, descriptor: int, data: bytes) -> None:
        if self.full:
            raise OSError(errno.ENOSPC, "No space left on device")
        super().write(descriptor, data)


class Site:
    """Gateways one after another or side by side before one watched fleet."""

    def __init__(self, tmp_path: pathlib.Path, fleet: StandInFleet) -> None:
        self.tmp_path, self.fleet = tmp_path, fleet
        self.watch = Watch(fleet)
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

    def metered(self) -> dict[str, float]:
        """What the logs say together, read as the command line reads them."""
        whole = merge_accounts(read_usage_log(log)[0] for log in self.logs)
        assert whole.find_imbalances() == []
        return {
            row.group[0]: row.charged
            for row in summarize_usage(whole, ("tenant",))
            if row.group[0] != "(nobody)"
        }

    def agrees(self, exact: bool) -> bool:
        """Within a hundredth of the oracle; and, where no record was lost, exactly what workers recorded."""
        found = self.metered()
        if not near(found, self.watch.held(), 0.01):
            return False
        told = {tenant: amount / MB_S for tenant, amount in truth(self.fleet).items()}
        return not exact or near(found, told, 1e-9, 0.01)

    def settles(self, exact: bool = True) -> None:
        """Wait until all is told."""
        try:
            eventually(lambda: self.agrees(exact), 10)
        except AssertionError:
            told = {tenant: amount / MB_S for tenant, amount in truth(self.fleet).items()}
            raise AssertionError(f"{self.metered()}, held {self.watch.held()}, told {told}") from None


@contextmanager
def site(tmp_path: pathlib.Path, count: int = 2, **profile: Any) -> Iterator[Site]:
    figures = Profile(**{"work_s": 0.02, "load_s": 0.05, **profile})
    fleet = StandInFleet(count, lambda n: figures)
    found = Site(tmp_path, fleet)
    try:
        yield found
    finally:
        for stack in list(found.running):
            found.stop(stack)
        fleet.stop()


def calls(
    stack: Stack, count: int, seed: int = 0, functions: tuple[str, ...] = FUNCTIONS, pause_s: float = 0.004
) -> None:
    """So many calls of all tenants, overlapping."""
    chance = random.Random(seed)
    threads = []
    for n in range(count):
        function, tenant = chance.choice(functions), TENANTS[n % 3]

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
        time.sleep(chance.random() * 2 * pause_s)
    for thread in threads:
        thread.join(15)


def test_a_copy_that_three_tenants_share_and_a_load_that_they_wait_for(tmp_path: pathlib.Path) -> None:
    functions = [{"name": "wide", "class": "lookup", "memory_mb": 700, "lanes": 8}]
    with site(tmp_path, 1, work_s=0.15, load_s=0.3) as found:
        stack = found.start("one", functions=functions)
        calls(stack, 24, functions=("wide",), pause_s=0.03)
        found.settles()
        held = found.watch.held()
        assert min(held.values()) > 20  # MB s: each waited for the load and ran beside the others
        copies = {change.standing for change in found.fleet.workers[0].observed or ()}
        assert 1 in copies


def test_a_load_that_fails_is_cut_off_or_dies(tmp_path: pathlib.Path) -> None:
    with site(tmp_path, 2, work_s=0.08, load_s=0.4) as found:
        stack = found.start("one")
        calls(stack, 300, 9)  # an hour's worth beside which one cut-off load is small, in little
        for one in found.fleet.workers:
            one.model.drop()
        found.fleet.store.most = 0  # the store turns every fetch away
        threads = [threading.Thread(target=calls, args=(stack, 6, seed)) for seed in range(2)]
        for thread in threads:
            thread.start()
        time.sleep(0.3)
        found.fleet.store.most = 256
        for thread in threads:
            thread.join(20)
        found.settles()
        assert found.metered()  # loads that failed held memory too, for those who waited
        lost = _noted_losses(stack)
        cut = threading.Thread(target=calls, args=(stack, 3, 5, ("identify-copy",)))
        for one in found.fleet.workers:
            one.model.profile.load_s = 1.2  # so that a busy machine does not let it end before the death
        found.fleet.workers[0].model.drop()
        found.fleet.workers[1].model.drop()
        cut.start()
        eventually(lambda: any(worker.model.report()[3] for worker in found.fleet.workers))
        number = next(n for n, worker in enumerate(found.fleet.workers) if worker.model.report()[3])
        time.sleep(0.1)
        found.watch.die(number)
        cut.join(20)
        # The gateway knows of a cut-off call from its send to its end there: so much later and longer than
        # the worker had it, and no more, may its memory be told wrongly.
        there = found.watch.stays()
        death_s = max(to_s for _, to_s in there.values())
        came = {i: there.get(i, (death_s, death_s))[0] for i, _, _ in lost}  # or was never read there
        off_s = sum(max(0.0, came[i] - from_s) + abs(to_s - death_s) for i, from_s, to_s in lost)
        assert lost
        assert there
        try:
            eventually(lambda: near(found.metered(), found.watch.held(), 1e-6, 512 * off_s + 0.05), 10)
        except AssertionError:
            told = found.metered(), found.watch.held(), lost, there
            raise AssertionError(f"{told}, {off_s:.4f} s off") from None


def _noted_losses(stack: Stack) -> list[tuple[str, float, float]]:
    """Calls whose ends the meter hears of as lost from now on: id, send and end by the monotonic clock."""
    meter, lost = stack.gateway.meter, list[tuple[str, float, float]]()
    assert meter is not None
    charge = meter._losses.charge_lost_attempt

    def note(result: AttemptResult, lost_s: float, lost_unix_s: float) -> None:
        lost.append((result.call.request_id, lost_s - result.outcome.elapsed_s, lost_s))
        charge(result, lost_s, lost_unix_s)

    meter._losses.charge_lost_attempt = note  # type: ignore[method-assign]
    return lost


def test_answers_lost_and_then_workers_die(tmp_path: pathlib.Path) -> None:
    """What no record will ever tell is estimated: calls in flight, and answered ones whose records died."""
    with site(tmp_path, 2) as found:
        stack = found.start("one")
        calls(stack, 150, 1)
        for worker in found.fleet.workers:
            worker.faults.lose_answers = 0.3
        calls(stack, 40, 2)
        for worker in found.fleet.workers:
            worker.faults.lose_answers = 0.0
        calls(stack, 30, 3)
        found.watch.die(0)
        found.watch.die(1)
        calls(stack, 100, 4)  # numbers begin again in the new lives
        found.settles(exact=False)
        assert all(worker.outbox.all[0].sequence_number == 1 for worker in found.fleet.workers)


def test_a_killed_gateway_and_another_share_the_records(tmp_path: pathlib.Path) -> None:
    with site(tmp_path, 2) as found:
        files = Switched()
        first, second = found.start("one", files), found.start("two")
        pair = [
            threading.Thread(target=calls, args=(stack, 40, n)) for n, stack in enumerate((first, second))
        ]
        for thread in pair:
            thread.start()
        time.sleep(0.08)
        files.full = True  # from here on what it takes reaches no disk, as after a kill
        for thread in pair:
            thread.join(20)
        found.stop(first)
        third = found.start("one")
        calls(third, 10, 9)
        found.settles()


def test_a_full_disk_keeps_the_records_with_their_workers(tmp_path: pathlib.Path) -> None:
    with site(tmp_path, 1) as found:
        files = Switched()
        stack = found.start("one", files)
        calls(stack, 20, 1)
        found.settles()
        before = sum(found.metered().values())
        files.full = True
        calls(stack, 20, 2)
        meter = stack.gateway.meter
        assert meter is not None
        eventually(lambda: meter.journal.write_error)
        assert stack.call("identify-copy").status == 200  # calls go on
        assert sum(found.metered().values()) == before
        files.full = False
        found.settles()
        assert sum(found.metered().values()) > before


def test_a_clock_that_is_set_back_moves_labels_and_no_amounts(tmp_path: pathlib.Path) -> None:
    step_s = 0.0

    def wall() -> float:
        return time.time() + step_s

    with site(tmp_path, 1) as found:
        stack = found.start("one", parts={"wall": wall})
        calls(stack, 20, 1)
        step_s = -7200.0
        calls(stack, 20, 2)
        step_s = 86400.0
        calls(stack, 20, 3)
        found.settles()
        whole = merge_accounts(read_usage_log(log)[0] for log in found.logs)
        hours = [
            int(row.group[0][8:10]) * 24 + int(row.group[0][11:]) for row in summarize_usage(whole, ("hour",))
        ]
        assert len(set(hours)) >= 3


def test_a_record_that_comes_a_day_late(tmp_path: pathlib.Path) -> None:
    with site(tmp_path, 1) as found:
        stack = found.start("one")
        calls(stack, 10, 1)
        found.settles()
        worker = found.fleet.workers[0]
        day_us = 24 * 3600 * 1_000_000
        # Its clock goes on by a day: what it still held then is a day old when it is offered.
        late = worker.outbox
        real = late.answer
        late.answer = lambda asked, now_s: (  # type: ignore[method-assign]
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
        )(real(asked, now_s))
        calls(stack, 10, 2)
        found.settles()
        whole = merge_accounts(read_usage_log(log)[0] for log in found.logs)
        assert len(summarize_usage(whole, ("day",))) == 2


@pytest.mark.parametrize(
    "lie",
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
def test_a_worker_that_lies_is_refused_and_nothing_else_is_lost(
    tmp_path: pathlib.Path, lie: dict[str, Any]
) -> None:
    with site(tmp_path, 2) as found:
        stack = found.start("one")
        calls(stack, 6, 1)
        box = found.fleet.workers[0].outbox
        good: dict[str, Any] = {
            "worker": box.worker,
            "incarnation": box.incarnation,
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
        with box._lock:
            box._seq += 1
            box._open[box._seq] = UsageRecord(sequence_number=box._seq, **{**good, **lie}), -1e9
        calls(stack, 6, 2)
        meter = stack.gateway.meter
        assert meter is not None
        eventually(lambda: meter.rejected)
        found.settles()
        refused = meter.rejected
        calls(stack, 6, 3)
        found.settles()
        assert meter.rejected <= refused + 2  # it is not offered for ever


def test_a_random_run_against_the_oracle(tmp_path: pathlib.Path) -> None:
    """Two gateways, three workers, faults drawn from a seed: lost and broken answers, silence, full disks."""
    chance = random.Random(20261201)
    with site(tmp_path, 3, load_s=0.03) as found:
        files = [Switched(), Switched()]
        stacks = [found.start(name, disk) for name, disk in zip(("one", "two"), files, strict=True)]
        for turn in range(8):
            for worker in found.fleet.workers:
                worker.faults = type(worker.faults)()
                fault = chance.choice(["none", "lose", "reset", "silent_after_run", "errors", "slow"])
                if fault == "lose":
                    worker.faults.lose_answers = 0.5
                elif fault == "errors":
                    worker.faults.errors = 0.5
                elif fault == "slow":
                    worker.faults.slow = 3.0
                elif fault == "reset":
                    worker.faults.reset_mid_answer = True
                elif fault == "silent_after_run":
                    worker.faults.silent_after_run = chance.random() < 0.5
            for disk in files:
                disk.full = chance.random() < 0.2
            workload: list[Callable[[], None]] = [
                lambda stack=stack, seed=seed: calls(stack, 14, seed)  # type: ignore[misc]
                for seed, stack in enumerate(stacks, turn * 10)
            ]
            threads = [threading.Thread(target=one) for one in workload]
            for thread in threads:
                thread.start()
            for thread in threads:
                thread.join(30)
            if chance.random() < 0.4:
                found.fleet.workers[chance.randrange(3)].model.drop()
        for worker in found.fleet.workers:
            worker.faults = type(worker.faults)()
        for disk in files:
            disk.full = False
        found.settles()


def test_a_budget_outlives_a_restart_and_holds_deferred_calls_back(tmp_path: pathlib.Path) -> None:
    budget = {"window_s": 4, "soft_mb_s": 5, "hard_mb_s": 20}
    tenants = [{"name": "corner-books", "budget": budget}, {"name": "campus-app"}]
    with site(tmp_path, 1, work_s=0.1) as found:
        stack = found.start("one", tenants=tenants)
        client = stack.client(tenant="corner-books")
        for _ in range(6):
            assert client.invoke("identify-copy", b"{}").status == 200
        limits = stack.gateway.budgets
        assert limits is not None
        eventually(lambda: limits.evaluate("corner-books", time.monotonic()).retry_after_s)
        client.close()
        found.stop(stack)
        again = found.start("one", tenants=tenants, ledger=tmp_path / "ledger")
        client = again.client(tenant="corner-books")
        refused = client.invoke("suggest-price", b"{}")
        assert (refused.status, 1 <= int(refused.headers.get("retry-after")) <= 5) == (429, True)
        began_s = time.monotonic()
        taken = client.invoke("suggest-price", b"{}", "Event")
        assert taken.status == 202
        assert again.runs("suggest-price") == 0
        record = again.final(taken.headers.get("x-amzn-requestid"))
        assert record["requestContext"]["condition"] == "Success"
        assert record["requestContext"]["approximateInvokeCount"] == 1
        assert time.monotonic() - began_s > 0.5
        client.close()


def test_usage_pages_for_a_tenants_own_key_and_for_operators(tmp_path: pathlib.Path) -> None:
    budget = {"window_s": 60, "soft_mb_s": 500, "hard_mb_s": 2000}
    tenants = [{"name": "corner-books", "budget": budget}, {"name": "campus-app"}]
    with site(tmp_path, 1) as found:
        stack = found.start("one", tenants=tenants)
        client = stack.client(tenant="corner-books")
        assert client.invoke("identify-copy", b"{}").status == 200
        eventually(lambda: found.agrees(True))
        # The disk has it a moment before the account that the page reads.
        eventually(lambda: json.loads(client.request("GET", "/usage/corner-books").body)["charged_mb_s"])
        answer = client.request("GET", "/usage/corner-books")
        own = json.loads(answer.body)
        assert answer.status == 200
        assert own["charged_mb_s"] == pytest.approx(found.watch.held()["corner-books"], rel=0.01)
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
