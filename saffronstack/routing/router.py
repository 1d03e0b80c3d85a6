"""The router: handles events, tracks each request until its final answer, and returns actions."""

from __future__ import annotations

from saffronstack.routing.actions import Action, CancelAttempt, WatchEndpoints
from saffronstack.routing.components import Components
from saffronstack.routing.dispatcher import Dispatcher
from saffronstack.routing.errors import UnknownRequestClassError
from saffronstack.routing.events import (
    AttemptOutcome,
    ClientDisconnected,
    EndpointUpdate,
    EndpointUpdateKind,
    Event,
    LoadCommandResult,
    PriorAttempt,
    Request,
    TimerFired,
    WorkerEndpoint,
    WorkerState,
)
from saffronstack.routing.outcome_feedback import OutcomeFeedback
from saffronstack.routing.request_queue import queue_deadline_s
from saffronstack.routing.retry_policy import NEVER_EXECUTED
from saffronstack.routing.settings import Settings
from saffronstack.routing.state import Attempt, PendingRequest, Worker
from saffronstack.routing.validation import validate_settings

# Endpoint updates that show that the subscription is missing or broken.
STALE_UPDATE_KINDS = (EndpointUpdateKind.CACHED, EndpointUpdateKind.FAILED)
UNKNOWN_LOCATION = -1  # zone or cell that matches no worker


class Router:
    """Makes the routing decisions of one gateway; `handle` is the only entry point. Not thread-safe.

    Attributes:
        components: The router's state and components, for inspection.
        workers: Known workers, by worker ID.
        functions: Known functions, by function ID.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Create a router without any known workers or functions.

        Args:
            settings: Settings of the gateway.
            seed: Seed of the random choices; equal seeds and events give equal actions.

        Raises:
            InvalidSettingsError: A setting is invalid; the message names it.
        """
        validate_settings(settings)
        self.components = Components(settings, seed)
        self.workers = self.components.fleet.workers
        self.functions = self.components.functions
        self._settings = settings
        self._dispatcher = Dispatcher(self.components)
        self._feedback = OutcomeFeedback(self.components)
        self._requests = self.components.requests
        self._attempts = self.components.attempts

    def handle(self, now: float, event: Event) -> list[Action]:
        """Process one event and return the actions to carry out.

        Args:
            now: Current time in seconds, on the clock of the events.
            event: The event.

        Raises:
            UnknownRequestClassError: A request names a class that is not in the settings.
        """
        dispatcher = self._dispatcher
        dispatcher.actions = []
        if isinstance(event, AttemptOutcome):
            self._on_outcome(now, event)
        elif isinstance(event, Request):
            self._on_request(now, event)
        elif isinstance(event, EndpointUpdate):
            self._on_endpoint_update(now, event)
        elif isinstance(event, LoadCommandResult):
            self._on_load_command_result(now, event)
        elif isinstance(event, TimerFired):
            self._on_timer(now, event)
        elif isinstance(event, ClientDisconnected):
            self._on_disconnect(event)
        return dispatcher.actions

    def _on_request(self, now: float, request: Request) -> None:
        if not 0 <= request.class_index < len(self._settings.classes):
            last = len(self._settings.classes) - 1
            raise UnknownRequestClassError(
                f"class_index {request.class_index} names no class, expected 0 to {last}"
            )
        components = self.components
        if now >= components.idle_sweep.next_sweep_s:
            components.idle_sweep.sweep(now)
        components.load_commands.record_request(now)
        components.rates.record(now, request)
        pending = PendingRequest(
            request,
            self._settings.classes[request.class_index],
            components.load_shedder.priority_weight(now, request),
            queue_deadline_s(now, request),
        )
        if request.prior_attempts:
            pending.maybe_executed = self._restore_first_attempt(request, request.prior_attempts)
        self._requests[request.request_id] = pending
        components.retry_policy.record_request()
        components.load_shedder.observe_request(pending)
        if components.load_shedder.should_reject(pending):
            self._dispatcher.give_final_answer(pending)
        else:
            self._dispatcher.dispatch(now, pending)

    def _restore_first_attempt(self, request: Request, prior_attempts: tuple[PriorAttempt, ...]) -> Attempt:
        """Return the first attempt before the request, in the zone and the cell of all such attempts.

        If they went to several zones, no zone drops the repeats of each of them, and the attempt gets one
        that matches no worker; likewise for cells. The request then gets no attempt in that scope.
        """
        locations = [self._location_of(prior) for prior in prior_attempts]
        zones, cells = {zone for zone, _ in locations}, {cell for _, cell in locations}
        first = min(prior_attempts, key=lambda prior: prior.sent_s)
        endpoint = WorkerEndpoint(
            first.worker_id,
            WorkerState.REMOVED,
            zone=zones.pop() if len(zones) == 1 else UNKNOWN_LOCATION,
            cell=cells.pop() if len(cells) == 1 else UNKNOWN_LOCATION,
        )
        return Attempt(request, -1, Worker(endpoint), first.sent_s, False, False)

    def _location_of(self, prior: PriorAttempt) -> tuple[int, int]:
        """Return the zone and cell to which an attempt was sent; unknown ones if nothing tells them."""
        worker = self.workers.get(prior.worker_id)
        zone, cell = prior.zone, prior.cell
        if zone is None:
            zone = UNKNOWN_LOCATION if worker is None else worker.endpoint.zone
        if cell is None:
            cell = UNKNOWN_LOCATION if worker is None else worker.endpoint.cell
        return zone, cell

    def _on_outcome(self, now: float, outcome: AttemptOutcome) -> None:
        attempt = self._attempts.pop((outcome.request_id, outcome.attempt), None)
        if attempt is None:
            return
        self._feedback.apply(now, attempt, outcome)
        pending = self._requests.get(outcome.request_id)
        if pending is not None:
            pending.attempts_in_flight -= 1
            if pending.maybe_executed is None and outcome.result not in NEVER_EXECUTED:
                pending.maybe_executed = attempt
            if outcome.is_final:
                del self._requests[outcome.request_id]
            elif not pending.attempts_in_flight:
                self._dispatcher.dispatch(now, pending)
        self._dispatcher.dispatch_queued(now)

    def _on_endpoint_update(self, now: float, update: EndpointUpdate) -> None:
        if self._settings.must_subscribe and update.kind in STALE_UPDATE_KINDS:
            self._dispatcher.actions.append(WatchEndpoints())
        self.components.membership.apply(now, update)

    def _on_load_command_result(self, now: float, result: LoadCommandResult) -> None:
        components = self.components
        request = components.load_commands.take_pending(result)
        if request is None:
            return
        worker, function = self.workers[result.worker_id], self.functions[result.function_id]
        components.load_commands.finish(now, result, request, worker, function)
        self._dispatcher.dispatch_queued(now)

    def _on_timer(self, now: float, event: TimerFired) -> None:
        pending = self._requests.get(event.timer_id)
        if pending is None:
            return
        function = self.functions.get(pending.request.function_id)
        if function is not None and self.components.request_queue.remove(pending, function):
            self._dispatcher.dispatch(now, pending, can_wait=False)

    def _on_disconnect(self, event: ClientDisconnected) -> None:
        """Cancel a disconnected client's attempts, which waste capacity, if the site permits it."""
        pending = self._requests.pop(event.request_id, None)
        if pending is None or not self._settings.permissions.cancellation:
            return
        for attempt in pending.attempts:
            if (event.request_id, attempt.index) in self._attempts:
                self._dispatcher.actions.append(CancelAttempt(event.request_id, attempt.index))
