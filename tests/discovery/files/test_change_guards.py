"""Tests of the rules that require approval of a version."""

from __future__ import annotations

import pytest

from saffronstack.discovery.files.change_guards import GuardSettings, review_version
from saffronstack.discovery.files.parsing import WorkerListVersion
from tests.discovery.files.support import worker

GUARDS = GuardSettings(max_removed_fraction=0.4)


def version(*names: str, generation: int = 1) -> WorkerListVersion:
    return WorkerListVersion(generation, f"d{generation}{names}", tuple(worker(name) for name in names))


CURRENT = version("w1", "w2", "w3", "w4", "w5", "w6", generation=5)


@pytest.mark.parametrize(
    ("candidate", "words"),
    [
        (version(generation=2), "it lists no workers"),
        (version("w1", "w2", "w3", generation=0), "3 of 6 ready workers would be removed"),
        (version("w1", "w2", "w3", "w4", "w5", "w6", generation=4), "generation 4 is older than 5"),
        (version("w1", "w2", "w3", "w4", "w5", "w7", generation=5), "two writers?"),
    ],
)
def test_a_suspicious_version_needs_approval(candidate: WorkerListVersion, words: str) -> None:
    approval = review_version(GUARDS, CURRENT, candidate, is_approved=False)
    assert approval is not None
    assert words in approval.reason
    assert review_version(GUARDS, CURRENT, candidate, is_approved=True) is None


def test_the_first_version_needs_no_approval() -> None:
    assert review_version(GUARDS, None, version("w1", generation=1), is_approved=False) is None


def test_a_few_removals_need_no_approval() -> None:
    candidate = version("w1", "w2", "w3", "w4", generation=6)
    assert review_version(GUARDS, CURRENT, candidate, is_approved=False) is None
