"""Checks before an attempt is sent: its record is durable, or this process still owns the ledger."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from saffronstack.deferred.ledger import Ledger
from saffronstack.deferred.records import AttemptStarted, AttemptsVoided, LedgerRecord
from saffronstack.deferred.tracked_call import TrackedCall
from saffronstack.engine.possible_execution import (
    ExecutionConverter,
    PossibleExecution,
    keep_first_by_location,
)
from saffronstack.routing.events import PriorAttempt


class AttemptLog:
    """Keeps in the ledger which attempts of a call that is not idempotent may have been executed.

    Attributes:
        converter: Converts attempts to the form in which they are stored, and back.
    """

    def __init__(self, ledger: Ledger, converter: ExecutionConverter, commit_timeout_s: float) -> None:
        """Wait at most ``commit_timeout_s`` for each commit of an attempt."""
        self._ledger = ledger
        self.converter = converter
        self._commit_timeout_s = commit_timeout_s

    def store(self, call: TrackedCall, attempts: Sequence[PriorAttempt]) -> bool:
        """Record an attempt; return whether the record is durable. Otherwise the attempt must not be sent.

        The same commit voids those stored earlier that certainly were not executed. Called on the worker's
        thread.

        Args:
            call: The call.
            attempts: See `AttemptGuard.may_send`.
        """
        if self._ledger.stalled_s > 0:
            return False
        *earlier, started = self.converter.to_stored(attempts)
        ticket = self._ledger.append(*_replace_attempts(call, (*keep_first_by_location(earlier), started)))
        call.has_stored_attempt = True
        if not ticket.done.wait(self._commit_timeout_s):
            ticket.revoke()
            return False
        return ticket.is_durable

    def store_ended(self, call: TrackedCall, executions: Sequence[PossibleExecution]) -> None:
        """Record which attempts may have been executed, after the engine ended the call; do not wait.

        Until the record is durable, attempts that were not executed count as possibly executed. Called on the
        dispatcher thread.
        """
        if call.has_stored_attempt:
            call.voiding_ticket = self._ledger.append(*_replace_attempts(call, executions))
            call.has_stored_attempt = bool(executions)


def _replace_attempts(call: TrackedCall, executions: Sequence[PossibleExecution]) -> list[LedgerRecord]:
    """Return the records that leave a call with these attempts alone; they belong in one commit."""
    request_id = call.accepted.request_id
    started = [AttemptStarted.from_execution(request_id, execution) for execution in executions]
    is_voiding_durable = call.voiding_ticket is None or call.voiding_ticket.is_durable
    if is_voiding_durable and not call.has_stored_attempt:
        return [*started]
    return [AttemptsVoided(request_id), *started]


class AttemptLogGuard:
    """Allows an attempt of one call once its record is durable (`saffronstack.engine.calls.AttemptGuard`)."""

    def __init__(self, attempt_log: AttemptLog, call: TrackedCall) -> None:
        """Guard the attempts of ``call``."""
        self._attempt_log = attempt_log
        self._call = call

    def may_send(self, attempts: Sequence[PriorAttempt]) -> bool:
        """Store the attempt; return whether it may be sent."""
        return self._attempt_log.store(self._call, attempts)


class OwnershipGuard:
    """Allows attempts of idempotent calls, which need no record, while this process owns the ledger.

    A process that was paused while another one took over its ledger must send nothing when it resumes.
    """

    def __init__(self, owns_ledger: Callable[[], bool]) -> None:
        """``owns_ledger`` returns whether this process still owns its ledger; it is called on any thread."""
        self._owns_ledger = owns_ledger

    def may_send(self, attempts: Sequence[PriorAttempt]) -> bool:
        """Return whether the attempt may be sent."""
        return self._owns_ledger()
