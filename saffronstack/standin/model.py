"""What a stand-in worker holds and does with a call: copies in memory, loads, lanes, cores. No sockets."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from saffronstack.metering.worker_messages import CallReference
from saffronstack.standin.usage import Outbox


@dataclass(slots=True)
class Profile:
    """One stand-in worker's figures; times in seconds, memory in MB."""

    memory_mb: float = 4096.0
    cores: int = 4
    queue: int = 64
    loads: int = 4
    keep_alive_s: float = 10.0
    work_s: float = 0.01
    load_s: float = 0.2
    cold_share: float = 1.0
    cold_s: float = 0.0
    work_by_function: dict[str, float] = field(default_factory=dict)


@dataclass(slots=True)
class Faults:
    """What is wrong with a worker now; changed as a whole."""

    silent: bool = False  # reads the request and never answers, the function does not run
    silent_after_run: bool = False
    lose_answers: float = 0.0  # part of the calls whose answer is lost after the run
    reset_mid_answer: bool = False
    half_header: bool = False
    garbage: bool = False
    slow: float = 1.0  # times as long
    errors: float = 0.0  # part of the calls answered 500 at once, the function not run
    die_mid_load: bool = False
    die_mid_call: bool = False
    handshake_s: float = 0.0
    told_busy: float | None = None  # what it says of its cores and its queue, whatever is true
    told_waiting: int = 0


NOBODY = CallReference("", "", "")


class WorkerDiedError(Exception):
    """The worker died under the call."""


class QueueFullError(Exception):
    """No room to wait: the function did not run."""


class Store:
    """The store that all workers fetch from: fetches over its capacity take longer, past a limit none."""

    def __init__(self, capacity: int = 16, most: int = 256) -> None:
        self.capacity = capacity
        self.most = most
        self.slow = 1.0
        self.fetches = 0
        self._out = 0
        self._lock = threading.Lock()

    def fetch(self, seconds: float, pause: Callable[[float], None]) -> bool:
        """Fetch once; False where the store turned it away."""
        with self._lock:
            if self._out >= self.most:
                return False
            self._out += 1
            self.fetches += 1
            crowd = max(1.0, self._out / self.capacity)
        try:
            pause(seconds * crowd * self.slow)
        finally:
            with self._lock:
                self._out -= 1
        return True


@dataclass(slots=True)
class _Copies:
    name: str
    memory_mb: float
    lanes: int
    since_us: int
    waiting: dict[int, CallReference] = field(
        default_factory=dict
    )  # by a ticket: an attempt that was given up may
    running: dict[int, CallReference] = field(default_factory=dict)  # still run when its call comes again
    standing: int = 0
    loading: int = 0
    busy: int = 0
    held: int = 0
    used_s: float = 0.0

    @property
    def total(self) -> int:
        return self.standing + self.loading


@dataclass(frozen=True, slots=True)
class Observed:
    """A function's copies after a change."""

    at_us: int
    function: str
    memory_mb: float
    lanes: int
    loading: int
    standing: int
    waiting: tuple[CallReference, ...]
    running: tuple[CallReference, ...]


class Model:
    """One incarnation of a worker; every wait ends at its caller's deadline or the worker's death."""

    def __init__(
        self,
        profile: Profile,
        faults: Callable[[], Faults],
        store: Store,
        clock: Callable[[], float],
        outbox: Outbox | None = None,
        observe: Callable[[Observed], None] | None = None,
    ) -> None:
        """``observe`` hears of each change, for tests that reckon on their own what was held."""
        self.profile = profile
        self.started_s = clock()
        self._faults = faults
        self._store = store
        self._clock = clock
        self._outbox = outbox
        self._observe = observe
        self._state = threading.Condition()
        self._dead = threading.Event()
        self._copies: dict[str, _Copies] = {}
        self._waiting = 0
        self._working = 0
        self._loads = 0
        self._tickets = count()

    def die(self) -> None:
        """All copies are void, every call under way ends."""
        self._dead.set()
        with self._state:
            self._state.notify_all()

    def speed(self) -> float:
        """Part of its capacity that a young worker can do."""
        profile = self.profile
        if not profile.cold_s:
            return 1.0
        return min(
            1.0,
            profile.cold_share + (1 - profile.cold_share) * (self._clock() - self.started_s) / profile.cold_s,
        )

    def report(self) -> tuple[int, int, float, int]:
        """Calls in hand, calls waiting, part of the cores busy, loads under way."""
        with self._state:
            return (
                self._waiting + self._working,
                self._waiting,
                min(1.0, self._working / self.profile.cores),
                self._loads,
            )

    def call(
        self,
        function: str,
        memory_mb: float,
        lanes: int,
        deadline_s: float,
        ran: Callable[[], None],
        ref: CallReference = NOBODY,
    ) -> tuple[str, int]:
        """Run a call; what it found and how many calls of its function were here. ``ran`` marks the run.

        Full, TimeoutError or Died where it does not run.
        """
        with self._state:
            if self._waiting >= self.profile.queue:
                raise QueueFullError
            copies = self._copies.setdefault(function, _Copies(function, memory_mb, lanes, self._now_us()))
            self._close(copies)
            crowd = copies.held
            copies.held += 1
            ticket = next(self._tickets)
            copies.waiting[ticket] = ref
            self._waiting += 1
            self._changed(copies)
        try:
            found = self._lane(copies, ticket, deadline_s)
        except BaseException:
            with self._state:
                self._close(copies)
                copies.waiting.pop(ticket, None)
                self._left(ref)
                copies.held -= 1
                self._waiting -= 1
                self._changed(copies)
            raise
        try:
            self._core(deadline_s)
            try:
                ran()
                if self._faults().die_mid_call:
                    raise WorkerDiedError
                work_s = self.profile.work_by_function.get(function, self.profile.work_s)
                self._pause(work_s * self._faults().slow / self.speed())
            finally:
                with self._state:
                    self._working -= 1
        finally:
            with self._state:
                self._close(copies)
                copies.running.pop(ticket, None)
                self._left(ref)
                copies.busy -= 1
                copies.held -= 1
                copies.used_s = self._clock()
                self._changed(copies)
                self._state.notify_all()
        return found, crowd

    def hold(self, function: str, memory_mb: float, lanes: int, count: int, deadline_s: float) -> int:
        """An order to hold copies; how many stand. QueueFullError where there is no room."""
        with self._state:
            copies = self._copies.setdefault(function, _Copies(function, memory_mb, lanes, self._now_us()))
            copies.used_s = self._clock()
        while True:
            with self._state:
                missing = count - copies.total
                if missing > 0 and not self._room(copies):
                    raise QueueFullError
                if missing <= 0:
                    if not self._wait(lambda: copies.standing >= count or not copies.loading, deadline_s):
                        raise TimeoutError
                    return copies.standing
                self._close(copies)
                copies.loading += 1
                self._loads += 1
                self._changed(copies)
            self._load(copies)

    def standing(self, function: str) -> int:
        """Copies that stand."""
        with self._state:
            copies = self._copies.get(function)
            return copies.standing if copies else 0

    def drop(self, function: str | None = None) -> None:
        """Unload idle copies: of one function, or of all (a new release)."""
        with self._state:
            for name, copies in self._copies.items():
                if function in (None, name):
                    self._close(copies)
                    copies.standing = min(copies.standing, -(-copies.busy // copies.lanes))
                    self._changed(copies)
            self._state.notify_all()

    def settle(self) -> None:
        """End every open span, so that what stands so far is reported."""
        with self._state:
            for copies in self._copies.values():
                self._close(copies)

    # ---- inside

    def _now_us(self) -> int:
        return int(self._clock() * 1e6)

    def _left(self, ref: CallReference) -> None:
        if self._outbox is not None:
            self._outbox.ended(ref.request_id)

    def _close(self, copies: _Copies) -> None:
        """The copies of a function are about to change: what they held since the last change is reported."""
        now_us = self._now_us()
        if self._outbox is None or now_us <= copies.since_us:
            return
        run = min(copies.standing, -(-copies.busy // copies.lanes))
        held = copies.loading, run, copies.standing - run
        if any(held):
            self._outbox.add(
                copies.name,
                int(copies.memory_mb * 1024),
                copies.since_us,
                now_us,
                held,
                tuple(copies.waiting.values()),
                tuple(copies.running.values()),
            )
        copies.since_us = now_us

    def _changed(self, copies: _Copies) -> None:
        """They have changed; the span before was closed at the same moment, in the same hold of the lock."""
        if self._observe is not None:
            waiting, running = tuple(copies.waiting.values()), tuple(copies.running.values())
            self._observe(
                Observed(
                    copies.since_us,
                    copies.name,
                    copies.memory_mb,
                    copies.lanes,
                    copies.loading,
                    copies.standing,
                    waiting,
                    running,
                )
            )

    def _wait(self, ready: Callable[[], bool], deadline_s: float) -> bool:
        """Wait, holding the state, for something or the deadline; WorkerDiedError where the worker did."""
        while not ready():
            if self._dead.is_set():
                raise WorkerDiedError
            left = deadline_s - self._clock()
            if left <= 0:
                return False
            self._state.wait(min(left, 0.5))
        return True

    def _pause(self, seconds: float) -> None:
        if self._dead.wait(seconds):
            raise WorkerDiedError

    def _lane(self, copies: _Copies, ticket: int, deadline_s: float) -> str:
        found = "warm"
        while True:
            with self._state:
                self._expire()

                def free() -> bool:
                    return copies.busy < copies.standing * copies.lanes

                def may_load() -> bool:
                    wants = copies.held > copies.total * copies.lanes
                    return wants and self._loads < self.profile.loads and self._room(copies)

                if not self._wait(lambda: free() or may_load(), deadline_s):
                    raise TimeoutError
                self._close(copies)
                if free():
                    copies.busy += 1
                    copies.running[ticket] = copies.waiting.pop(ticket)
                    self._waiting -= 1
                    self._changed(copies)
                    return found
                found = "began-load"
                copies.loading += 1
                self._loads += 1
                self._changed(copies)
            self._load(copies)

    def _load(self, copies: _Copies) -> None:
        stands = False
        try:
            if self._faults().die_mid_load:
                self._pause(self.profile.load_s / 2)
                raise WorkerDiedError
            stands = self._store.fetch(self.profile.load_s * 0.7, self._pause)
            self._pause(self.profile.load_s * 0.3)
        finally:
            with self._state:
                self._close(copies)
                copies.loading -= 1
                copies.standing += stands
                copies.used_s = self._clock()
                self._loads -= 1
                self._changed(copies)
                self._state.notify_all()

    def _used_mb(self) -> float:
        return sum(c.total * c.memory_mb for c in self._copies.values())

    def _room(self, wanted: _Copies) -> bool:
        """Make room for one more copy out of idle ones, the longest unused first."""
        while self._used_mb() + wanted.memory_mb > self.profile.memory_mb:
            idle = [
                c
                for c in self._copies.values()
                if c is not wanted and c.standing * c.lanes >= c.busy + c.lanes
            ]
            if not idle:
                return False
            oldest = min(idle, key=lambda c: c.used_s)
            self._close(oldest)
            oldest.standing -= 1
            self._changed(oldest)
        return True

    def _expire(self) -> None:
        now = self._clock()
        for copies in self._copies.values():
            if copies.standing and not copies.busy and copies.used_s + self.profile.keep_alive_s < now:
                self._close(copies)
                copies.standing = 0
                self._changed(copies)

    def _core(self, deadline_s: float) -> None:
        with self._state:
            if not self._wait(lambda: self._working < self.profile.cores, deadline_s):
                raise TimeoutError
            self._working += 1
