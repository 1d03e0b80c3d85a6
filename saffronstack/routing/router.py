"""The router: takes events, owns the life of each request, and returns the actions to carry out."""

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

STALE_UPDATE_KINDS = (
    EndpointUpdateKind.CACHED,
    EndpointUpdateKind.FAILED,
)  # a subscription is missing or broken
UNKNOWN_LOCATION = -1  # zone and cell of a worker that is not known: no other worker is in them


class Router:
    """Decides for one gateway; `handle` is the only entry. Not thread-safe.

    Attributes:
        components: The router's state and parts, for inspection.
        workers: Known workers by number.
        functions: Known functions by number.
    """

    def __init__(self, settings: Settings, seed: int) -> None:
        """Start without any knowledge.

        Args:
            settings: What the gateway is given at its start.
            seed: Seed of the random choices; equal seeds and events give equal actions.

        Raises:
            InvalidSettingsError: A setting is impossible; the message names it.
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
        """Return the actions to carry out about one event.

        Args:
            now: Present time in seconds, on the clock of the events.
            event: What happened.

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
        parts = self.components
        if now >= parts.idle_sweep.next_sweep_s:
            parts.idle_sweep.sweep(now)
        parts.load_commands.record_request(now)
        parts.rates.record(now, request)
        pending = PendingRequest(
            request,
            self._settings.classes[request.class_index],
            parts.load_shedder.priority_weight(now, request),
            queue_deadline_s(now, request),
        )
        if request.prior_attempt is not None:
            pending.maybe_executed = self._restore_attempt(request)
        self._requests[request.request_id] = pending
        parts.retry_policy.record_request()
        parts.load_shedder.observe_request(pending)
        if parts.load_shedder.should_reject(pending):
            self._dispatcher.give_final_answer(pending)
        else:
            self._dispatcher.dispatch(now, pending)

    def _restore_attempt(self, request: Request) -> Attempt | None:
        """Return an attempt of an earlier incarnation, at a worker in no known place if it is not known."""
        prior = request.prior_attempt
        if prior is None:
            return None
        worker = self.workers.get(prior.worker_id)
        if worker is None:
            worker = Worker(
                WorkerEndpoint(
                    prior.worker_id, WorkerState.REMOVED, zone=UNKNOWN_LOCATION, cell=UNKNOWN_LOCATION
                )
            )
        return Attempt(request, -1, worker, prior.sent_s, False, False)

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
        parts = self.components
        request = parts.load_commands.take_pending(result)
        if request is None:
            return
        worker, function = self.workers[result.worker_id], self.functions[result.function_id]
        parts.load_commands.finish(now, result, request, worker, function)
        self._dispatcher.dispatch_queued(now)

    def _on_timer(self, now: float, event: TimerFired) -> None:
        pending = self._requests.get(event.timer_id)
        if pending is None:
            return
        function = self.functions.get(pending.request.function_id)
        if function is not None and self.components.request_queue.remove(pending, function):
            self._dispatcher.dispatch(now, pending, can_wait=False)

    def _on_disconnect(self, event: ClientDisconnected) -> None:
        """Cancel the attempts of a client that is gone where the site permits that: they crowd out others."""
        pending = self._requests.pop(event.request_id, None)
        if pending is None or not self._settings.permissions.cancellation:
            return
        for attempt in pending.attempts:
            if (event.request_id, attempt.index) in self._attempts:
                self._dispatcher.actions.append(CancelAttempt(event.request_id, attempt.index))
