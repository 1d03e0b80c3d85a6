"""Endpoint list state, task results and ledger directories keep the format of commit 0684301."""

from __future__ import annotations

import json
import pathlib
import shutil

import msgspec
import pytest

from saffronstack import config as configs
from saffronstack.cli.ledger_ownership import TAKEN_OVER_STATUS, acquire_ledger_ownership
from saffronstack.config.schema import Worker
from saffronstack.discovery.files.file_reader import read_version
from saffronstack.discovery.files.parsing import WorkerListVersion, parse_version
from saffronstack.discovery.files.state_directory import StateDirectory
from saffronstack.fleet.tasks.fleet_usage import FleetUsageTask
from saffronstack.fleet.tasks.ledger_directory import LedgerDirectory
from saffronstack.fleet.tasks.result_store import ResultStore
from tests.stored_formats import settings_samples
from tests.stored_formats.stored_files import DATA

ROSTER = DATA / "roster"
RESULTS = DATA / "task_results"
USAGE_LOGS = (DATA / "usage_archive", DATA.parent.parent / "formats" / "0684301" / "usage")
APPLIED_AT = 1_764_680_000.5  # Unix seconds
SOURCES = [ROSTER / "roster.json5", ROSTER / "directory"]
VERSIONS = [path.name for path in sorted((ROSTER / "state" / "versions").iterdir())]
WORKERS = {
    "worker-1": Worker(id="worker-1", address="127.0.0.1:9001", kind="standin"),
    "worker-2": Worker(
        id="worker-2",
        address="host-2.example:9002",
        kind="standin",
        size=2.5,
        zone="zone-b",
        cell="cell-b",
        state="draining",
        started_at=1_764_679_000.25,
    ),
    "worker-3": Worker(id="worker-3", address="127.0.0.1:9003", kind="standin", size=0.5),
}


def version_of(source: pathlib.Path) -> WorkerListVersion:
    text = read_version(source)
    return parse_version(text.files, text.digest, ("standin",), text.generation)


# ---- endpoint list


@pytest.fixture
def stored(tmp_path: pathlib.Path) -> StateDirectory:
    shutil.copytree(ROSTER / "state", tmp_path / "state")
    return StateDirectory(tmp_path / "state")


def test_roster_sources_have_the_same_digests_and_workers() -> None:
    found = [version_of(source) for source in SOURCES]
    descriptions = [{"digest": one.digest, "generation": one.generation} for one in found]
    assert descriptions == json.loads((ROSTER / "versions.json").read_text())
    assert [one.by_name() for one in found] == [
        {name: WORKERS[name] for name in ("worker-1", "worker-2")},
        WORKERS,
    ]


def test_the_last_good_copy_and_the_history_are_read(stored: StateDirectory) -> None:
    expected = [version_of(source) for source in SOURCES]
    assert stored.last_good_version() == expected[1]
    assert stored.stored_versions() == [(1, APPLIED_AT, expected[0]), (2, APPLIED_AT + 1, expected[1])]


def test_operator_overrides_are_read(stored: StateDirectory) -> None:
    assert stored.approved_digest() == "0" * 32
    assert stored.pinned_digest() == version_of(SOURCES[0]).digest
    assert stored.drained_workers() == {"worker-1", "worker-3"}


def test_the_state_directory_is_written_as_it_was(tmp_path: pathlib.Path) -> None:
    written = StateDirectory(tmp_path)
    for number, source in enumerate(SOURCES):
        written.store_version(version_of(source), APPLIED_AT + number)
    written.set_override("accept", "0" * 32)
    written.set_override("pinned", version_of(SOURCES[0]).digest)
    written.set_override("drains", "worker-1 worker-3")
    names = [f"versions/{name}" for name in VERSIONS] + ["accept", "pinned", "drains"]
    assert len(VERSIONS) == len(SOURCES)
    assert {str(path.relative_to(tmp_path)) for path in tmp_path.rglob("*") if path.is_file()} == set(names)
    for name in names:
        assert (tmp_path / name).read_bytes() == (ROSTER / "state" / name).read_bytes()


# ---- tasks


class Run:
    """Stub of a task run."""

    token = 12
    number = 4

    def may_continue(self) -> bool:
        return True

    def wait(self, seconds: float) -> None:
        pass


def test_published_results_are_read() -> None:
    result = ResultStore(str(RESULTS / "any")).newest()
    assert result is not None
    assert (result.token, result.run_number, bytes(result.content)) == (3, 2, b"[]")
    usage = ResultStore(str(RESULTS / "fleet_usage")).newest()
    assert usage is not None
    assert (usage.token, usage.run_number) == (12, 4)
    assert set(msgspec.json.decode(usage.content)) == {"kib_ms_by_tenant", "logs", "unread", "notes"}


def test_results_are_published_as_they_were(tmp_path: pathlib.Path) -> None:
    results = ResultStore(str(tmp_path))
    results.publish(3, 1, {"text": "first", "numbers": [1, 2.5, None]})
    results.publish(3, 2, [])
    stored = {path.name: path.read_bytes() for path in (RESULTS / "any").iterdir()}
    assert {path.name: path.read_bytes() for path in tmp_path.iterdir()} == stored
    assert set(stored) == {f"{3:020d}-{1:010d}.json", f"{3:020d}-{2:010d}.json"}


def test_the_fleets_usage_is_published_as_it_was(tmp_path: pathlib.Path) -> None:
    for number, log in enumerate(USAGE_LOGS):
        shutil.copytree(log, tmp_path / f"usage_{number}")
    FleetUsageTask([f"{tmp_path}/usage_*"], str(tmp_path / "output")).execute(Run())
    (stored,) = (RESULTS / "fleet_usage").iterdir()
    assert (tmp_path / "output" / stored.name).read_bytes() == stored.read_bytes()


def test_a_ledger_directory_has_the_same_entries_after_each_owner(tmp_path: pathlib.Path) -> None:
    expected = json.loads((RESULTS / "ledger_home.json").read_text())
    (tmp_path / "ledger-0000000001.seg").write_bytes(b"before any holder")
    ledger_directory = LedgerDirectory(str(tmp_path))

    def names() -> list[str]:
        return sorted(str(path.relative_to(tmp_path)) for path in tmp_path.rglob("*"))

    for token in (3, 5, 70):
        (ledger_directory.take_ownership(token) / f"ledger-{token:010d}.seg").write_bytes(b"x")
        assert ledger_directory.is_orphaned()
        if token != 5:
            ledger_directory.mark_clean_shutdown(token)
        assert names() == expected[str(token)]
    assert not ledger_directory.is_orphaned()
    assert ledger_directory.has_later_owner(69)
    assert not ledger_directory.has_later_owner(70)
    ledger_directory.remove_superseded()
    assert names() == expected["swept"]


def test_a_new_ledger_owner_keeps_its_state_in_the_same_directories(tmp_path: pathlib.Path) -> None:
    content = {
        **settings_samples.GATEWAY,
        "ledger": {"directory": "own-ledger"},
        "roster": {"path": "roster.json5", "state_directory": "own-roster"},
    }
    ownership = acquire_ledger_ownership("", "", str(tmp_path), 5, configs.parse(json.dumps(content)))
    assert ownership is not None
    directory = tmp_path / f"place-{5:020d}"
    found = ownership.config
    assert found.ledger is not None
    assert found.ledger.directory == str(directory)
    assert found.metering is not None
    assert found.metering.directory == str(directory / "usage")
    assert found.operations is not None
    assert found.operations.directory == str(directory / "operations")
    assert found.roster is not None
    assert found.roster.state_directory == str(directory / "roster")
    ownership.close(is_clean=True)
    assert (tmp_path / f"left-{5:020d}").exists()


def test_a_superseded_ledger_owner_exits_with_the_same_status() -> None:
    assert TAKEN_OVER_STATUS == 3
