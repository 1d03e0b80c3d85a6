"""Simulates a worker without sockets: instances in memory, loads, concurrent calls and cores."""

from __future__ import annotations

import threading
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from saffronstack.metering.worker_messages import CallReference
from saffronstack.standin.usage import Outbox


@dataclass(slots=True)
class Profile:
    """Capacity and timing of one stub worker; times in seconds, memory in MB."""

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
    """The faults that a stub worker shows now; replaced as a whole."""

    silent: bool = False  # reads the request and never responds; the function does not run
    silent_after_run: bool = False
    lose_answers: float = 0.0  # fraction of the calls whose response is lost after the run
    reset_mid_answer: bool = False
    half_header: bool = False
    garbage: bool = False
    slow: float = 1.0  # multiple of the profile's run time
    errors: float = 0.0  # fraction of the calls that get status 500 at once; the function does not run
    die_mid_load: bool = False
    die_mid_call: bool = False
    handshake_s: float = 0.0
    told_busy: float | None = None  # CPU utilization in load reports, with told_waiting; None: real values
    told_waiting: int = 0


NO_CALL = CallReference("", "", "")


class WorkerDiedError(Exception):
    """The worker was killed during the call."""


class QueueFullError(Exception):
    """The worker's queue or memory is full; the function did not run."""


class Store:
    """The artifact store from which all workers load functions.

    Above ``capacity`` concurrent fetches, each takes proportionally longer; beyond ``max_fetches`` they fail.
    """

    def __init__(self, capacity: int = 16, max_fetches: int = 256) -> None:
        self.capacity = capacity
        self.max_fetches = max_fetches
        self.slow = 1.0
        self.fetches = 0
        self._fetches_in_flight = 0
        self._lock = threading.Lock()

    def fetch(self, seconds: float, sleep: Callable[[float], None]) -> bool:
        """Fetch once; return False if the store rejected the fetch."""
        with self._lock:
            if self._fetches_in_flight >= self.max_fetches:
                return False
            self._fetches_in_flight += 1
            self.fetches += 1
            overload_factor = max(1.0, self._fetches_in_flight / self.capacity)
        try:
            sleep(seconds * overload_factor * self.slow)
        finally:
            with self._lock:
                self._fetches_in_flight -= 1
        return True


@dataclass(slots=True)
class _FunctionInstances:
    name: str
    memory_mb: float
    concurrency: int
    span_start_us: int
    # By ticket, not by call: a cancelled attempt may still run when a retry of its call arrives.
    waiting_calls: dict[int, CallReference] = field(default_factory=dict)
    running_calls: dict[int, CallReference] = field(default_factory=dict)
    loaded: int = 0
    loading: int = 0
    busy_slots: int = 0
    call_count: int = 0
    last_used_s: float = 0.0

    @property
    def total(self) -> int:
        return self.loaded + self.loading


@dataclass(frozen=True, slots=True)
class InstanceChange:
    """The instances of a function after a change, with the calls that wait for them or run on them."""

    at_us: int
    function: str
    memory_mb: float
    concurrency: int
    loading: int
    loaded: int
    waiting_calls: tuple[CallReference, ...]
    running_calls: tuple[CallReference, ...]


class WorkerModel:
    """One incarnation of a worker; a call stops waiting at its deadline or when the worker is killed."""

    def __init__(
        self,
        profile: Profile,
        faults: Callable[[], Faults],
        store: Store,
        clock: Callable[[], float],
        outbox: Outbox | None = None,
        on_change: Callable[[InstanceChange], None] | None = None,
    ) -> None:
        """Create a worker without loaded instances.

        ``on_change`` is called after each change, for tests that compute memory use independently.
        """
        self.profile = profile
        self.started_s = clock()
        self._faults = faults
        self._store = store
        self._clock = clock
        self._outbox = outbox
        self._on_change = on_change
        self._state = threading.Condition()
        self._killed = threading.Event()
        self._instances: dict[str, _FunctionInstances] = {}
        self._waiting_count = 0
        self._running_count = 0
        self._loads = 0
        self._tickets = count()

    def kill(self) -> None:
        """End the incarnation: all calls that wait or run raise WorkerDiedError."""
        self._killed.set()
        with self._state:
            self._state.notify_all()

    def speed_factor(self) -> float:
        """Return the fraction of its capacity that the worker has at its age."""
        profile = self.profile
        if not profile.cold_s:
            return 1.0
        return min(
            1.0,
            profile.cold_share + (1 - profile.cold_share) * (self._clock() - self.started_s) / profile.cold_s,
        )

    def load_report(self) -> tuple[int, int, float, int]:
        """Return calls in flight, calls queued, fraction of the cores busy and loads in progress."""
        with self._state:
            return (
                self._waiting_count + self._running_count,
                self._waiting_count,
                min(1.0, self._running_count / self.profile.cores),
                self._loads,
            )

    def call(
        self,
        function: str,
        memory_mb: float,
        concurrency: int,
        deadline_s: float,
        on_run: Callable[[], None],
        reference: CallReference = NO_CALL,
    ) -> tuple[str, int]:
        """Run a call; return its cache status and how many other calls of its function the worker had.

        ``on_run`` is called when the function starts to run.

        Raises:
            QueueFullError: The queue is full; the function did not run.
            TimeoutError: No instance or core became free before the deadline; the function did not run.
            WorkerDiedError: The worker was killed; the function may have run.
        """
        with self._state:
            if self._waiting_count >= self.profile.queue:
                raise QueueFullError
            instances = self._instances.setdefault(
                function, _FunctionInstances(function, memory_mb, concurrency, self._now_us())
            )
            self._end_span(instances)
            concurrent_calls = instances.call_count
            instances.call_count += 1
            ticket = next(self._tickets)
            instances.waiting_calls[ticket] = reference
            self._waiting_count += 1
            self._notify_change(instances)
        try:
            cache_status = self._acquire_slot(instances, ticket, deadline_s)
        except BaseException:
            with self._state:
                self._end_span(instances)
                instances.waiting_calls.pop(ticket, None)
                self._end_call(reference)
                instances.call_count -= 1
                self._waiting_count -= 1
                self._notify_change(instances)
            raise
        try:
            self._acquire_core(deadline_s)
            try:
                on_run()
                if self._faults().die_mid_call:
                    raise WorkerDiedError
                work_s = self.profile.work_by_function.get(function, self.profile.work_s)
                self._sleep(work_s * self._faults().slow / self.speed_factor())
            finally:
                with self._state:
                    self._running_count -= 1
        finally:
            with self._state:
                self._end_span(instances)
                instances.running_calls.pop(ticket, None)
                self._end_call(reference)
                instances.busy_slots -= 1
                instances.call_count -= 1
                instances.last_used_s = self._clock()
                self._notify_change(instances)
                self._state.notify_all()
        return cache_status, concurrent_calls

    def load_instances(
        self, function: str, memory_mb: float, concurrency: int, count: int, deadline_s: float
    ) -> int:
        """Load instances until ``count`` are loaded or loading; return how many are loaded.

        Raises:
            QueueFullError: There is not enough memory, even after idle instances were evicted.
            TimeoutError: The loads that other calls had started did not end before the deadline.
        """
        with self._state:
            instances = self._instances.setdefault(
                function, _FunctionInstances(function, memory_mb, concurrency, self._now_us())
            )
            instances.last_used_s = self._clock()
        while True:
            with self._state:
                missing = count - instances.total
                if missing > 0 and not self._evict_idle_for(instances):
                    raise QueueFullError
                if missing <= 0:
                    if not self._wait(lambda: instances.loaded >= count or not instances.loading, deadline_s):
                        raise TimeoutError
                    return instances.loaded
                self._end_span(instances)
                instances.loading += 1
                self._loads += 1
                self._notify_change(instances)
            self._load_instance(instances)

    def loaded_instances(self, function: str) -> int:
        """Return how many instances of a function are loaded."""
        with self._state:
            instances = self._instances.get(function)
            return instances.loaded if instances else 0

    def unload(self, function: str | None = None) -> None:
        """Unload the idle instances of one function, or of all functions as a new release does."""
        with self._state:
            for name, instances in self._instances.items():
                if function in (None, name):
                    self._end_span(instances)
                    instances.loaded = min(
                        instances.loaded, -(-instances.busy_slots // instances.concurrency)
                    )
                    self._notify_change(instances)
            self._state.notify_all()

    def end_open_spans(self) -> None:
        """Record the memory use up to now for all functions, so that the next response reports it."""
        with self._state:
            for instances in self._instances.values():
                self._end_span(instances)

    def _now_us(self) -> int:
        return int(self._clock() * 1e6)

    def _end_call(self, reference: CallReference) -> None:
        if self._outbox is not None:
            self._outbox.end_call(reference.request_id)

    def _end_span(self, instances: _FunctionInstances) -> None:
        """Record the memory that the instances used since their last change; call it before each change."""
        now_us = self._now_us()
        if self._outbox is None or now_us <= instances.span_start_us:
            return
        run = min(instances.loaded, -(-instances.busy_slots // instances.concurrency))
        instance_counts = instances.loading, run, instances.loaded - run
        if any(instance_counts):
            self._outbox.add_record(
                instances.name,
                int(instances.memory_mb * 1024),
                instances.span_start_us,
                now_us,
                instance_counts,
                tuple(instances.waiting_calls.values()),
                tuple(instances.running_calls.values()),
            )
        instances.span_start_us = now_us

    def _notify_change(self, instances: _FunctionInstances) -> None:
        """Pass a change to ``on_change``; the caller ended the span before under the same lock."""
        if self._on_change is not None:
            waiting, running = (
                tuple(instances.waiting_calls.values()),
                tuple(instances.running_calls.values()),
            )
            self._on_change(
                InstanceChange(
                    instances.span_start_us,
                    instances.name,
                    instances.memory_mb,
                    instances.concurrency,
                    instances.loading,
                    instances.loaded,
                    waiting,
                    running,
                )
            )

    def _wait(self, ready: Callable[[], bool], deadline_s: float) -> bool:
        """Wait until ``ready`` returns true; return False at the deadline. The caller holds the lock.

        Raises:
            WorkerDiedError: The worker was killed.
        """
        while not ready():
            if self._killed.is_set():
                raise WorkerDiedError
            left = deadline_s - self._clock()
            if left <= 0:
                return False
            self._state.wait(min(left, 0.5))
        return True

    def _sleep(self, seconds: float) -> None:
        if self._killed.wait(seconds):
            raise WorkerDiedError

    def _acquire_slot(self, instances: _FunctionInstances, ticket: int, deadline_s: float) -> str:
        cache_status = "warm"
        while True:
            with self._state:
                self._unload_expired()

                def free() -> bool:
                    return instances.busy_slots < instances.loaded * instances.concurrency

                def may_load() -> bool:
                    wants = instances.call_count > instances.total * instances.concurrency
                    return wants and self._loads < self.profile.loads and self._evict_idle_for(instances)

                if not self._wait(lambda: free() or may_load(), deadline_s):
                    raise TimeoutError
                self._end_span(instances)
                if free():
                    instances.busy_slots += 1
                    instances.running_calls[ticket] = instances.waiting_calls.pop(ticket)
                    self._waiting_count -= 1
                    self._notify_change(instances)
                    return cache_status
                cache_status = "began-load"
                instances.loading += 1
                self._loads += 1
                self._notify_change(instances)
            self._load_instance(instances)

    def _load_instance(self, instances: _FunctionInstances) -> None:
        is_loaded = False
        try:
            if self._faults().die_mid_load:
                self._sleep(self.profile.load_s / 2)
                raise WorkerDiedError
            is_loaded = self._store.fetch(self.profile.load_s * 0.7, self._sleep)
            self._sleep(self.profile.load_s * 0.3)
        finally:
            with self._state:
                self._end_span(instances)
                instances.loading -= 1
                instances.loaded += is_loaded
                instances.last_used_s = self._clock()
                self._loads -= 1
                self._notify_change(instances)
                self._state.notify_all()

    def _used_mb(self) -> float:
        return sum(c.total * c.memory_mb for c in self._instances.values())

    def _evict_idle_for(self, wanted: _FunctionInstances) -> bool:
        """Evict least recently used idle instances until another instance fits; return whether it fits."""
        while self._used_mb() + wanted.memory_mb > self.profile.memory_mb:
            idle = [
                c
                for c in self._instances.values()
                if c is not wanted and c.loaded * c.concurrency >= c.busy_slots + c.concurrency
            ]
            if not idle:
                return False
            oldest = min(idle, key=lambda c: c.last_used_s)
            self._end_span(oldest)
            oldest.loaded -= 1
            self._notify_change(oldest)
        return True

    def _unload_expired(self) -> None:
        now = self._clock()
        for instances in self._instances.values():
            if (
                instances.loaded
                and not instances.busy_slots
                and instances.last_used_s + self.profile.keep_alive_s < now
            ):
                self._end_span(instances)
                instances.loaded = 0
                self._notify_change(instances)

    def _acquire_core(self, deadline_s: float) -> None:
        with self._state:
            if not self._wait(lambda: self._running_count < self.profile.cores, deadline_s):
                raise TimeoutError
            self._running_count += 1
