"""Digest all routing decisions for seeded random events, to compare two versions of the code.

    python benchmarks/decision_digest.py              # every scenario, three seeds, 90 simulated seconds
    python benchmarks/decision_digest.py --scenario fleet --seeds 1 2 --seconds 30

Events and decisions pass through the simulator's adapter as bytes, so the names and the structure of the
routing code do not matter. Two versions that print the same lines make the same decisions, to the last bit of
each number and in the order in which random numbers are drawn. Prints one line for each scenario and seed,
and a digest over all of them at the end. No record of the simulator's protocol carries a request's earlier
attempt, so unit tests cover that field.
"""

from __future__ import annotations

import argparse
import hashlib
import heapq
import json
import random
import struct
import sys
from collections import Counter
from dataclasses import dataclass, field
from itertools import count
from typing import Any

from saffronstack.bench.simhost import RouterHost

# Codes of the simulator's records that the routing process reads.
CLIENT_GONE, OUTCOME, HEALTH_CHECK, REQUEST, STARTED, STREAM_STARTED, TIMER, ENDPOINTS, GOSSIP, LOADED = (
    16, 17, 18, 19, 21, 22, 23, 24, 25, 26,
)  # fmt: skip
HEAD = struct.Struct("<BH")
STARTED_BODY = struct.Struct("<QI")
ENDPOINTS_BODY = struct.Struct("<IBI")
ENDPOINT_BODY = struct.Struct("<fHIBdBB")
REQUEST_BODY = struct.Struct("<QHIQddfffB")
OUTCOME_BODY = struct.Struct("<QIBBdBIB")
HEALTH_BODY = struct.Struct("<dBIB")
NUMBER_BODY = struct.Struct("<Q")
LOADED_BODY = struct.Struct("<BBQdI")
GOSSIP_BODY = struct.Struct("<HH")
STREAM_BODY = struct.Struct("<QBId")
# Codes of the records that the routing process writes. The body follows the code and the instance number.
SEND, REJECT, FAIL, CANCEL, SET_TIMER, WATCH, FETCH, LOAD = 80, 81, 82, 83, 84, 90, 91, 92
ACTION_BODIES = {
    SEND: struct.Struct("<QdI"),
    REJECT: struct.Struct("<Qd"),
    FAIL: struct.Struct("<Q"),
    CANCEL: struct.Struct("<QB"),
    SET_TIMER: struct.Struct("<dQ"),
    WATCH: struct.Struct("<B"),
    FETCH: struct.Struct("<"),
    LOAD: struct.Struct("<IBQ"),
}
OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, CANCELLED, NOT_STARTED, NOT_LOADED = range(10, 100, 10)
NOT_REPORTED, WARM, BEGAN_LOAD, AWAITED_LOAD, LOAD_FAILED = range(5)
REMOVED, READY, DRAINING = range(3)
INCREMENTAL, SNAPSHOT, CACHED, FAILED = range(4)

CLASSES: list[dict[str, Any]] = [
    {"Name": "safe", "Idempotency": "safe", "DeadlineS": 3.0, "PromiseS": 0.4, "Worth": 1.0},
    {"Name": "unsafe", "Idempotency": "unsafe", "DeadlineS": 3.0, "PromiseS": 0.5, "Worth": 3.0},
    {
        "Name": "all",
        "Idempotency": "keyed",
        "DedupScope": "all",
        "WindowS": 2.0,
        "DeadlineS": 4.0,
        "Worth": 0.5,
    },
    {
        "Name": "zone",
        "Idempotency": "keyed",
        "DedupScope": "zone",
        "WindowS": 1.0,
        "DeadlineS": 3.0,
        "PromiseS": 1,
    },
    {
        "Name": "cell",
        "Idempotency": "keyed",
        "DedupScope": "cell",
        "WindowS": 3.0,
        "DeadlineS": 2.0,
        "PromiseS": 1,
    },
]
TENANTS = [
    {"Name": "a", "Share": 0.6, "QuotaRps": 60},
    {"Name": "b", "Share": 0.3, "QuotaRps": 4},
    {"Name": "c"},
]
SLOW_START = {"ColdShare": 0.2, "ColdS": 12.0, "TipMultiple": 2.0, "TipAfterS": 1.0}
MEMORY = {"MemoryMbByKind": [3000, 9000], "IdleLifeS": 6.0}
REPORTS = {"Fields": ["q", "busy", "rif"], "Via": "answers"}
ORDERS = {"MissMode": "miss", "MayLoad": True, "OrderTimeoutS": 5.0}
SCENARIOS: dict[str, dict[str, Any]] = {
    "single": {"Instances": 1, "FamilyInfo": MEMORY, "Permissions": {"MaxAttempts": 4}},
    "unlimited": {"Discovery": "subscribe", "Permissions": {"RetryAfter": True, "MaxRetryAfterS": 9}},
    "three": {
        "Instances": 3, "Tenants": TENANTS, "OverShareWorth": 0.2, "Rules": SLOW_START, "FamilyInfo": MEMORY,
        "Permissions": {"MaxAttempts": 6, "Cancelling": True, "MaxRetryAfterS": 0.3},
    },
    "reports": {
        "Instances": 3, "Rules": SLOW_START, "FamilyInfo": MEMORY, "LoadInfo": REPORTS,
        "Discovery": "subscribe", "Permissions": {"MaxAttempts": 6, "Cancelling": True},
    },
    "fleet": {
        "Instances": 200, "Tenants": TENANTS, "OverShareWorth": 0.1, "Rules": SLOW_START, "LoadInfo": REPORTS,
        "FamilyInfo": {**MEMORY, "SaysWarm": True, "NotesPeersInHand": True},
        "Permissions": {"MaxAttempts": 6},
    },
    "fleet-silent": {
        "Instances": 200, "FamilyInfo": MEMORY, "Permissions": {"MaxAttempts": 6, "Cancelling": True},
    },
    "wide": {
        "Instances": 200, "LoadInfo": REPORTS, "Permissions": {"MaxAttempts": 6},
        "FamilyInfo": {"MemoryMbByKind": [9000], "IdleLifeS": 0.5, "NotesPeersInHand": True},
    },
    "young": {
        "Instances": 3, "FamilyInfo": {"IdleLifeS": 2.0}, "Rules": {"ColdShare": 0.1, "ColdS": 8.0},
        "Permissions": {"MaxAttempts": 3},
    },
    "orders": {"Instances": 1, "FamilyInfo": {**MEMORY, **ORDERS}, "Permissions": {"MaxAttempts": 6}},
    "ration": {
        "Instances": 3, "Rules": SLOW_START, "LoadInfo": REPORTS, "Permissions": {"MaxAttempts": 6},
        "FamilyInfo": {**MEMORY, **ORDERS, "LoadFree": 3, "LoadPart": 0.1, "LoadSpanS": 5},
    },
    "fleet-ration": {
        "Instances": 200, "Tenants": TENANTS, "Permissions": {"MaxAttempts": 6, "Cancelling": True},
        "FamilyInfo": {**MEMORY, **ORDERS, "LoadFree": 20, "LoadPart": 0.3, "LoadSpanS": 3},
    },
    "miss": {"Instances": 3, "FamilyInfo": {**MEMORY, "MissMode": "miss"}, "Permissions": {"MaxAttempts": 6}},
}  # fmt: skip

WORKERS = {"wide": 80}  # number of workers of scenarios that do not use the default
DEFAULT_WORKERS = 14
START_S = 1000.0
PHASE_S = 5.0
REQUESTS_PER_S = 60.0


@dataclass(frozen=True)
class Phase:
    """How requests arrive and how workers behave during one phase."""

    rate: float = 1.0  # multiple of the usual request rate
    shared_instance_chance: float = 0.0  # probability that another gateway has already loaded the function
    slowness: float = 1.0  # multiple of the usual execution time
    load_slowness: float = 1.0
    random_result_chance: float = 0.02  # probability that an attempt ends with a random result
    functions: int = 40


PHASES = (
    Phase(),
    Phase(shared_instance_chance=0.9),
    Phase(slowness=20.0, shared_instance_chance=0.8),
    Phase(shared_instance_chance=0.95, random_result_chance=0.0),
    Phase(rate=3.0, slowness=4.0),
    Phase(load_slowness=8.0, functions=400),
    Phase(rate=0.1, random_result_chance=0.0),
    Phase(random_result_chance=0.5),
    Phase(rate=0.2, shared_instance_chance=1.0, functions=200, slowness=9.0),
    Phase(random_result_chance=0.0, functions=5),
    Phase(rate=2.0, shared_instance_chance=0.9, functions=3, slowness=2.0),
)
HEALTHY, SLOW, FAILING, UNREACHABLE, OVERLOADED, UNRESPONSIVE = range(6)


@dataclass(frozen=True)
class Attempt:
    """An attempt in flight."""

    number: int
    worker: int
    sent_s: float


@dataclass
class Worker:
    """The actual state of a worker, which the endpoint list may not show."""

    size: float
    kind: int
    zone: int
    cell: int
    state: int = READY
    started_s: float = 0.0
    condition: int = HEALTHY
    utilization: float = 0.5


@dataclass
class PendingRequest:
    """A request and its attempts in flight."""

    function: int
    deadline_s: float
    attempts: int = 0
    in_flight: dict[int, Attempt] = field(default_factory=dict)


class GatewaySimulation:
    """Simulates one gateway with its clients and workers from one seed."""

    def __init__(self, settings: dict[str, Any], seed: int, workers: int = DEFAULT_WORKERS) -> None:
        self.random = random.Random(seed)
        self.settings = settings
        self.host = RouterHost()
        self.digest = hashlib.sha256()
        self.events: Counter[int] = Counter()
        self.actions: Counter[int] = Counter()
        self.now = START_S
        self.sequence = count()
        self.scheduled: list[tuple[float, int, Any]] = []
        self.phase = PHASES[0]
        self.workers = {100 + 7 * index: self._worker() for index in range(workers)}
        self.loaded_instances: set[tuple[int, int]] = set()
        self.pending: dict[int, PendingRequest] = {}
        self.request_numbers = count(1)
        self.loads_on_command = settings.get("FamilyInfo", {}).get("MissMode") == "miss"
        self.report_field_count = len(settings.get("LoadInfo", {}).get("Fields", ()))

    def _worker(self) -> Worker:
        rng = self.random
        return Worker(rng.choice((0.5, 1.0, 1.0, 2.0)), rng.randrange(3), rng.randrange(2), rng.randrange(3))

    def _schedule(self, after_s: float, callback: Any) -> None:
        heapq.heappush(self.scheduled, (self.now + after_s, next(self.sequence), callback))

    def _send_event(self, code: int, body: bytes) -> None:
        self.events[code] += 1
        record = HEAD.pack(code, 1) + body
        reply = self.host.handle_batch(self.now, record, 1)
        self.digest.update(struct.pack("<d", self.now) + record + b"\0" + reply)
        at = 0
        while at < len(reply):
            kind = reply[at]
            layout = ACTION_BODIES[kind]
            values = layout.unpack_from(reply, at + HEAD.size)
            at += HEAD.size + layout.size
            self.actions[kind] += 1
            self._apply_action(kind, values)

    def _apply_action(self, kind: int, values: tuple[Any, ...]) -> None:
        if kind == SEND:
            self._start_attempt(values[0], values[2])
        elif kind == SET_TIMER:
            self._schedule(values[0], lambda: self._send_event(TIMER, NUMBER_BODY.pack(values[1])))
        elif kind == LOAD:
            self._run_load_command(*values)
        elif kind == CANCEL:
            self._schedule(
                0.002, lambda: self._end_attempt(values[0], values[1], CANCELLED, NOT_REPORTED, True)
            )

    def _start_attempt(self, request: int, worker: int) -> None:
        pending = self.pending[request]
        number = pending.attempts
        pending.attempts += 1
        pending.in_flight[number] = Attempt(number, worker, self.now)
        result, cache_status, took_s = self._attempt_result(worker, pending.function)
        left_s = pending.deadline_s - self.now
        if took_s >= left_s:
            result, cache_status, took_s = TIMEOUT, NOT_REPORTED, max(0.0, left_s)
        finished = result == OK or (result == TIMEOUT and self.random.random() < 0.3)
        if result == OK and self.random.random() < 0.02:
            self._schedule(took_s / 2, lambda: self._start_stream(request, number, worker, took_s / 2))
        self._schedule(took_s, lambda: self._end_attempt(request, number, result, cache_status, finished))

    def _attempt_result(self, number: int, function: int) -> tuple[int, int, float]:
        """Return the result, the cache status and the duration of one attempt."""
        rng, worker = self.random, self.workers[number]
        took_s = rng.expovariate(25.0) * self.phase.slowness
        if rng.random() < self.phase.random_result_chance:
            kinds = (OK, ERROR, FULL, TIMEOUT, CONNECT_FAILED, RESET, NOT_STARTED, NOT_LOADED)
            return rng.choice(kinds), rng.randrange(5), took_s
        if worker.condition == UNREACHABLE:
            return rng.choice((CONNECT_FAILED, RESET)), NOT_REPORTED, 0.003
        if worker.condition == FAILING:
            return ERROR, rng.choice((WARM, LOAD_FAILED)), 0.004
        if worker.condition == OVERLOADED and rng.random() < 0.7:
            return FULL, NOT_REPORTED, 0.002
        if worker.condition == UNRESPONSIVE:
            return TIMEOUT, NOT_REPORTED, 99.0
        if worker.condition == SLOW:
            took_s *= 12.0
        key = number, function
        if key in self.loaded_instances or rng.random() < self.phase.shared_instance_chance:
            self.loaded_instances.add(key)
            return OK, rng.choice((WARM, WARM, WARM, NOT_REPORTED)), took_s
        if self.loads_on_command:
            return NOT_LOADED, NOT_REPORTED, 0.002
        self.loaded_instances.add(key)
        load_s = (0.2 + rng.expovariate(5.0)) * self.phase.load_slowness
        return OK, rng.choice((BEGAN_LOAD, BEGAN_LOAD, AWAITED_LOAD)), load_s + took_s

    def _report(self, worker: Worker) -> bytes:
        worker.utilization = min(1.0, max(0.0, worker.utilization + self.random.uniform(-0.2, 0.2)))
        if not self.report_field_count or self.random.random() < 0.2:
            return b"\0"
        values = (float(self.random.randrange(4)), worker.utilization, float(self.random.randrange(6)))
        return struct.pack("<B3f", 3, *values)

    def _end_attempt(self, request: int, number: int, result: int, cache_status: int, finished: bool) -> None:
        pending = self.pending.get(request)
        attempt = pending.in_flight.pop(number, None) if pending else None
        if pending is None or attempt is None:
            return
        status_bits = cache_status | self.random.choice((0, 0, 1, 2, 5)) << 3
        if result == OK and self.random.random() < 0.01:
            finished = False
        took_s = self.now - attempt.sent_s
        report = self._report(self.workers[attempt.worker])
        outcome_fields = (request, status_bits, result, finished, took_s, number, attempt.worker)
        body = OUTCOME_BODY.pack(*outcome_fields, report[0]) + report[1:]
        self._send_event(OUTCOME, body)
        if self.random.random() < 0.01:
            self._send_event(OUTCOME, body)  # a duplicate, which the router must ignore

    def _start_stream(self, request: int, attempt: int, worker: int, elapsed_s: float) -> None:
        self._send_event(STREAM_STARTED, STREAM_BODY.pack(request, attempt, worker, elapsed_s))

    def _run_load_command(self, worker: int, instance_count: int, function: int) -> None:
        rng = self.random
        result = rng.choice((OK, OK, OK, OK, FULL, ERROR, TIMEOUT))
        took_s = rng.choice((0.02, 0.3 + rng.expovariate(5.0))) * self.phase.load_slowness
        loaded_count = instance_count if result == OK else rng.randrange(instance_count + 1)

        def loaded() -> None:
            if result == OK:
                self.loaded_instances.add((worker, function))
            self._send_event(LOADED, LOADED_BODY.pack(loaded_count, result, function, took_s, worker))

        self._schedule(took_s, loaded)

    def _send_request(self) -> None:
        rng = self.random
        self._schedule(rng.expovariate(REQUESTS_PER_S * self.phase.rate), self._send_request)
        number = next(self.request_numbers) << 20
        if rng.random() < 0.05:
            function = rng.randrange(1 << 60)
        else:
            function = int(self.phase.functions * rng.random() ** 2)
        index = rng.randrange(len(CLASSES))
        time_s = CLASSES[index]["DeadlineS"] if rng.random() < 0.9 else rng.choice((-0.1, 0.2, 1.0))
        pending = PendingRequest(function, self.now + float(time_s))
        self.pending[number] = pending
        lanes, memory_mb = rng.choice((1.0, 1.0, 2.0, 4.0)), rng.choice((100.0, 500.0, 900.0))
        flags = rng.randrange(8)
        tenant = rng.choice((0, 0, 1, 1, 2, 3))
        self._send_event(
            REQUEST,
            REQUEST_BODY.pack(
                number,
                index,
                tenant,
                function,
                pending.deadline_s,
                0.05,
                memory_mb,
                lanes,
                300.0 * (flags & 1),
                flags,
            ),
        )
        if rng.random() < 0.05:
            self._schedule(
                rng.expovariate(3.0), lambda: self._send_event(CLIENT_GONE, NUMBER_BODY.pack(number))
            )

    def _encode_endpoints(self, numbers: list[int]) -> bytes:
        parts = []
        for number in numbers:
            worker = self.workers[number]
            parts.append(
                ENDPOINT_BODY.pack(
                    worker.size, worker.cell, number, worker.kind, worker.started_s, worker.zone, worker.state
                )
            )
        return b"".join(parts)

    def _update_endpoints(self, kind: int, numbers: list[int]) -> None:
        body = ENDPOINTS_BODY.pack(self.events[ENDPOINTS], kind, len(numbers)) + self._encode_endpoints(
            numbers
        )
        self._send_event(ENDPOINTS, body)

    def _restart(self, number: int, worker: Worker, reports_start: bool) -> None:
        worker.state = READY
        worker.started_s = self.now if reports_start else 0.0
        worker.condition = HEALTHY
        self.loaded_instances = {key for key in self.loaded_instances if key[0] != number}

    def _change_workers(self) -> None:
        """Restart, drain, remove and add workers, then send one of the four kinds of endpoint update."""
        rng = self.random
        self._schedule(rng.expovariate(0.5), self._change_workers)
        for number in rng.sample(sorted(self.workers), rng.choice((0, 1, 1, 2, 9))):
            worker = self.workers[number]
            if rng.random() < 0.6:
                self._restart(number, worker, rng.random() < 0.7)
            else:
                worker.state = rng.choice((REMOVED, DRAINING))
        if rng.random() < 0.3:
            number = max(self.workers) + 1
            self.workers[number] = self._worker()
            self._restart(number, self.workers[number], True)
        listed = [number for number, worker in self.workers.items() if worker.state != REMOVED]
        kind = rng.choice((INCREMENTAL, INCREMENTAL, INCREMENTAL, SNAPSHOT, CACHED, FAILED))
        if kind == INCREMENTAL:
            self._update_endpoints(kind, list(self.workers)[-20:])
        elif kind == FAILED:
            self._update_endpoints(kind, [])
        else:
            self._update_endpoints(kind, rng.sample(listed, max(1, len(listed) * 9 // 10)) if listed else [])

    def _drain_all(self) -> None:
        """Drain all workers for half a second: outcomes arrive, but no request can be sent."""
        self._schedule(self.random.expovariate(0.05), self._drain_all)
        states = {number: worker.state for number, worker in self.workers.items()}
        for worker in self.workers.values():
            worker.state = DRAINING
        self._update_endpoints(INCREMENTAL, list(self.workers))
        for number, state in states.items():
            self.workers[number].state = state
        self._schedule(0.5, lambda: self._update_endpoints(INCREMENTAL, list(self.workers)))

    def _change_condition(self) -> None:
        rng = self.random
        self._schedule(rng.expovariate(1.5), self._change_condition)
        worker = self.workers[rng.choice(list(self.workers))]
        worker.condition = rng.choice(
            (HEALTHY, HEALTHY, HEALTHY, HEALTHY, SLOW, FAILING, UNREACHABLE, OVERLOADED, UNRESPONSIVE)
        )
        if rng.random() < 0.2:
            self.loaded_instances.clear()

    def _next_phase(self) -> None:
        self._schedule(PHASE_S, self._next_phase)
        self.phase = self.random.choice(PHASES)

    def _send_other_events(self) -> None:
        """Send a health check, gossip, and a timer, a disconnection and a load result without a request."""
        rng = self.random
        self._schedule(rng.expovariate(2.0), self._send_other_events)
        worker = rng.choice(list(self.workers))
        report = self._report(self.workers[worker])
        self._send_event(
            HEALTH_CHECK, HEALTH_BODY.pack(0.01, rng.choice((OK, TIMEOUT)), worker, report[0]) + report[1:]
        )
        self._send_event(GOSSIP, GOSSIP_BODY.pack(2, 3) + b"abc")
        number = rng.randrange(1, 1000) << 20
        self._send_event(TIMER, NUMBER_BODY.pack(number))
        self._send_event(CLIENT_GONE, NUMBER_BODY.pack(number | 1))
        self._send_event(LOADED, LOADED_BODY.pack(1, OK, rng.randrange(1 << 50), 0.5, worker))

    def run(self, seconds: float) -> str:
        """Simulate `seconds` seconds and return the digest of all events and decisions."""
        text = json.dumps({"RequestClasses": CLASSES, **self.settings}).encode()
        self._send_event(STARTED, STARTED_BODY.pack(self.random.getrandbits(64), len(text)) + text)
        self._update_endpoints(CACHED, list(self.workers))
        for action in (
            self._send_request,
            self._change_workers,
            self._change_condition,
            self._next_phase,
            self._send_other_events,
        ):
            self._schedule(0.0, action)
        self._schedule(10.0, self._drain_all)
        while self.scheduled[0][0] < START_S + seconds:
            self.now, _, callback = heapq.heappop(self.scheduled)
            callback()
        return self.digest.hexdigest()[:16]


def main() -> int:
    """Print the digests; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--scenario", nargs="*", choices=list(SCENARIOS), default=list(SCENARIOS))
    parser.add_argument("--seeds", type=int, nargs="*", default=[1, 2, 3])
    parser.add_argument("--seconds", type=float, default=90.0)
    options = parser.parse_args()
    combined = hashlib.sha256()
    for name in options.scenario:
        for seed in options.seeds:
            simulation = GatewaySimulation(SCENARIOS[name], seed, WORKERS.get(name, DEFAULT_WORKERS))
            digest = simulation.run(options.seconds)
            combined.update(digest.encode())
            action_counts = " ".join(f"{kind}:{n}" for kind, n in sorted(simulation.actions.items()))
            events = sum(simulation.events.values())
            print(f"{name:13s} seed {seed}: {digest}  {events} events, actions {action_counts}", flush=True)
    print(f"all: {combined.hexdigest()[:32]}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
