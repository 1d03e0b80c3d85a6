"""Measure the time of a routing decision by the number of workers, without sockets or threads.

    python benchmarks/decisions.py                       # 12, 36, 100, 300 and 1,000 workers
    python benchmarks/decisions.py --workers 36 300 --calls 4000

A router has a few requests in flight. Each call consists of a request, the decision for it and its later
response. Some functions are called more often than others, and some calls find no loaded instance. Prints one
line for each number of workers: the median, minimum and maximum over the rounds.
"""

from __future__ import annotations

import argparse
import random
import statistics
import sys
import time
from collections import deque

from saffronstack.routing.actions import SendAttempt
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadReport,
    Request,
    Result,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import (
    ClassSettings,
    Idempotency,
    PermissionSettings,
    RuleSettings,
    Settings,
)

CLASSES = (
    ClassSettings("look", Idempotency.IDEMPOTENT, 0.5, 3.0),
    ClassSettings("sell", Idempotency.NON_IDEMPOTENT, 0.5, 3.0),
)


def create_router(workers: int, gateways: int) -> Router:
    """Return a router with `workers` ready workers."""
    settings = Settings(
        classes=CLASSES, memory_mb_by_worker_kind=(16000.0,), keep_alive_s=30.0, reports_cache_status=True,
        gateway_count=gateways,
        permissions=PermissionSettings(max_attempts=6), rules=RuleSettings(drain_grace_s=2.0),
    )  # fmt: skip
    router = Router(settings, 1)
    entries = tuple(WorkerEndpoint(number, WorkerState.READY, 1.0) for number in range(workers))
    router.handle(0.0, EndpointUpdate(EndpointUpdateKind.SNAPSHOT, entries))
    return router


def measure(router: Router, calls: int, functions: int, seed: int) -> float:
    """Return the microseconds that the router takes for a call, its response included."""
    rng = random.Random(seed)
    function_weights = [1.0 / (index + 2) for index in range(functions)]
    functions_called = rng.choices(range(functions), function_weights, k=calls)
    pending: deque[AttemptOutcome] = deque()
    now, request_id, elapsed_s = 1.0 + seed * 1000.0, seed * 10_000_000, 0.0
    last_request_id = request_id + calls

    def handle_timed(event: Event) -> None:
        nonlocal elapsed_s
        began = time.perf_counter()
        actions = router.handle(now, event)
        elapsed_s += time.perf_counter() - began
        for action in actions:
            if isinstance(action, SendAttempt):
                cache_status = CacheStatus.WARM if rng.random() < 0.95 else CacheStatus.STARTED_LOAD
                report = LoadReport(requests_queued=0.0, cpu_utilization=rng.random())
                pending.append(
                    AttemptOutcome(
                        action.request_id,
                        0,
                        action.worker_id,
                        Result.OK,
                        0.08,
                        True,
                        cache_status,
                        load_report=report,
                    )
                )

    for function in functions_called:
        now += 0.02
        request_id += 1
        handle_timed(Request(request_id, 0, function, now + 3.0, 0, 500.0, 2.0))
        # The last iteration delivers all outcomes: an attempt without one would count as in flight for ever.
        while len(pending) > (4 if request_id < last_request_id else 0):
            handle_timed(pending.popleft())
    return elapsed_s / calls * 1e6


def main() -> int:
    """Measure each number of workers; return the exit status."""
    formatter = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=formatter)
    parser.add_argument("--workers", type=int, nargs="*", default=[12, 36, 100, 300, 1000])
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--functions", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    for workers in options.workers:
        router = create_router(workers, 200)
        measure(router, options.calls, options.functions, 0)  # warm-up: instances are loaded
        rounds = [measure(router, options.calls, options.functions, n + 1) for n in range(options.rounds)]
        lowest_us, median_us, highest_us = min(rounds), statistics.median(rounds), max(rounds)
        print(
            f"{workers:5d} workers: {median_us:7.1f} us a call ({lowest_us:.1f} to {highest_us:.1f})",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
