"""Short ways to build settings and events."""

from __future__ import annotations

from typing import Any

from saffronstack.choice import Router
from saffronstack.interface import (
    Action,
    AllowSettings,
    ClassSettings,
    Effect,
    Fail,
    Found,
    Group,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    Request,
    Result,
    RuleSettings,
    Send,
    Settings,
    WorkerEntry,
    WorkerState,
)

READY, DRAINING, GONE = WorkerState.READY, WorkerState.DRAINING, WorkerState.GONE
CLASSES = (
    ClassSettings("safe", Effect.SAFE, 0.5, 3.0),
    ClassSettings("unsafe", Effect.UNSAFE, 0.5, 3.0),
    ClassSettings("keyed-all", Effect.KEYED, 0.5, 3.0, group=Group.ALL, window_s=2.0),
    ClassSettings("keyed-zone", Effect.KEYED, 0.5, 3.0, group=Group.ZONE, window_s=2.0),
    ClassSettings("keyed-cell", Effect.KEYED, 0.5, 3.0, group=Group.CELL, window_s=2.0),
)
SAFE, UNSAFE, KEYED_ALL, KEYED_ZONE, KEYED_CELL = range(5)


def settings(**changes: Any) -> Settings:
    """Usual settings with some changed."""
    base: dict[str, Any] = {
        "classes": CLASSES,
        "memory_mb_by_kind": (8000.0,),
        "keep_alive_s": 10.0,
        "tells_warm": True,
        "allow": AllowSettings(max_attempts=6),
        "rules": RuleSettings(answer_slack_s=0.01, drain_grace_s=1.0),
    }
    base.update(changes)
    return Settings(**base)


def entry(worker: int, state: WorkerState = READY, **more: Any) -> WorkerEntry:
    """A line of the list."""
    return WorkerEntry(worker, state, **more)


def full(*entries: WorkerEntry) -> ListUpdate:
    """A whole list."""
    return ListUpdate(ListKind.FULL, entries)


def change(*entries: WorkerEntry) -> ListUpdate:
    """Changes to the list."""
    return ListUpdate(ListKind.CHANGE, entries)


def router(*workers: int, **changes: Any) -> Router:
    """A router that knows these workers."""
    made = Router(settings(**changes), 7)
    made.handle(100.0, ListUpdate(ListKind.CACHED, tuple(entry(w) for w in workers)))
    return made


class Gateway:
    """Drives a router and remembers what is out."""

    def __init__(self, decider: Router) -> None:
        self.decider = decider
        self.serial = 0
        self.attempts: dict[int, int] = {}
        self.where: dict[int, int] = {}

    def ask(self, now: float, cls: int = SAFE, function: int = 1, **more: Any) -> tuple[int, list[Action]]:
        """A client's request: its number and the actions."""
        self.serial += 1
        more.setdefault("deadline_s", now + 3.0)
        more.setdefault("memory_mb", 500.0)
        request = Request(self.serial, cls, function, **more)
        return self.serial, self.saw(self.decider.handle(now, request))

    def saw(self, actions: list[Action]) -> list[Action]:
        """Remember the sends among these actions."""
        for action in actions:
            if isinstance(action, Send):
                self.attempts[action.request] = self.attempts.get(action.request, -1) + 1
                self.where[action.request] = action.worker
        return actions

    def end(
        self, now: float, request: int, result: Result = Result.OK, found: Found = Found.WARM, **more: Any
    ) -> list[Action]:
        """The outcome of the request's newest attempt."""
        more.setdefault("finished", result is Result.OK)
        more.setdefault("elapsed_s", 0.1)
        outcome = Outcome(request, self.attempts[request], self.where[request], result, found=found, **more)
        return self.saw(self.decider.handle(now, outcome))


def sends(actions: list[Action]) -> list[Send]:
    """The sends among the actions."""
    return [action for action in actions if isinstance(action, Send)]


def finals(actions: list[Action]) -> list[Action]:
    """The final answers among the actions."""
    return [action for action in actions if isinstance(action, Refuse | Fail)]
