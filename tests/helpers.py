"""Short ways to build settings and events."""

from __future__ import annotations

from collections.abc import Sized
from typing import Any

from saffronstack.routing.actions import Action, Fail, Reject, SendAttempt
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
from saffronstack.routing.settings import (
    ClassSettings,
    DeduplicationScope,
    Idempotency,
    PermissionSettings,
    RuleSettings,
    Settings,
)

READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.REMOVED
CLASSES = (
    ClassSettings("safe", Idempotency.IDEMPOTENT, 0.5, 3.0),
    ClassSettings("unsafe", Idempotency.NON_IDEMPOTENT, 0.5, 3.0),
    ClassSettings(
        "keyed-all",
        Idempotency.WITH_KEY,
        0.5,
        3.0,
        deduplication_scope=DeduplicationScope.ALL,
        deduplication_window_s=2.0,
    ),
    ClassSettings(
        "keyed-zone",
        Idempotency.WITH_KEY,
        0.5,
        3.0,
        deduplication_scope=DeduplicationScope.ZONE,
        deduplication_window_s=2.0,
    ),
    ClassSettings(
        "keyed-cell",
        Idempotency.WITH_KEY,
        0.5,
        3.0,
        deduplication_scope=DeduplicationScope.CELL,
        deduplication_window_s=2.0,
    ),
)
SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL = range(5)


def settings(**changes: Any) -> Settings:
    """Usual settings with some changed."""
    base: dict[str, Any] = {
        "classes": CLASSES,
        "memory_mb_by_worker_kind": (8000.0,),
        "keep_alive_s": 10.0,
        "reports_cache_status": True,
        "permissions": PermissionSettings(max_attempts=6),
        "rules": RuleSettings(response_slack_s=0.01, drain_grace_s=1.0),
    }
    base.update(changes)
    return Settings(**base)


def entry(worker: int, state: WorkerState = READY, **more: Any) -> WorkerEndpoint:
    """A line of the list."""
    return WorkerEndpoint(worker, state, **more)


def full(*entries: WorkerEndpoint) -> EndpointUpdate:
    """A whole list."""
    return EndpointUpdate(EndpointUpdateKind.SNAPSHOT, entries)


def change(*entries: WorkerEndpoint) -> EndpointUpdate:
    """Changes to the list."""
    return EndpointUpdate(EndpointUpdateKind.INCREMENTAL, entries)


def router(*workers: int, **changes: Any) -> Router:
    """A router that knows these workers."""
    made = Router(settings(**changes), 7)
    made.handle(100.0, EndpointUpdate(EndpointUpdateKind.CACHED, tuple(entry(w) for w in workers)))
    return made


def router_tables(made: Router) -> list[Sized]:
    """The tables of a router that grow with its workers, functions, tenants and requests."""
    parts = made.components
    return [
        made.workers,
        made.functions,
        parts.rates.by_function,
        parts.rates.by_tenant,
        parts.memory.placed,
        parts.request_queue.functions,
        parts.requests,
        parts.attempts,
    ]


class Gateway:
    """Drives a router and remembers what is out."""

    def __init__(self, decider: Router) -> None:
        self.decider = decider
        self.serial = 0
        self.attempts: dict[int, int] = {}
        self.where: dict[int, int] = {}

    def ask(self, now: float, cls: int = SAFE, function_id: int = 1, **more: Any) -> tuple[int, list[Action]]:
        """A client's request: its number and the actions."""
        self.serial += 1
        more.setdefault("deadline_s", now + 3.0)
        more.setdefault("memory_mb", 500.0)
        request = Request(self.serial, cls, function_id, **more)
        return self.serial, self.saw(self.decider.handle(now, request))

    def saw(self, actions: list[Action]) -> list[Action]:
        """Remember the sends among these actions."""
        for action in actions:
            if isinstance(action, SendAttempt):
                self.attempts[action.request_id] = self.attempts.get(action.request_id, -1) + 1
                self.where[action.request_id] = action.worker_id
        return actions

    def end(
        self,
        now: float,
        request: int,
        result: Result = Result.OK,
        cache_status: CacheStatus = CacheStatus.WARM,
        **more: Any,
    ) -> list[Action]:
        """The outcome of the request's newest attempt."""
        more.setdefault("is_final", result is Result.OK)
        more.setdefault("elapsed_s", 0.1)
        outcome = AttemptOutcome(
            request, self.attempts[request], self.where[request], result, cache_status=cache_status, **more
        )
        return self.saw(self.decider.handle(now, outcome))


def sends(actions: list[Action]) -> list[SendAttempt]:
    """The sends among the actions."""
    return [action for action in actions if isinstance(action, SendAttempt)]


def finals(actions: list[Action]) -> list[Action]:
    """The final answers among the actions."""
    return [action for action in actions if isinstance(action, Reject | Fail)]
