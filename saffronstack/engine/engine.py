"""The engine: accepts calls and runs the decision thread that routes them to workers."""

from __future__ import annotations

import threading
from collections.abc import Callable, Iterable
from functools import partial
from itertools import count

from saffronstack.engine.calls import Call, FinalAnswer, FinalStatus
from saffronstack.engine.decision_loop import DecisionLoop
from saffronstack.engine.dispatch import Dispatcher
from saffronstack.engine.engine_statistics import EngineStatistics
from saffronstack.engine.messages import (
    DecisionSink,
    EndpointChange,
    EndpointSnapshot,
    Inspection,
    Shutdown,
    WorkerMessage,
)
from saffronstack.engine.worker_registry import WorkerSpec
from saffronstack.routing.events import ClientDisconnected
from saffronstack.routing.router import Router
from saffronstack.routing.settings import Settings
from saffronstack.runtime.logs import KeyValueLogger, Logger
from saffronstack.runtime.threads import start_thread

DEFAULT_DEADLINE_GRACE_S = 0.05
DEFAULT_MAX_OPEN_CALLS = 20_000
STOP_TIMEOUT_S = 5.0
MAX_WORKERS_PER_UPDATE = 200  # a longer update is split so that calls are handled between its parts


class Engine:
    """Gives each accepted call exactly one final answer. All methods may be called on any thread."""

    def __init__(
        self,
        settings: Settings,
        seed: int,
        clock: Callable[[], float],
        recorder: DecisionSink | None = None,
        deadline_grace_s: float = DEFAULT_DEADLINE_GRACE_S,
        max_open_calls: int = DEFAULT_MAX_OPEN_CALLS,
        log: Logger | None = None,
    ) -> None:
        """Create an engine without its thread.

        Args:
            settings: Settings of the router.
            seed: Seed of the router's random numbers.
            clock: Monotonic clock, in seconds.
            recorder: Receives each decision, on the decision thread.
            deadline_grace_s: Time after a call's deadline when the engine answers it, if the router has not.
            max_open_calls: Calls that may be open at one time.
            log: Receives log events; None for standard error.
        """
        self.settings = settings
        self.max_open_calls = max_open_calls
        logger: Logger = log or KeyValueLogger("engine")
        self._loop = DecisionLoop(settings, seed, clock, deadline_grace_s, recorder, logger)
        self._messages = self._loop.messages
        self._call_numbers = count(1)
        self._submit_lock = threading.Lock()  # ensures that no call is queued behind the `Shutdown` message
        self._is_stopping = False

    def start(self, dispatcher: Dispatcher) -> None:
        """Start the decision thread; ``dispatcher`` carries out its decisions."""
        start_thread("decisions", partial(self._loop.run, dispatcher))

    def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
        """Reject further calls and end the decision thread after the messages that are queued.

        Once the thread has ended, each accepted call has its final answer.

        Returns:
            Whether the thread ended in time.
        """
        with self._submit_lock:
            self._is_stopping = True
            self._messages.put(Shutdown())
        return self._loop.stopped.wait(timeout_s)

    def next_call_number(self) -> int:
        """Return a number for a new call, different from all earlier ones."""
        return next(self._call_numbers)

    def submit(self, call: Call) -> bool:
        """Accept a call, which then gets exactly one final answer.

        Returns:
            False if the call was not accepted, because too many are open or the engine is stopping.
        """
        with self._submit_lock:
            if len(self._loop.state.open_calls) >= self.max_open_calls or self._is_stopping:
                return False
            self._messages.put(call)
            return True

    def disconnect(self, call: Call) -> None:
        """Finish a call whose client has disconnected."""
        if call.finish(FinalAnswer(FinalStatus.CLIENT_DISCONNECTED)):
            self._messages.put(ClientDisconnected(call.number))

    def notify(self, message: WorkerMessage) -> None:
        """Queue a message of a worker's thread for the decision thread."""
        self._messages.put(message)

    def inspect(self, inspect: Callable[[float, Router], None]) -> None:
        """Call a function on the decision thread between two events, to read the router's state.

        Args:
            inspect: Receives the time and the router; it must neither block nor change anything.
        """
        self._messages.put(Inspection(inspect))

    def replace_workers(self, specs: Iterable[WorkerSpec], unix_s: float) -> None:
        """Set the complete list of workers, as known at ``unix_s`` (Unix seconds)."""
        self._messages.put(EndpointSnapshot(tuple(specs), unix_s))

    def update_workers(self, specs: Iterable[WorkerSpec], removed: Iterable[int], unix_s: float) -> None:
        """Add, change and remove some workers.

        Args:
            specs: Workers that are new or changed, draining ones first.
            removed: Numbers of removed workers.
            unix_s: Time of this state, in Unix seconds.
        """
        changed = tuple(specs)
        self._messages.put(EndpointChange(changed[:MAX_WORKERS_PER_UPDATE], tuple(removed), unix_s))
        for start in range(MAX_WORKERS_PER_UPDATE, len(changed), MAX_WORKERS_PER_UPDATE):
            chunk = changed[start : start + MAX_WORKERS_PER_UPDATE]
            self._messages.put(EndpointChange(chunk, (), unix_s))

    @property
    def statistics(self) -> EngineStatistics:
        """Counters since the engine was created."""
        return self._loop.state.statistics

    @property
    def open_calls(self) -> int:
        """Number of calls without a final answer or with an attempt in flight."""
        return len(self._loop.state.open_calls)

    @property
    def queued_events(self) -> int:
        """Number of messages that wait for the decision thread."""
        return self._messages.qsize()
