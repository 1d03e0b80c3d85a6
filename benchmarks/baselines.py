"""Gateways of the platform that choose by a plain policy, for `benchmarks/spread.py` alone.

    LB_POLICY=two LB_CONFIG=... python benchmarks/baselines.py

The sockets are the product's; only the module is another one. `truth` and `late` see what the rig writes of
the hosts into LB_TRUTH: all at once, and as it was one round trip ago.
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

TRIES = 3
SLOTS = 64  # moments that the truth keeps
SLOT_S = 0.005
LATE_SLOTS = 5  # a round trip of 25 ms
HEAD = struct.Struct("q")
NEVER_RAN = (Result.AT_CAPACITY, Result.CONNECT_FAILED, Result.NOT_STARTED, Result.NOT_LOADED)


class Truth:
    """A file of what every host has in hand for each core, moment by moment; many writers of hosts of their
    own, many readers.
    """

    def __init__(self, path: pathlib.Path, names: list[str], create: bool = False) -> None:
        self._place = {worker_number(name): place for place, name in enumerate(names)}
        self._hosts = len(names)
        size = HEAD.size + 4 * SLOTS * self._hosts
        if create:
            path.write_bytes(bytes(size))
        self._file = path.open("r+b")
        self._map = mmap.mmap(self._file.fileno(), size)

    @staticmethod
    def moment() -> int:
        """The number of the present moment, the same in all processes."""
        return int(time.monotonic() / SLOT_S)

    def write(self, place: int, load: float, moment: int) -> None:
        """A host's load at a moment."""
        at = HEAD.size + 4 * ((moment % SLOTS) * self._hosts + place)
        struct.pack_into("f", self._map, at, load)

    def read(self, worker: int, moment: int) -> float:
        """A worker's load at a moment that is not long past."""
        place = self._place.get(worker)
        if place is None:
            return 0.0
        found = struct.unpack_from("f", self._map, HEAD.size + 4 * ((moment % SLOTS) * self._hosts + place))
        return float(found[0])


@dataclass
class Known:
    """What a plain gateway knows of a worker."""

    entry: WorkerEndpoint
    out: int = 0
    told: float = 0.0


@dataclass
class Waiting:
    """A request without its answer."""

    ask: Request
    safe: bool
    tried: list[int] = field(default_factory=list)
    ran: bool = False


class Plain:
    """The module's interface around one choice among the ready workers."""

    def __init__(self, policy: str, settings: Settings, seed: int, truth: Truth | None) -> None:
        self.workers: dict[int, Known] = {}  # the gateway compares its beliefs: none here
        self._known: dict[int, Known] = {}
        self._settings = settings
        self._random = random.Random(seed)
        self._turn = self._random.randrange(1 << 20)
        self._truth = truth
        self._choose = POLICIES[policy]
        self._pending: dict[int, Waiting] = {}

    def handle(self, now: float, event: Event) -> list[Action]:
        """What to do about one event."""
        if isinstance(event, EndpointUpdate):
            self._list(event)
        elif isinstance(event, Request):
            safe = self._settings.classes[event.class_index].idempotency is Idempotency.IDEMPOTENT
            self._pending[event.request_id] = Waiting(event, safe)
            return self._go(event.request_id)
        elif isinstance(event, AttemptOutcome):
            return self._ended(event)
        elif isinstance(event, ClientDisconnected):
            self._pending.pop(event.request_id, None)
        return []

    def _list(self, event: EndpointUpdate) -> None:
        if event.kind is EndpointUpdateKind.SNAPSHOT:
            self._known = {n: known for n, known in self._known.items() if known.out}
        for entry in event.endpoints:
            self._known.setdefault(entry.worker_id, Known(entry)).entry = entry

    def _ended(self, event: AttemptOutcome) -> list[Action]:
        known = self._known.get(event.worker_id)
        if known is not None:
            known.out -= 1
            if event.load_report is not None and event.load_report.cpu_utilization is not None:
                known.told = event.load_report.cpu_utilization + (event.load_report.requests_queued or 0.0)
        waiting = self._pending.get(event.request_id)
        if waiting is None:
            return []
        if event.is_final:
            del self._pending[event.request_id]
            return []
        waiting.ran = waiting.ran or event.result not in NEVER_RAN
        return self._go(event.request_id)

    def _go(self, request: int) -> list[Action]:
        waiting = self._pending[request]
        ready = [
            known for number, known in self._known.items()
            if known.entry.state is WorkerState.READY and number not in waiting.tried
        ]  # fmt: skip
        if len(waiting.tried) >= TRIES or not ready or (waiting.ran and not waiting.safe):
            del self._pending[request]
            return [Fail(request) if waiting.ran and not waiting.safe else Reject(request, 0.1)]
        known = self._choose(self, ready)
        known.out += 1
        waiting.tried.append(known.entry.worker_id)
        return [SendAttempt(request, known.entry.worker_id)]

    # ---- the policies

    def random(self, ready: list[Known]) -> Known:
        """Any of them."""
        return self._random.choice(ready)

    def robin(self, ready: list[Known]) -> Known:
        """One after the other."""
        self._turn += 1
        return ready[self._turn % len(ready)]

    def least(self, ready: list[Known]) -> Known:
        """Fewest attempts out by own count."""
        return min(ready, key=lambda known: (known.out, self._random.random()))

    def two(self, ready: list[Known]) -> Known:
        """The better of two that are drawn."""
        return min(self._random.choices(ready, k=2), key=lambda known: known.out)

    def told(self, ready: list[Known]) -> Known:
        """Least use of cores by what answers told."""
        return min(ready, key=lambda known: (known.told, self._random.random()))

    def _seen(self, ready: list[Known], ago: int) -> Known:
        assert self._truth is not None, "LB_TRUTH is not set"
        truth, moment = self._truth, Truth.moment() - 1 - ago
        return min(
            ready, key=lambda known: (truth.read(known.entry.worker_id, moment), self._random.random())
        )

    def truth(self, ready: list[Known]) -> Known:
        """Least busy by the bench's own account, at this moment."""
        return self._seen(ready, 0)

    def late(self, ready: list[Known]) -> Known:
        """The same, as it was a few slots ago."""
        return self._seen(ready, LATE_SLOTS)


POLICIES: dict[str, Callable[[Plain, list[Known]], Known]] = {
    "random": Plain.random, "robin": Plain.robin, "least": Plain.least, "two": Plain.two, "told": Plain.told,
    "truth": Plain.truth, "late": Plain.late,
}  # fmt: skip


def main() -> int:
    """As `python -m saffronstack.platform`, with another module."""
    policy = os.environ["LB_POLICY"]
    path = os.environ.get("LB_TRUTH", "")
    names: list[str] = json.loads(pathlib.Path(path + ".json").read_text()) if path else []
    truth = Truth(pathlib.Path(path), names) if path else None

    def made(settings: Settings, seed: int) -> Plain:
        return Plain(policy, settings, seed, truth)

    decision_loop.Router = made  # type: ignore[misc, assignment]
    from saffronstack.platform.__main__ import main as run

    return run()


if __name__ == "__main__":
    sys.exit(main())
