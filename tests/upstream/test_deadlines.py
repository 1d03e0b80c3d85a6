"""The deadline timer expires exchanges in order, skips ended ones and survives exceptions."""

from __future__ import annotations

import io
import queue
import threading
import time

import pytest

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.runtime.logs import KeyValueLogger
from saffronstack.upstream.deadlines import DeadlineTimer, ExchangeKey, attempt_deadline_s

TEST_TIMEOUT_S = 10.0  # maximum wait; a passing test does not reach it


class FakeOwner:
    """Holds pending exchanges and records expired ones; expiring `failing_key` raises."""

    def __init__(self, failing_key: ExchangeKey | None = None) -> None:
        self.pending: set[ExchangeKey] = set()
        self.expired: queue.Queue[ExchangeKey] = queue.Queue()
        self.failing_key = failing_key

    def is_pending(self, key: ExchangeKey) -> bool:
        return key in self.pending

    def expire(self, key: ExchangeKey) -> None:
        self.pending.discard(key)
        self.expired.put(key)
        if key == self.failing_key:
            raise KeyError("expiring this exchange fails")


def create_timer(owner: FakeOwner, log: io.StringIO | None = None) -> DeadlineTimer:
    return DeadlineTimer(time.monotonic, owner, KeyValueLogger("test", log or io.StringIO()))


def test_overdue_keys_are_popped_once_in_their_order() -> None:
    timer = create_timer(FakeOwner())
    for deadline_s, key in ((3.0, (3, 0)), (1.0, (1, 0)), (2.0, (2, 1))):
        timer.schedule(deadline_s, key)
    assert timer.pop_overdue(0.5) == []
    assert timer.pop_overdue(2.0) == [(1, 0), (2, 1)]
    assert timer.pop_overdue(2.0) == []
    assert len(timer) == 1


def test_an_earlier_deadline_wakes_the_thread_and_a_fault_stops_no_other() -> None:
    owner, log = FakeOwner(failing_key=(2, 0)), io.StringIO()
    timer = create_timer(owner, log)
    timer.start()
    owner.pending = {(1, 0), (2, 0), (3, 0)}
    now_s = time.monotonic()
    timer.schedule(now_s + 3600, (1, 0))
    timer.schedule(now_s + 0.02, (2, 0))
    timer.schedule(now_s + 0.04, (3, 0))
    assert [owner.expired.get(timeout=TEST_TIMEOUT_S) for _ in range(2)] == [(2, 0), (3, 0)]
    assert timer.stop()
    assert owner.pending == {(1, 0)}
    assert "expiring an exchange failed call=2 attempt=0" in log.getvalue()


def test_stop_ends_the_thread_within_its_timeout() -> None:
    timer = create_timer(FakeOwner())
    assert timer.stop()  # never started
    timer.start()
    names = [thread.name for thread in threading.enumerate()]
    assert "deadlines" in names
    assert timer.stop(TEST_TIMEOUT_S)


@pytest.mark.parametrize(
    ("timeout_s", "deadline_s"), [(0.0, 105.0), (-1.0, 105.0), (2.0, 102.0), (9.0, 105.0)]
)
def test_an_attempt_expires_with_its_call_or_by_its_own_time_out(timeout_s: float, deadline_s: float) -> None:
    call = Call(1, "id-1", FunctionSpec("f", 5, 0, 64.0), b"", 105.0)
    assert attempt_deadline_s(call, timeout_s, 100.0) == deadline_s
