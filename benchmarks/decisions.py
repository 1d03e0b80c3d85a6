"""What one decision costs, by the number of workers: the module alone, no socket, no thread.

    python benchmarks/decisions.py                       # 12, 36, 100, 300 and 1,000 workers
    python benchmarks/decisions.py --workers 36 300 --calls 4000

A front end with some requests in flight; each call is a request, what is decided for it, and its answer
later. Functions are called unevenly; a part of the calls finds no entry. One line a size, over rounds.
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
    """A front end that knows so many workers."""
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
    """Microseconds a call, answers included."""
    chance = random.Random(seed)
    popular = [1.0 / (index + 2) for index in range(functions)]
    functions_called = chance.choices(range(functions), popular, k=calls)
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
                cache_status = CacheStatus.WARM if chance.random() < 0.95 else CacheStatus.STARTED_LOAD
                report = LoadReport(requests_queued=0.0, cpu_utilization=chance.random())
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
        while len(pending) > (
            4 if request_id < last_request_id else 0
        ):  # none is left out: it would count as a load for ever
            handle_timed(pending.popleft())
    return elapsed_s / calls * 1e6


def main() -> int:
    """See above."""
    plain = argparse.RawDescriptionHelpFormatter
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=plain)
    parser.add_argument("--workers", type=int, nargs="*", default=[12, 36, 100, 300, 1000])
    parser.add_argument("--calls", type=int, default=3000)
    parser.add_argument("--functions", type=int, default=100)
    parser.add_argument("--rounds", type=int, default=5)
    options = parser.parse_args()
    for workers in options.workers:
        router = create_router(workers, 200)
        measure(router, options.calls, options.functions, 0)  # entries stand before it counts
        rounds = [measure(router, options.calls, options.functions, n + 1) for n in range(options.rounds)]
        low, middle, high = min(rounds), statistics.median(rounds), max(rounds)
        print(f"{workers:5d} workers: {middle:7.1f} us a call ({low:.1f} to {high:.1f})", flush=True)
    return 0


if __name__ == "__main__":
    sys.exit(main())
