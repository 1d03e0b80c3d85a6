"""All workers' pools: the dispatcher that carries out the engine's actions."""

from __future__ import annotations

import threading
from collections import Counter
from collections.abc import Callable, Iterable

from saffronstack.engine.calls import Call, FunctionSpec
from saffronstack.engine.dispatch import AttemptResult, CommandResult
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import AttemptOutcome, Result
from saffronstack.workers.pool import AttemptJob, Heed, OrderJob, PoolLimits, Tell, UsageJob, WorkerPool


class Fleet:
    """Pools by worker number; the list is changed by `told`, before the engine hears of the same list."""

    def __init__(
        self, limits: PoolLimits, tell: Tell, clock: Callable[[], float], heed: Heed | None = None
    ) -> None:
        self._limits = limits
        self._tell = tell
        self._heed = heed
        self._clock = clock
        self._lock = threading.Lock()
        self._pools: dict[int, WorkerPool] = {}
        self._out: dict[tuple[int, int], AttemptJob] = {}

    def told(self, specs: Iterable[WorkerSpec]) -> None:
        """The whole list. From this moment nothing new leaves for a worker that drains or is gone."""
        with self._lock:
            told = {spec.number: spec for spec in specs}
            self._gone([number for number in self._pools if number not in told])
            self._listed(told.values())

    def changed(self, specs: Iterable[WorkerSpec], gone: Iterable[int]) -> None:
        """Some workers are new or changed, some gone; from this moment nothing new leaves for those that
        drain or are gone."""
        with self._lock:
            self._gone(gone)
            self._listed(specs)

    def _gone(self, numbers: Iterable[int]) -> None:
        for number in numbers:
            pool = self._pools.pop(number, None)
            if pool is not None:
                pool.end()

    def _listed(self, specs: Iterable[WorkerSpec]) -> None:
        for spec in specs:
            known = self._pools.get(spec.number)
            if known is not None and (spec.host, spec.port) != (known.spec.host, known.spec.port):
                known.end()
                known = None
            if known is None:
                known = WorkerPool(spec, self._limits, self._ended, self._clock, self._heed)
                self._pools[spec.number] = known
            if spec.is_draining:
                known.close()
            else:
                known.reopen()

    def end(self) -> None:
        """End every pool."""
        self.told(())

    @property
    def connections(self) -> int:
        """Threads of all pools, each with a connection at most."""
        with self._lock:
            return sum(pool.threads for pool in self._pools.values())

    @property
    def size(self) -> int:
        """How many workers the list has."""
        with self._lock:
            return len(self._pools)

    def specs(self) -> list[WorkerSpec]:
        """The workers of the list."""
        with self._lock:
            return [pool.spec for pool in self._pools.values()]

    def passed(self) -> list[tuple[WorkerSpec, int, int]]:
        """Each worker of the list, the attempts that it was given since it came, and those of them open."""
        with self._lock:
            out = Counter(job.worker for job in self._out.values())
            return [(pool.spec, pool.attempts, out[number]) for number, pool in self._pools.items()]

    def ask_usage(self, worker: int, job: UsageJob) -> None:
        """Ask a worker for its records of usage; ``job.done`` hears the answer."""
        with self._lock:
            pool = self._pools.get(worker)
        if pool is None:
            job.done(None)
        else:
            pool.submit(job)

    def _ended(self, what: object) -> None:
        if isinstance(what, AttemptResult):
            with self._lock:
                self._out.pop((what.call.number, what.outcome.attempt), None)
        self._tell(what)  # type: ignore[arg-type]

    # ---- the dispatcher

    def send(self, call: Call, attempt: int, worker_id: int, timeout_s: float) -> None:
        """Start an attempt."""
        deadline_s = call.deadline_s
        if timeout_s > 0:
            deadline_s = min(deadline_s, self._clock() + timeout_s)
        job = AttemptJob(call, attempt, deadline_s, worker_id)
        with self._lock:
            pool = self._pools.get(worker_id)
            if pool is not None:
                pool.attempts += 1
                self._out[call.number, attempt] = job
        if pool is None:
            outcome = AttemptOutcome(
                call.number, attempt, worker_id, Result.NOT_STARTED, 0.0, call.is_finished
            )
            self._tell(AttemptResult(call, outcome, reason="the worker has left the list"))
            return
        pool.submit(job)

    def cancel(self, call: Call, attempt: int) -> None:
        """Stop waiting for an attempt."""
        with self._lock:
            job = self._out.get((call.number, attempt))
        if job is not None:
            job.cancel()

    def check_health(self, worker_id: int) -> None:
        """Ask a worker for its report."""
        self._order(worker_id, OrderJob(None))

    def load_function(self, worker_id: int, function: FunctionSpec, instances: int) -> None:
        """Order instances."""
        self._order(worker_id, OrderJob(function, instances))

    def unload_function(self, worker_id: int, function: FunctionSpec) -> None:
        """Order idle copies out."""
        self._order(worker_id, OrderJob(function, unload=True))

    def _order(self, worker_id: int, job: OrderJob) -> None:
        with self._lock:
            pool = self._pools.get(worker_id)
        if pool is not None:
            pool.submit(job)
        elif not job.unload:
            number = None if job.function is None else job.function.number
            self._tell(CommandResult(worker_id, Result.CONNECT_FAILED, 0.0, number))
