"""Successive owners of a gateway's ledger directory."""

from __future__ import annotations

import errno
import os
import pathlib

import pytest

from saffronstack.fleet.tasks.errors import OwnershipLostError, StaleOwnerError
from saffronstack.fleet.tasks.ledger_directory import FencedFiles, LedgerDirectory

SEGMENT = "ledger-0000000001.seg"


@pytest.fixture
def ledger(tmp_path: pathlib.Path) -> LedgerDirectory:
    """A ledger without an owner."""
    return LedgerDirectory(str(tmp_path / "g1"))


def test_a_later_owner_fences_the_earlier_one_and_has_all_that_it_acknowledged(
    ledger: LedgerDirectory,
) -> None:
    first = ledger.take_ownership(3)
    files = FencedFiles(ledger, 3)
    (first / SEGMENT).write_bytes(b"acknowledged")
    descriptor = os.open(first / SEGMENT, os.O_WRONLY | os.O_APPEND)
    files.sync(descriptor)
    assert ledger.is_orphaned()
    second = ledger.take_ownership(5)
    assert (second / SEGMENT).read_bytes() == b"acknowledged"
    files.write(descriptor, b", and more")
    with pytest.raises(OSError, match="taken over") as raised:
        files.sync(descriptor)
    assert raised.value.errno == errno.ESTALE
    assert isinstance(raised.value, OwnershipLostError)
    os.close(descriptor)
    assert (second / SEGMENT).read_bytes() == b"acknowledged"
    with pytest.raises(OSError, match="a later lease holder already owns the ledger") as rejected:
        ledger.take_ownership(4)
    assert isinstance(rejected.value, StaleOwnerError)


def test_superseded_owners_are_removed_after_a_clean_shutdown(ledger: LedgerDirectory) -> None:
    first, second = ledger.take_ownership(3), ledger.take_ownership(5)
    ledger.mark_clean_shutdown(5)
    assert not ledger.is_orphaned()
    assert ledger.current_path() == second
    assert ledger.remove_superseded() == 1
    assert not first.exists()


def test_usage_that_only_a_superseded_owner_logged_is_not_removed(ledger: LedgerDirectory) -> None:
    """Guards against lost usage: workers had dropped what a finishing gateway acknowledged (review/10)."""
    first = ledger.take_ownership(3)
    (first / SEGMENT).write_bytes(b"copied by the next owner")
    for name in ("usage", "operations", "roster"):
        (first / name).mkdir()
        (first / name / f"{name}-0000000001.seg").write_bytes(b"acknowledged")
    second = ledger.take_ownership(5)
    (second / "operations").mkdir()  # without a segment: nothing was logged
    ledger.take_ownership(6)
    for _ in range(2):  # a later sweep keeps it too
        ledger.remove_superseded()
    assert sorted(path.name for path in first.iterdir()) == ["operations", "usage"]
    assert (first / "usage" / "usage-0000000001.seg").read_bytes() == b"acknowledged"
    assert not second.exists()


def test_an_owner_that_is_created_before_the_next_fence_is_copied(
    ledger: LedgerDirectory, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against lost calls: a slow owner acknowledged them after its successor chose the source."""
    (ledger.take_ownership(3) / SEGMENT).write_bytes(b"old")
    create_fence = LedgerDirectory._create_fence

    def create_fence_after_slow_owner(directory: LedgerDirectory, token: int) -> None:
        if token == 6:
            (directory.take_ownership(5) / SEGMENT).write_bytes(b"acknowledged before the fence")
        create_fence(directory, token)

    monkeypatch.setattr(LedgerDirectory, "_create_fence", create_fence_after_slow_owner)
    assert (ledger.take_ownership(6) / SEGMENT).read_bytes() == b"acknowledged before the fence"


def test_an_owner_that_died_between_fence_and_copy_loses_nothing(ledger: LedgerDirectory) -> None:
    (ledger.take_ownership(3) / SEGMENT).write_bytes(b"x")
    (ledger.directory / f"fence-{5:020d}").touch()  # the fence exists, the subdirectory does not
    assert (ledger.take_ownership(6) / SEGMENT).read_bytes() == b"x"


def test_the_first_owner_copies_the_ledger_of_a_gateway_that_ran_without_a_fleet(
    ledger: LedgerDirectory,
) -> None:
    ledger.directory.mkdir()
    (ledger.directory / SEGMENT).write_bytes(b"written without a fleet")
    assert (ledger.take_ownership(1) / SEGMENT).exists()
