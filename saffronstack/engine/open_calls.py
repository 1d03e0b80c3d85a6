"""State of the calls between their arrival and the end of their last attempt."""

from __future__ import annotations

from dataclasses import dataclass, field

from saffronstack.engine.calls import Call, FinalStatus
from saffronstack.routing.events import AttemptOutcome, PriorAttempt
from saffronstack.routing.retry_policy import NEVER_EXECUTED


@dataclass(eq=False, slots=True)
class OpenCall:
    """A call with its attempts; used by the decision thread alone.

    Attributes:
        call: The call.
        attempts_in_flight: Attempts without a result, by their index.
        attempts: Number of attempts so far.
        prior_attempts: Attempts that have ended and may have executed, those before the call included.
        router_knows_disconnect: Whether the router was notified that the client has disconnected.
    """

    call: Call
    attempts_in_flight: dict[int, PriorAttempt] = field(default_factory=dict)
    attempts: int = 0
    prior_attempts: tuple[PriorAttempt, ...] = ()
    router_knows_disconnect: bool = False

    @classmethod
    def from_call(cls, call: Call) -> OpenCall:
        """Return the state of a call that has arrived and got no attempt yet."""
        return cls(call, prior_attempts=call.prior_attempts)

    def start_attempt(self, started: PriorAttempt) -> int:
        """Record an attempt that is sent now, and return its index."""
        attempt = self.attempts
        self.attempts += 1
        self.attempts_in_flight[attempt] = started
        return attempt

    def end_attempt(self, outcome: AttemptOutcome, now: float) -> None:
        """Record the result of an attempt."""
        ended = self.attempts_in_flight.pop(outcome.attempt, None)
        if outcome.result not in NEVER_EXECUTED:
            if ended is None:
                ended = PriorAttempt(outcome.worker_id, now - outcome.elapsed_s)
            self.prior_attempts += (ended,)

    def possibly_executed_attempts(self) -> tuple[PriorAttempt, ...]:
        """Return all attempts that may have executed, in the order of sending; one in flight may have."""
        attempts = (*self.prior_attempts, *self.attempts_in_flight.values())
        if len(attempts) < 2:  # for most calls, which get one attempt
            return attempts
        return tuple(sorted(attempts, key=lambda attempt: attempt.sent_s))

    @property
    def is_over(self) -> bool:
        """Whether nothing more can happen to the call.

        A call whose client has disconnected is over only when the router was notified. Until then the router
        may start further attempts, which the worker's thread drops before it sends their first byte.
        """
        if self.attempts_in_flight or not self.call.is_finished:
            return False
        final_answer = self.call.final_answer
        return (
            self.router_knows_disconnect
            or final_answer is None
            or final_answer.status is not FinalStatus.CLIENT_DISCONNECTED
        )


class OpenCalls:
    """The open calls by number; only the decision thread changes them, any thread may count them."""

    def __init__(self) -> None:
        self._calls: dict[int, OpenCall] = {}

    def __len__(self) -> int:
        return len(self._calls)

    def __contains__(self, number: int) -> bool:
        return number in self._calls

    def add(self, call: Call) -> None:
        """Add a call that has arrived."""
        self._calls[call.number] = OpenCall.from_call(call)

    def __getitem__(self, number: int) -> OpenCall:
        return self._calls[number]

    def get(self, number: int) -> OpenCall | None:
        """Return the open call with this number, if there is one."""
        return self._calls.get(number)

    def remove_if_over(self, open_call: OpenCall) -> None:
        """Forget a call to which nothing more can happen."""
        if open_call.is_over:
            self._calls.pop(open_call.call.number, None)

    def remove_all(self) -> list[OpenCall]:
        """Forget all calls and return them."""
        removed = list(self._calls.values())
        self._calls.clear()
        return removed
