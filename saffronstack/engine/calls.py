"""A call in the gateway's hands, and its one final answer."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum
from typing import Protocol

from saffronstack.routing.events import AttemptOutcome, LoadReport, Result


class Ending(Enum):
    """How a call ended."""

    SERVED = "served"  # a worker's answer
    REFUSED = "refused"  # trying again does no harm
    FAILED = "failed"  # it may have run, or not: no promise
    GONE = "gone"  # the client left; nobody hears of it


@dataclass(frozen=True, slots=True)
class Prior:
    """The first attempt of a call that may have run: where, and when it was sent (monotonic seconds)."""

    worker: int
    sent_s: float


@dataclass(frozen=True, slots=True)
class Final:
    """The final answer of a call."""

    ending: Ending
    payload: bytes = b""
    function_error: str = ""  # "Handled" or "Unhandled" where the function itself failed
    log_tail: str = ""  # base64
    stay_away_s: float = 0.0
    reason: str = ""
    prior: Prior | None = None
    attempts: int = 0
    worker: str = ""
    out_until_s: float = (
        0.0  # an attempt is still out, until then at the latest (monotonic): no other may be yet
    )


@dataclass(frozen=True, slots=True)
class FunctionSpec:
    """What the core needs of a function."""

    name: str
    number: int
    class_index: int
    memory_mb: float
    lanes: int = 1
    load_s: float | None = None


class SendGuard(Protocol):
    """Asked on a worker thread right before an attempt's first byte goes out."""

    def may_send(self, attempt: int, worker: int) -> bool:
        """False: the attempt must not be sent. It may wait, with a time-out of its own."""
        ...


@dataclass(eq=False, slots=True)
class Call:
    """One call. ``deadline_s``, monotonic, is when the gateway wants it answered, ahead of its client's."""

    number: int
    request_id: str
    function: FunctionSpec
    payload: bytes
    deadline_s: float
    tenant: int = 0
    tenant_name: str = ""
    key: str = ""  # idempotency key; the request id where the client named none
    client_context: str = ""
    wants_log: bool = False
    prior: Prior | None = None  # of an earlier life of a deferred call
    guard: SendGuard | None = None
    on_final: Callable[[Call, Final], None] | None = None
    final: Final | None = None
    class_name: str = ""
    _claim: threading.Lock = field(default_factory=threading.Lock)
    _done: threading.Lock = field(default_factory=threading.Lock)

    def __post_init__(self) -> None:
        self._done.acquire()

    def settle(self, final: Final) -> bool:
        """Give the final answer; True for the first of all who try, from whatever thread."""
        if not self._claim.acquire(blocking=False):
            return False
        self.final = final
        self._done.release()
        if self.on_final is not None:
            self.on_final(self, final)
        return True

    @property
    def settled(self) -> bool:
        """Whether it has its final answer: nothing more may be sent for it."""
        return self._claim.locked()

    def wait(self, timeout_s: float) -> Final | None:
        """The final answer, None where it has not come within ``timeout_s`` seconds."""
        if self._done.acquire(timeout=max(0.0, timeout_s)):
            self._done.release()
        return self.final


@dataclass(frozen=True, slots=True)
class Answer:
    """What a worker answered to an attempt that it served."""

    payload: bytes
    function_error: str = ""
    log_tail: str = ""


@dataclass(frozen=True, slots=True)
class AttemptEnd:
    """How an attempt ended, as its worker thread saw it."""

    call: Call
    outcome: AttemptOutcome
    answer: Answer | None = None
    reason: str = ""
    incarnation: str = ""  # of the worker, as last heard
    held: int = 0  # what the worker says the call held, in KiB microseconds; 0 where it does not say


@dataclass(frozen=True, slots=True)
class WorkerSeen:
    """What a worker's answer says of the process behind it; uptime in seconds."""

    worker: int
    incarnation: str
    uptime_s: float


@dataclass(frozen=True, slots=True)
class OrderEnd:
    """How a probe or an order ended."""

    worker: int
    result: Result
    elapsed_s: float
    function: int | None = None  # None: a probe
    copies: int = 0
    report: LoadReport | None = None


class Dispatcher(Protocol):
    """Carries out what the module decides; every call returns at once."""

    def send(self, call: Call, attempt: int, worker: int, timeout_s: float) -> None:
        """Start an attempt; its `AttemptEnd` is told to the engine exactly once."""
        ...

    def cancel(self, call: Call, attempt: int) -> None:
        """Stop waiting for an attempt."""
        ...

    def probe(self, worker: int) -> None:
        """Ask a worker for its report; ends in one `OrderEnd`."""
        ...

    def load(self, worker: int, function: FunctionSpec, copies: int) -> None:
        """Order copies; ends in one `OrderEnd`."""
        ...

    def unload(self, worker: int, function: FunctionSpec) -> None:
        """Order idle copies out; no end is told."""
        ...
