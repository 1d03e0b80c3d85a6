"""Builds routers and events, and a gateway that sends requests to its router."""

from __future__ import annotations

from collections.abc import Sized
from typing import Any

from saffronstack.routing.actions import Action, Fail, LoadFunction, Reject, SendAttempt
from saffronstack.routing.events import (
    AttemptOutcome,
    CacheStatus,
    EndpointUpdate,
    EndpointUpdateKind,
    Request,
    Result,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.router import Router
from saffronstack.routing.settings import MissMode, PermissionSettings, RuleSettings
from saffronstack.routing.state import Function
from tests.helpers import SAFE, settings

READY, DRAINING, REMOVED = WorkerState.READY, WorkerState.DRAINING, WorkerState.REMOVED
NO_RULES = RuleSettings()
SLOW_START = RuleSettings(
    drain_grace_s=1.0,
    slow_start_min_fraction=0.15,
    slow_start_s=18.0,
    overload_multiple=2.0,
    overload_window_s=1.0,
)


def endpoint(worker: int, state: WorkerState = READY, **more: Any) -> WorkerEndpoint:
    """Return one worker of an endpoint update."""
    return WorkerEndpoint(worker, state, **more)


def snapshot(*endpoints: WorkerEndpoint) -> EndpointUpdate:
    """Return a complete endpoint list."""
    return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, endpoints)


def incremental(*endpoints: WorkerEndpoint) -> EndpointUpdate:
    """Return changes to the endpoint list."""
    return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, endpoints)


def make_router(*workers: int, **changes: Any) -> Router:
    """Return a router that knows these workers."""
    made = Router(settings(**changes), 7)
    known = tuple(endpoint(worker) for worker in workers)
    made.handle(100.0, EndpointUpdate(EndpointUpdateKind.CACHED, known))
    return made


def router_tables(router: Router) -> list[Sized]:
    """Return the tables of a router that grow with its workers, functions, tenants and requests."""
    parts = router.components
    return [
        router.workers,
        router.functions,
        parts.rates.by_function,
        parts.rates.by_tenant,
        parts.memory.placed,
        parts.request_queue.functions,
        parts.requests,
        parts.attempts,
    ]


class Gateway:
    """Passes events to a router and records its attempts."""

    def __init__(self, router: Router) -> None:
        self.router = router
        self.request_number = 0
        self.attempts: dict[int, int] = {}
        self.worker_by_request: dict[int, int] = {}

    def request(
        self, now: float, class_index: int = SAFE, function_id: int = 1, **more: Any
    ) -> tuple[int, list[Action]]:
        """Pass a client's request to the router; return its number and the actions."""
        self.request_number += 1
        more.setdefault("deadline_s", now + 3.0)
        more.setdefault("memory_mb", 500.0)
        request = Request(self.request_number, class_index, function_id, **more)
        return self.request_number, self.record(self.router.handle(now, request))

    def record(self, actions: list[Action]) -> list[Action]:
        """Record the attempts among the actions, and return the actions."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
                self.worker_by_request[action.request_id] = action.worker_id
        return actions

    def finish(
        self,
        now: float,
        request: int,
        result: Result = Result.OK,
        cache_status: CacheStatus = CacheStatus.WARM,
        **more: Any,
    ) -> list[Action]:
        """Pass the outcome of the request's newest attempt to the router."""
        more.setdefault("is_final", result is Result.OK)
        more.setdefault("elapsed_s", 0.1)
        outcome = AttemptOutcome(
            request,
            self.attempts[request],
            self.worker_by_request[request],
            result,
            cache_status=cache_status,
            **more,
        )
        return self.record(self.router.handle(now, outcome))


def make_gateways(count: int, workers: int, rules: RuleSettings = NO_RULES) -> list[Gateway]:
    """Return gateways that know the same workers, none of them warming up."""
    made = []
    for seed in range(count):
        gateway = Gateway(Router(settings(gateway_count=count, rules=rules), seed))
        gateway.router.handle(100.0, snapshot(*(endpoint(w) for w in range(1, workers + 1))))
        made.append(gateway)
    return made


def rejecting_gateway(**changes: object) -> Gateway:
    """Return a gateway whose workers reject requests for functions that they have not loaded."""
    permissions = PermissionSettings(max_attempts=6, load_commands=True)
    return Gateway(
        make_router(
            1,
            2,
            miss_mode=MissMode.REJECT,
            load_command_timeout_s=10.0,
            permissions=permissions,
            **changes,
        )
    )


def attempts_sent(actions: list[Action]) -> list[SendAttempt]:
    """Return the attempts among the actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def final_answers(actions: list[Action]) -> list[Action]:
    """Return the final answers among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]


def load_commands(actions: list[Action]) -> list[LoadFunction]:
    """Return the load commands among the actions."""
    return [action for action in actions if isinstance(action, LoadFunction)]


def add_warm_instances(
    gateway: Gateway, worker: int, function: int = 1, now: float = 100.0, count: int = 1
) -> None:
    """Add instances to the warm pool of a gateway."""
    router = gateway.router
    made = router.functions.setdefault(function, Function())
    made.warm_instances += [(router.workers[worker], now)] * count


def find_shared_instances(gateway: Gateway, functions: int = 30) -> None:
    """Show a gateway that it mostly finds instances which others had loaded."""
    for function in range(functions):
        number, actions = gateway.request(100.0 + function * 0.1, function_id=1000 + function)
        if attempts_sent(actions):
            gateway.finish(100.05 + function * 0.1, number, cache_status=CacheStatus.WARM)


def learn_shared_instances(gateway: Gateway) -> None:
    """Show a gateway that instances are shared: its attempts find them where it knew of none."""
    for step in range(40):
        now = 100.0 + step / 8
        number, actions = gateway.request(now, function_id=1000 + step)
        assert attempts_sent(actions)
        gateway.finish(now + 0.1, number, concurrency=0)
    assert gateway.router.components.shared_instances.fraction > 0.2
