"""Test doubles of a lease store, of a task and of its runs."""

from __future__ import annotations

import threading
from collections.abc import Callable

from saffronstack.fleet.tasks.task import TaskRun


class FakeLease:
    """A `store.HeldLease` that is held until a test or its holder ends it."""

    def __init__(self, lease: str, token: int) -> None:
        self.lease, self.token, self.value, self.is_held = lease, token, b"", True

    def remaining_s(self) -> float:
        return 10.0 if self.is_held else 0.0

    def put(self, content: bytes, timeout_s: float) -> bool:
        return False

    def release(self) -> None:
        self.is_held = False


class FakeLeaseStore:
    """A `store.LeaseStore` that grants each lease at once, with tokens 1, 2 and so on."""

    def __init__(self) -> None:
        self.granted: list[FakeLease] = []
        self.lost_callbacks: list[Callable[[str], None] | None] = []

    def acquire(
        self, lease: str, timeout_s: float, on_lost: Callable[[str], None] | None = None
    ) -> FakeLease | None:
        self.granted.append(FakeLease(lease, len(self.granted) + 1))
        self.lost_callbacks.append(on_lost)
        return self.granted[-1]

    def cancel_acquires(self) -> None:
        pass

    def close(self) -> None:
        pass


class BlockingTask:
    """A task whose runs last until they are cancelled."""

    def __init__(self) -> None:
        self.tokens: list[int] = []
        self.ended = threading.Event()

    def execute(self, run: TaskRun) -> str:
        self.tokens.append(run.token)
        while run.may_continue():
            run.wait(5.0)
        self.ended.set()
        return "stopped"


class UncancelledRun:
    """A `TaskRun` that is never cancelled, for tests that execute a task directly."""

    token, number = 4, 1

    def may_continue(self) -> bool:
        return True

    def wait(self, seconds: float) -> None:
        pass
