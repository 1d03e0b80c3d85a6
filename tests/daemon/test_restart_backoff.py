"""The delay before the supervisor restarts a process."""

from __future__ import annotations

import pytest

from saffronstack.daemon.restart_backoff import MAX_DELAY_S, STABLE_AFTER_S, RestartBackoff


def test_delays_grow_and_start_anew_after_a_stable_process() -> None:
    backoff = RestartBackoff()
    delays = [backoff.process_exited(100.0, 100.0 + 1.0) - 101.0 for _ in range(12)]
    assert delays == sorted(delays)
    assert delays[0] == pytest.approx(0.1)
    assert delays[-1] == MAX_DELAY_S
    assert backoff.process_exited(0.0, STABLE_AFTER_S) - STABLE_AFTER_S == pytest.approx(0.1)
