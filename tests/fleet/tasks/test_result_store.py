"""Which published result is current, and how many older results are retained."""

from __future__ import annotations

import json
import pathlib

import pytest

from saffronstack.fleet.tasks.errors import StaleResultError
from saffronstack.fleet.tasks.result_store import RETAINED_RESULTS, ResultStore


@pytest.fixture
def store(tmp_path: pathlib.Path) -> ResultStore:
    """A store with a result published under token 4 and a newer one under token 7."""
    results = ResultStore(str(tmp_path / "out"))
    assert results.newest() is None
    results.publish(4, 1, {"a": 1})
    results.publish(7, 1, {"a": 2})
    return results


def write_late_result(tmp_path: pathlib.Path) -> None:
    """Write the result of a holder with token 4 that was paused between its check and its write."""
    late = tmp_path / "out" / f"{4:020d}-{9:010d}.json"
    late.write_text('{"token": 4, "turn": 9, "content": {"a": 9}}')


def test_a_result_of_an_older_token_is_rejected(store: ResultStore) -> None:
    with pytest.raises(StaleResultError, match=r"token 4 is stale: .* under token 7"):
        store.publish(4, 2, {"a": 3})


def test_a_late_result_of_an_older_token_is_not_current(store: ResultStore, tmp_path: pathlib.Path) -> None:
    write_late_result(tmp_path)
    newest = store.newest()
    assert newest is not None
    assert json.loads(bytes(newest.content)) == {"a": 2}


def test_the_newest_results_are_retained(store: ResultStore, tmp_path: pathlib.Path) -> None:
    write_late_result(tmp_path)
    for run_number in range(2, 8):
        store.publish(7, run_number, {})
    assert store.remove_expired() == 9 - RETAINED_RESULTS
    newest = store.newest()
    assert newest is not None
    assert newest.run_number == 7
