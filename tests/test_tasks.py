"""Tasks of a fleet: when they run, what they write, and a dead gateway's calls that another one finishes."""

from __future__ import annotations

import errno
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
from collections import Counter
from collections.abc import Callable

import pytest

from saffronstack.deferred.book import Book
from saffronstack.deferred.ledger import CODEC
from saffronstack.deferred.records import Finished
from saffronstack.durable.journal import read_back
from saffronstack.fleet.tasks.jobs import FleetUsage, Sweep, Turn
from saffronstack.fleet.tasks.ledger_directory import FencedFiles, LedgerDirectory
from saffronstack.fleet.tasks.published import KEEP, OutdatedError, Published
from saffronstack.fleet.tasks.runner import TaskRunner
from saffronstack.fleet.tasks.schedule import END_S, Begin, GiveBack, Phase, Stop, TaskSchedule
from saffronstack.standin.fleet import StandInFleet
from saffronstack.standin.model import Profile
from tests.support.lease_servers import lease_servers
from tests.support.stack import Stack, configuration, eventually

SAFFRON = [sys.executable, "-m", "saffronstack.cli.main"]


# ---- decisions


def test_a_task_runs_when_gained_each_period_and_sooner_after_a_failure() -> None:
    turns = TaskSchedule(period_s=60.0, budget_s=10.0)
    assert turns.tick(5.0) == []
    assert turns.gained(10.0, 3) == [Begin(1, 3)]
    assert turns.tick(15.0) == [] and turns.ended(16.0, 1, True) == []
    assert turns.tick(75.9) == [] and turns.tick(76.0) == [Begin(2, 3)]
    turns.ended(77.0, 2, False)
    assert turns.tick(77.9) == [] and turns.tick(78.0) == [Begin(3, 3)]
    turns.ended(79.0, 3, False)
    assert turns.tick(80.9) == [] and turns.tick(81.0) == [Begin(4, 3)]
    assert turns.ended(82.0, 3, True) == [] and turns.phase is Phase.RUNNING  # an older run's word


def test_a_run_past_its_budget_is_stopped_and_its_lease_given_back_where_it_does_not_end() -> None:
    turns = TaskSchedule(60.0, 10.0)
    turns.gained(0.0, 3)
    (stop,) = turns.tick(10.0)
    assert isinstance(stop, Stop) and "longer than its 10 s" in stop.why
    assert turns.tick(10.0 + END_S - 0.1) == [] and turns.tick(10.0 + END_S) == [GiveBack()]
    assert turns.gained(30.0, 9) == [GiveBack()] and turns.tick(31.0) == []  # nothing begins beside it
    turns.ended(40.0, 1, True)
    assert turns.gained(50.0, 11) == [Begin(2, 11)]


def test_a_lost_lease_stops_a_run_and_the_next_one_is_under_a_new_token() -> None:
    turns = TaskSchedule(60.0, 10.0)
    turns.gained(0.0, 3)
    assert turns.lost(1.0, "cut off") == [Stop(1, "cut off")]
    turns.ended(1.5, 1, False)
    assert turns.phase is Phase.OUT and turns.tick(500.0) == []
    assert turns.gained(500.0, 8) == [Begin(2, 8)]


# ---- what is written


def test_results_of_an_older_token_are_refused_or_read_by_nobody(tmp_path: pathlib.Path) -> None:
    published = Published(str(tmp_path / "out"))
    assert published.newest() is None
    published.publish(4, 1, {"a": 1})
    published.publish(7, 1, {"a": 2})
    with pytest.raises(OutdatedError, match="under token 7, after 4"):
        published.publish(4, 2, {"a": 3})
    # One that looked before and was paused until now writes all the same: it is not the newest.
    late = tmp_path / "out" / f"{4:020d}-{9:010d}.json"
    late.write_text('{"token": 4, "turn": 9, "content": {"a": 9}}')
    newest = published.newest()
    assert newest is not None and json.loads(bytes(newest.content)) == {"a": 2}
    for turn in range(2, 8):
        published.publish(7, turn, {})
    assert published.sweep() == 9 - KEEP and published.newest().turn == 7  # type: ignore[union-attr]


def test_a_later_holder_fences_the_one_before_and_has_all_that_it_let_know_of(tmp_path: pathlib.Path) -> None:
    home = LedgerDirectory(str(tmp_path / "g1"))
    first = home.enter(3)
    files = FencedFiles(home, 3)
    (first / "ledger-0000000001.seg").write_bytes(b"acknowledged")
    descriptor = os.open(first / "ledger-0000000001.seg", os.O_WRONLY | os.O_APPEND)
    files.sync(descriptor)
    assert home.abandoned()
    second = home.enter(5)
    assert (second / "ledger-0000000001.seg").read_bytes() == b"acknowledged"
    files.write(descriptor, b", and more")
    with pytest.raises(OSError, match="taken over") as raised:
        files.sync(descriptor)
    assert raised.value.errno == errno.ESTALE
    os.close(descriptor)
    assert (second / "ledger-0000000001.seg").read_bytes() == b"acknowledged"
    with pytest.raises(OSError, match="a later holder has entered"):
        home.enter(4)
    home.leave(5)
    assert not home.abandoned() and home.place() == second
    assert home.sweep() == 1 and not first.exists()


def test_one_that_died_between_fence_and_copy_loses_nothing(tmp_path: pathlib.Path) -> None:
    home = LedgerDirectory(str(tmp_path / "g1"))
    (home.enter(3) / "ledger-0000000001.seg").write_bytes(b"x")
    (home.directory / f"fence-{5:020d}").touch()  # and no place of its own
    assert (home.enter(6) / "ledger-0000000001.seg").read_bytes() == b"x"
    old = LedgerDirectory(str(tmp_path / "before"))
    old.directory.mkdir()
    (old.directory / "ledger-0000000001.seg").write_bytes(b"from before there were homes")
    assert (old.enter(1) / "ledger-0000000001.seg").exists()


class Given:
    """A lease of a store that gives it at once; `store.HeldLease`."""

    def __init__(self, lease: str, token: int) -> None:
        self.lease, self.token, self.value, self.held = lease, token, b"", True

    def remaining_s(self) -> float:
        return 10.0 if self.held else 0.0

    def put(self, content: bytes, wait_s: float) -> bool:
        return False

    def release(self) -> None:
        self.held = False


class Giving:
    """A `store.LeaseStore` whose leases a test ends."""

    def __init__(self) -> None:
        self.given: list[Given] = []
        self.lost: list[Callable[[str], None] | None] = []

    def acquire(self, lease: str, wait_s: float, lost: Callable[[str], None] | None = None) -> Given | None:
        self.given.append(Given(lease, len(self.given) + 1))
        self.lost.append(lost)
        return self.given[-1]

    def close(self) -> None:
        pass


class Waits:
    """A job that runs until it is told to stop."""

    def __init__(self) -> None:
        self.tokens: list[int] = []
        self.ended = threading.Event()

    def run(self, turn: Turn) -> str:
        self.tokens.append(turn.token)
        while turn.still():
            turn.pause(5.0)
        self.ended.set()
        return "stopped"


def test_a_runner_stops_its_run_when_the_lease_is_lost_and_gives_it_back_at_the_end() -> None:
    store, job = Giving(), Waits()
    runner = TaskRunner("t", job, 60.0, 60.0, store)
    runner.start()
    eventually(lambda: job.tokens == [1])
    store.given[0].held = False
    lost = store.lost[0]
    assert lost is not None
    lost("cut off")
    assert job.ended.wait(10.0)
    eventually(lambda: job.tokens == [1, 2])
    assert runner.stop() and not store.given[-1].held


class Once:
    """A turn for jobs that are run by hand."""

    token, turn = 4, 1

    def still(self) -> bool:
        return True

    def pause(self, seconds: float) -> None:
        pass


def test_fleet_usage_is_the_same_however_often_it_runs_and_sweep_keeps_what_counts(
    tmp_path: pathlib.Path,
) -> None:
    fleet = StandInFleet(2)
    sums = []
    for number in range(2):
        directory = tmp_path / f"g{number}" / "usage"
        config = configuration(fleet, tmp_path / f"l{number}", metering={"directory": str(directory)})
        path = tmp_path / f"g{number}.json5"
        path.write_text(json.dumps(config))
        process = subprocess.Popen(
            [*SAFFRON, "serve", "--config", str(path), "--log-level", "error"], stdout=-1
        )
        assert process.stdout is not None
        address = process.stdout.readline().decode().strip().rpartition("/")[2]
        stack = Stack(None, fleet, {}, address)  # type: ignore[arg-type]
        assert all(stack.call("identify-copy").status == 200 for _ in range(5))
        process.terminate()
        assert process.wait(30) == 0
        process.stdout.close()
    fleet.stop()
    job = FleetUsage([str(tmp_path / "g*" / "usage")], str(tmp_path / "out"))
    for _ in range(2):
        assert job.run(Once()).startswith("2 logs")
        newest = Published(str(tmp_path / "out")).newest()
        assert newest is not None
        sums.append(json.loads(bytes(newest.content))["kib_ms_by_tenant"])
    assert sums[0] == sums[1] and sum(sums[0].values()) > 0
    both = FleetUsage(
        [str(tmp_path / "g*" / "usage"), str(tmp_path / "g0" / "usage")], str(tmp_path / "out2")
    )
    both.run(Once())
    again = Published(str(tmp_path / "out2")).newest()
    assert again is not None and json.loads(bytes(again.content))["kib_ms_by_tenant"] == sums[0]
    assert Sweep([str(tmp_path / "out")], "").run(Once()) == "0 removed"


# ---- a gateway that is stopped, taken over, and wakes

OPEN = int(os.environ.get("SAFFRONSTACK_OPEN", "150"))


@pytest.mark.xdist_group("leases")
def test_a_stopped_gateways_open_calls_are_finished_by_another_and_it_wakes_to_nothing(
    tmp_path: pathlib.Path,
) -> None:
    """SAFFRONSTACK_OPEN=1000 plays it at full size. Judged from the workers and the last holder's ledger."""
    fleet = StandInFleet(2, lambda n: Profile(load_s=0.01, work_s=0.05))
    with lease_servers(tmp_path / "keepers", lease_s=2.0) as three:
        homes = tmp_path / "ledgers"
        path = tmp_path / "gateway.json5"
        path.write_text(json.dumps(configuration(fleet, homes / "g1")))
        shared = three.file(
            tasks=[
                {"name": "takeover", "kind": "takeover", "period_s": 0.5, "budget_s": 120,
                 "ledgers": str(homes), "config": str(path)}
            ]
        )  # fmt: skip
        serve = [
            *SAFFRON,
            "serve",
            "--config",
            str(path),
            "--fleet",
            shared,
            "--name",
            "g1",
            "--log-level",
            "error",
        ]
        gateway = subprocess.Popen(serve, stdout=subprocess.PIPE)
        assert gateway.stdout is not None
        address = gateway.stdout.readline().decode().strip().rpartition("/")[2]
        stack = Stack(None, fleet, {}, address)  # type: ignore[arg-type]
        kinds = ("record-sale", "identify-copy")
        ids = [
            stack.call(kinds[n % 4 == 3], kind="Event").headers.get("x-amzn-requestid") for n in range(OPEN)
        ]
        assert stack.runs("record-sale") + stack.runs("identify-copy") < OPEN  # most are open
        os.kill(gateway.pid, signal.SIGSTOP)
        tasks = subprocess.Popen([*SAFFRON, "tasks", "run", "--fleet", shared], stdout=subprocess.PIPE)
        home = LedgerDirectory(str(homes / "g1"))

        def finished() -> bool:
            place = home.place()
            return not home.abandoned() and place is not None and place.name != "place-" + "0" * 19 + "1"

        eventually(finished, timeout_s=90.0)
        before = Counter(event["id"] for worker in fleet.workers for event in worker.runs())
        os.kill(gateway.pid, signal.SIGCONT)
        assert gateway.wait(10.0) == 3  # it finds out, and ends
        gateway.stdout.close()
        tasks.terminate()
        assert tasks.wait(20.0) == 0
        assert tasks.stdout is not None
        tasks.stdout.close()
        place = home.place()
        assert place is not None
        finals: Counter[str] = Counter()

        class Counting(Book):
            def apply(self, record: object) -> None:
                if isinstance(record, Finished):
                    finals[record.id] += 1
                super().apply(record)  # type: ignore[arg-type]

        book = Counting(OPEN * 2)
        assert not read_back(place, book, CODEC).in_doubt
        assert not book.open and set(finals) == set(ids) and set(finals.values()) == {1}
        runs = Counter(event["id"] for worker in fleet.workers for event in worker.runs())
        sales = [call for n, call in enumerate(ids) if n % 4 != 3]
        assert max(runs[call] for call in sales) == 1  # no unsafe call twice, before and after it woke
        assert runs == before
        # A new life of the gateway finds every final record.
        again = subprocess.Popen(serve, stdout=subprocess.PIPE)
        assert again.stdout is not None
        stack = Stack(None, fleet, {}, again.stdout.readline().decode().strip().rpartition("/")[2])  # type: ignore[arg-type]
        assert all(stack.get(f"/deferred/{call}").status == 200 for call in ids)
        again.terminate()
        assert again.wait(30) == 0
        again.stdout.close()
    fleet.stop()
