"""Platform gateways that choose workers by a simple policy, as baselines for `benchmarks/spread.py`.

    LB_POLICY=two LB_CONFIG=... python benchmarks/baselines.py

Only the router is replaced; connections and protocols are those of the product. The policies `truth` and
`late` read the load of every host from the file LB_TRUTH, which the benchmark writes: `truth` reads the
current load, `late` the load of one round trip ago.
"""

from __future__ import annotations

import json
import mmap
import os
import pathlib
import random
import struct
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field

import saffronstack.engine.decision_loop as decision_loop
from saffronstack.engine.identifiers import worker_number
from saffronstack.routing.actions import Action, Fail, Reject, SendAttempt
from saffronstack.routing.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    Request,
    Result,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.settings import Idempotency, Settings

MAX_ATTEMPTS = 3
SLOT_COUNT = 64  # time slots that the file holds
SLOT_S = 0.005
DELAY_SLOTS = 5  # one round trip: 25 ms
HEADER = struct.Struct("q")
NOT_EXECUTED = (Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_STARTED, Result.NOT_LOADED)


class HostLoadFile:
    """A shared file with the load of each host (requests in flight per core) in the recent time slots.

    Each writer process writes the loads of its own hosts; every gateway reads all of them.
    """

    def __init__(self, path: pathlib.Path, names: list[str], create: bool = False) -> None:
        self._index_by_worker = {worker_number(name): index for index, name in enumerate(names)}
        self._hosts = len(names)
        size = HEADER.size + 4 * SLOT_COUNT * self._hosts
        if create:
            path.write_bytes(bytes(size))
        self._file = path.open("r+b")
        self._map = mmap.mmap(self._file.fileno(), size)

    @staticmethod
    def current_slot() -> int:
        """Return the number of the current time slot, which is the same in all processes."""
        return int(time.monotonic() / SLOT_S)

    def write(self, index: int, load: float, slot: int) -> None:
        """Write a host's load in a time slot."""
        offset = HEADER.size + 4 * ((slot % SLOT_COUNT) * self._hosts + index)
        struct.pack_into("f", self._map, offset, load)

    def read(self, worker: int, slot: int) -> float:
        """Return a worker's load in one of the last `SLOT_COUNT` time slots."""
        index = self._index_by_worker.get(worker)
        if index is None:
            return 0.0
        found = struct.unpack_from(
            "f", self._map, HEADER.size + 4 * ((slot % SLOT_COUNT) * self._hosts + index)
        )
        return float(found[0])


@dataclass
class KnownWorker:
    """The state of a worker as a baseline router sees it."""

    endpoint: WorkerEndpoint
    in_flight: int = 0
    reported_load: float = 0.0


@dataclass
class PendingRequest:
    """A request that has no final answer yet."""

    request: Request
    is_idempotent: bool
    attempted_workers: list[int] = field(default_factory=list)
    may_have_executed: bool = False


class BaselineRouter:
    """Implements the interface of `Router` with one policy for choosing among the ready workers."""

    def __init__(self, policy: str, settings: Settings, seed: int, host_loads: HostLoadFile | None) -> None:
        self.workers: dict[int, KnownWorker] = {}  # the engine compares these states: none here
        self._known_workers: dict[int, KnownWorker] = {}
        self._settings = settings
        self._random = random.Random(seed)
        self._round_robin_index = self._random.randrange(1 << 20)
        self._host_loads = host_loads
        self._policy = POLICIES[policy]
        self._pending: dict[int, PendingRequest] = {}

    def handle(self, now: float, event: Event) -> list[Action]:
        """Handle one event and return the actions for it."""
        if isinstance(event, EndpointUpdate):
            self._update_endpoints(event)
        elif isinstance(event, Request):
            is_idempotent = self._settings.classes[event.class_index].idempotency is Idempotency.IDEMPOTENT
            self._pending[event.request_id] = PendingRequest(event, is_idempotent)
            return self._send_attempt(event.request_id)
        elif isinstance(event, AttemptOutcome):
            return self._handle_outcome(event)
        elif isinstance(event, ClientDisconnected):
            self._pending.pop(event.request_id, None)
        return []

    def _update_endpoints(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.SNAPSHOT:
            self._known_workers = {n: worker for n, worker in self._known_workers.items() if worker.in_flight}
        for endpoint in event.endpoints:
            self._known_workers.setdefault(endpoint.worker_id, KnownWorker(endpoint)).endpoint = endpoint

    def _handle_outcome(self, event: AttemptOutcome) -> list[Action]:
        worker = self._known_workers.get(event.worker_id)
        if worker is not None:
            worker.in_flight -= 1
            if event.load_report is not None and event.load_report.cpu_utilization is not None:
                worker.reported_load = event.load_report.cpu_utilization + (
                    event.load_report.requests_queued or 0.0
                )
        pending = self._pending.get(event.request_id)
        if pending is None:
            return []
        if event.is_final:
            del self._pending[event.request_id]
            return []
        pending.may_have_executed = pending.may_have_executed or event.result not in NOT_EXECUTED
        return self._send_attempt(event.request_id)

    def _send_attempt(self, request: int) -> list[Action]:
        pending = self._pending[request]
        ready = [
            worker for number, worker in self._known_workers.items()
            if worker.endpoint.state is WorkerState.READY and number not in pending.attempted_workers
        ]  # fmt: skip
        if (
            len(pending.attempted_workers) >= MAX_ATTEMPTS
            or not ready
            or (pending.may_have_executed and not pending.is_idempotent)
        ):
            del self._pending[request]
            return [
                Fail(request)
                if pending.may_have_executed and not pending.is_idempotent
                else Reject(request, 0.1)
            ]
        worker = self._policy(self, ready)
        worker.in_flight += 1
        pending.attempted_workers.append(worker.endpoint.worker_id)
        return [SendAttempt(request, worker.endpoint.worker_id)]

    # ---- policies

    def random(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return a random worker."""
        return self._random.choice(ready)

    def round_robin(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return the workers in turn."""
        self._round_robin_index += 1
        return ready[self._round_robin_index % len(ready)]

    def least_in_flight(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return the worker with the fewest requests in flight from this gateway."""
        return min(ready, key=lambda worker: (worker.in_flight, self._random.random()))

    def power_of_two_choices(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return the one of two random workers that has fewer requests in flight from this gateway."""
        return min(self._random.choices(ready, k=2), key=lambda worker: worker.in_flight)

    def least_reported_load(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return the worker with the least load by the load reports in its responses."""
        return min(ready, key=lambda worker: (worker.reported_load, self._random.random()))

    def _least_loaded(self, ready: list[KnownWorker], delay_slots: int) -> KnownWorker:
        assert self._host_loads is not None, "LB_TRUTH is not set"
        host_loads, slot = self._host_loads, HostLoadFile.current_slot() - 1 - delay_slots
        return min(
            ready,
            key=lambda worker: (host_loads.read(worker.endpoint.worker_id, slot), self._random.random()),
        )

    def current_host_load(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return the worker with the least current load by the shared file."""
        return self._least_loaded(ready, 0)

    def delayed_host_load(self, ready: list[KnownWorker]) -> KnownWorker:
        """Return the worker that had the least load one round trip ago, by the shared file."""
        return self._least_loaded(ready, DELAY_SLOTS)


POLICIES: dict[str, Callable[[BaselineRouter, list[KnownWorker]], KnownWorker]] = {
    "random": BaselineRouter.random, "robin": BaselineRouter.round_robin,
    "least": BaselineRouter.least_in_flight, "two": BaselineRouter.power_of_two_choices,
    "told": BaselineRouter.least_reported_load, "truth": BaselineRouter.current_host_load,
    "late": BaselineRouter.delayed_host_load,
}  # fmt: skip


def main() -> int:
    """Run `python -m saffronstack.platform` with a baseline router; return the exit status."""
    policy = os.environ["LB_POLICY"]
    path = os.environ.get("LB_TRUTH", "")
    names: list[str] = json.loads(pathlib.Path(path + ".json").read_text()) if path else []
    host_loads = HostLoadFile(pathlib.Path(path), names) if path else None

    def create_router(settings: Settings, seed: int) -> BaselineRouter:
        return BaselineRouter(policy, settings, seed, host_loads)

    decision_loop.Router = create_router  # type: ignore[misc, assignment]
    from saffronstack.platform.__main__ import main as run_gateway

    return run_gateway()


if __name__ == "__main__":
    sys.exit(main())
