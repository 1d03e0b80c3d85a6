"""Load commands, which tell workers to load a function before the queued requests are sent to them.

They are used only if workers reject requests for functions that they have not loaded. Otherwise a request
itself triggers the load and waits in the worker's own queue.
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

WINDOW_MARGIN_S = 0.01  # safety margin on the window of the load command limit
MAX_INSTANCES = 16  # maximum per command; the memory account may be too high after lost responses
ALREADY_LOADED_S = 0.05  # a command that ends sooner found the instance already loaded
REJECTED_LOAD_PAUSE_S = 0.5  # time until a worker that rejected a load gets another for that function


class LoadCommands:
    """Sends load commands within their rate limit and handles the results."""

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
        self._pending: dict[InstanceKey, list[Request]] = {}  # requests for which commands were sent
        self._sent_times: deque[float] = deque()  # both deques stay empty if the limit has no window
        self._request_times: deque[float] = deque()

    def record_request(self, now: float) -> None:
        """Count a request towards the load command limit."""
        if self._rules.load_command_window_s:
            self._request_times.append(now)

    def may_send(self, now: float) -> bool:
        """Return whether a load command is permitted and within the load command limit."""
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
        """Return the request for which the command was sent, or None if no command awaits this result."""
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
        """Update instances and load control with the result of a command that was sent for this request."""
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
