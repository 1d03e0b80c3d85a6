"""Write ledgers, operation logs and usage logs with every kind of record, with the code of commit 0684301.

Run from a clean checkout of that commit, with its dependencies installed:

    cd CHECKOUT && PYTHONPATH=$PWD python REPOSITORY/tests/stored_formats/capture_journal_records.py

For each of the three, `data/KIND` receives the segment that the journal wrote, and `snapshot.msgpack` with
the snapshot records of the state after that segment. `data/usage_archive` receives a usage log whose sums
were moved from memory to runs on disk. The script imports modules by the names of that commit, which differ
from those of the present code.
"""

from __future__ import annotations

import importlib
import json
import pathlib
import shutil
import tempfile
from typing import Any

import msgspec

DATA = pathlib.Path(__file__).parent / "data"
WAIT_S = 10.0
SEGMENT_BYTES = 1 << 20
TENANT, OTHER_TENANT = "corner-books", "campus-app"
BUDGET_WINDOWS = {TENANT: 3600.0, OTHER_TENANT: 60.0}
AT = 1_764_680_000.5  # Unix seconds
STEADY = 1_764_680_001.25
HUGE = (1 << 64) + 7  # exceeds the integers of MessagePack


def digest(number: int) -> bytes:
    """Return a digest for a test operation."""
    return bytes([number]) * 12


def packed_operations() -> list[bytes]:
    """Pack operations of every state and effect, with and without responses."""
    interface = importlib.import_module("saffronstack.interface")
    table = importlib.import_module("saffronstack.operations.table")
    request_id = "0f8fad5b-d9cb-469f-a165-70867728950e"
    headers = (
        ("Content-Type", "application/json"),
        ("x-amzn-RequestId", request_id),
        ("X-Amz-Executed-Version", "$LATEST"),
        ("X-Amz-Function-Error", "Unhandled"),
        ("X-Amz-Function-Error", "Handled"),
        ("X-Amz-Log-Result", "bG9n"),
        ("X-Other", "text"),
    )
    answers = [
        None,
        table.Answer(200, headers, b'{"sold": 1}'),
        table.Answer(200, headers[:2], b"", "spooled-name", "0123456789abcdef", 70_000),
    ]
    packed = []
    number = 0
    for fate in table.Fate:
        for effect in interface.Effect:
            number += 1
            answer = answers[number % 3]
            identity = request_id if number % 2 else f"request {number}"
            packed.append(
                table.pack(
                    table.Packed(
                        fate, AT + number, b"\x02" * 16, identity, effect, answer, number, AT - 1.5, AT + 2.5
                    )
                )
            )
    return packed


def deferred_records() -> list[Any]:
    """Build every kind of ledger record; the snapshot record is first, because it discards earlier ones."""
    kinds = importlib.import_module("saffronstack.deferred.records")
    packed = packed_operations()
    first = kinds.Accepted(
        "id-1", "record-sale", TENANT, b'{"op": 1}', "Y29udGV4dA==", "key-1", AT, digest(1), packed[0], 2e9
    )
    return [
        kinds.Snapshot(2, 1),
        first,
        kinds.Accepted("id-2", "identify-copy", OTHER_TENANT, b"\x00\xff", "", "", AT + 1),
        kinds.Accepted("id-3", "record-sale", TENANT, b"{}", "", "", AT + 2, digest(3), packed[1], 2e9),
        kinds.Accepted("id-4", "adjust-setting", TENANT, b"{}", "", "key-4", AT + 3),
        kinds.Accepted("id-5", "record-sale", TENANT, b"{}", "", "", AT + 3, digest(5), packed[3], 2e9),
        kinds.Named(digest(2), packed[2], 2e9, "id-0"),
        kinds.Attempted("id-1", 11, AT + 4),
        kinds.Attempted("id-4", 12, AT + 5),
        kinds.Attempted("id-4", 13, AT + 5.5),
        kinds.Voided("id-4"),
        kinds.Attempted("id-4", 14, AT + 6),
        kinds.Finished("id-2", "identify-copy", OTHER_TENANT, AT + 7, b'{"version":"1.0"}'),
        kinds.Dropped("id-5"),
    ]


def operations_notes() -> list[Any]:
    """Build every kind of operation log record."""
    interface = importlib.import_module("saffronstack.interface")
    kinds = importlib.import_module("saffronstack.operations.notes")
    packed = packed_operations()
    effects = list(interface.Effect)
    noted = [
        kinds.Noted(
            digest(number),
            bytes([number]) * 16,
            effects[number % 3],
            f"request-{number}",
            900.5 + number,
            20 + number,
            AT + number,
        )
        for number in range(1, 7)
    ]
    return [
        kinds.Start(),
        *noted,
        kinds.Ended(digest(1), packed[0], AT + 1000.5),
        kinds.Ended(digest(2), packed[4], AT + 0.5),
        kinds.Released(digest(3)),
        kinds.Expired(AT + 1.5),
        *(kinds.Ended(digest(40 + number), one, 2e9) for number, one in enumerate(packed)),
    ]


def usage_record(kinds: Any, worker: str, incarnation: str, seq: int) -> Any:
    """Build a worker's usage record with queued and running calls."""
    waiting = (kinds.Ref(f"wait-{worker}-{seq}", TENANT, "lookup"),)
    running = (
        kinds.Ref(f"run-{worker}-{seq}", TENANT, "sale"),
        kinds.Ref(f"other-{worker}-{seq}", OTHER_TENANT, "lookup"),
    )
    return kinds.Usage(
        worker, incarnation, seq, f"function-{seq % 3}", 131_072 + seq, 1_000, 2_501 + seq, 1, 2, 3,
        waiting, running,
    )  # fmt: skip


def usage_entries() -> list[Any]:
    """Build every kind of usage log record."""
    kinds = importlib.import_module("saffronstack.metering.records")
    lost = kinds.Provisional(
        "worker-1", "life-a", kinds.Ref("lost-1", TENANT, "sale"), "record-sale", 987_654_321, AT, STEADY,
        131_072, 2,
    )  # fmt: skip
    received = [
        kinds.Received(usage_record(kinds, "worker-1", "life-a", seq), AT + seq, STEADY + seq)
        for seq in range(1, 8)
    ]
    return [
        kinds.Start("gateway-one"),
        *received,
        kinds.Received(usage_record(kinds, "worker-2", "life-b", 1), AT + 9, STEADY + 9),
        kinds.Confirmed("worker-1", "life-a", 1),
        kinds.Confirmed("worker-1", "life-a", 2, 4),
        kinds.Given("worker-1", "life-a", 5),
        kinds.Spilled(3, (("worker-1", "life-a"),), (("worker-1", "life-a", 6, 6),)),
        kinds.Compacted((1, 2), 3),
        kinds.Archived((3, 4)),
        lost,
        kinds.Provisional(
            "worker-1", "life-a", kinds.Ref("lost-2", OTHER_TENANT, "sale"), "record-sale", str(HUGE), AT
        ),
        kinds.Provisional("worker-2", "life-b", kinds.Ref("lost-3", TENANT, "sale"), "record-sale", 555, AT),
        kinds.Provisional("worker-3", "life-c", kinds.Ref("lost-4", TENANT, "sale"), "record-sale", 777, AT),
        kinds.Provisional("worker-3", "life-c", kinds.Ref("lost-5", TENANT, "sale"), "record-sale", 778, AT),
        kinds.Replaced("worker-2\0life-b", "lost-3"),
        kinds.Estimated("worker-3", "life-c", "lost-4"),
        kinds.Estimated("worker-4", "life-d"),
        kinds.Estimate(lost),
        kinds.Pinned("worker-5\0life-e", "pinned-1", 44_444),
        kinds.Charged("worker-5\0life-e", "charged-1", 33_333),
        kinds.Total(
            TENANT, "function-9", "lookup", "worker-5", 1_764_676_800, 1_001, 2_002, str(HUGE), 4_004
        ),
        kinds.Held("worker-5", "life-e", 3, 17),
        kinds.Occupied("worker-5", 5_005, 6_006, str(HUGE)),
        kinds.Gone("worker-6", "life-f", 21),
        kinds.Spent(TENANT, 3600.0, 1_764_679_980.0, 8_008),
        kinds.Spent("", 60.0, 1_764_680_001.0, str(HUGE)),
    ]


def write_journal(kind: str, journal: Any, records: list[Any]) -> None:
    """Append each record separately and the last three together; store the segment and the snapshot."""
    for record in records[:-3]:
        assert journal.append(record).done.wait(WAIT_S)
    assert journal.append(*records[-3:]).done.wait(WAIT_S)
    snapshot = list(journal.state.snapshot())
    assert journal.close()
    encode = journal._codec.encode
    folder = DATA / kind
    folder.mkdir(parents=True, exist_ok=True)
    (path,) = journal._directory.glob("*.seg")
    shutil.copyfile(path, folder / path.name)
    (folder / "snapshot.msgpack").write_bytes(msgspec.msgpack.encode([encode(one) for one in snapshot]))


def journal_of(directory: pathlib.Path, state: Any, codec: Any) -> Any:
    """Open a journal of that commit in an empty directory."""
    journals = importlib.import_module("saffronstack.durable.journal")
    return journals.Journal(str(directory), state, codec, SEGMENT_BYTES)


def account_figures(account: Any) -> dict[str, Any]:
    """Return the charges and reports of an account as JSON values."""
    usage_page = importlib.import_module("saffronstack.invoke.usage")
    reports = importlib.import_module("saffronstack.metering.report")
    merging = importlib.import_module("saffronstack.metering.merging")
    statement = usage_page.statement(account, None, TENANT, AT)
    merged = merging.merge([account])
    rows = reports.rows(merged, reports.COLUMNS)
    return {
        "by_tenant": dict(sorted(account.by_tenant().items())),
        "statement": usage_page.together([statement], []),
        "csv": reports.comma_separated(rows, reports.COLUMNS),
        "jsonl": reports.json_lines(rows, reports.COLUMNS),
        "table": reports.table(rows, reports.COLUMNS),
    }


def write_archive() -> None:
    """Write a usage log whose account exceeds its memory limits, so that it writes runs and merges some."""
    meter = importlib.import_module("saffronstack.metering.meter")
    accounts = importlib.import_module("saffronstack.metering.account")
    kinds = importlib.import_module("saffronstack.metering.records")
    bounds = accounts.Bounds(totals=6, parts=8, unconfirmed=5, incarnations=1, provisional=100, estimates=2)
    folder = DATA / "usage_archive"
    shutil.rmtree(folder, ignore_errors=True)
    with tempfile.TemporaryDirectory() as temporary:
        journal = meter.open_usage_log(temporary, SEGMENT_BYTES, None, BUDGET_WINDOWS, bounds)
        journal.append(kinds.Start("gateway-two")).done.wait(WAIT_S)
        for step in range(1, 24):
            for entry in archive_step(kinds, step):
                assert journal.append(entry).done.wait(WAIT_S)
        account = journal.state
        runs = account._archive.runs[:3]
        assert journal.append(kinds.Compacted(runs, account.merge_runs(runs))).done.wait(WAIT_S)
        account.drop_runs(runs)
        assert journal.close()
        again, lines = meter.read_usage_log(pathlib.Path(temporary))
        assert not lines
        figures = account_figures(again)
        merged = list(again._archive.under(b""))
        shutil.copytree(temporary, folder, ignore=shutil.ignore_patterns("LOCK"))
    (folder / "figures.json").write_text(json.dumps(figures, indent=1))
    (folder / "merged.msgpack").write_bytes(msgspec.msgpack.encode(merged))


def archive_step(kinds: Any, step: int) -> list[Any]:
    """Return usage log entries that affect sums, sequence numbers, windows and estimates of an account."""
    worker, incarnation = f"worker-{step % 3}", f"life-{step % 4}"
    seq = step * 10
    entries = [
        kinds.Received(usage_record(kinds, worker, incarnation, seq), AT + step * 7, STEADY + step * 7),
        kinds.Provisional(
            worker, incarnation, kinds.Ref(f"lost-{step}", TENANT, "sale"), "record-sale", 40_000_000 + step,
            AT + step, STEADY + step,
        ),
    ]  # fmt: skip
    if step % 2:
        entries.append(kinds.Confirmed(worker, incarnation, seq))
    if step % 12 == 10:
        entries.append(kinds.Given(f"worker-{(step - 8) % 3}", f"life-{(step - 8) % 4}", seq - 80))
    if step % 3 == 0:
        entries.append(kinds.Estimated(worker, incarnation))
    return entries


def write_messages() -> None:
    """Write the usage messages between a gateway and a worker, with and without default values."""
    kinds = importlib.import_module("saffronstack.metering.records")
    usage = usage_record(kinds, "worker-1", "life-a", 4)
    messages = {
        "asked": kinds.Asked("gateway-one", (("life-a", 3), ("life-b", 4)), ("missing-1",), 17),
        "asked-defaults": kinds.Asked("gateway-one"),
        "offered": kinds.Offered(
            "worker-1", "life-a", 123_456, (("life-a", 1),), (("life-b", 2),), ("known-1",), 5, (usage,), 6
        ),
        "offered-defaults": kinds.Offered("worker-1", "life-a", 123_456),
    }
    folder = DATA / "usage_messages"
    folder.mkdir(parents=True, exist_ok=True)
    for name, message in messages.items():
        (folder / f"{name}.msgpack").write_bytes(msgspec.msgpack.encode(message))


def main() -> None:
    """Write all files."""
    ledgers = importlib.import_module("saffronstack.deferred.ledger")
    books = importlib.import_module("saffronstack.deferred.book")
    notes = importlib.import_module("saffronstack.operations.notes")
    meter = importlib.import_module("saffronstack.metering.meter")
    accounts = importlib.import_module("saffronstack.metering.account")
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary)
        book = journal_of(folder / "ledger", books.Book(100), ledgers.CODEC)
        write_journal("deferred_records", book, deferred_records())
        noted = journal_of(folder / "notes", notes.Notes(), notes.CODEC)
        write_journal("operations_notes", noted, operations_notes())
        known = {key.hex(): value.hex() for key, value in noted.state.known()}
        (DATA / "operations_notes" / "known.json").write_text(json.dumps(known, indent=1))
        account = accounts.Account(budget_windows=BUDGET_WINDOWS)
        usage = journal_of(folder / "usage", account, meter.CODEC)
        write_journal("usage_records", usage, usage_entries())
        figures = json.dumps(account_figures(account), indent=1)
        (DATA / "usage_records" / "figures.json").write_text(figures)
    write_archive()
    write_messages()


if __name__ == "__main__":
    main()
