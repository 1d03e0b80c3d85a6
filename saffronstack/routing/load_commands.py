"""Load commands: tells workers to load a function ahead of the requests that wait for it.

Used only where a worker rejects a request for a function that it has not loaded. Elsewhere a request loads as
well, and is held back by the worker's own queue.
"""

from __future__ import annotations

from collections import deque

from saffronstack.routing.actions import LoadFunction
from saffronstack.routing.events import LoadCommandResult, Request, Result
from saffronstack.routing.load_control import LoadControl
from saffronstack.routing.memory_account import InstanceKey, MemoryAccount
from saffronstack.routing.settings import MissMode, Settings
from saffronstack.routing.state import Function, Worker
from saffronstack.routing.warm_pool import WarmPool

WINDOW_MARGIN_S = 0.01  # the window of the rule on load commands is taken this much to the safe side
MAX_INSTANCES = 16  # asked for by one command; the account may be too high after lost responses
ALREADY_LOADED_S = 0.05  # a command that ends within this found the instance loaded
REJECTED_LOAD_PAUSE_S = 0.5  # a worker that rejected a load gets none for the function this long


class LoadCommands:
    """Sends load commands within the rule on their number, and handles their results."""

    __slots__ = (
        "_is_permitted",
        "_load_control",
        "_memory",
        "_pending",
        "_request_times",
        "_rules",
        "_sent_times",
        "_warm_pool",
    )

    def __init__(
        self, settings: Settings, load_control: LoadControl, memory: MemoryAccount, warm_pool: WarmPool
    ) -> None:
        self._rules = settings.rules
        self._is_permitted = settings.permissions.load_commands and settings.miss_mode is MissMode.REJECT
        self._load_control = load_control
        self._memory = memory
        self._warm_pool = warm_pool
        self._pending: dict[InstanceKey, list[Request]] = {}  # requests that commands were sent for
        self._sent_times: deque[float] = deque()  # both are kept only where the rule has a window
        self._request_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request for the rule on load commands."""
        if self._rules.load_command_window_s:
            self._request_times.append(now)

    def may_send(self, now: float) -> bool:
        """Return whether a load command is permitted and within the rule on their number."""
        if not self._is_permitted:
            return False
        rules = self._rules
        if not rules.load_command_window_s:
            return True
        for times in (self._sent_times, self._request_times):
            while times and times[0] <= now - rules.load_command_window_s - WINDOW_MARGIN_S:
                times.popleft()
        since_s = now - rules.load_command_window_s + WINDOW_MARGIN_S
        requests = sum(time_s > since_s for time_s in self._request_times)
        allowed = rules.load_command_burst + rules.load_commands_per_request * requests
        return len(self._sent_times) + 1 <= allowed

    def send(self, now: float, request: Request, worker: Worker, function: Function) -> LoadFunction:
        """Return a command to load the function of a request at a worker."""
        placed = self._memory.instances_at(worker, request)
        placed.last_used_s = now
        if placed.attempts_in_flight >= placed.instances * request.concurrency:
            self._memory.set_instances(worker, placed, placed.instances + 1)
        instances = max(1, min(MAX_INSTANCES, placed.instances))
        worker_id, function_id = worker.endpoint.worker_id, request.function_id
        self._pending.setdefault((worker_id, function_id), []).append(request)
        if self._rules.load_command_window_s:
            self._sent_times.append(now)
        self._load_control.begin(worker, function, function_id)
        return LoadFunction(worker_id, function_id, instances)

    def take_pending(self, result: LoadCommandResult) -> Request | None:
        """Return the request that a command was sent for, None for a result that no command awaits."""
        key = result.worker_id, result.function_id
        requests = self._pending.get(key)
        if not requests:
            return None
        request = requests.pop()
        if not requests:
            del self._pending[key]
        return request

    def finish(
        self, now: float, result: LoadCommandResult, request: Request, worker: Worker, function: Function
    ) -> None:
        """Take in the result of a command that was sent for this request."""
        self._load_control.end(worker, function, result.function_id)
        load_s = result.elapsed_s if result.elapsed_s > ALREADY_LOADED_S else 0.0
        self._load_control.observe(now, result.result, load_s)
        placed = self._memory.instances_at(worker, request)
        if result.result is Result.OK:
            placed.last_used_s = now
            slots = int(request.concurrency)
            free = max(1, slots * max(1, result.instances) - placed.attempts_in_flight)
            known_slots = sum(instance[0] is worker for instance in function.warm_instances)
            self._warm_pool.release(now, function, worker, max(1, min(slots, free - known_slots)))
        else:
            function.load_rejected_until_s[result.worker_id] = now + REJECTED_LOAD_PAUSE_S
            self._memory.set_instances(worker, placed, result.instances)
        self._memory.schedule_expiry(now, result.worker_id, result.function_id)
