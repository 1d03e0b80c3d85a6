"""Runs the tasks whose leases this process holds."""

from __future__ import annotations

import threading
import time
from collections.abc import Callable

import structlog

from saffronstack.fleet.leases.store import HeldLease, LeaseStore
from saffronstack.fleet.tasks.jobs import Job
from saffronstack.fleet.tasks.schedule import Action, Begin, GiveBack, Phase, Stop, TaskSchedule
from saffronstack.runtime.threads import spawn

log = structlog.get_logger("saffronstack.tasks")
ACQUIRE_S = 5.0
LOOK_S = 0.1


class _Turn:
    """One run; `jobs.Turn`."""

    def __init__(self, turn: int, token: int, held: HeldLease | None) -> None:
        self.turn, self.token = turn, token
        self._held = held
        self._stopped = threading.Event()

    def still(self) -> bool:
        """See `jobs.Turn`."""
        return not self._stopped.is_set() and self._held is not None and self._held.remaining_s() > 0

    def pause(self, seconds: float) -> None:
        """See `jobs.Turn`."""
        self._stopped.wait(seconds)

    def stop(self) -> None:
        """It is over for this run."""
        self._stopped.set()


class TaskRunner:
    """One task in this process: wants its lease, runs it when it is due, stops it when the lease is lost."""

    def __init__(
        self,
        name: str,
        job: Job,
        period_s: float,
        budget_s: float,
        store: LeaseStore,
        clock: Callable[[], float] = time.monotonic,
    ) -> None:
        self.name = name
        self._job, self._store, self._clock = job, store, clock
        self._turns = TaskSchedule(period_s, budget_s)
        self._lock = threading.Condition()
        self._held: HeldLease | None = None
        self._lost: str = ""
        self._run: _Turn | None = None
        self._ended: list[tuple[int, bool]] = []
        self._stopping = False
        self.last = ""  # what the last run said

    def start(self) -> None:
        """Begin on a thread of its own."""
        self._thread = spawn(f"task-{self.name}", self._keep)

    def stop(self, timeout_s: float = 10.0) -> bool:
        """Stop a run, give the lease back; whether the run ended in time."""
        with self._lock:
            self._stopping = True
            if self._run is not None:
                self._run.stop()
            self._lock.notify_all()
        self._thread.join(timeout_s)
        return not self._thread.is_alive()

    def _keep(self) -> None:
        while True:
            with self._lock:
                if self._stopping and self._turns.phase not in (Phase.RUNNING, Phase.STOPPING):
                    break
            if self._held is None and self._turns.phase is Phase.OUT and not self._stopping:
                self._held = self._store.acquire(f"task/{self.name}", ACQUIRE_S, self._on_lost)
                if self._held is not None:
                    self._carry_out(self._turns.gained(self._clock(), self._held.token))
            with self._lock:
                lost, self._lost = self._lost, ""
                ended, self._ended = self._ended, []
            now = self._clock()
            if lost and self._held is not None:
                self._held = None
                self._carry_out(self._turns.lost(now, lost))
            for turn, good in ended:
                self._carry_out(self._turns.ended(now, turn, good))
            self._carry_out(self._turns.tick(now))
            with self._lock:
                self._lock.wait_for(lambda: bool(self._lost or self._ended or self._stopping), LOOK_S)
        if self._held is not None:
            self._held.release()

    def _on_lost(self, why: str) -> None:
        with self._lock:
            self._lost = why
            self._lock.notify_all()

    def _carry_out(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, Begin):
                run = _Turn(action.turn, action.token, self._held)
                self._run = run
                spawn(f"run-{self.name}", lambda run=run: self._play(run))  # type: ignore[misc]
            elif isinstance(action, Stop):
                log.warning("task stopped", task=self.name, why=action.why)
                if self._run is not None:
                    self._run.stop()
            elif isinstance(action, GiveBack) and self._held is not None:
                self._held.release()
                self._held = None

    def _play(self, run: _Turn) -> None:
        good = False
        try:
            self.last = self._job.run(run)
            good = True
            log.info("task ran", task=self.name, token=run.token, turn=run.turn, what=self.last)
        except Exception as error:
            self.last = f"{type(error).__name__}: {error}"
            log.error("task failed", task=self.name, token=run.token, turn=run.turn, why=self.last)
        with self._lock:
            self._ended.append((run.turn, good))
            self._lock.notify_all()
