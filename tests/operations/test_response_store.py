"""Tests of the store of large response bodies."""

from __future__ import annotations

import pathlib

import pytest

from saffronstack.operations.errors import ResponseNotStoredError
from saffronstack.operations.operation import OperationRecord, OperationState, StoredResponse
from saffronstack.operations.response_store import ResponseStore, body_digest, load_response, move_large_body
from saffronstack.routing.settings import Idempotency
from tests.support.operations import SealableFiles

LIMIT_BYTES = 100
RESPONSE = StoredResponse(200, (("Content-Type", "application/json"),), b"x" * 60)


def record_of(response: StoredResponse | None) -> OperationRecord:
    return OperationRecord(
        OperationState.COMPLETED, 1.0, b"p" * 16, "request-1", Idempotency.NON_IDEMPOTENT, response
    )


def test_the_oldest_body_is_deleted_to_keep_the_limit(tmp_path: pathlib.Path) -> None:
    store = ResponseStore(str(tmp_path), LIMIT_BYTES)
    assert store.save("first", RESPONSE.body)
    assert store.save("second", RESPONSE.body)
    digest = body_digest(RESPONSE.body)
    assert (store.load("first", digest), store.load("second", digest)) == (None, RESPONSE.body)
    assert store.stored_bytes == 60


def test_a_body_over_the_limit_is_not_stored(tmp_path: pathlib.Path) -> None:
    assert not ResponseStore(str(tmp_path), LIMIT_BYTES).save("large", b"x" * 101)


def test_a_full_disk_stores_nothing_and_leaves_no_file(tmp_path: pathlib.Path) -> None:
    files = SealableFiles()
    files.is_sealed = True
    store = ResponseStore(str(tmp_path), LIMIT_BYTES, files)
    assert not store.save("name", RESPONSE.body)
    assert list((tmp_path / "answers").iterdir()) == []


def test_a_start_deletes_partial_files_and_counts_the_others(tmp_path: pathlib.Path) -> None:
    (tmp_path / "answers").mkdir()
    (tmp_path / "answers" / "partial.tmp").write_bytes(b"x" * 10)
    (tmp_path / "answers" / "complete").write_bytes(b"x" * 20)
    assert ResponseStore(str(tmp_path), LIMIT_BYTES).stored_bytes == 20
    assert [path.name for path in (tmp_path / "answers").iterdir()] == ["complete"]


def test_a_small_body_stays_in_memory(tmp_path: pathlib.Path) -> None:
    store = ResponseStore(str(tmp_path), LIMIT_BYTES)
    assert move_large_body(store, RESPONSE, "name", 60) is RESPONSE
    assert store.stored_bytes == 0


def test_a_large_body_is_moved_and_loaded_again(tmp_path: pathlib.Path) -> None:
    store = ResponseStore(str(tmp_path), LIMIT_BYTES)
    moved = move_large_body(store, RESPONSE, "name", 59)
    assert (moved.body, moved.file_name, moved.body_length) == (b"", "name", 60)
    assert load_response(store, record_of(moved)) == RESPONSE


@pytest.mark.parametrize("has_store", [True, False])
def test_a_body_that_no_store_takes_is_known_by_its_digest(tmp_path: pathlib.Path, has_store: bool) -> None:
    store = ResponseStore(str(tmp_path), 10) if has_store else None
    moved = move_large_body(store, RESPONSE, "name", 59)
    assert (moved.file_name, moved.body_digest) == ("", body_digest(RESPONSE.body))
    with pytest.raises(ResponseNotStoredError) as raised:
        load_response(store, record_of(moved))
    assert (raised.value.request_id, raised.value.response) == ("request-1", moved)


def test_a_record_without_a_response_has_none() -> None:
    assert load_response(None, record_of(None)) is None
