"""When a file that can't be used is reported."""

from __future__ import annotations

import pytest

from saffronstack.discovery.files.settling import MAX_SETTLING_S, REJECTION_DELAY_S, FileSettling


@pytest.fixture
def settling() -> FileSettling:
    return FileSettling()


def test_an_unusable_file_is_rejected_once_it_stands_unchanged(settling: FileSettling) -> None:
    assert not settling.record_unusable("digest", "not JSON5", 0.0)
    assert settling.is_settling
    assert settling.rejection == ""
    assert settling.record_unusable("digest", "not JSON5", REJECTION_DELAY_S)
    assert settling.rejection == "not JSON5"
    assert settling.is_rejected("digest")
    assert not settling.is_settling
    assert not settling.record_unusable("digest", "not JSON5", 20.0)
    assert settling.rejected_count == 1


def test_another_content_starts_the_delay_anew(settling: FileSettling) -> None:
    settling.record_unusable("first", "reason", 0.0)
    assert not settling.record_unusable("second", "reason", REJECTION_DELAY_S)
    assert settling.record_unusable("second", "reason", 2 * REJECTION_DELAY_S)
    assert not settling.is_rejected("first")


def test_a_missing_file_is_reported_once_it_was_missing_for_long(settling: FileSettling) -> None:
    assert not settling.record_not_ready("not there", 0.0)
    assert not settling.record_not_ready("not there", MAX_SETTLING_S - 0.1)
    assert settling.record_not_ready("not there", MAX_SETTLING_S)
    assert settling.rejection == "not there; so for 5 s"
    assert not settling.record_not_ready("not there", 2 * MAX_SETTLING_S)
    assert (settling.not_ready_count, settling.rejected_count) == (1, 1)


def test_a_usable_file_ends_a_rejection(settling: FileSettling) -> None:
    settling.record_unusable("digest", "not JSON5", 0.0)
    settling.record_unusable("digest", "not JSON5", 1.0)
    settling.record_readable()
    settling.record_usable()
    assert settling.rejection == ""
    assert not settling.is_rejected("digest")
    assert not settling.is_settling
