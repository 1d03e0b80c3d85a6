"""Tests of flap detection."""

from __future__ import annotations

from saffronstack.discovery.files.flap_detection import FlapDetector, FlapSettings


def test_a_worker_flaps_until_it_is_stable() -> None:
    detector = FlapDetector(FlapSettings(changes=3, window_s=10.0, stable_s=20.0))
    for at in (0.0, 6.0, 12.0):
        detector.record_change("w1", at)
    assert detector.find_flapping(12.0) == set()  # three changes, but not within ten seconds
    detector.record_change("w1", 14.0)
    assert detector.find_flapping(14.0) == {"w1"}
    detector.record_change("w1", 30.0)
    assert detector.find_flapping(49.9) == {"w1"}
    assert detector.find_flapping(50.0) == set()
