"""Tests of the time at which an unusable file is reported."""

from __future__ import annotations

import pytest

from saffronstack.discovery.files.settling import (
    NOT_READY_REPORT_DELAY_S,
    REJECTION_DELAY_S,
    FileStateTracker,
)


@pytest.fixture
def file_state() -> FileStateTracker:
    return FileStateTracker()


def test_an_unusable_file_is_rejected_once_it_is_unchanged(file_state: FileStateTracker) -> None:
    assert not file_state.record_unusable("digest", "not JSON5", 0.0)
    assert file_state.is_report_pending
    assert file_state.rejection == ""
    assert file_state.record_unusable("digest", "not JSON5", REJECTION_DELAY_S)
    assert file_state.rejection == "not JSON5"
    assert file_state.is_rejected("digest")
    assert not file_state.is_report_pending
    assert not file_state.record_unusable("digest", "not JSON5", 20.0)
    assert file_state.rejected_count == 1


def test_changed_content_restarts_the_delay(file_state: FileStateTracker) -> None:
    file_state.record_unusable("first", "reason", 0.0)
    assert not file_state.record_unusable("second", "reason", REJECTION_DELAY_S)
    assert file_state.record_unusable("second", "reason", 2 * REJECTION_DELAY_S)
    assert not file_state.is_rejected("first")


def test_a_missing_file_is_reported_once_after_the_delay(file_state: FileStateTracker) -> None:
    assert not file_state.record_not_ready("no such file", 0.0)
    assert not file_state.record_not_ready("no such file", NOT_READY_REPORT_DELAY_S - 0.1)
    assert file_state.record_not_ready("no such file", NOT_READY_REPORT_DELAY_S)
    assert file_state.rejection == "no such file; not ready for 5 s"
    assert not file_state.record_not_ready("no such file", 2 * NOT_READY_REPORT_DELAY_S)
    assert (file_state.not_ready_count, file_state.rejected_count) == (1, 1)


def test_a_usable_file_ends_a_rejection(file_state: FileStateTracker) -> None:
    file_state.record_unusable("digest", "not JSON5", 0.0)
    file_state.record_unusable("digest", "not JSON5", 1.0)
    file_state.record_readable()
    file_state.record_usable()
    assert file_state.rejection == ""
    assert not file_state.is_rejected("digest")
    assert not file_state.is_report_pending
