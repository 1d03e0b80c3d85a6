"""Ledgers, operation logs and usage logs keep the format of commit 0684301: records, state and files."""

from __future__ import annotations

import json
import pathlib
import shutil
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest

from saffronstack.deferred.call_table import CallTable
from saffronstack.deferred.ledger import CODEC as LEDGER_CODEC
from saffronstack.deferred.ledger import read_call_operations
from saffronstack.durable.file_operations import FileOperations
from saffronstack.durable.journal import Journal
from saffronstack.durable.journal_state import RecordCodec
from saffronstack.durable.sorted_runs import SortedRun, write_run
from saffronstack.invoke.usage import merge_usage, tenant_usage
from saffronstack.metering.account import Account
from saffronstack.metering.account_limits import AccountLimits
from saffronstack.metering.archive import Archive
from saffronstack.metering.archive_keys import decode_amounts, decode_key, encode_amounts, encode_key
from saffronstack.metering.merged_accounts import merge_accounts
from saffronstack.metering.usage_log import CODEC as USAGE_CODEC
from saffronstack.metering.usage_log import read_usage_log
from saffronstack.metering.usage_report import (
    COLUMNS,
    format_csv,
    format_json_lines,
    format_table,
    summarize_usage,
)
from saffronstack.metering.worker_messages import UsageRecord, UsageRequest, UsageResponse
from saffronstack.operations.operation_log import OPERATION_LOG_CODEC, OperationLogState
from saffronstack.operations.record_format import decode_record, encode_record
from tests.stored_formats.stored_files import DATA, segment_blocks, segment_records

SEGMENT_BYTES = 1 << 20
WAIT_S = 10.0
TENANT = "corner-books"
BUDGET_WINDOWS = {TENANT: 3600.0, "campus-app": 60.0}
AT = 1_764_680_000.5  # Unix seconds
ARCHIVE = DATA / "usage_archive"
RUNS = sorted(path.name for path in (ARCHIVE / "runs").glob("*.run"))
MESSAGES = DATA / "usage_messages"


@dataclass(frozen=True)
class Kind:
    """A kind of journal: its stored directory, how the present code opens it, and its record tags."""

    folder: str
    segment: str
    codec: RecordCodec[Any]
    empty_state: Callable[[], Any]
    tags: str

    def records(self) -> list[bytes]:
        return segment_records(DATA / self.folder / self.segment)

    def journal(self, directory: pathlib.Path) -> Journal[Any, Any]:
        return Journal(str(directory), self.empty_state(), self.codec, SEGMENT_BYTES)


KINDS = [
    Kind("deferred_records", "ledger-0000000001.seg", LEDGER_CODEC, lambda: CallTable(100), "antvfds"),
    Kind("operations_notes", "operations-0000000001.seg", OPERATION_LOG_CODEC, OperationLogState, "snerx"),
    Kind(
        "usage_records",
        "usage-0000000001.seg",
        USAGE_CODEC,
        lambda: Account(budget_windows=BUDGET_WINDOWS),
        "rcgpxfqykethowamns",
    ),
]
each_kind = pytest.mark.parametrize("kind", KINDS, ids=[kind.folder for kind in KINDS])


def figures_of(account: Account) -> dict[str, Any]:
    merged = merge_accounts([account])
    found = summarize_usage(merged, COLUMNS)
    return {
        "by_tenant": dict(sorted(account.charges_by_tenant().items())),
        "statement": merge_usage([tenant_usage(account, None, TENANT, AT)], []),
        "csv": format_csv(found, COLUMNS),
        "jsonl": format_json_lines(found, COLUMNS),
        "table": format_table(found, COLUMNS),
    }


@each_kind
def test_each_stored_record_is_written_again_byte_by_byte(kind: Kind) -> None:
    records = kind.records()
    assert [kind.codec.encode(kind.codec.decode(record)) for record in records] == records


@each_kind
def test_the_stored_segment_holds_every_kind_of_record(kind: Kind) -> None:
    assert {msgspec.msgpack.decode(record)[0] for record in kind.records()} == set(kind.tags)


@each_kind
def test_the_stored_segment_adds_up_to_the_same_snapshot(kind: Kind, tmp_path: pathlib.Path) -> None:
    shutil.copy(DATA / kind.folder / kind.segment, tmp_path)
    journal = kind.journal(tmp_path)
    snapshot = [kind.codec.encode(record) for record in journal.state.snapshot()]
    assert journal.close()
    assert not journal.recovered.warnings
    assert not journal.recovered.has_lost_records
    assert snapshot == msgspec.msgpack.decode((DATA / kind.folder / "snapshot.msgpack").read_bytes())


@each_kind
def test_the_journal_writes_the_same_segment(kind: Kind, tmp_path: pathlib.Path) -> None:
    stored = segment_blocks((DATA / kind.folder / kind.segment).read_bytes())
    journal = kind.journal(tmp_path)
    for _, records in stored:
        ticket = journal.append(*(kind.codec.decode(record) for record in records))
        assert ticket.done.wait(WAIT_S)
        assert ticket.is_durable
    assert journal.close()
    written = (tmp_path / kind.segment).read_bytes()
    assert segment_blocks(written) == stored
    if not kind.codec.compress:  # the output of a compressor depends on its version
        assert written == (DATA / kind.folder / kind.segment).read_bytes()


def test_names_of_deferred_operations_are_read_from_a_stored_ledger() -> None:
    names = read_call_operations(DATA / "deferred_records")
    records = [msgspec.msgpack.decode(record) for record in KINDS[0].records()]
    assert [digest for digest, _ in names] == [bytes([number]) * 12 for number in (1, 3, 2)]
    assert set(names) <= {(record[8], record[9]) for record in records if record[0] == "a"} | {
        (record[1], record[2]) for record in records if record[0] == "n"
    }


def test_the_next_slot_holder_reads_the_same_operations(tmp_path: pathlib.Path) -> None:
    kind = KINDS[1]
    shutil.copy(DATA / kind.folder / kind.segment, tmp_path)
    journal = kind.journal(tmp_path)
    known = {digest.hex(): packed.hex() for digest, packed in journal.state.recovered_operations()}
    assert journal.close()
    assert known == json.loads((DATA / kind.folder / "known.json").read_text())


def test_packed_operations_are_unpacked_and_packed_again_byte_by_byte() -> None:
    known = json.loads((DATA / "operations_notes" / "known.json").read_text())
    packed = [bytes.fromhex(text) for text in known.values()]
    assert [encode_record(decode_record(one)) for one in packed] == packed
    raw = [msgspec.msgpack.decode(one) for one in packed]
    assert {(one[0], one[4]) for one in raw} == {
        (fate, effect) for fate in ("ended", "unknown", "again") for effect in ("safe", "keyed", "unsafe")
    }
    answered = next(decode_record(one) for one in packed if decode_record(one).response is not None)
    answer = answered.response
    assert answer is not None
    assert answer.status == 200
    assert answer.body == b'{"sold": 1}'
    assert answer.headers[:2] == (
        ("Content-Type", "application/json"),
        ("x-amzn-RequestId", answered.request_id),
    )
    assert answer.headers[-1] == ("X-Other", "text")


# ---- usage


def test_a_stored_usage_log_is_charged_and_reported_the_same(tmp_path: pathlib.Path) -> None:
    kind = KINDS[2]
    shutil.copy(DATA / kind.folder / kind.segment, tmp_path)
    journal = kind.journal(tmp_path)
    figures = figures_of(journal.state)
    merged = merge_accounts([journal.state]).charges_by_tenant()
    assert journal.close()
    assert figures == json.loads((DATA / kind.folder / "figures.json").read_text())
    assert figures["by_tenant"] == merged  # although the log has a call that was lost again after its charge


def test_a_stored_archive_is_charged_and_reported_the_same() -> None:
    account, lines = read_usage_log(ARCHIVE)
    assert not lines
    assert not account.find_archive_damage()
    assert account.gateway == "gateway-two"
    assert account.run_count == len(RUNS)
    assert figures_of(account) == json.loads((ARCHIVE / "figures.json").read_text())


def test_the_stored_archive_holds_every_kind_of_key() -> None:
    keys = [key for name in RUNS for key, _ in SortedRun.open(ARCHIVE / "runs" / name).items()]
    assert {decode_key(key)[0] for key in keys} == set("towkehu")


def test_an_account_that_leaves_memory_writes_the_same_log_and_runs(tmp_path: pathlib.Path) -> None:
    blocks = segment_blocks((ARCHIVE / "usage-0000000001.seg").read_bytes())
    archive = Archive(tmp_path)
    account = Account(
        archive=archive, budget_windows=BUDGET_WINDOWS, limits=AccountLimits(6, 8, 5, 1, 100, 2)
    )
    journal = Journal(str(tmp_path), account, USAGE_CODEC, SEGMENT_BYTES)
    for record in segment_records(ARCHIVE / "usage-0000000001.seg"):
        if msgspec.msgpack.decode(record)[0] not in "mn":  # the journal writes the records about runs itself
            assert journal.append(USAGE_CODEC.decode(record)).done.wait(WAIT_S)
    assert journal.close()
    assert segment_blocks((tmp_path / "usage-0000000001.seg").read_bytes()) == blocks[:-1]
    merged = account.merge_runs((1, 2, 3))
    assert f"run-{merged:010d}.run" == RUNS[-1]
    for name in RUNS:
        stored = list(SortedRun.open(ARCHIVE / "runs" / name).items())
        assert list(SortedRun.open(tmp_path / "runs" / name).items()) == stored


@pytest.mark.parametrize("name", RUNS)
def test_a_run_is_written_again_as_it_was(name: str, tmp_path: pathlib.Path) -> None:
    run = SortedRun.open(ARCHIVE / "runs" / name)
    write_run(tmp_path / name, run.items(), FileOperations())
    trailer_bytes = 16
    stored = (ARCHIVE / "runs" / name).read_bytes()
    written = (tmp_path / name).read_bytes()
    assert segment_blocks(written[:-trailer_bytes]) == segment_blocks(stored[:-trailer_bytes])
    assert written[-trailer_bytes:][:4] == stored[-trailer_bytes:][:4] == b"SfRn"


@pytest.mark.parametrize("name", RUNS)
def test_keys_and_amounts_of_a_run_are_encoded_as_they_were(name: str) -> None:
    for key, value in SortedRun.open(ARCHIVE / "runs" / name).items():
        kind, *parts = decode_key(key)
        assert encode_key(str(kind), *parts) == key
        if kind in ("t", "o", "w", "k", "h"):
            assert encode_amounts(decode_amounts(value)) == value
        elif value:
            assert USAGE_CODEC.encode(USAGE_CODEC.decode(value)) == value


def test_stored_runs_merge_into_the_same_run(tmp_path: pathlib.Path) -> None:
    shutil.copytree(ARCHIVE, tmp_path / "usage")
    account, _ = read_usage_log(tmp_path / "usage")
    stored = msgspec.msgpack.decode((ARCHIVE / "merged.msgpack").read_bytes(), type=list[tuple[bytes, bytes]])
    numbers = [int(name[4:14]) for name in RUNS]
    runs = (numbers[-1], *numbers[:-1])  # the last run replaces the three oldest
    number = account.merge_runs(runs)
    path = tmp_path / "usage" / "runs" / f"run-{number:010d}.run"
    expired_keys = [
        key for key, value in stored if not value or decode_key(key)[0] == "w"
    ]  # "w": windows, all expired
    assert list(SortedRun.open(path).items()) == [pair for pair in stored if pair[0] not in expired_keys]


# ---- messages between a gateway and a worker


@pytest.mark.parametrize(
    ("name", "kind"),
    [
        ("asked", UsageRequest),
        ("asked-defaults", UsageRequest),
        ("offered", UsageResponse),
        ("offered-defaults", UsageResponse),
    ],
)
def test_a_usage_message_is_written_again_byte_by_byte(
    name: str, kind: type[UsageRequest | UsageResponse]
) -> None:
    stored = (MESSAGES / f"{name}.msgpack").read_bytes()
    assert msgspec.msgpack.encode(msgspec.msgpack.decode(stored, type=kind)) == stored


def test_a_usage_message_holds_the_fields_that_workers_send() -> None:
    response = msgspec.msgpack.decode((MESSAGES / "offered.msgpack").read_bytes())
    assert list(response) == [
        "worker",
        "incarnation",
        "now_us",
        "mine",
        "gone",
        "known",
        "dropped",
        "records",
        "left",
    ]
    (record,) = response["records"]
    assert msgspec.msgpack.encode(msgspec.convert(record, UsageRecord)) == msgspec.msgpack.encode(record)
    request = msgspec.msgpack.decode((MESSAGES / "asked.msgpack").read_bytes())
    assert list(request) == ["gateway", "ack", "missing", "limit"]
