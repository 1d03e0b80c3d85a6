"""Tests of the merge of all sources, and of the difference between two lists."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from saffronstack.discovery.files.merging import WorkerSource, compare_lists, merge_sources
from tests.discovery.files.support import worker

CONFIGURATION = WorkerSource("configuration", 0, (worker("w1"), worker("w8"), worker("w9", 5)))
FILE = WorkerSource("file", 20, (worker("w1", 99), worker("w2"), worker("w3", 5)), is_complete=True)
NAMES = st.integers(1, 12).map(lambda number: f"w{number}")
LISTS = st.lists(NAMES, unique=True, max_size=12)


def test_a_complete_source_hides_lower_ones_but_all_drains_apply() -> None:
    operator = WorkerSource("operator", 30, drains=frozenset({"w2", "w77"}))
    merged = merge_sources([CONFIGURATION, FILE, operator])
    assert list(merged.workers) == ["w1", "w2", "w3"]
    assert merged.workers["w1"].address == "127.0.0.1:99"
    assert merged.workers["w2"].state == "draining"
    assert merged.conflicts == ()


def test_conflicts_are_resolved_by_priority_and_reported() -> None:
    merged = merge_sources([CONFIGURATION, WorkerSource("etcd", 20, FILE.workers)])
    assert list(merged.workers) == ["w1", "w2", "w3", "w8"]
    assert len(merged.conflicts) == 2  # the address of w1, and the worker at port 5


def test_names_with_the_same_number_are_a_conflict() -> None:
    """Guards against two workers of which each change of one takes the place of the other."""
    first, second = worker("host-98390", 7), worker("host-140136", 8)
    sources = [WorkerSource("file", 20, (first,)), WorkerSource("configuration", 0, (second,))]
    merged = merge_sources(sources)
    assert list(merged.workers) == ["host-98390"]
    assert merged.conflicts == ("number 1662250256: file says host-98390, configuration host-140136",)


def test_a_drain_of_a_hidden_source_is_applied() -> None:
    hidden = WorkerSource("configuration", 0, (worker("w1", state="draining"),))
    assert merge_sources([hidden, FILE]).workers["w1"].state == "draining"


def test_a_source_that_is_not_loaded_hides_nothing() -> None:
    unknown = WorkerSource("file", 20, is_complete=True, is_loaded=False)
    merged = merge_sources([CONFIGURATION, unknown], draining=["w8"])
    assert merged.workers["w8"].state == "draining"
    assert len(merged.workers) == 3


@given(LISTS, LISTS, st.sets(NAMES))
@settings(derandomize=True, max_examples=200)
def test_changes_add_up_to_the_list(before: list[str], after: list[str], drains: set[str]) -> None:
    old = {name: worker(name) for name in before}
    source = WorkerSource("s", 1, tuple(worker(name) for name in after), frozenset(drains))
    new = merge_sources([source]).workers
    changes = compare_lists(old, new)
    state = dict(old)
    for name in changes.removed:
        del state[name]
    for updated in changes.updated:
        state[updated.id] = updated
    assert state == new
    states = [updated.state for updated in changes.updated]
    assert states == sorted(states, key=lambda s: s != "draining")  # draining workers come first
    assert not compare_lists(new, new)
    assert all(new[name].state == "draining" for name in drains & set(new))
