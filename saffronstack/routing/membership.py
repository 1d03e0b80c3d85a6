"""Fleet membership: applies endpoint updates and forgets removed workers."""

from __future__ import annotations

from saffronstack.routing.events import EndpointUpdate, EndpointUpdateKind, WorkerEndpoint, WorkerState
from saffronstack.routing.memory_account import MemoryAccount
from saffronstack.routing.slow_start import SlowStart
from saffronstack.routing.state import Fleet, Worker
from saffronstack.routing.warm_pool import WarmPool


class Membership:
    """Keeps the fleet in line with the endpoint list."""

    __slots__ = ("_fleet", "_memory", "_slow_start", "_warm_pool")

    def __init__(
        self, fleet: Fleet, slow_start: SlowStart, memory: MemoryAccount, warm_pool: WarmPool
    ) -> None:
        self._fleet = fleet
        self._slow_start = slow_start
        self._memory = memory
        self._warm_pool = warm_pool

    def apply(self, now: float, update: EndpointUpdate) -> None:
        """Apply an endpoint update; a failed one changes nothing."""
        if update.kind is EndpointUpdateKind.FAILED:
            return
        if update.kind is not EndpointUpdateKind.INCREMENTAL:
            self._remove_unlisted(update)
        for endpoint in update.endpoints:
            self._apply_endpoint(now, endpoint)
        self.forget_removed()
        ready = self._fleet.ready_workers()
        self._fleet.ready_count = len(ready)
        self._fleet.ready_capacity = sum(worker.endpoint.capacity for worker in ready)
        self._slow_start.observe_fleet(now, ready)

    def forget_removed(self) -> None:
        """Forget workers that are no longer in the endpoint list, once nothing is in flight at them.

        Fleets keep changing, and the state of former workers must not accumulate.
        """
        workers = self._fleet.workers
        for worker_id in [number for number, worker in workers.items() if not worker.is_listed]:
            worker = workers[worker_id]
            self._drop_instances(worker)
            if not worker.attempts_in_flight and not worker.loads_in_progress:
                self._memory.forget_worker(worker_id)
                del workers[worker_id]

    def _remove_unlisted(self, update: EndpointUpdate) -> None:
        listed = {endpoint.worker_id for endpoint in update.endpoints}
        for worker_id, worker in self._fleet.workers.items():
            worker.is_listed = worker.is_listed and worker_id in listed
            worker.is_ready = worker.is_ready and worker.is_listed

    def _apply_endpoint(self, now: float, endpoint: WorkerEndpoint) -> None:
        workers = self._fleet.workers
        worker = workers.get(endpoint.worker_id)
        if worker is None:
            worker = workers[endpoint.worker_id] = Worker(endpoint)
        # A worker that returns after its removal has lost its instances, whatever start time it reports.
        has_started = not worker.is_listed or endpoint.started_s > worker.endpoint.started_s
        worker.endpoint = endpoint
        if has_started:
            self._slow_start.begin(now, worker)
            self._drop_instances(worker)
        worker.is_ready = endpoint.state is WorkerState.READY
        worker.is_listed = endpoint.state is not WorkerState.REMOVED

    def _drop_instances(self, worker: Worker) -> None:
        """Drop the instances of a worker that has restarted or was removed."""
        self._memory.drop_instances(worker)
        self._warm_pool.drop_instances(worker)
