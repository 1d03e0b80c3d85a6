"""What leaves memory comes back exactly: runs, the account's archive, windows, kills at every write."""

from __future__ import annotations

import errno
import os
import pathlib
import random
import shutil
import subprocess
import sys
from collections import defaultdict
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.durable.errors import RunDamagedError
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.sorted_runs import SortedRun, merge_sorted, write_run
from saffronstack.metering.account import Account
from saffronstack.metering.account_limits import AccountLimits
from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import (
    combine_values,
    decode_key,
    encode_amounts,
    encode_key,
    encode_key_prefix,
)
from saffronstack.metering.cost_allocation import total_occupancy
from saffronstack.metering.ledger_entries import (
    AnyLedgerEntry,
    IncarnationEnded,
    LedgerStarted,
    ProvisionalCharge,
    ProvisionalChargeVoided,
    RecordConfirmed,
    RecordReceived,
    RecordRelinquished,
    RunsMerged,
)
from saffronstack.metering.ledger_entries import decode_entry as decode
from saffronstack.metering.ledger_entries import encode_entry as encode
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.sliding_windows import SlidingWindows
from saffronstack.metering.usage_log import open_usage_log, read_usage_log
from saffronstack.metering.worker_messages import CallReference, UsageRecord

SMALL_LIMITS = AccountLimits(totals=6, window_buckets=8, unconfirmed=5, incarnations=3, provisional=2)


def items(count: int, first: int = 0) -> list[tuple[bytes, bytes]]:
    pairs = [
        (encode_key("t", f"tenant-{n % 97}", f"f{n}", "c", "w", n), encode_amounts((n,)))
        for n in range(first, count)
    ]
    return sorted(pairs)


def test_a_run_is_read_back_by_prefix_and_whole(tmp_path: pathlib.Path) -> None:
    wanted = items(20_000)
    assert write_run(tmp_path / "a.run", iter(wanted), FileOperations()) == 20_000
    run = SortedRun.open(tmp_path / "a.run")
    assert list(run.items()) == wanted
    assert len(run.first_keys) > 5
    for tenant in ("tenant-0", "tenant-5", "tenant-96", "tenant-9", "nobody"):
        prefix = encode_key_prefix(6, "t", tenant)
        found = list(run.items_with_prefix(prefix))
        assert found == [item for item in wanted if decode_key(item[0])[1] == tenant]
    write_run(tmp_path / "empty.run", iter(()), FileOperations())
    assert list(SortedRun.open(tmp_path / "empty.run").items()) == []


def test_a_flipped_byte_costs_nothing_and_two_are_named(tmp_path: pathlib.Path) -> None:
    wanted = items(5_000)
    path = tmp_path / "a.run"
    write_run(path, iter(wanted), FileOperations())
    data = path.read_bytes()
    chance = random.Random(3)
    places = SortedRun.open(path).positions
    for _ in range(60):
        at = chance.randrange(len(data))
        path.write_bytes(data[:at] + bytes([data[at] ^ (1 << chance.randrange(8))]) + data[at + 1 :])
        assert list(SortedRun.open(path).items()) == wanted
    half = (places[1] - places[0]) // 2
    bad = bytearray(data)
    bad[places[1] + 40] ^= 4
    bad[places[1] + 40 + (places[2] - places[1]) // 2] ^= 4
    path.write_bytes(bad)
    with pytest.raises(RunDamagedError, match=rf"a\.run: byte {places[1]}: both copies"):
        list(SortedRun.open(path).items())
    assert half > 0
    for cut in (1, 10, 100, len(data) // 2, len(data) - 20, len(data) - 3):
        path.write_bytes(data[:cut])
        damage = ""
        try:
            found = list(SortedRun.open(path).items())
        except RunDamagedError as error:
            damage = str(error)
        if damage:
            assert str(path) in damage
        else:
            assert found == wanted  # the trailer alone was cut


def test_a_full_disk_leaves_no_run(tmp_path: pathlib.Path) -> None:
    class Full(FileOperations):
        def write(self, descriptor: int, data: bytes) -> None:
            raise OSError(errno.ENOSPC, "No space left on device")

    with pytest.raises(OSError, match="No space"):
        write_run(tmp_path / "a.run", iter(items(10)), Full())
    assert list(tmp_path.iterdir()) == []


def test_runs_merge_by_kind() -> None:
    old = [
        (encode_key("h", "w", "i", 1), encode_amounts((5,))),
        (encode_key("t", "a"), encode_amounts((1, 2))),
        (encode_key("u", "w", "i", 9), b"text"),
    ]
    new = [
        (encode_key("h", "w", "i", 1), encode_amounts((8,))),
        (encode_key("t", "a"), encode_amounts((10, 1 << 70))),
        (encode_key("u", "w", "i", 9), b""),
    ]
    found = dict(merge_sorted([sorted(old), sorted(new)], combine_values))
    assert found == {
        encode_key("h", "w", "i", 1): encode_amounts((8,)),
        encode_key("t", "a"): encode_amounts((11, (1 << 70) + 2)),
        encode_key("u", "w", "i", 9): b"",
    }


# ---- the account


def usage(
    seq: int, worker: str, incarnation: str, tenants: tuple[str, ...], kib: int, us: int
) -> UsageRecord:
    refs = tuple(CallReference(f"{worker}-{incarnation}-{seq}-{t}", t, "c") for t in tenants)
    return UsageRecord(worker, incarnation, seq, f"f{seq % 3}", kib, 0, us, 0, 1, 0, (), refs)


def number_of(record: RecordReceived) -> tuple[str, str, int]:
    return record.usage.worker, record.usage.incarnation, record.usage.sequence_number


names = st.sampled_from(["a", "b", "c", "d"])
some = st.tuples(st.sampled_from(["w1", "w2"]), st.sampled_from("ijkl"), st.integers(1, 12))
step: Any = st.one_of(
    st.tuples(st.just("received"), some, st.lists(names, min_size=1, max_size=3, unique=True)),
    st.tuples(st.sampled_from(["confirmed", "given"]), some, st.just([])),
    st.tuples(st.sampled_from(["lost", "replaced", "dead"]), some, st.lists(names, min_size=1, max_size=1)),
    st.tuples(st.sampled_from(["relieve", "reopen", "merge", "snapshot"]), some, st.just([])),
)
LENGTHS = {"a": 600.0, "b": 60.0}


class Kept:
    """An account with tiny bounds, kept as entries; it can be read anew, and stand for itself as a
    snapshot."""

    def __init__(self, directory: pathlib.Path) -> None:
        self.archive = Archive(directory)
        self.entries: list[bytes] = []
        self.account = Account(archive=self.archive, budget_windows=LENGTHS, limits=SMALL_LIMITS)
        self.take(LedgerStarted("g"))

    def take(self, entry: AnyLedgerEntry) -> None:
        self.entries.append(encode(entry))
        self.account.apply(entry)

    def spill(self) -> None:
        while moved := self.account.spill():
            for entry in moved:
                self.take(entry)

    def reopen(self) -> None:
        self.archive = Archive(self.archive.directory.parent)
        self.account = Account(archive=self.archive, budget_windows=LENGTHS, limits=SMALL_LIMITS)
        for data in self.entries:
            self.account.apply(decode(data))
        self.archive.remove_orphans()

    def merge(self) -> None:
        runs = self.archive.runs[-3:]
        if len(runs) > 1:
            self.take(RunsMerged(runs, self.account.merge_runs(runs)))
            self.account.remove_runs(runs)
            self.entries = [encode(entry) for entry in self.account.snapshot()]  # the old runs are gone


@given(st.lists(step, max_size=60), st.randoms(use_true_random=False))
@settings(derandomize=True, max_examples=150, deadline=None)
def test_an_account_that_spills_is_the_one_that_does_not(
    tmp_path_factory: pytest.TempPathFactory, steps: list[Any], chance: random.Random
) -> None:
    kept = Kept(tmp_path_factory.mktemp("usage"))
    plain = Account("g", budget_windows=LENGTHS)
    at = 1_000_000.0
    taken: set[tuple[str, str, int]] = set()
    confirmed: set[tuple[str, str, int]] = set()
    given_away: set[tuple[str, str, int]] = set()
    for what, (worker, incarnation, seq), tenants in steps:
        at += chance.random() * 20
        number = worker, incarnation, seq
        entry: AnyLedgerEntry | None = None
        if what == "received" and number not in given_away:  # its worker offers it to nobody any more
            entry = RecordReceived(
                usage(seq, worker, incarnation, tuple(tenants), 10 + seq, 100 + seq), at, at
            )
            taken.add(number)
        elif what == "confirmed" and number not in given_away:
            entry = RecordConfirmed(*number)
            confirmed |= {number} & taken
        elif what == "given" and number not in confirmed:
            entry = RecordRelinquished(*number)
            given_away.add(number)
        elif what == "lost":
            ref = CallReference(f"lost-{incarnation}-{seq}", tenants[0], "c")
            entry = ProvisionalCharge(worker, incarnation, ref, "f0", 999, at, at)
        elif what == "replaced":
            entry = ProvisionalChargeVoided(worker, f"lost-{incarnation}-{seq}")
        elif what == "dead":
            entry = IncarnationEnded(worker, incarnation)
        elif what == "reopen":
            kept.reopen()
        elif what == "merge":
            kept.merge()
        elif what == "snapshot":
            kept.entries = [encode(one) for one in kept.account.snapshot()]
            kept.reopen()
        if entry is not None:
            plain.apply(entry)
            kept.take(entry)
        while moved := kept.account.spill():
            for one in moved:
                kept.take(one)
                if isinstance(one, IncarnationEnded):
                    plain.apply(one)
    assert len(kept.account.totals) <= SMALL_LIMITS.totals
    assert len(kept.account.unconfirmed) <= SMALL_LIMITS.unconfirmed
    assert len(kept.account.provisional) <= SMALL_LIMITS.provisional

    def real(found: dict[str, int]) -> dict[str, int]:
        return {tenant: amount for tenant, amount in found.items() if amount}

    assert real(kept.account.charges_by_tenant()) == real(plain.charges_by_tenant())
    assert kept.account.find_imbalances() == plain.find_imbalances() == []
    for number in taken - given_away:
        assert kept.account.has_record(*number)
    assert kept.account.windows is not None
    assert plain.windows is not None
    for tenant in LENGTHS:
        assert kept.account.windows.total(tenant, at) == plain.windows.total(tenant, at)
        parts = [part for part in kept.account.windows.buckets_in_window(tenant, at) if part[1]]
        assert parts == [part for part in plain.windows.buckets_in_window(tenant, at) if part[1]]
    assert kept.account.windows.total_of_all_tenants(at) == plain.windows.total_of_all_tenants(at)
    whole = merge_accounts([kept.account])
    assert real(whole.charges_by_tenant()) == real(plain.charges_by_tenant())
    assert whole.unconfirmed == len(taken - given_away - confirmed)


def test_two_spilled_accounts_that_hold_the_same_records_count_them_once(tmp_path: pathlib.Path) -> None:
    first, second = Kept(tmp_path / "one"), Kept(tmp_path / "two")
    second.take(LedgerStarted("h"))
    held: dict[str, int] = defaultdict(int)
    for seq in range(1, 60):
        record = RecordReceived(usage(seq, "w1", "i", ("a", "b"), 100, 1000), 0.0)
        held["w1"] += total_occupancy(record.usage)[1]
        for kept in (first, second):
            if kept is first or seq % 3 == 0:
                kept.take(record)
                kept.spill()
    for seq in range(1, 60, 6):
        second.take(RecordConfirmed("w1", "i", seq if seq % 3 == 0 else seq + 2))
        second.spill()
    for order in ([first, second], [second, first]):
        whole = merge_accounts(kept.account for kept in order)
        assert sum(whole.charges_by_tenant().values()) == held["w1"]
        assert whole.find_imbalances() == []
        assert whole.unconfirmed + whole.confirmed == 59


def test_sums_beyond_64_bits_survive(tmp_path: pathlib.Path) -> None:
    """A worker of 512 GB holds more KiB microseconds in a day than 64 bits take."""
    journal = open_usage_log(str(tmp_path), 4096)
    day = 24 * 3600 * 1_000_000
    for seq in range(1, 40):
        record = UsageRecord(
            "w1", "i", seq, "f", 512 << 20, 0, day, 0, 1, 0, (), (CallReference(f"id-{seq}", "a", "c"),)
        )
        ticket = journal.append(RecordReceived(record, 0.0), RecordConfirmed("w1", "i", seq))
        assert ticket.done.wait(10)
    wanted = 39 * (512 << 20) * day
    assert wanted > 1 << 65
    assert journal.state.charges_by_tenant() == {"a": wanted}
    assert journal.close()
    assert len(list(tmp_path.glob("*.seg"))) < 10  # it was compacted meanwhile
    account, lines = read_usage_log(tmp_path)
    assert (account.charges_by_tenant(), lines, account.find_imbalances()) == ({"a": wanted}, [], [])


def test_a_hundred_thousand_tenants_stay_under_the_bounds_and_come_back(tmp_path: pathlib.Path) -> None:
    limits = AccountLimits(totals=4_000, window_buckets=4_000, unconfirmed=2_000, incarnations=50)
    lengths = {f"t{n}": 3600.0 for n in range(100_000)}
    journal = open_usage_log(str(tmp_path), 1 << 20, budget_windows=lengths, limits=limits)
    ticket = None
    for n in range(0, 100_000, 4):
        tenants = tuple(f"t{n + k}" for k in range(4))
        entry = RecordReceived(
            usage(n // 4 + 1, "w1", "i", tenants, 4, 1000 + n % 7), 7200.0 + n / 100, 7200.0 + n / 100
        )
        ticket = journal.append(entry, RecordConfirmed("w1", "i", n // 4 + 1))
        if n % 2000 == 0:
            assert ticket.done.wait(30)
            assert len(journal.state.totals) <= limits.totals + 4096
            assert journal.state.windows is not None
            assert journal.state.windows.bucket_count <= limits.window_buckets + 4096
    assert ticket is not None
    assert ticket.done.wait(30)
    assert journal.close()
    windows = journal.state.windows
    assert windows is not None
    for n in (0, 1, 50_003, 99_999):
        assert [sum(a[:3]) for _, a in journal.state.read_totals(f"t{n}")] == [1000 + (n // 4 * 4) % 7]
        assert windows.total(f"t{n}", 8200.0) == 1000 + (n // 4 * 4) % 7
    assert windows.total_of_all_tenants(8200.0) == sum(4 * (1000 + n % 7) for n in range(0, 100_000, 4))
    again = open_usage_log(str(tmp_path), 1 << 20, budget_windows=lengths, limits=limits)
    assert again.state.windows is not None
    assert again.state.windows.total("t50003", 8200.0) == 1000 + 50_000 % 7
    assert len(again.state.charges_by_tenant()) == 100_000
    assert again.close()


# ---- windows


def test_windows_after_a_restart_with_a_clock_that_was_set_back() -> None:
    first = SlidingWindows({"a": 60.0})
    first.add("a", 1000.0, 50)
    first.add("a", 1030.0, 70)
    second = SlidingWindows({"a": 60.0})
    for part in first.snapshot():
        second.restore(*part)
    assert second.total("a", 1040.0) == second.total_of_all_tenants(1040.0) == 120
    second.resume_at(500.0)
    assert second.total("a", 500.0) == 120
    assert second.total("a", 559.0) == 120
    assert second.total("a", 561.0) == second.total_of_all_tenants(561.0) == 0


def test_amounts_are_taken_back_and_late_ones_count_where_they_belong() -> None:
    windows = SlidingWindows({"a": 60.0, "b": 10.0})
    windows.add("a", 100.0, 10)
    windows.add("a", 70.0, 5)
    windows.add("a", 30.0, 999)  # out of the window already
    windows.add("a", 100.0, -4)
    windows.add("b", 100.0, 1)
    windows.add("stranger", 100.0, 1)
    assert windows.buckets_in_window("a", 101.0) == [(70.0, 5), (100.0, 6)]
    assert (
        windows.total("a", 131.0),
        windows.total_of_all_tenants(101.0),
        windows.total_of_all_tenants(131.0),
    ) == (6, 12, 6)


# ---- kills at each write


class Photographs(FileOperations):
    """Keeps what the disk holds before and after each operation, and after half of each write."""

    def __init__(self, directory: pathlib.Path, to: pathlib.Path) -> None:
        self.directory, self.to = directory, to
        self.acknowledged = 0
        self.taken: list[tuple[pathlib.Path, int]] = []

    def photograph(self) -> None:
        target = self.to / str(len(self.taken))
        shutil.copytree(self.directory, target)
        self.taken.append((target, self.acknowledged))

    def open(self, path: pathlib.Path) -> int:
        self.photograph()
        return super().open(path)

    def write(self, descriptor: int, data: bytes) -> None:
        self.photograph()
        half = len(data) // 2 + 3
        super().write(descriptor, data[:half])
        self.photograph()
        super().write(descriptor, data[half:])

    def sync(self, descriptor: int) -> None:
        self.photograph()
        super().sync(descriptor)
        self.photograph()

    def sync_directory(self, directory: pathlib.Path) -> None:
        self.photograph()
        super().sync_directory(directory)
        self.photograph()


def script() -> list[tuple[AnyLedgerEntry, ...]]:
    """Commits of a gateway: records, confirmations, losses; enough for segments, compaction and runs."""
    commits: list[tuple[AnyLedgerEntry, ...]] = []
    for n in range(1, 41):
        record = RecordReceived(
            usage(n, "w1", "ij"[n > 20], ("a", "b", f"t{n}"), 100 + n, 1000), n * 400.0, n * 400.0
        )
        commits.append((record,))
        if n % 3 == 0:
            commits.append(
                (RecordConfirmed("w1", "ij"[n > 20], n - 1, n), RecordRelinquished("w1", "ij"[n > 20], n - 2))
            )
        if n % 5 == 0:
            commits.append(
                (
                    ProvisionalCharge(
                        "w1", "ij"[n > 20], CallReference(f"l{n}", "b", "c"), "f", 77, 0.0, n * 400.0
                    ),
                )
            )
    commits.append((IncarnationEnded("w1", "i"),))
    return commits


def sums_after(commits: list[tuple[AnyLedgerEntry, ...]]) -> dict[str, int]:
    account = Account("g")
    for commit in commits:
        for entry in commit:
            account.apply(entry)
    return {tenant: amount for tenant, amount in account.charges_by_tenant().items() if amount}


LIMITS = AccountLimits(totals=20, window_buckets=30, unconfirmed=4, incarnations=2, provisional=3)
WINDOWS = {"a": 3600.0, "b": 60000.0}


def test_a_kill_at_every_write_boundary_keeps_what_was_acknowledged(tmp_path: pathlib.Path) -> None:
    commits = script()
    files = Photographs(tmp_path / "log", tmp_path / "kept")
    (tmp_path / "log").mkdir()
    journal = open_usage_log(str(tmp_path / "log"), 4096, files, WINDOWS, LIMITS)
    for commit in commits:
        assert journal.append(*commit).done.wait(10)
        files.acknowledged += 1
    assert journal.close()
    wanted = [sums_after(commits[:n]) for n in range(len(commits) + 1)]
    entries = [entry for commit in commits for entry in commit]
    given_away = {
        (e.worker, e.incarnation, e.sequence_number) for e in entries if isinstance(e, RecordRelinquished)
    }
    assert len(files.taken) > 200
    assert sum(len(list(path.glob("runs/*.run"))) > 0 for path, _ in files.taken) > 20
    for path, acknowledged in files.taken:
        again = open_usage_log(str(path), 4096, budget_windows=WINDOWS, limits=LIMITS)
        found = {tenant: amount for tenant, amount in again.state.charges_by_tenant().items() if amount}
        assert found in wanted[acknowledged : acknowledged + 2], path
        assert not again.state.in_doubt
        # The worker offers again what was not acknowledged; what was counted before counts no second time.
        for commit in commits[acknowledged:]:
            ticket = again.append(*commit)
        for commit in commits[:acknowledged]:
            if isinstance(commit[0], RecordReceived) and number_of(commit[0]) not in given_away:
                ticket = again.append(commit[0])
        assert ticket.done.wait(10)
        assert again.close()  # its thread moves sums after the ticket is done: look at what stands at last
        found = {tenant: amount for tenant, amount in again.state.charges_by_tenant().items() if amount}
        assert found == wanted[-1], path
        assert again.state.find_imbalances() == []


CHILD = """
import os, signal, sys
sys.path.insert(0, {root!r})
from saffronstack.durable.file_operations import FileOperations
from saffronstack.metering.usage_log import open_usage_log
from tests.test_usage_archive import LIMITS, WINDOWS, script
left = int(sys.argv[2])
class Killed(FileOperations):
    def count(self):
        global left
        left -= 1
        if left == 0:
            os.kill(os.getpid(), signal.SIGKILL)
    def write(self, descriptor, data):
        half = len(data) // 2
        super().write(descriptor, data[:half])
        self.count()
        super().write(descriptor, data[half:])
        self.count()
    def sync(self, descriptor):
        self.count()
        super().sync(descriptor)
        self.count()
    def sync_directory(self, directory):
        self.count()
        super().sync_directory(directory)
        self.count()
journal = open_usage_log(sys.argv[1], 4096, Killed(), WINDOWS, LIMITS)
for commit in script():
    journal.append(*commit).done.wait(10)
    print("ok", flush=True)
"""


@pytest.mark.parametrize("at", [3, 40, 77, 121, 160, 201])
def test_a_process_killed_at_a_write_loses_nothing_it_acknowledged(tmp_path: pathlib.Path, at: int) -> None:
    root = str(pathlib.Path(__file__).parent.parent)
    child = subprocess.run(
        [sys.executable, "-c", CHILD.format(root=root), str(tmp_path / "log"), str(at)],
        check=False,
        capture_output=True,
        timeout=60,
        env={**os.environ, "PYTHONDONTWRITEBYTECODE": "1"},
    )
    assert child.returncode == -9, child.stderr.decode()
    acknowledged = child.stdout.count(b"ok")
    commits = script()
    again = open_usage_log(str(tmp_path / "log"), 4096, budget_windows=WINDOWS, limits=LIMITS)
    assert again.close()
    found = {tenant: amount for tenant, amount in again.state.charges_by_tenant().items() if amount}
    assert found in [sums_after(commits[:n]) for n in (acknowledged, acknowledged + 1)]
    assert again.state.find_imbalances() == []


def test_a_run_that_is_gone_is_said_and_nothing_else_is_lost(tmp_path: pathlib.Path) -> None:
    journal = open_usage_log(str(tmp_path), 4096, None, WINDOWS, LIMITS)
    for commit in script():
        assert journal.append(*commit).done.wait(10)
    assert journal.close()
    runs = sorted((tmp_path / "runs").glob("*.run"))
    assert runs
    runs[0].unlink()
    again = open_usage_log(str(tmp_path), 4096, None, WINDOWS, LIMITS)
    assert again.state.in_doubt
    assert again.append(RecordReceived(usage(99, "w9", "i", ("z",), 5, 1000), 0.0)).done.wait(10)
    assert again.state.has_record("w9", "i", 99)
    assert again.state.find_archive_damage()
    assert runs[0].name in again.state.find_archive_damage()[0]
    assert again.close()
