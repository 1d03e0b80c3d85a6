"""Which calls a draining gateway still admits."""

from __future__ import annotations

import pytest

from saffronstack.engine.calls import Call, FinalStatus, FunctionSpec
from saffronstack.platform.drain_admission import DrainAdmission

DRAIN_END_S = 10.0


@pytest.fixture
def admission() -> DrainAdmission:
    admission = DrainAdmission(classes=2)
    admission.begin(DRAIN_END_S)
    return admission


def call(number: int, class_index: int = 0, deadline_s: float = 8.0) -> Call:
    return Call(number, f"{number:016x}", FunctionSpec("f", 1, class_index, 100.0), b"", deadline_s)


def serve(
    admission: DrainAdmission, durations_s: list[float], status: FinalStatus = FinalStatus.SERVED
) -> None:
    for number, duration_s in enumerate(durations_s):
        one = call(number)
        assert admission.admit(one, 1.0)
        admission.record_final_answer(one, status, 1.0 + duration_s)


def test_it_is_inactive_before_the_drain() -> None:
    assert not DrainAdmission(classes=1).active


def test_a_call_is_rejected_if_calls_of_its_class_would_not_end_in_time(admission: DrainAdmission) -> None:
    serve(admission, [0.1] * 8 + [0.5, 2.0])
    assert admission.admit(call(20), 7.9)
    assert not admission.admit(call(21), 8.1)
    assert admission.admit(call(22, class_index=1), 8.1)


def test_only_served_calls_count_for_the_expected_duration(admission: DrainAdmission) -> None:
    serve(admission, [0.1] * 9)
    serve(admission, [5.0] * 9, FinalStatus.FAILED)
    assert admission.admit(call(20), 9.8)


def test_without_served_calls_the_age_of_the_oldest_open_call_counts(admission: DrainAdmission) -> None:
    assert admission.admit(call(1), 1.0)
    assert admission.admit(call(2), 5.0)
    assert not admission.admit(call(3), 5.6)


def test_the_deadline_is_limited_to_the_end_of_the_drain(admission: DrainAdmission) -> None:
    early, late = call(1, deadline_s=8.0), call(2, deadline_s=80.0)
    assert admission.admit(early, 1.0)
    assert admission.admit(late, 1.0)
    assert (early.deadline_s, late.deadline_s) == (8.0, DRAIN_END_S)


def test_a_class_is_rejected_by_the_same_rule_without_a_call(admission: DrainAdmission) -> None:
    serve(admission, [0.1] * 8 + [0.5, 2.0])
    assert [admission.rejects_class(0, now) for now in (7.9, 8.1)] == [False, True]
    assert not admission.rejects_class(1, 8.1)
    assert admission.admit(call(20), 7.9)
