"""An open deferred call as the dispatcher tracks it."""

from __future__ import annotations

from dataclasses import dataclass

from saffronstack.deferred.call_table import OpenCall
from saffronstack.deferred.records import CallAccepted, LedgerRecord
from saffronstack.deferred.retry_policy import Condition, RetryState
from saffronstack.durable.append_ticket import AppendTicket
from saffronstack.engine.possible_execution import keep_first_by_location


@dataclass(frozen=True, slots=True)
class FinalOutcome:
    """Outcome of a call. ``response`` is None if no worker served the call; ``reason`` then says why."""

    condition: Condition
    response: bytes | None = None
    function_error: str = ""
    reason: str = ""


@dataclass(eq=False, slots=True)
class TrackedCall:
    """A call without a durable final record; owned by the dispatcher thread.

    Attributes:
        accepted: The record of its acceptance.
        state: State for the retry decisions.
        attempts: Number of attempts.
        has_stored_attempt: Whether an attempt was written to the ledger and not voided since; also set on a
            worker's thread.
        voiding_ticket: The append that voided the stored attempts last. Until it is durable, the ledger may
            contain them.
        is_running: Whether the engine has the call and has not answered it.
        outcome: Outcome of the call, once it has ended.
        final_record_ticket: The append of its final record.
        delivery: The call that delivers the final record to its destination; both are in the same commit.
    """

    accepted: CallAccepted
    state: RetryState
    attempts: int = 0
    has_stored_attempt: bool = False
    voiding_ticket: AppendTicket[LedgerRecord] | None = None
    is_running: bool = False
    outcome: FinalOutcome | None = None
    final_record_ticket: AppendTicket[LedgerRecord] | None = None
    delivery: CallAccepted | None = None


def track_accepted(accepted: CallAccepted) -> TrackedCall:
    """Return the tracked call of a newly accepted call."""
    return TrackedCall(accepted, RetryState(accepted.accepted_at))


def track_recovered(call: OpenCall) -> TrackedCall:
    """Return the tracked call of a recovered call. Each of its stored attempts may have been executed."""
    executions = keep_first_by_location(attempt.execution for attempt in call.attempts)
    return TrackedCall(
        call.accepted,
        RetryState(call.accepted.accepted_at, executions),
        attempts=len(call.attempts),
        has_stored_attempt=bool(call.attempts),
    )
